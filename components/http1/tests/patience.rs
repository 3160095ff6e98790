//! Responses that arrive slowly, and responses that don't arrive.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use http1::ResponseTimeouts;
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(400);
const PIECES: usize = 12;

/// Serves one request. Each piece of the response, the first included, is sent after its pause.
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
    let result = http1::call(address, "GET", "/", &[], b"", 1_000, timeouts).await;
    result
        .map(|(_, body)| body)
        .map_err(|fault| fault.to_string())
}

#[test]
fn slow_response_is_read_to_its_end_while_data_keeps_arriving() {
    block_on(async {
        let address = serve(vec![LIMIT / 4; PIECES + 1]).await;
        assert_eq!(call(address).await, Ok(vec![b'x'; PIECES]));
    });
}

#[test]
fn response_that_stalls_times_out() {
    block_on(async {
        let mut pauses = vec![Duration::ZERO; PIECES + 1];
        pauses[PIECES] = LIMIT * 10;
        let address = serve(pauses).await;
        let error = call(address).await.expect_err("a timeout");
        assert!(error.contains("no data received"), "{error}");
    });
}

#[test]
fn response_that_never_starts_times_out() {
    block_on(async {
        let address = serve(vec![LIMIT * 10; 2]).await;
        let error = call(address).await.expect_err("a timeout");
        assert!(error.contains("no data received"), "{error}");
    });
}
