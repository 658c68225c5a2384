//! Digests between entries, in datagrams; losing some does no harm.

use {
    crate::{
        front::{
            client::Client,
            state::State,
            watch::{RETRY_BACKOFF, read_newest},
        },
        supervise::Backoff,
    },
    camphorweir_platform::store::{ENTRIES_TOPIC, Record, store_put},
    camphorweir_wire::{
        codec,
        digest::{Card, Digest},
        follow::List,
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

/// Pause between digests to entries of the same zone: about the time between two streams there.
const NEAR: Duration = Duration::from_millis(100);
/// Digests to other zones are sent once for this many to the own zone, as bytes between zones are
/// dear and streams go there only when the own zone is worse.
const FAR: u64 = 10;
/// Bytes a second that digests may take, a part of the 13 KB that an entry has for control.
const RATE: f64 = 9_000.0;
/// Largest datagram that passes every link whole.
const DATAGRAM: usize = 1_400;
/// Pause between reads of the list of entries: a new one is known to all within it.
const CARDS_PAUSE: Duration = Duration::from_secs(4);
/// Time for the store to answer.
const ANSWER: Duration = Duration::from_millis(700);

/// The entries that the store lists, by name.
#[derive(Debug, Default)]
pub struct Entries(BTreeMap<String, Peer>);

/// Another entry.
#[derive(Clone, Copy, Debug)]
struct Peer {
    address: SocketAddr,
    follow: SocketAddr,
    same_zone: bool,
}

impl Entries {
    /// Takes records in; returns how many entries are listed, this one included.
    pub fn apply(&mut self, state: &State, records: &[Record], whole: bool) -> usize {
        let settings = state.settings();
        if whole {
            let keys: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
            self.0.retain(|name, _| keys.contains(name.as_str()));
            state
                .feed()
                .retain_keys(List::Entries, |key| keys.contains(key));
        }
        for record in records {
            let value = record.value.as_ref();
            state.feed().apply_record(List::Entries, &record.key, value);
            let peer = value.and_then(|value| peer(&settings.zone, value));
            match peer {
                Some(peer) if record.key != settings.instance => {
                    self.0.insert(record.key.clone(), peer);
                }
                _ => drop(self.0.remove(&record.key)),
            }
        }
        self.0.len() + 1
    }

    /// The entries of the own zone, with where they can be followed.
    pub fn same_zone(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let same_zone = self.0.iter().filter(|(_, peer)| peer.same_zone);
        same_zone.map(|(name, peer)| (name.as_str(), peer.follow))
    }
}

fn peer(zone: &str, value: &[u8]) -> Option<Peer> {
    let card: Card = codec::decode(value).ok()?;
    Some(Peer {
        address: card.address.parse().ok()?,
        follow: card.follow.parse().ok()?,
        same_zone: card.zone == zone,
    })
}

/// Opens the socket for digests on the first free port of the settings.
///
/// # Errors
///
/// That of the last port when none can be bound.
pub async fn bind_digests(state: &State) -> io::Result<Arc<UdpSocket>> {
    first_free(state, UdpSocket::bind).await
}

/// Opens the listener for followers on the first free port of the settings.
///
/// # Errors
///
/// That of the last port when none can be bound.
pub async fn bind_followers(state: &State) -> io::Result<Arc<TcpListener>> {
    first_free(state, TcpListener::bind).await
}

async fn first_free<T>(
    state: &State,
    bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
) -> io::Result<Arc<T>> {
    let settings = state.settings();
    let (first, last) = settings.ports;
    let mut result = Err(io::ErrorKind::AddrNotAvailable.into());
    for port in first..=last {
        result = bind(SocketAddr::new(settings.callers.ip(), port)).await;
        if result.is_ok() {
            break;
        }
    }
    result.map(Arc::new)
}

/// Tells the store how peers reach this entry, and sends digests to those it lists, for ever.
pub async fn gossip_run(state: State, socket: Arc<UdpSocket>, follow: SocketAddr) {
    tokio::join!(
        list(&state, &socket, follow),
        send(&state, &socket),
        receive(&state, &socket),
    );
}

async fn list(state: &State, socket: &UdpSocket, follow: SocketAddr) {
    let mut client = Client::new(state.settings().store);
    let mut told = false;
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    loop {
        if !told {
            told = tell(state, socket, follow, &mut client).await;
        }
        if state.is_store_reader() {
            match read_newest(&mut client, ENTRIES_TOPIC).await {
                Ok(batch) => state.apply_entries(&batch.records, true),
                Err(fault) => log::debug!(reason:% = fault; "list of entries not read"),
            }
        }
        sleep(if told { CARDS_PAUSE } else { backoff.pause() }).await;
    }
}

async fn tell(state: &State, socket: &UdpSocket, follow: SocketAddr, client: &mut Client) -> bool {
    let Ok(address) = socket.local_addr() else {
        return false;
    };
    let card = Card {
        address: address.to_string(),
        follow: follow.to_string(),
        zone: state.settings().zone.to_string(),
    };
    let value = codec::encode(&card);
    let Some(call) = store_put(ENTRIES_TOPIC, &state.settings().instance, &value) else {
        return false;
    };
    match client.call(call, ANSWER).await {
        Ok((200, _)) => true,
        Ok((status, _)) => {
            log::warn!(status = status; "entry not listed");
            false
        }
        Err(fault) => {
            log::warn!(reason:% = fault; "entry not listed");
            false
        }
    }
}

async fn send(state: &State, socket: &UdpSocket) {
    let life = rand::random();
    let mut number = 0;
    let mut ticks = interval(NEAR);
    loop {
        ticks.tick().await;
        let digest = state.router().digest(state.now());
        let digest = Digest {
            entry: state.settings().instance.clone(),
            life,
            number,
            ..digest
        };
        let bytes = codec::encode(&digest);
        if bytes.len() > DATAGRAM {
            log::warn!(bytes = bytes.len(); "digest is too large to send");
        } else {
            let chosen: Vec<Peer> = {
                let entries = state.entries();
                let peers = (0..).zip(entries.0.values().copied());
                // Those far away take turns, so that no round is much larger than the others.
                let due = peers.filter(|(turn, peer)| peer.same_zone || turn % FAR == number % FAR);
                due.map(|(_, peer)| peer).collect()
            };
            for peer in &chosen {
                // A full socket buffer drops this digest; the next one says the same.
                let _ = socket.try_send_to(&bytes, peer.address);
            }
            // Keeps the rate within its bound where there are many peers.
            let sent = (bytes.len() * chosen.len()) as f64;
            sleep(Duration::from_secs_f64(sent / RATE).saturating_sub(NEAR)).await;
            ticks.reset();
        }
        number += 1;
    }
}

async fn receive(state: &State, socket: &UdpSocket) {
    let mut buffer = vec![0; 2 * DATAGRAM];
    loop {
        let Ok(count) = socket.recv(&mut buffer).await else {
            sleep(NEAR).await;
            continue;
        };
        match codec::decode::<Digest>(&buffer[..count]) {
            Ok(digest) => state.router().heard(digest, state.now()),
            Err(error) => log::debug!(reason:% = error; "datagram is no digest"),
        }
    }
}
