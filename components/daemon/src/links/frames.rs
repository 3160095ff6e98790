//! Dispatch of received frames.

use super::Reply;
use crate::entry_driver::{deliver, on_load_report};
use crate::home_driver::Offered;
use crate::node::Node;
use crate::{
    configuration, containment, coordinator, home_driver, recovery, registration, relay,
    upstream_notices, watching,
};
use audit::Origin;
use entry::Event;
use home::QueryReply;
use names::{AttemptId, Name};
use registry::Record;
use std::rc::Rc;
use std::sync::Arc;
use wire::Frame;

/// Handles a frame received from `from`; answers go to `reply`.
pub fn on_frame(node: &Rc<Node>, from: &Name, frame: Frame, reply: &Reply) {
    match frame {
        Frame::Offer {
            offer,
            key,
            req,
            upstream,
        } => {
            let offered = Offered {
                offer,
                key,
                req,
                upstream,
            };
            home_driver::on_offer(node, from, offered, reply.clone());
        }
        Frame::Claim { id, key } => coordinator::on_claim(node, from, id, key, reply),
        Frame::Claimed { id, reply } => coordinator::on_claim_reply(node, id, reply),
        Frame::Recover { id } => recovery::on_recover(node, from, id, reply),
        Frame::Recovered {
            id,
            keys,
            uncertain_us,
        } => recovery::on_recovered(node, id, keys.map(|keys| (keys, uncertain_us))),
        Frame::Release { by, key } => node.claims.borrow_mut().release(key, by),
        Frame::Ask { id, boot } => home_driver::on_query(node, id, boot, reply.clone()),
        Frame::Cancel { id } => home_driver::cancel(node, id),
        Frame::Heartbeat => reply.send(node, Frame::Alive { load: node.load() }),
        Frame::Refused {
            id,
            refusal,
            load,
            current,
        } => {
            let is_corrected =
                current.is_some_and(|current| correct_view(node, id, *current, reply));
            on_load_report(node, from, load);
            let event = match is_corrected {
                true => Event::Revoked(id),
                false => Event::Refused(id, refusal),
            };
            deliver(node, id, event);
        }
        Frame::Revoked { id, load } => {
            on_load_report(node, from, load);
            deliver(node, id, Event::Revoked(id));
        }
        Frame::Answered {
            id,
            answer,
            load,
            leaving,
        } => {
            on_load_report(node, from, load);
            if let Some(incarnation) = leaving {
                upstream_notices::on_remote_departure(node, from, &incarnation);
            }
            let error = answer.is_error();
            deliver(node, id, Event::Answered { id, answer, error });
        }
        Frame::Broken { id, load, ended } => {
            on_load_report(node, from, load);
            let event = match ended {
                Some(suspect) => containment::termination_event(node, id, suspect),
                None => Event::Broken(id),
            };
            deliver(node, id, event);
        }
        Frame::Straggles { id } => deliver(node, id, Event::Straggles(id)),
        Frame::Ended(suspects) => containment::on_suspects(node, from, suspects),
        Frame::Cleared { fingerprint, ran } => {
            containment::on_cleared(node, from, fingerprint, ran);
        }
        Frame::Told { id, reply } => on_query_reply(node, id, reply),
        Frame::Alive { load } => {
            on_load_report(node, from, load);
            node.entry.borrow_mut().mark_responsive(from);
        }
        Frame::Leaving { leaving } => {
            let now = node.now();
            node.entry.borrow_mut().set_draining(now, from, leaving);
        }
        Frame::Relay {
            id,
            remaining_us,
            waited_us,
            key,
            priority,
            revision,
            req,
        } => {
            let relay = relay::Relay {
                remaining_us,
                waited_us,
                key,
                priority,
                revision,
                req,
            };
            relay::on_relay(node, id, relay, reply.clone());
        }
        Frame::Relayed { id, outcome } => {
            relay::on_relayed(node, id, relay::RelayResult::Outcome(outcome));
        }
        Frame::Registered(record) => {
            if let Some(registration) = node.registration.clone() {
                let source = registration::Source::Announced(from, reply);
                registration::on_record(node, &registration, *record, source);
            }
        }
        Frame::Store(record) => {
            if let Some(registration) = node.registration.clone() {
                registration::store_for_peer(node, &registration, *record);
            }
        }
        Frame::RecordsDigest(digest) => {
            if let Some(registration) = &node.registration {
                registration::on_digest(node, registration, digest, reply);
            }
        }
        Frame::RecordBuckets(bytes) => {
            if let Some(registration) = &node.registration {
                registration::on_buckets(node, registration, &bytes, reply);
            }
        }
        Frame::RecordVersions(versions) => {
            if let Some(registration) = &node.registration {
                registration::on_versions(node, registration, &versions, reply);
            }
        }
        Frame::Records(records) => {
            if let Some(registration) = node.registration.clone() {
                for record in records {
                    let source = registration::Source::Compared(reply);
                    registration::on_record(node, &registration, record, source);
                }
            }
        }
        Frame::Summary(summary) => configuration::on_summary(node, from, &summary, reply),
        Frame::Watch { notice, summary } => {
            watching::on_notice(node, from, notice, &summary, reply)
        }
        Frame::Want(summary) => configuration::on_want(node, from, &summary, reply),
        Frame::Configuration(configuration) => {
            let (node, from) = (node.clone(), from.clone());
            crate::local::spawn(async move {
                let configuration = Arc::unwrap_or_clone(configuration);
                configuration::apply_revision(&node, configuration, Origin::Peer(from)).await;
            });
        }
        Frame::Vms(list) => configuration::apply_vm_list(node, (*list).clone()),
        Frame::Quota(message) => {
            let in_force = node.in_force();
            let accounts = in_force
                .as_ref()
                .map(|in_force| &in_force.declarations.accounts);
            let answer = node.quotas.on_message(node.now(), from, message, accounts);
            if let Some(answer) = answer {
                reply.send(node, Frame::Quota(answer));
            }
        }
    }
}

/// Applies the record with which the node on `record.vm` refused an attempt that was for another
/// upstream than its own. Returns whether its upstream is of the requested service, so that the
/// request may be offered there again.
fn correct_view(node: &Rc<Node>, id: AttemptId, record: Record, reply: &Reply) -> bool {
    let Some(registration) = node.registration.clone() else {
        return false;
    };
    let vm = record.vm.clone();
    if vm != node.cfg.vm {
        registration::on_misdirected(node, &registration, record, reply);
    }
    let waiters = node.waiters.borrow();
    waiters
        .get(&id)
        .is_some_and(|waiter| registration::serves(node, &vm, &waiter.service))
}

fn on_query_reply(node: &Rc<Node>, id: AttemptId, reply: QueryReply<crate::node::SharedAnswer>) {
    deliver(node, id, Event::QueryReplied(id, reply));
}
