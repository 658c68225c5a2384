//! Addresses on loopback for processes that bind them later.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// Below the ports that systems give to connections, so that none takes one in between.
const FIRST: u16 = 10_000;
/// Ports that are used, in turn.
const COUNT: u16 = 20_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address that nobody has bound.
pub(crate) fn free() -> SocketAddr {
    // Tests that run at the same time begin in different places.
    let start = (std::process::id() % 199) as u16 * 100;
    loop {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start + turn % COUNT) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
