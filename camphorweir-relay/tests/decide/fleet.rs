use {
    camphorweir_relay::{
        fleet::{Change, Fleet, Target},
        ids::TargetId,
        span::Span,
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn target(id: &str, started_ms: u64, port: u16) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "z".into(),
        started_ms,
        sequence: 1,
        slots: 1,
        draining: false,
        hardware: None,
        span: Span::default(),
    }
}

fn id(id: &str) -> TargetId {
    id.into()
}

#[test]
fn draining_lasts_until_a_restart() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.upsert(target("a", 1, 1), ms(0)), Some(Change::Up));
    let mut draining_target = target("a", 1, 1);
    draining_target.draining = true;
    assert_eq!(fleet.upsert(draining_target, ms(1)), Some(Change::Draining));
    // A late record from before draining changes nothing.
    assert_eq!(fleet.upsert(target("a", 1, 1), ms(2)), None);
    assert_eq!(fleet.available("s").count(), 0);
    assert_eq!(fleet.upsert(target("a", 2, 1), ms(3)), Some(Change::Up));
    assert_eq!(fleet.available("s").count(), 1);
    // Nor does one from before the restart.
    assert_eq!(fleet.upsert(target("a", 1, 1), ms(4)), None);
    assert_eq!(fleet.get(&id("a")).map(|target| target.started_ms), Some(2));
}

#[test]
fn a_restart_that_a_probe_finds_is_known_before_it_is_listed() {
    let mut fleet = Fleet::default();
    let mut first = target("a", 1, 1);
    first.span = Span { from: 0, to: 5 };
    fleet.upsert(first.clone(), ms(0));
    assert!(fleet.record_restart(&id("a"), 2, ms(1)));
    assert!(!fleet.record_restart(&id("a"), 2, ms(2)));
    assert!(!fleet.record_restart(&id("a"), 1, ms(2)));
    assert!(!fleet.record_restart(&id("b"), 2, ms(2)));
    let found = fleet.get(&id("a")).unwrap();
    assert_eq!((found.started_ms, found.span.is_empty()), (2, true));
    // A record from before changes nothing, and its own lists it as new.
    assert_eq!(fleet.upsert(first, ms(3)), None);
    assert_eq!(fleet.upsert(target("a", 2, 1), ms(4)), Some(Change::Up));
    assert_eq!(fleet.upsert(target("a", 2, 1), ms(5)), None);
    // It may as well be listed under another identifier.
    assert!(fleet.record_restart(&id("a"), 3, ms(6)));
    assert_eq!(fleet.upsert(target("c", 3, 1), ms(7)), Some(Change::Up));
    assert!(fleet.get(&id("a")).is_none());
}

#[test]
fn an_address_that_is_used_again_belongs_to_the_newer_target() {
    let mut fleet = Fleet::default();
    fleet.upsert(target("a", 1, 1), ms(0));
    fleet.upsert(target("b", 2, 1), ms(1));
    assert_eq!(
        fleet
            .by_address(target("b", 2, 1).address)
            .map(|target| target.id.clone()),
        Some(id("b"))
    );
    assert_eq!(fleet.targets().count(), 1);
}

#[test]
fn targets_whose_records_lapse_around_an_outage_are_kept_for_a_while() {
    let mut fleet = Fleet::default();
    for name in ["a", "b", "c"] {
        fleet.upsert(target(name, 1, u16::from(name.as_bytes()[0])), ms(0));
    }
    assert_eq!(fleet.remove(&id("a"), ms(10)), Some(Change::Gone));
    fleet.record_store_recovery(ms(1_000));
    assert_eq!(fleet.remove(&id("b"), ms(1_100)), Some(Change::Lapsed));
    assert_eq!(fleet.remove(&id("c"), ms(1_100)), Some(Change::Lapsed));
    assert_eq!(fleet.available("s").count(), 2);
    assert_eq!(fleet.upsert(target("b", 1, 98), ms(2_000)), None);
    assert_eq!(fleet.remove_lapsed(ms(3_499)), Vec::<TargetId>::new());
    assert_eq!(fleet.remove_lapsed(ms(3_500)), [id("c")]);
    // Long after the outage a record that ends removes its target.
    assert_eq!(fleet.remove(&id("b"), ms(4_000)), Some(Change::Gone));
}

#[test]
fn targets_missing_from_a_complete_list_are_removed() {
    let mut fleet = Fleet::default();
    fleet.upsert(target("a", 1, 1), ms(0));
    fleet.upsert(target("b", 1, 2), ms(0));
    let listed = BTreeSet::from([id("b"), id("c")]);
    assert_eq!(
        fleet.remove_unlisted(&listed, ms(1)),
        [(id("a"), Change::Gone)]
    );
}

#[test]
fn a_draining_target_is_removed_at_once() {
    let mut fleet = Fleet::default();
    let mut draining_target = target("a", 1, 1);
    draining_target.draining = true;
    fleet.upsert(draining_target, ms(0));
    fleet.record_store_recovery(ms(10));
    assert_eq!(fleet.remove(&id("a"), ms(20)), Some(Change::Gone));
}

#[test]
fn a_record_that_was_listed_after_an_outage_and_ends_is_not_kept_for_long() {
    let mut fleet = Fleet::default();
    fleet.upsert(target("a", 1, 1), ms(0));
    fleet.upsert(target("b", 1, 2), ms(0));
    fleet.record_list_read(ms(500));
    fleet.record_store_recovery(ms(1_000));
    // Its record may have lapsed in the outage.
    assert_eq!(fleet.remove(&id("a"), ms(1_050)), Some(Change::Lapsed));
    // The read that found the store again; peers estimate its time and that of the return apart.
    fleet.record_list_read(ms(980));
    // The other's was there after it, and may have ended right after that.
    assert_eq!(fleet.remove(&id("b"), ms(1_900)), Some(Change::Lapsed));
    assert_eq!(fleet.remove_lapsed(ms(2_779)), Vec::<TargetId>::new());
    assert_eq!(fleet.remove_lapsed(ms(2_780)), [id("b")]);
    assert_eq!(fleet.remove_lapsed(ms(3_499)), Vec::<TargetId>::new());
    assert_eq!(fleet.remove_lapsed(ms(3_500)), [id("a")]);
}

#[test]
fn the_time_for_which_lapsed_records_are_kept_does_not_grow_with_the_pauses_between_reads() {
    let mut fleet = Fleet::default();
    fleet.upsert(target("a", 1, 1), ms(0));
    fleet.record_list_read(ms(0));
    fleet.record_store_failure(ms(1_000));
    // The store was back 0.3 s after the last try at the latest; it is asked again after 1.9 s.
    assert_eq!(
        fleet.record_store_answer(ms(2_900), ms(3_000)),
        Some(ms(1_300))
    );
    assert_eq!(fleet.remove(&id("a"), ms(2_900)), Some(Change::Lapsed));
    assert_eq!(fleet.remove_lapsed(ms(3_799)), Vec::<TargetId>::new());
    // Within three seconds of the store's return, with a check each tenth of a second.
    assert_eq!(fleet.remove_lapsed(ms(3_800)), [id("a")]);
}

#[test]
fn an_outage_before_the_last_read_of_the_list_keeps_nothing() {
    let mut fleet = Fleet::default();
    fleet.upsert(target("a", 1, 1), ms(0));
    assert_eq!(fleet.record_store_answer(ms(500), ms(3_000)), None);
    fleet.record_store_failure(ms(1_000));
    // A peer read the list after that.
    fleet.record_list_read(ms(1_200));
    assert_eq!(fleet.record_store_answer(ms(60_000), ms(3_000)), None);
    assert_eq!(fleet.remove(&id("a"), ms(60_000)), Some(Change::Gone));
}

#[test]
fn where_there_is_more_time_to_catch_up_lapsed_records_may_be_renewed_for_longer() {
    for (contact, back_at) in [(3_000, 1_300), (4_000, 2_300), (5_000, 2_900)] {
        let mut fleet = Fleet::default();
        fleet.record_store_failure(ms(1_000));
        let answer = fleet.record_store_answer(ms(2_900), ms(contact));
        assert_eq!(answer, Some(ms(back_at)));
    }
}
