//! Appends to the log: records are queued for each stream, and appended in batches.

use {
    crate::{action, event::AppendId},
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum time between the starts of two appends of this entry to one stream.
///
/// With [`PARTITIONS`](camphorweir_wire::claim::PARTITIONS) claim streams and a batching instance
/// for each, it bounds the append rate of all entries together.
const MIN_APPEND_GAP: Duration = Duration::from_millis(10);
/// Delay after the first failed append; it doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a failed append is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 512;

/// A record to append.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The encoded record.
    pub bytes: Vec<u8>,
    /// Whether the record is retried until an append succeeds; otherwise a failure drops it.
    pub retry: bool,
}

/// The records for one stream.
#[derive(Debug, Default)]
struct Queue {
    waiting: Vec<Entry>,
    in_flight: Option<(AppendId, Vec<Entry>)>,
    /// No append starts before this time.
    not_before: Duration,
    failures: u32,
}

/// The queues of all streams.
#[derive(Debug, Default)]
pub struct Outbox {
    queues: BTreeMap<String, Queue>,
    next: AppendId,
}

impl Outbox {
    /// Queues a record for a stream.
    pub fn push(&mut self, stream: String, entry: Entry) {
        self.queues.entry(stream).or_default().waiting.push(entry);
    }

    /// The appends to start now; each stream has at most one in flight.
    pub fn flush(&mut self, now: Duration) -> Vec<action::Append> {
        let mut out = Vec::new();
        for (stream, queue) in &mut self.queues {
            if queue.in_flight.is_some() || queue.waiting.is_empty() || now < queue.not_before {
                continue;
            }
            let count = queue.waiting.len().min(MAX_BATCH_RECORDS);
            let entries: Vec<Entry> = queue.waiting.drain(..count).collect();
            let id = self.next;
            self.next += 1;
            out.push(action::Append {
                id,
                stream: stream.clone(),
                records: entries.iter().map(|entry| entry.bytes.clone()).collect(),
            });
            queue.in_flight = Some((id, entries));
            queue.not_before = now + MIN_APPEND_GAP;
        }
        out
    }

    /// Handles the success of an append.
    pub fn succeeded(&mut self, id: AppendId) {
        if let Some(queue) = self.queue(id) {
            queue.in_flight = None;
            queue.failures = 0;
        }
    }

    /// Handles an append that failed or whose answer was lost: records to retry are queued again,
    /// and the stream waits before its next append.
    pub fn failed(&mut self, id: AppendId, now: Duration) {
        let Some(queue) = self.queue(id) else {
            return;
        };
        let Some((_, entries)) = queue.in_flight.take() else {
            return;
        };
        let wait = MIN_RETRY_DELAY * (1 << queue.failures.min(5));
        queue.failures += 1;
        queue.not_before = now + wait.min(MAX_RETRY_DELAY);
        let unconfirmed = entries.into_iter().filter(|entry| entry.retry);
        queue.waiting.splice(0..0, unconfirmed);
    }

    /// Whether the last append to a stream failed and the delay before the next is not over.
    pub fn is_blocked(&self, stream: &str, now: Duration) -> bool {
        self.queues
            .get(stream)
            .is_some_and(|queue| queue.failures > 0 && now < queue.not_before)
    }

    /// Whether no record is left that is retried until it is in the log.
    pub fn is_drained(&self) -> bool {
        self.unconfirmed().next().is_none()
    }

    /// The records that are retried and not yet known to be in the log, with their streams.
    pub fn unconfirmed(&self) -> impl Iterator<Item = (&str, &Entry)> {
        self.queues.iter().flat_map(|(stream, queue)| {
            let in_flight = queue.in_flight.iter().flat_map(|(_, entries)| entries);
            queue
                .waiting
                .iter()
                .chain(in_flight)
                .filter(|entry| entry.retry)
                .map(move |entry| (stream.as_str(), entry))
        })
    }

    /// Whether an append to some stream has failed and has not succeeded since.
    pub fn is_failing(&self) -> bool {
        self.queues.values().any(|queue| queue.failures > 0)
    }

    /// Drops the records whose encoded bytes `accepted` selects, since others append them instead.
    pub fn drop_accepted(&mut self, accepted: impl Fn(&[u8]) -> bool) {
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|entry| !accepted(&entry.bytes));
            if let Some((_, in_flight)) = &mut queue.in_flight {
                in_flight.retain(|entry| !accepted(&entry.bytes));
            }
        }
    }

    fn queue(&mut self, id: AppendId) -> Option<&mut Queue> {
        self.queues.values_mut().find(|queue| {
            queue
                .in_flight
                .as_ref()
                .is_some_and(|(in_flight, _)| *in_flight == id)
        })
    }
}
