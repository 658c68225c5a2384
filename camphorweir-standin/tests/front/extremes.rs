//! Configurations and records with figures at the ends of their types.

use {
    crate::{
        bench::{Bench, KEYS, call, plain},
        site::site,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::sleep,
};

/// A configuration is in force within this time.
const CONFIGURE: Duration = Duration::from_secs(2);

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
