//! Eras of the metadata store, and what its rise makes invalid.
//!
//! The store may come back from a copy some seconds old. What was written in those seconds is gone
//! then, and their offsets are given out again; the era rises by one each time.

use {crate::ids::Time, std::time::Duration};

/// Era of the store; the lowest one if it never came back from an older copy. Offsets and group generations of different eras can't be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Era(pub u64);

/// Position of a reader in a topic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Era in which the offset was read.
    pub era: Era,
    /// Offset of the next record.
    pub offset: u64,
}

/// What an era that was heard of says about the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The era is the known one, or the first.
    Current,
    /// The store has come back from an older copy.
    Restored {
        /// The era known until now.
        from: Era,
    },
    /// The response was written before a restore that is already known.
    Outdated,
}

/// The highest era heard of, from the store or from a peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    /// Never goes back; `None` until an era is heard of.
    current: Option<Era>,
    has_seen_restore: bool,
    /// When the first era was heard of, and whether a restore came before it.
    started: Option<(Time, bool)>,
}

impl Eras {
    /// The highest era heard of; the lowest one before any.
    pub fn current(&self) -> Era {
        self.current.unwrap_or_default()
    }

    /// The highest era heard of; `None` before any.
    pub fn known(&self) -> Option<Era> {
        self.current
    }

    /// Whether the era has risen since the first one that was heard of.
    pub fn has_seen_restore(&self) -> bool {
        self.has_seen_restore
    }

    /// Whether the store may lack writes that no restore seen here explains: one came before the
    /// first era that was heard of, less than `rewrite` ago for all that is known.
    ///
    /// The writers repeat what was lost within `rewrite`.
    pub fn may_lack_writes(&self, rewrite: Duration, now: Time) -> bool {
        self.started.is_some_and(|(at, came_after_restore)| {
            came_after_restore && now.saturating_sub(at) < rewrite
        })
    }

    /// Records an era that the store or a peer named.
    pub fn observe(&mut self, era: Era, now: Time) -> Observation {
        self.started.get_or_insert((now, era > Era::default()));
        match self.current {
            Some(current) if era < current => Observation::Outdated,
            Some(current) if era > current => {
                self.current = Some(era);
                self.has_seen_restore = true;
                Observation::Restored { from: current }
            }
            _ => {
                self.current = Some(era);
                Observation::Current
            }
        }
    }

    /// The offset of a cursor, if it is of the current era; otherwise the topic must be read anew.
    pub fn offset(&self, cursor: Option<Cursor>) -> Option<u64> {
        let cursor = cursor.filter(|cursor| cursor.era == self.current())?;
        Some(cursor.offset)
    }
}

/// The newest configuration that reads of one era have shown.
///
/// After a restore the store may show an older version than the one in force until the operator's
/// writes are repeated. Such a read proves nothing about keys that were revoked meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shown {
    era: Era,
    /// 0 for none; never falls within an era.
    version: u64,
}

impl Shown {
    /// Records a version that a read in this era showed.
    pub fn record(&mut self, era: Era, version: u64) {
        if era != self.era {
            *self = Self { era, version };
        }
        self.version = self.version.max(version);
    }

    /// Whether a read in this era confirms that the version in force is the newest.
    pub fn confirms(&self, era: Era, in_force: u64) -> bool {
        era == self.era && self.version >= in_force
    }
}
