//! Responses that end with their connection, which is reset while the request is still being sent.

use async_std::task::block_on;
use buffers::{Gate, Limits};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use upstream::{ExchangeOptions, Failure, Pool};
use wire::{Answer, Request};

const MEMORY_BYTES: usize = 160 * 1024 * 1024;
const MAX_BODY_BYTES: usize = 1_000_000;
const ID: &str = "q-1";
/// Exceeds the socket buffers: the upstream's receive buffer is small.
const UPLOAD_BYTES: usize = 8_000_000;
const RECEIVE_BUFFER_BYTES: usize = 8_192;
/// Time after which the part of the response has arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(30);
const TRIES: usize = 20;

fn gate() -> Rc<Gate> {
    Rc::new(Gate::new(Limits::new(MEMORY_BYTES)))
}

fn upload() -> Request {
    Request {
        service: "prices".into(),
        method: "POST".to_string(),
        target: "/x".to_string(),
        headers: Vec::new(),
        body: vec![b'x'; UPLOAD_BYTES],
        level: 0,
        id: ID.to_string(),
        account: None,
    }
}

/// How the upstream ends the connection behind its response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// A reset.
    Reset,
    /// An orderly close of its sending side; it then reads the rest of the request.
    Close,
}

/// Starts an upstream that responds when the head of the request has arrived.
fn start(response: &'static str, end: End) -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let socket = SockRef::from(&listener);
    let set = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    set.expect("a receive buffer");
    let address = listener.local_addr().expect("its address");
    let upstream = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        respond(stream, response, end);
    });
    (address, upstream)
}

fn respond(mut stream: TcpStream, response: &str, end: End) {
    let mut buf = [0; 1_024];
    assert!(stream.read(&mut buf).expect("a head") > 0);
    stream.write_all(response.as_bytes()).expect("is sent");
    thread::sleep(ARRIVAL_TIME);
    match end {
        End::Reset => {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a linger");
        }
        End::Close => {
            stream.shutdown(std::net::Shutdown::Write).expect("closes");
            while matches!(stream.read(&mut buf), Ok(1..)) {}
        }
    }
}

fn exchange(response: &'static str, end: End) -> Result<Answer, Failure> {
    let (address, upstream) = start(response, end);
    let pool = Pool::new(address, 1, MAX_BODY_BYTES, true, gate());
    let options = ExchangeOptions {
        request_id: Some(("Request-Id", ID)),
        ..ExchangeOptions::default()
    };
    let result = block_on(pool.exchange(&upload(), &options));
    drop(pool);
    upstream.join().expect("no panic");
    result
}

/// The failed write took the socket's error, so that the reader saw an orderly end.
#[test]
fn part_of_a_response_passes_for_a_whole_one_when_the_upload_is_reset() {
    for _ in 0..TRIES {
        let result = exchange("HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\n\r\npart", End::Reset);
        assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
    }
}

#[test]
fn part_of_a_response_with_a_length_or_chunks_passes_for_a_whole_one() {
    for framing in [
        "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    ] {
        let result = exchange(framing, End::Reset);
        assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
    }
}

#[test]
fn whole_response_before_the_end_of_an_upload_is_lost() {
    let sized = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 5\r\n\r\nwhole";
    let closed = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\n\r\nwhole";
    for (response, end) in [(sized, End::Reset), (closed, End::Close)] {
        let answer = exchange(response, end).expect("an answer");
        assert_eq!(
            (answer.status, answer.body.as_slice()),
            (200, &b"whole"[..])
        );
    }
}
