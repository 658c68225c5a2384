//! Requests that wait for capacity: wakes them, and ends their waits.
//!
//! The lock of the waiting requests is taken before that of the router, never while that is held.

use {
    crate::{
        front::{
            deadline::{deadline_passed, stop_begun},
            state::State,
        },
        units::millis,
    },
    camphorweir_relay::{
        admission::Standing,
        ids::{ServiceName, Time},
        router::{Admission, Lack, Outcome, Plan, Router},
        waiting::{
            RESUMED_WAIT, Request, Room, Round, Ticket, Times, waiting_limit,
            waiting_objective_left,
        },
    },
    camphorweir_wire::{
        code::Code,
        outcome::{Ran, Refusal},
    },
    std::{
        collections::BTreeMap,
        future::pending,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::oneshot::{self, error::TryRecvError},
        time::{sleep, timeout},
    },
};

/// Pause between attempts to plan where the requests of a service are not ordered by rank.
const CAPACITY_RETRY_PAUSE: Duration = Duration::from_millis(15);
/// A wait that ends so much too late was suspended with its instance.
const SUSPENSION: Duration = Duration::from_millis(100);
/// Time after it to hear of the room that was freed meanwhile.
const NEWS_TIME: Duration = Duration::from_millis(50);
/// Retry delay for requests refused during shutdown; the retry should reach another instance.
pub const STOP_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Pause between looks whether a waiting request can still be answered before the instance ends.
const STOP_LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The waiting requests of all services.
#[derive(Debug, Default)]
pub struct Waiting(Mutex<BTreeMap<ServiceName, Lane>>);

/// The waiting requests of one service.
#[derive(Debug, Default)]
struct Lane {
    room: Room,
    slots: BTreeMap<Ticket, Slot>,
}

/// A waiting request as it is planned, and where the result goes.
#[derive(Debug)]
struct Slot {
    request: Admission,
    reply: oneshot::Sender<Verdict>,
}

/// How a wait ends.
#[derive(Debug)]
enum Verdict {
    Start(Box<(Admission, Plan)>),
    /// It goes to another service by now.
    Moved(Box<Admission>),
    /// Another reason than capacity stands against the request by now.
    Refused(Refusal),
    /// More urgent requests took its place.
    Displaced,
}

impl Waiting {
    fn lanes(&self) -> MutexGuard<'_, BTreeMap<ServiceName, Lane>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time from the choice of targets to the first event of a stream.
    pub fn record_first_event(&self, request: &Admission, time: Duration) {
        if let Some(lane) = self.lanes().get_mut(&request.service) {
            lane.room.record_first_event(time);
        }
    }
}

impl Lane {
    /// Whether requests wait for silent targets.
    fn waits_for_answer(&self) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| slot.request.lack == Some(Lack::Answer))
    }

    /// Tries the waiting requests in their order, until `most` have started.
    fn run_round(&mut self, router: &mut Router, most: usize, now: Time) {
        let mut round = Round::default();
        let mut started = 0;
        while started < most
            && let Some(ticket) = round.next(&self.room, now)
        {
            let Some(slot) = self.slots.get_mut(&ticket) else {
                self.room.leave(ticket);
                continue;
            };
            let verdict = match router.plan(&mut slot.request, now) {
                Ok(plan) => Verdict::Start(Box::new((slot.request.clone(), plan))),
                Err(_) if may_wait(&slot.request) => {
                    round.record_miss(&self.room, now);
                    continue;
                }
                Err(refusal) => Verdict::Refused(refusal),
            };
            match &verdict {
                Verdict::Start(_) => {
                    self.room.start(ticket, now);
                    started += 1;
                }
                _ => _ = self.room.leave(ticket),
            }
            if let Some(slot) = self.slots.remove(&ticket)
                && let Err(Verdict::Start(start)) = slot.reply.send(verdict)
            {
                cancel(router, *start, now);
            }
        }
    }
}

/// Whether a request that could not be planned may wait for capacity.
fn may_wait(request: &Admission) -> bool {
    match request.lack {
        Some(Lack::Memory | Lack::Answer) => true,
        // The target that failed may have been the last with some layers that others are about to load.
        Some(Lack::Targets) => request.standing == Standing::Resumed,
        None => false,
    }
}

/// Releases what a plan reserved that is not carried out.
fn cancel(router: &mut Router, (mut request, plan): (Admission, Plan), now: Time) {
    router.finish_send(&mut request, &plan, Outcome::Cancelled, now);
}

/// Tries the requests that wait for a service, as a send or stream of this instance has ended there.
pub fn waiting_wake(state: &State, service: &ServiceName) {
    let now = state.now();
    let mut lanes = state.waiting().lanes();
    if let Some(lane) = lanes.get_mut(service)
        && !lane.room.is_empty()
    {
        lane.run_round(&mut state.router(), usize::MAX, now);
    }
}

/// Tries the requests that wait for any service, as peers' load is known anew. At most one of each
/// service starts, since the waiting requests of other instances hear the same.
pub fn waiting_wake_all(state: &State) {
    let now = state.now();
    let mut lanes = state.waiting().lanes();
    for lane in lanes.values_mut().filter(|lane| !lane.room.is_empty()) {
        lane.run_round(&mut state.router(), 1, now);
    }
}

/// Puts the waiting requests under a configuration that has just come into force.
pub fn waiting_revise(state: &State) {
    let now = state.now();
    let mut lanes = state.waiting().lanes();
    let mut router = state.router();
    for (service, lane) in lanes.iter_mut() {
        let ended = lane.slots.iter_mut().filter_map(|(ticket, slot)| {
            let request = &mut slot.request;
            let verdict = match router.revise(request, now) {
                Ok(()) if request.service == *service => return None,
                Ok(()) => Verdict::Moved(Box::new(request.clone())),
                Err(refusal) => Verdict::Refused(refusal),
            };
            Some((*ticket, verdict))
        });
        let ended: Vec<(Ticket, Verdict)> = ended.collect();
        for (ticket, verdict) in ended {
            lane.room.leave(ticket);
            if let Some(slot) = lane.slots.remove(&ticket) {
                // A caller that left has nothing reserved here.
                let _ = slot.reply.send(verdict);
            }
        }
    }
}

/// Chooses where to send a request, which may wait for capacity.
///
/// # Errors
///
/// The refusal when no target can take the request in time, or this instance would end before it.
pub async fn waiting_plan(state: &State, request: &mut Admission) -> Result<Plan, Refusal> {
    let plan = choose(state, request).await?;
    let Some(stop) = state.stop() else {
        return Ok(plan);
    };
    let now = state.now();
    let mut router = state.router();
    if router.ends_in_time(request, &plan, &stop, now) {
        return Ok(plan);
    }
    log::info!(
        request:% = request.id,
        target_name:% = plan.target,
        cost_ms = plan.path().map_or(0, |(path, _)| path.cost_ms() as u64),
        left_ms = millis(stop.ends_at.saturating_sub(now));
        "request can't end before this instance does"
    );
    router.finish_send(request, &plan, Outcome::Cancelled, now);
    let refusal = router.refusal(request, Code::Stopping);
    drop(router);
    waiting_wake(state, &request.service);
    Err(refusal.with_retry_after(STOP_RETRY_AFTER))
}

async fn choose(state: &State, request: &mut Admission) -> Result<Plan, Refusal> {
    let now = state.now();
    state.router().revise(request, now)?;
    let described = state.router().waiting_request(request, now);
    let Some(mut described) = described else {
        return poll_plan(state, request).await;
    };
    let waited = now.saturating_sub(request.arrived_at);
    let first_event = first_event(state, &request.service);
    let most = waiting_limit(request.route.latency_objective, waited, first_event);
    described.until = (now + most).min(request.deadline);
    plan_or_wait(state, request, described).await
}

/// Chooses where an interrupted stream goes on, which waits for capacity before all other requests.
///
/// # Errors
///
/// The refusal when no target can take it in time.
pub async fn waiting_plan_resumed(
    state: &State,
    request: &mut Admission,
    interrupted_at: Time,
) -> Result<Plan, Refusal> {
    let until = (interrupted_at + RESUMED_WAIT).min(request.deadline);
    let described = state.router().waiting_request(request, until);
    let Some(mut described) = described else {
        let now = state.now();
        return state.router().plan(request, now);
    };
    request.standing = Standing::Resumed;
    described.standing = Standing::Resumed;
    plan_or_wait(state, request, described).await
}

/// Chooses where a request could go on whose target is silent; it waits for capacity like any other of
/// its standing, for no longer than an interrupted stream.
///
/// # Errors
///
/// The refusal when no target can take it in time.
pub async fn waiting_plan_beside(state: &State, request: &mut Admission) -> Result<Plan, Refusal> {
    let now = state.now();
    let until = (now + RESUMED_WAIT).min(request.deadline);
    let described = state.router().waiting_request(request, until);
    match described {
        Some(described) => plan_or_wait(state, request, described).await,
        None => state.router().plan(request, now),
    }
}

/// Plans without ranks: again after pauses, for as long as memory may become free, or silent targets answer,
/// in time.
async fn poll_plan(state: &State, request: &mut Admission) -> Result<Plan, Refusal> {
    loop {
        let now = state.now();
        let planned = state.router().plan(request, now);
        let Err(refusal) = planned else {
            return planned;
        };
        let may_wait = {
            let router = state.router();
            router.may_wait_for_memory(request, &refusal, now)
                || router.may_wait_for_answer(request, now)
        };
        if !may_wait {
            return Err(refusal);
        }
        let stop = state.stop();
        let latest = stop.map(|stop| state.router().latest_start(request, &stop, now));
        if latest.is_some_and(|latest| latest <= now) {
            let refusal = state.router().refusal(request, Code::Stopping);
            return Err(refusal.with_retry_after(STOP_RETRY_AFTER));
        }
        sleep(CAPACITY_RETRY_PAUSE).await;
    }
}

/// The refusal that ends a request with `code`; one for lack of capacity says when to return.
pub fn waiting_refusal(state: &State, request: &Admission, code: Code) -> Refusal {
    let refusal = state.router().refusal(request, code);
    let described = state.router().waiting_request(request, state.now());
    match described {
        Some(described) if code == Code::TargetRefused => {
            with_return(state, request, described.rank, refusal)
        }
        _ => refusal,
    }
}

/// Says in a refusal for lack of capacity when to return, unless the request may have run.
fn with_return(state: &State, request: &Admission, rank: usize, mut refusal: Refusal) -> Refusal {
    if refusal.ran != Ran::No || request.is_beside() {
        return refusal;
    }
    let now = state.now();
    let mut lanes = state.waiting().lanes();
    let lane = lanes.entry(request.service.clone()).or_default();
    let waited = now.saturating_sub(request.arrived_at);
    let objective = request.route.latency_objective;
    let times = Times {
        objective_left: waiting_objective_left(objective, waited, lane.room.first_event()),
        time_left: request.time_left(now),
    };
    let random = state.router().random();
    refusal.retry_after = Some(lane.room.refuse(rank, times, random, now));
    refusal
}

fn first_event(state: &State, service: &ServiceName) -> Duration {
    let lanes = state.waiting().lanes();
    lanes
        .get(service)
        .map_or(Duration::ZERO, |lane| lane.room.first_event())
}

async fn plan_or_wait(
    state: &State,
    request: &mut Admission,
    described: Request,
) -> Result<Plan, Refusal> {
    let began = state.now();
    let (rank, until) = (described.rank, described.until);
    let mut waiter = match enter(state, request, described, began) {
        Entered::Planned(plan) => return Ok(*plan),
        Entered::Refused(refusal) if request.lack == Some(Lack::Memory) => {
            return Err(with_return(state, request, rank, refusal));
        }
        Entered::Refused(refusal) => return Err(refusal),
        Entered::Waits(waiter) => waiter,
    };
    let (outcome, verdict) = waiter.wait(request, until).await;
    let waited = state.now().saturating_sub(began);
    state.metrics().record_wait(request, rank, outcome, waited);
    log::info!(
        request:% = request.id,
        outcome = outcome,
        rank = rank,
        standing:? = request.standing,
        ahead = waiter.ahead,
        waited_ms = millis(waited);
        "wait for capacity ended"
    );
    drop(waiter);
    match verdict {
        Some(Verdict::Start(start)) => {
            let (planned, plan) = *start;
            *request = planned;
            Ok(plan)
        }
        Some(Verdict::Moved(moved)) => {
            *request = *moved;
            Box::pin(choose(state, request)).await
        }
        Some(Verdict::Refused(refusal)) => Err(refusal),
        Some(Verdict::Displaced) | None => {
            let is_stopped = outcome == "stopped";
            let code = match request.counts.sends {
                _ if is_stopped => Code::Stopping,
                0 => Code::NoPath,
                _ => Code::TargetRefused,
            };
            let mut refusal = state.router().refusal(request, code);
            refusal.detail = format!("No capacity within {} ms.", millis(waited));
            match (is_stopped, refusal.ran) {
                (true, Ran::No) => Err(refusal.with_retry_after(STOP_RETRY_AFTER)),
                (true, _) => Err(refusal),
                (false, _) => Err(with_return(state, request, rank, refusal)),
            }
        }
    }
}

enum Entered<'a> {
    Planned(Box<Plan>),
    Refused(Refusal),
    Waits(Waiter<'a>),
}

/// Plans a request at once unless others go before it; else it joins them.
fn enter<'a>(
    state: &'a State,
    request: &mut Admission,
    described: Request,
    now: Time,
) -> Entered<'a> {
    let rank = described.rank;
    let mut lanes = state.waiting().lanes();
    let service = request.service.clone();
    let lane = lanes.entry(service.clone()).or_default();
    let mut router = state.router();
    let is_behind = lane.room.is_behind(&described);
    if !is_behind {
        match router.plan(request, now) {
            Ok(plan) => {
                lane.room.start_at_once(&described, now);
                return Entered::Planned(Box::new(plan));
            }
            Err(refusal) if !may_wait(request) => return Entered::Refused(refusal),
            Err(_) => {}
        }
    }
    let full = |router: &Router, request: &mut Admission, text: &str| {
        request.lack = Some(Lack::Memory);
        let code = match request.counts.sends {
            0 => Code::NoPath,
            _ => Code::TargetRefused,
        };
        let mut refusal = router.refusal(request, code);
        refusal.detail = text.to_owned();
        Entered::Refused(refusal)
    };
    let Ok((ticket, displaced)) = lane.room.join(described) else {
        return full(&router, request, "As many requests wait as may.");
    };
    if let Some(slot) = displaced.and_then(|ticket| lane.slots.remove(&ticket)) {
        let _ = slot.reply.send(Verdict::Displaced);
    }
    let (reply, verdict) = oneshot::channel();
    let slot = Slot {
        request: request.clone(),
        reply,
    };
    lane.slots.insert(ticket, slot);
    let ahead = lane.room.ahead(ticket);
    if is_behind {
        lane.run_round(&mut router, usize::MAX, now);
    }
    // All that wait for a silent target start at once when it answers.
    let is_unprojected = lane.waits_for_answer();
    if lane.room.has(ticket) && !is_unprojected && !lane.room.is_worth_waiting(ticket, now) {
        lane.room.leave(ticket);
        lane.slots.remove(&ticket);
        let text = format!("No start in time is likely; {ahead} go before it.");
        return full(&router, request, &text);
    }
    Entered::Waits(Waiter {
        state,
        service,
        ticket,
        verdict,
        rank,
        ahead,
        began: now,
        is_over: false,
    })
}

/// A request that waits; it leaves the waiting room when this is dropped.
struct Waiter<'a> {
    state: &'a State,
    service: ServiceName,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    rank: usize,
    began: Time,
    /// Whether the wait has ended otherwise than by the caller's leaving.
    is_over: bool,
    /// Number of requests that went before it when it joined.
    ahead: usize,
}

impl Waiter<'_> {
    /// Waits for a verdict until `until`, with a last try then.
    async fn wait(&mut self, request: &Admission, until: Time) -> (&'static str, Option<Verdict>) {
        let state = self.state;
        let left = until.saturating_sub(state.now());
        let is_resumed = request.standing == Standing::Resumed;
        let (service, ticket) = (&self.service, self.ticket);
        let stopped = async {
            match is_resumed {
                // The stream ends well if it finds capacity while the instance still runs.
                true => pending().await,
                false => out_of_time(state, service, ticket, request).await,
            }
        };
        let given_up = async {
            tokio::select! {
                () = sleep(left) => {}
                () = deadline_passed(state, request) => {}
            }
        };
        let verdict = tokio::select! {
            biased;
            verdict = &mut self.verdict => verdict.ok(),
            () = stopped => {
                self.is_over = true;
                return ("stopped", None);
            }
            () = given_up => {
                let was_suspended = state.now().saturating_sub(until) >= SUSPENSION;
                let more = if was_suspended { NEWS_TIME } else { Duration::ZERO };
                match timeout(more, &mut self.verdict).await {
                    Ok(verdict) => verdict.ok(),
                    Err(_) => {
                        waiting_wake(state, service);
                        self.verdict.try_recv().ok()
                    }
                }
            }
        };
        self.is_over = true;
        let outcome = match &verdict {
            Some(Verdict::Start(_)) => "started",
            Some(Verdict::Moved(_)) => "moved",
            Some(Verdict::Refused(_)) => "refused",
            Some(Verdict::Displaced) => "displaced",
            None => "timed_out",
        };
        (outcome, verdict)
    }
}

/// Completes when a waiting request can no longer start early enough to be answered before the instance
/// ends; never before the shutdown begins.
async fn out_of_time(state: &State, service: &ServiceName, ticket: Ticket, request: &Admission) {
    let stop = stop_begun(state).await;
    loop {
        let now = state.now();
        let latest = state.router().latest_start(request, &stop, now);
        let starts = state.waiting().lanes().get_mut(service).is_none_or(|lane| {
            // A request that is no longer in the room has its verdict.
            !lane.room.has(ticket) || lane.room.starts_by(ticket, latest, now)
        });
        if !starts {
            return;
        }
        sleep(STOP_LOOK_PAUSE).await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let now = self.state.now();
        let (left, is_cancelled) = {
            let mut lanes = self.state.waiting().lanes();
            let Some(lane) = lanes.get_mut(&self.service) else {
                return;
            };
            lane.room.leave(self.ticket);
            let slot = lane.slots.remove(&self.ticket);
            match self.verdict.try_recv() {
                Ok(Verdict::Start(start)) => {
                    let request = start.0.clone();
                    cancel(&mut self.state.router(), *start, now);
                    (Some(request), true)
                }
                Ok(_) | Err(TryRecvError::Empty | TryRecvError::Closed) => {
                    (slot.map(|slot| slot.request), false)
                }
            }
        };
        if let Some(request) = left
            && !self.is_over
        {
            let waited = now.saturating_sub(self.began);
            let metrics = self.state.metrics();
            if request.is_beside() {
                metrics.record_wait(&request, self.rank, "went_on", waited);
            } else {
                metrics.record_wait(&request, self.rank, "left", waited);
                log::info!(
                    request:% = request.id,
                    waited_ms = millis(waited);
                    "caller left while its request waited for capacity"
                );
            }
        }
        // What was reserved for a caller that left goes to the next.
        if is_cancelled {
            waiting_wake(self.state, &self.service);
        }
    }
}
