//! Detection of a terminated upstream after a failed exchange.

use async_std::task::block_on;
use buffers::{Gate, Limits};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use upstream::{Pool, PortState};

const MEMORY_BYTES: usize = 160 * 1024 * 1024;
const MAX_BODY_BYTES: usize = 1_000;

fn gate() -> Rc<Gate> {
    Rc::new(Gate::new(Limits::new(MEMORY_BYTES)))
}

/// A terminating upstream may reset a connection while it closes its listening socket. When the reset
/// counted as one broken exchange, the request that had terminated the upstream was offered to the
/// next one.
#[test]
fn connect_errors_tell_the_state_of_the_port() {
    assert_eq!(
        PortState::from_connect_error(ErrorKind::ConnectionReset),
        PortState::Closing
    );
    assert_eq!(
        PortState::from_connect_error(ErrorKind::ConnectionRefused),
        PortState::Closed
    );
    assert_eq!(
        PortState::from_connect_error(ErrorKind::PermissionDenied),
        PortState::Unknown
    );
}

#[test]
fn upstream_with_a_closed_port_has_terminated_but_an_unresponsive_one_has_not() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("its address");
    let pool = Pool::new(address, 1, MAX_BODY_BYTES, true, gate());
    assert!(!block_on(pool.has_terminated()));
    drop(listener);
    assert!(block_on(pool.has_terminated()));
}
