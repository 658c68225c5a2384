//! The process's clock, as the core is told it.

use {
    camphorweir_policy::clock::Now,
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// Tells the time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Both clocks, now.
    pub fn now(&self) -> Now {
        Now {
            mono: self.start.elapsed(),
            wall: wall(),
        }
    }

    /// The instant at which [`Now::mono`] is `mono`; one too far ahead is a day from now.
    pub fn instant(&self, mono: Duration) -> Instant {
        let far = Instant::now() + Duration::from_secs(86_400);
        self.start.checked_add(mono).unwrap_or(far)
    }
}

/// Time since the Unix epoch; a clock set before it counts as the epoch.
pub fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
}
