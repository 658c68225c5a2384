//! Features that a configuration calls for.

use {
    camphorweir_relay::{
        configuration::{Access, Configuration, Engine, Hardware, Kind, Owner, Route, Service},
        features::{Ranks, features_of, features_usual_priority},
    },
    std::{sync::Arc, time::Duration},
};

fn route(service: &str, weight: u32, priority: u8) -> Arc<Route> {
    Arc::new(Route {
        name: String::new(),
        host: String::new(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        weights: vec![(service.into(), weight)],
        timeout: Duration::from_secs(20),
        latency_objective: Duration::from_millis(500),
        priority,
        max_runs: 2,
        public: false,
    })
}

fn configuration(routes: Vec<Arc<Route>>, step_factors: &[f64]) -> Configuration {
    let kinds = step_factors.iter().enumerate();
    let kinds = kinds.map(|(index, step_factor)| {
        let hardware = Hardware {
            step_factor: *step_factor,
            prompt_factor: 1.0,
            ..Hardware::default()
        };
        (index.to_string(), hardware)
    });
    let engine = Engine {
        hardware: kinds.collect(),
        ..Engine::default()
    };
    let service = Service {
        engine: Some(engine),
        ..Service::default()
    };
    Configuration {
        routes,
        services: [("models".into(), service)].into(),
        ..Configuration::default()
    }
}

/// Guards against priorities of other services, or of routes that send a service nothing, which would
/// turn on admission by priority where all requests are equal.
#[test]
fn only_priorities_of_routes_to_a_service_count() {
    let routes = |last| {
        vec![
            route("models", 1, 1),
            route("calls", 1, 2),
            route("models", last, 0),
        ]
    };
    let features = |last| features_of(&configuration(routes(last), &[1.0]), "models");
    assert!(!features(0).ranks.is_ordered());
    assert!(features(1).ranks.is_ordered());
    assert!(
        !features_of(&configuration(routes(1), &[1.0]), "unknown")
            .ranks
            .is_ordered()
    );
}

/// Guards against ranks that follow the number of a priority rather than its place in the order.
#[test]
fn ranks_are_places_in_the_order_of_priorities() {
    let ranks = Ranks::new([7, 2, 2, 0]);
    let places = [0, 1, 2, 3, 7, 9].map(|priority| ranks.rank(priority));
    assert_eq!((places, ranks.count()), ([0, 0, 1, 1, 2, 2], 3));
}

/// Guards against balancing that changes where targets hardly differ, or where a kind has no figures.
#[test]
fn targets_are_uneven_from_a_factor_of_ten_on() {
    let is_uneven = |factors: &[f64]| features_of(&configuration(vec![], factors), "models").uneven;
    assert!(!is_uneven(&[2.4, 5.3, 16.0]));
    assert!(is_uneven(&[1.4, 3.1, 16.0]));
    assert!(!is_uneven(&[0.0, 16.0]));
    assert!(!is_uneven(&[]));
}

/// Guards against a priority that all workspaces have hiding the order of routes: all classes were then equal.
#[test]
fn a_priority_that_most_workspaces_have_leaves_the_order_of_routes() {
    let ranks = Ranks::new([0, 1, 2]);
    let of = |route, workspace| ranks.priority(route, workspace, Some(1));
    assert_eq!([0, 1, 2].map(|route| of(route, Some(1))), [0, 1, 2]);
    assert_eq!([0, 1, 2].map(|route| of(route, None)), [0, 1, 2]);
    // A workspace of another priority takes precedence over the order of routes.
    assert_eq!([0, 1, 2].map(|route| of(route, Some(0))), [0, 0, 0]);
    assert_eq!([0, 1, 2].map(|route| of(route, Some(3))), [2, 2, 2]);
    // Where routes are equal the workspace's priority is passed on as it is.
    let equal = Ranks::new([1]);
    assert_eq!(
        [0, 1, 4].map(|workspace| equal.priority(1, Some(workspace), Some(1))),
        [0, 1, 4]
    );
}

/// Guards against a usual priority that follows the number of keys, or of workspaces without one.
#[test]
fn the_usual_priority_is_that_of_most_workspaces() {
    let usual = |workspaces: &[(&str, Option<u8>)]| {
        let owners = workspaces.iter().enumerate();
        let keys = owners.map(|(key, (workspace, priority))| {
            let owner = Owner {
                workspace: (*workspace).into(),
                priority: *priority,
            };
            (key.to_string(), Arc::new(owner))
        });
        features_usual_priority(&Configuration {
            access: Access::Keyed(keys.collect()),
            ..Configuration::default()
        })
    };
    assert_eq!(
        usual(&[
            ("a", Some(0)),
            ("a", Some(0)),
            ("b", Some(1)),
            ("c", Some(1))
        ]),
        Some(1)
    );
    assert_eq!(
        usual(&[("a", Some(2)), ("b", Some(1)), ("c", None)]),
        Some(1)
    );
    assert_eq!(usual(&[("c", None)]), None);
}
