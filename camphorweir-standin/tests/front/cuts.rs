//! Entries that are cut off from all targets while callers, the store and peers reach them.

use {
    crate::bench::{Answer, Bench, KEYS, call, plain, stream, stream_of, until},
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, STREAM_EVENTS, event},
    },
    futures::future::join_all,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// An entry that is cut off has to serve its callers again within this time.
const CONTACT: Duration = Duration::from_secs(3);
/// Pause between the requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(100);
/// Rounds of requests before the entry has to serve again, and after.
const ROUNDS: (usize, usize) = (30, 20);
/// Most first attempts that may fail where all of the others' are served: a third.
const MOST_FAILED: usize = 3 * ROUNDS.1 / 3;

/// Makes one request of each kind; returns how many got no complete answer, and the seal's id.
async fn round(entry: SocketAddr, name: &str) -> (usize, String) {
    let id = format!("{name}-seal");
    let seal = plain("/seal/b", &id, KEYS[0]);
    let look = plain("/look/b", &format!("{name}-look"), KEYS[0]);
    let text = stream(&format!("{name}-text"));
    let answers = join_all([&seal, &look, &text].map(|request| call(entry, request))).await;
    let all: String = (1..=STREAM_EVENTS).map(event).collect();
    let is_served = |(index, answer): &(usize, Answer)| {
        let is_whole = *index < 2 || answer.body == all;
        answer.status == 200 && answer.whole && is_whole
    };
    let answers = answers.into_iter().enumerate();
    (answers.filter(|answer| !is_served(answer)).count(), id)
}

/// Makes rounds of requests at an entry, without waiting for their answers; returns how many
/// requests got no complete answer, and the ids of the seals.
async fn rounds(entry: SocketAddr, name: &str, count: usize) -> (usize, Vec<String>) {
    let rounds = (0..count).map(|index| async move {
        sleep(CALLER_PAUSE * index as u32).await;
        round(entry, &format!("{name}{index}")).await
    });
    let (failed, ids): (Vec<usize>, _) = join_all(rounds).await.into_iter().unzip();
    (failed.into_iter().sum(), ids)
}

/// Cuts some entries of three off from all targets and compares what callers get there and at the
/// others.
async fn callers_are_served(cut: Cut, cut_entries: &[usize]) {
    let bench = Bench::start(3).await;
    for entry in cut_entries {
        bench.cut(*entry, Some(cut));
    }
    let at = |name: &'static str, count| {
        let entries = bench.entries.iter().enumerate();
        let rounds = entries.map(move |(index, entry)| {
            let name = format!("{name}{index}-");
            async move { rounds(entry.callers, &name, count).await }
        });
        join_all(rounds)
    };
    let before = at("before", ROUNDS.0).await;
    assert!(CALLER_PAUSE * ROUNDS.0 as u32 >= CONTACT);
    let after = at("after", ROUNDS.1).await;
    for (index, (failed, _)) in after.iter().enumerate() {
        let most = match cut_entries.contains(&index) {
            true => MOST_FAILED,
            false => 0,
        };
        assert!(*failed <= most, "{failed} failed at entry {index}, {cut:?}");
    }
    for id in before.iter().chain(&after).flat_map(|(_, ids)| ids) {
        assert!(bench.runs(id) <= 1, "{id} ran {} times", bench.runs(id));
    }
}

#[tokio::test]
async fn an_entry_whose_links_to_targets_are_silent_serves_its_callers() {
    callers_are_served(Cut::Silent, &[0]).await;
}

#[tokio::test]
async fn an_entry_whose_links_to_targets_are_reset_serves_its_callers() {
    callers_are_served(Cut::Reset, &[0]).await;
}

#[tokio::test]
async fn an_entry_that_can_open_no_link_to_targets_serves_its_callers() {
    callers_are_served(Cut::ResetNew, &[0]).await;
}

#[tokio::test]
async fn most_entries_of_a_zone_without_links_to_targets_serve_their_callers() {
    callers_are_served(Cut::Silent, &[0, 2]).await;
}

/// Targets fall silent this long and go on.
const SILENCE: Duration = Duration::from_millis(1_000);
/// They are used again within this time.
const USED_AGAIN: Duration = Duration::from_millis(1_000);

#[tokio::test]
async fn a_silence_of_a_second_ends_no_request_and_gives_no_target_up() {
    let bench = Bench::start(1).await;
    for part in &bench.parts {
        part.inject(ResponseFault::Slow);
    }
    let front = bench.front();
    let mut request = stream_of("/once/a", "once");
    let patient = "8000".parse().unwrap();
    request.headers_mut().insert("x-deadline-ms", patient);
    let stream = tokio::spawn(async move { call(front, &request).await });
    until("the stream", || async {
        (bench.runs("once") == 1).then_some(())
    })
    .await;
    bench.cut(0, Some(Cut::Paused));
    let seal = tokio::spawn(async move { call(front, &plain("/seal/b", "seal", KEYS[0])).await });
    sleep(SILENCE).await;
    bench.cut(0, None);
    let after = Instant::now();
    let stream = stream.await.unwrap();
    let all: String = (1..=STREAM_EVENTS).map(event).collect();
    assert_eq!((stream.status, stream.whole), (200, true));
    assert_eq!(stream.body, all);
    assert_eq!((seal.await.unwrap().status, bench.runs("seal")), (200, 1));
    assert_eq!(bench.runs("once"), 1);
    until("requests are served", || async {
        let answer = call(front, &crate::bench::stream("again")).await;
        (answer.status == 200).then_some(())
    })
    .await;
    let slow = Duration::from_millis(400) * STREAM_EVENTS as u32;
    assert!(after.elapsed() < USED_AGAIN + 2 * slow);
}
