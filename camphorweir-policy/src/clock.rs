//! The time as the core is told it.

use std::time::Duration;

/// Both clocks at the moment of an event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// Since the process started; never goes back.
    pub mono: Duration,
    /// Since the Unix epoch; may jump.
    pub wall: Duration,
}
