//! The executor of the node's one thread.
//!
//! async-std's own executor starts further threads, and whichever of them waits for I/O hands each
//! event over to the thread that runs the path. Here the thread that waits is the one that works.
//! The parts are those async-std is made of.

use async_executor::LocalExecutor;
use audit::stats;
use futures_util::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;

thread_local! {
    static EXECUTOR: LocalExecutor<'static> = const { LocalExecutor::new() };
}

/// Runs a future on this thread, beside the others.
pub fn spawn(future: impl Future<Output = ()> + 'static) {
    EXECUTOR.with(|executor| executor.spawn(future).detach());
}

/// Runs what serves one connection or answers one question. A panic ends that alone: what caused it comes again, and
/// would end the process each time.
pub fn spawn_contained(what: &'static str, future: impl Future<Output = ()> + 'static) {
    spawn(async move {
        if AssertUnwindSafe(future).catch_unwind().await.is_err() {
            stats::panicked();
            tracing::error!(what, "a panic was contained");
        }
    });
}

/// Runs a future and all that is spawned meanwhile, until the future ends.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    EXECUTOR.with(|executor| async_io::block_on(executor.run(future)))
}
