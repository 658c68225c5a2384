//! Changes that strand running work or turn callers away.

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

/// The warnings of a change, a sentence each.
pub(crate) fn warnings(old: &Document, new: &Document) -> Vec<String> {
    let mut lines = Vec::new();
    models_warn(old, new, &mut lines);
    for (name, pipeline) in &old.pipelines {
        pipeline_warn(name, pipeline, new.pipelines.get(name), &mut lines);
    }
    for (name, service) in &old.services {
        service_warn(name, service, new.services.get(name), &mut lines);
    }
    for (name, target) in &old.targets {
        target_warn(name, target, new.targets.get(name), &mut lines);
    }
    unserved_warn(old, new, &mut lines);
    for (name, workspace) in &old.workspaces {
        match new.workspaces.get(name) {
            None => lines.push(format!(
                "workspace {name} goes: its callers are refused, and keys of its never-repeat requests \
                 are no longer answered"
            )),
            Some(new) => workspace_warn(name, workspace, new, &mut lines),
        }
    }
    lines
}

fn models_warn(old: &Document, new: &Document, lines: &mut Vec<String>) {
    for (name, model) in &old.models {
        match new.models.get(name) {
            None => lines.push(format!(
                "model {name} goes: its running answers are cut short"
            )),
            Some(new) if new.layers != model.layers => lines.push(format!(
                "model {name} has {} layers in place of {}: running answers start anew",
                new.layers, model.layers
            )),
            _ => {}
        }
    }
}

fn pipeline_warn(name: &str, old: &Pipeline, new: Option<&Pipeline>, lines: &mut Vec<String>) {
    let Some(new) = new else {
        lines.push(format!("pipeline {name} goes: requests for it are refused"));
        return;
    };
    if old.model != new.model {
        lines.push(format!(
            "pipeline {name} runs model {} in place of {}: its answers change",
            new.model, old.model
        ));
    }
    if new.max_prompt < old.max_prompt {
        lines.push(format!(
            "pipeline {name} takes prompts of {} tokens, not {}: longer ones are refused",
            new.max_prompt, old.max_prompt
        ));
    }
    if new.max_tokens < old.max_tokens {
        lines.push(format!(
            "pipeline {name} gives answers of {} tokens, not {}: requests for more are refused",
            new.max_tokens, old.max_tokens
        ));
    }
}

fn service_warn(name: &str, old: &Service, new: Option<&Service>, lines: &mut Vec<String>) {
    match new {
        None => lines.push(format!("service {name} goes: requests for it are refused")),
        Some(new) if new.fencing != old.fencing => lines.push(format!(
            "service {name} changes whether its targets check fencing numbers: see that all of them \
             do as the file says, or a request may run twice"
        )),
        _ => {}
    }
}

fn target_warn(name: &str, old: &Target, new: Option<&Target>, lines: &mut Vec<String>) {
    let Some(new) = new else {
        if !old.drain {
            lines.push(format!(
                "target {name} goes without having been drained: work that runs on it moves or fails"
            ));
        }
        return;
    };
    if old.address != new.address {
        lines.push(format!(
            "target {name} moves from {} to {}: work that runs at the old address moves or fails",
            old.address, new.address
        ));
    }
    if old.serves != new.serves {
        lines.push(format!(
            "target {name} serves something else: work that runs on it moves or fails"
        ));
    }
}

/// Services that lose their last target that takes work.
fn unserved_warn(old: &Document, new: &Document, lines: &mut Vec<String>) {
    let served = served_by(new);
    for name in served_by(old) {
        if new.services.contains_key(name) && !served.contains(name) {
            lines.push(format!(
                "service {name} keeps no target that takes work: requests for it are refused"
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

fn workspace_warn(name: &str, old: &Workspace, new: &Workspace, lines: &mut Vec<String>) {
    limits_warn(name, &old.limits, &new.limits, lines);
    let gone = old.keys.iter().filter(|key| !new.keys.contains(key));
    match gone.count() {
        0 => {}
        count => lines.push(format!(
            "workspace {name} loses {count} of its keys: callers that present them are refused"
        )),
    }
    for (route, old) in &old.routes {
        route_warn(
            &format!("{name}.{route}"),
            old,
            new.routes.get(route),
            lines,
        );
    }
    new_routes_warn(name, &old.routes, &new.routes, lines);
}

fn limits_warn(name: &str, old: &Limits, new: &Limits, lines: &mut Vec<String>) {
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
            lines.push(format!(
                "workspace {name} has its limit {field} lowered from {old} to {new}: callers above it \
                 are refused"
            ));
        }
    }
}

fn route_warn(name: &str, old: &Route, new: Option<&Route>, lines: &mut Vec<String>) {
    let Some(new) = new else {
        lines.push(format!("route {name} goes: requests for it are refused"));
        return;
    };
    if old.to != new.to {
        lines.push(format!(
            "route {name} leads elsewhere: {}",
            to_text(&new.to)
        ));
    }
    match (old.repeat, new.repeat) {
        (Repeat::Never, Repeat::Idempotent) => lines.push(format!(
            "route {name} has its repeat rule loosened: a request may run more than once, also one \
             that was admitted before under its key"
        )),
        (Repeat::Idempotent, Repeat::Never) => lines.push(format!(
            "route {name} never repeats from now on: requests without an Idempotency-Key are refused"
        )),
        _ => {}
    }
    if new.deadline_ms < old.deadline_ms {
        let [old, new] = [old, new].map(|route| Duration::from_millis(route.deadline_ms));
        lines.push(format!(
            "route {name} has its deadline shortened from {old:?} to {new:?}: slower answers are cut"
        ));
    }
}

/// A new route to a service that an older route never repeats.
fn new_routes_warn(
    workspace: &str,
    old: &BTreeMap<String, Route>,
    new: &BTreeMap<String, Route>,
    lines: &mut Vec<String>,
) {
    for (name, route) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        let guarded = |other: &&Route| other.to == route.to && other.repeat == Repeat::Never;
        if route.repeat == Repeat::Idempotent && old.values().find(guarded).is_some() {
            lines.push(format!(
                "route {workspace}.{name} may repeat requests to {}, which another route never does",
                to_text(&route.to)
            ));
        }
    }
}

fn to_text(to: &To) -> String {
    match to {
        To::Pipeline(name) => format!("pipeline {name}"),
        To::Service(name) => format!("service {name}"),
    }
}
