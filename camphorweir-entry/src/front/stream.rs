//! Streamed responses: forwards server-sent events, and resumes at another target after a failure.

use {
    crate::{
        front::{
            cut::{Cause, Cut, cut_record},
            elsewhere::{Elsewhere, News, Won},
            exchange::{SendError, TargetResponse, Template},
            pool::Connection,
            request::{failure_label, log_plan, record_end},
            requests::InFlight,
            send::{Reply, SendGuard, Sending, send_finish, send_start},
            stall::{STALL_CHECK_DELAY, SUSPECT_STALL_CHECK_DELAY},
            state::State,
            waiting::{waiting_plan_resumed, waiting_wake},
        },
        units::millis,
    },
    bytes::Bytes,
    camphorweir_platform::response::Info,
    camphorweir_relay::{
        ids::TargetId,
        progress::Progress,
        retry::{Decision, Failure},
        router::{Admission, Outcome, Plan},
        sse::{MAX_EVENT_BYTES, Splitter},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    futures::future::BoxFuture,
    hyper::body::{Body, Frame, Incoming},
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep, sleep_until},
};

/// Shortest pause between checks for a stalled stream.
const MIN_STALL_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// A request whose response is a stream.
#[derive(Debug)]
pub struct Job {
    /// The shared state of the instance.
    pub state: State,
    /// The admitted request.
    pub request: Admission,
    /// The parts of the request that are sent again when another target resumes the stream.
    pub template: Arc<Template>,
    /// Counts the request as in flight until the stream ends.
    pub in_flight: InFlight,
}

/// The body of a streamed response.
pub struct Events {
    /// `None` once the stream has ended.
    job: Option<Job>,
    /// Plan of the current send, whose reservations are still held; `None` between sends.
    plan: Option<Plan>,
    phase: Phase,
    splitter: Splitter,
    /// Id of the last event that was forwarded.
    last_event_id: Option<String>,
    deadline: Pin<Box<Sleep>>,
    /// Whether an event has been forwarded.
    event_sent: bool,
    /// Target of the last send.
    target: TargetId,
    /// Number of events from that target.
    target_events: usize,
    /// When a response head or a whole event last arrived from it.
    last_event_at: Instant,
    /// Wakes the task to check whether the stream is stalled.
    stall_timer: Pin<Box<Sleep>>,
    /// What is done elsewhere while the target is silent.
    elsewhere: Option<Elsewhere>,
}

/// A resumed request, with the plan and response head of the new target, or a refusal.
type ResumeResult = (Box<Job>, Result<(Plan, TargetResponse), Refusal>);

enum Phase {
    Streaming(Box<Upstream>),
    /// The search for another target, with the request as it was before.
    Resuming(BoxFuture<'static, ResumeResult>, Box<(State, Admission)>),
    Ended,
}

struct Upstream {
    body: Incoming,
    connection: Connection,
    closes_connection: bool,
    keep_alive_s: Option<u64>,
}

impl Phase {
    /// The phase in which events come from a target: `body` arrives on `connection`, after a head
    /// decoded to `info`.
    fn streaming(body: Incoming, connection: Connection, info: &Info) -> Self {
        connection.expect_next();
        Self::Streaming(Box::new(Upstream {
            body,
            connection,
            closes_connection: info.closes_connection,
            keep_alive_s: info.keep_alive_s,
        }))
    }
}

impl std::fmt::Debug for Events {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Events(..)")
    }
}

impl Events {
    /// A stream whose response head came on `connection`.
    pub fn new(job: Job, plan: Plan, body: Incoming, connection: Connection, info: &Info) -> Self {
        let time_left = job.request.time_left(job.state.now());
        Self {
            deadline: Box::pin(sleep_until(Instant::now() + time_left)),
            job: Some(job),
            target: plan.target.clone(),
            plan: Some(plan),
            phase: Phase::streaming(body, connection, info),
            splitter: Splitter::default(),
            last_event_id: None,
            event_sent: false,
            target_events: 0,
            last_event_at: Instant::now(),
            stall_timer: Box::pin(sleep(STALL_CHECK_DELAY)),
            elsewhere: None,
        }
    }

    fn finish_send(&mut self, outcome: Outcome) -> Decision {
        // A send that waits beside this one counts what this one reserved as free.
        self.elsewhere = None;
        match (self.plan.take(), &mut self.job) {
            (Some(plan), Some(job)) => {
                let now = job.state.now();
                let mut router = job.state.router();
                let decision = router.finish_send(&mut job.request, &plan, outcome, now);
                drop(router);
                waiting_wake(&job.state, &job.request.service);
                decision
            }
            _ => Decision::End(Code::Internal),
        }
    }

    /// Records the time to the first event.
    fn record_first_event_time(&mut self) {
        if let Some(job) = &self.job
            && !std::mem::replace(&mut self.event_sent, true)
        {
            let elapsed = job.state.now().saturating_sub(job.request.arrived_at);
            job.state
                .metrics()
                .record_first_event(&job.request, elapsed);
            if let Some(plan) = &self.plan {
                let time = job.state.now().saturating_sub(plan.chosen_at);
                job.state.waiting().record_first_event(&job.request, time);
            }
        }
    }

    /// Records an event from the current target.
    fn record_progress(&mut self) {
        let Some(job) = &mut self.job else {
            return;
        };
        let now = job.state.now();
        let progress = job.request.progress.after_event(now);
        let has_settled = progress != job.request.progress && progress == Progress::Settled;
        job.request.progress = progress;
        if has_settled {
            job.state.router().record_sound(&job.request, now);
        }
    }

    /// Looks elsewhere while the target is silent; ready with a send there that was answered.
    fn poll_elsewhere(&mut self, cx: &mut Context<'_>) -> Poll<Won> {
        while self.elsewhere.is_none() {
            ready!(self.stall_timer.as_mut().poll(cx));
            let (Some(job), Some(plan)) = (&self.job, &self.plan) else {
                return Poll::Pending;
            };
            let now = Instant::now();
            let suspect = job.state.router().is_plan_suspect(plan, job.state.now());
            let due = self.last_event_at
                + if suspect {
                    SUSPECT_STALL_CHECK_DELAY
                } else {
                    STALL_CHECK_DELAY
                };
            if due > now || plan.path().is_none() {
                // Peers may report in the meantime that a hop fails.
                let next = due
                    .min(now + SUSPECT_STALL_CHECK_DELAY)
                    .max(now + MIN_STALL_CHECK_PAUSE);
                self.stall_timer.as_mut().reset(next);
                continue;
            }
            self.elsewhere = Some(Elsewhere::new(
                &job.state,
                &job.request,
                plan,
                &job.template,
                self.last_event_id.as_deref(),
                Duration::ZERO,
            ));
        }
        while let Some(elsewhere) = &mut self.elsewhere {
            match ready!(elsewhere.poll(cx)) {
                News::Won(won) => return Poll::Ready(*won),
                // The caller has the head of a stream, which no whole answer can end.
                News::Failed(_) => {}
            }
        }
        Poll::Pending
    }

    /// Ends what is done elsewhere, as the target goes on.
    fn cancel_elsewhere(&mut self) {
        if let (Some(elsewhere), Some(job)) = (self.elsewhere.take(), &mut self.job) {
            job.request.take_tried(elsewhere.cancel());
        }
    }

    /// Goes on at a target that was sent the request beside the silent one.
    fn switch(&mut self, won: Won) -> Result<(), Code> {
        let Won {
            silent,
            held,
            reply,
        } = won;
        self.log_failed(Some(silent), Decision::Again);
        self.elsewhere = None;
        let (Some(job), Some(plan)) = (&mut self.job, self.plan.take()) else {
            return Err(Code::Internal);
        };
        let failure = (Failure::Broken, Some(silent));
        let plan = held.take_over(&mut job.request, plan, failure);
        job.request.progress = Progress::Begun(job.state.now());
        match reply {
            Reply::Stream(reply) => {
                self.go_on(plan, *reply);
                Ok(())
            }
            // A stream is replaced by streams only.
            Reply::Whole(_) => {
                self.plan = Some(plan);
                self.finish_send(Outcome::Cancelled);
                Err(Code::Internal)
            }
        }
    }

    /// Takes the stream from a target whose response head has arrived.
    fn go_on(&mut self, plan: Plan, reply: TargetResponse) {
        self.last_event_at = Instant::now();
        self.target_events = 0;
        self.splitter = Splitter::default();
        self.target = plan.target.clone();
        self.plan = Some(plan);
        let body = reply.response.into_body();
        self.phase = Phase::streaming(body, reply.connection, &reply.info);
    }

    fn log_failed(&self, faulty_target: Option<SocketAddr>, next: Decision) {
        let Some(job) = &self.job else {
            return;
        };
        let now = job.state.now();
        let begun_at = job.request.progress.begun_at();
        log::info!(
            request:% = job.request.id,
            target_name:% = self.target,
            at:? = faulty_target,
            answered_ms = begun_at.map_or(-1, |at| millis(now.saturating_sub(at)) as i64),
            events = self.target_events,
            after = self.last_event_id.as_deref().unwrap_or_default(),
            next:? = next;
            "stream from target failed"
        );
    }

    fn cut(&self, cause: Cause) -> Cut {
        Cut {
            cause,
            target: Some(self.target.clone()),
            events: self.target_events,
            silent_for: self.last_event_at.elapsed(),
        }
    }

    /// Aborts the stream so that the caller sees it as truncated.
    fn abort(&mut self, cause: Cause, code: Code) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.phase = Phase::Ended;
        self.elsewhere = None;
        if let Some(job) = self.job.take() {
            cut_record(&job.state, &job.request, &self.cut(cause));
            record_end(&job.state, &job.request, code.status(), Some(code));
        }
        Poll::Ready(Some(Err(io::Error::other(code.name()))))
    }

    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.cancel_elsewhere();
        let plan = self.plan.clone();
        self.finish_send(Outcome::Answered { is_success: true });
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        if let Some(job) = self.job.take() {
            record_end(&job.state, &job.request, 200, None);
            if let (Phase::Streaming(upstream), Some(plan)) = (phase, plan)
                && !upstream.closes_connection
                && !plan.is_detour()
            {
                let max_idle = plan.max_connections;
                job.state.pool().put(
                    plan.address,
                    upstream.connection,
                    upstream.keep_alive_s,
                    max_idle,
                );
            }
        }
        Poll::Ready(None)
    }

    /// Resumes the stream at another target after its connection failed, if its route allows that.
    fn try_resume(&mut self) -> Result<(), Code> {
        let failure = (Failure::Broken, None);
        let (tried, attempt) = match self.elsewhere.take().map(Elsewhere::stop) {
            Some((tried, attempt)) => (Some(tried), attempt),
            None => (None, None),
        };
        let under_way = match (attempt, &mut self.job, self.plan.take()) {
            (Some(attempt), Some(job), Some(plan)) => {
                let plan = attempt.held.take_over(&mut job.request, plan, failure);
                self.log_failed(None, Decision::Again);
                Some((plan, attempt.sending))
            }
            (_, job, plan) => {
                if let (Some(job), Some(tried)) = (job, tried) {
                    job.request.take_tried(tried);
                }
                self.plan = plan;
                let decision = self.finish_send(Outcome::Failed(failure.0, failure.1));
                if let Some(job) = &self.job {
                    let metrics = job.state.metrics();
                    metrics.record_send_failure(failure_label(failure.0));
                    job.state.wake_prober();
                }
                self.log_failed(None, decision);
                if let Decision::End(code) = decision {
                    return Err(code);
                }
                None
            }
        };
        let job = self.job.take().ok_or(Code::Internal)?;
        let last_event_id = self.last_event_id.clone();
        let interrupted = Box::new((job.state.clone(), job.request.clone()));
        let resumed = Box::pin(resume(Box::new(job), last_event_id, under_way));
        self.phase = Phase::Resuming(resumed, interrupted);
        Ok(())
    }
}

/// Sends the request to other targets until one returns a successful response head or no further
/// send is allowed. The first may be under way.
async fn resume(
    mut job: Box<Job>,
    last_event_id: Option<String>,
    mut under_way: Option<(Plan, Sending)>,
) -> ResumeResult {
    let interrupted_at = job.state.now();
    loop {
        let state = job.state.clone();
        let last_event_id = last_event_id.as_deref();
        let (plan, sending) = match under_way.take() {
            Some(under_way) => under_way,
            None => {
                let plan = waiting_plan_resumed(&state, &mut job.request, interrupted_at).await;
                let plan = match plan {
                    Ok(plan) => plan,
                    Err(refusal) => return (job, Err(refusal)),
                };
                log_plan(&state, &job.request, &plan);
                let (request, template) = (&job.request, &job.template);
                let sending = send_start(
                    &state,
                    request,
                    &plan,
                    template,
                    last_event_id,
                    &Arc::default(),
                );
                (plan, sending)
            }
        };
        let mut guard = SendGuard::new(&state, &mut job.request, plan.clone(), None);
        let result = send_finish(&mut guard, sending, &job.template, last_event_id).await;
        let plan = guard.plan.clone().unwrap_or(plan);
        let error: SendError = match result {
            Some(Ok(Reply::Stream(reply))) => {
                guard.plan = None;
                drop(guard);
                job.request.progress = Progress::Begun(state.now());
                return (job, Ok((plan, *reply)));
            }
            // A peer that serves for this instance refuses what it can't place either.
            Some(Ok(Reply::Whole(_))) if plan.is_detour() => (Failure::Refused, None),
            Some(Ok(Reply::Whole(_))) | None => (Failure::Broken, None),
            Some(Err(error)) => error,
        };
        let decision = guard.finish_send(Outcome::Failed(error.0, error.1));
        drop(guard);
        job.state.wake_prober();
        job.state
            .metrics()
            .record_send_failure(failure_label(error.0));
        log::info!(
            request:% = job.request.id,
            target_name:% = plan.target,
            failure:? = error.0,
            at:? = error.1,
            next:? = decision;
            "send of a resumed stream failed"
        );
        if let Decision::End(code) = decision {
            let refusal = job.state.router().refusal(&job.request, code);
            return (job, Err(refusal));
        }
    }
}

impl Body for Events {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.deadline.as_mut().poll(cx).is_ready() && self.job.is_some() {
            self.finish_send(Outcome::Cancelled);
            return self.abort(Cause::Deadline, Code::DeadlinePassed);
        }
        loop {
            match &mut self.phase {
                Phase::Ended => return Poll::Ready(None),
                Phase::Resuming(resuming, _) => {
                    let (job, result) = ready!(resuming.as_mut().poll(cx));
                    self.job = Some(*job);
                    match result {
                        Err(refusal) => return self.abort(Cause::NoPlace, refusal.code),
                        Ok((plan, reply)) => self.go_on(plan, reply),
                    }
                }
                Phase::Streaming(upstream) => {
                    let Poll::Ready(polled) = Pin::new(&mut upstream.body).poll_frame(cx) else {
                        let won = ready!(self.poll_elsewhere(cx));
                        if let Err(code) = self.switch(won) {
                            return self.abort(Cause::NoPlace, code);
                        }
                        continue;
                    };
                    upstream.connection.expect_next();
                    let failed = match polled {
                        Some(Ok(frame)) => {
                            let Ok(chunk) = frame.into_data() else {
                                continue;
                            };
                            let events = self.splitter.push(&chunk);
                            self.target_events += events.count;
                            // Bytes that complete no event are no progress.
                            if events.count > 0 {
                                self.last_event_at = Instant::now();
                                self.cancel_elsewhere();
                                self.record_progress();
                            }
                            if events.last_id.is_some() {
                                self.last_event_id = events.last_id;
                            }
                            if !events.bytes.is_empty() {
                                self.record_first_event_time();
                                let bytes = Bytes::from(events.bytes);
                                return Poll::Ready(Some(Ok(Frame::data(bytes))));
                            }
                            self.splitter.buffered_bytes() > MAX_EVENT_BYTES
                        }
                        Some(Err(_)) => true,
                        None if self.splitter.buffered_bytes() > 0 => true,
                        None => return self.finish(),
                    };
                    if failed && let Err(code) = self.try_resume() {
                        return self.abort(Cause::Connection, code);
                    }
                }
            }
        }
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if self.plan.is_some() {
            self.finish_send(Outcome::Cancelled);
        }
        let interrupted = match (&self.job, &self.phase) {
            (Some(job), _) => Some((&job.state, &job.request)),
            (None, Phase::Resuming(_, interrupted)) => Some((&interrupted.0, &interrupted.1)),
            (None, Phase::Streaming(_) | Phase::Ended) => None,
        };
        if let Some((state, request)) = interrupted {
            cut_record(state, request, &self.cut(Cause::Caller));
        }
    }
}
