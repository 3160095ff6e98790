//! Logging to standard output that never blocks the process.
//!
//! Lines go into a buffer of fixed size, which a separate thread writes out. If the reader stops
//! reading, the buffer fills up; further lines are dropped and counted. [`Limiter`] limits the rate
//! of each kind of line.

mod buffer;
mod limiter;

pub use buffer::{Buffer, Writer};
pub use limiter::Limiter;

use std::sync::Arc;
use std::time::Duration;
use tracing_subscriber::EnvFilter;

/// Size of the buffer of lines that are waiting to be written.
const BUFFER_BYTES: usize = 128 * 1024;
/// Pause between writes. Lines are written in batches, because a write for each line would cost more
/// than producing the line.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Starts logging lines of `level` and above to standard output; `json` selects one JSON object per
/// line. Returns the buffer, which must be closed before the process exits.
pub fn start(level: &str, json: bool) -> Arc<Buffer> {
    let buffer = Arc::new(Buffer::new(BUFFER_BYTES));
    buffer.clone().write_to(std::io::stdout(), WRITE_INTERVAL);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(level))
        .with_ansi(false)
        .with_target(false)
        .with_writer(Writer::new(buffer.clone()));
    if json {
        builder
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .init();
    } else {
        builder.init();
    }
    buffer
}
