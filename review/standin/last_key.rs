//! The last API key of a configuration is taken away.
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

/// Keys of the callers: two that the tenant holds at first, and one that no configuration ever holds.
const KEYS: [(&str, &str); 3] = [
    ("the first key", "key-one"),
    ("the last key", "key-two"),
    ("a key that never was", "key-none"),
];

/// A request: whose key it bears, and when it was sent.
type Sent = BTreeMap<String, (&'static str, Instant)>;

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"book","host":"site.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":100,"priority":2,"service":"hall","maxAttempts":1,"public":false}}],"services":[{{"name":"hall","healthPath":"/healthz","maxConnections":51,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"parish","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

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
        .map(|index| Server::start(&store, &log, &format!("i-{index}"), "hall", "z", ms(15)))
        .collect();
    let mut entries: Vec<Entry> = (0..2)
        .map(|index| Entry::new(&temporary, &store, &format!("front-z-{index}"), "z", 260))
        .collect();
    entries.iter_mut().for_each(|entry| entry.start(&log));
    entries.iter().for_each(|entry| entry.wait_ready(&log));

    let sent = Arc::new(Mutex::new(Sent::new()));
    let keys = KEYS;
    let until = Instant::now() + ms(24_000);
    let mut callers = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        for (number, (whose, key)) in KEYS.iter().enumerate() {
            let (sent, log, address) = (sent.clone(), log.clone(), entry.callers);
            callers.push(thread::spawn(move || {
                send(index * 10 + number, address, whose, key, until, &sent, &log);
            }));
        }
    }

    thread::sleep(ms(4000));
    let first = store.put(
        "keyed.op",
        "config",
        configuration(2, &["key-two"]).as_bytes(),
    );
    log.say("version 2 acknowledged: it takes the first key away, the tenant keeps the other");
    thread::sleep(ms(8000));
    let mut last = None;
    if has_trouble {
        last = store.put("keyed.op", "config", configuration(3, &[]).as_bytes());
        log.say("version 3 acknowledged: it takes the last key away, the tenant stays without any");
    }
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    drop(entries);

    let sent = sent.lock().unwrap();
    let ran = |id: &str| servers.iter().any(|server| server.ran(id));
    let late = |whose: &str, ack: Option<Instant>| -> (usize, usize) {
        let late = sent.iter().filter(|(_, (other, at))| {
            *other == whose && ack.is_some_and(|ack| *at > ack + REVOKE)
        });
        let late: Vec<_> = late.collect();
        (late.iter().filter(|(id, _)| ran(id)).count(), late.len())
    };
    let (first_runs, first_sent) = late(keys[0].0, first);
    let (last_runs, last_sent) = late(keys[1].0, last);
    let never: Vec<_> = sent
        .iter()
        .filter(|(_, (whose, _))| *whose == keys[2].0)
        .collect();
    let never_runs = never.iter().filter(|(id, _)| ran(id)).count();
    let sound = sent
        .iter()
        .filter(|(id, (whose, _))| *whose == keys[1].0 && ran(id))
        .count();
    log.say(&format!("first key: {first_runs} of {first_sent} ran that were sent over 5 s after the ack of version 2"));
    log.say(&format!("last key: {last_runs} of {last_sent} ran that were sent over 5 s after the ack of version 3"));
    log.say(&format!(
        "a key that no configuration ever held: {never_runs} of {} ran",
        never.len()
    ));
    if sound == 0 || first_sent == 0 || never.is_empty() || has_trouble && last_sent == 0 {
        log.say("the case could not run");
        exit(2);
    }
    let is_broken = first_runs + last_runs + never_runs > 0;
    log.say(if is_broken {
        "CONFIG and ROUTE: broken"
    } else {
        "CONFIG and ROUTE: held"
    });
    exit(i32::from(is_broken));
}

fn send(
    caller: usize,
    address: SocketAddr,
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
        sent.lock().unwrap().insert(id.clone(), (whose, at));
        let authorization = format!("Bearer {key}");
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "2000"),
            ("Authorization", authorization.as_str()),
        ];
        let answer = call(address, "POST", "/book/hall", &headers, b"{}", ms(2500));
        let status = answer.map_or("no answer".to_owned(), |answer| answer.status.to_string());
        log.line(&format!("caller with {whose}: {id} answered {status}"));
        thread::sleep(ms(150));
    }
}
