//! The group of the stand-in for the metadata store.

mod support;

use {
    camphorweir_standin::metadata::Store,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    support::send,
    tokio::time::sleep,
};

/// Time after which a member that does not join again is dropped.
const TERM: Duration = Duration::from_secs(3);

/// Joins the group; gives its generation and whether the partition is assigned to the member.
async fn join(store: SocketAddr, member: &str) -> (u64, bool) {
    let body = json!({
        "group": "g", "member": member, "topics": ["t"],
        "ttlMs": TERM.as_millis() as u64, "generation": 0,
    });
    let body = body.to_string();
    let answer = send("POST", store, "/api/log-join", &[], body.as_bytes()).await;
    let grant: Value = serde_json::from_slice(answer.unwrap().body()).unwrap();
    let has_partition = grant["parts"] != json!([]);
    (grant["generation"].as_u64().unwrap(), has_partition)
}

#[tokio::test(start_paused = true)]
async fn a_member_that_does_not_join_again_loses_the_partition_at_the_end_of_its_term() {
    let (_store, address) = Store::spawn().await.unwrap();
    assert_eq!(join(address, "a").await, (1, true));
    assert_eq!(join(address, "b").await, (2, false));
    sleep(TERM - Duration::from_millis(100)).await;
    assert_eq!(join(address, "b").await, (2, false));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(join(address, "b").await, (3, true));
    // It comes back as any new member does.
    assert_eq!(join(address, "a").await, (4, true));
}
