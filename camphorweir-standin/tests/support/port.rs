//! Addresses on loopback for processes that bind them later.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// Below the ports that systems give to connections, so that none takes one in between.
const FIRST: u16 = 10_000;
/// Number of ports of a test process. It keeps the first bound, so that no other uses them: an address
/// is free between its choice and its use, and while its process is down.
const BLOCK: u16 = 500;
/// Number of such blocks.
const BLOCKS: u16 = 40;

static NEXT: AtomicU16 = AtomicU16::new(0);
static OWN: OnceLock<TcpListener> = OnceLock::new();

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Binds the first port of a block that no other test process has.
fn claim() -> TcpListener {
    let start = (std::process::id() % u32::from(BLOCKS)) as u16;
    let blocks = (0..BLOCKS).map(|turn| FIRST + (start + turn) % BLOCKS * BLOCK);
    let mut claimed = blocks.filter_map(|first| TcpListener::bind(loopback(first)).ok());
    claimed.next().expect("all blocks of ports are in use")
}

/// An address that nobody has bound.
pub(crate) fn free() -> SocketAddr {
    let first = OWN.get_or_init(claim).local_addr().unwrap().port();
    loop {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = loopback(first + 1 + turn % (BLOCK - 1));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
