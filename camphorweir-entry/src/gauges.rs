//! Gauges of an entry's state, updated at each metrics scrape.

use {
    camphorweir_config::model::Priority,
    camphorweir_wire::status::{Status, TargetState},
    opentelemetry::{
        KeyValue,
        metrics::{Gauge, Meter},
    },
};

/// The gauges of an entry.
#[derive(Clone, Debug)]
pub struct Gauges {
    targets: Gauge<u64>,
    waiting: Gauge<u64>,
    in_flight: Gauge<u64>,
    open_claims: Gauge<u64>,
    unresolved: Gauge<u64>,
    quarantined: Gauge<u64>,
    log_reachable: Gauge<u64>,
    version: Gauge<u64>,
}

impl Gauges {
    /// Creates the gauges.
    pub fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            targets: gauge("camphorweir.targets", "Targets, by state"),
            waiting: gauge("camphorweir.waiting", "Requests that wait, by class"),
            in_flight: gauge("camphorweir.in_flight", "Requests that are not over"),
            open_claims: gauge(
                "camphorweir.open_claims",
                "Keys of all entries whose outcome is not recorded",
            ),
            unresolved: gauge(
                "camphorweir.unresolved",
                "Keys of all entries whose outcome nobody knows",
            ),
            quarantined: gauge("camphorweir.quarantined", "Requests in quarantine"),
            log_reachable: gauge("camphorweir.log_reachable", "1 when the log is reachable"),
            version: gauge("camphorweir.configuration", "The version in force"),
        }
    }

    /// Sets all gauges to the state of the entry.
    pub fn update(&self, status: &Status) {
        for state in TargetState::ALL {
            let targets = status.targets.iter();
            let count = targets.filter(|target| target.state == state).count();
            let state = KeyValue::new("state", state.as_str());
            self.targets.record(count as u64, &[state]);
        }
        for queue in &status.queues {
            let class = KeyValue::new("class", class_label(queue.class));
            self.waiting.record(queue.waiting, &[class]);
        }
        self.in_flight.record(status.in_flight, &[]);
        self.open_claims.record(status.open_claims, &[]);
        self.unresolved.record(status.unresolved, &[]);
        self.quarantined
            .record(status.quarantined.len() as u64, &[]);
        self.log_reachable
            .record(u64::from(status.log.reachable), &[]);
        if let Some(version) = status.configuration.version {
            self.version.record(version, &[]);
        }
    }
}

/// The name of a priority class in metrics and logs.
pub fn class_label(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Bulk => "bulk",
    }
}
