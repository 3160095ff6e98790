//! A look at the upstream beside a node that has just started: the upstream runs on while its node
//! is restarted, and its next registration may be seconds away.

use super::{matches_settings, on_local_change, Registration};
use crate::node::Node;
use async_std::future::timeout;
use async_std::task;
use errors::{Error, Result, Step};
use home::PriorStarts;
use http1::ResponseTimeouts;
use registry::{Instance, State};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for the answer; it waits for a slot like a request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The same while another start waits to be acknowledged, which its upstream expects within a second.
const STILL_THERE_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;
/// Looks for a configuration that names the health check's path, and the pause between them.
const CONFIGURATION_LOOKS: u32 = 50;
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(20);

/// Takes the run that an earlier start of this node knew, if it still runs and takes work.
pub async fn find(node: Rc<Node>, registration: Rc<Registration>, earlier: Instance) {
    if registration.local.borrow().current().is_some()
        || !matches_settings(&node, &registration, &earlier, "record")
    {
        return;
    }
    if earlier.state != State::Ready {
        if registration.local.borrow_mut().restore_state(&earlier) {
            on_local_change(&node, &registration, PriorStarts::Until(node.started));
        }
        return;
    }
    let path = health_path(&node, &earlier).await;
    let found = match path {
        Some(path) => ask(&node, &earlier, &path, ANSWER_TIMEOUT).await,
        None => Err(Error::new(
            Step::Upstream,
            &earlier.id,
            "no health check is declared",
        )),
    };
    match found {
        Ok(()) => {
            let taken = registration.local.borrow_mut().adopt(earlier.clone());
            audit::upstream_found(&earlier, taken);
            if taken {
                on_local_change(&node, &registration, PriorStarts::Until(node.started));
            }
        }
        Err(error) => tracing::info!(%error, "the upstream of an earlier start was not found"),
    }
}

async fn health_path(node: &Rc<Node>, earlier: &Instance) -> Option<String> {
    for _ in 0..CONFIGURATION_LOOKS {
        if node.in_force().is_some() {
            return declared_path(node, earlier);
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

/// Whether the start `known` still answers at its address, so that no other one stands there. Unknown, and told as no,
/// where nothing answers in time.
pub async fn still_answers(node: &Rc<Node>, known: &Instance) -> bool {
    let Some(path) = declared_path(node, known) else {
        return false;
    };
    ask(node, known, &path, STILL_THERE_TIMEOUT).await.is_ok()
}

/// Asks the upstream at the address of `instance` for its identity; an error if another one or none answers.
async fn ask(node: &Rc<Node>, instance: &Instance, path: &str, limit: Duration) -> Result<()> {
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
