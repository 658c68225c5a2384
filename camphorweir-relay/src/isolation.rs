//! What a router does with requests under which targets ended: it keeps suspects apart from each
//! other, and refuses those that are quarantined.

use {
    crate::{
        configuration::Engine,
        fleet::Target,
        ids::{TargetId, Time},
        progress::Progress,
        router::{Admission, Plan, Router},
        suspects::{Broken, Quarantine},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    std::collections::BTreeSet,
};

impl Router {
    /// The refusal of a request of which the content or a part of the prompt is quarantined.
    pub(crate) fn refuse_quarantined(&self, request: &Admission, now: Time) -> Option<Refusal> {
        let keys = request.prompt_parts.iter().chain([&request.fingerprint]);
        let left = keys.filter_map(|key| {
            let left = self.suspects.quarantine_left(*key, now)?;
            Some((left, key))
        });
        let (left, key) = left.max()?;
        let mut refusal = self.refusal(request, Code::CrashesTargets);
        if refusal.code == Code::CrashesTargets {
            refusal.retry_after = Some(left);
            refusal.detail = format!("{key:016x} is quarantined");
        }
        Some(refusal)
    }

    /// Chooses where to send a request: apart from suspects, if it is one and that is possible. A path
    /// passes through many targets that other streams use as well, so it is chosen as for any request.
    pub(crate) fn plan_apart(
        &self,
        request: &mut Admission,
        engine: Option<&Engine>,
        now: Time,
    ) -> Option<Plan> {
        if let Some(engine) = engine {
            return self.plan_path(request, engine, now);
        }
        let others = self.suspects.targets_of_others(request.fingerprint);
        let failed = request.excluded.len();
        request.excluded.extend(others);
        let plan = self.plan_target(request, now);
        request.excluded.truncate(failed);
        plan.or_else(|| self.plan_target(request, now))
    }

    /// Records that a request broke off at a target, unless the target was about to shut down or had
    /// answered the request for long enough to show that it is sound.
    pub(crate) fn record_loss(
        &mut self,
        request: &Admission,
        plan: &Plan,
        target: &TargetId,
        now: Time,
    ) {
        let listed = self.fleet.get(target).filter(|listed| !listed.draining);
        let Some(listed) = listed.filter(|_| request.progress != Progress::Settled) else {
            return;
        };
        // A plain target answers when it is done, so nothing shows when it begins. Of the targets of a path
        // the first begins the answer.
        let is_waiting = match plan.path() {
            Some(_) => {
                let has_begun = matches!(request.progress, Progress::Begun(_));
                !has_begun || *target != plan.target
            }
            None => false,
        };
        let broken = Broken {
            fingerprint: request.fingerprint,
            prompt_parts: &request.prompt_parts,
            since: request.progress.begun_at().unwrap_or(plan.chosen_at),
            is_waiting,
        };
        self.suspects.record_loss(&broken, listed, now);
    }

    /// Records that a request did not end its target.
    pub fn record_sound(&mut self, request: &Admission, now: Time) {
        self.suspects
            .record_success(request.fingerprint, &request.prompt_parts, now);
    }

    /// Targets of which it is to be checked whether they have ended under a request; none that wants no
    /// requests from this instance.
    pub fn take_due_checks(&mut self, now: Time) -> BTreeSet<TargetId> {
        let mut due = self.suspects.take_due_checks(now);
        due.retain(|target| !self.tracker.is_closed(target, now));
        due
    }

    /// Records that a target is listed, maybe in the place of one that ended; returns what is
    /// quarantined from now on.
    pub fn record_start(&mut self, target: &Target, now: Time) -> Vec<Quarantine> {
        let (address, started_ms) = (target.address, target.started_ms);
        self.suspects
            .record_start(&target.id, address, started_ms, now)
    }
}
