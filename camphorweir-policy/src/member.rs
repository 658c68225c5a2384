//! The other entries, as known from their messages and the platform's instance list.

use {
    crate::{hash, leave},
    camphorweir_wire::{
        claim::Owner,
        ids::{EntryId, Incarnation},
        peer::Digest,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Interval between two heartbeats to a peer.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time without a message after which a peer counts as unreachable.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);
/// Time missing from the platform's list after which an unreachable entry counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(15);

/// What is known of one other entry.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Address of the entry's listener for peers, from the platform's list.
    pub address: String,
    /// The incarnation in the entry's last message.
    pub incarnation: Option<Incarnation>,
    /// When the entry's last message arrived.
    pub last_contact: Option<Duration>,
    /// The content of the entry's last heartbeat.
    pub digest: Digest,
    /// Whether the entry is leaving.
    pub leaving: leave::State,
    /// Since when the entry is missing from the platform's list.
    missing_since: Option<Duration>,
}

/// Whether the owner of a start may still be running it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The owner sent a message lately.
    Alive,
    /// The owner has restarted, or is unreachable and missing from the platform's list, so it sends
    /// nothing any more.
    Gone,
    /// The owner can't be reached; it may be partitioned from this entry and still run.
    Unreachable,
}

/// The other entries by name.
#[derive(Debug, Default)]
pub struct Table {
    peers: BTreeMap<EntryId, Peer>,
    /// Whether the platform's list has been read; until then no entry that is missing from it counts
    /// as gone.
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

    /// Applies the platform's list of entries, each with its address and whether it is leaving.
    pub fn apply_list(&mut self, entries: &[(EntryId, String, bool)], now: Duration) {
        self.listed = true;
        for (id, address, leaving) in entries {
            let peer = self.peers.entry(id.clone()).or_default();
            peer.address.clone_from(address);
            peer.missing_since = None;
            if *leaving {
                peer.leaving.mark_listed_leaving();
            } else {
                peer.leaving.mark_listed_live();
            }
        }
        for (id, peer) in &mut self.peers {
            if !entries.iter().any(|(listed, ..)| listed == id) {
                peer.missing_since.get_or_insert(now);
                peer.leaving.mark_listed_leaving();
            }
        }
    }

    /// Notes a peer's heartbeat.
    pub fn record_heartbeat(
        &mut self,
        from: &str,
        incarnation: Incarnation,
        digest: Digest,
        now: Duration,
    ) {
        let peer = self.peers.entry(from.to_owned()).or_default();
        peer.leaving.observe_incarnation(incarnation);
        if digest.leaving {
            peer.leaving.mark_announced(incarnation);
        }
        peer.incarnation = Some(incarnation);
        peer.last_contact = Some(now);
        peer.digest = digest;
    }

    /// Notes a message of a peer other than a heartbeat.
    pub fn record_contact(&mut self, from: &str, incarnation: Incarnation, now: Duration) {
        let peer = self.peers.entry(from.to_owned()).or_default();
        peer.leaving.observe_incarnation(incarnation);
        peer.incarnation = Some(incarnation);
        peer.last_contact = Some(now);
    }

    /// The rank of this entry, `own`, among itself and the live peers for a duty, by rendezvous
    /// hashing; the highest is 0. With a zone only the peers in that zone count. Linear in the
    /// peers.
    pub fn rank(&self, own: &str, zone: Option<&str>, duty: &str, now: Duration) -> usize {
        let weight = |entry: &str| hash::hash64(&[entry.as_bytes(), duty.as_bytes()]);
        let own_weight = weight(own);
        self.live(now)
            .filter(|(_, peer)| zone.is_none_or(|zone| peer.digest.zone == zone))
            .filter(|(id, _)| weight(id) > own_weight)
            .count()
    }

    /// The liveness of the owner of a start.
    pub fn owner_liveness(&self, owner: &Owner, now: Duration) -> Liveness {
        let Some(peer) = self.peers.get(&owner.entry) else {
            return Liveness::Unreachable;
        };
        if peer
            .incarnation
            .is_some_and(|current| current != owner.incarnation)
        {
            return Liveness::Gone;
        }
        let reachable = peer
            .last_contact
            .is_some_and(|at| now < at + UNREACHABLE_AFTER);
        if reachable {
            return Liveness::Alive;
        }
        match peer.missing_since {
            Some(since) if self.listed && now >= since + GONE_AFTER => Liveness::Gone,
            _ => Liveness::Unreachable,
        }
    }

    /// The peers that are reachable and not leaving.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&EntryId, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            let reachable = peer
                .last_contact
                .is_some_and(|at| now < at + UNREACHABLE_AFTER);
            reachable && !peer.leaving.is_leaving()
        })
    }
}
