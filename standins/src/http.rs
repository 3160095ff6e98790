//! One HTTP exchange over a connection that may be kept alive.

use async_std::net::TcpStream;
use http_types::{Method, Request, Url};
use std::net::SocketAddr;
use std::str::FromStr;

/// A request sent by a test double.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Value of `Host`.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body, may be empty.
    pub body: Vec<u8>,
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Opens a connection with `TCP_NODELAY`.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    Ok(stream)
}

/// Sends `call` over `stream` and reads the complete answer.
pub async fn exchange(stream: TcpStream, call: &Call) -> Result<Reply, String> {
    let url = Url::parse(&format!("http://{}{}", call.host, call.path))
        .map_err(|error| error.to_string())?;
    let method = Method::from_str(call.method).map_err(|error| error.to_string())?;
    let mut req = Request::new(method, url);
    for (name, value) in &call.headers {
        req.insert_header(name.as_str(), value.as_str());
    }
    req.set_body(call.body.clone());
    let mut res = async_h1::client::connect(stream, req)
        .await
        .map_err(|error| error.to_string())?;
    let declared = res.len();
    let body = res.body_bytes().await.map_err(|error| error.to_string())?;
    if declared.is_some_and(|length| length != body.len()) {
        return Err("the answer was cut off".to_string());
    }
    let headers = res
        .iter()
        .map(|(name, values)| {
            (
                name.as_str().to_string(),
                values.last().as_str().to_string(),
            )
        })
        .collect();
    Ok(Reply {
        status: res.status().into(),
        headers,
        body,
    })
}
