//! Streams that wait for memory of targets, where the routes of a model have different priorities.

use {
    crate::{
        bench::{Answer, Bench, call, stream, until},
        site::site,
    },
    bytes::Bytes,
    camphorweir_standin::platform_target::{ResponseFault, STREAM_EVENTS, Target, event},
    http_body_util::Full,
    hyper::Request,
    std::{future::Future, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
};

/// Tokens of a prompt that fills most of the memory of a target.
const LARGE: &str = "15000,24";
/// Tokens of a prompt for which there is no memory beside it.
const MEDIUM: &str = "6000,24";

fn sized(id: &str, tokens: &str) -> Request<Full<Bytes>> {
    let mut request = stream(id);
    let headers = request.headers_mut();
    headers.insert("x-token-usage", tokens.parse().unwrap());
    request
}

async fn metrics(bench: &Bench) -> String {
    let scrape = Request::get("/metrics").body(Full::default()).unwrap();
    let answer = call(bench.entries[0].metrics, &scrape).await;
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// A bench whose streams have two priorities.
async fn start() -> Bench {
    let bench = Bench::start(1).await;
    let mut site = site(2, &crate::bench::KEYS);
    site["routes"][3]["priority"] = 2.into();
    bench
        .store
        .put("keyed.op", "config", site.to_string().as_bytes());
    until("the configuration", || async {
        let text = metrics(&bench).await;
        let mut lines = text.lines();
        lines
            .any(|line| line.starts_with("camphorweir_configuration{") && line.ends_with(" 2"))
            .then_some(())
    })
    .await;
    bench
}

fn spawn(bench: &Bench, id: &str, tokens: &str) -> JoinHandle<Answer> {
    let (front, request) = (bench.front(), sized(id, tokens));
    tokio::spawn(async move { call(front, &request).await })
}

/// Starts a long stream that fills the memory of its targets; returns its first target.
async fn fill<'a>(bench: &'a Bench, id: &str) -> (JoinHandle<Answer>, &'a Target) {
    for part in &bench.parts {
        part.inject(ResponseFault::Slow);
    }
    let caller = spawn(bench, id, LARGE);
    let first = || async { bench.parts.iter().find(|part| part.runs(id) == 1) };
    let first = until("the run", first).await;
    for part in &bench.parts {
        part.clear_faults();
    }
    (caller, first)
}

/// Starts a stream that is interrupted and finds no room, ends after `wait` the one that takes it, and
/// demands that the first goes on.
async fn goes_on_after<F: Future<Output = ()>>(wait: impl FnOnce() -> F) {
    let bench = start().await;
    let (filler, filled) = fill(&bench, "s1").await;
    for part in bench.parts.iter().filter(|part| part.id() != filled.id()) {
        part.inject(ResponseFault::CutIn(3));
    }
    let stream = spawn(&bench, "s2", MEDIUM);
    until("the run", || async {
        (bench.runs("s2") == 1).then_some(())
    })
    .await;
    wait().await;
    assert_eq!((filled.runs("s2"), stream.is_finished()), (0, false));
    filler.abort();
    let answer = stream.await.unwrap();
    assert_eq!((answer.status, answer.whole), (200, true));
    let all: String = (1..=STREAM_EVENTS).map(event).collect();
    assert_eq!(
        (answer.body.as_ref(), filled.runs("s2")),
        (all.as_bytes(), 1)
    );
}

/// Guards against streams that are cut although there is room before their callers leave.
#[tokio::test]
async fn an_interrupted_stream_that_finds_room_within_a_second_goes_on() {
    goes_on_after(|| sleep(Duration::from_millis(700))).await;
}

/// Guards against streams that are cut as their wait ends while their instance is suspended.
#[tokio::test]
async fn an_interrupted_stream_outlives_a_suspension_of_its_instance() {
    goes_on_after(|| async {
        sleep(Duration::from_millis(600)).await;
        std::thread::sleep(Duration::from_millis(1_050));
        sleep(Duration::from_millis(1)).await;
    })
    .await;
}

/// Guards against requests that are sent after their callers have left, and memory that stays reserved
/// for them.
#[tokio::test]
async fn a_caller_that_leaves_while_it_waits_leaves_nothing_behind() {
    let bench = start().await;
    let (one, _) = fill(&bench, "s1").await;
    let (two, _) = fill(&bench, "s2").await;
    let waiting = spawn(&bench, "s3", MEDIUM);
    sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    waiting.abort();
    until("the end of the wait", || async {
        let text = metrics(&bench).await;
        let mut lines = text
            .lines()
            .filter(|line| line.starts_with("camphorweir_waits_total"));
        lines
            .any(|line| line.contains("outcome=\"left\""))
            .then_some(())
    })
    .await;
    one.abort();
    two.abort();
    for id in ["s4", "s5"] {
        until("memory", || async {
            let answer = call(bench.front(), &sized(id, LARGE)).await;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    assert_eq!(bench.runs("s3"), 0);
}
