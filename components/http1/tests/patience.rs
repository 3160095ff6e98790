//! Answers that come slowly, and answers that don't come.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use http1::ResponseTimeouts;
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(400);
const PIECES: usize = 12;

/// Serves one request: each piece of its answer, the first included, comes after its pause.
async fn serve(pauses: Vec<Duration>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut buf = [0; 1_024];
        let read = stream.read(&mut buf).await.expect("a request");
        assert!(read > 0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            pauses.len() - 1
        );
        for (piece, pause) in pauses.into_iter().enumerate() {
            task::sleep(pause).await;
            let bytes = if piece == 0 { head.as_bytes() } else { b"x" };
            if stream.write_all(bytes).await.is_err() {
                return;
            }
        }
    });
    address
}

async fn call(address: SocketAddr) -> Result<Vec<u8>, String> {
    let timeouts = ResponseTimeouts::uniform(LIMIT);
    let called = http1::call(address, "GET", "/", &[], b"", 1_000, timeouts).await;
    called
        .map(|(_, body)| body)
        .map_err(|fault| fault.to_string())
}

#[test]
fn an_answer_that_keeps_coming_is_read_to_its_end_however_long_it_takes() {
    block_on(async {
        let address = serve(vec![LIMIT / 4; PIECES + 1]).await;
        assert_eq!(call(address).await, Ok(vec![b'x'; PIECES]));
    });
}

#[test]
fn an_answer_that_falls_silent_is_given_up() {
    block_on(async {
        let mut pauses = vec![Duration::ZERO; PIECES + 1];
        pauses[PIECES] = LIMIT * 10;
        let address = serve(pauses).await;
        let error = call(address).await.expect_err("silence");
        assert!(error.contains("nothing came"), "{error}");
    });
}

#[test]
fn an_answer_that_never_begins_is_given_up() {
    block_on(async {
        let address = serve(vec![LIMIT * 10; 2]).await;
        let error = call(address).await.expect_err("silence");
        assert!(error.contains("nothing came"), "{error}");
    });
}
