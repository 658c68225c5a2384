//! Settings of an instance that forwards opaquely, with the time and retry bounds it must keep.

use {
    crate::{budget, ids::Zone},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness check for the balancer.
    pub ready: SocketAddr,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// First and last port that is free for traffic between instances.
    pub ports: (u16, u16),
    /// Number of file descriptors that sockets may use.
    pub sockets: usize,
    /// Bounds that the instance must keep.
    pub bounds: Bounds,
}

/// Bounds that an instance must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time within which every instance must refuse a revoked key.
    pub revoke: Duration,
    /// Retry budget of all instances together.
    pub repeats: budget::Policy,
}
