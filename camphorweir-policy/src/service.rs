//! Calls of plain services, idempotent ones in particular.

use {
    crate::{
        action::{Action, Forward, Note},
        admit::RETRY_AFTER,
        call::{self, Plain},
        core::Core,
        event::{Answered, Exchange},
        hash,
        pipeline::Start,
        request::{self, Body},
        target::Index,
        timer::Timer,
    },
    camphorweir_config::{
        model::{Priority, Repeat, To, WorkspaceId},
        view::View,
    },
    camphorweir_wire::{
        code::Code,
        ids::{AttemptId, RequestId},
        outcome::{Ran, Refusal},
    },
    rand::Rng,
    std::time::Duration,
};

/// Maximum number of attempts for one idempotent call.
const MAX_ATTEMPTS: AttemptId = 4;
/// Time within which the first byte must be written, so that a process that was frozen between
/// decision and sending does not act on outdated state.
pub(crate) const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which one target must answer an idempotent call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

impl Core {
    /// Validates a new call of a plain service and enqueues it, or claims it if it must run only
    /// once.
    pub(crate) fn handle_plain_request(
        &mut self,
        view: &View,
        workspace: &WorkspaceId,
        id: RequestId,
        plain: &Plain,
    ) {
        let Some(route) = view.service_route(workspace, &plain.route) else {
            let refusal = Refusal::not_run(Code::NoSuchRoute, "no route to this service");
            return self.refuse_unadmitted(id, refusal);
        };
        let To::Service(service) = &route.to else {
            return;
        };
        let head = self.new_head(id, workspace, route, fingerprint(workspace, plain));
        match route.repeat {
            Repeat::Idempotent => {
                let body = request::Plain {
                    service: service.clone(),
                    attempt: None,
                    sent: Duration::ZERO,
                    avoid: Vec::new(),
                };
                self.enqueue(head, Body::Plain(body));
            }
            Repeat::Never => {
                self.handle_never_repeat_request(head, service, plain.idempotency_key.as_deref())
            }
        }
    }

    /// Tries to start a queued call.
    pub(crate) fn start_plain(&mut self, id: RequestId) -> Start {
        let Some(request) = self.requests.get(&id) else {
            return Start::Dequeued;
        };
        let Body::Plain(plain) = &request.body else {
            return Start::Dequeued;
        };
        let (service, avoid) = (plain.service.clone(), plain.avoid.clone());
        let urgent = request.head.priority == Priority::Urgent;
        let now = self.now.mono;
        let Some(mut target) = self.choose_server(&service, &avoid) else {
            self.give_up(id, Code::NoTarget, "no live target serves this");
            return Start::Dequeued;
        };
        if !urgent && !self.is_below_limit(target) {
            let Some(other) = self.server_below_limit(&service, &avoid) else {
                return Start::Blocked;
            };
            target = other;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Start::Dequeued;
        };
        let attempt = request.head.next_attempt(now);
        let until = request.head.deadline.min(now + ANSWER_TIMEOUT);
        if let Body::Plain(plain) = &mut request.body {
            plain.attempt = Some((attempt, target));
            plain.sent = now;
        }
        self.forward(id, attempt, target, until);
        self.timers.set(until, Timer::Exchange(id, attempt));
        Start::Dequeued
    }

    /// The less loaded of two random usable targets, from the entry's own zone if it has any; none
    /// of those in `avoid`.
    pub(crate) fn choose_server(&mut self, service: &str, avoid: &[Index]) -> Option<Index> {
        let now = self.now.mono;
        let usable: Vec<Index> = self
            .targets
            .servers(service)
            .iter()
            .copied()
            .filter(|index| self.targets.get(*index).usable(now))
            .filter(|index| !avoid.contains(index))
            .collect();
        let local: Vec<Index> = usable
            .iter()
            .copied()
            .filter(|index| self.topology.is_local(self.targets.get(*index)))
            .collect();
        let pool = if local.is_empty() { usable } else { local };
        if pool.is_empty() {
            return None;
        }
        let first = pool[self.rng.random_range(0..pool.len())];
        let second = pool[self.rng.random_range(0..pool.len())];
        let in_flight = |index: Index| self.targets.get(index).in_flight;
        Some(if in_flight(second) < in_flight(first) {
            second
        } else {
            first
        })
    }

    /// Whether a target's concurrency limit allows one more call.
    fn is_below_limit(&self, index: Index) -> bool {
        let target = self.targets.get(index);
        target.concurrency.allows(target.in_flight)
    }

    /// A usable target below its concurrency limit, only from the entry's own zone if that has
    /// usable ones; linear in the service's targets.
    fn server_below_limit(&self, service: &str, avoid: &[Index]) -> Option<Index> {
        let now = self.now.mono;
        let usable = |index: &Index| self.targets.get(*index).usable(now) && !avoid.contains(index);
        let local = |index: &Index| self.topology.is_local(self.targets.get(*index));
        let servers = || self.targets.servers(service).iter().copied().filter(usable);
        let any_local = servers().any(|index| local(&index));
        servers()
            .filter(|index| !any_local || local(index))
            .find(|index| self.is_below_limit(*index))
    }

    /// Sends a call to a target; it must be answered before `until`.
    pub(crate) fn forward(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        target: Index,
        until: Duration,
    ) {
        let send_by = self.now.mono + SEND_TIMEOUT;
        let target = self.targets.get_mut(target);
        target.in_flight += 1;
        self.out.push(Action::Forward(Forward {
            request: id,
            attempt,
            target: target.id.clone(),
            address: target.address.clone(),
            fence: None,
            send_by: send_by.min(until),
            until,
        }));
    }

    /// Handles the end of an exchange with a plain service.
    pub(crate) fn handle_exchange_end(&mut self, id: RequestId, attempt: AttemptId, end: Exchange) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match &mut request.body {
            Body::Plain(plain) => {
                let Some((_, target)) = plain.attempt.take_if(|(current, _)| *current == attempt)
                else {
                    return;
                };
                self.decrement_in_flight(target);
                self.handle_plain_exchange_end(id, attempt, target, end);
            }
            Body::NeverRepeat(_) => self.handle_never_repeat_exchange_end(id, attempt, end),
            Body::Stream(_) => {}
        }
    }

    fn handle_plain_exchange_end(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        target: Index,
        end: Exchange,
    ) {
        match end {
            Exchange::Answered(answered) => {
                self.record_latency(id, target);
                self.record_answer(target, &answered);
                if answered.not_run {
                    return self.retry_plain(id, attempt, target, "the target refused the call");
                }
                let answer = call::Answered {
                    answer: answered.answer,
                    replayed: false,
                };
                self.answer(id, answer);
            }
            Exchange::TooLarge(head) => {
                self.record_answer(target, &head);
                if head.not_run {
                    return self.retry_plain(id, attempt, target, "the target refused the call");
                }
                // Another target's answer would be as long.
                self.refuse(id, too_large());
            }
            Exchange::Unsent => {
                self.eject(target, "no connection");
                self.retry_plain(id, attempt, target, "no connection");
            }
            Exchange::Broken => {
                self.eject(target, "the connection broke");
                self.retry_plain(id, attempt, target, "the connection broke");
            }
        }
    }

    /// Feeds a call's latency to its target's concurrency limit.
    fn record_latency(&mut self, id: RequestId, target: Index) {
        if let Some(Body::Plain(plain)) = self.requests.get(&id).map(|request| &request.body) {
            let latency = self.now.mono.saturating_sub(plain.sent);
            let target = self.targets.get_mut(target);
            target.concurrency.record(latency, target.in_flight);
        }
    }

    /// Records what an answer says about its target: it is healthy, and it may be leaving.
    pub(crate) fn record_answer(&mut self, target: Index, answered: &Answered) {
        let target = self.targets.get_mut(target);
        target.health.record_success();
        if answered.leaving {
            target.leaving.mark_announced_unnamed();
        }
    }

    /// Handles an exchange that has not ended in time.
    pub(crate) fn handle_exchange_timeout(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(Body::Plain(plain)) = self.requests.get_mut(&id).map(|request| &mut request.body)
        else {
            return;
        };
        let Some((_, target)) = plain.attempt.take_if(|(current, _)| *current == attempt) else {
            return;
        };
        self.decrement_in_flight(target);
        self.out.push(Action::CancelExchange(id, attempt));
        self.eject(target, "a call was not answered in time");
        self.retry_plain(id, attempt, target, "a call was not answered in time");
    }

    /// Queues an idempotent call for another target after a failed attempt, or ends the call.
    fn retry_plain(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        target: Index,
        reason: &'static str,
    ) {
        let name = self.targets.get(target).id.clone();
        self.out
            .push(Action::Note(Note::AttemptFailed(id, attempt, name, reason)));
        if attempt + 1 >= MAX_ATTEMPTS || !self.budget.spend() {
            return self.give_up(id, Code::RetriesSpent, "no retry is left");
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Body::Plain(plain) = &mut request.body {
            plain.avoid.push(target);
        }
        self.queue_again(id);
    }
}

/// Hash over workspace, route and request; the same when a caller repeats the request.
fn fingerprint(workspace: &str, plain: &Plain) -> u64 {
    let request = plain.fingerprint.to_le_bytes();
    hash::hash64(&[workspace.as_bytes(), plain.route.as_bytes(), &request])
}

/// The refusal of a call whose service has no live target.
pub(crate) fn no_target() -> Refusal {
    Refusal::not_run(Code::NoTarget, "no live target serves this").with_retry_after(RETRY_AFTER)
}

/// The refusal for a call that ran, but whose answer exceeds this entry's size limit.
pub(crate) fn too_large() -> Refusal {
    let detail = "the call ran, and its answer is longer than an entry passes on";
    let mut refusal = Refusal::not_run(Code::AnswerTooLarge, detail);
    refusal.ran = Ran::Yes;
    refusal
}
