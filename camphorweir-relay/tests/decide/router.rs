//! Requests from their arrival to their end, at one instance.

use {
    camphorweir_relay::{
        budget::Policy,
        configuration::{Access, Configuration, Engine, Hardware, Kind, Owner, Route, Service},
        fleet::Target,
        head::Head,
        ids::ids_tag,
        retry::{Decision, Failure},
        router::{Admission, Outcome, Router},
        settings::Bounds,
        span::Span,
    },
    camphorweir_wire::{
        code::Code,
        digest::{Digest, Load},
        outcome::Ran,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn route(prefix: &str, kind: Kind, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        weights: vec![(service.into(), 1)],
        timeout: ms(20_000),
        latency_objective: ms(500),
        priority: 1,
        max_runs: 2,
        public: true,
    })
}

fn engine() -> Engine {
    let hardware = Hardware {
        memory_mb: 2_000.0,
        step_factor: 1.0,
        prompt_factor: 1.0,
    };
    Engine {
        layers: 10,
        layer_mb: 100.0,
        kv_token_bytes: 1e6,
        step_ms: 1.0,
        prompt_tokens_per_ms: 100.0,
        mean_tokens: (100.0, 100.0),
        hardware: [("half".to_owned(), hardware)].into(),
        ..Engine::default()
    }
}

/// Two zones with a target for each half of the model, and two targets without layers.
pub(crate) fn router() -> Router {
    let bounds = Bounds {
        stop_grace: ms(8_000),
        drain: ms(2_000),
        contact: ms(3_000),
        key_revocation: ms(5_000),
        retry_budget: Policy {
            ratio: 0.2,
            base_retries: 100.0,
            window: ms(10_000),
        },
    };
    let mut router = Router::new("near".into(), bounds, 1.0, 7);
    let scribe = Service {
        max_connections: 100,
        engine: Some(engine()),
    };
    router.set_configuration(
        Arc::new(Configuration {
            version: 1,
            routes: vec![
                route("/text/", Kind::Stream { resumable: true }, "scribe"),
                route("/seal/", Kind::AtMostOnce, "ledger"),
            ],
            services: [
                ("scribe".into(), scribe),
                ("ledger".into(), Service::default()),
            ]
            .into(),
            ..Configuration::default()
        }),
        ms(0),
    );
    for (port, (id, zone, from, to)) in (1..).zip([
        ("near-0", "near", 0, 5),
        ("near-1", "near", 5, 10),
        ("far-0", "far", 0, 5),
        ("far-1", "far", 5, 10),
        ("ledger-0", "near", 0, 0),
        ("ledger-1", "far", 0, 0),
    ]) {
        let service = if from == to { "ledger" } else { "scribe" };
        let target = Target {
            id: id.into(),
            service: service.into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: zone.into(),
            started_ms: 1,
            sequence: 1,
            slots: if from == to { 4 } else { 64 },
            draining: false,
            hardware: Some("half".to_owned()),
            span: Span { from, to },
        };
        router.fleet.upsert(target, ms(0));
    }
    router
}

pub(crate) fn admit_request(router: &mut Router, path: &str, now: Duration) -> Admission {
    let head = Head {
        id: "a".into(),
        host: "h".to_owned(),
        path: path.to_owned(),
        timeout: Some(ms(10_000)),
        tokens: Some((100, 600)),
        ..Head::default()
    };
    router.admit(&head, now).unwrap()
}

#[test]
fn streams_use_the_own_zone_first_and_fill_each_zone() {
    let mut router = router();
    let mut plans = Vec::new();
    loop {
        let mut request = admit_request(&mut router, "/text/a", ms(0));
        match router.plan(&mut request, ms(0)) {
            Ok(plan) => plans.push((request, plan)),
            Err(refusal) => {
                assert_eq!((refusal.code, refusal.ran), (Code::NoPath, Ran::No));
                assert!(refusal.retry_after.is_some());
                break;
            }
        }
    }
    let zones = plans
        .iter()
        .map(|(_, plan)| plan.target.split('-').next().unwrap());
    let near = zones.clone().filter(|zone| *zone == "near").count();
    assert!(plans[0].1.target.starts_with("near"));
    for (_, plan) in &plans {
        let (path, _) = plan.path().unwrap();
        let zone = |index: usize| path.hops()[index].target.split('-').next().unwrap();
        assert_eq!(zone(0), zone(1));
    }
    // 15,000 token-layers fit beside five layers; a request reserves 1,000.
    assert_eq!(near, 14);
    assert_eq!(plans.len() - near, 12);
    // A request that ends releases its memory.
    let (mut done, plan) = plans.remove(0);
    router.finish_send(
        &mut done,
        &plan,
        Outcome::Answered { is_success: true },
        ms(1),
    );
    let mut request = admit_request(&mut router, "/text/a", ms(1));
    assert!(router.plan(&mut request, ms(1)).is_ok());
}

#[test]
fn a_zone_filled_by_peers_is_full_and_lacks_no_layers() {
    let mut router = router();
    let loads = ["near-0", "far-0"].map(|id| Load {
        target: ids_tag(id),
        streams: 40,
        first_stage: 40,
        memory: 1_000,
    });
    let digest = Digest {
        entry: "peer".to_owned(),
        loads: loads.into(),
        ..Digest::default()
    };
    router.apply_digest(digest, ms(0));
    router.peers.use_digests(ms(0));
    let mut request = admit_request(&mut router, "/text/a", ms(0));
    let refusal = router.plan(&mut request, ms(0)).unwrap_err();
    assert_eq!(refusal.detail, "far is full, near is full");
    // The request may wait a moment, and its caller is told to retry soon.
    assert!(router.may_wait_for_memory(&request, &refusal, ms(0)));
    assert!(!router.may_wait_for_memory(&request, &refusal, ms(63)));
    assert!(refusal.retry_after.is_some_and(|wait| wait < ms(500)));
    // With layers missing the request is refused at once, and the caller is told to retry later.
    for id in ["near-1", "far-1"] {
        router.fleet.remove(&id.into(), ms(1));
    }
    let refusal = router.plan(&mut request, ms(1)).unwrap_err();
    assert_eq!(refusal.detail, "far lacks layers, near lacks layers");
    assert!(!router.may_wait_for_memory(&request, &refusal, ms(1)));
    assert!(refusal.retry_after.is_some_and(|wait| wait > ms(1_000)));
}

#[test]
fn a_slower_target_with_free_memory_is_preferred_to_a_fast_one_that_many_peers_use() {
    let mut router = router();
    let mut engine = engine();
    let slow = Hardware {
        step_factor: 2.0,
        prompt_factor: 2.0,
        ..engine.hardware["half"]
    };
    engine.hardware.insert("slow".to_owned(), slow);
    let mut configuration = router.configuration().unwrap().as_ref().clone();
    configuration.version += 1;
    configuration.services.get_mut("scribe").unwrap().engine = Some(engine);
    router.set_configuration(Arc::new(configuration), ms(0));
    let mut target = router.fleet.get(&"near-0".into()).cloned().unwrap();
    (target.id, target.hardware) = ("near-2".into(), Some("slow".to_owned()));
    target.address.set_port(9);
    router.fleet.upsert(target, ms(0));
    // Ten peers reserve 1,024 of 15,000 token-layers each on two targets; the others report no
    // load.
    let apply_digests = |router: &mut Router, peers: std::ops::Range<usize>| {
        for peer in peers {
            let loads = ["near-0", "far-0"].map(|id| Load {
                target: ids_tag(id),
                streams: 1,
                first_stage: 1,
                memory: 1,
            });
            let digest = Digest {
                entry: format!("peer-{peer}"),
                loads: loads.into_iter().filter(|_| peer < 10).collect(),
                ..Digest::default()
            };
            router.apply_digest(digest, ms(0));
        }
        router.peers.use_digests(ms(0));
    };
    // With few peers, digests are frequent: memory that appears free is free.
    apply_digests(&mut router, 0..10);
    let mut first = admit_request(&mut router, "/text/a", ms(0));
    let plan = router.plan(&mut first, ms(0)).unwrap();
    assert_eq!(*plan.target, *"near-0");
    // With many peers, digests are rare: the fast target may be filling up meanwhile.
    apply_digests(&mut router, 10..60);
    let mut second = admit_request(&mut router, "/text/a", ms(0));
    let plan = router.plan(&mut second, ms(0)).unwrap();
    assert_eq!(*plan.target, *"near-2");
}

#[test]
fn instances_share_the_connections_that_a_target_accepts() {
    let mut router = router();
    for peer in 0..60 {
        let digest = Digest {
            entry: format!("peer-{peer}"),
            ..Digest::default()
        };
        router.apply_digest(digest, ms(0));
    }
    router.peers.use_digests(ms(0));
    let mut request = admit_request(&mut router, "/text/a", ms(0));
    let plan = router.plan(&mut request, ms(0)).unwrap();
    assert!(
        (1..=100 / 61).contains(&plan.max_connections),
        "{}",
        plan.max_connections
    );
}

#[test]
fn a_target_gets_no_more_requests_than_it_has_slots() {
    let mut router = router();
    for id in ["near-0", "far-0"] {
        let mut target = router.fleet.get(&id.into()).cloned().unwrap();
        target.slots = 4;
        router.fleet.upsert(target, ms(0));
    }
    let mut first_hops = Vec::new();
    for _ in 0..20 {
        let mut request = admit_request(&mut router, "/text/a", ms(0));
        if let Ok(plan) = router.plan(&mut request, ms(0)) {
            first_hops.push(plan.target.to_string());
        }
    }
    let count = |id: &str| first_hops.iter().filter(|target| *target == id).count();
    assert_eq!((count("near-0"), count("far-0")), (4, 4));
}

#[test]
fn a_hop_reported_as_faulty_is_not_on_the_next_path() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/text/a", ms(0));
    let plan = router.plan(&mut request, ms(0)).unwrap();
    let at = router
        .fleet
        .get(&"near-1".into())
        .map(|target| target.address);
    let decision = router.finish_send(
        &mut request,
        &plan,
        Outcome::Failed(Failure::Broken, at),
        ms(1),
    );
    assert_eq!(decision, Decision::Again);
    let plan = router.plan(&mut request, ms(1)).unwrap();
    assert_eq!(&*plan.target, "far-0");
    // Other requests avoid the target too, until it has answered a probe.
    let mut other = admit_request(&mut router, "/text/a", ms(2));
    assert_eq!(&*router.plan(&mut other, ms(2)).unwrap().target, "far-0");
    assert_eq!(router.tracker.take_due_probes(ms(2)), ["near-1".into()]);
    router.tracker.record_probe(&"near-1".into(), true, ms(3));
    let mut other = admit_request(&mut router, "/text/a", ms(4));
    assert_eq!(&*router.plan(&mut other, ms(4)).unwrap().target, "near-0");
}

#[test]
fn a_request_goes_to_the_less_loaded_target_and_a_plan_is_invalid_once_its_target_drains() {
    let mut router = router();
    let mut first = admit_request(&mut router, "/seal/a", ms(0));
    let plan = router.plan(&mut first, ms(0)).unwrap();
    assert_eq!(&*plan.target, "ledger-0");
    let mut second = admit_request(&mut router, "/seal/a", ms(0));
    assert_eq!(
        &*router.plan(&mut second, ms(0)).unwrap().target,
        "ledger-1"
    );
    assert!(router.is_plan_valid(&plan, ms(0)));
    let mut draining = router.fleet.get(&"ledger-0".into()).cloned().unwrap();
    draining.draining = true;
    router.fleet.upsert(draining, ms(1));
    assert!(!router.is_plan_valid(&plan, ms(0)));
}

#[test]
fn the_priority_of_a_workspace_overrides_that_of_the_route() {
    let mut router = router();
    let mut configuration = Configuration::clone(router.configuration().unwrap());
    configuration.version = 2;
    let mut route = Route::clone(&configuration.routes[1]);
    route.public = false;
    configuration.routes.push(Arc::new(Route {
        prefix: "/own/".to_owned(),
        ..route
    }));
    let owners = [("ranked", Some(4)), ("plain", None)].map(|(key, priority)| {
        let owner = Owner {
            workspace: key.into(),
            priority,
        };
        (key.to_owned(), Arc::new(owner))
    });
    configuration.access = Access::Keyed(owners.into());
    router.set_configuration(Arc::new(configuration), ms(0));
    let mut priority = |key: &str| {
        let head = Head {
            host: "h".to_owned(),
            path: "/own/a".to_owned(),
            key: Some(key.to_owned()),
            ..Head::default()
        };
        router.admit(&head, ms(0)).unwrap().priority
    };
    assert_eq!((priority("ranked"), priority("plain")), (4, 1));
}

#[test]
fn a_request_past_its_deadline_is_refused_at_once() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/seal/a", ms(0));
    let refusal = router.plan(&mut request, ms(9_998)).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::DeadlinePassed, Ran::No));
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/seal/a", ms(0));
    let plan = router.plan(&mut request, ms(0)).unwrap();
    let decision = router.finish_send(
        &mut request,
        &plan,
        Outcome::Failed(Failure::Broken, None),
        ms(1),
    );
    assert_eq!(decision, Decision::End(Code::TargetFailed));
    for code in [
        Code::NoPath,
        Code::TargetRefused,
        Code::DeadlinePassed,
        Code::TargetFailed,
    ] {
        let refusal = router.refusal(&request, code);
        assert_eq!((refusal.ran, refusal.retry_after), (Ran::Unknown, None));
        assert!([502, 504].contains(&refusal.code.status()));
    }
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut router = router();
    let configuration = |version| {
        Arc::new(Configuration {
            version,
            ..Configuration::default()
        })
    };
    assert!(router.set_configuration(configuration(5), ms(100)));
    assert!(!router.set_configuration(configuration(4), ms(900)));
    assert_eq!(
        router
            .configuration()
            .map(|configuration| configuration.version),
        Some(5)
    );
    // An older configuration does not confirm the present one.
    assert_eq!(router.configuration_age(ms(1_000)), Some(ms(900)));
    assert!(!router.set_configuration(configuration(5), ms(950)));
    assert_eq!(router.configuration_age(ms(1_000)), Some(ms(50)));
}

/// Fails all targets at an instance, as when its own links are cut, and lets its probes fail.
fn cut_off(router: &mut Router, now: Duration) {
    let targets: Vec<_> = router
        .fleet
        .targets()
        .map(|target| target.id.clone())
        .collect();
    for target in &targets {
        router.record_silence(target, now);
        router.tracker.record_failure(target, now, true);
    }
    for target in router.take_due_probes(now + ms(1)) {
        router.record_silence(&target, now + ms(401));
        router.tracker.record_probe(&target, false, now + ms(401));
    }
}

#[test]
fn an_instance_that_reaches_no_target_takes_none_from_its_peers() {
    let (mut cut, mut sound) = (router(), router());
    cut_off(&mut cut, ms(1_000));
    let digest = Digest {
        entry: "cut".to_owned(),
        sequence: 1,
        ..cut.digest(ms(1_500))
    };
    sound.apply_digest(digest, ms(1_500));
    let mut request = admit_request(&mut sound, "/text/a", ms(1_501));
    let plan = sound.plan(&mut request, ms(1_501)).unwrap();
    assert_eq!(&*plan.target, "near-0");
    assert!(!sound.tracker.is_unresponsive(&"near-0".into(), ms(1_501)));
}

#[test]
fn a_target_that_says_that_it_leaves_gets_nothing_more() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/text/a", ms(0));
    let plan = router.plan(&mut request, ms(0)).unwrap();
    assert_eq!(&*plan.target, "near-0");
    assert!(router.fleet.record_leaving(&plan.target, plan.chosen_at));
    // A request that was planned and not sent, and one that runs its second half there.
    assert!(!router.is_plan_valid(&plan, ms(1)));
    for _ in 0..3 {
        let mut request = admit_request(&mut router, "/text/a", ms(1));
        let plan = router.plan(&mut request, ms(1)).unwrap();
        assert_eq!(&*plan.target, "far-0");
    }
    // Its word stands against an older and a newer record of the same incarnation.
    let record = router.fleet.get(&"near-0".into()).unwrap().clone();
    let record = Target {
        draining: false,
        sequence: 9,
        ..record
    };
    router.fleet.upsert(record.clone(), ms(2));
    assert!(router.fleet.get(&"near-0".into()).unwrap().draining);
    // A new incarnation is another target, of which an earlier response says nothing.
    let restarted = Target {
        started_ms: 2,
        sequence: 1,
        ..record
    };
    router.fleet.upsert(restarted, ms(3));
    assert!(!router.fleet.record_leaving(&"near-0".into(), ms(1)));
    assert!(!router.fleet.get(&"near-0".into()).unwrap().draining);
}

#[test]
fn requests_are_refused_at_once_when_every_holder_of_a_layer_leaves() {
    let mut router = router();
    for target in ["near-1", "far-1"] {
        router.fleet.record_leaving(&target.into(), ms(0));
    }
    let mut request = admit_request(&mut router, "/text/a", ms(1));
    let refusal = router.plan(&mut request, ms(1)).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::NoPath, Ran::No));
    assert_eq!(refusal.retry_after, Some(ms(2_500)));
    assert!(!router.may_wait_for_memory(&request, &refusal, ms(1)));
}

#[test]
fn a_target_that_asks_for_time_gets_nothing_until_it_is_over() {
    for path in ["/text/a", "/seal/a"] {
        let mut router = router();
        let mut request = admit_request(&mut router, path, ms(0));
        let plan = router.plan(&mut request, ms(0)).unwrap();
        router
            .tracker
            .record_closed(&plan.target, ms(2_000), ms(10));
        assert!(!router.is_plan_valid(&plan, ms(10)));
        assert!(router.is_plan_valid(&plan, ms(2_010)));
        // A request that fails there meanwhile, or a suspicion, asks nothing of it either.
        router.tracker.record_failure(&plan.target, ms(11), true);
        assert!(router.take_due_probes(ms(2_009)).is_empty());
        for _ in 0..3 {
            let mut request = admit_request(&mut router, path, ms(1_000));
            let other = router.plan(&mut request, ms(1_000)).unwrap();
            assert_ne!(other.target, plan.target);
        }
        assert_eq!(router.take_due_probes(ms(2_010)), [plan.target]);
    }
}

#[test]
fn callers_are_told_when_the_first_target_takes_requests_again() {
    let mut router = router();
    router
        .tracker
        .record_closed(&"ledger-0".into(), ms(3_000), ms(0));
    router
        .tracker
        .record_closed(&"ledger-1".into(), ms(1_000), ms(0));
    let mut waits = Vec::new();
    for _ in 0..20 {
        let mut request = admit_request(&mut router, "/seal/a", ms(200));
        let refusal = router.plan(&mut request, ms(200)).unwrap_err();
        assert_eq!((refusal.code, refusal.ran), (Code::NoTarget, Ran::No));
        waits.push(refusal.retry_after.unwrap());
    }
    let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    assert!(*least >= ms(800) && *most <= ms(1_200), "{waits:?}");
    assert!(*most - *least > ms(100), "{waits:?}");
    let mut request = admit_request(&mut router, "/seal/a", ms(1_000));
    assert_eq!(
        &*router.plan(&mut request, ms(1_000)).unwrap().target,
        "ledger-1"
    );
    // A target that was started anew does not know of the time that its predecessor asked for.
    router.tracker.reset_health(&"ledger-0".into());
    assert!(!router.tracker.is_closed(&"ledger-0".into(), ms(1_000)));
}

/// Guards against random numbers that a test can't repeat, as from a generator seeded by the process.
#[test]
fn the_same_seed_gives_the_same_spread_of_waits() {
    let waits = || {
        let mut router = router();
        for target in ["ledger-0", "ledger-1"] {
            let id = target.into();
            router.tracker.record_closed(&id, ms(1_000), ms(0));
        }
        let mut wait = || {
            let mut request = admit_request(&mut router, "/seal/a", ms(200));
            router.plan(&mut request, ms(200)).unwrap_err().retry_after
        };
        [wait(), wait(), wait()]
    };
    let first = waits();
    assert_eq!(first, waits());
    assert!(first[0] != first[1] || first[1] != first[2], "{first:?}");
}

#[test]
fn a_target_without_permits_gets_no_request_and_still_runs_what_passes_through() {
    let mut router = router();
    let near = router.fleet.get(&"near-0".into()).unwrap().clone();
    let other = Target {
        id: "near-2".into(),
        address: "127.0.0.1:99".parse().unwrap(),
        span: Span { from: 0, to: 1 },
        ..near
    };
    router.fleet.upsert(other, ms(0));
    let mut request = admit_request(&mut router, "/text/a", ms(0));
    let plan = router.plan(&mut request, ms(0)).unwrap();
    assert_eq!(&*plan.target, "near-0");
    let outcome = Outcome::Failed(Failure::Limited, None);
    router.tracker.record_limited(&plan.target, ms(300), ms(0));
    let decision = router.finish_send(&mut request, &plan, outcome, ms(0));
    assert_eq!((decision, request.counts.sends), (Decision::Again, 0));
    let plan = router.plan(&mut request, ms(100)).unwrap();
    let hops = plan.path().unwrap().0.hops();
    let hops: Vec<&str> = hops.iter().map(|hop| &*hop.target).collect();
    assert_eq!(hops, ["near-2", "near-0", "near-1"]);
    // A permit that a request has holds whatever became of later ones.
    assert!(router.is_plan_valid(&plan, ms(100)));
    router.tracker.clear_limited(&"near-0".into());
    let mut request = admit_request(&mut router, "/text/a", ms(101));
    let plan = router.plan(&mut request, ms(101)).unwrap();
    assert_eq!(&*plan.target, "near-0");
}

#[test]
fn callers_are_refused_at_once_when_the_limits_of_all_targets_are_used_up() {
    for path in ["/text/a", "/seal/a"] {
        let mut router = router();
        let ids: Vec<_> = router
            .fleet
            .targets()
            .map(|target| target.id.clone())
            .collect();
        for id in ids {
            router.tracker.record_limited(&id, ms(400), ms(0));
        }
        let mut waits = Vec::new();
        for _ in 0..20 {
            let mut request = admit_request(&mut router, path, ms(100));
            let refusal = router.plan(&mut request, ms(100)).unwrap_err();
            assert_eq!((refusal.code.status(), refusal.ran), (503, Ran::No));
            assert!(!router.may_wait_for_memory(&request, &refusal, ms(100)));
            waits.push(refusal.retry_after.unwrap());
        }
        let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
        assert!(*least >= ms(300) && *most <= ms(450), "{waits:?}");
        assert!(*most - *least > ms(50), "{waits:?}");
    }
}
