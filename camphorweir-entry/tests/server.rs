//! The callers' listener against good and bad callers; the test plays the core.

mod common;

use {
    camphorweir_policy::call::{Answered, End, Finished, Kind},
    camphorweir_wire::{
        code::Code,
        outcome::{Answer, Ran, Refusal},
    },
    common::{body, header, limits, open, post, rest, rig, status},
    serde_json::Value,
    std::time::Duration,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const JSON: &str = r#"{"model":"tide","prompt":"ab","max_tokens":9,"temperature":0.5}"#;
const STREAM: &str =
    r#"{"model":"tide","prompt":"ab","stream":true,"stream_options":{"include_usage":true}}"#;

fn finished(tokens: u32) -> End {
    End::Finished(Finished {
        prompt: 2,
        tokens,
        stopped: true,
    })
}

fn cut() -> End {
    End::Refused(Refusal {
        code: Code::TargetFailed,
        ran: Ran::Unknown,
        retry_after: None,
        detail: String::new(),
    })
}

/// The data of every event of a stream.
fn events(answer: &str) -> Vec<&str> {
    answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

fn case(line: &str) -> Option<(&str, u16, &str, String)> {
    if line.starts_with('#') {
        return None;
    }
    let mut fields = line.splitn(4, " | ");
    let (name, status) = (fields.next()?, fields.next()?.parse().ok()?);
    let (code, request) = (fields.next()?, fields.next()?.replace("\\r\\n", "\r\n"));
    let filled = [5000, 9000, 70000, 90000]
        .iter()
        .fold(request, |request, count| {
            request.replace(&format!("{{{count}}}"), &"x".repeat(*count))
        });
    Some((name, status, code, filled))
}

#[tokio::test]
async fn bad_requests_get_numbered_results_and_harm_no_neighbour() {
    let mut rig = rig(limits()).await;
    let cases = include_str!("cases/bad-requests.txt");
    let cases: Vec<_> = cases
        .lines()
        .map(case)
        .filter(|case| case.is_some())
        .flatten()
        .collect();
    assert_eq!(cases.len(), 22);
    let neighbour = open(rig.address, post("/v1/completions", "", JSON).as_bytes()).await;
    let arrival = rig.arrival().await;
    for (name, expected, code, request) in cases {
        let answer = rest(&mut open(rig.address, request.as_bytes()).await).await;
        assert_eq!(status(&answer), expected, "{name}: {answer}");
        assert_eq!(
            header(&answer, "camphorweir-code"),
            Some(code),
            "{name}: {answer}"
        );
        assert_eq!(
            header(&answer, "camphorweir-ran"),
            Some("no"),
            "{name}: {answer}"
        );
        let error: Value = serde_json::from_str(body(&answer)).expect(name);
        assert_eq!(error["error"]["code"].to_string(), code, "{name}");
        assert_eq!(error["error"]["ran"], "no", "{name}");
    }
    arrival
        .responder
        .tokens
        .send(u32::from(b'k'))
        .await
        .unwrap();
    drop(arrival.responder.tokens);
    arrival.responder.end.send(finished(1)).unwrap();
    let mut neighbour = neighbour;
    assert_eq!(status(&rest(&mut neighbour).await), 200);
}

#[tokio::test]
async fn a_whole_answer_says_so() {
    let mut rig = rig(limits()).await;
    let tokens: Vec<u32> = "né".bytes().map(u32::from).collect();
    let answer = rig
        .ask(&post("/v1/completions", "", JSON), &tokens, finished(3))
        .await;
    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "camphorweir-ran"), Some("yes"));
    assert_eq!(header(&answer, "camphorweir-code"), None);
    let json: Value = serde_json::from_str(body(&answer)).unwrap();
    assert_eq!(json["choices"][0]["text"], "né");
    assert_eq!(json["choices"][0]["finish_reason"], "stop");
    assert_eq!(json["usage"]["completion_tokens"], 3);
    assert_eq!(json["ran"], "yes");
}

#[tokio::test]
async fn a_request_reaches_the_core_as_it_was_sent() {
    let mut rig = rig(limits()).await;
    let chat = r#"{"model":"tide","messages":[{"role":"system","content":"s"},
        {"role":"user","content":[{"type":"text","text":"u"}]}],"max_completion_tokens":7}"#;
    let auth = "authorization: Bearer open sesame\r\n";
    let _stream = open(
        rig.address,
        post("/v1/chat/completions", auth, chat).as_bytes(),
    )
    .await;
    let call = rig.arrival().await.call;
    assert_eq!(call.key, blake3::hash(b"open sesame").to_hex().to_string());
    let Kind::Tokens(tokens) = call.kind else {
        panic!("tokens were asked for")
    };
    let prompt: Vec<u8> = tokens.prompt.iter().map(|token| *token as u8).collect();
    assert_eq!(
        String::from_utf8(prompt).unwrap(),
        "system: s\nuser: u\nassistant:"
    );
    assert_eq!((tokens.pipeline.as_str(), tokens.max_tokens), ("tide", 7));
}

#[tokio::test]
async fn a_cut_answer_is_no_success_in_json() {
    let mut rig = rig(limits()).await;
    let answer = rig
        .ask(&post("/v1/completions", "", JSON), &[97, 98], cut())
        .await;
    assert_eq!(status(&answer), 502);
    assert_eq!(header(&answer, "camphorweir-code"), Some("3003"));
    assert_eq!(header(&answer, "camphorweir-ran"), Some("unknown"));
    let short = rig
        .ask(&post("/v1/completions", "", JSON), &[97, 98], finished(3))
        .await;
    assert_eq!(status(&short), 500);
    assert_eq!(header(&short, "camphorweir-code"), Some("7001"));
}

#[tokio::test]
async fn a_whole_stream_ends_with_its_end_mark() {
    let mut rig = rig(limits()).await;
    let tokens: Vec<u32> = "aé€".bytes().map(u32::from).collect();
    let answer = rig
        .ask(&post("/v1/completions", "", STREAM), &tokens, finished(6))
        .await;
    assert_eq!(status(&answer), 200);
    let mut events = events(&answer);
    assert_eq!(events.pop(), Some("[DONE]"));
    let parts: Vec<Value> = events
        .iter()
        .map(|event| serde_json::from_str(event).unwrap())
        .collect();
    let text: String = parts
        .iter()
        .map(|part| part["choices"][0]["text"].as_str().unwrap())
        .collect();
    assert_eq!(text, "aé€");
    let (last, earlier) = parts.split_last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(last["usage"]["total_tokens"], 8);
    assert_eq!(last["ran"], "yes");
    assert!(
        earlier
            .iter()
            .all(|part| part["choices"][0]["finish_reason"].is_null())
    );
}

#[tokio::test]
async fn a_cut_stream_never_looks_whole() {
    let mut rig = rig(limits()).await;
    for (end, code) in [(cut(), 3003), (finished(3), 7001)] {
        let answer = rig
            .ask(
                &post("/v1/chat/completions", "", &chat(true)),
                &[97, 98],
                end,
            )
            .await;
        assert_eq!(status(&answer), 200);
        assert!(answer.contains("event: error\n"), "{answer}");
        assert!(!answer.contains("[DONE]"), "{answer}");
        let mut events = events(&answer);
        let error: Value = serde_json::from_str(events.pop().unwrap()).unwrap();
        assert_eq!(error["error"]["code"], code);
        assert_eq!(error["error"]["ran"], "unknown");
        for event in events {
            let part: Value = serde_json::from_str(event).unwrap();
            assert!(part["choices"][0]["finish_reason"].is_null(), "{part}");
        }
    }
}

#[tokio::test]
async fn a_stream_whose_core_is_gone_ends_with_an_error() {
    let mut rig = rig(limits()).await;
    let request = post("/v1/chat/completions", "", &chat(true));
    let mut stream = open(rig.address, request.as_bytes()).await;
    let arrival = rig.arrival().await;
    arrival.responder.tokens.send(97).await.unwrap();
    drop(arrival);
    let answer = rest(&mut stream).await;
    assert!(
        answer.contains("event: error\n") && !answer.contains("[DONE]"),
        "{answer}"
    );
}

fn chat(stream: bool) -> String {
    format!(r#"{{"model":"t","messages":[{{"role":"user","content":"u"}}],"stream":{stream}}}"#)
}

#[tokio::test]
async fn a_refusal_before_the_first_token_has_its_own_status() {
    let mut rig = rig(limits()).await;
    let refusal = Refusal::not_run(Code::QueueFull, "").with_retry_after(Duration::from_millis(10));
    let end = End::Refused(refusal);
    let answer = rig
        .ask(&post("/v1/completions", "", STREAM), &[], end)
        .await;
    assert_eq!(status(&answer), 503);
    assert_eq!(header(&answer, "retry-after"), Some("1"));
    assert_eq!(header(&answer, "camphorweir-ran"), Some("no"));
    let error: Value = serde_json::from_str(body(&answer)).unwrap();
    assert_eq!(error["error"]["retry_after_ms"], 10);
    assert_eq!(error["error"]["name"], "QueueFull");
}

#[tokio::test]
async fn the_core_learns_that_a_caller_is_gone() {
    let mut rig = rig(limits()).await;
    let stream = open(rig.address, post("/v1/completions", "", JSON).as_bytes()).await;
    let waiting = rig.arrival().await;
    drop(stream);
    assert_eq!(rig.hangup().await, waiting.call.id);
    let mut stream = open(rig.address, post("/v1/completions", "", STREAM).as_bytes()).await;
    let streaming = rig.arrival().await;
    streaming.responder.tokens.send(97).await.unwrap();
    assert!(stream.read(&mut [0; 16]).await.unwrap() > 0);
    drop(stream);
    assert_eq!(rig.hangup().await, streaming.call.id);
}

#[tokio::test]
async fn a_plain_call_is_kept_and_passed_back() {
    let mut rig = rig(limits()).await;
    let headers = "idempotency-key: k-1\r\ncontent-type: text/x\r\naccept: a/b\r\ncookie: c\r\n\
                   te: trailers\r\n";
    let request = post("/services/ledger/seal/7?x=1", headers, "body");
    let mut prints = Vec::new();
    for request in [&request, &request, &request.replace("seal/7", "seal/8")] {
        let mut stream = open(rig.address, request.as_bytes()).await;
        let arrival = rig.arrival().await;
        let kept = arrival.payload.unwrap();
        assert!(
            kept.path.starts_with("/seal/") && kept.path.ends_with("?x=1"),
            "{}",
            kept.path
        );
        assert_eq!(&kept.body[..], b"body");
        let mut names: Vec<&str> = kept.headers.keys().map(|name| name.as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "content-type", "idempotency-key"]);
        let Kind::Plain(plain) = arrival.call.kind else {
            panic!("a plain call was sent")
        };
        assert_eq!(plain.route, "ledger");
        assert_eq!(plain.idempotency_key.as_deref(), Some("k-1"));
        prints.push(plain.fingerprint);
        let answer = Answer {
            status: 409,
            content_type: "text/y".to_owned(),
            body: b"no".to_vec(),
        };
        arrival
            .responder
            .end
            .send(End::Answered(Answered {
                answer,
                replayed: true,
            }))
            .unwrap();
        let answer = rest(&mut stream).await;
        assert_eq!((status(&answer), body(&answer)), (409, "no"));
        assert_eq!(header(&answer, "content-type"), Some("text/y"));
        assert_eq!(header(&answer, "camphorweir-ran"), Some("yes"));
        assert_eq!(header(&answer, "camphorweir-replayed"), Some("true"));
    }
    assert_eq!(prints[0], prints[1]);
    assert_ne!(prints[0], prints[2]);
}

#[tokio::test]
async fn one_connection_too_many_is_told_so() {
    let mut rig = rig(camphorweir_entry::settings::Limits {
        connections: 1,
        ..limits()
    })
    .await;
    let _stream = open(rig.address, post("/v1/completions", "", JSON).as_bytes()).await;
    let _arrival = rig.arrival().await;
    let answer = rest(&mut open(rig.address, b"").await).await;
    assert_eq!(status(&answer), 429);
    assert_eq!(header(&answer, "camphorweir-code"), Some("1014"));
}

#[tokio::test]
async fn requests_beyond_the_bound_are_told_when_to_come_back() {
    let mut rig = rig(camphorweir_entry::settings::Limits {
        requests: 1,
        ..limits()
    })
    .await;
    let mut stream = open(rig.address, post("/v1/completions", "", STREAM).as_bytes()).await;
    let arrival = rig.arrival().await;
    let mut more = open(rig.address, post("/v1/completions", "", JSON).as_bytes()).await;
    let answer = rest(&mut more).await;
    assert_eq!(status(&answer), 503);
    assert_eq!(header(&answer, "camphorweir-code"), Some("2002"));
    assert_eq!(header(&answer, "retry-after"), Some("1"));
    drop(arrival.responder.tokens);
    arrival.responder.end.send(finished(0)).unwrap();
    assert_eq!(status(&rest(&mut stream).await), 200);
    let answer = rig
        .ask(&post("/v1/completions", "", JSON), &[97], finished(1))
        .await;
    assert_eq!(status(&answer), 200);
}

#[tokio::test]
async fn closing_cuts_nothing() {
    let mut rig = rig(limits()).await;
    let mut stream = open(rig.address, post("/v1/completions", "", STREAM).as_bytes()).await;
    let arrival = rig.arrival().await;
    arrival.responder.tokens.send(97).await.unwrap();
    // Connected, but with its request still to come when the listener closes.
    let mut late = open(rig.address, b"").await;
    rig.closing.send_replace(true);
    late.write_all(post("/v1/completions", "", JSON).as_bytes())
        .await
        .unwrap();
    let second = rig.arrival().await;
    drop(second.responder.tokens);
    second.responder.end.send(finished(0)).unwrap();
    assert_eq!(status(&rest(&mut late).await), 200);
    arrival.responder.tokens.send(98).await.unwrap();
    drop(arrival.responder.tokens);
    arrival.responder.end.send(finished(2)).unwrap();
    assert!(rest(&mut stream).await.contains("data: [DONE]"));
    drop((stream, late));
    rig.server.drained().await;
}

#[tokio::test]
async fn the_readiness_check_follows_the_core() {
    let rig = rig(limits()).await;
    let request = b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert_eq!(
        status(&rest(&mut open(rig.address, request).await).await),
        200
    );
    rig.ready.send_replace(false);
    assert_eq!(
        status(&rest(&mut open(rig.address, request).await).await),
        503
    );
}
