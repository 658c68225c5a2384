//! Instances that stop while callers use their connections.

use {
    crate::bench::{Bench, Channel, KEYS, call, plain, stream, until},
    bytes::Bytes,
    camphorweir_standin::platform_target::{ResponseFault, STREAM_EVENTS, event},
    http_body_util::Full,
    hyper::Request,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Time from SIGTERM to SIGKILL in the settings of the bench.
const GRACE: Duration = Duration::from_secs(8);
/// Pause after each event of a stream of 5.4 s.
const SLOW: ResponseFault = ResponseFault::SlowBy(900);
/// Longest Retry-After with which a caller still comes back at once, in seconds.
const SHORT_S: f64 = 0.5;
/// Time within which a refusal counts as given at once.
const AT_ONCE: Duration = Duration::from_millis(500);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn all_events() -> String {
    (1..=STREAM_EVENTS).map(event).collect()
}

/// A request for a stream whose caller waits for as long as the route allows.
fn patient(id: &str) -> Request<Full<Bytes>> {
    let mut request = stream(id);
    let headers = request.headers_mut();
    headers.insert("x-deadline-ms", "20000".parse().unwrap());
    request
}

/// Opens connections, each of which has served a call.
async fn used_channels(front: SocketAddr, count: usize) -> Vec<Channel> {
    let mut channels = Vec::new();
    for index in 0..count {
        let mut channel = Channel::open(front).await;
        let warm = plain("/look/b", &format!("w{index}"), KEYS[0]);
        assert_eq!(channel.call(&warm).await.unwrap().status, 200);
        channels.push(channel);
    }
    channels
}

/// Lets the next streams of all targets take 5.4 s, and the instance see some of them.
async fn slow_streams(bench: &Bench) {
    for part in &bench.parts {
        (0..200).for_each(|_| part.inject(SLOW));
    }
    let mut streams = JoinSet::new();
    for index in 0..12 {
        let front = bench.front();
        streams.spawn(async move { call(front, &patient(&format!("before-{index}"))).await });
    }
    for answer in streams.join_all().await {
        assert!(answer.whole && answer.status == 200, "{answer:?}");
    }
}

/// Guards against streams that a stopping instance admits and cuts, and against reloads that move its end.
#[tokio::test]
async fn a_stream_that_arrives_during_a_stop_is_served_whole_or_refused_at_once() {
    let mut bench = Bench::start(1).await;
    slow_streams(&bench).await;
    let front = bench.front();
    let early = used_channels(front, 4).await;
    let mut entry = bench.entries.remove(0);
    let settings = entry.settings.clone();
    let begun = Instant::now();
    entry.stop();
    let end = tokio::spawn(async move {
        entry.ended().await.unwrap();
        Instant::now()
    });
    sleep(ms(100)).await;
    if let Ok(settings) = settings.lock().unwrap().as_mut() {
        settings.bounds.stop_grace = 3 * GRACE;
    }
    let mut streams = JoinSet::new();
    // Connections from before the stop are idle until 2 s, the others, opened later, until 2.8 s.
    let early = early
        .into_iter()
        .zip(0..)
        .map(|(channel, index)| (Some(channel), 150 + 500 * index));
    let late = (0..6).map(|index| (None, 1_900 + 150 * index));
    for (index, (channel, at)) in early.chain(late).enumerate() {
        streams.spawn(async move {
            let mut channel = match channel {
                Some(channel) => channel,
                None => {
                    sleep_until(begun + ms(1_000)).await;
                    Channel::open(front).await
                }
            };
            sleep_until(begun + ms(at)).await;
            let sent = Instant::now();
            let answer = channel.call(&patient(&format!("s{index}"))).await;
            (index, at, (sent, Instant::now()), answer)
        });
    }
    for version in 2..8 {
        bench.configure(version, &KEYS);
        sleep(ms(400)).await;
    }
    let (mut served, mut refused) = (0, 0);
    let end = end.await.unwrap();
    for (index, at, (sent, answered), answer) in streams.join_all().await {
        let answer = answer.unwrap();
        match answer.status {
            200 => {
                assert!(answer.whole && answered <= end, "cut: sent after {at} ms");
                assert_eq!(answer.body, all_events(), "sent after {at} ms");
                served += 1;
            }
            status => {
                assert_eq!((status, answer.header("connection")), (503, "close"));
                let retry_after: f64 = answer.header("retry-after").parse().unwrap();
                assert!(retry_after <= SHORT_S && answered - sent < AT_ONCE);
                assert_eq!(bench.runs(&format!("s{index}")), 0);
                refused += 1;
            }
        }
    }
    assert!(served > 0 && refused > 0, "{served} {refused}");
    assert!(end - begun < GRACE);
}

/// Guards against instances that send callers away who could still be served.
#[tokio::test]
async fn calls_and_streams_that_end_in_time_are_served_late_in_a_stop() {
    let mut bench = Bench::start(1).await;
    let front = bench.front();
    bench.parts.iter().for_each(|part| part.inject(SLOW));
    let long = tokio::spawn(async move { call(front, &patient("long")).await });
    until("the run", || async {
        (bench.runs("long") == 1).then_some(())
    })
    .await;
    bench.parts.iter().for_each(|part| part.clear_faults());
    bench.entries[0].stop();
    sleep(ms(3_500)).await;
    let answer = call(front, &plain("/look/b", "a1", KEYS[0])).await;
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    let answer = call(front, &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert!(long.await.unwrap().whole);
}
