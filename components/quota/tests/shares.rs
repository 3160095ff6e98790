//! Shares and tokens over drawn splits of a fleet: no window gets more than the operators tolerate.

use accounts::Limit;
use names::{Moment, Name, MILLISECOND, SECOND};
use proptest::prelude::*;
use quota::{Bounds, Lease, LeaseGranter, TokenHolder};

const STEP_US: u64 = 50 * MILLISECOND;
/// Steps between two rounds of leases.
const LEND_EVERY: u64 = 10;
const WINDOW_US: u64 = 5 * SECOND;
const BOUNDS: Bounds = Bounds {
    overshoot: 0.1,
    slack: 20.0,
    window_s: 5.0,
};

/// A lease on its way.
struct Sent {
    from: usize,
    lease: Lease,
    arrives: Moment,
}

/// Nodes of one hall, in groups that don't reach each other.
struct World {
    now: Moment,
    groups: Vec<usize>,
    lenders: Vec<LeaseGranter>,
    collectors: Vec<TokenHolder>,
    sent: Vec<Sent>,
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
            lenders: (0..nodes).map(|_| LeaseGranter::new(Moment(0))).collect(),
            collectors: (0..nodes).map(|_| TokenHolder::new(BOUNDS)).collect(),
            sent: Vec::new(),
            granted: Vec::new(),
        }
    }

    fn lend(&mut self, late_us: u64) {
        let nodes = self.groups.len();
        for from in 0..nodes {
            let near = (0..nodes).filter(|to| self.groups[*to] == self.groups[from]);
            let ranked: Vec<Name> = near.map(name).collect();
            for lease in self.lenders[from].renew(self.now, nodes, &ranked) {
                let arrives = self.now + late_us;
                self.sent.push(Sent {
                    from,
                    lease,
                    arrives,
                });
            }
        }
    }

    /// Messages between groups are lost.
    fn deliver(&mut self, late_us: u64) {
        let now = self.now;
        let (arrived, waiting) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| sent.arrives <= now);
        self.sent = waiting;
        for Sent { from, lease, .. } in arrived {
            let to = (0..self.groups.len()).find(|to| name(*to) == lease.to);
            let to = to.expect("a node of this hall");
            if self.groups[to] == self.groups[from] {
                let duration_us = lease.duration_us.saturating_sub(late_us);
                self.collectors[to].add_lease(now, &name(from), lease.share, duration_us);
            }
        }
    }

    /// Every node wants `asks` tokens.
    fn ask(&mut self, asks: u64, limit: Limit) {
        for node in 0..self.groups.len() {
            for _ in 0..asks {
                let asked = self.lenders[node].holders_for(&account());
                let granted = asked.iter().any(|from| {
                    let from = (0..self.groups.len()).find(|to| name(*to) == *from);
                    let from = from.expect("a node of this hall");
                    let collector = &mut self.collectors[from];
                    self.groups[from] == self.groups[node]
                        && collector.take(self.now, &account(), limit).is_ok()
                });
                if granted {
                    self.granted.push(self.now);
                }
            }
        }
    }

    /// The whole hall loses power, twice in a window at most.
    fn lose_power(&mut self) {
        let nodes = self.groups.len();
        self.sent.clear();
        self.now = self.now + SECOND;
        self.lenders = (0..nodes).map(|_| LeaseGranter::new(Moment(0))).collect();
        self.collectors = (0..nodes).map(|_| TokenHolder::new(BOUNDS)).collect();
        for collector in &mut self.collectors {
            collector.restarted(self.now);
        }
    }

    fn run(&mut self, steps: u64, late_us: u64, asks: u64, limit: Limit) {
        for step in 0..steps {
            if step % LEND_EVERY == 0 {
                self.lend(late_us);
            }
            self.deliver(late_us);
            self.ask(asks, limit);
            self.now = self.now + STEP_US;
        }
    }

    /// Most that was granted in any window.
    fn most_in_window(&self) -> usize {
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

/// One while: who is in which group, for how long, how late messages are, how much is asked.
#[derive(Debug, Clone)]
struct While {
    groups: Vec<usize>,
    steps: u64,
    late_us: u64,
    asks: u64,
}

fn whiles(nodes: usize) -> impl Strategy<Value = Vec<While>> {
    let one = (
        prop::collection::vec(0..3_usize, nodes),
        1..120_u64,
        0..1_000 * MILLISECOND,
        0..4_u64,
    );
    let one = one.prop_map(|(groups, steps, late_us, asks)| While {
        groups,
        steps,
        late_us,
        asks,
    });
    prop::collection::vec(one, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// However the fleet is split, and whatever is asked.
    #[test]
    fn no_window_gets_more_than_is_tolerated(
        whiles in whiles(9),
        requests_per_s in 1..200_u32,
        burst in 0..200_u32,
    ) {
        let limit = Limit { requests_per_s, burst };
        let mut world = World::new(9);
        for one in whiles {
            world.groups = one.groups;
            world.run(one.steps, one.late_us, one.asks, limit);
        }
        let most = world.most_in_window() as f64;
        prop_assert!(most <= bound(limit), "{most} of {}", bound(limit));
    }
}

#[test]
fn an_account_gets_its_limit_while_the_hall_is_whole() {
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
fn each_part_of_a_split_hall_gets_its_own_part() {
    let limit = Limit {
        requests_per_s: 90,
        burst: 0,
    };
    let mut world = World::new(9);
    world.run(100, 0, 0, limit);
    world.groups = vec![0, 0, 0, 0, 0, 0, 1, 1, 1];
    // Leases run out, and are given anew within each part.
    world.run(60, 0, 1, limit);
    world.granted.clear();
    world.run(400, 0, 3, limit);
    let granted = world.granted.len() as f64;
    let allowed = 90.0 * 400.0 * STEP_US as f64 / SECOND as f64;
    assert!(granted >= 0.98 * allowed, "{granted} of {allowed}");
}

#[test]
fn a_token_that_was_not_used_can_be_taken_again_and_is_no_more_than_one() {
    let limit = Limit {
        requests_per_s: 1,
        burst: 1,
    };
    let only = Name::from("only");
    let mut collector = TokenHolder::new(Bounds::default());
    collector.add_lease(Moment(0), &only, 1.0, 100 * SECOND);
    let now = Moment(50 * SECOND);
    assert!(collector.take(now, &account(), limit).is_ok());
    let short = collector.take(now, &account(), limit);
    let wait_us = short.expect_err("one is all").wait_us;
    assert_eq!(wait_us, Some(SECOND));
    collector.give_back(now, &account());
    collector.give_back(now, &account());
    assert!(collector.take(now, &account(), limit).is_ok());
    assert!(collector.take(now, &account(), limit).is_err());
}

#[test]
fn a_share_counts_at_one_collector_at_a_time() {
    let mut lender = LeaseGranter::new(Moment(0));
    let [a, b, c] = ["a", "b", "c"].map(Name::from);
    let now = Moment(SECOND);
    let first = lender.renew(now, 10, &[a.clone(), b.clone()]);
    let to = |leases: &[Lease]| {
        leases
            .iter()
            .map(|lease| lease.to.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(to(&first), [a.clone(), b.clone()]);
    assert_eq!(first[0].share, 0.05);
    // `a` is gone: what was lent to it counts there until its lease has lapsed.
    let soon = lender.renew(now + SECOND, 10, &[b.clone(), c.clone()]);
    assert_eq!(to(&soon), std::slice::from_ref(&b));
    let later = lender.renew(now + 2 * SECOND, 10, &[b.clone(), c.clone()]);
    assert_eq!(to(&later), [b, c]);
}

#[test]
fn a_node_that_is_alone_keeps_its_own_share() {
    let mut lender = LeaseGranter::new(Moment(0));
    let me = Name::from("me");
    let leases = lender.renew(Moment(SECOND), 4, std::slice::from_ref(&me));
    let parts: f64 = leases.iter().map(|lease| lease.share).sum();
    assert_eq!(parts, 0.25);
    assert_eq!(lender.holders_for(&account()), [me]);
}

#[test]
fn a_vm_that_has_just_joined_owns_nothing() {
    let mut lender = LeaseGranter::new(Moment(5 * SECOND));
    let me = [Name::from("me")];
    assert_eq!(lender.renew(Moment(4 * SECOND), 4, &me), []);
    // It takes tokens all the same, of what others own.
    assert_eq!(lender.holders_for(&account()), me);
    assert_eq!(lender.renew(Moment(5 * SECOND), 4, &me).len(), 1);
}

#[test]
fn a_hall_that_loses_power_twice_stays_within_the_bound_and_serves_at_once() {
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
                "nothing at {requests_per_s}/s"
            );
            world.run(16, 0, 4, limit);
        }
        world.run(100, 0, 4, limit);
        let most = world.most_in_window() as f64;
        assert!(most <= bound(limit), "{most} of {}", bound(limit));
    }
}

#[test]
fn a_vm_that_goes_owns_nothing_any_more() {
    let mut lender = LeaseGranter::new(Moment(0));
    let me = [Name::from("me")];
    let now = Moment(SECOND);
    assert_eq!(lender.renew(now, 4, &me).len(), 1);
    lender.on_departure(now + SECOND);
    assert_eq!(lender.renew(now + SECOND, 4, &me), []);
    assert_eq!(lender.renew(now + 5 * SECOND, 4, &me), []);
    assert_eq!(lender.renew(now + 6 * SECOND, 4, &me).len(), 1);
}
