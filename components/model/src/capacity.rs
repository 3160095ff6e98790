//! Capacity of a site.

use crate::site::{Class, Site};
use names::SECOND;

impl Site {
    /// Duration of a run at normal speed, calls included, in microseconds.
    pub fn typical_us(&self, class: usize) -> f64 {
        self.run_us(class, |class| class.work_us)
    }

    /// Mean time for which a run occupies a slot, in microseconds.
    pub fn slot_us(&self, class: usize) -> f64 {
        let slowed = 1.0 + self.speed.slow_share * (self.speed.slow_factor - 1.0);
        self.run_us(class, |class| {
            let long = class
                .tail
                .map_or(0.0, |tail| tail.share * (tail.factor - 1.0));
            class.work_us * (1.0 + long) * slowed
        })
    }

    /// Requests per second at which the first service has all its slots occupied, with the classes
    /// in these shares.
    pub fn capacity(&self, shares: &[f64]) -> f64 {
        let mut slot_us = vec![0.0; self.services.len()];
        for (class, share) in shares.iter().enumerate() {
            self.add_slot_time(class, *share, &mut slot_us);
        }
        let bounds = slot_us.iter().enumerate().map(|(service, slot_us)| {
            let upstreams = self.vms.iter().filter(|vm| vm.service == service).count();
            let slots = self.usable_slots(service) * upstreams as f64;
            slots * SECOND as f64 / slot_us
        });
        bounds.fold(f64::INFINITY, f64::min)
    }

    /// Slots of one upstream that can be in use without slowing it down.
    fn usable_slots(&self, service: usize) -> f64 {
        let service = &self.services[service];
        let usable = (f64::from(service.slots) * self.usable_fraction)
            .floor()
            .max(1.0);
        service
            .sustained_concurrency
            .map_or(usable, |sustained| usable.min(f64::from(sustained)))
    }

    fn add_slot_time(&self, class: usize, times: f64, slot_us: &mut [f64]) {
        slot_us[self.classes[class].service] += times * self.slot_us(class);
        if let Some(calls) = self.classes[class].calls {
            let times = times * calls.share * f64::from(calls.count);
            self.add_slot_time(calls.class, times, slot_us);
        }
    }

    /// Time of a run's own work and of its calls, in microseconds.
    fn run_us(&self, class: usize, work_us: impl Fn(&Class) -> f64 + Copy) -> f64 {
        let spec = &self.classes[class];
        let own_us = work_us(spec);
        let Some(calls) = spec.calls else {
            return own_us;
        };
        let latency_us = 2.0 * self.latency_us.0 as f64;
        let call_us = self.run_us(calls.class, work_us) + latency_us;
        let rounds = if calls.sequential { calls.count } else { 1 };
        own_us + calls.share * f64::from(rounds) * call_us
    }
}
