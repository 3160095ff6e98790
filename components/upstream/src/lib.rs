//! Exchanges with the upstream beside this node, over connections kept open.

use async_std::future::timeout;
use async_std::io::{ErrorKind, ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use clock::Clock;
use errors::{Error, Result, Step};
use futures_util::future::{select, Either};
use http1::{response_framing, CloseDelimited, Connection, Fault, Framing, ResponseHead};
use names::Moment;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use wire::{Answer, Request};

/// Longest wait for a new connection to the upstream, which is on this VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the word that nothing stands at the upstream's address, which its VM gives at once.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// A process that ends has closed a connection that was taken meanwhile within this time. A request whose exchange
/// broke for another reason is repeated so much later.
const CLOSING: Duration = Duration::from_millis(20);
/// Looks at an upstream that closes what it takes, and the pause between them.
const CLOSING_LOOKS: u32 = 5;
const CLOSING_PAUSE: Duration = Duration::from_millis(4);
/// Idle connections older than this are closed rather than used, unless the upstream names a time.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Part of the time named by `Keep-Alive` for which a connection is used: the upstream's clock for
/// it starts a little earlier than ours.
const KEEP_ALIVE_PART: f64 = 0.7;
/// A request that may run only once is not sent over a connection idle for longer: the upstream may
/// have dropped it without a word, and what became of the request could not be known.
const UNREPEATABLE_IDLE: Duration = Duration::from_millis(1_500);
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32_000;
/// Answers to earlier requests that are skipped on one connection before it is given up.
const MAX_SURPLUS: usize = 4;

/// How an exchange failed.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request reached the upstream.
    NotSent(Error),
    /// The upstream may have run the request; there is no whole answer.
    Broken(Error),
}

/// What an exchange needs beside the request.
#[derive(Debug, Default)]
pub struct ExchangeOptions<'a> {
    /// Headers set by this node, in place of the caller's.
    pub headers: Vec<(&'a str, String)>,
    /// Header by which an answer repeats the request's identity, and the identity.
    pub request_id: Option<(&'a str, &'a str)>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// What a connection that failed to open says of the port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortState {
    /// Nobody listens there.
    Closed,
    /// Whoever listened is closing it: a connection that waits to be taken then is reset.
    Closing,
    /// Nothing.
    Unknown,
}

impl PortState {
    /// Reads the error with which a connection failed to open.
    pub fn from_connect_error(kind: ErrorKind) -> PortState {
        match kind {
            ErrorKind::ConnectionRefused => PortState::Closed,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => PortState::Closing,
            _ => PortState::Unknown,
        }
    }
}

#[derive(Debug)]
struct Idle {
    since: Moment,
    usable_for: Duration,
    connection: Connection<TcpStream>,
}

/// Connections to one upstream.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    address: Cell<SocketAddr>,
    max_body_bytes: usize,
    warm: Cell<usize>,
    close_delimited: CloseDelimited,
    idle: RefCell<Vec<Idle>>,
    /// Starts of the upstream so far: what is open to an earlier one is never used for a later one.
    incarnation_count: Cell<u64>,
}

impl Pool {
    /// A pool with no connection yet, which keeps up to `warm` idle ones.
    pub fn new(
        address: SocketAddr,
        warm: usize,
        max_body_bytes: usize,
        allow_close_delimited: bool,
    ) -> Pool {
        let close_delimited = if allow_close_delimited {
            CloseDelimited::Accept
        } else {
            CloseDelimited::Reject
        };
        Pool {
            clock: Clock::start(),
            address: Cell::new(address),
            max_body_bytes,
            warm: Cell::new(warm),
            close_delimited,
            idle: RefCell::new(Vec::new()),
            incarnation_count: Cell::new(0),
        }
    }

    /// Takes in that another run of the upstream stands beside this node.
    pub fn upstream_replaced(&self, address: SocketAddr, warm: usize) {
        self.address.set(address);
        self.warm.set(warm);
        self.idle.borrow_mut().clear();
        self.incarnation_count.set(self.incarnation_count.get() + 1);
    }

    /// Sends a request and reads its whole answer.
    pub async fn exchange(
        &self,
        req: &Request,
        options: &ExchangeOptions<'_>,
    ) -> std::result::Result<Answer, Failure> {
        let bytes = request_bytes(req, options);
        let incarnation = self.incarnation_count.get();
        let mut connection = self
            .take(options.repeatable)
            .await
            .map_err(Failure::NotSent)?;
        let writer = connection.stream().clone();
        let answered = {
            let writing = pin!(write_all(writer, &bytes));
            let reading = pin!(self.read_answer(&mut connection, req, options));
            match select(writing, reading).await {
                Either::Left((Ok(()), reading)) => (reading.await, true),
                Either::Left((Err((0, error)), _)) => {
                    let error = Error::new(Step::Upstream, self.address.get(), error);
                    return Err(Failure::NotSent(error));
                }
                // What was sent may have run; an answer may be there all the same.
                Either::Left((Err(_), reading)) => (reading.await, false),
                // An answer before the whole request was sent: what follows on the connection would
                // be taken for the rest of the body.
                Either::Right((answered, _)) => (answered, false),
            }
        };
        let (answered, whole) = answered;
        let (answer, reusable) = answered.map_err(|error| self.broken(error))?;
        if whole && !connection.has_bytes() && self.incarnation_count.get() == incarnation {
            if let Some(usable_for) = reusable {
                self.put_back(connection, usable_for);
            }
        }
        Ok(answer)
    }

    /// Opens connections until as many are idle as should be kept.
    pub async fn warm_up(&self) {
        while self.idle.borrow().len() < self.warm.get() {
            let Ok(stream) = self.connect().await else {
                return;
            };
            self.put_back(Connection::new(stream), IDLE_LIMIT);
        }
    }

    /// Whether a connection can be opened.
    pub async fn can_connect(&self) -> bool {
        self.connect().await.is_ok()
    }

    /// Starts of the upstream so far.
    pub fn incarnation_count(&self) -> u64 {
        self.incarnation_count.get()
    }

    /// Whether the upstream has ended: a connection to it is refused. One that is not answered says nothing, since a
    /// paused upstream does not answer either. A process that ends closes its connections one after the other, and
    /// its port among them: a connection that is taken and closed at once is looked into again.
    pub async fn has_terminated(&self) -> bool {
        for _ in 0..CLOSING_LOOKS {
            let connecting = TcpStream::connect(self.address.get());
            match timeout(REFUSAL_TIMEOUT, connecting).await {
                Ok(Ok(mut stream)) => {
                    let mut byte = [0];
                    if timeout(CLOSING, stream.read(&mut byte)).await.is_err() {
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
            task::sleep(CLOSING_PAUSE).await;
        }
        false
    }

    /// The answer to this request, and for how long the connection may be used again. Answers that
    /// name another request are surplus ones of earlier requests and belong to nobody.
    async fn read_answer(
        &self,
        connection: &mut Connection<TcpStream>,
        req: &Request,
        options: &ExchangeOptions<'_>,
    ) -> std::result::Result<(Answer, Option<Duration>), Fault> {
        for _ in 0..=MAX_SURPLUS {
            let head = connection.response_head(MAX_HEAD_BYTES).await?;
            let framing = response_framing(&req.method, &head, self.close_delimited)?;
            let body = connection.body(framing, self.max_body_bytes as u64).await?;
            if is_foreign(&head, options) {
                tracing::info!(status = head.status, "skipped a surplus answer");
                continue;
            }
            let reusable = usable_for(&head, framing);
            return Ok((answer(head, framing, body), reusable));
        }
        Err(Fault::Malformed(
            "only answers to other requests".to_string(),
        ))
    }

    /// An idle connection that is open and clean, or a new one.
    async fn take(&self, repeatable: bool) -> Result<Connection<TcpStream>> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(idle) = idle else {
                return Ok(Connection::new(self.connect().await?));
            };
            let most = if repeatable {
                idle.usable_for
            } else {
                idle.usable_for.min(UNREPEATABLE_IDLE)
            };
            let age_us = self.clock.now().since(idle.since);
            if Duration::from_micros(age_us) < most && is_quiet(&idle.connection) {
                return Ok(idle.connection);
            }
        }
    }

    fn put_back(&self, connection: Connection<TcpStream>, usable_for: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.warm.get().max(1) {
            idle.push(Idle {
                since: self.clock.now(),
                usable_for,
                connection,
            });
        }
    }

    async fn connect(&self) -> Result<TcpStream> {
        let address = self.address.get();
        let fail = |error: String| Error::new(Step::Connect, address, error);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| fail("no connection in time".to_string()))?
            .map_err(|error| fail(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| fail(error.to_string()))?;
        Ok(stream)
    }

    fn broken(&self, error: impl std::fmt::Display) -> Failure {
        Failure::Broken(Error::new(Step::Upstream, self.address.get(), error))
    }
}

/// Writes all of `bytes`; an error comes with the number of bytes that were taken before it.
async fn write_all(
    mut stream: TcpStream,
    bytes: &[u8],
) -> std::result::Result<(), (usize, std::io::Error)> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]).await {
            Ok(count) => written += count,
            Err(error) => return Err((written, error)),
        }
    }
    Ok(())
}

fn request_bytes(req: &Request, options: &ExchangeOptions<'_>) -> Vec<u8> {
    let is_set = |name: &str| {
        let mut set = options.headers.iter();
        set.any(|(other, _)| name.eq_ignore_ascii_case(other))
    };
    let passed = req
        .headers
        .iter()
        .filter(|(name, _)| !is_set(name))
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let set = options
        .headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()));
    let empty = matches!(req.method.as_str(), "POST" | "PUT" | "PATCH");
    http1::request_bytes(
        &req.method,
        &req.target,
        passed.chain(set),
        &req.body,
        empty,
    )
}

/// Whether an answer names another request. One that names none can't be told apart.
fn is_foreign(head: &ResponseHead, options: &ExchangeOptions<'_>) -> bool {
    let Some((name, id)) = options.request_id else {
        return false;
    };
    http1::header_value(&head.headers, name).is_some_and(|given| given != id)
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

/// For how long the connection may carry another request; none when it may not.
fn usable_for(head: &ResponseHead, framing: Framing) -> Option<Duration> {
    let connection = http1::header_value(&head.headers, "connection").unwrap_or_default();
    let closes = connection
        .split(',')
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes || framing == Framing::UntilClose {
        return None;
    }
    let named = http1::header_value(&head.headers, "keep-alive").and_then(keep_alive_seconds);
    Some(named.map_or(IDLE_LIMIT, |seconds| {
        Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_PART)
    }))
}

/// The time in `Keep-Alive`: `timeout=10` or just `10`.
fn keep_alive_seconds(text: &str) -> Option<u64> {
    text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    })
}

/// Whether an idle connection is open and has nothing to read.
fn is_quiet(connection: &Connection<TcpStream>) -> bool {
    use std::os::fd::{AsRawFd, BorrowedFd};
    if connection.has_bytes() {
        return false;
    }
    let stream = connection.stream();
    // SAFETY: the descriptor stays open as long as `stream`, which outlives the borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let Ok(copy) = fd.try_clone_to_owned() else {
        return false;
    };
    let socket = std::net::TcpStream::from(copy);
    let mut byte = [0];
    matches!(socket.peek(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
