//! Adaptive concurrency limit for the servers of plain services.

use std::time::Duration;

/// Weight of one answer in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.05;
/// Fraction of the difference by which the baseline latency follows the recent one upwards, per
/// answer.
const BASELINE_DRIFT: f64 = 0.0002;
/// Recent latency, as a multiple of the baseline, above which calls are considered to wait for each
/// other.
const OVERLOAD_FACTOR: f64 = 1.25;
/// Initial limit of concurrent calls.
const INITIAL_LIMIT: f64 = 1.0;
/// Maximum limit of concurrent calls.
const MAX_LIMIT: f64 = 1024.0;

/// The concurrency limit of one server: additive increase and multiplicative decrease by latency.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Number of concurrent calls allowed, rounded down.
    limit: f64,
    /// Moving average of the latency in seconds; 0 before the first answer.
    recent: f64,
    /// Lowest value of `recent`, in seconds, which slowly follows it upwards.
    baseline: f64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            recent: 0.0,
            baseline: 0.0,
        }
    }
}

impl Limiter {
    /// Adapts the limit to the latency of a call that ended while `open` others were in flight; the
    /// limit grows only while it is used up.
    pub fn record(&mut self, latency: Duration, open: u32) {
        let latency = latency.as_secs_f64();
        if self.baseline <= 0.0 {
            self.recent = latency;
            self.baseline = latency;
        }
        self.recent += (latency - self.recent) * LATENCY_WEIGHT;
        if self.recent < self.baseline {
            self.baseline = self.recent;
        }
        self.baseline += (self.recent - self.baseline) * BASELINE_DRIFT;
        self.limit = if self.recent > self.baseline * OVERLOAD_FACTOR {
            self.limit * 0.95
        } else if f64::from(open) + 1.0 >= self.limit.floor() {
            self.limit + 1.0 / self.limit
        } else {
            self.limit
        };
        self.limit = self.limit.clamp(1.0, MAX_LIMIT);
    }

    /// Whether one more call is allowed while `open` are in flight.
    pub fn allows(&self, open: u32) -> bool {
        f64::from(open) < self.limit.floor()
    }
}
