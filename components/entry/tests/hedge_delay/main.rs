//! Compares delays after which a hedged attempt is made.
//!
//! Replays the request classes of a site whose runs take seven times their typical time in 3 of 100
//! cases, at half of the capacity and at 1.3 times the capacity. The delays are: no hedging, a
//! fixed delay, the 90th percentile, and the latest useful moment that home duties use, which is
//! never before the percentile. Home duties, entry duties and calls are the real ones; the test
//! itself only implements the fixed delay and the percentile.

mod replay;

use replay::{replay_load, Delay, Load, Row};
use std::fmt::Write;

const FIXED_MS: u64 = 100;

fn loads() -> Vec<Load> {
    let class = |p50, p90, objective, deadline| replay::Class {
        p50_ms: p50,
        p90_ms: p90,
        objective_ms: objective,
        deadline_ms: deadline,
    };
    let lobby = class(123.0, 213.0, 300, 800);
    let history = class(295.0, 446.0, 800, 2_000);
    let standing = class(37.0, 57.0, 200, 600);
    let load = |name, classes: &[replay::Class], capacity_fraction| Load {
        name,
        classes: classes.to_vec(),
        capacity_fraction,
    };
    vec![
        load("lobby list", &[lobby], 0.5),
        load("history", &[history], 0.5),
        load("standing", &[standing], 0.5),
        load("all at one service", &[lobby, history, standing], 0.5),
        load("standing, short", &[standing], 1.3),
        load("lobby list, short", &[lobby], 1.3),
    ]
}

fn reasons(row: &Row) -> String {
    let reason = |(reason, count): (&&str, &usize)| format!("{reason} {count}");
    row.reasons
        .iter()
        .map(reason)
        .collect::<Vec<_>>()
        .join(", ")
}

fn table() -> (String, Vec<(Load, Delay, Row)>) {
    let mut table = String::new();
    let mut rows = Vec::new();
    writeln!(
        table,
        "{:<18} {:<10} {:>6} {:>7} {:>5} {:>7} {:>6} {:>5} {:>7} {:>8}  not made",
        "load", "delay", "sent", "in time", "late", "refused", "hedges", "won", "p97 ms", "slot ms",
    )
    .expect("a string");
    for load in loads() {
        let delays = [
            Delay::None,
            Delay::Fixed(FIXED_MS),
            Delay::Percentile,
            Delay::LatestUseful,
        ];
        for delay in delays {
            let row = replay_load(&load, delay);
            writeln!(
                table,
                "{:<18} {:<10} {:>6} {:>7} {:>5} {:>7} {:>6} {:>5} {:>7} {:>8}  {}",
                load.name,
                delay.as_str(),
                row.sent,
                row.in_time,
                row.late,
                row.refused,
                row.hedges,
                row.won,
                row.p97_ms,
                row.slot_ms,
                reasons(&row),
            )
            .expect("a string");
            rows.push((load.clone(), delay, row));
        }
    }
    (table, rows)
}

/// Guards against a delay that gives fewer answers in time than the percentile at the load for
/// which hedging is meant, and against hedged attempts while a service is short of slots.
#[test]
fn latest_useful_delay_gives_as_many_answers_in_time_as_the_percentile_with_fewer_hedges() {
    let (table, rows) = table();
    insta::assert_snapshot!("delays", table);
    let row = |name: &str, delay: Delay| {
        let is_match =
            |(load, other, _): &&(Load, Delay, Row)| load.name == name && *other == delay;
        rows.iter()
            .find(is_match)
            .expect("the load was replayed with this delay")
            .2
            .clone()
    };
    for name in ["standing, short", "lobby list, short"] {
        let latest = row(name, Delay::LatestUseful);
        assert!(latest.hedges * 500 <= latest.sent, "{name}");
    }
    for name in ["lobby list", "history", "standing"] {
        let (none, latest) = (row(name, Delay::None), row(name, Delay::LatestUseful));
        let percentile = row(name, Delay::Percentile);
        assert!(latest.in_time > none.in_time, "{name}");
        assert!(latest.in_time * 100 >= percentile.in_time * 99, "{name}");
        assert!(latest.hedges <= percentile.hedges, "{name}");
    }
    let hedges_made = |delay: Delay| -> usize {
        let loads = ["lobby list", "history", "standing"];
        loads.iter().map(|name| row(name, delay).hedges).sum()
    };
    assert!(hedges_made(Delay::LatestUseful) < hedges_made(Delay::Percentile));
}
