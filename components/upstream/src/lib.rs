//! HTTP exchanges with the local upstream, over a pool of keep-alive connections.

use async_std::future::timeout;
use async_std::io::{ErrorKind, ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use buffers::{Gate, GatedStream, Kind};
use clock::Clock;
use errors::{Error, Result, Step};
use futures_util::future::{select, Either};
use http1::{response_framing, CloseDelimited, Connection, Fault, Framing, ResponseHead};
use names::Moment;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use wire::{Answer, Request};

/// Timeout of a connect to the upstream, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a connect that checks whether the upstream's port is closed. The VM refuses such a
/// connection immediately.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Time within which a terminating process closes a connection that it has just accepted. A request
/// whose exchange broke for another reason is repeated later by this time.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of checks of an upstream that closes accepted connections, and the pause between
/// two of them.
const MAX_CLOSE_CHECKS: u32 = 5;
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Connections that have been idle for longer are closed instead of reused, unless the upstream sends
/// `Keep-Alive`.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Fraction of the `Keep-Alive` timeout for which a connection is reused: the upstream starts its
/// timer slightly earlier than this node.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Requests that may run only once are not sent over connections that have been idle for longer: the
/// upstream may have dropped the connection without closing it, and the outcome of the request
/// would be unknown.
const UNREPEATABLE_IDLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 32_000;
/// Maximum number of responses to earlier requests that are skipped on one connection.
const MAX_SKIPPED_RESPONSES: usize = 4;

#[derive(Debug)]
pub enum Failure {
    /// No byte of the request was sent to the upstream.
    NotSent(Error),
    /// No byte of the request was sent, because another incarnation has replaced the upstream.
    Replaced,
    /// The upstream may have run the request, but there is no complete response.
    Broken(Error),
}

/// What an exchange needs in addition to the request.
#[derive(Debug, Default)]
pub struct ExchangeOptions<'a> {
    /// Headers set by this node. They replace headers of the caller with the same name.
    pub headers: Vec<(&'a str, String)>,
    /// Header in which every response repeats the request's ID, and the ID.
    pub request_id: Option<(&'a str, &'a str)>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// State of the upstream's port, as inferred from a failed connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortState {
    /// No process listens on it.
    Closed,
    /// The listening socket is being closed, which resets connections that wait to be accepted.
    Closing,
    /// The error does not show the state.
    Unknown,
}

impl PortState {
    pub fn from_connect_error(kind: ErrorKind) -> PortState {
        match kind {
            ErrorKind::ConnectionRefused => PortState::Closed,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => PortState::Closing,
            _ => PortState::Unknown,
        }
    }
}

/// How much of a request was sent by the time its response had arrived.
#[derive(Debug)]
enum Sent {
    Whole,
    /// The rest was not needed.
    Part,
    /// A write failed.
    Failed(std::io::Error),
}

/// What ends a response, and what may follow on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseEnd {
    /// Its length or its last chunk; the connection may be reused for this long.
    Reusable(Duration),
    /// Its length or its last chunk; the upstream closes the connection.
    Closing,
    /// Nothing but the close of the connection.
    Close,
}

/// A connection whose answers count against the limit on memory.
type UpstreamConnection = Connection<GatedStream<TcpStream>>;

#[derive(Debug)]
struct Idle {
    since: Moment,
    usable_for: Duration,
    connection: UpstreamConnection,
}

/// Keep-alive connections to one upstream.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    gate: Rc<Gate>,
    address: Cell<SocketAddr>,
    max_body_bytes: usize,
    /// Number of idle connections that are opened in advance. Up to this many, but at least one, are
    /// kept for reuse.
    idle_target: Cell<usize>,
    close_delimited: CloseDelimited,
    idle: RefCell<Vec<Idle>>,
    /// Incarnations of the upstream so far. A connection to an earlier one is never reused for a
    /// later one.
    incarnation_count: Cell<u64>,
}

impl Pool {
    /// Creates an empty pool that keeps up to `idle_target` idle connections.
    pub fn new(
        address: SocketAddr,
        idle_target: usize,
        max_body_bytes: usize,
        allow_close_delimited: bool,
        gate: Rc<Gate>,
    ) -> Pool {
        let close_delimited = if allow_close_delimited {
            CloseDelimited::Accept
        } else {
            CloseDelimited::Reject
        };
        Pool {
            clock: Clock::start(),
            gate,
            address: Cell::new(address),
            max_body_bytes,
            idle_target: Cell::new(idle_target),
            close_delimited,
            idle: RefCell::new(Vec::new()),
            incarnation_count: Cell::new(0),
        }
    }

    /// Switches to a new incarnation of the upstream. Idle connections to the previous one are dropped.
    pub fn upstream_replaced(&self, address: SocketAddr, idle_target: usize) {
        self.address.set(address);
        self.idle_target.set(idle_target);
        self.idle.borrow_mut().clear();
        self.incarnation_count.set(self.incarnation_count.get() + 1);
    }

    /// Sends a request and reads the complete response.
    pub async fn exchange(
        &self,
        req: &Request,
        options: &ExchangeOptions<'_>,
    ) -> std::result::Result<Answer, Failure> {
        let (head, body) = request_parts(req, options);
        let incarnation = self.incarnation_count.get();
        let mut connection = self
            .acquire(options.repeatable)
            .await
            .map_err(Failure::NotSent)?;
        if self.incarnation_count.get() != incarnation {
            return Err(Failure::Replaced);
        }
        let writer = connection.stream().get_ref().clone();
        let outcome = {
            let writing = pin!(write_parts(writer, [&head, body]));
            let reading = pin!(self.read_response(&mut connection, req, options));
            match select(writing, reading).await {
                Either::Left((Ok(()), reading)) => (reading.await, Sent::Whole),
                Either::Left((Err((0, error)), _)) => {
                    let error = Error::new(Step::Upstream, self.address.get(), error);
                    return Err(Failure::NotSent(error));
                }
                // The upstream may have run the request anyway, and may have responded.
                Either::Left((Err((_, error)), reading)) => (reading.await, Sent::Failed(error)),
                // The response arrived before the request was sent completely. The upstream would
                // read the next request on this connection as the rest of the body.
                Either::Right((result, _)) => (result, Sent::Part),
            }
        };
        connection.stream().holder().message_ended();
        let (result, sent) = outcome;
        let (answer, end) = result.map_err(|error| self.broken(error))?;
        match (sent, end) {
            // The failed write has taken the socket's error, so that a reset looks like the orderly
            // close that ends the response.
            (Sent::Failed(error), ResponseEnd::Close) => return Err(self.broken(error)),
            (Sent::Whole, ResponseEnd::Reusable(usable_for))
                if !connection.has_bytes() && self.incarnation_count.get() == incarnation =>
            {
                self.release(connection, usable_for);
            }
            _ => {}
        }
        Ok(answer)
    }

    /// Opens connections until there are as many idle ones as the pool keeps.
    pub async fn warm_up(&self) {
        while self.idle.borrow().len() < self.idle_target.get() {
            let Ok(stream) = self.connect().await else {
                return;
            };
            self.release(stream, IDLE_LIMIT);
        }
    }

    pub async fn can_connect(&self) -> bool {
        self.connect().await.is_ok()
    }

    pub fn incarnation_count(&self) -> u64 {
        self.incarnation_count.get()
    }

    /// Whether the upstream has terminated, that is, refuses connections. A connect that times out proves
    /// nothing, since a paused upstream does not respond either. A terminating process closes its
    /// sockets one after the other, the listening socket among them: if a connection is accepted and
    /// closed immediately, the check is repeated.
    pub async fn has_terminated(&self) -> bool {
        for _ in 0..MAX_CLOSE_CHECKS {
            let connecting = TcpStream::connect(self.address.get());
            match timeout(REFUSAL_TIMEOUT, connecting).await {
                Ok(Ok(mut stream)) => {
                    let mut byte = [0];
                    if timeout(CLOSE_TIMEOUT, stream.read(&mut byte))
                        .await
                        .is_err()
                    {
                        return false;
                    }
                }
                Ok(Err(error)) => match PortState::from_connect_error(error.kind()) {
                    PortState::Closed => return true,
                    PortState::Closing => {}
                    PortState::Unknown => return false,
                },
                Err(_) => return false,
            }
            task::sleep(CLOSE_CHECK_INTERVAL).await;
        }
        false
    }

    /// Reads the response to this request. Also returns what shows that it is complete.
    /// Responses with the ID of another request are left over from earlier requests and are skipped.
    /// One without an ID belongs to no request, and what follows it can't be told apart either.
    async fn read_response(
        &self,
        connection: &mut UpstreamConnection,
        req: &Request,
        options: &ExchangeOptions<'_>,
    ) -> std::result::Result<(Answer, ResponseEnd), Fault> {
        let max_body_bytes = self.max_body_bytes as u64;
        let mut skipped_bytes = 0;
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = connection.response_head(MAX_HEAD_BYTES).await?;
            let addressee = addressee(&head, options);
            if addressee == Addressee::Nobody {
                let cause = "received a response without the ID of a request";
                return Err(Fault::Malformed(cause.to_string()));
            }
            let framing = response_framing(&req.method, &head, self.close_delimited)?;
            let body = connection.body(framing, max_body_bytes).await?;
            if addressee == Addressee::OtherRequest {
                skipped_bytes += body.len() as u64;
                if skipped_bytes > max_body_bytes {
                    return Err(Fault::BodyTooLong(max_body_bytes));
                }
                tracing::info!(
                    status = head.status,
                    "skipped a response to an earlier request"
                );
                continue;
            }
            let end = response_end(&head, framing);
            return Ok((answer(head, framing, body), end));
        }
        Err(Fault::Malformed(
            "received only responses to other requests".to_string(),
        ))
    }

    /// Returns an idle connection that is open and has no unread bytes, or opens a new one.
    async fn acquire(&self, repeatable: bool) -> Result<UpstreamConnection> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(idle) = idle else {
                return self.connect().await;
            };
            let limit = if repeatable {
                idle.usable_for
            } else {
                idle.usable_for.min(UNREPEATABLE_IDLE_LIMIT)
            };
            let age_us = self.clock.now().since(idle.since);
            if Duration::from_micros(age_us) < limit && is_reusable(&idle.connection) {
                return Ok(idle.connection);
            }
        }
    }

    fn release(&self, connection: UpstreamConnection, usable_for: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.idle_target.get().max(1) {
            idle.push(Idle {
                since: self.clock.now(),
                usable_for,
                connection,
            });
        }
    }

    async fn connect(&self) -> Result<UpstreamConnection> {
        let address = self.address.get();
        let fail = |error: String| Error::new(Step::Connect, address, error);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| fail("connect timed out".to_string()))?
            .map_err(|error| fail(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| fail(error.to_string()))?;
        let holder = self.gate.register(Kind::Upstream, address);
        Ok(Connection::new(GatedStream::new(stream, holder)))
    }

    fn broken(&self, error: impl std::fmt::Display) -> Failure {
        Failure::Broken(Error::new(Step::Upstream, self.address.get(), error))
    }
}

/// Writes all parts. An error comes with the number of bytes that were written before it.
async fn write_parts(
    mut stream: TcpStream,
    parts: [&[u8]; 2],
) -> std::result::Result<(), (usize, std::io::Error)> {
    let mut written = 0;
    for mut rest in parts {
        while !rest.is_empty() {
            match stream.write(rest).await {
                Ok(count) => {
                    written += count;
                    rest = &rest[count..];
                }
                Err(error) => return Err((written, error)),
            }
        }
    }
    Ok(())
}

/// The request as bytes, and its body if that is too large to be copied behind the head.
fn request_parts<'r>(req: &'r Request, options: &ExchangeOptions<'_>) -> (Vec<u8>, &'r [u8]) {
    let is_set = |name: &str| {
        let mut set = options.headers.iter();
        set.any(|(other, _)| name.eq_ignore_ascii_case(other))
    };
    let forwarded = req
        .headers
        .iter()
        .filter(|(name, _)| !is_set(name))
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let set = options
        .headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()));
    let declare_empty = matches!(req.method.as_str(), "POST" | "PUT" | "PATCH");
    http1::request_parts(
        &req.method,
        &req.target,
        forwarded.chain(set),
        &req.body,
        declare_empty,
    )
}

/// The request to which a response belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Addressee {
    ThisRequest,
    OtherRequest,
    Nobody,
}

/// The request whose ID a response carries. Where responses carry no IDs, the next one is for this
/// request.
fn addressee(head: &ResponseHead, options: &ExchangeOptions<'_>) -> Addressee {
    let Some((name, id)) = options.request_id else {
        return Addressee::ThisRequest;
    };
    match http1::header_value(&head.headers, name) {
        Some(received) if received == id => Addressee::ThisRequest,
        Some(_) => Addressee::OtherRequest,
        None => Addressee::Nobody,
    }
}

fn answer(head: ResponseHead, framing: Framing, body: Vec<u8>) -> Answer {
    let headers = head
        .headers
        .into_iter()
        .filter(|(name, _)| !http1::is_hop_header(name))
        .collect();
    let head_length = match framing {
        Framing::Empty(length) => length,
        _ => None,
    };
    Answer {
        status: head.status,
        reason: head.reason,
        headers,
        body,
        head_length,
    }
}

fn response_end(head: &ResponseHead, framing: Framing) -> ResponseEnd {
    if framing == Framing::UntilClose {
        return ResponseEnd::Close;
    }
    let connection = http1::header_value(&head.headers, "connection").unwrap_or_default();
    let closes = connection
        .split(',')
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return ResponseEnd::Closing;
    }
    let keep_alive = http1::header_value(&head.headers, "keep-alive").and_then(keep_alive_seconds);
    ResponseEnd::Reusable(keep_alive.map_or(IDLE_LIMIT, |seconds| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION)
    }))
}

/// Reads the timeout of a `Keep-Alive` header: `timeout=10` or just `10`.
fn keep_alive_seconds(text: &str) -> Option<u64> {
    text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    })
}

/// Whether an idle connection is still open and has no unread bytes.
fn is_reusable(connection: &UpstreamConnection) -> bool {
    use std::os::fd::{AsRawFd, BorrowedFd};
    if connection.has_bytes() {
        return false;
    }
    let stream = connection.stream().get_ref();
    // SAFETY: the descriptor stays open as long as `stream`, which outlives the borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let Ok(copy) = fd.try_clone_to_owned() else {
        return false;
    };
    let socket = std::net::TcpStream::from(copy);
    let mut byte = [0];
    matches!(socket.peek(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
