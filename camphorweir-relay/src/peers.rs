//! Load of other instances, from their digests.
//!
//! A lost or late digest only makes the load appear smaller for a moment; targets refuse requests
//! that exceed their memory.

use {
    crate::ids::Time,
    camphorweir_wire::digest::{Digest, MEMORY_UNIT_TOKEN_LAYERS},
    std::{collections::HashMap, time::Duration},
};

/// Time without a digest after which the load of a peer counts as zero: its streams end within some
/// seconds, and a process that has ended has none.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Load of all peers together on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that pass through the target.
    pub streams: f64,
    /// Streams of which the target is the first hop.
    pub first_hops: f64,
    /// Memory that the streams reserve on the target, in tokens times layers.
    pub token_layers: f64,
}

#[derive(Clone, Debug)]
struct Received {
    digest: Digest,
    received_at: Time,
}

/// The newest digest of each peer.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    latest: HashMap<String, Received>,
    /// Load by tag of the target.
    loads: HashMap<u32, Load>,
}

impl Peers {
    /// Applies a digest unless its sender's latest one is newer; returns whether it was applied.
    pub fn apply(&mut self, digest: Digest, now: Time) -> bool {
        let is_outdated = self.latest.get(&digest.entry).is_some_and(|latest| {
            latest.digest.incarnation == digest.incarnation
                && latest.digest.sequence >= digest.sequence
        });
        if is_outdated {
            return false;
        }
        let name = digest.entry.clone();
        self.latest.insert(
            name,
            Received {
                digest,
                received_at: now,
            },
        );
        self.sum_loads(now);
        true
    }

    /// Drops peers that timed out and sums the load of the others.
    ///
    /// Linear in peers times targets, which are at most those of the own zone and a sample of the
    /// others.
    fn sum_loads(&mut self, now: Time) {
        self.latest
            .retain(|_, received| now.saturating_sub(received.received_at) < PEER_TIMEOUT);
        self.loads.clear();
        let loads = self
            .latest
            .values()
            .flat_map(|received| &received.digest.loads);
        for load in loads {
            let sum = self.loads.entry(load.target).or_default();
            sum.streams += f64::from(load.streams);
            sum.first_hops += f64::from(load.first_stage);
            sum.token_layers += f64::from(load.memory) * MEMORY_UNIT_TOKEN_LAYERS;
        }
    }

    /// Load of all peers together on the target with this tag.
    pub fn load(&self, tag: u32) -> Load {
        self.loads.get(&tag).copied().unwrap_or_default()
    }

    /// Time since the last digest of a peer; `None` for an unknown peer.
    pub fn time_since_digest(&self, name: &str, now: Time) -> Option<Duration> {
        let received = self.latest.get(name)?;
        Some(now.saturating_sub(received.received_at))
    }

    /// Number of peers with a recent digest.
    pub fn count(&self) -> usize {
        self.latest.len()
    }
}
