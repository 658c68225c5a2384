//! Timers of the core; a timer that is no longer wanted is recognised when it fires.

use {
    camphorweir_wire::ids::{AttemptId, RequestId},
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// What is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// A request's deadline.
    Deadline(RequestId),
    /// A step of a pipeline attempt has not been answered; the number tells steps apart.
    Step(RequestId, AttemptId, u32),
    /// An exchange with a plain service has not ended.
    Exchange(RequestId, AttemptId),
    /// A claim has not been read back.
    Claim(RequestId),
    /// What the log says about a request's key is looked at again.
    Recheck(RequestId),
    /// A request under suspicion is tried again apart from others.
    Apart(RequestId),
}

/// All timers, the earliest first.
#[derive(Debug, Default)]
pub struct Heap {
    heap: BinaryHeap<Reverse<(Duration, Timer)>>,
}

impl Heap {
    /// Sets a timer.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Takes the earliest timer that is due.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
