//! Connections that read on, wait or are closed while memory is short. The tests run without the
//! counting allocator, so that only what the connections themselves hold counts.

use async_std::io::{Cursor, Read};
use buffers::{Gate, GatedStream, Holder, Kind, Limits};
use names::{Moment, SECOND};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

const MB: usize = 1024 * 1024;
/// Half of it is for the heap.
const MEMORY: usize = 160 * MB;

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn gate() -> Rc<Gate> {
    let gate = Rc::new(Gate::new(Limits::new(MEMORY)));
    gate.advance(Moment(SECOND));
    gate
}

type Stream = GatedStream<Cursor<Vec<u8>>>;

fn stream(holder: Holder, bytes: usize) -> Stream {
    GatedStream::new(Cursor::new(vec![b'x'; bytes]), holder)
}

/// Reads up to `bytes` bytes; none if the stream waits.
fn read(stream: &mut Stream, bytes: usize) -> Poll<Result<usize, ErrorKind>> {
    let mut cx = Context::from_waker(Waker::noop());
    let mut buf = vec![0; bytes];
    let polled = Pin::new(stream).poll_read(&mut cx, &mut buf);
    polled.map(|read| read.map_err(|error| error.kind()))
}

#[test]
fn reader_goes_on_although_memory_is_short() {
    let gate = gate();
    let mut crowd = stream(gate.register(Kind::Caller, peer()), 200 * MB);
    assert_eq!(read(&mut crowd, 79 * MB), Poll::Ready(Ok(79 * MB)));
    assert_eq!(gate.excess(), 0);
    assert_eq!(read(&mut crowd, 2 * MB), Poll::Ready(Ok(2 * MB)));
    assert!(gate.excess() > 0);
    assert!(read(&mut crowd, MB).is_pending());
}

#[test]
fn small_request_waits_while_memory_is_short() {
    let gate = gate();
    let mut crowd = stream(gate.register(Kind::Caller, peer()), 200 * MB);
    assert!(read(&mut crowd, 90 * MB).is_ready());
    let mut ordinary = stream(gate.register(Kind::Caller, peer()), 10_000);
    assert_eq!(read(&mut ordinary, 10_000), Poll::Ready(Ok(10_000)));
}

#[test]
fn evicted_reader_goes_on() {
    let gate = gate();
    let mut crowd = stream(gate.register(Kind::Caller, peer()), 200 * MB);
    let mut ordinary = stream(gate.register(Kind::Caller, peer()), MB);
    assert!(read(&mut crowd, 90 * MB).is_ready());
    assert!(read(&mut ordinary, 20_000).is_ready());
    assert!(read(&mut ordinary, MB).is_pending());
    gate.advance(Moment(2 * SECOND));
    let closed = gate.relieve();
    assert_eq!(closed.len(), 1);
    assert_eq!(closed[0].holding.bytes, 90 * MB);
    let aborted = Poll::Ready(Err(ErrorKind::ConnectionAborted));
    assert_eq!(read(&mut crowd, MB), aborted);
    drop(crowd);
    assert_eq!(gate.excess(), 0);
    assert!(gate.relieve().is_empty());
    assert!(read(&mut ordinary, MB).is_ready());
}

/// Memory in use by requests that are being served can't be freed.
#[test]
fn reader_waits_for_memory_that_nobody_frees() {
    let gate = gate();
    let serving = gate.register(Kind::Caller, peer());
    let mut served = stream(serving.clone(), 200 * MB);
    assert!(read(&mut served, 90 * MB).is_ready());
    serving.request_opened();
    let mut late = stream(gate.register(Kind::Caller, peer()), MB);
    assert!(read(&mut late, 15_000).is_ready());
    assert!(read(&mut late, 5_000).is_ready());
    assert!(read(&mut late, MB).is_pending());
    // The one that waits is closed first, since its message has not arrived.
    assert_eq!(gate.relieve().len(), 1);
    let mut small = stream(gate.register(Kind::Caller, peer()), MB);
    assert!(read(&mut small, Limits::ALLOWANCE_BYTES).is_ready());
    assert!(read(&mut small, 1).is_ready());
    assert!(gate.refuses(MB));
    assert!(!gate.refuses(1_000));
}

#[test]
fn message_counts_after_its_end() {
    let gate = gate();
    let holder = gate.register(Kind::Peer, peer());
    let mut link = stream(holder.clone(), 200 * MB);
    assert!(read(&mut link, 90 * MB).is_ready());
    assert!(gate.excess() > 0);
    holder.message_ended();
    assert_eq!((gate.excess(), holder.received_bytes()), (0, 0));
}

#[test]
fn connection_without_a_holder_still_counts() {
    let gate = gate();
    let mut crowd = stream(gate.register(Kind::Upstream, peer()), 200 * MB);
    assert!(read(&mut crowd, 90 * MB).is_ready());
    drop(crowd);
    assert_eq!(gate.excess(), 0);
}

#[test]
fn answers_beyond_the_share_let_a_pipeline_go_on() {
    let gate = gate();
    let holder = gate.register(Kind::Caller, peer());
    holder.answer_queued(9 * MB);
    assert!(!holder.exceeds_share());
    holder.answer_queued(9 * MB);
    assert!(holder.exceeds_share());
    holder.answer_written(9 * MB);
    assert!(!holder.exceeds_share());
}

/// A refusal tells the caller that its request has not run; a closed connection does not.
#[test]
fn waiting_request_is_closed_instead_of_refused() {
    let gate = gate();
    let serving = gate.register(Kind::Caller, peer());
    let mut served = stream(serving.clone(), 200 * MB);
    assert!(read(&mut served, 90 * MB).is_ready());
    serving.request_opened();
    let mut waiting = stream(gate.register(Kind::Caller, peer()), MB);
    assert!(read(&mut waiting, 20_000).is_ready());
    assert!(read(&mut waiting, MB).is_pending());
    gate.relieve();
    let refused = Poll::Ready(Err(ErrorKind::OutOfMemory));
    assert_eq!(read(&mut waiting, MB), refused);
}
