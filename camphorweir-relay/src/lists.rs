//! When an instance reads the list of targets from the store itself.
//!
//! The reader of a zone does so all the time. Any other instance does once its list is old, whatever
//! the reason: the one bound on how late it learns of a target that leaves holds for all of them.

use std::time::Duration;

/// Pause between reads of the list by the reader of a zone.
const READER_PAUSE: Duration = Duration::from_millis(850);
/// Share of the time after which a leaving target must get nothing more, at which a list is old. The
/// rest is for the read and for sending requests; a healthy follower's list is younger.
const OLD_SHARE: f64 = 0.55;
/// Least pause between reads of an instance that is not the reader, while the zone's readers are known
/// to get no answer from the store either.
const OUTAGE_PAUSE: Duration = Duration::from_secs(2);

/// What an instance knows of its list of targets.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    /// Whether this instance reads the store for its zone.
    pub is_reader: bool,
    /// Age of the list; `None` without any.
    pub age: Option<Duration>,
    /// Time since the last read here ended; `None` before any.
    pub since_read: Option<Duration>,
    /// Whether this instance asks the store for the configuration and gets no answer. The list is read
    /// as soon as it gets one.
    pub is_store_away: bool,
    /// Whether the readers of the zone get no answer from the store.
    pub is_outage_known: bool,
}

/// Age at which a list is old, where a leaving target must get nothing more after `drain`.
pub fn lists_old_age(drain: Duration) -> Duration {
    drain.mul_f64(OLD_SHARE)
}

/// Time until the list is to be read from the store here; zero for now.
pub fn lists_next_read(status: &Status, drain: Duration) -> Duration {
    let Some(age) = status.age else {
        return Duration::ZERO;
    };
    let pause_left = |pause: Duration| {
        let since = status.since_read;
        since.map_or(Duration::ZERO, |since| pause.saturating_sub(since))
    };
    if status.is_store_away {
        return Duration::MAX;
    }
    if status.is_reader {
        return pause_left(READER_PAUSE);
    }
    let old_in = lists_old_age(drain).saturating_sub(age);
    match status.is_outage_known {
        true => old_in.max(pause_left(OUTAGE_PAUSE)),
        false => old_in,
    }
}
