//! Suspicions that a target does not respond, from the first sign to the proof.

use {crate::ids::Time, std::time::Duration};

/// A sound target may be silent for about this long.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_millis(1_500);
/// Pause between probes of a suspected target.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(450);

/// A target that may be unresponsive.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// When the suspicion was raised.
    pub raised_at: Time,
    /// Time of the last failed probe, or of the failure that raised the suspicion.
    pub failed_at: Time,
    /// Whether a probe has shown since that the target does not respond.
    pub confirmed: bool,
    /// Time of the next probe.
    pub next_probe: Time,
    /// A probe that goes without an answer before this time may have met a sound target.
    sound_until: Time,
}

impl Suspicion {
    /// A suspicion raised now for a failure, or for a silence since an earlier time.
    pub fn new(silent_since: Option<Time>, now: Time) -> Self {
        Self {
            raised_at: now,
            failed_at: now,
            confirmed: false,
            next_probe: now,
            sound_until: silent_since.map_or(now, |since| since + MAX_SOUND_SILENCE),
        }
    }

    /// Records a failure beside the suspicion, which no sound target has.
    pub fn record_failure(&mut self, now: Time) {
        self.sound_until = self.sound_until.min(now);
    }

    /// Records that a probe had no answer.
    pub fn record_silent_probe(&mut self, now: Time) {
        self.failed_at = now;
        self.confirmed |= now >= self.sound_until;
    }

    /// Records that the target is not there.
    pub fn record_absence(&mut self, now: Time) {
        self.failed_at = now;
        self.confirmed = true;
    }

    /// Whether the target may be sound and answer soon.
    pub fn may_be_sound(&self, now: Time) -> bool {
        !self.confirmed && now < self.sound_until
    }
}
