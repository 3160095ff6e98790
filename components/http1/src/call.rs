//! A single request over a connection of its own, and its complete response.

use crate::connection::{Connection, Fault};
use crate::framing::{response_framing, CloseDelimited};
use crate::head::ResponseHead;
use crate::patience::{ResponseTimeouts, TimedStream};
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

/// Idle time after which a connection is probed, and time between two probes. A VM that loses power
/// does not close its connections, so that without probes a wait for its response would never end.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// A connection fails if sent bytes remain unacknowledged for longer.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16_000;

/// Makes a connection fail within a few seconds when its peer has become unreachable. Also disables
/// Nagle's algorithm.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    // SAFETY: the descriptor stays open as long as `stream`, which outlives the borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let socket = SockRef::from(&fd);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}

/// Sends one request to `address` and reads the response, with a body of at most `max_body_bytes`.
/// `timeouts` limits the time to connect and send, and each wait for data. The caller limits the total
/// time.
pub async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    max_body_bytes: u64,
    timeouts: ResponseTimeouts,
) -> Result<(ResponseHead, Vec<u8>), Fault> {
    call_with_callback(
        address,
        method,
        target,
        headers,
        body,
        max_body_bytes,
        timeouts,
        || {},
    )
    .await
}

/// Like [`call`], and calls `on_first_byte` when the first bytes of the response arrive.
#[allow(clippy::too_many_arguments)]
pub async fn call_with_callback(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    max_body_bytes: u64,
    timeouts: ResponseTimeouts,
    on_first_byte: impl FnOnce() + Unpin,
) -> Result<(ResponseHead, Vec<u8>), Fault> {
    let host = address.to_string();
    let fixed = [("Host", host.as_str()), ("Connection", "close")];
    let headers = fixed.iter().chain(headers).copied();
    let bytes = crate::request_bytes(method, target, headers, body, method != "GET");
    let stream = timeout(timeouts.first_byte, send(address, &bytes))
        .await
        .map_err(|_| {
            Fault::Io(io::Error::new(
                io::ErrorKind::TimedOut,
                "the request was not sent within the timeout",
            ))
        })?
        .map_err(Fault::Io)?;
    let mut connection = Connection::new(TimedStream::new(stream, timeouts, on_first_byte));
    let head = connection.response_head(MAX_HEAD_BYTES).await?;
    let framing = response_framing(method, &head, CloseDelimited::Reject)?;
    let body = connection.body(framing, max_body_bytes).await?;
    Ok((head, body))
}

async fn send(address: SocketAddr, bytes: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream)?;
    stream.write_all(bytes).await?;
    Ok(stream)
}
