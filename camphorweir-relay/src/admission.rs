//! Which requests may fill up the memory of targets while it is scarce.

use {
    crate::{
        fairness::{class_tag, work_of},
        features::Ranks,
        ids::{Time, ids_tag},
        router::{Admission, Router},
    },
    camphorweir_wire::outcome::Refusal,
};

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
/// Least rate at which a rank is served, relative to all requests of its service.
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
    // A request of the least urgent rank that is demoted comes after all others.
    let newcomer = 1.0 - step * rank.min(last + 1) as f64;
    match standing {
        Standing::Resumed => RESUMED_SHARE,
        Standing::Returning => newcomer + RETURNING_PART * step,
        Standing::Newcomer => newcomer,
    }
}

/// Share of the requests of a less urgent rank that count as most urgent, where the rank has `part` of all
/// requests of its service.
///
/// Where the most urgent are served at a rate `p`, this rank is served at `p` times the result at least and
/// the others at `p` at most, so that it is served at [`MIN_SHARE`] of the rate of all. A burst of the rank
/// lowers that rate too, so that less of it passes the more urgent ranks.
pub fn admission_min_share(part: f64) -> f64 {
    let part = part.clamp(0.0, 1.0);
    MIN_SHARE * (1.0 - part) / (1.0 - MIN_SHARE * part)
}

/// Rank with which an attempt is admitted, where its workspace is above its fair rate so much that it is
/// demoted with probability `demotion`. Of the others of less urgent ranks, `min_share` counts as most
/// urgent. A caller that returns has a new attempt and so another chance.
pub fn admission_rank(rank: usize, demotion: f64, min_share: f64, attempt: &str) -> usize {
    if draw(attempt, 1) < demotion {
        return rank + 1;
    }
    match draw(attempt, 0) < min_share {
        true => 0,
        false => rank,
    }
}

/// A pseudo-random number in `0.0..1.0` that is fixed for an attempt; numbers of different `purpose` are
/// independent of each other.
fn draw(attempt: &str, purpose: u32) -> f64 {
    // Finalizer of MurmurHash3: tags of consecutive identifiers differ in few bits.
    let mut mixed = ids_tag(attempt) ^ purpose.wrapping_mul(0x9e37_79b1);
    mixed = (mixed ^ mixed >> 16).wrapping_mul(0x85eb_ca6b);
    mixed = (mixed ^ mixed >> 13).wrapping_mul(0xc2b2_ae35);
    mixed ^= mixed >> 16;
    f64::from(mixed) / (f64::from(u32::MAX) + 1.0)
}

impl Router {
    /// Rank of a request by its priority, and the one with which it is admitted now; `None` where the
    /// ranks of its service are not ordered.
    pub fn admission_ranks(&self, request: &Admission) -> Option<(usize, usize)> {
        let ranks = &self.features(&request.service).ranks;
        if !ranks.is_ordered() {
            return None;
        }
        let rank = ranks.rank(request.priority);
        let workspace = request.workspace.as_deref().unwrap_or_default();
        let classes = (0..ranks.count()).map(|rank| class_tag(&request.service, rank));
        let classes: Vec<u16> = classes.collect();
        let demotion = self.fairness.demotion(classes[rank], workspace);
        let min_share = admission_min_share(self.fairness.part_of_requests(rank, &classes));
        let admitted_as = admission_rank(rank, demotion, min_share, &request.id);
        Some((rank, admitted_as))
    }

    /// Factor on the usable memory of targets for a request.
    pub fn admission_share(&self, request: &Admission) -> f64 {
        let ranks = &self.features(&request.service).ranks;
        self.admission_ranks(request).map_or(1.0, |(_, rank)| {
            admission_share(ranks, rank, request.standing)
        })
    }

    /// Whether requests of some service are served by rank.
    pub fn has_ordered_ranks(&self) -> bool {
        let services = self.configuration().into_iter();
        let mut services = services.flat_map(|configuration| configuration.services.keys());
        services.any(|service| self.features(service).ranks.is_ordered())
    }

    /// Gives a request that was refused lately precedence over others of its rank.
    pub fn mark_returning(&self, request: &mut Admission, now: Time) {
        let is_ordered = self.features(&request.service).ranks.is_ordered();
        let is_newcomer = request.standing == Standing::Newcomer;
        if is_ordered && is_newcomer && self.fairness.is_returning(request.fingerprint, now) {
            request.standing = Standing::Returning;
        }
    }

    /// Records that a request is refused, so that it is known when its caller returns as it is told to.
    pub fn record_refused(&mut self, request: &Admission, refusal: &Refusal, now: Time) {
        let is_ordered = self.features(&request.service).ranks.is_ordered();
        if is_ordered && refusal.retry_after.is_some() {
            self.fairness.record_refused(request.fingerprint, now);
        }
    }

    /// Counts the work of a request, once for each attempt of its caller.
    pub(crate) fn record_offered(&mut self, request: &mut Admission, now: Time) {
        if std::mem::replace(&mut request.is_offered, true) {
            return;
        }
        if let Some((class, work)) = self.class_and_work(request) {
            let workspace = request.workspace.as_deref().unwrap_or_default();
            self.fairness.record_offered(class, workspace, work, now);
        }
    }

    /// Counts the work of a request as admitted, or with a `sign` of -1 takes it back after a failed send.
    pub(crate) fn record_admitted(&mut self, request: &Admission, sign: f64, now: Time) {
        if request.standing == Standing::Resumed {
            return;
        }
        if let Some((class, work)) = self.class_and_work(request) {
            let workspace = request.workspace.as_deref().unwrap_or_default();
            self.fairness
                .record_admitted(class, workspace, sign * work, now);
        }
    }

    fn class_and_work(&self, request: &Admission) -> Option<(u16, f64)> {
        let ranks = &self.features(&request.service).ranks;
        if !ranks.is_ordered() {
            return None;
        }
        let mean = self
            .engine(&request.service)
            .map(|engine| engine.mean_tokens.1);
        let answer = f64::from(request.tokens.1).min(mean.unwrap_or(f64::INFINITY));
        let work = work_of((f64::from(request.tokens.0), answer));
        let rank = ranks.rank(request.priority);
        // A call without tokens counts as one unit.
        Some((class_tag(&request.service, rank), work.max(1.0)))
    }
}
