//! Permits to send to targets that name limits: one target's account, and who keeps it.

use {
    camphorweir_relay::permit::{
        Account, Answer, Candidate, Grantor, Question, Silences, permit_candidates,
    },
    std::time::Duration,
};

const SPAN: Duration = Duration::from_secs(4);
/// A time at which a grantor that started at 0 gives permits.
const START: u64 = 2_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn question(per_second: f64, number: u64) -> Question<'static> {
    Question {
        key: (7, 1),
        per_second,
        asker: "a",
        number,
        max_wait: Duration::ZERO,
        instances: 9,
        permitted: 9,
        is_out_of_turn: false,
    }
}

/// A grantor that runs and hears of others until [`START`].
fn running() -> Grantor {
    let mut grantor = Grantor::new(ms(0));
    run(&mut grantor, 0, START);
    grantor
}

fn run(grantor: &mut Grantor, from: u64, to: u64) {
    for at in (from..to).step_by(100) {
        grantor.record_running(ms(at));
        grantor.record_heard(ms(at));
    }
}

/// Starts of the permits when one is asked for each `pause` ms.
fn starts(grantor: &mut Grantor, per_second: f64, from: u64, to: u64, pause: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    for at in (from..to).step_by(pause as usize) {
        grantor.record_running(ms(at));
        grantor.record_heard(ms(at));
        if let Answer::After(wait) = grantor.grant(&question(per_second, at), ms(at)) {
            starts.push(at + wait.as_millis() as u64);
        }
    }
    starts
}

fn most_in_span(starts: &[u64]) -> usize {
    let within = |first: usize| {
        let end = starts[first] + SPAN.as_millis() as u64;
        starts[first..].iter().take_while(|at| **at <= end).count()
    };
    (0..starts.len()).map(within).max().unwrap_or_default()
}

#[test]
fn a_limit_of_any_size_that_a_peer_names_is_answered() {
    for per_second in [f64::INFINITY, f64::MAX, 1e12] {
        let answer = running().grant(&question(per_second, 1), ms(START));
        assert!(matches!(answer, Answer::After(_) | Answer::Denied(_)));
    }
}

#[test]
fn no_span_has_more_permits_than_the_limit_and_the_limit_is_used() {
    // Requests a second, the most in a span, and the least in half a minute.
    let cases = [
        (18.5, 74, 527),
        (10.0, 40, 285),
        (100.0, 400, 2_850),
        (1_000.0, 4_000, 28_500),
        (2.75, 11, 78),
        (1.0, 4, 28),
        // Fewer than one in a span.
        (0.2, 1, 5),
        (0.1, 1, 2),
        (0.0, 0, 0),
        (-1.0, 0, 0),
        (f64::NAN, 0, 0),
    ];
    for (per_second, most, least) in cases {
        let mut grantor = running();
        let starts = starts(&mut grantor, per_second, START, START + 30_000, 1);
        assert!(most_in_span(&starts) <= most, "{per_second}");
        assert!(starts.len() >= least, "{per_second}: {}", starts.len());
    }
}

#[test]
fn a_limit_that_was_not_used_is_not_used_up_at_once() {
    let mut grantor = running();
    starts(&mut grantor, 20.0, START, START + 100, 1);
    run(&mut grantor, START + 100, START + 10_000);
    let starts = starts(&mut grantor, 20.0, START + 10_000, START + 10_200, 1);
    assert!((4..=20).contains(&starts.len()), "{}", starts.len());
}

#[test]
fn a_limit_that_rises_or_falls_holds_at_once() {
    let mut grantor = running();
    starts(&mut grantor, 20.0, START, START + 8_000, 1);
    let fallen = starts(&mut grantor, 5.0, START + 8_000, START + 20_000, 1);
    assert!(most_in_span(&fallen) <= 20);
    let risen = starts(&mut grantor, 50.0, START + 20_000, START + 40_000, 1);
    assert!(most_in_span(&risen) <= 200);
    assert!(risen.len() >= 950, "{}", risen.len());
}

#[test]
fn a_request_that_can_wait_gets_the_next_permit() {
    let mut grantor = running();
    let wait = Question {
        max_wait: ms(500),
        ..question(10.0, 1)
    };
    let Answer::After(first) = grantor.grant(&wait, ms(START)) else {
        panic!("denied");
    };
    assert!(first > ms(80) && first < ms(130), "{first:?}");
    let next = Question {
        number: 2,
        ..wait.clone()
    };
    let Answer::After(second) = grantor.grant(&next, ms(START)) else {
        panic!("denied");
    };
    assert!(second > first + ms(80), "{second:?}");
    // The same question again, as its answer was lost.
    assert_eq!(grantor.grant(&wait, ms(START + 10)), Answer::After(first));
}

#[test]
fn instances_that_get_none_are_told_to_wait_their_turn() {
    let mut grantor = running();
    let mut last = Duration::ZERO;
    for number in 0..100 {
        let asker = format!("instance-{number}");
        let question = Question {
            asker: &asker,
            ..question(10.0, number)
        };
        if let Answer::Denied(wait) = grantor.grant(&question, ms(START)) {
            assert!(wait > Duration::ZERO && wait <= SPAN + ms(80));
            last = wait;
        }
    }
    // Two tries for each of ten permits a second.
    assert!(last > SPAN, "{last:?}");
}

#[test]
fn an_instance_that_starts_or_was_suspended_gives_no_permits_for_a_while() {
    let mut grantor = Grantor::new(ms(0));
    let starts_first = starts(&mut grantor, 10.0, 0, 4_000, 10);
    assert!(starts_first[0] >= 1_000, "{}", starts_first[0]);
    // Suspended for three seconds, in which others gave permits.
    let starts = starts(&mut grantor, 10.0, 7_000, 10_000, 10);
    assert!(starts[0] >= 8_000, "{}", starts[0]);
    assert!(starts.len() <= 20);
}

#[test]
fn an_instance_that_hears_of_no_other_gives_none_and_later_its_share() {
    let mut grantor = running();
    let given = |grantor: &mut Grantor, from: u64, to: u64| {
        let mut given = 0;
        for at in (from..to).step_by(10) {
            let answer = grantor.grant(&question(90.0, at), ms(at));
            given += usize::from(matches!(answer, Answer::After(_)));
        }
        given
    };
    assert!(given(&mut grantor, START, START + 600) > 0);
    assert_eq!(given(&mut grantor, START + 600, START + 29_800), 0);
    given(&mut grantor, START + 29_800, START + 34_000);
    // A ninth of 90 a second, counted over three spans.
    let alone = given(&mut grantor, START + 34_000, START + 34_000 + 12_240);
    assert!((114..=120).contains(&alone), "{alone}");
    let mut only = running();
    let question = Question {
        instances: 1,
        permitted: 1,
        ..question(90.0, 1)
    };
    only.record_running(ms(START + 400));
    run(&mut only, START + 400, START + 500);
    assert!(!matches!(
        only.grant(&question, ms(START + 500)),
        Answer::Denied(wait) if wait > ms(100)
    ));
}

#[test]
fn an_instance_that_can_hear_no_other_gives_none_for_as_long() {
    let mut grantor = running();
    let mut given = 0;
    for at in (START + 600..START + 60_000).step_by(10) {
        grantor.record_deaf(ms(at));
        let answer = grantor.grant(&question(90.0, at), ms(at));
        given += usize::from(matches!(answer, Answer::After(_)));
    }
    assert_eq!(given, 0);
}

#[test]
fn what_an_earlier_release_may_send_is_left_to_it() {
    let mut grantor = running();
    let mut given = 0;
    for at in START..START + 20_000 {
        grantor.record_heard(ms(at));
        let question = Question {
            permitted: 6,
            ..question(30.0, at)
        };
        given += usize::from(matches!(grantor.grant(&question, ms(at)), Answer::After(_)));
    }
    // Six ninths of 30 a second.
    assert!((380..=400).contains(&given), "{given}");
}

/// Guards against a limit that is left in part where one giver of permits replaces another, and for good
/// where there were two for a while.
#[test]
fn a_limit_is_divided_between_givers_that_do_not_hear_of_each_other_while_there_are_two() {
    let key = question(20.0, 0).key;
    let account = |ends: &[(u16, u16)], givers| Account {
        ends: ends.to_vec(),
        givers,
    };
    let mut grantor = running();
    assert!(grantor.apply_account(key, "c", &account(&[], 2), ms(START)));
    assert!(!grantor.apply_account(key, "d", &account(&[], 2), ms(START)));
    let half = starts(&mut grantor, 20.0, START, START + 4_000, 10);
    assert!((36..=40).contains(&half.len()), "{}", half.len());
    let all = starts(&mut grantor, 20.0, START + 4_000, START + 12_240, 10);
    assert!(all.len() >= 120, "{}", all.len());
    // The other giver is heard, and its accounts are counted.
    let mut grantor = running();
    grantor.apply_account(key, "b", &account(&[(80, 10)], 0), ms(START));
    run(&mut grantor, START, START + 900);
    assert!(!grantor.apply_account(key, "c", &account(&[], 2), ms(START + 900)));
    // Of 80 permits ten were told, and as many are assumed as in 0.9 s of even use.
    let rest = starts(&mut grantor, 20.0, START + 900, START + 3_900, 10);
    assert!((50..=53).contains(&rest.len()), "{}", rest.len());
}

fn candidate(name: &str, zone: &str) -> Candidate<()> {
    Candidate {
        name: name.to_owned(),
        zone: zone.into(),
        address: (),
    }
}

#[test]
fn instances_of_the_targets_zone_give_its_permits_in_one_order() {
    let mut instances = vec![
        candidate("a-1", "a"),
        candidate("b-1", "b"),
        candidate("a-2", "a"),
        candidate("a-3", "a"),
    ];
    let order = permit_candidates(7, &"a".into(), instances.clone());
    assert_eq!(order.len(), 3);
    assert!(order.iter().all(|candidate| &*candidate.zone == "a"));
    instances.reverse();
    assert_eq!(order, permit_candidates(7, &"a".into(), instances.clone()));
    // Where the zone has none, all may.
    assert_eq!(
        permit_candidates(7, &"c".into(), instances.clone()).len(),
        4
    );
    // Targets are distributed over the instances.
    let first = |tag| {
        permit_candidates(tag, &"a".into(), instances.clone())[0]
            .name
            .clone()
    };
    let firsts: std::collections::BTreeSet<String> = (0..50).map(first).collect();
    assert_eq!(firsts.len(), 3);
}

#[test]
fn an_instance_that_did_not_answer_is_asked_again_and_replaced_after_a_while() {
    let mut silences = Silences::default();
    silences.record("a", ms(100));
    assert!(silences.is_silent("a", ms(500)));
    assert!(!silences.is_silent("b", ms(500)));
    assert!(!silences.is_silent("a", ms(900)));
    // It may be cut off, and give permits until it knows that.
    assert_eq!(silences.wait_for("a", ms(500)), ms(300));
    silences.record("a", ms(900));
    assert_eq!(silences.wait_for("a", ms(900)), Duration::ZERO);
    silences.clear("a");
    assert_eq!(silences.wait_for("a", ms(950)), ms(700));
}
