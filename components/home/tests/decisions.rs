//! Decisions of home duties on random events, with offers that carry no account.
//!
//! The digests were recorded with the queue that preceded fair queueing. They guard against any change
//! of order, refusals or retry times where slots aren't shared among accounts.

use home::{
    Action, ColdCapacity, Config, Home, Offer, PriorStarts, ProbeResult, Suspicion, Verdict,
};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

const STEPS: u64 = 6_000;
const SEEDS: u64 = 6;

/// Sends random events to a home duty and hashes its decisions.
struct Driver {
    home: Home<u64>,
    slots: u32,
    rng: SmallRng,
    now: Moment,
    running: Vec<AttemptId>,
    is_probing: bool,
    next_seq: u64,
    digest: u64,
    counts: [usize; 3],
    longest_queue: u32,
}

impl Driver {
    fn new(seed: u64, cfg: Config, capacity: ColdCapacity) -> Driver {
        let slots = cfg.slots;
        let mut home = Home::new(BootId(1), cfg);
        home.set_cold_capacity(capacity);
        Driver {
            home,
            slots,
            rng: SmallRng::seed_from_u64(seed),
            now: Moment(10 * SECOND),
            running: Vec::new(),
            is_probing: false,
            next_seq: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            counts: [0; 3],
            longest_queue: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + self.rng.random_range(0..4 * MILLISECOND);
        let now = self.now;
        let actions = match self.rng.random_range(0..1000) {
            0..500 => {
                let offer = self.random_offer();
                self.home.offer(now, &offer)
            }
            500..800 => self.complete(),
            800..880 => self.home.tick(now),
            880..960 if self.is_probing => {
                self.is_probing = false;
                let result = match self.rng.random_range(0..8) {
                    0 => ProbeResult::NoAnswer,
                    1 => ProbeResult::NoBudget,
                    2 => ProbeResult::percent(500),
                    _ => ProbeResult::percent(100),
                };
                self.home.probe_finished(now, result)
            }
            960..980 => {
                let id = id(self.rng.random_range(0..=self.next_seq));
                if self.home.is_queued(id) && self.rng.random() {
                    self.home.cancel(now, id);
                }
                Vec::new()
            }
            980..995 => {
                let percent = [100, 100, 150, 400][self.rng.random_range(0..4)];
                self.home.slowdown_reported(now, percent);
                Vec::new()
            }
            995 => self.home.start_drain(now),
            996 => self
                .home
                .upstream_replaced(now, self.slots, PriorStarts::None),
            _ => {
                self.home.end_drain();
                self.home.tick(now)
            }
        };
        for action in actions {
            self.record(&action);
        }
        self.longest_queue = self.longest_queue.max(self.home.load(now).queued);
    }

    fn random_offer(&mut self) -> Offer {
        let rng = &mut self.rng;
        self.next_seq += 1;
        Offer {
            id: id(self.next_seq),
            service: "s".into(),
            remaining_us: rng.random_range(20..3_000) * MILLISECOND,
            objective_us: rng
                .random_bool(0.7)
                .then_some(rng.random_range(0..2_000) * MILLISECOND),
            priority: rng.random_range(0..3),
            level: rng.random_range(0..3),
            repeatable: rng.random(),
            may_queue: rng.random_bool(0.8),
            repeat: false,
            suspicion: Suspicion::None,
            returned: rng.random_bool(0.2),
            report_straggler: false,
            known_limit: None,
            account: None,
        }
    }

    fn complete(&mut self) -> Vec<Action> {
        if self.running.is_empty() {
            return Vec::new();
        }
        let at = self.rng.random_range(0..self.running.len());
        let id = self.running.remove(at);
        let verdict = match self.rng.random_range(0..200) {
            0 => Verdict::NotSent,
            1..5 => Verdict::Shed,
            5..10 => Verdict::Error,
            _ => Verdict::Good,
        };
        self.home.completed(self.now, id, verdict, None)
    }

    fn record(&mut self, action: &Action) {
        match action {
            Action::Start(id) => {
                self.running.push(*id);
                self.counts[0] += 1;
            }
            Action::Refuse(..) => self.counts[1] += 1,
            Action::Revoke(_) => self.counts[2] += 1,
            Action::Probe => self.is_probing = true,
            Action::Straggles(_) => return,
        }
        for byte in format!("{action:?}").bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

#[test]
fn decisions_without_accounts_match_the_recorded_digests() {
    let plain = Config {
        slots: 4,
        adaptive: false,
        ..Config::default()
    };
    let adaptive = Config {
        adaptive: true,
        ..plain.clone()
    };
    let probing = Config {
        can_probe: true,
        ..plain.clone()
    };
    let cold = ColdCapacity::Limited {
        starts_per_s: 60,
        cold_us: 3 * SECOND,
    };
    let configs = [
        ("plain", plain.clone(), ColdCapacity::Unlimited),
        ("adaptive", adaptive, ColdCapacity::Unlimited),
        ("probing", probing, ColdCapacity::Unlimited),
        ("cold", plain.clone(), cold),
        (
            "crowded",
            Config { slots: 1, ..plain },
            ColdCapacity::Unlimited,
        ),
    ];
    let mut table = String::from("kind seed: started refused revoked longest-queue digest\n");
    for (kind, cfg, capacity) in configs {
        for seed in 0..SEEDS {
            let mut driver = Driver::new(seed, cfg.clone(), capacity);
            for _ in 0..STEPS {
                driver.step();
            }
            let [started, refused, revoked] = driver.counts;
            let (longest, digest) = (driver.longest_queue, driver.digest);
            writeln!(
                table,
                "{kind} {seed}: {started} {refused} {revoked} {longest} {digest:016x}"
            )
            .expect("writing to a string cannot fail");
        }
    }
    insta::assert_snapshot!(table);
}
