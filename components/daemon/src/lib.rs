//! The node's process: the only crate with sockets, threads and a clock.
//!
//! One thread runs all duties. Decisions are plain function calls, since a hand-over between
//! threads costs more than a decision (see `docs/DESIGN.md`). The operators' routes reach the
//! duties through a bounded channel.

mod activation;
mod boot_record;
mod caller_name;
mod callers;
mod candidates;
mod configuration;
mod containment;
mod coordinator;
mod counted;
mod entry_driver;
mod exchange;
mod home_driver;
mod jobs;
mod links;
mod local;
mod look;
mod memory;
mod node;
mod operators;
mod places;
mod ready;
mod recovery;
mod registration;
mod relay;
mod reload;
mod stop;
mod store;
mod straggling;
mod upstream_notices;
mod wakeup;
mod watching;

use async_std::net::TcpListener;
use audit::stats;
use errors::{Error, Result, Step};
use metrics_exporter_prometheus::PrometheusBuilder;
use node::Node;
use platform::Adapter;
use ready::Readiness;
use registration::Registration;
use reload::Reloader;
use settings::Settings;
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs a node until a stop signal has been handled. `adapter` translates for a platform whose nodes
/// register; without one the platform lists the VMs.
///
/// `source` reloads the settings.
pub fn run(cfg: Settings, adapter: Option<Box<dyn Adapter>>, source: reload::Source) -> Result<()> {
    let prometheus = PrometheusBuilder::new()
        .set_buckets(stats::LATENCY_BUCKETS)
        .map_err(|error| Error::new(Step::Operators, "metrics", error))?
        .install_recorder()
        .map_err(|error| Error::new(Step::Operators, "metrics", error))?;
    let signals = stop::signals().map_err(|error| Error::new(Step::Settings, "signals", error))?;
    local::block_on(async move {
        let (tx, rx) = operators::channel();
        let callers = bind(cfg.callers).await?;
        let peers = bind(cfg.peers).await?;
        let operators = bind(cfg.operators).await?;
        local::spawn(operators::run_upkeep(prometheus.clone()));
        let served = operators::serve(operators, tx, prometheus, cfg.fleet_key.clone());
        let node = Node::new(cfg, adapter);
        tracing::info!(vm = %node.cfg.vm, hall = %node.cfg.hall, boot = %node.boot, "started");
        match node.registration.clone() {
            Some(registration) => spawn_registered(&node, &registration).await?,
            None => spawn_listed(&node),
        }
        spawn_duties(&node, callers, peers, rx);
        let reloaded = node.clone();
        let on_change = move || reloaded.fleet_changed();
        let reloader = Rc::new(Reloader::new(node.live.clone(), source));
        local::spawn(reload::run(reloader.clone(), on_change));
        local::spawn(served);
        stop::run(node, signals, &reloader).await;
        Ok(())
    })
}

fn spawn_duties(
    node: &Rc<Node>,
    callers: TcpListener,
    peers: TcpListener,
    rx: async_channel::Receiver<operators::Command>,
) {
    local::spawn(callers::run(node.clone(), callers));
    local::spawn(links::serve(node.clone(), peers));
    local::spawn(links::run_heartbeats(node.clone()));
    local::spawn(watching::run(node.clone()));
    local::spawn(home_driver::run_ticks(node.clone()));
    local::spawn(memory::run(node.clone()));
    local::spawn(containment::run_expiry(node.clone()));
    local::spawn(callers::run_lease_renewals(node.clone()));
    local::spawn(operators::run_commands(node.clone(), rx));
    if let Some(pool) = node.pool.clone().filter(|_| node.registration.is_none()) {
        local::spawn(async move { pool.warm_up().await });
    }
}

/// Starts the tasks of a node whose platform lists the VMs and whose operators write heads.
fn spawn_listed(node: &Rc<Node>) {
    local::spawn(home_driver::run_successor_watch(node.clone()));
    local::spawn(configuration::run_comparisons(node.clone()));
    local::spawn(boot_record::run(node.clone()));
}

/// Starts the tasks of a node whose platform has nodes and upstreams register.
async fn spawn_registered(node: &Rc<Node>, registration: &Rc<Registration>) -> Result<()> {
    if let Some(address) = node.cfg.ready {
        let ready = bind(address).await?;
        let path = node.cfg.ready_path.clone();
        local::spawn(ready::serve(path, readiness(node), ready));
    }
    if let Some(address) = node.cfg.registrations {
        let door = bind(address).await?;
        local::spawn(registration::serve_registrations(
            node.clone(),
            registration.clone(),
            door,
        ));
    }
    home_driver::update_drain_state(node);
    node.fleet_changed();
    local::spawn(registration::run_records(
        node.clone(),
        registration.clone(),
    ));
    local::spawn(registration::run_dials(node.clone(), registration.clone()));
    Ok(())
}

/// Returns a function that reports whether a node accepts callers' requests.
fn readiness(node: &Rc<Node>) -> Rc<dyn Fn() -> Readiness> {
    let node = node.clone();
    Rc::new(move || match node.in_force() {
        _ if node.stopping.get() => Readiness::Stopping,
        None => Readiness::NoDeclarations,
        Some(_) => Readiness::Ready,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Error::new(Step::Connect, address, error))
}
