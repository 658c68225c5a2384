//! How many calls a server of a plain service takes side by side before they wait for each other.

use std::time::Duration;

/// The weight of one answer in the recent latency.
const RECENT: f64 = 0.05;
/// By how much of the difference the quiet latency follows the recent one upwards.
const DRIFT: f64 = 0.0002;
/// Recent latency, as a multiple of the quiet one, above which calls wait for each other.
const CROWDED: f64 = 1.25;
/// Calls side by side at first.
const FIRST: f64 = 1.0;
/// Most calls side by side.
const MOST: f64 = 1024.0;

/// The pace of one server: additive increase, multiplicative decrease by latency.
#[derive(Clone, Debug)]
pub struct State {
    limit: f64,
    /// Seconds; 0 before the first answer.
    recent: f64,
    /// Least value of `recent`, in seconds.
    quiet: f64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            limit: FIRST,
            recent: 0.0,
            quiet: 0.0,
        }
    }
}

impl State {
    /// A call was answered after this time, while so many were open; the limit grows only in use.
    pub fn answered(&mut self, time: Duration, open: u32) {
        let time = time.as_secs_f64();
        if self.quiet <= 0.0 {
            self.recent = time;
            self.quiet = time;
        }
        self.recent += (time - self.recent) * RECENT;
        if self.recent < self.quiet {
            self.quiet = self.recent;
        }
        self.quiet += (self.recent - self.quiet) * DRIFT;
        self.limit = if self.recent > self.quiet * CROWDED {
            self.limit * 0.95
        } else if f64::from(open) + 1.0 >= self.limit.floor() {
            self.limit + 1.0 / self.limit
        } else {
            self.limit
        };
        self.limit = self.limit.clamp(1.0, MOST);
    }

    /// Whether a call below the top class may join those that are open.
    pub fn has_room(&self, open: u32) -> bool {
        f64::from(open) < self.limit.floor()
    }
}
