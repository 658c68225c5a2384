//! The example programs build the documents that they describe, without faults.
#![allow(dead_code, reason = "the programs' own `main` is not called here")]

#[path = "../examples/pine_hollow.rs"]
mod pine_hollow;
#[path = "../examples/port_louis.rs"]
mod port_louis;

use {
    camphorweir_config::{
        model::{Document, Priority, Repeat, Route, Serves, To},
        parse, print,
    },
    std::collections::BTreeSet,
};

/// Numbers of targets that hold layers, and of targets of one service.
fn counts(document: &Document, service: &str) -> (usize, usize) {
    let targets = || document.targets.values();
    let engines = targets().filter(|target| matches!(target.serves, Serves::Layers(_)));
    let servers = targets()
        .filter(|target| matches!(&target.serves, Serves::Service(name) if name == service));
    (engines.count(), servers.count())
}

fn routes<'a>(document: &'a Document, name: &str) -> Vec<&'a Route> {
    let workspaces = document.workspaces.values();
    workspaces
        .map(|workspace| &workspace.routes[name])
        .collect()
}

/// The number of zones whose own targets hold all stages, and of kinds of accelerator in use.
fn zones_with_stages(document: &Document, stages: &[(u32, u32)]) -> (usize, usize) {
    let mut kinds = BTreeSet::new();
    let mut held = BTreeSet::new();
    for target in document.targets.values() {
        if let Serves::Layers(engine) = &target.serves {
            kinds.insert(&engine.kind);
            held.insert((&target.zone, engine.first, engine.end));
        }
    }
    let has_all_stages = |zone| {
        stages
            .iter()
            .all(|(first, end)| held.contains(&(zone, *first, *end)))
    };
    let zones = document.zones.keys().filter(|zone| has_all_stages(*zone));
    (zones.count(), kinds.len())
}

fn assert_parses_back(document: &Document) {
    let text = print::text(document).unwrap();
    assert_eq!(parse::checked(&text).as_ref(), Ok(document));
}

#[test]
fn pine_hollow_matches_its_description() {
    let document = pine_hollow::document().unwrap();
    assert_eq!(counts(&document, "ledger"), (36, 3));
    assert_eq!(
        zones_with_stages(&document, &[(0, 10), (10, 20), (20, 32)]),
        (3, 2)
    );
    assert_eq!(document.workspaces.len(), 10);
    for route in routes(&document, "seal") {
        assert_eq!(route.repeat, Repeat::Never);
    }
    for route in routes(&document, "batch-status") {
        assert_eq!(
            (route.repeat, route.priority),
            (Repeat::Idempotent, Priority::Urgent)
        );
    }
    for route in routes(&document, "burn-notes") {
        assert_eq!(route.to, To::Pipeline("notes".to_owned()));
    }
    assert_parses_back(&document);
}

#[test]
fn port_louis_matches_its_description() {
    let document = port_louis::document().unwrap();
    assert_eq!(counts(&document, "bookings"), (42, 3));
    assert_eq!(
        zones_with_stages(&document, &[(0, 8), (8, 20), (20, 28)]),
        (3, 2)
    );
    assert_eq!(document.workspaces.len(), 10);
    for route in routes(&document, "book") {
        assert_eq!(route.repeat, Repeat::Never);
    }
    for route in routes(&document, "hall-status") {
        assert_eq!(
            (route.repeat, route.priority),
            (Repeat::Idempotent, Priority::Urgent)
        );
    }
    for route in routes(&document, "cues") {
        assert_eq!(route.to, To::Pipeline("cues".to_owned()));
    }
    assert_parses_back(&document);
}
