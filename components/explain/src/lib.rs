//! The path of one request through the nodes, reconstructed from their log lines.

use serde_json::{Map, Value};

/// Fields that are not part of a step's detail: they are shown before it, or not at all.
const EXCLUDED_FIELDS: &[&str] = &["timestamp", "level", "message", "id"];

/// One log line about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Time by the node's clock.
    pub timestamp: String,
    /// Origin of the line: the text before the JSON object, or else the file.
    pub source: String,
    /// The call made for the request to which the step belongs; empty for the request itself.
    pub call: String,
    /// What happened or was decided.
    pub message: String,
    /// The other fields, as `name=value`: inputs of a decision and its outcome.
    pub detail: String,
}

/// The steps of the request `id` and of the calls made for it, ordered by the nodes' clocks.
/// `lines` are pairs of file name and line; lines without a JSON object are skipped.
pub fn steps<'a>(id: &str, lines: impl Iterator<Item = (&'a str, &'a str)>) -> Vec<Step> {
    let mut steps: Vec<Step> = lines
        .filter_map(|(file, line)| step(id, file, line))
        .collect();
    steps.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    steps
}

/// The steps as text, one per line.
pub fn to_text(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        let call = if step.call.is_empty() {
            String::new()
        } else {
            format!(" [call {}]", step.call)
        };
        text += &format!(
            "{} {}{call}: {} {}\n",
            step.timestamp, step.source, step.message, step.detail
        );
    }
    text
}

fn step(id: &str, file: &str, line: &str) -> Option<Step> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let call = call_of(id, fields.get("id")?.as_str()?)?;
    let prefix = line[..start].trim();
    let source = if prefix.is_empty() { file } else { prefix };
    Some(Step {
        timestamp: text(&fields, "timestamp"),
        source: source.to_string(),
        call: call.to_string(),
        message: text(&fields, "message"),
        detail: detail(&fields),
    })
}

/// The suffix that `line_id` adds to `id`, which names a call made for the request; empty for the
/// request itself, and none for other requests.
fn call_of<'a>(id: &str, line_id: &'a str) -> Option<&'a str> {
    let rest = line_id.strip_prefix(id)?;
    if rest.is_empty() {
        return Some("");
    }
    rest.strip_prefix('.')
}

fn text(fields: &Map<String, Value>, name: &str) -> String {
    let value = fields.get(name).and_then(Value::as_str);
    value.unwrap_or("-").to_string()
}

fn detail(fields: &Map<String, Value>) -> String {
    let shown = fields
        .iter()
        .filter(|(name, _)| !EXCLUDED_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
    shown.collect::<Vec<_>>().join(" ")
}
