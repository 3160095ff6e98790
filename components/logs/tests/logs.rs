//! Logging never waits for a reader, and says what it dropped.

use logs::{Buffer, Limiter};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A reader that takes nothing until it is let go.
struct Stuck {
    go: Receiver<()>,
    began: Sender<()>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.began.send(()).ok();
        self.go.recv().ok();
        self.read.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_costs_lines_and_holds_nobody_up() {
    let (go, waits) = channel();
    let (began, begun) = channel();
    let read = Arc::new(Mutex::new(Vec::new()));
    let stuck = Stuck {
        go: waits,
        began,
        read: read.clone(),
    };
    let buffer = Arc::new(Buffer::new(100));
    buffer.clone().write_to(stuck, Duration::ZERO);
    buffer.put(b"first\n");
    begun.recv().expect("the writer began");
    for _ in 0..50 {
        buffer.put(b"0123456789\n");
    }
    assert_eq!(buffer.dropped(), 41);
    for _ in 0..10 {
        go.send(()).ok();
    }
    buffer.close();
    let text = String::from_utf8(read.lock().expect("no panic").clone()).expect("text");
    assert_eq!(text.matches("0123456789").count(), 9);
    assert!(
        text.contains("\"log lines dropped\",\"count\":41"),
        "{text}"
    );
}

#[test]
fn a_kind_of_line_is_bounded_in_each_second_and_what_was_dropped_is_told_later() {
    let mut limiter = Limiter::new(2);
    let passed: Vec<Option<u64>> = (0..5).map(|_| limiter.pass(1_000_000)).collect();
    assert_eq!(passed, [Some(0), Some(0), None, None, None]);
    assert_eq!(limiter.pass(2_000_000), Some(3));
    assert_eq!(limiter.pass(2_000_001), Some(0));
}
