//! A fake log service in memory, with outages, lost answers and delayed appends.

use {
    camphorweir_wire::log::{Page, Stored},
    serde_bytes::ByteBuf,
    std::{collections::BTreeMap, time::Duration},
};

/// A fake of the platform's log service.
#[derive(Default)]
pub(crate) struct Log {
    streams: BTreeMap<String, Stream>,
    /// Delayed appends: when each takes effect, its stream and its records.
    delayed: Vec<(Duration, String, Vec<Vec<u8>>)>,
    /// The service can't be reached.
    pub(crate) down: bool,
    /// Number of next appends that take effect and whose answers are lost.
    pub(crate) lose_answers: u32,
    /// Delay of the next append, whose answer is lost.
    pub(crate) delay_next: Option<Duration>,
}

#[derive(Default)]
struct Stream {
    oldest: u64,
    records: Vec<Stored>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

impl Log {
    /// Appends records and returns the first offset, or `None` when the caller gets no answer.
    pub(crate) fn append(
        &mut self,
        wall: Duration,
        stream: &str,
        records: &[Vec<u8>],
    ) -> Option<u64> {
        if self.down {
            return None;
        }
        if let Some(delay) = self.delay_next.take() {
            self.delayed
                .push((wall + delay, stream.to_owned(), records.to_vec()));
            return None;
        }
        let first = self.store(wall, stream, records);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return None;
        }
        Some(first)
    }

    /// Makes the delayed appends that are due.
    pub(crate) fn advance(&mut self, wall: Duration) {
        let (due, pending) = self.delayed.drain(..).partition(|(at, ..)| *at <= wall);
        self.delayed = pending;
        let due: Vec<(Duration, String, Vec<Vec<u8>>)> = due;
        for (at, stream, records) in due {
            self.store(at, &stream, &records);
        }
    }

    fn store(&mut self, wall: Duration, stream: &str, records: &[Vec<u8>]) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let first = stream.end();
        for record in records {
            stream.records.push(Stored {
                offset: stream.end(),
                time_ms: wall.as_millis() as u64,
                body: ByteBuf::from(record.clone()),
            });
        }
        first
    }

    /// Drops records that were appended before `wall`, as retention does.
    pub(crate) fn expire(&mut self, wall: Duration) {
        for stream in self.streams.values_mut() {
            let ms = wall.as_millis() as u64;
            let expired = stream.records.partition_point(|stored| stored.time_ms < ms);
            stream.records.drain(..expired);
            stream.oldest += expired as u64;
        }
    }

    /// Returns the records from an offset on, or `None` when the service can't be reached.
    pub(crate) fn read(&self, stream: &str, from: u64) -> Option<Page> {
        if self.down {
            return None;
        }
        let Some(stream) = self.streams.get(stream) else {
            return Some(Page {
                oldest: 0,
                end: 0,
                records: Vec::new(),
            });
        };
        let skip = from.max(stream.oldest) - stream.oldest;
        Some(Page {
            oldest: stream.oldest,
            end: stream.end(),
            records: stream.records.iter().skip(skip as usize).cloned().collect(),
        })
    }
}
