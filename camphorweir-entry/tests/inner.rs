//! The listeners of peers and of operators.

mod common;

use {
    camphorweir_config::model::Priority,
    camphorweir_entry::{
        admin,
        clock::wall,
        core_task::{self, Input},
        histograms, inner,
        peer::PeerReceiver,
        seal::seal,
        settings::{Keys, Secret},
        telemetry::Metrics,
    },
    camphorweir_policy::{
        action::{Ended, Note},
        event::Event,
        timing::Timing,
    },
    camphorweir_wire::{
        code::Code,
        codec,
        peer::{Body, Digest, Message},
    },
    common::{body, header, open, rest, status},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

async fn listener() -> (Arc<TcpListener>, SocketAddr) {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn ask(address: SocketAddr, line: &str, body: &[u8]) -> String {
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    rest(&mut open(address, &[head.as_bytes(), body].concat()).await).await
}

#[tokio::test]
async fn peers_take_only_sealed_letters_and_each_once() {
    let key = Secret::new([1; 32]);
    let (port, mut inputs) = core_task::channel();
    let inbox = PeerReceiver::new(port, key);
    let (listener, address) = listener().await;
    tokio::spawn(inner::serve(listener, move |request| {
        let inbox = inbox.clone();
        async move { inbox.handle(request).await }
    }));
    let said = Body::Digest(Digest::default());
    let message = Message {
        sender: "entry-b1".to_owned(),
        incarnation: 4,
        body: said,
    };
    let letter = codec::encode(&seal(&key, wall(), 1, &message));
    assert_eq!(status(&ask(address, "POST /v1/peer", &letter).await), 200);
    match inputs.recv().await.unwrap() {
        Input::Event(event) => assert_eq!(event, Event::PeerMessage(message.clone())),
        other => panic!("a message was expected: {other:?}"),
    }
    let foreign = codec::encode(&seal(&Secret::new([2; 32]), wall(), 2, &message));
    let cases: [(&str, &[u8], u16, &str); 5] = [
        ("POST /v1/peer", &letter, 403, "6201"),
        ("POST /v1/peer", &foreign, 403, "6201"),
        ("POST /v1/peer", b"no letter", 400, "1001"),
        ("GET /v1/peer", b"", 405, "1007"),
        ("POST /v1/completions", b"", 404, "1006"),
    ];
    for (line, content, expected, code) in cases {
        let answer = ask(address, line, content).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert_eq!(header(&answer, "camphorweir-code"), Some(code), "{answer}");
    }
    assert!(inputs.try_recv().is_err());
}

#[tokio::test]
async fn operators_scrape_what_was_noted() {
    let metrics = Metrics::new().unwrap();
    let (ready, checks) = watch::channel(false);
    // Nobody is at the other end, as while an entry ends.
    let (port, _) = core_task::channel();
    let desk = admin::State {
        ready: checks,
        metrics: metrics.clone(),
        core_handle: port,
        keys: Keys {
            peers: Secret::new([1; 32]),
            admin_read: None,
            admin_write: None,
        },
    };
    let mut timing = Timing::default();
    timing.deliver(Duration::from_millis(10), None);
    timing.deliver(Duration::from_millis(15), None);
    timing.deliver(Duration::from_millis(30), Some(Duration::from_millis(16)));
    timing.deliver(Duration::from_millis(35), Some(Duration::from_millis(16)));
    let (listener, address) = listener().await;
    tokio::spawn(inner::serve(listener, move |request| {
        let desk = desk.clone();
        async move { desk.handle(request).await }
    }));
    for code in [None, None, Some(Code::QueueFull)] {
        metrics.note(&Note::Ended(Ended {
            request: 1,
            workspace: "depot-7".to_owned(),
            priority: Priority::Urgent,
            code,
            attempts: 1,
            total: Duration::from_millis(30),
            queued: Duration::ZERO,
            first_token: Some(Duration::from_millis(10)),
            timing: timing.clone(),
        }));
    }
    for number in 0..histograms::MAX_WORKSPACES + 10 {
        metrics.note(&Note::Ended(Ended {
            request: 2,
            workspace: format!("small-{number}"),
            priority: Priority::Bulk,
            code: Some(Code::LimitReached),
            attempts: 0,
            total: Duration::ZERO,
            queued: Duration::ZERO,
            first_token: None,
            timing: Timing::default(),
        }));
    }
    let answer = ask(address, "GET /metrics", b"").await;
    assert_eq!(status(&answer), 200);
    let text = body(&answer);
    let line = |parts: &[&str]| {
        text.lines()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    };
    let requests = "camphorweir_requests_total{";
    assert!(
        line(&[requests, "class=\"urgent\"", "code=\"0\"", "} 2"]),
        "{text}"
    );
    assert!(
        line(&[requests, "class=\"urgent\"", "code=\"2002\"", "} 1"]),
        "{text}"
    );
    assert!(
        line(&["camphorweir_first_token_seconds_count{", "} 3"]),
        "{text}"
    );
    assert!(
        line(&["camphorweir_whole_seconds_bucket{", "le=\"0.05\"", "} 3"]),
        "{text}"
    );
    for (name, count) in [
        ("first_token", 3),
        ("between_tokens", 6),
        ("recovery", 3),
        ("queued", 3),
    ] {
        let count = format!("}} {count}");
        let name = format!("{name}_seconds_count{{");
        let class = format!("camphorweir_{name}");
        assert!(line(&[&class, "\"urgent\"", &count]), "{class}: {text}");
        let workspace = format!("camphorweir_workspace_{name}");
        assert!(
            line(&[&workspace, "\"depot-7\"", &count]),
            "{workspace}: {text}"
        );
    }
    let workspaces = |line: &&str| line.starts_with("camphorweir_workspace_whole_seconds_count{");
    assert_eq!(
        text.lines().filter(workspaces).count(),
        histograms::MAX_WORKSPACES + 1
    );
    let others = [
        "camphorweir_workspace_whole_seconds_count{",
        histograms::OTHER_WORKSPACES,
        "} 11",
    ];
    assert!(line(&others), "{text}");
    assert_eq!(status(&ask(address, "GET /healthz", b"").await), 200);
    assert_eq!(status(&ask(address, "GET /readyz", b"").await), 503);
    ready.send_replace(true);
    assert_eq!(status(&ask(address, "GET /readyz", b"").await), 200);
    assert_eq!(status(&ask(address, "POST /metrics", b"").await), 405);
    assert_eq!(status(&ask(address, "GET /nowhere", b"").await), 404);
}
