//! A home duty, and offers with accounts.

use home::{Action, Config, Home, Offer, Suspicion, Verdict};
use names::{AttemptId, BootId, Moment, MILLISECOND, SECOND};

pub const SLOTS: u32 = 2;
pub const RUN_US: u64 = 100 * MILLISECOND;
pub const START: Moment = Moment(10 * SECOND);

pub fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(9),
        seq,
    }
}

pub fn offer(seq: u64, account: &str) -> Offer {
    Offer {
        id: id(seq),
        service: "s".into(),
        remaining_us: 10 * SECOND,
        objective_us: None,
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue: true,
        repeat: false,
        suspicion: Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit: None,
        account: Some(account.into()),
    }
}

/// A home duty with run times of each class on record, and the time after them. A class is given as
/// (repeatable, run time in microseconds).
pub fn warm_home(slots: u32, classes: &[(bool, u64)]) -> (Home<u64>, Moment) {
    let cfg = Config {
        slots,
        adaptive: false,
        ..Config::default()
    };
    let mut home = Home::new(BootId(1), cfg);
    let mut now = START;
    for (repeatable, run_us) in classes {
        for _ in 0..20 {
            let seq = now.0;
            let warm_up = Offer {
                repeatable: *repeatable,
                ..offer(seq, "warm")
            };
            home.offer(now, &warm_up);
            now = now + *run_us;
            home.completed(now, id(seq), Verdict::Good, None);
        }
    }
    (home, now)
}

pub fn started(actions: &[Action]) -> Vec<u64> {
    let started = |action: &Action| match action {
        Action::Start(id) => Some(id.seq),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}
