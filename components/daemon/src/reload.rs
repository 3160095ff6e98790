//! Settings that change while the node runs.
//!
//! The file is read again after SIGHUP and whenever its text has changed. Addresses, names and
//! limits of memory hold until the next start; what is kept here holds from the next request on.

use crate::local;
use async_std::task;
use errors::Problems;
use futures_util::StreamExt;
use names::Name;
use settings::{RetryLimit, Settings};
use signal_hook::consts::signal::SIGHUP;
use signal_hook_async_std::Signals;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two looks at the file.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// Reads the settings file as it is now.
pub type Source = Box<dyn Fn() -> Result<Settings, Problems>>;

/// Settings that may change while the node runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Live {
    /// Service that runs on the VM.
    pub service: Option<Name>,
    /// Where its upstream serves: one that takes the place of another on the VM may serve elsewhere.
    pub upstream: Option<SocketAddr>,
    /// Fleet-wide bound on retries.
    pub retries: RetryLimit,
    /// Longest time of a planned stop, in milliseconds.
    pub stop_wait_ms: u64,
}

impl Live {
    /// The part of `cfg` that may change.
    pub fn from_settings(cfg: &Settings) -> Live {
        Live {
            service: cfg.service.clone(),
            upstream: cfg.upstream,
            retries: cfg.retries,
            stop_wait_ms: cfg.stop_wait_ms,
        }
    }
}

/// Follows the file for as long as the node runs: keeps `live` as the file says, and calls `changed` after each reading
/// that may have changed it.
pub async fn run(live: Rc<RefCell<Live>>, source: Source, changed: impl Fn()) {
    let asked = Rc::new(RefCell::new(false));
    local::spawn(watch_signal(asked.clone()));
    let mut last_bad = String::new();
    loop {
        task::sleep(LOOK_EVERY).await;
        let by_signal = asked.replace(false);
        match source() {
            Ok(cfg) => {
                last_bad.clear();
                if take_in(&live, &cfg, by_signal) {
                    changed();
                }
            }
            Err(problems) => {
                let problems = problems.to_string();
                if by_signal || problems != last_bad {
                    tracing::warn!(%problems, "settings not taken; the ones before stay in force");
                }
                last_bad = problems;
            }
        }
    }
}

/// Whether what follows from the settings has to be worked out anew.
fn take_in(live: &RefCell<Live>, cfg: &Settings, by_signal: bool) -> bool {
    let next = Live::from_settings(cfg);
    let before = live.replace(next.clone());
    if before == next && !by_signal {
        return false;
    }
    tracing::info!(
        by_signal,
        changed = before != next,
        ?next,
        "settings read again"
    );
    true
}

async fn watch_signal(asked: Rc<RefCell<bool>>) {
    let mut signals = match Signals::new([SIGHUP]) {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "SIGHUP is not caught; the file is still probed at");
            return;
        }
    };
    while signals.next().await.is_some() {
        *asked.borrow_mut() = true;
    }
}
