//! How far the answer to a request has come, by which it is judged when its target ends.

use {crate::ids::Time, std::time::Duration};

/// A request at fault ends its target as it begins to be answered. One that is still answered this long
/// after the response head is sound.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// How far the answer to one send has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Progress {
    /// No response head came.
    #[default]
    Waiting,
    /// The response head came at this time, and no event.
    Begun(Time),
    /// The response head came at this time, and events.
    Answering(Time),
    /// Events came long after the response head.
    Settled,
}

impl Progress {
    /// The progress after an event.
    pub fn after_event(self, now: Time) -> Self {
        match self {
            Self::Waiting => Self::Answering(now),
            Self::Begun(since) | Self::Answering(since) => {
                match now.saturating_sub(since) < SETTLE_TIME {
                    true => Self::Answering(since),
                    false => Self::Settled,
                }
            }
            Self::Settled => Self::Settled,
        }
    }

    /// When the target began to answer; `None` if no response head came.
    pub fn begun_at(self) -> Option<Time> {
        match self {
            Self::Begun(at) | Self::Answering(at) => Some(at),
            Self::Waiting | Self::Settled => None,
        }
    }
}
