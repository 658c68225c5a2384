//! A machine is added just after the store has come back from a copy that is older than a revocation.
#![allow(dead_code)]

#[path = "base.rs"]
mod base;

use {
    base::{Entry, Server, Setting, Store, call, ms},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// `revokeMs` of the settings.
const REVOKE: Duration = ms(5000);
/// Time for which the store is away.
const AWAY: Duration = ms(500);
/// Time from the return of the store until the operator has written its configuration again.
const REWRITE: Duration = ms(2000);

/// Zones with a machine each; the last machine is added later.
const ZONES: [&str; 3] = ["pl-a", "rh-b", "cp-c"];

/// When each request was sent, with whose key and to which process.
type Sent = BTreeMap<String, (&'static str, Instant, String)>;

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":100,"priority":2,"service":"hall","maxAttempts":1,"public":false}}],"services":[{{"name":"hall","healthPath":"/healthz","maxConnections":51,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"parish","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

const KEYS: [(&str, &str); 2] = [("the kept key", "key-one"), ("the revoked key", "key-two")];

fn main() {
    let Setting {
        log,
        temporary,
        has_trouble,
    } = Setting::read();
    let store = Store::start();
    store.put(
        "keyed.op",
        "config",
        configuration(1, &["key-one", "key-two"]).as_bytes(),
    );
    let servers: Vec<Server> = (0..2)
        .map(|index| {
            Server::start(
                &store,
                &log,
                &format!("i-{index}"),
                "hall",
                ZONES[0],
                ms(15),
            )
        })
        .collect();
    let mut entries: Vec<Entry> = ZONES
        .iter()
        .map(|zone| Entry::new(&temporary, &store, &format!("front-{zone}-0"), zone, 260))
        .collect();
    let (added, running) = entries.split_last_mut().unwrap();
    running.iter_mut().for_each(|entry| entry.start(&log));
    running.iter().for_each(|entry| entry.wait_ready(&log));

    let sent = Arc::new(Mutex::new(Sent::new()));
    let until = Instant::now() + ms(24_000);
    let mut callers = Vec::new();
    for (index, entry) in running.iter().chain([&*added]).enumerate() {
        for (number, (whose, key)) in KEYS.iter().enumerate() {
            let (sent, log, address) = (sent.clone(), log.clone(), entry.callers);
            let name = entry.name.clone();
            callers.push(thread::spawn(move || {
                send(
                    index * 10 + number,
                    address,
                    &name,
                    whose,
                    key,
                    until,
                    &sent,
                    &log,
                );
            }));
        }
    }

    thread::sleep(ms(8000));
    let copied_at = Instant::now();
    thread::sleep(ms(300));
    let second = configuration(2, &["key-one"]);
    let ack = store.put("keyed.op", "config", second.as_bytes()).unwrap();
    log.say("version 2 acknowledged: it takes a key away");
    thread::sleep(ms(4700));
    if has_trouble {
        store.go_away();
        log.say("the store goes away");
    }
    thread::sleep(AWAY);
    let back = Instant::now();
    if has_trouble {
        store.come_back(Some(copied_at));
        log.say("the store is back, from the copy of before the ack of version 2");
    }
    thread::sleep(ms(200));
    added.start(&log);
    thread::sleep((back + REWRITE).saturating_duration_since(Instant::now()));
    if has_trouble {
        store.put("keyed.op", "config", second.as_bytes());
        log.say("the operator has written version 2 again");
    }
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    drop(entries);

    let sent = sent.lock().unwrap();
    let ran = |id: &str| servers.iter().any(|server| server.ran(id));
    let late: Vec<_> = sent
        .iter()
        .filter(|(_, (whose, at, _))| *whose == KEYS[1].0 && *at > ack + REVOKE)
        .collect();
    let bad: Vec<_> = late.iter().filter(|(id, _)| ran(id)).collect();
    for (id, (_, at, name)) in &bad {
        log.say(&format!(
            "{id} was sent to {name} {:.3} s after the ack, and ran",
            (*at - ack).as_secs_f64()
        ));
    }
    log.say(&format!(
        "revoked key: {} of {} ran that were sent over 5 s after the ack of version 2",
        bad.len(),
        late.len()
    ));
    if late.is_empty() || !sent.keys().any(|id| ran(id)) {
        exit(2);
    }
    log.say(if bad.is_empty() {
        "CONFIG: held"
    } else {
        "CONFIG: broken"
    });
    exit(i32::from(!bad.is_empty()));
}

#[allow(clippy::too_many_arguments)]
fn send(
    caller: usize,
    address: SocketAddr,
    name: &str,
    whose: &'static str,
    key: &str,
    until: Instant,
    sent: &Mutex<Sent>,
    log: &base::Log,
) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{:016x}", (caller << 32) + number);
        let at = Instant::now();
        sent.lock()
            .unwrap()
            .insert(id.clone(), (whose, at, name.to_owned()));
        let authorization = format!("Bearer {key}");
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "2000"),
            ("Authorization", authorization.as_str()),
        ];
        let answer = call(address, "POST", "/book/hall", &headers, b"{}", ms(2500));
        let status = answer.map_or("no answer".to_owned(), |answer| answer.status.to_string());
        log.line(&format!(
            "caller of {name} with {whose}: {id} answered {status}"
        ));
        thread::sleep(ms(40));
    }
}
