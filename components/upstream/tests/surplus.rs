//! Bytes of an upstream that belong to no request, in front of the response that is due.

use async_std::task::block_on;
use buffers::{Gate, Limits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use upstream::{ExchangeOptions, Failure, Pool};
use wire::{Answer, Request};

const MEMORY_BYTES: usize = 160 * 1024 * 1024;
const MAX_BODY_BYTES: usize = 1_000;
const ID: &str = "q-1";
/// Time after which surplus bytes have arrived on an idle connection.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

fn gate() -> Rc<Gate> {
    Rc::new(Gate::new(Limits::new(MEMORY_BYTES)))
}

fn req(method: &str) -> Request {
    Request {
        service: "prices".into(),
        method: method.to_string(),
        target: "/x".to_string(),
        headers: Vec::new(),
        body: Vec::new(),
        level: 0,
        id: ID.to_string(),
        account: None,
    }
}

/// Options of a request to an upstream whose responses carry the ID of their request.
fn with_ids() -> ExchangeOptions<'static> {
    ExchangeOptions {
        request_id: Some(("Request-Id", ID)),
        ..ExchangeOptions::default()
    }
}

/// Starts an upstream. Each connection answers its requests with the texts of one entry, and closes.
fn start(connections: Vec<Vec<&'static str>>) -> (SocketAddr, thread::JoinHandle<()>) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("its address");
    let upstream = thread::spawn(move || {
        let mut open = Vec::new();
        for responses in connections {
            let (stream, _) = listener.accept().expect("a connection");
            open.push(thread::spawn(move || respond(stream, &responses)));
        }
        for connection in open {
            connection.join().expect("no panic");
        }
    });
    (address, upstream)
}

fn respond(mut stream: TcpStream, responses: &[&str]) {
    let mut buf = [0; 1_024];
    for response in responses {
        if !matches!(stream.read(&mut buf), Ok(1..)) {
            return;
        }
        for (number, text) in response.split(PAUSE).enumerate() {
            if number > 0 {
                thread::sleep(ARRIVAL_TIME / 2);
            }
            stream.write_all(text.as_bytes()).expect("is sent");
        }
    }
}

/// Exchanges a request with an upstream that sends `response` and closes.
fn exchange(
    method: &str,
    response: &'static str,
    options: &ExchangeOptions<'_>,
) -> Result<Answer, Failure> {
    let (address, upstream) = start(vec![vec![response]]);
    let pool = Pool::new(address, 1, MAX_BODY_BYTES, true, gate());
    let answer = block_on(pool.exchange(&req(method), options));
    upstream.join().expect("no panic");
    answer
}

/// Marks a pause within the bytes of a response.
const PAUSE: &str = "<pause>";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
const FOREIGN_THEN_OWN: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n\
    HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";
const FOREIGN_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\nforeign";
const FOREIGN_BEHIND_INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n\
    HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
const OTHER_THEN_FOREIGN: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: q-0\r\nContent-Length: 5\r\n\r\nother\
    HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
const OTHER_THEN_OWN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q-0\r\nContent-Length: 5\r\n\r\nother\
    HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";
const INTERIM_THEN_OWN: &str = "HTTP/1.1 100 Continue\r\n\r\n\
    HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";
const OWN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";
const OWN_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\n\r\nown";
const OWN_THEN_FOREIGN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown\
    HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
const OWN_THEN_LATE_FOREIGN: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown\
    <pause>HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";

#[test]
fn response_without_an_id_is_taken_for_the_one_that_is_due() {
    let responses = [
        FOREIGN,
        FOREIGN_THEN_OWN,
        FOREIGN_UNTIL_CLOSE,
        FOREIGN_BEHIND_INTERIM,
        OTHER_THEN_FOREIGN,
    ];
    for (method, response) in responses.iter().flat_map(|r| [("POST", *r), ("HEAD", *r)]) {
        let outcome = exchange(method, response, &with_ids());
        assert!(
            matches!(outcome, Err(Failure::Broken(_))),
            "{method}: {outcome:?}"
        );
    }
}

#[test]
fn own_response_is_found_behind_others() {
    for response in [OTHER_THEN_OWN, INTERIM_THEN_OWN, OWN_UNTIL_CLOSE] {
        let answer = exchange("POST", response, &with_ids()).expect("an answer");
        assert_eq!(answer.body, b"own");
    }
}

#[test]
fn next_response_is_taken_where_upstreams_send_no_ids() {
    let answer = exchange("POST", FOREIGN, &ExchangeOptions::default()).expect("an answer");
    assert_eq!(answer.body, b"foreign");
}

#[test]
fn connection_with_bytes_behind_a_response_is_reused() {
    for surplus in [OWN_THEN_FOREIGN, OWN_THEN_LATE_FOREIGN] {
        let (address, upstream) = start(vec![vec![surplus], vec![OWN]]);
        let pool = Pool::new(address, 1, MAX_BODY_BYTES, true, gate());
        for _ in 0..2 {
            let answer = block_on(pool.exchange(&req("POST"), &with_ids())).expect("an answer");
            assert_eq!(answer.body, b"own");
            thread::sleep(ARRIVAL_TIME);
        }
        upstream.join().expect("no panic");
    }
}

#[test]
fn bytes_that_arrive_with_the_next_request_are_taken_for_its_response() {
    let (address, upstream) = start(vec![vec![OWN, FOREIGN_THEN_OWN], vec![OWN]]);
    let pool = Pool::new(address, 1, MAX_BODY_BYTES, true, gate());
    let exchange = || block_on(pool.exchange(&req("POST"), &with_ids()));
    assert_eq!(exchange().expect("an answer").body, b"own");
    let outcome = exchange();
    assert!(matches!(outcome, Err(Failure::Broken(_))), "{outcome:?}");
    assert_eq!(exchange().expect("an answer").body, b"own");
    upstream.join().expect("no panic");
}
