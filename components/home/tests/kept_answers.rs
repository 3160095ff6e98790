//! The size of the answers that are kept for replay.

use home::{AnswerLimit, Record, RecordLookup, Records};
use names::{AttemptId, BootId, Moment, SECOND};

const MAX_BYTES: usize = 1_000;

fn id(seq: u64) -> AttemptId {
    AttemptId {
        boot: BootId(1),
        seq,
    }
}

/// 64 answers of the largest size exceeded the memory of a VM.
#[test]
fn kept_answers_exceed_their_limit() {
    let mut records = Records::new(100, 64, 60 * SECOND);
    records.limit_answers(AnswerLimit {
        max_bytes: MAX_BYTES,
        size_of: Vec::len,
    });
    let kept = |records: &Records<Vec<u8>>, seq| {
        let found = records.look_up(id(seq));
        matches!(found, RecordLookup::Ended(Record::Answered(Some(_))))
    };
    for (seq, bytes) in [(1, 400), (2, 400), (3, 400), (4, 5_000), (5, 10)] {
        records.end(Moment(1), id(seq), Record::Answered(Some(vec![0; bytes])));
        assert!(kept(&records, seq) == (bytes <= MAX_BYTES), "{seq}");
    }
    let all: Vec<bool> = (1..=5).map(|seq| kept(&records, seq)).collect();
    assert_eq!(all, [false, false, false, false, true]);
}
