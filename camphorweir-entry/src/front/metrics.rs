//! Metrics of the front: counters, histograms by class and by workspace, and gauges that are set when
//! they are scraped.

use {
    crate::{
        front::{listen::serve_connection, state::State},
        lines::lines_left_out,
        times::{Label, Names, Times},
    },
    bytes::Bytes,
    camphorweir_relay::{desk::Ticket, site::Kind},
    camphorweir_wire::code::Code,
    http_body_util::Full,
    hyper::{Response, header},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The metrics of an entry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments working.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    failures: Counter<u64>,
    whole: Times,
    first: Times,
    names: Names,
    targets: Gauge<u64>,
    layers: Gauge<u64>,
    version: Gauge<u64>,
    age: Gauge<f64>,
    open: Gauge<u64>,
    peers: Gauge<u64>,
    lease: Gauge<u64>,
    left_out: Gauge<u64>,
}

impl Metrics {
    /// Sets the metrics up.
    ///
    /// # Errors
    ///
    /// A sentence for operators when the exporter can't be registered.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("camphorweir");
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Ok(Self {
            requests: count(
                "camphorweir.requests",
                "Requests ended, by class, status and code",
            ),
            failures: count(
                "camphorweir.send.failures",
                "Sends without an answer, by cause",
            ),
            whole: Times::new(&meter, "whole", "From arrival to the end"),
            first: Times::new(&meter, "first_event", "From arrival to the first event"),
            names: Names::default(),
            targets: gauge("camphorweir.targets", "Targets, by state"),
            layers: gauge(
                "camphorweir.layers",
                "Layers, by zone and number of live copies",
            ),
            version: gauge("camphorweir.configuration", "The version in force"),
            age: meter
                .f64_gauge("camphorweir.configuration.age")
                .with_unit("s")
                .with_description("Age of the last confirmed read of the configuration")
                .build(),
            open: gauge("camphorweir.in_flight", "Requests that are not over"),
            peers: gauge("camphorweir.peers", "Entries heard of lately"),
            lease: gauge("camphorweir.lease", "1 while this entry places layers"),
            left_out: gauge(
                "camphorweir.log.left_out",
                "Log lines left out to bound the rate",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that ended.
    pub fn record_request(&self, ticket: &Ticket, status: u16, code: Option<Code>, took: Duration) {
        let class = class(ticket.route.kind);
        let code = code.map_or(0, Code::number);
        self.requests.add(
            1,
            &[
                KeyValue::new("class", class),
                KeyValue::new("status", i64::from(status)),
                KeyValue::new("code", i64::from(code)),
            ],
        );
        self.whole.record(&self.label(ticket), took);
    }

    /// Takes in when the first event of a stream came.
    pub fn record_first_event(&self, ticket: &Ticket, took: Duration) {
        self.first.record(&self.label(ticket), took);
    }

    fn label(&self, ticket: &Ticket) -> Label {
        let workspace = ticket.workspace.as_deref().unwrap_or_default();
        Label::new(class(ticket.route.kind), self.names.label(workspace))
    }

    /// Counts a send that brought no answer.
    pub fn record_send_failure(&self, cause: &'static str) {
        self.failures.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self, state: &State) -> String {
        self.gauge(state);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    fn gauge(&self, state: &State) {
        let now = state.now();
        let router = state.router();
        let by_state = |name: &'static str| [KeyValue::new("state", name)];
        let all = || router.fleet.all();
        let draining = all().filter(|target| target.draining).count();
        let lost = all()
            .filter(|target| router.board.is_lost(&target.id, now))
            .count();
        self.targets
            .record((all().count() - draining) as u64, &by_state("ready"));
        self.targets.record(draining as u64, &by_state("draining"));
        self.targets.record(lost as u64, &by_state("silent"));
        for (zone, copies, layers) in router.cover(now) {
            let labels = [
                KeyValue::new("zone", zone.to_string()),
                KeyValue::new("copies", copies as i64),
            ];
            self.layers.record(layers as u64, &labels);
        }
        if let Some(site) = router.configuration() {
            self.version.record(site.version, &[]);
        }
        if let Some(age) = router.age(now) {
            self.age.record(age.as_secs_f64(), &[]);
        }
        self.peers.record(router.peers.count() as u64, &[]);
        self.open.record(state.in_flight() as u64, &[]);
        self.lease.record(u64::from(state.holds_lease()), &[]);
        self.left_out.record(lines_left_out(), &[]);
    }
}

/// The word for a kind of request in metrics.
fn class(kind: Kind) -> &'static str {
    match kind {
        Kind::Once => "once",
        Kind::Repeatable => "repeatable",
        Kind::Stream { .. } => "stream",
    }
}

/// Serves the metrics for ever.
pub async fn metrics_serve(state: State, listener: Arc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let state = state.clone();
        tokio::spawn(serve_connection(stream, move |_| {
            let text = state.metrics().text(&state);
            async move { answer(text) }
        }));
    }
}

fn answer(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    let kind = header::HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
