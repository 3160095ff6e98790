//! How long the parts of an answer may be waited for.

use async_io::Timer;
use async_std::io::Read;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// Limits on silence, not on the whole: an answer that keeps coming is read to its end, however slow the
/// link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// From the first byte sent to the first byte of the answer, at most.
    pub first: Duration,
    /// Between two pieces of the answer, at most.
    pub between: Duration,
}

impl Patience {
    /// The same limit for the first piece and between pieces.
    pub fn even(limit: Duration) -> Patience {
        Patience {
            first: limit,
            between: limit,
        }
    }
}

/// A stream whose reads fail once nothing has come for too long.
pub(crate) struct Patient<S, F> {
    stream: S,
    /// Called when the first piece comes.
    begins: Option<F>,
    timer: Timer,
    between: Duration,
    /// Whether something came since the timer was set.
    heard: bool,
}

impl<S, F> Patient<S, F> {
    pub(crate) fn new(stream: S, patience: Patience, begins: F) -> Patient<S, F> {
        Patient {
            stream,
            begins: Some(begins),
            timer: Timer::after(patience.first),
            between: patience.between,
            heard: false,
        }
    }
}

impl<S: Read + Unpin, F: FnOnce() + Unpin> Read for Patient<S, F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, buf) {
            this.heard = true;
            if let Some(begins) = this.begins.take() {
                begins();
            }
            return Poll::Ready(read);
        }
        if std::mem::take(&mut this.heard) {
            this.timer.set_after(this.between);
        }
        ready!(Pin::new(&mut this.timer).poll(cx));
        let cause = "nothing came for too long";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, cause)))
    }
}
