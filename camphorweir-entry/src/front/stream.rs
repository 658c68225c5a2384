//! A stream of events to a caller: passed on event by event, and gone on with at another target
//! when the first one fails.

use {
    crate::front::{
        exchange::{SendError, TargetResponse, Template, send_request},
        pool::Connection,
        request::{failure_label, log_plan, record_end},
        stall::{STALL_CHECK_DELAY, SUSPECT_STALL_CHECK_DELAY, wait_for_stall, with_stall_check},
        state::{InFlightGuard, State},
    },
    bytes::Bytes,
    camphorweir_platform::answer::Facts,
    camphorweir_relay::{
        desk::{Outcome, Plan, Ticket},
        repeat::{Failure, Next},
        sse::{MAX_EVENT, Splitter},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    futures::future::BoxFuture,
    hyper::body::{Body, Frame, Incoming},
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep, sleep_until, timeout},
};

/// Shortest pause between looks whether a stream is quiet.
const TICK: Duration = Duration::from_millis(20);

/// A request whose answer is a stream.
#[derive(Debug)]
pub struct Job {
    /// The state of the entry.
    pub state: State,
    /// The request.
    pub ticket: Ticket,
    /// What is sent again when it goes on elsewhere.
    pub template: Template,
    /// Counts it while it runs.
    pub in_flight: InFlightGuard,
}

/// The body of a streamed answer.
pub struct Events {
    /// `None` once the stream is over.
    job: Option<Job>,
    /// What the send under way holds; `None` between sends.
    plan: Option<Plan>,
    phase: Phase,
    splitter: Splitter,
    /// The last event that was passed on.
    last: Option<String>,
    until: Pin<Box<Sleep>>,
    /// Whether an event has passed.
    passed: bool,
    /// When the last event came.
    heard: Instant,
    /// Wakes the stream to see whether it is quiet.
    quiet: Pin<Box<Sleep>>,
    /// Under way while it is: ends with the hop at fault.
    check: Option<BoxFuture<'static, SocketAddr>>,
}

/// A request that goes on, with the plan and the head of its new answer.
type Resumed = (Box<Job>, Result<(Plan, TargetResponse), Refusal>);

enum Phase {
    Flow(Box<Flow>),
    Again(BoxFuture<'static, Resumed>),
    Over,
}

struct Flow {
    body: Incoming,
    connection: Connection,
    closes: bool,
    keep: Option<u64>,
}

impl Phase {
    /// A body that comes on `line`, after a head that told `facts`.
    fn flow(body: Incoming, connection: Connection, facts: &Facts) -> Self {
        Self::Flow(Box::new(Flow {
            body,
            connection,
            closes: facts.closes,
            keep: facts.keep,
        }))
    }
}

impl std::fmt::Debug for Events {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Events(..)")
    }
}

impl Events {
    /// A stream whose head came on `line`.
    pub fn new(
        job: Job,
        plan: Plan,
        body: Incoming,
        connection: Connection,
        facts: &Facts,
    ) -> Self {
        let left = job.ticket.left(job.state.now());
        Self {
            until: Box::pin(sleep_until(Instant::now() + left)),
            job: Some(job),
            plan: Some(plan),
            phase: Phase::flow(body, connection, facts),
            splitter: Splitter::default(),
            last: None,
            passed: false,
            heard: Instant::now(),
            quiet: Box::pin(sleep(STALL_CHECK_DELAY)),
            check: None,
        }
    }

    fn settle(&mut self, outcome: Outcome) -> Next {
        match (self.plan.take(), &mut self.job) {
            (Some(plan), Some(job)) => {
                let now = job.state.now();
                job.state
                    .router()
                    .settle(&mut job.ticket, &plan, outcome, now)
            }
            _ => Next::End(Code::Internal),
        }
    }

    /// Takes in that an event passes, if it is the first.
    fn began(&mut self) {
        if let Some(job) = &self.job
            && !std::mem::replace(&mut self.passed, true)
        {
            let took = job.state.now().saturating_sub(job.ticket.arrived);
            job.state.metrics().record_first_event(&job.ticket, took);
        }
    }

    /// Looks whether the stream is stalled; ready with the hop at fault.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<SocketAddr> {
        while self.check.is_none() {
            ready!(self.quiet.as_mut().poll(cx));
            let (Some(job), Some(plan)) = (&self.job, &self.plan) else {
                return Poll::Pending;
            };
            let now = Instant::now();
            let suspect = job.state.router().plan_suspect(plan, job.state.now());
            let due = self.heard
                + if suspect {
                    SUSPECT_STALL_CHECK_DELAY
                } else {
                    STALL_CHECK_DELAY
                };
            if due > now || plan.path.is_none() {
                // Peers may say meanwhile that a hop fails.
                let next = due.min(now + SUSPECT_STALL_CHECK_DELAY).max(now + TICK);
                self.quiet.as_mut().reset(next);
                continue;
            }
            let (state, id, plan) = (job.state.clone(), job.ticket.id.clone(), plan.clone());
            self.check = Some(Box::pin(
                async move { wait_for_stall(&state, &id, &plan).await },
            ));
        }
        match &mut self.check {
            Some(check) => check.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }

    /// Ends the stream so that the caller sees it is not whole.
    fn broken(&mut self, code: Code) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.phase = Phase::Over;
        if let Some(job) = self.job.take() {
            record_end(&job.state, &job.ticket, code.status(), Some(code));
        }
        Poll::Ready(Some(Err(io::Error::other(code.name()))))
    }

    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let plan = self.plan.clone();
        self.settle(Outcome::Answered { good: true });
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        if let Some(job) = self.job.take() {
            record_end(&job.state, &job.ticket, 200, None);
            if let (Phase::Flow(flow), Some(plan)) = (phase, plan)
                && !flow.closes
            {
                let most = plan.connections;
                job.state
                    .pool()
                    .put(plan.address, flow.connection, flow.keep, most);
            }
        }
        Poll::Ready(None)
    }

    /// Goes on elsewhere after a failure, if that may be.
    fn again(&mut self, at: Option<SocketAddr>) -> Result<(), Code> {
        let next = self.settle(Outcome::Failed(Failure::Broken, at));
        if let Some(job) = &self.job {
            job.state
                .metrics()
                .record_send_failure(failure_label(Failure::Broken));
            job.state.wake_prober();
            log::info!(
                request:% = job.ticket.id,
                at:? = at,
                after = self.last.as_deref().unwrap_or_default(),
                next:? = next;
                "stream broke"
            );
        }
        match next {
            Next::End(code) => Err(code),
            Next::Again => {
                self.splitter = Splitter::default();
                self.check = None;
                let job = self.job.take().ok_or(Code::Internal)?;
                let after = self.last.clone();
                self.phase = Phase::Again(Box::pin(resume(Box::new(job), after)));
                Ok(())
            }
        }
    }
}

/// Finds another target and the head of its answer.
async fn resume(mut job: Box<Job>, after: Option<String>) -> Resumed {
    loop {
        let now = job.state.now();
        let planned = job.state.router().plan(&mut job.ticket, now);
        let plan = match planned {
            Ok(plan) => plan,
            Err(refused) => return (job, Err(refused)),
        };
        let left = job.ticket.left(now);
        log_plan(&job.state, &job.ticket, &plan);
        let send = send_request(
            &job.state,
            &job.ticket,
            &plan,
            &job.template,
            after.as_deref(),
        );
        let send = with_stall_check(&job.state, &job.ticket.id, &plan, send);
        let done = timeout(left, send).await;
        let lack: SendError = match done {
            Ok(Ok(reply)) if reply.response.status().is_success() => {
                return (job, Ok((plan, reply)));
            }
            Ok(Ok(_)) => (Failure::Broken, None),
            Ok(Err(lack)) => lack,
            Err(_) => (Failure::Broken, None),
        };
        let now = job.state.now();
        let outcome = Outcome::Failed(lack.0, lack.1);
        let next = job
            .state
            .router()
            .settle(&mut job.ticket, &plan, outcome, now);
        if let Next::End(code) = next {
            let refused = job.state.router().refuse(&job.ticket, code);
            return (job, Err(refused));
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
        if self.until.as_mut().poll(cx).is_ready() && self.job.is_some() {
            self.settle(Outcome::Dropped);
            return self.broken(Code::DeadlinePassed);
        }
        loop {
            match &mut self.phase {
                Phase::Over => return Poll::Ready(None),
                Phase::Again(resumed) => {
                    let (job, result) = ready!(resumed.as_mut().poll(cx));
                    self.job = Some(*job);
                    match result {
                        Err(refused) => return self.broken(refused.code),
                        Ok((plan, reply)) => {
                            self.heard = Instant::now();
                            self.plan = Some(plan);
                            let body = reply.response.into_body();
                            self.phase = Phase::flow(body, reply.connection, &reply.facts);
                        }
                    }
                }
                Phase::Flow(flow) => {
                    let Poll::Ready(polled) = Pin::new(&mut flow.body).poll_frame(cx) else {
                        let at = ready!(self.poll_stall(cx));
                        if let Err(code) = self.again(Some(at)) {
                            return self.broken(code);
                        }
                        continue;
                    };
                    let failed = match polled {
                        Some(Ok(frame)) => {
                            self.heard = Instant::now();
                            self.check = None;
                            let Ok(piece) = frame.into_data() else {
                                continue;
                            };
                            let whole = self.splitter.push(&piece);
                            if whole.last_id.is_some() {
                                self.last = whole.last_id;
                            }
                            if !whole.bytes.is_empty() {
                                self.began();
                                let bytes = Bytes::from(whole.bytes);
                                return Poll::Ready(Some(Ok(Frame::data(bytes))));
                            }
                            self.splitter.pending() > MAX_EVENT
                        }
                        Some(Err(_)) => true,
                        None if self.splitter.pending() > 0 => true,
                        None => return self.complete(),
                    };
                    if failed && let Err(code) = self.again(None) {
                        return self.broken(code);
                    }
                }
            }
        }
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if self.plan.is_some() {
            self.settle(Outcome::Dropped);
        }
        if let Some(job) = &self.job {
            log::info!(request:% = job.ticket.id; "caller left its stream");
        }
    }
}
