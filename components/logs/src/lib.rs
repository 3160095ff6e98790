//! Log lines on standard output that never hold the process up.
//!
//! Lines go into a buffer of fixed size; a thread of its own writes it out. When nobody reads, the
//! buffer fills up and further lines are dropped and counted. [`Limiter`] bounds each kind of line.

mod buffer;
mod limiter;

pub use buffer::{Buffer, Writer};
pub use limiter::Limiter;

use std::sync::Arc;
use std::time::Duration;
use tracing_subscriber::EnvFilter;

/// Bytes of lines that may wait to be written.
const BUFFER_BYTES: usize = 128 * 1024;
/// Lines are written together, this often at most: a write for each line would cost more than the
/// line.
const WRITE_EVERY: Duration = Duration::from_millis(50);

/// Starts logging lines of `level` and above to standard output; `json` gives one object a line.
/// Returns the buffer, which has to be closed before the process ends.
pub fn start(level: &str, json: bool) -> Arc<Buffer> {
    let buffer = Arc::new(Buffer::new(BUFFER_BYTES));
    buffer.clone().write_to(std::io::stdout(), WRITE_EVERY);
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
