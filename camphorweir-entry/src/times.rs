//! Histograms of times, by class and by workspace.

use {
    opentelemetry::{
        KeyValue,
        metrics::{Histogram, Meter},
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Bounds of the histograms, in seconds.
const SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0,
];
/// Workspaces that have histograms of their own; the first ones seen.
pub const WORKSPACES: usize = 64;
/// Stands for all other workspaces, and is no usable name of one.
pub const OTHERS: &str = "(others)";

/// Keeps the number of workspaces in the metrics bounded.
#[derive(Clone, Debug, Default)]
pub struct Names(Arc<Mutex<BTreeSet<String>>>);

impl Names {
    /// The name under which a workspace is counted.
    pub fn label(&self, workspace: &str) -> String {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(workspace) {
            if workspace.is_empty() || known.len() >= WORKSPACES {
                return OTHERS.to_owned();
            }
            known.insert(workspace.to_owned());
        }
        workspace.to_owned()
    }
}

/// Whose time it is.
#[derive(Clone, Debug)]
pub struct Label {
    class: [KeyValue; 1],
    workspace: [KeyValue; 1],
}

impl Label {
    /// The label of a class and a workspace; the latter as [`Names`] gives it.
    pub fn new(class: &'static str, workspace: String) -> Self {
        Self {
            class: [KeyValue::new("class", class)],
            workspace: [KeyValue::new("workspace", workspace)],
        }
    }
}

/// One kind of time; two histograms, since a sum over both labels would count twice.
#[derive(Clone, Debug)]
pub struct Times {
    class: Histogram<f64>,
    workspace: Histogram<f64>,
}

impl Times {
    /// The histograms `camphorweir.NAME` and `camphorweir.workspace.NAME`.
    pub fn new(meter: &Meter, name: &str, text: &str) -> Self {
        let histogram = |name: String, by: &str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(format!("{text}, by {by}"))
                .with_boundaries(SECONDS.to_vec())
                .build()
        };
        Self {
            class: histogram(format!("camphorweir.{name}"), "class"),
            workspace: histogram(format!("camphorweir.workspace.{name}"), "workspace"),
        }
    }

    /// Takes a time in.
    pub fn record(&self, label: &Label, time: Duration) {
        let seconds = time.as_secs_f64();
        self.class.record(seconds, &label.class);
        self.workspace.record(seconds, &label.workspace);
    }
}
