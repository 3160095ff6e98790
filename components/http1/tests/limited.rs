//! Streams with a limit on the bytes that are read from them.

use async_std::io::{Cursor, ReadExt};
use async_std::task::block_on;
use futures_util::future::{select, Either};
use http1::LimitedStream;
use std::pin::pin;

const MAX_BYTES: u64 = 1_000;

#[test]
fn read_beyond_the_limit_fails() {
    block_on(async {
        let stream = LimitedStream::new(Cursor::new(vec![b'x'; 3_000]), MAX_BYTES);
        let mut clone = stream.clone();
        let mut buf = [0; 800];
        clone.read_exact(&mut buf).await.expect("within the limit");
        assert_eq!(clone.read(&mut buf).await.expect("the rest"), 200);
        assert!(clone.read(&mut buf).await.is_err());
        stream.allow(MAX_BYTES);
        assert_eq!(clone.read(&mut buf).await.expect("bytes"), 800);
    });
}

/// A task that reads without a wait held its thread until the data ended.
#[test]
fn read_that_never_waits_keeps_its_thread() {
    block_on(async {
        let mut stream = LimitedStream::new(Cursor::new(vec![b'x'; 1_000_000]), u64::MAX);
        let mut bytes = Vec::new();
        let reading = pin!(stream.read_to_end(&mut bytes));
        let other = pin!(async_std::task::yield_now());
        let first = select(reading, other).await;
        assert!(matches!(first, Either::Right(_)));
    });
}
