//! The administration API: which key may read, and that docs/openapi.yaml describes every path.

mod common;

use {
    camphorweir_config::{
        edit::edits,
        parse,
        record::{Body, FORMAT, Publication, Record, STREAM},
    },
    camphorweir_entry::{
        admin::{self, PUBLIC_PATHS, READ_PATHS},
        clock::Clock,
        core_task::{self, Input},
        driver::Decider,
        inner,
        settings::{Keys, Secret},
        telemetry::Metrics,
    },
    camphorweir_policy::{
        core::{Core, Setup},
        event::Event,
    },
    camphorweir_wire::{
        codec,
        list::{Instance, Role, State},
        log::{Page, Stored},
        status::{
            MEMBERS_PATH, MemberState, STATUS_PATH, Status, TARGETS_PATH, Target, TargetState,
        },
    },
    common::{body, header, read_to_close, send_raw, status},
    serde_bytes::ByteBuf,
    serde_json::Value,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const READ_KEY: [u8; 32] = [1; 32];
const WRITE_KEY: [u8; 32] = [2; 32];
const CONFIGURATION: &str = "
kinds: {l40: {prefill_rate: 1000.0, decode_layer_us: 10.0, batch: 8}}
zones: {a: {region: r}}
models: {pine: {layers: 4}}
services: {ledger: {}}
targets:
  stage-0: {address: '10.0.0.1:80', zone: a, serves: {layers: {model: pine, first: 0, end: 4, kind: l40}}}
  ledger-1: {address: '10.0.0.2:80', zone: a, serves: {service: ledger}}
  ledger-2: {address: '10.0.0.3:80', zone: a, serves: {service: ledger}, drain: true}
  ledger-3: {address: '10.0.0.4:80', zone: a, serves: {service: ledger}}
";

/// A core that has received a configuration and an instance list.
fn core(clock: Clock) -> Core {
    let mut core = Core::new(Setup {
        entry: "a1".to_owned(),
        incarnation: 7,
        zone: "a".to_owned(),
        seed: 1,
        grace: Duration::ZERO,
    });
    core.start(clock.now());
    let document = parse::checked(CONFIGURATION).unwrap();
    let record = Record {
        format: FORMAT,
        body: Body::Publication(Publication {
            nonce: 1,
            author: "ada".to_owned(),
            base: 0,
            edits: edits(&Default::default(), &document),
        }),
    };
    let page = Page {
        oldest: 0,
        end: 1,
        records: vec![Stored {
            offset: 0,
            time_ms: 0,
            body: ByteBuf::from(codec::encode(&record)),
        }],
    };
    core.handle(clock.now(), Event::StreamPage(STREAM.to_owned(), page));
    let instance = |name: &str, role, state| Instance {
        name: name.to_owned(),
        role,
        address: "10.0.0.9:81".to_owned(),
        zone: "a".to_owned(),
        state,
    };
    let list = vec![
        instance("b1", Role::Entry, State::Live),
        instance("ledger-3", Role::Target, State::Leaving),
    ];
    core.handle(clock.now(), Event::InstancesListed(list));
    core
}

/// Serves the administration API and returns its address.
async fn start(keys: Keys) -> SocketAddr {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let address = listener.local_addr().unwrap();
    let (core_handle, mut inputs) = core_task::channel();
    let clock = Clock::start();
    let core = core(clock);
    tokio::spawn(async move {
        while let Some(Input::Query(query)) = inputs.recv().await {
            core.answer_query(clock.now(), query);
        }
    });
    let (_, ready) = watch::channel(true);
    let admin_state = admin::State {
        ready,
        metrics: Metrics::new().unwrap(),
        core_handle,
        keys,
    };
    tokio::spawn(inner::serve(listener, move |request| {
        let admin_state = admin_state.clone();
        async move { admin_state.handle(request).await }
    }));
    address
}

fn keys() -> Keys {
    Keys {
        peers: Secret::new([3; 32]),
        admin_read: Some(Secret::new(READ_KEY)),
        admin_write: Some(Secret::new(WRITE_KEY)),
    }
}

async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<[u8; 32]>,
) -> String {
    let key = key.map(|key| blake3::Hash::from_bytes(key).to_hex().to_string());
    let bearer = key.map_or(String::new(), |key| {
        format!("authorization: Bearer {key}\r\n")
    });
    let request =
        format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{bearer}\r\n");
    read_to_close(&mut send_raw(address, request.as_bytes()).await).await
}

#[tokio::test]
async fn only_the_read_key_allows_reading() {
    let address = start(keys()).await;
    let cases = [
        ("GET", STATUS_PATH, Some(READ_KEY), 200, None),
        ("GET", STATUS_PATH, None, 401, Some("1005")),
        ("GET", STATUS_PATH, Some([9; 32]), 401, Some("1005")),
        ("GET", STATUS_PATH, Some(WRITE_KEY), 403, Some("6001")),
        ("POST", STATUS_PATH, Some(READ_KEY), 405, Some("1007")),
        ("GET", "/v1/nothing", Some(READ_KEY), 404, Some("1006")),
        ("GET", "/metrics", None, 200, None),
    ];
    for (method, path, key, expected, code) in cases {
        let response = send_request(address, method, path, key).await;
        assert_eq!(status(&response), expected, "{method} {path}: {response}");
        assert_eq!(header(&response, "camphorweir-code"), code, "{response}");
    }
    let without_admin_keys = Keys {
        admin_read: None,
        admin_write: None,
        ..keys()
    };
    let response = send_request(
        start(without_admin_keys).await,
        "GET",
        STATUS_PATH,
        Some(READ_KEY),
    )
    .await;
    assert_eq!(
        status(&response),
        401,
        "without a configured read key, reading is refused"
    );
}

#[tokio::test]
async fn the_status_reports_the_state_of_the_entry() {
    let address = start(keys()).await;
    let response = send_request(address, "GET", STATUS_PATH, Some(READ_KEY)).await;
    let reported: Status = serde_json::from_str(body(&response)).unwrap();
    assert_eq!(
        (reported.entry.as_str(), reported.zone.as_str()),
        ("a1", "a")
    );
    assert_eq!(reported.configuration.version, Some(1));
    assert!(!reported.log.reachable, "no claim stream was read");
    assert_eq!(reported.queues.len(), 3);
    assert_eq!(reported.members[0].entry, "b1");
    assert_eq!(reported.members[0].state, MemberState::Silent);
    let states: Vec<_> = reported.targets.iter().map(|target| target.state).collect();
    let expected = [
        TargetState::Usable,
        TargetState::Drained,
        TargetState::Leaving,
        TargetState::Down,
    ];
    assert_eq!(states, expected);
    let response = send_request(address, "GET", TARGETS_PATH, Some(READ_KEY)).await;
    let targets: Vec<Target> = serde_json::from_str(body(&response)).unwrap();
    assert_eq!(targets, reported.targets);
    let response = send_request(address, "GET", "/metrics", None).await;
    let drained = |line: &str| {
        let named = line.starts_with("camphorweir_targets{") && line.contains("state=\"drained\"");
        named && line.ends_with("} 1")
    };
    assert!(body(&response).lines().any(drained), "{response}");
}

/// Returns the field names of a schema; an array stands for its items, and a `$ref` is followed.
fn fields<'a>(document: &'a Value, mut schema: &'a Value) -> BTreeSet<&'a str> {
    if schema["type"] == "array" {
        schema = &schema["items"];
    }
    if let Some(pointer) = schema["$ref"].as_str() {
        schema = document.pointer(pointer.trim_start_matches('#')).unwrap();
    }
    let fields = schema["properties"].as_object().unwrap();
    fields.keys().map(String::as_str).collect()
}

#[tokio::test]
async fn the_openapi_file_describes_the_served_paths() {
    let text = include_str!("../../docs/openapi.yaml");
    let document: Value = serde_saphyr::from_str(text).unwrap();
    let paths = document["paths"].as_object().unwrap();
    let described: BTreeSet<&str> = paths.keys().map(String::as_str).collect();
    let served: BTreeSet<&str> = PUBLIC_PATHS.iter().chain(&READ_PATHS).copied().collect();
    assert_eq!(described, served);
    let address = start(keys()).await;
    for path in PUBLIC_PATHS {
        let response = send_request(address, "GET", path, None).await;
        assert_eq!(status(&response), 200, "{path}");
    }
    for path in READ_PATHS {
        let get = &paths[path]["get"];
        assert!(get["security"].is_array(), "{path}");
        let schema = &get["responses"]["200"]["content"]["application/json"]["schema"];
        let response = send_request(address, "GET", path, Some(READ_KEY)).await;
        let value: Value = serde_json::from_str(body(&response)).unwrap();
        let item = match &value {
            Value::Array(items) => items.first(),
            value => Some(value),
        };
        let Some(item) = item else { continue };
        let served: BTreeSet<&str> = item
            .as_object()
            .unwrap()
            .keys()
            .map(String::as_str)
            .collect();
        assert_eq!(served, fields(&document, schema), "{path}");
    }
    let response = send_request(address, "GET", MEMBERS_PATH, Some(READ_KEY)).await;
    assert!(body(&response).contains("\"b1\""));
}
