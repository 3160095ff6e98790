//! What there is: VMs, services, kinds of requests.

use names::{Moment, Name};

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Requests that an upstream of it works on at once.
    pub slots: u32,
    /// What an upstream of it bears while it is cold; none: as much as at other times.
    pub cold: Option<ColdBound>,
    /// Requests at work at once up to which an upstream of it keeps its pace; beyond, all that begins takes longer in
    /// proportion. None: as many as it has slots.
    pub bears: Option<u32>,
}

/// What an upstream bears while it is cold.
#[derive(Debug, Clone, Copy)]
pub struct ColdBound {
    /// Starts in one second that its node allows; none: the node knows of no bound.
    pub known: Option<u32>,
    /// It falls over at more than so many in one second.
    pub falls_at: usize,
    /// How long it is down then, in microseconds.
    pub down_us: u64,
}

/// Calls that an upstream makes for a request when its own work is done.
#[derive(Debug, Clone, Copy)]
pub struct Calls {
    /// Index of their class.
    pub class: usize,
    /// How many.
    pub times: u32,
    /// Whether each waits for the answer of the one before; otherwise all are made at once.
    pub in_turn: bool,
    /// Share of the requests for which they are made.
    pub share: f64,
}

/// Runs that take much longer than usual. A second run of the same request takes the usual time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tail {
    /// Share of the runs.
    pub share: f64,
    /// How much longer their own work takes.
    pub factor: f64,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name in reports.
    pub name: Name,
    /// Index of its service.
    pub service: usize,
    /// Priority from the route.
    pub priority: u8,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Runs at most.
    pub attempts: u32,
    /// Time within which an answer has its full worth, in microseconds.
    pub objective_us: u64,
    /// The caller's deadline, in microseconds.
    pub deadline_us: u64,
    /// Longest time the route allows, in microseconds.
    pub timeout_us: u64,
    /// Own work at the usual pace, in microseconds: mean, and deviation in terms of it.
    pub work_us: f64,
    /// Deviation of the work in terms of its mean.
    pub spread: f64,
    /// Runs that take much longer.
    pub tail: Option<Tail>,
    /// Calls made for it.
    pub calls: Option<Calls>,
    /// Worth of an answer within the objective, and later.
    pub worth: (f64, f64),
}

/// A VM with a node and an upstream.
#[derive(Debug, Clone)]
pub struct Vm {
    /// Index of its hall.
    pub hall: usize,
    /// Index of the service beside the node.
    pub service: usize,
    /// From when on node and upstream serve.
    pub up_at: Moment,
}

/// How fast upstreams work.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Share of the time in which an upstream is in a slow phase.
    pub slow_share: f64,
    /// How much longer work takes that begins then.
    pub slow_factor: f64,
    /// Length of a phase, in microseconds.
    pub phase_us: u64,
    /// How long an upstream is cold after its start, in microseconds.
    pub cold_us: u64,
    /// How much longer work takes then.
    pub cold_factor: f64,
}

/// A site.
#[derive(Debug, Clone)]
pub struct Site {
    /// Its services.
    pub services: Vec<Service>,
    /// Its kinds of requests.
    pub classes: Vec<Class>,
    /// Its VMs.
    pub vms: Vec<Vm>,
    /// How fast its upstreams work.
    pub pace: Pace,
    /// Part of the slots that nodes use.
    pub usable: f64,
    /// Time that a message takes within a hall and between two, in microseconds.
    pub way_us: (u64, u64),
    /// How its callers behave.
    pub callers: Callers,
    /// Client accounts, by the index that arrivals have.
    pub accounts: Vec<Account>,
}

/// What callers do that are told to come back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Callers {
    /// Tries of one caller.
    pub tries: u32,
    /// Whether a caller waits for a third of its remaining time when it is told a longer one; otherwise it gives up then.
    pub waits_a_third: bool,
    /// Time that a message takes between a caller and its node, in microseconds.
    pub way_us: u64,
}

impl Default for Callers {
    fn default() -> Callers {
        Callers {
            tries: 2,
            waits_a_third: false,
            way_us: 0,
        }
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: Name,
    /// Its usual share of the requests, in any unit.
    pub weight: f64,
}

/// Something that happens to upstreams while a load is played.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trouble {
    /// When it begins.
    pub from: Moment,
    /// When it ends.
    pub until: Moment,
    /// What it is.
    pub kind: TroubleKind,
}

/// What happens to upstreams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TroubleKind {
    /// This share of the upstreams of each service and hall is gone. Their nodes go on.
    Gone(f64),
    /// Work that begins then takes so many times as long at all upstreams.
    Slow(f64),
}

/// Before the index in the name of a VM.
const VM_PREFIX: &str = "vm-";

/// The name of a VM, which the duties know it by.
pub(crate) fn vm_name(index: usize) -> Name {
    Name::from(format!("{VM_PREFIX}{index}"))
}

/// The index of the VM of this name.
pub(crate) fn vm_of(name: &Name) -> usize {
    let index = name.as_str().strip_prefix(VM_PREFIX);
    let index = index.and_then(|index| index.parse().ok());
    index.expect("every VM has a name with its index")
}
