//! A fixed number of connections at one port, where a new one takes the place of the oldest.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// The connections at one port.
#[derive(Debug)]
pub struct Places {
    /// Name of the port for logs and metrics.
    port: &'static str,
    max: usize,
    /// The open connections, the oldest first. Closing the channel of one displaces it.
    open: RefCell<VecDeque<(u64, SocketAddr, Sender<()>)>>,
    next_id: Cell<u64>,
}

/// The place of one connection, until it is dropped.
#[derive(Debug)]
pub struct Place {
    places: Rc<Places>,
    id: u64,
    displaced: Receiver<()>,
}

impl Places {
    /// Up to `max` places at `port`.
    pub fn new(port: &'static str, max: usize) -> Rc<Places> {
        Rc::new(Places {
            port,
            max,
            open: RefCell::default(),
            next_id: Cell::new(0),
        })
    }

    /// Takes a place for a new connection of `peer`.
    pub fn enter(self: &Rc<Places>, peer: SocketAddr) -> Place {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (tx, displaced) = async_channel::bounded(1);
        let mut open = self.open.borrow_mut();
        if open.len() >= self.max {
            if let Some((_, peer, _)) = open.pop_front() {
                audit::port_connection_closed(self.port, peer);
            }
        }
        open.push_back((id, peer, tx));
        Place {
            places: self.clone(),
            id,
            displaced,
        }
    }
}

impl Place {
    /// Waits until a new connection has taken this place.
    pub async fn displaced(&self) {
        // Nothing is ever sent; the call returns when the channel closes.
        self.displaced.recv().await.ok();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places
            .open
            .borrow_mut()
            .retain(|(id, _, _)| *id != self.id);
    }
}
