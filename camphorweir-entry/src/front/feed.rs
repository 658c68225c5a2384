//! Store data that this instance has read, served to the instances that follow it.

use {
    crate::units::millis,
    bytes::Bytes,
    camphorweir_relay::ids::{Time, ids_hash},
    camphorweir_wire::replication::{Change, Fingerprint, List, Request, Response},
    serde_bytes::ByteBuf,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Number of changes that are kept; a follower that lacks more gets the whole lists.
const MAX_CHANGES: usize = 2_000;

/// The newest configuration and records, with a log of recent changes.
#[derive(Debug)]
pub struct Feed {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct Inner {
    incarnation: u64,
    version: u64,
    configuration: Bytes,
    confirmed_at: Option<Time>,
    read_status: ReadStatus,
    targets_read_at: Option<Time>,
    /// When the store last answered again after an outage or a restore.
    recovered_at: Option<Time>,
    /// Newest value of each key.
    newest: BTreeMap<(List, String), Bytes>,
    changes: VecDeque<Change>,
    /// Sequence number of the next change.
    next_sequence: u64,
}

/// State of the configuration reads from the store.
#[derive(Clone, Copy, Debug)]
enum ReadStatus {
    /// This instance has not read from the store yet.
    Never,
    /// No read failed since the last success; the current read must be answered by this time.
    Due(Time),
    /// The last read failed.
    Failed,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Inner {
                incarnation: rand::random::<u64>() | 1,
                version: 0,
                configuration: Bytes::new(),
                confirmed_at: None,
                read_status: ReadStatus::Never,
                targets_read_at: None,
                recovered_at: None,
                newest: BTreeMap::new(),
                changes: VecDeque::new(),
                next_sequence: 0,
            }),
            changed: watch::channel(()).0,
        }
    }
}

impl Feed {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a published configuration, if it is newer than the current one.
    pub fn set_configuration(&self, version: u64, configuration: Bytes) {
        let mut inner = self.inner();
        if version > inner.version {
            (inner.version, inner.configuration) = (version, configuration);
            self.changed.send_replace(());
        }
    }

    /// Records that a configuration read has started and must be answered by `due`. After a failure
    /// the store counts as unavailable until a read succeeds.
    pub fn read_started(&self, due: Time) {
        let mut inner = self.inner();
        if !matches!(inner.read_status, ReadStatus::Failed) {
            inner.read_status = ReadStatus::Due(due);
        }
    }

    /// Records a successful read; the next one must have started by `due`.
    pub fn read_succeeded(&self, due: Time) {
        self.inner().read_status = ReadStatus::Due(due);
    }

    /// Records that the store did not answer in time, or refused.
    pub fn read_failed(&self) {
        self.inner().read_status = ReadStatus::Failed;
    }

    /// Whether the last read of the configuration failed.
    pub fn last_read_failed(&self) -> bool {
        matches!(self.inner().read_status, ReadStatus::Failed)
    }

    /// Whether the store answers configuration reads in time, so that other instances may follow
    /// this one.
    pub fn reads_on_time(&self, now: Time) -> bool {
        matches!(self.inner().read_status, ReadStatus::Due(due) if now < due)
    }

    /// Whether the current read of the configuration is late, or the next one was not started in time.
    pub fn is_overdue(&self, now: Time) -> bool {
        matches!(self.inner().read_status, ReadStatus::Due(due) if now >= due)
    }

    /// Records that the configuration was the newest at this time.
    pub fn set_confirmed(&self, at: Time) {
        let mut inner = self.inner();
        inner.confirmed_at = inner.confirmed_at.max(Some(at));
        self.changed.send_replace(());
    }

    /// When the configuration was last known to be the newest; `None` before any read.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.inner().confirmed_at
    }

    /// Records that the list of targets was read at this time.
    pub fn set_targets_read(&self, at: Time) {
        let mut inner = self.inner();
        inner.targets_read_at = inner.targets_read_at.max(Some(at));
        self.changed.send_replace(());
    }

    /// When the list of targets was last read; `None` before any read.
    pub fn targets_read_at(&self) -> Option<Time> {
        self.inner().targets_read_at
    }

    /// Records that the store answered again at this time, after an outage or a restore.
    pub fn set_recovered(&self, at: Time) {
        let mut inner = self.inner();
        inner.recovered_at = inner.recovered_at.max(Some(at));
    }

    /// Age of the newest read of the list of targets.
    pub fn targets_age(&self, now: Time) -> Option<Duration> {
        let read_at = self.inner().targets_read_at?;
        Some(now.saturating_sub(read_at))
    }

    /// Age of the older of the newest reads of the configuration and of the targets; `None` until
    /// both were read.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let inner = self.inner();
        let oldest = inner.confirmed_at?.min(inner.targets_read_at?);
        Some(now.saturating_sub(oldest))
    }

    /// Applies a record from the store; `None` removes the key.
    pub fn apply_record(&self, list: List, key: &str, value: Option<&Bytes>) {
        let mut inner = self.inner();
        let entry_key = (list, key.to_owned());
        if inner.newest.get(&entry_key) == value {
            return;
        }
        match value {
            Some(value) => inner.newest.insert(entry_key, value.clone()),
            None => inner.newest.remove(&entry_key),
        };
        inner.changes.push_back(Change {
            list,
            key: key.to_owned(),
            value: value.map(|value| ByteBuf::from(value.as_ref())),
        });
        inner.next_sequence += 1;
        if inner.changes.len() > MAX_CHANGES {
            inner.changes.pop_front();
        }
        self.changed.send_replace(());
    }

    /// Removes the keys of `list` that are missing from a snapshot.
    pub fn retain_keys(&self, list: List, is_listed: impl Fn(&str) -> bool) {
        let removed: Vec<String> = {
            let inner = self.inner();
            let existing = inner.newest.keys().filter(|(other, _)| *other == list);
            existing
                .map(|(_, key)| key.clone())
                .filter(|key| !is_listed(key))
                .collect()
        };
        for key in removed {
            self.apply_record(list, &key, None);
        }
    }

    /// A receiver that is notified of every change and confirmation.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Whether a follower lacks any change.
    pub fn has_changes_for(&self, ask: &Request) -> bool {
        let inner = self.inner();
        inner.version > ask.version
            || ask.feed_incarnation != inner.incarnation
            || ask.next_sequence < inner.next_sequence
    }

    /// The changes that a follower lacks whose request arrived at `arrived_at`; `None` until both the
    /// configuration and the targets were read here.
    pub fn update_for(&self, ask: &Request, arrived_at: Time) -> Option<Response> {
        let inner = self.inner();
        let age = |at: Time| millis(arrived_at.saturating_sub(at));
        let targets_read_at = inner.targets_read_at?;
        let (age_ms, targets_age_ms) = (age(inner.confirmed_at?), age(targets_read_at));
        let first_sequence = inner.next_sequence - inner.changes.len() as u64;
        let whole = ask.feed_incarnation != inner.incarnation
            || ask.next_sequence < first_sequence
            || ask.next_sequence > inner.next_sequence;
        let (changes, removed) = match (whole, &ask.known) {
            (true, Some(known)) => differences(&inner.newest, known),
            (true, None) => (all_records(&inner.newest), Vec::new()),
            (false, _) => {
                let skip = (ask.next_sequence - first_sequence) as usize;
                let changes = inner.changes.iter().skip(skip).cloned();
                (changes.collect(), Vec::new())
            }
        };
        let newer = inner.version > ask.version;
        Some(Response {
            age_ms,
            targets_age_ms,
            recovered_ms: inner.recovered_at.map(age),
            version: inner.version,
            configuration: newer.then(|| ByteBuf::from(inner.configuration.as_ref())),
            feed_incarnation: inner.incarnation,
            next_sequence: inner.next_sequence,
            is_snapshot: whole && ask.known.is_none(),
            changes,
            removed,
            targets_after_ms: millis(targets_read_at.saturating_sub(arrived_at)),
        })
    }

    /// All records of this feed in short.
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let inner = self.inner();
        let newest = inner.newest.iter();
        newest
            .map(|((list, key), value)| fingerprint(*list, key, value))
            .collect()
    }

    /// The removals that follow from fingerprints of records whose keys do not exist at the source.
    pub fn removals(&self, removed: &[Fingerprint]) -> Vec<Change> {
        let inner = self.inner();
        let is_removed = |list: List, key: &str| {
            let key = ids_hash(key.as_bytes());
            removed
                .iter()
                .any(|other| other.list == list && other.key == key)
        };
        let keys = inner.newest.keys();
        let keys = keys.filter(|(list, key)| is_removed(*list, key));
        let changes = keys.map(|(list, key)| Change {
            list: *list,
            key: key.clone(),
            value: None,
        });
        changes.collect()
    }
}

fn fingerprint(list: List, key: &str, value: &Bytes) -> Fingerprint {
    Fingerprint {
        list,
        key: ids_hash(key.as_bytes()),
        value: ids_hash(value),
    }
}

/// The records that a follower lacks or has with another value, and those of its records whose keys
/// do not exist here.
fn differences(
    newest: &BTreeMap<(List, String), Bytes>,
    known: &[Fingerprint],
) -> (Vec<Change>, Vec<Fingerprint>) {
    let known_set: BTreeSet<&Fingerprint> = known.iter().collect();
    let mut existing = BTreeSet::new();
    let mut changes = Vec::new();
    for ((list, key), value) in newest {
        let fingerprint = fingerprint(*list, key, value);
        existing.insert((fingerprint.list, fingerprint.key));
        if !known_set.contains(&fingerprint) {
            changes.push(Change {
                list: *list,
                key: key.clone(),
                value: Some(ByteBuf::from(value.as_ref())),
            });
        }
    }
    let removed = known.iter();
    let removed = removed.filter(|other| !existing.contains(&(other.list, other.key)));
    (changes, removed.copied().collect())
}

fn all_records(newest: &BTreeMap<(List, String), Bytes>) -> Vec<Change> {
    let newest = newest.iter();
    let changes = newest.map(|((list, key), value)| Change {
        list: *list,
        key: key.clone(),
        value: Some(ByteBuf::from(value.as_ref())),
    });
    changes.collect()
}
