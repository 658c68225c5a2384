//! Requests for tokens: attempts along a path, resumed on another when a stage fails.

use {
    crate::{
        action::{Action, Note},
        admit::COME_BACK,
        attempt::{Any, Attempt, Next, Opening, Running},
        call::{End, Tokens},
        core::Core,
        hash,
        request::{Body, Head, Stream},
        route::{self, Miss, Want},
        target::Index,
        timer::Timer,
    },
    camphorweir_config::{
        model::{Model, Pipeline, Priority, Repeat, Route, To, WorkspaceId},
        view::View,
    },
    camphorweir_wire::{
        code::Code,
        engine::{Done, Open, Opened, Order, Refused, Step, Why},
        ids::{AttemptId, RequestId, Token},
        outcome::{Ran, Refusal},
        prefix,
    },
    std::time::Duration,
};

/// Attempts of one request.
const ATTEMPTS: AttemptId = 8;
/// Shortest silence, while a step is under way, after which a target is taken for frozen.
const STEP_MIN: Duration = Duration::from_millis(300);
/// A target may be silent for this many times what a step was projected to take.
const STEP_FACTOR: u32 = 3;
/// Time after which the answer of a target that does answer others is taken for lost.
const STEP_LOST: Duration = Duration::from_secs(3);
/// How long an interrupted answer waits for a path.
const WAIT_FOR_PATH: Duration = Duration::from_secs(2);

/// Whether a waiting request could start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Start {
    /// It has started, or it has ended.
    Over,
    /// There is no room for it now.
    Blocked,
}

impl Core {
    /// A request for tokens arrived.
    pub(crate) fn arrive_stream(
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
            return self.turn_away(id, refusal);
        };
        if let Err(refusal) = check_size(pipeline, tokens) {
            return self.turn_away(id, refusal);
        }
        debug_assert_eq!(route.repeat, Repeat::Idempotent);
        let head = self.head_of_stream(id, workspace, route, tokens);
        if let Err(refusal) = self.check_suspect(head.fingerprint) {
            return self.turn_away(id, refusal);
        }
        let body = Body::Stream(stream(pipeline, model, tokens));
        self.enqueue(head, body);
    }

    fn head_of_stream(
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
        let fingerprint = hash::word(&[workspace.as_bytes(), &bytes]);
        self.head(id, workspace, route, fingerprint)
    }

    pub(crate) fn start_request(&mut self, id: RequestId) -> Start {
        match self.requests.get(&id).map(|request| &request.body) {
            Some(Body::Stream(_)) => self.start_stream(id),
            Some(Body::Plain(_)) => self.start_plain(id),
            Some(Body::Once(_)) | None => Start::Over,
        }
    }

    fn start_stream(&mut self, id: RequestId) -> Start {
        let now = self.now.mono;
        let Some(request) = self.requests.get(&id) else {
            return Start::Over;
        };
        // Its like may have crashed targets while it waited.
        if let Err(refusal) = self.check_suspect(request.head.fingerprint) {
            self.give_up(id, refusal.code, &refusal.detail);
            return Start::Over;
        }
        let Body::Stream(stream) = &request.body else {
            return Start::Over;
        };
        let want = Want {
            model: &stream.model,
            layers: stream.layers,
            activation: stream.activation,
            positions: stream.tokens.len() as u32,
            tokens: stream.max_tokens - stream.delivered(),
            prefix: &stream.prefix,
            resumed: stream.interrupted.is_some(),
            avoid: &stream.avoid,
        };
        match route::choose(&self.targets, &self.map, &want, now, &mut self.rng) {
            Ok(path) => {
                let hops: Vec<Index> = path.hops().iter().map(|hop| hop.target).collect();
                if self.defer_suspect(id, &hops) {
                    return Start::Over;
                }
                self.open(id, |attempt| Attempt::new(attempt, path));
                Start::Over
            }
            Err(Miss::Full) => Start::Blocked,
            Err(Miss::Uncovered) if self.may_wait(id) => Start::Blocked,
            Err(Miss::Uncovered) => {
                self.give_up(
                    id,
                    Code::NoPath,
                    "no chain of live targets covers the model",
                );
                Start::Over
            }
        }
    }

    /// An answer that was interrupted waits a little for a path; a new request is refused at once.
    fn may_wait(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        match &request.body {
            Body::Stream(stream) => stream
                .interrupted
                .is_some_and(|at| self.now.mono < at + WAIT_FOR_PATH),
            Body::Plain(_) | Body::Once(_) => false,
        }
    }

    fn open(&mut self, id: RequestId, attempt: impl FnOnce(AttemptId) -> Attempt<Opening>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Body::Stream(stream) = &mut request.body else {
            return;
        };
        let attempt = attempt(request.head.next_attempt(self.now.mono));
        let prefix = &stream.prefix;
        // Classes are told apart at admission. What has started goes on at one speed, since an
        // engine that keeps some waiting wastes what it has done for them; only an interrupted
        // answer, whose caller waits in the middle, catches up.
        let priority = match stream.interrupted {
            Some(_) => Priority::Urgent,
            None => Priority::Normal,
        };
        for hop in attempt.path.hops() {
            let target = self.targets.get_mut(hop.target);
            target.open += 1;
            target.chosen += 1;
            let open = Open {
                request: id,
                attempt: attempt.id,
                layers: hop.layers,
                priority,
                prefix: prefix.clone(),
            };
            let order = Order::Open(open);
            self.out.push(Action::Order(target.id.clone(), order));
        }
        stream.sent = self.now.mono;
        stream.limit = STEP_MIN;
        let timer = Timer::Step(id, attempt.id, attempt.sequence);
        self.timers.set(stream.sent + stream.limit, timer);
        stream.attempt = Some(Any::Opening(attempt));
    }

    /// Takes the attempt out of a request if it is the one named.
    fn take_attempt(&mut self, id: RequestId, attempt: AttemptId) -> Option<Any> {
        let stream = self.stream_mut(id)?;
        if stream.attempt.as_ref()?.id() != attempt {
            return None;
        }
        stream.attempt.take()
    }

    fn stream_mut(&mut self, id: RequestId) -> Option<&mut Stream> {
        match &mut self.requests.get_mut(&id)?.body {
            Body::Stream(stream) => Some(stream),
            Body::Plain(_) | Body::Once(_) => None,
        }
    }

    fn keep_attempt(&mut self, id: RequestId, attempt: Any) {
        if let Some(stream) = self.stream_mut(id) {
            stream.attempt = Some(attempt);
        }
    }

    /// A hop has opened.
    pub(crate) fn opened(&mut self, target: Index, opened: &Opened) {
        let id = opened.request;
        match self.take_attempt(id, opened.attempt) {
            Some(Any::Opening(mut attempt)) => {
                attempt.opened(target, opened.held);
                self.learn(id, target, opened.held);
                let total = self.stream_mut(id).map_or(0, |stream| stream.tokens.len());
                match attempt.run(total as u32) {
                    Ok(running) => self.step(id, running),
                    Err(opening) => self.keep_attempt(id, Any::Opening(opening)),
                }
            }
            Some(running) => self.keep_attempt(id, running),
            None => {}
        }
    }

    /// An engine holds this much of a request's prompt.
    fn learn(&mut self, id: RequestId, target: Index, held: u32) {
        let Some(Body::Stream(stream)) = self.requests.get(&id).map(|request| &request.body) else {
            return;
        };
        let cache = &mut self.targets.get_mut(target).cache;
        cache.correct(&stream.prefix, held);
    }

    /// Sends the first hop's step: the input is tokens.
    fn step(&mut self, id: RequestId, attempt: Attempt<Running>) {
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

    fn send_step(&mut self, id: RequestId, attempt: Attempt<Running>, input: Vec<u64>) {
        let (hop, now) = (attempt.hop(), self.now.mono);
        let limit = self.step_limit(id, &attempt);
        let target = self.targets.get_mut(hop.target);
        target.queued += u64::from(attempt.count());
        let step = Step {
            request: id,
            attempt: attempt.id,
            position: attempt.position(),
            layers: hop.layers,
            input,
        };
        let order = Order::Step(step);
        self.out.push(Action::Order(target.id.clone(), order));
        let timer = Timer::Step(id, attempt.id, attempt.sequence);
        self.timers.set(self.now.mono + limit, timer);
        if let Some(stream) = self.stream_mut(id) {
            stream.sent = now;
            stream.limit = limit;
        }
        self.keep_attempt(id, Any::Running(attempt));
    }

    /// How long the step under way may take.
    fn step_limit(&self, id: RequestId, attempt: &Attempt<Running>) -> Duration {
        let hop = attempt.hop();
        let target = self.targets.get(hop.target);
        let Some(Body::Stream(stream)) = self.requests.get(&id).map(|request| &request.body) else {
            return STEP_MIN;
        };
        let want = Want {
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
            .map
            .cost(target, hop.target, hop.layers, &want, self.now.mono);
        STEP_MIN + cost.min(Duration::from_secs(60)) * STEP_FACTOR
    }

    /// An engine computed positions.
    ///
    /// Only the answer to the step under way counts; a late, doubled or foreign one is dropped.
    pub(crate) fn done(&mut self, target: Index, done: &Done) {
        let id = done.request;
        let now = self.now.mono;
        let attempt = match self.take_attempt(id, done.attempt) {
            Some(Any::Running(attempt)) => attempt,
            Some(opening) => return self.keep_attempt(id, opening),
            None => return,
        };
        if !attempt.expects(target, done) {
            return self.keep_attempt(id, Any::Running(attempt));
        }
        if !attempt.fits(done) {
            self.keep_attempt(id, Any::Running(attempt));
            return self.fail(id, target, "the answer does not fit its step");
        }
        let answered = self.targets.get_mut(target);
        answered.queued = answered.queued.saturating_sub(u64::from(attempt.count()));
        answered.health.succeed();
        answered.heard = now;
        if attempt.count() > 1 {
            self.learn(id, target, u32::MAX);
        }
        match attempt.advance() {
            Next::Hop(attempt) => self.send_step(id, attempt, done.output.clone()),
            Next::Complete(attempt) => self.complete(id, attempt, done.token),
        }
    }

    /// All layers have run for a position: its token is delivered.
    fn complete(&mut self, id: RequestId, attempt: Attempt<Running>, token: Option<Token>) {
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
                self.targets.get_mut(hop.target).health.succeed();
            }
            stream.attempt = Some(Any::Running(attempt));
            self.suspects.clear(request.head.fingerprint);
            self.budget.earn();
            return self.end(id, None, end);
        }
        self.step(id, attempt.decode());
    }

    /// An engine refused an attempt.
    pub(crate) fn refused(&mut self, target: Index, refused: &Refused) {
        let current = self
            .stream_mut(refused.request)
            .and_then(|stream| stream.attempt.as_ref())
            .is_some_and(|any| any.id() == refused.attempt && any.path().contains(target));
        if !current {
            return;
        }
        if refused.why == Why::Leaving {
            self.targets.leaving(target);
        }
        self.fail(refused.request, target, "the engine refused the attempt");
    }

    /// A step has not been answered in time.
    ///
    /// A target that has been silent since is taken for frozen, and everything on it moves at once.
    /// One that answers others is only busy; an engine may keep a lower class waiting.
    pub(crate) fn step_late(&mut self, id: RequestId, attempt: AttemptId, sequence: u32) {
        let now = self.now.mono;
        let (late, sent, limit) = match self.stream_mut(id) {
            Some(stream) => match &stream.attempt {
                Some(any) if any.id() == attempt && any.sequence() == sequence => {
                    (any.waits_for(), stream.sent, stream.limit)
                }
                Some(_) | None => return,
            },
            None => return,
        };
        let silent: Vec<Index> = late
            .iter()
            .copied()
            .filter(|index| self.targets.get(*index).heard.max(sent) + limit <= now)
            .collect();
        for target in &silent {
            self.eject(*target, "it is silent while a step is under way");
            self.fail_all(*target, "it is silent while a step is under way");
        }
        if !silent.is_empty() {
            return;
        }
        let Some(first) = late.first().copied() else {
            return;
        };
        if now >= sent + limit + STEP_LOST {
            return self.fail(id, first, "the answer of a step is lost");
        }
        let heard = late.iter().map(|index| self.targets.get(*index).heard);
        let next = heard.min().unwrap_or(now).max(sent) + limit;
        let timer = Timer::Step(id, attempt, sequence);
        self.timers.set(next.max(now + STEP_MIN / 4), timer);
    }

    /// Takes a target out of use for a while.
    pub(crate) fn eject(&mut self, target: Index, why: &'static str) {
        let now = self.now.mono;
        let target = self.targets.get_mut(target);
        if target.health.fit(now) {
            target.health.eject(now);
            let note = Note::Ejected(target.id.clone(), why);
            self.out.push(Action::Note(note));
        }
    }

    /// Every attempt on a target is over, as when its connection is lost.
    pub(crate) fn fail_all(&mut self, target: Index, why: &'static str) {
        let mut hit: Vec<RequestId> = self
            .requests
            .values()
            .filter(|request| match &request.body {
                Body::Stream(stream) => stream
                    .attempt
                    .as_ref()
                    .is_some_and(|any| any.path().contains(target)),
                Body::Plain(_) | Body::Once(_) => false,
            })
            .map(|request| request.head.id)
            .collect();
        hit.sort_unstable();
        for id in hit {
            self.fail(id, target, why);
        }
    }

    /// An attempt failed; another follows on another path, from the next token on.
    pub(crate) fn fail(&mut self, id: RequestId, target: Index, why: &'static str) {
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
        self.out
            .push(Action::Note(Note::Failed(id, attempt.id(), name, why)));
        if let Some(request) = self.requests.get(&id) {
            self.remember_pass(request.head.fingerprint, &attempt);
        }
        self.abandon(id, &attempt);
        let print = self.requests.get(&id).map(|one| one.head.fingerprint);
        if let Some(Err(refusal)) = print.map(|print| self.check_suspect(print)) {
            return self.give_up(id, refusal.code, &refusal.detail);
        }
        if attempt.id() + 1 >= ATTEMPTS || !self.budget.spend() {
            return self.give_up(id, Code::RetriesSpent, "no retry is left");
        }
        self.queue_again(id);
    }

    /// Ends a request at once, with the time to come back.
    pub(crate) fn give_up(&mut self, id: RequestId, code: Code, detail: &str) {
        let started = self
            .requests
            .get(&id)
            .is_some_and(|request| request.head.started.is_some());
        let mut refusal = Refusal::not_run(code, detail).after(COME_BACK);
        if started {
            refusal.ran = Ran::Unknown;
        }
        self.refuse(id, refusal);
    }

    /// Takes the step under way out of its target's outstanding work.
    pub(crate) fn settle_step(&mut self, attempt: &Any) {
        if let Any::Running(running) = attempt {
            let target = self.targets.get_mut(running.hop().target);
            target.queued = target.queued.saturating_sub(u64::from(running.count()));
        }
    }
}

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

fn stream(pipeline: &Pipeline, model: &Model, tokens: &Tokens) -> Stream {
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
        sent: Duration::ZERO,
        limit: Duration::ZERO,
        prefix: prefix::hashes(&tokens.prompt),
    }
}
