//! Exchanges with the upstream beside this node, over connections kept open.

use crate::guard::Guard;
use async_std::future::timeout;
use async_std::net::TcpStream;
use errors::{Error, Result, Step};
use http_types::{Body, Method, Response, Url};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};
use wire::{Answer, Request};

/// Longest wait for a new connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections older than this are closed rather than used.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Connection-level headers, which end at this node.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "date",
];

/// Whether a header belongs to one connection and is not passed on.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// How an exchange failed.
#[derive(Debug)]
pub enum Failure {
    /// No byte of the request reached the upstream.
    NotSent(Error),
    /// The upstream may have run the request; there is no whole answer.
    Broken(Error),
}

/// Connections to one upstream.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    max_body_bytes: usize,
    warm: usize,
    idle: RefCell<Vec<(Instant, Guard)>>,
}

impl Pool {
    /// A pool with no connection yet, which keeps up to `warm` idle ones.
    pub fn new(address: SocketAddr, warm: usize, max_body_bytes: usize) -> Pool {
        Pool {
            address,
            max_body_bytes,
            warm,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Sends a request and reads its whole answer. `extra` are headers set by this node.
    pub async fn exchange(
        &self,
        req: &Request,
        extra: &[(&str, String)],
    ) -> std::result::Result<Answer, Failure> {
        let message = self.build(req, extra).map_err(Failure::NotSent)?;
        let guard = self.take().await.map_err(Failure::NotSent)?;
        guard.expect_head();
        let res = async_h1::client::connect(guard.clone(), message)
            .await
            .map_err(|error| self.broken(error))?;
        let answer = self.read_answer(&guard, req, res).await?;
        if guard.is_clean() {
            self.put_back(guard);
        }
        Ok(answer)
    }

    /// Opens connections until as many are idle as should be kept.
    pub async fn warm_up(&self) {
        while self.idle.borrow().len() < self.warm {
            let Ok(stream) = self.connect().await else {
                return;
            };
            self.put_back(Guard::new(stream));
        }
    }

    /// Whether a connection can be opened.
    pub async fn can_connect(&self) -> bool {
        self.connect().await.is_ok()
    }

    fn build(&self, req: &Request, extra: &[(&str, String)]) -> Result<http_types::Request> {
        let fail = |error: String| Error::new(Step::Upstream, self.address, error);
        let url = Url::parse(&format!("http://upstream{}", req.target))
            .map_err(|error| fail(error.to_string()))?;
        let method = Method::from_str(&req.method).map_err(|error| fail(error.to_string()))?;
        let mut message = http_types::Request::new(method, url);
        for (name, value) in &req.headers {
            message.append_header(name.as_str(), value.as_str());
        }
        for (name, value) in extra {
            message.insert_header(*name, value.as_str());
        }
        message.set_body(Body::from_bytes(req.body.clone()));
        if !req.headers.iter().any(|(name, _)| name == "content-type") {
            message.remove_header("content-type");
        }
        Ok(message)
    }

    async fn read_answer(
        &self,
        guard: &Guard,
        req: &Request,
        mut res: Response,
    ) -> std::result::Result<Answer, Failure> {
        let framing = framing(&req.method, &res).map_err(|error| self.broken(error))?;
        let body = match framing {
            Framing::Empty(_) => Vec::new(),
            Framing::Length(length) if length > self.max_body_bytes as u64 => {
                return Err(self.broken("the answer is longer than the body limit"))
            }
            Framing::Length(length) => {
                guard.expect_body(length);
                let body = self.read_limited(&mut res).await?;
                if body.len() as u64 != length {
                    return Err(self.broken("the answer was cut off"));
                }
                body
            }
            Framing::Chunked => {
                guard.expect_chunks();
                self.read_limited(&mut res).await?
            }
        };
        let head_length = match framing {
            Framing::Empty(length) => length,
            _ => None,
        };
        Ok(Answer {
            status: res.status().into(),
            headers: end_to_end_headers(&res),
            body,
            head_length,
        })
    }

    async fn read_limited(&self, res: &mut Response) -> std::result::Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        let most = self.max_body_bytes as u64 + 1;
        let mut reader = async_std::io::ReadExt::take(res.take_body(), most);
        async_std::io::ReadExt::read_to_end(&mut reader, &mut body)
            .await
            .map_err(|error| self.broken(error))?;
        if body.len() > self.max_body_bytes {
            return Err(self.broken("the answer is longer than the body limit"));
        }
        Ok(body)
    }

    async fn take(&self) -> Result<Guard> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some((since, guard)) = idle else {
                return Ok(Guard::new(self.connect().await?));
            };
            if since.elapsed() < IDLE_LIMIT && is_quiet(&guard) {
                return Ok(guard);
            }
        }
    }

    fn put_back(&self, guard: Guard) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.warm.max(1) {
            idle.push((Instant::now(), guard));
        }
    }

    async fn connect(&self) -> Result<TcpStream> {
        let fail = |error: String| Error::new(Step::Connect, self.address, error);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| fail("no connection in time".to_string()))?
            .map_err(|error| fail(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| fail(error.to_string()))?;
        Ok(stream)
    }

    fn broken(&self, error: impl std::fmt::Display) -> Failure {
        Failure::Broken(Error::new(Step::Upstream, self.address, error))
    }
}

/// Whether an idle connection is open and has nothing to read.
fn is_quiet(guard: &Guard) -> bool {
    use std::os::fd::{AsRawFd, BorrowedFd};
    if guard.has_bytes() {
        return false;
    }
    let stream = guard.stream();
    // SAFETY: the descriptor stays open as long as `stream`, which outlives the borrow.
    let fd = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let Ok(copy) = fd.try_clone_to_owned() else {
        return false;
    };
    let socket = std::net::TcpStream::from(copy);
    let mut byte = [0];
    matches!(socket.peek(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// How the end of an answer is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// No body; with the length that a `HEAD` answer declares.
    Empty(Option<u64>),
    /// A body of so many bytes.
    Length(u64),
    /// A chunked body.
    Chunked,
}

/// An answer that ends only when the connection does can't be told from one that was cut off, so
/// it is a failure here.
fn framing(method: &str, res: &Response) -> std::result::Result<Framing, &'static str> {
    let status: u16 = res.status().into();
    if status < 200 {
        return Err("an interim answer in place of the answer");
    }
    let length = match res.header("content-length") {
        Some(values) if values.iter().any(|value| value != values.last()) => {
            return Err("two different lengths");
        }
        Some(values) => Some(
            values
                .last()
                .as_str()
                .parse()
                .map_err(|_| "the length is not a number")?,
        ),
        None => None,
    };
    if method == "HEAD" || status == 204 || status == 304 {
        return Ok(Framing::Empty(length));
    }
    if let Some(encoding) = res.header("transfer-encoding") {
        let chunked = encoding.iter().count() == 1 && encoding.last().as_str() == "chunked";
        return if chunked {
            Ok(Framing::Chunked)
        } else {
            Err("a transfer encoding other than chunked")
        };
    }
    length
        .map(Framing::Length)
        .ok_or("neither a length nor chunks")
}

fn end_to_end_headers(res: &Response) -> Vec<(String, String)> {
    res.iter()
        .filter(|(name, _)| !is_hop_header(name.as_str()))
        .flat_map(|(name, values)| {
            values
                .iter()
                .map(|value| (name.as_str().to_string(), value.as_str().to_string()))
        })
        .collect()
}
