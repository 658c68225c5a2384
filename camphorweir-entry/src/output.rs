//! Writes lines to standard output or standard error, for no longer than the writer allows.

use {
    rustix::{
        event::{PollFd, PollFlags, Timespec, poll},
        io::{Errno, write},
        stdio::{stderr, stdout},
    },
    std::{
        os::fd::BorrowedFd,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Bytes written at once: an output that is ready takes them without blocking, as a pipe that is ready
/// has room for a page.
const MAX_WRITE_BYTES: usize = 4_096;

/// Standard output.
pub static STDOUT: Output = Output::new(stdout());
/// Standard error.
pub static STDERR: Output = Output::new(stderr());

/// An output of the process. All writes of the process to it go through one of these, so that none
/// blocks after the output was found ready.
#[derive(Debug)]
pub struct Output {
    fd: BorrowedFd<'static>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The last line was not written whole.
    is_in_line: bool,
    /// Only the last line may still be written.
    is_closed: bool,
}

/// Which line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Turn {
    Ordinary,
    Last,
}

impl Output {
    /// The output with this descriptor.
    pub const fn new(fd: BorrowedFd<'static>) -> Self {
        let state = State {
            is_in_line: false,
            is_closed: false,
        };
        Self {
            fd,
            state: Mutex::new(state),
        }
    }

    /// Writes lines, however long the output is blocked; returns whether they were written whole.
    pub fn write(&self, lines: &[u8]) -> bool {
        self.write_by(lines, None, Turn::Ordinary)
    }

    /// Writes a line unless the output is blocked until `deadline`; returns whether it was written
    /// whole.
    pub fn write_until(&self, line: &[u8], deadline: Instant) -> bool {
        self.write_by(line, Some(deadline), Turn::Ordinary)
    }

    /// Like [`Self::write_until`], and ends all other writes.
    pub fn write_last(&self, line: &[u8], deadline: Instant) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.is_closed = true;
        drop(state);
        self.write_by(line, Some(deadline), Turn::Last)
    }

    fn write_by(&self, lines: &[u8], deadline: Option<Instant>, turn: Turn) -> bool {
        let (mut rest, mut has_begun) = (lines, false);
        while !rest.is_empty() {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.is_closed && turn == Turn::Ordinary {
                return false;
            }
            if !self.is_ready_by(Some(Instant::now())) {
                drop(state);
                match self.is_ready_by(deadline) {
                    // Another writer may take the room.
                    true => continue,
                    false => return false,
                }
            }
            let ends_line = state.is_in_line && !has_begun;
            let chunk = match ends_line {
                true => b"\n",
                false => &rest[..rest.len().min(MAX_WRITE_BYTES)],
            };
            let written = match write(self.fd, chunk) {
                Ok(written) => written,
                Err(Errno::INTR | Errno::AGAIN) => continue,
                Err(_) => return false,
            };
            if ends_line {
                state.is_in_line = false;
                continue;
            }
            has_begun = true;
            rest = &rest[written..];
            state.is_in_line = !chunk[..written].ends_with(b"\n");
        }
        true
    }

    /// Waits until the output takes bytes, or reports an error when written to; returns false when it
    /// does neither until `deadline`.
    fn is_ready_by(&self, deadline: Option<Instant>) -> bool {
        loop {
            let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
            let mut fds = [PollFd::new(&self.fd, PollFlags::OUT)];
            match poll(&mut fds, left.map(timespec).as_ref()) {
                Ok(ready) => return ready > 0,
                Err(Errno::INTR) => {}
                // Without an answer the write itself decides.
                Err(_) => return true,
            }
        }
    }
}

fn timespec(duration: Duration) -> Timespec {
    Timespec {
        tv_sec: duration.as_secs().try_into().unwrap_or(i64::MAX),
        tv_nsec: duration.subsec_nanos().into(),
    }
}
