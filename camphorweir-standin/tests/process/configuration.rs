//! Configuration: every entry at the accepted version within its bound, and never back.

use {
    crate::deployment::{Deployment, Entry, Plan, serving},
    serde_json::{Value, json},
    std::{path::PathBuf, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The promise: every entry that reaches the log is at the accepted version within this time.
const EVERYWHERE: Duration = Duration::from_secs(5);

/// A file that differs from all others by a number.
fn numbered(deployment: &Deployment, number: u32) -> PathBuf {
    deployment.file(&format!("numbered-{number}"), move |document| {
        let workspace = document.workspaces.get_mut("depot-9").unwrap();
        workspace.limits.concurrent = number;
    })
}

async fn publish(deployment: &Deployment, number: u32) {
    let published = deployment
        .publish("ada", &numbered(deployment, number))
        .await;
    assert!(published.status.success(), "{published:?}");
}

/// The versions that an entry has had in force, in order.
fn versions(entry: &Entry) -> Vec<u64> {
    let printed = entry.child.printed();
    let lines = printed
        .lines()
        .filter(|line| line.contains("configuration in force"));
    let lines = lines.map(|line| serde_json::from_str::<Value>(line).unwrap());
    lines
        .map(|line| line["kvs"]["version"].as_u64().unwrap())
        .collect()
}

/// Waits, no longer than promised, until entries are at a version.
async fn all_at(entries: &[Entry], version: u64) {
    let reached = timeout(EVERYWHERE, async {
        while entries
            .iter()
            .any(|entry| versions(entry).last() != Some(&version))
        {
            sleep(Duration::from_millis(5)).await;
        }
    });
    let seen: Vec<_> = entries.iter().map(versions).collect();
    assert!(reached.await.is_ok(), "not at {version}: {seen:?}");
}

fn check_upward(entries: &[Entry]) {
    for entry in entries {
        let versions = versions(entry);
        assert!(
            versions.is_sorted_by(|a, b| a < b),
            "{}: {versions:?}",
            entry.name
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_versions_are_everywhere_in_time_and_never_revert() {
    let deployment = Deployment::start(Plan::default()).await;
    let entries = &deployment.entries;
    for number in 2..5 {
        publish(&deployment, number).await;
        all_at(entries, u64::from(number)).await;
    }
    entries[2].child.signal("STOP");
    publish(&deployment, 5).await;
    deployment.log.faults(json!({"lost": 1})).await;
    publish(&deployment, 6).await;
    all_at(&entries[..2], 6).await;
    entries[2].child.signal("CONT");
    all_at(entries, 6).await;
    entries[2].caller.right_chat("after the freeze", 5).await;

    deployment
        .log
        .faults(json!({"net": {"cut": ["entry-1"]}}))
        .await;
    publish(&deployment, 7).await;
    all_at(&[], 7).await;
    entries[1].caller.right_chat("cut off", 5).await;
    deployment.log.faults(json!({})).await;
    all_at(entries, 7).await;
    check_upward(entries);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_entry_serves_nothing_before_it_has_a_version() {
    let mut deployment = Deployment::start(Plan {
        entries: 2,
        ..Plan::default()
    })
    .await;
    publish(&deployment, 2).await;
    deployment
        .log
        .faults(json!({"net": {"down": "refuse"}}))
        .await;
    deployment.add_entry(2).await;
    let caller = deployment.entries[2].caller;
    assert_eq!(caller.ready().await, Some(false));
    let answer = caller.chat("too early", 5).await;
    answer.refused(5001);
    assert!(answer.retry_after.is_some());
    deployment.log.faults(json!({})).await;
    all_at(&deployment.entries, 2).await;
    deployment.list_all().await;
    serving(caller).await;
    assert_eq!(caller.ready().await, Some(true));
    check_upward(&deployment.entries);
}
