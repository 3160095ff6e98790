//! Logging never waits for a reader, and reports how many lines it dropped.

use logs::{Buffer, Limiter};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An output on which each write blocks until it receives a signal.
struct BlockedOutput {
    unblock: Receiver<()>,
    write_started: Sender<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write_started.send(()).ok();
        self.unblock.recv().ok();
        self.written
            .lock()
            .expect("no panic")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_dropped_and_counted_when_the_reader_stops_reading() {
    let (unblock, wait_for_unblock) = channel();
    let (write_started, wait_for_write) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        unblock: wait_for_unblock,
        write_started,
        written: written.clone(),
    };
    let buffer = Arc::new(Buffer::new(100));
    buffer.clone().write_to(output, Duration::ZERO);
    buffer.put(b"first\n");
    wait_for_write.recv().expect("a write starts");
    for _ in 0..50 {
        buffer.put(b"0123456789\n");
    }
    assert_eq!(buffer.dropped(), 41);
    for _ in 0..10 {
        unblock.send(()).ok();
    }
    buffer.close();
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert_eq!(text.matches("0123456789").count(), 9);
    assert!(
        text.contains("\"log lines dropped\",\"count\":41"),
        "{text}"
    );
}

#[test]
fn lines_above_the_limit_are_counted_and_reported_in_the_next_second() {
    let mut limiter = Limiter::new(2);
    let results: Vec<Option<u64>> = (0..5).map(|_| limiter.pass(1_000_000)).collect();
    assert_eq!(results, [Some(0), Some(0), None, None, None]);
    assert_eq!(limiter.pass(2_000_000), Some(3));
    assert_eq!(limiter.pass(2_000_001), Some(0));
}
