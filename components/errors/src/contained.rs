//! Steps that read what comes from outside.

use crate::{Error, Result, Step};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Runs one step that reads what `peer` sent. A panic becomes an error: it would end this process, which reads the
/// same again after its start, and every other one that does. What the step was working on has to be dropped then.
pub fn catch_panic<T>(step: Step, peer: &str, read: impl FnOnce() -> T) -> Result<T> {
    catch_unwind(AssertUnwindSafe(read)).map_err(|cause| {
        let said = cause
            .downcast_ref::<&str>()
            .map(ToString::to_string)
            .or_else(|| cause.downcast_ref::<String>().cloned());
        let said = said.unwrap_or_else(|| "without a word".to_string());
        Error::new(step, peer, format!("a panic: {said}"))
    })
}
