//! The budget that bounds retries to a part of the successes.

/// Retries earned by one success.
const EARNED: f64 = 0.1;
/// Most retries that can be saved up.
const SAVED: f64 = 100.0;
/// Retries that a new process starts with.
const FIRST: f64 = 20.0;

/// The retries that may still be made.
#[derive(Debug)]
pub struct Budget {
    left: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: FIRST }
    }
}

impl Budget {
    /// A request was answered.
    pub fn earn(&mut self) {
        self.left = (self.left + EARNED).min(SAVED);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
