//! Messages and exit codes of the command line.

use errors::{Error, Problems};
use operator::NodeStatus;
use rollout::{ApplyOutcome, Head};
use serde_json::json;
use std::process::ExitCode;

/// Exit code: failed.
pub const FAILED: u8 = 1;
/// Exit code: invalid input.
pub const BAD_INPUT: u8 = 2;
/// Exit code: conflict with another operator's change.
pub const CONFLICT: u8 = 3;
/// Exit code: the outcome is unknown, because the platform gave no answer. The command can be
/// repeated with the same change id.
pub const UNKNOWN: u8 = 4;

/// Prints a failure.
pub fn failure(error: &Error) -> ExitCode {
    eprintln!("drumwheel: {error}");
    ExitCode::from(FAILED)
}

/// Prints that an input could not be read.
pub fn unreadable(error: &str) -> ExitCode {
    eprintln!("drumwheel: {error}");
    ExitCode::from(BAD_INPUT)
}

/// Prints that there is no log line of a request.
pub fn nothing_found(id: &str) -> ExitCode {
    eprintln!("drumwheel: no log lines for the request {id}");
    ExitCode::from(FAILED)
}

/// Prints the problems of a set of declarations.
pub fn problems(problems: &Problems) -> ExitCode {
    eprintln!("{problems}");
    ExitCode::from(BAD_INPUT)
}

/// Prints the outcome of a change.
pub fn outcome(outcome: &ApplyOutcome, id: &str, as_json: bool) -> ExitCode {
    let (text, value, code) = describe(outcome, id);
    if as_json {
        println!("{value}");
    } else if code == 0 {
        println!("{text}");
    } else {
        eprintln!("drumwheel: {text}");
    }
    ExitCode::from(code)
}

fn describe(outcome: &ApplyOutcome, id: &str) -> (String, serde_json::Value, u8) {
    match outcome {
        ApplyOutcome::Accepted(head) => (
            format!("accepted as revision {} (change {id})", head.revision),
            json!({ "outcome": "accepted", "revision": head.revision, "id": id }),
            0,
        ),
        ApplyOutcome::Conflict { revision, theirs } => {
            let change = theirs.as_ref().map_or_else(
                || "no revision is in force, but the plan was based on one".to_string(),
                |change| format!("{} changed it first: {}", change.who, change.why),
            );
            (
                format!("conflict with revision {revision}: {change}; make a new plan"),
                json!({ "outcome": "conflict", "revision": revision, "theirs": theirs, "id": id }),
                CONFLICT,
            )
        }
        ApplyOutcome::Unknown => (
            format!(
                "unknown: the platform gave no answer; run again with the same --base and --id {id}"
            ),
            json!({ "outcome": "unknown", "id": id }),
            UNKNOWN,
        ),
        ApplyOutcome::Damaged(cause) => (
            format!("the platform's store is damaged: {cause}"),
            json!({ "outcome": "damaged", "cause": cause, "id": id }),
            FAILED,
        ),
    }
}

/// One line of `history`.
pub fn head_line(head: &Head) -> String {
    format!(
        "revision {}  {} ms  {}  {}  (change {})",
        head.revision, head.change.when_ms, head.change.who, head.change.why, head.change.id
    )
}

/// The store's era and the position up to which a node has read it; empty where the store reports no
/// era.
fn store_position(node: &NodeStatus) -> String {
    let Some(era) = node.store_era else {
        return String::new();
    };
    let read = node
        .store_revision
        .map_or("-".to_string(), |revision| revision.to_string());
    format!("  store era {era}, read up to {read}")
}

/// One line of `status`.
pub fn node_line(vm: &str, result: &Result<NodeStatus, Error>) -> String {
    match result {
        Ok(node) => {
            format!(
            "{:<16} {:<12} revision {:<4} list {:<4} platform {:<11} {} {}/{} running, {} queued{}",
            node.vm,
            node.hall,
            node.revision,
            node.list_version,
            if node.platform_reachable { "reachable" } else { "unreachable" },
            if node.leaving { "leaving" } else { "serving" },
            node.in_flight,
            node.limit,
            node.queued,
            store_position(node)
        )
        }
        Err(error) => format!("{vm:<16} no answer: {error}"),
    }
}
