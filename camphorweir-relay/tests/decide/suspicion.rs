//! Targets that do not respond, and may be sound.

use {
    crate::router::{admit_request, router},
    camphorweir_relay::{
        ids::TargetId,
        router::{Lack, Router},
        suspicion::MAX_SOUND_SILENCE,
        tracker::Tracker,
    },
    std::time::Duration,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn a_silent_target_is_unresponsive_once_its_silence_is_longer_than_a_sound_one() {
    let target = TargetId::from("t");
    let raised_at = ms(10_000);
    let bound = MAX_SOUND_SILENCE.as_millis() as u64;
    // How long it was silent when the suspicion was raised, when a probe failed, and what it shows.
    for (silent, probed, is_gone) in [
        (0, bound - 1, false),
        (0, bound, true),
        (600, bound - 601, false),
        (600, bound - 600, true),
        (bound, 1, true),
    ] {
        let mut tracker = Tracker::default();
        tracker.record_suspicion(&target, ms(silent), raised_at);
        assert!(tracker.is_excluded(&target, raised_at));
        let now = raised_at + ms(probed);
        tracker.record_probe(&target, false, now);
        let seen = tracker.is_unresponsive(&target, now);
        assert_eq!(seen, is_gone, "{silent} {probed}");
        tracker.record_absence(&target, now);
        assert!(tracker.is_unresponsive(&target, now));
        tracker.record_probe(&target, true, now);
        assert!(!tracker.is_excluded(&target, now));
    }
}

/// Guards against requests that wait for a target which has failed, as if it were only silent.
#[test]
fn a_target_that_failed_is_not_held_for_one_that_is_silent() {
    let (target, now) = (TargetId::from("t"), ms(10_000));
    let mut tracker = Tracker::default();
    tracker.record_suspicion(&target, ms(600), now);
    assert!(tracker.may_be_sound(&target, now));
    tracker.record_failure(&target, now + ms(1), true);
    assert!(!tracker.may_be_sound(&target, now + ms(1)));
    // The next probe without an answer is the proof.
    tracker.record_probe(&target, false, now + ms(2));
    assert!(tracker.is_unresponsive(&target, now + ms(2)));
}

/// A router by which the last hops of two zones were suspected after a silence of 600 ms, and what is known
/// of each since then.
fn silent(known: [&str; 2], now: Duration) -> Router {
    let mut router = router();
    for (target, known) in ["near-1", "far-1"].map(TargetId::from).iter().zip(known) {
        router.tracker.record_suspicion(target, ms(600), now);
        match known {
            "gone" => router.tracker.record_absence(target, now),
            "sound" => router.tracker.record_probe(target, true, now),
            "closed" => router.tracker.record_closed(target, ms(9_000), now),
            "removed" => drop(router.fleet.remove(target, now)),
            _ => {}
        }
    }
    router
}

#[test]
fn a_request_waits_for_silent_targets_only_while_they_may_be_sound() {
    let begun = ms(10_000);
    for (known, later, lack) in [
        (["silent", "silent"], 1, Some(Lack::Answer)),
        (["silent", "silent"], 1_500, Some(Lack::Targets)),
        (["silent", "gone"], 1, Some(Lack::Answer)),
        (["removed", "silent"], 1, Some(Lack::Answer)),
        (["gone", "gone"], 1, Some(Lack::Targets)),
        (["closed", "closed"], 1, Some(Lack::Targets)),
        (["silent", "sound"], 1, None),
    ] {
        let mut router = silent(known, begun);
        let now = begun + ms(later);
        let mut request = admit_request(&mut router, "/text/a", now);
        let Err(refusal) = router.plan(&mut request, now) else {
            assert_eq!(lack, None, "{known:?}");
            continue;
        };
        assert_eq!(request.lack, lack, "{known:?} {later}");
        // The objective is 500 ms, of which a quarter second is left for another try.
        let waits = [249, 250].map(|more| now + ms(more));
        let waits = waits.map(|now| router.may_wait_for_answer(&request, now));
        assert_eq!(waits, [lack == Some(Lack::Answer), false], "{known:?}");
        let is_late = refusal.retry_after > Some(ms(1_000));
        assert_eq!(is_late, lack == Some(Lack::Targets), "{known:?}");
    }
}

#[test]
fn a_request_waits_for_memory_rather_than_for_a_silent_target() {
    let mut router = silent(["silent", "sound"], ms(0));
    let mut last = admit_request(&mut router, "/text/a", ms(1));
    while router.plan(&mut last, ms(1)).is_ok() {
        last = admit_request(&mut router, "/text/a", ms(1));
    }
    assert_eq!(last.lack, Some(Lack::Memory));
}
