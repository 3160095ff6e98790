//! Identity checks of the local upstream. A node that has just started checks the upstream of its
//! previous boot: it continues to run while the node restarts, and its next registration may be
//! seconds away.

use super::{configured_upstream, matches_settings, on_local_change, Registration};
use crate::node::Node;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use errors::{Error, Result, Step};
use home::PriorStarts;
use http1::ResponseTimeouts;
use registry::{Instance, State};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum wait for the answer: the check waits for a slot like a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum wait while another incarnation waits for an acknowledgement, which it expects within a
/// second.
const IDENTITY_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum wait for a connection to the local upstream, which is on this VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;
/// Maximum number of checks for a configuration, which names the health path, and the pause
/// between them.
const CONFIGURATION_CHECKS: u32 = 50;
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(20);

/// Makes the upstream that an earlier boot of this node recorded current, if it still runs and is
/// ready.
pub async fn restore_upstream(node: Rc<Node>, registration: Rc<Registration>, recorded: Instance) {
    if recorded.state != State::Ready
        || registration.local.borrow().current().is_some()
        || !matches_settings(&node, &registration, &recorded, "record")
    {
        return;
    }
    let path = health_path(&node, &recorded).await;
    let identity = match path {
        Some(path) => check_identity(&node, &recorded, &path, ANSWER_TIMEOUT).await,
        None => Err(Error::new(
            Step::Upstream,
            &recorded.id,
            "no health check is declared",
        )),
    };
    match identity {
        Ok(()) => {
            registration.predecessor.wait().await;
            let adopted = registration.local.borrow_mut().adopt(recorded.clone());
            audit::upstream_found(&recorded, adopted);
            if adopted {
                on_local_change(&node, &registration, PriorStarts::Until(node.started));
            }
        }
        Err(error) => {
            tracing::info!(%error, "the upstream of an earlier boot of this node was not found")
        }
    }
}

async fn health_path(node: &Rc<Node>, recorded: &Instance) -> Option<String> {
    for _ in 0..CONFIGURATION_CHECKS {
        if node.in_force().is_some() {
            return declared_path(node, recorded);
        }
        task::sleep(CONFIGURATION_PAUSE).await;
    }
    None
}

fn declared_path(node: &Rc<Node>, instance: &Instance) -> Option<String> {
    let in_force = node.in_force()?;
    let registered = in_force.declarations.registered.get(&instance.service)?;
    Some(registered.health_path.clone())
}

/// Whether the incarnation `known` still answers at its address, so that no other one runs there.
/// Also false if this is unknown because nothing answers in time.
pub async fn still_answers(node: &Rc<Node>, known: &Instance) -> bool {
    let Some(path) = declared_path(node, known) else {
        return false;
    };
    check_identity(node, known, &path, IDENTITY_CHECK_TIMEOUT)
        .await
        .is_ok()
}

/// Whether something accepts connections at the address of the local upstream. Also true if the
/// attempt neither succeeds nor fails in time.
pub async fn accepts_connections(node: &Node) -> bool {
    let Some(address) = configured_upstream(node).address else {
        return false;
    };
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Err(_)))
}

/// Checks that the upstream at the address of `instance` identifies itself as `instance`. Fails if
/// another one or none answers.
async fn check_identity(
    node: &Rc<Node>,
    instance: &Instance,
    path: &str,
    limit: Duration,
) -> Result<()> {
    let fail = |cause: String| Error::new(Step::Upstream, &instance.address, cause);
    let address: SocketAddr = instance
        .address
        .parse()
        .map_err(|_| fail("not an address".to_string()))?;
    let timeouts = ResponseTimeouts::uniform(limit);
    let call = http1::call(address, "GET", path, &[], &[], MAX_ANSWER_BYTES, timeouts);
    let (head, _) = timeout(limit, call)
        .await
        .map_err(|_| fail("no answer in time".to_string()))?
        .map_err(|fault| fail(fault.to_string()))?;
    if head.status != 200 {
        return Err(fail(format!("status {}", head.status)));
    }
    let name = node.cfg.headers.instance.as_deref().unwrap_or_default();
    match http1::header_value(&head.headers, name) {
        Some(id) if id == instance.id.as_str() => Ok(()),
        other => Err(fail(format!(
            "{other:?} answers instead of {}",
            instance.id
        ))),
    }
}
