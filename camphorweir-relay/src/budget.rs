//! Retry budget of each service: a share of its requests, and an allowance for times of low load.

use {
    crate::{
        ids::{ServiceName, Time},
        retry::{Decision, Failure, retry_decide, retry_final_code},
        router::{Admission, Router},
    },
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Number of instances that may run before the store lists them or they send a digest: one spare in
/// each zone.
const MAX_UNKNOWN_INSTANCES: usize = 3;

/// Part of the policy's retries that is used. The rest makes up for requests that count here and not
/// for the users, such as their checks of which configuration is in force, and for retries that
/// reach their targets in another window than they were allowed in.
const USED_PART: f64 = 0.85;

/// Retry budget of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window in addition.
    pub base_retries: f64,
    /// Time over which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of each service in the last window.
#[derive(Clone, Debug)]
pub struct Budget {
    policy: Policy,
    services: HashMap<ServiceName, Usage>,
}

#[derive(Clone, Debug, Default)]
struct Usage {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Budget {
    /// Replaces the policy; requests and retries in the window still count.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// A budget of which nothing is used.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            services: HashMap::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &ServiceName, now: Time) {
        let since = now.saturating_sub(self.policy.window);
        let usage = self.services.entry(service.clone()).or_default();
        drop_before(&mut usage.requests, since);
        usage.requests.push_back(now);
    }

    /// Takes a retry from the budget; `false` when none is left. `share` is this instance's share
    /// of the allowance of all instances; the share of a peer that is down is not used by others.
    pub fn try_retry(&mut self, service: &ServiceName, now: Time, share: f64) -> bool {
        let has_retry = self.has_retry(service, now, share);
        if has_retry && let Some(usage) = self.services.get_mut(service) {
            usage.retries.push_back(now);
        }
        has_retry
    }

    /// Whether a retry is left in the budget.
    pub fn has_retry(&mut self, service: &ServiceName, now: Time, share: f64) -> bool {
        let since = now.saturating_sub(self.policy.window);
        let usage = self.services.entry(service.clone()).or_default();
        drop_before(&mut usage.requests, since);
        drop_before(&mut usage.retries, since);
        let allowed =
            self.policy.ratio * usage.requests.len() as f64 + self.policy.base_retries * share;
        usage.retries.len() as f64 + 1.0 <= allowed * USED_PART
    }
}

impl Router {
    /// This instance's share of the retry budget; [`MAX_UNKNOWN_INSTANCES`] shares are left to
    /// instances that may have been added and are not counted yet.
    fn retry_share(&self) -> f64 {
        1.0 / (self.instance_count() + MAX_UNKNOWN_INSTANCES) as f64
    }

    /// Takes a retry of a service from the budget; `false` when none is left.
    pub(crate) fn try_retry(&mut self, service: &ServiceName, now: Time) -> bool {
        let share = self.retry_share();
        self.budget.try_retry(service, now, share)
    }

    /// Counts a failed send and decides what follows; takes what follows from the budget.
    pub(crate) fn decide_after_failure(
        &mut self,
        request: &mut Admission,
        failure: Failure,
        now: Time,
    ) -> Decision {
        let decision = self.count_failure(request, failure);
        let is_charged = decision == Decision::Again && self.was_sent(request, failure);
        if is_charged && !self.try_retry(&request.service, now) {
            return Decision::End(retry_final_code(&request.counts, failure));
        }
        decision
    }

    /// Counts a failed send; returns what follows as far as the budget allows.
    pub(crate) fn count_failure(&self, request: &mut Admission, failure: Failure) -> Decision {
        request.counts.runs += u32::from(failure == Failure::Broken);
        let (kind, max_runs) = self.revision_terms(request);
        retry_decide(kind, max_runs, &request.counts, failure)
    }

    /// Whether a failed send has reached a target, so that what the budget gave for it is used up.
    pub(crate) fn was_sent(&self, request: &Admission, failure: Failure) -> bool {
        match failure {
            Failure::Unsent | Failure::Outdated | Failure::Limited => false,
            // A request that came to nothing at a peer has reached no target.
            Failure::Refused => !self.needs_detour(&request.service),
            Failure::Broken => true,
        }
    }

    /// Whether the budget has a retry of a service left.
    pub(crate) fn has_retry(&mut self, service: &ServiceName, now: Time) -> bool {
        let share = self.retry_share();
        self.budget.has_retry(service, now, share)
    }
}

/// Drops times before `since`. Each time is added and dropped once, so the total work is linear.
fn drop_before(times: &mut VecDeque<Time>, since: Time) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}
