//! The clock that runs on while the machine sleeps.

use {
    camphorweir_relay::ids::Now,
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
    tokio::time::Instant,
};

/// Time since boot, sleep included.
///
/// The runtime's clock, which tests pause, is taken where both agree; what the machine slept is
/// added to it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    slept: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
            slept: asleep(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Now {
        self.start.elapsed() + asleep().saturating_sub(self.slept)
    }
}

/// How long the machine has slept since it was started.
fn asleep() -> Duration {
    let boot = clock_gettime(ClockId::Boottime);
    let steady = clock_gettime(ClockId::Monotonic);
    let boot = Duration::new(boot.tv_sec.unsigned_abs(), boot.tv_nsec as u32);
    let steady = Duration::new(steady.tv_sec.unsigned_abs(), steady.tv_nsec as u32);
    boot.saturating_sub(steady)
}
