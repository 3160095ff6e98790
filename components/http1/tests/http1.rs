//! Reading and writing of messages, and rejection of invalid ones.

use async_std::io::{self, Cursor, Read};
use async_std::task::block_on;
use futures_util::future::{select, Either};
use http1::{request_framing, response_framing, CloseDelimited, Connection, Fault, Framing};
use proptest::prelude::*;
use std::cell::Cell;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};

const MAX_BODY_BYTES: u64 = 64;

fn connection(bytes: &str) -> Connection<Cursor<Vec<u8>>> {
    Connection::new(Cursor::new(bytes.as_bytes().to_vec()))
}

#[test]
fn target_and_header_values_are_kept_as_received() {
    let text = "GET /a/../b%2f?x=%41&y HTTP/1.1\r\nHost: h\r\nDate: today\r\nX-Odd:  a  b \r\n\r\n";
    let head = block_on(connection(text).request_head(1_000))
        .expect("a valid head")
        .expect("a head");
    assert_eq!(head.target, "/a/../b%2f?x=%41&y");
    assert_eq!(http1::header_value(&head.headers, "date"), Some("today"));
    assert_eq!(http1::header_value(&head.headers, "x-odd"), Some("a  b"));
}

#[test]
fn response_is_written_as_it_was_read() {
    let text = "HTTP/1.1 299 Odd Phrase\r\nServer-Sign: x.1\r\nContent-Length: 2\r\n\r\nok";
    block_on(async {
        let mut connection = connection(text);
        let head = connection.response_head(1_000).await.expect("a head");
        let framing =
            response_framing("GET", &head, CloseDelimited::Reject).expect("a valid framing");
        let body = connection
            .body(framing, MAX_BODY_BYTES)
            .await
            .expect("a body");
        let mut headers = head.headers.clone();
        headers.retain(|(name, _)| !http1::is_hop_header(name));
        let bytes = http1::response_bytes(head.status, &head.reason, &headers, &body, None);
        assert_eq!(String::from_utf8_lossy(&bytes), text);
    });
}

#[test]
fn interim_responses_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let head = block_on(connection(text).response_head(1_000)).expect("a head");
    assert_eq!(head.status, 200);
}

#[test]
fn response_outside_the_protocol_passes_for_one() {
    let heads = [
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 1000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-\u{1}Odd: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd: 1\u{0}\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n folded\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 O\u{1}K\r\nContent-Length: 0\r\n\r\n",
    ];
    let passes = |head: &&str| {
        // A valid response behind the invalid one must not be taken in its place.
        let text = format!("{head}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        let result = block_on(connection(&text).response_head(1_000));
        !matches!(result, Err(Fault::Malformed(_)))
    };
    let passed: Vec<&str> = heads.into_iter().filter(passes).collect();
    assert!(passed.is_empty(), "{passed:#?}");
}

#[test]
fn bytes_after_a_message_stay_in_the_buffer() {
    block_on(async {
        let mut connection = connection("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\noktail");
        let head = connection.response_head(1_000).await.expect("a head");
        let framing =
            response_framing("GET", &head, CloseDelimited::Reject).expect("a valid framing");
        assert_eq!(
            connection
                .body(framing, MAX_BODY_BYTES)
                .await
                .expect("a body"),
            b"ok"
        );
        assert!(connection.has_bytes());
    });
}

#[test]
fn chunks_are_joined_and_their_trailers_skipped() {
    block_on(async {
        let mut connection = connection("3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
        let body = connection.body(Framing::Chunked, MAX_BODY_BYTES).await;
        assert_eq!(body.expect("a body"), b"abcde");
        assert!(!connection.has_bytes());
    });
}

#[test]
fn close_delimited_response_is_accepted_only_if_allowed() {
    let text = "HTTP/1.1 200 OK\r\n\r\nabc";
    block_on(async {
        let mut connection = connection(text);
        let head = connection.response_head(1_000).await.expect("a head");
        assert!(response_framing("GET", &head, CloseDelimited::Reject).is_err());
        let framing =
            response_framing("GET", &head, CloseDelimited::Accept).expect("a valid framing");
        assert_eq!(
            connection
                .body(framing, MAX_BODY_BYTES)
                .await
                .expect("a body"),
            b"abc"
        );
    });
}

#[test]
fn truncated_or_too_long_body_is_a_fault() {
    let truncated = block_on(connection("ab").body(Framing::Length(3), MAX_BODY_BYTES));
    assert!(matches!(truncated, Err(Fault::Truncated)), "{truncated:?}");
    let too_long =
        block_on(connection("ab").body(Framing::Length(MAX_BODY_BYTES + 1), MAX_BODY_BYTES));
    assert!(
        matches!(too_long, Err(Fault::BodyTooLong(_))),
        "{too_long:?}"
    );
    let chunk = block_on(connection("ffffffffffffffff\r\n").body(Framing::Chunked, MAX_BODY_BYTES));
    assert!(chunk.is_err(), "{chunk:?}");
}

#[test]
fn request_with_ambiguous_framing_is_a_fault() {
    let headers = |pairs: &[(&str, &str)]| -> Vec<http1::Header> {
        let owned = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        pairs.iter().map(owned).collect()
    };
    let both = headers(&[("Content-Length", "3"), ("Transfer-Encoding", "chunked")]);
    assert!(request_framing(&both).is_err());
    let twice = headers(&[("Content-Length", "3"), ("content-length", "3")]);
    assert!(request_framing(&twice).is_err());
    let signed = headers(&[("Content-Length", "+3")]);
    assert!(request_framing(&signed).is_err());
}

async fn chunked_body(text: &str) -> Result<Vec<u8>, Fault> {
    let mut connection = connection(text);
    connection.body(Framing::Chunked, MAX_BODY_BYTES).await
}

#[test]
fn trailers_and_chunk_extensions_are_read_without_a_bound() {
    let trailers = "x: y\r\n".repeat(4_000);
    let body = block_on(chunked_body(&format!("0\r\n{trailers}\r\n")));
    assert!(matches!(body, Err(Fault::FramingTooLong("trailers", _))));
    let extended = format!("1;{}\r\ny\r\n", "x".repeat(600)).repeat(40);
    let body = block_on(chunked_body(&format!("{extended}0\r\n\r\n")));
    assert!(matches!(
        body,
        Err(Fault::FramingTooLong("chunk extensions", _))
    ));
    let body = block_on(chunked_body("2;x=y\r\nok\r\n0\r\nx: y\r\n\r\n"));
    assert_eq!(body.expect("a body"), b"ok");
}

/// A peer that sends a start, and then a piece again and again.
struct EndlessPeer {
    start: &'static [u8],
    piece: &'static [u8],
    sent: Rc<Cell<usize>>,
}

impl Read for EndlessPeer {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let sent = self.sent.get();
        for (byte, at) in buf.iter_mut().zip(sent..) {
            let in_piece = at.saturating_sub(self.start.len()) % self.piece.len();
            *byte = *self.start.get(at).unwrap_or(&self.piece[in_piece]);
        }
        self.sent.set(sent + buf.len());
        Poll::Ready(Ok(buf.len()))
    }
}

/// The longest head and the longest body, in bytes, in the test of endless messages.
const MAX_ENDLESS_BYTES: usize = 100_000;
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const IN_EXTENSION: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
const IN_TRAILERS: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";

#[test]
fn more_than_twice_the_longest_message_is_read() {
    let messages: [(&[u8], &[u8]); 9] = [
        (b"HTTP/1.1 200 ", b"O"),
        (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"yyyy"),
        (CHUNKED, b"1\r\ny\r\n"),
        (CHUNKED, b"4\r\nyyyy\r\n"),
        (CHUNKED, b"1;xxxxxxxx\r\ny\r\n"),
        (IN_EXTENSION, b"x=y;"),
        (IN_TRAILERS, b"x: y\r\n"),
    ];
    for (start, piece) in messages {
        let sent = Rc::new(Cell::new(0));
        let mut connection = Connection::new(EndlessPeer {
            start,
            piece,
            sent: sent.clone(),
        });
        let result = block_on(async {
            let head = connection.response_head(MAX_ENDLESS_BYTES).await?;
            let framing = response_framing("GET", &head, CloseDelimited::Accept)?;
            connection.body(framing, MAX_ENDLESS_BYTES as u64).await
        });
        let piece = String::from_utf8_lossy(piece);
        assert!(result.is_err(), "{piece:?}");
        assert!(sent.get() <= 2 * MAX_ENDLESS_BYTES, "{piece:?}: {sent:?}");
    }
}

#[test]
fn chunk_sizes_are_read_without_a_bound() {
    block_on(async {
        let read = |chunks| async move {
            let text = format!("{}0\r\n\r\n", "1\r\nx\r\n".repeat(chunks));
            let mut connection = connection(&text);
            connection.body(Framing::Chunked, 10_000).await
        };
        assert_eq!(read(3_000).await.expect("a body").len(), 3_000);
        let body = read(4_000).await;
        assert!(matches!(body, Err(Fault::FramingTooLong("chunk sizes", _))));
    });
}

#[test]
fn interim_responses_are_skipped_without_a_bound() {
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);
    let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let head = block_on(connection(&text).response_head(1_000));
    assert!(matches!(head, Err(Fault::HeadTooLong)));
}

#[test]
fn peer_that_sends_faster_than_it_is_read_stops_the_other_tasks_of_the_thread() {
    const LARGE_BODY_BYTES: u64 = 50_000_000;
    let mut connection = Connection::new(async_std::io::repeat(b'y'));
    let reading = connection.body(Framing::UntilClose, LARGE_BODY_BYTES);
    let other = async_std::task::yield_now();
    let (reading, other) = (pin!(reading), pin!(other));
    let is_other_first =
        block_on(async { matches!(select(reading, other).await, Either::Right(_)) });
    assert!(is_other_first);
}

/// A stream whose reads return parts of at most these lengths, in turn.
struct Parts {
    bytes: Vec<u8>,
    lengths: Vec<usize>,
    reads: usize,
}

impl Read for Parts {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = self.lengths[self.reads % self.lengths.len()];
        let length = length.min(self.bytes.len()).min(buf.len());
        self.reads += 1;
        let rest = self.bytes.split_off(length);
        buf[..length].copy_from_slice(&self.bytes);
        self.bytes = rest;
        Poll::Ready(Ok(length))
    }
}

proptest! {
    #[test]
    fn message_is_the_same_however_its_bytes_arrive(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..200), 0..20),
        trailers in 0..4usize,
        lengths in prop::collection::vec(1..300usize, 1..8),
    ) {
        let mut text = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in &chunks {
            text.extend(format!("{:x};x=y\r\n", chunk.len()).bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n");
        text.extend(b"x: y\r\n".repeat(trailers));
        text.extend(b"\r\nrest");
        let mut connection = Connection::new(Parts { bytes: text, lengths, reads: 0 });
        let (head, body) = block_on(async {
            let head = connection.response_head(1_000).await.expect("a head");
            let framing = response_framing("GET", &head, CloseDelimited::Reject).expect("a framing");
            (head, connection.body(framing, 10_000).await.expect("a body"))
        });
        prop_assert_eq!(head.status, 200);
        prop_assert_eq!(body, chunks.concat());
        let rest = block_on(connection.body(Framing::Length(4), 4)).expect("the rest");
        prop_assert_eq!(rest, b"rest");
    }
}
