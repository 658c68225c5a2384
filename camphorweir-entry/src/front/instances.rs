//! The other instances: those that the store lists, and those heard of otherwise.

use {
    crate::front::state::State,
    camphorweir_platform::store::Record,
    camphorweir_relay::{
        detour,
        ids::{Zone, ids_tag},
        permit::Candidate,
        roles::Member,
        senders::MAX_UNLISTED_SENDERS,
    },
    camphorweir_wire::{
        codec,
        digest::{Addresses, FORMATS, PERMIT_FORMATS},
        replication::List,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Number of instances of another zone that get summaries: its aggregator is one of the first in
/// the order, or has sent a summary itself.
const CROSS_ZONE_RECIPIENTS: usize = 2;

/// The other instances that the store lists, by name, and instances heard of otherwise.
#[derive(Debug, Default)]
pub struct Instances {
    listed: BTreeMap<String, Peer>,
    /// Digest addresses of instances of the zone that send digests and are not listed yet.
    unlisted: BTreeMap<String, SocketAddr>,
    /// Digest address of the last sender of a summary in each other zone.
    aggregators: BTreeMap<String, SocketAddr>,
}

/// Addresses of another instance, and its zone.
#[derive(Clone, Debug)]
struct Peer {
    digest_address: SocketAddr,
    follow_address: SocketAddr,
    zone: Zone,
    link_mbps: u32,
    formats: u32,
}

impl Instances {
    /// Applies records from the store; `snapshot` when they are the whole list. Returns how many
    /// instances are listed, this one included.
    pub fn apply(&mut self, state: &State, records: &[Record], snapshot: bool) -> usize {
        if snapshot {
            let keys: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
            self.listed.retain(|name, _| keys.contains(name.as_str()));
            self.unlisted.clear();
            state
                .feed()
                .retain_keys(List::Entries, |key| keys.contains(key));
        }
        for record in records {
            let value = record.value.as_ref();
            state.feed().apply_record(List::Entries, &record.key, value);
            match value.and_then(|value| parse_peer(value)) {
                Some(peer) if record.key != state.settings().instance => {
                    self.unlisted.remove(&record.key);
                    self.listed.insert(record.key.clone(), peer);
                }
                _ => drop(self.listed.remove(&record.key)),
            }
        }
        self.listed.len() + 1
    }

    /// Whether the store lists an instance.
    pub fn is_listed(&self, name: &str) -> bool {
        self.listed.contains_key(name)
    }

    /// The listed instances, as peers that can serve requests for this one.
    pub fn detour_peers(&self) -> Vec<detour::Peer> {
        let listed = self.listed.iter();
        let peers = listed.map(|(name, peer)| detour::Peer {
            name: name.as_str().into(),
            zone: peer.zone.clone(),
            address: peer.follow_address,
        });
        peers.collect()
    }

    /// The listed instances of a zone.
    pub fn in_zone(&self, zone: &str) -> impl Iterator<Item = Member> {
        let in_zone = self
            .listed
            .iter()
            .filter(move |(_, peer)| *peer.zone == *zone);
        in_zone.map(|(name, peer)| Member {
            name: name.clone(),
            address: peer.follow_address,
            link_mbps: peer.link_mbps,
        })
    }

    /// Name and digest address of each known instance of the own zone.
    pub fn zone_digest_addresses(&self, zone: &str) -> Vec<(String, SocketAddr)> {
        let listed = self.listed.iter().filter(|(_, peer)| *peer.zone == *zone);
        let listed = listed.map(|(name, peer)| (name.clone(), peer.digest_address));
        let unlisted = self.unlisted.iter();
        let unlisted = unlisted.map(|(name, address)| (name.clone(), *address));
        listed.chain(unlisted).collect()
    }

    /// Number of listed instances by the revision of their messages, this one included.
    pub fn by_formats(&self) -> BTreeMap<u32, u64> {
        let listed = self.listed.values().map(|peer| peer.formats);
        let mut counts = BTreeMap::new();
        for formats in listed.chain([FORMATS]) {
            *counts.entry(formats).or_default() += 1;
        }
        counts
    }

    /// The instances that give and ask for permits; `own` and its zone are those of this one, which has no
    /// address.
    pub fn permitted(&self, own: &str, own_zone: &Zone) -> Vec<Candidate<Option<SocketAddr>>> {
        let listed = self.listed.iter();
        let listed = listed.filter(|(_, peer)| peer.formats >= PERMIT_FORMATS);
        let listed = listed.map(|(name, peer)| Candidate {
            name: name.clone(),
            zone: peer.zone.clone(),
            address: Some(peer.digest_address),
        });
        let own = Candidate {
            name: own.to_owned(),
            zone: own_zone.clone(),
            address: None,
        };
        listed.chain([own]).collect()
    }

    /// Name and digest address of each known instance of all zones.
    pub fn digest_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let listed = self.listed.iter();
        let listed = listed.map(|(name, peer)| (name.clone(), peer.digest_address));
        let unlisted = self.unlisted.clone().into_iter();
        unlisted.chain(listed).collect()
    }

    /// Names of the known instances of each zone, without this one; `own_zone` has those that send digests.
    pub fn names_by_zone(&self, own_zone: &Zone) -> BTreeMap<Zone, BTreeSet<String>> {
        let mut zones: BTreeMap<Zone, BTreeSet<String>> = BTreeMap::new();
        for (name, peer) in &self.listed {
            let names = zones.entry(peer.zone.clone()).or_default();
            names.insert(name.clone());
        }
        let unlisted = self.unlisted.keys().cloned();
        zones.entry(own_zone.clone()).or_default().extend(unlisted);
        zones
    }

    /// Digest addresses in other zones that get summaries.
    pub fn cross_zone_addresses(&self, own_zone: &str) -> BTreeSet<SocketAddr> {
        let mut by_zone: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for (name, peer) in &self.listed {
            let instances = by_zone.entry(&peer.zone).or_default();
            instances.push((Reverse(peer.link_mbps), ids_tag(name), peer.digest_address));
        }
        by_zone.remove(own_zone);
        let mut recipients: BTreeSet<SocketAddr> = self.aggregators.values().copied().collect();
        for instances in by_zone.values_mut() {
            instances.sort_unstable();
            let first = instances.iter().take(CROSS_ZONE_RECIPIENTS);
            recipients.extend(first.map(|(_, _, address)| *address));
        }
        recipients
    }

    /// Records the sender of a summary for other zones, which is the aggregator of its zone.
    pub fn record_aggregator(&mut self, zone: &str, address: SocketAddr) {
        self.aggregators.insert(zone.to_owned(), address);
    }

    /// Records the sender of a digest, which may not be listed yet, or listed from before its last start.
    pub fn record_digest(&mut self, name: &str, address: SocketAddr) {
        match self.listed.get_mut(name) {
            Some(peer) => peer.digest_address = address,
            None if self.unlisted.len() < MAX_UNLISTED_SENDERS => {
                self.unlisted.insert(name.to_owned(), address);
            }
            None => {}
        }
    }
}

fn parse_peer(value: &[u8]) -> Option<Peer> {
    let addresses: Addresses = codec::decode(value).ok()?;
    Some(Peer {
        digest_address: addresses.digest.parse().ok()?,
        follow_address: addresses.follow.parse().ok()?,
        zone: addresses.zone.into(),
        link_mbps: addresses.link_mbps,
        formats: addresses.formats,
    })
}
