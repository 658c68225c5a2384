//! What is known of the limits that targets name.

use {
    camphorweir_relay::{
        fleet::{Fleet, Target},
        ids::ids_tag,
        limit::{Change, Limits, Named, Source},
        span::Span,
    },
    camphorweir_wire::limit::News,
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(started_ms: u64) -> Target {
    Target {
        id: "t".into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        started_ms,
        sequence: 1,
        slots: 6,
        draining: false,
        hardware: None,
        span: Span::default(),
    }
}

fn news(per_second: Option<f64>, age_ms: u32) -> News {
    News {
        target: ids_tag("t"),
        started_ms: 1,
        per_second,
        since_ms: age_ms,
        age_ms,
    }
}

#[test]
fn a_limit_holds_from_the_first_answer_that_names_it() {
    let mut limits = Limits::default();
    let target = target(1);
    let mut name = |named, at| limits.record_answer(&target, named, ms(at), ms(at));
    assert_eq!(name(Named::Absent, 10), None);
    assert_eq!(name(Named::Rate(5.0), 20), Some(Change::Set(5.0)));
    assert_eq!(name(Named::Rate(5.0), 30), None);
    assert_eq!(name(Named::Rate(7.5), 40), Some(Change::Set(7.5)));
    assert_eq!(name(Named::Rate(0.0), 50), Some(Change::Set(0.0)));
    let limit = limits.get(&target).unwrap();
    assert_eq!((limit.since, limit.confirmed_at), (ms(20), ms(50)));
    assert_eq!(limit.source, Source::Answer);
}

#[test]
fn what_is_no_limit_changes_nothing_and_a_huge_one_is_none() {
    let mut limits = Limits::default();
    let target = target(1);
    let mut name = |named, at| limits.record_answer(&target, named, ms(at), ms(at));
    assert_eq!(name(Named::Rate(1e300), 10), None);
    assert_eq!(name(Named::Rate(10_000.0), 11), None);
    assert_eq!(name(Named::Rate(f64::INFINITY), 20), None);
    assert_eq!(name(Named::Rate(5.0), 30), Some(Change::Set(5.0)));
    for at in 0..20 {
        assert_eq!(name(Named::Unreadable, 3_000 + at), None);
    }
    assert_eq!(name(Named::Rate(1e300), 4_010), Some(Change::Withdrawn));
    assert_eq!(limits.rate(&target), None);
}

#[test]
fn a_limit_ends_with_a_later_answer_that_lacks_it_and_not_with_an_earlier_one() {
    let mut limits = Limits::default();
    let target = target(1);
    let mut answer = |named, sent, now| limits.record_answer(&target, named, ms(sent), ms(now));
    answer(Named::Rate(50.0), 0, 1_000);
    // Sent before the answer that named it.
    for now in 5_000..5_010 {
        assert_eq!(answer(Named::Absent, 900, now), None);
    }
    assert_eq!(answer(Named::Absent, 1_100, 5_020), Some(Change::Withdrawn));
    assert_eq!(answer(Named::Absent, 1_200, 5_030), None);
}

#[test]
fn a_limit_that_only_some_answers_name_holds_until_several_lack_it() {
    let mut limits = Limits::default();
    let target = target(1);
    let mut answer = |named, at| limits.record_answer(&target, named, ms(at), ms(at));
    answer(Named::Rate(50.0), 1_000);
    assert_eq!(answer(Named::Absent, 1_100), None);
    for at in 1_101..3_000 {
        let named = if at % 3 == 0 {
            Named::Rate(50.0)
        } else {
            Named::Absent
        };
        assert_eq!(answer(named, at), None);
    }
    // The third in a row.
    assert_eq!(answer(Named::Absent, 5_000), Some(Change::Withdrawn));
}

#[test]
fn one_answer_ends_a_limit_that_lets_next_to_nothing_through() {
    let mut limits = Limits::default();
    let target = target(1);
    limits.record_answer(&target, Named::Rate(0.0), ms(0), ms(0));
    let change = limits.record_answer(&target, Named::Absent, ms(10_000), ms(10_010));
    assert_eq!(change, Some(Change::Withdrawn));
}

#[test]
fn a_target_that_starts_anew_has_no_limit_and_takes_no_old_news() {
    let mut limits = Limits::default();
    limits.record_answer(&target(1), Named::Rate(5.0), ms(10), ms(10));
    let later = target(2);
    assert_eq!(limits.rate(&later), None);
    assert_eq!(limits.apply_news(&later, &news(Some(5.0), 0), ms(20)), None);
    assert_eq!(limits.rate(&later), None);
    let mut fleet = Fleet::default();
    fleet.upsert(later, ms(20));
    limits.retain(&fleet, ms(20));
    assert!(limits.is_empty());
}

#[test]
fn the_newest_word_of_peers_holds() {
    let mut limits = Limits::default();
    let target = target(1);
    let mut apply = |rate, age, now| limits.apply_news(&target, &news(rate, age), ms(now));
    assert_eq!(apply(Some(5.0), 100, 1_000), Some(Change::Set(5.0)));
    assert_eq!(apply(Some(9.0), 200, 1_050), None);
    assert_eq!(apply(None, 10, 1_100), Some(Change::Withdrawn));
    // Word of the limit from before its end.
    assert_eq!(apply(Some(5.0), 300, 1_200), None);
    assert_eq!(apply(Some(3.0), 10, 1_300), Some(Change::Set(3.0)));
    // Numbers that no release sends.
    assert_eq!(apply(Some(-1.0), 10, 1_400), Some(Change::Withdrawn));
    assert_eq!(apply(Some(f64::NAN), 10, 1_500), None);
    assert_eq!(limits.rate(&target), None);
}

#[test]
fn the_end_of_a_limit_is_told_and_then_forgotten() {
    let mut limits = Limits::default();
    let mut fleet = Fleet::default();
    fleet.upsert(target(1), ms(0));
    limits.apply_news(&target(1), &news(Some(5.0), 0), ms(0));
    limits.apply_news(&target(1), &news(None, 0), ms(100));
    let told = limits.news(&fleet, ms(200));
    assert_eq!((told.len(), told[0].per_second), (1, None));
    limits.retain(&fleet, ms(20_000));
    assert!(limits.is_empty());
}
