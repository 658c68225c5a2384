//! Which requests may fill up the memory of targets while it is scarce.

use crate::{features::Ranks, ids::ids_tag};

/// Share of a target's usable memory that each rank leaves to the more urgent ones. Load is known late, and
/// with a smaller reserve what others have started meanwhile takes it up.
const RESERVE_PER_RANK: f64 = 0.18;
/// Limit on the reserve of the least urgent rank, so that it can use most of the memory that is idle.
const MAX_RESERVE: f64 = 0.4;
/// Part of the reserve of one rank by which callers that return come before newcomers of their rank. Below
/// one half of it, so that they stay behind newcomers of the next more urgent rank.
const RETURNING_PART: f64 = 0.4;
/// Factor on usable memory for streams that were interrupted: they may use part of the memory that is kept
/// for load that is not known yet, since their callers leave after two seconds without an event.
const RESUMED_SHARE: f64 = 1.1;
/// Share of the requests of each less urgent rank that count as most urgent. Where those are served at a
/// rate `p`, all requests together are served at `p` at most, so that a quarter keeps each rank from being
/// served less than a quarter as often as all.
pub const MIN_SHARE: f64 = 0.25;

/// How a request stands among those of its rank; the first in this order goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// A stream that was interrupted at its target and goes on elsewhere.
    Resumed,
    /// A caller that was refused and returns when it was told to.
    Returning,
    /// Any other request.
    #[default]
    Newcomer,
}

/// Factor on the usable memory of a target for a request: as memory fills up, less urgent ranks stop
/// first, and within a rank newcomers before callers that return. 1.0 where ranks are not ordered.
pub fn admission_share(ranks: &Ranks, rank: usize, standing: Standing) -> f64 {
    if !ranks.is_ordered() {
        return 1.0;
    }
    let last = ranks.count() - 1;
    let step = RESERVE_PER_RANK.min(MAX_RESERVE / last as f64);
    let newcomer = 1.0 - step * rank.min(last) as f64;
    match standing {
        Standing::Resumed => RESUMED_SHARE,
        Standing::Returning => newcomer + RETURNING_PART * step,
        Standing::Newcomer => newcomer,
    }
}

/// Rank with which an attempt is admitted: a fixed share of those of less urgent ranks counts as most
/// urgent. A caller that returns has a new attempt and so another chance.
pub fn admission_rank(rank: usize, attempt: &str) -> usize {
    match draw(attempt, 0) < MIN_SHARE {
        true => 0,
        false => rank,
    }
}

/// A pseudo-random number in `0.0..1.0` that is fixed for an attempt; numbers of different `purpose` are
/// independent of each other.
pub(crate) fn draw(attempt: &str, purpose: u32) -> f64 {
    // Finalizer of MurmurHash3: tags of consecutive identifiers differ in few bits.
    let mut mixed = ids_tag(attempt) ^ purpose.wrapping_mul(0x9e37_79b1);
    mixed = (mixed ^ mixed >> 16).wrapping_mul(0x85eb_ca6b);
    mixed = (mixed ^ mixed >> 13).wrapping_mul(0xc2b2_ae35);
    mixed ^= mixed >> 16;
    f64::from(mixed) / (f64::from(u32::MAX) + 1.0)
}
