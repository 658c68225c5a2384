//! What a caller's connection holds, and whether it can be closed with no request left on it.

use {
    rustix::io::ioctl_fionread,
    std::{os::fd::AsFd, time::Duration},
    tokio::time::Instant,
};

/// Pause before another look at a connection that is due to close, and holds bytes not yet read.
pub const UNREAD_PAUSE: Duration = Duration::from_millis(20);

/// What stands against the close of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    /// A request that is not answered, or an answer that is not written.
    Request,
    /// A part of a request head.
    Head,
    /// Bytes that have arrived and are read next, unless the caller has left.
    Unread,
    /// Nothing.
    Nothing,
}

/// The requests of a connection, and what was read of the next.
#[derive(Clone, Copy, Debug)]
pub struct Activity {
    /// When the connection was accepted.
    pub opened_at: Instant,
    /// When the last answer was handed over or written; the opening before any.
    pub idle_since: Instant,
    /// When the first byte of a request head came that is not whole.
    pub head_since: Option<Instant>,
    /// Bytes read of that head.
    pub head_bytes: usize,
    /// Requests whose answers are not handed over whole.
    pub unanswered: usize,
    /// Whether the body of the last of them has come to its end.
    pub is_body_over: bool,
    /// Whether a whole head has come.
    pub has_requested: bool,
    /// Since when an answer waits until the caller reads.
    pub blocked_since: Option<Instant>,
}

impl Activity {
    /// A connection that was just opened.
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            opened_at: now,
            idle_since: now,
            head_since: None,
            head_bytes: 0,
            unanswered: 0,
            is_body_over: false,
            has_requested: false,
            blocked_since: None,
        }
    }

    /// Whether a request is not answered, or its answer is not written.
    pub fn is_busy(&self) -> bool {
        self.unanswered > 0 || self.blocked_since.is_some()
    }

    /// What the connection over `stream` holds. It can be closed if that is nothing, with no await
    /// between this look and the close.
    pub fn held(&self, stream: &impl AsFd) -> Held {
        match self.head_bytes {
            _ if self.is_busy() => Held::Request,
            1.. => Held::Head,
            0 if unread_bytes(stream) > 0 => Held::Unread,
            0 => Held::Nothing,
        }
    }

    /// Records that the head of a request is whole.
    pub fn begin_request(&mut self) {
        self.end_head();
        self.has_requested = true;
        self.is_body_over = false;
        self.unanswered += 1;
    }

    /// Whether what is read now is input behind a request in hand.
    pub fn is_ahead(&self) -> bool {
        self.unanswered > 0 && self.is_body_over
    }

    /// Records that an answer is handed over whole.
    pub fn end_request(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.idle_since = Instant::now();
    }

    /// Records bytes from the caller; between requests they begin a head.
    pub fn record_read(&mut self, count: usize) {
        if self.unanswered == 0 && count > 0 {
            self.head_since.get_or_insert_with(Instant::now);
            self.head_bytes += count;
        }
    }

    /// Records that what was read since the last request is no part of a head.
    pub fn end_head(&mut self) {
        self.head_since = None;
        self.head_bytes = 0;
    }

    /// Records an attempt to write, which may wait until the caller reads.
    pub fn record_write(&mut self, is_blocked: bool) {
        let now = Instant::now();
        self.idle_since = now;
        self.blocked_since = is_blocked.then(|| self.blocked_since.unwrap_or(now));
    }
}

impl Default for Activity {
    fn default() -> Self {
        Self::new()
    }
}

/// Bytes of a connection that have arrived and were not read.
pub fn unread_bytes(stream: &impl AsFd) -> u64 {
    // An error means that the connection has ended, with nothing to read.
    ioctl_fionread(stream).unwrap_or_default()
}
