//! Sound targets that alone hold some layers and are silent for a while.

use {
    crate::bench::{Answer, Bench, call, stream, until},
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, Target},
    },
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
};

async fn metric(bench: &Bench, name: &str, value: &str) {
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

/// Guards against layers that are ordered elsewhere because of a silence that a sound target may have.
#[tokio::test]
async fn a_sound_silence_moves_no_layers() {
    let bench = Bench::start(1).await;
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
