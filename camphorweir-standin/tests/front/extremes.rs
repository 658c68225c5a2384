//! Configurations and records with figures at the ends of their types.

use {
    crate::{
        bench::{Bench, KEYS, call, is_ready, plain, stream, until},
        site::site,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::sleep,
};

/// A configuration is in force within this time.
const CONFIGURE: Duration = Duration::from_secs(2);
/// Time for which the store can't be read.
const OUTAGE: Duration = Duration::from_secs(3);
/// Calls that an entry may make meanwhile: its four readers try again after pauses of 0.1 s or more.
const MAX_CALLS: usize = 120;

/// Publishes a configuration with a limit for callers set to a value, and calls once it is in force.
async fn status_under(bench: &Bench, version: u64, limit: &str, value: &Value) -> u16 {
    let mut site = site(version, &KEYS);
    site["limits"][limit] = value.clone();
    let bytes = site.to_string();
    bench.store.put("keyed.op", "config", bytes.as_bytes());
    sleep(CONFIGURE).await;
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    answer.status
}

#[tokio::test]
async fn callers_are_answered_whatever_the_limits_on_their_connections() {
    let bench = Bench::start(1).await;
    let values = [
        ("maxHeaderBytes", json!(u64::MAX)),
        ("maxHeaderBytes", json!(0)),
        ("headerTimeoutMs", json!(1.8e22)),
        ("idleTimeoutMs", json!(9.3e21)),
        ("idleTimeoutMs", json!(1e300)),
    ];
    for (version, (limit, value)) in (2..).zip(&values) {
        let status = status_under(&bench, version, limit, value).await;
        assert_eq!(status, 200, "{limit}: {value}");
    }
}

#[tokio::test]
async fn a_list_of_several_pages_is_read_whole_whatever_keys_other_writers_have() {
    let mut bench = Bench::start(1).await;
    let put = |bench: &Bench, key: &str, value: &str| {
        bench.store.put("keyed.servers", key, value.as_bytes());
    };
    // With the two targets before them they fill the first page but for its last record.
    for index in 0..497 {
        put(&bench, &format!("m-{index}"), "not a target");
    }
    for last in ["r b", "r&b", "r+b=c#d", "r%41"] {
        put(&bench, last, "not a target");
        bench.replace_entries().await;
        until(last, || async {
            if !is_ready(&bench.entries[0]).await {
                return None;
            }
            let answer = call(bench.front(), &stream("a1")).await;
            (answer.status == 200).then_some(())
        })
        .await;
        put(&bench, last, "");
    }
}

#[tokio::test]
async fn a_store_that_repeats_a_page_is_not_read_without_end() {
    let mut bench = Bench::start(1).await;
    for index in 0..600 {
        let key = format!("m-{index}");
        bench.store.put("keyed.servers", &key, b"not a target");
    }
    bench.store.set_repeats_pages(true);
    bench.replace_entries().await;
    let before = bench.store.request_count();
    sleep(OUTAGE).await;
    let calls = bench.store.request_count() - before;
    assert!(calls <= MAX_CALLS, "{calls}");
    bench.store.set_repeats_pages(false);
    until("ready", || async {
        is_ready(&bench.entries[0]).await.then_some(())
    })
    .await;
}
