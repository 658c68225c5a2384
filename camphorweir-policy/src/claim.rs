//! The fold of the claim streams: which start of a key may run, with the same result at every
//! reader.

use {
    camphorweir_config::model::WorkspaceId,
    camphorweir_wire::{
        claim::{Body, FORMAT, Key, MAX_CLOCK_SKEW, MAX_KEY_AGE, Owner, Record, Start},
        codec,
        ids::{Nonce, Offset},
        log::Stored,
        outcome::Answer,
    },
    serde::de::IgnoredAny,
    std::{collections::HashMap, time::Duration},
};

/// What the log says about a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Status<'a> {
    /// The key has no live start.
    Free,
    /// The first live start; its call runs or ran, and its outcome is not recorded.
    Started(&'a LiveStart),
    /// The call ran; its recorded answer.
    Done(&'a Answer),
    /// The call is settled without an answer: by an operator, or by a record that it ran.
    Resolved {
        /// Whether the call ran.
        ran: bool,
    },
}

/// A start that no record has made void.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveStart {
    /// The nonce of the start.
    pub nonce: Nonce,
    /// The entry that appended the start.
    pub owner: Owner,
    /// Hash of the request.
    pub fingerprint: u64,
    /// When the start was appended, by the log service's clock, since the Unix epoch.
    pub appended_at: Duration,
    /// Whether a record says that the outcome is unknown.
    pub unknown: bool,
}

/// A key with a live start and no recorded outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Unresolved {
    /// The key.
    pub key: Key,
    /// The first live start of the key.
    pub start: LiveStart,
}

/// The folded records of one key.
#[derive(Clone, Debug, Default)]
struct Entry {
    workspace: WorkspaceId,
    /// Live starts in the order of the log; only the first may run.
    starts: Vec<LiveStart>,
    /// Nonces of void starts; a void may come before its start in the log.
    voids: Vec<Nonce>,
    /// The recorded answer.
    done: Option<Answer>,
    /// Whether the call ran, as recorded without an answer.
    resolved: Option<bool>,
}

/// The fold of one partition of the claim streams.
///
/// Invariant: the state depends on the records alone, never on the reader's clock, so that every
/// reader that has folded the same records comes to the same result.
#[derive(Debug, Default)]
pub struct Table {
    keys: HashMap<u128, Entry>,
    next: Offset,
    /// The latest time in a record, by the log service's clock.
    log_time: Duration,
    /// Format of the record that stopped the fold: it is newer than known, or could not be decoded.
    stopped: Option<u16>,
}

impl Table {
    /// The offset of the next record to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The format of the record that stopped the fold; `None` while the fold goes on.
    pub fn stopped(&self) -> Option<u16> {
        self.stopped
    }

    /// Folds one record in and returns its key; a record that was read before changes nothing.
    pub fn apply(&mut self, stored: &Stored) -> Option<Key> {
        if self.stopped.is_some() || stored.offset < self.next {
            return None;
        }
        let record = match codec::decode::<Record>(&stored.body) {
            Ok(record) if record.format <= FORMAT => record,
            Ok(record) => return self.stop(record.format),
            Err(_) => return self.stop(read_format(&stored.body)),
        };
        self.next = stored.offset + 1;
        let appended_at = Duration::from_millis(stored.time_ms);
        self.log_time = self.log_time.max(appended_at);
        self.fold(&record, appended_at);
        Some(record.key)
    }

    fn stop(&mut self, format: u16) -> Option<Key> {
        self.stopped = Some(format);
        None
    }

    fn fold(&mut self, record: &Record, appended_at: Duration) {
        let entry = self.keys.entry(record.key.id).or_default();
        if entry.workspace.is_empty() {
            entry.workspace.clone_from(&record.key.workspace);
        }
        match &record.body {
            Body::Start(start) => entry.add_start(&record.key, record.nonce, start, appended_at),
            Body::Void => entry.add_void(record.nonce),
            Body::Done(answer) => entry.set_answer(answer),
            Body::Ran => entry.resolve(true),
            Body::Unknown => entry.mark_unknown(record.nonce),
            Body::Resolve(resolve) => entry.resolve(resolve.ran),
            Body::Carry(start) => entry.renew_start(record.nonce, start, appended_at),
        }
    }

    /// What the log says about a key.
    pub fn status(&self, id: u128) -> Status<'_> {
        let Some(entry) = self.keys.get(&id) else {
            return Status::Free;
        };
        if let Some(answer) = &entry.done {
            return Status::Done(answer);
        }
        if let Some(ran) = entry.resolved {
            return Status::Resolved { ran };
        }
        entry.starts.first().map_or(Status::Free, Status::Started)
    }

    /// The fingerprint of the key's first live start, also after the outcome is recorded.
    pub fn fingerprint(&self, id: u128) -> Option<u64> {
        self.keys
            .get(&id)?
            .starts
            .first()
            .map(|start| start.fingerprint)
    }

    /// Whether a start has been read and is not void.
    pub fn is_live(&self, id: u128, nonce: Nonce) -> bool {
        self.keys
            .get(&id)
            .is_some_and(|entry| entry.starts.iter().any(|start| start.nonce == nonce))
    }

    /// Every key with a live start and no recorded outcome.
    pub fn unresolved(&self) -> Vec<Unresolved> {
        let open = |entry: &&Entry| entry.done.is_none() && entry.resolved.is_none();
        self.keys
            .iter()
            .filter(|(_, entry)| open(entry))
            .filter_map(|(id, entry)| {
                Some(Unresolved {
                    key: Key {
                        workspace: entry.workspace.clone(),
                        id: *id,
                    },
                    start: entry.starts.first()?.clone(),
                })
            })
            .collect()
    }

    /// Removes keys that no caller can claim any more.
    ///
    /// The log's clock decides, as it does for starts: by a local clock that runs ahead, a key
    /// could be removed that may still be claimed. Unresolved keys stay until an operator has
    /// settled them.
    pub fn expire(&mut self) {
        let now = self.log_time;
        self.keys.retain(|id, entry| {
            let key = Key {
                workspace: String::new(),
                id: *id,
            };
            let past_window = key.issued_at() + MAX_KEY_AGE + MAX_CLOCK_SKEW < now;
            let settled = entry.done.is_some() || entry.resolved.is_some();
            !past_window || (!settled && !entry.starts.is_empty())
        });
    }

    /// The number of keys in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// The format of a record whose body can't be decoded; 0 if the bytes are no record at all.
fn read_format(bytes: &[u8]) -> u16 {
    type Head = (u16, IgnoredAny, IgnoredAny, IgnoredAny);
    codec::decode::<Head>(bytes).map_or(0, |head| head.0)
}

impl Entry {
    /// Adds a start, unless it is void or a duplicate, the key is settled, or the log's clock puts
    /// the start outside the key's window: an earlier start might then be past retention.
    fn add_start(&mut self, key: &Key, nonce: Nonce, start: &Start, appended_at: Duration) {
        let early = appended_at + MAX_CLOCK_SKEW < key.issued_at();
        let late = appended_at > key.issued_at() + MAX_KEY_AGE;
        let settled = self.done.is_some() || self.resolved.is_some();
        let duplicate = self.starts.iter().any(|start| start.nonce == nonce);
        if early || late || settled || duplicate || self.voids.contains(&nonce) {
            return;
        }
        self.starts.push(LiveStart {
            nonce,
            owner: start.owner.clone(),
            fingerprint: start.fingerprint,
            appended_at,
            unknown: false,
        });
    }

    /// Keeps a start without an outcome that was appended again before retention would drop it; its
    /// outcome is unknown, so it never runs again.
    fn renew_start(&mut self, nonce: Nonce, start: &Start, appended_at: Duration) {
        let settled = self.done.is_some() || self.resolved.is_some();
        if settled || self.voids.contains(&nonce) {
            return;
        }
        if let Some(existing) = self.starts.iter_mut().find(|start| start.nonce == nonce) {
            existing.appended_at = appended_at;
            existing.unknown = true;
            return;
        }
        self.starts.push(LiveStart {
            nonce,
            owner: start.owner.clone(),
            fingerprint: start.fingerprint,
            appended_at,
            unknown: true,
        });
    }

    /// Makes a start void; only its owner appends this record, and only if the request has not run.
    fn add_void(&mut self, nonce: Nonce) {
        self.starts.retain(|start| start.nonce != nonce);
        if !self.voids.contains(&nonce) {
            self.voids.push(nonce);
        }
    }

    /// Sets the answer. It proves that the request ran, so it takes precedence over an operator's
    /// resolution.
    fn set_answer(&mut self, answer: &Answer) {
        if self.done.is_none() {
            self.done = Some(answer.clone());
        }
    }

    fn mark_unknown(&mut self, nonce: Nonce) {
        if let Some(existing) = self.starts.iter_mut().find(|start| start.nonce == nonce) {
            existing.unknown = true;
        }
    }

    /// Settles whether the request ran; the first resolution wins.
    fn resolve(&mut self, ran: bool) {
        if self.resolved.is_none() {
            self.resolved = Some(ran);
        }
    }
}
