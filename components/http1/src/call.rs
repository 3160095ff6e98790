//! One request over a connection of its own, with its whole answer.

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

/// Silence after which a connection is probed, and time between two probes. A VM without power says
/// nothing, so that without probes a waiting answer would never be given up.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is given up.
const PROBES: u32 = 2;
/// Bytes sent and not acknowledged for so long mean that the connection is lost.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16_000;

/// Makes a connection notice within a few seconds that its other end is silent.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    // SAFETY: the descriptor stays open as long as `stream`, which outlives the borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let socket = SockRef::from(&fd);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    socket.set_tcp_nodelay(true)
}

/// Sends one request to `address` and reads its answer of at most `most` bytes. `timeouts` bounds the time to
/// connect and send, and each silence; callers bound the whole.
pub async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    most: u64,
    timeouts: ResponseTimeouts,
) -> Result<(ResponseHead, Vec<u8>), Fault> {
    call_with_callback(
        address,
        method,
        target,
        headers,
        body,
        most,
        timeouts,
        || {},
    )
    .await
}

/// The same; `on_first_byte` is called when the first piece of the answer comes.
#[allow(clippy::too_many_arguments)]
pub async fn call_with_callback(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    most: u64,
    timeouts: ResponseTimeouts,
    on_first_byte: impl FnOnce() + Unpin,
) -> Result<(ResponseHead, Vec<u8>), Fault> {
    let host = address.to_string();
    let fixed = [("Host", host.as_str()), ("Connection", "close")];
    let headers = fixed.iter().chain(headers).copied();
    let bytes = crate::request_bytes(method, target, headers, body, method != "GET");
    let stream = timeout(timeouts.first_byte, send(address, &bytes))
        .await
        .map_err(|_| Fault::Io(io::Error::new(io::ErrorKind::TimedOut, "not sent in time")))?
        .map_err(Fault::Io)?;
    let mut connection = Connection::new(TimedStream::new(stream, timeouts, on_first_byte));
    let head = connection.response_head(MAX_HEAD_BYTES).await?;
    let framing = response_framing(method, &head, CloseDelimited::Reject)?;
    let body = connection.body(framing, most).await?;
    Ok((head, body))
}

async fn send(address: SocketAddr, bytes: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream)?;
    stream.write_all(bytes).await?;
    Ok(stream)
}
