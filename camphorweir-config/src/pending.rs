//! Records of the configuration stream that wait for a checkpoint.

use {
    crate::record::{Offset, Publication},
    std::collections::VecDeque,
};

/// Most records kept; the oldest make room.
const MAX_RECORDS: usize = 16_384;
/// Most bytes kept, counted as they stand in the log; the oldest records make room.
const MAX_BYTES: usize = 16 << 20;

/// The records from one offset on, without holes.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Offset of the first record kept.
    first: Offset,
    /// The publications; `None` stands for a record of another kind.
    records: VecDeque<(Option<Publication>, usize)>,
    bytes: usize,
}

impl Pending {
    /// No records yet; the next one will be at `first`.
    pub(crate) fn new(first: Offset) -> Self {
        Self {
            first,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// The oldest offset that a checkpoint has to reach.
    pub(crate) fn first(&self) -> Offset {
        self.first
    }

    /// One past the last record kept.
    pub(crate) fn end(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    /// Keeps the record at [`end`](Self::end).
    pub(crate) fn push(&mut self, publication: Option<Publication>, bytes: usize) {
        self.records.push_back((publication, bytes));
        self.bytes += bytes;
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some((_, bytes)) = self.records.pop_front() else {
                break;
            };
            self.bytes -= bytes;
            self.first += 1;
        }
    }

    /// The records with their offsets.
    pub(crate) fn into_iter(self) -> impl Iterator<Item = (Offset, Option<Publication>)> {
        let records = self.records.into_iter().map(|(record, _)| record);
        (self.first..).zip(records)
    }
}
