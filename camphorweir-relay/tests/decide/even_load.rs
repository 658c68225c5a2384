//! Load of uneven targets, on knowledge that is some hundred ms old.

use {
    crate::router::{admit_request, router},
    camphorweir_relay::{
        configuration::Hardware,
        ids::{TargetId, Time, ids_tag},
        retry::Failure,
        router::{Outcome, Router},
    },
    camphorweir_wire::{
        codec,
        digest::{Datagram, Digest, Failing, Scope, Summary},
    },
    std::{sync::Arc, time::Duration},
};

/// Largest datagram that the gossip sends.
const MAX_DATAGRAM_BYTES: usize = 1_400;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The router of the other tests, for a service with a kind of hardware that is 20 times as slow, which 77
/// peers use too.
fn uneven_router() -> Router {
    let mut router = lone_router();
    let peers = Summary {
        scope: Scope::TargetsOf("far".to_owned()),
        ..summary(1, Vec::new())
    };
    router.apply_summary(peers, ms(0));
    router
}

/// The same without any peer.
fn lone_router() -> Router {
    let mut router = router();
    let mut configuration = (**router.configuration().unwrap()).clone();
    configuration.version += 1;
    let service = configuration.services.get_mut("scribe").unwrap();
    let slow = Hardware {
        memory_mb: 2_000.0,
        step_factor: 20.0,
        prompt_factor: 1.0,
    };
    let engine = service.engine.as_mut().unwrap();
    engine.hardware.insert("slow".to_owned(), slow);
    router.set_configuration(Arc::new(configuration), ms(0));
    router
}

/// Sends a request that its target rejects for lack of memory.
fn reject(router: &mut Router, now: Time) -> TargetId {
    let mut request = admit_request(router, "/text/a", now);
    let plan = router.plan(&mut request, now).unwrap();
    let outcome = Outcome::Failed(Failure::Refused, None);
    router.finish_send(&mut request, &plan, outcome, now);
    plan.target
}

fn digest(router: &Router, sequence: u64, now: Time) -> Digest {
    Digest {
        entry: "peer".to_owned(),
        sequence,
        ..router.digest(now)
    }
}

fn summary(sequence: u64, failing: Vec<Failing>) -> Summary {
    Summary {
        entry: "aggregator".to_owned(),
        scope: Scope::TargetsOf("near".to_owned()),
        parts: 1,
        entries: 78,
        sequence,
        failing,
        ..Summary::default()
    }
}

/// Guards against a full target that each of 78 instances learns of by a rejection of its own.
#[test]
fn peers_avoid_a_target_that_rejected_a_send() {
    let mut router = uneven_router();
    let full = reject(&mut router, ms(1_000));
    let report = digest(&router, 1, ms(1_050));
    let expected = Failing {
        target: ids_tag(&full),
        excluded_ms: 250,
        unresponsive: false,
    };
    assert_eq!(report.failing, [expected]);
    let mut peer = uneven_router();
    peer.apply_digest(report, ms(1_060));
    assert!(peer.tracker.is_avoided(&full, ms(1_309)));
    assert!(!peer.tracker.is_avoided(&full, ms(1_310)));
    assert!(!peer.tracker.is_excluded(&full, ms(1_061)));
    // A stream that ends frees memory; the report ends with the time that takes.
    assert!(digest(&router, 2, ms(1_300)).failing.is_empty());
}

/// Guards against instances that renew each other's reports of a full target without end.
#[test]
fn a_report_of_a_full_target_is_not_passed_on() {
    let mut router = uneven_router();
    reject(&mut router, ms(1_000));
    let mut peer = uneven_router();
    peer.apply_digest(digest(&router, 1, ms(1_000)), ms(1_001));
    assert!(digest(&peer, 1, ms(1_002)).failing.is_empty());
}

/// Guards against other datagrams than before where hardware is alike.
#[test]
fn rejections_are_not_reported_where_targets_are_alike() {
    let mut router = router();
    let full = reject(&mut router, ms(1_000));
    assert!(router.tracker.is_avoided(&full, ms(1_050)));
    assert!(digest(&router, 1, ms(1_050)).failing.is_empty());
}

/// Guards against a restarted, empty target that is still reported as full.
#[test]
fn a_restart_ends_the_report() {
    let mut router = uneven_router();
    let full = reject(&mut router, ms(1_000));
    router.tracker.reset_health(&full);
    assert!(digest(&router, 1, ms(1_001)).failing.is_empty());
}

/// Guards against a busy target that stays unresponsive by an old report, since rejections keep it on
/// the list of failing targets.
#[test]
fn a_target_that_is_only_full_responds_again() {
    for (is_uneven, mut router) in [(true, uneven_router()), (false, router())] {
        let failing = |unresponsive| Failing {
            target: ids_tag("near-0"),
            excluded_ms: 200,
            unresponsive,
        };
        let target: TargetId = "near-0".into();
        router.apply_summary(summary(1, vec![failing(true)]), ms(1_000));
        assert!(router.tracker.is_unresponsive(&target, ms(1_001)));
        router.apply_summary(summary(2, vec![failing(false)]), ms(1_200));
        assert_ne!(
            router.tracker.is_unresponsive(&target, ms(1_201)),
            is_uneven
        );
    }
}

/// Guards against a digest that exceeds a datagram, and so is not sent, while many targets are full.
#[test]
fn many_full_targets_leave_room_in_the_datagram() {
    let mut router = uneven_router();
    let template = router.fleet.get(&"near-0".into()).unwrap().clone();
    for index in 0..90 {
        let mut target = template.clone();
        target.id = format!("target-{index}").into();
        target.address.set_port(1_000 + index);
        router.fleet.upsert(target, ms(0));
        let id: TargetId = format!("target-{index}").into();
        router
            .tracker
            .record_full(&id, ms(1_000 + u64::from(index)), false);
    }
    let digest = digest(&router, 1, ms(1_100));
    assert_eq!(digest.failing.len(), 16);
    // The newest rejections are listed.
    assert!(
        digest
            .failing
            .iter()
            .all(|failing| failing.excluded_ms > 270)
    );
    assert!(codec::encode(&Datagram::Digest(digest)).len() < MAX_DATAGRAM_BYTES);
}

/// Guards against a gauge that hides a full target behind a mean, or shows what is known as projected.
#[test]
fn utilization_is_shown_as_known_and_as_projected() {
    let mut router = uneven_router();
    let load = |memory| camphorweir_wire::digest::Load {
        target: ids_tag("near-0"),
        streams: 1,
        first_stage: 1,
        memory,
    };
    for (sequence, memory, at) in [(1, 1, 1_000), (2, 2, 1_200)] {
        let summary = Summary {
            loads: vec![load(memory)],
            ..summary(sequence, Vec::new())
        };
        router.apply_summary(summary, ms(at));
    }
    let zones = router.zone_utilization(ms(1_300));
    let near = zones["near"];
    assert!(near.known.busiest > 0.0);
    assert!((near.known.mean * 2.0 - near.known.busiest).abs() < 1e-9);
    assert!((near.projected.busiest / near.known.busiest - 1.25).abs() < 1e-9);
    assert!(router.zone_utilization(ms(1_300))["far"].known.busiest < 1e-9);
}

/// Guards against 78 instances that all choose the same plain target, and against a choice that differs
/// from the cheapest where no peer is known.
#[test]
fn plain_targets_are_chosen_by_their_free_slots() {
    let mut router = lone_router();
    let mut configuration = (**router.configuration().unwrap()).clone();
    configuration.version += 1;
    let service = configuration.services.get_mut("scribe").unwrap();
    service.engine.as_mut().unwrap().layers = 0;
    router.set_configuration(Arc::new(configuration), ms(0));
    let count = |router: &mut Router| {
        let mut counts = std::collections::BTreeMap::new();
        for index in 0..400 {
            let mut request = admit_request(router, "/text/a", ms(1_000));
            request.id = format!("request-{index}").into();
            let plan = router.plan(&mut request, ms(1_000)).unwrap();
            *counts.entry(plan.target.to_string()).or_insert(0) += 1;
            router.finish_send(&mut request, &plan, Outcome::Cancelled, ms(1_000));
        }
        counts
    };
    assert_eq!(count(&mut router).len(), 1);
    // Six instances know each other's load well, and are served as before.
    let few = Summary {
        entries: 6,
        ..summary(0, Vec::new())
    };
    router.apply_summary(few, ms(900));
    assert_eq!(count(&mut router).len(), 1);
    let busy = camphorweir_wire::digest::Load {
        target: ids_tag("near-0"),
        streams: 60,
        first_stage: 60,
        memory: 0,
    };
    let summary = Summary {
        loads: vec![busy],
        ..summary(1, Vec::new())
    };
    router.apply_summary(summary, ms(1_000));
    let counts = count(&mut router);
    assert!(
        counts["near-1"] > 150 && counts["near-1"] < 300,
        "{counts:?}"
    );
    assert!(
        counts.get("near-0").is_none_or(|near| *near < 40),
        "{counts:?}"
    );
}
