//! Connections on which callers send requests before they have the answers to earlier ones.

use std::collections::VecDeque;

/// The requests of one connection that have not been answered. Answers leave in the order of the requests, so one that
/// is ready waits for all before it.
#[derive(Debug, Clone)]
pub struct Connection<K, A> {
    waiting: VecDeque<(K, Option<A>)>,
}

impl<K, A> Default for Connection<K, A> {
    fn default() -> Connection<K, A> {
        Connection {
            waiting: VecDeque::new(),
        }
    }
}

impl<K: Copy + Eq, A> Connection<K, A> {
    /// Takes in that a request has been read.
    pub fn read(&mut self, request: K) {
        self.waiting.push_back((request, None));
    }

    /// Takes in that a request's answer is ready. Returns the answers that leave now, in order. An answer to a request
    /// that is not waiting is dropped.
    pub fn ready(&mut self, request: K, answer: A) -> Vec<(K, A)> {
        let slot = self.waiting.iter_mut().find(|(other, _)| *other == request);
        if let Some((_, waiting)) = slot {
            waiting.get_or_insert(answer);
        }
        let mut leaving = Vec::new();
        while let Some((request, answer)) = self.waiting.pop_front() {
            match answer {
                Some(answer) => leaving.push((request, answer)),
                None => {
                    self.waiting.push_front((request, None));
                    break;
                }
            }
        }
        leaving
    }

    /// Number of requests that have not been answered.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether all have been answered.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
