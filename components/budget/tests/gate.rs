//! The budget for measurements holds for any sequence of acts.

use budget::{Act, Gate, HallBudget};
use names::{Moment, SECOND};
use proptest::prelude::*;

const CASES: u32 = 500;

#[derive(Debug, Clone)]
enum Step {
    /// Node, messages, slot time in microseconds.
    Spend(usize, u32, u32),
    /// Microseconds.
    Advance(u64),
    /// Node, and the number of nodes of the hall that it doesn't know.
    SetKnownNodes(usize, u32),
    Join,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        10 => (0..8usize, 0..4u32, 0..1500u32)
            .prop_map(|(node, messages, slot_us)| Step::Spend(node, messages, slot_us)),
        3 => (1..5_000_000u64).prop_map(Step::Advance),
        1 => (1..900_000_000u64).prop_map(Step::Advance),
        1 => (0..8usize, 0..8u32).prop_map(|(node, unknown)| Step::SetKnownNodes(node, unknown)),
        1 => Just(Step::Join),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(fuzzing::config(CASES))]

    /// Each node knows at least half the nodes of its hall.
    #[test]
    fn nodes_of_a_hall_together_spend_no_more_than_its_budget(
        steps in steps(),
        messages_per_s in prop_oneof![Just(0.0), 0.01..2.0, 1.0..500.0],
        slot_us_per_s in prop_oneof![Just(0.0), 0.01..2.0, 1.0..50_000.0],
    ) {
        let hall_budget = HallBudget { messages_per_s, slot_us_per_s };
        let mut now = Moment(1);
        let mut gates: Vec<Gate> = (0..4).map(|_| Gate::new(now)).collect();
        for gate in &mut gates {
            gate.set_hall_budget(now, hall_budget, 4);
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
                Step::Advance(us) => now = now + us,
                Step::SetKnownNodes(node, unknown) => {
                    let min_known = (count as u32).div_ceil(2);
                    let known = (count as u32).saturating_sub(unknown).max(min_known);
                    gates[node % count].set_hall_budget(now, hall_budget, known);
                }
                Step::Join if count < 8 => {
                    let mut gate = Gate::new(now);
                    gate.set_hall_budget(now, hall_budget, count as u32 + 1);
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
fn zero_budget_allows_no_measurement() {
    let mut gate = Gate::new(Moment(1));
    gate.set_hall_budget(Moment(1), HallBudget::default(), 1);
    assert!(!gate.spend(Moment(1_000 * SECOND), Act::HEARTBEAT));
    assert_eq!(gate.spent().refused, 1);
}

#[test]
fn budget_accumulates_no_burst_during_a_pause() {
    let mut gate = Gate::new(Moment(1));
    let hall_budget = HallBudget {
        messages_per_s: 40.0,
        slot_us_per_s: 0.0,
    };
    gate.set_hall_budget(Moment(1), hall_budget, 1);
    let later = Moment(3_600 * SECOND);
    let spent = (0..1_000)
        .filter(|_| gate.spend(later, Act::HEARTBEAT))
        .count();
    assert_eq!(spent, 1);
}

#[test]
fn budget_below_one_act_per_second_allows_occasional_acts() {
    let mut gate = Gate::new(Moment(1));
    let hall_budget = HallBudget {
        messages_per_s: 0.1,
        slot_us_per_s: 0.0,
    };
    gate.set_hall_budget(Moment(1), hall_budget, 1);
    let spent = (1..=1_000)
        .filter(|second| gate.spend(Moment(second * SECOND), Act::HEARTBEAT))
        .count();
    assert!((20..=25).contains(&spent), "{spent} heartbeats in 1000 s");
}
