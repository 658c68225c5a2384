//! Which instances give permits of one target, and what part of its limit each may give out.
//!
//! Normally one gives all permits. Two do where links between some instances are lost, and do not hear of
//! each other; an instance that hears both tells them how many it hears.

use {
    crate::ids::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Age up to which an account shows a giver to others: two more are sent meanwhile.
const TOLD_TTL: Duration = Duration::from_millis(500);
/// The same for the recipient of a count, which comes later than the accounts that were counted.
const HEARD_TTL: Duration = Duration::from_secs(1);

/// The givers of permits of one target, as this instance hears of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Givers {
    /// When each other instance last told of permits that it gave; for [`HEARD_TTL`].
    heard_at: BTreeMap<String, Time>,
    /// Least part of the limit that is left to this instance, above 0 and below 1, and until when.
    divided: Option<(f64, Time)>,
}

impl Givers {
    /// Records that another instance told of permits that it gave.
    pub(crate) fn record(&mut self, name: &str, now: Time) {
        self.heard_at
            .retain(|_, at| now.saturating_sub(*at) < HEARD_TTL);
        self.heard_at.insert(name.to_owned(), now);
    }

    fn count_within(&self, limit: Duration, now: Time) -> usize {
        let heard = self.heard_at.values();
        heard.filter(|at| now.saturating_sub(**at) < limit).count()
    }

    /// Number of other instances that give permits.
    pub(crate) fn count(&self, now: Time) -> usize {
        self.count_within(TOLD_TTL, now)
    }

    /// Applies the number of givers that another instance hears, for `period`: after it, what was given
    /// before does not count any more. Returns whether the limit is divided from now on.
    ///
    /// This instance and those that it hears share a limit by their accounts; only the part of the others
    /// is left to these.
    pub(crate) fn apply(&mut self, count: usize, period: Duration, now: Time) -> bool {
        let seen = 1 + self.count_within(HEARD_TTL, now);
        if count <= seen {
            return false;
        }
        let part = seen as f64 / count as f64;
        let last = self.part(now);
        if part <= last {
            self.divided = Some((part, now + period));
        }
        last == 1.0
    }

    /// The part of the limit that this instance may give out.
    pub(crate) fn part(&self, now: Time) -> f64 {
        let divided = self.divided.filter(|(_, until)| now < *until);
        divided.map_or(1.0, |(part, _)| part)
    }
}
