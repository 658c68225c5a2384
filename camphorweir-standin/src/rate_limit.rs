//! A rate limit.

use tokio::time::Instant;

/// A token bucket that holds the tokens of one second, at least one.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    tokens: f64,
    last_fill: Instant,
}

impl Bucket {
    /// A full bucket; a rate of 0 sets no limit.
    pub(crate) fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            last_fill: Instant::now(),
        }
    }

    /// Consumes a token; false if none is available.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.rate <= 0.0 {
            return true;
        }
        let now = Instant::now();
        let added = (now - self.last_fill).as_secs_f64() * self.rate;
        self.last_fill = now;
        self.tokens = (self.tokens + added).min(self.rate.max(1.0));
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
