//! The measuring budget holds whatever is asked of it.

use budget::{Act, Gate, HallBudget};
use names::{Moment, SECOND};
use proptest::prelude::*;

const CASES: u32 = 500;

#[derive(Debug, Clone)]
enum Step {
    Spend(usize, u32, u32),
    Pass(u64),
    Know(usize, u32),
    Join,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        10 => (0..8usize, 0..4u32, 0..1500u32).prop_map(|(n, m, s)| Step::Spend(n, m, s)),
        3 => (1..5_000_000u64).prop_map(Step::Pass),
        1 => (1..900_000_000u64).prop_map(Step::Pass),
        1 => (0..8usize, 0..8u32).prop_map(|(n, behind)| Step::Know(n, behind)),
        1 => Just(Step::Join),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(fuzzing::config(CASES))]

    /// A node may know of as few as half the nodes of its hall.
    #[test]
    fn the_nodes_of_a_hall_together_spend_no_more_than_the_setting(
        steps in steps(),
        messages_per_s in prop_oneof![Just(0.0), 0.01..2.0, 1.0..500.0],
        slot_us_per_s in prop_oneof![Just(0.0), 0.01..2.0, 1.0..50_000.0],
    ) {
        let hall = HallBudget { messages_per_s, slot_us_per_s };
        let mut now = Moment(1);
        let mut gates: Vec<Gate> = (0..4).map(|_| Gate::new(now)).collect();
        for gate in &mut gates {
            gate.set_hall_budget(now, hall, 4);
        }
        for step in steps {
            let count = gates.len();
            match step {
                Step::Spend(node, messages, slot_us) => {
                    let gate = &mut gates[node % count];
                    gate.spend(now, Act {
                        messages,
                        slot_us,
                        probes: 0,
                    });
                }
                Step::Pass(us) => now = now + us,
                Step::Know(node, behind) => {
                    let least = (count as u32).div_ceil(2);
                    let known = (count as u32).saturating_sub(behind).max(least);
                    gates[node % count].set_hall_budget(now, hall, known);
                }
                Step::Join if count < 8 => {
                    let mut gate = Gate::new(now);
                    gate.set_hall_budget(now, hall, count as u32 + 1);
                    gates.push(gate);
                }
                Step::Join => {}
            }
            let seconds = now.0 as f64 / SECOND as f64;
            let messages: u64 = gates.iter().map(|gate| gate.spent().messages).sum();
            let slot_us: u64 = gates.iter().map(|gate| gate.spent().slot_us).sum();
            prop_assert!(messages as f64 <= messages_per_s * seconds + 1e-6);
            prop_assert!(slot_us as f64 <= slot_us_per_s * seconds + 1e-6);
        }
    }
}

#[test]
fn nothing_is_spent_on_a_budget_of_zero() {
    let mut gate = Gate::new(Moment(1));
    gate.set_hall_budget(Moment(1), HallBudget::default(), 1);
    assert!(!gate.spend(Moment(1_000 * SECOND), Act::HEARTBEAT));
    assert_eq!(gate.spent().refused, 1);
}

#[test]
fn a_pause_saves_up_no_burst() {
    let mut gate = Gate::new(Moment(1));
    let hall = HallBudget {
        messages_per_s: 40.0,
        slot_us_per_s: 0.0,
    };
    gate.set_hall_budget(Moment(1), hall, 1);
    let later = Moment(3_600 * SECOND);
    let spent = (0..1_000)
        .filter(|_| gate.spend(later, Act::HEARTBEAT))
        .count();
    assert_eq!(spent, 1);
}

#[test]
fn a_tiny_budget_is_spent_seldom_but_spent() {
    let mut gate = Gate::new(Moment(1));
    let hall = HallBudget {
        messages_per_s: 0.1,
        slot_us_per_s: 0.0,
    };
    gate.set_hall_budget(Moment(1), hall, 1);
    let spent = (1..=1_000)
        .filter(|second| gate.spend(Moment(second * SECOND), Act::HEARTBEAT))
        .count();
    assert!((20..=25).contains(&spent), "{spent} heartbeats in 1000 s");
}
