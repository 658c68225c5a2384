//! Which requests an instance still takes while it shuts down: those that end before it does.

use {
    crate::{
        configuration::Kind,
        ids::{ServiceName, Time},
        router::{Admission, Destination, Plan, Router},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The shutdown ends this long before the process would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Streams that arrive later than this after the shutdown began are taken by their deadline alone: the load
/// balancer sends new connections elsewhere by then, so that a refusal finds another instance.
const PROJECTED_PERIOD: Duration = Duration::from_millis(2_800);
/// Time left for the end of an answer to reach its caller.
const WRITE_RESERVE: Duration = Duration::from_millis(150);
/// Least projected time of a request; below it the network decides.
const MIN_PROJECTED: Duration = Duration::from_millis(5);
/// Number of classes of the ratio of observed to projected time.
const CLASSES: usize = 128;
/// Ratio below which the first class lies.
const FIRST_RATIO: f64 = 0.25;
/// Ratio of the bounds of one class to those of the class before it; eight classes double the ratio.
const CLASS_STEP: f64 = 1.090_507_733;
/// Share of requests that end within the ratio by which projected times are stretched.
const QUANTILE: f64 = 0.95;
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
    /// When the process ends at the latest; after `since`.
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

    /// Whether a request that takes `longest` from now on is answered in time.
    fn fits(&self, longest: Duration, now: Time) -> bool {
        now + longest + WRITE_RESERVE <= self.ends_at
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

    /// Time within which nearly all requests of a service end that are projected to take `projected`.
    pub fn longest(&self, service: &str, projected: Duration, now: Time) -> Duration {
        let assumed = class(ASSUMED_RATIO);
        let weight = |class: usize| {
            let ratios = self.0.get(service);
            let observed = ratios.map_or(0.0, |ratios| ratios.weights[class] * ratios.decay(now));
            observed + f64::from(u8::from(class == assumed))
        };
        let total: f64 = (0..CLASSES).map(weight).sum();
        let mut below = 0.0;
        let within = (0..CLASSES).find(|class| {
            below += weight(*class);
            below >= QUANTILE * total
        });
        let class = within.unwrap_or(CLASSES - 1);
        let ratio = FIRST_RATIO * CLASS_STEP.powi(class as i32 + 1);
        projected.max(MIN_PROJECTED).mul_f64(ratio)
    }

    /// Time within which nearly all requests of a service end that are projected to take as long as
    /// those lately observed; the least before any.
    fn usual(&self, service: &str, now: Time) -> Duration {
        let mean = self.0.get(service).and_then(|ratios| {
            let total: f64 = ratios.weights.iter().sum();
            Duration::try_from_secs_f64(ratios.projected_s / total).ok()
        });
        self.longest(service, mean.unwrap_or_default(), now)
    }
}

impl Router {
    /// Projected time of a plan; `None` for a detour, of which only the peer knows.
    pub(crate) fn projected_time(&self, plan: &Plan) -> Option<Duration> {
        let ms = match &plan.destination {
            Destination::Path(path, _) => path.cost_ms(),
            Destination::Target => self.tracker.state(&plan.target).latency_ms,
            Destination::Peer => return None,
        };
        Duration::try_from_secs_f64(ms / 1e3).ok()
    }

    /// Whether a request is taken by its deadline alone.
    fn is_late(request: &Admission, stop: &Stop) -> bool {
        let is_stream = matches!(request.route.kind, Kind::Stream { .. });
        is_stream && request.arrived_at > stop.since + PROJECTED_PERIOD
    }

    /// Latest time at which a request that has no plan yet can start and be answered before this
    /// instance ends, by what requests of its service lately took.
    pub fn latest_start(&self, request: &Admission, stop: &Stop, now: Time) -> Time {
        let last = stop.ends_at.saturating_sub(WRITE_RESERVE);
        // A refusal would come too late for a request that may have run.
        match request.deadline <= last || request.counts.runs > 0 {
            true => request.deadline.min(last),
            false if Self::is_late(request, stop) => Time::ZERO,
            false => last.saturating_sub(self.pace.usual(&request.service, now)),
        }
    }

    /// Whether a request that has not run can be sent as planned and be answered before this instance
    /// ends. A request that may have run is sent in any case, as a refusal would come too late for it.
    pub fn ends_in_time(&self, request: &Admission, plan: &Plan, stop: &Stop, now: Time) -> bool {
        let deadline = request.time_left(now);
        let projected = self.projected_time(plan);
        let projected = projected.filter(|_| !Self::is_late(request, stop));
        let longest = projected.map_or(deadline, |projected| {
            let longest = self.pace.longest(&request.service, projected, now);
            longest.min(deadline)
        });
        request.counts.runs > 0 || stop.fits(longest, now)
    }
}
