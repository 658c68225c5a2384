//! The ports for traffic between instances. Without them an instance runs as one whose datagrams are all
//! lost: it hears of no other, and is not listed in the store.

use {
    crate::{front::state::State, startup::startup_background},
    camphorweir_relay::settings::Settings,
    std::{io, net::SocketAddr},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::SetOnce,
    },
};

/// The sockets, once they are bound.
#[derive(Debug, Default)]
pub struct Ports(SetOnce<Sockets>);

/// Sockets for traffic between instances.
#[derive(Debug)]
pub struct Sockets {
    /// For datagrams.
    pub digests: UdpSocket,
    /// For followers, and for requests that a peer can't serve.
    pub followers: TcpListener,
    /// Address of `digests`.
    pub digest_address: SocketAddr,
    /// Address of `followers`.
    pub follow_address: SocketAddr,
}

impl Ports {
    /// The sockets; `None` until they are bound.
    pub fn sockets(&self) -> Option<&Sockets> {
        self.0.get()
    }

    /// Waits until the sockets are bound.
    pub async fn bound(&self) -> &Sockets {
        self.0.wait().await
    }

    /// Sends a datagram if there is a socket and room in its buffer. Any datagram may be lost; later ones carry
    /// the same.
    pub fn send(&self, bytes: &[u8], address: SocketAddr) {
        if let Some(sockets) = self.sockets() {
            let _ = sockets.digests.try_send_to(bytes, address);
        }
    }
}

/// Binds the sockets, however long that takes.
pub async fn ports_run(state: State) {
    let ports = state.ports();
    if ports.sockets().is_some() {
        return;
    }
    let sockets = startup_background("peers' ports", || bind(state.settings())).await;
    if ports.0.set(sockets).is_err() {
        log::error!("peers' ports are bound twice");
    }
}

async fn bind(settings: &Settings) -> io::Result<Sockets> {
    let digests = bind_first_free(settings, UdpSocket::bind).await?;
    let followers = bind_first_free(settings, TcpListener::bind).await?;
    Ok(Sockets {
        digest_address: digests.local_addr()?,
        follow_address: followers.local_addr()?,
        digests,
        followers,
    })
}

/// Binds the first free port of the configured range; the error is that of the last port.
async fn bind_first_free<T>(
    settings: &Settings,
    bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
) -> io::Result<T> {
    let (first, last) = settings.peer_ports;
    let mut result = Err(io::ErrorKind::AddrNotAvailable.into());
    for port in first..=last {
        result = bind(SocketAddr::new(settings.callers_address.ip(), port)).await;
        if result.is_ok() {
            break;
        }
    }
    result
}
