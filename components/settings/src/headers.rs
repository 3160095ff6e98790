//! Names of the headers that callers, upstreams and nodes exchange.

use sections::Reader;

/// Header names. A header without a name is neither read nor written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// Time for which the sender of a request will wait, in milliseconds.
    pub deadline_ms: String,
    /// Call depth: number of services that a call has passed.
    pub level: String,
    /// ID of a caller's try. The upstream's answer repeats it.
    pub request_id: Option<String>,
    /// Service of the VM on which a request originated. Always set by the node.
    pub caller_service: Option<String>,
    /// Incarnation of the upstream that the request is for. Another one must not run it.
    pub expected_instance: Option<String>,
    /// Incarnation of the upstream that answered a health check.
    pub instance: Option<String>,
    /// In an upstream's answer: reports that the request was not run.
    pub not_run: Option<String>,
    /// Running requests, waiting requests and slots of the upstream, and its run times in percent of the
    /// typical ones.
    pub load: Option<String>,
    /// In an answer to a health check: for how much longer the upstream is cold, in milliseconds.
    pub cold_ms: Option<String>,
    /// In an upstream's answer: requests per second that it accepts from all nodes together, as a decimal
    /// number.
    pub request_limit: Option<String>,
    /// In an upstream's answer: `1` reports that it is draining.
    pub leaving: Option<String>,
    /// Key of a client account. Read by the node and not forwarded to upstreams.
    pub account_key: Option<String>,
    /// Name of the client account for which a request runs. Always set by the node.
    pub account: Option<String>,
    /// Whether `Retry-After` may contain a fraction of a second. Otherwise it is rounded up.
    pub retry_after_fractions: bool,
    /// Whether every request that was not run for lack of capacity or time is answered with 503.
    pub not_run_is_503: bool,
}

pub(crate) fn read(reader: &mut Reader) -> Headers {
    let mut name = |key: &str| reader.text("headers", key).filter(|name| !name.is_empty());
    Headers {
        deadline_ms: name("deadline_ms").unwrap_or_else(|| "drumwheel-deadline-ms".to_string()),
        level: name("level").unwrap_or_else(|| "drumwheel-level".to_string()),
        request_id: name("request_id"),
        caller_service: name("caller_service"),
        expected_instance: name("expected_instance"),
        instance: name("instance"),
        not_run: name("not_run"),
        load: name("load"),
        cold_ms: name("cold_ms"),
        request_limit: name("request_limit"),
        leaving: name("leaving"),
        account_key: name("account_key"),
        account: name("account"),
        retry_after_fractions: flag(reader, "retry_after_fractions"),
        not_run_is_503: flag(reader, "not_run_is_503"),
    }
}

fn flag(reader: &mut Reader, key: &str) -> bool {
    reader.value_or("headers", key, "true or false", false)
}
