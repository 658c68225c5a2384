//! What a follower gets from a peer that it turns to.

use {
    bytes::Bytes,
    camphorweir_entry::front::feed::Feed,
    camphorweir_wire::replication::{Change, List, Request},
    std::time::Duration,
};

/// Records of the largest published deployment's targets.
const TARGETS: usize = 211;

/// A feed that has read both the configuration and the targets.
fn feed() -> Feed {
    let feed = Feed::default();
    feed.set_configuration(7, Bytes::from_static(b"configuration"));
    feed.set_confirmed(Duration::ZERO);
    feed.set_targets_read(Duration::ZERO);
    feed
}

fn put(feed: &Feed, key: &str, value: &str) {
    let value = Bytes::copy_from_slice(value.as_bytes());
    feed.apply_record(List::Targets, key, Some(&value));
}

fn fill(feed: &Feed) {
    for index in 0..TARGETS {
        put(feed, &format!("i-{index}"), &"r".repeat(400));
    }
}

/// The first request of a follower with this feed, which has the configuration.
fn request(follower: &Feed) -> Request {
    Request {
        version: 7,
        known: Some(follower.fingerprints()),
        ..Request::default()
    }
}

fn keys(changes: &[Change]) -> Vec<(&str, bool)> {
    let changes = changes.iter();
    changes
        .map(|change| (change.key.as_str(), change.value.is_some()))
        .collect()
}

#[test]
fn a_follower_of_another_peer_gets_only_what_differs() {
    let (source, follower) = (feed(), feed());
    fill(&source);
    fill(&follower);
    put(&source, "i-3", "changed");
    put(&source, "new", "added");
    put(&follower, "gone", "removed at the source");
    let response = source.update_for(&request(&follower), Duration::ZERO);
    let response = response.unwrap();
    assert!(!response.is_snapshot);
    assert_eq!(keys(&response.changes), [("i-3", true), ("new", true)]);
    assert_eq!(
        keys(&follower.removals(&response.removed)),
        [("gone", false)]
    );
    assert_eq!(response.configuration, None);
}

#[test]
fn a_follower_with_the_same_records_gets_none() {
    let (source, follower) = (feed(), feed());
    fill(&source);
    fill(&follower);
    let response = source.update_for(&request(&follower), Duration::ZERO);
    let response = response.unwrap();
    assert_eq!((response.changes.len(), response.removed.len()), (0, 0));
    assert!(!response.is_snapshot);
}

#[test]
fn a_follower_without_records_gets_all() {
    let source = feed();
    fill(&source);
    let ask = Request {
        known: None,
        ..request(&feed())
    };
    let response = source.update_for(&ask, Duration::ZERO).unwrap();
    assert!(response.is_snapshot);
    assert_eq!(response.changes.len(), TARGETS);
}
