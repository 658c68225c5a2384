//! Load and health of each target, as seen by this instance.

use {
    crate::{
        ids::{TargetId, Time},
        path::Path,
        router::Plan,
        suspicion::{PROBE_INTERVAL, Suspicion},
    },
    std::{collections::HashMap, time::Duration},
};

/// Ejection time after a first failure; doubles with each consecutive failure.
const EJECTION_FIRST: Duration = Duration::from_millis(400);
/// Longest ejection time: a crashed target is back within some seconds.
const EJECTION_MAX: Duration = Duration::from_secs(3);
/// Backoff from a target that has no memory free: a typical stream frees some in that time.
const FULL_BACKOFF: Duration = Duration::from_millis(120);
/// Time after a rejection for lack of memory for which peers avoid the target: its word reaches all
/// instances of the zone within 0.3 s, and a busy target frees memory in about that time.
const FULL_REPORT: Duration = Duration::from_millis(300);
/// An unresponsive target is assumed to have lost its layers for this long; its record in the store
/// ends, or shows a restart, within three reports of 1.2 s.
const UNRESPONSIVE_TTL: Duration = Duration::from_millis(4500);
/// The same for a target that a peer reports as unresponsive; the report is repeated ten times a
/// second in a zone and once between zones.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1500);
/// Weight of the newest request in the moving averages of failures and latency.
const NEWEST_WEIGHT: f64 = 0.2;
/// Latency assumed before any request was answered, in ms.
const INITIAL_LATENCY_MS: f64 = 15.0;

/// Load and health of one target.
#[derive(Clone, Debug)]
pub struct State {
    /// Requests in flight for which this target is the first or only hop.
    pub in_flight: u32,
    /// Streams that pass through this target.
    pub streams: u32,
    /// Memory that those streams reserve, in tokens times layers.
    pub token_layers: f64,
    /// Moving average of failures, 0 to 1.
    pub failure_rate: f64,
    /// Moving average of the latency of a request, in ms.
    pub latency_ms: f64,
    consecutive_failures: u32,
    /// End of the ejection for failures seen by this instance.
    ejected_until: Time,
    /// End of the ejection reported by a peer; not sent to other peers, or instances would renew
    /// each other's reports without end.
    peer_ejected_until: Time,
    /// End of the backoff after a report that the target has no memory free.
    full_until: Time,
    /// When the target last rejected a send of this instance for lack of memory.
    rejected_at: Option<Time>,
    /// End of the time for which the target wants no requests from this instance.
    closed_until: Time,
    /// End of the time for which there are no permits to send to the target.
    limited_until: Time,
    /// Set while the target is suspected to be unresponsive.
    suspicion: Option<Suspicion>,
    /// When a peer last reported the target as unresponsive.
    peer_reported_at: Option<Time>,
}

impl State {
    /// Whether the target did not respond to this instance recently, in two tries or more.
    pub fn is_unresponsive(&self, now: Time) -> bool {
        let suspicion = self.suspicion.filter(|suspicion| suspicion.confirmed);
        suspicion
            .is_some_and(|suspicion| now.saturating_sub(suspicion.failed_at) < UNRESPONSIVE_TTL)
    }

    /// End of the time for which the target takes no requests from this instance.
    pub fn shut_until(&self) -> Time {
        self.closed_until.max(self.limited_until)
    }

    fn suspect(&mut self, silent_since: Option<Time>, now: Time) {
        let suspicion = self
            .suspicion
            .get_or_insert(Suspicion::new(silent_since, now));
        if silent_since.is_none() {
            suspicion.record_failure(now);
        }
    }

    fn clear_suspicion(&mut self) {
        self.suspicion = None;
        self.peer_reported_at = None;
    }
}

impl Default for State {
    fn default() -> Self {
        Self {
            in_flight: 0,
            streams: 0,
            token_layers: 0.0,
            failure_rate: 0.0,
            latency_ms: INITIAL_LATENCY_MS,
            consecutive_failures: 0,
            ejected_until: Time::ZERO,
            peer_ejected_until: Time::ZERO,
            full_until: Time::ZERO,
            rejected_at: None,
            closed_until: Time::ZERO,
            limited_until: Time::ZERO,
            suspicion: None,
            peer_reported_at: None,
        }
    }
}

/// Load and health of all targets.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    states: HashMap<TargetId, State>,
    initial: State,
}

impl Tracker {
    /// Load and health of a target; the initial state for an unknown one.
    pub fn state(&self, target: &TargetId) -> &State {
        self.states.get(target).unwrap_or(&self.initial)
    }

    fn state_mut(&mut self, target: &TargetId) -> &mut State {
        self.states.entry(target.clone()).or_default()
    }

    /// Whether a target is ejected or in backoff, so that other targets are preferred.
    pub fn is_avoided(&self, target: &TargetId, now: Time) -> bool {
        let state = self.state(target);
        state
            .ejected_until
            .max(state.peer_ejected_until)
            .max(state.full_until)
            > now
    }

    /// States of the targets that have streams in flight.
    pub fn with_streams(&self) -> impl Iterator<Item = (&TargetId, &State)> {
        self.states.iter().filter(|(_, state)| state.streams > 0)
    }

    /// Targets that this instance has ejected or found unresponsive, with the remaining time; for
    /// an unresponsive one at least the time to its next probe.
    pub fn failing(&self, now: Time) -> impl Iterator<Item = (&TargetId, Duration)> {
        self.states.iter().filter_map(move |(target, state)| {
            let until_probe = match state.is_unresponsive(now) {
                true => PROBE_INTERVAL,
                false => Duration::ZERO,
            };
            let remaining = state.ejected_until.saturating_sub(now).max(until_probe);
            (!remaining.is_zero()).then_some((target, remaining))
        })
    }

    /// Targets that rejected a send of this instance for lack of memory, with the remaining time for
    /// which peers should avoid them. What peers report is not listed, so that instances do not renew
    /// each other's reports.
    pub fn full(&self, now: Time) -> impl Iterator<Item = (&TargetId, Duration)> {
        self.states.iter().filter_map(move |(target, state)| {
            let remaining = (state.rejected_at? + FULL_REPORT).saturating_sub(now);
            (!remaining.is_zero()).then_some((target, remaining))
        })
    }

    /// When a target last rejected a send of this instance for lack of memory.
    pub fn rejected_at(&self, target: &TargetId) -> Option<Time> {
        self.state(target).rejected_at
    }

    /// Ejects a target that a peer has ejected, for the remaining time there but no longer than
    /// after a first failure seen here. `unresponsive` is what the peer reports. Returns whether
    /// the report alone makes the target unresponsive here, and the one before did not.
    pub fn record_peer_ejection(
        &mut self,
        target: &TargetId,
        now: Time,
        remaining: Duration,
        unresponsive: bool,
    ) -> bool {
        let was_unresponsive = self.is_unresponsive(target, now);
        let state = self.state_mut(target);
        state.peer_ejected_until = state
            .peer_ejected_until
            .max(now + remaining.min(EJECTION_FIRST));
        if unresponsive {
            state.peer_reported_at = Some(now);
        }
        unresponsive && !was_unresponsive
    }

    /// Clears the report of peers that a target does not respond.
    pub fn clear_peer_report(&mut self, target: &TargetId) {
        if let Some(state) = self.states.get_mut(target) {
            state.peer_reported_at = None;
        }
    }

    /// Counts a request whose first hop is this target.
    pub fn start_request(&mut self, target: &TargetId) {
        self.state_mut(target).in_flight += 1;
    }

    /// Ends a request counted by [`Tracker::start_request`].
    pub fn end_request(&mut self, target: &TargetId) {
        let state = self.state_mut(target);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Reserves memory on every hop of a path.
    pub fn reserve(&mut self, path: &Path, tokens: f64) {
        for hop in path.hops() {
            let state = self.state_mut(&hop.target);
            state.streams += 1;
            state.token_layers += tokens * f64::from(hop.span.len());
        }
    }

    /// Releases what [`Tracker::reserve`] reserved.
    pub fn release(&mut self, path: &Path, tokens: f64) {
        for hop in path.hops() {
            let state = self.state_mut(&hop.target);
            state.streams = state.streams.saturating_sub(1);
            state.token_layers -= tokens * f64::from(hop.span.len());
            if state.streams == 0 {
                state.token_layers = 0.0;
            }
        }
    }

    /// Counts a request sent as planned, and reserves memory for it.
    pub(crate) fn reserve_plan(&mut self, plan: &Plan) {
        self.start_request(&plan.target);
        if let Some((path, _)) = plan.path() {
            self.reserve(path, plan.reserved_tokens);
        }
    }

    /// Releases what [`Tracker::reserve_plan`] reserved.
    pub(crate) fn release_plan(&mut self, plan: &Plan) {
        self.end_request(&plan.target);
        if let Some((path, _)) = plan.path() {
            self.release(path, plan.reserved_tokens);
        }
    }

    /// Records a successful request, and its latency if one is given.
    pub fn record_success(&mut self, target: &TargetId, latency: Option<Duration>) {
        let state = self.state_mut(target);
        state.consecutive_failures = 0;
        state.clear_suspicion();
        state.failure_rate *= 1.0 - NEWEST_WEIGHT;
        if let Some(latency) = latency {
            state.latency_ms += NEWEST_WEIGHT * (latency.as_secs_f64() * 1e3 - state.latency_ms);
        }
    }

    /// Records a failed request and ejects the target; `unresponsive` when the target did not
    /// respond at all.
    pub fn record_failure(&mut self, target: &TargetId, now: Time, unresponsive: bool) {
        let state = self.state_mut(target);
        // Requests that fail at the same moment count as one failure of the target.
        if state.ejected_until <= now {
            let time = (EJECTION_FIRST * 2u32.saturating_pow(state.consecutive_failures.min(8)))
                .min(EJECTION_MAX);
            state.consecutive_failures += 1;
            state.ejected_until = now + time;
        }
        state.failure_rate += NEWEST_WEIGHT * (1.0 - state.failure_rate);
        if unresponsive {
            state.suspect(None, now);
        }
    }

    /// Suspects a target that has been silent for some time, so that it is probed. It may be sound, so a
    /// failed probe counts only once it has been silent for [`MAX_SOUND_SILENCE`].
    ///
    /// [`MAX_SOUND_SILENCE`]: crate::suspicion::MAX_SOUND_SILENCE
    pub fn record_suspicion(&mut self, target: &TargetId, silent_for: Duration, now: Time) {
        let silent_since = now.saturating_sub(silent_for);
        self.state_mut(target).suspect(Some(silent_since), now);
    }

    /// Whether a probe of some target is due.
    pub fn has_due_probe(&self, now: Time) -> bool {
        let mut states = self.states.values();
        states.any(|state| {
            let due = |suspicion: Suspicion| suspicion.next_probe.max(state.closed_until) <= now;
            state.suspicion.is_some_and(due)
        })
    }

    /// Targets whose probe is due; schedules the next probe of each.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<TargetId> {
        let mut due = Vec::new();
        for (target, state) in &mut self.states {
            if let Some(suspicion) = &mut state.suspicion
                && suspicion.next_probe.max(state.closed_until) <= now
            {
                suspicion.next_probe = now + PROBE_INTERVAL;
                due.push(target.clone());
            }
        }
        due
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, target: &TargetId, responded: bool, now: Time) {
        let state = self.state_mut(target);
        match (&mut state.suspicion, responded) {
            (_, true) => {
                state.clear_suspicion();
                state.ejected_until = Time::ZERO;
                state.peer_ejected_until = Time::ZERO;
                state.consecutive_failures = 0;
                state.failure_rate = 0.0;
            }
            (Some(suspicion), false) => suspicion.record_silent_probe(now),
            (None, false) => {}
        }
    }

    /// Records that a probe found nothing at the address of a suspected target, or something else.
    pub fn record_absence(&mut self, target: &TargetId, now: Time) {
        if let Some(suspicion) = &mut self.state_mut(target).suspicion {
            suspicion.record_absence(now);
        }
    }

    /// Drops the suspicions of targets that were raised since a time at which the own links failed,
    /// and the ejections of those targets.
    pub(crate) fn forget_suspicions<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetId>,
        since: Time,
    ) {
        for target in targets {
            let Some(state) = self.states.get_mut(target) else {
                continue;
            };
            let is_recent = |suspicion: Suspicion| suspicion.raised_at >= since;
            if state.suspicion.is_some_and(is_recent) {
                state.clear_suspicion();
                state.ejected_until = Time::ZERO;
                state.consecutive_failures = 0;
            }
        }
    }

    /// Takes back the failed probes of targets that became suspected since a time from which on the
    /// own links were in doubt; they are probed once more at once.
    pub(crate) fn confirm_again<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetId>,
        since: Time,
        now: Time,
    ) {
        for target in targets {
            let state = self.states.get_mut(target);
            let suspicion = state.and_then(|state| state.suspicion.as_mut());
            if let Some(suspicion) = suspicion.filter(|suspicion| suspicion.raised_at >= since)
                && std::mem::replace(&mut suspicion.confirmed, false)
            {
                suspicion.next_probe = now;
            }
        }
    }

    /// Records that a target has no memory free, or unloads the requested layers; `suspected` when
    /// another target reports this, which may also mean that the target is dead.
    pub fn record_full(&mut self, target: &TargetId, now: Time, suspected: bool) {
        let state = self.state_mut(target);
        state.full_until = now + FULL_BACKOFF;
        state.rejected_at = Some(now);
        if suspected {
            state.suspect(None, now);
        }
    }

    /// Whether a target did not respond recently, to this instance or to a peer, in two tries.
    pub fn is_unresponsive(&self, target: &TargetId, now: Time) -> bool {
        let state = self.state(target);
        let is_recent = |at: Time| now.saturating_sub(at) < PEER_REPORT_TTL;
        state.peer_reported_at.is_some_and(is_recent) || state.is_unresponsive(now)
    }

    /// Records that a target wants no requests from this instance for some time.
    pub fn record_closed(&mut self, target: &TargetId, wait: Duration, now: Time) {
        let state = self.state_mut(target);
        state.closed_until = state.closed_until.max(now + wait);
    }

    /// Whether a target wants no requests from this instance now.
    pub fn is_closed(&self, target: &TargetId, now: Time) -> bool {
        self.state(target).closed_until > now
    }

    /// Records that there are no permits to send to a target for some time.
    pub fn record_limited(&mut self, target: &TargetId, wait: Duration, now: Time) {
        let state = self.state_mut(target);
        state.limited_until = state.limited_until.max(now + wait);
    }

    /// Whether a target takes no requests from this instance now: it wants none, or there are no permits.
    pub fn is_shut(&self, target: &TargetId, now: Time) -> bool {
        self.state(target).shut_until() > now
    }

    /// Records that the limit of a target has ended or risen.
    pub fn clear_limited(&mut self, target: &TargetId) {
        if let Some(state) = self.states.get_mut(target) {
            state.limited_until = Time::ZERO;
        }
    }

    /// Whether a target did not answer this instance, and has not answered a probe since.
    pub(crate) fn is_suspected(&self, target: &TargetId) -> bool {
        self.state(target).suspicion.is_some()
    }

    /// Whether a target is unresponsive, or suspected to be.
    pub fn is_suspect(&self, target: &TargetId, now: Time) -> bool {
        self.is_suspected(target) || self.is_unresponsive(target, now)
    }

    /// Whether a target is suspected but may be sound, so that it may take requests again soon.
    pub fn may_be_sound(&self, target: &TargetId, now: Time) -> bool {
        let suspicion = self.state(target).suspicion;
        suspicion.is_some_and(|suspicion| suspicion.may_be_sound(now))
            && !self.is_unresponsive(target, now)
    }

    /// Whether no request may use a target now, even on its way from another target.
    pub fn is_excluded(&self, target: &TargetId, now: Time) -> bool {
        self.is_suspect(target, now) || self.is_closed(target, now)
    }

    /// Resets the health of a target that has restarted.
    pub fn reset_health(&mut self, target: &TargetId) {
        if let Some(state) = self.states.get_mut(target) {
            state.consecutive_failures = 0;
            state.ejected_until = Time::ZERO;
            state.peer_ejected_until = Time::ZERO;
            state.clear_suspicion();
            state.rejected_at = None;
            state.failure_rate = 0.0;
            state.latency_ms = INITIAL_LATENCY_MS;
            state.closed_until = Time::ZERO;
            state.limited_until = Time::ZERO;
        }
    }
}
