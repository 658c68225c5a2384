//! When the tokens of an answer were delivered.

use std::time::Duration;

/// The times of one answer; they grow with its tokens, which the pipeline's limit bounds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timing {
    /// When the last token was delivered.
    last: Option<Duration>,
    /// From each token to the next, in microseconds, without those after an interruption.
    pub gaps_us: Vec<u32>,
    /// From each interruption to the next token.
    pub recoveries: Vec<Duration>,
}

impl Timing {
    /// A token is delivered now; `interrupted` is when the last attempt failed.
    pub fn deliver(&mut self, now: Duration, interrupted: Option<Duration>) {
        let last = self.last.replace(now);
        match (last, interrupted) {
            (last, Some(at)) if last.is_none_or(|last| last <= at) => {
                self.recoveries.push(now.saturating_sub(at));
            }
            (Some(last), _) => {
                let gap = now.saturating_sub(last).as_micros();
                self.gaps_us.push(u32::try_from(gap).unwrap_or(u32::MAX));
            }
            (None, _) => {}
        }
    }
}
