//! Answers on a connection with pipelined requests. A caller takes the first answer for that of its first request: one
//! that left too early would be another request's.

use model::Connection;
use proptest::prelude::*;

/// Something that happens on a connection.
#[derive(Debug, Clone, Copy)]
enum Step {
    Read,
    /// The answer to the request with this number, among those read so far, is ready.
    Ready(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![Just(Step::Read), (0..20usize).prop_map(Step::Ready)];
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// Guards against answers that leave out of order, twice, or before they are ready.
    #[test]
    fn answers_leave_once_and_in_the_order_of_their_requests(steps in steps()) {
        let mut connection = Connection::default();
        let mut read = 0;
        let mut ready = Vec::new();
        let mut left = Vec::new();
        for step in steps {
            match step {
                Step::Read => {
                    connection.request_read(read);
                    read += 1;
                }
                Step::Ready(request) if request < read => {
                    ready.push(request);
                    left.extend(connection.answer_ready(request, request));
                }
                Step::Ready(request) => {
                    prop_assert!(connection.answer_ready(request, request).is_empty());
                }
            }
            let due = (0..read).take_while(|request| ready.contains(request));
            let due: Vec<(usize, usize)> = due.map(|request| (request, request)).collect();
            prop_assert_eq!(&left, &due);
            prop_assert_eq!(connection.len(), read - left.len());
        }
    }
}

/// Guards against a second answer that replaces one which waits for its turn.
#[test]
fn the_first_answer_to_a_request_counts() {
    let mut connection = Connection::default();
    connection.request_read(1);
    connection.request_read(2);
    assert!(connection.answer_ready(2, "first").is_empty());
    assert!(connection.answer_ready(2, "second").is_empty());
    assert_eq!(
        connection.answer_ready(1, "one"),
        [(1, "one"), (2, "first")]
    );
    assert!(connection.is_empty());
}
