//! Targets that name the requests a second that they take from all entries together.

use {
    crate::bench::{Answer, Bench, KEYS, call, plain, stream},
    bytes::Bytes,
    camphorweir_standin::platform_target::Target,
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// Requests a second that a limited target takes.
const LIMIT: usize = 10;
/// Time within which a limit holds after a target first named it.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Length of a span in which a target gets no more than its limit.
const SPAN: Duration = Duration::from_secs(4);
/// Part of the limit that is used while there is demand, in percent.
const MIN_USED: usize = 95;
/// How long requests come.
const TIME: Duration = Duration::from_secs(12);
/// Pause between requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Time within which a request that no target takes is refused.
const REFUSED_WITHIN: Duration = Duration::from_millis(500);

/// An answer, when its request was sent and how long the answer took.
type Timed = (Instant, Duration, Answer);

/// Sends requests to one entry after the other; the first gets half of them.
async fn send_often(bench: &Bench, request: impl Fn(&str) -> Request<Full<Bytes>>) -> Vec<Timed> {
    let mut sent: Vec<JoinHandle<Timed>> = Vec::new();
    let since = Instant::now();
    for number in 0..(TIME.as_millis() / PAUSE.as_millis()) as usize {
        sleep_until(since + PAUSE * number as u32).await;
        let count = bench.entries.len();
        let index = [0, 1 + number / 2 % (count - 1)][number % 2];
        let address = bench.entries[index].callers;
        let request = request(&format!("limited-{number}"));
        sent.push(tokio::spawn(async move {
            let at = Instant::now();
            let answer = call(address, &request).await;
            (at, at.elapsed(), answer)
        }));
    }
    let mut answers = Vec::new();
    for sent in sent {
        answers.push(sent.await.unwrap());
    }
    answers
}

/// The most calls that a target got in any [`SPAN`] from `since` on.
fn most_in_span(target: &Target, since: Instant) -> usize {
    let mut arrivals = target.arrivals();
    arrivals.retain(|at| *at >= since);
    let spans = (0..arrivals.len()).map(|first| {
        let end = arrivals[first] + SPAN;
        arrivals[first..].iter().filter(|at| **at < end).count()
    });
    spans.max().unwrap_or_default()
}

fn within_limit(targets: &[Target], since: Instant) {
    for target in targets {
        let most = most_in_span(target, since + KNOWN_AFTER);
        assert!(
            most <= LIMIT * SPAN.as_secs() as usize,
            "{}: {most}",
            target.id()
        );
    }
}

/// The part of their limits that targets were sent from [`KNOWN_AFTER`] on, in percent.
fn used(targets: &[Target], since: Instant) -> usize {
    let (from, to) = (since + KNOWN_AFTER, since + TIME);
    let arrivals = targets.iter().flat_map(Target::arrivals);
    let used = arrivals.filter(|at| (from..to).contains(at)).count();
    used * 100 / (targets.len() * LIMIT * (TIME - KNOWN_AFTER).as_secs() as usize)
}

#[tokio::test]
async fn a_target_gets_no_more_than_its_limit_and_the_others_serve_the_rest() {
    let bench = Bench::start(3).await;
    let limited = &bench.calls[..1];
    limited[0].name_limits(&[&LIMIT.to_string()]);
    let since = Instant::now();
    let answers = send_often(&bench, |id| plain("/look/b", id, KEYS[0])).await;
    within_limit(limited, since);
    let failed = answers.iter().filter(|(.., answer)| answer.status != 200);
    assert_eq!(failed.count(), 0);
}

#[tokio::test]
async fn what_limited_targets_do_not_take_is_refused_at_once() {
    let bench = Bench::start(3).await;
    for target in &bench.calls {
        target.name_limits(&[&LIMIT.to_string()]);
    }
    let since = Instant::now();
    let answers = send_often(&bench, |id| plain("/look/b", id, KEYS[0])).await;
    within_limit(&bench.calls, since);
    let used = used(&bench.calls, since);
    assert!(used >= MIN_USED, "{used}");
    for (_, took, answer) in answers.iter().filter(|(.., answer)| answer.status != 200) {
        assert_eq!(answer.status, 503);
        assert!(*took < REFUSED_WITHIN, "{took:?}");
        let seconds: f64 = answer.header("retry-after").parse().unwrap();
        assert!(seconds > 0.0 && seconds <= SPAN.as_secs_f64(), "{seconds}");
    }
}

#[tokio::test]
async fn streams_keep_to_the_limits_of_their_first_hops() {
    let bench = Bench::start(3).await;
    for target in &bench.parts {
        target.name_limits(&[&LIMIT.to_string()]);
    }
    let since = Instant::now();
    let answers = send_often(&bench, stream).await;
    within_limit(&bench.parts, since);
    let first_hops = bench.parts.iter();
    let first_hops = first_hops.filter(|target| target.layers().is_some_and(|(from, _)| from == 0));
    let first_hops: Vec<Target> = first_hops.cloned().collect();
    let used = used(&first_hops, since);
    assert!(used >= MIN_USED, "{used}");
    assert!(answers.iter().any(|(.., answer)| answer.status == 503));
}

#[tokio::test]
async fn a_limit_that_is_named_no_longer_ends() {
    let bench = Bench::start(2).await;
    for target in &bench.calls {
        target.name_limits(&["1"]);
    }
    let calls = bench.calls.clone();
    tokio::spawn(async move {
        sleep(TIME / 2).await;
        for target in &calls {
            target.name_limits(&[]);
        }
    });
    let answers = send_often(&bench, |id| plain("/look/b", id, KEYS[0])).await;
    let first = answers[0].0;
    let limited = answers.iter().filter(|(at, ..)| *at < first + TIME / 2);
    assert!(limited.filter(|(.., answer)| answer.status == 503).count() > 0);
    let later = answers
        .iter()
        .filter(|(at, ..)| *at >= first + TIME / 2 + 2 * KNOWN_AFTER / 3 * 2);
    let refused = later.filter(|(.., answer)| answer.status == 503);
    assert_eq!(refused.count(), 0);
}
