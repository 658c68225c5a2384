//! What one entry does for all: records are appended again before retention drops them, and a few
//! entries of each zone read the configuration stream for the others.

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

/// Entries of a zone that follow the configuration stream.
const READERS: usize = 3;
/// Age at which a record that must last is appended again; retention exceeds [`MAX_KEY_AGE`].
const RENEW: Duration = Duration::from_secs(MAX_KEY_AGE.as_secs() / 3 * 2);
/// How much later the next in rank renews a record than the one before.
const RANK_WAIT: Duration = Duration::from_secs(600);
/// Time between two looks at what must be renewed; the look is linear in the keys held.
const LOOK: Duration = Duration::from_secs(60);

/// The state of this entry's duties.
#[derive(Debug, Default)]
pub(crate) struct Duty {
    /// When the configuration stream was last read; `None` after a failure.
    pub(crate) heard: Option<Duration>,
    /// The offset that a new reader must find, and when its record landed by the log's clock.
    anchor: Option<(Offset, Duration)>,
    /// When the readers of the configuration stream are chosen again; linear in the peers.
    choose: Duration,
    /// Targets that the platform's list shows as leaving, also ones not configured yet.
    pub(crate) leaving: BTreeSet<TargetId>,
    /// When the next look is due.
    look: Duration,
    /// When the configuration was last asked of a peer.
    asked: Option<Duration>,
    /// Whether this entry has stopped following the configuration stream.
    resting: bool,
    /// When the records that must last were last offered to peers.
    pub(crate) offered: Option<Duration>,
    /// Peers that have taken over the records of a nonce.
    pub(crate) taken: HashMap<Nonce, BTreeSet<EntryId>>,
}

impl Duty {
    /// A record of the configuration stream was read.
    pub(crate) fn read(&mut self, fold: &Fold, stored: &Stored) {
        let anchor = fold.oldest_required();
        if self.anchor.is_none_or(|(offset, _)| offset < anchor) {
            self.anchor = Some((anchor, Duration::from_millis(stored.time_ms)));
        }
    }
}

impl Core {
    /// Does what is due.
    pub(crate) fn do_duties(&mut self) {
        if self.now.mono >= self.duty.choose {
            self.duty.choose = self.now.mono + HEARTBEAT;
            self.choose_readers();
        }
        if self.now.mono < self.duty.look {
            return;
        }
        self.duty.look = self.now.mono + LOOK;
        self.renew_configuration();
        for number in 0..claim::PARTITIONS {
            self.partitions[number as usize].table.expire();
            self.renew_claims(number);
        }
    }

    /// The age at which this entry renews a record of a stream; the first in rank is the first.
    fn renewal(&self, stream: &str) -> Duration {
        let own = &self.setup.entry;
        let rank = self.members.rank(own, None, stream, self.now.mono);
        RENEW + RANK_WAIT * rank as u32
    }

    fn renew_configuration(&mut self) {
        let Some((_, landed)) = self.duty.anchor else {
            return;
        };
        if self.now.wall < landed + self.renewal(record::STREAM) {
            return;
        }
        if let Some(bytes) = self.checkpoint() {
            self.append(record::STREAM.to_owned(), bytes, false);
        }
    }

    /// Appends starts without an outcome again, so that no reader loses them.
    fn renew_claims(&mut self, number: u32) {
        let stream = claim::stream_name(number);
        let age = self.renewal(&stream);
        let unresolved = self.partitions[number as usize].table.unresolved();
        for Unresolved { key, live } in unresolved {
            if self.now.wall < live.landed + age {
                continue;
            }
            let record = Record {
                format: claim::FORMAT,
                key,
                nonce: live.nonce,
                body: claim::Body::Carry(Start {
                    owner: live.owner,
                    fingerprint: live.fingerprint,
                }),
            };
            self.append(stream.clone(), codec::encode(&record), false);
        }
    }

    /// Follows the configuration stream or leaves it to others of the zone.
    fn choose_readers(&mut self) {
        let (own, zone) = (&self.setup.entry, &self.setup.zone);
        let rank = self
            .members
            .rank(own, Some(zone), record::STREAM, self.now.mono);
        let rests = rank >= READERS && self.view.is_some();
        if rests == self.duty.resting {
            return;
        }
        self.duty.resting = rests;
        self.out.push(if rests {
            Action::Untail(record::STREAM.to_owned())
        } else {
            Action::Tail(record::STREAM.to_owned(), self.fold.next_offset())
        });
    }

    /// Whether this entry learns of configurations from the log.
    fn reads_configuration(&self) -> bool {
        let heard = |at| self.now.mono < at + HEARTBEAT * 4;
        !self.duty.resting && self.duty.heard.is_some_and(heard)
    }

    /// A peer has this version in force: it is asked for it where the log doesn't give it.
    pub(crate) fn want(&mut self, peer: &str, version: Version) {
        let now = self.now.mono;
        let asked = self.duty.asked.is_some_and(|at| now < at + HEARTBEAT);
        if version <= self.fold.version() || self.reads_configuration() || asked {
            return;
        }
        self.duty.asked = Some(now);
        self.write(peer, peer::Body::ConfigRequest(self.fold.version()));
    }
}
