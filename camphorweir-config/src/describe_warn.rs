//! Warnings of changes that interrupt running work or make callers' requests fail.

use {
    crate::model::{
        Document, Limits, Pipeline, Repeat, Route, Serves, Service, ServiceId, Target, To,
        Workspace,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The warnings of a change, one sentence each.
pub(crate) fn warnings(old: &Document, new: &Document) -> Vec<String> {
    let mut texts = Vec::new();
    models_warn(old, new, &mut texts);
    for (name, pipeline) in &old.pipelines {
        pipeline_warn(name, pipeline, new.pipelines.get(name), &mut texts);
    }
    for (name, service) in &old.services {
        service_warn(name, service, new.services.get(name), &mut texts);
    }
    for (name, target) in &old.targets {
        target_warn(name, target, new.targets.get(name), &mut texts);
    }
    unserved_warn(old, new, &mut texts);
    for (name, workspace) in &old.workspaces {
        match new.workspaces.get(name) {
            None => texts.push(format!(
                "workspace {name} is removed: its callers are refused, and keys of its \
                 never-repeat requests are no longer answered"
            )),
            Some(new) => workspace_warn(name, workspace, new, &mut texts),
        }
    }
    texts
}

fn models_warn(old: &Document, new: &Document, texts: &mut Vec<String>) {
    for (name, model) in &old.models {
        match new.models.get(name) {
            None => texts.push(format!(
                "model {name} is removed: its running answers are cut short"
            )),
            Some(new) if new.layers != model.layers => texts.push(format!(
                "model {name} has {} layers instead of {}: running answers start again",
                new.layers, model.layers
            )),
            _ => {}
        }
    }
}

fn pipeline_warn(name: &str, old: &Pipeline, new: Option<&Pipeline>, texts: &mut Vec<String>) {
    let Some(new) = new else {
        texts.push(format!(
            "pipeline {name} is removed: requests for it are refused"
        ));
        return;
    };
    if old.model != new.model {
        texts.push(format!(
            "pipeline {name} runs model {} instead of {}: its answers change",
            new.model, old.model
        ));
    }
    if new.max_prompt < old.max_prompt {
        texts.push(format!(
            "pipeline {name} accepts prompts of {} tokens instead of {}: longer ones are refused",
            new.max_prompt, old.max_prompt
        ));
    }
    if new.max_tokens < old.max_tokens {
        texts.push(format!(
            "pipeline {name} gives answers of {} tokens instead of {}: requests for more are \
             refused",
            new.max_tokens, old.max_tokens
        ));
    }
}

fn service_warn(name: &str, old: &Service, new: Option<&Service>, texts: &mut Vec<String>) {
    match new {
        None => texts.push(format!(
            "service {name} is removed: requests for it are refused"
        )),
        Some(new) if new.fencing != old.fencing => texts.push(format!(
            "service {name} changes whether its targets check fencing numbers: make sure that all \
             of them do as the file says, or a request may run twice"
        )),
        _ => {}
    }
}

fn target_warn(name: &str, old: &Target, new: Option<&Target>, texts: &mut Vec<String>) {
    let Some(new) = new else {
        if !old.drain {
            texts.push(format!(
                "target {name} is removed without having been drained: work that runs on it moves \
                 or fails"
            ));
        }
        return;
    };
    if old.address != new.address {
        texts.push(format!(
            "target {name} moves from {} to {}: work that runs at the old address moves or fails",
            old.address, new.address
        ));
    }
    if old.serves != new.serves {
        texts.push(format!(
            "target {name} serves something else: work that runs on it moves or fails"
        ));
    }
}

/// Services that lose their last target that accepts work.
fn unserved_warn(old: &Document, new: &Document, texts: &mut Vec<String>) {
    let served = served_by(new);
    for name in served_by(old) {
        if new.services.contains_key(name) && !served.contains(name) {
            texts.push(format!(
                "service {name} has no target left that accepts work: requests for it are refused"
            ));
        }
    }
}

fn served_by(document: &Document) -> BTreeSet<&ServiceId> {
    let targets = document.targets.values().filter(|target| !target.drain);
    let services = targets.filter_map(|target| match &target.serves {
        Serves::Service(name) => Some(name),
        Serves::Layers(_) => None,
    });
    services.collect()
}

fn workspace_warn(name: &str, old: &Workspace, new: &Workspace, texts: &mut Vec<String>) {
    limits_warn(name, &old.limits, &new.limits, texts);
    let removed = old.keys.iter().filter(|key| !new.keys.contains(key));
    match removed.count() {
        0 => {}
        count if new.keys.is_empty() => texts.push(format!(
            "workspace {name} loses {count} of its keys, and has none left: all its callers are refused"
        )),
        count => texts.push(format!(
            "workspace {name} loses {count} of its keys: callers that present them are refused"
        )),
    }
    for (route, old) in &old.routes {
        route_warn(
            &format!("{name}.{route}"),
            old,
            new.routes.get(route),
            texts,
        );
    }
    new_routes_warn(name, &old.routes, &new.routes, texts);
}

fn limits_warn(name: &str, old: &Limits, new: &Limits, texts: &mut Vec<String>) {
    let fields = [
        ("requests", old.requests, new.requests),
        ("tokens", old.tokens, new.tokens),
        (
            "concurrent",
            f64::from(old.concurrent),
            f64::from(new.concurrent),
        ),
    ];
    for (field, old, new) in fields {
        if new < old {
            texts.push(format!(
                "workspace {name} has its limit {field} lowered from {old} to {new}: callers above it \
                 are refused"
            ));
        }
    }
}

fn route_warn(name: &str, old: &Route, new: Option<&Route>, texts: &mut Vec<String>) {
    let Some(new) = new else {
        texts.push(format!(
            "route {name} is removed: requests for it are refused"
        ));
        return;
    };
    if old.to != new.to {
        texts.push(format!(
            "route {name} has a new destination: {}",
            destination_text(&new.to)
        ));
    }
    match (old.repeat, new.repeat) {
        (Repeat::Never, Repeat::Idempotent) => texts.push(format!(
            "route {name} has its repeat rule loosened: a request may run more than once, even one \
             that was admitted earlier under its key"
        )),
        (Repeat::Idempotent, Repeat::Never) => texts.push(format!(
            "route {name} never repeats from now on: requests without an Idempotency-Key are refused"
        )),
        _ => {}
    }
    if new.deadline_ms < old.deadline_ms {
        let [old, new] = [old, new].map(|route| Duration::from_millis(route.deadline_ms));
        texts.push(format!(
            "route {name} has its deadline shortened from {old:?} to {new:?}: slower answers are \
             cut off"
        ));
    }
}

/// A new route that may repeat requests to a service which an existing route never repeats.
fn new_routes_warn(
    workspace: &str,
    old: &BTreeMap<String, Route>,
    new: &BTreeMap<String, Route>,
    texts: &mut Vec<String>,
) {
    for (name, route) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        let never_repeats = |other: &&Route| other.to == route.to && other.repeat == Repeat::Never;
        if route.repeat == Repeat::Idempotent && old.values().find(never_repeats).is_some() {
            texts.push(format!(
                "route {workspace}.{name} may repeat requests to {}, which another route never does",
                destination_text(&route.to)
            ));
        }
    }
}

fn destination_text(to: &To) -> String {
    match to {
        To::Pipeline(name) => format!("pipeline {name}"),
        To::Service(name) => format!("service {name}"),
    }
}
