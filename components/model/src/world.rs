//! The event loop, and the carrying out of what the duties decide.

mod caller_side;
mod entry_side;
mod home_side;
mod refusals;
mod trouble;

use crate::caller::{Caller, Told};
use crate::connection::Connection;
use crate::load::Load;
use crate::message::{Happening, Message, RequestId};
use crate::policy::Policy;
use crate::report::Report;
use crate::site::{Site, Trouble};
use crate::tally::Tally;
use crate::upstream::Upstream;
use entry::{Call, Entry, RetryBudgetConfig, SelectionRule};
use home::{ColdCapacity, Config, Home};
use names::{AttemptId, BootId, Moment, MILLISECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use returning::CallerRetries;
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

/// Time between two ticks of a home duty.
const TICK_US: u64 = 5 * MILLISECOND;
/// Bound on repeats as at the users' sites: share of the requests, and slack for each VM.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK_A_VM: f64 = 2.1;

/// Who waits for a request's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asker {
    Caller(usize),
    /// An upstream, for an attempt that it runs.
    Run {
        vm: usize,
        id: AttemptId,
    },
}

/// A request at its entry node.
#[derive(Debug)]
struct Request {
    class: usize,
    vm: usize,
    asker: Asker,
    /// Since when its objective runs.
    began: Moment,
    deadline: Moment,
    /// The try of a caller that it is.
    tried: Option<Try>,
    /// The caller for which it is made, if need be through others.
    root: usize,
    /// Runs of it that are at work.
    running: u32,
    /// Whether a run of it has taken much longer than usual.
    was_long: bool,
    /// Level of the call: 0 for a caller's request.
    level: u32,
    priority: u8,
    call: Call<bool>,
}

/// What a caller asks for, as the node tells requests apart: class and content.
type Content = (usize, u64);

/// One try of a caller, as its node sees it.
#[derive(Debug, Clone, Copy)]
struct Try {
    request: Content,
    /// When the caller first tried.
    first: Moment,
    /// Whether this is a later try.
    is_return: bool,
    /// When the caller gives up.
    deadline: Moment,
}

/// An attempt that a home duty has taken in.
#[derive(Debug, Clone, Copy)]
struct Job {
    req: RequestId,
    from: usize,
    arrived: Moment,
    deadline: Moment,
    priority: u8,
    level: u32,
    repeatable: bool,
}

struct Node {
    entry: Entry,
    home: Home<bool>,
    jobs: HashMap<AttemptId, Job>,
    upstream: Upstream,
    /// Callers that this node refused.
    returning: CallerRetries<Content>,
}

/// Nodes, upstreams and callers on one clock.
pub struct World {
    site: Site,
    policy: Policy,
    troubles: Vec<Trouble>,
    now: Moment,
    seq: u64,
    queue: BTreeMap<(Moment, u64), Happening>,
    nodes: Vec<Node>,
    callers: Vec<Caller>,
    requests: Vec<Request>,
    connections: HashMap<usize, Connection<RequestId, Told>>,
    runs: usize,
    wasted: usize,
    offers: usize,
    falls: Vec<Moment>,
    refused_beside_free: RefusedBesideFree,
    rng: SmallRng,
}

/// Refusals as busy at an upstream with a free slot at which a run of usual length would have ended before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RefusedBesideFree {
    /// When the offer came.
    pub offered: usize,
    /// After it had waited in the queue.
    pub queued: usize,
}

impl World {
    /// A site on which nothing has happened yet.
    pub fn new(site: Site, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..site.vms.len())
            .map(|vm| node(&site, vm, &mut rng))
            .collect();
        World {
            site,
            policy: Policy::default(),
            troubles: Vec::new(),
            now: Moment(0),
            seq: 0,
            queue: BTreeMap::new(),
            nodes,
            callers: Vec::new(),
            requests: Vec::new(),
            connections: HashMap::new(),
            runs: 0,
            wasted: 0,
            offers: 0,
            falls: Vec::new(),
            refused_beside_free: RefusedBesideFree::default(),
            rng,
        }
    }

    /// The same site under another policy than the default.
    pub fn with_policy(mut self, policy: Policy) -> World {
        self.policy = policy;
        self
    }

    /// The same site, at which something happens to upstreams.
    pub fn with_troubles(mut self, troubles: &[Trouble]) -> World {
        self.troubles = troubles.to_vec();
        self
    }

    /// Plays a load to its end, and tells what became of the callers that came within `window`.
    pub fn play_tallied(mut self, load: &Load, window: Range<Moment>) -> Tally {
        self.run(load);
        Tally::of(&self.site, &self.callers, window, self.refused_beside_free)
    }

    /// Plays a load to its end, and tells what became of the requests that came within `window`.
    pub fn play(mut self, load: &Load, window: Range<Moment>) -> Report {
        self.run(load);
        self.report(window)
    }

    /// The same for several times of one play.
    pub fn play_through(mut self, load: &Load, windows: &[Range<Moment>]) -> Vec<Report> {
        self.run(load);
        windows
            .iter()
            .map(|window| self.report(window.clone()))
            .collect()
    }

    fn run(&mut self, load: &Load) {
        for arrival in &load.arrivals {
            let caller = self.callers.len();
            self.callers.push(Caller::new(*arrival));
            let way_us = self.site.callers.way_us;
            self.at(arrival.at + way_us, Happening::Arrives { caller });
        }
        self.plan_troubles();
        for vm in 0..self.nodes.len() {
            let up_at = self.site.vms[vm].up_at;
            self.at(up_at + vm as u64 % TICK_US, Happening::Tick { vm });
        }
        let last = load.arrivals.last().map_or(Moment(0), |last| last.at);
        let longest = self.site.classes.iter().map(|class| class.deadline_us);
        let own = load
            .arrivals
            .iter()
            .filter_map(|arrival| arrival.deadline_us);
        let end = last + longest.chain(own).max().unwrap_or(0);
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.happens(happening);
        }
    }

    fn report(&self, window: Range<Moment>) -> Report {
        let runs = (self.runs, self.wasted);
        let falls = self.falls.iter().filter(|at| window.contains(at)).count();
        Report {
            falls,
            ..Report::of(&self.site, &self.callers, window, runs, self.offers)
        }
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives { caller } => self.arrives(caller),
            Happening::Delivered { to, message } => self.delivered(to, message),
            Happening::Expired { req } => self.step(req, entry::Event::Expired),
            Happening::Worked { vm, id } => self.worked(vm, id),
            Happening::RanOut { vm, id } => self.ran_out(vm, id),
            Happening::ProbeResult { vm } => self.probed(vm),
            Happening::Back { vm } => self.back(vm),
            Happening::Gone { vm, until } => self.gone(vm, until),
            Happening::Tick { vm } => self.tick(vm),
        }
    }

    fn delivered(&mut self, to: usize, message: Message) {
        match message {
            Message::Offer { from, req, offer } => self.offered(to, from, req, &offer),
            Message::Cancel(id) => self.cancelled(to, id),
            Message::Straggles { req, id } => self.step(req, entry::Event::Straggles(id)),
            Message::Ended {
                from,
                req,
                load,
                event,
            } => {
                let vm = crate::site::vm_name(from);
                self.nodes[to].entry.on_report(self.now, &vm, load);
                self.step(req, event);
            }
        }
    }

    fn at(&mut self, at: Moment, happening: Happening) {
        self.seq += 1;
        self.queue.insert((at, self.seq), happening);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let (near_us, far_us) = self.site.way_us;
        let way_us = if from == to {
            0
        } else if self.site.vms[from].hall == self.site.vms[to].hall {
            near_us
        } else {
            far_us
        };
        self.at(self.now + way_us, Happening::Delivered { to, message });
    }
}

fn node(site: &Site, vm: usize, rng: &mut SmallRng) -> Node {
    let boot = BootId(vm as u64 + 1);
    let spec = &site.vms[vm];
    let cfg = Config {
        slots: site.services[spec.service].slots,
        usable_fraction: site.usable,
        adaptive: false,
        can_probe: true,
        seed: rng.random(),
        ..Config::default()
    };
    let mut entry = Entry::new(boot, SelectionRule::Priced, rng.random());
    let vms = site.vms.len();
    let slack = RETRY_SLACK_A_VM * vms as f64;
    entry.set_retry_config(RetryBudgetConfig::node_share(RETRY_RATIO, slack, vms));
    let mut home = Home::new(boot, cfg);
    if let Some(cold) = site.services[spec.service].cold {
        let bears = |starts_per_s| ColdCapacity::Limited {
            starts_per_s,
            cold_us: site.pace.cold_us,
        };
        home.set_cold_capacity(cold.known.map_or(ColdCapacity::Unlimited, bears));
    }
    Node {
        entry,
        home,
        jobs: HashMap::new(),
        returning: CallerRetries::default(),
        upstream: Upstream::new(spec.up_at, SmallRng::seed_from_u64(rng.random())),
    }
}
