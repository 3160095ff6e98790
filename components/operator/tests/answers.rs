//! Answers of nodes that are malformed, or that end early.

use async_std::task::block_on;
use operator::Release;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Releases a request at a node that answers with `text` and closes the connection. Returns the answer.
fn release(text: &'static str) -> errors::Result<String> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    let node = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4_096];
        assert!(stream.read(&mut buf).expect("a request") > 0);
        stream.write_all(text.as_bytes()).expect("is sent");
    });
    let release = Release {
        fingerprint: "f".to_string(),
        who: "o".to_string(),
        why: "w".to_string(),
    };
    let answer = block_on(operator::release(&address, "a key of the fleet", &release));
    node.join().expect("no panic");
    answer
}

#[test]
fn answer_of_a_node_is_read() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nreleased";
    assert_eq!(release(text).expect("an answer"), "released");
}

#[test]
fn malformed_answer_of_a_node_passes_for_one() {
    let answers = [
        // Ends early.
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nreleased",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nreleased\r\n",
        // Has no end of its own.
        "HTTP/1.1 200 OK\r\n\r\nreleased",
        "HTTP/1.1 000 OK\r\nContent-Length: 8\r\n\r\nreleased",
        "HTTP/1.1 200 OK\r\nContent Length: 8\r\n\r\nreleased",
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nContent-Length: 4\r\n\r\nreleased",
        "HTTP/1.1 503 Busy\r\nContent-Length: 8\r\n\r\nreleased",
        "released",
    ];
    let passes = |text: &&'static str| release(text).is_ok();
    let passed: Vec<&str> = answers.into_iter().filter(passes).collect();
    assert!(passed.is_empty(), "{passed:#?}");
}
