//! The buffer between the process and whoever reads its lines.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Longest wait of [`Buffer::close`] for a reader that may have stopped reading.
const CLOSE_WAIT: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Inner {
    lines: Vec<u8>,
    writing: bool,
    closed: bool,
    dropped: u64,
    dropped_unsaid: u64,
}

/// Lines that wait to be written.
#[derive(Debug)]
pub struct Buffer {
    most: usize,
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Buffer {
    /// An empty buffer of at most `most` bytes.
    pub fn new(most: usize) -> Buffer {
        Buffer {
            most,
            inner: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Puts a line in, or drops and counts it when there is no room. Never waits for a reader.
    pub fn put(&self, line: &[u8]) {
        let mut inner = self.lock();
        if inner.lines.len() + line.len() > self.most {
            inner.dropped += 1;
            inner.dropped_unsaid += 1;
            return;
        }
        let was_empty = inner.lines.is_empty();
        inner.lines.extend_from_slice(line);
        if was_empty {
            self.changed.notify_all();
        }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    /// Starts the thread that writes the lines to `out`, at most once in `every`.
    pub fn write_to(self: Arc<Buffer>, out: impl Write + Send + 'static, every: Duration) {
        let started = thread::Builder::new()
            .name("logs".to_string())
            .spawn(move || self.write(out, every));
        if let Err(error) = started {
            eprintln!("no thread for the log: {error}");
        }
    }

    /// Ends the writing once all lines are out, or after a short wait.
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

    fn write(&self, mut out: impl Write, every: Duration) {
        while let Some(lines) = self.take() {
            let written = out.write_all(&lines).and_then(|()| out.flush());
            self.lock().writing = false;
            self.changed.notify_all();
            if written.is_err() {
                // Nobody will ever read: lines are dropped from now on, and counted.
                return;
            }
            if !self.lock().closed {
                thread::sleep(every);
            }
        }
    }

    /// Waits for lines; none when the buffer is closed and empty.
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
        let dropped = std::mem::take(&mut inner.dropped_unsaid);
        if dropped > 0 {
            let said = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}\n"
            );
            lines.extend_from_slice(said.as_bytes());
        }
        Some(lines)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

/// Makes the lines of `tracing` go into a buffer.
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
