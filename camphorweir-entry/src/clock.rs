//! The clock from which the core's time is read.

use {
    camphorweir_policy::clock::Now,
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// Measures time from the start of the process.
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

    /// The current monotonic and wall-clock time.
    pub fn now(&self) -> Now {
        Now {
            mono: self.start.elapsed(),
            wall: wall(),
        }
    }

    /// The instant at which [`Now::mono`] is `mono`, or a day from now if that overflows.
    pub fn instant(&self, mono: Duration) -> Instant {
        let fallback = Instant::now() + Duration::from_secs(86_400);
        self.start.checked_add(mono).unwrap_or(fallback)
    }
}

/// Time since the Unix epoch; zero if the clock is set before it.
pub fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
}
