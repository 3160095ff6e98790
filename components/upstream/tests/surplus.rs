//! Bytes of an upstream that belong to no request, in front of the response that is due.

use async_std::task::block_on;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use upstream::{ExchangeOptions, Failure, Pool};
use wire::{Answer, Request};

const MAX_BODY_BYTES: usize = 1_000;
const ID: &str = "q-1";

fn req() -> Request {
    Request {
        service: "prices".into(),
        method: "POST".to_string(),
        target: "/x".to_string(),
        headers: Vec::new(),
        body: Vec::new(),
        level: 0,
        id: ID.to_string(),
        account: None,
    }
}

/// Exchanges a request with an upstream that sends `response`. `echoes`: whether its responses are
/// known to carry the ID of their request.
fn exchange(response: &'static str, echoes: bool) -> Result<Answer, Failure> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("its address");
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1_024];
        assert!(stream.read(&mut buf).expect("a request") > 0);
        stream.write_all(response.as_bytes()).expect("is sent");
    });
    let pool = Pool::new(address, 1, MAX_BODY_BYTES, false);
    let options = ExchangeOptions {
        request_id: echoes.then_some(("Request-Id", ID)),
        ..ExchangeOptions::default()
    };
    let answer = block_on(pool.exchange(&req(), &options));
    upstream.join().expect("no panic");
    answer
}

const FOREIGN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
const FOREIGN_THEN_OWN: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n\
    HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";
const OTHER_THEN_OWN: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q-0\r\nContent-Length: 5\r\n\r\nother\
    HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";
const INTERIM_THEN_OWN: &str = "HTTP/1.1 100 Continue\r\n\r\n\
    HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nContent-Length: 3\r\n\r\nown";

#[test]
fn response_without_an_id_is_taken_for_the_one_that_is_due() {
    for response in [FOREIGN, FOREIGN_THEN_OWN] {
        let outcome = exchange(response, true);
        assert!(matches!(outcome, Err(Failure::Broken(_))), "{outcome:?}");
    }
}

#[test]
fn own_response_is_found_behind_others() {
    for response in [OTHER_THEN_OWN, INTERIM_THEN_OWN] {
        assert_eq!(exchange(response, true).expect("an answer").body, b"own");
    }
}

#[test]
fn next_response_is_taken_where_upstreams_send_no_ids() {
    assert_eq!(
        exchange(FOREIGN, false).expect("an answer").body,
        b"foreign"
    );
}
