//! Gossip between instances: load digests in UDP datagrams, of which any may be lost.

use {
    crate::{
        front::{
            client::Client,
            state::State,
            watch::{RETRY_BACKOFF, read_newest},
        },
        supervise::Backoff,
    },
    camphorweir_platform::store::{INSTANCES_TOPIC, Record, store_append_call},
    camphorweir_wire::{
        codec,
        digest::{Addresses, Digest},
        replication::List,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        time::{interval, sleep},
    },
};

/// Pause between digests to instances of the same zone: about the time between the starts of two
/// streams there.
const DIGEST_PAUSE: Duration = Duration::from_millis(100);
/// Number of digests to the own zone for each digest to other zones, as traffic between zones is
/// expensive and streams go there only when the own zone is worse.
const CROSS_ZONE_ROUNDS: u64 = 10;
/// Limit on digest traffic, in bytes per second; part of the 13 KB that an instance has for control
/// traffic.
const MAX_BYTES_PER_SECOND: f64 = 9_000.0;
/// Largest datagram, in bytes, that passes every link without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Pause between reads of the list of instances, and so the time until all know a new instance.
const LIST_PAUSE: Duration = Duration::from_secs(4);
/// Timeout of a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// The other instances that the store lists, by name.
#[derive(Debug, Default)]
pub struct Instances(BTreeMap<String, Peer>);

/// Addresses of another instance, and whether it is in the same zone.
#[derive(Clone, Copy, Debug)]
struct Peer {
    digest_address: SocketAddr,
    follow_address: SocketAddr,
    same_zone: bool,
}

impl Instances {
    /// Applies records from the store; `snapshot` when they are the whole list. Returns how many
    /// instances are listed, this one included.
    pub fn apply(&mut self, state: &State, records: &[Record], snapshot: bool) -> usize {
        let settings = state.settings();
        if snapshot {
            let keys: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
            self.0.retain(|name, _| keys.contains(name.as_str()));
            state
                .feed()
                .retain_keys(List::Entries, |key| keys.contains(key));
        }
        for record in records {
            let value = record.value.as_ref();
            state.feed().apply_record(List::Entries, &record.key, value);
            let peer = value.and_then(|value| parse_peer(&settings.zone, value));
            match peer {
                Some(peer) if record.key != settings.instance => {
                    self.0.insert(record.key.clone(), peer);
                }
                _ => drop(self.0.remove(&record.key)),
            }
        }
        self.0.len() + 1
    }

    /// Name and follow address of each instance in the same zone.
    pub fn same_zone(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let same_zone = self.0.iter().filter(|(_, peer)| peer.same_zone);
        same_zone.map(|(name, peer)| (name.as_str(), peer.follow_address))
    }
}

fn parse_peer(zone: &str, value: &[u8]) -> Option<Peer> {
    let card: Addresses = codec::decode(value).ok()?;
    Some(Peer {
        digest_address: card.digest.parse().ok()?,
        follow_address: card.follow.parse().ok()?,
        same_zone: card.zone == zone,
    })
}

/// Binds the UDP socket for digests to the first free port of the configured range.
///
/// # Errors
///
/// The error of the last port when none can be bound.
pub async fn bind_digests(state: &State) -> io::Result<Arc<UdpSocket>> {
    bind_first_free(state, UdpSocket::bind).await
}

/// Binds the listener for followers to the first free port of the configured range.
///
/// # Errors
///
/// The error of the last port when none can be bound.
pub async fn bind_followers(state: &State) -> io::Result<Arc<TcpListener>> {
    bind_first_free(state, TcpListener::bind).await
}

async fn bind_first_free<T>(
    state: &State,
    bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
) -> io::Result<Arc<T>> {
    let settings = state.settings();
    let (first, last) = settings.peer_ports;
    let mut result = Err(io::ErrorKind::AddrNotAvailable.into());
    for port in first..=last {
        result = bind(SocketAddr::new(settings.callers_address.ip(), port)).await;
        if result.is_ok() {
            break;
        }
    }
    result.map(Arc::new)
}

/// Registers this instance in the store and exchanges digests with the other instances; never
/// returns.
pub async fn gossip_run(state: State, socket: Arc<UdpSocket>, follow_address: SocketAddr) {
    tokio::join!(
        sync_instances(&state, &socket, follow_address),
        send_digests(&state, &socket),
        receive_digests(&state, &socket),
    );
}

async fn sync_instances(state: &State, socket: &UdpSocket, follow_address: SocketAddr) {
    let mut client = Client::new(state.settings().store_address);
    let mut registered = false;
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    loop {
        if !registered {
            registered = register(state, socket, follow_address, &mut client).await;
        }
        if state.is_store_reader() {
            match read_newest(&mut client, INSTANCES_TOPIC).await {
                Ok(batch) => state.apply_instances(&batch.records, true),
                Err(error) => log::debug!(reason:% = error; "list of instances could not be read"),
            }
        }
        sleep(if registered {
            LIST_PAUSE
        } else {
            backoff.next_delay()
        })
        .await;
    }
}

async fn register(
    state: &State,
    socket: &UdpSocket,
    follow_address: SocketAddr,
    client: &mut Client,
) -> bool {
    let Ok(address) = socket.local_addr() else {
        return false;
    };
    let card = Addresses {
        digest: address.to_string(),
        follow: follow_address.to_string(),
        zone: state.settings().zone.to_string(),
    };
    let value = codec::encode(&card);
    let Some(call) = store_append_call(INSTANCES_TOPIC, &state.settings().instance, &value) else {
        return false;
    };
    match client.call(call, STORE_TIMEOUT).await {
        Ok((200, _)) => true,
        Ok((status, _)) => {
            log::warn!(status = status; "could not register this instance in the store");
            false
        }
        Err(error) => {
            log::warn!(reason:% = error; "could not register this instance in the store");
            false
        }
    }
}

async fn send_digests(state: &State, socket: &UdpSocket) {
    let incarnation = rand::random();
    let mut number = 0;
    let mut ticks = interval(DIGEST_PAUSE);
    loop {
        ticks.tick().await;
        let digest = state.router().digest(state.now());
        let digest = Digest {
            entry: state.settings().instance.clone(),
            incarnation,
            sequence: number,
            ..digest
        };
        let bytes = codec::encode(&digest);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::warn!(bytes = bytes.len(); "digest exceeds the datagram size limit; not sent");
        } else {
            let recipients: Vec<Peer> = {
                let instances = state.instances();
                let peers = (0..).zip(instances.0.values().copied());
                // Instances in other zones are spread over the rounds, so that no round is much
                // larger than the others.
                let due = peers.filter(|(index, peer)| {
                    peer.same_zone || index % CROSS_ZONE_ROUNDS == number % CROSS_ZONE_ROUNDS
                });
                due.map(|(_, peer)| peer).collect()
            };
            for peer in &recipients {
                // A full socket buffer drops this digest; the next one carries the same state.
                let _ = socket.try_send_to(&bytes, peer.digest_address);
            }
            // Keeps the rate within its limit where there are many peers.
            let bytes_sent = (bytes.len() * recipients.len()) as f64;
            sleep(
                Duration::from_secs_f64(bytes_sent / MAX_BYTES_PER_SECOND)
                    .saturating_sub(DIGEST_PAUSE),
            )
            .await;
            ticks.reset();
        }
        number += 1;
    }
}

async fn receive_digests(state: &State, socket: &UdpSocket) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok(count) = socket.recv(&mut buffer).await else {
            sleep(DIGEST_PAUSE).await;
            continue;
        };
        match codec::decode::<Digest>(&buffer[..count]) {
            Ok(digest) => state.router().apply_digest(digest, state.now()),
            Err(error) => log::debug!(reason:% = error; "datagram is not a valid digest"),
        }
    }
}
