//! Logs and metrics; neither contains prompts, keys or bodies.

use {
    crate::{
        gauges::{Gauges, class_label},
        histograms::{DurationHistogram, Labels, WorkspaceLabels},
        log_writer::{Writer, log_panics},
        output::STDERR,
        settings::{Format, Logs},
        units::millis,
    },
    camphorweir_policy::action::{Ended, Note},
    camphorweir_wire::{code::Code, status::Status},
    logforth::layout::{JsonLayout, PlainTextLayout},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
    snafu::Snafu,
    std::time::Duration,
};

/// Metrics could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics can't be set up: {what}"))]
pub struct Error {
    what: String,
}

/// Starts logging; has no effect if called again in the same process.
pub fn start_logs(logs: Logs) {
    let writer = match logs.format {
        Format::Json => Writer::start(&STDERR, JsonLayout::default()),
        Format::Text => Writer::start(&STDERR, PlainTextLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(writer))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(logs.level);
        log_panics();
    }
}

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Dropping it would stop the instruments.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    failures: Counter<u64>,
    ejections: Counter<u64>,
    unusual_events: Counter<u64>,
    gauges: Gauges,
    workspace_names: WorkspaceLabels,
    total_time: DurationHistogram,
    queue_time: DurationHistogram,
    time_to_first_token: DurationHistogram,
    token_gap: DurationHistogram,
    recovery_time: DurationHistogram,
}

impl Metrics {
    /// Sets metrics up.
    ///
    /// # Errors
    ///
    /// [`Error`] when the exporter can't be registered.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error {
                what: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("camphorweir");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let histogram = |name, text| DurationHistogram::new(&meter, name, text);
        Ok(Self {
            requests: counter("camphorweir.requests", "Requests ended, by class and code"),
            failures: counter(
                "camphorweir.attempt.failures",
                "Attempts that failed, by reason",
            ),
            ejections: counter(
                "camphorweir.ejections",
                "Targets taken out of use, by reason",
            ),
            unusual_events: counter("camphorweir.odd", "Unusual facts, by kind"),
            gauges: Gauges::new(&meter),
            workspace_names: WorkspaceLabels::default(),
            total_time: histogram("whole", "From arrival to the end"),
            queue_time: histogram("queued", "From arrival to the first attempt"),
            time_to_first_token: histogram("first_token", "From arrival to the first token"),
            token_gap: histogram("between_tokens", "From one token to the next"),
            recovery_time: histogram("recovery", "From a failed attempt to the next token"),
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the Prometheus text format; `status` updates the gauges first.
    pub fn render(&self, status: Option<&Status>) -> String {
        if let Some(status) = status {
            self.gauges.update(status);
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    /// Records a fact that the core reports in metrics and logs.
    pub fn note(&self, note: &Note) {
        match note {
            Note::Ended(ended) => self.record_ended(ended),
            Note::AttemptFailed(request, attempt, target, reason) => {
                self.failures.add(1, &[KeyValue::new("reason", *reason)]);
                log::info!(
                    request = request_id(*request),
                    attempt = *attempt,
                    target_name = target.as_str(),
                    reason = *reason;
                    "attempt failed"
                );
            }
            Note::Ejected(target, reason) => {
                self.ejections.add(1, &[KeyValue::new("reason", *reason)]);
                log::warn!(target_name = target.as_str(), reason = *reason; "target ejected");
            }
            Note::Restored(target) => {
                log::info!(target_name = target.as_str(); "target restored");
            }
            Note::Configured(version) => {
                log::info!(version = *version; "configuration in force");
            }
            Note::Unusual(kind, text) => {
                self.unusual_events.add(1, &[KeyValue::new("kind", *kind)]);
                log::warn!(kind = *kind, detail = text.as_str(); "unusual event");
            }
        }
    }

    fn record_ended(&self, ended: &Ended) {
        let number = ended.code.map_or(0, Code::number);
        let code = KeyValue::new("code", i64::from(number));
        let class = class_label(ended.priority);
        self.requests.add(1, &[KeyValue::new("class", class), code]);
        let label = Labels::new(class, self.workspace_names.label(&ended.workspace));
        self.total_time.record(&label, ended.total);
        self.queue_time.record(&label, ended.queued);
        if let Some(first) = ended.first_token {
            self.time_to_first_token.record(&label, first);
        }
        for gap_us in &ended.timing.gaps_us {
            self.token_gap
                .record(&label, Duration::from_micros(u64::from(*gap_us)));
        }
        for recovery in &ended.timing.recoveries {
            self.recovery_time.record(&label, *recovery);
        }
        log::info!(
            request = request_id(ended.request),
            workspace = ended.workspace.as_str(),
            class = class,
            code = number,
            attempts = ended.attempts,
            whole_ms = millis(ended.total);
            "request ended"
        );
    }
}

fn request_id(request: u64) -> String {
    crate::refusal::format_id(request)
}
