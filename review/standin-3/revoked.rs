//! A key that was taken away, after a drill of the store and the restart of one process.

mod common;

use {
    common::{Entry, Folder, Record, Server, Store, call, cannot_run, configuration, has_trouble, ms, request, start_server},
    std::{net::Ipv4Addr, thread::sleep, time::{Duration, Instant}},
};

const GOOD: &str = "good-key";
const REVOKED: &str = "revoked-key";
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

struct Case {
    record: Record,
    servers: Vec<Server>,
    sent: u32,
}

impl Case {
    /// Sends a request with a key; returns its status, and whether a server ran it.
    fn ask(&mut self, entry: &Entry, key: &str, since_ack: Duration) -> (u16, bool) {
        self.sent += 1;
        let attempt = format!("{:016x}", 0xa000 + self.sent);
        let answer = call(entry.callers, &request("GET", "/status/1", &attempt, key), ms(1500));
        let status = answer.as_ref().map_or(0, common::Message::status);
        let has_run = self.servers.iter().any(|server| server.count(&attempt) > 0);
        self.record.say(&format!(
            "requester sent {attempt} with {key} to {} {:.3} s after the ack: status {status}, run {has_run}",
            entry.name,
            since_ack.as_secs_f64()
        ));
        (status, has_run)
    }
}

fn main() {
    let out = std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: revoked RECORD"));
    let record = Record::new(&out);
    let folder = Folder::new("review-11");
    let store = Store::start();
    let servers = ZONES.iter().enumerate().map(|(index, zone)| {
        start_server(&store, &record, &format!("i-{index}"), "hall", zone, ms(15))
    });
    let servers: Vec<Server> = servers.collect();
    store.write("keyed.op", "config", &configuration(7, &[GOOD, REVOKED]));
    let entry = |index: usize, last: u8| {
        let name = format!("front-{}-1", ZONES[index]);
        let ip = Ipv4Addr::new(127, 0, 0, last);
        Entry::new(&folder.0, &name, ZONES[index], &ZONES, ip, &store)
    };
    let (mut first, mut second) = (entry(0, 11), entry(1, 12));
    first.start();
    second.start();
    if !first.wait_ready(ms(20_000)) || !second.wait_ready(ms(20_000)) {
        cannot_run("the entries are not ready");
    }
    sleep(ms(9_000));
    let mut case = Case { record: record.clone(), servers, sent: 0 };
    for entry in [&first, &second] {
        for key in [GOOD, REVOKED] {
            if case.ask(entry, key, Duration::ZERO) != (200, true) {
                cannot_run("a key in force is not served");
            }
        }
    }

    store.copy();
    sleep(ms(300));
    let acked = store.write("keyed.op", "config", &configuration(10, &[GOOD]));
    record.say("operator: version 10 takes the key away; acked");
    sleep_until(acked + ms(2_300));
    for entry in [&first, &second] {
        if case.ask(entry, REVOKED, acked.elapsed()).0 != 401 {
            cannot_run("version 10 is not in force");
        }
    }

    sleep_until(acked + ms(3_700));
    if has_trouble() {
        store.go_away();
        first.kill();
        record.say("drill: the store is away; the process of the first entry is killed");
        sleep_until(acked + ms(3_900));
        let age = store.come_back_from_copy();
        record.say(&format!("the store is back from a copy {:.1} s old", age.as_secs_f64()));
        sleep_until(acked + ms(4_100));
        first.start();
        record.say("the process of the first entry is started again");
    }
    let mut late_runs = 0;
    sleep_until(acked + ms(5_050));
    while acked.elapsed() < ms(5_850) {
        for entry in [&first, &second] {
            let since_ack = acked.elapsed();
            late_runs += u32::from(case.ask(entry, REVOKED, since_ack).1);
        }
        sleep(ms(40));
    }
    sleep_until(acked + ms(5_900));
    if has_trouble() {
        store.write("keyed.op", "config", &configuration(10, &[GOOD]));
        record.say("operator: version 10 is written again");
    }
    sleep(ms(2_500));
    for entry in [&first, &second] {
        for key in [GOOD, REVOKED] {
            case.ask(entry, key, acked.elapsed());
        }
    }
    for line in first.lines("configuration in force").iter().chain(&first.lines("older copy")) {
        record.say(&format!("log of {}: {line}", first.name));
    }
    record.say(&format!("requests with the key that were sent later than 5 s after the ack and ran: {late_runs}"));
    println!("late runs: {late_runs}");
    drop((first, second, folder));
    std::process::exit(i32::from(late_runs > 0));
}
