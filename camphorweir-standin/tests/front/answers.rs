//! Whole failures of targets, which are kept until there is a better answer.

use {
    crate::{
        bench::{Answer, Bench, KEYS, call, plain, stream, until},
        site::site,
    },
    bytes::Bytes,
    camphorweir_relay::budget,
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, Target},
    },
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::{
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Time after which a target fails, in which the test prepares what comes next.
const FAILS_AFTER: Duration = Duration::from_millis(300);
/// How long callers wait; they leave then.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Time after which changed settings are in force.
const RELOADED: Duration = Duration::from_millis(2_500);
/// Tokens of a request that fills most of the memory of its targets.
const LARGE: &str = "15000,24";

type Call = Request<Full<Bytes>>;

fn patient(mut request: Call, patience: Duration) -> Call {
    let patience = patience.as_millis().to_string().parse().unwrap();
    request.headers_mut().insert("x-deadline-ms", patience);
    request
}

fn look(id: &str) -> Call {
    patient(plain("/look/b", id, KEYS[0]), PATIENCE)
}

/// A request that may be repeated, to the service with layers.
fn read(id: &str, tokens: &str) -> Call {
    let mut request = plain("/read/b", id, KEYS[0]);
    let tokens = tokens.parse().unwrap();
    request.headers_mut().insert("x-token-usage", tokens);
    patient(request, PATIENCE)
}

/// Publishes a configuration with a route for [`read`], whose priority is not that of all others.
async fn with_reads(bench: &Bench) {
    let mut site = site(2, &KEYS);
    let mut route = site["routes"][1].clone();
    route["name"] = "/read/".into();
    route["pathPrefix"] = "/read/".into();
    route["service"] = "scribe".into();
    route["priority"] = 1.into();
    site["routes"].as_array_mut().unwrap().push(route);
    bench
        .store
        .put("keyed.op", "config", site.to_string().as_bytes());
    metric(bench, &["camphorweir_configuration{"], " 2").await;
}

/// Waits until a metric of the first entry with these labels has a value.
async fn metric(bench: &Bench, labels: &[&str], value: &str) {
    until(&labels.join(" "), || async {
        let scrape = Request::get("/metrics").body(Full::default()).unwrap();
        let answer = call(bench.entries[0].metrics, &scrape).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut lines = text.lines().filter(|line| line.ends_with(value));
        lines
            .any(|line| labels.iter().all(|label| line.contains(label)))
            .then_some(())
    })
    .await;
}

/// A caller's answer; `None` if the caller had left.
type Caller = JoinHandle<Option<Answer>>;

fn spawn(bench: &Bench, request: Call, patience: Duration) -> Caller {
    let front = bench.front();
    tokio::spawn(async move { timeout(patience, call(front, &request)).await.ok() })
}

/// Starts a request whose first target will act as told; returns that target, and leaves no faults at the
/// others.
async fn start<'a>(
    bench: &Bench,
    targets: &'a [Target],
    (request, patience): (Call, Duration),
    fault: ResponseFault,
) -> (Caller, &'a Target, Vec<&'a Target>) {
    targets.iter().for_each(|target| target.inject(fault));
    let id = request.headers()["x-attempt-id"].to_str().unwrap();
    let id = id.to_owned();
    let caller = spawn(bench, request, patience);
    let first = until("the run", || async {
        targets.iter().find(|target| target.runs(&id) == 1)
    })
    .await;
    targets.iter().for_each(Target::clear_faults);
    let others = targets.iter().filter(|target| target.id() != first.id());
    (caller, first, others.collect())
}

fn fails() -> ResponseFault {
    ResponseFault::FailAfter(FAILS_AFTER.as_millis() as u64)
}

/// Checks that the caller got the whole failure of a target in time.
async fn is_kept(what: &str, caller: Caller, target: &Target) {
    let answer = caller.await.unwrap();
    let answer = answer.unwrap_or_else(|| panic!("{what}: no answer in time"));
    assert_eq!(
        (answer.status, answer.whole),
        (500, true),
        "{what}: {answer:?}"
    );
    assert_eq!(answer.header("x-response-seal"), target.id(), "{what}");
    assert_eq!(answer.body, format!("failed at {}", target.id()), "{what}");
}

/// Guards against a whole failure that is dropped as no other target is left.
#[tokio::test]
async fn a_failure_is_delivered_where_no_other_target_is_left() {
    let bench = Bench::start(1).await;
    bench.calls[1].drain();
    metric(
        &bench,
        &["camphorweir_targets{", "state=\"draining\""],
        " 1",
    )
    .await;
    let request = (look("l1"), PATIENCE);
    let (caller, first, _) = start(&bench, &bench.calls[..1], request, fails()).await;
    is_kept("none left", caller, first).await;
    metric(
        &bench,
        &["camphorweir_answers_kept_total{", "code=\"3003\""],
        " 1",
    )
    .await;
}

/// Guards against a whole failure that is dropped as the next send fails, or never ends.
#[tokio::test]
async fn a_failure_is_delivered_where_the_next_send_comes_to_nothing() {
    let faults = [
        ("broken", Some(ResponseFault::Lose), None),
        ("refused", Some(ResponseFault::Refuse), None),
        ("foreign", Some(ResponseFault::Foreign), None),
        ("unsent", None, Some(Cut::ResetNew)),
        ("dead", None, Some(Cut::Silent)),
        ("silent", Some(ResponseFault::Hang), None),
    ];
    for (name, fault, cut) in faults {
        let bench = Bench::start(1).await;
        let request = (look(name), PATIENCE);
        let (caller, first, others) = start(&bench, &bench.calls, request, fails()).await;
        fault.into_iter().for_each(|fault| others[0].inject(fault));
        bench.cut_target(0, others[0], cut);
        is_kept(name, caller, first).await;
    }
}

/// Guards against a whole failure that is dropped as there is no retry left in the budget.
#[tokio::test]
async fn a_failure_is_delivered_where_the_budget_has_no_retry_left() {
    let bench = Bench::start(1).await;
    if let Ok(settings) = &mut *bench.entries[0].settings.lock().unwrap() {
        // One retry for an entry that is alone.
        settings.bounds.retry_budget = budget::Policy {
            ratio: 0.0,
            base_retries: 4.8,
            window: Duration::from_secs(30),
        };
    }
    sleep(RELOADED).await;
    let request = (look("l1"), PATIENCE);
    let (caller, first, others) = start(&bench, &bench.calls, request, fails()).await;
    others[0].inject(ResponseFault::Refuse);
    is_kept("budget", caller, first).await;
}

/// Guards against a whole failure that is dropped as the other targets have no room.
#[tokio::test]
async fn a_failure_is_delivered_where_no_other_target_has_room() {
    let bench = Bench::start(1).await;
    with_reads(&bench).await;
    bench
        .parts
        .iter()
        .for_each(|part| part.inject(ResponseFault::Slow));
    let mut large = stream("large");
    let tokens = LARGE.parse().unwrap();
    large.headers_mut().insert("x-token-usage", tokens);
    let large = spawn(&bench, patient(large, 4 * PATIENCE), 4 * PATIENCE);
    until("the stream", || async {
        (bench.runs("large") == 1).then_some(())
    })
    .await;
    bench.parts.iter().for_each(Target::clear_faults);
    let request = (read("r1", LARGE), PATIENCE);
    let (caller, first, _) = start(&bench, &bench.parts, request, fails()).await;
    is_kept("no room", caller, first).await;
    assert_eq!(bench.runs("r1"), 1);
    assert_eq!(large.await.unwrap().unwrap().status, 200);
}

/// Guards against a whole failure that is replaced by the refusal of a peer.
#[tokio::test]
async fn a_failure_is_delivered_where_a_peer_refuses() {
    let bench = Bench::start(2).await;
    let patience = 3 * PATIENCE;
    let request = patient(look("l1"), patience);
    let fault = ResponseFault::FailAfter(4_000);
    let (caller, first, _) = start(&bench, &bench.calls, (request, patience), fault).await;
    bench.cut(0, Some(Cut::ResetNew));
    for target in &bench.calls {
        (0..4).for_each(|_| target.inject(ResponseFault::Refuse));
    }
    // Requests that can't be sent show that the links are lost.
    let probe = spawn(&bench, look("probe"), PATIENCE);
    metric(&bench, &["camphorweir_services_cut_off"], " 1").await;
    _ = probe.await;
    for target in &bench.calls {
        (0..8).for_each(|_| target.inject(ResponseFault::Refuse));
    }
    is_kept("peer", caller, first).await;
    let sent = bench.calls.iter().flat_map(Target::requests);
    let sent = sent.filter(|request| request.header("x-attempt-id") == "l1");
    assert!(sent.count() > 1, "the peer offered it to no target");
}

/// Guards against a whole failure that a peer drops which serves for an entry without links.
#[tokio::test]
async fn a_failure_is_delivered_through_a_peer() {
    let bench = Bench::start(2).await;
    bench.cut(0, Some(Cut::ResetNew));
    let _ = spawn(&bench, look("probe"), PATIENCE).await;
    metric(&bench, &["camphorweir_services_cut_off"], " 1").await;
    for fault in [ResponseFault::Refuse, ResponseFault::Hang] {
        let request = (look(&format!("{fault:?}")), PATIENCE);
        let (caller, first, others) = start(&bench, &bench.calls, request, fails()).await;
        others[0].inject(fault);
        is_kept("through a peer", caller, first).await;
    }
}

/// Guards against a whole failure that is dropped as the process ends during the next send.
#[tokio::test]
async fn a_failure_is_delivered_before_the_process_ends() {
    let mut bench = Bench::start(1).await;
    let patience = Duration::from_secs(8);
    let request = (patient(look("l1"), patience), patience);
    let targets = bench.calls.clone();
    let (caller, first, others) = start(&bench, &targets, request, fails()).await;
    others[0].inject(ResponseFault::Hang);
    bench.entries[0].stop();
    is_kept("stop", caller, first).await;
}

/// How the second of two sends ends that are under way at a time.
const ENDS: [Option<Cut>; 2] = [None, Some(Cut::Reset)];

/// Guards against a silent target's whole failure that is dropped for a send elsewhere, which fails.
#[tokio::test]
async fn the_failure_of_a_silent_target_is_delivered_where_the_send_elsewhere_fails() {
    for end in ENDS {
        let bench = Bench::start(1).await;
        with_reads(&bench).await;
        let request = (read("r1", "10,24"), PATIENCE);
        let (caller, first, others) = start(&bench, &bench.parts, request, fails()).await;
        others
            .iter()
            .for_each(|other| other.inject(ResponseFault::Hang));
        bench.cut_target(0, first, Some(Cut::Paused));
        until("the send elsewhere", || async {
            (bench.runs("r1") == 2).then_some(())
        })
        .await;
        bench.cut_target(0, first, None);
        sleep(FAILS_AFTER).await;
        others
            .iter()
            .for_each(|other| bench.cut_target(0, other, end));
        is_kept(&format!("{end:?}"), caller, first).await;
    }
}

/// Guards against the whole failure of a send elsewhere that is dropped, though the silent target never
/// answers.
#[tokio::test]
async fn the_failure_of_a_send_elsewhere_is_delivered_where_the_silent_target_fails() {
    for (end, is_stream) in [
        (ENDS[0], false),
        (ENDS[1], false),
        (ENDS[0], true),
        (ENDS[1], true),
    ] {
        let bench = Bench::start(1).await;
        with_reads(&bench).await;
        let request = match is_stream {
            true => patient(stream("r1"), PATIENCE),
            false => read("r1", "10,24"),
        };
        let begun = Instant::now();
        let request = (request, PATIENCE);
        let hang = ResponseFault::Hang;
        let (caller, first, others) = start(&bench, &bench.parts, request, hang).await;
        others.iter().for_each(|other| other.inject(fails()));
        bench.cut_target(0, first, Some(Cut::Paused));
        let second = until("the send elsewhere", || async {
            others.iter().find(|other| other.runs("r1") == 1)
        })
        .await;
        assert!(begun.elapsed() < PATIENCE / 2);
        sleep(2 * FAILS_AFTER).await;
        if end.is_some() {
            bench.cut_target(0, first, end);
        }
        is_kept(&format!("{end:?}, {is_stream}"), caller, second).await;
    }
}
