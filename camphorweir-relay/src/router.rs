//! Routing state of one instance, and the decisions on a request from its arrival to its end.

use {
    crate::{
        access::{Snapshot, access_check, access_keys_trusted},
        admission::Standing,
        budget::Budget,
        configuration::{Configuration, Engine, Route},
        contact::Contacts,
        detour::Detours,
        fairness::Fairness,
        features::{Features, features_of, features_usual_priority},
        fleet::Fleet,
        head::Head,
        ids::{Fingerprint, RequestId, ServiceName, TargetId, Time, Workspace, Zone},
        limit::Limits,
        path::Path,
        peers::Peers,
        progress::Progress,
        retry::{Counts, Decision, Failure},
        settings::Bounds,
        shutdown::Pace,
        suspects::Suspects,
        tracker::Tracker,
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Retry-After while all layers are loaded but memory is used up: soon enough for a first event
/// within half a second, and a zone frees memory for some thirty streams a second.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry-After while layers are missing in every zone: a target is ordered to load them within a
/// second, drains, and loads for one or two seconds.
const MISSING_LAYERS_RETRY_AFTER: Duration = Duration::from_millis(2500);
/// A request waits for memory for at most its latency objective divided by this, so that the
/// objective can still be met.
const WAIT_DIVISOR: u32 = 8;
/// Retry-After once targets refused or failed: a few times the latency of a request.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Callers that wait for a target to take requests again return over this share of the wait more.
const CLOSED_SPREAD: f64 = 0.5;
/// Least Retry-After of such a caller; others come for the first request that a target takes.
const MIN_CLOSED_WAIT: Duration = Duration::from_millis(100);
/// Limit on that spread.
const MAX_CLOSED_SPREAD: Duration = Duration::from_secs(2);
/// Timeout of a request whose caller sends none; the route's timeout applies too.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Least time left with which a request is sent; no target could respond in less.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// What no zone has for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// Free memory; the layers are there.
    Memory,
    /// Layers other than those of silent targets that may be sound.
    Answer,
    /// Targets that take the request, or layers.
    Targets,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Identifier of the caller's attempt.
    pub id: RequestId,
    /// What its head says.
    pub(crate) head: Arc<Head>,
    /// Fingerprint of its content; 0 until the body is read.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: Arc<[Fingerprint]>,
    /// Route of the request in the configuration that admitted it.
    pub route: Arc<Route>,
    /// Version of that configuration: the last one that was in force when it was planned and had not run.
    pub configuration_version: u64,
    /// Service that the request goes to.
    pub service: ServiceName,
    /// Workspace of the request's key.
    pub workspace: Option<Workspace>,
    /// Priority, 0 first, from those of the workspace and of the route ([`Ranks::priority`]).
    ///
    /// [`Ranks::priority`]: crate::features::Ranks::priority
    pub priority: u8,
    /// How the request stands among those of its rank.
    pub standing: Standing,
    /// Time of arrival.
    pub arrived_at: Time,
    /// Deadline of the request; earlier while an answer is in hand, which still has to reach the caller.
    pub deadline: Time,
    /// Tokens of the prompt, and the limit on tokens of the answer.
    pub tokens: (u32, u32),
    /// Counts of sends and of possible runs so far.
    pub counts: Counts,
    /// Why the last plan found no targets; `None` if it found some.
    pub lack: Option<Lack>,
    /// How far the answer to the last send has come.
    pub progress: Progress,
    /// Factor on the usable memory of targets when it was last planned.
    pub(crate) admission_share: f64,
    /// Whether its work was counted as offered.
    pub(crate) is_offered: bool,
    /// Whether a peer sent it, which reaches no target itself.
    pub is_from_peer: bool,
    /// Plan of the send that this one may replace; what it reserves counts as free.
    pub(crate) replaces: Option<Arc<Plan>>,
    /// Targets that failed or refused this request, and are not tried again.
    pub(crate) excluded: Vec<TargetId>,
}

impl Admission {
    /// Time left until the deadline.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// What a request is sent to.
#[derive(Clone, Debug)]
pub enum Destination {
    /// A target that runs the whole request.
    Target,
    /// The first target of a path through targets that hold layers; with the address of each hop.
    Path(Path, Vec<SocketAddr>),
    /// A peer that reaches targets, while this instance reaches none.
    Peer,
}

/// Where to send a request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Target to send to: the first or only hop; for a detour the name of the peer.
    pub target: TargetId,
    /// Address of that target or peer.
    pub address: SocketAddr,
    /// What is at that address.
    pub destination: Destination,
    /// Tokens for which memory is reserved on every hop.
    pub reserved_tokens: f64,
    /// Limit on this instance's connections to the target.
    pub max_connections: usize,
    /// When the target was chosen.
    pub chosen_at: Time,
}

impl Plan {
    /// The path through targets, with the address of each hop; `None` for other destinations.
    pub fn path(&self) -> Option<(&Path, &[SocketAddr])> {
        match &self.destination {
            Destination::Path(path, addresses) => Some((path, addresses)),
            Destination::Target | Destination::Peer => None,
        }
    }

    /// Whether the request goes through a peer.
    pub fn is_detour(&self) -> bool {
        matches!(self.destination, Destination::Peer)
    }

    /// Whether one of its targets has this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        let hops = self.path().map_or(&[][..], |(_, addresses)| addresses);
        self.address == address || hops.contains(&address)
    }

    /// Hops with their layers, for the log.
    pub fn describe_path(&self) -> String {
        let hops = self.path().into_iter().flat_map(|(path, _)| path.hops());
        let hops = hops.map(|hop| format!("{} {}-{}", hop.target, hop.span.from, hop.span.to));
        hops.collect::<Vec<_>>().join(", ")
    }
}

/// How one send of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Whether the status is below 500.
        is_success: bool,
    },
    /// The send failed; with the address of the target at fault, where it is known.
    Failed(Failure, Option<SocketAddr>),
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

/// Routing state of one instance.
#[derive(Debug)]
pub struct Router {
    pub(crate) zone: Zone,
    bounds: Bounds,
    pub(crate) snapshot: Option<Snapshot>,
    /// What the configuration in force calls for, by service.
    features: BTreeMap<ServiceName, Features>,
    no_features: Features,
    /// Priority that most workspaces have.
    usual_priority: Option<u8>,
    /// Targets as listed in the store.
    pub fleet: Fleet,
    /// Load and health of targets.
    pub tracker: Tracker,
    /// Limits that targets name.
    pub limits: Limits,
    /// Whether this instance reaches the targets of each service at all.
    pub(crate) contacts: Contacts,
    /// Peers that serve requests for this instance while it reaches no target.
    pub detours: Detours,
    /// Requests under which targets ended.
    pub suspects: Suspects,
    /// Demand of workspaces, where ranks are ordered.
    pub fairness: Fairness,
    pub(crate) budget: Budget,
    /// Load that peers report.
    pub peers: Peers,
    /// How long requests have lately taken.
    pub(crate) pace: Pace,
    /// Number of instances that the store lists, this one included.
    pub listed_instances: usize,
    /// Least number of instances assumed to use the same targets, this one included.
    pub(crate) min_sharers: f64,
    /// Random numbers; the same for the same seed.
    pub(crate) rng: SmallRng,
}

impl Router {
    /// Number of instances that the store lists or that send digests, whichever is larger; this one
    /// included.
    pub(crate) fn instance_count(&self) -> usize {
        self.listed_instances.max(self.peers.count() + 1)
    }

    /// A router without a configuration, targets or peers. At least `min_sharers` instances are
    /// assumed to use the same targets; `seed` starts the random numbers.
    pub fn new(zone: Zone, bounds: Bounds, min_sharers: f64, seed: u64) -> Self {
        Self {
            zone,
            bounds,
            snapshot: None,
            features: BTreeMap::new(),
            no_features: Features::default(),
            usual_priority: None,
            fleet: Fleet::default(),
            tracker: Tracker::default(),
            limits: Limits::default(),
            contacts: Contacts::default(),
            detours: Detours::default(),
            suspects: Suspects::default(),
            fairness: Fairness::default(),
            budget: Budget::new(bounds.retry_budget),
            peers: Peers::default(),
            pace: Pace::default(),
            listed_instances: 0,
            min_sharers,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.budget.set_policy(bounds.retry_budget);
    }

    /// Puts a configuration in force unless it is older than the current one; returns whether it
    /// is newer. `confirmed_at` is the start of the read that found it.
    pub fn set_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        confirmed_at: Time,
    ) -> bool {
        match &mut self.snapshot {
            Some(snapshot) if snapshot.configuration.version >= configuration.version => {
                if snapshot.configuration.version == configuration.version {
                    snapshot.confirmed_at = snapshot.confirmed_at.max(confirmed_at);
                }
                false
            }
            _ => {
                let services = configuration.services.keys();
                let features =
                    services.map(|name| (name.clone(), features_of(&configuration, name)));
                self.features = features.collect();
                self.usual_priority = features_usual_priority(&configuration);
                self.snapshot = Some(Snapshot {
                    configuration,
                    confirmed_at,
                });
                true
            }
        }
    }

    /// Priority of a request to a service on a route, whose workspace may have one of its own.
    pub(crate) fn priority_of(&self, service: &str, route: &Route, workspace: Option<u8>) -> u8 {
        let ranks = &self.features(service).ranks;
        ranks.priority(route.priority, workspace, self.usual_priority)
    }

    /// Records that a read started at `started_at` found no newer configuration.
    pub fn confirm_configuration(&mut self, started_at: Time) {
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.confirmed_at = snapshot.confirmed_at.max(started_at);
        }
    }

    /// What the configuration in force calls for at a service.
    pub fn features(&self, service: &str) -> &Features {
        self.features.get(service).unwrap_or(&self.no_features)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.snapshot
            .as_ref()
            .map(|snapshot| &snapshot.configuration)
    }

    /// Age of the last read that confirmed the configuration.
    pub fn configuration_age(&self, now: Time) -> Option<Duration> {
        let snapshot = self.snapshot.as_ref()?;
        Some(now.saturating_sub(snapshot.confirmed_at))
    }

    /// Whether the load balancer should send callers to this instance: keys can be trusted and
    /// there are targets.
    pub fn is_ready(&self, now: Time) -> bool {
        let trusted = |snapshot| access_keys_trusted(snapshot, now, self.bounds.key_revocation);
        self.snapshot.as_ref().is_some_and(trusted) && self.fleet.targets().next().is_some()
    }

    /// Admits a request.
    ///
    /// # Errors
    ///
    /// The refusal of a request without a route, a valid key or a service.
    pub fn admit(&mut self, head: &Head, now: Time) -> Result<Admission, Refusal> {
        let permit = access_check(
            self.snapshot.as_ref(),
            head,
            now,
            self.bounds.key_revocation,
        )?;
        let version = self.configuration().map_or(0, |current| current.version);
        let service = self.pick_service(&permit.route, now)?;
        let caller_timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = caller_timeout.min(permit.route.timeout);
        let priority = permit.owner.as_ref().and_then(|owner| owner.priority);
        Ok(Admission {
            id: head.id.clone(),
            head: Arc::new(head.clone()),
            fingerprint: 0,
            prompt_parts: head.prompt_parts.as_slice().into(),
            priority: self.priority_of(&service, &permit.route, priority),
            standing: Standing::default(),
            configuration_version: version,
            service,
            workspace: permit.owner.map(|owner| owner.workspace.clone()),
            arrived_at: now,
            deadline: now + timeout,
            tokens: head.tokens.unwrap_or((0, 0)),
            counts: Counts::default(),
            lack: None,
            progress: Progress::default(),
            admission_share: 1.0,
            is_offered: false,
            is_from_peer: false,
            replaces: None,
            excluded: Vec::new(),
            route: permit.route,
        })
    }

    /// Chooses where to send a request, counts it there and reserves memory for it.
    ///
    /// # Errors
    ///
    /// The refusal when no target can take the request, too little time is left, or the configuration in
    /// force doesn't allow it any more.
    pub fn plan(&mut self, request: &mut Admission, now: Time) -> Result<Plan, Refusal> {
        request.lack = None;
        self.revise(request, now)?;
        if !self.has_service(&request.service) {
            return Err(self.refusal(request, Code::NoTarget));
        }
        let deadline = self.revision_deadline(request);
        if deadline.saturating_sub(now) < MIN_TIME_LEFT {
            return Err(self.refusal(request, Code::DeadlinePassed));
        }
        if let Some(refusal) = self.refuse_quarantined(request, now) {
            return Err(refusal);
        }
        // Kept when this send fails too, as the stream is still interrupted then.
        if request.counts.sends > 0 && request.progress != Progress::Waiting {
            request.standing = Standing::Resumed;
        }
        if self.needs_detour(&request.service) {
            return self.plan_detour(request, now);
        }
        self.record_offered(request, now);
        request.admission_share = self.admission_share(request);
        let engine = self.engine(&request.service).cloned();
        let engine = engine.filter(|engine| engine.layers > 0);
        let no_plan_code = match (request.counts.sends, &engine) {
            (0, Some(_)) => Code::NoPath,
            (0, None) => Code::NoTarget,
            _ => Code::TargetRefused,
        };
        let replaced = request.replaces.clone();
        if let Some(replaced) = &replaced {
            self.tracker.release_plan(replaced);
        }
        let plan = self.plan_apart(request, engine.as_ref(), now);
        if let Some(replaced) = &replaced {
            self.tracker.reserve_plan(replaced);
        }
        let Some(plan) = plan else {
            let mut refusal = self.refusal(request, no_plan_code);
            let (detail, lack) = self.explain_no_plan(request, now);
            refusal.detail = detail;
            request.lack = Some(lack);
            if no_plan_code == Code::NoPath && lack == Lack::Targets {
                refusal.retry_after = Some(MISSING_LAYERS_RETRY_AFTER);
            }
            if lack == Lack::Targets
                && let Some(wait) = self.wait_for_closed(&request.service, now)
            {
                refusal.retry_after = refusal.retry_after.map(|_| wait);
            }
            return Err(refusal);
        };
        self.tracker.reserve_plan(&plan);
        if matches!(plan.destination, Destination::Target) {
            self.suspects.start(request.fingerprint, &plan.target);
        }
        self.record_admitted(request, 1.0, now);
        request.counts.sends += 1;
        request.progress = Progress::Waiting;
        Ok(plan)
    }

    /// Whether every target of a plan is still listed at its address, does not drain and takes requests
    /// from this instance.
    pub fn is_plan_valid(&self, plan: &Plan, now: Time) -> bool {
        let is_valid = |id: &TargetId, address: SocketAddr| {
            let target = self.fleet.get(id);
            let is_open = !self.tracker.is_closed(id, now);
            is_open && target.is_some_and(|target| !target.draining && target.address == address)
        };
        match &plan.destination {
            Destination::Peer => true,
            Destination::Target => is_valid(&plan.target, plan.address),
            Destination::Path(path, addresses) => {
                let mut hops = path.hops().iter().zip(addresses);
                hops.all(|(hop, address)| is_valid(&hop.target, *address))
            }
        }
    }

    /// Whether a hop of a plan was removed, is unresponsive, or is suspected to be unresponsive.
    pub fn is_plan_suspect(&self, plan: &Plan, now: Time) -> bool {
        let hops = plan.path().into_iter().flat_map(|(path, _)| path.hops());
        let mut targets = hops.map(|hop| &hop.target);
        targets
            .any(|target| self.tracker.is_suspect(target, now) || self.fleet.get(target).is_none())
    }

    /// Ends a send and releases the reservations of the plan; returns what to do after a failed
    /// send.
    pub fn finish_send(
        &mut self,
        request: &mut Admission,
        plan: &Plan,
        outcome: Outcome,
        now: Time,
    ) -> Decision {
        if plan.is_detour() {
            return self.finish_detour(request, plan, outcome, now);
        }
        self.release(request, plan);
        let latency = now.saturating_sub(plan.chosen_at);
        match outcome {
            Outcome::Cancelled => Decision::End(Code::CallerGone),
            Outcome::Answered { is_success } => {
                self.record_pace(request, plan, is_success, now);
                let latency = plan.path().is_none().then_some(latency);
                self.tracker
                    .record_success(&plan.target, latency.filter(|_| is_success));
                for hop in plan.path().into_iter().flat_map(|(path, _)| path.hops()) {
                    self.tracker.record_success(&hop.target, None);
                }
                if request.progress != Progress::Settled {
                    self.record_sound(request, now);
                }
                request.counts.runs += 1;
                Decision::End(Code::TargetFailed)
            }
            Outcome::Failed(failure, address) => {
                self.record_failed_send(request, plan, failure, address, now);
                self.decide_after_failure(request, failure, now)
            }
        }
    }

    /// Records how long an answer took, unless an earlier target had begun it.
    fn record_pace(&mut self, request: &Admission, plan: &Plan, is_success: bool, now: Time) {
        if is_success
            && request.standing != Standing::Resumed
            && let Some(projected) = self.projected_time(plan)
        {
            let observed = now.saturating_sub(plan.chosen_at);
            self.pace.record(&request.service, projected, observed, now);
        }
    }

    /// Releases what a send has reserved.
    pub(crate) fn release(&mut self, request: &Admission, plan: &Plan) {
        self.tracker.release_plan(plan);
        self.suspects.end(request.fingerprint, &plan.target);
    }

    /// Records what a failed send says of its targets.
    pub(crate) fn record_failed_send(
        &mut self,
        request: &mut Admission,
        plan: &Plan,
        failure: Failure,
        address: Option<SocketAddr>,
        now: Time,
    ) {
        let reported = address
            .and_then(|address| self.fleet.by_address(address))
            .map(|target| target.id.clone());
        let unresponsive =
            failure == Failure::Unsent || failure == Failure::Broken && reported.is_some();
        let faulty = reported.unwrap_or_else(|| plan.target.clone());
        match failure {
            // With an address, the first target reports that another target is dead, drains or has
            // no free memory.
            Failure::Refused => self.tracker.record_full(&faulty, now, address.is_some()),
            Failure::Unsent | Failure::Broken => {
                self.tracker.record_failure(&faulty, now, unresponsive)
            }
            Failure::Outdated => {}
            // Nothing was offered to the target.
            Failure::Limited => request.counts.sends = request.counts.sends.saturating_sub(1),
        }
        if request.progress == Progress::Waiting {
            self.record_admitted(request, -1.0, now);
        }
        if failure == Failure::Broken {
            self.record_loss(request, plan, &faulty, now);
        }
        // A target without permits may still be passed through.
        if failure != Failure::Limited {
            request.excluded.push(faulty);
        }
    }

    /// Retry-After while targets of a service take no requests from this instance: the time until the
    /// first takes some, spread so that callers don't all return then; `None` if none is closed.
    fn wait_for_closed(&mut self, service: &str, now: Time) -> Option<Duration> {
        let targets = self.fleet.available(service);
        let ends = targets.map(|target| self.tracker.state(&target.id).shut_until());
        let first = ends.filter(|end| *end > now).min()?;
        let wait = (first - now).max(MIN_CLOSED_WAIT);
        let spread = wait.mul_f64(CLOSED_SPREAD).min(MAX_CLOSED_SPREAD);
        Some(wait + spread.mul_f64(self.rng.random()))
    }

    /// The refusal that ends a request with `code`; a request that may have run is not reported as
    /// not run.
    pub fn refusal(&self, request: &Admission, code: Code) -> Refusal {
        let mut refusal = Refusal::not_run(code, "");
        if request.counts.runs > 0 {
            refusal.ran = camphorweir_wire::outcome::Ran::Unknown;
            refusal.code = match code {
                Code::DeadlinePassed | Code::EndedFirst => code,
                _ => Code::TargetFailed,
            };
            return refusal;
        }
        match code {
            Code::NoPath => refusal.with_retry_after(FULL_RETRY_AFTER),
            Code::TargetRefused | Code::NoTarget => refusal.with_retry_after(FAILED_RETRY_AFTER),
            _ => refusal,
        }
    }

    pub(crate) fn engine(&self, service: &str) -> Option<&Engine> {
        let configuration = self.configuration()?;
        configuration.services.get(service)?.engine.as_ref()
    }

    /// The requests a second that a target takes, and how long a request can wait for a permit to send
    /// there; `None` for a target without a limit.
    pub fn limit_of(
        &self,
        target: &TargetId,
        request: &Admission,
        now: Time,
    ) -> Option<(f64, Duration)> {
        let rate = self.limits.rate(self.fleet.get(target)?)?;
        let waited = now.saturating_sub(request.arrived_at);
        let max_wait = request.route.latency_objective / WAIT_DIVISOR;
        Some((rate, max_wait.saturating_sub(waited)))
    }

    /// Whether a request that no target can take now may wait briefly: memory is freed many times
    /// a second, and a refused caller retries once at most.
    pub fn may_wait_for_memory(&self, request: &Admission, refusal: &Refusal, now: Time) -> bool {
        let waited = now.saturating_sub(request.arrived_at);
        request.lack == Some(Lack::Memory)
            && refusal.code == Code::NoPath
            && waited < request.route.latency_objective / WAIT_DIVISOR
    }

    /// A random number in `0.0..1.0`.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }
}
