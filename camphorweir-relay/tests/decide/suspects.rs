//! Requests under which targets ended.

use {
    camphorweir_relay::{
        fleet::Target,
        ids::Time,
        span::Span,
        suspects::{Broken, Suspects},
    },
    camphorweir_wire::crash::Suspect,
    std::{net::SocketAddr, time::Duration},
};

const CRASHING: u64 = 7;
const SOUND: u64 = 8;

fn s(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn target(index: u16) -> Target {
    Target {
        id: format!("t{index}").into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], index)),
        zone: "z".into(),
        started_ms: 1,
        sequence: 1,
        slots: 1,
        draining: false,
        hardware: None,
        span: Span::default(),
    }
}

/// A request breaks off that was sent at `since`.
fn lose(suspects: &mut Suspects, fingerprint: u64, target: &Target, since: Time, now: Time) {
    let broken = Broken {
        fingerprint,
        prompt_parts: &[],
        since,
        is_waiting: false,
    };
    suspects.record_loss(&broken, target, now);
}

/// A request is sent to a target that ends then.
fn crash(suspects: &mut Suspects, fingerprint: u64, index: u16, now: Time) -> bool {
    let target = target(index);
    lose(suspects, fingerprint, &target, now, now);
    !suspects.record_end(&target.id, now).is_empty()
}

/// A request with these parts of a prompt is sent to a target that ends then; `is_waiting` if it may not
/// have been begun to be answered.
fn crash_parts(
    suspects: &mut Suspects,
    fingerprint: u64,
    prompt_parts: &[u64],
    is_waiting: bool,
    (index, now): (u16, Time),
) {
    let target = target(index);
    let broken = Broken {
        fingerprint,
        prompt_parts,
        since: now,
        is_waiting,
    };
    suspects.record_loss(&broken, &target, now);
    suspects.record_end(&target.id, now);
}

fn is_quarantined(suspects: &Suspects, now: Time) -> bool {
    suspects.quarantine_left(CRASHING, now).is_some()
}

/// All that an instance has to report at a moment.
fn reports(suspects: &Suspects, now: Time) -> Vec<Suspect> {
    let news = suspects.news(now).into_iter();
    news.map(|(suspect, _)| suspect).collect()
}

/// What of it all instances have to know.
fn shared(suspects: &Suspects, now: Time) -> Vec<Suspect> {
    let news = suspects.news(now).into_iter();
    let shared = news.filter(|(_, scope)| scope.is_shared);
    shared.map(|(suspect, _)| suspect).collect()
}

#[test]
fn a_request_under_which_three_targets_ended_in_turn_is_quarantined_for_a_while() {
    let mut suspects = Suspects::default();
    assert!(!crash(&mut suspects, CRASHING, 1, s(0)));
    assert!(!crash(&mut suspects, CRASHING, 2, s(3)));
    assert!(!is_quarantined(&suspects, s(3)));
    assert!(crash(&mut suspects, CRASHING, 3, s(5)));
    assert_eq!(suspects.quarantine_left(CRASHING, s(5)), Some(s(120)));
    assert!(is_quarantined(&suspects, s(124)));
    assert!(!is_quarantined(&suspects, s(125)));
    assert!(suspects.quarantine_left(SOUND, s(5)).is_none());
    // It runs again after that, and is quarantined for longer if it ends another.
    crash(&mut suspects, CRASHING, 4, s(200));
    assert_eq!(suspects.quarantine_left(CRASHING, s(200)), Some(s(240)));
    suspects.record_success(CRASHING, &[], s(450));
    crash(&mut suspects, CRASHING, 5, s(500));
    assert!(!is_quarantined(&suspects, s(500)));
}

#[test]
fn what_breaks_off_at_targets_that_live_on_is_no_suspect() {
    let mut suspects = Suspects::default();
    for index in 1..9 {
        let target = target(index);
        lose(&mut suspects, CRASHING, &target, s(0), s(0));
        assert_eq!(suspects.take_due_checks(s(0)), [target.id.clone()].into());
        suspects.record_alive(&target.id);
        assert!(suspects.record_end(&target.id, s(1)).is_empty());
    }
    assert!(!is_quarantined(&suspects, s(1)));
    assert!(reports(&suspects, s(0)).is_empty());
}

#[test]
fn a_target_that_ends_long_after_a_request_broke_off_did_not_end_under_it() {
    let mut suspects = Suspects::default();
    for index in 1..5 {
        let target = target(index);
        lose(&mut suspects, CRASHING, &target, s(0), s(0));
        suspects.record_end(&target.id, s(60));
    }
    assert!(reports(&suspects, s(60)).is_empty());
}

#[test]
fn a_target_in_the_place_of_another_shows_that_it_ended() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, CRASHING, 9, s(0));
    let (first, second) = (target(1), target(2));
    lose(&mut suspects, CRASHING, &first, s(1), s(1));
    lose(&mut suspects, CRASHING, &second, s(2), s(2));
    // The record of the incarnation that broke the request off says nothing.
    let start = |suspects: &mut Suspects, id: &str, target: &Target, started_ms| {
        suspects.record_start(&id.into(), target.address, started_ms, s(3))
    };
    assert!(start(&mut suspects, "t1", &first, 1).is_empty());
    // Another name at the same address, and the same name again.
    assert!(start(&mut suspects, "t8", &first, 5).is_empty());
    let quarantined = start(&mut suspects, "t2", &second, 5);
    assert_eq!(quarantined[0].fingerprint, CRASHING);
    assert!(is_quarantined(&suspects, s(3)));
}

#[test]
fn a_request_that_succeeds_is_cleared_of_the_crashes_before() {
    let mut suspects = Suspects::default();
    for index in 1..20 {
        crash(&mut suspects, CRASHING, index, s(index.into()));
        if index % 2 == 0 {
            suspects.record_success(CRASHING, &[], s(index.into()));
        }
        assert!(!is_quarantined(&suspects, s(index.into())));
    }
}

#[test]
fn a_request_that_succeeds_before_its_target_is_known_to_have_ended_is_no_suspect() {
    let mut suspects = Suspects::default();
    for index in 1..9 {
        let target = target(index);
        lose(&mut suspects, CRASHING, &target, s(0), s(0));
        suspects.record_success(CRASHING, &[], s(0));
        suspects.record_end(&target.id, s(1));
    }
    assert!(reports(&suspects, s(1)).is_empty());
}

#[test]
fn crashes_that_different_instances_saw_add_up_and_one_crash_counts_once() {
    let mut keeper = Suspects::default();
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    for at in [s(0), s(1)] {
        let index = 1 + at.as_secs() as u16;
        crash(&mut one, CRASHING, index, at);
        crash(&mut other, CRASHING, index, at);
        keeper.apply_report(&reports(&one, at), at);
        keeper.apply_report(&reports(&other, at), at);
    }
    assert!(!is_quarantined(&keeper, s(1)));
    let mut third = Suspects::default();
    crash(&mut third, CRASHING, 3, s(2));
    let quarantined = keeper.apply_report(&reports(&third, s(2)), s(2));
    assert_eq!(quarantined[0].crashes, 3);
    // All instances learn of it, and one that missed the news later.
    one.apply_report(&shared(&keeper, s(2)), s(2));
    assert!(is_quarantined(&one, s(2)));
    let mut late = Suspects::default();
    late.apply_report(&keeper.quarantined(s(100)), s(3_600));
    assert_eq!(late.quarantine_left(CRASHING, s(3_600)), Some(s(22)));
}

#[test]
fn a_success_reaches_those_who_keep_account() {
    let (mut seen, mut keeper) = (Suspects::default(), Suspects::default());
    crash(&mut seen, CRASHING, 1, s(0));
    crash(&mut seen, CRASHING, 2, s(1));
    keeper.apply_report(&reports(&seen, s(1)), s(1));
    seen.record_success(CRASHING, &[], s(2));
    keeper.apply_report(&reports(&seen, s(2)), s(2));
    crash(&mut keeper, CRASHING, 3, s(3));
    assert!(!is_quarantined(&keeper, s(3)));
}

#[test]
fn a_success_anywhere_clears_a_request_under_which_two_targets_ended() {
    let (mut seen, mut elsewhere) = (Suspects::default(), Suspects::default());
    crash(&mut seen, CRASHING, 1, s(0));
    assert!(shared(&seen, s(0)).is_empty());
    crash(&mut seen, CRASHING, 2, s(1));
    elsewhere.apply_report(&shared(&seen, s(1)), s(1));
    elsewhere.record_success(CRASHING, &[], s(2));
    seen.apply_report(&shared(&elsewhere, s(2)), s(2));
    crash(&mut seen, CRASHING, 3, s(3));
    assert!(!is_quarantined(&seen, s(3)));
}

#[test]
fn suspects_are_kept_apart_from_each_other_and_from_nothing_else() {
    let mut suspects = Suspects::default();
    crash(&mut suspects, CRASHING, 1, s(0));
    crash(&mut suspects, SOUND, 1, s(0));
    let (second, third) = (target(2).id, target(3).id);
    suspects.start(CRASHING, &second);
    suspects.start(99, &third);
    assert_eq!(
        suspects.targets_of_others(SOUND),
        std::slice::from_ref(&second)
    );
    assert!(suspects.targets_of_others(CRASHING).is_empty());
    assert!(suspects.targets_of_others(99).is_empty());
    suspects.end(CRASHING, &second);
    assert!(suspects.targets_of_others(SOUND).is_empty());
}

#[test]
fn targets_that_end_while_a_request_runs_on_all_of_them_count_once_whoever_saw_it() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    let ms = Duration::from_millis;
    for index in 1..9 {
        let target = target(index);
        let (sent_at, at) = (ms(900 + u64::from(index)), ms(1_000 + u64::from(index)));
        let suspects = if index % 2 == 0 { &mut one } else { &mut other };
        lose(suspects, CRASHING, &target, sent_at, at);
        suspects.record_end(&target.id, at);
    }
    one.apply_report(&reports(&other, ms(1_010)), ms(1_010));
    assert!(!is_quarantined(&one, ms(1_010)));
    // One that is sent after another ended counts, however short the time.
    assert!(!crash(&mut one, CRASHING, 9, ms(1_012)));
    assert!(crash(&mut one, CRASHING, 10, ms(1_013)));
}

#[test]
fn only_the_first_to_know_of_a_quarantine_stores_it() {
    let (mut first, mut second) = (Suspects::default(), Suspects::default());
    for index in 1..4 {
        crash(&mut first, CRASHING, index, s(index.into()));
    }
    second.apply_report(&reports(&first, s(3)), s(3));
    assert_eq!(first.own_quarantines(s(3)).len(), 1);
    assert!(second.own_quarantines(s(3)).is_empty());
}

#[test]
fn the_number_of_requests_that_are_remembered_is_limited() {
    let mut suspects = Suspects::default();
    for index in 1..4 {
        crash(&mut suspects, CRASHING, index, s(index.into()));
    }
    for fingerprint in 100..10_000 {
        crash(&mut suspects, fingerprint, 3, s(4));
    }
    assert!(is_quarantined(&suspects, s(4)));
    assert!(reports(&suspects, s(4)).len() <= 4096);
}

const CRASHING_PART: u64 = 70;
const SOUND_PART: u64 = 80;

/// Ends one target after the other under requests with two parts, each of a content of its own if
/// `are_alike` is false; returns which of the parts are quarantined after each.
fn end_targets(
    suspects: &mut Suspects,
    count: u16,
    are_alike: bool,
    is_waiting: bool,
) -> Vec<(bool, bool)> {
    let ends = (1..=count).map(|index| {
        let at = s(100 + u64::from(index));
        let content = if are_alike {
            1
        } else {
            1_000 + u64::from(index)
        };
        let parts = [SOUND_PART, CRASHING_PART];
        crash_parts(suspects, content, &parts, is_waiting, (index, at));
        let is_quarantined = |part| suspects.quarantine_left(part, at).is_some();
        (is_quarantined(CRASHING_PART), is_quarantined(SOUND_PART))
    });
    ends.collect()
}

/// After how many ends the part at fault, and the sound one beside it, were quarantined.
fn quarantined_after(ends: &[(bool, bool)]) -> (Option<usize>, Option<usize>) {
    let first = |is_quarantined: fn(&(bool, bool)) -> bool| {
        let index = ends.iter().position(is_quarantined);
        index.map(|index| index + 1)
    };
    (first(|(crashing, _)| *crashing), first(|(_, sound)| *sound))
}

#[test]
fn a_part_under_which_three_targets_ended_is_quarantined() {
    let ends = end_targets(&mut Suspects::default(), 6, false, false);
    assert_eq!(quarantined_after(&ends), (Some(3), Some(3)));
}

#[test]
fn requests_that_wait_at_a_target_say_less_of_their_parts() {
    let ends = end_targets(&mut Suspects::default(), 12, false, true);
    assert_eq!(quarantined_after(&ends), (Some(6), Some(6)));
}

#[test]
fn a_part_that_only_one_content_had_is_not_told_from_it() {
    let mut suspects = Suspects::default();
    let ends = end_targets(&mut suspects, 9, true, false);
    assert_eq!(quarantined_after(&ends), (None, None));
    assert!(suspects.quarantine_left(1, s(109)).is_some());
}

#[test]
fn a_part_that_succeeded_shortly_before_takes_five() {
    let mut suspects = Suspects::default();
    suspects.record_success(9, &[SOUND_PART], s(99));
    let ends = end_targets(&mut suspects, 9, false, false);
    assert_eq!(quarantined_after(&ends), (Some(3), Some(5)));
    // Long before says nothing.
    let mut suspects = Suspects::default();
    suspects.record_success(9, &[SOUND_PART], s(80));
    let ends = end_targets(&mut suspects, 9, false, false);
    assert_eq!(quarantined_after(&ends), (Some(3), Some(3)));
}

#[test]
fn a_success_that_only_the_reporter_saw_counts_at_the_keeper() {
    let (mut reporter, mut keeper) = (Suspects::default(), Suspects::default());
    reporter.record_success(9, &[SOUND_PART], s(99));
    for index in 1..=4 {
        let at = s(100 + u64::from(index));
        let content = 1_000 + u64::from(index);
        let parts = [SOUND_PART, CRASHING_PART];
        crash_parts(&mut reporter, content, &parts, false, (index, at));
        keeper.apply_report(&reports(&reporter, at), at);
    }
    assert!(keeper.quarantine_left(CRASHING_PART, s(104)).is_some());
    assert!(keeper.quarantine_left(SOUND_PART, s(104)).is_none());
}

#[test]
fn a_success_ends_the_quarantine_of_a_part_everywhere() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    end_targets(&mut one, 3, false, false);
    other.apply_report(&shared(&one, s(103)), s(103));
    assert!(other.quarantine_left(SOUND_PART, s(103)).is_some());
    one.record_success(9, &[SOUND_PART], s(104));
    other.apply_report(&shared(&one, s(104)), s(104));
    assert!(other.quarantine_left(SOUND_PART, s(104)).is_none());
    assert!(other.quarantine_left(CRASHING_PART, s(104)).is_some());
}
