//! Histograms of durations, by class and by workspace.

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

/// Bucket bounds of the histograms, in seconds.
const BUCKET_BOUNDS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0,
];
/// Most workspaces with a label of their own; these are the first ones seen.
pub const MAX_WORKSPACES: usize = 64;
/// The label of all other workspaces; not a valid workspace name.
pub const OTHER_WORKSPACES: &str = "(others)";

/// Limits the number of workspace labels in the metrics.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceLabels(Arc<Mutex<BTreeSet<String>>>);

impl WorkspaceLabels {
    /// The label under which a workspace is counted.
    pub fn label(&self, workspace: &str) -> String {
        let mut labels = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !labels.contains(workspace) {
            if workspace.is_empty() || labels.len() >= MAX_WORKSPACES {
                return OTHER_WORKSPACES.to_owned();
            }
            labels.insert(workspace.to_owned());
        }
        workspace.to_owned()
    }
}

/// Labels of a recorded duration.
#[derive(Clone, Debug)]
pub struct Labels {
    class: [KeyValue; 1],
    workspace: [KeyValue; 1],
}

impl Labels {
    /// The labels of a class and of a workspace; the latter comes from [`WorkspaceLabels::label`].
    pub fn new(class: &'static str, workspace: String) -> Self {
        Self {
            class: [KeyValue::new("class", class)],
            workspace: [KeyValue::new("workspace", workspace)],
        }
    }
}

/// One kind of duration, in two metrics; in a single one, a sum over all series would count twice.
#[derive(Clone, Debug)]
pub struct DurationHistogram {
    class: Histogram<f64>,
    workspace: Histogram<f64>,
}

impl DurationHistogram {
    /// The histograms `camphorweir.NAME` and `camphorweir.workspace.NAME`.
    pub fn new(meter: &Meter, name: &str, text: &str) -> Self {
        let histogram = |name: String, by: &str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(format!("{text}, by {by}"))
                .with_boundaries(BUCKET_BOUNDS_S.to_vec())
                .build()
        };
        Self {
            class: histogram(format!("camphorweir.{name}"), "class"),
            workspace: histogram(format!("camphorweir.workspace.{name}"), "workspace"),
        }
    }

    /// Records a duration in both histograms.
    pub fn record(&self, label: &Labels, time: Duration) {
        let seconds = time.as_secs_f64();
        self.class.record(seconds, &label.class);
        self.workspace.record(seconds, &label.workspace);
    }
}
