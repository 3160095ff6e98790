//! Callers' tries and their replies.

use super::{Requester, Try, World};
use crate::caller::CallerReply;
use crate::message::{RequestId, ScheduledEvent};
use names::{Moment, MILLISECOND};

impl World {
    /// A try of a caller reaches its node.
    pub(super) fn on_try(&mut self, caller: usize) {
        let arrival = self.callers[caller].arrival;
        let class = &self.site.classes[arrival.class];
        self.callers[caller].begin_try();
        let sent_at = self.now - self.site.callers.latency_us;
        let remaining_us = self.callers[caller].deadline(class).since(sent_at);
        let deadline = (self.now + remaining_us).min(self.now + class.timeout_us);
        let caller_try = self.caller_try(caller, remaining_us);
        if let Some(connection) = arrival.connection {
            // Index of the request that `start_request` creates below.
            let req = self.requests.len();
            self.connections
                .entry(connection)
                .or_default()
                .request_read(req);
        }
        let requester = Requester::Caller(caller);
        self.start_request(arrival.class, arrival.vm, requester, deadline, caller_try);
    }

    /// Checks whether this caller was refused before, if the policy counts from the first try. The
    /// remaining time is rounded down to milliseconds, as it is when it is sent.
    fn caller_try(&self, caller: usize, remaining_us: u64) -> Option<Try> {
        if !self.policy.counts_from_first_try() {
            return None;
        }
        let arrival = self.callers[caller].arrival;
        let request = (arrival.class, arrival.content);
        let deadline = self.now + remaining_us / MILLISECOND * MILLISECOND;
        let caller_retries = &self.nodes[arrival.vm].caller_retries;
        let first_at = caller_retries.first_try(self.now, &request, deadline);
        Some(Try {
            request,
            first_at: first_at.unwrap_or(self.now),
            is_retry: first_at.is_some(),
            deadline,
        })
    }

    /// Records a request that was not run, so that the caller's next try is recognised.
    pub(super) fn record_refusal(&mut self, req: RequestId) {
        let request = &self.requests[req];
        if let Some(caller_try) = request.caller_try {
            let caller_retries = &mut self.nodes[request.vm].caller_retries;
            caller_retries.record_refusal(
                self.now,
                caller_try.request,
                caller_try.first_at,
                caller_try.deadline,
            );
        }
    }

    /// The answer for a caller is ready. On a pipelined connection it waits for the answers to
    /// earlier requests.
    pub(super) fn on_caller_reply(&mut self, req: RequestId, caller: usize, reply: CallerReply) {
        let Some(connection) = self.callers[caller].arrival.connection else {
            self.deliver_reply(caller, reply);
            return;
        };
        let connection = self.connections.entry(connection).or_default();
        for (req, reply) in connection.answer_ready(req, reply) {
            if let Requester::Caller(caller) = self.requests[req].requester {
                self.deliver_reply(caller, reply);
            }
        }
    }

    fn deliver_reply(&mut self, caller: usize, reply: CallerReply) {
        let site = self.site.callers;
        let class = &self.site.classes[self.callers[caller].arrival.class];
        let received_at: Moment = self.now + site.latency_us;
        if let Some(at) = self.callers[caller].on_reply(received_at, class, &site, reply) {
            self.schedule(at + site.latency_us, ScheduledEvent::TryArrives { caller });
        }
    }
}
