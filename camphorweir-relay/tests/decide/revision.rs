//! Requests that one configuration admitted, under a newer one.

use {
    crate::router::router,
    camphorweir_relay::{
        configuration::{Access, Configuration, Keys, Kind, Owner, Route, Service},
        head::Head,
        progress::Progress,
        retry::{Decision, Failure},
        router::{Admission, Outcome, Router},
    },
    camphorweir_wire::{code::Code, outcome::Ran},
    std::{sync::Arc, time::Duration},
};

const NOW: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(3);

fn route(prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        weights: vec![(service.into(), 1)],
        timeout: Duration::from_secs(8),
        latency_objective: Duration::from_millis(500),
        priority: 1,
        max_runs: 2,
        public: false,
    }
}

/// The next configuration after that of the router, with a key and with this route to `/look/`.
fn configuration(router: &Router, look: Option<Route>) -> Configuration {
    let current = router.configuration().unwrap();
    let owner = Arc::new(Owner {
        workspace: "w".into(),
        priority: None,
    });
    let mut services = current.services.clone();
    services.insert("other".into(), Service::default());
    Configuration {
        version: current.version + 1,
        routes: look.into_iter().map(Arc::new).collect(),
        services,
        access: Access::Keyed([("key".to_owned(), owner)].into()),
        ..Configuration::default()
    }
}

fn look() -> Route {
    route("/look/", Kind::Idempotent, "ledger")
}

/// A request that was admitted under a configuration with a route of this kind.
fn admitted(kind: Kind) -> (Router, Admission) {
    let mut router = router();
    let first = configuration(&router, Some(Route { kind, ..look() }));
    router.set_configuration(Arc::new(first), NOW);
    let head = Head {
        id: "a".into(),
        host: "h".to_owned(),
        path: "/look/a".to_owned(),
        key: Some("key".to_owned()),
        timeout: Some(Duration::from_secs(10)),
        ..Head::default()
    };
    let request = router.admit(&head, NOW).unwrap();
    (router, request)
}

/// Puts a configuration in force with this route, or without any.
fn publish(router: &mut Router, look: Option<Route>) {
    let next = configuration(router, look);
    assert!(router.set_configuration(Arc::new(next), LATER));
}

/// Puts a configuration in force with another key.
fn publish_other_key(router: &mut Router) {
    let mut next = configuration(router, Some(look()));
    let owner = next.access.keys().unwrap()["key"].clone();
    next.access = Access::Keyed([("another".to_owned(), owner)].into());
    assert!(router.set_configuration(Arc::new(next), LATER));
}

/// Puts a configuration in force without a service.
fn publish_without(router: &mut Router, service: &str) {
    let mut next = configuration(router, Some(look()));
    next.services.remove(service);
    assert!(router.set_configuration(Arc::new(next), LATER));
}

#[test]
fn a_request_that_has_not_run_goes_by_the_configuration_in_force() {
    let (mut router, mut request) = admitted(Kind::Idempotent);
    let next = Route {
        kind: Kind::AtMostOnce,
        timeout: Duration::from_secs(4),
        priority: 3,
        max_runs: 1,
        ..route("/look/", Kind::AtMostOnce, "other")
    };
    publish(&mut router, Some(next));
    router.revise(&mut request, LATER).unwrap();
    assert_eq!((&*request.service, request.priority), ("other", 3));
    assert_eq!(request.route.kind, Kind::AtMostOnce);
    assert_eq!(request.deadline, NOW + Duration::from_secs(4));
    assert_eq!(request.configuration_version, 3);
    // A raised timeout doesn't extend what the caller was told.
    publish(&mut router, Some(look()));
    router.revise(&mut request, LATER).unwrap();
    assert_eq!(request.deadline, NOW + Duration::from_secs(4));
    assert_eq!(&*request.service, "ledger");
}

#[test]
fn a_request_that_is_not_allowed_any_more_is_refused_until_it_may_have_run() {
    let mut cases = Vec::new();
    for code in [Code::NoSuchPath, Code::Unauthorized, Code::KeysStale] {
        let (mut router, request) = admitted(Kind::Idempotent);
        let mut at = LATER;
        match code {
            Code::NoSuchPath => publish(&mut router, None),
            Code::Unauthorized => publish_other_key(&mut router),
            // The bound on revoked keys, less the time to a target.
            _ => at = NOW + Duration::from_millis(4_500),
        }
        cases.push((code, router, request, at));
    }
    for (code, mut router, request, at) in cases {
        let refusal = router.revise(&mut request.clone(), at).unwrap_err();
        assert_eq!((refusal.code, refusal.ran), (code, Ran::No));
        let refusal = router.plan(&mut request.clone(), at).unwrap_err();
        assert_eq!((refusal.code, refusal.ran), (code, Ran::No));
        let mut run = request;
        run.counts.runs = 1;
        // Its key is gone for good, so that it may not run again.
        let expected = (code == Code::Unauthorized).then_some((Code::TargetFailed, Ran::Unknown));
        let refusal = router.revise(&mut run, at).err();
        assert_eq!(refusal.map(|refusal| (refusal.code, refusal.ran)), expected);
    }
}

#[test]
fn a_request_whose_service_is_gone_is_planned_nowhere() {
    let (mut router, mut request) = admitted(Kind::Idempotent);
    request.counts.runs = 1;
    assert!(router.plan(&mut request.clone(), LATER).is_ok());
    publish_without(&mut router, "ledger");
    let refusal = router.plan(&mut request, LATER).unwrap_err();
    assert_eq!(
        (refusal.code, refusal.ran),
        (Code::TargetFailed, Ran::Unknown)
    );
}

#[test]
fn a_lowered_timeout_brings_the_deadline_forward_until_there_is_an_answer() {
    let (mut router, mut request) = admitted(Kind::Idempotent);
    let low = Duration::from_secs(1);
    publish(
        &mut router,
        Some(Route {
            timeout: low,
            ..look()
        }),
    );
    request.counts.runs = 1;
    assert_eq!(router.revision_deadline(&request), NOW + low);
    request.progress = Progress::Begun(NOW);
    assert_eq!(router.revision_deadline(&request), request.deadline);
    request.progress = Progress::Waiting;
    publish(&mut router, None);
    assert_eq!(router.revision_deadline(&request), request.deadline);
}

#[test]
fn a_request_whose_key_was_taken_away_runs_on_no_further_target() {
    let (mut router, mut request) = admitted(Kind::Idempotent);
    let plan = router.plan(&mut request, NOW).unwrap();
    publish_other_key(&mut router);
    let failed = Outcome::Failed(Failure::Broken, None);
    let decision = router.finish_send(&mut request, &plan, failed, LATER);
    assert_eq!(decision, Decision::End(Code::TargetFailed));
}

/// Guards against requests in flight for which a configuration that takes the last key away counts as open.
#[test]
fn a_request_whose_workspace_lost_its_last_key_runs_on_no_further_target() {
    let begin = |before: Access, after: Access| {
        let mut router = router();
        let mut first = configuration(&router, Some(look()));
        first.access = before;
        router.set_configuration(Arc::new(first), NOW);
        let head = Head {
            id: "a".into(),
            host: "h".to_owned(),
            path: "/look/a".to_owned(),
            key: Some("key".to_owned()),
            timeout: Some(Duration::from_secs(10)),
            ..Head::default()
        };
        let mut request = router.admit(&head, NOW).unwrap();
        let plan = router.plan(&mut request, NOW).unwrap();
        let mut next = configuration(&router, Some(look()));
        next.access = after;
        assert!(router.set_configuration(Arc::new(next), LATER));
        (router, request, plan)
    };
    let keyed = || configuration(&router(), Some(look())).access;
    let closed = || Access::Keyed(Keys::new());
    for (before, after, is_allowed) in [
        (keyed(), closed(), false),
        (keyed(), Access::Open, true),
        // One that was admitted without a workspace needs a key by now too.
        (Access::Open, closed(), false),
        (Access::Open, keyed(), true),
    ] {
        let (mut router, mut request, plan) = begin(before.clone(), after.clone());
        let waiting = router.revise(&mut request.clone(), LATER).err();
        let expected = (!is_allowed).then_some((Code::Unauthorized, Ran::No));
        assert_eq!(
            waiting.map(|refusal| (refusal.code, refusal.ran)),
            expected,
            "{before:?} {after:?}"
        );
        let failed = Outcome::Failed(Failure::Broken, None);
        let decision = router.finish_send(&mut request, &plan, failed, LATER);
        let is_again = decision == Decision::Again;
        assert_eq!(is_again, is_allowed, "{before:?} {after:?}");
    }
}

#[test]
fn a_request_runs_again_only_if_both_configurations_allow_it() {
    let stream = |resumable| Kind::Stream { resumable };
    let again = [
        (Kind::Idempotent, Some((Kind::Idempotent, 2)), true),
        (Kind::Idempotent, Some((Kind::Idempotent, 1)), false),
        (Kind::Idempotent, Some((Kind::AtMostOnce, 2)), false),
        (Kind::Idempotent, Some((stream(false), 2)), false),
        (Kind::Idempotent, None, true),
        (Kind::AtMostOnce, Some((Kind::Idempotent, 2)), false),
        (stream(true), Some((stream(true), 2)), true),
        (stream(true), Some((stream(false), 2)), false),
        (stream(false), Some((stream(true), 2)), false),
    ];
    for (before, after, is_again) in again {
        let (mut router, mut request) = admitted(before);
        let plan = router.plan(&mut request, NOW).unwrap();
        let after_route = after.map(|(kind, max_runs)| Route {
            kind,
            max_runs,
            ..look()
        });
        publish(&mut router, after_route);
        let beside = router.replacement_begin(&request, &plan, plan.address, LATER);
        assert_eq!(beside.is_some(), is_again, "{before:?}, {after:?}");
        let failed = Outcome::Failed(Failure::Broken, None);
        let decision = router.finish_send(&mut request, &plan, failed, LATER);
        assert_eq!(
            decision == Decision::Again,
            is_again,
            "{before:?}, {after:?}"
        );
    }
}
