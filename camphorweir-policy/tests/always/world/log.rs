//! A log service in memory, with outages, lost answers and late appends.

use {
    camphorweir_wire::log::{Page, Stored},
    serde_bytes::ByteBuf,
    std::{collections::BTreeMap, time::Duration},
};

/// The fake of the platform's log service.
#[derive(Default)]
pub(crate) struct Log {
    streams: BTreeMap<String, Stream>,
    late: Vec<(Duration, String, Vec<Vec<u8>>)>,
    /// Nobody reaches it.
    pub(crate) down: bool,
    /// Appends that land and whose answer is lost.
    pub(crate) lose_answers: u32,
    /// Appends whose answer is lost and that land this much later.
    pub(crate) make_late: Option<Duration>,
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
    /// Appends; `None` when the caller gets no answer.
    pub(crate) fn append(
        &mut self,
        wall: Duration,
        stream: &str,
        records: &[Vec<u8>],
    ) -> Option<u64> {
        if self.down {
            return None;
        }
        if let Some(wait) = self.make_late.take() {
            self.late
                .push((wall + wait, stream.to_owned(), records.to_vec()));
            return None;
        }
        let first = self.land(wall, stream, records);
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return None;
        }
        Some(first)
    }

    /// Lands the late appends that are due.
    pub(crate) fn advance(&mut self, wall: Duration) {
        let (due, wait) = self.late.drain(..).partition(|(at, ..)| *at <= wall);
        self.late = wait;
        let due: Vec<(Duration, String, Vec<Vec<u8>>)> = due;
        for (at, stream, records) in due {
            self.land(at, &stream, &records);
        }
    }

    fn land(&mut self, wall: Duration, stream: &str, records: &[Vec<u8>]) -> u64 {
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

    /// Retention passes: records that landed before `wall` are dropped.
    pub(crate) fn forget(&mut self, wall: Duration) {
        for stream in self.streams.values_mut() {
            let ms = wall.as_millis() as u64;
            let gone = stream.records.partition_point(|stored| stored.time_ms < ms);
            stream.records.drain(..gone);
            stream.oldest += gone as u64;
        }
    }

    /// Records from an offset on; `None` when it can't be reached.
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
