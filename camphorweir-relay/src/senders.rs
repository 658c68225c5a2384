//! The names under which datagrams of peers come: a limited number beside those that the store lists.

use {
    crate::ids::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Most names at a time that the store doesn't list, as of instances that have just started.
pub const MAX_UNLISTED_SENDERS: usize = 1_024;
/// A name that was not heard for this long makes way for others.
const HEARD_TIME: Duration = Duration::from_secs(10);

/// The senders that the store doesn't list.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    heard_at: BTreeMap<String, Time>,
    /// When the oldest of them were last dropped.
    dropped_at: Option<Time>,
}

impl Senders {
    /// Whether datagrams of an unlisted sender are used: it is known, or there is room for it.
    ///
    /// Looks at all names once in [`HEARD_TIME`] at most.
    pub fn admit(&mut self, name: &str, now: Time) -> bool {
        if let Some(at) = self.heard_at.get_mut(name) {
            *at = now;
            return true;
        }
        let may_drop = self.dropped_at.is_none_or(|at| now >= at + HEARD_TIME);
        if self.heard_at.len() >= MAX_UNLISTED_SENDERS && may_drop {
            self.dropped_at = Some(now);
            self.heard_at
                .retain(|_, at| now.saturating_sub(*at) < HEARD_TIME);
        }
        let has_room = self.heard_at.len() < MAX_UNLISTED_SENDERS;
        if has_room {
            self.heard_at.insert(name.to_owned(), now);
        }
        has_room
    }
}
