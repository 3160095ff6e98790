//! Names of the headers in which callers, upstreams and nodes speak to each other.

use sections::Reader;

/// Header names. A header without a name is neither read nor written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// Time that the sender of a request will wait, in milliseconds.
    pub deadline_ms: String,
    /// How many services a call has passed.
    pub level: String,
    /// Identity of a caller's try; an upstream's answer repeats it.
    pub request_id: Option<String>,
    /// Service of the VM on which a request began; always set by the node.
    pub caller_service: Option<String>,
    /// The run of the upstream that is meant; another one must not run the request.
    pub expected_instance: Option<String>,
    /// The run of the upstream that answered a health check.
    pub instance: Option<String>,
    /// Says in an upstream's answer that the request was not run.
    pub not_run: Option<String>,
    /// Running, waiting and slots of the upstream, and how long work takes there in hundredths.
    pub load: Option<String>,
    /// In an answer to a health check: how much longer the upstream is cold, in milliseconds.
    pub cold_ms: Option<String>,
    /// In an upstream's answer: the requests a second that it takes from all nodes together, as a decimal number.
    pub request_limit: Option<String>,
    /// In an upstream's answer: `1` says that it leaves.
    pub leaving: Option<String>,
    /// Key of a client account; read here and shown to no upstream.
    pub account_key: Option<String>,
    /// Name of the client account in which a request runs; always set by the node.
    pub account: Option<String>,
    /// Whether `Retry-After` may hold a fraction of a second; otherwise it is rounded up.
    pub retry_after_fractions: bool,
    /// Whether every request that was not run for lack of capacity or time ends as 503.
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
