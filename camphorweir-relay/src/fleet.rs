//! The targets as they report themselves to the store: lives, draining, lapses.

use {
    crate::{
        ids::{Now, ServiceName, TargetId, Zone, ids_tag},
        span::Span,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// After an outage of the store, records of targets that live are back within two seconds; the
/// rest is the time of one read of the list.
const LAPSE_GRACE: Duration = Duration::from_millis(2500);

/// A target as its record tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Its identifier.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Unix time of its start in ms; tells lives of one identifier apart.
    pub born: u64,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub draining: bool,
    /// Kind of hardware.
    pub hardware: Option<String>,
    /// Layers that are loaded.
    pub span: Span,
}

/// A change of what is believed, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A new target, or a new life of a known one.
    Up,
    /// It leaves.
    Draining,
    /// It is gone.
    Gone,
    /// It holds other layers.
    Layers,
    /// Its record lapsed around an outage; it is kept for now.
    Lapsed,
}

#[derive(Clone, Debug)]
struct Seen {
    target: Target,
    /// When this life of it was first seen.
    since: Now,
    /// When the record lapsed, if the store had been away.
    lapsed: Option<Now>,
}

/// All targets by identifier.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: BTreeMap<TargetId, Seen>,
    /// When the store answered again after an outage.
    returned: Option<Now>,
    /// Identifiers by tag; also of targets that are gone, until another has the tag.
    tags: HashMap<u32, TargetId>,
}

impl Fleet {
    /// Says that the store answers again after an outage.
    pub fn store_back(&mut self, now: Now) {
        self.returned = Some(now);
    }

    /// Takes a record in. Draining is final for one life of a target.
    pub fn record(&mut self, mut target: Target, now: Now) -> Option<Change> {
        let mut since = now;
        let change = match self.targets.get(&target.id) {
            Some(seen) if seen.target.born > target.born => return None,
            Some(seen) if seen.target.born == target.born => {
                target.draining |= seen.target.draining;
                since = seen.since;
                match (seen.target.draining, target.draining) {
                    (false, true) => Some(Change::Draining),
                    _ => (seen.target.span != target.span).then_some(Change::Layers),
                }
            }
            _ => Some(Change::Up),
        };
        if change == Some(Change::Up) {
            self.drop_address(target.address, target.born);
        }
        let id = target.id.clone();
        if change == Some(Change::Up) {
            self.tags.insert(ids_tag(&id), id.clone());
        }
        let seen = Seen {
            target,
            since,
            lapsed: None,
        };
        self.targets.insert(id, seen);
        change
    }

    /// An address that was given to another target is no longer the old one's.
    fn drop_address(&mut self, address: SocketAddr, born: u64) {
        self.targets
            .retain(|_, seen| seen.target.address != address || seen.target.born > born);
    }

    /// Takes the end of a record in. Around an outage of the store the target is kept for a
    /// while, since its record may only have lapsed.
    pub fn removed(&mut self, id: &TargetId, now: Now) -> Option<Change> {
        let recent = |time: Now| now.saturating_sub(time) < LAPSE_GRACE;
        let seen = self.targets.get_mut(id)?;
        if self.returned.is_some_and(recent) && !seen.target.draining {
            seen.lapsed = Some(now);
            return Some(Change::Lapsed);
        }
        self.targets.remove(id);
        Some(Change::Gone)
    }

    /// Takes a whole list of identifiers in: what is not in it was removed.
    pub fn listed(&mut self, ids: &BTreeSet<TargetId>, now: Now) -> Vec<(TargetId, Change)> {
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, seen)| !ids.contains(*id) && seen.lapsed.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        let changes = missing.into_iter();
        changes
            .filter_map(|id| self.removed(&id, now).map(|change| (id, change)))
            .collect()
    }

    /// Drops targets whose records lapsed and did not come back in time.
    pub fn settle(&mut self, now: Now) -> Vec<TargetId> {
        let Some(returned) = self.returned else {
            return Vec::new();
        };
        if now.saturating_sub(returned) < LAPSE_GRACE {
            return Vec::new();
        }
        let lapsed = self
            .targets
            .iter()
            .filter(|(_, seen)| seen.lapsed.is_some());
        let gone: Vec<TargetId> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.targets.remove(id);
        }
        gone
    }

    /// A target by identifier.
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.targets.get(id).map(|seen| &seen.target)
    }

    /// The target that peers name by a tag.
    pub fn tagged(&self, tag: u32) -> Option<&Target> {
        self.get(self.tags.get(&tag)?)
    }

    /// For how long this life of a target has been known.
    pub fn age(&self, id: &TargetId, now: Now) -> Duration {
        let seen = self.targets.get(id);
        seen.map_or(Duration::ZERO, |seen| now.saturating_sub(seen.since))
    }

    /// The target that listens at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Target> {
        let mut targets = self.targets.values().map(|seen| &seen.target);
        targets.find(|target| target.address == address)
    }

    /// Targets of a service that may get requests.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self.targets.values().map(|seen| &seen.target);
        targets.filter(move |target| &*target.service == service && !target.draining)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().map(|seen| &seen.target)
    }
}
