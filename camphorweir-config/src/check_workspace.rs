//! Faults of workspaces: their keys, limits and routes.

use {
    crate::{
        check::{bounds_faults, count_faults, names_faults, reference_faults},
        fault::{Code, Fault},
        model::{Document, Limits, Repeat, Route, To, Workspace},
    },
    std::{collections::HashMap, ops::RangeInclusive},
};

/// Most routes of a workspace.
pub const MAX_ROUTES: usize = 256;
/// Most keys of a workspace.
pub const MAX_KEYS: usize = 64;
/// Hexadecimal digits of a key hash.
pub const KEY_DIGITS: usize = 64;
/// A route's deadline in milliseconds, up to a day.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;

/// Faults of one workspace, except for its keys.
pub(crate) fn workspace_faults(
    document: &Document,
    name: &str,
    workspace: &Workspace,
    faults: &mut Vec<Fault>,
) {
    limits_faults(name, &workspace.limits, faults);
    let place = ["workspaces", name, "routes"];
    names_faults(&place, &workspace.routes, MAX_ROUTES, faults);
    for (route_name, route) in &workspace.routes {
        route_faults(document, [name, route_name], route, faults);
    }
}

fn route_faults(
    document: &Document,
    [workspace, name]: [&str; 2],
    route: &Route,
    faults: &mut Vec<Fault>,
) {
    let route_place = ["workspaces", workspace, "routes", name];
    let place = [&route_place[..], &["deadline_ms"]].concat();
    bounds_faults(&place, route.deadline_ms, &DEADLINE_MS, faults);
    match &route.to {
        To::Pipeline(pipeline) => {
            let place = [&route_place[..], &["to", "pipeline"]].concat();
            reference_faults(&place, "pipeline", pipeline, &document.pipelines, faults);
            if route.repeat == Repeat::Never {
                let place = [&route_place[..], &["repeat"]].concat();
                let text = format!("pipeline {pipeline} is repeatable");
                faults.push(Fault::new(Code::NeverOnPipeline, &place, text));
            }
        }
        To::Service(service) => {
            let place = [&route_place[..], &["to", "service"]].concat();
            reference_faults(&place, "service", service, &document.services, faults);
        }
    }
}

fn limits_faults(name: &str, limits: &Limits, faults: &mut Vec<Fault>) {
    let Limits {
        requests,
        tokens,
        concurrent,
    } = limits;
    limit_faults(name, "requests", *requests, faults);
    limit_faults(name, "tokens", *tokens, faults);
    limit_faults(name, "concurrent", f64::from(*concurrent), faults);
}

fn limit_faults(name: &str, field: &str, limit: f64, faults: &mut Vec<Fault>) {
    let place = ["workspaces", name, "limits", field];
    if limit == 0.0 {
        faults.push(Fault::new(Code::ZeroLimit, &place, "the limit is zero"));
    } else if !limit.is_finite() || limit < 0.0 {
        let text = format!("{limit} is not a finite number above zero");
        faults.push(Fault::new(Code::BadRate, &place, text));
    }
}

/// Key hashes that are malformed or used more than once.
pub(crate) fn keys_faults(document: &Document, faults: &mut Vec<Fault>) {
    let mut owners = HashMap::new();
    for (name, workspace) in &document.workspaces {
        let place = ["workspaces", name, "keys"];
        count_faults(&place, workspace.keys.len(), MAX_KEYS, faults);
        for (index, hash) in workspace.keys.iter().enumerate() {
            if !is_key_hash(hash) {
                let text = format!("not {KEY_DIGITS} lower-case hexadecimal digits");
                faults.push(key_fault(Code::BadKeyHash, name, index, text));
            }
            if let Some(owner) = owners.insert(hash, name) {
                let text = format!("workspace {owner} has the same key hash");
                faults.push(key_fault(Code::DuplicateKeyHash, name, index, text));
            }
        }
    }
}

fn key_fault(code: Code, workspace: &str, index: usize, text: String) -> Fault {
    Fault::new(
        code,
        &["workspaces", workspace, "keys", &index.to_string()],
        text,
    )
}

fn is_key_hash(text: &str) -> bool {
    let digit = |c: u8| matches!(c, b'0'..=b'9' | b'a'..=b'f');
    text.len() == KEY_DIGITS && text.bytes().all(digit)
}
