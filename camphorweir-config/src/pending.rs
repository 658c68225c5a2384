//! Buffer of configuration records that can't be evaluated before a checkpoint.

use {
    crate::record::{Offset, Publication},
    std::collections::VecDeque,
};

/// Most records buffered; the oldest are evicted.
const MAX_RECORDS: usize = 16_384;
/// Most bytes buffered, counted in their encoded form; the oldest records are evicted.
const MAX_BYTES: usize = 16 << 20;

/// Consecutive records from one offset on.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Offset of the first record in the buffer.
    first: Offset,
    /// Publications and their encoded sizes; `None` for a record of another kind.
    records: VecDeque<(Option<Publication>, usize)>,
    /// Sum of the encoded sizes.
    bytes: usize,
}

impl Pending {
    /// An empty buffer whose first record will have the offset `first`.
    pub(crate) fn new(first: Offset) -> Self {
        Self {
            first,
            records: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Offset of the first record; a checkpoint has to cover all records before it.
    pub(crate) fn first(&self) -> Offset {
        self.first
    }

    /// One past the offset of the last record.
    pub(crate) fn end(&self) -> Offset {
        self.first + self.records.len() as Offset
    }

    /// Appends the record with the offset [`end`](Self::end).
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
