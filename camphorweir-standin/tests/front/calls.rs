//! Calls to plain services: what passes, what is repeated, and what a refusal promises.

use {
    crate::bench::{Bench, KEYS, call, plain, stream, until},
    bytes::Bytes,
    camphorweir_standin::platform_target::{ResponseFault, Target},
    http_body_util::Full,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep},
    },
};

#[tokio::test]
async fn a_call_passes_unchanged_with_its_workspace_and_without_its_key() {
    let bench = Bench::start(1).await;
    let answer = call(bench.front(), &plain("/seal/b/7?x=1&y=%20", "a1", KEYS[1])).await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.header("x-attempt-id"), "a1");
    let target = bench
        .calls
        .iter()
        .find(|target| target.runs("a1") == 1)
        .unwrap();
    assert_eq!(answer.header("x-response-seal"), target.id());
    let body = format!("/seal/b/7 by {}", target.id());
    assert_eq!(answer.body, body.as_bytes());
    let seen = target.requests();
    let seen = seen
        .iter()
        .find(|request| request.header("x-attempt-id") == "a1")
        .unwrap();
    assert_eq!(seen.method, "POST");
    assert_eq!(
        (seen.query("x"), seen.query("y")),
        ("1".into(), "%20".into())
    );
    assert_eq!(seen.body, b"batch 7".as_slice());
    assert_eq!(seen.header("x-tenant"), "w-key-of-two");
    assert_eq!(seen.header("authorization"), "");
    assert_eq!(seen.header("x-mark"), "kept");
    assert_eq!(seen.header("x-expect-instance"), target.id());
    let left: u64 = seen.header("x-deadline-ms").parse().unwrap();
    assert!((2000..=3000).contains(&left), "{left}");
}

#[tokio::test]
async fn a_seal_whose_answer_is_lost_is_not_sent_again() {
    let bench = Bench::start(1).await;
    bench
        .calls
        .iter()
        .for_each(|target| target.inject(ResponseFault::Lose));
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("camphorweir-ran"), "unknown");
    assert_eq!(bench.runs("a1"), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_passed_on() {
    let bench = Bench::start(1).await;
    bench
        .calls
        .iter()
        .for_each(|target| target.inject(ResponseFault::Foreign));
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    assert_eq!((answer.status, bench.runs("a1")), (502, 1));
    assert_eq!(answer.header("x-response-seal"), "");
}

#[tokio::test]
async fn a_seal_that_was_refused_goes_to_another_target() {
    let bench = Bench::start(1).await;
    bench.calls[0].inject(ResponseFault::Refuse);
    for index in 0..4 {
        let id = format!("a{index}");
        let answer = call(bench.front(), &plain("/seal/b", &id, KEYS[0])).await;
        assert_eq!((answer.status, bench.runs(&id)), (200, 1));
    }
}

#[tokio::test]
async fn a_seal_that_nobody_takes_is_refused_as_not_run_with_the_time_to_come_back() {
    let bench = Bench::start(1).await;
    for target in &bench.calls {
        (0..8).for_each(|_| target.inject(ResponseFault::Refuse));
    }
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    assert_eq!((answer.status, bench.runs("a1")), (503, 0));
    assert_eq!(answer.header("camphorweir-ran"), "no");
    let wait: f64 = answer.header("retry-after").parse().unwrap();
    assert!(wait > 0.0 && wait < 2.0);
}

#[tokio::test]
async fn a_lookup_is_repeated_once() {
    let bench = Bench::start(1).await;
    bench
        .calls
        .iter()
        .for_each(|target| target.inject(ResponseFault::Lose));
    let answer = call(bench.front(), &plain("/look/b", "a1", KEYS[0])).await;
    assert_eq!(answer.status, 502);
    assert_eq!(bench.runs("a1"), 2);
    let answer = call(bench.front(), &plain("/look/b", "a2", KEYS[0])).await;
    assert_eq!((answer.status, bench.runs("a2")), (200, 1));
}

#[tokio::test]
async fn a_targets_own_failure_keeps_its_status_and_seal() {
    let bench = Bench::start(1).await;
    bench
        .calls
        .iter()
        .for_each(|target| target.inject(ResponseFault::Fail));
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    assert_eq!((answer.status, bench.runs("a1")), (500, 1));
    assert!(answer.header("x-response-seal").starts_with("ledger"));
}

#[tokio::test]
async fn what_may_not_pass_is_refused_and_runs_nowhere() {
    let bench = Bench::start(1).await;
    let cases = [
        (plain("/none/b", "a1", KEYS[0]), 404),
        (plain("/seal/b", "a1", "no-such-key"), 401),
        (
            plain("/seal/b", "a1", KEYS[0]).map(|_| Full::new(Bytes::from(vec![b'x'; 5_000]))),
            413,
        ),
    ];
    for (request, status) in cases {
        let answer = call(bench.front(), &request).await;
        assert_eq!(answer.status, status);
        assert_eq!(answer.header("camphorweir-ran"), "no");
        assert_eq!(answer.header("x-attempt-id"), "a1");
    }
    assert_eq!(bench.runs("a1"), 0);
}

#[tokio::test]
async fn metrics_count_what_callers_saw() {
    let bench = Bench::start(1).await;
    for target in &bench.calls {
        (0..8).for_each(|_| target.inject(ResponseFault::Refuse));
    }
    call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    let scrape = hyper::Request::get("/metrics")
        .body(Full::default())
        .unwrap();
    let text = call(bench.entries[0].metrics, &scrape).await.body;
    let text = std::str::from_utf8(&text).unwrap();
    let lines = |start: &str| {
        let found = text.lines().find(|line| line.starts_with(start));
        found.unwrap_or_default().to_owned()
    };
    for (start, end) in [
        (
            "camphorweir_requests_total{class=\"once\",code=\"3004\"",
            " 1",
        ),
        ("camphorweir_send_failures_total{cause=\"refused\"", " 2"),
        ("camphorweir_targets{state=\"ready\"", " 6"),
        ("camphorweir_configuration{", " 1"),
        ("camphorweir_in_flight{", " 0"),
    ] {
        let line = lines(start);
        assert!(line.ends_with(end), "{start}: `{line}` in\n{text}");
    }
}

#[tokio::test]
async fn a_target_whose_answer_says_that_it_leaves_gets_nothing_more() {
    let bench = Bench::start(1).await;
    let before = |targets: &[Target]| -> Vec<usize> {
        targets
            .iter()
            .map(|target| target.requests().len())
            .collect()
    };
    bench.calls[0].leave();
    bench.parts[0].leave();
    for index in 0..8 {
        let answer = call(
            bench.front(),
            &plain("/seal/b", &format!("a{index}"), KEYS[0]),
        )
        .await;
        assert_eq!(answer.status, 200);
        let answer = call(bench.front(), &stream(&format!("s{index}"))).await;
        assert_eq!((answer.status, answer.whole), (200, true));
    }
    let told = (before(&bench.calls), before(&bench.parts));
    for index in 8..24 {
        let id = format!("a{index}");
        let answer = call(bench.front(), &plain("/seal/b", &id, KEYS[0])).await;
        assert_eq!((answer.status, bench.calls[0].runs(&id)), (200, 0));
        call(bench.front(), &stream(&format!("s{index}"))).await;
    }
    let after = (before(&bench.calls), before(&bench.parts));
    assert_eq!((after.0[0], after.1[0]), (told.0[0], told.1[0]));
    // Started anew, it serves again.
    bench.calls[0].restart();
    bench.calls[1].drain();
    until("a call", || async {
        let answer = call(bench.front(), &plain("/look/b", "again", KEYS[0])).await;
        (answer.header("x-response-seal") == bench.calls[0].id()).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_target_that_asks_for_time_gets_two_requests_at_most_meanwhile() {
    let bench = Bench::start(1).await;
    for target in &bench.calls {
        target.inject(ResponseFault::RefuseFor(2));
    }
    let answer = call(bench.front(), &plain("/seal/b", "a", KEYS[0])).await;
    assert_eq!((answer.status, bench.runs("a")), (503, 0));
    let closed = Instant::now();
    // Half a second after the refusal the target wants nothing more.
    sleep(Duration::from_millis(500)).await;
    let count = |target: &Target| target.requests().len();
    let before: Vec<usize> = bench.calls.iter().map(count).collect();
    let mut index = 0;
    while closed.elapsed() < Duration::from_millis(1_900) {
        index += 1;
        let begun = Instant::now();
        let answer = call(
            bench.front(),
            &plain("/seal/b", &format!("b{index}"), KEYS[0]),
        )
        .await;
        assert_eq!(answer.status, 503);
        assert!(begun.elapsed() < Duration::from_millis(300));
        let wait: f64 = answer.header("retry-after").parse().unwrap();
        // The rest of the time, and half of it more so that callers don't return together.
        let rest = 2.0 - (closed.elapsed().as_secs_f64() - 0.3).max(0.0);
        assert!(wait > 0.0 && wait <= 1.5 * rest, "{wait} of {rest}");
        sleep(Duration::from_millis(20)).await;
    }
    for (target, before) in bench.calls.iter().zip(before) {
        assert!(count(target) - before <= 2, "{}", target.id());
    }
    sleep(Duration::from_millis(200)).await;
    let answer = call(bench.front(), &plain("/seal/b", "c", KEYS[0])).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let bench = Bench::start(1).await;
    for target in &bench.calls {
        target.inject(ResponseFault::Unframed);
    }
    for id in ["u1", "u2", "u3"] {
        let answer = call(bench.front(), &plain("/look/b", id, KEYS[0])).await;
        assert_eq!((answer.status, answer.whole), (200, true));
        assert!(answer.body.starts_with(b"/look/b by ledger-"));
    }
}

/// Guards against a refusal that is lost as the connection is closed with a body under way.
#[tokio::test]
async fn a_refusal_reaches_a_caller_whose_body_is_under_way() {
    let bench = Bench::start(1).await;
    for (path, status) in [("/gone/a", "404"), ("/look/a", "401")] {
        let mut caller = TcpStream::connect(bench.front()).await.unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: r1\r\nauthorization: Bearer none\r\n\
             content-length: 4000\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..40 {
            sleep(Duration::from_millis(5)).await;
            caller.write_all(&[b'x'; 100]).await.unwrap();
        }
        let mut answer = Vec::new();
        let read = caller.read_buf(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{path}: {read:?} {answer}"
        );
    }
}
