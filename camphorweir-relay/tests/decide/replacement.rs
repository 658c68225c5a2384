//! Sends beside one whose target is silent.

use {
    crate::router::{admit_request, router},
    camphorweir_relay::{
        fleet::Target,
        progress::Progress,
        replacement::{SILENCE_PATIENCE, Step},
        retry::{Decision, Failure},
        router::{Admission, Outcome, Plan, Router},
        span::Span,
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(1);
const DONE: Outcome = Outcome::Answered { is_success: true };

/// A stream that is being answered, and the address of its last hop.
fn begun(router: &mut Router) -> (Admission, Plan, SocketAddr) {
    let mut request = admit_request(router, "/text/a", NOW);
    let plan = router.plan(&mut request, NOW).unwrap();
    request.progress = Progress::Begun(NOW);
    let (_, addresses) = plan.path().unwrap();
    let silent = *addresses.last().unwrap();
    (request, plan, silent)
}

fn is_idle(router: &Router) -> bool {
    let targets: Vec<_> = router.fleet.targets().collect();
    let mut states = targets
        .iter()
        .map(|target| router.tracker.state(&target.id));
    states.all(|state| (state.in_flight, state.streams, state.token_layers) == (0, 0, 0.0))
}

/// Spends the retry budget; returns the retries that were left.
fn spend_budget(router: &mut Router) -> usize {
    let mut retries = 0;
    for _ in 0..100 {
        for target in ["near-0", "near-1", "far-0", "far-1"] {
            router.tracker.reset_health(&target.into());
        }
        let (mut request, plan, silent) = begun(router);
        let failed = Outcome::Failed(Failure::Broken, Some(silent));
        let decision = router.finish_send(&mut request, &plan, failed, NOW);
        retries += usize::from(decision == Decision::Again);
    }
    for target in ["near-0", "near-1", "far-0", "far-1"] {
        router.tracker.reset_health(&target.into());
    }
    retries
}

#[test]
fn a_silent_target_of_a_request_that_may_run_once_is_suspected_late_and_never_replaced() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/seal/a", NOW);
    let plan = router.plan(&mut request, NOW).unwrap();
    let step = |router: &mut Router, asked_for| router.replacement_step(&request, asked_for, NOW);
    assert_eq!(step(&mut router, Duration::ZERO), Step::Wait);
    assert_eq!(step(&mut router, SILENCE_PATIENCE), Step::Suspect);
    let replacement = router.replacement_begin(&request, &plan, plan.address, NOW);
    assert!(replacement.is_none());
}

#[test]
fn without_a_retry_left_a_silent_stream_stays_where_it_is() {
    let mut router = router();
    let (request, plan, silent) = begun(&mut router);
    let step = router.replacement_step(&request, Duration::ZERO, NOW);
    assert_eq!(step, Step::Seek);
    let mut begun_before = router
        .replacement_begin(&request, &plan, silent, NOW)
        .unwrap();
    spend_budget(&mut router);
    let step = router.replacement_step(&request, Duration::ZERO, NOW);
    assert_eq!(step, Step::Wait);
    let there = router.plan(&mut begun_before.request, NOW).unwrap();
    assert!(!router.replacement_charge(&mut begun_before, &there, NOW));
    let mut request = request;
    begun_before.settle(&mut request);
    assert_eq!((request.counts.sends, request.counts.runs), (1, 0));
    router.finish_send(&mut request, &plan, DONE, NOW);
    assert!(is_idle(&router));
}

#[test]
fn a_stream_that_goes_on_at_its_silent_target_counts_and_releases_each_send_once() {
    let mut router = router();
    let (mut request, plan, silent) = begun(&mut router);
    let mut other = router
        .replacement_begin(&request, &plan, silent, NOW)
        .unwrap();
    let first = router.plan(&mut other.request, NOW).unwrap();
    assert!(first.target.starts_with("far"));
    assert!(router.replacement_charge(&mut other, &first, NOW));
    // A refusal costs a send and no run.
    assert!(router.replacement_fail(&mut other, &first, (Failure::Refused, None), NOW));
    other.settle(&mut request);
    assert_eq!((request.counts.sends, request.counts.runs), (2, 0));
    let mut other = router
        .replacement_begin(&request, &plan, silent, NOW)
        .unwrap();
    router.tracker.reset_health(&first.target);
    let near = router.fleet.by_address(silent).unwrap().clone();
    let spare = Target {
        id: "near-2".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        ..near
    };
    router.fleet.upsert(spare, NOW);
    let second = router.plan(&mut other.request, NOW).unwrap();
    assert!(router.replacement_charge(&mut other, &second, NOW));
    router.replacement_cancel(&mut other, &second, true, NOW);
    other.settle(&mut request);
    assert_eq!((request.counts.sends, request.counts.runs), (3, 1));
    // One that was cancelled may have run, and its route allows two runs.
    let again = router.replacement_begin(&request, &plan, silent, NOW);
    assert!(again.is_none());
    router.finish_send(&mut request, &plan, DONE, NOW);
    assert!(is_idle(&router));
}

#[test]
fn a_send_elsewhere_that_takes_over_releases_the_silent_one() {
    for (failure, runs) in [(Failure::Broken, 1), (Failure::Refused, 0)] {
        let mut router = router();
        let (mut request, plan, silent) = begun(&mut router);
        let mut other = router
            .replacement_begin(&request, &plan, silent, NOW)
            .unwrap();
        let there = router.plan(&mut other.request, NOW).unwrap();
        assert!(router.replacement_charge(&mut other, &there, NOW));
        router.replacement_take_over(&mut request, &plan, other, (failure, Some(silent)), NOW);
        assert_eq!((request.counts.sends, request.counts.runs), (2, runs));
        assert!(!request.is_beside());
        router.finish_send(&mut request, &there, DONE, NOW);
        assert!(is_idle(&router));
    }
}

#[test]
fn what_a_silent_stream_reserves_is_free_for_its_replacement() {
    let mut router = router();
    let (request, plan, silent) = begun(&mut router);
    loop {
        let mut filler = admit_request(&mut router, "/text/a", NOW);
        if router.plan(&mut filler, NOW).is_err() {
            break;
        }
    }
    // Another target has the layers of the silent one; those before it are full.
    let near = router.fleet.by_address(silent).unwrap().clone();
    let spare = Target {
        id: "near-2".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        span: Span { from: 5, to: 10 },
        ..near
    };
    router.fleet.upsert(spare, NOW);
    let mut other = router
        .replacement_begin(&request, &plan, silent, NOW)
        .unwrap();
    let there = router.plan(&mut other.request, NOW).unwrap();
    assert_eq!(there.target, plan.target);
    let mut plain = admit_request(&mut router, "/text/a", NOW);
    assert!(router.plan(&mut plain, NOW).is_err());
}

/// Retries left after one send elsewhere has failed, and the silent one has ended.
fn left_after(failure: Option<Failure>, end: Outcome) -> usize {
    let mut router = router();
    let (mut request, plan, silent) = begun(&mut router);
    if let Some(failure) = failure {
        let mut other = router
            .replacement_begin(&request, &plan, silent, NOW)
            .unwrap();
        let there = router.plan(&mut other.request, NOW).unwrap();
        assert!(router.replacement_charge(&mut other, &there, NOW));
        assert!(router.replacement_fail(&mut other, &there, (failure, None), NOW));
        other.settle(&mut request);
    }
    router.finish_send(&mut request, &plan, end, NOW);
    spend_budget(&mut router)
}

/// Guards against a retry that is charged though nothing is sent, and then again for the next send.
#[test]
fn a_failed_send_elsewhere_is_charged_once() {
    for end in [DONE, Outcome::Failed(Failure::Broken, None)] {
        let none = left_after(None, end);
        assert!(none > 2, "{none}");
        for failure in [Failure::Refused, Failure::Unsent] {
            assert_eq!(
                left_after(Some(failure), end),
                none - 1,
                "{failure:?}, {end:?}"
            );
        }
    }
}

/// Guards against a run that is counted though nothing was sent.
#[test]
fn a_send_elsewhere_counts_as_run_only_if_it_has_left() {
    for has_left in [false, true] {
        let mut router = router();
        let (mut request, plan, silent) = begun(&mut router);
        let mut other = router
            .replacement_begin(&request, &plan, silent, NOW)
            .unwrap();
        let there = router.plan(&mut other.request, NOW).unwrap();
        assert!(router.replacement_charge(&mut other, &there, NOW));
        router.replacement_cancel(&mut other, &there, has_left, NOW);
        other.settle(&mut request);
        assert_eq!(request.counts.runs, u32::from(has_left));
        let failed = Outcome::Failed(Failure::Broken, None);
        let decision = router.finish_send(&mut request, &plan, failed, NOW);
        assert_eq!(decision == Decision::Again, !has_left);
        assert!(is_idle(&router));
    }
}
