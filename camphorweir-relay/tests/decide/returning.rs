//! Callers that return to another instance of the zone that refused them.

use {
    crate::router::{admit_request, router},
    camphorweir_relay::{ids::Time, router::Router, summary::summary_for_zone},
    camphorweir_wire::{
        code::Code,
        codec,
        digest::{Datagram, Digest, Summary},
        outcome::Refusal,
    },
    std::time::Duration,
};

const DIGEST_PERIOD_MS: u64 = 100;
const SUMMARY_PERIOD_MS: u64 = 200;
/// Time after which the caller returns.
const RETRY_AFTER_MS: u64 = 300;
/// Instances of a zone of the largest deployment.
const INSTANCES: usize = 37;
const FINGERPRINT: u64 = 0xfeed_0000_0001;
/// The most that refused requests add to a digest and to a summary: tags of 5 bytes, and the names of the
/// fields.
const MAX_ADDED: (usize, usize) = (200, 350);

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// Which datagram about the refused request is lost.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Lost {
    None,
    Digest,
    Summary,
}

fn sent(datagram: &Datagram) -> Datagram {
    codec::decode(&codec::encode(datagram)).unwrap()
}

fn digest_of(router: &Router, index: usize, now: Time) -> Digest {
    Digest {
        entry: format!("entry-{index}"),
        sequence: now.as_millis() as u64,
        ..router.digest(now)
    }
}

fn summary_of(router: &Router, zone: &str, now: Time) -> Summary {
    Summary {
        entry: "entry-0".to_owned(),
        sequence: now.as_millis() as u64,
        ..summary_for_zone(router, &zone.into(), now).remove(0)
    }
}

/// Time after a refusal at which all instances know of it, with the first of them as the aggregator. Digests
/// and summaries are due at the given times of their periods.
fn known_after(digest_at: u64, summary_at: u64, lost: Lost) -> u64 {
    let mut routers: Vec<Router> = (0..INSTANCES).map(|_| router()).collect();
    let zone = "near";
    let refused_at = 1_000;
    routers[1]
        .fairness
        .record_refused(FINGERPRINT, at(refused_at));
    let mut is_lost = lost == Lost::None;
    for ms in refused_at + 1..refused_at + 2_000 {
        let now = at(ms);
        if ms % DIGEST_PERIOD_MS == digest_at {
            for index in 1..INSTANCES {
                let digest = digest_of(&routers[index], index, now);
                if lost == Lost::Digest && index == 1 && !std::mem::replace(&mut is_lost, true) {
                    continue;
                }
                let Datagram::Digest(digest) = sent(&Datagram::Digest(digest)) else {
                    unreachable!();
                };
                routers[0].apply_digest(digest, now);
            }
        }
        if ms % SUMMARY_PERIOD_MS == summary_at {
            let summary = summary_of(&routers[0], zone, now);
            let is_news = !summary.refused.is_empty();
            if lost == Lost::Summary && is_news && !std::mem::replace(&mut is_lost, true) {
                continue;
            }
            for router in &mut routers[1..] {
                let Datagram::Summary(summary) = sent(&Datagram::Summary(summary.clone())) else {
                    unreachable!();
                };
                router.apply_summary(summary, now);
            }
        }
        if routers
            .iter()
            .all(|router| router.fairness.is_returning(FINGERPRINT, now))
        {
            return ms - refused_at;
        }
    }
    u64::MAX
}

/// Guards against a caller that returns when it was told to and is a newcomer at another instance, whenever
/// it was refused between two digests and summaries, and against one that a lost datagram makes a newcomer for good.
#[test]
fn a_caller_that_returns_is_recognized_at_any_instance_of_the_zone() {
    for digest_at in (0..DIGEST_PERIOD_MS).step_by(20) {
        for summary_at in (0..SUMMARY_PERIOD_MS).step_by(40) {
            let after = |lost| known_after(digest_at, summary_at, lost);
            let took = after(Lost::None);
            assert!(took <= RETRY_AFTER_MS, "{digest_at} {summary_at} {took}");
            let took = after(Lost::Digest);
            assert!(took <= RETRY_AFTER_MS + DIGEST_PERIOD_MS, "{took}");
            let took = after(Lost::Summary);
            assert!(took <= RETRY_AFTER_MS + SUMMARY_PERIOD_MS, "{took}");
        }
    }
}

/// Guards against word of a refusal that is repeated for good, by an instance or between instances.
#[test]
fn word_of_a_refusal_ends() {
    let (mut first, mut other) = (router(), router());
    other.fairness.record_refused(FINGERPRINT, at(0));
    first.apply_digest(digest_of(&other, 1, at(10)), at(10));
    assert_eq!(summary_of(&first, "near", at(20)).refused.len(), 1);
    assert!(digest_of(&first, 0, at(20)).refused.is_empty());
    assert!(digest_of(&other, 1, at(400)).refused.is_empty());
    assert!(summary_of(&first, "near", at(600)).refused.is_empty());
    assert!(first.fairness.is_returning(FINGERPRINT, at(7_900)));
    assert!(!first.fairness.is_returning(FINGERPRINT, at(8_100)));
}

/// Guards against datagrams that grow with the refusals of a zone in overload, and against any change of them
/// where requests have no order.
#[test]
fn refusals_add_few_bytes_to_datagrams_and_none_where_ranks_are_not_ordered() {
    let mut router = router();
    let bytes = |router: &Router| {
        let digest = Datagram::Digest(digest_of(router, 1, at(100)));
        let summary = Datagram::Summary(summary_of(router, "near", at(100)));
        (codec::encode(&digest).len(), codec::encode(&summary).len())
    };
    let before = bytes(&router);
    let request = admit_request(&mut router, "/text/a", at(0));
    let refusal = Refusal::not_run(Code::NoPath, "").with_retry_after(at(RETRY_AFTER_MS));
    router.record_refused(&request, &refusal, at(0));
    assert_eq!(bytes(&router), before);
    for request in 0..1_000_u64 {
        router.fairness.record_refused(0xf000_0000 + request, at(0));
    }
    let after = bytes(&router);
    let added = (after.0 - before.0, after.1 - before.1);
    println!("bytes added to a digest and a summary: {added:?}");
    assert!(
        added.0 <= MAX_ADDED.0 && added.1 <= MAX_ADDED.1,
        "{added:?}"
    );
}
