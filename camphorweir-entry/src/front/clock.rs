//! A monotonic clock that advances while the machine is suspended.

use {
    camphorweir_relay::ids::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Reading of a clock at its start. Peers and the store report events that came before it, up to an hour
/// earlier, whose times would all be zero otherwise.
const READING_AT_START: Duration = Duration::from_secs(3600);

/// Time since an hour before the start of the clock, suspend included.
///
/// Based on the runtime's clock, which tests can pause; the time that the machine was suspended is
/// added to it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    suspended_at_start: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            suspended_at_start: suspended_time(),
        }
    }

    /// The reading of the clock.
    pub fn now(&self) -> Time {
        READING_AT_START
            + self.start.elapsed()
            + suspended_time().saturating_sub(self.suspended_at_start)
    }
}

/// How long the machine has been suspended since boot.
fn suspended_time() -> Duration {
    let boottime = clock_gettime(ClockId::Boottime);
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boottime = Duration::new(boottime.tv_sec.unsigned_abs(), boottime.tv_nsec as u32);
    let monotonic = Duration::new(monotonic.tv_sec.unsigned_abs(), monotonic.tv_nsec as u32);
    boottime.saturating_sub(monotonic)
}
