use {
    camphorweir_relay::peers::Peers,
    camphorweir_wire::digest::{Digest, Load, MEMORY_UNIT_TOKEN_LAYERS},
    std::time::Duration,
};

fn digest(name: &str, life: u64, number: u64, streams: u16) -> Digest {
    Digest {
        entry: name.to_owned(),
        incarnation: life,
        sequence: number,
        loads: vec![Load {
            target: 5,
            streams,
            first_stage: 1,
            memory: 3,
        }],
        failing: Vec::new(),
    }
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn the_newest_digest_of_each_peer_counts() {
    let mut peers = Peers::default();
    assert!(peers.apply(digest("a", 1, 4, 2), ms(0)));
    assert!(peers.apply(digest("b", 1, 1, 3), ms(0)));
    assert!(!peers.apply(digest("a", 1, 3, 9), ms(1)));
    let load = peers.load(5);
    assert_eq!(
        (load.streams, load.token_layers),
        (5.0, 6.0 * MEMORY_UNIT_TOKEN_LAYERS)
    );
    // After a restart, digests are numbered from the start again.
    assert!(peers.apply(digest("a", 2, 0, 1), ms(2)));
    assert_eq!(peers.load(5).streams, 4.0);
    assert_eq!(peers.load(6).streams, 0.0);
}

#[test]
fn the_load_of_a_peer_that_timed_out_is_dropped() {
    let mut peers = Peers::default();
    peers.apply(digest("a", 1, 1, 2), ms(0));
    peers.apply(digest("b", 1, 1, 3), ms(2_999));
    assert_eq!(peers.load(5).streams, 5.0);
    peers.apply(digest("b", 1, 2, 3), ms(3_001));
    assert_eq!((peers.load(5).streams, peers.count()), (3.0, 1));
    assert_eq!(peers.time_since_digest("b", ms(3_101)), Some(ms(100)));
}
