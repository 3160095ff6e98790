//! Timeouts for the parts of a response.

use async_io::Timer;
use async_std::io::Read;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// Limits on each wait for data, not on the total time: a response that keeps arriving is read to its
/// end, however slow the link is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Maximum time to connect and send the request, and then again to the first byte of the response.
    pub first_byte: Duration,
    /// Maximum time without data once the response has begun.
    pub idle: Duration,
}

impl ResponseTimeouts {
    /// The same limit for both.
    pub fn uniform(limit: Duration) -> ResponseTimeouts {
        ResponseTimeouts {
            first_byte: limit,
            idle: limit,
        }
    }
}

/// A stream whose reads fail when no data arrives within the timeouts.
pub(crate) struct TimedStream<S, F> {
    stream: S,
    /// Called when the first read completes.
    on_first_byte: Option<F>,
    timer: Timer,
    idle: Duration,
    /// Whether a read has completed since the timer was set.
    has_read: bool,
}

impl<S, F> TimedStream<S, F> {
    pub(crate) fn new(
        stream: S,
        timeouts: ResponseTimeouts,
        on_first_byte: F,
    ) -> TimedStream<S, F> {
        TimedStream {
            stream,
            on_first_byte: Some(on_first_byte),
            timer: Timer::after(timeouts.first_byte),
            idle: timeouts.idle,
            has_read: false,
        }
    }
}

impl<S: Read + Unpin, F: FnOnce() + Unpin> Read for TimedStream<S, F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buf) {
            this.has_read = true;
            if let Some(on_first_byte) = this.on_first_byte.take() {
                on_first_byte();
            }
            return Poll::Ready(read);
        }
        if std::mem::take(&mut this.has_read) {
            this.timer.set_after(this.idle);
        }
        ready!(Pin::new(&mut this.timer).poll(cx));
        let cause = "no data received within the timeout";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)))
    }
}
