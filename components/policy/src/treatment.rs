//! Result of a policy.

use rhai::{Dynamic, Map};

/// Longest deadline that a policy may set, in milliseconds.
const MAX_DEADLINE_MS: i64 = 600_000;
/// Maximum number of runs of a repeatable request.
const MAX_ATTEMPTS: i64 = 5;

/// Treatment of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Treatment {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Longest time until the answer, in milliseconds. A caller may request less.
    pub deadline_ms: u64,
    /// Priority, 0 to 9; a higher number is served first.
    pub priority: u8,
    /// Maximum number of runs of a repeatable request, including the first.
    pub attempts: u32,
    /// Reason for which the request is refused, if it is.
    pub refuse: Option<String>,
}

impl Treatment {
    /// The safest treatment: the request runs at most once and is not refused.
    pub fn safest() -> Treatment {
        Treatment {
            repeatable: false,
            deadline_ms: 5_000,
            priority: 0,
            attempts: 1,
            refuse: None,
        }
    }

    /// Reads the map that a policy returned. An error names the invalid entry.
    pub(crate) fn from_map(map: Map) -> Result<Treatment, String> {
        let mut treatment = Treatment::safest();
        for (key, value) in map {
            match key.as_str() {
                "repeatable" => treatment.repeatable = flag(&key, &value)?,
                "deadline_ms" => {
                    treatment.deadline_ms = number(&key, &value, 1, MAX_DEADLINE_MS)? as u64;
                }
                "priority" => treatment.priority = number(&key, &value, 0, 9)? as u8,
                "attempts" => treatment.attempts = number(&key, &value, 1, MAX_ATTEMPTS)? as u32,
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

fn number(key: &str, value: &Dynamic, min: i64, max: i64) -> Result<i64, String> {
    let number = value
        .as_int()
        .map_err(|found| format!("{key} must be a whole number, not {found}"))?;
    if !(min..=max).contains(&number) {
        return Err(format!("{key} = {number} must be from {min} to {max}"));
    }
    Ok(number)
}

fn text(key: &str, value: Dynamic) -> Result<String, String> {
    value
        .into_string()
        .map_err(|found| format!("{key} must be a string, not {found}"))
}
