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
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Pause after each event of a stream that lasts longer than the shutdown.
const LONG: ResponseFault = ResponseFault::SlowBy(1_400);
/// An objective for which requests wait longer than the tests look on.
const OBJECTIVE: Duration = Duration::from_secs(3);
/// Time within which a refusal counts as given at once; the wait would last longer.
const AT_ONCE: Duration = Duration::from_millis(250);
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
    start_with(Duration::from_millis(500)).await
}

/// The same, where requests may wait for less than the objective.
async fn start_with(objective: Duration) -> Bench {
    let bench = Bench::start(1).await;
    let mut site = site(2, &crate::bench::KEYS);
    site["routes"][3]["priority"] = 2.into();
    for index in 2..4 {
        site["routes"][index]["targetLatencyMs"] = (objective.as_millis() as u64).into();
        site["routes"][index]["timeoutMs"] = 20_000.into();
    }
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

/// Guards against waiting requests that a shutdown refuses although they would end in time.
#[tokio::test]
async fn a_request_that_waits_as_the_instance_stops_is_served_if_it_ends_in_time() {
    let mut bench = start_with(OBJECTIVE).await;
    let (one, _) = fill(&bench, "s1").await;
    let (two, _) = fill(&bench, "s2").await;
    let waiting = spawn(&bench, "s3", MEDIUM);
    sleep(Duration::from_millis(100)).await;
    bench.entries[0].stop();
    sleep(Duration::from_millis(100)).await;
    // A new one that finds no room waits as well.
    let late = spawn(&bench, "s4", MEDIUM);
    sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished() && !late.is_finished());
    one.abort();
    two.abort();
    let all: String = (1..=STREAM_EVENTS).map(event).collect();
    for waiting in [waiting, late] {
        let answer = waiting.await.unwrap();
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!(answer.body.as_ref(), all.as_bytes());
    }
}

/// Guards against requests that wait through a shutdown although they can't end before the process.
#[tokio::test]
async fn a_request_that_waits_and_can_not_end_in_time_is_refused_as_the_instance_stops() {
    let mut bench = start_with(OBJECTIVE).await;
    let patient = |id: &str, tokens: &str| {
        let mut request = sized(id, tokens);
        let headers = request.headers_mut();
        headers.insert("x-deadline-ms", "20000".parse().unwrap());
        let front = bench.front();
        tokio::spawn(async move { call(front, &request).await })
    };
    for part in &bench.parts {
        (0..12).for_each(|_| part.inject(LONG));
    }
    let long: Vec<_> = (0..12)
        .map(|index| patient(&format!("l{index}"), "10,24"))
        .collect();
    for answer in long {
        assert!(answer.await.unwrap().whole);
    }
    bench.parts.iter().for_each(|part| part.clear_faults());
    let (_one, _) = fill(&bench, "s1").await;
    let (_two, _) = fill(&bench, "s2").await;
    let waiting = patient("s3", MEDIUM);
    sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    let begun = Instant::now();
    bench.entries[0].stop();
    let answer = waiting.await.unwrap();
    assert!(begun.elapsed() < AT_ONCE, "{:?}", begun.elapsed());
    assert_eq!((answer.status, bench.runs("s3")), (503, 0));
    assert!(answer.header("retry-after").parse::<f64>().unwrap() <= 0.5);
}
