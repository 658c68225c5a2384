//! Idempotent calls of plain services.

use {
    crate::{
        action::{Action, Forward, Note},
        admit::COME_BACK,
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

/// Attempts of one idempotent call.
const ATTEMPTS: AttemptId = 4;
/// Time in which the first byte must be written, so that a process that was frozen between a
/// decision and the sending does not act on old news.
pub(crate) const SEND_WITHIN: Duration = Duration::from_secs(1);
/// Time in which an idempotent call must be answered by one target.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

impl Core {
    /// A call of a plain service arrived.
    pub(crate) fn arrive_plain(
        &mut self,
        view: &View,
        workspace: &WorkspaceId,
        id: RequestId,
        plain: &Plain,
    ) {
        let Some(route) = view.service_route(workspace, &plain.route) else {
            let refusal = Refusal::not_run(Code::NoSuchRoute, "no route to this service");
            return self.turn_away(id, refusal);
        };
        let To::Service(service) = &route.to else {
            return;
        };
        let head = self.head(id, workspace, route, print(workspace, plain));
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
            Repeat::Never => self.arrive_once(head, service, plain.idempotency.as_deref()),
        }
    }

    /// Starts a waiting call.
    pub(crate) fn start_plain(&mut self, id: RequestId) -> Start {
        let Some(request) = self.requests.get(&id) else {
            return Start::Over;
        };
        let Body::Plain(plain) = &request.body else {
            return Start::Over;
        };
        let (service, avoid) = (plain.service.clone(), plain.avoid.clone());
        let top = request.head.priority == Priority::Urgent;
        let now = self.now.mono;
        let Some(mut target) = self.choose_server(&service, &avoid) else {
            self.give_up(id, Code::NoTarget, "no live target serves this");
            return Start::Over;
        };
        if !top && !self.has_pace(target) {
            let Some(other) = self.server_with_pace(&service, &avoid) else {
                return Start::Blocked;
            };
            target = other;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return Start::Over;
        };
        let attempt = request.head.next_attempt(now);
        let until = request.head.deadline.min(now + ANSWER_WITHIN);
        if let Body::Plain(plain) = &mut request.body {
            plain.attempt = Some((attempt, target));
            plain.sent = now;
        }
        self.forward(id, attempt, target, until);
        self.timers.set(until, Timer::Exchange(id, attempt));
        Start::Over
    }

    /// The less loaded of two usable targets; those to avoid only where there is no other.
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
        let near: Vec<Index> = usable
            .iter()
            .copied()
            .filter(|index| self.map.is_near(self.targets.get(*index)))
            .collect();
        let pool = if near.is_empty() { usable } else { near };
        if pool.is_empty() {
            return None;
        }
        let one = pool[self.rng.random_range(0..pool.len())];
        let two = pool[self.rng.random_range(0..pool.len())];
        let open = |index: Index| self.targets.get(index).open;
        Some(if open(two) < open(one) { two } else { one })
    }

    fn has_pace(&self, index: Index) -> bool {
        let target = self.targets.get(index);
        target.pace.has_room(target.open)
    }

    /// A usable target that takes a call below the top class, of the entry's own zone where that has
    /// any; linear in the service's targets.
    fn server_with_pace(&self, service: &str, avoid: &[Index]) -> Option<Index> {
        let now = self.now.mono;
        let usable = |index: &Index| self.targets.get(*index).usable(now) && !avoid.contains(index);
        let near = |index: &Index| self.map.is_near(self.targets.get(*index));
        let servers = || self.targets.servers(service).iter().copied().filter(usable);
        let any_near = servers().any(|index| near(&index));
        servers()
            .filter(|index| !any_near || near(index))
            .find(|index| self.has_pace(*index))
    }

    /// Sends a call to a target.
    pub(crate) fn forward(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        target: Index,
        until: Duration,
    ) {
        let send_by = self.now.mono + SEND_WITHIN;
        let target = self.targets.get_mut(target);
        target.open += 1;
        self.out.push(Action::Forward(Forward {
            call: id,
            attempt,
            target: target.id.clone(),
            address: target.address.clone(),
            fence: None,
            send_by: send_by.min(until),
            until,
        }));
    }

    /// An exchange with a plain service ended.
    pub(crate) fn exchanged(&mut self, id: RequestId, attempt: AttemptId, end: Exchange) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match &mut request.body {
            Body::Plain(plain) => {
                let Some((_, target)) = plain.attempt.take_if(|(current, _)| *current == attempt)
                else {
                    return;
                };
                self.close(target);
                self.exchanged_plain(id, attempt, target, end);
            }
            Body::Once(_) => self.exchanged_once(id, attempt, end),
            Body::Stream(_) => {}
        }
    }

    fn exchanged_plain(&mut self, id: RequestId, attempt: AttemptId, target: Index, end: Exchange) {
        match end {
            Exchange::Answered(answered) => {
                self.paced(id, target);
                self.heard(target, &answered);
                if answered.not_run {
                    return self.again(id, attempt, target, "the target refused the call");
                }
                let answer = call::Answered {
                    answer: answered.answer,
                    replayed: false,
                };
                self.answer(id, answer);
            }
            Exchange::TooLarge(head) => {
                self.heard(target, &head);
                if head.not_run {
                    return self.again(id, attempt, target, "the target refused the call");
                }
                // Another target would answer no shorter.
                self.refuse(id, too_large());
            }
            Exchange::Unsent => {
                self.eject(target, "no connection");
                self.again(id, attempt, target, "no connection");
            }
            Exchange::Broken => {
                self.eject(target, "the connection broke");
                self.again(id, attempt, target, "the connection broke");
            }
        }
    }

    /// A call was answered: its time tells whether calls wait for each other there.
    fn paced(&mut self, id: RequestId, target: Index) {
        if let Some(Body::Plain(plain)) = self.requests.get(&id).map(|request| &request.body) {
            let time = self.now.mono.saturating_sub(plain.sent);
            let target = self.targets.get_mut(target);
            target.pace.answered(time, target.open);
        }
    }

    /// A target answered.
    pub(crate) fn heard(&mut self, target: Index, answered: &Answered) {
        let target = self.targets.get_mut(target);
        target.health.succeed();
        if answered.leaving {
            target.leaving.mark_announced_unnamed();
        }
    }

    /// An exchange has not ended in time.
    pub(crate) fn exchange_late(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(Body::Plain(plain)) = self.requests.get_mut(&id).map(|request| &mut request.body)
        else {
            return;
        };
        let Some((_, target)) = plain.attempt.take_if(|(current, _)| *current == attempt) else {
            return;
        };
        self.close(target);
        self.out.push(Action::Abandon(id, attempt));
        self.eject(target, "a call was not answered in time");
        self.again(id, attempt, target, "a call was not answered in time");
    }

    /// An idempotent call tries another target.
    fn again(&mut self, id: RequestId, attempt: AttemptId, target: Index, why: &'static str) {
        let name = self.targets.get(target).id.clone();
        self.out
            .push(Action::Note(Note::Failed(id, attempt, name, why)));
        if attempt + 1 >= ATTEMPTS || !self.budget.spend() {
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

/// Hash over workspace, route and request; the same when a caller sends it again.
fn print(workspace: &str, plain: &Plain) -> u64 {
    let request = plain.fingerprint.to_le_bytes();
    hash::word(&[workspace.as_bytes(), plain.route.as_bytes(), &request])
}

/// What a caller is told when a route has no live target.
pub(crate) fn no_target() -> Refusal {
    Refusal::not_run(Code::NoTarget, "no live target serves this").after(COME_BACK)
}

/// The end of a call whose answer is longer than this entry takes.
pub(crate) fn too_large() -> Refusal {
    let detail = "the call ran, and its answer is longer than an entry passes on";
    let mut refusal = Refusal::not_run(Code::AnswerTooLarge, detail);
    refusal.ran = Ran::Yes;
    refusal
}
