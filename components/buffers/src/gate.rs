//! Which connections hold memory, and which of them may read on.

use crate::choice::{choose_displaced, choose_evicted, Activity, Holding};
use crate::heap;
use crate::limits::Limits;
use names::Moment;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Kind of the peer for which memory is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Caller,
    Upstream,
    /// Another node.
    Peer,
}

impl Kind {
    /// Fixed lower-case name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Caller => "caller",
            Kind::Upstream => "upstream",
            Kind::Peer => "peer",
        }
    }
}

/// Stops connections from reading when the limit on memory is reached.
#[derive(Debug)]
pub struct Gate {
    limits: Limits,
    /// The time as of the last call of [`Gate::advance`].
    now: Cell<Moment>,
    holders: RefCell<BTreeMap<u64, Rc<State>>>,
    next_id: Cell<u64>,
    /// Connections of callers.
    callers: Cell<usize>,
    /// Bytes of messages that are arriving. Each message is copied once when it is passed on.
    arriving: Cell<usize>,
    /// Readers that wait for memory.
    blocked: RefCell<Vec<(u64, Waker)>>,
    /// Whether somebody waits for memory, and the task that frees it.
    is_pressed: Cell<bool>,
    reliever: RefCell<Option<Waker>>,
}

/// What one connection holds, for as long as it is open. Clones are for the same connection.
#[derive(Debug, Clone)]
pub struct Holder {
    registered: Rc<Registered>,
}

/// A connection that the gate closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    pub kind: Kind,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// What the connection held.
    pub holding: Holding,
}

/// Removes the holder when its last clone is dropped.
#[derive(Debug)]
struct Registered {
    gate: Rc<Gate>,
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    id: u64,
    kind: Kind,
    peer: SocketAddr,
    /// Bytes of the message that is arriving.
    received: Cell<usize>,
    /// Bytes of answers that wait to be read by the peer.
    queued: Cell<usize>,
    /// Requests that were read and not answered yet.
    open_requests: Cell<usize>,
    has_served: Cell<bool>,
    activity: Cell<Activity>,
    since: Cell<Moment>,
    fate: Cell<Fate>,
    /// Task that waits for the eviction.
    waker: RefCell<Option<Waker>>,
}

/// Whether a connection goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Open,
    /// Its message can't be taken: nothing else can be closed to make room.
    Refused,
    /// It is being closed.
    Evicted,
}

impl Gate {
    /// A gate without connections.
    pub fn new(limits: Limits) -> Gate {
        Gate {
            limits,
            now: Cell::new(Moment(0)),
            holders: RefCell::default(),
            next_id: Cell::new(0),
            callers: Cell::new(0),
            arriving: Cell::new(0),
            blocked: RefCell::default(),
            is_pressed: Cell::new(false),
            reliever: RefCell::default(),
        }
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Sets the time from which the activities of connections are dated. Coarse steps are enough.
    pub fn advance(&self, now: Moment) {
        self.now.set(now);
    }

    /// Registers a new connection to `peer`.
    pub fn register(self: &Rc<Gate>, kind: Kind, peer: SocketAddr) -> Holder {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = Rc::new(State {
            id,
            kind,
            peer,
            received: Cell::new(0),
            queued: Cell::new(0),
            open_requests: Cell::new(0),
            has_served: Cell::new(false),
            activity: Cell::new(Activity::Idle { has_served: false }),
            since: Cell::new(self.now.get()),
            fate: Cell::new(Fate::Open),
            waker: RefCell::default(),
        });
        self.holders.borrow_mut().insert(id, state.clone());
        if kind == Kind::Caller {
            self.callers.set(self.callers.get() + 1);
        }
        let registered = Rc::new(Registered {
            gate: self.clone(),
            state,
        });
        Holder { registered }
    }

    /// Bytes by which the memory in use exceeds the limit; 0 if it does not.
    pub fn excess(&self) -> usize {
        let limit = self.limits.heap_bytes(self.callers.get());
        (heap::allocated_bytes() + self.arriving.get()).saturating_sub(limit)
    }

    /// Whether a message of this size must not be taken on now.
    pub fn refuses(&self, bytes: usize) -> bool {
        bytes > Limits::ALLOWANCE_BYTES && self.excess() > 0
    }

    /// Starts the eviction if the limit is exceeded.
    pub fn check(&self) {
        if self.excess() > 0 {
            self.press();
        }
    }

    fn press(&self) {
        self.is_pressed.set(true);
        if let Some(waker) = self.reliever.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until memory runs short.
    pub async fn wait_for_pressure(&self) {
        poll_fn(|cx| {
            if self.is_pressed.get() {
                return Poll::Ready(());
            }
            *self.reliever.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Evicts connections until the limit is kept, and lets blocked readers go on as far as there is
    /// memory. Returns what was evicted. Called again and again while memory is short.
    pub fn relieve(&self) -> Vec<Closed> {
        let excess = self.excess();
        if excess == 0 {
            self.admit_blocked(self.limits.headroom_bytes());
            return Vec::new();
        }
        let needed = excess + self.limits.headroom_bytes();
        let evicted = self.evict(needed);
        if evicted.is_empty() {
            self.refuse_blocked();
        }
        evicted
    }

    fn evict(&self, needed: usize) -> Vec<Closed> {
        let now = self.now.get();
        let holdings = self.holdings(|state| state.kind != Kind::Peer);
        let chosen = choose_evicted(now, needed, Limits::ALLOWANCE_BYTES, &holdings);
        chosen.into_iter().filter_map(|id| self.close(id)).collect()
    }

    /// Closes a connection in favour of a new one; none if all are in use.
    pub fn displace_caller(&self) -> Option<Closed> {
        let holdings = self.holdings(|state| state.kind == Kind::Caller);
        let id = choose_displaced(self.now.get(), &holdings)?;
        self.close(id)
    }

    /// What the open connections that `filter` selects hold, apart from those that are being closed.
    fn holdings(&self, filter: impl Fn(&State) -> bool) -> Vec<Holding> {
        let holders = self.holders.borrow();
        let open = holders.values().filter(|state| {
            let is_open = state.fate.get() != Fate::Evicted;
            is_open && filter(state)
        });
        open.map(|state| state.holding()).collect()
    }

    fn close(&self, id: u64) -> Option<Closed> {
        let state = self.holders.borrow().get(&id).cloned()?;
        state.fate.set(Fate::Evicted);
        self.wake(id);
        if let Some(waker) = state.waker.borrow_mut().take() {
            waker.wake();
        }
        Some(Closed {
            kind: state.kind,
            peer: state.peer,
            holding: state.holding(),
        })
    }

    /// Wakes the reader of a connection if it waits for memory.
    fn wake(&self, id: u64) {
        let mut blocked = self.blocked.borrow_mut();
        if let Some(index) = blocked.iter().position(|(other, _)| *other == id) {
            blocked.swap_remove(index).1.wake();
        }
    }

    /// Wakes as many blocked readers as `bytes` bytes allow for, first those that hold the least.
    fn admit_blocked(&self, bytes: usize) {
        let mut blocked = std::mem::take(&mut *self.blocked.borrow_mut());
        let holders = self.holders.borrow();
        let received = |id: &u64| holders.get(id).map_or(0, |state| state.received.get());
        blocked.sort_by_cached_key(|(id, _)| received(id));
        let count = (bytes / Limits::ALLOWANCE_BYTES).max(1).min(blocked.len());
        let rest = blocked.split_off(count);
        for (_, waker) in blocked {
            waker.wake();
        }
        self.is_pressed.set(!rest.is_empty());
        *self.blocked.borrow_mut() = rest;
    }

    /// Tells blocked readers of callers that their messages can't be taken.
    fn refuse_blocked(&self) {
        let blocked = std::mem::take(&mut *self.blocked.borrow_mut());
        let holders = self.holders.borrow();
        for (id, waker) in blocked {
            match holders.get(&id) {
                Some(state) if state.kind == Kind::Caller => {
                    state.fate.set(Fate::Refused);
                    waker.wake();
                }
                _ => self.blocked.borrow_mut().push((id, waker)),
            }
        }
        // Work that is being served ends by itself and frees its memory.
        self.is_pressed.set(true);
    }
}

impl Holder {
    /// Bytes of the message that has begun to arrive.
    pub fn received_bytes(&self) -> usize {
        self.state().received.get()
    }

    /// Whether the answers that wait on this connection use up its share.
    pub fn exceeds_share(&self) -> bool {
        self.state().queued.get() > self.gate().limits.share_bytes()
    }

    /// The message that was arriving is complete or abandoned.
    pub fn message_ended(&self) {
        let arriving = &self.gate().arriving;
        arriving.set(arriving.get() - self.state().received.replace(0));
        self.update();
    }

    /// A complete request waits for its answer.
    pub fn request_opened(&self) {
        let open = &self.state().open_requests;
        open.set(open.get() + 1);
        self.update();
    }

    /// A request was answered.
    pub fn request_closed(&self) {
        let state = self.state();
        state.open_requests.set(state.open_requests.get() - 1);
        state.has_served.set(true);
        self.update();
    }

    /// An answer of this size waits until the peer has read it.
    pub fn answer_queued(&self, bytes: usize) {
        let queued = &self.state().queued;
        queued.set(queued.get() + bytes);
        self.update();
        self.gate().check();
    }

    /// An answer of this size was written, or its connection has ended.
    pub fn answer_written(&self, bytes: usize) {
        let queued = &self.state().queued;
        queued.set(queued.get() - bytes);
        self.update();
    }

    /// Waits until the connection has to be closed.
    pub async fn evicted(&self) {
        poll_fn(|cx| {
            if self.state().fate.get() == Fate::Evicted {
                return Poll::Ready(());
            }
            *self.state().waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Waits until this connection may read on.
    pub(crate) fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<Fate> {
        let (gate, state) = (self.gate(), self.state());
        let fate = state.fate.get();
        if fate != Fate::Open || state.received.get() <= Limits::ALLOWANCE_BYTES {
            return Poll::Ready(fate);
        }
        let tolerated = match state.kind {
            Kind::Caller | Kind::Upstream => 0,
            Kind::Peer => gate.limits.peer_bytes(),
        };
        if gate.excess() <= tolerated {
            return Poll::Ready(fate);
        }
        let mut blocked = gate.blocked.borrow_mut();
        blocked.retain(|(id, _)| *id != state.id);
        blocked.push((state.id, cx.waker().clone()));
        drop(blocked);
        gate.press();
        Poll::Pending
    }

    /// Has the reader of an upstream's answer woken when its connection is evicted. The connections of
    /// callers wait for that themselves.
    pub(crate) fn wake_when_evicted(&self, cx: &Context<'_>) {
        let state = self.state();
        if state.kind == Kind::Upstream && state.received.get() > Limits::ALLOWANCE_BYTES {
            *state.waker.borrow_mut() = Some(cx.waker().clone());
        }
    }

    /// Counts bytes that were read.
    pub(crate) fn add_received(&self, bytes: usize) {
        let (gate, state) = (self.gate(), self.state());
        state.received.set(state.received.get() + bytes);
        gate.arriving.set(gate.arriving.get() + bytes);
        self.update();
    }

    fn update(&self) {
        self.state().update(self.gate().now.get());
    }

    fn gate(&self) -> &Gate {
        &self.registered.gate
    }

    fn state(&self) -> &State {
        &self.registered.state
    }
}

impl State {
    fn holding(&self) -> Holding {
        Holding {
            id: self.id,
            activity: self.activity.get(),
            since: self.since.get(),
            bytes: self.received.get() + self.queued.get(),
        }
    }

    /// Sets the activity that follows from what the connection holds.
    fn update(&self, now: Moment) {
        let activity = if self.queued.get() > 0 {
            Activity::Sending
        } else if self.open_requests.get() > 0 {
            Activity::Serving
        } else if self.received.get() > 0 {
            Activity::Receiving
        } else {
            let has_served = self.has_served.get();
            Activity::Idle { has_served }
        };
        if self.activity.replace(activity) != activity {
            self.since.set(now);
        }
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        let (gate, state) = (&self.gate, &self.state);
        gate.holders.borrow_mut().remove(&state.id);
        gate.arriving
            .set(gate.arriving.get() - state.received.get());
        if state.kind == Kind::Caller {
            gate.callers.set(gate.callers.get() - 1);
        }
    }
}
