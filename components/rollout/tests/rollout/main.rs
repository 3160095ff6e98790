//! Tests of rollout with racing operators, lost answers, outages, restarts and a store that is restored
//! from an older copy.

mod differences;
mod fetch;
mod fuzz;
mod lacking;
mod made;
mod returns;
mod reuse;
mod world;

use declarations::Bundle;
use era::Position;
use rollout::{split, Change, Configuration, Head};

pub fn revision(revision: u64, bundle: &Bundle, read_at: Position) -> Configuration {
    let (files, objects) = split(bundle);
    let change = Change {
        id: revision.to_string(),
        who: "a".to_string(),
        when_ms: 0,
        why: "b".to_string(),
    };
    let head = Head {
        revision,
        previous: None,
        change,
        files,
    };
    Configuration {
        head,
        objects,
        read_at,
    }
}
