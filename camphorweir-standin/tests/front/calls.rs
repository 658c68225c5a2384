//! Calls to plain services: what passes, what is repeated, and what a refusal promises.

use {
    crate::bench::{Bench, KEYS, call, plain},
    bytes::Bytes,
    camphorweir_standin::platform_target::ResponseFault,
    http_body_util::Full,
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
