//! The requests in flight, and how far each has come.

use {
    crate::{front::state::State, memory::Booking, units::millis},
    camphorweir_relay::{
        ids::{RequestId, Time},
        memory::Class,
        router::Plan,
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Limit on the lines that name the requests which the end of the process cuts.
const MAX_CUT_LINES: usize = 25;

/// What a request takes while it is in flight, in bytes: its records, and the connection to its target.
const REQUEST_BYTES: usize = 24 << 10;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Its body is being read.
    Body,
    /// It waits for a target.
    Waiting,
    /// It was sent to a target, which has not begun to answer.
    Sent,
    /// Its answer is being passed on.
    Streaming,
}

impl Phase {
    /// The `phase` of log lines and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Streaming => "streaming",
        }
    }
}

/// What is known of a request in flight.
#[derive(Clone, Debug)]
struct Record {
    id: RequestId,
    phase: Phase,
    arrived_at: Time,
    /// Projected time of its last plan; `None` without a path.
    cost: Option<Duration>,
}

/// The requests in flight.
#[derive(Debug, Default)]
pub struct Requests(Mutex<Open>);

#[derive(Debug, Default)]
struct Open {
    next: u64,
    records: BTreeMap<u64, Record>,
}

impl Requests {
    fn open(&self) -> MutexGuard<'_, Open> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of requests in flight.
    pub fn count(&self) -> usize {
        self.open().records.len()
    }

    /// Logs and counts the requests that the end of the process cuts.
    pub fn report_cut(&self, state: &State) {
        let now = state.now();
        let since = state.stop().map_or(now, |stop| stop.since);
        for (index, record) in self.open().records.values().enumerate() {
            state.metrics().record_stop_cut(record.phase.label());
            if index >= MAX_CUT_LINES {
                continue;
            }
            let arrived_ms = record.arrived_at.as_millis() as i64;
            log::warn!(
                request:% = record.id,
                phase = record.phase.label(),
                age_ms = millis(now.saturating_sub(record.arrived_at)),
                after_stop_ms = arrived_ms - since.as_millis() as i64,
                cost_ms = record.cost.map_or(-1, |cost| millis(cost) as i64);
                "request cut by the end of the process"
            );
        }
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight {
    state: State,
    key: u64,
    /// What it takes apart from its body; `None` before it is admitted.
    booking: Option<Booking>,
}

impl InFlight {
    /// A request that arrives now.
    pub fn new(state: &State, id: RequestId) -> Self {
        let record = Record {
            id,
            phase: Phase::Body,
            arrived_at: state.now(),
            cost: None,
        };
        let mut open = state.requests().open();
        let key = open.next;
        open.next += 1;
        open.records.insert(key, record);
        drop(open);
        Self {
            state: state.clone(),
            key,
            booking: None,
        }
    }

    /// Books the memory of an admitted request apart from its body; `false` without room.
    pub fn book(&mut self) -> bool {
        self.booking = self.state.memory().book(REQUEST_BYTES, Class::Small);
        self.booking.is_some()
    }

    /// Records how far the request has come.
    pub fn enter(&self, phase: Phase) {
        if let Some(record) = self.state.requests().open().records.get_mut(&self.key) {
            record.phase = phase;
        }
    }

    /// Records that the request is sent as planned.
    pub fn send(&self, plan: &Plan) {
        if let Some(record) = self.state.requests().open().records.get_mut(&self.key) {
            record.phase = Phase::Sent;
            let cost_ms = plan.path().map(|(path, _)| path.cost_ms().max(0.0));
            record.cost = cost_ms.map(|ms| Duration::from_millis(ms as u64));
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.requests().open().records.remove(&self.key);
    }
}
