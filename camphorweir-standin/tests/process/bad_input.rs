//! Bad input: each case gets its numbered result, and a neighbour is served meanwhile.

use {
    crate::{
        caller::Caller,
        child::{Child, GUARD, binary, output},
        deployment::{Deployment, Plan},
        support,
    },
    camphorweir_entry::{seal::seal, settings::Secret},
    camphorweir_standin::fleet,
    camphorweir_wire::{
        codec,
        peer::{Body, Digest, Message, PATH},
    },
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        process::Command,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
    uuid::Uuid,
};

/// Sends bytes as they are and reads until the entry closes the connection.
async fn raw(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The entry may refuse before it has read all.
    let _ = stream.write_all(bytes).await;
    if close {
        let _ = stream.shutdown().await;
    }
    let mut text = Vec::new();
    let _ = timeout(GUARD, stream.read_to_end(&mut text))
        .await
        .expect("no end");
    String::from_utf8_lossy(&text).into_owned()
}

fn head(method: &str, path: &str, length: usize) -> String {
    let key = fleet::KEY;
    format!(
        "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n"
    )
}

/// The case's name, what is sent, whether the caller then closes its side, and the result.
fn raw_cases() -> Vec<(&'static str, Vec<u8>, bool, u16)> {
    let post = |rest: &str, length| format!("{}{rest}", head("POST", "/v1/completions", length));
    let long = "x".repeat(40 << 10);
    let large = post("\r\n", 65 << 10) + &"x".repeat(65 << 10);
    vec![
        (
            "no HTTP at all",
            b"\x16\x03\x01 hello\r\n\r\n".into(),
            false,
            1001,
        ),
        (
            "bad header",
            b"GET / HTTP/1.1\r\nbad header\r\n\r\n".into(),
            false,
            1001,
        ),
        (
            "slow head",
            b"POST /v1/completions HTTP/1.1\r\nhost:".into(),
            false,
            1004,
        ),
        ("slow body", post("\r\n{\"model\"", 100).into(), false, 1004),
        (
            "large head",
            post(&format!("x: {long}\r\n\r\n"), 0).into(),
            false,
            1003,
        ),
        ("large body", large.into(), false, 1002),
        (
            "body that is not JSON",
            post("connection: close\r\n\r\n{", 1).into(),
            false,
            1001,
        ),
    ]
}

/// Method, path, bearer key, `Idempotency-Key`, body and the result.
type Case = (
    &'static str,
    &'static str,
    &'static str,
    Option<String>,
    Value,
    u16,
);

fn whole_cases() -> Vec<Case> {
    let ask = |model: &str, n: u32| json!({"model": model, "prompt": "?", "max_tokens": n});
    let tokens = "/v1/completions";
    let seal = "/services/seal/batches/1/seal";
    let old = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_000_000, 0));
    let key = fleet::KEY;
    vec![
        ("POST", tokens, "nobody", None, ask("burn-notes", 1), 1005),
        ("POST", tokens, key, None, ask("choir-cues", 1), 1008),
        ("POST", tokens, key, None, ask("burn-notes", 513), 1013),
        (
            "POST",
            tokens,
            key,
            None,
            json!({"model": "burn-notes"}),
            1001,
        ),
        ("POST", tokens, key, None, json!({"prompt": "?"}), 1001),
        ("GET", tokens, key, None, Value::Null, 1007),
        (
            "DELETE",
            "/v1/chat/completions",
            key,
            None,
            Value::Null,
            1007,
        ),
        ("POST", "/v1/embeddings", key, None, json!({}), 1006),
        ("GET", "/services/", key, None, Value::Null, 1006),
        (
            "GET",
            "/services/weather/today",
            key,
            None,
            Value::Null,
            1008,
        ),
        ("POST", seal, key, None, json!({}), 1009),
        (
            "POST",
            seal,
            key,
            Some("seal-1".to_owned()),
            json!({}),
            1010,
        ),
        (
            "POST",
            seal,
            key,
            Some(Uuid::nil().to_string()),
            json!({}),
            1010,
        ),
        ("POST", seal, key, Some(old.to_string()), json!({}), 1011),
        (
            "POST",
            seal,
            "nobody",
            Some(Uuid::now_v7().to_string()),
            json!({}),
            1005,
        ),
    ]
}

async fn refuse(address: SocketAddr, case: Case) {
    let (method, path, bearer, key, body, code) = case;
    let bearer = format!("Bearer {bearer}");
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(key.as_ref().map(|key| ("idempotency-key", key.as_str())));
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let sent = support::send(method, address, path, &headers, body.as_bytes());
    let answer = timeout(GUARD, sent).await.expect("no answer").unwrap();
    let name = format!("{method} {path} {body}");
    assert_eq!(
        answer.headers()["camphorweir-code"],
        code.to_string(),
        "{name}"
    );
    assert_eq!(answer.headers()["camphorweir-ran"], "no", "{name}");
    let error: Value = serde_json::from_slice(answer.body()).unwrap();
    assert_eq!(error["error"]["code"], code, "{name}");
}

async fn neighbour(caller: Caller) {
    for turn in 0..8 {
        caller.right_stream(&format!("neighbour {turn}"), 20).await;
        caller.right_status(turn).await;
    }
    caller.seal(Uuid::now_v7(), 5).await.unwrap().run();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_told_what_is_wrong_and_neighbours_are_served() {
    let plan = Plan {
        entries: 1,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    let caller = deployment.entries[0].caller;
    let served = tokio::spawn(neighbour(caller));
    let raw = raw_cases()
        .into_iter()
        .map(|(name, bytes, close, code)| async move {
            let answer = raw(caller.0, &bytes, close).await;
            let line = format!("camphorweir-code: {code}\r\n");
            assert!(answer.contains(&line), "{name}: {answer}");
            assert!(
                answer.contains("camphorweir-ran: no\r\n"),
                "{name}: {answer}"
            );
        });
    futures::future::join_all(raw).await;
    for case in whole_cases() {
        refuse(caller.0, case).await;
    }
    half_sent(caller).await;
    foreign_letters(deployment.entries[0].peers).await;
    served.await.unwrap();

    let ran: usize = {
        let audit: Vec<Value> = deployment.targets["ledger-a"].report("audit").await;
        audit
            .iter()
            .filter(|run| run["path"] == "/batches/1/seal")
            .count()
    };
    assert_eq!(ran, 0);
    let entry = &mut deployment.entries[0].child;
    assert!(entry.is_running());
    assert!(!entry.printed().contains("panicked"));
}

/// A caller that goes away inside its request leaves nothing behind.
async fn half_sent(caller: Caller) {
    let half = format!("{}\r\n{{\"model\"", head("POST", "/v1/completions", 200));
    for _ in 0..20 {
        let mut stream = TcpStream::connect(caller.0).await.unwrap();
        stream.write_all(half.as_bytes()).await.unwrap();
    }
    raw(caller.0, half.as_bytes(), true).await;
}

/// Letters to the peers' listener that no peer has written.
async fn foreign_letters(peers: SocketAddr) {
    let message = Message {
        sender: "entry-9".to_owned(),
        incarnation: 1,
        body: Body::Digest(Digest::default()),
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let sealed = |key, now| codec::encode(&seal(&Secret::new([key; 32]), now, 1, &message));
    let cases = [
        ("no letter", b"hello".to_vec(), 1001),
        ("another key", sealed(8, now), 6201),
        (
            "an old one",
            sealed(7, now - Duration::from_secs(3600)),
            6201,
        ),
    ];
    for (name, letter, code) in cases {
        let answer = support::send("POST", peers, PATH, &[], &letter)
            .await
            .unwrap();
        assert_eq!(
            answer.headers()["camphorweir-code"],
            code.to_string(),
            "{name}"
        );
    }
}

#[tokio::test]
async fn an_unusable_settings_file_is_named() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings");
    fs::create_dir_all(&folder).unwrap();
    let cases = [
        ("missing", None, "6101 BadSettings"),
        ("syntax", Some("entry: [a"), "6101 BadSettings"),
        (
            "unknown",
            Some("entry: a\nzone: z\ncolour: red\n"),
            "colour",
        ),
        ("lacking", Some("entry: a\n"), "zone"),
    ];
    for (name, text, named) in cases {
        let file = folder.join(format!("{name}.yaml"));
        if let Some(text) = text {
            fs::write(&file, text).unwrap();
        }
        let mut command = Command::new(binary("camphorweir-entry"));
        command.arg("--settings").arg(&file);
        let out = output(command).await;
        let words = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{name}: {words}");
        assert!(words.contains("6101"), "{name}: {words}");
        assert!(words.contains(named), "{name}: {words}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_in_use_and_a_bad_configuration_are_named() {
    let plan = Plan {
        entries: 1,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await;
    let caller = deployment.entries[0].caller;
    let settings = deployment.entry_settings("entry-1", fleet::ZONES[1]);
    let taken = format!("callers: {}", caller.0);
    let settings = settings.replacen("callers: 127.0.0.1:0", &taken, 1);
    let file = deployment.folder.join("taken.yaml");
    fs::write(&file, settings).unwrap();
    let mut command = Command::new(binary("camphorweir-entry"));
    command.arg("--settings").arg(&file);
    let mut entry = Child::start("entry-1", command);
    assert_eq!(entry.exit().await, Some(1));
    entry.line("6102 AddressInUse").await;

    let good = fs::read_to_string(deployment.folder.join("configuration.yaml")).unwrap();
    let bad = deployment.folder.join("bad.yaml");
    fs::write(&bad, format!("{good}colour: red\n")).unwrap();
    let named = deployment.publish("ada", &bad).await;
    let words = String::from_utf8(named.stderr).unwrap();
    assert_eq!(named.status.code(), Some(2), "{words}");
    assert!(words.contains("colour"), "{words}");
    caller.right_stream("still served", 10).await;
}
