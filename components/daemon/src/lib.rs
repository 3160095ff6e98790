//! The node: the only place with sockets, threads and a clock.
//!
//! One thread runs the path of a request, entry and home duty alike: decisions are called in
//! place, since a hand-over between threads costs more than they do (see `docs/DESIGN.md`). The
//! operators' address has a thread of its own, joined by a bounded channel.

mod boot_record;
mod callers;
mod clock;
mod configuration;
mod coordinator;
mod entry_driver;
mod guard;
mod home_driver;
mod links;
mod node;
mod operators;
mod platform_watch;
mod recovery;
mod relay;
mod stats;
mod stop;
mod upstream;

use async_std::net::TcpListener;
use async_std::task;
use errors::{Error, Result, Step};
use metrics_exporter_prometheus::PrometheusBuilder;
use node::Node;
use settings::Settings;
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs a node until a stop signal has been obeyed.
pub fn run(cfg: Settings) -> Result<()> {
    // The path runs on the calling thread; one more serves the operators.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let prometheus = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| Error::new(Step::Operators, "metrics", error))?;
    task::block_on(async move {
        let (tx, rx) = operators::channel();
        let callers = bind(cfg.callers).await?;
        let peers = bind(cfg.peers).await?;
        let served = operators::serve(cfg.operators, tx, prometheus, cfg.fleet_key.clone());
        let operators = task::spawn(served);
        let node = Node::new(cfg);
        tracing::info!(vm = %node.cfg.vm, hall = %node.cfg.hall, boot = %node.boot, "started");
        spawn_duties(&node, callers, peers, rx);
        task::spawn_local(async move {
            if let Err(error) = operators.await {
                tracing::error!(%error, "the operators' address is not served");
                std::process::exit(1);
            }
        });
        stop::run(node)
            .await
            .map_err(|error| Error::new(Step::Settings, "signals", error))
    })
}

fn spawn_duties(
    node: &Rc<Node>,
    callers: TcpListener,
    peers: TcpListener,
    rx: async_channel::Receiver<operators::Command>,
) {
    task::spawn_local(callers::run(node.clone(), callers));
    task::spawn_local(links::serve(node.clone(), peers));
    task::spawn_local(links::run_heartbeats(node.clone()));
    task::spawn_local(home_driver::run_ticks(node.clone()));
    task::spawn_local(home_driver::run_successor_watch(node.clone()));
    task::spawn_local(configuration::run_comparisons(node.clone()));
    task::spawn_local(boot_record::run(node.clone()));
    task::spawn_local(platform_watch::run_head(node.clone()));
    task::spawn_local(platform_watch::run_vms(node.clone()));
    task::spawn_local(operators::run_commands(node.clone(), rx));
    if let Some(pool) = node.pool.clone() {
        task::spawn_local(async move { pool.warm_up().await });
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::new(Step::Connect, address, error))
}
