//! Logs and metrics; neither holds prompts, keys or bodies.

use {
    crate::settings::{Format, Logs},
    camphorweir_config::model::Priority,
    camphorweir_policy::action::{Ended, Note},
    camphorweir_wire::code::Code,
    logforth::{
        append::Stderr,
        layout::{JsonLayout, PlainTextLayout},
    },
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
    snafu::Snafu,
    std::time::Duration,
};

/// Bounds of the histograms of time, in seconds.
const SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0,
];

/// Metrics could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics can't be set up: {what}"))]
pub struct Error {
    what: String,
}

/// Starts logging; a second start in one process changes nothing.
pub fn start_logs(logs: Logs) {
    let stderr = match logs.format {
        Format::Json => Stderr::default().with_layout(JsonLayout::default()),
        Format::Text => Stderr::default().with_layout(PlainTextLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(stderr))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(logs.level);
    }
}

/// The metrics of an entry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments working.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    failures: Counter<u64>,
    ejections: Counter<u64>,
    odd: Counter<u64>,
    whole: Histogram<f64>,
    queued: Histogram<f64>,
    first_token: Histogram<f64>,
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
        let time = |name: &'static str, text: &'static str| {
            let histogram = meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text);
            histogram.with_boundaries(SECONDS.to_vec()).build()
        };
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            requests: count("camphorweir.requests", "Requests ended, by class and code"),
            failures: count(
                "camphorweir.attempt.failures",
                "Attempts that failed, by reason",
            ),
            ejections: count(
                "camphorweir.ejections",
                "Targets taken out of use, by reason",
            ),
            odd: count("camphorweir.odd", "Unusual facts, by kind"),
            whole: time("camphorweir.whole", "From arrival to the end, by class"),
            queued: time(
                "camphorweir.queued",
                "From arrival to the first attempt, by class",
            ),
            first_token: time(
                "camphorweir.first_token",
                "From arrival to the first token, by class",
            ),
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    /// Takes a fact in.
    pub fn note(&self, note: &Note) {
        match note {
            Note::Ended(ended) => self.ended(ended),
            Note::Failed(request, attempt, target, reason) => {
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
            Note::Odd(kind, text) => {
                self.odd.add(1, &[KeyValue::new("kind", *kind)]);
                log::warn!(kind = *kind, detail = text.as_str(); "odd");
            }
        }
    }

    fn ended(&self, ended: &Ended) {
        let class = KeyValue::new("class", class(ended.priority));
        let number = ended.code.map_or(0, Code::number);
        let code = KeyValue::new("code", i64::from(number));
        self.requests.add(1, &[class.clone(), code]);
        let class = &[class];
        self.whole.record(ended.whole.as_secs_f64(), class);
        self.queued.record(ended.queued.as_secs_f64(), class);
        if let Some(first) = ended.first_token {
            self.first_token.record(first.as_secs_f64(), class);
        }
        log::info!(
            request = request_id(ended.request),
            workspace = ended.workspace.as_str(),
            class = self::class(ended.priority),
            code = number,
            attempts = ended.attempts,
            whole_ms = millis(ended.whole);
            "request ended"
        );
    }
}

fn request_id(request: u64) -> String {
    crate::refuse::show(request)
}

fn class(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Bulk => "bulk",
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
