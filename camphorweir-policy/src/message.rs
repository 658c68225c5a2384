//! Messages between entries other than heartbeats: queries about a start, transfer of a
//! configuration, and handover of records that must reach the log.

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

/// Number of peers that must have accepted a record before a stopping entry drops it unappended;
/// all live peers where there are fewer.
const HANDOVER_PEERS: usize = 2;

impl Core {
    /// Sends a message to a peer whose address is known.
    pub(crate) fn send_to_peer(&mut self, peer: &str, body: peer::Body) {
        let address = self.members.get(peer).map(|peer| peer.address.clone());
        if let Some(address) = address.filter(|address| !address.is_empty()) {
            self.out
                .push(Action::SendToPeer(peer.to_owned(), address, body));
        }
    }

    /// Handles a message other than a heartbeat.
    pub(crate) fn handle_other_peer_message(
        &mut self,
        from: &str,
        incarnation: Incarnation,
        body: peer::Body,
    ) {
        self.members
            .record_contact(from, incarnation, self.now.mono);
        match body {
            peer::Body::Digest(_) => {}
            peer::Body::StartQuery(key, nonce) => {
                let standing = self.start_status(&key, nonce);
                self.send_to_peer(from, peer::Body::StartStatus(key, nonce, standing));
            }
            peer::Body::StartStatus(key, ..) => self.handle_owner_answer(from, incarnation, &key),
            peer::Body::Append(records) => self.append_for_peer(from, records),
            peer::Body::AppendAccepted(nonces) => self.records_accepted(from, &nonces),
            peer::Body::ConfigRequest(version) => {
                if self.fold.version() > version
                    && let Some(bytes) = self.checkpoint()
                {
                    self.send_to_peer(from, peer::Body::Config(bytes));
                }
            }
            peer::Body::Config(bytes) => self.adopt_configuration(&bytes),
        }
    }

    /// Status, at this incarnation of the entry, of the never-repeat call that it may have recorded
    /// as started under `nonce`.
    fn start_status(&self, key: &Key, nonce: Nonce) -> StartStatus {
        let ids = self.requests_by_key.get(&key.id).into_iter().flatten();
        let mut stages = ids.filter_map(|id| match &self.requests.get(id)?.body {
            Body::NeverRepeat(call) => Some(&call.stage),
            Body::Stream(_) | Body::Plain(_) => None,
        });
        let running = stages.any(|stage| match stage {
            Stage::Claiming(own) | Stage::Sent { nonce: own, .. } => *own == nonce,
            Stage::Waiting => false,
        });
        let mut unconfirmed = self.outbox.unconfirmed();
        if running {
            StartStatus::Running
        } else if unconfirmed.any(|(_, entry)| is_record_of(&entry.bytes, nonce)) {
            StartStatus::Ending
        } else {
            StartStatus::UnknownHere
        }
    }

    /// Handles an owner's answer about a start. Only the incarnation matters, not the status: if
    /// the owner has been restarted, the requests that wait for the start are evaluated again.
    ///
    /// Any other answer is ignored: evaluating the requests would query the owner again at once,
    /// without end.
    fn handle_owner_answer(&mut self, from: &str, incarnation: Incarnation, key: &Key) {
        let table = &self.partitions[key.partition() as usize].table;
        let restarted = match table.status(key.id) {
            fold::Status::Started(start) => {
                start.owner.entry == from && start.owner.incarnation != incarnation
            }
            _ => false,
        };
        let Some(ids) = self
            .requests_by_key
            .get(&key.id)
            .filter(|_| restarted)
            .cloned()
        else {
            return;
        };
        for id in ids {
            self.evaluate_key(id);
        }
    }

    /// Adopts a configuration that a peer has in force.
    fn adopt_configuration(&mut self, bytes: &[u8]) {
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

    /// Appends records for a stopping peer whose own appends fail.
    fn append_for_peer(&mut self, from: &str, records: Vec<claim::Record>) {
        let mut nonces = Vec::new();
        for record in records {
            nonces.push(record.nonce);
            let bytes = codec::encode(&record);
            if self
                .outbox
                .unconfirmed()
                .any(|(_, entry)| entry.bytes == bytes)
            {
                continue;
            }
            self.append(claim::stream_name(record.key.partition()), bytes, true);
        }
        self.send_to_peer(from, peer::Body::AppendAccepted(nonces));
    }

    /// Drops records that enough peers have accepted.
    fn records_accepted(&mut self, from: &str, nonces: &[Nonce]) {
        if self.duty.offered_at.is_none() {
            return;
        }
        let live = self.members.live(self.now.mono).count();
        for nonce in nonces {
            let acceptors = self.duty.accepted_by.entry(*nonce).or_default();
            acceptors.insert(from.to_owned());
            if acceptors.len() >= HANDOVER_PEERS.min(live.max(1)) {
                self.outbox
                    .drop_accepted(|bytes| is_record_of(bytes, *nonce));
            }
        }
    }

    /// While appends fail, offers the records that must reach the log to all live peers, at most
    /// once every [`HEARTBEAT`].
    pub(crate) fn offer_records(&mut self) {
        let now = self.now.mono;
        let offered = self.duty.offered_at.is_some_and(|at| now < at + HEARTBEAT);
        if self.outbox.is_drained() || !self.outbox.is_failing() || offered {
            return;
        }
        self.duty.offered_at = Some(now);
        let records: Vec<claim::Record> = self
            .outbox
            .unconfirmed()
            .filter_map(|(_, entry)| codec::decode(&entry.bytes).ok())
            .collect();
        let peers: BTreeSet<EntryId> = self.members.live(now).map(|(id, _)| id.clone()).collect();
        for peer in peers {
            self.send_to_peer(&peer, peer::Body::Append(records.clone()));
        }
    }
}

/// Whether an encoded record is a claim record about the start with this nonce.
fn is_record_of(bytes: &[u8], nonce: Nonce) -> bool {
    codec::decode::<claim::Record>(bytes).is_ok_and(|record| record.nonce == nonce)
}
