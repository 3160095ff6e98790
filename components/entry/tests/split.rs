//! Requests of a route are spread by weight.

use entry::Split;

#[test]
fn after_any_number_of_turns_every_share_is_near_its_weight() {
    let weights = [90, 10, 0, 25];
    let total: u32 = weights.iter().sum();
    let mut split = Split::default();
    let mut turns = [0_f64; 4];
    for turn in 1..=500 {
        let share = split.next(weights.iter().copied()).expect("a share");
        turns[share] += 1.0;
        for (share, weight) in weights.iter().enumerate() {
            let due = f64::from(turn) * f64::from(*weight) / f64::from(total);
            assert!(
                (turns[share] - due).abs() < 1.5,
                "turn {turn}, share {share}"
            );
        }
    }
    assert_eq!(turns[2], 0.0);
}

#[test]
fn without_any_weight_there_is_no_turn() {
    assert_eq!(Split::default().next([0, 0].into_iter()), None);
}
