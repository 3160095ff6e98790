//! What an account has running and queued, from the log line of a home duty to the steps of a
//! request.

use audit::AttemptDecision;
use home::{AccountLoad, Load, Reason};
use names::{AttemptId, BootId, Name};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// Writer that keeps the lines in memory.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no writer panics").write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_decision(id: &str, reason: Option<Reason>, account: Option<(&Name, AccountLoad)>) {
    let attempt = AttemptId {
        boot: BootId(9),
        seq: 1,
    };
    let load = Load {
        in_flight: 12,
        queued: 31,
        limit: 12,
        ..Load::default()
    };
    let decision = reason.map_or("queued", |_| "refused");
    let decided = AttemptDecision {
        attempt,
        decision,
        reason,
        upstream: None,
        load,
        slowdown_age_us: None,
        account,
    };
    audit::attempt_decided(id, &decided);
}

#[test]
fn steps_show_what_the_account_has_running_and_queued() {
    // A refusal in favour of another account must be distinguishable from one for lack of slots.
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .without_time()
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let account = Name::from("clinic");
        let account_load = AccountLoad {
            running: 5,
            queued: 27,
        };
        log_decision("r1", Some(Reason::Busy), Some((&account, account_load)));
        log_decision("r2", None, None);
    });
    let written = lines.0.lock().expect("no writer panics").clone();
    let text = String::from_utf8(written).expect("lines are text");
    let steps = |id| {
        let lines = text.lines().map(|line| ("node.log", line));
        explain::to_text(&explain::steps(id, lines))
    };
    insta::assert_snapshot!(format!("{}{}", steps("r1"), steps("r2")));
}
