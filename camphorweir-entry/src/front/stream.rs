//! A stream of events to a caller: passed on event by event, and gone on with at another target
//! when the first one fails.

use {
    crate::front::{
        call::{cause, told, told_plan},
        exchange::{Copy, Lack, Reply, exchange_send},
        pool::Line,
        stall::{QUIET, QUIET_SUSPECT, stall_found, stall_or},
        world::{Open, World},
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
    pub world: World,
    /// The request.
    pub ticket: Ticket,
    /// What is sent again when it goes on elsewhere.
    pub copy: Copy,
    /// Counts it while it runs.
    pub open: Open,
}

/// The body of a streamed answer.
pub struct Events {
    /// `None` once the stream is over.
    job: Option<Job>,
    /// What the send under way holds; `None` between sends.
    plan: Option<Plan>,
    state: State,
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
type Resumed = (Box<Job>, Result<(Plan, Reply), Refusal>);

enum State {
    Flow(Box<Flow>),
    Again(BoxFuture<'static, Resumed>),
    Over,
}

struct Flow {
    body: Incoming,
    line: Line,
    closes: bool,
    keep: Option<u64>,
}

impl State {
    /// A body that comes on `line`, after a head that told `facts`.
    fn flow(body: Incoming, line: Line, facts: &Facts) -> Self {
        Self::Flow(Box::new(Flow {
            body,
            line,
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
    pub fn new(job: Job, plan: Plan, body: Incoming, line: Line, facts: &Facts) -> Self {
        let left = job.ticket.left(job.world.now());
        Self {
            until: Box::pin(sleep_until(Instant::now() + left)),
            job: Some(job),
            plan: Some(plan),
            state: State::flow(body, line, facts),
            splitter: Splitter::default(),
            last: None,
            passed: false,
            heard: Instant::now(),
            quiet: Box::pin(sleep(QUIET)),
            check: None,
        }
    }

    fn settle(&mut self, outcome: Outcome) -> Next {
        match (self.plan.take(), &mut self.job) {
            (Some(plan), Some(job)) => {
                let now = job.world.now();
                job.world
                    .desk()
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
            let took = job.world.now().saturating_sub(job.ticket.arrived);
            job.world.meter().first(&job.ticket, took);
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
            let suspect = job.world.desk().plan_suspect(plan, job.world.now());
            let due = self.heard + if suspect { QUIET_SUSPECT } else { QUIET };
            if due > now || plan.path.is_none() {
                // Peers may say meanwhile that a hop fails.
                let next = due.min(now + QUIET_SUSPECT).max(now + TICK);
                self.quiet.as_mut().reset(next);
                continue;
            }
            let (world, id, plan) = (job.world.clone(), job.ticket.id.clone(), plan.clone());
            self.check = Some(Box::pin(
                async move { stall_found(&world, &id, &plan).await },
            ));
        }
        match &mut self.check {
            Some(check) => check.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }

    /// Ends the stream so that the caller sees it is not whole.
    fn broken(&mut self, code: Code) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.state = State::Over;
        if let Some(job) = self.job.take() {
            told(&job.world, &job.ticket, code.status(), Some(code));
        }
        Poll::Ready(Some(Err(io::Error::other(code.name()))))
    }

    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let plan = self.plan.clone();
        self.settle(Outcome::Answered { good: true });
        let state = std::mem::replace(&mut self.state, State::Over);
        if let Some(job) = self.job.take() {
            told(&job.world, &job.ticket, 200, None);
            if let (State::Flow(flow), Some(plan)) = (state, plan)
                && !flow.closes
            {
                let most = plan.connections;
                job.world
                    .pool()
                    .put(plan.address, flow.line, flow.keep, most);
            }
        }
        Poll::Ready(None)
    }

    /// Goes on elsewhere after a failure, if that may be.
    fn again(&mut self, at: Option<SocketAddr>) -> Result<(), Code> {
        let next = self.settle(Outcome::Failed(Failure::Broken, at));
        if let Some(job) = &self.job {
            job.world.meter().failed(cause(Failure::Broken));
            job.world.ask_soon();
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
                self.state = State::Again(Box::pin(resume(Box::new(job), after)));
                Ok(())
            }
        }
    }
}

/// Finds another target and the head of its answer.
async fn resume(mut job: Box<Job>, after: Option<String>) -> Resumed {
    loop {
        let now = job.world.now();
        let planned = job.world.desk().plan(&mut job.ticket, now);
        let plan = match planned {
            Ok(plan) => plan,
            Err(refused) => return (job, Err(refused)),
        };
        let left = job.ticket.left(now);
        told_plan(&job.world, &job.ticket, &plan);
        let send = exchange_send(&job.world, &job.ticket, &plan, &job.copy, after.as_deref());
        let send = stall_or(&job.world, &job.ticket.id, &plan, send);
        let done = timeout(left, send).await;
        let lack: Lack = match done {
            Ok(Ok(reply)) if reply.response.status().is_success() => {
                return (job, Ok((plan, reply)));
            }
            Ok(Ok(_)) => (Failure::Broken, None),
            Ok(Err(lack)) => lack,
            Err(_) => (Failure::Broken, None),
        };
        let now = job.world.now();
        let outcome = Outcome::Failed(lack.0, lack.1);
        let next = job
            .world
            .desk()
            .settle(&mut job.ticket, &plan, outcome, now);
        if let Next::End(code) = next {
            let refused = job.world.desk().refuse(&job.ticket, code);
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
            match &mut self.state {
                State::Over => return Poll::Ready(None),
                State::Again(resumed) => {
                    let (job, result) = ready!(resumed.as_mut().poll(cx));
                    self.job = Some(*job);
                    match result {
                        Err(refused) => return self.broken(refused.code),
                        Ok((plan, reply)) => {
                            self.heard = Instant::now();
                            self.plan = Some(plan);
                            let body = reply.response.into_body();
                            self.state = State::flow(body, reply.line, &reply.facts);
                        }
                    }
                }
                State::Flow(flow) => {
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
