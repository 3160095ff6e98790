//! The path of one request, put together from the log lines of all nodes.

use serde_json::{Map, Value};

/// Fields that are shown in front of a step, or that say nothing about it.
const LEFT_OUT: &[&str] = &["timestamp", "level", "message", "id"];

/// One line that touches the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When, as the node's clock had it.
    pub timestamp: String,
    /// Where the line came from: the text in front of the JSON object, or the file.
    pub source: String,
    /// The call made for the request, when the step belongs to one; empty for the request itself.
    pub call: String,
    /// What was decided.
    pub message: String,
    /// The inputs of the decision and its outcome, as `name=value`.
    pub detail: String,
}

/// The steps of the request `id` and of the calls made for it, in the order of the nodes' clocks.
/// `lines` come with the name of their file; what is no JSON object is passed over.
pub fn steps<'a>(id: &str, lines: impl Iterator<Item = (&'a str, &'a str)>) -> Vec<Step> {
    let mut found: Vec<Step> = lines
        .filter_map(|(file, line)| step(id, file, line))
        .collect();
    found.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    found
}

/// The steps as text, one a line.
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
    let call = belongs(id, fields.get("id")?.as_str()?)?;
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

/// What is added to `id` in the identity of a line: nothing for the request itself.
fn belongs<'a>(id: &str, found: &'a str) -> Option<&'a str> {
    let rest = found.strip_prefix(id)?;
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
        .filter(|(name, _)| !LEFT_OUT.contains(&name.as_str()))
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
    shown.collect::<Vec<_>>().join(" ")
}
