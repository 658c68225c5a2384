//! Splits a byte stream into complete server-sent events.

use std::ops::Range;

/// Limit on the bytes of one event; a larger one ends the stream as malformed. An event has a few
/// tokens, and an instance has a hundred streams and more.
pub const MAX_EVENT_BYTES: usize = 128 << 10;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Number of buffered bytes that are known to contain no end of an event.
    scanned: usize,
}

/// Complete events.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// The bytes of the events, as the target sent them.
    pub bytes: Vec<u8>,
    /// The `id` field of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events.
    pub count: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that are now complete.
    ///
    /// Linear in the bytes: each is scanned once, and moved once unless an event spans chunks.
    pub fn push(&mut self, chunk: &[u8]) -> Batch {
        self.buffer.extend_from_slice(chunk);
        let mut batch = Batch::default();
        let mut start = 0;
        while let Some(end) = self.find_event_end(self.scanned.max(start)) {
            batch.count += 1;
            if let Some(id) = event_id(&self.buffer, start..end) {
                batch.last_id = Some(id);
            }
            start = end;
            self.scanned = end;
        }
        // The blank line that ends an event may be split between chunks.
        self.scanned = self.buffer.len().saturating_sub(3).max(start) - start;
        let rest = self.buffer.split_off(start);
        batch.bytes = std::mem::replace(&mut self.buffer, rest);
        batch
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    fn find_event_end(&self, from: usize) -> Option<usize> {
        let bytes = &self.buffer;
        (from..bytes.len()).find_map(|at| {
            let rest = &bytes[at..];
            if rest.starts_with(b"\n\n") {
                return Some(at + 2);
            }
            rest.starts_with(b"\n\r\n").then_some(at + 3)
        })
    }
}

fn event_id(bytes: &[u8], event: Range<usize>) -> Option<String> {
    let lines = bytes[event].split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?.trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
