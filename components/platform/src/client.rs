//! Client of the object API.

use async_std::future::timeout;
use async_std::net::TcpStream;
use errors::{Error, Result, Step};
use http1::LimitedStream;
use http_types::{Method, Request, Response, StatusCode, Url};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Timeout of a call that is not a watch, and of reading a value.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond a watch's own wait after which the call times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
/// Header that carries an object's version.
const VERSION_HEADER: &str = "object-version";

/// A value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Increases with each write of the key.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// Its condition did not hold.
    Conflict,
}

/// A client that uses the platform's addresses in turn.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    next_address: AtomicUsize,
    calls: AtomicU64,
    failures: AtomicU64,
}

impl Client {
    /// A client of the platform at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Client {
        Client {
            addresses,
            next_address: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        }
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of calls without a usable answer.
    pub fn failures(&self) -> u64 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn read(&self, key: &str) -> Result<Option<Object>> {
        self.get(&format!("/v1/objects/{key}"), CALL_TIMEOUT).await
    }

    /// Waits up to `wait` for a version of the object later than `after`; `None` if there is none.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Object>> {
        let path = format!(
            "/v1/objects/{key}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        self.get(&path, wait + WATCH_TIMEOUT_MARGIN).await
    }

    /// Waits up to `wait` for a list of VMs later than version `after`; `None` if there is none.
    pub async fn watch_vms(&self, after: u64, wait: Duration) -> Result<Option<Object>> {
        let path = format!("/v1/vms?after={after}&wait_ms={}", wait.as_millis());
        self.get(&path, wait + WATCH_TIMEOUT_MARGIN).await
    }

    /// Writes an object if it has version `version`, or with `None` if it does not exist.
    pub async fn write(
        &self,
        key: &str,
        version: Option<u64>,
        value: Vec<u8>,
    ) -> Result<WriteOutcome> {
        let path = format!("/v1/objects/{key}");
        if value.len() > MAX_VALUE_BYTES {
            let cause = format!("{} bytes; the maximum is {MAX_VALUE_BYTES}", value.len());
            return Err(Error::new(Step::Platform, key, cause));
        }
        let mut req = self.request(Method::Put, &path)?;
        match version {
            Some(version) => req.insert_header("if-match", version.to_string()),
            None => req.insert_header("if-none-match", "*"),
        };
        req.set_body(value);
        let res = self.call(req, CALL_TIMEOUT).await?;
        match res.status() {
            StatusCode::Ok | StatusCode::Created => Ok(WriteOutcome::Written),
            StatusCode::PreconditionFailed => Ok(WriteOutcome::Conflict),
            status => Err(self.unexpected_status(&path, status)),
        }
    }

    async fn get(&self, path: &str, call_timeout: Duration) -> Result<Option<Object>> {
        let req = self.request(Method::Get, path)?;
        let mut res = self.call(req, call_timeout).await?;
        match res.status() {
            StatusCode::Ok => {}
            StatusCode::NotFound | StatusCode::NotModified => return Ok(None),
            status => return Err(self.unexpected_status(path, status)),
        }
        let version = res
            .header(VERSION_HEADER)
            .and_then(|values| values.last().as_str().parse().ok())
            .ok_or_else(|| {
                Error::new(
                    Step::Platform,
                    path,
                    "the header Object-Version is missing or invalid",
                )
            })?;
        let declared = res.len();
        let value = timeout(CALL_TIMEOUT, res.body_bytes())
            .await
            .map_err(|_| {
                Error::new(
                    Step::Platform,
                    path,
                    "the value was not received within the timeout",
                )
            })?
            .map_err(|error| Error::new(Step::Platform, path, error))?;
        if declared != Some(value.len()) {
            return Err(Error::new(Step::Platform, path, "the value is incomplete"));
        }
        Ok(Some(Object { version, value }))
    }

    fn request(&self, method: Method, path: &str) -> Result<Request> {
        let url = Url::parse(&format!("http://platform{path}"))
            .map_err(|error| Error::new(Step::Platform, path, error))?;
        Ok(Request::new(method, url))
    }

    async fn call(&self, req: Request, call_timeout: Duration) -> Result<Response> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let result = self.call_once(req, call_timeout).await;
        if result.is_err() {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn call_once(&self, mut req: Request, call_timeout: Duration) -> Result<Response> {
        if self.addresses.is_empty() {
            return Err(Error::new(
                Step::Platform,
                "-",
                "no platform address is configured",
            ));
        }
        let index = self.next_address.fetch_add(1, Ordering::Relaxed);
        let address = self.addresses[index % self.addresses.len()];
        req.insert_header("connection", "close");
        let exchange = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| Error::new(Step::Connect, address, error))?;
            async_h1::client::connect(LimitedStream::new(stream, MAX_RESPONSE_BYTES), req)
                .await
                .map_err(|error| Error::new(Step::Platform, address, error))
        };
        timeout(call_timeout, exchange)
            .await
            .map_err(|_| Error::new(Step::Platform, address, "no answer within the timeout"))?
    }

    fn unexpected_status(&self, path: &str, status: StatusCode) -> Error {
        self.failures.fetch_add(1, Ordering::Relaxed);
        Error::new(Step::Platform, path, format!("status {status}"))
    }
}
