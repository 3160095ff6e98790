//! A stream that keeps `async-h1` to the bytes of one message.
//!
//! The library's decoders read ahead and drop what they read too much, and they panic on bytes in
//! a head that are not ASCII. The guard hands out a head only when it is complete and clean, then
//! exactly the body's bytes. What comes behind them stays here, so that a connection with unasked
//! bytes is noticed and never used for another exchange.

use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

/// Largest head, in bytes; the decoders' own limit is a little higher.
pub const MAX_HEAD_BYTES: usize = 8_000;
const READ_SIZE: usize = 4_096;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What is wrong with a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// Longer than [`MAX_HEAD_BYTES`].
    TooLong,
    /// Bytes that are not printable ASCII.
    NotAscii,
    /// The stream ended in the middle.
    CutOff,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waiting for a whole head.
    Head,
    /// Handing out a head of which so many bytes are left.
    HandingOut(usize),
    /// Handing out a body of which so many bytes are left.
    Body(u64),
    /// Handing out whatever comes: a chunked body.
    Through,
}

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    buf: Vec<u8>,
    phase: Phase,
    fault: Option<HeadFault>,
}

/// The guarded stream; clones share it.
#[derive(Debug, Clone)]
pub struct Guard {
    inner: Arc<Mutex<Inner>>,
}

impl Guard {
    /// Guards `stream`, which is about to give a head.
    pub fn new(stream: TcpStream) -> Guard {
        Guard {
            inner: Arc::new(Mutex::new(Inner {
                stream,
                buf: Vec::new(),
                phase: Phase::Head,
                fault: None,
            })),
        }
    }

    /// Expects a head next.
    pub fn expect_head(&self) {
        self.lock().phase = Phase::Head;
    }

    /// Expects a body of so many bytes next.
    pub fn expect_body(&self, length: u64) {
        self.lock().phase = Phase::Body(length);
    }

    /// Expects a chunked body next. The stream can't be used after it.
    pub fn expect_chunks(&self) {
        self.lock().phase = Phase::Through;
    }

    /// Whether the last body was handed out to its end and nothing came behind it.
    pub fn is_clean(&self) -> bool {
        let inner = self.lock();
        inner.phase == Phase::Body(0) && inner.buf.is_empty()
    }

    /// Whether the last body was handed out to its end; what comes next may wait here already.
    pub fn is_reusable(&self) -> bool {
        self.lock().phase == Phase::Body(0)
    }

    /// Whether bytes wait that nobody read yet.
    pub fn has_bytes(&self) -> bool {
        !self.lock().buf.is_empty()
    }

    /// What was wrong with the last head.
    pub fn fault(&self) -> Option<HeadFault> {
        self.lock().fault
    }

    /// The stream below.
    pub fn stream(&self) -> TcpStream {
        self.lock().stream.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_SIZE];
        let read = match Pin::new(&mut self.stream).poll_read(cx, &mut chunk) {
            Poll::Ready(result) => result?,
            Poll::Pending => return Poll::Pending,
        };
        self.buf.extend_from_slice(&chunk[..read]);
        Poll::Ready(Ok(read))
    }

    /// Reads until the buffer holds a whole head; returns its length, or 0 at a clean end.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        loop {
            if let Some(length) = head_length(&self.buf) {
                return Poll::Ready(self.check_head(length));
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Poll::Ready(self.fail(HeadFault::TooLong));
            }
            match self.poll_fill(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Ready(Ok(0)) if self.buf.is_empty() => return Poll::Ready(Ok(0)),
                Poll::Ready(Ok(0)) => return Poll::Ready(self.fail(HeadFault::CutOff)),
                Poll::Ready(Ok(_)) => {}
            }
        }
    }

    fn check_head(&mut self, length: usize) -> io::Result<usize> {
        if length > MAX_HEAD_BYTES {
            return self.fail(HeadFault::TooLong);
        }
        let clean = self.buf[..length]
            .iter()
            .all(|byte| byte.is_ascii_graphic() || b" \t\r\n".contains(byte));
        if !clean {
            return self.fail(HeadFault::NotAscii);
        }
        Ok(length)
    }

    fn fail(&mut self, fault: HeadFault) -> io::Result<usize> {
        self.fault = Some(fault);
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("bad head: {fault:?}"),
        ))
    }

    fn hand_out(&mut self, out: &mut [u8], most: usize) -> usize {
        let count = out.len().min(most).min(self.buf.len());
        out[..count].copy_from_slice(&self.buf[..count]);
        self.buf.drain(..count);
        count
    }

    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        out: &mut [u8],
        most: usize,
    ) -> Poll<io::Result<usize>> {
        if !self.buf.is_empty() {
            return Poll::Ready(Ok(self.hand_out(out, most)));
        }
        let most = most.min(out.len());
        Pin::new(&mut self.stream).poll_read(cx, &mut out[..most])
    }
}

fn head_length(buf: &[u8]) -> Option<usize> {
    buf.windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|position| position + HEAD_END.len())
}

impl Read for Guard {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.lock();
        if inner.phase == Phase::Head {
            match inner.poll_head(cx) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(0)),
                Poll::Ready(Ok(length)) => inner.phase = Phase::HandingOut(length),
                other => return other,
            }
        }
        match inner.phase {
            Phase::Head => unreachable!("a complete head is handed out"),
            Phase::HandingOut(left) => {
                let count = inner.hand_out(out, left);
                inner.phase = if count == left {
                    Phase::Body(0)
                } else {
                    Phase::HandingOut(left - count)
                };
                Poll::Ready(Ok(count))
            }
            Phase::Body(0) => Poll::Ready(Ok(0)),
            Phase::Body(left) => {
                let most = left.min(usize::MAX as u64) as usize;
                let read = inner.poll_body(cx, out, most);
                if let Poll::Ready(Ok(count)) = &read {
                    inner.phase = Phase::Body(left - *count as u64);
                }
                read
            }
            Phase::Through => inner.poll_body(cx, out, usize::MAX),
        }
    }
}

impl Write for Guard {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_close(cx)
    }
}
