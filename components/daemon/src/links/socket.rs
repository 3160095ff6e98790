//! WebSockets over async-std's TCP streams.

use async_channel::{Receiver, Sender};
use async_std::net::TcpStream;
use buffers::{GatedStream, Holder};
use errors::{Error, Result, Step};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Bytes, Message};
use tokio_tungstenite::WebSocketStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Size of a connection's read buffer. A node has one connection for each other node, so large
/// buffers would make up most of its memory.
const SOCKET_BUFFER_BYTES: usize = 8 * 1024;

/// Maximum size of one WebSocket frame, in bytes. A larger message is sent in fragments: a connection
/// keeps buffers of the size of its largest frame.
const MAX_FRAGMENT_BYTES: usize = 64 * 1024;

/// A WebSocket to another node.
pub type Socket = WebSocketStream<Compat<GatedStream<TcpStream>>>;

/// Opens a WebSocket over a connected stream.
pub async fn open(
    stream: TcpStream,
    peer: &str,
    max_bytes: usize,
    holder: Holder,
) -> Result<Socket> {
    set_socket_options(&stream, peer)?;
    let url = format!("ws://{peer}/");
    let stream = GatedStream::new(stream, holder);
    tokio_tungstenite::client_async_with_config(url, stream.compat(), Some(config(max_bytes)))
        .await
        .map(|(socket, _)| socket)
        .map_err(|error| Error::new(Step::Connect, peer, error))
}

/// Accepts a WebSocket on a stream that a peer has opened.
pub async fn accept(
    stream: TcpStream,
    peer: &str,
    max_bytes: usize,
    holder: Holder,
) -> Result<Socket> {
    set_socket_options(&stream, peer)?;
    let stream = GatedStream::new(stream, holder);
    tokio_tungstenite::accept_async_with_config(stream.compat(), Some(config(max_bytes)))
        .await
        .map_err(|error| Error::new(Step::Connect, peer, error))
}

/// Reads messages, which count against the limit on memory until they are complete.
pub struct MessageReader {
    stream: SplitStream<Socket>,
    holder: Holder,
}

impl MessageReader {
    /// Waits for the next binary message.
    pub async fn receive(&mut self, peer: &str) -> Result<Bytes> {
        let received = receive(&mut self.stream, peer).await;
        self.holder.message_ended();
        received
    }
}

/// Waits for the next binary message.
pub async fn receive(
    stream: &mut (impl futures_util::Stream<Item = tokio_tungstenite::tungstenite::Result<Message>>
              + Unpin),
    peer: &str,
) -> Result<Bytes> {
    loop {
        match stream.next().await {
            Some(Ok(Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(Message::Close(_))) | None => {
                return Err(Error::new(
                    Step::Frame,
                    peer,
                    "the peer closed the connection",
                ))
            }
            Some(Ok(Message::Text(_))) => {
                return Err(Error::new(Step::Frame, peer, "received a text message"))
            }
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(Error::new(Step::Frame, peer, error)),
        }
    }
}

/// Sends one message and flushes.
pub async fn send_now(socket: &mut Socket, peer: &str, bytes: Vec<u8>) -> Result<()> {
    socket
        .send(Message::Binary(bytes.into()))
        .await
        .map_err(|error| Error::new(Step::Frame, peer, error))
}

/// Splits a socket. A task writes the messages queued by the returned sender and flushes when the
/// queue is empty. The channel is unbounded; its users limit the queue's length.
pub fn split(socket: Socket, holder: Holder) -> (Sender<Vec<u8>>, MessageReader) {
    let (sink, stream) = socket.split();
    let (tx, rx) = async_channel::unbounded();
    crate::local::spawn(write(sink, rx));
    (tx, MessageReader { stream, holder })
}

async fn write(mut sink: SplitSink<Socket, Message>, rx: Receiver<Vec<u8>>) {
    while let Ok(bytes) = rx.recv().await {
        if feed(&mut sink, bytes.into()).await.is_err() {
            break;
        }
        if rx.is_empty() && sink.flush().await.is_err() {
            break;
        }
    }
    rx.close();
    sink.close().await.ok();
}

/// Queues one message for sending, in fragments if it is large.
async fn feed(
    sink: &mut SplitSink<Socket, Message>,
    bytes: Bytes,
) -> tokio_tungstenite::tungstenite::Result<()> {
    if bytes.len() <= MAX_FRAGMENT_BYTES {
        return sink.feed(Message::Binary(bytes)).await;
    }
    let mut start = 0;
    while start < bytes.len() {
        let end = bytes.len().min(start + MAX_FRAGMENT_BYTES);
        let kind = match start {
            0 => Data::Binary,
            _ => Data::Continue,
        };
        let fragment = bytes.slice(start..end);
        let frame = Frame::message(fragment, OpCode::Data(kind), end == bytes.len());
        sink.send(Message::Frame(frame)).await?;
        start = end;
    }
    Ok(())
}

fn config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(SOCKET_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
}

/// Sets `TCP_NODELAY`, and options that detect a VM that no longer responds.
fn set_socket_options(stream: &TcpStream, peer: &str) -> Result<()> {
    http1::enable_dead_peer_detection(stream)
        .map_err(|error| Error::new(Step::Connect, peer, error))
}
