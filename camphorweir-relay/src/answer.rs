//! Which answer ends a request that is sent more than once: a whole one in hand is kept until there is a
//! better one.

use {crate::ids::Time, std::time::Duration};

/// Time before the deadline, or before the end of the process, at which further tries end while an answer is
/// in hand, so that it reaches the caller.
pub const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// How good a whole answer is, the worst first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Grade {
    /// Made up by an instance, or not to be told from such an answer.
    Refusal,
    /// A failure of a target.
    Failure,
    /// Any other answer of a target.
    Success,
}

/// Which of two answers a caller gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The one in hand.
    Kept,
    /// The latest.
    Latest,
}

/// The grade of an answer with this status, which bears the seal of a target or not, and came through a
/// peer or straight from a target.
pub fn answer_grade(status: u16, is_sealed: bool, is_detour: bool) -> Grade {
    // A caller takes a status that promises no run for the instance's own where it bears no seal.
    let is_made_up = !is_sealed && (is_detour || PROMISES.contains(&status));
    match status {
        _ if is_made_up => Grade::Refusal,
        500.. => Grade::Failure,
        _ => Grade::Success,
    }
}

/// Chooses between the answer in hand, if any, and the latest; a request that ends without another answer
/// has a refusal as the latest. Of equals the latest is chosen.
pub fn answer_choose(kept: Option<Grade>, latest: Grade) -> Choice {
    match kept {
        Some(kept) if kept > latest => Choice::Kept,
        _ => Choice::Latest,
    }
}

/// Whether the latest answer is kept while the request is tried again; a refusal never is, as the one that
/// ends the request says more.
pub fn answer_is_kept(kept: Option<Grade>, latest: Grade) -> bool {
    latest > Grade::Refusal && answer_choose(kept, latest) == Choice::Latest
}

/// When further tries end of a request that ends at `end`.
pub fn answer_tries_end(kept: Option<Grade>, end: Time) -> Time {
    match kept {
        Some(_) => end.saturating_sub(DELIVERY_TIME),
        None => end,
    }
}
