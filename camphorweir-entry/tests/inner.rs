//! The listeners for peers and for operators.

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
    common::{body, header, read_to_close, send_raw, status},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

async fn listener() -> (Arc<TcpListener>, SocketAddr) {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn send_request(address: SocketAddr, line: &str, body: &[u8]) -> String {
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    read_to_close(&mut send_raw(address, &[head.as_bytes(), body].concat()).await).await
}

#[tokio::test]
async fn peers_accept_only_sealed_messages_and_each_once() {
    let key = Secret::new([1; 32]);
    let (core_handle, mut inputs) = core_task::channel();
    let receiver = PeerReceiver::new(core_handle, key);
    let (listener, address) = listener().await;
    tokio::spawn(inner::serve(listener, move |request| {
        let receiver = receiver.clone();
        async move { receiver.handle(request).await }
    }));
    let digest = Body::Digest(Digest::default());
    let message = Message {
        sender: "entry-b1".to_owned(),
        incarnation: 4,
        body: digest,
    };
    let envelope = codec::encode(&seal(&key, wall(), 1, &message));
    assert_eq!(
        status(&send_request(address, "POST /v1/peer", &envelope).await),
        200
    );
    match inputs.recv().await.unwrap() {
        Input::Event(event) => assert_eq!(event, Event::PeerMessage(message.clone())),
        other => panic!("a message was expected: {other:?}"),
    }
    let other_key = codec::encode(&seal(&Secret::new([2; 32]), wall(), 2, &message));
    let cases: [(&str, &[u8], u16, &str); 5] = [
        ("POST /v1/peer", &envelope, 403, "6201"),
        ("POST /v1/peer", &other_key, 403, "6201"),
        ("POST /v1/peer", b"not an envelope", 400, "1001"),
        ("GET /v1/peer", b"", 405, "1007"),
        ("POST /v1/completions", b"", 404, "1006"),
    ];
    for (line, content, expected, code) in cases {
        let response = send_request(address, line, content).await;
        assert_eq!(status(&response), expected, "{response}");
        assert_eq!(
            header(&response, "camphorweir-code"),
            Some(code),
            "{response}"
        );
    }
    assert!(inputs.try_recv().is_err());
}

#[tokio::test]
async fn metrics_report_recorded_notes() {
    let metrics = Metrics::new().unwrap();
    let (ready, ready_receiver) = watch::channel(false);
    // The core's end of the channel is closed, as during shutdown.
    let (core_handle, _) = core_task::channel();
    let admin_state = admin::State {
        ready: ready_receiver,
        metrics: metrics.clone(),
        core_handle,
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
        let admin_state = admin_state.clone();
        async move { admin_state.handle(request).await }
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
    let response = send_request(address, "GET /metrics", b"").await;
    assert_eq!(status(&response), 200);
    let text = body(&response);
    let has_line = |parts: &[&str]| {
        text.lines()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    };
    let requests = "camphorweir_requests_total{";
    assert!(
        has_line(&[requests, "class=\"urgent\"", "code=\"0\"", "} 2"]),
        "{text}"
    );
    assert!(
        has_line(&[requests, "class=\"urgent\"", "code=\"2002\"", "} 1"]),
        "{text}"
    );
    assert!(
        has_line(&["camphorweir_first_token_seconds_count{", "} 3"]),
        "{text}"
    );
    assert!(
        has_line(&["camphorweir_whole_seconds_bucket{", "le=\"0.05\"", "} 3"]),
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
        assert!(has_line(&[&class, "\"urgent\"", &count]), "{class}: {text}");
        let workspace = format!("camphorweir_workspace_{name}");
        assert!(
            has_line(&[&workspace, "\"depot-7\"", &count]),
            "{workspace}: {text}"
        );
    }
    let workspaces = |line: &&str| line.starts_with("camphorweir_workspace_whole_seconds_count{");
    assert_eq!(
        text.lines().filter(workspaces).count(),
        histograms::MAX_WORKSPACES + 1
    );
    let other_workspaces = [
        "camphorweir_workspace_whole_seconds_count{",
        histograms::OTHER_WORKSPACES,
        "} 11",
    ];
    assert!(has_line(&other_workspaces), "{text}");
    assert_eq!(
        status(&send_request(address, "GET /healthz", b"").await),
        200
    );
    assert_eq!(
        status(&send_request(address, "GET /readyz", b"").await),
        503
    );
    ready.send_replace(true);
    assert_eq!(
        status(&send_request(address, "GET /readyz", b"").await),
        200
    );
    assert_eq!(
        status(&send_request(address, "POST /metrics", b"").await),
        405
    );
    assert_eq!(
        status(&send_request(address, "GET /nowhere", b"").await),
        404
    );
}
