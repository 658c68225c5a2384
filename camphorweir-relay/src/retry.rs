//! Whether a request is sent again after a failed send.

use {crate::configuration::Kind, camphorweir_wire::code::Code};

/// Limit on the sends of one attempt of a caller, refused ones included; further sends only add
/// load while targets are full.
const MAX_SENDS: u32 = 4;

/// How a send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte reached the target.
    Unsent,
    /// Nothing was sent, as what was planned no longer holds; it says nothing of the target.
    Outdated,
    /// Nothing was sent, as the target takes no more requests now.
    Limited,
    /// The target reported that it did not run the request.
    Refused,
    /// The request may have run.
    Broken,
}

/// Counts of one attempt of a caller so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Sends, failed ones included.
    pub sends: u32,
    /// Sends after which the request has run or may have.
    pub runs: u32,
    /// Peers that the request was offered to.
    pub detours: u32,
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send to another target.
    Again,
    /// End the request with this code.
    End(Code),
}

/// Decides whether to send again after a failed send, which `counts` includes.
///
/// A request that runs at most once is sent again only after a proof that it did not run.
pub fn retry_decide(kind: Kind, max_runs: u32, counts: &Counts, failure: Failure) -> Decision {
    let is_allowed = match (failure, kind) {
        (Failure::Unsent | Failure::Outdated | Failure::Limited | Failure::Refused, _) => {
            counts.runs < max_runs.max(1)
        }
        (Failure::Broken, Kind::AtMostOnce | Kind::Stream { resumable: false }) => false,
        (Failure::Broken, Kind::Idempotent | Kind::Stream { resumable: true }) => {
            counts.runs < max_runs.max(1)
        }
    };
    if is_allowed && counts.sends < MAX_SENDS {
        return Decision::Again;
    }
    Decision::End(retry_final_code(counts, failure))
}

/// The code of a request that is not sent again after a failed send.
pub fn retry_final_code(counts: &Counts, failure: Failure) -> Code {
    match failure {
        _ if counts.runs > 0 => Code::TargetFailed,
        Failure::Unsent | Failure::Outdated | Failure::Limited => Code::NoTarget,
        Failure::Refused | Failure::Broken => Code::TargetRefused,
    }
}
