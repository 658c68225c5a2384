//! Appends to the log: records wait here until they have landed, and travel together.

use {
    crate::{action, event::AppendId},
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest time between the starts of two appends of this entry to one stream.
///
/// With [`PARTITIONS`](camphorweir_wire::claim::PARTITIONS) claim streams and a batching instance
/// for each it bounds the appends of all entries together.
const GAP: Duration = Duration::from_millis(10);
/// First wait before a failed append is made again; it doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest wait before a failed append is made again.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Records in one append.
const BATCH: usize = 512;

/// A record on its way into the log.
#[derive(Clone, Debug)]
pub struct Parcel {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Whether it is appended again until it lands; one that is not is dropped after a failure.
    pub keep: bool,
}

/// What waits for one stream.
#[derive(Debug, Default)]
struct Lane {
    waiting: Vec<Parcel>,
    flying: Option<(AppendId, Vec<Parcel>)>,
    /// No append starts before this time.
    not_before: Duration,
    failures: u32,
}

/// Everything that waits for the log.
#[derive(Debug, Default)]
pub struct Outbox {
    lanes: BTreeMap<String, Lane>,
    next: AppendId,
}

impl Outbox {
    /// Puts a record in.
    pub fn push(&mut self, stream: String, parcel: Parcel) {
        self.lanes.entry(stream).or_default().waiting.push(parcel);
    }

    /// The appends to start now, at most one under way for each stream.
    pub fn flush(&mut self, now: Duration) -> Vec<action::Append> {
        let mut out = Vec::new();
        for (stream, lane) in &mut self.lanes {
            if lane.flying.is_some() || lane.waiting.is_empty() || now < lane.not_before {
                continue;
            }
            let count = lane.waiting.len().min(BATCH);
            let parcels: Vec<Parcel> = lane.waiting.drain(..count).collect();
            let id = self.next;
            self.next += 1;
            out.push(action::Append {
                id,
                stream: stream.clone(),
                records: parcels.iter().map(|parcel| parcel.bytes.clone()).collect(),
            });
            lane.flying = Some((id, parcels));
            lane.not_before = now + GAP;
        }
        out
    }

    /// An append landed.
    pub fn landed(&mut self, id: AppendId) {
        if let Some(lane) = self.lane(id) {
            lane.flying = None;
            lane.failures = 0;
        }
    }

    /// An append failed or its answer was lost; what must land is appended again after a wait.
    pub fn failed(&mut self, id: AppendId, now: Duration) {
        let Some(lane) = self.lane(id) else {
            return;
        };
        let Some((_, parcels)) = lane.flying.take() else {
            return;
        };
        let wait = RETRY_MIN * (1 << lane.failures.min(5));
        lane.failures += 1;
        lane.not_before = now + wait.min(RETRY_MAX);
        let kept = parcels.into_iter().filter(|parcel| parcel.keep);
        lane.waiting.splice(0..0, kept);
    }

    /// Whether the last append to a stream failed and the wait before the next is not over.
    pub fn is_blocked(&self, stream: &str, now: Duration) -> bool {
        self.lanes
            .get(stream)
            .is_some_and(|lane| lane.failures > 0 && now < lane.not_before)
    }

    /// Whether nothing waits that must land.
    pub fn is_clear(&self) -> bool {
        self.kept().next().is_none()
    }

    /// The records that must land and have not, with their streams.
    pub fn kept(&self) -> impl Iterator<Item = (&str, &Parcel)> {
        self.lanes.iter().flat_map(|(stream, lane)| {
            let flying = lane.flying.iter().flat_map(|(_, parcels)| parcels);
            lane.waiting
                .iter()
                .chain(flying)
                .filter(|parcel| parcel.keep)
                .map(move |parcel| (stream.as_str(), parcel))
        })
    }

    /// Whether an append to some stream has failed and has not succeeded since.
    pub fn is_failing(&self) -> bool {
        self.lanes.values().any(|lane| lane.failures > 0)
    }

    /// Drops records that somebody else has taken over.
    pub fn hand_over(&mut self, taken: impl Fn(&[u8]) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|parcel| !taken(&parcel.bytes));
            if let Some((_, flying)) = &mut lane.flying {
                flying.retain(|parcel| !taken(&parcel.bytes));
            }
        }
    }

    fn lane(&mut self, id: AppendId) -> Option<&mut Lane> {
        self.lanes.values_mut().find(|lane| {
            lane.flying
                .as_ref()
                .is_some_and(|(flying, _)| *flying == id)
        })
    }
}
