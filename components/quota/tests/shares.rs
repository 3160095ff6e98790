//! Leases and tokens under generated network partitions: requests in any window stay within the
//! tolerance.

use accounts::Limit;
use names::{Moment, Name, MILLISECOND, SECOND};
use proptest::prelude::*;
use quota::{Bounds, Lease, LeaseGranter, TokenHolder};

const STEP_US: u64 = 50 * MILLISECOND;
/// Steps between two renewals of leases.
const RENEWAL_STEPS: u64 = 10;
const WINDOW_US: u64 = 5 * SECOND;
const BOUNDS: Bounds = Bounds {
    overshoot: 0.1,
    slack: 20.0,
    window_s: 5.0,
};

/// A lease message in transit.
struct InTransit {
    from: usize,
    lease: Lease,
    arrives: Moment,
}

/// Nodes of one hall. Those of different groups can't reach each other.
struct World {
    now: Moment,
    groups: Vec<usize>,
    granters: Vec<LeaseGranter>,
    holders: Vec<TokenHolder>,
    in_transit: Vec<InTransit>,
    /// When each token was taken.
    granted: Vec<Moment>,
}

fn name(node: usize) -> Name {
    Name::from(format!("vm-{node:02}"))
}

fn account() -> Name {
    Name::from("clinic")
}

impl World {
    fn new(nodes: usize) -> World {
        World {
            now: Moment(SECOND),
            groups: vec![0; nodes],
            granters: (0..nodes).map(|_| LeaseGranter::new(Moment(0))).collect(),
            holders: (0..nodes).map(|_| TokenHolder::new(BOUNDS)).collect(),
            in_transit: Vec::new(),
            granted: Vec::new(),
        }
    }

    fn renew_leases(&mut self, delay_us: u64) {
        let nodes = self.groups.len();
        for from in 0..nodes {
            let reachable = (0..nodes).filter(|to| self.groups[*to] == self.groups[from]);
            let ranked: Vec<Name> = reachable.map(name).collect();
            for lease in self.granters[from].renew(self.now, nodes, &ranked) {
                let arrives = self.now + delay_us;
                self.in_transit.push(InTransit {
                    from,
                    lease,
                    arrives,
                });
            }
        }
    }

    /// Delivers the messages that are due; those between groups are lost.
    fn deliver(&mut self, delay_us: u64) {
        let now = self.now;
        let (arrived, in_transit) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|message| message.arrives <= now);
        self.in_transit = in_transit;
        for InTransit { from, lease, .. } in arrived {
            let to = (0..self.groups.len()).find(|to| name(*to) == lease.to);
            let to = to.expect("a node of this hall");
            if self.groups[to] == self.groups[from] {
                let duration_us = lease.duration_us.saturating_sub(delay_us);
                self.holders[to].add_lease(now, &name(from), lease.share, duration_us);
            }
        }
    }

    /// Every node requests `requests` tokens.
    fn request_tokens(&mut self, requests: u64, limit: Limit) {
        for node in 0..self.groups.len() {
            for _ in 0..requests {
                let holders = self.granters[node].holders_for(&account());
                let granted = holders.iter().any(|holder| {
                    let holder = (0..self.groups.len()).find(|to| name(*to) == *holder);
                    let holder = holder.expect("a node of this hall");
                    let tokens = &mut self.holders[holder];
                    self.groups[holder] == self.groups[node]
                        && tokens.take(self.now, &account(), limit).is_ok()
                });
                if granted {
                    self.granted.push(self.now);
                }
            }
        }
    }

    /// All nodes of the hall lose power and restart a second later. The tolerance covers two of
    /// these in a window.
    fn lose_power(&mut self) {
        let nodes = self.groups.len();
        self.in_transit.clear();
        self.now = self.now + SECOND;
        self.granters = (0..nodes).map(|_| LeaseGranter::new(Moment(0))).collect();
        self.holders = (0..nodes).map(|_| TokenHolder::new(BOUNDS)).collect();
        for holder in &mut self.holders {
            holder.restarted(self.now);
        }
    }

    fn run(&mut self, steps: u64, delay_us: u64, requests: u64, limit: Limit) {
        for step in 0..steps {
            if step % RENEWAL_STEPS == 0 {
                self.renew_leases(delay_us);
            }
            self.deliver(delay_us);
            self.request_tokens(requests, limit);
            self.now = self.now + STEP_US;
        }
    }

    /// Maximum number of tokens taken in any window.
    fn max_in_window(&self) -> usize {
        let ends = self.granted.iter().enumerate().map(|(i, end)| {
            let begin = self.granted.partition_point(|at| *at + WINDOW_US <= *end);
            i + 1 - begin
        });
        ends.max().unwrap_or(0)
    }
}

fn bound(limit: Limit) -> f64 {
    let window_s = WINDOW_US as f64 / SECOND as f64;
    let in_window = f64::from(limit.requests_per_s) * window_s + f64::from(limit.burst);
    in_window * (1.0 + BOUNDS.overshoot) + BOUNDS.slack
}

/// A period with fixed groups, message delay and request rate.
#[derive(Debug, Clone)]
struct Phase {
    /// Group of each node.
    groups: Vec<usize>,
    steps: u64,
    delay_us: u64,
    /// Requests of each node in a step.
    requests: u64,
}

fn phases(nodes: usize) -> impl Strategy<Value = Vec<Phase>> {
    let phase = (
        prop::collection::vec(0..3_usize, nodes),
        1..120_u64,
        0..1_000 * MILLISECOND,
        0..4_u64,
    );
    let phase = phase.prop_map(|(groups, steps, delay_us, requests)| Phase {
        groups,
        steps,
        delay_us,
        requests,
    });
    prop::collection::vec(phase, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// For any partitions, message delays and request rates.
    #[test]
    fn requests_in_any_window_stay_within_the_tolerance(
        phases in phases(9),
        requests_per_s in 1..200_u32,
        burst in 0..200_u32,
    ) {
        let limit = Limit { requests_per_s, burst };
        let mut world = World::new(9);
        for phase in phases {
            world.groups = phase.groups;
            world.run(phase.steps, phase.delay_us, phase.requests, limit);
        }
        let max = world.max_in_window() as f64;
        prop_assert!(max <= bound(limit), "{max} of {}", bound(limit));
    }
}

#[test]
fn an_account_gets_its_full_limit_while_all_nodes_are_connected() {
    let limit = Limit {
        requests_per_s: 100,
        burst: 50,
    };
    let mut world = World::new(9);
    world.run(400, 0, 2, limit);
    let granted = world.granted.len() as f64;
    let allowed = 100.0 * 400.0 * STEP_US as f64 / SECOND as f64;
    assert!(granted >= allowed, "{granted} of {allowed}");
}

#[test]
fn each_side_of_a_partition_gets_the_shares_of_its_nodes() {
    let limit = Limit {
        requests_per_s: 90,
        burst: 0,
    };
    let mut world = World::new(9);
    world.run(100, 0, 0, limit);
    world.groups = vec![0, 0, 0, 0, 0, 0, 1, 1, 1];
    // Leases expire, and are granted again within each side.
    world.run(60, 0, 1, limit);
    world.granted.clear();
    world.run(400, 0, 3, limit);
    let granted = world.granted.len() as f64;
    let allowed = 90.0 * 400.0 * STEP_US as f64 / SECOND as f64;
    assert!(granted >= 0.98 * allowed, "{granted} of {allowed}");
}

#[test]
fn returned_tokens_can_be_taken_again_up_to_the_capacity() {
    let limit = Limit {
        requests_per_s: 1,
        burst: 1,
    };
    let only = Name::from("only");
    let mut holder = TokenHolder::new(Bounds::default());
    holder.add_lease(Moment(0), &only, 1.0, 100 * SECOND);
    let now = Moment(50 * SECOND);
    assert!(holder.take(now, &account(), limit).is_ok());
    let refused = holder.take(now, &account(), limit);
    let wait_us = refused.expect_err("no second token").wait_us;
    assert_eq!(wait_us, Some(SECOND));
    holder.give_back(now, &account());
    holder.give_back(now, &account());
    assert!(holder.take(now, &account(), limit).is_ok());
    assert!(holder.take(now, &account(), limit).is_err());
}

#[test]
fn a_share_is_leased_to_one_holder_at_a_time() {
    let mut granter = LeaseGranter::new(Moment(0));
    let [a, b, c] = ["a", "b", "c"].map(Name::from);
    let now = Moment(SECOND);
    let first = granter.renew(now, 10, &[a.clone(), b.clone()]);
    let to = |leases: &[Lease]| {
        leases
            .iter()
            .map(|lease| lease.to.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(to(&first), [a.clone(), b.clone()]);
    assert_eq!(first[0].share, 0.05);
    // `a` is down: the share leased to it counts there until the lease has expired.
    let soon = granter.renew(now + SECOND, 10, &[b.clone(), c.clone()]);
    assert_eq!(to(&soon), std::slice::from_ref(&b));
    let later = granter.renew(now + 2 * SECOND, 10, &[b.clone(), c.clone()]);
    assert_eq!(to(&later), [b, c]);
}

#[test]
fn a_node_without_peers_leases_its_share_to_itself() {
    let mut granter = LeaseGranter::new(Moment(0));
    let own_vm = Name::from("me");
    let leases = granter.renew(Moment(SECOND), 4, std::slice::from_ref(&own_vm));
    let share: f64 = leases.iter().map(|lease| lease.share).sum();
    assert_eq!(share, 0.25);
    assert_eq!(granter.holders_for(&account()), [own_vm]);
}

#[test]
fn a_vm_that_has_just_joined_grants_no_lease() {
    let mut granter = LeaseGranter::new(Moment(5 * SECOND));
    let own_vm = [Name::from("me")];
    assert_eq!(granter.renew(Moment(4 * SECOND), 4, &own_vm), []);
    // It still requests tokens, from the shares of others.
    assert_eq!(granter.holders_for(&account()), own_vm);
    assert_eq!(granter.renew(Moment(5 * SECOND), 4, &own_vm).len(), 1);
}

#[test]
fn a_hall_that_loses_power_twice_serves_at_once_and_stays_within_the_tolerance() {
    for requests_per_s in [2, 20, 200] {
        let limit = Limit {
            requests_per_s,
            burst: requests_per_s,
        };
        let mut world = World::new(9);
        world.run(120, 0, 2, limit);
        for _ in 0..2 {
            world.lose_power();
            let before = world.granted.len();
            world.run(4, 0, 1, limit);
            assert!(
                world.granted.len() > before,
                "no request served at {requests_per_s}/s"
            );
            world.run(16, 0, 4, limit);
        }
        world.run(100, 0, 4, limit);
        let max = world.max_in_window() as f64;
        assert!(max <= bound(limit), "{max} of {}", bound(limit));
    }
}

#[test]
fn a_departing_vm_grants_no_lease() {
    let mut granter = LeaseGranter::new(Moment(0));
    let own_vm = [Name::from("me")];
    let now = Moment(SECOND);
    assert_eq!(granter.renew(now, 4, &own_vm).len(), 1);
    granter.on_departure(now + SECOND);
    assert_eq!(granter.renew(now + SECOND, 4, &own_vm), []);
    assert_eq!(granter.renew(now + 5 * SECOND, 4, &own_vm), []);
    assert_eq!(granter.renew(now + 6 * SECOND, 4, &own_vm).len(), 1);
}
