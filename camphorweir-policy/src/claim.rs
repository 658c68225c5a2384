//! The fold of the claim streams: which start of a key may run, the same for every reader.

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
    /// Nobody has a live start.
    Free,
    /// This start runs or ran; its outcome is not recorded.
    Started(&'a Live),
    /// It ran and was answered.
    Done(&'a Answer),
    /// An operator settled that it ran or did not.
    Resolved {
        /// Whether it ran.
        ran: bool,
    },
}

/// A start that no record has made void.
#[derive(Clone, Debug, PartialEq)]
pub struct Live {
    /// Its nonce.
    pub nonce: Nonce,
    /// Who runs it.
    pub owner: Owner,
    /// Hash over the request.
    pub fingerprint: u64,
    /// When it landed, by the log service's clock, since the Unix epoch.
    pub landed: Duration,
    /// Whether a record says that its outcome is unknown.
    pub unknown: bool,
}

/// A key whose outcome is not known.
#[derive(Clone, Debug, PartialEq)]
pub struct Unresolved {
    /// The key.
    pub key: Key,
    /// Its first live start.
    pub live: Live,
}

/// All that is known of one key.
#[derive(Clone, Debug, Default)]
struct Entry {
    workspace: WorkspaceId,
    /// Live starts in the order of the log; only the first may run.
    starts: Vec<Live>,
    /// Starts that are void, also ones that have not landed yet.
    voids: Vec<Nonce>,
    done: Option<Answer>,
    resolved: Option<bool>,
}

/// The fold of one partition.
///
/// Invariant: it depends on the records alone, never on the reader's clock, so that every reader
/// that has folded the same records gives the same verdict.
#[derive(Debug, Default)]
pub struct Table {
    keys: HashMap<u128, Entry>,
    next: Offset,
    /// The newest time of the log service's clock that a record carried.
    clock: Duration,
    /// Set by a record of a newer format; nothing after it is folded.
    stopped: Option<u16>,
}

impl Table {
    /// The offset to read on from.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The format that stopped the fold, if one did.
    pub fn stopped(&self) -> Option<u16> {
        self.stopped
    }

    /// Folds one record in and tells which key it speaks of; a record read before changes nothing.
    pub fn apply(&mut self, stored: &Stored) -> Option<Key> {
        if self.stopped.is_some() || stored.offset < self.next {
            return None;
        }
        let record = match codec::decode::<Record>(&stored.body) {
            Ok(record) if record.format <= FORMAT => record,
            Ok(record) => return self.stop(record.format),
            Err(_) => return self.stop(scan_format(&stored.body)),
        };
        self.next = stored.offset + 1;
        let landed = Duration::from_millis(stored.time_ms);
        self.clock = self.clock.max(landed);
        self.fold(&record, landed);
        Some(record.key)
    }

    fn stop(&mut self, format: u16) -> Option<Key> {
        self.stopped = Some(format);
        None
    }

    fn fold(&mut self, record: &Record, landed: Duration) {
        let entry = self.keys.entry(record.key.id).or_default();
        if entry.workspace.is_empty() {
            entry.workspace.clone_from(&record.key.workspace);
        }
        match &record.body {
            Body::Start(start) => entry.start(&record.key, record.nonce, start, landed),
            Body::Void => entry.void(record.nonce),
            Body::Done(answer) => entry.done(answer),
            Body::Ran => entry.resolve(true),
            Body::Unknown => entry.unknown(record.nonce),
            Body::Resolve(resolve) => entry.resolve(resolve.ran),
            Body::Carry(start) => entry.carry(record.nonce, start, landed),
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

    /// The fingerprint of the key's first request; it holds after the end, too.
    pub fn fingerprint(&self, id: u128) -> Option<u64> {
        self.keys
            .get(&id)?
            .starts
            .first()
            .map(|live| live.fingerprint)
    }

    /// Whether the start has landed and may still run or have run.
    pub fn is_live(&self, id: u128, nonce: Nonce) -> bool {
        self.keys
            .get(&id)
            .is_some_and(|entry| entry.starts.iter().any(|live| live.nonce == nonce))
    }

    /// Every key with a live start and no outcome.
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
                    live: entry.starts.first()?.clone(),
                })
            })
            .collect()
    }

    /// Forgets keys that no caller can claim any more.
    ///
    /// The log's clock decides, as it does for starts: by a clock that runs ahead, a key would be
    /// forgotten that may still be claimed. Unresolved ones stay until an operator has settled them.
    pub fn expire(&mut self) {
        let now = self.clock;
        self.keys.retain(|id, entry| {
            let key = Key {
                workspace: String::new(),
                id: *id,
            };
            let over = key.issued_at() + MAX_KEY_AGE + MAX_CLOCK_SKEW < now;
            let settled = entry.done.is_some() || entry.resolved.is_some();
            !over || (!settled && !entry.starts.is_empty())
        });
    }

    /// Keys held in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// The format of a record whose body is not known; 0 when it is no record at all.
fn scan_format(bytes: &[u8]) -> u16 {
    type Head = (u16, IgnoredAny, IgnoredAny, IgnoredAny);
    codec::decode::<Head>(bytes).map_or(0, |head| head.0)
}

impl Entry {
    /// A start is dead on arrival when it is void, when the key is settled, or when the log's clock
    /// puts it outside the key's window: an earlier start might then be past retention.
    fn start(&mut self, key: &Key, nonce: Nonce, start: &Start, landed: Duration) {
        let early = landed + MAX_CLOCK_SKEW < key.issued_at();
        let late = landed > key.issued_at() + MAX_KEY_AGE;
        let settled = self.done.is_some() || self.resolved.is_some();
        let again = self.starts.iter().any(|live| live.nonce == nonce);
        if early || late || settled || again || self.voids.contains(&nonce) {
            return;
        }
        self.starts.push(Live {
            nonce,
            owner: start.owner.clone(),
            fingerprint: start.fingerprint,
            landed,
            unknown: false,
        });
    }

    /// A start without an outcome that is past its window, or soon will be; it never runs again.
    fn carry(&mut self, nonce: Nonce, start: &Start, landed: Duration) {
        let settled = self.done.is_some() || self.resolved.is_some();
        if settled || self.voids.contains(&nonce) {
            return;
        }
        if let Some(live) = self.starts.iter_mut().find(|live| live.nonce == nonce) {
            live.landed = landed;
            live.unknown = true;
            return;
        }
        self.starts.push(Live {
            nonce,
            owner: start.owner.clone(),
            fingerprint: start.fingerprint,
            landed,
            unknown: true,
        });
    }

    /// Only the owner of a start makes it void, and only when it has not sent the request.
    fn void(&mut self, nonce: Nonce) {
        self.starts.retain(|live| live.nonce != nonce);
        if !self.voids.contains(&nonce) {
            self.voids.push(nonce);
        }
    }

    /// An answer proves that the request ran, so it stands above an operator's word.
    fn done(&mut self, answer: &Answer) {
        if self.done.is_none() {
            self.done = Some(answer.clone());
        }
    }

    fn unknown(&mut self, nonce: Nonce) {
        if let Some(live) = self.starts.iter_mut().find(|live| live.nonce == nonce) {
            live.unknown = true;
        }
    }

    /// The first of two operators wins.
    fn resolve(&mut self, ran: bool) {
        if self.resolved.is_none() {
            self.resolved = Some(ran);
        }
    }
}
