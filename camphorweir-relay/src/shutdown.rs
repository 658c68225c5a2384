//! Which requests an instance still takes while it shuts down: those that end before it does.

use {
    crate::{
        configuration::Kind,
        ids::{ServiceName, Time},
        router::{Admission, Destination, Plan, Router},
        suspicion::MAX_SOUND_SILENCE,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The shutdown ends this long before the process would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Requests that arrive later than this after the shutdown began must end in time for certain: the load
/// balancer sends new connections elsewhere by then, so that a refusal finds another instance.
const PROJECTED_PERIOD: Duration = Duration::from_millis(2_800);
/// Time left for the end of an answer to reach its caller.
const WRITE_RESERVE: Duration = Duration::from_millis(150);
/// Least projected time of a request; below it the network decides.
const MIN_PROJECTED: Duration = Duration::from_millis(5);
/// Longest projected time; no caller waits as long.
const MAX_PROJECTED: Duration = Duration::from_secs(24 * 3600);
/// Number of classes of the ratio of observed to projected time.
const CLASSES: usize = 128;
/// Ratio below which the first class lies.
const FIRST_RATIO: f64 = 0.25;
/// Ratio of the bounds of one class to those of the class before it; eight classes double the ratio.
const CLASS_STEP: f64 = 1.090_507_733;
/// Share of requests that end within the ratio by which projected times are stretched.
const QUANTILE: f64 = 0.95;
/// Weight below which the observations of a class are forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// Time after which an observation counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Ratio that is assumed beside what was observed, as one observation.
const ASSUMED_RATIO: f64 = 2.5;
/// Limit on the services of which observations are kept.
const MAX_SERVICES: usize = 256;

/// The time in which an instance shuts down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    /// When it began.
    pub since: Time,
    /// When the process ends at the latest; not before `since`.
    pub ends_at: Time,
}

impl Stop {
    /// A shutdown that begins now, of a process that would be killed after `grace`.
    pub fn new(now: Time, grace: Duration) -> Self {
        Self {
            since: now,
            ends_at: now + grace.saturating_sub(GRACE_MARGIN),
        }
    }

    /// The latest time at which an answer can begin and still reach its caller.
    pub fn last_answer_at(&self) -> Time {
        self.ends_at.saturating_sub(WRITE_RESERVE)
    }

    /// Whether a request that takes `longest` from now on is answered in time.
    fn fits(&self, longest: Duration, now: Time) -> bool {
        now + longest <= self.last_answer_at()
    }
}

/// How long requests have lately taken, compared with their projections; bounded in memory.
#[derive(Clone, Debug, Default)]
pub struct Pace(BTreeMap<ServiceName, Ratios>);

/// Weights of the ratios that were observed, by class.
#[derive(Clone, Debug)]
struct Ratios {
    weights: [f64; CLASSES],
    /// Sum of the projected times in seconds, by the same weights.
    projected_s: f64,
    decayed_at: Time,
}

impl Ratios {
    fn decay(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.decayed_at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The class of a ratio.
fn class(ratio: f64) -> usize {
    let class = (ratio / FIRST_RATIO).log2() / CLASS_STEP.log2();
    class.clamp(0.0, (CLASSES - 1) as f64) as usize
}

impl Pace {
    /// Records that a request of a service took `observed`, where `projected` had been expected.
    pub fn record(
        &mut self,
        service: &ServiceName,
        projected: Duration,
        observed: Duration,
        now: Time,
    ) {
        if self.0.len() >= MAX_SERVICES && !self.0.contains_key(service) {
            return;
        }
        let ratios = self.0.entry(service.clone()).or_insert_with(|| Ratios {
            weights: [0.0; CLASSES],
            projected_s: 0.0,
            decayed_at: now,
        });
        let decay = ratios.decay(now);
        ratios
            .weights
            .iter_mut()
            .for_each(|weight| *weight *= decay);
        ratios.decayed_at = now;
        let projected = projected.max(MIN_PROJECTED);
        ratios.projected_s = ratios.projected_s * decay + projected.as_secs_f64();
        ratios.weights[class(observed.as_secs_f64() / projected.as_secs_f64())] += 1.0;
    }

    /// Weight of the observed ratios of a service in a class, with the one that is assumed.
    fn weight(&self, service: &str, class_index: usize, now: Time) -> f64 {
        let ratios = self.0.get(service);
        let observed = ratios.map_or(0.0, |ratios| {
            ratios.weights[class_index] * ratios.decay(now)
        });
        observed + f64::from(u8::from(class_index == class(ASSUMED_RATIO)))
    }

    /// Time within which nearly all requests of a service end that are projected to take `projected`.
    pub fn longest(&self, service: &str, projected: Duration, now: Time) -> Duration {
        let weight = |class: usize| self.weight(service, class, now);
        let total: f64 = (0..CLASSES).map(weight).sum();
        let mut below = 0.0;
        let within = (0..CLASSES).find(|class| {
            below += weight(*class);
            below >= QUANTILE * total
        });
        stretch(projected, within)
    }

    /// Time within which all requests of a service have lately ended that are projected to take `projected`.
    pub fn longest_observed(&self, service: &str, projected: Duration, now: Time) -> Duration {
        let mut classes = (0..CLASSES).rev();
        let highest = classes.find(|class| self.weight(service, *class, now) >= MIN_WEIGHT);
        stretch(projected, highest)
    }

    /// Mean projected time of the requests of a service that were lately observed; zero before any.
    fn mean_projected(&self, service: &str) -> Duration {
        let mean = self.0.get(service).and_then(|ratios| {
            let total: f64 = ratios.weights.iter().sum();
            Duration::try_from_secs_f64(ratios.projected_s / total).ok()
        });
        mean.unwrap_or_default()
    }
}

/// The projected time by the upper bound of a class, the last one without any.
fn stretch(projected: Duration, class: Option<usize>) -> Duration {
    let class = class.unwrap_or(CLASSES - 1);
    let ratio = FIRST_RATIO * CLASS_STEP.powi(class as i32 + 1);
    projected.max(MIN_PROJECTED).mul_f64(ratio)
}

/// Whether a request must end in time for certain, by its deadline or by the slowest of late.
fn is_late(request: &Admission, stop: &Stop) -> bool {
    request.arrived_at > stop.since + PROJECTED_PERIOD
}

/// Time to leave for a request beside what it takes; `None` where its deadline alone decides.
///
/// A stream leaves a silent target for another one, and needs no time for that.
fn least_time(request: &Admission, stop: &Stop) -> Option<Duration> {
    match request.route.kind {
        Kind::Stream { .. } if is_late(request, stop) => None,
        Kind::Stream { .. } => Some(Duration::ZERO),
        Kind::AtMostOnce | Kind::Idempotent => Some(MAX_SOUND_SILENCE),
    }
}

/// Latest time at which a request can start for which `needed` is to be left.
fn latest_start_with(request: &Admission, stop: &Stop, needed: Option<Duration>) -> Time {
    let last = stop.last_answer_at();
    // A refusal would come too late for a request that may have run.
    if request.deadline <= last || request.counts.runs > 0 {
        return request.deadline.min(last);
    }
    needed.map_or(Time::ZERO, |needed| last.saturating_sub(needed))
}

/// Latest time at which the body of a request must be whole for it to be answered before the instance ends,
/// however short it is.
pub fn shutdown_latest_body(request: &Admission, stop: &Stop) -> Time {
    latest_start_with(request, stop, least_time(request, stop))
}

impl Router {
    /// Projected time of a plan, at most [`MAX_PROJECTED`]; `None` for a detour, of which only the peer knows.
    pub(crate) fn projected_time(&self, plan: &Plan) -> Option<Duration> {
        let ms = match &plan.destination {
            Destination::Path(path, _) => path.cost_ms(),
            Destination::Target => self.tracker.state(&plan.target).latency_ms,
            Destination::Peer => return None,
        };
        let seconds = (ms / 1e3).min(MAX_PROJECTED.as_secs_f64());
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Time to leave for a request with this projection, also where its target is silent for as long as a
    /// sound one may be; `None` where its deadline alone decides.
    fn time_needed(
        &self,
        request: &Admission,
        projected: Duration,
        stop: &Stop,
        now: Time,
    ) -> Option<Duration> {
        let least = least_time(request, stop)?;
        let longest = match is_late(request, stop) {
            true => self.pace.longest_observed(&request.service, projected, now),
            false => self.pace.longest(&request.service, projected, now),
        };
        Some(least + longest)
    }

    /// Latest time at which a request that has no plan yet can start and be answered before this
    /// instance ends, by what requests of its service lately took.
    pub fn latest_start(&self, request: &Admission, stop: &Stop, now: Time) -> Time {
        let projected = self.pace.mean_projected(&request.service);
        latest_start_with(
            request,
            stop,
            self.time_needed(request, projected, stop, now),
        )
    }

    /// Whether a request can be sent as planned and be answered before this instance ends. One that may have
    /// run is sent as long as any answer can reach its caller, as a refusal would come too late for it.
    pub fn ends_in_time(&self, request: &Admission, plan: &Plan, stop: &Stop, now: Time) -> bool {
        if request.counts.runs > 0 {
            return now < stop.last_answer_at();
        }
        let deadline = request.time_left(now);
        let projected = self.projected_time(plan);
        let needed = projected.and_then(|time| self.time_needed(request, time, stop, now));
        stop.fits(needed.map_or(deadline, |needed| needed.min(deadline)), now)
    }
}
