//! Warnings about a document without faults: entries that have no effect, and limits that contradict
//! each other.
//!
//! Unlike the faults of [`check`](crate::check), these are no part of the record format: such a
//! document can be published, and releases may differ in what they warn of.

use {
    crate::{
        fault::{Code, Fault},
        model::{Document, Kind, Limits, ModelId, Pipeline, Route, RouteId, Serves, To, Workspace},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Seconds of a request limit that a workspace may save up, as in the quota of the entries.
const BURST_S: f64 = 1.0;
/// Tokens of the smallest request: one of the prompt and one of the answer.
const MIN_REQUEST_TOKENS: f64 = 2.0;

/// The findings in a document without faults, by section.
///
/// Linear in the size of the document, except for the layers of distinct ranges of each model. A
/// document with faults may take any amount of memory, such as for a model of too many layers.
pub fn findings(document: &Document) -> Vec<Fault> {
    let mut found = Vec::new();
    unused_find(document, &mut found);
    let served = Served::of(document);
    unserved_find(document, &served, &mut found);
    for (name, workspace) in &document.workspaces {
        if workspace.routes.is_empty() && !workspace.keys.is_empty() {
            let text = "the workspace has keys but no route, so every request is refused";
            let place = ["workspaces", name, "routes"];
            found.push(Fault::new(Code::NoRoutes, &place, text));
        }
        if workspace.keys.is_empty() && !workspace.routes.is_empty() {
            let text = "the workspace has routes but no key, so every request is refused";
            let place = ["workspaces", name, "keys"];
            found.push(Fault::new(Code::NoKeys, &place, text));
        }
        shadowed_find(name, &workspace.routes, &mut found);
        deadlines_find(document, name, workspace, &served, &mut found);
        limits_find(document, name, workspace, &mut found);
    }
    found
}

/// What the targets that accept work serve.
struct Served<'d> {
    services: BTreeSet<&'d str>,
    /// Shortest time of a decode step through each layer of a model, in microseconds; none where
    /// only drained targets hold the layer.
    layers: HashMap<&'d ModelId, Vec<Option<f64>>>,
}

impl<'d> Served<'d> {
    fn of(document: &'d Document) -> Self {
        let mut services = BTreeSet::new();
        // Replicas hold the same range, so few distinct ranges are left to spread over layers.
        let mut ranges = BTreeMap::new();
        for target in document.targets.values().filter(|target| !target.drain) {
            match &target.serves {
                Serves::Service(name) => {
                    services.insert(name.as_str());
                }
                Serves::Layers(engine) => {
                    let kind = document.kinds.get(&engine.kind);
                    let step_us = kind.map_or(f64::INFINITY, |kind: &Kind| kind.decode_layer_us);
                    let range = (&engine.model, engine.first, engine.end);
                    let best = ranges.entry(range).or_insert(step_us);
                    *best = best.min(step_us);
                }
            }
        }
        let models = document.models.iter();
        let mut layers: HashMap<_, _> = models
            .map(|(name, model)| (name, vec![None; model.layers as usize]))
            .collect();
        for ((model, first, end), step_us) in ranges {
            let held = layers.get_mut(model);
            let held = held.and_then(|layers| layers.get_mut(first as usize..end as usize));
            for best in held.unwrap_or_default() {
                *best = Some(best.map_or(step_us, |best: f64| best.min(step_us)));
            }
        }
        Self { services, layers }
    }

    /// Shortest time of a decode step through all layers; none if a layer is not served.
    fn step_us(&self, model: &ModelId) -> Option<f64> {
        self.layers.get(model)?.iter().copied().sum()
    }
}

fn unused_find(document: &Document, found: &mut Vec<Fault>) {
    let mut used: BTreeSet<(&str, &str)> = BTreeSet::new();
    for target in document.targets.values() {
        used.insert(("zones", &target.zone));
        if let Serves::Layers(engine) = &target.serves {
            used.insert(("kinds", &engine.kind));
        }
    }
    for pipeline in document.pipelines.values() {
        used.insert(("models", &pipeline.model));
    }
    used.extend(destinations(document));
    let sections = [
        ("kinds", names(&document.kinds), "no target is of this kind"),
        ("zones", names(&document.zones), "no target is in this zone"),
        (
            "models",
            names(&document.models),
            "no pipeline runs this model",
        ),
        (
            "pipelines",
            names(&document.pipelines),
            "no route leads to this pipeline",
        ),
        (
            "services",
            names(&document.services),
            "no route leads to this service",
        ),
    ];
    for (section, names, text) in sections {
        for name in names {
            if !used.contains(&(section, name)) {
                found.push(Fault::new(Code::Unused, &[section, name], text));
            }
        }
    }
}

fn names<T>(items: &BTreeMap<String, T>) -> Vec<&str> {
    items.keys().map(String::as_str).collect()
}

/// The destinations of all routes, each by section and name.
fn destinations(document: &Document) -> BTreeSet<(&str, &str)> {
    let workspaces = document.workspaces.values();
    let routes = workspaces.flat_map(|workspace| workspace.routes.values());
    routes
        .map(|route| match &route.to {
            To::Pipeline(name) => ("pipelines", name.as_str()),
            To::Service(name) => ("services", name.as_str()),
        })
        .collect()
}

fn unserved_find(document: &Document, served: &Served<'_>, found: &mut Vec<Fault>) {
    for (section, name) in destinations(document) {
        let text = match section {
            "services" if !served.services.contains(name) => {
                "no target that accepts work serves this service, so its routes are refused"
                    .to_owned()
            }
            "pipelines" => {
                let Some(pipeline) = document.pipelines.get(name) else {
                    continue;
                };
                let layers = served.layers.get(&pipeline.model);
                match layers.and_then(|layers| layers.iter().position(Option::is_none)) {
                    Some(layer) => format!(
                        "only drained targets hold layer {layer} of model {}, so its routes are refused",
                        pipeline.model
                    ),
                    None => continue,
                }
            }
            _ => continue,
        };
        found.push(Fault::new(Code::Unserved, &[section, name], text));
    }
}

/// Routes to a pipeline whose name another route to another pipeline has: a request for that name
/// is matched by the other route, see [`View::pipeline_route`](crate::view::View::pipeline_route).
fn shadowed_find(workspace: &str, routes: &BTreeMap<RouteId, Route>, found: &mut Vec<Fault>) {
    for (name, route) in routes {
        let To::Pipeline(pipeline) = &route.to else {
            continue;
        };
        if let Some(Route {
            to: To::Pipeline(other),
            ..
        }) = routes.get(pipeline)
            && other != pipeline
        {
            let text = format!(
                "requests for model {pipeline} are matched by the route of that name and go to \
                 pipeline {other}; this route is matched by its own name only"
            );
            let place = ["workspaces", workspace, "routes", name];
            found.push(Fault::new(Code::ShadowedRoute, &place, text));
        }
    }
}

/// Deadlines that end the longest answer of the pipeline even on the fastest targets without load.
/// Prefill is left out, since targets may have the prompt in their caches.
fn deadlines_find(
    document: &Document,
    workspace_name: &str,
    workspace: &Workspace,
    served: &Served<'_>,
    found: &mut Vec<Fault>,
) {
    for (name, route) in &workspace.routes {
        let Some((pipeline, step_us)) = pipeline_of(document, route)
            .and_then(|pipeline| Some((pipeline, served.step_us(&pipeline.model)?)))
        else {
            continue;
        };
        let shortest_ms = f64::from(pipeline.max_tokens.saturating_sub(1)) * step_us / 1e3;
        if shortest_ms > route.deadline_ms as f64 {
            let text = format!(
                "an answer of {} tokens takes {shortest_ms:.0} ms or longer on the fastest targets; \
                 the deadline is {:?}",
                pipeline.max_tokens,
                Duration::from_millis(route.deadline_ms)
            );
            let place = ["workspaces", workspace_name, "routes", name, "deadline_ms"];
            found.push(Fault::new(Code::DeadlineTooShort, &place, text));
        }
    }
}

fn pipeline_of<'d>(document: &'d Document, route: &Route) -> Option<&'d Pipeline> {
    match &route.to {
        To::Pipeline(name) => document.pipelines.get(name),
        To::Service(_) => None,
    }
}

/// Limits that the workspace's other limits keep it from reaching. A limit with its default value
/// is left out: it is seldom written, and a document does not tell whether it was.
fn limits_find(document: &Document, name: &str, workspace: &Workspace, found: &mut Vec<Fault>) {
    let Limits {
        requests,
        tokens,
        concurrent,
    } = workspace.limits;
    let default = Limits::default();
    let routes = workspace.routes.values();
    let Some(deadline_ms) = routes.clone().map(|route| route.deadline_ms).max() else {
        return;
    };
    let mut push = |field, text| {
        let place = ["workspaces", name, "limits", field];
        found.push(Fault::new(Code::UnreachableLimit, &place, text));
    };
    let pipelines = routes.map(|route| pipeline_of(document, route));
    let largest = pipelines.clone().flatten();
    let largest =
        largest.map(|pipeline| f64::from(pipeline.max_prompt) + f64::from(pipeline.max_tokens));
    let largest = largest.fold(0.0, f64::max);
    let only_pipelines = pipelines.clone().all(|pipeline| pipeline.is_some());
    if requests != default.requests && only_pipelines && requests * MIN_REQUEST_TOKENS > tokens {
        push(
            "requests",
            format!(
                "{requests} requests a second have {MIN_REQUEST_TOKENS} tokens each or more, above the \
             limit of {tokens} tokens a second"
            ),
        );
    }
    if tokens != default.tokens && largest > 0.0 && tokens > requests * largest {
        push(
            "tokens",
            format!(
                "{requests} requests a second have {largest} tokens each at most, below the limit of \
             {tokens} tokens a second"
            ),
        );
    }
    let most = requests * deadline_ms as f64 / 1e3 + (requests * BURST_S).max(1.0);
    if concurrent != default.concurrent && f64::from(concurrent) > most.ceil() {
        push(
            "concurrent",
            format!(
                "at {requests} requests a second and deadlines of {:?} at most, no more than {:.0} \
             requests are in flight",
                Duration::from_millis(deadline_ms),
                most.ceil()
            ),
        );
    }
}
