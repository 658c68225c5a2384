//! Exit codes of the command line, one for each kind of failure.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// It did what it was asked to; 0.
    Done = 0,
    /// The command line itself is wrong; 1, as the argument parser gives it.
    Usage = 1,
    /// The configuration file has faults; nothing was published; 2.
    Faulty = 2,
    /// Another publication came first; nothing of this one is in force; 3.
    Conflict = 3,
    /// The service could not be reached, or did not say how it ended; running the same command again
    /// is safe; 4.
    Unreachable = 4,
    /// A file can't be read; 5.
    Unreadable = 5,
    /// There is no such item; 6.
    NotFound = 6,
    /// The log holds what this release can't read; upgrade the command; 7.
    Outdated = 7,
    /// The credentials do not allow it; 8.
    Forbidden = 8,
    /// A fault of the command itself; 70.
    Internal = 70,
}

impl Exit {
    /// The number that the process exits with.
    pub fn number(self) -> u8 {
        self as u8
    }
}
