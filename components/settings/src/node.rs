//! The settings and their checks.

use crate::accounts::{self, AccountBounds};
use crate::cold::{self, ColdLimit};
use crate::headers::{self, Headers};
use crate::millis::{Millis, MILLIS_FORMAT};
use crate::shortage::{self, Admission, Hedging};
use buffers::Limits;
use errors::{Problem, Problems};
use names::Name;
use sections::Reader;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// Maximum number of slots of an upstream.
const MAX_SLOTS: u64 = 10_000;
/// Upper bound of the configurable body limit.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Memory of the VM that can be configured, in MB. With less, the program itself leaves no room.
const MEMORY_MB: RangeInclusive<u64> = 48..=1_048_576;
/// Default memory of the VM for the process, in MB: that of the smallest VMs.
const DEFAULT_MEMORY_MB: u64 = 160;
/// Default body limit.
const DEFAULT_BODY_BYTES: u64 = 1024 * 1024;
/// Default time for which an answer is awaited after the deadline: an upstream that ignores deadlines
/// may take this long.
const DEFAULT_OVERRUN_MS: u64 = 30_000;
/// Default maximum wait of a planned stop.
const DEFAULT_STOP_WAIT_MS: u64 = 10_000;
/// Default bound on retries: one for every five requests, and 100 more, in any window of 10 s.
const DEFAULT_RETRIES: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 100.0,
    window_ms: 10_000,
};
/// Default time within which a change must be in force on all nodes: the requirement of deployments
/// for their whole fleet.
const DEFAULT_IN_FORCE_WITHIN_MS: u64 = 4_000;
/// Minimum length of the fleet key, in bytes.
const MIN_KEY_LENGTH: usize = 16;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = ();
    fn from_str(text: &str) -> Result<LogFormat, ()> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(()),
        }
    }
}

/// Source of the list of nodes and of the declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetSource {
    /// The platform's list of VMs, and the head that operators write.
    Listed,
    /// Records that the nodes keep in the platform's store and exchange with each other. Upstreams
    /// register at their local node.
    Registered,
}

impl std::str::FromStr for FleetSource {
    type Err = ();
    fn from_str(text: &str) -> Result<FleetSource, ()> {
        match text {
            "listed" => Ok(FleetSource::Listed),
            "registered" => Ok(FleetSource::Registered),
            _ => Err(()),
        }
    }
}

/// Bound on retries for the whole fleet: runs of a service's requests beyond the first run of each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries per request in the window.
    pub ratio: f64,
    /// Further retries in any window.
    pub slack: f64,
    pub window_ms: u64,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the VM, as in the platform's list.
    pub vm: Name,
    /// Data hall of the VM.
    pub hall: Name,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which other nodes connect.
    pub peers: SocketAddr,
    /// Address that is announced to other nodes, if it differs from `peers`.
    pub peers_told: Option<SocketAddr>,
    /// Address at which operators connect.
    pub operators: SocketAddr,
    /// Address of the local upstream; `None` on a node with entry duty only.
    pub upstream: Option<SocketAddr>,
    /// Number of requests that the upstream serves concurrently.
    pub slots: u32,
    /// Fraction of the slots that is used.
    pub usable: f64,
    /// Maximum rate of health probes of the upstream, per second; 0 disables them.
    pub looks_per_s: u32,
    /// Idle connections to the upstream that are kept open.
    pub warm_connections: usize,
    /// Maximum number of connections to the upstream.
    pub max_connections: usize,
    /// Addresses of the platform's object API.
    pub platform: Vec<SocketAddr>,
    /// Time within which a change of the declarations must be in force on all nodes, in milliseconds.
    pub in_force_within_ms: u64,
    /// Addresses of peers from which the node learns the fleet while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Key that all nodes of the fleet share.
    pub fleet_key: String,
    /// Limits on what the node holds for others, from the memory of the VM.
    pub buffers: Limits,
    /// Maximum size of the body of a request or an answer.
    pub max_body_bytes: usize,
    /// Maximum number of connections of callers.
    pub max_callers: usize,
    /// Maximum time for which a planned stop waits for requests in flight.
    pub stop_wait_ms: u64,
    /// Time during a planned stop for which the upstream still receives new requests: callers learn with
    /// a delay that this node stops.
    pub linger_ms: u64,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub log_level: String,
    /// Selection rule: expected, priced, two-choices or random; the last two are baselines of the benchmark.
    pub rule: String,
    pub fleet: FleetSource,
    /// Service that runs on the VM and in whose name its calls are made.
    pub service: Option<Name>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Address at which readiness is queried.
    pub ready: Option<SocketAddr>,
    /// Path at which readiness is queried.
    pub ready_path: String,
    /// Address at which the local upstream registers.
    pub registrations: Option<SocketAddr>,
    /// Header names.
    pub headers: Headers,
    /// Time for which an answer of the upstream is still awaited after the deadline.
    pub overrun_ms: u64,
    /// Whether the body of an answer may end with the connection.
    pub end_by_close: bool,
    /// Fleet-wide bound on retries.
    pub retries: RetryLimit,
    /// Time after which an evacuated hall must get no new work, in milliseconds; 0 if operators never
    /// evacuate a hall.
    pub evacuated_within_ms: u64,
    /// Interval between two registrations of the upstream, in milliseconds; 0 if unknown.
    pub registers_every_ms: u64,
    /// How far a cold upstream may be loaded beyond its declared rate.
    pub cold: ColdLimit,
    /// How precisely the fleet enforces the declarations of client accounts.
    pub accounts: AccountBounds,
    /// How the slots of a service are assigned when they are scarce.
    pub admission: Admission,
    /// Hedged attempts of requests that run for long.
    pub hedging: Hedging,
}

impl Settings {
    /// The bound on the age of the declarations that a node uses, in milliseconds: the time within
    /// which changes must be in force or, if that is shorter, withdrawn keys be rejected.
    pub fn declarations_age_bound_ms(&self) -> u64 {
        let withdrawn_within_ms = self.accounts.withdrawn_within_ms.unwrap_or(u64::MAX);
        self.in_force_within_ms.min(withdrawn_within_ms)
    }

    /// Reads and checks the file at `path`; reports all problems at once.
    pub fn load(path: &Path) -> Result<Settings, Problems> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            Problems(vec![Problem {
                file: file.clone(),
                line: 0,
                section: String::new(),
                key: String::new(),
                value: String::new(),
                allowed: format!("cannot be read: {error}"),
            }])
        })?;
        Settings::parse(&file, &text)
    }

    /// Reads and checks `text`, the content of `file`.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Problems> {
        let mut reader = Reader::new(file, text)?;
        let settings = read(&mut reader);
        reader.finish(&[
            "node",
            "listen",
            "upstream",
            "platform",
            "peers",
            "limits",
            "log",
            "choice",
            "headers",
            "retries",
            "accounts",
            "admission",
            "hedging",
        ])?;
        settings.ok_or_else(Problems::default)
    }
}

fn read(reader: &mut Reader) -> Option<Settings> {
    let vm = reader.required("node", "vm", "the VM's name in the platform's list");
    let hall = reader.required("node", "hall", "the name of the data hall");
    let callers = address(reader, "listen", "callers");
    let peers = address(reader, "listen", "peers");
    let peers_told = optional_address(reader, "listen", "peers_told");
    let operators = address(reader, "listen", "operators");
    let upstream = optional_address(reader, "upstream", "address");
    let slots = reader.number_or("upstream", "slots", 1..=MAX_SLOTS, 1) as u32;
    let usable = usable(reader);
    let looks_per_s = reader.number_or("upstream", "looks_per_s", 0..=1_000, 0) as u32;
    let max_connections = reader.number_or("upstream", "connections", 1..=100_000, 200) as usize;
    let warm_connections = reader.number_or("upstream", "warm", 0..=100_000, slots as u64) as usize;
    let platform = addresses(reader, "platform", "addresses");
    let in_force_within_ms = millis(
        reader,
        "platform",
        "in_force_within",
        DEFAULT_IN_FORCE_WITHIN_MS,
    );
    let seeds = addresses(reader, "peers", "seeds");
    let fleet_key = fleet_key(reader);
    let buffers = buffers(reader);
    let max_body_bytes = reader.number_or(
        "limits",
        "body_bytes",
        1..=MAX_BODY_BYTES,
        DEFAULT_BODY_BYTES,
    ) as usize;
    let max_body_bytes = max_body_bytes.min(buffers.message_bytes());
    let max_callers = reader.number_or("limits", "callers", 1..=100_000, 1_000) as usize;
    let stop_wait_ms = millis(reader, "limits", "stop_wait_ms", DEFAULT_STOP_WAIT_MS);
    let linger_ms = millis(reader, "limits", "linger", 0);
    let log_format = reader.value_or("log", "format", "text or json", LogFormat::Text);
    let log_level = one_of(
        reader,
        "log",
        "level",
        &["error", "warn", "info", "debug", "trace"],
        "info",
    );
    let rule = one_of(
        reader,
        "choice",
        "rule",
        &["expected", "priced", "two-choices", "random"],
        "expected",
    );
    let fleet = reader.value_or(
        "platform",
        "fleet",
        "listed or registered",
        FleetSource::Listed,
    );
    let service = reader
        .text("node", "service")
        .filter(|name| !name.is_empty());
    let first_start = reader.value_or("node", "first_start", "true or false", false);
    let ready = optional_address(reader, "listen", "ready");
    let ready_path = reader.text("listen", "ready_path");
    let registrations = optional_address(reader, "listen", "registrations");
    let headers = headers::read(reader);
    let overrun_ms = millis(reader, "upstream", "overrun", DEFAULT_OVERRUN_MS);
    let end_by_close = reader.value_or("upstream", "end_by_close", "true or false", false);
    let retries = retries(reader);
    let cold = cold::read(reader);
    let accounts = accounts::read(reader);
    let admission = shortage::read_admission(reader);
    let hedging = shortage::read_hedging(reader);
    let evacuated_within_ms = millis(reader, "platform", "evacuated_within", 0);
    let registers_every_ms = millis(reader, "upstream", "registers_every", 0);
    Some(Settings {
        admission,
        hedging,
        accounts,
        cold,
        registers_every_ms,
        evacuated_within_ms,
        fleet,
        service: service.map(Name::from),
        first_start,
        ready,
        ready_path: ready_path.unwrap_or_else(|| "/readyz".to_string()),
        registrations,
        headers,
        overrun_ms,
        end_by_close,
        retries,
        vm: Name::from(vm?),
        hall: Name::from(hall?),
        callers: callers?,
        peers: peers?,
        peers_told,
        operators: operators?,
        upstream,
        slots,
        usable,
        looks_per_s,
        warm_connections,
        max_connections,
        platform,
        in_force_within_ms,
        seeds,
        fleet_key: fleet_key?,
        buffers,
        max_body_bytes,
        max_callers,
        stop_wait_ms,
        linger_ms,
        log_format,
        log_level,
        rule,
    })
}

fn millis(reader: &mut Reader, section: &str, key: &str, default: u64) -> u64 {
    reader
        .value_or(section, key, MILLIS_FORMAT, Millis(default))
        .0
}

fn buffers(reader: &mut Reader) -> Limits {
    let memory_mb = reader.number_or("limits", "memory_mb", MEMORY_MB, DEFAULT_MEMORY_MB);
    Limits::new(memory_mb as usize * 1024 * 1024)
}

fn usable(reader: &mut Reader) -> f64 {
    let allowed = "a fraction above 0, at most 1";
    let usable = reader.value_or("upstream", "usable", allowed, 1.0);
    if usable > 0.0 && usable <= 1.0 {
        return usable;
    }
    reader.problem("upstream", "usable", &usable.to_string(), allowed);
    1.0
}

fn retries(reader: &mut Reader) -> RetryLimit {
    let allowed = "a number, 0 or more";
    RetryLimit {
        ratio: reader.value_or("retries", "ratio", allowed, DEFAULT_RETRIES.ratio),
        slack: reader.value_or("retries", "slack", allowed, DEFAULT_RETRIES.slack),
        window_ms: millis(reader, "retries", "window", DEFAULT_RETRIES.window_ms),
    }
}

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";

fn address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    reader.required_as(section, key, ADDRESS)
}

fn optional_address(reader: &mut Reader, section: &str, key: &str) -> Option<SocketAddr> {
    reader.text(section, key).filter(|text| !text.is_empty())?;
    reader.required_as(section, key, ADDRESS)
}

fn addresses(reader: &mut Reader, section: &str, key: &str) -> Vec<SocketAddr> {
    let Some(text) = reader.text(section, key) else {
        return Vec::new();
    };
    let mut parsed = Vec::new();
    for word in text.split_whitespace() {
        match word.parse() {
            Ok(address) => parsed.push(address),
            Err(_) => reader.problem(
                section,
                key,
                word,
                &format!("each must be {ADDRESS}, separated by spaces"),
            ),
        }
    }
    parsed
}

fn fleet_key(reader: &mut Reader) -> Option<String> {
    let allowed = format!("the fleet's shared key, {MIN_KEY_LENGTH} characters or more");
    let key = reader.required("peers", "key", &allowed)?;
    if key.len() < MIN_KEY_LENGTH {
        reader.problem("peers", "key", "(hidden)", &format!("must be {allowed}"));
        return None;
    }
    Some(key)
}

fn one_of(
    reader: &mut Reader,
    section: &str,
    key: &str,
    allowed: &[&str],
    default: &str,
) -> String {
    let Some(value) = reader.text(section, key) else {
        return default.to_string();
    };
    if !allowed.contains(&value.as_str()) {
        let list = format!("must be one of {}", allowed.join(", "));
        reader.problem(section, key, &value, &list);
        return default.to_string();
    }
    value
}
