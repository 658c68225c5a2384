//! Targets that are sound and silent for a while, which must end no answer; and dead ones.

use {
    crate::{
        bench::{Answer, Bench, KEYS, call, plain, stream_of, until},
        site::site,
    },
    bytes::Bytes,
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, STREAM_EVENTS, Target, event},
    },
    futures::future::join_all,
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Times for which sound targets are silent. Callers leave after two seconds without data.
const SILENCES: [Duration; 2] = [Duration::from_millis(1_000), Duration::from_millis(1_900)];
/// Callers leave after this time without data.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Tokens of a prompt that fills most of the memory of its targets.
const LARGE: &str = "15000,24";
/// Pause between two versions of the configuration.
const VERSION_PAUSE: Duration = Duration::from_millis(100);

fn all() -> String {
    (1..=STREAM_EVENTS).map(event).collect()
}

pub(crate) fn is_whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.whole && answer.body == all()
}

/// A request for a stream with tokens as given, whose caller waits for up to eight seconds.
pub(crate) fn patient(path: &str, id: &str, tokens: &str) -> Request<Full<Bytes>> {
    let mut request = stream_of(path, id);
    let headers = request.headers_mut();
    headers.insert("x-deadline-ms", "8000".parse().unwrap());
    headers.insert("x-token-usage", tokens.parse().unwrap());
    request
}

pub(crate) fn spawn(bench: &Bench, request: Request<Full<Bytes>>) -> JoinHandle<Answer> {
    let front = bench.front();
    tokio::spawn(async move { call(front, &request).await })
}

async fn metrics(bench: &Bench) -> String {
    let scrape = Request::get("/metrics").body(Full::default()).unwrap();
    let answer = call(bench.entries[0].metrics, &scrape).await;
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Waits until a metric with these labels has a value.
pub(crate) async fn metric(bench: &Bench, labels: &[&str], value: &str) {
    until(&labels.join(" "), || async {
        let text = metrics(bench).await;
        let mut lines = text.lines().filter(|line| line.ends_with(value));
        lines
            .any(|line| labels.iter().all(|label| line.contains(label)))
            .then_some(())
    })
    .await;
}

/// Drains all targets with layers but those of one path; returns the first of that path.
pub(crate) async fn keep_one_path(bench: &Bench) -> &Target {
    assert!(is_whole(
        &call(bench.front(), &patient("/text/a", "path", "10,24")).await
    ));
    let first = bench.parts.iter().find(|part| part.runs("path") == 1);
    let requests = first.unwrap().requests();
    let sent = requests
        .iter()
        .find(|request| request.header("x-attempt-id") == "path");
    let path = sent.unwrap().header("x-hop-count");
    let is_spare = |part: &&Target| !path.contains(&part.address().to_string());
    bench
        .parts
        .iter()
        .filter(is_spare)
        .for_each(|part| part.drain());
    metric(bench, &["camphorweir_targets{", "state=\"draining\""], " 2").await;
    first.unwrap()
}

/// Starts a slow stream; returns its caller and first target, with no fault left at the others.
async fn start_slow<'a>(
    bench: &'a Bench,
    path: &str,
    id: &str,
    tokens: &str,
) -> (JoinHandle<Answer>, &'a Target) {
    bench
        .parts
        .iter()
        .for_each(|part| part.inject(ResponseFault::Slow));
    let caller = spawn(bench, patient(path, id, tokens));
    let first = until("the run", || async {
        bench.parts.iter().find(|part| part.runs(id) == 1)
    })
    .await;
    bench.parts.iter().for_each(|part| part.clear_faults());
    (caller, first)
}

/// Waits until the memory of all targets takes two large streams at a time.
async fn memory_is_free(bench: &Bench) {
    until("memory", || async {
        bench
            .parts
            .iter()
            .for_each(|part| part.inject(ResponseFault::Slow));
        let streams = ["m1", "m2"].map(|id| patient("/text/a", id, LARGE));
        let answers = streams.iter().map(|request| call(bench.front(), request));
        let answers = join_all(answers).await;
        bench.parts.iter().for_each(|part| part.clear_faults());
        answers.iter().all(is_whole).then_some(())
    })
    .await;
}

/// Silences the only path of a stream in its midst.
async fn stream_goes_on(path: &str) {
    for silence in SILENCES {
        let bench = Bench::start(1).await;
        keep_one_path(&bench).await;
        let (caller, first) = start_slow(&bench, path, "s1", "10,24").await;
        bench.cut_target(0, first, Some(Cut::Paused));
        sleep(silence).await;
        bench.cut_target(0, first, None);
        let answer = caller.await.unwrap();
        assert!(is_whole(&answer), "{silence:?}: {answer:?}");
        assert_eq!(bench.runs("s1"), 1);
    }
}

/// Guards against a resumable stream that is cut as it has no place elsewhere.
#[tokio::test]
async fn a_resumable_stream_without_a_place_elsewhere_outlives_a_silence() {
    stream_goes_on("/text/a").await;
}

/// Guards against a stream that is cut since it may not be resumed.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_outlives_a_silence() {
    stream_goes_on("/once/a").await;
}

/// Guards against a request that fails as its target is silent before the answer.
#[tokio::test]
async fn a_stream_that_has_not_begun_outlives_a_silence() {
    for (silence, path) in SILENCES.into_iter().zip(["/text/a", "/once/a"]) {
        let bench = Bench::start(1).await;
        let first = keep_one_path(&bench).await;
        bench.cut_target(0, first, Some(Cut::Paused));
        let caller = spawn(&bench, patient(path, "s1", "10,24"));
        sleep(silence).await;
        bench.cut_target(0, first, None);
        let answer = caller.await.unwrap();
        assert!(is_whole(&answer), "{silence:?}: {answer:?}");
        assert_eq!(bench.runs("s1"), 1);
    }
}

/// Guards against calls that are ended, or sent twice, as their targets are silent.
#[tokio::test]
async fn calls_outlive_a_silence_of_all_targets() {
    for silence in SILENCES {
        let bench = Bench::start(1).await;
        bench.cut(0, Some(Cut::Paused));
        let calls = ["/seal/b", "/look/b"].map(|path| plain(path, path, KEYS[0]));
        let calls = calls.map(|request| spawn(&bench, request));
        sleep(silence).await;
        bench.cut(0, None);
        for (caller, id) in calls.into_iter().zip(["/seal/b", "/look/b"]) {
            let answer = caller.await.unwrap();
            assert_eq!((answer.status, answer.whole), (200, true), "{silence:?}");
            assert_eq!(bench.runs(id), 1);
        }
    }
}

/// Guards against a stream that is cut as the target that it should go on at refuses it.
#[tokio::test]
async fn a_silent_stream_that_other_targets_refuse_goes_on_where_it_is() {
    let bench = Bench::start(1).await;
    let (caller, first) = start_slow(&bench, "/text/a", "s1", "10,24").await;
    for part in bench.parts.iter().filter(|part| part.id() != first.id()) {
        (0..4).for_each(|_| part.inject(ResponseFault::Refuse));
    }
    bench.cut_target(0, first, Some(Cut::Paused));
    sleep(SILENCES[0]).await;
    bench.cut_target(0, first, None);
    let answer = caller.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!(bench.runs("s1"), 1);
}

/// Guards against a stream that is cut as the target that it should go on at never answers.
#[tokio::test]
async fn a_silent_stream_whose_next_target_is_dead_goes_on_where_it_is() {
    let bench = Bench::start(1).await;
    let (caller, first) = start_slow(&bench, "/text/a", "s1", LARGE).await;
    for part in &bench.parts {
        let cut = match part.id() == first.id() {
            true => Cut::Paused,
            false => Cut::Silent,
        };
        bench.cut_target(0, part, Some(cut));
    }
    sleep(SILENCES[0]).await;
    bench.cut_target(0, first, None);
    let answer = caller.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!(bench.runs("s1"), 1);
    bench.cut(0, None);
    memory_is_free(&bench).await;
}

/// Guards against a stream that is cut as its connection fails, though it was sent elsewhere already.
#[tokio::test]
async fn a_silent_stream_whose_connection_fails_goes_on_at_the_target_it_was_sent_to() {
    let bench = Bench::start(1).await;
    let (caller, first) = start_slow(&bench, "/text/a", "s1", "10,24").await;
    bench.cut(0, Some(Cut::Paused));
    sleep(SILENCES[0]).await;
    bench.cut_target(0, first, Some(Cut::Reset));
    sleep(VERSION_PAUSE).await;
    let others = bench.parts.iter().filter(|part| part.id() != first.id());
    others.for_each(|part| bench.cut_target(0, part, None));
    let answer = caller.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!(bench.runs("s1"), 2);
}

/// Guards against memory that stays reserved for a stream whose caller left as it went on elsewhere.
#[tokio::test]
async fn a_caller_that_leaves_a_silent_stream_leaves_no_memory_reserved() {
    let bench = Bench::start(1).await;
    let (caller, _) = start_slow(&bench, "/text/a", "s1", LARGE).await;
    bench.cut(0, Some(Cut::Silent));
    sleep(SILENCES[0]).await;
    caller.abort();
    bench.cut(0, None);
    metric(
        &bench,
        &["camphorweir_answers_cut_total", "cause=\"caller\""],
        " 1",
    )
    .await;
    memory_is_free(&bench).await;
}

/// Guards against memory that is reserved twice for a stream whose caller left as it waited for a place
/// elsewhere.
#[tokio::test]
async fn a_caller_that_leaves_while_its_stream_waits_elsewhere_leaves_no_memory_reserved() {
    let bench = Bench::start(1).await;
    let mut ranked = site(2, &KEYS);
    ranked["routes"][3]["priority"] = 2.into();
    bench
        .store
        .put("keyed.op", "config", ranked.to_string().as_bytes());
    metric(&bench, &["camphorweir_configuration{"], " 2").await;
    keep_one_path(&bench).await;
    let (caller, first) = start_slow(&bench, "/text/a", "s1", LARGE).await;
    sleep(Duration::from_millis(100)).await;
    bench.cut_target(0, first, Some(Cut::Paused));
    sleep(Duration::from_millis(1_200)).await;
    caller.abort();
    sleep(Duration::from_millis(100)).await;
    bench.cut_target(0, first, None);
    until("memory", || async {
        let answer = call(bench.front(), &patient("/text/a", "after", LARGE)).await;
        is_whole(&answer).then_some(())
    })
    .await;
}

/// Guards against answers that end while configurations, settings and instances change beside a silence.
#[tokio::test]
async fn answers_outlive_a_silence_beside_changes_of_the_configuration() {
    let mut bench = Bench::start(2).await;
    keep_one_path(&bench).await;
    let slow = |path, id| start_slow(&bench, path, id, "10,24");
    let (text, _) = slow("/text/a", "text").await;
    let (once, _) = slow("/once/a", "once").await;
    bench.cut(0, Some(Cut::Paused));
    let calls = ["/seal/b", "/look/b"].map(|path| spawn(&bench, plain(path, path, KEYS[0])));
    bench.entries[1].stop();
    let begun = Instant::now();
    for version in (2..).take_while(|_| begun.elapsed() < SILENCES[1]) {
        let mut site = site(version, &KEYS);
        for (index, route) in site["routes"]
            .as_array_mut()
            .unwrap()
            .iter_mut()
            .enumerate()
        {
            route["timeoutMs"] = (7_000 + 100 * version).into();
            route["priority"] = (version % (2 + index as u64)).into();
        }
        site["limits"]["idleTimeoutMs"] = (15_000 - 1_000 * (version % 3)).into();
        site["services"][1]["maxConnections"] = (60 + version).into();
        if version % 2 == 0 {
            site["routes"].as_array_mut().unwrap().truncate(2);
        }
        bench
            .store
            .put("keyed.op", "config", site.to_string().as_bytes());
        if let Ok(settings) = &mut *bench.entries[0].settings.lock().unwrap() {
            settings.bounds.retry_budget.ratio = 0.1 + 0.01 * (version % 5) as f64;
        }
        sleep(VERSION_PAUSE).await;
    }
    bench.cut(0, None);
    for (caller, id) in [(text, "text"), (once, "once")] {
        let answer = caller.await.unwrap();
        assert!(is_whole(&answer), "{id}: {answer:?}");
        assert_eq!(bench.runs(id), 1);
    }
    for caller in calls {
        assert_eq!(caller.await.unwrap().status, 200);
    }
}

/// Starts a stream whose first target gets a fault in its midst, while another has room; returns the
/// answer, and how long it took from then on.
async fn leave_dead(path: &str, cut: Cut) -> (Bench, Answer, Duration) {
    let bench = Bench::start(1).await;
    let (caller, first) = start_slow(&bench, path, "s1", "10,24").await;
    sleep(Duration::from_millis(100)).await;
    bench.cut_target(0, first, Some(cut));
    let begun = Instant::now();
    let answer = caller.await.unwrap();
    (bench, answer, begun.elapsed())
}

/// Guards against streams that stay at a dead target although another has room.
#[tokio::test]
async fn a_stream_leaves_a_dead_target_before_its_caller_leaves() {
    for cut in [Cut::Silent, Cut::Reset] {
        let (bench, answer, took) = leave_dead("/text/a", cut).await;
        assert!(is_whole(&answer), "{cut:?}: {answer:?}");
        assert_eq!(bench.runs("s1"), 2);
        assert!(took < CALLER_PATIENCE, "{cut:?}: {took:?}");
    }
}

/// Guards against a cut answer that nothing counts, and one that is held after its connection failed.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_ends_with_its_connection_and_is_counted() {
    let (bench, answer, took) = leave_dead("/once/a", Cut::Reset).await;
    assert_eq!((answer.status, answer.whole), (200, false));
    assert!(took < CALLER_PATIENCE, "{took:?}");
    metric(
        &bench,
        &["camphorweir_answers_cut_total", "cause=\"connection\""],
        " 1",
    )
    .await;
}
