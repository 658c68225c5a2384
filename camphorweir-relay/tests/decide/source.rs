use {
    camphorweir_relay::source::{Peer, Selector, Source},
    std::{net::SocketAddr, time::Duration},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn address(name: &str) -> SocketAddr {
    let port = 1_000 + u16::try_from(name.len()).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// All instances but `own`, as peers; `silent` has sent no digest for 5 s.
fn peers(own: &str, all: &[&str], silent: Option<&str>) -> Vec<Peer> {
    let others = all.iter().filter(|name| **name != own);
    let peers = others.map(|name| Peer {
        name: (*name).to_owned(),
        address: address(name),
        time_since_digest: ms(if silent == Some(name) { 5_000 } else { 50 }),
    });
    peers.collect()
}

/// Instances that read the store.
fn readers(all: &[&str], silent: Option<&str>) -> Vec<String> {
    let live = all.iter().filter(|name| silent != Some(name));
    let reads = live.filter(|own| {
        let source = Selector::default().select(own, &peers(own, all, silent), ms(0));
        source == Source::Store
    });
    reads.map(|name| (*name).to_owned()).collect()
}

#[test]
fn exactly_one_live_instance_reads_the_store() {
    let all = ["e", "en", "ent", "entr", "entry"];
    let first = readers(&all, None);
    assert_eq!(first.len(), 1);
    let second = readers(&all, Some(&first[0]));
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
    assert_eq!(readers(&["e"], None), ["e"]);
}

#[test]
fn after_a_failed_or_stale_peer_the_store_is_read() {
    let all = ["e", "en"];
    let reads = readers(&all, None);
    let own = if reads == ["e"] { "en" } else { "e" };
    let peers = peers(own, &all, None);
    let mut selector = Selector::default();
    assert_eq!(
        selector.select(own, &peers, ms(0)),
        Source::Peer(peers[0].address)
    );
    selector.record_peer_failure(ms(0));
    assert_eq!(selector.select(own, &peers, ms(2_999)), Source::Store);
    assert_eq!(
        selector.select(own, &peers, ms(3_000)),
        Source::Peer(peers[0].address)
    );
    assert!(selector.check_peer_age(ms(2_399), ms(4_000)));
    assert!(!selector.check_peer_age(ms(2_400), ms(4_000)));
    assert_eq!(selector.select(own, &peers, ms(4_001)), Source::Store);
}

#[test]
fn an_instance_whose_store_reads_fail_follows_a_peer() {
    let all = ["e", "en"];
    let reads = readers(&all, None);
    let peers = peers(&reads[0], &all, None);
    let mut selector = Selector::default();
    selector.record_store_failure(ms(0));
    assert_eq!(
        selector.select(&reads[0], &peers, ms(1)),
        Source::Peer(peers[0].address)
    );
    // When the peer fails too, the store is tried again.
    selector.record_peer_failure(ms(2));
    assert_eq!(selector.select(&reads[0], &peers, ms(3)), Source::Store);
    assert_eq!(selector.select(&reads[0], &peers, ms(4_000)), Source::Store);
}
