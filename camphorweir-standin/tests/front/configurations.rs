//! Configurations that come into force while requests are in flight.

use {
    crate::{
        bench::{Answer, Bench, KEYS, call, plain, stream_of, until},
        silence::keep_one_path,
        site::site,
    },
    bytes::Bytes,
    camphorweir_standin::{
        http1::Cut,
        platform_target::{EVENTS_HEADER, PAUSE_HEADER, ResponseFault},
    },
    futures::future::join_all,
    http_body_util::Full,
    hyper::Request,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// An answer is due so long after a timeout that has come into force and passed.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// A key is not served later than this after it was taken away.
const REVOCATION: Duration = Duration::from_secs(5);
/// Time for which a request has been in flight when the configuration changes.
const BEFORE_CHANGE: Duration = Duration::from_millis(700);
/// A timeout below it.
const LOW_TIMEOUT_MS: u64 = 300;
/// Guards against a hang; no promise is measured by it.
const GUARD: Duration = Duration::from_secs(30);
/// Tokens of a prompt that fills most of the memory of a target, and of one that has no room beside it.
const SIZES: [&str; 2] = ["15000,24", "6000,24"];

/// A change of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    Route,
    Workspace,
    Service,
    Move,
    Timeout,
    Idle,
    Body,
    Order,
    Kind,
    Attempts,
}

fn routes(site: &mut Value) -> &mut Vec<Value> {
    site["routes"].as_array_mut().unwrap()
}

/// A configuration whose streams have two priorities, and whose requests may wait for long.
fn patient_site(version: u64) -> Value {
    let mut site = site(version, &KEYS);
    for route in routes(&mut site) {
        route["targetLatencyMs"] = 7_500.into();
    }
    site["routes"][2]["priority"] = 1.into();
    site["routes"][3]["priority"] = 2.into();
    site
}

/// The same with a change to the routes with this prefix, or to what they depend on.
fn changed_site(version: u64, prefix: &str, change: Change) -> Value {
    let mut site = patient_site(version);
    let service = match prefix {
        "/text/" => "scribe",
        _ => "ledger",
    };
    let is_meant = |route: &Value| route["pathPrefix"] == prefix;
    let mut set = |key: &str, value: Value| {
        let meant = routes(&mut site).iter_mut().filter(|route| is_meant(route));
        meant.for_each(|route| route[key] = value.clone());
    };
    match change {
        Change::Timeout => set("timeoutMs", LOW_TIMEOUT_MS.into()),
        Change::Kind => set("kind", "non_idempotent".into()),
        Change::Attempts => set("maxAttempts", 1.into()),
        Change::Move => set("service", "other".into()),
        Change::Route => routes(&mut site).retain(|route| !is_meant(route)),
        Change::Workspace => site["tenants"] = json!([{"name": "w", "apiKeys": [KEYS[1]]}]),
        Change::Idle => site["limits"]["idleTimeoutMs"] = 200.into(),
        Change::Body => site["limits"]["maxBodyBytes"] = 3.into(),
        Change::Order => site["routes"][3]["priority"] = 1.into(),
        Change::Service => routes(&mut site).retain(|route| route["service"] != service),
    }
    let services = site["services"].as_array_mut().unwrap();
    match change {
        Change::Service => services.retain(|other| other["name"] != service),
        Change::Move => services.push(json!({"name": "other", "maxConnections": 100})),
        _ => {}
    }
    site
}

/// Publishes a configuration and waits until it is in force.
async fn publish(bench: &Bench, site: Value) {
    let version = format!(" {}", site["version"]);
    let text = site.to_string();
    bench.store.put("keyed.op", "config", text.as_bytes());
    until("the configuration", || async {
        let scrape = Request::get("/metrics").body(Full::default()).unwrap();
        let answer = call(bench.entries[0].metrics, &scrape).await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut lines = text.lines();
        lines
            .any(|line| line.starts_with("camphorweir_configuration{") && line.ends_with(&version))
            .then_some(())
    })
    .await;
}

async fn start() -> Bench {
    let bench = Bench::start(1).await;
    publish(&bench, patient_site(2)).await;
    bench
}

fn patient(
    mut request: Request<Full<Bytes>>,
    headers: &[(&'static str, &str)],
) -> Request<Full<Bytes>> {
    let wait = [("x-deadline-ms", "8000")];
    for (name, value) in wait.iter().chain(headers) {
        request.headers_mut().insert(*name, value.parse().unwrap());
    }
    request
}

fn spawn(bench: &Bench, request: Request<Full<Bytes>>) -> JoinHandle<Answer> {
    let front = bench.front();
    tokio::spawn(async move { call(front, &request).await })
}

/// Guards against a deployment that lets everyone in once a configuration takes its last API key away.
#[tokio::test]
async fn a_configuration_without_keys_lets_nobody_in_and_one_without_workspaces_everyone() {
    let bench = start().await;
    let workspaces = [
        (
            json!([{"name": "w", "apiKeys": [KEYS[0]]}]),
            true,
            [200, 401, 401],
        ),
        (json!([{"name": "w", "apiKeys": []}]), true, [401; 3]),
        // A malformed section keeps the configuration in force.
        (Value::Null, false, [401; 3]),
        (json!([{"name": "w", "apiKeys": null}]), false, [401; 3]),
        (json!([]), true, [401; 3]),
    ];
    let ask = async |version: u64, expected: [u16; 3]| {
        for (index, key) in [KEYS[0], KEYS[1], "key-of-nobody"].into_iter().enumerate() {
            let id = format!("v{version}-{index}");
            let answer = call(bench.front(), &plain("/look/b", &id, key)).await;
            assert_eq!(answer.status, expected[index], "{id}");
            assert_eq!(bench.runs(&id), usize::from(expected[index] == 200), "{id}");
        }
    };
    for (version, (tenants, is_valid, expected)) in (3..).zip(workspaces) {
        let mut site = patient_site(version);
        site["tenants"] = tenants;
        match is_valid {
            true => publish(&bench, site).await,
            false => {
                let text = site.to_string();
                bench.store.put("keyed.op", "config", text.as_bytes());
                sleep(REVOCATION).await;
            }
        }
        ask(version, expected).await;
    }
    let mut site = patient_site(8);
    site.as_object_mut().unwrap().remove("tenants");
    publish(&bench, site).await;
    ask(8, [200; 3]).await;
}

/// A caller that has sent its head and a part of its body.
struct Halting(TcpStream);

impl Halting {
    async fn begin(bench: &Bench, path: &str, id: &str) -> Self {
        let mut stream = TcpStream::connect(bench.front()).await.unwrap();
        let tokens = match path {
            "/text/a" => "x-token-usage: 10,24\r\n",
            _ => "",
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\n\
             authorization: Bearer {}\r\n{tokens}content-length: 7\r\nconnection: close\r\n\r\nbatc",
            KEYS[0]
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        Self(stream)
    }

    /// Sends the rest of the body, unless the entry has answered and closed the connection.
    async fn finish(&mut self) {
        let _ = self.0.write_all(b"h 7").await;
    }

    /// The status of the answer; 0 if there is none.
    async fn status(&mut self) -> u16 {
        let mut bytes = Vec::new();
        let read = timeout(GUARD, self.0.read_to_end(&mut bytes)).await;
        // A reset after the answer takes nothing from it.
        let _ = read.unwrap();
        let text = String::from_utf8_lossy(&bytes);
        let status = text.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or_default()
    }
}

/// Fails unless every send of an attempt went to a path through all layers.
fn assert_paths(bench: &Bench, id: &str, change: Change) {
    let requests = bench.parts.iter().flat_map(|part| part.requests());
    let mut sends = requests.filter(|request| request.header("x-attempt-id") == id);
    assert!(
        sends.all(|request| !request.header("x-hop-count").is_empty()),
        "{change:?}: a target alone was to run all layers"
    );
}

/// Changes the configuration while a body arrives, and sends its rest later; returns status and runs.
async fn change_beside_body(path: &str, change: Change, rest_after: Duration) -> (u16, usize) {
    let bench = start().await;
    let mut caller = Halting::begin(&bench, path, "b1").await;
    sleep(BEFORE_CHANGE).await;
    publish(&bench, changed_site(3, &path[..6], change)).await;
    sleep(rest_after).await;
    caller.finish().await;
    let status = caller.status().await;
    assert_paths(&bench, "b1", change);
    (status, bench.runs("b1"))
}

/// Guards against requests that end without an answer as the configuration changes under their bodies.
#[tokio::test]
async fn a_request_whose_body_arrives_beside_a_change_is_answered() {
    let (served, gone, moved) = ((200, 1), (404, 0), (503, 0));
    let rest_after = Duration::from_millis(300);
    let cases = [
        (Change::Route, vec![served, gone]),
        (Change::Workspace, vec![served, (401, 0)]),
        (Change::Service, vec![served, gone]),
        (Change::Move, vec![served, moved]),
        (Change::Idle, vec![served]),
        (Change::Body, vec![served, (413, 0)]),
        (Change::Kind, vec![served]),
        (Change::Attempts, vec![served]),
    ];
    let cases = cases.into_iter().map(|(change, allowed)| async move {
        let end = change_beside_body("/look/a", change, rest_after).await;
        assert!(allowed.contains(&end), "{change:?}: {end:?}");
    });
    join_all(cases).await;
}

/// Guards against a key that is served as long as a body takes, however long ago it was taken away.
#[tokio::test]
async fn a_key_that_was_taken_away_while_a_body_arrived_is_not_served() {
    let end = change_beside_body("/look/a", Change::Workspace, REVOCATION).await;
    assert_eq!(end, (401, 0));
}

/// Guards against a stream that is sent to a target with a part of the layers, as the model is gone.
#[tokio::test]
async fn a_stream_whose_service_was_taken_away_while_its_body_arrived_is_refused() {
    let end = change_beside_body("/text/a", Change::Service, Duration::ZERO).await;
    assert_eq!(end, (404, 0));
}

/// Guards against a body that is awaited for longer than the timeout in force.
#[tokio::test]
async fn a_body_that_arrives_is_not_awaited_beyond_a_lowered_timeout() {
    let bench = start().await;
    let mut caller = Halting::begin(&bench, "/look/a", "b1").await;
    sleep(BEFORE_CHANGE).await;
    publish(&bench, changed_site(3, "/look/", Change::Timeout)).await;
    let begun = Instant::now();
    let status = caller.status().await;
    assert!(begun.elapsed() < TIMEOUT_SLACK, "{:?}", begun.elapsed());
    assert_eq!((status, bench.runs("b1")), (408, 0));
}

/// Changes the configuration while a stream waits for memory, and frees memory later; returns the status
/// of the stream, its runs, and the time from the change to its end.
async fn change_beside_wait(change: Change, free_after: Duration) -> (u16, usize, Duration) {
    let bench = start().await;
    let mut fillers = Vec::new();
    for id in ["f1", "f2"] {
        let headers = [
            ("x-token-usage", SIZES[0]),
            (EVENTS_HEADER, "100"),
            (PAUSE_HEADER, "400"),
        ];
        fillers.push(spawn(&bench, patient(stream_of("/text/a", id), &headers)));
        until("the run", || async { (bench.runs(id) == 1).then_some(()) }).await;
    }
    let request = patient(stream_of("/text/a", "w1"), &[("x-token-usage", SIZES[1])]);
    let mut caller = spawn(&bench, request);
    sleep(BEFORE_CHANGE).await;
    assert!(!caller.is_finished());
    publish(&bench, changed_site(3, "/text/", change)).await;
    let begun = Instant::now();
    let early = timeout(free_after, &mut caller).await;
    let answer = match early {
        Ok(answer) => answer,
        Err(_) => {
            fillers.iter().for_each(JoinHandle::abort);
            caller.await
        }
    };
    let took = begun.elapsed();
    assert_paths(&bench, "w1", change);
    (answer.unwrap().status, bench.runs("w1"), took)
}

/// Guards against requests that wait for memory in vain, or without an end, once the configuration changes.
#[tokio::test]
async fn a_request_that_waits_for_memory_beside_a_change_is_answered() {
    let (served, gone) = ((200, 1), (404, 0));
    let free_after = Duration::from_millis(500);
    let cases = [
        (Change::Route, vec![served, gone]),
        (Change::Workspace, vec![served, (401, 0)]),
        (Change::Idle, vec![served]),
        (Change::Order, vec![served]),
        (Change::Kind, vec![served]),
        (Change::Attempts, vec![served]),
    ];
    let cases = cases.into_iter().map(|(change, allowed)| async move {
        let (status, runs, took) = change_beside_wait(change, free_after).await;
        assert!(
            allowed.contains(&(status, runs)),
            "{change:?}: {status}, {runs}"
        );
        assert!(
            took < free_after + 2 * TIMEOUT_SLACK,
            "{change:?}: {took:?}"
        );
    });
    join_all(cases).await;
}

/// Guards against a key that is served after a long wait, however long ago it was taken away.
#[tokio::test]
async fn a_key_that_was_taken_away_while_its_request_waited_is_not_served() {
    let (status, runs, _) = change_beside_wait(Change::Workspace, REVOCATION).await;
    assert_eq!((status, runs), (401, 0));
}

/// Guards against a waiting stream that is sent to a target with a part of the layers.
#[tokio::test]
async fn a_stream_whose_service_was_taken_away_while_it_waited_is_refused() {
    for (change, code) in [(Change::Service, 404), (Change::Move, 503)] {
        let (status, runs, _) = change_beside_wait(change, TIMEOUT_SLACK).await;
        assert_eq!((status, runs), (code, 0), "{change:?}");
    }
}

/// Guards against a wait for memory that goes on beyond the timeout in force.
#[tokio::test]
async fn a_wait_for_memory_ends_with_a_lowered_timeout() {
    let (status, runs, took) = change_beside_wait(Change::Timeout, 4 * TIMEOUT_SLACK).await;
    assert!(took < TIMEOUT_SLACK, "{took:?}");
    assert_eq!((status, runs), (504, 0));
}

/// Guards against a request at a silent target that is held beyond the timeout in force.
#[tokio::test]
async fn a_request_at_a_silent_target_is_answered_at_a_lowered_timeout() {
    for path in ["/text/a", "/look/a", "/seal/a"] {
        let bench = start().await;
        bench.cut(0, Some(Cut::Paused));
        let request = match path {
            "/text/a" => stream_of(path, "e1"),
            _ => plain(path, "e1", KEYS[0]),
        };
        let caller = spawn(&bench, patient(request, &[]));
        sleep(BEFORE_CHANGE).await;
        publish(&bench, changed_site(3, &path[..6], Change::Timeout)).await;
        let begun = Instant::now();
        let answer = caller.await.unwrap();
        let took = begun.elapsed();
        assert!(took < TIMEOUT_SLACK, "{path}: {took:?}");
        assert_eq!(answer.status, 504, "{path}");
    }
}

/// Changes under which an answer that has begun goes on.
const BESIDE_ANSWERS: [Change; 9] = [
    Change::Route,
    Change::Workspace,
    Change::Service,
    Change::Move,
    Change::Timeout,
    Change::Idle,
    Change::Order,
    Change::Kind,
    Change::Attempts,
];

/// Starts a stream, changes the configuration in its midst and demands that it ends whole. Where `is_silent`
/// its targets, the only ones, are then silent for a second.
async fn change_beside_stream(change: Change, is_silent: bool) {
    let bench = start().await;
    if is_silent {
        keep_one_path(&bench).await;
    }
    let request = patient(stream_of("/text/a", "s1"), &[(PAUSE_HEADER, "400")]);
    let caller = spawn(&bench, request);
    sleep(BEFORE_CHANGE).await;
    if is_silent {
        bench.cut(0, Some(Cut::Paused));
        sleep(BEFORE_CHANGE).await;
    }
    publish(&bench, changed_site(3, "/text/", change)).await;
    if is_silent {
        sleep(TIMEOUT_SLACK).await;
        bench.cut(0, None);
    }
    let answer = caller.await.unwrap();
    let end = (answer.status, answer.whole, bench.runs("s1"));
    assert_eq!(end, (200, true, 1), "{change:?}");
    assert_paths(&bench, "s1", change);
}

/// Guards against an answer under way that ends as the configuration changes.
#[tokio::test]
async fn a_stream_that_has_begun_ends_whole_beside_any_change() {
    join_all(BESIDE_ANSWERS.map(|change| change_beside_stream(change, false))).await;
}

/// Guards against an answer that ends as the configuration changes while it looks for a place elsewhere.
#[tokio::test]
async fn a_stream_at_a_silent_target_ends_whole_beside_any_change() {
    join_all(BESIDE_ANSWERS.map(|change| change_beside_stream(change, true))).await;
}

/// Guards against a stream that goes on at a target with a part of the layers, as the model is gone.
#[tokio::test]
async fn a_stream_whose_service_was_taken_away_does_not_go_on_without_its_layers() {
    let bench = start().await;
    for part in &bench.parts {
        part.inject(ResponseFault::CutIn(5));
    }
    let request = patient(stream_of("/text/a", "s1"), &[(PAUSE_HEADER, "300")]);
    let caller = spawn(&bench, request);
    sleep(BEFORE_CHANGE).await;
    publish(&bench, changed_site(3, "/text/", Change::Service)).await;
    let answer = caller.await.unwrap();
    assert_eq!(answer.status, 200);
    assert!(bench.runs("s1") <= 2);
    assert_paths(&bench, "s1", Change::Service);
}

/// Guards against a request that runs again although the configuration in force forbids it by then.
#[tokio::test]
async fn a_request_whose_route_comes_to_run_once_is_not_sent_again() {
    for change in [Change::Kind, Change::Attempts] {
        let bench = start().await;
        bench
            .calls
            .iter()
            .for_each(|target| target.inject(ResponseFault::Lose));
        bench.cut(0, Some(Cut::Paused));
        let caller = spawn(&bench, patient(plain("/look/a", "k1", KEYS[0]), &[]));
        sleep(BEFORE_CHANGE).await;
        publish(&bench, changed_site(3, "/look/", change)).await;
        bench.cut(0, None);
        let answer = caller.await.unwrap();
        assert_eq!((answer.status, bench.runs("k1")), (502, 1), "{change:?}");
    }
}
