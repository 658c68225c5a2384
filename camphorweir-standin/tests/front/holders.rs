//! Sound targets that alone hold some layers and are silent for a while.

use {
    crate::{
        bench::{Answer, Bench, KEYS, call, stream, until},
        site::site,
    },
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, Target},
    },
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
};

/// Time into a silence after which the target is suspected.
const SUSPECTED: Duration = Duration::from_millis(700);
/// Rest of a silence of a second.
const REST: Duration = Duration::from_millis(300);

/// Waits until a metric has a value.
pub(crate) async fn metric(bench: &Bench, name: &str, value: &str) {
    let scrape = Request::get("/metrics").body(Full::default()).unwrap();
    until(name, || async {
        let answer = call(bench.entries[0].metrics, &scrape).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut lines = text.lines();
        lines
            .any(|line| line.starts_with(name) && line.ends_with(value))
            .then_some(())
    })
    .await;
}

/// A deployment whose streams aim at a first event within two seconds, in order of priority or not.
async fn start(is_ordered: bool) -> Bench {
    let bench = Bench::start(1).await;
    let mut site = site(2, &KEYS);
    site["routes"][2]["targetLatencyMs"] = 2_000.into();
    site["routes"][3]["priority"] = (1 + u8::from(is_ordered)).into();
    bench
        .store
        .put("keyed.op", "config", site.to_string().as_bytes());
    metric(&bench, "camphorweir_configuration{", " 2").await;
    bench
}

fn spawn(bench: &Bench, id: &str) -> JoinHandle<Answer> {
    let (front, mut request) = (bench.front(), stream(id));
    let headers = request.headers_mut();
    headers.insert("x-deadline-ms", "8000".parse().unwrap());
    tokio::spawn(async move { call(front, &request).await })
}

/// Drains the other target with the first layers, and starts a slow stream at the one that is left.
async fn occupy(bench: &Bench) -> (JoinHandle<Answer>, &Target) {
    let holds_first = |part: &&Target| part.layers().is_some_and(|(from, _)| from == 0);
    let mut holders = bench.parts.iter().filter(holds_first);
    let (holder, spare) = (holders.next().unwrap(), holders.next().unwrap());
    spare.drain();
    metric(bench, "camphorweir_targets{state=\"draining\"", " 1").await;
    holder.inject(ResponseFault::Slow);
    let caller = spawn(bench, "s1");
    until("the run", || async {
        (holder.runs("s1") == 1).then_some(())
    })
    .await;
    (caller, holder)
}

/// Guards against requests that are refused for lack of layers which a silent target holds.
#[tokio::test]
async fn a_request_waits_for_a_silent_target_that_alone_holds_some_layers() {
    for is_ordered in [false, true] {
        let bench = start(is_ordered).await;
        let (first, holder) = occupy(&bench).await;
        bench.cut_target(0, holder, Some(Cut::Paused));
        sleep(SUSPECTED).await;
        let second = spawn(&bench, "s2");
        sleep(REST).await;
        bench.cut_target(0, holder, None);
        for caller in [second, first] {
            let answer = caller.await.unwrap();
            assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
        }
        assert_eq!(bench.runs("s2"), 1);
    }
}

/// Guards against callers that wait for a dead target, and requests that are sent to one.
#[tokio::test]
async fn a_request_for_a_dead_target_that_alone_held_some_layers_is_refused_and_not_sent() {
    let bench = start(true).await;
    let (_first, holder) = occupy(&bench).await;
    bench.cut_target(0, holder, Some(Cut::Silent));
    metric(&bench, "camphorweir_targets{state=\"silent\"", " 1").await;
    bench.parts.iter().for_each(|part| part.drain());
    metric(&bench, "camphorweir_targets{state=\"draining\"", " 4").await;
    let answer = call(bench.front(), &stream("s2")).await;
    assert_eq!((answer.status, bench.runs("s2")), (503, 0), "{answer:?}");
    assert!(!answer.header("retry-after").is_empty());
}

/// Guards against layers that are ordered elsewhere because of a silence that a sound target may have.
#[tokio::test]
async fn a_sound_silence_moves_no_layers() {
    let bench = start(false).await;
    let (caller, holder) = occupy(&bench).await;
    let orders = |bench: &Bench| -> Vec<usize> {
        let parts = bench.parts.iter();
        parts.map(|part| part.fencing_tokens().len()).collect()
    };
    let before = orders(&bench);
    bench.cut_target(0, holder, Some(Cut::Paused));
    sleep(Duration::from_millis(1_500)).await;
    bench.cut_target(0, holder, None);
    let answer = caller.await.unwrap();
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(orders(&bench), before);
}
