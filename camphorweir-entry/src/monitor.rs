//! Detects that a caller's connection stalls or is idle, and says when it is closed.

use {
    crate::{
        activity::{self, Held, UNREAD_PAUSE},
        settings::Limits,
    },
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time::Instant},
};

/// Idle connections are kept open for this long at a shutdown, after their opening or last answer.
const MIN_DRAIN_AGE: Duration = Duration::from_secs(1);
/// Pause before another look at a connection that is due to close, and has a request in flight.
const BUSY_PAUSE: Duration = Duration::from_millis(100);
/// Looks within the time for a head, as none is taken when one begins.
const LOOKS_PER_HEAD_TIME: u32 = 4;

/// What is to be done with a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// Nothing before this time.
    Later(Instant),
    /// Close it once nothing is left on it.
    Drain,
    /// Close it, as the caller neither sends nor reads.
    Expire,
}

/// Activity of a connection, shared between its stream and the tasks that serve it.
#[derive(Clone, Debug)]
pub struct Activity {
    start: Instant,
    /// Milliseconds from `start` to the last byte read or written.
    last_activity_ms: Arc<AtomicU64>,
    /// Answers of the core that the connection waits for.
    awaited_answers: Arc<AtomicUsize>,
    is_http2: Arc<AtomicBool>,
    /// The head is counted over HTTP/1 alone.
    requests: Arc<Mutex<activity::Activity>>,
}

impl Activity {
    /// The activity of a connection that was just opened.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            last_activity_ms: Arc::default(),
            awaited_answers: Arc::default(),
            is_http2: Arc::default(),
            requests: Arc::default(),
        }
    }

    /// The requests of the connection; over HTTP/2 without their heads.
    pub(crate) fn requests(&self) -> MutexGuard<'_, activity::Activity> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is to be done with the connection over `stream`, which `drained_at` says was told to
    /// drain. Nothing may be awaited before the close.
    pub fn due(
        &self,
        stream: &TcpStream,
        limits: &Limits,
        is_closing: bool,
        drained_at: Option<Instant>,
    ) -> Due {
        let (requests, now) = (*self.requests(), Instant::now());
        if let Some(since) = requests.head_since {
            let until = since + limits.head_time;
            return if until > now {
                Due::Later(until)
            } else {
                Due::Expire
            };
        }
        let last =
            self.start + Duration::from_millis(self.last_activity_ms.load(Ordering::Relaxed));
        let stalled_at = match self.awaited_answers.load(Ordering::Relaxed) {
            0 => drained_at.map_or(last, |at| at.max(last)) + limits.idle,
            _ => now + limits.idle,
        };
        let is_http2 = self.is_http2.load(Ordering::Relaxed);
        let may_drain = is_closing && drained_at.is_none();
        let drain_at = match is_http2 {
            true => requests.opened_at,
            false => requests.idle_since,
        } + MIN_DRAIN_AGE;
        let due_at = if may_drain {
            drain_at.min(stalled_at)
        } else {
            stalled_at
        };
        if due_at > now {
            return Due::Later(due_at.min(now + limits.head_time / LOOKS_PER_HEAD_TIME));
        }
        match requests.held(stream) {
            // Streams that cross the notice are served, or known to their caller as not begun.
            _ if is_http2 && drained_at.is_none() => Due::Drain,
            Held::Unread => Due::Later(now + UNREAD_PAUSE),
            Held::Request if stalled_at > now => Due::Later(now + BUSY_PAUSE),
            Held::Nothing if drained_at.is_none() => Due::Drain,
            _ => Due::Expire,
        }
    }

    /// Records that the caller uses HTTP/2.
    pub(crate) fn set_http2(&self) {
        self.is_http2.store(true, Ordering::Relaxed);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.requests().begin_request();
        RequestGuard(self.clone())
    }

    /// Counts an answer of the core as awaited until the guard is dropped.
    pub fn await_answer(&self) -> AnswerGuard {
        self.awaited_answers.fetch_add(1, Ordering::Relaxed);
        AnswerGuard(self.clone())
    }

    /// Records that a byte was read or written.
    pub(crate) fn touch(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_activity_ms.store(millis, Ordering::Relaxed);
    }
}

impl Default for Activity {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts an answer of the core as awaited by a connection.
#[derive(Debug)]
pub struct AnswerGuard(Activity);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        // The idle timeout starts anew for writing the answer.
        self.0.touch();
        self.0.awaited_answers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in flight.
#[derive(Debug)]
pub struct RequestGuard(Activity);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.requests().end_request();
    }
}
