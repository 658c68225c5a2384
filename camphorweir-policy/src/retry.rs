//! The retry budget, which limits retries to a fraction of the successful requests.

/// Number of retries that one success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum budget, in retries.
const MAX_BALANCE: f64 = 100.0;
/// Budget of a new process.
const INITIAL_BALANCE: f64 = 20.0;

/// The number of retries that may still be made.
#[derive(Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE,
        }
    }
}

impl Budget {
    /// Adds to the budget for a successful request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns `false` if there is none.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
