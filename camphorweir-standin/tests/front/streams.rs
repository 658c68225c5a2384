//! Streams over targets that hand on: paths, breaks, stalls.

use {
    crate::bench::{Bench, call, stream},
    camphorweir_standin::platform_target::{ResponseFault, STREAM_EVENTS, event},
    std::time::Duration,
    tokio::time::Instant,
};

/// After a caller has left, its request ends at the target within this time.
const LEFT: Duration = Duration::from_millis(500);

fn all() -> String {
    (1..=STREAM_EVENTS).map(event).collect()
}

#[tokio::test]
async fn a_stream_runs_on_a_path_of_every_layer_in_order() {
    let bench = Bench::start(1).await;
    let answer = call(bench.front(), &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, all());
    let seen = bench.parts.iter().flat_map(|part| part.requests());
    let seen: Vec<_> = seen
        .filter(|request| request.header("x-attempt-id") == "s1")
        .collect();
    assert_eq!(seen.len(), 1);
    let mut at = 0;
    for hop in seen[0].header("x-hop-count").split(',') {
        let (address, layers) = hop.split_once('=').unwrap();
        let (from, to) = layers.split_once('-').unwrap();
        let (from, to): (u64, u64) = (from.parse().unwrap(), to.parse().unwrap());
        let part = bench
            .parts
            .iter()
            .find(|part| part.address().to_string() == address);
        let (held, until) = part.unwrap().layers().unwrap();
        assert!(held <= from && to <= until, "{hop}");
        assert_eq!(from, at, "{hop}");
        at = to;
    }
    assert_eq!(at, 10);
}

#[tokio::test]
async fn a_stream_that_is_cut_in_an_event_goes_on_after_the_last_whole_one() {
    let bench = Bench::start(1).await;
    for part in &bench.parts {
        part.inject(ResponseFault::CutIn(4));
    }
    let answer = call(bench.front(), &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, all());
    assert_eq!(bench.runs("s1"), 2);
}

#[tokio::test]
async fn a_stream_without_a_length_ends_with_its_connection_and_goes_on_if_that_is_in_an_event() {
    let bench = Bench::start(1).await;
    for (id, fault, runs) in [
        ("s1", ResponseFault::Unframed, 1),
        ("s2", ResponseFault::UnframedCutIn(4), 2),
    ] {
        for part in &bench.parts {
            part.inject(fault);
        }
        let answer = call(bench.front(), &stream(id)).await;
        assert_eq!((answer.status, answer.whole), (200, true), "{fault:?}");
        assert_eq!(answer.body, all(), "{fault:?}");
        assert_eq!(bench.runs(id), runs, "{fault:?}");
        for part in &bench.parts {
            part.clear_faults();
        }
    }
}

#[tokio::test]
async fn a_stream_that_can_not_go_on_ends_visibly_broken() {
    let bench = Bench::start(1).await;
    for part in &bench.parts {
        part.inject(ResponseFault::CutAtOnce);
        part.inject(ResponseFault::CutAtOnce);
    }
    let answer = call(bench.front(), &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, false));
    assert!(all().starts_with(std::str::from_utf8(&answer.body).unwrap()));
    assert_eq!(bench.runs("s1"), 2);
}

/// Plays a fault at a stream's first target, which reports that the last hop doesn't answer.
async fn goes_on_elsewhere(fault: ResponseFault) {
    let bench = Bench::start(1).await;
    let last = bench
        .parts
        .iter()
        .find(|part| part.layers().is_some_and(|(_, to)| to == 10));
    let address = last.unwrap().address();
    for part in &bench.parts {
        part.inject(fault);
        part.report_stalled_hop("s1", address);
    }
    let begun = Instant::now();
    let answer = call(bench.front(), &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.body, all());
    // Callers leave after two seconds of silence.
    assert!(begun.elapsed().as_millis() < 2_000);
}

#[tokio::test]
async fn a_stream_that_stalls_on_a_dead_hop_goes_on_elsewhere() {
    goes_on_elsewhere(ResponseFault::StallAfter(2)).await;
}

#[tokio::test]
async fn a_stream_that_trickles_goes_on_elsewhere() {
    goes_on_elsewhere(ResponseFault::TrickleAfter(2)).await;
}

#[tokio::test]
async fn a_stream_of_a_caller_that_leaves_ends_at_the_target() {
    let bench = Bench::start(1).await;
    for part in &bench.parts {
        part.inject(ResponseFault::StallAfter(1));
    }
    let caller = tokio::spawn({
        let front = bench.front();
        async move { call(front, &stream("s1")).await }
    });
    crate::bench::until("the run", || async {
        (bench.runs("s1") == 1).then_some(())
    })
    .await;
    caller.abort();
    let left = Instant::now();
    let running = || {
        bench
            .parts
            .iter()
            .map(|part| part.open_streams())
            .sum::<usize>()
    };
    crate::bench::until("the end of the run", || async {
        (running() == 0).then_some(())
    })
    .await;
    assert!(left.elapsed() < LEFT);
}

#[tokio::test]
async fn a_slow_stream_is_left_alone() {
    let bench = Bench::start(1).await;
    for part in &bench.parts {
        part.inject(ResponseFault::Slow);
    }
    let answer = call(bench.front(), &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(
        (answer.body.as_ref(), bench.runs("s1")),
        (all().as_bytes(), 1)
    );
}
