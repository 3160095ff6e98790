//! Callers' tries, and what they are told.

use super::{Asker, Try, World};
use crate::caller::Told;
use crate::message::{Happening, RequestId};
use names::{Moment, MILLISECOND};

impl World {
    /// A try of a caller reaches its node.
    pub(super) fn arrives(&mut self, caller: usize) {
        let arrival = self.callers[caller].arrival;
        let class = &self.site.classes[arrival.class];
        self.callers[caller].tries();
        let sent = self.now - self.site.callers.way_us;
        let left_us = self.callers[caller].deadline(class).since(sent);
        let deadline = (self.now + left_us).min(self.now + class.timeout_us);
        let tried = self.recognise(caller, left_us);
        if let Some(connection) = arrival.connection {
            // The request's number is the next one.
            let req = self.requests.len();
            self.connections.entry(connection).or_default().read(req);
        }
        let asker = Asker::Caller(caller);
        self.begin(arrival.class, arrival.vm, asker, deadline, tried);
    }

    /// Looks whether the caller was refused before, where the policy asks for that. The deadline is passed on in whole
    /// milliseconds.
    fn recognise(&self, caller: usize, left_us: u64) -> Option<Try> {
        if !self.policy.counts_from_first_try() {
            return None;
        }
        let arrival = self.callers[caller].arrival;
        let request = (arrival.class, arrival.content);
        let deadline = self.now + left_us / MILLISECOND * MILLISECOND;
        let returning = &self.nodes[arrival.vm].returning;
        let first = returning.first_try(self.now, &request, deadline);
        Some(Try {
            request,
            first: first.unwrap_or(self.now),
            is_return: first.is_some(),
            deadline,
        })
    }

    /// Remembers a request that was not run, so that its caller's next try is recognised.
    pub(super) fn note(&mut self, req: RequestId) {
        let request = &self.requests[req];
        if let Some(tried) = request.tried {
            let returning = &mut self.nodes[request.vm].returning;
            returning.record_refusal(self.now, tried.request, tried.first, tried.deadline);
        }
    }

    /// A caller's answer is ready. On a connection with earlier requests it waits for theirs.
    pub(super) fn caller_answered(&mut self, req: RequestId, caller: usize, told: Told) {
        let Some(connection) = self.callers[caller].arrival.connection else {
            self.caller_told(caller, told);
            return;
        };
        let connection = self.connections.entry(connection).or_default();
        for (req, told) in connection.ready(req, told) {
            if let Asker::Caller(caller) = self.requests[req].asker {
                self.caller_told(caller, told);
            }
        }
    }

    fn caller_told(&mut self, caller: usize, told: Told) {
        let site = self.site.callers;
        let class = &self.site.classes[self.callers[caller].arrival.class];
        let told_at: Moment = self.now + site.way_us;
        if let Some(at) = self.callers[caller].told(told_at, class, &site, told) {
            self.at(at + site.way_us, Happening::Arrives { caller });
        }
    }
}
