//! Whether a target is fit for new work, by what happened to earlier work.

use std::time::Duration;

/// Shortest time that a target stays ejected.
const EJECT_MIN: Duration = Duration::from_millis(500);
/// Longest time that a target stays ejected.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// How long a joiner or a returned target takes to its full share of work.
const SLOW_START: Duration = Duration::from_secs(2);
/// The share of work that a joiner starts with.
const FIRST_SHARE: f64 = 0.1;

/// The health of one target.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Ejections since the last success.
    strikes: u32,
    /// Out of use until this time.
    until: Duration,
    /// When it last came into use; `None` for one that is past its slow start.
    since: Option<Duration>,
}

impl State {
    /// A target joins, or returns as a new incarnation.
    pub fn join(&mut self, now: Duration) {
        self.strikes = 0;
        self.until = Duration::ZERO;
        self.since = Some(now);
    }

    /// The target failed; it is out of use for a time that doubles with every failure in a row.
    pub fn eject(&mut self, now: Duration) {
        if !self.fit(now) {
            return;
        }
        let wait = EJECT_MIN * (1 << self.strikes.min(6));
        self.strikes += 1;
        self.until = now + wait.min(EJECT_MAX);
        self.since = Some(self.until);
    }

    /// The target answered.
    pub fn succeed(&mut self) {
        self.strikes = 0;
    }

    /// Whether it has not answered anything since its last ejection.
    pub fn on_trial(&self) -> bool {
        self.strikes > 0
    }

    /// Whether it may get new work.
    pub fn fit(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// Time until it may get new work again.
    pub fn back_in(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// The share of its full work that it may get now, above 0 and at most 1.
    pub fn share(&self, now: Duration) -> f64 {
        let Some(since) = self.since else {
            return 1.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(FIRST_SHARE, 1.0)
    }
}
