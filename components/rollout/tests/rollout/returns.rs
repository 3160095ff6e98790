//! A store that lost a revision when it was restored from an older copy, and whose operators wrote other
//! content under the same number.

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

fn node_with(configuration: Configuration) -> Rollout {
    let mut rollout = Rollout::default();
    assert_eq!(rollout.offer(configuration), Offered::Taken);
    rollout
}

#[test]
fn different_content_of_a_revision_is_accepted_only_if_read_later() {
    let mut rollout = node_with(configuration(5, 700, (1, 40)));
    let other = configuration(5, 900, (1, 40));
    assert_eq!(rollout.offer(other), Offered::Differs);
    let rewritten = configuration(5, 900, (2, 12));
    assert_eq!(rollout.offer(rewritten.clone()), Offered::Taken);
    assert_eq!(rollout.offer(rewritten), Offered::Same);
    let lost = configuration(5, 700, (1, 41));
    assert_eq!(rollout.offer(lost), Offered::Differs);
}

#[test]
fn lower_revision_is_rejected_in_any_era() {
    let mut rollout = node_with(configuration(5, 700, (1, 40)));
    let older = configuration(3, 900, (7, 90));
    assert_eq!(rollout.offer(older), Offered::Older);
    assert_eq!(rollout.revision(), 5);
}

#[test]
fn nodes_agree_on_the_content_that_was_read_later() {
    let lost = node_with(configuration(5, 700, (1, 40)));
    let rewritten = node_with(configuration(5, 900, (2, 12)));
    let (lost, rewritten) = (summary(&lost), summary(&rewritten));
    assert!(rewritten.is_newer_than(&lost) && !lost.is_newer_than(&rewritten));
    assert!(!rewritten.is_in_sync_with(&lost));
    // The same content, read again in the later era.
    let reread = summary(&node_with(configuration(5, 700, (2, 12))));
    assert!(reread.is_in_sync_with(&lost));
    assert!(!reread.is_newer_than(&lost));
}

#[test]
fn content_read_again_in_a_later_era_is_not_replaced_by_content_read_before() {
    let mut rollout = node_with(configuration(5, 700, (1, 40)));
    assert_eq!(rollout.offer(configuration(5, 700, (3, 8))), Offered::Same);
    let between = configuration(5, 900, (2, 99));
    assert_eq!(rollout.offer(between), Offered::Differs);
}
