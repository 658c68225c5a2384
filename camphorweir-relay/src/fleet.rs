//! Targets as listed in the store: restarts, draining and lapsed records.

use {
    crate::{
        ids::{ServiceName, TargetId, Time, Zone, ids_tag},
        span::Span,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time after an outage of the store during which targets with lapsed records are kept: running
/// targets renew their records within two seconds; the rest is the time of one read of the list.
const LAPSE_GRACE: Duration = Duration::from_millis(2500);

/// Part of the time that an instance has to catch up that is left for dropping targets whose records are
/// not renewed.
const DROP_MARGIN: Duration = Duration::from_millis(200);

/// Time after a read of the list that still had a target's record for which the target is kept once
/// the record has ended.
const LISTED_GRACE: Duration = Duration::from_millis(1800);

/// The time of a read and that of the store's return may be estimates, from different responses of a
/// peer; by as much may the one seem to be before the other.
const TIME_SLACK: Duration = Duration::from_millis(100);

/// Time for which the last record of a removed target is remembered; longer than the store's copies
/// are old.
const REMOVED_MEMORY: Duration = Duration::from_secs(120);

/// A target as its record describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that the target listens at.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Unix time of the target's start in ms; differs after a restart under the same identifier.
    pub started_ms: u64,
    /// Number of the record since the target's start; rises with each record that it writes.
    pub sequence: u64,
    /// Number of requests that the target works on at once.
    pub slots: u32,
    /// Whether the target has announced that it shuts down.
    pub draining: bool,
    /// Name of the hardware kind.
    pub hardware: Option<String>,
    /// Layers that the target has loaded.
    pub span: Span,
}

/// A change of a target's state, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A new or restarted target.
    Up,
    /// The target drains.
    Draining,
    /// The target was removed.
    Gone,
    /// The target holds other layers.
    Layers,
    /// The target's record lapsed around an outage of the store; the target is kept for now.
    Lapsed,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    /// When the target was first seen since its start.
    first_seen: Time,
    /// Whether the target's record was read since its start.
    is_listed: bool,
    /// Until when the target is kept, if its record lapsed around an outage of the store.
    kept_until: Option<Time>,
}

impl Entry {
    /// Start and number of the record, by which records of a target are ordered.
    fn version(&self) -> (u64, u64) {
        (self.target.started_ms, self.target.sequence)
    }
}

/// All targets by identifier.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: BTreeMap<TargetId, Entry>,
    /// Start and number of the last record of each removed target, and when it was removed. The
    /// store may show that record again when it comes back from an older copy.
    removed: HashMap<TargetId, (u64, u64, Time)>,
    /// Start of the last read of the store that failed, or the time of a restore.
    store_failed_at: Option<Time>,
    /// When the store answered again after the last outage.
    store_recovered_at: Option<Time>,
    /// Time as of which the list was last read.
    list_read_at: Option<Time>,
    /// Identifiers by tag; those of removed targets stay until another target has the tag.
    ids_by_tag: HashMap<u32, TargetId>,
}

impl Fleet {
    /// Records that a read of the store that was started at this time failed, or that the store came back
    /// from an older copy.
    pub fn record_store_failure(&mut self, at: Time) {
        self.store_failed_at = self.store_failed_at.max(Some(at));
    }

    /// Records that the store answered a read of the list that was started at this time. Returns when it
    /// was back after an outage, unless the list was read since.
    ///
    /// Records that lapsed are kept for a time after that. Where this instance alone was cut off, targets
    /// have left meanwhile that others know of, so that time must not grow with the pauses between reads.
    ///
    /// `contact` is the time that the instance has to catch up. The store may have been back right after
    /// the last failed read began, with the connection of that read still broken.
    pub fn record_store_answer(&mut self, started_at: Time, contact: Duration) -> Option<Time> {
        let failed_at = self.store_failed_at?;
        if self.list_read_at.is_some_and(|at| at >= failed_at) {
            return None;
        }
        let slack = contact.saturating_sub(LAPSE_GRACE + DROP_MARGIN);
        let back_at = started_at.min(failed_at + slack);
        self.record_store_recovery(back_at);
        Some(back_at)
    }

    /// Records that the store was back after an outage at this time.
    pub fn record_store_recovery(&mut self, now: Time) {
        self.store_recovered_at = self.store_recovered_at.max(Some(now));
    }

    /// Applies the record of a target, unless a newer one is known. A draining target keeps draining
    /// until a restart, and a removed one stays removed until it writes again.
    pub fn upsert(&mut self, mut target: Target, now: Time) -> Option<Change> {
        let mut first_seen = now;
        let version = (target.started_ms, target.sequence);
        let is_removed =
            |(started_ms, sequence, _): &(u64, u64, Time)| version <= (*started_ms, *sequence);
        if self.removed.get(&target.id).is_some_and(is_removed) {
            return None;
        }
        let change = match self.targets.get(&target.id) {
            Some(entry) if entry.version() > version => return None,
            Some(entry) if entry.is_listed && entry.target.started_ms == target.started_ms => {
                target.draining |= entry.target.draining;
                first_seen = entry.first_seen;
                match (entry.target.draining, target.draining) {
                    (false, true) => Some(Change::Draining),
                    _ => (entry.target.span != target.span).then_some(Change::Layers),
                }
            }
            _ => Some(Change::Up),
        };
        if change == Some(Change::Up) {
            self.remove_older_at(target.address, target.started_ms);
        }
        let id = target.id.clone();
        self.removed.remove(&id);
        if change == Some(Change::Up) {
            self.ids_by_tag.insert(ids_tag(&id), id.clone());
        }
        let entry = Entry {
            target,
            first_seen,
            is_listed: true,
            kept_until: None,
        };
        self.targets.insert(id, entry);
        change
    }

    /// Records that a target said, in the response to a request that was planned at `planned_at`, that
    /// it is about to shut down. Returns whether that was not known.
    ///
    /// It drains until a newer incarnation is listed. A response that may be of an earlier
    /// incarnation than the listed one changes nothing.
    pub fn record_leaving(&mut self, id: &TargetId, planned_at: Time) -> bool {
        let entry = self.targets.get_mut(id);
        let entry = entry.filter(|entry| entry.first_seen <= planned_at);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.target.draining, true))
    }

    /// Records that a later incarnation was found at a target's address, which holds no layers; its record
    /// may list it under another identifier. Returns whether it was not known.
    pub fn record_restart(&mut self, id: &TargetId, started_ms: u64, now: Time) -> bool {
        let entry = self.targets.get_mut(id);
        let Some(entry) = entry.filter(|entry| entry.target.started_ms < started_ms) else {
            return false;
        };
        entry.target.started_ms = started_ms;
        entry.target.sequence = 0;
        entry.target.span = Span::default();
        entry.first_seen = now;
        entry.is_listed = false;
        true
    }

    /// Removes the targets at an address that started at `started_ms` or earlier.
    fn remove_older_at(&mut self, address: SocketAddr, started_ms: u64) {
        self.targets.retain(|_, entry| {
            entry.target.address != address || entry.target.started_ms > started_ms
        });
    }

    /// Records that the list as it was at this time has been applied.
    pub fn record_list_read(&mut self, at: Time) {
        self.list_read_at = self.list_read_at.max(Some(at));
    }

    /// Removes a target whose record ended. Around an outage of the store a target that does not
    /// drain is kept for a while, as its record may only have lapsed.
    pub fn remove(&mut self, id: &TargetId, now: Time) -> Option<Change> {
        let kept_until = self.kept_until().filter(|until| *until > now);
        let entry = self.targets.get_mut(id)?;
        if kept_until.is_some() && !entry.target.draining {
            entry.kept_until = kept_until;
            return Some(Change::Lapsed);
        }
        self.forget(id, now);
        Some(Change::Gone)
    }

    /// Until when a target is kept whose record is found to have ended; `None` without an outage.
    fn kept_until(&self) -> Option<Time> {
        let recovered_at = self.store_recovered_at?;
        let until = recovered_at + LAPSE_GRACE;
        // The record was there at the last read; if that was after the outage, the target may as well
        // have left since, and must get nothing two seconds after it did.
        let is_after = |at: &Time| *at + TIME_SLACK >= recovered_at;
        let read_at = self.list_read_at.filter(is_after);
        Some(read_at.map_or(until, |at| until.min(at + LISTED_GRACE)))
    }

    /// Removes a target and remembers its last record.
    fn forget(&mut self, id: &TargetId, now: Time) {
        if let Some(entry) = self.targets.remove(id) {
            let (started_ms, sequence) = entry.version();
            self.removed.insert(id.clone(), (started_ms, sequence, now));
        }
        self.removed
            .retain(|_, (_, _, at)| now.saturating_sub(*at) < REMOVED_MEMORY);
    }

    /// Removes the targets that a complete list of identifiers does not contain.
    pub fn remove_unlisted(
        &mut self,
        ids: &BTreeSet<TargetId>,
        now: Time,
    ) -> Vec<(TargetId, Change)> {
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, entry)| !ids.contains(*id) && entry.kept_until.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        let changes = missing.into_iter();
        changes
            .filter_map(|id| self.remove(&id, now).map(|change| (id, change)))
            .collect()
    }

    /// Removes targets whose lapsed records were not renewed in time.
    pub fn remove_lapsed(&mut self, now: Time) -> Vec<TargetId> {
        let is_over = |entry: &Entry| entry.kept_until.is_some_and(|until| until <= now);
        let lapsed = self.targets.iter().filter(|(_, entry)| is_over(entry));
        let removed: Vec<TargetId> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in &removed {
            self.forget(id, now);
        }
        removed
    }

    /// A target by identifier.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id).map(|entry| &entry.target)
    }

    /// The target whose identifier has a tag, as in the digests of peers.
    pub fn by_tag(&self, tag: u32) -> Option<&Target> {
        self.get(self.ids_by_tag.get(&tag)?)
    }

    /// Time since a target was first seen after its start; zero for an unknown one.
    pub fn time_since_first_seen(&self, id: &TargetId, now: Time) -> Duration {
        let entry = self.targets.get(id);
        entry.map_or(Duration::ZERO, |entry| now.saturating_sub(entry.first_seen))
    }

    /// The target that listens at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&Target> {
        let mut targets = self.targets.values().map(|entry| &entry.target);
        targets.find(|target| target.address == address)
    }

    /// Targets of a service that do not drain.
    pub fn available<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values().map(|entry| &entry.target);
        targets.filter(move |target| &*target.service == service && !target.draining)
    }

    /// Zones of all targets.
    pub fn zones(&self) -> BTreeSet<Zone> {
        self.targets().map(|target| target.zone.clone()).collect()
    }

    /// All targets.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|entry| &entry.target)
    }
}
