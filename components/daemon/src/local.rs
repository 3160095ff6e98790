//! The executor of the node's one thread.
//!
//! async-std's own executor starts further threads, and the one that waits for I/O hands each event
//! over to the thread that processes the request. Here a single thread waits and processes. The
//! components are those that async-std itself uses.

use async_executor::LocalExecutor;
use audit::stats;
use futures_util::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;

thread_local! {
    static EXECUTOR: LocalExecutor<'static> = const { LocalExecutor::new() };
}

/// Runs a future on this thread, concurrently with the others.
pub fn spawn(future: impl Future<Output = ()> + 'static) {
    EXECUTOR.with(|executor| executor.spawn(future).detach());
}

/// Runs a future that serves one connection or answers one query. A panic ends only this future. What
/// caused it may recur, and would end the process each time.
pub fn spawn_contained(what: &'static str, future: impl Future<Output = ()> + 'static) {
    spawn(async move {
        if AssertUnwindSafe(future).catch_unwind().await.is_err() {
            stats::panicked();
            tracing::error!(what, "a panic was contained");
        }
    });
}

/// Runs a future, and all futures that are spawned meanwhile, until it ends.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    EXECUTOR.with(|executor| async_io::block_on(executor.run(future)))
}
