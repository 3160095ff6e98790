//! Streams for readers that bound neither what they read nor how long they hold their thread.

use async_std::io::{Read, Write};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// After this many bytes without a wait for data, a read lets the other tasks of its thread run. A
/// peer that sends faster than they are read would otherwise stop them, and their timers.
pub(crate) const YIELD_AFTER_BYTES: usize = 16_384;

/// A stream from which a limited number of bytes can be read. Clones share the limit.
#[derive(Debug, Clone)]
pub struct LimitedStream<S> {
    stream: S,
    counters: Arc<Counters>,
}

#[derive(Debug)]
struct Counters {
    /// Bytes that may still be read.
    left: AtomicU64,
    /// Bytes read since the last wait for data.
    read_without_wait: AtomicUsize,
}

impl<S> LimitedStream<S> {
    /// Wraps a stream. A read after `max_bytes` bytes fails.
    pub fn new(stream: S, max_bytes: u64) -> LimitedStream<S> {
        LimitedStream {
            stream,
            counters: Arc::new(Counters {
                left: AtomicU64::new(max_bytes),
                read_without_wait: AtomicUsize::new(0),
            }),
        }
    }

    /// Allows `max_bytes` further bytes, whatever was left before.
    pub fn allow(&self, max_bytes: u64) {
        self.counters.left.store(max_bytes, Ordering::Relaxed);
    }
}

impl<S: Read + Unpin> Read for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let counters = self.counters.clone();
        let left = counters.left.load(Ordering::Relaxed);
        if left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the message is too long");
            return Poll::Ready(Err(error));
        }
        if counters.read_without_wait.load(Ordering::Relaxed) >= YIELD_AFTER_BYTES {
            counters.read_without_wait.store(0, Ordering::Relaxed);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let size = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..size]);
        match &polled {
            Poll::Ready(Ok(count)) => {
                counters.left.fetch_sub(*count as u64, Ordering::Relaxed);
                counters
                    .read_without_wait
                    .fetch_add(*count, Ordering::Relaxed);
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => counters.read_without_wait.store(0, Ordering::Relaxed),
        }
        polled
    }
}

impl<S: Write + Unpin> Write for LimitedStream<S> {
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
