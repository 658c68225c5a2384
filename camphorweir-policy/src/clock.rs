//! The time that events carry into the core.

use std::time::Duration;

/// Readings of the monotonic and the wall clock at the time of an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// Time since the process started, by the monotonic clock, which never goes back.
    pub mono: Duration,
    /// Time since the Unix epoch, by the wall clock, which may jump.
    pub wall: Duration,
}
