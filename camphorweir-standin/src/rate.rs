//! A limit on events a second.

use tokio::time::Instant;

/// A token bucket that holds one second's worth, at least one.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A full bucket; a rate of 0 sets no limit.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            filled: Instant::now(),
        }
    }

    /// Takes a token if there is one.
    pub(crate) fn take(&mut self) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let now = Instant::now();
        let gained = (now - self.filled).as_secs_f64() * self.rate;
        self.filled = now;
        self.tokens = (self.tokens + gained).min(self.rate.max(1.0));
        let free = self.tokens >= 1.0;
        if free {
            self.tokens -= 1.0;
        }
        free
    }
}
