//! Lookups in the indexes of a view.

mod common;

use {
    camphorweir_config::{model::Repeat, view::View},
    common::{document, key_hash, workspace},
    std::sync::Arc,
};

#[test]
fn lookups_by_key_name_and_target() {
    let view = View::new(Arc::new(document()), 3);
    assert_eq!(view.version(), 3);
    let depot = view.workspace(&key_hash(7)).unwrap();
    assert_eq!(depot, "depot-7");
    assert_eq!(view.workspace(&key_hash(8)), None);
    assert_eq!(view.workspace(""), None);

    let (name, _) = view.pipeline_route(depot, "burn-notes").unwrap();
    assert_eq!(name, "burn-notes");
    let (name, _) = view.pipeline_route(depot, "notes").unwrap();
    assert_eq!(name, "burn-notes");
    assert!(view.pipeline_route(depot, "seal").is_none());
    assert!(view.pipeline_route(depot, "ledger").is_none());
    assert!(view.pipeline_route("depot-8", "notes").is_none());

    let seal = view.service_route(depot, "seal").unwrap();
    assert_eq!(seal.repeat, Repeat::Never);
    assert!(view.service_route(depot, "burn-notes").is_none());
    assert!(view.service_route("depot-8", "seal").is_none());

    assert_eq!(view.engines("log"), ["log-a1", "log-a2"]);
    assert_eq!(view.servers("ledger"), ["ledger-b1"]);
    assert!(view.engines("ledger").is_empty());
}

#[test]
fn many_workspaces_are_indexed() {
    let mut many = document();
    let depot = workspace(7);
    for seed in 100..13_100 {
        let mut depot = depot.clone();
        depot.keys = vec![key_hash(seed)];
        many.workspaces.insert(format!("depot-{seed}"), depot);
    }
    let view = View::new(Arc::new(many), 1);
    assert_eq!(view.workspace(&key_hash(13_099)).unwrap(), "depot-13099");
}
