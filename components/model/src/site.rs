//! Description of a site: VMs, services, classes of requests.

use names::{Moment, Name};

#[derive(Debug, Clone)]
pub struct Service {
    pub name: Name,
    /// Concurrent requests per upstream.
    pub slots: u32,
    /// Limit of a cold upstream; `None`: the same as when warm.
    pub cold: Option<ColdLimit>,
    /// Concurrent attempts that an upstream processes at normal speed; above, new attempts slow
    /// down in proportion. `None`: the number of slots.
    pub sustained_concurrency: Option<u32>,
}

/// Limit of starts at a cold upstream.
#[derive(Debug, Clone, Copy)]
pub struct ColdLimit {
    /// Starts per second that the node allows; `None`: the node knows no limit.
    pub declared: Option<u32>,
    /// The upstream crashes at more starts than this in one second.
    pub crash_threshold: usize,
    /// Downtime after a crash, in microseconds.
    pub downtime_us: u64,
}

/// Calls that an upstream makes for a request after its own work.
#[derive(Debug, Clone, Copy)]
pub struct Calls {
    /// Index of the called class.
    pub class: usize,
    /// Number of calls.
    pub count: u32,
    /// Whether the calls are made one after another; otherwise all at once.
    pub sequential: bool,
    /// Share of the requests that make calls.
    pub share: f64,
}

/// Long-tail runs. Once a run of a request was drawn as long, further runs of it take the typical
/// time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tail {
    /// Share of the runs.
    pub share: f64,
    /// Factor on the time of their own work.
    pub factor: f64,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name in reports.
    pub name: Name,
    /// Index of the service.
    pub service: usize,
    /// Priority of the route.
    pub priority: u8,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Time within which an answer has its full value, in microseconds.
    pub objective_us: u64,
    /// The caller's deadline, in microseconds.
    pub deadline_us: u64,
    /// Timeout of the route, in microseconds.
    pub timeout_us: u64,
    /// Mean time of the own work at normal speed, in microseconds.
    pub work_us: f64,
    /// Standard deviation of the work relative to its mean.
    pub spread: f64,
    /// Long-tail runs.
    pub tail: Option<Tail>,
    /// Calls made for a request.
    pub calls: Option<Calls>,
    /// Value of an answer within the objective, and of a later one.
    pub value: (f64, f64),
}

/// A VM with a node and an upstream.
#[derive(Debug, Clone)]
pub struct Vm {
    /// Index of the hall.
    pub hall: usize,
    /// Index of the service of its upstream.
    pub service: usize,
    /// When node and upstream begin to serve.
    pub up_at: Moment,
}

/// Slow phases and cold starts of upstreams.
#[derive(Debug, Clone, Copy)]
pub struct SpeedModel {
    /// Share of phases in which an upstream is slow.
    pub slow_share: f64,
    /// Factor on the time of work that begins in a slow phase.
    pub slow_factor: f64,
    /// Length of a phase, in microseconds.
    pub phase_us: u64,
    /// How long an upstream is cold after its start, in microseconds.
    pub cold_us: u64,
    /// Factor on the time of work that begins while the upstream is cold.
    pub cold_factor: f64,
}

#[derive(Debug, Clone)]
pub struct Site {
    pub services: Vec<Service>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    pub vms: Vec<Vm>,
    /// Slow phases and cold starts.
    pub speed: SpeedModel,
    /// Fraction of the slots that nodes use.
    pub usable_fraction: f64,
    /// Message latency within a hall and between halls, in microseconds.
    pub latency_us: (u64, u64),
    /// Behaviour of callers.
    pub callers: Callers,
    /// Client accounts, by the index used in arrivals.
    pub accounts: Vec<Account>,
}

/// Behaviour of callers after a refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Callers {
    /// Maximum number of tries per caller.
    pub max_tries: u32,
    /// Whether a caller retries after a third of its remaining time if `Retry-After` is longer than
    /// that; otherwise it gives up.
    pub shortens_long_waits: bool,
    /// Latency between a caller and its node, in microseconds.
    pub latency_us: u64,
}

impl Default for Callers {
    fn default() -> Callers {
        Callers {
            max_tries: 2,
            shortens_long_waits: false,
            latency_us: 0,
        }
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    pub name: Name,
    /// Base weight in the distribution of requests, in any unit.
    pub weight: f64,
}

/// A fault of upstreams during a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    pub from: Moment,
    pub until: Moment,
    pub kind: FaultKind,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// This share of the upstreams of each service and hall is down; their nodes keep running.
    Down(f64),
    /// Work that begins during the fault takes this many times as long at all upstreams.
    Slow(f64),
}

/// Prefix of VM names; the index follows.
const VM_PREFIX: &str = "vm-";

/// Name of a VM, as used by the duties.
pub(crate) fn vm_name(index: usize) -> Name {
    Name::from(format!("{VM_PREFIX}{index}"))
}

/// Index of the VM with this name.
pub(crate) fn vm_of(name: &Name) -> usize {
    let index = name.as_str().strip_prefix(VM_PREFIX);
    let index = index.and_then(|index| index.parse().ok());
    index.expect("every VM has a name with its index")
}
