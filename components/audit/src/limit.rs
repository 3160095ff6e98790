//! The rate limit on log lines that load may multiply.

use crate::stats;
use clock::Clock;
use logs::Limiter;
use std::cell::RefCell;

/// Maximum of lines of one kind in each second.
const LINES_PER_SECOND: u32 = 200;

/// The kinds of lines that load may multiply, each with its own limit.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    Routed,
    Offered,
    Home,
    Ended,
    Declarations,
    Platform,
    Contained,
    CallerName,
    NotBelieved,
    Hedged,
    BadNotice,
    RequestLimit,
    Stop,
    Closed,
}

const KINDS: usize = 14;

thread_local! {
    static LIMITERS: RefCell<([Limiter; KINDS], Option<Clock>)> =
        const { RefCell::new(([const { Limiter::new(LINES_PER_SECOND) }; KINDS], None)) };
}

/// Whether a line of this kind may be written now.
pub fn allowed(kind: Kind) -> bool {
    if !tracing::enabled!(tracing::Level::INFO) {
        return false;
    }
    LIMITERS.with_borrow_mut(|(limiters, start)| {
        let now_us = start.get_or_insert_with(Clock::start).now().0;
        match limiters[kind as usize].pass(now_us) {
            Some(suppressed) => {
                if suppressed > 0 {
                    tracing::warn!(?kind, missed = suppressed, "log lines suppressed");
                }
                true
            }
            None => {
                stats::log_line_suppressed();
                false
            }
        }
    })
}
