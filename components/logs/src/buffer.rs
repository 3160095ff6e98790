//! The buffer between the process and the reader of its log.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum wait of [`Buffer::close`] for a write; the reader may have stopped reading.
const CLOSE_WAIT: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Inner {
    lines: Vec<u8>,
    writing: bool,
    closed: bool,
    dropped: u64,
    dropped_unreported: u64,
}

/// Lines that are waiting to be written.
#[derive(Debug)]
pub struct Buffer {
    max_bytes: usize,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Buffer {
    /// An empty buffer of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Buffer {
        Buffer {
            max_bytes,
            inner: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Appends a line, or drops and counts it when the buffer is full. Never waits for a reader.
    pub fn put(&self, line: &[u8]) {
        let mut inner = self.lock();
        if inner.lines.len() + line.len() > self.max_bytes {
            inner.dropped += 1;
            inner.dropped_unreported += 1;
            return;
        }
        let was_empty = inner.lines.is_empty();
        inner.lines.extend_from_slice(line);
        if was_empty {
            self.changed.notify_all();
        }
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    /// Starts the thread that writes the lines to `out`, with a pause of `interval` after each write.
    pub fn write_to(self: Arc<Buffer>, out: impl Write + Send + 'static, interval: Duration) {
        let started = thread::Builder::new()
            .name("logs".to_string())
            .spawn(move || self.write(out, interval));
        if let Err(error) = started {
            eprintln!("failed to start the log thread: {error}");
        }
    }

    /// Waits until all lines are written, for a limited time, and stops the writing thread.
    pub fn close(&self) {
        let mut inner = self.lock();
        inner.closed = true;
        self.changed.notify_all();
        while !inner.lines.is_empty() || inner.writing {
            let waited = self.changed.wait_timeout(inner, CLOSE_WAIT);
            let (next, time) = waited.expect("no holder of the lock panics");
            inner = next;
            if time.timed_out() {
                return;
            }
        }
    }

    fn write(&self, mut out: impl Write, interval: Duration) {
        while let Some(lines) = self.take() {
            let written = out.write_all(&lines).and_then(|()| out.flush());
            self.lock().writing = false;
            self.changed.notify_all();
            if written.is_err() {
                // A failed write is not retried: once the buffer is full, lines are dropped and
                // counted.
                return;
            }
            if !self.lock().closed {
                thread::sleep(interval);
            }
        }
    }

    /// Waits for lines and takes them; none when the buffer is closed and empty.
    fn take(&self) -> Option<Vec<u8>> {
        let mut inner = self.lock();
        while inner.lines.is_empty() {
            if inner.closed {
                return None;
            }
            inner = self
                .changed
                .wait(inner)
                .expect("no holder of the lock panics");
        }
        inner.writing = true;
        let mut lines = std::mem::take(&mut inner.lines);
        let dropped = std::mem::take(&mut inner.dropped_unreported);
        if dropped > 0 {
            let report = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}\n"
            );
            lines.extend_from_slice(report.as_bytes());
        }
        Some(lines)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

/// Writer for `tracing` that appends to a buffer.
#[derive(Debug, Clone)]
pub struct Writer {
    buffer: Arc<Buffer>,
}

impl Writer {
    /// A writer into `buffer`.
    pub fn new(buffer: Arc<Buffer>) -> Writer {
        Writer { buffer }
    }
}

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.buffer.put(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Writer;

    fn make_writer(&'a self) -> Writer {
        self.clone()
    }
}
