//! The result of a policy.

use rhai::{Dynamic, Map};

/// Longest deadline a policy may give, in milliseconds.
const MOST_DEADLINE_MS: i64 = 600_000;
/// Most runs of a repeatable request.
const MOST_ATTEMPTS: i64 = 5;

/// How one request is to be treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Treatment {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Longest time to an answer, in milliseconds; a caller may ask for less.
    pub deadline_ms: u64,
    /// Priority, 0 to 9; a higher number is served first.
    pub priority: u8,
    /// Runs of a repeatable request at most, counting the first.
    pub attempts: u32,
    /// Refuse the request, for this reason.
    pub refuse: Option<String>,
}

impl Treatment {
    /// The safest treatment: runs at most once, is not refused.
    pub fn safest() -> Treatment {
        Treatment {
            repeatable: false,
            deadline_ms: 5_000,
            priority: 0,
            attempts: 1,
            refuse: None,
        }
    }

    /// Reads the map that a policy gave back; an error names the entry that is wrong.
    pub(crate) fn from_map(map: Map) -> Result<Treatment, String> {
        let mut treatment = Treatment::safest();
        for (key, value) in map {
            match key.as_str() {
                "repeatable" => treatment.repeatable = flag(&key, &value)?,
                "deadline_ms" => {
                    treatment.deadline_ms = number(&key, &value, 1, MOST_DEADLINE_MS)? as u64;
                }
                "priority" => treatment.priority = number(&key, &value, 0, 9)? as u8,
                "attempts" => treatment.attempts = number(&key, &value, 1, MOST_ATTEMPTS)? as u32,
                "refuse" => treatment.refuse = Some(text(&key, value)?),
                other => {
                    return Err(format!(
                        "unknown entry {other:?}; known are repeatable, deadline_ms, priority, \
                         attempts, refuse"
                    ))
                }
            }
        }
        if !treatment.repeatable && treatment.attempts > 1 {
            return Err("attempts above 1 need repeatable: true".to_string());
        }
        Ok(treatment)
    }
}

fn flag(key: &str, value: &Dynamic) -> Result<bool, String> {
    value
        .as_bool()
        .map_err(|found| format!("{key} must be true or false, not {found}"))
}

fn number(key: &str, value: &Dynamic, least: i64, most: i64) -> Result<i64, String> {
    let number = value
        .as_int()
        .map_err(|found| format!("{key} must be a whole number, not {found}"))?;
    if !(least..=most).contains(&number) {
        return Err(format!("{key} = {number} must be from {least} to {most}"));
    }
    Ok(number)
}

fn text(key: &str, value: Dynamic) -> Result<String, String> {
    value
        .into_string()
        .map_err(|found| format!("{key} must be a string, not {found}"))
}
