//! Connections with pipelined requests.

use std::collections::VecDeque;

/// Unanswered requests of one connection. Answers are sent in the order of the requests, so an
/// answer that is ready waits for all earlier ones.
#[derive(Debug, Clone)]
pub struct Connection<K, A> {
    unanswered: VecDeque<(K, Option<A>)>,
}

impl<K, A> Default for Connection<K, A> {
    fn default() -> Connection<K, A> {
        Connection {
            unanswered: VecDeque::new(),
        }
    }
}

impl<K: Copy + Eq, A> Connection<K, A> {
    /// Adds a request that has been read.
    pub fn request_read(&mut self, request: K) {
        self.unanswered.push_back((request, None));
    }

    /// Stores the answer to a request and returns the answers that can be sent now, in order.
    /// Answers to requests that are not pending are dropped.
    pub fn answer_ready(&mut self, request: K, answer: A) -> Vec<(K, A)> {
        let entry = self
            .unanswered
            .iter_mut()
            .find(|(other, _)| *other == request);
        if let Some((_, response)) = entry {
            response.get_or_insert(answer);
        }
        let mut released = Vec::new();
        while let Some((request, answer)) = self.unanswered.pop_front() {
            match answer {
                Some(answer) => released.push((request, answer)),
                None => {
                    self.unanswered.push_front((request, None));
                    break;
                }
            }
        }
        released
    }

    pub fn len(&self) -> usize {
        self.unanswered.len()
    }

    pub fn is_empty(&self) -> bool {
        self.unanswered.is_empty()
    }
}
