//! Requests that wait for capacity: their order, how long they wait, which is tried next, and when a
//! refused caller should return.

use {
    crate::{
        admission::Standing,
        ids::{Time, Workspace},
        router::{Admission, Lack, Router},
    },
    std::{
        collections::BTreeMap,
        ops::Bound::{Excluded, Unbounded},
        time::Duration,
    },
};

/// Most requests that wait for one service at one instance.
pub const MAX_WAITING: usize = 64;
/// Longest wait of an interrupted stream: callers leave after two seconds without an event, and the new
/// target takes some hundred milliseconds to the next one.
pub const RESUMED_WAIT: Duration = Duration::from_millis(1500);
/// Number of requests that may start ahead of one that does not fit before it holds back those behind it.
pub const MAX_BYPASSES: u32 = 4;
/// How long it then holds them back. Other instances may take what is freed meanwhile, so that a longer
/// hold costs more than it secures.
pub const HOLD: Duration = Duration::from_millis(100);
/// Shortest `Retry-After` for lack of capacity: a zone frees memory for some thirty streams a second.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Largest share of the caller's remaining time, as a divisor, that a `Retry-After` takes.
const RETRY_TIME_DIVISOR: u32 = 3;
/// Spread of a `Retry-After`, as a share of it, so that callers refused together return apart.
const RETRY_SPREAD: f64 = 0.5;
/// Number of requests ahead below which a request waits without a projection: at about three starts a
/// second the rate is not known well enough to refuse the second in line.
const MIN_AHEAD: usize = 2;
/// Time constant of the average rate of starts.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Least part of that time that a rate is derived from, so that the first few events do not make a high
/// one.
const MIN_COVERED_S: f64 = 1.0;
/// Least rate of starts per second that is assumed; before the first start nothing is known.
const MIN_RATE: f64 = 0.5;
/// Weight of the newest time to a first event in their moving average.
const FIRST_EVENT_WEIGHT: f64 = 1.0 / 16.0;
/// Work of a token of the answer, in tokens of the prompt.
const ANSWER_WORK: u64 = 10;
/// Number of workspaces at which the finish tags that no longer matter are dropped.
const MAX_WORKSPACES: usize = 1024;

/// Identifies a waiting request.
pub type Ticket = u64;

/// What decides on the wait of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Rank among the priorities of the service, 0 for the most urgent.
    pub rank: usize,
    /// How it stands among those of its rank.
    pub standing: Standing,
    /// Its workspace, which shares a rank with others by work.
    pub workspace: Option<Workspace>,
    /// Its work, for those shares.
    pub work: u64,
    /// Tokens that memory is needed for on each layer.
    pub size: u64,
    /// Whether some targets are not tried for it, so that others of its size may fit where it does not.
    pub is_restricted: bool,
    /// When it gives up.
    pub until: Time,
}

/// Place of a waiting request; the first goes first. Interrupted streams precede all ranks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    is_first_run: bool,
    rank: usize,
    standing: Standing,
    tag: u64,
    ticket: Ticket,
}

#[derive(Debug)]
struct Waiting {
    request: Request,
    /// Number of requests that started ahead of it since it last held others back.
    bypasses: u32,
    held_until: Time,
}

/// An exponentially decaying average of the rate of events.
#[derive(Debug, Default)]
struct Rate {
    /// Number of events, with earlier ones decayed.
    count: f64,
    updated: Time,
    /// Time of the first event.
    began: Option<Time>,
}

impl Rate {
    /// Events per second.
    fn get(&mut self, now: Time) -> f64 {
        let window = RATE_WINDOW.as_secs_f64();
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.count *= (-age / window).exp();
        self.updated = now;
        // Until a whole window has passed, the count covers only part of one.
        let covered = now.saturating_sub(self.began.unwrap_or(now)).as_secs_f64();
        let covered = window * (1.0 - (-covered / window).exp());
        self.count / covered.max(MIN_COVERED_S)
    }

    fn add(&mut self, now: Time) {
        self.get(now);
        self.began.get_or_insert(now);
        self.count += 1.0;
    }
}

/// The waiting requests of one service at one instance.
///
/// Workspaces share a rank by start-time fair queueing: the start tag of a request is the finish tag of
/// the workspace's previous one or the virtual time, if that is later; the lowest goes first.
#[derive(Debug, Default)]
pub struct Room {
    waiting: BTreeMap<Place, Waiting>,
    places: BTreeMap<Ticket, Place>,
    last_ticket: Ticket,
    /// Finish tag of the last request of each workspace, by rank.
    finish: BTreeMap<(usize, Option<Workspace>), u64>,
    /// Start tag of the request that started last, by rank.
    virtual_time: BTreeMap<usize, u64>,
    starts: Rate,
    first_event_s: Option<f64>,
    /// Callers that were told to return and have probably not been served yet, by rank.
    refused: BTreeMap<usize, f64>,
    refused_updated: Time,
}

impl Room {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether this request waits.
    pub fn has(&self, ticket: Ticket) -> bool {
        self.places.contains_key(&ticket)
    }

    /// Whether a request waits that goes before this one.
    pub fn is_behind(&self, request: &Request) -> bool {
        let place = self.place(request, Ticket::MAX);
        self.waiting
            .first_key_value()
            .is_some_and(|(first, _)| *first < place)
    }

    /// Number of requests that go before a waiting one.
    pub fn ahead(&self, ticket: Ticket) -> usize {
        let place = self.places.get(&ticket);
        place.map_or(0, |place| self.waiting.range(..place).count())
    }

    /// Adds a request; returns its ticket, and that of the last in order if it has to make room.
    ///
    /// # Errors
    ///
    /// The request, if as many wait as may and all of them go before it.
    pub fn join(&mut self, request: Request) -> Result<(Ticket, Option<Ticket>), Request> {
        self.last_ticket += 1;
        let place = self.place(&request, self.last_ticket);
        let mut displaced = None;
        if self.waiting.len() >= MAX_WAITING {
            match self.waiting.last_key_value() {
                Some((last, _)) if *last > place => displaced = Some(last.ticket),
                _ => return Err(request),
            }
        }
        if let Some(ticket) = displaced {
            self.leave(ticket);
        }
        self.charge(&request, place.tag);
        self.places.insert(place.ticket, place);
        let waiting = Waiting {
            request,
            bypasses: 0,
            held_until: Time::ZERO,
        };
        self.waiting.insert(place, waiting);
        Ok((place.ticket, displaced))
    }

    /// Removes a request that has not started; returns whether it waited.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.remove(ticket) else {
            return false;
        };
        // Its workspace is not charged for work that was not done.
        let request = waiting.request;
        if let Some(finish) = self.finish.get_mut(&(request.rank, request.workspace)) {
            *finish = finish.saturating_sub(request.work.max(1));
        }
        true
    }

    /// Removes a request that starts, which those before it are bypassed by.
    pub fn start(&mut self, ticket: Ticket, now: Time) {
        let Some(place) = self.places.get(&ticket).copied() else {
            return;
        };
        self.remove(ticket);
        self.starts.add(now);
        self.advance(place);
        for (_, waiting) in self.waiting.range_mut(..place) {
            waiting.bypasses += 1;
            if waiting.bypasses >= MAX_BYPASSES {
                waiting.bypasses = 0;
                waiting.held_until = now + HOLD;
            }
        }
    }

    /// Counts a request that starts without a wait.
    pub fn start_at_once(&mut self, request: &Request, now: Time) {
        let place = self.place(request, Ticket::MAX);
        self.charge(request, place.tag);
        self.advance(place);
        self.starts.add(now);
    }

    /// Records the time from the choice of targets to the first event of a stream.
    pub fn record_first_event(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let average = self.first_event_s.get_or_insert(time);
        *average += (time - *average) * FIRST_EVENT_WEIGHT;
    }

    /// Usual time from the choice of targets to the first event; zero before any.
    pub fn first_event(&self) -> Duration {
        Duration::from_secs_f64(self.first_event_s.unwrap_or_default())
    }

    /// Whether a waiting request is likely to start before it gives up.
    pub fn is_worth_waiting(&mut self, ticket: Ticket, now: Time) -> bool {
        self.starts_by(ticket, Time::MAX, now)
    }

    /// Whether a waiting request is likely to start before it gives up, and before `latest`.
    pub fn starts_by(&mut self, ticket: Ticket, latest: Time, now: Time) -> bool {
        let Some(place) = self.places.get(&ticket).copied() else {
            return false;
        };
        let until = self
            .waiting
            .get(&place)
            .map(|waiting| waiting.request.until);
        let left = until.unwrap_or_default().min(latest).saturating_sub(now);
        let rate = self.starts.get(now);
        !left.is_zero() && waiting_projection(self.ahead(ticket), rate) <= left
    }

    /// When the caller of a request of this rank, which does not start here, should return;
    /// counts it among those that will. `random` is in `0.0..1.0`.
    pub fn refuse(&mut self, rank: usize, times: Times, random: f64, now: Time) -> Duration {
        let rate = self.starts.get(now).max(MIN_RATE);
        self.drain_refused(rate, now);
        let waiting = self.waiting.keys().filter(|place| place.rank <= rank);
        let refused: f64 = self.refused.range(..=rank).map(|(_, count)| count).sum();
        let backlog = waiting.count() as f64 + refused + 1.0;
        *self.refused.entry(rank).or_default() += 1.0;
        waiting_retry_after(backlog, rate, times, random)
    }

    /// Takes what was started since the last call off those that will return, the most urgent first.
    fn drain_refused(&mut self, rate: f64, now: Time) {
        let elapsed = now.saturating_sub(self.refused_updated);
        self.refused_updated = now;
        let mut served = rate * elapsed.as_secs_f64();
        for count in self.refused.values_mut() {
            let taken = served.min(*count);
            *count -= taken;
            served -= taken;
        }
    }

    fn place(&self, request: &Request, ticket: Ticket) -> Place {
        let key = (request.rank, request.workspace.clone());
        let finish = self.finish.get(&key).copied().unwrap_or_default();
        Place {
            is_first_run: request.standing != Standing::Resumed,
            rank: request.rank,
            standing: request.standing,
            tag: finish.max(self.virtual_time_of(request.rank)),
            ticket,
        }
    }

    fn virtual_time_of(&self, rank: usize) -> u64 {
        self.virtual_time.get(&rank).copied().unwrap_or_default()
    }

    /// Moves the virtual time of a rank to the tag of a request that starts. It never goes back: callers
    /// that return precede requests with lower tags.
    fn advance(&mut self, place: Place) {
        let virtual_time = self.virtual_time.entry(place.rank).or_default();
        *virtual_time = place.tag.max(*virtual_time);
    }

    fn charge(&mut self, request: &Request, tag: u64) {
        if self.finish.len() >= MAX_WORKSPACES {
            let virtual_time = &self.virtual_time;
            self.finish.retain(|(rank, _), finish| {
                *finish > virtual_time.get(rank).copied().unwrap_or_default()
            });
        }
        let key = (request.rank, request.workspace.clone());
        self.finish.insert(key, tag + request.work.max(1));
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.places.remove(&ticket)?;
        self.waiting.remove(&place)
    }
}

/// One pass over the waiting requests after capacity was freed, in their order.
#[derive(Debug, Default)]
pub struct Round {
    last: Option<Place>,
    /// Smallest size that does not fit; those behind have no larger share of memory, so that none of this
    /// size or larger fits either.
    too_large: Option<u64>,
    is_held: bool,
}

impl Round {
    /// The request to try next; `None` once the round is over.
    pub fn next(&mut self, room: &Room, now: Time) -> Option<Ticket> {
        let from = self.last.map_or(Unbounded, Excluded);
        for (place, waiting) in room.waiting.range((from, Unbounded)) {
            if self.is_held {
                return None;
            }
            self.last = Some(*place);
            if self
                .too_large
                .is_none_or(|size| waiting.request.size < size)
            {
                return Some(place.ticket);
            }
            self.is_held = waiting.held_until > now;
        }
        None
    }

    /// Records that the request tried last does not fit.
    pub fn record_miss(&mut self, room: &Room, now: Time) {
        let last = self.last.and_then(|place| room.waiting.get(&place));
        let Some(waiting) = last else {
            return;
        };
        self.is_held = waiting.held_until > now;
        if !waiting.request.is_restricted {
            let size = waiting.request.size;
            self.too_large = Some(self.too_large.map_or(size, |least| least.min(size)));
        }
    }
}

/// Times of a caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Until a start would be too late for the objective.
    pub objective_left: Duration,
    /// Until the deadline of the request.
    pub time_left: Duration,
}

/// Projected wait behind a number of requests, at a rate of starts per second.
pub fn waiting_projection(ahead: usize, rate: f64) -> Duration {
    match ahead < MIN_AHEAD {
        true => Duration::ZERO,
        false => Duration::from_secs_f64(ahead as f64 / rate.max(MIN_RATE)),
    }
}

/// Time in which a request has to start for its objective, where a first event usually takes
/// `first_event` from the start.
pub fn waiting_objective_left(
    objective: Duration,
    waited: Duration,
    first_event: Duration,
) -> Duration {
    objective.saturating_sub(waited + first_event)
}

/// How long a request may wait: a caller that is refused then can still return once, to an instance with
/// other knowledge, and have its answer within the objective.
pub fn waiting_limit(objective: Duration, waited: Duration, first_event: Duration) -> Duration {
    let left = waiting_objective_left(objective, waited, first_event);
    left.saturating_sub(MIN_RETRY_AFTER)
}

/// `Retry-After` behind a backlog of requests that drains at `rate` per second, with `random` in
/// `0.0..1.0`.
///
/// While the objective of the caller can still be met it returns at once, whatever the backlog here: another
/// instance may have capacity, and a later answer is worth little.
pub fn waiting_retry_after(backlog: f64, rate: f64, times: Times, random: f64) -> Duration {
    let longest = (times.time_left / RETRY_TIME_DIVISOR).max(MIN_RETRY_AFTER);
    let is_in_time = times.objective_left >= MIN_RETRY_AFTER;
    let drained_s =
        (backlog / rate.max(MIN_RATE)).min(longest.as_secs_f64() / (1.0 + RETRY_SPREAD));
    let earliest = match is_in_time {
        true => MIN_RETRY_AFTER,
        false => Duration::from_secs_f64(drained_s).max(MIN_RETRY_AFTER),
    };
    let mut latest = longest.min(earliest.mul_f64(1.0 + RETRY_SPREAD));
    if is_in_time {
        latest = latest.min(times.objective_left);
    }
    earliest + latest.saturating_sub(earliest).mul_f64(random)
}

impl Router {
    /// Whether a request that no target can take now may wait for silent targets, where requests are not
    /// ordered by rank: for as long as its objective allows, as it costs nobody else anything.
    pub fn may_wait_for_answer(&self, request: &Admission, now: Time) -> bool {
        let waited = now.saturating_sub(request.arrived_at);
        let longest = waiting_limit(request.route.latency_objective, waited, Duration::ZERO);
        request.lack == Some(Lack::Answer) && !longest.is_zero()
    }

    /// What decides on the wait of a request for capacity until `until`; `None` where the requests of its
    /// service are not ordered by rank.
    pub fn waiting_request(&self, request: &Admission, until: Time) -> Option<Request> {
        let ranks = &self.features(&request.service).ranks;
        if !ranks.is_ordered() {
            return None;
        }
        let (prompt, answer) = request.tokens;
        let mean_answer = self
            .engine(&request.service)
            .map_or(0.0, |engine| engine.mean_tokens.1);
        let (prompt, answer) = (u64::from(prompt), u64::from(answer));
        Some(Request {
            rank: ranks.rank(request.priority),
            standing: request.standing,
            workspace: request.workspace.clone(),
            work: prompt + ANSWER_WORK * answer,
            size: prompt + answer.min(mean_answer as u64),
            is_restricted: !request.excluded.is_empty(),
            until,
        })
    }
}
