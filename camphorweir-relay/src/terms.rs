//! The settings of an entry that forwards opaquely, and the promises that bound it.

use {
    crate::{budget, ids::Zone},
    std::{net::SocketAddr, time::Duration},
};

/// What an entry is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the entry is ready.
    pub ready: SocketAddr,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Ports free for traffic between entries, first and last.
    pub ports: (u16, u16),
    /// Descriptors that sockets may use.
    pub sockets: usize,
    /// The promises.
    pub bounds: Bounds,
}

/// Promises with a time or a number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// A revoked key stops within this time on every entry.
    pub revoke: Duration,
    /// Repeats allowed over all entries.
    pub repeats: budget::Terms,
}
