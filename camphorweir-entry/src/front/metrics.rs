//! Metrics of the front: counters, histograms by class and by workspace, and gauges that are
//! updated at each scrape.

use {
    crate::{
        front::{internal::Connections, state::State},
        histograms::{DurationHistogram, Labels, WorkspaceLabels},
        log_writer::dropped_lines,
        startup::startup_background,
    },
    bytes::Bytes,
    camphorweir_relay::{
        admission::Standing,
        configuration::Kind,
        ids::{TargetId, Time},
        router::{Admission, Router},
    },
    camphorweir_wire::code::Code,
    http_body_util::Full,
    hyper::{Response, header},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Most connections of metrics scrapers.
const MAX_SCRAPERS: usize = 32;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Dropping the provider would disable the instruments.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    send_failures: Counter<u64>,
    cuts: Counter<u64>,
    kept_answers: Counter<u64>,
    body_refusals: Counter<u64>,
    evictions: Counter<u64>,
    memory_booked: Gauge<u64>,
    memory_limit: Gauge<u64>,
    bodies_arriving: Gauge<u64>,
    store_calls: Counter<u64>,
    store_restores: Counter<u64>,
    quarantines: Counter<u64>,
    permits: Counter<u64>,
    unread: Counter<u64>,
    stop_cuts: Counter<u64>,
    task_failures: Counter<u64>,
    unanswered: Counter<u64>,
    admission: Counter<u64>,
    duration: DurationHistogram,
    first_event: DurationHistogram,
    waits: Counter<u64>,
    wait: DurationHistogram,
    workspace_names: WorkspaceLabels,
    targets: Gauge<u64>,
    cut_off: Gauge<u64>,
    layers: Gauge<u64>,
    zone_flow: Gauge<f64>,
    target_use: Gauge<f64>,
    limit: Gauge<f64>,
    limit_age: Gauge<f64>,
    /// Targets whose limits were shown.
    limited: Mutex<BTreeSet<TargetId>>,
    configuration_version: Gauge<u64>,
    configuration_age: Gauge<f64>,
    in_flight: Gauge<u64>,
    peers: Gauge<u64>,
    formats: Gauge<u64>,
    lease: Gauge<u64>,
    peer_ports: Gauge<u64>,
    left_out: Gauge<u64>,
}

impl Metrics {
    /// Registers all instruments.
    ///
    /// # Errors
    ///
    /// A message for operators when the exporter can't be registered.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("camphorweir");
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Ok(Self {
            requests: counter(
                "camphorweir.requests",
                "Requests ended, by class, status and code",
            ),
            send_failures: counter(
                "camphorweir.send.failures",
                "Sends without an answer, by cause",
            ),
            cuts: counter(
                "camphorweir.answers.cut",
                "Answers ended before they were complete, by class and cause",
            ),
            body_refusals: counter(
                "camphorweir.bodies.refused",
                "Requests refused while their body arrived, by code",
            ),
            evictions: counter(
                "camphorweir.connections.evicted",
                "Callers' connections without a request in hand that were closed for new ones",
            ),
            memory_booked: gauge(
                "camphorweir.memory.booked",
                "Bytes booked for what is held for clients",
            ),
            memory_limit: gauge("camphorweir.memory.limit", "Limit on them; 0 without one"),
            bodies_arriving: gauge(
                "camphorweir.bodies.arriving",
                "Request bodies that arrive and are not whole",
            ),
            kept_answers: counter(
                "camphorweir.answers.kept",
                "Whole answers of targets delivered in place of a refusal, by class and code of the refusal",
            ),
            store_calls: counter("camphorweir.store.calls", "Calls to the store, by kind"),
            store_restores: counter(
                "camphorweir.store.restores",
                "Times that the store came back from an older copy",
            ),
            quarantines: counter(
                "camphorweir.quarantines",
                "Requests quarantined as targets ended under them",
            ),
            permits: counter(
                "camphorweir.limit.permits",
                "Answers to questions for permits to send to targets with limits, by target and outcome",
            ),
            unread: counter(
                "camphorweir.peer.messages.unread",
                "Messages of peers that can't be read, by kind",
            ),
            stop_cuts: counter(
                "camphorweir.stop.cut",
                "Requests cut by the end of the process, by phase",
            ),
            task_failures: counter("camphorweir.task.failures", "Tasks that failed, by task"),
            unanswered: counter(
                "camphorweir.connections.unanswered",
                "Callers' connections that ended with a request that was not answered, by cause",
            ),
            admission: counter(
                "camphorweir.admission",
                "Requests to services with ordered ranks that were served, or refused for lack of \
                 capacity, by rank, rank with which they were admitted, standing and workspace",
            ),
            duration: DurationHistogram::new(&meter, "whole", "From arrival to the end"),
            first_event: DurationHistogram::new(
                &meter,
                "first_event",
                "From arrival to the first event",
            ),
            waits: counter(
                "camphorweir.waits",
                "Waits for capacity, by class and outcome",
            ),
            wait: DurationHistogram::new(&meter, "wait", "In the waiting room for capacity"),
            workspace_names: WorkspaceLabels::default(),
            targets: gauge("camphorweir.targets", "Targets, by state"),
            cut_off: gauge(
                "camphorweir.services.cut_off",
                "Services of which no target can be reached from here",
            ),
            layers: gauge(
                "camphorweir.layers",
                "Layers, by zone and number of live copies",
            ),
            limit: meter
                .f64_gauge("camphorweir.target.limit")
                .with_description("Requests a second that a target takes; infinite without a limit")
                .build(),
            limit_age: meter
                .f64_gauge("camphorweir.target.limit.age")
                .with_unit("s")
                .with_description("Time since a target last named its limit")
                .build(),
            limited: Mutex::default(),
            zone_flow: meter
                .f64_gauge("camphorweir.zone.flow")
                .with_description("Streams a second that a zone can serve, now and arranged anew")
                .build(),
            target_use: meter
                .f64_gauge("camphorweir.target.use")
                .with_description(
                    "Reserved share of the memory of targets of a zone, known and projected",
                )
                .build(),
            configuration_version: gauge("camphorweir.configuration", "The version in force"),
            configuration_age: meter
                .f64_gauge("camphorweir.configuration.age")
                .with_unit("s")
                .with_description("Age of the last confirmed read of the configuration")
                .build(),
            in_flight: gauge("camphorweir.in_flight", "Requests that are not over"),
            peers: gauge("camphorweir.peers", "Entries heard of lately"),
            formats: gauge(
                "camphorweir.instances",
                "Listed instances, by the revision of their messages",
            ),
            lease: gauge("camphorweir.lease", "1 while this entry places layers"),
            peer_ports: gauge(
                "camphorweir.peer_ports",
                "1 while this entry has its peers' ports",
            ),
            left_out: gauge(
                "camphorweir.log.left_out",
                "Log lines left out to bound the rate",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Records the end of a request.
    pub fn record_request(
        &self,
        request: &Admission,
        status: u16,
        code: Option<Code>,
        elapsed: Duration,
    ) {
        let class = class(request.route.kind);
        let code = code.map_or(0, Code::number);
        self.requests.add(
            1,
            &[
                KeyValue::new("class", class),
                KeyValue::new("status", i64::from(status)),
                KeyValue::new("code", i64::from(code)),
            ],
        );
        self.duration.record(&self.label(request), elapsed);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&self, request: &Admission, elapsed: Duration) {
        self.first_event.record(&self.label(request), elapsed);
    }

    /// Records a wait for capacity of a request of this rank.
    pub fn record_wait(
        &self,
        request: &Admission,
        rank: usize,
        outcome: &'static str,
        waited: Duration,
    ) {
        let class = rank_class(rank);
        let labels = [
            KeyValue::new("class", class),
            KeyValue::new("outcome", outcome),
        ];
        self.waits.add(1, &labels);
        let workspace = request.workspace.as_deref().unwrap_or_default();
        let workspace = self.workspace_names.label(workspace);
        self.wait.record(&Labels::new(class, workspace), waited);
    }

    fn label(&self, request: &Admission) -> Labels {
        let workspace = request.workspace.as_deref().unwrap_or_default();
        Labels::new(
            class(request.route.kind),
            self.workspace_names.label(workspace),
        )
    }

    /// Counts a send that got no response.
    pub fn record_send_failure(&self, cause: &'static str) {
        self.send_failures.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts an answer that ended before it was complete.
    pub fn record_cut(&self, request: &Admission, cause: &'static str) {
        let labels = [
            KeyValue::new("class", class(request.route.kind)),
            KeyValue::new("cause", cause),
        ];
        self.cuts.add(1, &labels);
    }

    /// Counts a whole answer that was kept and delivered in place of a refusal with this code.
    pub fn record_kept(&self, request: &Admission, code: u16) {
        let labels = [
            KeyValue::new("class", class(request.route.kind)),
            KeyValue::new("code", i64::from(code)),
        ];
        self.kept_answers.add(1, &labels);
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a restore of the store.
    pub fn record_store_restore(&self) {
        self.store_restores.add(1, &[]);
    }

    /// Counts a message of a peer that can't be read.
    pub fn record_unread(&self, kind: &'static str) {
        self.unread.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that the end of the process cuts in this phase.
    pub fn record_stop_cut(&self, phase: &'static str) {
        self.stop_cuts.add(1, &[KeyValue::new("phase", phase)]);
    }

    /// Counts a request that is refused because of its body.
    pub fn record_body_refusal(&self, code: Code) {
        let code = i64::from(code.number());
        self.body_refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts a connection that is closed for a new one.
    pub fn record_eviction(&self) {
        self.evictions.add(1, &[]);
    }

    /// Counts a caller's connection that ended with a request that was not answered.
    pub fn record_unanswered(&self, cause: &'static str) {
        self.unanswered.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts an answer to a question for a permit to send to a target.
    pub fn record_permit(&self, target: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("target", target.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.permits.add(1, &labels);
    }

    /// Counts a request of a service with ordered ranks, by its rank and the one with which it was admitted.
    pub fn record_admission(
        &self,
        request: &Admission,
        (rank, admitted_as): (usize, usize),
        outcome: &'static str,
    ) {
        let workspace = request.workspace.as_deref().unwrap_or_default();
        let standing = match request.standing {
            Standing::Resumed => "resumed",
            Standing::Returning => "returning",
            Standing::Newcomer => "newcomer",
        };
        let labels = [
            KeyValue::new("rank", rank as i64),
            KeyValue::new("admitted_as", admitted_as as i64),
            KeyValue::new("standing", standing),
            KeyValue::new("workspace", self.workspace_names.label(workspace)),
            KeyValue::new("outcome", outcome),
        ];
        self.admission.add(1, &labels);
    }

    /// Counts a request that is quarantined from now on.
    pub fn record_quarantine(&self) {
        self.quarantines.add(1, &[]);
    }

    /// Counts the failures of tasks.
    pub fn task_failures(&self) -> Counter<u64> {
        self.task_failures.clone()
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self, state: &State) -> String {
        self.update_gauges(state);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    fn update_gauges(&self, state: &State) {
        let now = state.now();
        let router = state.router();
        let by_state = |name: &'static str| [KeyValue::new("state", name)];
        let all = || router.fleet.targets();
        let draining = all().filter(|target| target.draining).count();
        let unresponsive = all()
            .filter(|target| router.tracker.is_unresponsive(&target.id, now))
            .count();
        self.targets
            .record((all().count() - draining) as u64, &by_state("ready"));
        self.targets.record(draining as u64, &by_state("draining"));
        self.targets
            .record(unresponsive as u64, &by_state("silent"));
        let seen_here = all()
            .filter(|target| router.tracker.state(&target.id).is_unresponsive(now))
            .count();
        self.targets.record(
            (unresponsive - seen_here) as u64,
            &by_state("silent_to_peers"),
        );
        self.cut_off
            .record(router.lost_services().count() as u64, &[]);
        for (zone, copies, layers) in router.layer_copies(now) {
            let labels = [
                KeyValue::new("zone", zone.to_string()),
                KeyValue::new("copies", copies as i64),
            ];
            self.layers.record(layers as u64, &labels);
        }
        for (zone, balance) in router.zone_balances(now) {
            let flows = [("now", balance.now), ("reference", balance.reference)];
            for (kind, flow) in flows {
                let labels = [
                    KeyValue::new("zone", zone.to_string()),
                    KeyValue::new("kind", kind),
                ];
                self.zone_flow.record(flow, &labels);
            }
        }
        self.update_use(&router, now);
        self.update_limits(&router, now);
        if let Some(configuration) = router.configuration() {
            self.configuration_version
                .record(configuration.version, &[]);
        }
        if let Some(age) = router.configuration_age(now) {
            self.configuration_age.record(age.as_secs_f64(), &[]);
        }
        self.peers.record(router.peers.count() as u64, &[]);
        drop(router);
        for (formats, instances) in state.instances().by_formats() {
            let label = KeyValue::new("formats", i64::from(formats));
            self.formats.record(instances, &[label]);
        }
        self.in_flight.record(state.requests().count() as u64, &[]);
        self.lease.record(u64::from(state.holds_lease()), &[]);
        let has_ports = state.ports().sockets().is_some();
        self.peer_ports.record(u64::from(has_ports), &[]);
        self.left_out.record(dropped_lines(), &[]);
        let memory = state.memory();
        let limit = Some(memory.limit()).filter(|limit| *limit < usize::MAX);
        self.memory_limit.record(limit.unwrap_or(0) as u64, &[]);
        self.memory_booked.record(memory.booked() as u64, &[]);
        self.bodies_arriving.record(memory.arriving().0 as u64, &[]);
    }
}

impl Metrics {
    /// Shows how much of the memory of uneven targets is reserved, by zone.
    fn update_use(&self, router: &Router, now: Time) {
        for (zone, utilization) in router.zone_utilization(now) {
            let shares = [
                ("known", "busiest", utilization.known.busiest),
                ("known", "mean", utilization.known.mean),
                ("projected", "busiest", utilization.projected.busiest),
                ("projected", "mean", utilization.projected.mean),
            ];
            for (kind, of, share) in shares {
                let labels = [
                    KeyValue::new("zone", zone.to_string()),
                    KeyValue::new("kind", kind),
                    KeyValue::new("of", of),
                ];
                self.target_use.record(share, &labels);
            }
        }
    }

    /// Shows the limit of each target that has named one since the start.
    fn update_limits(&self, router: &Router, now: Time) {
        let mut shown = self.limited.lock().unwrap_or_else(PoisonError::into_inner);
        let limited = router.limits.limited(&router.fleet);
        shown.extend(limited.map(|(target, _)| target.id.clone()));
        for id in shown.iter() {
            let target = router.fleet.get(id);
            let limit = target.and_then(|target| router.limits.get(target));
            let per_second = limit.and_then(|limit| limit.per_second);
            let age = limit.map(|limit| now.saturating_sub(limit.confirmed_at));
            let label = [KeyValue::new("target", id.to_string())];
            self.limit
                .record(per_second.unwrap_or(f64::INFINITY), &label);
            self.limit_age
                .record(age.unwrap_or_default().as_secs_f64(), &label);
        }
    }
}

/// The `class` label of a rank among the priorities of a service.
fn rank_class(rank: usize) -> &'static str {
    match rank {
        0 => "rank_0",
        1 => "rank_1",
        2 => "rank_2",
        3 => "rank_3",
        _ => "rank_4_and_less_urgent",
    }
}

/// The `class` label of a kind of request.
fn class(kind: Kind) -> &'static str {
    match kind {
        Kind::AtMostOnce => "once",
        Kind::Idempotent => "repeatable",
        Kind::Stream { .. } => "stream",
    }
}

/// Serves the metrics over HTTP as soon as the address can be bound; never returns.
pub async fn metrics_run(state: State, address: SocketAddr) {
    let listener = startup_background("metrics' port", || TcpListener::bind(address)).await;
    let connections = Connections::new(MAX_SCRAPERS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (state, connections) = (state.clone(), connections.clone());
        tokio::spawn(async move {
            let render = async |_| text_response(state.metrics().render(&state));
            connections.serve(stream, render).await;
        });
    }
}

fn text_response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    let content_type = header::HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
