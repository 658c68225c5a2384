//! The other entries, by their heartbeats and the platform's list.

use {
    crate::{hash, leave},
    camphorweir_wire::{
        claim::Owner,
        ids::{EntryId, Incarnation},
        peer::Digest,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time between two heartbeats to a peer.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence after which a peer is taken for unreachable.
pub const SILENCE: Duration = Duration::from_secs(3);
/// Time that an entry is missing from the platform's list before it is taken for gone.
const MISSING: Duration = Duration::from_secs(15);

/// What is known of one other entry.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Where its peers' listener is, by the platform's list.
    pub address: String,
    /// Its life, by its last heartbeat.
    pub incarnation: Option<Incarnation>,
    /// When it was last heard.
    pub heard: Option<Duration>,
    /// Its last heartbeat's content.
    pub digest: Digest,
    /// Whether it is leaving.
    pub leaving: leave::State,
    /// Since when the platform's list lacks it.
    missing: Option<Duration>,
}

/// What is known of the owner of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It was heard lately.
    Alive,
    /// It is another life now, or the platform has dropped it: it can't send any more.
    Gone,
    /// It can't be reached; it may be cut off.
    Silent,
}

/// The other entries by name.
#[derive(Debug, Default)]
pub struct Table {
    peers: BTreeMap<EntryId, Peer>,
    /// When the platform's list was last read; without it nobody is taken for gone.
    listed: bool,
}

impl Table {
    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryId, &Peer)> {
        self.peers.iter()
    }

    /// One peer.
    pub fn get(&self, entry: &str) -> Option<&Peer> {
        self.peers.get(entry)
    }

    /// The platform's list shows these entries, each with address and whether it is leaving.
    pub fn list(&mut self, entries: &[(EntryId, String, bool)], now: Duration) {
        self.listed = true;
        for (id, address, leaving) in entries {
            let peer = self.peers.entry(id.clone()).or_default();
            peer.address.clone_from(address);
            peer.missing = None;
            if *leaving {
                peer.leaving.list_leaving();
            } else {
                peer.leaving.list_live();
            }
        }
        for (id, peer) in &mut self.peers {
            if !entries.iter().any(|(listed, ..)| listed == id) {
                peer.missing.get_or_insert(now);
                peer.leaving.list_leaving();
            }
        }
    }

    /// A peer's heartbeat came.
    pub fn heard(&mut self, from: &str, incarnation: Incarnation, digest: Digest, now: Duration) {
        let peer = self.peers.entry(from.to_owned()).or_default();
        peer.leaving.greet(incarnation);
        if digest.leaving {
            peer.leaving.say(incarnation);
        }
        peer.incarnation = Some(incarnation);
        peer.heard = Some(now);
        peer.digest = digest;
    }

    /// A message other than a heartbeat came.
    pub fn met(&mut self, from: &str, incarnation: Incarnation, now: Duration) {
        let peer = self.peers.entry(from.to_owned()).or_default();
        peer.leaving.greet(incarnation);
        peer.incarnation = Some(incarnation);
        peer.heard = Some(now);
    }

    /// The place of an entry among itself and the live peers for a duty that one of them has, by
    /// rendezvous hashing; the first is 0. With a zone only its peers count. Linear in the peers.
    pub fn rank(&self, own: &str, zone: Option<&str>, duty: &str, now: Duration) -> usize {
        let weight = |entry: &str| hash::hash64(&[entry.as_bytes(), duty.as_bytes()]);
        let mine = weight(own);
        self.live(now)
            .filter(|(_, peer)| zone.is_none_or(|zone| peer.digest.zone == zone))
            .filter(|(id, _)| weight(id) > mine)
            .count()
    }

    /// What became of the owner of a start.
    pub fn fate(&self, owner: &Owner, now: Duration) -> Fate {
        let Some(peer) = self.peers.get(&owner.entry) else {
            return Fate::Silent;
        };
        if peer
            .incarnation
            .is_some_and(|now_is| now_is != owner.incarnation)
        {
            return Fate::Gone;
        }
        let heard = peer.heard.is_some_and(|at| now < at + SILENCE);
        if heard {
            return Fate::Alive;
        }
        match peer.missing {
            Some(since) if self.listed && now >= since + MISSING => Fate::Gone,
            _ => Fate::Silent,
        }
    }

    /// Peers that are heard and not leaving.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&EntryId, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            let heard = peer.heard.is_some_and(|at| now < at + SILENCE);
            heard && !peer.leaving.is_leaving()
        })
    }
}
