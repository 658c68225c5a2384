//! Says why this instance ended an answer before it was complete.

use {
    crate::{front::state::State, units::millis},
    camphorweir_relay::{ids::TargetId, router::Admission},
    std::time::Duration,
};

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The connection to the target failed, or its answer was none that can be passed on.
    Connection,
    /// The target refused the request, which it did not run.
    Refused,
    /// No other target had a place for the request.
    NoPlace,
    /// The deadline passed.
    Deadline,
    /// The process ended.
    Stop,
    /// The caller left.
    Caller,
}

impl Cause {
    /// The `cause` label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Refused => "refused",
            Self::NoPlace => "no_place",
            Self::Deadline => "deadline",
            Self::Stop => "stop",
            Self::Caller => "caller",
        }
    }
}

/// How far an answer had come.
#[derive(Clone, Debug)]
pub struct Cut {
    /// Why it ended.
    pub cause: Cause,
    /// The last target that it came from.
    pub target: Option<TargetId>,
    /// Number of whole events from that target.
    pub events: usize,
    /// Time since the last data, or since the send if none came.
    pub silent_for: Duration,
}

/// Counts and logs an answer that ended before it was complete.
pub fn cut_record(state: &State, request: &Admission, cut: &Cut) {
    state.metrics().record_cut(request, cut.cause.label());
    log::info!(
        request:% = request.id,
        target_name = cut.target.as_deref().unwrap_or_default(),
        cause = cut.cause.label(),
        events = cut.events,
        silent_ms = millis(cut.silent_for),
        sends = request.counts.sends,
        time_left_ms = millis(request.time_left(state.now()));
        "answer ended before it was complete"
    );
}
