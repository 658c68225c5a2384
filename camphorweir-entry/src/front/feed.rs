//! What this entry learned from the store, kept for entries that follow it.

use {
    crate::units::millis,
    bytes::Bytes,
    camphorweir_relay::ids::Now,
    camphorweir_wire::follow::{Ask, Change, List, Told},
    serde_bytes::ByteBuf,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Changes that are kept; a follower that lacks more gets the whole lists.
const KEPT: usize = 2_000;

/// The feed.
#[derive(Debug)]
pub struct Feed {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct Inner {
    life: u64,
    version: u64,
    site: Bytes,
    confirmed: Option<Now>,
    read: Read,
    listed: Option<Now>,
    /// The newest value of each key.
    newest: BTreeMap<(List, String), Bytes>,
    changes: VecDeque<Change>,
    /// Number of the change after the last one.
    next: u64,
}

/// How the store answers the reader of the configuration.
#[derive(Clone, Copy, Debug)]
enum Read {
    /// This entry has not asked it.
    Never,
    /// It answered so far, and must have answered the read under way by then.
    Due(Now),
    /// It failed the last read.
    Failed,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            inner: Mutex::new(Inner {
                life: rand::random::<u64>() | 1,
                version: 0,
                site: Bytes::new(),
                confirmed: None,
                read: Read::Never,
                listed: None,
                newest: BTreeMap::new(),
                changes: VecDeque::new(),
                next: 0,
            }),
            changed: watch::channel(()).0,
        }
    }
}

impl Feed {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A configuration as published.
    pub fn set_configuration(&self, version: u64, site: Bytes) {
        let mut inner = self.inner();
        if version > inner.version {
            (inner.version, inner.site) = (version, site);
            self.changed.send_replace(());
        }
    }

    /// The store is being asked for the configuration and must have answered by `due`. One that
    /// failed is taken to be away until it has answered.
    pub fn read_started(&self, due: Now) {
        let mut inner = self.inner();
        if !matches!(inner.read, Read::Failed) {
            inner.read = Read::Due(due);
        }
    }

    /// The store answered, and the next read must have begun by `due`.
    pub fn read_succeeded(&self, due: Now) {
        self.inner().read = Read::Due(due);
    }

    /// The store did not answer in time, or refused.
    pub fn read_failed(&self) {
        self.inner().read = Read::Failed;
    }

    /// Whether the store failed the last read of the configuration.
    pub fn last_read_failed(&self) -> bool {
        matches!(self.inner().read, Read::Failed)
    }

    /// Whether the store answers this entry, so that others may follow it.
    pub fn reads_on_time(&self, now: Now) -> bool {
        matches!(self.inner().read, Read::Due(due) if now < due)
    }

    /// The configuration was the newest at this time.
    pub fn set_confirmed(&self, at: Now) {
        let mut inner = self.inner();
        inner.confirmed = inner.confirmed.max(Some(at));
    }

    /// The list of targets was read at this time.
    pub fn set_targets_read(&self, at: Now) {
        let mut inner = self.inner();
        inner.listed = inner.listed.max(Some(at));
    }

    /// How old the newest read of the targets is.
    pub fn targets_age(&self, now: Now) -> Option<Duration> {
        let listed = self.inner().listed?;
        Some(now.saturating_sub(listed))
    }

    /// A record was read.
    pub fn apply_record(&self, list: List, key: &str, value: Option<&Bytes>) {
        let mut inner = self.inner();
        let place = (list, key.to_owned());
        if inner.newest.get(&place) == value {
            return;
        }
        match value {
            Some(value) => inner.newest.insert(place, value.clone()),
            None => inner.newest.remove(&place),
        };
        inner.changes.push_back(Change {
            list,
            key: key.to_owned(),
            value: value.map(|value| ByteBuf::from(value.as_ref())),
        });
        inner.next += 1;
        if inner.changes.len() > KEPT {
            inner.changes.pop_front();
        }
        self.changed.send_replace(());
    }

    /// A whole list was read: other keys are gone.
    pub fn retain_keys(&self, list: List, keys: impl Fn(&str) -> bool) {
        let gone: Vec<String> = {
            let inner = self.inner();
            let known = inner.newest.keys().filter(|(other, _)| *other == list);
            known
                .map(|(_, key)| key.clone())
                .filter(|key| !keys(key))
                .collect()
        };
        for key in gone {
            self.apply_record(list, &key, None);
        }
    }

    /// Tells changes.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Whether a follower lacks anything.
    pub fn has_changes_for(&self, ask: &Ask) -> bool {
        let inner = self.inner();
        inner.version > ask.version || ask.life != inner.life || ask.next < inner.next
    }

    /// What a follower lacks; `None` before anything was confirmed here.
    pub fn update_for(&self, ask: &Ask, now: Now) -> Option<Told> {
        let inner = self.inner();
        let age = |at: Now| millis(now.saturating_sub(at));
        let (age_ms, targets_age_ms) = (age(inner.confirmed?), age(inner.listed?));
        let first = inner.next - inner.changes.len() as u64;
        let whole = ask.life != inner.life || ask.next < first || ask.next > inner.next;
        let changes = match whole {
            true => whole_lists(&inner.newest),
            false => {
                let skip = (ask.next - first) as usize;
                inner.changes.iter().skip(skip).cloned().collect()
            }
        };
        let newer = inner.version > ask.version;
        Some(Told {
            age_ms,
            targets_age_ms,
            site: newer.then(|| ByteBuf::from(inner.site.as_ref())),
            life: inner.life,
            next: inner.next,
            whole,
            changes,
        })
    }
}

fn whole_lists(newest: &BTreeMap<(List, String), Bytes>) -> Vec<Change> {
    let newest = newest.iter();
    let changes = newest.map(|((list, key), value)| Change {
        list: *list,
        key: key.clone(),
        value: Some(ByteBuf::from(value.as_ref())),
    });
    changes.collect()
}
