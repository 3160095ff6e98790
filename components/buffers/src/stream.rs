//! Streams that read only while there is memory.

use crate::gate::{Fate, Holder};
use async_std::io::{Read, Write};
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// A stream whose bytes count against the limit on memory until its message has ended.
///
/// A read waits while memory is short. It fails with [`io::ErrorKind::OutOfMemory`] if the message
/// can't be taken, and with [`io::ErrorKind::ConnectionAborted`] if the connection is being closed.
#[derive(Debug, Clone)]
pub struct GatedStream<S> {
    stream: S,
    holder: Holder,
}

impl<S> GatedStream<S> {
    /// Reads from `stream` on behalf of `holder`.
    pub fn new(stream: S, holder: Holder) -> GatedStream<S> {
        GatedStream { stream, holder }
    }

    /// The stream itself.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// What this connection holds.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }
}

impl<S: Read + Unpin> Read for GatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match ready!(self.holder.poll_ready(cx)) {
            Fate::Open => {}
            Fate::Refused => {
                let error = io::Error::new(io::ErrorKind::OutOfMemory, "memory is short");
                return Poll::Ready(Err(error));
            }
            Fate::Evicted => {
                let cause = "closed because memory is short";
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, cause);
                return Poll::Ready(Err(error));
            }
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &polled {
            Poll::Ready(Ok(read)) => self.holder.add_received(*read),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.holder.wake_when_evicted(cx),
        }
        polled
    }
}

impl<S: Write + Unpin> Write for GatedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
