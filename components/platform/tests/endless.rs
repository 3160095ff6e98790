//! Responses of the platform that never end.

use async_std::task::block_on;
use platform::Client;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// How long the platform sends unless the client closes the connection.
const SENDING_TIME: Duration = Duration::from_secs(10);
/// Time within which a call ends.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Endless responses: start and the piece that is repeated.
const RESPONSES: [(&str, &str); 3] = [
    (
        "HTTP/1.1 200 OK\r\nObject-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\ny\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nObject-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "x: y\r\n",
    ),
    ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
];

#[test]
fn endless_response_of_the_platform_outlives_the_timeout_of_its_call() {
    for (start, piece) in RESPONSES {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let address = listener.local_addr().expect("its address");
        let platform = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut buf = [0; 1_024];
            assert!(stream.read(&mut buf).expect("a request") > 0);
            stream.write_all(start.as_bytes()).expect("is sent");
            let pieces = piece.repeat(1_000);
            let began = Instant::now();
            while began.elapsed() < SENDING_TIME && stream.write_all(pieces.as_bytes()).is_ok() {}
        });
        let client = Client::new(vec![address]);
        let began = Instant::now();
        assert!(block_on(client.read("main")).is_err(), "{piece:?}");
        let elapsed = began.elapsed();
        assert!(elapsed < CALL_TIME, "{piece:?}: {elapsed:?}");
        platform.join().expect("no panic");
    }
}
