//! Duties that some entries perform for all: appending records again before retention drops them,
//! and reading the configuration stream for the other entries of the zone.

use {
    crate::{action::Action, claim::Unresolved, core::Core, member::HEARTBEAT},
    camphorweir_config::{
        fold::Fold,
        model::{TargetId, Version},
        record,
    },
    camphorweir_wire::{
        claim::{self, MAX_KEY_AGE, Record, Start},
        codec,
        ids::{EntryId, Nonce, Offset},
        log::Stored,
        peer,
    },
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Number of entries in each zone that follow the configuration stream.
const READERS_PER_ZONE: usize = 3;
/// Age at which a record that must outlive retention is appended again; retention exceeds
/// [`MAX_KEY_AGE`].
const RENEW_AGE: Duration = Duration::from_secs(MAX_KEY_AGE.as_secs() / 3 * 2);
/// How much later an entry renews a record than the entry one rank before it.
const RANK_DELAY: Duration = Duration::from_secs(600);
/// Interval between two scans for records to renew; a scan is linear in the keys in memory.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);

/// The state of this entry's duties.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    /// When the configuration stream was last read; `None` after a failure.
    pub(crate) last_read: Option<Duration>,
    /// The offset that a new reader must find, and when the record there was appended, by the log's
    /// clock.
    anchor: Option<(Offset, Duration)>,
    /// When the readers of the configuration stream are chosen next; choosing is linear in the
    /// peers.
    next_choice: Duration,
    /// Targets that the platform's list shows as leaving, also ones not configured yet.
    pub(crate) leaving_targets: BTreeSet<TargetId>,
    /// When the next scan for records to renew is due.
    next_scan: Duration,
    /// When a peer was last asked for its configuration.
    requested_at: Option<Duration>,
    /// Whether this entry leaves the configuration stream to other entries of its zone.
    delegated: bool,
    /// When the records that must reach the log were last offered to peers.
    pub(crate) offered_at: Option<Duration>,
    /// The peers that have accepted the records with a nonce.
    pub(crate) accepted_by: HashMap<Nonce, BTreeSet<EntryId>>,
}

impl Duty {
    /// Updates the anchor after a record of the configuration stream was read.
    pub(crate) fn track_anchor(&mut self, fold: &Fold, stored: &Stored) {
        let anchor = fold.oldest_required();
        if self.anchor.is_none_or(|(offset, _)| offset < anchor) {
            self.anchor = Some((anchor, Duration::from_millis(stored.time_ms)));
        }
    }
}

impl Core {
    /// Performs the duties that are due.
    pub(crate) fn do_duties(&mut self) {
        if self.now.mono >= self.duty.next_choice {
            self.duty.next_choice = self.now.mono + HEARTBEAT;
            self.choose_readers();
        }
        if self.now.mono < self.duty.next_scan {
            return;
        }
        self.duty.next_scan = self.now.mono + SCAN_INTERVAL;
        self.renew_configuration();
        for number in 0..claim::PARTITIONS {
            self.partitions[number as usize].table.expire();
            self.renew_claims(number);
        }
    }

    /// The age at which this entry renews a record of a stream; it grows with the rank.
    fn renewal_age(&self, stream: &str) -> Duration {
        let own = &self.setup.entry;
        let rank = self.members.rank(own, None, stream, self.now.mono);
        RENEW_AGE + RANK_DELAY * rank as u32
    }

    fn renew_configuration(&mut self) {
        let Some((_, appended_at)) = self.duty.anchor else {
            return;
        };
        if self.now.wall < appended_at + self.renewal_age(record::STREAM) {
            return;
        }
        if let Some(bytes) = self.checkpoint() {
            self.append(record::STREAM.to_owned(), bytes, false);
        }
    }

    /// Appends starts without an outcome again, so that retention does not drop them.
    fn renew_claims(&mut self, number: u32) {
        let stream = claim::stream_name(number);
        let age = self.renewal_age(&stream);
        let unresolved = self.partitions[number as usize].table.unresolved();
        for Unresolved { key, start } in unresolved {
            if self.now.wall < start.appended_at + age {
                continue;
            }
            let record = Record {
                format: claim::FORMAT,
                key,
                nonce: start.nonce,
                body: claim::Body::Carry(Start {
                    owner: start.owner,
                    fingerprint: start.fingerprint,
                }),
            };
            self.append(stream.clone(), codec::encode(&record), false);
        }
    }

    /// Follows the configuration stream, or leaves it to other entries of the zone.
    fn choose_readers(&mut self) {
        let (own, zone) = (&self.setup.entry, &self.setup.zone);
        let rank = self
            .members
            .rank(own, Some(zone), record::STREAM, self.now.mono);
        let delegate = rank >= READERS_PER_ZONE && self.view.is_some();
        if delegate == self.duty.delegated {
            return;
        }
        self.duty.delegated = delegate;
        self.out.push(if delegate {
            Action::Untail(record::STREAM.to_owned())
        } else {
            Action::Tail(record::STREAM.to_owned(), self.fold.next_offset())
        });
    }

    /// Whether this entry reads the configuration stream successfully.
    fn reads_configuration(&self) -> bool {
        let is_recent = |at| self.now.mono < at + HEARTBEAT * 4;
        !self.duty.delegated && self.duty.last_read.is_some_and(is_recent)
    }

    /// Requests a newer version that a peer has in force, unless this entry reads the log itself.
    pub(crate) fn request_configuration(&mut self, peer: &str, version: Version) {
        let now = self.now.mono;
        let requested = self
            .duty
            .requested_at
            .is_some_and(|at| now < at + HEARTBEAT);
        if version <= self.fold.version() || self.reads_configuration() || requested {
            return;
        }
        self.duty.requested_at = Some(now);
        self.send_to_peer(peer, peer::Body::ConfigRequest(self.fold.version()));
    }
}
