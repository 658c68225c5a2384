//! A relay that counts the bytes it carries, without the headers of TCP and IP.

use {
    crate::{Failure, fleet},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        task::JoinHandle,
    },
};

/// Bytes read at once.
const BUFFER: usize = 64 << 10;

/// A relay to one address; it closes its listener when it is dropped.
pub(crate) struct Relay {
    /// The port at which it listens, on all addresses.
    port: u16,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Result<Self, Failure> {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
        let port = listener.local_addr()?.port();
        let bytes = Arc::new(AtomicU64::new(0));
        let count = bytes.clone();
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(carry(near, target, count.clone()));
            }
        });
        Ok(Self { port, bytes, task })
    }

    /// Where it is reached, by one of many addresses.
    pub(crate) fn address(&self, number: usize) -> SocketAddr {
        fleet::alias(number, self.port)
    }

    /// Bytes carried so far, both ways together.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::join!(
        copy(near_in, far_out, bytes.clone()),
        copy(far_in, near_out, bytes)
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
        && to.write_all(&buffer[..count]).await.is_ok()
    {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
