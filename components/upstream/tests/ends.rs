//! How the end of an upstream is told from the end of one exchange.

use async_std::task::block_on;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use upstream::{Pool, PortState};

const MAX_BODY_BYTES: usize = 1_000;

/// A connection that was reset while an ending upstream closed its port passed for one broken exchange: the request that had
/// ended it was given to the next upstream.
#[test]
fn a_connection_that_is_reset_as_the_port_closes_is_looked_into_again() {
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
fn an_upstream_whose_port_is_closed_has_ended_and_one_that_says_nothing_has_not() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("its address");
    let pool = Pool::new(address, 1, MAX_BODY_BYTES, true);
    assert!(!block_on(pool.has_terminated()));
    drop(listener);
    assert!(block_on(pool.has_terminated()));
}
