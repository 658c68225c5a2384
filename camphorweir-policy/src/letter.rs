//! What entries ask of each other beside heartbeats: what became of a start, a configuration, and
//! to take over records that must last.

use {
    crate::{
        action::Action,
        claim as fold,
        core::Core,
        member::HEARTBEAT,
        request::{Body, Stage},
    },
    camphorweir_config::{fold::Effect, record},
    camphorweir_wire::{
        claim::{self, Key},
        codec,
        ids::{EntryId, Incarnation, Nonce},
        peer::{self, StartStatus},
    },
    std::collections::BTreeSet,
};

/// Peers that must have taken over a record before a stop goes on without the log; fewer where
/// fewer are live.
const TAKERS: usize = 2;

impl Core {
    /// Sends a message to a peer whose address is known.
    pub(crate) fn write(&mut self, peer: &str, body: peer::Body) {
        let address = self.members.get(peer).map(|peer| peer.address.clone());
        if let Some(address) = address.filter(|address| !address.is_empty()) {
            self.out
                .push(Action::SendToPeer(peer.to_owned(), address, body));
        }
    }

    /// A message other than a heartbeat came.
    pub(crate) fn letter(&mut self, from: &str, incarnation: Incarnation, body: peer::Body) {
        self.members.met(from, incarnation, self.now.mono);
        match body {
            peer::Body::Digest(_) => {}
            peer::Body::StartQuery(key, nonce) => {
                let standing = self.standing(&key, nonce);
                self.write(from, peer::Body::StartStatus(key, nonce, standing));
            }
            peer::Body::StartStatus(key, ..) => self.told(from, incarnation, &key),
            peer::Body::Append(records) => self.take_over(from, records),
            peer::Body::AppendAccepted(nonces) => self.taken_over(from, &nonces),
            peer::Body::ConfigRequest(version) => {
                if self.fold.version() > version
                    && let Some(bytes) = self.checkpoint()
                {
                    self.write(from, peer::Body::Config(bytes));
                }
            }
            peer::Body::Config(bytes) => self.adopt(&bytes),
        }
    }

    /// What became of a start of this life.
    fn standing(&self, key: &Key, nonce: Nonce) -> StartStatus {
        let ids = self.keys.get(&key.id).into_iter().flatten();
        let mut stages = ids.filter_map(|id| match &self.requests.get(id)?.body {
            Body::Once(once) => Some(&once.stage),
            Body::Stream(_) | Body::Plain(_) => None,
        });
        let running = stages.any(|stage| match stage {
            Stage::Claiming(own) | Stage::Sent { nonce: own, .. } => *own == nonce,
            Stage::Waiting => false,
        });
        let mut kept = self.outbox.kept();
        if running {
            StartStatus::Running
        } else if kept.any(|(_, parcel)| speaks_of(&parcel.bytes, nonce)) {
            StartStatus::Ending
        } else {
            StartStatus::UnknownHere
        }
    }

    /// An owner answered: another incarnation than the start's settles what callers wait for.
    ///
    /// Any other answer is left alone; acting on it would ask again at once, without end.
    fn told(&mut self, from: &str, incarnation: Incarnation, key: &Key) {
        let table = &self.partitions[key.partition() as usize].table;
        let gone = match table.status(key.id) {
            fold::Status::Started(live) => {
                live.owner.entry == from && live.owner.incarnation != incarnation
            }
            _ => false,
        };
        let Some(ids) = self.keys.get(&key.id).filter(|_| gone).cloned() else {
            return;
        };
        for id in ids {
            self.evaluate(id);
        }
    }

    /// Takes over a configuration that a peer has in force.
    fn adopt(&mut self, bytes: &[u8]) {
        let Ok(record) = codec::decode::<record::Record>(bytes) else {
            return;
        };
        let record::Body::Checkpoint(checkpoint) = record.body else {
            return;
        };
        if record.format <= record::FORMAT
            && matches!(
                self.fold.apply_peer_checkpoint(checkpoint),
                Effect::Checkpoint(_)
            )
        {
            self.configure();
        }
    }

    /// A peer that stops can't reach the log: its records are appended from here.
    fn take_over(&mut self, from: &str, records: Vec<claim::Record>) {
        let mut nonces = Vec::new();
        for record in records {
            nonces.push(record.nonce);
            let bytes = codec::encode(&record);
            if self.outbox.kept().any(|(_, parcel)| parcel.bytes == bytes) {
                continue;
            }
            self.append(claim::stream_name(record.key.partition()), bytes, true);
        }
        self.write(from, peer::Body::AppendAccepted(nonces));
    }

    fn taken_over(&mut self, from: &str, nonces: &[Nonce]) {
        if self.duty.offered.is_none() {
            return;
        }
        let live = self.members.live(self.now.mono).count();
        for nonce in nonces {
            let takers = self.duty.taken.entry(*nonce).or_default();
            takers.insert(from.to_owned());
            if takers.len() >= TAKERS.min(live.max(1)) {
                self.outbox.hand_over(|bytes| speaks_of(bytes, *nonce));
            }
        }
    }

    /// Offers the records that must last to all live peers while the log does not take them.
    pub(crate) fn hand_over(&mut self) {
        let now = self.now.mono;
        let offered = self.duty.offered.is_some_and(|at| now < at + HEARTBEAT);
        if self.outbox.is_clear() || !self.outbox.is_failing() || offered {
            return;
        }
        self.duty.offered = Some(now);
        let records: Vec<claim::Record> = self
            .outbox
            .kept()
            .filter_map(|(_, parcel)| codec::decode(&parcel.bytes).ok())
            .collect();
        let peers: BTreeSet<EntryId> = self.members.live(now).map(|(id, _)| id.clone()).collect();
        for peer in peers {
            self.write(&peer, peer::Body::Append(records.clone()));
        }
    }
}

/// Whether a record is a claim record about a start.
fn speaks_of(bytes: &[u8], nonce: Nonce) -> bool {
    codec::decode::<claim::Record>(bytes).is_ok_and(|record| record.nonce == nonce)
}
