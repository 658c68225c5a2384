//! Exit codes of the command line, one for each kind of failure.

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded; 0.
    Done = 0,
    /// The arguments are wrong; 1, the code that the argument parser uses.
    Usage = 1,
    /// The configuration file has faults; nothing was published; 2.
    Faulty = 2,
    /// Another publication came first; nothing of this one is in force; 3.
    Conflict = 3,
    /// A service could not be reached, or the outcome is not known; running the same command again
    /// is safe; 4.
    Unreachable = 4,
    /// A file can't be read; 5.
    Unreadable = 5,
    /// The named item does not exist; 6.
    NotFound = 6,
    /// The log holds records in a format that this release can't read; 7.
    Outdated = 7,
    /// The key is unknown or does not permit the request; 8.
    Forbidden = 8,
    /// An internal error of the command; 70.
    Internal = 70,
}

impl Exit {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}
