//! Requests that crash the targets that run them.

use {
    crate::bench::{Bench, KEYS, call, is_ready, plain, stream, until, with_body},
    bytes::Bytes,
    camphorweir_standin::platform_target::Target,
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Body of the request that crashes targets.
const CRASHING: &str = "a batch that no target bears";
/// Crashes of targets after which the instances must know the request, once they had [`KNOWN_AFTER`].
const CRASHES: usize = 3;
/// Time after that many crashes from which on the request may reach few targets.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// How many it may reach then.
const MAX_LATER: usize = 3;
/// How long the request comes again.
const TIME: Duration = Duration::from_secs(8);
/// Pause between its attempts.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends a request again and again, with a new attempt each time, to one entry after the other.
async fn send_often(bench: &Bench, request: impl Fn(&str) -> Request<Full<Bytes>>) {
    let until = Instant::now() + TIME;
    let mut entries = bench.entries.iter().cycle();
    let mut number = 0;
    while Instant::now() < until
        && let Some(entry) = entries.next()
    {
        let request = with_body(request(&format!("crashing-{number}")), CRASHING);
        call(entry.callers, &request).await;
        number += 1;
        sleep(PAUSE).await;
    }
}

fn crashes(targets: &[Target]) -> Vec<Instant> {
    let mut crashes: Vec<Instant> = targets.iter().flat_map(Target::crashes).collect();
    crashes.sort();
    crashes
}

async fn few_targets_crash(
    targets: impl Fn(&Bench) -> &[Target],
    request: impl Fn(&str) -> Request<Full<Bytes>>,
) -> Bench {
    let bench = Bench::start(3).await;
    for target in targets(&bench) {
        target.crash_on(CRASHING);
    }
    send_often(&bench, request).await;
    let crashes = crashes(targets(&bench));
    assert!(!crashes.is_empty());
    if let Some(third) = crashes.get(CRASHES - 1) {
        let later = crashes.iter().filter(|at| **at > *third + KNOWN_AFTER);
        assert!(later.count() <= MAX_LATER, "{} crashes", crashes.len());
    }
    bench
}

#[tokio::test]
async fn a_lookup_that_crashes_targets_reaches_few_of_them() {
    let lookup = |id: &str| plain("/look/b", id, KEYS[0]);
    let bench = few_targets_crash(|bench| &bench.calls, lookup).await;
    let answer = call(bench.front(), &lookup("sound")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_seal_that_crashes_targets_reaches_few_of_them() {
    let seal = |id: &str| plain("/seal/b", id, KEYS[0]);
    let bench = few_targets_crash(|bench| &bench.calls, seal).await;
    let answer = call(bench.front(), &seal("sound")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_stream_that_crashes_targets_reaches_few_of_them() {
    few_targets_crash(|bench| &bench.parts, stream).await;
}

/// Part of prompts that crashes targets, and parts that others share.
const CRASHING_PART: &str = "dead";
const SOUND_PARTS: [&str; 3] = ["a1", "a2", "a3"];
/// Crashes under requests with one part after which the instances must know it, once they had
/// [`KNOWN_AFTER`].
const PART_CRASHES: usize = 5;
/// From when on sound requests must be served, after as many crashes or the last.
const SOUND_AFTER: Duration = Duration::from_secs(6);
/// How long requests with the crashing part come.
const PART_TIME: Duration = Duration::from_secs(14);
/// Number of sound requests that must have come from then on.
const MIN_SOUND: usize = 20;

/// A stream with a prompt and a body of its own.
fn stream_with_parts(shared: &str, number: usize) -> Request<Full<Bytes>> {
    let mut request = stream(&format!("{shared}-{number}"));
    let parts = format!("{shared},f{number:x}:20");
    let headers = request.headers_mut();
    headers.insert("x-prompt-prefix", parts.parse().unwrap());
    request.map(|_| Full::new(format!("batch {number}").into()))
}

/// What became of requests while some of them crashed the targets that ran them.
struct Storm {
    crashes: Vec<Instant>,
    /// When each sound request was sent, and whether its first attempt was answered whole.
    sound: Vec<(Instant, bool)>,
}

/// Sends requests with a part that crashes targets, and sound ones with the same key and other parts.
async fn storm(prompt: fn(&str) -> String) -> Storm {
    let bench = Bench::start(3).await;
    for target in &bench.parts {
        target.crash_on_part(CRASHING_PART);
    }
    let start = Instant::now();
    let crashing = async {
        for number in 0.. {
            if start.elapsed() > PART_TIME {
                return;
            }
            let shared = prompt(SOUND_PARTS[number % SOUND_PARTS.len()]);
            let entry = &bench.entries[number % bench.entries.len()];
            call(entry.callers, &stream_with_parts(&shared, number)).await;
            sleep(PAUSE).await;
        }
    };
    let sound = async {
        let mut sound = Vec::new();
        for number in 0.. {
            if start.elapsed() > PART_TIME {
                break;
            }
            let shared = format!("{}:10", SOUND_PARTS[number % SOUND_PARTS.len()]);
            let entry = &bench.entries[(number + 1) % bench.entries.len()];
            let sent_at = Instant::now();
            let answer = call(entry.callers, &stream_with_parts(&shared, number)).await;
            sound.push((sent_at, answer.status == 200 && answer.whole));
            sleep(PAUSE).await;
        }
        sound
    };
    let ((), sound) = tokio::join!(crashing, sound);
    Storm {
        crashes: crashes(&bench.parts),
        sound,
    }
}

#[tokio::test]
async fn requests_with_a_part_that_crashes_targets_reach_few_of_them() {
    let storm = storm(|other| format!("{other}:10,{CRASHING_PART}:5")).await;
    assert!(!storm.crashes.is_empty());
    if let Some(fifth) = storm.crashes.get(PART_CRASHES - 1) {
        let later = storm.crashes.iter();
        let later = later.filter(|at| **at > *fifth + KNOWN_AFTER);
        assert!(
            later.count() <= MAX_LATER,
            "{} crashes",
            storm.crashes.len()
        );
    }
}

#[tokio::test]
async fn requests_that_share_other_parts_with_one_that_crashes_targets_are_served() {
    let storm = storm(|other| format!("{CRASHING_PART}:5,{other}:10")).await;
    let crashes = &storm.crashes;
    let known = crashes.get(PART_CRASHES - 1).or(crashes.last()).unwrap();
    let later = storm
        .sound
        .iter()
        .filter(|(at, _)| *at > *known + SOUND_AFTER);
    let served: Vec<bool> = later.map(|(_, served)| *served).collect();
    assert!(served.len() >= MIN_SOUND, "{} requests", served.len());
    let count = served.iter().filter(|served| **served).count();
    assert!(count * 2 >= served.len(), "{count} of {}", served.len());
}

#[tokio::test]
async fn entries_that_all_lost_power_still_refuse_a_request_that_ended_targets() {
    let mut bench = Bench::start(2).await;
    for target in &bench.calls {
        target.crash_on(CRASHING);
    }
    let seal = |id: &str| with_body(plain("/seal/b", id, KEYS[0]), CRASHING);
    for number in 0.. {
        let answer = call(bench.front(), &seal(&format!("before-{number}"))).await;
        if answer.header("camphorweir-code") == "3007" {
            break;
        }
        sleep(PAUSE).await;
    }
    // The store takes the record meanwhile.
    sleep(KNOWN_AFTER).await;
    bench.replace_entries().await;
    let before = crashes(&bench.calls).len();
    for entry in &bench.entries {
        until("ready", || async { is_ready(entry).await.then_some(()) }).await;
        let answer = call(entry.callers, &plain("/seal/b", "sound", KEYS[0])).await;
        assert_eq!(answer.status, 200);
        let answer = call(entry.callers, &seal("after")).await;
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("camphorweir-ran"), "no");
    }
    assert_eq!(crashes(&bench.calls).len(), before);
}

#[tokio::test]
async fn a_lookup_that_broke_off_with_a_crash_is_served() {
    let bench = Bench::start(2).await;
    for target in &bench.calls {
        target.crash_on(CRASHING);
    }
    for round in 0..3 {
        let crash = with_body(
            plain("/seal/b", &format!("crash-{round}"), KEYS[0]),
            CRASHING,
        );
        let crash = call(bench.entries[1].callers, &crash);
        let lookups = (0..6).map(|number| {
            let lookup = plain("/look/b", &format!("look-{round}-{number}"), KEYS[0]);
            let entry = bench.front();
            async move { call(entry, &lookup).await }
        });
        futures::future::join(crash, futures::future::join_all(lookups)).await;
    }
    until("served", || async {
        let answer = call(bench.front(), &plain("/look/b", "last", KEYS[0])).await;
        (answer.status == 200).then_some(())
    })
    .await;
}
