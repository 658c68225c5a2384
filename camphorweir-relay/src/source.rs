//! Choice of the data source: one instance of a zone reads the store, the others follow it.
//!
//! Calls to the store are paid for and limited over all instances, so their number must not grow
//! with the number of instances in a zone.

use {
    crate::ids::{Time, ids_tag},
    std::{net::SocketAddr, time::Duration},
};

/// Time without a digest after which a peer is not followed. Peers of a large zone send about one
/// digest a second and some are lost; a failed peer is noticed sooner, when it does not answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// After a failure of the peer, the store is read for this long.
const PEER_BACKOFF: Duration = Duration::from_secs(3);
/// After a failure of the store, a peer is followed for this long before the next try.
const STORE_BACKOFF: Duration = Duration::from_secs(2);
/// Longest age of the data of a followed peer; a peer with older data has itself lost the store.
/// Above the age of a healthy peer's data, which is at most the wait and the response time of one
/// read.
const MAX_PEER_AGE: Duration = Duration::from_millis(2400);

/// A peer of the same zone.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the peer.
    pub name: String,
    /// Address at which the peer can be followed.
    pub address: SocketAddr,
    /// Time since the last digest of the peer.
    pub time_since_digest: Duration,
}

/// Where this instance reads the configuration and the lists from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer that reads the store.
    Peer(SocketAddr),
}

/// Recent failures of the sources.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// When a peer last failed.
    peer_failed_at: Option<Time>,
    /// When the store last failed.
    store_failed_at: Option<Time>,
}

impl Selector {
    /// The source to use now. The instance of the zone whose tag is lowest reads the store; the
    /// others follow it. An instance whose reads of the store fail also follows a peer, as the
    /// store may still answer that peer.
    pub fn select(&self, own: &str, peers: &[Peer], now: Time) -> Source {
        let is_within = |at: Option<Time>, time| at.is_some_and(|at| now.saturating_sub(at) < time);
        if is_within(self.peer_failed_at, PEER_BACKOFF) {
            return Source::Store;
        }
        let rank = |name: &str| (ids_tag(name), name.to_owned());
        let live = peers
            .iter()
            .filter(|peer| peer.time_since_digest < PEER_TIMEOUT);
        let first = live.min_by_key(|peer| rank(&peer.name));
        let store_down = is_within(self.store_failed_at, STORE_BACKOFF);
        match first {
            Some(peer) if store_down || rank(&peer.name) < rank(own) => Source::Peer(peer.address),
            _ => Source::Store,
        }
    }

    /// Records that a peer did not answer, or does not read the store itself.
    pub fn record_peer_failure(&mut self, now: Time) {
        self.peer_failed_at = Some(now);
    }

    /// Records that the store did not answer or refused.
    pub fn record_store_failure(&mut self, now: Time) {
        self.store_failed_at = Some(now);
    }

    /// Checks the age of a peer's data; returns whether the data can be used, and records a failure
    /// of the peer if not.
    pub fn check_peer_age(&mut self, age: Duration, now: Time) -> bool {
        let is_fresh = age < MAX_PEER_AGE;
        if !is_fresh {
            self.record_peer_failure(now);
        }
        is_fresh
    }
}
