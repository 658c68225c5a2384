//! Targets whose answers have no status of a final response, or never come to one.

use {
    crate::{
        bench::{Answer, Bench, KEYS, call, plain, stream, stream_of, until},
        site::site,
    },
    bytes::Bytes,
    camphorweir_standin::{
        http1::Cut,
        platform_target::{ResponseFault, STREAM_EVENTS, Setup, Target, event},
    },
    camphorweir_wire::{
        codec,
        digest::{Addresses, FORMATS},
    },
    http_body_util::Full,
    hyper::{Request, Version},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep},
    },
};

/// Status lines, or what stands in their place, of responses that are not final.
const NOT_FINAL: [&str; 23] = [
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 0 Zero",
    "HTTP/1.1 00 Zero",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 600 High",
    "HTTP/1.1 600 High\r\nx-not-executed: 1",
    "HTTP/1.1 700 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 1000 High",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/0.9 200 OK",
    "HTTP/1.2 200 OK",
    "HTTP/2.0 200 OK",
    "200 OK",
    "<p>plain text</p>",
];
/// What follows the status line; each header would count in an answer.
const REST: &str = "\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\nserver-leaving: 1\r\n\
    server-limit: 0\r\nretry-after: 60\r\ncontent-length: 5\r\n\r\nwrong";
/// An interim response whose headers would count in an answer.
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nserver-leaving: 1\r\nserver-limit: 0\r\n\r\n";
/// Pause between interim responses without end, so that few bytes arrive.
const PAUSE: Duration = Duration::from_millis(40);
/// Time within which a request ends, half of what its caller waits.
const ENDED: Duration = Duration::from_millis(1_500);
/// Time in which records of new addresses travel, and changed settings are in force.
const TRAVELLED: Duration = Duration::from_millis(2_500);

/// What a server sends in place of an answer.
#[derive(Clone, Debug)]
struct Fault {
    bytes: String,
    /// Sent again and again after a pause each.
    more: &'static str,
    /// Number of calls that are answered well before.
    after: usize,
}

fn faults() -> Vec<Fault> {
    let lines = NOT_FINAL.iter().map(|line| format!("{line}{REST}"));
    let fault = |bytes, more| Fault {
        bytes,
        more,
        after: 0,
    };
    let mut faults: Vec<_> = lines.map(|bytes| fault(bytes, "")).collect();
    faults.push(fault(String::new(), INTERIM));
    faults
}

/// The fault of the next call at any of some servers.
type Script = Arc<Mutex<Option<Fault>>>;

/// Takes the fault that is due for a call.
fn due(script: &Script) -> Option<Fault> {
    let mut next = script.lock().unwrap();
    match next.as_mut()?.after.checked_sub(1) {
        Some(after) => {
            next.as_mut()?.after = after;
            None
        }
        None => next.take(),
    }
}

/// Serves one connection with a fault, or else passes it on.
async fn serve(mut client: TcpStream, behind: Option<SocketAddr>, script: Script) -> Option<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        let count = client.read_buf(&mut request).await.ok()?;
        (count > 0).then_some(())?;
    }
    let text = String::from_utf8_lossy(&request).into_owned();
    let is_call = text.contains("x-attempt-id: ");
    let Some(fault) = is_call.then(|| due(&script)).flatten() else {
        let mut server = TcpStream::connect(behind?).await.ok()?;
        // Each connection then carries one request.
        let one = text.replacen("\r\n", "\r\nconnection: close\r\n", 1);
        server.write_all(one.as_bytes()).await.ok()?;
        copy_bidirectional(&mut client, &mut server).await.ok()?;
        return None;
    };
    let id = text.split("x-attempt-id: ").nth(1).unwrap_or_default();
    let id = id.split('\r').next()?;
    let bytes = fault.bytes.replace("{id}", id);
    client.write_all(bytes.as_bytes()).await.ok()?;
    while !fault.more.is_empty() {
        client.write_all(fault.more.as_bytes()).await.ok()?;
        sleep(PAUSE).await;
    }
    // The connection stays open, as no end of it may be needed.
    while client.read_buf(&mut request).await.ok()? > 0 {}
    None
}

/// The address of a server that acts by the script, and else passes on to the one behind.
async fn scripted(behind: Option<SocketAddr>, script: &Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, script) = (listener.local_addr().unwrap(), script.clone());
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(serve(client, behind, script.clone()));
        }
    });
    address
}

/// An entry, and all its targets behind such servers.
async fn start() -> (Bench, Script) {
    let bench = Bench::start(1).await;
    let mut site = site(2, &KEYS);
    site["routes"][2]["maxAttempts"] = 3.into();
    bench
        .store
        .put("keyed.op", "config", site.to_string().as_bytes());
    // Each case uses up retries.
    if let Ok(settings) = &mut *bench.entries[0].settings.lock().unwrap() {
        settings.bounds.retry_budget.base_retries = 10_000.0;
    }
    let script = Script::default();
    for target in bench.calls.iter().chain(&bench.parts) {
        let address = scripted(Some(target.address()), &script).await;
        target.set_published_address(address);
    }
    sleep(TRAVELLED).await;
    (bench, script)
}

/// Adds targets until three hold the first layers.
async fn add_parts(bench: &mut Bench, script: &Script) {
    for index in 4..8 {
        let setup = Setup {
            id: format!("scribe-{index}"),
            service: "scribe".to_owned(),
            zone: "z".to_owned(),
            kind: "half".to_owned(),
        };
        let part = Target::spawn(setup, bench.store.clone()).await.unwrap();
        part.set_published_address(scripted(Some(part.address()), script).await);
        bench.parts.push(part);
    }
    until("first layers placed", || async {
        let ranges = bench.parts.iter().filter_map(Target::layers);
        (ranges.filter(|(from, _)| *from == 0).count() > 2).then_some(())
    })
    .await;
    sleep(TRAVELLED).await;
}

/// Waits until requests are served, then sends one that meets the fault.
async fn meet(
    bench: &Bench,
    script: &Script,
    request: &Request<Full<Bytes>>,
    fault: &Fault,
) -> Answer {
    let mut warm = request.clone();
    warm.headers_mut()
        .insert("x-attempt-id", "warm".parse().unwrap());
    until("served", || async {
        let answer = call(bench.front(), &warm).await;
        (answer.status == 200 && answer.whole).then_some(())
    })
    .await;
    *script.lock().unwrap() = Some(fault.clone());
    let begun = Instant::now();
    let answer = call(bench.front(), request).await;
    assert!(script.lock().unwrap().is_none(), "not met: {fault:?}");
    let took = begun.elapsed();
    assert!(took < ENDED, "{took:?}: {fault:?}, {answer:?}");
    answer
}

fn is_whole_stream(answer: &Answer) -> bool {
    let events: String = (1..=STREAM_EVENTS).map(event).collect();
    answer.status == 200 && answer.whole && answer.body == events
}

/// Guards against an answer whose status is none, or whose headers count nevertheless.
#[tokio::test]
async fn a_response_without_a_final_status_is_no_answer() {
    let (bench, script) = start().await;
    for (index, fault) in faults().iter().enumerate() {
        let look = plain("/look/b", &format!("look-{index}"), KEYS[0]);
        let answer = meet(&bench, &script, &look, fault).await;
        assert_eq!(
            (answer.status, answer.whole),
            (200, true),
            "{fault:?}: {answer:?}"
        );
        assert!(
            answer.body.starts_with(b"/look/b by "),
            "{fault:?}: {answer:?}"
        );

        let answer = meet(&bench, &script, &stream(&format!("text-{index}")), fault).await;
        assert!(is_whole_stream(&answer), "{fault:?}: {answer:?}");

        let seal = plain("/seal/b", &format!("seal-{index}"), KEYS[0]);
        let once = stream_of("/once/a", &format!("once-{index}"));
        for request in [seal, once] {
            let answer = meet(&bench, &script, &request, fault).await;
            let id = request.headers()["x-attempt-id"].to_str().unwrap();
            let (code, ran) = (
                answer.header("camphorweir-code"),
                answer.header("camphorweir-ran"),
            );
            assert_eq!(
                (answer.status, code, ran),
                (502, "3003", "unknown"),
                "{fault:?}: {answer:?}"
            );
            assert_eq!(
                (answer.header("x-attempt-id"), bench.runs(id)),
                (id, 0),
                "{fault:?}"
            );
        }
    }
}

/// Guards against a resumed stream that ends as the next target sends no answer.
#[tokio::test]
async fn a_resumed_stream_goes_on_after_a_response_without_a_final_status() {
    let (mut bench, script) = start().await;
    add_parts(&mut bench, &script).await;
    for (index, fault) in faults().iter().enumerate() {
        let fault = Fault {
            after: 1,
            ..fault.clone()
        };
        let request = stream(&format!("text-{index}"));
        until("served", || async {
            is_whole_stream(&call(bench.front(), &stream("warm")).await).then_some(())
        })
        .await;
        bench
            .parts
            .iter()
            .for_each(|part| part.inject(ResponseFault::CutIn(3)));
        *script.lock().unwrap() = Some(fault.clone());
        let answer = call(bench.front(), &request).await;
        assert!(script.lock().unwrap().is_none(), "not met: {fault:?}");
        assert!(is_whole_stream(&answer), "{fault:?}: {answer:?}");
        bench.parts.iter().for_each(Target::clear_faults);
    }
}

/// Guards against interim responses, or an earlier version, that spoil a sound answer.
#[tokio::test]
async fn an_answer_after_interim_responses_is_passed_on() {
    let (bench, script) = start().await;
    for (index, before) in ["", INTERIM, "HTTP/1.1 100 Continue\r\n\r\n"]
        .iter()
        .enumerate()
    {
        for (version, kind) in [
            ("1.1", "look"),
            ("1.0", "look"),
            ("1.1", "seal"),
            ("1.0", "seal"),
        ] {
            let id = format!("{kind}-{version}-{index}");
            let fault = Fault {
                bytes: format!(
                    "{}HTTP/{version} 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-seal: s\r\n\
                     content-length: 5\r\n\r\nright",
                    before.repeat(2),
                ),
                more: "",
                after: 0,
            };
            let request = plain(&format!("/{kind}/b"), &id, KEYS[0]);
            let answer = meet(&bench, &script, &request, &fault).await;
            let seal = answer.header("x-response-seal");
            assert_eq!(
                (answer.status, answer.version, seal, &answer.body[..]),
                (200, Version::HTTP_11, "s", &b"right"[..]),
                "{fault:?}"
            );
        }
    }
}

/// Guards against a peer's response without a final status that reaches a caller, or counts.
#[tokio::test]
async fn a_peers_response_without_a_final_status_is_no_answer() {
    let bench = Bench::start(1).await;
    let mut scripts = Vec::new();
    let faults = faults();
    let shown = [
        "HTTP/1.1 000",
        "HTTP/1.1 600",
        "HTTP/1.1 999",
        "HTTP/1.1 101",
    ];
    let is_shown = |fault: &&Fault| {
        let mut starts = shown.iter().map(|line| fault.bytes.starts_with(line));
        !fault.more.is_empty() || starts.any(|starts| starts)
    };
    for (index, fault) in faults.iter().filter(is_shown).enumerate() {
        let script = Arc::new(Mutex::new(Some(fault.clone())));
        let address = scripted(None, &script).await.to_string();
        let record = codec::encode(&Addresses {
            digest: address.clone(),
            follow: address,
            zone: "z".to_owned(),
            link_mbps: 1_000,
            formats: FORMATS,
        });
        let name = format!("peer-{index}");
        bench.store.put("keyed.camphorweir-entries", &name, &record);
        scripts.push(script);
    }
    assert_eq!(scripts.len(), 6);
    bench.cut(0, Some(Cut::ResetNew));
    let counter = AtomicUsize::new(0);
    until("all peers met", || {
        let count = counter.fetch_add(1, Ordering::Relaxed);
        let (bench, scripts) = (&bench, &scripts);
        async move {
            let left = || {
                scripts
                    .iter()
                    .filter(|script| script.lock().unwrap().is_some())
                    .count()
            };
            let (before, id) = (left(), format!("call-{count}"));
            let path = ["/seal/b", "/look/b"][count % 2];
            let answer = call(bench.front(), &plain(path, &id, KEYS[0])).await;
            let (code, ran) = (
                answer.header("camphorweir-code"),
                answer.header("camphorweir-ran"),
            );
            let is_unknown = (answer.status, code, ran) == (502, "3003", "unknown");
            let is_not_run = answer.status == 503 && ran == "no" && !code.is_empty();
            let is_met = left() < before;
            assert!(is_unknown || is_not_run && !is_met, "{is_met}: {answer:?}");
            assert_eq!(answer.header("x-attempt-id"), id);
            (left() == 0).then_some(())
        }
    })
    .await;
}
