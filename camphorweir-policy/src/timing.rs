//! Delivery times of an answer's tokens.

use std::time::Duration;

/// Time between the tokens of one answer; its size is bounded by the pipeline's token limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timing {
    /// When the last token was delivered.
    last: Option<Duration>,
    /// Time from each token to the next in microseconds, except across an interruption.
    pub gaps_us: Vec<u32>,
    /// Time from each interruption to the next token.
    pub recoveries: Vec<Duration>,
}

impl Timing {
    /// Records a token delivered now; `interrupted` is when the last attempt failed.
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
