//! Offers that arrive at the home duty: for which upstream they are meant, which ones are refused
//! before the home duty decides, and queries about them.

use super::{log_decision, with_home};
use crate::boot_record;
use crate::containment;
use crate::jobs::fair_share_account;
use crate::links::Reply;
use crate::node::{Job, Node, SharedAnswer};
use crate::upstream_notices;
use audit::stats;
use home::{Home, Offer, QueryReply, Reason, Refusal};
use keys::{ClaimReply, KeyHash};
use names::{AttemptId, BootId, Name};
use registry::Incarnation;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Frame, Request};

/// Retry-after value of an attempt that was offered to another upstream than the local one, in
/// milliseconds. The entry node knows the upstream from now on.
const MISDIRECTED_RETRY_AFTER_MS: u64 = 100;
/// Retry-after value of an attempt that is refused before the home duty sees it, in milliseconds.
const EARLY_REFUSAL_RETRY_AFTER_MS: u64 = 1_000;
/// An attempt as it is sent to a home duty.
#[derive(Debug, Clone)]
pub struct Offered {
    /// The offer.
    pub offer: Offer,
    /// Idempotency key of the request, hashed.
    pub key: Option<KeyHash>,
    /// The request.
    pub req: Arc<Request>,
    /// Incarnation of the upstream that the entry duty chose, if it names one.
    pub upstream: Option<Incarnation>,
}

/// Handles an offer from the node on `from` as the home duty decides.
pub fn on_offer(node: &Rc<Node>, from: &Name, offered: Offered, reply: Reply) {
    let Offered {
        offer, key, req, ..
    } = offered;
    let upstream = match receive(node, from, &offer, &req, offered.upstream.as_ref()) {
        Ok(upstream) => upstream,
        Err(refusal) => {
            refuse_early(node, offer.id, refusal, &reply);
            return;
        }
    };
    let now = node.now();
    let deadline = now + offer.remaining_us;
    let offer = Offer {
        account: fair_share_account(node, &req),
        remaining_us: node.entry.borrow().work_deadline(deadline).since(now),
        ..offer
    };
    if let Some(refusal) = containment::early_refusal(node, &offer, &req) {
        refuse_early(node, offer.id, refusal, &reply);
        return;
    }
    let reason = early_refusal(node, from, &offer, key);
    let is_memory_short = node.buffers.refuses(req.body.len());
    if let Some(reason) = reason.or(is_memory_short.then_some(Reason::Busy)) {
        let refusal = Refusal {
            reason,
            retry_after_ms: EARLY_REFUSAL_RETRY_AFTER_MS,
        };
        refuse_early(node, offer.id, refusal, &reply);
        return;
    }
    let job = Job {
        suspect: containment::is_suspect(node, &offer, &req),
        termination: None,
        leaving: None,
        req,
        upstream,
        reply: reply.clone(),
        deadline: now + offer.remaining_us,
        key,
        priority: offer.priority,
        arrived_at: now,
        started_at: None,
        repeatable: offer.repeatable,
        repeat: offer.repeat,
        cancel: None,
    };
    let id = offer.id;
    upstream_notices::restore_limit(node, from, &offer);
    node.jobs.borrow_mut().entry(id).or_insert(job);
    with_home(node, |home| home.offer(now, &offer));
    let is_queued = |home: &Home<SharedAnswer>| home.is_queued(id);
    if node.home.borrow().as_ref().is_some_and(is_queued) {
        log_decision(node, id, "queued", None);
    }
    let is_accepted = node
        .home
        .borrow()
        .as_ref()
        .is_some_and(|home| home.is_active(id));
    if !is_accepted {
        // An offer that arrived too late gets no answer, and its job must not be kept.
        node.jobs.borrow_mut().remove(&id);
    }
}

/// The incarnation of the local upstream for which an offer is meant; none where the platform lists
/// the VMs. An offer for another upstream is refused, with this node's record as the correction.
fn receive(
    node: &Rc<Node>,
    from: &Name,
    offer: &Offer,
    req: &Request,
    chosen: Option<&Incarnation>,
) -> Result<Option<Incarnation>, Refusal> {
    let Some(registration) = &node.registration else {
        return Ok(None);
    };
    let local = registration.local.borrow();
    local
        .receive_offer(&offer.service, chosen)
        .map_err(|misdirection| {
            stats::offer_misdirected(misdirection.as_str());
            audit::offer_misdirected(&req.id, offer, from, chosen, local.current(), misdirection);
            Refusal {
                reason: Reason::NoUpstream,
                retry_after_ms: MISDIRECTED_RETRY_AFTER_MS,
            }
        })
}

/// Why an attempt is refused before the home duty sees it, if it is.
fn early_refusal(
    node: &Rc<Node>,
    from: &Name,
    offer: &Offer,
    key: Option<KeyHash>,
) -> Option<Reason> {
    if node.home.borrow().is_none() {
        return Some(Reason::NoUpstream);
    }
    if offer.repeat && !node.entry.borrow().may_run_repeat() {
        return Some(Reason::Busy);
    }
    let key = key.filter(|_| !node.jobs.borrow().contains_key(&offer.id))?;
    if node.was_paused() {
        boot_record::on_pause(node);
    }
    let now = node.now();
    let claim = node
        .claims
        .borrow_mut()
        .claim(now, key, from, offer.id.boot);
    match claim.0 {
        ClaimReply::Granted => None,
        ClaimReply::Uncertain => Some(Reason::Uncertain),
        _ => Some(Reason::KeyUsed),
    }
}

/// Refuses an attempt that the home duty has not seen. The query makes the home duty record it as
/// not run, which later queries then find. A second offer of an attempt that has begun is ignored.
fn refuse_early(node: &Rc<Node>, id: AttemptId, refusal: Refusal, reply: &Reply) {
    let now = node.now();
    let mut home = node.home.borrow_mut();
    let known = home.as_mut().map(|home| home.query(now, id, node.boot));
    drop(home);
    if !matches!(
        known,
        None | Some(QueryReply::Revoked | QueryReply::Forgotten)
    ) {
        stats::late_event("offer");
        return;
    }
    stats::attempt_refused(refusal.reason.as_str());
    reply.send(node, refused_frame(node, id, refusal));
}

/// The frame that refuses an attempt. A node that offered it to an upstream which is not here gets
/// this node's record, which names the one that is.
pub(super) fn refused_frame(node: &Rc<Node>, id: AttemptId, refusal: Refusal) -> Frame {
    let registration = node.registration.as_ref();
    let current = registration.filter(|_| refusal.reason == Reason::NoUpstream);
    Frame::Refused {
        id,
        refusal,
        load: node.load(),
        current: current.map(|registration| Box::new(registration.fleet.borrow().own().clone())),
    }
}

/// Answers a query about an attempt that was offered to `boot`.
pub fn on_query(node: &Rc<Node>, id: AttemptId, boot: BootId, reply_to: Reply) {
    let now = node.now();
    let reply = node
        .home
        .borrow_mut()
        .as_mut()
        .map_or(QueryReply::Forgotten, |home| home.query(now, id, boot));
    if reply == QueryReply::Started {
        if let Some(job) = node.jobs.borrow_mut().get_mut(&id) {
            job.reply = reply_to.clone();
        }
    } else {
        node.jobs.borrow_mut().remove(&id);
    }
    reply_to.send(node, Frame::Told { id, reply });
}
