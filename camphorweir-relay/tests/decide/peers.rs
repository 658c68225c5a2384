use {
    camphorweir_relay::peers::Peers,
    camphorweir_wire::digest::{Digest, Failing, Load, MEMORY_UNIT_TOKEN_LAYERS, Scope, Summary},
    std::time::Duration,
};

fn load(target: u32, streams: u16, memory: u32) -> Load {
    Load {
        target,
        streams,
        first_stage: 1,
        memory,
    }
}

fn digest(name: &str, incarnation: u64, sequence: u64, streams: u16) -> Digest {
    Digest {
        entry: name.to_owned(),
        incarnation,
        sequence,
        loads: vec![load(5, streams, 3)],
        ..Digest::default()
    }
}

fn summary(sequence: u64, part: u32, parts: u32, loads: Vec<Load>) -> Summary {
    Summary {
        entry: "aggregator".to_owned(),
        sequence,
        scope: Scope::TargetsOf("a".to_owned()),
        part,
        parts,
        entries: 4,
        loads,
        ..Summary::default()
    }
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn an_aggregator_counts_the_newest_digest_of_each_peer() {
    let mut peers = Peers::default();
    assert!(peers.apply_digest(digest("a", 1, 4, 2), ms(0)));
    assert!(peers.apply_digest(digest("b", 1, 1, 3), ms(0)));
    assert!(!peers.apply_digest(digest("a", 1, 3, 9), ms(1)));
    peers.use_digests(ms(1));
    let load = peers.load(5);
    assert_eq!(
        (load.streams, load.token_layers),
        (5.0, 6.0 * MEMORY_UNIT_TOKEN_LAYERS)
    );
    // After a restart, digests are numbered from the start again.
    assert!(peers.apply_digest(digest("a", 2, 0, 1), ms(2)));
    peers.use_digests(ms(2));
    assert_eq!(peers.load(5).streams, 4.0);
    assert_eq!(peers.load(6).streams, 0.0);
}

#[test]
fn the_load_of_a_silent_peer_is_dropped() {
    let mut peers = Peers::default();
    peers.apply_digest(digest("a", 1, 1, 2), ms(0));
    peers.apply_digest(digest("b", 1, 1, 3), ms(1_199));
    peers.use_digests(ms(1_199));
    assert_eq!((peers.load(5).streams, peers.count()), (5.0, 2));
    peers.use_digests(ms(1_200));
    assert_eq!((peers.load(5).streams, peers.count()), (3.0, 1));
}

#[test]
fn an_aggregator_adds_what_other_zones_have_in_flight() {
    let mut peers = Peers::default();
    peers.apply_digest(digest("a", 1, 1, 2), ms(0));
    let others = Summary {
        scope: Scope::EntriesOf("b".to_owned()),
        ..summary(1, 0, 1, vec![load(5, 4, 1)])
    };
    assert!(peers.apply_summary(others, ms(0)));
    peers.use_digests(ms(0));
    assert_eq!((peers.load(5).streams, peers.count()), (6.0, 5));
}

#[test]
fn a_summary_counts_without_the_own_load_in_it() {
    let mut peers = Peers::default();
    peers.record_own_digest(digest("own", 1, 7, 2));
    peers.record_own_digest(digest("own", 1, 8, 6));
    let included = Summary {
        included_sequence: Some(7),
        ..summary(1, 0, 1, vec![load(5, 10, 9), load(6, 1, 1)])
    };
    peers.apply_summary(included, ms(0));
    peers.use_summaries(ms(0));
    let others = peers.load(5);
    assert_eq!(
        (others.streams, others.token_layers),
        (8.0, 6.0 * MEMORY_UNIT_TOKEN_LAYERS)
    );
    assert_eq!((peers.load(6).streams, peers.count()), (1.0, 3));
    // Where the sum does not include an own digest, all of it is load of peers.
    peers.apply_summary(summary(2, 0, 1, vec![load(5, 10, 9)]), ms(1));
    peers.use_summaries(ms(1));
    assert_eq!(peers.load(5).streams, 10.0);
}

#[test]
fn each_part_of_a_summary_replaces_its_predecessor() {
    let mut peers = Peers::default();
    peers.apply_summary(summary(1, 0, 2, vec![load(4, 1, 1)]), ms(0));
    peers.apply_summary(summary(1, 1, 2, vec![load(5, 1, 1)]), ms(0));
    peers.apply_summary(summary(2, 1, 2, vec![load(7, 2, 1)]), ms(200));
    assert!(!peers.apply_summary(summary(1, 1, 2, vec![load(5, 9, 1)]), ms(201)));
    peers.use_summaries(ms(201));
    let streams = [4, 5, 7].map(|target| peers.load(target).streams);
    assert_eq!(streams, [1.0, 0.0, 2.0]);
    // Parts of a split that is no longer used are dropped.
    peers.apply_summary(summary(3, 0, 1, vec![load(4, 3, 1)]), ms(400));
    peers.use_summaries(ms(400));
    let streams = [4, 5, 7].map(|target| peers.load(target).streams);
    assert_eq!(streams, [3.0, 0.0, 0.0]);
    peers.use_summaries(ms(3_400));
    assert_eq!(peers.load(4).streams, 0.0);
}

#[test]
fn reports_of_failing_targets_are_merged_and_end_with_their_time() {
    let mut peers = Peers::default();
    let failing = |excluded_ms, unresponsive| Failing {
        target: 5,
        excluded_ms,
        unresponsive,
    };
    for (name, report) in [("a", failing(400, true)), ("b", failing(900, false))] {
        let report = Digest {
            failing: vec![report],
            ..digest(name, 1, 1, 1)
        };
        peers.apply_digest(report, ms(0));
    }
    assert_eq!(peers.failing(ms(100))[&5], failing(800, true));
    assert_eq!(peers.failing(ms(500))[&5], failing(400, false));
    assert!(peers.failing(ms(900)).is_empty());
}
