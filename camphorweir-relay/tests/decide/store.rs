//! What a restore of the metadata store from an older copy makes invalid.

use {
    camphorweir_relay::{
        fleet::{Change, Fleet, Target},
        lease::{Grant, Lease},
        span::Span,
        store::{Cursor, Era, Eras, Observation, Shown},
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn target(started_ms: u64, sequence: u64) -> Target {
    Target {
        id: "t".into(),
        service: "scribe".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z".into(),
        started_ms,
        sequence,
        slots: 4,
        draining: false,
        hardware: None,
        span: Span { from: 0, to: 8 },
    }
}

#[test]
fn the_highest_era_stays_in_force() {
    let mut eras = Eras::default();
    assert_eq!(eras.observe(Era(3), ms(0)), Observation::Current);
    assert!(!eras.has_seen_restore());
    let restored = Observation::Restored { from: Era(3) };
    assert_eq!(eras.observe(Era(5), ms(1)), restored);
    assert_eq!(eras.observe(Era(4), ms(2)), Observation::Outdated);
    assert_eq!(eras.observe(Era(5), ms(3)), Observation::Current);
    assert_eq!(eras.current(), Era(5));
    assert!(eras.has_seen_restore());
}

#[test]
fn an_offset_is_used_only_in_its_era() {
    let mut eras = Eras::default();
    eras.observe(Era(1), ms(0));
    let cursor = Cursor {
        era: Era(1),
        offset: 40,
    };
    assert_eq!(eras.offset(Some(cursor)), Some(40));
    eras.observe(Era(2), ms(1));
    assert_eq!(eras.offset(Some(cursor)), None);
    assert_eq!(eras.offset(None), None);
}

#[test]
fn a_store_that_shows_an_older_configuration_confirms_nothing() {
    let mut shown = Shown::default();
    shown.record(Era(1), 7);
    assert!(shown.confirms(Era(1), 7));
    assert!(!shown.confirms(Era(1), 9));
    // The copy has version 5; a later read without records shows nothing newer.
    assert!(!shown.confirms(Era(2), 7));
    shown.record(Era(2), 5);
    assert!(!shown.confirms(Era(2), 7));
    // The operator's writes are repeated.
    shown.record(Era(2), 7);
    assert!(shown.confirms(Era(2), 7));
    shown.record(Era(2), 6);
    assert!(shown.confirms(Era(2), 7));
}

#[test]
fn an_instance_that_starts_after_a_restore_doubts_the_store_for_a_while() {
    let mut eras = Eras::default();
    eras.observe(Era(1), ms(100));
    assert!(eras.may_lack_writes(ms(5_000), ms(5_099)));
    assert!(!eras.may_lack_writes(ms(5_000), ms(5_100)));
    // One that has seen the restore knows what was in force before.
    let mut eras = Eras::default();
    eras.observe(Era(0), ms(100));
    eras.observe(Era(1), ms(200));
    assert!(!eras.may_lack_writes(ms(5_000), ms(201)));
}

#[test]
fn a_holder_stops_at_a_restore_and_no_token_is_given_out_twice() {
    let term = ms(3_000);
    let mut lease = Lease::new(ms(2_500));
    let grant = Grant {
        generation: 9,
        is_holder: true,
    };
    lease.enter_era(Era(0), false, ms(0), term);
    lease.renew(grant, ms(0), Era(0));
    let before = lease.fencing_token(ms(1)).unwrap();
    lease.enter_era(Era(1), true, ms(1_000), term);
    assert_eq!(lease.fencing_token(ms(1_000)), None);
    assert_eq!(lease.generation(), 0);
    // The store gives out the same generations again, here to the same instance.
    for sent_at in [1_100, 3_000, 3_900] {
        lease.renew(grant, ms(sent_at), Era(1));
        lease.enter_era(Era(1), true, ms(sent_at), term);
        assert_eq!(lease.fencing_token(ms(sent_at)), None);
    }
    lease.renew(grant, ms(4_000), Era(1));
    let after = lease.fencing_token(ms(4_000)).unwrap();
    assert!(after > before);
    let lower = Grant {
        generation: 1,
        ..grant
    };
    lease.renew(lower, ms(4_100), Era(1));
    assert!(lease.fencing_token(ms(4_100)).unwrap() > before);
}

#[test]
fn an_instance_that_starts_after_a_restore_needs_no_wait_for_a_lease() {
    let mut lease = Lease::new(ms(2_500));
    lease.enter_era(Era(4), false, ms(0), ms(3_000));
    let grant = Grant {
        generation: 2,
        is_holder: true,
    };
    lease.renew(grant, ms(1), Era(4));
    assert!(lease.fencing_token(ms(2)).is_some());
}

#[test]
fn a_target_that_left_is_not_used_because_a_copy_lists_it() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.upsert(target(1, 6), ms(0)), Some(Change::Up));
    assert_eq!(fleet.remove(&"t".into(), ms(1)), Some(Change::Gone));
    fleet.record_store_recovery(ms(100));
    assert_eq!(fleet.upsert(target(1, 5), ms(101)), None);
    assert_eq!(fleet.upsert(target(1, 6), ms(102)), None);
    assert_eq!(fleet.available("scribe").count(), 0);
    // It lives and writes again, or has started anew.
    assert_eq!(fleet.upsert(target(1, 7), ms(103)), Some(Change::Up));
    fleet.remove(&"t".into(), ms(5_000));
    assert_eq!(fleet.upsert(target(2, 1), ms(5_001)), Some(Change::Up));
}

#[test]
fn an_older_record_does_not_undo_what_a_target_has_announced() {
    let mut fleet = Fleet::default();
    fleet.upsert(target(1, 4), ms(0));
    let mut leaving = target(1, 6);
    leaving.draining = true;
    assert_eq!(fleet.upsert(leaving, ms(1)), Some(Change::Draining));
    assert_eq!(fleet.upsert(target(1, 4), ms(2)), None);
    assert_eq!(fleet.upsert(target(1, 7), ms(3)), None);
    assert_eq!(fleet.available("scribe").count(), 0);
}

#[test]
fn a_target_that_the_copy_lacks_has_time_to_write_again() {
    let mut fleet = Fleet::default();
    fleet.upsert(target(1, 4), ms(0));
    fleet.record_store_recovery(ms(100));
    let changes = fleet.remove_unlisted(&BTreeSet::new(), ms(100));
    assert_eq!(changes, [("t".into(), Change::Lapsed)]);
    assert_eq!(fleet.available("scribe").count(), 1);
    assert_eq!(fleet.remove_lapsed(ms(2_599)).len(), 0);
    assert_eq!(fleet.remove_lapsed(ms(2_600)).len(), 1);
}
