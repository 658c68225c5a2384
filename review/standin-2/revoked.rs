//! A key is taken away; then the store comes back from an older copy while the entries start anew.
#![allow(dead_code)]

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
const KEYS: [&str; 2] = ["key-of-tenant-one", "key-of-tenant-two"];

fn configuration(version: u64, with_second_key: bool) -> String {
    let second = if with_second_key {
        format!("\"{}\"", KEYS[1])
    } else {
        String::new()
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"book","host":"pipelines.example","pathPrefix":"/book/",
"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":100,"priority":1,"service":"ledger","maxAttempts":1,
"public":false}}],"services":[{{"name":"ledger","healthPath":"/healthz","maxConnections":51,"protocol":"h1",
"tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}},"tenants":[{{"name":"tenant-one","apiKeys":["{}"],"priority":1}},
{{"name":"tenant-two","apiKeys":[{second}],"priority":1}}]}}"#,
        KEYS[0]
    )
}

fn book(entry: &Entry, id: &str, key: &str) -> u16 {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", "600"),
        ("Authorization", authorization.as_str()),
    ];
    call(
        entry.front,
        "POST",
        "/book/hall",
        &headers,
        b"a hall",
        ms(2_000),
    )
    .status
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let record = arguments
        .next()
        .unwrap_or_else(|| cannot_run("no file for the record"));
    let (log, folder, trouble) = (Log::create(&record), temporary_folder(), has_trouble());
    let store = Store::start();
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    store.put("keyed.op", "config", configuration(1, true).as_bytes());
    let _servers: Vec<_> = (1..=3)
        .map(|index| {
            start_plain(
                &store,
                &runs,
                "ledger",
                "zone-a",
                &format!("ledger-{index}"),
                ms(15),
            )
        })
        .collect();
    let mut entries: Vec<Entry> = (1..=2)
        .map(|index| Entry::new(&folder, &format!("front-zone-a-{index}"), "zone-a", &store))
        .collect();
    entries.iter_mut().for_each(Entry::start);
    wait_for("entries ready", ms(15_000), || {
        entries.iter().all(Entry::is_ready)
    });
    for entry in &entries {
        for key in KEYS {
            wait_for("a request served", ms(5_000), || {
                book(entry, "first", key) == 200
            });
        }
    }
    log.line("version 1 in force at both entries; both keys are served");
    thread::sleep(ms(5_000));

    store.put("keyed.op", "config", configuration(2, false).as_bytes());
    let acked = Instant::now();
    log.line("the store acks version 2, which takes the key of tenant two away");
    thread::sleep(ms(1_500));
    for entry in &entries {
        let statuses = KEYS.map(|key| book(entry, "second", key));
        log.line(&format!(
            "{}: key one {}, key two {}",
            entry.name, statuses[0], statuses[1]
        ));
        if statuses != [200, 401] {
            cannot_run("version 2 did not come into force before the disruption");
        }
    }
    let at = |after: u64| (acked + ms(after)).saturating_duration_since(Instant::now());
    thread::sleep(at(2_500));
    if trouble {
        store.leave();
        log.line("the store is away; all entries are killed");
        entries.iter_mut().for_each(Entry::kill);
        thread::sleep(at(3_000));
        entries.iter_mut().for_each(Entry::start);
        log.line("the entries are started again");
        thread::sleep(at(4_500));
        store.restore(acked - ms(500));
        log.line("the store is back from a copy of 0.5 s before the ack: Store-Era rises by one");
    }
    // The requesters of both tenants go on.
    thread::sleep(at(5_050));
    let mut has_repeated = !trouble;
    let mut sent = 0;
    let mut late = Vec::new();
    while acked.elapsed() < ms(9_000) {
        if !has_repeated && acked.elapsed() >= ms(6_400) {
            has_repeated = true;
            store.put("keyed.op", "config", configuration(2, false).as_bytes());
            log.line("the operator writes version 2 again, 1.9 s after the return of the store");
        }
        for entry in &entries {
            sent += 1;
            let (first, second) = (format!("one-{sent}"), format!("two-{sent}"));
            let after = acked.elapsed();
            let statuses = [book(entry, &first, KEYS[0]), book(entry, &second, KEYS[1])];
            let ran = runs.lock().unwrap().iter().any(|run| run.attempt == second);
            log.line(&format!(
                "{} ms after the ack, {}: key one {}, key two {}{}",
                after.as_millis(),
                entry.name,
                statuses[0],
                statuses[1],
                if ran { ", and a server ran it" } else { "" }
            ));
            if ran && after > REVOKE {
                late.push(after.as_millis());
            }
        }
        thread::sleep(ms(60));
    }
    let broken = (!late.is_empty()).then(|| {
        format!(
            "CONFIG: {} of {sent} requests sent {} to {} ms after the ack ran with the key that it took away",
            late.len(),
            late.first().unwrap(),
            late.last().unwrap()
        )
    });
    end(&log, &folder, broken)
}
