//! Sends elsewhere beside one whose target is silent, which may replace it.
//!
//! A silent target may go on, so silence alone ends no send: it ends once a send elsewhere is answered.

use {
    crate::{
        admission::Standing,
        ids::{TargetId, Time},
        progress::Progress,
        retry::{Decision, Failure, retry_decide},
        router::{Admission, Outcome, Plan, Router},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time after the first question to a silent target from which on it is suspected where the request can't
/// go elsewhere; a sound target may be silent for a second.
pub const SILENCE_PATIENCE: Duration = Duration::from_millis(1_250);

/// What to do about a silent target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask again later.
    Wait,
    /// Have the target probed and avoided; the send goes on.
    Suspect,
    /// The same, and look for a place elsewhere; the send goes on until there is an answer from there.
    Seek,
}

/// A request as it goes on elsewhere if an answer from there comes before more from its silent target.
#[derive(Clone, Debug)]
pub struct Replacement {
    /// The request; its counts include a run at the silent target.
    pub request: Admission,
    /// Whether the next send is counted in the retry budget already.
    is_charged: bool,
}

impl Router {
    /// Whether a request may be sent elsewhere beside the send under way.
    fn may_be_replaced(&mut self, request: &Admission, now: Time) -> bool {
        let mut counts = request.counts;
        counts.runs += 1;
        let (kind, max_runs) = self.revision_terms(request);
        let decision = retry_decide(kind, max_runs, &counts, Failure::Broken);
        decision == Decision::Again && self.has_retry(&request.service, now)
    }

    /// What to do about the silent target of a request, which was first asked `asked_for` ago.
    pub fn replacement_step(
        &mut self,
        request: &Admission,
        asked_for: Duration,
        now: Time,
    ) -> Step {
        match self.may_be_replaced(request, now) {
            true => Step::Seek,
            false if asked_for >= SILENCE_PATIENCE => Step::Suspect,
            false => Step::Wait,
        }
    }

    /// The target at the address that is at fault, or else the one that the plan names.
    fn silent_target(&self, plan: &Plan, address: SocketAddr) -> TargetId {
        let target = self.fleet.by_address(address);
        target.map_or_else(|| plan.target.clone(), |target| target.id.clone())
    }

    /// Suspects a silent target, which was first asked `asked_for` ago, so that it is probed, and no other
    /// request uses it meanwhile.
    pub fn record_silent(
        &mut self,
        plan: &Plan,
        address: SocketAddr,
        asked_for: Duration,
        now: Time,
    ) {
        let target = self.silent_target(plan, address);
        self.tracker.record_suspicion(&target, asked_for, now);
    }

    /// Whether a target that was silent has not answered since.
    pub fn is_silent(&self, plan: &Plan, address: SocketAddr, now: Time) -> bool {
        let target = self.silent_target(plan, address);
        self.tracker.is_suspect(&target, now)
    }

    /// Begins to look for a place elsewhere for a request whose target at `address` is silent; `None` if it
    /// may not be sent elsewhere.
    pub fn replacement_begin(
        &mut self,
        request: &Admission,
        plan: &Plan,
        address: SocketAddr,
        now: Time,
    ) -> Option<Replacement> {
        if !self.may_be_replaced(request, now) {
            return None;
        }
        let mut request = request.clone();
        request.counts.runs += 1;
        request.excluded.push(self.silent_target(plan, address));
        request.replaces = Some(Arc::new(plan.clone()));
        if request.progress != Progress::Waiting {
            request.standing = Standing::Resumed;
        }
        Some(Replacement {
            request,
            is_charged: false,
        })
    }

    /// Counts a planned send in the retry budget. Without a retry left it releases what the plan reserved,
    /// and returns `false`.
    pub fn replacement_charge(
        &mut self,
        replacement: &mut Replacement,
        plan: &Plan,
        now: Time,
    ) -> bool {
        let service = replacement.request.service.clone();
        if std::mem::replace(&mut replacement.is_charged, true) || self.try_retry(&service, now) {
            return true;
        }
        replacement.is_charged = false;
        self.replacement_withdraw(replacement, plan, now);
        if !plan.is_detour() {
            let counts = &mut replacement.request.counts;
            counts.sends = counts.sends.saturating_sub(1);
        }
        false
    }

    /// Ends a send elsewhere that failed; returns whether there may be another.
    pub fn replacement_fail(
        &mut self,
        replacement: &mut Replacement,
        plan: &Plan,
        (failure, address): (Failure, Option<SocketAddr>),
        now: Time,
    ) -> bool {
        let request = &mut replacement.request;
        match plan.is_detour() {
            true => self.record_failed_detour(plan, failure, now),
            false => {
                self.release(request, plan);
                self.record_failed_send(request, plan, failure, address, now);
            }
        }
        // The next send is charged once it has a place; what was charged for one that did not leave counts.
        replacement.is_charged &= !self.was_sent(request, failure);
        let service = request.service.clone();
        let decision = self.count_failure(request, failure);
        decision == Decision::Again && (replacement.is_charged || self.has_retry(&service, now))
    }

    /// Ends a send elsewhere as the silent target went on, or all of the request ends; it may have run if it
    /// has left.
    pub fn replacement_cancel(
        &mut self,
        replacement: &mut Replacement,
        plan: &Plan,
        has_left: bool,
        now: Time,
    ) {
        replacement.is_charged = false;
        replacement.request.counts.runs += u32::from(has_left);
        self.replacement_withdraw(replacement, plan, now);
    }

    fn replacement_withdraw(&mut self, replacement: &mut Replacement, plan: &Plan, now: Time) {
        let request = &mut replacement.request;
        self.finish_send(request, plan, Outcome::Cancelled, now);
        // Its work counts once, with the send that goes on.
        if !plan.is_detour() {
            self.record_admitted(request, -1.0, now);
        }
    }

    /// Puts the send elsewhere in the place of the one under `plan`, which ends with `failure`; releases what
    /// that plan reserved.
    pub fn replacement_take_over(
        &mut self,
        request: &mut Admission,
        plan: &Plan,
        replacement: Replacement,
        (failure, address): (Failure, Option<SocketAddr>),
        now: Time,
    ) {
        let mut next = replacement.request;
        next.replaces = None;
        let (sends, failed) = (request.counts.sends, request.excluded.len());
        self.release(request, plan);
        self.record_failed_send(request, plan, failure, address, now);
        let counts = &mut next.counts;
        let unsent = sends.saturating_sub(request.counts.sends);
        counts.sends = counts.sends.saturating_sub(unsent);
        // It counts as run since then, which other failures disprove.
        let not_run = u32::from(failure != Failure::Broken);
        counts.runs = counts.runs.saturating_sub(not_run);
        next.excluded.extend(request.excluded.drain(failed..));
        *request = next;
    }
}

impl Replacement {
    /// Carries what the sends elsewhere used up over to the request, whose target went on.
    pub fn settle(&self, request: &mut Admission) {
        let counts = self.request.counts;
        let own_excluded = request.excluded.len();
        request.counts = counts;
        request.counts.runs = counts.runs.saturating_sub(1);
        // The silent target comes first after those that were excluded before.
        let tried = self.request.excluded.iter().skip(own_excluded + 1);
        request.excluded.extend(tried.cloned());
    }
}

impl Admission {
    /// Whether it is planned beside a send that goes on.
    pub fn is_beside(&self) -> bool {
        self.replaces.is_some()
    }

    /// Takes over what sends elsewhere of the same request have used up.
    pub fn take_tried(&mut self, tried: Self) {
        self.counts = tried.counts;
        self.excluded = tried.excluded;
    }
}
