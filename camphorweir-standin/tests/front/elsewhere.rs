//! Sends elsewhere beside one whose target is silent.

use {
    crate::{
        bench::{Bench, KEYS, call, until},
        silence::{is_whole, metric, patient, spawn},
        site::site,
    },
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, Target},
    },
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

/// Time in which a connection opens, if it does.
const CONNECT: Duration = Duration::from_millis(100);

/// Guards against a send elsewhere that is given up as its first target reports the silent send as stalled.
#[tokio::test]
async fn a_stream_that_goes_on_at_its_first_target_by_another_hop_is_not_stalled() {
    let bench = Bench::start(1).await;
    let mut thrice = site(2, &KEYS);
    thrice["routes"][2]["maxAttempts"] = 3.into();
    bench
        .store
        .put("keyed.op", "config", thrice.to_string().as_bytes());
    metric(&bench, &["camphorweir_configuration{"], " 2").await;
    let named = |path: &str, part: &Target| path.contains(&part.address().to_string());
    call(bench.front(), &patient("/text/a", "path", "10,24")).await;
    let first = bench.parts.iter().find(|part| part.runs("path") == 1);
    let first = first.unwrap();
    let spare = bench.parts.iter();
    let spare = spare.filter(|part| part.id() != first.id() && part.layers() == first.layers());
    spare.for_each(|part| part.drain());
    metric(
        &bench,
        &["camphorweir_targets{", "state=\"draining\""],
        " 1",
    )
    .await;
    first.inject(ResponseFault::Hang);
    let caller = spawn(&bench, patient("/text/a", "s1", "10,24"));
    until("the run", || async {
        (first.runs("s1") == 1).then_some(())
    })
    .await;
    let requests = first.requests();
    let path = requests.last().unwrap().header("x-hop-count");
    let others = bench.parts.iter().filter(|part| part.id() != first.id());
    let stalled = others.clone().find(|part| named(path, part)).unwrap();
    first.inject(ResponseFault::LateBy(1_500));
    first.report_stalled_hop("s1", stalled.address());
    let answer = caller.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!((first.runs("s1"), bench.runs("s1")), (2, 2));
}

/// A listener that takes no further connection: those that try wait.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut open = Vec::new();
    while let Ok(stream) = timeout(CONNECT, TcpStream::connect(address)).await {
        open.push(stream.unwrap());
    }
    (listener, open)
}

/// Time within which an entry knows where targets have moved.
const LISTED: Duration = Duration::from_millis(1_700);
/// Time from a silence on after which the send elsewhere is being connected.
const CONNECTING: Duration = Duration::from_millis(580);

/// Guards against a send elsewhere that counts as a run though it was cancelled before it left.
#[tokio::test]
async fn a_stream_that_went_on_before_its_send_elsewhere_had_left_may_be_resumed_later() {
    let bench = Bench::start(1).await;
    let slow = ResponseFault::SlowBy(1_000);
    bench.parts.iter().for_each(|part| part.inject(slow));
    let caller = spawn(&bench, patient("/text/a", "s1", "10,24"));
    let first = until("the run", || async {
        bench.parts.iter().find(|part| part.runs("s1") == 1)
    })
    .await;
    bench.parts.iter().for_each(|part| part.clear_faults());
    let (full, _open) = full_listener().await;
    let others = bench.parts.iter().filter(|part| part.id() != first.id());
    let others: Vec<&Target> = others.collect();
    for part in &others {
        part.set_published_address(full.local_addr().unwrap());
    }
    sleep(LISTED).await;
    bench.cut_target(0, first, Some(Cut::Paused));
    sleep(CONNECTING).await;
    bench.cut_target(0, first, None);
    for part in &others {
        part.set_published_address(part.address());
    }
    sleep(LISTED).await;
    assert_eq!(bench.runs("s1"), 1);
    bench.cut_target(0, first, Some(Cut::Reset));
    let answer = caller.await.unwrap();
    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!(bench.runs("s1"), 2);
}
