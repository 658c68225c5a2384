//! What a router does with requests that broke off as their targets ended.

use {
    crate::router::{admit_request, router},
    camphorweir_relay::{
        ids::{Fingerprint, Time},
        progress::Progress,
        retry::Failure,
        router::{Outcome, Router},
    },
    camphorweir_wire::{code::Code, outcome::Ran},
    std::time::Duration,
};

/// Part that all prompts of a test have.
const PART: Fingerprint = 70;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// How far the answer had come that breaks off at a time.
type Came = fn(Time) -> Progress;

/// A stream breaks off with its first target or, if `is_later_hop`, with another target of its path, which
/// ends then.
fn end_target(router: &mut Router, number: u64, came: Came, is_later_hop: bool) {
    let at = ms(1_000 * number);
    let mut stream = admit_request(router, "/text/a", at);
    stream.fingerprint = 1_000 + number;
    stream.prompt_parts = [PART, PART].into();
    let plan = router.plan(&mut stream, at).unwrap();
    stream.progress = came(at);
    let (path, addresses) = plan.path().unwrap();
    let hop = usize::from(is_later_hop);
    let ended = path.hops()[hop].target.clone();
    let broken = Outcome::Failed(Failure::Broken, is_later_hop.then(|| addresses[hop]));
    router.finish_send(&mut stream, &plan, broken, at);
    router.suspects.record_end(&ended, at);
    let mut target = router.fleet.get(&ended).unwrap().clone();
    target.started_ms += 1;
    router.fleet.upsert(target, at);
    router.tracker.reset_health(&ended);
}

fn is_refused(router: &mut Router, part: Fingerprint) -> bool {
    let now = ms(60_000);
    let mut stream = admit_request(router, "/text/a", now);
    stream.prompt_parts = [1, part].into();
    match router.plan(&mut stream, now) {
        Ok(_) => false,
        Err(refusal) => {
            assert_eq!((refusal.code, refusal.ran), (Code::CrashesTargets, Ran::No));
            assert!(refusal.retry_after.is_some());
            true
        }
    }
}

#[test]
fn a_part_of_prompts_is_judged_by_how_far_the_answers_had_come() {
    let cases: [(Came, bool, u64, bool); 9] = [
        (Progress::Begun, false, 2, false),
        (Progress::Begun, false, 3, true),
        (|_| Progress::Waiting, false, 5, false),
        (|_| Progress::Waiting, false, 6, true),
        (Progress::Answering, false, 5, false),
        (Progress::Answering, false, 6, true),
        // The first target of a path writes the answer.
        (Progress::Begun, true, 5, false),
        (Progress::Begun, true, 6, true),
        (|_| Progress::Settled, false, 12, false),
    ];
    for (came, is_later_hop, count, refused) in cases {
        let mut router = router();
        for number in 1..=count {
            end_target(&mut router, number, came, is_later_hop);
        }
        let case = format!("{:?}, later hop {is_later_hop}, {count} ends", came(ms(0)));
        assert_eq!(is_refused(&mut router, PART), refused, "{case}");
        assert!(!is_refused(&mut router, 71), "{case}");
    }
}

#[test]
fn a_request_that_ended_targets_is_refused_as_not_run_and_one_under_way_ends() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/seal/a", ms(0));
    request.fingerprint = 7;
    let mut under_way = request.clone();
    for at in [ms(1), ms(20), ms(50)] {
        let mut request = request.clone();
        let plan = router.plan(&mut request, at).unwrap();
        let broken = Outcome::Failed(Failure::Broken, None);
        router.finish_send(&mut request, &plan, broken, at);
        router.suspects.record_end(&plan.target, at);
        let mut target = router.fleet.get(&plan.target).unwrap().clone();
        target.started_ms += 1;
        router.fleet.upsert(target, at);
    }
    let refusal = router.plan(&mut request, ms(51)).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::CrashesTargets, Ran::No));
    assert_eq!(refusal.retry_after, Some(ms(120_000 - 1)));
    under_way.counts.runs = 1;
    let refusal = router.plan(&mut under_way, ms(51)).unwrap_err();
    assert_eq!(refusal.ran, Ran::Unknown);
    assert_eq!(refusal.retry_after, None);
    // Others are sent on.
    let mut other = admit_request(&mut router, "/seal/b", ms(51));
    other.fingerprint = 8;
    assert!(router.plan(&mut other, ms(51)).is_ok());
}

#[test]
fn a_target_that_asks_for_time_is_not_checked_after_a_request_broke_off() {
    let mut router = router();
    let mut request = admit_request(&mut router, "/seal/a", ms(0));
    let plan = router.plan(&mut request, ms(0)).unwrap();
    let broken = Outcome::Failed(Failure::Broken, None);
    router.finish_send(&mut request, &plan, broken, ms(1));
    router.tracker.record_closed(&plan.target, ms(5_000), ms(1));
    assert!(router.take_due_checks(ms(1)).is_empty());
    assert!(router.take_due_checks(ms(4_000)).is_empty());
    assert_eq!(router.take_due_checks(ms(5_001)).len(), 1);
}

#[test]
fn streams_that_broke_off_together_stay_in_their_zone() {
    let mut router = router();
    for fingerprint in 1..9 {
        let mut stream = admit_request(&mut router, "/text/a", ms(0));
        stream.fingerprint = fingerprint;
        let plan = router.plan(&mut stream, ms(0)).unwrap();
        let broken = Outcome::Failed(Failure::Broken, None);
        router.finish_send(&mut stream, &plan, broken, ms(1));
    }
    for target in ["near-0", "near-1", "far-0", "far-1"] {
        let target = target.into();
        router.tracker.record_probe(&target, true, ms(2));
    }
    // The callers send them again; each may still be at fault.
    for fingerprint in 1..9 {
        let mut stream = admit_request(&mut router, "/text/a", ms(2));
        stream.fingerprint = fingerprint;
        let plan = router.plan(&mut stream, ms(2)).unwrap();
        assert!(plan.target.starts_with("near"), "{}", plan.target);
    }
}
