//! Timers of the core; they are never cancelled, and an obsolete one is ignored when it fires.

use {
    camphorweir_wire::ids::{AttemptId, RequestId},
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// What a timer is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// The timeout of a step of a token request's attempt, identified by its sequence number.
    Step(RequestId, AttemptId, u32),
    /// The timeout of an exchange with a plain service.
    Exchange(RequestId, AttemptId),
    /// The timeout for reading a claim back from the log.
    Claim(RequestId),
    /// The next check of what the log contains about a request's idempotency key.
    EvaluateKey(RequestId),
    /// The next try to start a request that is suspected of crashing targets, isolated from others.
    RetrySuspect(RequestId),
}

/// All pending timers, ordered by time.
#[derive(Debug, Default)]
pub struct Heap {
    heap: BinaryHeap<Reverse<(Duration, Timer)>>,
}

impl Heap {
    /// Sets a timer.
    pub fn set(&mut self, at: Duration, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Removes and returns the earliest timer that is due.
    pub fn pop(&mut self, now: Duration) -> Option<Timer> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
