//! Containment of panics in steps that read external input.

use crate::{Error, Result, Step};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Runs a step that reads input from `peer`, and turns a panic into an error. Without this, the panic
/// would end this process again and again, since it reads the same input after each restart, and every
/// other process that reads it. On an error the caller must drop the state that the step worked on.
pub fn catch_panic<T>(step: Step, peer: &str, read: impl FnOnce() -> T) -> Result<T> {
    catch_unwind(AssertUnwindSafe(read)).map_err(|cause| {
        let message = cause
            .downcast_ref::<&str>()
            .map(ToString::to_string)
            .or_else(|| cause.downcast_ref::<String>().cloned());
        let message = message.unwrap_or_else(|| "without a word".to_string());
        Error::new(step, peer, format!("a panic: {message}"))
    })
}
