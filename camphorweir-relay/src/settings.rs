//! Settings of an instance that forwards opaquely, with the time and retry bounds it must keep.

use {
    crate::{budget, ids::Zone},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address at which callers connect.
    pub callers_address: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub ready_address: SocketAddr,
    /// Address of the metadata store.
    pub store_address: SocketAddr,
    /// Local address of connections to targets; the system's choice if `None`.
    pub target_source: Option<IpAddr>,
    /// First and last port that is free for traffic between instances.
    pub peer_ports: (u16, u16),
    /// Bandwidth of the instance's link in Mbit/s.
    pub link_mbps: u32,
    /// Number of file descriptors that sockets may use; below 2^32.
    pub max_sockets: usize,
    /// Memory of the machine in bytes; `None` where the settings name none, and nothing is limited by it.
    pub memory_bytes: Option<usize>,
    /// Bounds that the instance must keep.
    pub bounds: Bounds,
}

/// Bounds that an instance must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// Time after which a target that said that it leaves must get no more requests.
    pub drain: Duration,
    /// Time after which an instance that could not reach the store must know what changed meanwhile.
    pub contact: Duration,
    /// Time within which every instance must refuse a revoked key.
    pub key_revocation: Duration,
    /// Retry budget of all instances together.
    pub retry_budget: budget::Policy,
}
