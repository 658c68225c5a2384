//! A key is taken away while the store turns one machine away; then the store comes back from an older copy.
#![allow(dead_code)]

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long before the ack the store begins to turn one of the three machines away.
const TURNED_AWAY_BEFORE_MS: u64 = 1_200;
/// When the store goes away, after the ack, and how long it is away; the machine is turned away until then.
const AWAY_AT_MS: u64 = 4_200;
const AWAY_MS: u64 = 500;
/// Time after its return at which the operator has repeated its write.
const REPEAT_MS: u64 = 1_900;
/// One machine in each.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
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
    let _servers: Vec<_> = ZONES
        .iter()
        .map(|zone| {
            start_plain(
                &store,
                &runs,
                "ledger",
                zone,
                &format!("ledger-{zone}"),
                ms(15),
            )
        })
        .collect();
    let turns_away = Arc::new(AtomicBool::new(false));
    let doors = [store.clone(), store.clone(), store.door(turns_away.clone())];
    let mut entries: Vec<Entry> = ZONES
        .iter()
        .zip(&doors)
        .map(|(zone, door)| Entry::new(&folder, &format!("front-{zone}-1"), zone, door))
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
    log.line("version 1 in force at all entries; both keys are served");
    thread::sleep(ms(8_000));

    // ONLY=away or ONLY=drill leaves the other of the two disruptions out.
    let only = std::env::var("ONLY").unwrap_or_default();
    let has_drill = trouble && only != "away";
    if trouble && only != "drill" {
        turns_away.store(true, Ordering::SeqCst);
        log.line("the store turns the machine of zone-c away");
    }
    thread::sleep(ms(TURNED_AWAY_BEFORE_MS - 500));
    let copied = Instant::now();
    thread::sleep(ms(500));
    let version = configuration(2, false);
    store.put("keyed.op", "config", version.as_bytes());
    let acked = Instant::now();
    log.line("the store acks version 2, which takes the key of tenant two away");
    // The requesters of both tenants go on all the while.
    let (mut is_away, mut is_back, mut has_repeated) = (!has_drill, !has_drill, !has_drill);
    let (mut sent, mut checked) = (0, 0);
    let mut late = Vec::new();
    while acked.elapsed() < ms(9_000) {
        if acked.elapsed() >= ms(AWAY_AT_MS) {
            turns_away.store(false, Ordering::SeqCst);
        }
        if !is_away && acked.elapsed() >= ms(AWAY_AT_MS) {
            is_away = true;
            store.leave();
            log.line("the store is away; it turns no machine away any more");
        }
        if !is_back && acked.elapsed() >= ms(AWAY_AT_MS + AWAY_MS) {
            is_back = true;
            store.restore(copied);
            log.line(
                "the store is back, for all, from a copy of before the ack: Store-Era rises by one",
            );
        }
        if !has_repeated && acked.elapsed() >= ms(AWAY_AT_MS + AWAY_MS + REPEAT_MS) {
            has_repeated = true;
            store.put("keyed.op", "config", version.as_bytes());
            log.line("the operator writes version 2 again");
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
            checked += usize::from(after > REVOKE);
            if ran && after > REVOKE {
                late.push(after.as_millis());
            }
        }
        thread::sleep(ms(50));
    }
    let broken = (!late.is_empty()).then(|| {
        format!(
            "CONFIG: {} of {checked} requests sent later than revokeMs after the ack ran with the key that it took \
             away, {} to {} ms after it",
            late.len(),
            late.first().unwrap(),
            late.last().unwrap()
        )
    });
    end(&log, &folder, broken)
}
