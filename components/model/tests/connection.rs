//! Answers on a connection with pipelined requests. A caller matches answers to requests by their
//! order, so an answer sent too early would be taken for that of another request.

use model::Connection;
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Step {
    Read,
    /// The answer to the request with this number is ready, if the request has been read.
    Ready(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![Just(Step::Read), (0..20usize).prop_map(Step::Ready)];
    proptest::collection::vec(step, 0..60)
}

proptest! {
    /// Guards against answers that are sent out of order, twice, or before they are ready.
    #[test]
    fn answers_are_sent_once_and_in_request_order(steps in steps()) {
        let mut connection = Connection::default();
        let mut read = 0;
        let mut ready = Vec::new();
        let mut sent = Vec::new();
        for step in steps {
            match step {
                Step::Read => {
                    connection.request_read(read);
                    read += 1;
                }
                Step::Ready(request) if request < read => {
                    ready.push(request);
                    sent.extend(connection.answer_ready(request, request));
                }
                Step::Ready(request) => {
                    prop_assert!(connection.answer_ready(request, request).is_empty());
                }
            }
            let due = (0..read).take_while(|request| ready.contains(request));
            let due: Vec<(usize, usize)> = due.map(|request| (request, request)).collect();
            prop_assert_eq!(&sent, &due);
            prop_assert_eq!(connection.len(), read - sent.len());
        }
    }
}

/// Guards against a second answer that replaces one waiting to be sent.
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
