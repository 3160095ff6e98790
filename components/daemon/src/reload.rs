//! Settings that change while the node runs.
//!
//! The file is polled, and applied when its values have changed and after each SIGHUP. The settings
//! in [`Live`] apply from the next request on; all other addresses, names and memory limits remain
//! until the next start.

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

/// Time between two reads of the file.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads the settings file as it is now.
pub type Source = Box<dyn Fn() -> Result<Settings, Problems>>;

/// Settings that may change while the node runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Live {
    /// Service that runs on the VM.
    pub service: Option<Name>,
    /// Address of its upstream. An upstream that replaces another one on the VM may have another
    /// address.
    pub upstream: Option<SocketAddr>,
    /// Fleet-wide limit on retries.
    pub retries: RetryLimit,
    /// Time limit of a planned stop, in milliseconds.
    pub stop_wait_ms: u64,
    /// Time during a planned stop for which the upstream still receives new requests, in
    /// milliseconds.
    pub linger_ms: u64,
}

impl Live {
    /// The settings in `cfg` that may change.
    pub fn from_settings(cfg: &Settings) -> Live {
        Live {
            service: cfg.service.clone(),
            upstream: cfg.upstream,
            retries: cfg.retries,
            stop_wait_ms: cfg.stop_wait_ms,
            linger_ms: cfg.linger_ms,
        }
    }
}

/// Reads the settings file and updates [`Live`] from it.
pub struct Reloader {
    live: Rc<RefCell<Live>>,
    source: Source,
    /// The problems at the last read, which are logged once.
    last_problems: RefCell<String>,
}

impl Reloader {
    /// Updates `live` from `source`.
    pub fn new(live: Rc<RefCell<Live>>, source: Source) -> Reloader {
        Reloader {
            live,
            source,
            last_problems: RefCell::default(),
        }
    }

    /// Reads the file now. Returns whether state that is derived from the settings has to be
    /// updated: when the values have changed, and if the read was requested by a signal.
    pub fn reload(&self, by_signal: bool) -> bool {
        match (self.source)() {
            Ok(cfg) => {
                self.last_problems.take();
                apply(&self.live, &cfg, by_signal)
            }
            Err(problems) => {
                let problems = problems.to_string();
                let last_problems = self.last_problems.replace(problems.clone());
                if by_signal || problems != last_problems {
                    tracing::warn!(%problems, "invalid settings file; the previous settings stay in force");
                }
                false
            }
        }
    }
}

/// Polls the file for as long as the node runs, and calls `changed` when the values have changed and
/// after each SIGHUP.
pub async fn run(reloader: Rc<Reloader>, changed: impl Fn()) {
    let requested = Rc::new(RefCell::new(false));
    local::spawn(watch_signal(requested.clone()));
    loop {
        task::sleep(POLL_INTERVAL).await;
        if reloader.reload(requested.replace(false)) {
            changed();
        }
    }
}

/// Returns whether state that is derived from the settings has to be updated.
fn apply(live: &RefCell<Live>, cfg: &Settings, by_signal: bool) -> bool {
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

async fn watch_signal(requested: Rc<RefCell<bool>>) {
    let mut signals = match Signals::new([SIGHUP]) {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "no SIGHUP handler; the settings file is still polled");
            return;
        }
    };
    while signals.next().await.is_some() {
        *requested.borrow_mut() = true;
    }
}
