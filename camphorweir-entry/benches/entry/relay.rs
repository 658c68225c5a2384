//! A TCP relay that counts the payload bytes it forwards, without the headers of TCP and IP.

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

/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// A relay to one address; its listener is closed on drop.
pub(crate) struct Relay {
    /// The port on which the relay listens, on all addresses.
    port: u16,
    bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) async fn start(target: SocketAddr) -> Result<Self, Failure> {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
        let port = listener.local_addr()?.port();
        let bytes = Arc::new(AtomicU64::new(0));
        let count = bytes.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, count.clone()));
            }
        });
        Ok(Self { port, bytes, task })
    }

    /// Returns the address of the relay for this number; each number has another one.
    pub(crate) fn address(&self, number: usize) -> SocketAddr {
        fleet::loopback_alias(number, self.port)
    }

    /// Returns the bytes forwarded so far, in both directions together.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(client: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::join!(
        copy(client_reader, server_writer, bytes.clone()),
        copy(server_reader, client_writer, bytes)
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await
        && count > 0
        && to.write_all(&buffer[..count]).await.is_ok()
    {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
