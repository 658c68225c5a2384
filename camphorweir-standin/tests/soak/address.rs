//! Addresses of an entry, and what else holds them.

use {
    crate::port::free,
    rand::{Rng, rngs::SmallRng},
    std::net::{SocketAddr, UdpSocket},
    tokio::net::TcpSocket,
};

/// Ports that an entry has for its peers: one process uses one for datagrams and one for connections.
const PEER_PORTS: u16 = 4;
/// How many of them something else may have for good.
const TAKEN_PEER_PORTS: u16 = 2;

/// Which ports the entries of a deployment have.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ports {
    /// Whether there is a range for peers, some of which something else has for good.
    peers: bool,
    peers_taken: bool,
    /// The same of the port of metrics.
    metrics: bool,
    metrics_taken: bool,
}

/// An address that something else may hold for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Place {
    Callers,
    Ready,
    Metrics,
    /// All ports of the range for peers.
    Peers,
}

/// Addresses of an entry.
pub(crate) struct Addresses {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: Option<u16>,
    /// The first and the last; zero leaves them to the system.
    pub(crate) peers: (u16, u16),
    _taken: Vec<Holder>,
}

/// Sockets that are bound and serve nobody: the address is taken, and who connects to it is refused.
pub(crate) struct Holder {
    _connections: Option<TcpSocket>,
    _datagrams: Option<UdpSocket>,
}

impl Ports {
    /// Draws some.
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        let peers = rng.random_bool(0.7);
        let metrics = rng.random_bool(0.7);
        Self {
            peers,
            peers_taken: peers && rng.random_bool(0.4),
            metrics,
            metrics_taken: metrics && rng.random_bool(0.4),
        }
    }
}

impl Addresses {
    /// Chooses free ones, and takes those that something else has for good.
    pub(crate) fn choose(ports: Ports) -> Self {
        let callers = free();
        let peers = if ports.peers { free_range() } else { (0, 0) };
        let metrics = ports.metrics.then(|| free().port());
        let peers_taken = ports
            .peers_taken
            .then(|| peers.0..peers.0 + TAKEN_PEER_PORTS);
        let metrics_taken = metrics.filter(|_| ports.metrics_taken);
        let taken = peers_taken.into_iter().flatten().chain(metrics_taken);
        Self {
            callers,
            ready: free(),
            metrics,
            peers,
            _taken: taken.map(|port| Holder::bind(at(callers, port))).collect(),
        }
    }

    /// Holds what is free of a place; an entry without it gives nothing to hold.
    pub(crate) fn hold(&self, place: Place) -> Vec<Holder> {
        let range = self.peers.0..=self.peers.1;
        let addresses: Vec<SocketAddr> = match place {
            Place::Callers => vec![self.callers],
            Place::Ready => vec![self.ready],
            Place::Metrics => self
                .metrics
                .map(|port| at(self.callers, port))
                .into_iter()
                .collect(),
            Place::Peers => {
                let ports = range.filter(|port| *port != 0);
                ports.map(|port| at(self.callers, port)).collect()
            }
        };
        addresses.into_iter().map(Holder::bind).collect()
    }
}

impl Holder {
    /// Binds what is free of an address.
    fn bind(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        // Connections of an earlier process may linger there.
        socket.set_reuseaddr(true).unwrap();
        let is_bound = socket.bind(address).is_ok();
        // Nobody else binds it from now on.
        socket.set_reuseaddr(false).unwrap();
        Self {
            _connections: is_bound.then_some(socket),
            _datagrams: UdpSocket::bind(address).ok(),
        }
    }
}

fn at(address: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(address.ip(), port)
}

/// Free ports in a row: the first and the last.
fn free_range() -> (u16, u16) {
    let first = free().port();
    let mut range = (first, first);
    while range.1 - range.0 + 1 < PEER_PORTS {
        let next = free().port();
        // Another test of this process may have taken one in between.
        range = if next == range.1 + 1 {
            (range.0, next)
        } else {
            (next, next)
        };
    }
    range
}
