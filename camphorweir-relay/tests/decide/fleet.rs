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

fn target(id: &str, born: u64, port: u16) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "z".into(),
        born,
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
fn draining_is_final_for_a_life() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.record(target("a", 1, 1), ms(0)), Some(Change::Up));
    let mut draining_target = target("a", 1, 1);
    draining_target.draining = true;
    assert_eq!(fleet.record(draining_target, ms(1)), Some(Change::Draining));
    // A late record from before draining changes nothing.
    assert_eq!(fleet.record(target("a", 1, 1), ms(2)), None);
    assert_eq!(fleet.usable("s").count(), 0);
    assert_eq!(fleet.record(target("a", 2, 1), ms(3)), Some(Change::Up));
    assert_eq!(fleet.usable("s").count(), 1);
    // Nor does one from before the restart.
    assert_eq!(fleet.record(target("a", 1, 1), ms(4)), None);
    assert_eq!(fleet.get(&id("a")).map(|target| target.born), Some(2));
}

#[test]
fn an_address_that_is_used_again_belongs_to_the_newer_target() {
    let mut fleet = Fleet::default();
    fleet.record(target("a", 1, 1), ms(0));
    fleet.record(target("b", 2, 1), ms(1));
    assert_eq!(
        fleet
            .by_address(target("b", 2, 1).address)
            .map(|target| target.id.clone()),
        Some(id("b"))
    );
    assert_eq!(fleet.all().count(), 1);
}

#[test]
fn records_that_lapsed_around_an_outage_are_waited_for() {
    let mut fleet = Fleet::default();
    for name in ["a", "b", "c"] {
        fleet.record(target(name, 1, u16::from(name.as_bytes()[0])), ms(0));
    }
    assert_eq!(fleet.removed(&id("a"), ms(10)), Some(Change::Gone));
    fleet.store_back(ms(1_000));
    assert_eq!(fleet.removed(&id("b"), ms(1_100)), Some(Change::Lapsed));
    assert_eq!(fleet.removed(&id("c"), ms(1_100)), Some(Change::Lapsed));
    assert_eq!(fleet.usable("s").count(), 2);
    assert_eq!(fleet.record(target("b", 1, 98), ms(2_000)), None);
    assert_eq!(fleet.settle(ms(3_499)), Vec::<TargetId>::new());
    assert_eq!(fleet.settle(ms(3_500)), [id("c")]);
    // Long after the outage a record that ends removes its target.
    assert_eq!(fleet.removed(&id("b"), ms(4_000)), Some(Change::Gone));
}

#[test]
fn what_a_whole_list_leaves_out_is_gone() {
    let mut fleet = Fleet::default();
    fleet.record(target("a", 1, 1), ms(0));
    fleet.record(target("b", 1, 2), ms(0));
    let listed = BTreeSet::from([id("b"), id("c")]);
    assert_eq!(fleet.listed(&listed, ms(1)), [(id("a"), Change::Gone)]);
}

#[test]
fn a_target_that_leaves_is_not_waited_for() {
    let mut fleet = Fleet::default();
    let mut draining_target = target("a", 1, 1);
    draining_target.draining = true;
    fleet.record(draining_target, ms(0));
    fleet.store_back(ms(10));
    assert_eq!(fleet.removed(&id("a"), ms(20)), Some(Change::Gone));
}
