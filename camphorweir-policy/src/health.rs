//! Passive health of targets: ejection with exponential backoff, then slow start.

use std::time::Duration;

/// Minimum time that a target stays ejected.
const EJECT_MIN: Duration = Duration::from_millis(500);
/// Maximum time that a target stays ejected.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// Time in which a new or returned target ramps up to its full share of work.
const SLOW_START: Duration = Duration::from_secs(2);
/// The share of work with which slow start begins.
const INITIAL_SHARE: f64 = 0.1;

/// The health of one target.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Number of ejections since the last success.
    ejections: u32,
    /// Time until which the target is ejected.
    ejected_until: Duration,
    /// When slow start last began, or will begin after the current ejection; `None` before the first.
    ramp_start: Option<Duration>,
}

impl State {
    /// Begins slow start for a target that joins or returns as a new incarnation.
    pub fn join(&mut self, now: Duration) {
        self.ejections = 0;
        self.ejected_until = Duration::ZERO;
        self.ramp_start = Some(now);
    }

    /// Ejects the target after a failure, for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: Duration) {
        if !self.is_available(now) {
            return;
        }
        let wait = EJECT_MIN * (1 << self.ejections.min(6));
        self.ejections += 1;
        self.ejected_until = now + wait.min(EJECT_MAX);
        self.ramp_start = Some(self.ejected_until);
    }

    /// Records a successful answer.
    pub fn record_success(&mut self) {
        self.ejections = 0;
    }

    /// Whether the target has not answered successfully since its last ejection.
    pub fn on_probation(&self) -> bool {
        self.ejections > 0
    }

    /// Whether the target is not ejected.
    pub fn is_available(&self, now: Duration) -> bool {
        now >= self.ejected_until
    }

    /// Time until the current ejection ends; zero if there is none.
    pub fn available_in(&self, now: Duration) -> Duration {
        self.ejected_until.saturating_sub(now)
    }

    /// The fraction of its full work that the target may get now, above 0 and at most 1.
    pub fn share(&self, now: Duration) -> f64 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let age = now.saturating_sub(start).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(INITIAL_SHARE, 1.0)
    }
}
