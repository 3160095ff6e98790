//! A store that lost a revision and was given another one under its number.

use declarations::Bundle;
use era::{Era, Position};
use rollout::{Configuration, Offered, Rollout, Summary};
use std::collections::BTreeMap;

fn configuration(revision: u64, deadline_ms: u64, read_at: (u64, u64)) -> Configuration {
    let text = format!(
        "[registered one]\nhealth_path = /health\n\n[route r]\nhost = one.example\npath = /\n\
         services = one:1\ndeadline_ms = {deadline_ms}\n"
    );
    let files = BTreeMap::from([("services.ini".to_string(), text)]);
    let read_at = Position {
        era: Some(Era(read_at.0)),
        revision: read_at.1,
    };
    crate::revision(revision, &Bundle { files }, read_at)
}

fn summary(rollout: &Rollout) -> Summary {
    Summary {
        revision: rollout.revision(),
        content_id: rollout.content_id(),
        read_at: rollout.read_at(),
        ..Summary::default()
    }
}

fn holding(configuration: Configuration) -> Rollout {
    let mut rollout = Rollout::default();
    assert_eq!(rollout.offer(configuration), Offered::Taken);
    rollout
}

#[test]
fn another_content_under_a_number_is_taken_only_if_it_was_read_later() {
    let mut rollout = holding(configuration(5, 700, (1, 40)));
    let other = configuration(5, 900, (1, 40));
    assert_eq!(rollout.offer(other), Offered::Differs);
    let written_anew = configuration(5, 900, (2, 12));
    assert_eq!(rollout.offer(written_anew.clone()), Offered::Taken);
    assert_eq!(rollout.offer(written_anew), Offered::Same);
    let lost = configuration(5, 700, (1, 41));
    assert_eq!(rollout.offer(lost), Offered::Differs);
}

#[test]
fn a_lower_number_is_never_taken_whatever_the_era() {
    let mut rollout = holding(configuration(5, 700, (1, 40)));
    let copy = configuration(3, 900, (7, 90));
    assert_eq!(rollout.offer(copy), Offered::Older);
    assert_eq!(rollout.revision(), 5);
}

#[test]
fn nodes_tell_contents_of_one_number_apart_and_agree_on_the_one_that_was_read_later() {
    let lost = holding(configuration(5, 700, (1, 40)));
    let anew = holding(configuration(5, 900, (2, 12)));
    let (lost, anew) = (summary(&lost), summary(&anew));
    assert!(anew.is_newer_than(&lost) && !lost.is_newer_than(&anew));
    assert!(!anew.is_in_sync_with(&lost));
    // The same content, read again in the later era, is the same.
    let again = summary(&holding(configuration(5, 700, (2, 12))));
    assert!(again.is_in_sync_with(&lost));
    assert!(!again.is_newer_than(&lost));
}

#[test]
fn content_that_was_read_again_in_a_later_era_is_not_replaced_by_what_was_read_before() {
    let mut rollout = holding(configuration(5, 700, (1, 40)));
    assert_eq!(rollout.offer(configuration(5, 700, (3, 8))), Offered::Same);
    let between = configuration(5, 900, (2, 99));
    assert_eq!(rollout.offer(between), Offered::Differs);
}
