use {
    camphorweir_relay::{
        ids::{Time, ids_tag},
        roles::{Assignment, Followed, Member, Reads, Roles, Source, roles_source_is_fresh},
    },
    std::{net::SocketAddr, time::Duration},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn address(index: usize) -> SocketAddr {
    let port = 1_000 + u16::try_from(index).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Names of a zone's instances in the order that decides on their roles.
fn names(count: usize) -> Vec<String> {
    let mut names: Vec<String> = (0..count).map(|index| format!("entry-{index}")).collect();
    names.sort_by_key(|name| ids_tag(name));
    names
}

/// Roles of the instance at `index`, which knows all others.
fn roles(names: &[String], index: usize) -> Roles {
    let mut roles = Roles::new(names[index].clone(), 100, ms(0));
    let others = names.iter().enumerate();
    let others = others.filter(|(other, _)| *other != index);
    roles.set_members(others.map(|(other, name)| Member {
        name: name.clone(),
        address: address(other),
        link_mbps: 100,
    }));
    roles
}

fn assignment(readers: &[&String], followed: Option<(&String, usize)>) -> Assignment {
    Assignment {
        readers: readers.iter().map(|name| (*name).clone()).collect(),
        followed: followed.map(|(name, index)| Followed {
            name: name.clone(),
            address: address(index),
            read_age: ms(100),
        }),
        newest: None,
    }
}

fn read_at(time: Time) -> Reads {
    Reads {
        succeeded_at: Some(time),
        failed_at: None,
    }
}

fn failed_at(time: Time) -> Reads {
    Reads {
        succeeded_at: None,
        failed_at: Some(time),
    }
}

#[test]
fn the_first_instance_sums_up_and_the_others_take_over_in_turn() {
    let names = names(5);
    let first: Vec<bool> = (0..5)
        .map(|index| roles(&names, index).is_aggregator(ms(0)))
        .collect();
    assert_eq!(first, [true, false, false, false, false]);
    let since = |index: usize| {
        let mut times = (0..10_000).step_by(50);
        let roles = roles(&names, index);
        times.find(|time| roles.is_aggregator(ms(*time))).unwrap()
    };
    assert_eq!([since(1), since(2), since(3)], [700, 1_000, 1_300]);
    // Those that have heard an aggregator count only those after it.
    let mut last = roles(&names, 4);
    last.record_summary(&names[2], 100, Assignment::default(), ms(5_000));
    assert!(!last.is_aggregator(ms(5_999)));
    assert!(last.is_aggregator(ms(6_000)));
}

#[test]
fn an_instance_that_does_not_know_the_others_waits_before_it_sums_up() {
    let alone = Roles::new("entry-0".to_owned(), 100, ms(0));
    assert!(!alone.is_aggregator(ms(2_499)));
    assert!(alone.is_aggregator(ms(2_500)));
}

#[test]
fn digests_go_to_the_aggregator_and_to_the_one_that_would_take_over() {
    let names = names(5);
    let mut third = roles(&names, 2);
    assert_eq!(third.digest_recipients(ms(0)), names[..2]);
    third.record_summary(&names[1], 100, Assignment::default(), ms(10));
    // The one after the aggregator is this instance's successor too.
    assert_eq!(
        third.digest_recipients(ms(20)),
        [names[1].clone(), names[3].clone()]
    );
    third.record_summary(&names[0], 100, Assignment::default(), ms(30));
    assert_eq!(third.digest_recipients(ms(40)), names[..2]);
}

#[test]
fn one_healthy_instance_reads_the_store_and_the_others_follow_it() {
    let names = names(39);
    let mut aggregator = roles(&names, 0);
    for name in &names[1..] {
        aggregator.record_report(name, Reads::default(), 0, ms(0));
    }
    let first = aggregator.assign(address(0), 0, ms(0));
    assert_eq!(first.readers, names[..2]);
    assert_eq!(first.followed, None);
    aggregator.record_read(ms(40));
    let next = aggregator.assign(address(0), 0, ms(100));
    assert_eq!(next.readers, names[..1]);
    assert_eq!(next.followed.unwrap().name, names[0]);
    assert_eq!(aggregator.source(Some(ms(60)), ms(100)), Source::Store);

    let mut follower = roles(&names, 7);
    assert_eq!(follower.source(None, ms(0)), Source::Unknown);
    let told = assignment(&[&names[0]], Some((&names[0], 0)));
    follower.record_summary(&names[0], 100, told, ms(110));
    assert_eq!(follower.source(None, ms(120)), Source::Peer(address(0)));
}

#[test]
fn a_reader_that_stops_reads_on_until_another_does() {
    let names = names(3);
    let mut aggregator = roles(&names, 0);
    let mut next = |at: u64, own: bool, other: Option<u64>| {
        if own {
            aggregator.record_read(ms(at));
        }
        if at == 100 {
            aggregator.begin_stop(ms(at));
        }
        let reads = other.map_or(Reads::default(), |at| read_at(ms(at)));
        for (name, reads) in [(&names[1], reads), (&names[2], Reads::default())] {
            aggregator.record_report(name, reads, 0, ms(at));
        }
        let made = aggregator.assign(address(0), 0, ms(at));
        (made.readers, made.followed.unwrap().name)
    };
    assert_eq!(
        next(50, true, None),
        (names[..1].to_vec(), names[0].clone())
    );
    for at in [100, 200] {
        assert_eq!(
            next(at, true, None),
            (names[1..].to_vec(), names[0].clone())
        );
    }
    for at in [300, 400] {
        let taken_over = (names[1..2].to_vec(), names[1].clone());
        assert_eq!(next(at, true, Some(250)), taken_over);
    }
}

#[test]
fn an_instance_that_stops_alone_reads_on() {
    let mut alone = Roles::new("entry-0".to_owned(), 100, ms(0));
    alone.begin_stop(ms(100));
    for at in [100, 200, 2_000, 4_000] {
        alone.record_read(ms(at));
        let made = alone.assign(address(0), 0, ms(at));
        assert_eq!(made.readers, ["entry-0"]);
        let (reads, at) = (alone.own_reads(), Some(ms(at)));
        assert!(reads.failed_at == at && reads.succeeded_at < at);
    }
}

#[test]
fn a_reader_that_the_store_refuses_is_replaced_by_two_others_at_most() {
    let names = names(39);
    let mut aggregator = roles(&names, 0);
    let mut time = ms(0);
    aggregator.record_read(time);
    aggregator.assign(address(0), 0, time);
    // The store refuses the first twenty instances and serves the rest.
    let mut rounds = 0;
    loop {
        time += ms(200);
        rounds += 1;
        aggregator.record_read_failure(time);
        let readers = aggregator.assign(address(0), 0, time).readers;
        assert!(readers.len() <= 2, "{readers:?}");
        if readers.iter().all(|reader| names[20..].contains(reader)) {
            break;
        }
        for (index, name) in names.iter().enumerate().skip(1) {
            let was_asked = readers.contains(name);
            let reads = match (was_asked, index < 20) {
                (true, true) => failed_at(time + ms(10)),
                _ => Reads::default(),
            };
            if was_asked || rounds == 1 {
                aggregator.record_report(name, reads, 0, time + ms(10));
            }
        }
        for name in &names[20..] {
            aggregator.record_report(name, Reads::default(), 0, time + ms(10));
        }
        assert!(rounds < 25, "no working reader was found");
    }
    // One of them reads: it stays the only reader, and is followed.
    let reader = names[20].clone();
    aggregator.record_report(&reader, read_at(time + ms(50)), 0, time + ms(60));
    let found = aggregator.assign(address(0), 0, time + ms(100));
    assert_eq!(found.readers, std::slice::from_ref(&reader));
    assert_eq!(found.followed.unwrap().name, reader);
}

#[test]
fn a_reader_that_does_not_answer_is_replaced_after_its_trial() {
    let names = names(4);
    let mut aggregator = roles(&names, 0);
    for time in [0, 1_000] {
        for name in &names[1..] {
            aggregator.record_report(name, Reads::default(), 0, ms(time));
        }
        assert_eq!(
            aggregator.assign(address(0), 0, ms(time)).readers,
            names[..2]
        );
    }
    for name in &names[1..] {
        aggregator.record_report(name, Reads::default(), 0, ms(1_200));
    }
    let second = aggregator.assign(address(0), 0, ms(1_200)).readers;
    assert_eq!(second.len(), 2);
    assert!(
        second.contains(&names[2]) && second.contains(&names[3]),
        "{second:?}"
    );
}

#[test]
fn an_instance_that_its_peers_cannot_reach_reads_the_store_itself() {
    let names = names(5);
    let mut follower = roles(&names, 3);
    let told = assignment(&[&names[0]], Some((&names[0], 0)));
    follower.record_summary(&names[0], 100, told.clone(), ms(9_900));
    let peer = Source::Peer(address(0));
    assert_eq!(follower.source(Some(ms(3_700)), ms(10_000)), peer);
    assert_eq!(follower.source(Some(ms(3_701)), ms(10_000)), Source::Store);
    // Where the reader has lost the store as well, that would not help.
    let mut stale = told;
    stale.followed.as_mut().unwrap().read_age = ms(1_600);
    follower.record_summary(&names[0], 100, stale, ms(10_000));
    assert_eq!(follower.source(Some(ms(3_800)), ms(10_000)), peer);
}

#[test]
fn after_a_failed_peer_the_store_is_read_until_another_source_is_named() {
    let names = names(5);
    let mut follower = roles(&names, 3);
    let told = assignment(&[&names[0]], Some((&names[0], 0)));
    follower.record_summary(&names[0], 100, told.clone(), ms(0));
    follower.record_peer_failure(ms(100));
    assert_eq!(follower.source(Some(ms(50)), ms(101)), Source::Store);
    let next = assignment(&[&names[1]], Some((&names[1], 1)));
    follower.record_summary(&names[0], 100, next, ms(300));
    let peer = Source::Peer(address(1));
    assert_eq!(follower.source(Some(ms(50)), ms(301)), peer);
    // The same peer is tried again after a while.
    follower.record_summary(&names[0], 100, told, ms(400));
    assert_eq!(follower.source(Some(ms(50)), ms(401)), Source::Store);
    let peer = Source::Peer(address(0));
    assert_eq!(follower.source(Some(ms(50)), ms(2_100)), peer);
}

#[test]
fn data_of_a_peer_that_has_lost_the_store_is_not_used() {
    assert!(roles_source_is_fresh(ms(2_399)));
    assert!(!roles_source_is_fresh(ms(2_400)));
}

#[test]
fn a_reader_takes_a_configuration_that_the_store_has_lost_from_the_instance_that_has_it() {
    let names = names(3);
    let mut aggregator = roles(&names, 0);
    aggregator.record_report(&names[1], Reads::default(), 7, ms(0));
    aggregator.record_report(&names[2], Reads::default(), 9, ms(0));
    let newest = aggregator.assign(address(0), 7, ms(1)).newest.unwrap();
    assert_eq!((newest.version, newest.address), (9, address(2)));
    assert_eq!(aggregator.newer_peer(7), Some(address(2)));
    assert_eq!(aggregator.newer_peer(9), None);
}

#[test]
fn instances_with_fast_links_come_first() {
    let names = names(4);
    let link = |index: usize| if index == 2 { 200 } else { 20 };
    let aggregators = (0..4).filter(|index| {
        let mut roles = Roles::new(names[*index].clone(), link(*index), ms(0));
        let others = (0..4).filter(|other| other != index);
        roles.set_members(others.map(|other| Member {
            name: names[other].clone(),
            address: address(other),
            link_mbps: link(other),
        }));
        roles.is_aggregator(ms(0))
    });
    assert_eq!(aggregators.collect::<Vec<_>>(), [2]);
}

#[test]
fn a_new_aggregator_keeps_the_reader_that_the_zone_has() {
    let names = names(4);
    let mut aggregator = roles(&names, 0);
    aggregator.record_report(&names[3], read_at(ms(0)), 1, ms(0));
    aggregator.record_report(&names[1], Reads::default(), 1, ms(0));
    let assignment = aggregator.assign(address(0), 0, ms(10));
    assert_eq!(assignment.readers, names[3..]);
    assert_eq!(assignment.followed.unwrap().name, names[3]);
}

#[test]
fn an_outage_is_known_while_the_aggregator_says_that_no_reader_gets_an_answer() {
    let names = names(3);
    let mut roles = roles(&names, 2);
    assert!(!roles.knows_outage(ms(0)));
    let mut named = assignment(&[&names[0]], Some((&names[0], 0)));
    roles.record_summary(&names[0], 100, named.clone(), ms(1_000));
    assert!(!roles.knows_outage(ms(1_100)));
    named.followed.as_mut().unwrap().read_age = ms(1_600);
    roles.record_summary(&names[0], 100, named, ms(2_000));
    assert!(roles.knows_outage(ms(2_100)));
    // An aggregator that is silent says nothing of the store.
    assert!(!roles.knows_outage(ms(2_800)));
}
