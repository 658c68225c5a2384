//! Token requests: attempts along a path of engines, resumed on another path after a failure.

use {
    crate::{
        action::{Action, Note},
        admit::RETRY_AFTER,
        attempt::{AnyAttempt, Attempt, Next, Opening, Running},
        call::{End, Tokens},
        core::Core,
        hash,
        request::{Body, Head, Stream},
        route::{self, Failure, Spec},
        target::Index,
        timer::Timer,
    },
    camphorweir_config::{
        model::{Model, Pipeline, Priority, Repeat, Route, To, WorkspaceId},
        view::View,
    },
    camphorweir_wire::{
        code::Code,
        engine::{Command, Done, Open, Opened, Reason, Refused, Step},
        ids::{AttemptId, RequestId, Token},
        outcome::{Ran, Refusal},
        prefix,
    },
    std::time::Duration,
};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: AttemptId = 8;
/// Minimum silence of a target during a step after which the target is considered frozen.
const STEP_TIMEOUT_MIN: Duration = Duration::from_millis(300);
/// Multiple of a step's projected duration that is added to [`STEP_TIMEOUT_MIN`].
const STEP_TIMEOUT_FACTOR: u32 = 3;
/// Time after a step's timeout at which its answer is considered lost, although the target still
/// answers other requests.
const ANSWER_LOST_AFTER: Duration = Duration::from_secs(3);
/// How long an interrupted answer waits for a usable path.
const RESUME_WAIT: Duration = Duration::from_secs(2);

/// Result of trying to start a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Start {
    /// The request has started or ended, so it is no longer queued.
    Dequeued,
    /// No target has capacity for the request now.
    Blocked,
}

impl Core {
    /// Validates a new token request and enqueues it.
    pub(crate) fn handle_stream_request(
        &mut self,
        view: &View,
        workspace: &WorkspaceId,
        id: RequestId,
        tokens: &Tokens,
    ) {
        let document = view.document();
        let found = view
            .pipeline_route(workspace, &tokens.pipeline)
            .and_then(|(_, route)| {
                let To::Pipeline(name) = &route.to else {
                    return None;
                };
                let pipeline = document.pipelines.get(name)?;
                Some((route, pipeline, document.models.get(&pipeline.model)?))
            });
        let Some((route, pipeline, model)) = found else {
            let refusal = Refusal::not_run(Code::NoSuchRoute, "no route to this model");
            return self.refuse_unadmitted(id, refusal);
        };
        if let Err(refusal) = check_size(pipeline, tokens) {
            return self.refuse_unadmitted(id, refusal);
        }
        debug_assert_eq!(route.repeat, Repeat::Idempotent);
        let head = self.stream_head(id, workspace, route, tokens);
        if let Err(refusal) = self.check_suspect(head.fingerprint) {
            return self.refuse_unadmitted(id, refusal);
        }
        let body = Body::Stream(new_stream(pipeline, model, tokens));
        self.enqueue(head, body);
    }

    fn stream_head(
        &self,
        id: RequestId,
        workspace: &WorkspaceId,
        route: &Route,
        tokens: &Tokens,
    ) -> Head {
        let bytes: Vec<u8> = tokens
            .prompt
            .iter()
            .flat_map(|token| token.to_le_bytes())
            .collect();
        let fingerprint = hash::hash64(&[workspace.as_bytes(), &bytes]);
        self.new_head(id, workspace, route, fingerprint)
    }

    pub(crate) fn start_request(&mut self, id: RequestId) -> Start {
        match self.requests.get(&id).map(|request| &request.body) {
            Some(Body::Stream(_)) => self.start_stream(id),
            Some(Body::Plain(_)) => self.start_plain(id),
            Some(Body::NeverRepeat(_)) | None => Start::Dequeued,
        }
    }

    fn start_stream(&mut self, id: RequestId) -> Start {
        let now = self.now.mono;
        let Some(request) = self.requests.get(&id) else {
            return Start::Dequeued;
        };
        // Identical requests may have crashed targets while this one was queued.
        if let Err(refusal) = self.check_suspect(request.head.fingerprint) {
            self.give_up(id, refusal.code, &refusal.detail);
            return Start::Dequeued;
        }
        let Body::Stream(stream) = &request.body else {
            return Start::Dequeued;
        };
        let spec = Spec {
            model: &stream.model,
            layers: stream.layers,
            activation: stream.activation,
            positions: stream.tokens.len() as u32,
            tokens: stream.max_tokens - stream.delivered(),
            prefix: &stream.prefix,
            resumed: stream.interrupted.is_some(),
            avoid: &stream.avoid,
        };
        match route::choose(&self.targets, &self.topology, &spec, now, &mut self.rng) {
            Ok(path) => {
                let hops: Vec<Index> = path.hops().iter().map(|hop| hop.target).collect();
                if self.defer_suspect(id, &hops) {
                    return Start::Dequeued;
                }
                self.open_attempt(id, |attempt| Attempt::new(attempt, path));
                Start::Dequeued
            }
            Err(Failure::Full) => Start::Blocked,
            Err(Failure::Uncovered) if self.may_wait_for_path(id) => Start::Blocked,
            Err(Failure::Uncovered) => {
                self.give_up(
                    id,
                    Code::NoPath,
                    "no chain of live targets covers the model",
                );
                Start::Dequeued
            }
        }
    }

    /// Whether a request without a path stays queued: an interrupted answer does for
    /// [`RESUME_WAIT`], a new request is refused at once.
    fn may_wait_for_path(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        match &request.body {
            Body::Stream(stream) => stream
                .interrupted
                .is_some_and(|at| self.now.mono < at + RESUME_WAIT),
            Body::Plain(_) | Body::NeverRepeat(_) => false,
        }
    }

    fn open_attempt(&mut self, id: RequestId, attempt: impl FnOnce(AttemptId) -> Attempt<Opening>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Body::Stream(stream) = &mut request.body else {
            return;
        };
        let attempt = attempt(request.head.next_attempt(self.now.mono));
        let prefix = &stream.prefix;
        // Priority classes matter at admission only. All started requests run at the same priority,
        // because an engine that delays some of them wastes the work already done for those. Only
        // an interrupted answer, whose caller is waiting for the rest, runs at a higher one.
        let priority = match stream.interrupted {
            Some(_) => Priority::Urgent,
            None => Priority::Normal,
        };
        for hop in attempt.path.hops() {
            let target = self.targets.get_mut(hop.target);
            target.in_flight += 1;
            target.times_chosen += 1;
            let open = Open {
                request: id,
                attempt: attempt.id,
                layers: hop.layers,
                priority,
                prefix: prefix.clone(),
            };
            let order = Command::Open(open);
            self.out.push(Action::SendCommand(target.id.clone(), order));
        }
        stream.step_sent = self.now.mono;
        stream.step_timeout = STEP_TIMEOUT_MIN;
        let timer = Timer::Step(id, attempt.id, attempt.sequence);
        self.timers
            .set(stream.step_sent + stream.step_timeout, timer);
        stream.attempt = Some(AnyAttempt::Opening(attempt));
    }

    /// Removes and returns a request's current attempt if it has this id.
    fn take_attempt(&mut self, id: RequestId, attempt: AttemptId) -> Option<AnyAttempt> {
        let stream = self.stream_mut(id)?;
        if stream.attempt.as_ref()?.id() != attempt {
            return None;
        }
        stream.attempt.take()
    }

    fn stream_mut(&mut self, id: RequestId) -> Option<&mut Stream> {
        match &mut self.requests.get_mut(&id)?.body {
            Body::Stream(stream) => Some(stream),
            Body::Plain(_) | Body::NeverRepeat(_) => None,
        }
    }

    /// Stores the attempt as the request's current one.
    fn set_attempt(&mut self, id: RequestId, attempt: AnyAttempt) {
        if let Some(stream) = self.stream_mut(id) {
            stream.attempt = Some(attempt);
        }
    }

    /// Handles an engine's confirmation that it opened an attempt; once all engines of the path
    /// have confirmed, the first step is sent.
    pub(crate) fn handle_opened(&mut self, target: Index, opened: &Opened) {
        let id = opened.request;
        match self.take_attempt(id, opened.attempt) {
            Some(AnyAttempt::Opening(mut attempt)) => {
                attempt.opened(target, opened.cached);
                self.update_cache(id, target, opened.cached);
                let total = self.stream_mut(id).map_or(0, |stream| stream.tokens.len());
                match attempt.run(total as u32) {
                    Ok(running) => self.send_first_step(id, running),
                    Err(opening) => self.set_attempt(id, AnyAttempt::Opening(opening)),
                }
            }
            Some(running) => self.set_attempt(id, running),
            None => {}
        }
    }

    /// Updates a target's cache estimate: it has the first `cached` positions of a request's
    /// prompt.
    fn update_cache(&mut self, id: RequestId, target: Index, cached: u32) {
        let Some(Body::Stream(stream)) = self.requests.get(&id).map(|request| &request.body) else {
            return;
        };
        let cache = &mut self.targets.get_mut(target).cache;
        cache.correct(&stream.prefix, cached);
    }

    /// Sends a step to the path's first hop, whose input is tokens.
    fn send_first_step(&mut self, id: RequestId, attempt: Attempt<Running>) {
        let first = attempt.position() as usize;
        let last = first + attempt.count() as usize;
        let Some(stream) = self.stream_mut(id) else {
            return;
        };
        let input = stream.tokens[first..last]
            .iter()
            .map(|token| u64::from(*token))
            .collect();
        self.send_step(id, attempt, input);
    }

    /// Sends a step to the attempt's current hop.
    fn send_step(&mut self, id: RequestId, attempt: Attempt<Running>, input: Vec<u64>) {
        let (hop, now) = (attempt.hop(), self.now.mono);
        let timeout = self.step_timeout(id, &attempt);
        let target = self.targets.get_mut(hop.target);
        target.queued_positions += u64::from(attempt.count());
        let step = Step {
            request: id,
            attempt: attempt.id,
            position: attempt.position(),
            layers: hop.layers,
            input,
        };
        let order = Command::Step(step);
        self.out.push(Action::SendCommand(target.id.clone(), order));
        let timer = Timer::Step(id, attempt.id, attempt.sequence);
        self.timers.set(self.now.mono + timeout, timer);
        if let Some(stream) = self.stream_mut(id) {
            stream.step_sent = now;
            stream.step_timeout = timeout;
        }
        self.set_attempt(id, AnyAttempt::Running(attempt));
    }

    /// How long the target of the current step may be silent.
    fn step_timeout(&self, id: RequestId, attempt: &Attempt<Running>) -> Duration {
        let hop = attempt.hop();
        let target = self.targets.get(hop.target);
        let Some(Body::Stream(stream)) = self.requests.get(&id).map(|request| &request.body) else {
            return STEP_TIMEOUT_MIN;
        };
        let spec = Spec {
            model: &stream.model,
            layers: stream.layers,
            activation: stream.activation,
            positions: attempt.count(),
            tokens: 1,
            prefix: &[],
            resumed: false,
            avoid: &[],
        };
        let cost = self
            .topology
            .cost(target, hop.target, hop.layers, &spec, self.now.mono);
        STEP_TIMEOUT_MIN + cost.min(Duration::from_secs(60)) * STEP_TIMEOUT_FACTOR
    }

    /// Handles an engine's answer to a step.
    ///
    /// Only the answer to the current step counts; a late, duplicate or unrelated one is dropped.
    pub(crate) fn handle_done(&mut self, target: Index, done: &Done) {
        let id = done.request;
        let now = self.now.mono;
        let attempt = match self.take_attempt(id, done.attempt) {
            Some(AnyAttempt::Running(attempt)) => attempt,
            Some(opening) => return self.set_attempt(id, opening),
            None => return,
        };
        if !attempt.expects(target, done) {
            return self.set_attempt(id, AnyAttempt::Running(attempt));
        }
        if !attempt.has_expected_shape(done) {
            self.set_attempt(id, AnyAttempt::Running(attempt));
            return self.fail_attempt(id, target, "the answer does not fit its step");
        }
        let answered = self.targets.get_mut(target);
        answered.queued_positions = answered
            .queued_positions
            .saturating_sub(u64::from(attempt.count()));
        answered.health.record_success();
        answered.last_heard = now;
        if attempt.count() > 1 {
            self.update_cache(id, target, u32::MAX);
        }
        match attempt.advance() {
            Next::Hop(attempt) => self.send_step(id, attempt, done.output.clone()),
            Next::Complete(attempt) => self.deliver_token(id, attempt, done.token),
        }
    }

    /// Delivers the token of a position for which all layers have run, then ends the answer or
    /// sends the next step.
    fn deliver_token(&mut self, id: RequestId, attempt: Attempt<Running>, token: Option<Token>) {
        let now = self.now.mono;
        let Some(token) = token else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Body::Stream(stream) = &mut request.body else {
            return;
        };
        let stopped = stream.end_token == Some(token);
        if !stopped {
            stream.tokens.push(token);
            request.head.first_token.get_or_insert(now);
            request.head.timing.deliver(now, stream.interrupted);
            self.out.push(Action::Token(id, token));
        }
        if stopped || stream.delivered() >= stream.max_tokens {
            let end = End::Finished(stream.finished(stopped));
            for hop in attempt.path.hops() {
                self.targets.get_mut(hop.target).health.record_success();
            }
            stream.attempt = Some(AnyAttempt::Running(attempt));
            self.suspects.clear(request.head.fingerprint);
            self.budget.earn();
            return self.end(id, None, end);
        }
        self.send_first_step(id, attempt.decode());
    }

    /// Handles an engine's refusal of an attempt.
    pub(crate) fn handle_refused(&mut self, target: Index, refused: &Refused) {
        let is_current = self
            .stream_mut(refused.request)
            .and_then(|stream| stream.attempt.as_ref())
            .is_some_and(|current| {
                current.id() == refused.attempt && current.path().contains(target)
            });
        if !is_current {
            return;
        }
        if refused.reason == Reason::Leaving {
            self.targets.mark_leaving(target);
        }
        self.fail_attempt(refused.request, target, "the engine refused the attempt");
    }

    /// Handles a step that was not answered in time.
    ///
    /// A target that has been silent since the step was sent is considered frozen: it is ejected
    /// and all of its attempts fail over at once. A target that answers other requests is only
    /// busy; an engine may keep a lower class waiting.
    pub(crate) fn handle_step_timeout(&mut self, id: RequestId, attempt: AttemptId, sequence: u32) {
        let now = self.now.mono;
        let (awaited, sent, timeout) = match self.stream_mut(id) {
            Some(stream) => match &stream.attempt {
                Some(current) if current.id() == attempt && current.sequence() == sequence => {
                    (current.awaited(), stream.step_sent, stream.step_timeout)
                }
                Some(_) | None => return,
            },
            None => return,
        };
        let silent: Vec<Index> = awaited
            .iter()
            .copied()
            .filter(|index| self.targets.get(*index).last_heard.max(sent) + timeout <= now)
            .collect();
        for target in &silent {
            self.eject(*target, "it is silent while a step is under way");
            self.fail_attempts(*target, "it is silent while a step is under way");
        }
        if !silent.is_empty() {
            return;
        }
        let Some(first) = awaited.first().copied() else {
            return;
        };
        if now >= sent + timeout + ANSWER_LOST_AFTER {
            return self.fail_attempt(id, first, "the answer of a step is lost");
        }
        let last_heard = awaited
            .iter()
            .map(|index| self.targets.get(*index).last_heard);
        let next = last_heard.min().unwrap_or(now).max(sent) + timeout;
        let timer = Timer::Step(id, attempt, sequence);
        self.timers.set(next.max(now + STEP_TIMEOUT_MIN / 4), timer);
    }

    /// Ejects a target: it gets no new work for a backoff time.
    pub(crate) fn eject(&mut self, target: Index, why: &'static str) {
        let now = self.now.mono;
        let target = self.targets.get_mut(target);
        if target.health.is_available(now) {
            target.health.eject(now);
            let note = Note::Ejected(target.id.clone(), why);
            self.out.push(Action::Note(note));
        }
    }

    /// Fails all attempts that use a target, for example because its connection was lost.
    pub(crate) fn fail_attempts(&mut self, target: Index, why: &'static str) {
        let mut affected: Vec<RequestId> = self
            .requests
            .values()
            .filter(|request| match &request.body {
                Body::Stream(stream) => stream
                    .attempt
                    .as_ref()
                    .is_some_and(|attempt| attempt.path().contains(target)),
                Body::Plain(_) | Body::NeverRepeat(_) => false,
            })
            .map(|request| request.head.id)
            .collect();
        affected.sort_unstable();
        for id in affected {
            self.fail_attempt(id, target, why);
        }
    }

    /// Fails a request's attempt; a retry on another path continues with the next token.
    pub(crate) fn fail_attempt(&mut self, id: RequestId, target: Index, why: &'static str) {
        let now = self.now.mono;
        let Some(stream) = self.stream_mut(id) else {
            return;
        };
        let Some(attempt) = stream.attempt.take() else {
            return;
        };
        stream.avoid.push(target);
        stream.interrupted = Some(now);
        let name = self.targets.get(target).id.clone();
        self.out.push(Action::Note(Note::AttemptFailed(
            id,
            attempt.id(),
            name,
            why,
        )));
        if let Some(request) = self.requests.get(&id) {
            self.record_given_up_pass(request.head.fingerprint, &attempt);
        }
        self.cancel_attempt(id, &attempt);
        let fingerprint = self
            .requests
            .get(&id)
            .map(|request| request.head.fingerprint);
        if let Some(Err(refusal)) = fingerprint.map(|fingerprint| self.check_suspect(fingerprint)) {
            return self.give_up(id, refusal.code, &refusal.detail);
        }
        if attempt.id() + 1 >= MAX_ATTEMPTS || !self.budget.spend() {
            return self.give_up(id, Code::RetriesSpent, "no retry is left");
        }
        self.queue_again(id);
    }

    /// Refuses a request, with the time after which the caller may retry.
    pub(crate) fn give_up(&mut self, id: RequestId, code: Code, detail: &str) {
        let started = self
            .requests
            .get(&id)
            .is_some_and(|request| request.head.started.is_some());
        let mut refusal = Refusal::not_run(code, detail).with_retry_after(RETRY_AFTER);
        if started {
            refusal.ran = Ran::Unknown;
        }
        self.refuse(id, refusal);
    }

    /// Subtracts an attempt's current step from its target's queued positions.
    pub(crate) fn settle_step(&mut self, attempt: &AnyAttempt) {
        if let AnyAttempt::Running(running) = attempt {
            let target = self.targets.get_mut(running.hop().target);
            target.queued_positions = target
                .queued_positions
                .saturating_sub(u64::from(running.count()));
        }
    }
}

/// Checks a token request against the pipeline's size limits.
fn check_size(pipeline: &Pipeline, tokens: &Tokens) -> Result<(), Refusal> {
    let prompt = tokens.prompt.len();
    if prompt == 0 {
        return Err(Refusal::not_run(Code::Malformed, "the prompt is empty"));
    }
    if tokens.max_tokens == 0 {
        return Err(Refusal::not_run(Code::Malformed, "`max_tokens` is 0"));
    }
    if prompt > pipeline.max_prompt as usize || tokens.max_tokens > pipeline.max_tokens {
        let detail = format!(
            "the pipeline allows {} prompt tokens and {} answer tokens",
            pipeline.max_prompt, pipeline.max_tokens
        );
        return Err(Refusal::not_run(Code::TooManyTokens, &detail));
    }
    Ok(())
}

/// The state of a new token request, with the configuration in force at admission.
fn new_stream(pipeline: &Pipeline, model: &Model, tokens: &Tokens) -> Stream {
    Stream {
        model: pipeline.model.clone(),
        layers: model.layers,
        activation: model.activation,
        end_token: model.end_token,
        tokens: tokens.prompt.clone(),
        prompt: tokens.prompt.len() as u32,
        max_tokens: tokens.max_tokens,
        attempt: None,
        avoid: Vec::new(),
        interrupted: None,
        step_sent: Duration::ZERO,
        step_timeout: Duration::ZERO,
        prefix: prefix::block_hashes(&tokens.prompt),
    }
}
