//! The test double of an upstream as a process.

use async_std::net::TcpListener;
use bpaf::Bpaf;
use standins::ledger::Ledger;
use standins::upstream::{Config, Upstream};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Test double of an upstream
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address to listen on
    listen: SocketAddr,
    /// Maximum number of requests processed at once
    #[bpaf(fallback(6))]
    slots: usize,
    /// Maximum number of waiting requests
    #[bpaf(fallback(24))]
    queue: usize,
    /// Mean service time in microseconds
    #[bpaf(fallback(5_000))]
    service_us: u64,
    /// Share of the service time that is drawn from an exponential distribution
    #[bpaf(fallback(0.5))]
    noise: f64,
    /// Delay after a connection is accepted, in microseconds
    #[bpaf(fallback(1_000))]
    open_us: u64,
    /// Factor by which the first requests are slower
    #[bpaf(fallback(1.0))]
    cold_factor: f64,
    /// Number of first requests that are slower
    #[bpaf(fallback(0))]
    cold_requests: u64,
    /// Seed of the service times
    #[bpaf(fallback(1))]
    seed: u64,
    /// Address of the local node, for nested calls
    node: Option<SocketAddr>,
    /// Host of nested calls
    #[bpaf(fallback("next".to_string()))]
    next_host: String,
    /// File that records every run
    ledger: Option<PathBuf>,
}

fn main() -> std::io::Result<()> {
    let args = args().run();
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let cfg = Config {
        slots: args.slots,
        queue: args.queue,
        service_us: args.service_us,
        noise: args.noise,
        open_us: args.open_us,
        cold: (args.cold_factor, args.cold_requests),
        seed: args.seed,
        node: args.node,
        next_host: args.next_host,
    };
    let ledger = Ledger::open(args.ledger.as_deref())?;
    async_std::task::block_on(async move {
        let listener = TcpListener::bind(args.listen).await?;
        Upstream::new(cfg, ledger).serve(listener).await;
        Ok(())
    })
}
