//! The server for callers with valid and invalid requests; the test takes the place of the core.

mod common;

use {
    camphorweir_policy::call::{Answered, End, Finished, Kind},
    camphorweir_wire::{
        code::Code,
        outcome::{Answer, Ran, Refusal},
    },
    common::{body, header, limits, post, read_to_close, rig, send_raw, status},
    serde_json::Value,
    std::time::Duration,
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const COMPLETION: &str = r#"{"model":"tide","prompt":"ab","max_tokens":9,"temperature":0.5}"#;
const STREAMED_COMPLETION: &str =
    r#"{"model":"tide","prompt":"ab","stream":true,"stream_options":{"include_usage":true}}"#;

fn finished(tokens: u32) -> End {
    End::Finished(Finished {
        prompt: 2,
        tokens,
        stopped: true,
    })
}

fn target_failed() -> End {
    End::Refused(Refusal {
        code: Code::TargetFailed,
        ran: Ran::Unknown,
        retry_after: None,
        detail: String::new(),
    })
}

/// Returns the data of each server-sent event in a response.
fn events(response: &str) -> Vec<&str> {
    response
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Parses a line of `cases/bad-requests.txt`.
fn parse_case(line: &str) -> Option<(&str, u16, &str, String)> {
    if line.starts_with('#') {
        return None;
    }
    let mut fields = line.splitn(4, " | ");
    let (name, status) = (fields.next()?, fields.next()?.parse().ok()?);
    let (code, request) = (fields.next()?, fields.next()?.replace("\\r\\n", "\r\n"));
    let request = [5000, 9000, 70000, 90000]
        .iter()
        .fold(request, |request, count| {
            request.replace(&format!("{{{count}}}"), &"x".repeat(*count))
        });
    Some((name, status, code, request))
}

#[tokio::test]
async fn bad_requests_get_result_codes_and_do_not_affect_other_requests() {
    let mut rig = rig(limits()).await;
    let cases = include_str!("cases/bad-requests.txt");
    let cases: Vec<_> = cases
        .lines()
        .map(parse_case)
        .filter(|case| case.is_some())
        .flatten()
        .collect();
    assert_eq!(cases.len(), 22);
    let other_request = send_raw(
        rig.address,
        post("/v1/completions", "", COMPLETION).as_bytes(),
    )
    .await;
    let arrival = rig.arrival().await;
    for (name, expected, code, request) in cases {
        let response = read_to_close(&mut send_raw(rig.address, request.as_bytes()).await).await;
        assert_eq!(status(&response), expected, "{name}: {response}");
        assert_eq!(
            header(&response, "camphorweir-code"),
            Some(code),
            "{name}: {response}"
        );
        assert_eq!(
            header(&response, "camphorweir-ran"),
            Some("no"),
            "{name}: {response}"
        );
        let error: Value = serde_json::from_str(body(&response)).expect(name);
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
    let mut other_request = other_request;
    assert_eq!(status(&read_to_close(&mut other_request).await), 200);
}

#[tokio::test]
async fn a_complete_response_has_its_outcome() {
    let mut rig = rig(limits()).await;
    let tokens: Vec<u32> = "né".bytes().map(u32::from).collect();
    let response = rig
        .round_trip(
            &post("/v1/completions", "", COMPLETION),
            &tokens,
            finished(3),
        )
        .await;
    assert_eq!(status(&response), 200);
    assert_eq!(header(&response, "camphorweir-ran"), Some("yes"));
    assert_eq!(header(&response, "camphorweir-code"), None);
    let json: Value = serde_json::from_str(body(&response)).unwrap();
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
    let authorization = "authorization: Bearer open sesame\r\n";
    let _stream = send_raw(
        rig.address,
        post("/v1/chat/completions", authorization, chat).as_bytes(),
    )
    .await;
    let call = rig.arrival().await.call;
    assert_eq!(call.key, blake3::hash(b"open sesame").to_hex().to_string());
    let Kind::Tokens(tokens) = call.kind else {
        panic!("a request for tokens was sent")
    };
    let prompt: Vec<u8> = tokens.prompt.iter().map(|token| *token as u8).collect();
    assert_eq!(
        String::from_utf8(prompt).unwrap(),
        "system: s\nuser: u\nassistant:"
    );
    assert_eq!((tokens.pipeline.as_str(), tokens.max_tokens), ("tide", 7));
}

#[tokio::test]
async fn an_incomplete_response_is_an_error_in_json() {
    let mut rig = rig(limits()).await;
    let response = rig
        .round_trip(
            &post("/v1/completions", "", COMPLETION),
            &[97, 98],
            target_failed(),
        )
        .await;
    assert_eq!(status(&response), 502);
    assert_eq!(header(&response, "camphorweir-code"), Some("3003"));
    assert_eq!(header(&response, "camphorweir-ran"), Some("unknown"));
    let too_few_tokens = rig
        .round_trip(
            &post("/v1/completions", "", COMPLETION),
            &[97, 98],
            finished(3),
        )
        .await;
    assert_eq!(status(&too_few_tokens), 500);
    assert_eq!(header(&too_few_tokens, "camphorweir-code"), Some("7001"));
}

#[tokio::test]
async fn a_complete_stream_ends_with_done() {
    let mut rig = rig(limits()).await;
    let tokens: Vec<u32> = "aé€".bytes().map(u32::from).collect();
    let response = rig
        .round_trip(
            &post("/v1/completions", "", STREAMED_COMPLETION),
            &tokens,
            finished(6),
        )
        .await;
    assert_eq!(status(&response), 200);
    let mut events = events(&response);
    assert_eq!(events.pop(), Some("[DONE]"));
    let chunks: Vec<Value> = events
        .iter()
        .map(|event| serde_json::from_str(event).unwrap())
        .collect();
    let text: String = chunks
        .iter()
        .map(|chunk| chunk["choices"][0]["text"].as_str().unwrap())
        .collect();
    assert_eq!(text, "aé€");
    let (last, before_last) = chunks.split_last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    assert_eq!(last["usage"]["total_tokens"], 8);
    assert_eq!(last["ran"], "yes");
    assert!(
        before_last
            .iter()
            .all(|chunk| chunk["choices"][0]["finish_reason"].is_null())
    );
}

#[tokio::test]
async fn an_incomplete_stream_ends_with_an_error() {
    let mut rig = rig(limits()).await;
    for (end, code) in [(target_failed(), 3003), (finished(3), 7001)] {
        let response = rig
            .round_trip(
                &post("/v1/chat/completions", "", &chat(true)),
                &[97, 98],
                end,
            )
            .await;
        assert_eq!(status(&response), 200);
        assert!(response.contains("event: error\n"), "{response}");
        assert!(!response.contains("[DONE]"), "{response}");
        let mut events = events(&response);
        let error: Value = serde_json::from_str(events.pop().unwrap()).unwrap();
        assert_eq!(error["error"]["code"], code);
        assert_eq!(error["error"]["ran"], "unknown");
        for event in events {
            let chunk: Value = serde_json::from_str(event).unwrap();
            assert!(chunk["choices"][0]["finish_reason"].is_null(), "{chunk}");
        }
    }
}

#[tokio::test]
async fn a_stream_whose_core_is_gone_ends_with_an_error() {
    let mut rig = rig(limits()).await;
    let request = post("/v1/chat/completions", "", &chat(true));
    let mut stream = send_raw(rig.address, request.as_bytes()).await;
    let arrival = rig.arrival().await;
    arrival.responder.tokens.send(97).await.unwrap();
    drop(arrival);
    let response = read_to_close(&mut stream).await;
    assert!(
        response.contains("event: error\n") && !response.contains("[DONE]"),
        "{response}"
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
    let response = rig
        .round_trip(&post("/v1/completions", "", STREAMED_COMPLETION), &[], end)
        .await;
    assert_eq!(status(&response), 503);
    assert_eq!(header(&response, "retry-after"), Some("1"));
    assert_eq!(header(&response, "camphorweir-ran"), Some("no"));
    let error: Value = serde_json::from_str(body(&response)).unwrap();
    assert_eq!(error["error"]["retry_after_ms"], 10);
    assert_eq!(error["error"]["name"], "QueueFull");
}

#[tokio::test]
async fn the_core_learns_that_a_caller_is_gone() {
    let mut rig = rig(limits()).await;
    let stream = send_raw(
        rig.address,
        post("/v1/completions", "", COMPLETION).as_bytes(),
    )
    .await;
    let waiting = rig.arrival().await;
    drop(stream);
    assert_eq!(rig.disconnect().await, waiting.call.id);
    let mut stream = send_raw(
        rig.address,
        post("/v1/completions", "", STREAMED_COMPLETION).as_bytes(),
    )
    .await;
    let streaming = rig.arrival().await;
    streaming.responder.tokens.send(97).await.unwrap();
    assert!(stream.read(&mut [0; 16]).await.unwrap() > 0);
    drop(stream);
    assert_eq!(rig.disconnect().await, streaming.call.id);
}

#[tokio::test]
async fn a_plain_call_is_forwarded_and_answered() {
    let mut rig = rig(limits()).await;
    let headers = "idempotency-key: k-1\r\ncontent-type: text/x\r\naccept: a/b\r\ncookie: c\r\n\
                   te: trailers\r\n";
    let request = post("/services/ledger/seal/7?x=1", headers, "body");
    let mut fingerprints = Vec::new();
    for request in [&request, &request, &request.replace("seal/7", "seal/8")] {
        let mut stream = send_raw(rig.address, request.as_bytes()).await;
        let arrival = rig.arrival().await;
        let payload = arrival.payload.unwrap();
        assert!(
            payload.path.starts_with("/seal/") && payload.path.ends_with("?x=1"),
            "{}",
            payload.path
        );
        assert_eq!(&payload.body[..], b"body");
        let mut names: Vec<&str> = payload.headers.keys().map(|name| name.as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "content-type", "idempotency-key"]);
        let Kind::Plain(plain) = arrival.call.kind else {
            panic!("a plain request was sent")
        };
        assert_eq!(plain.route, "ledger");
        assert_eq!(plain.idempotency_key.as_deref(), Some("k-1"));
        fingerprints.push(plain.fingerprint);
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
        let response = read_to_close(&mut stream).await;
        assert_eq!((status(&response), body(&response)), (409, "no"));
        assert_eq!(header(&response, "content-type"), Some("text/y"));
        assert_eq!(header(&response, "camphorweir-ran"), Some("yes"));
        assert_eq!(header(&response, "camphorweir-replayed"), Some("true"));
    }
    assert_eq!(fingerprints[0], fingerprints[1]);
    assert_ne!(fingerprints[0], fingerprints[2]);
}

#[tokio::test]
async fn a_connection_over_the_limit_is_refused() {
    let mut rig = rig(camphorweir_entry::settings::Limits {
        connections: 1,
        ..limits()
    })
    .await;
    let _stream = send_raw(
        rig.address,
        post("/v1/completions", "", COMPLETION).as_bytes(),
    )
    .await;
    let _arrival = rig.arrival().await;
    let response = read_to_close(&mut send_raw(rig.address, b"").await).await;
    assert_eq!(status(&response), 429);
    assert_eq!(header(&response, "camphorweir-code"), Some("1014"));
}

#[tokio::test]
async fn requests_over_the_limit_get_retry_after() {
    let mut rig = rig(camphorweir_entry::settings::Limits {
        requests: 1,
        ..limits()
    })
    .await;
    let mut stream = send_raw(
        rig.address,
        post("/v1/completions", "", STREAMED_COMPLETION).as_bytes(),
    )
    .await;
    let arrival = rig.arrival().await;
    let mut over_limit = send_raw(
        rig.address,
        post("/v1/completions", "", COMPLETION).as_bytes(),
    )
    .await;
    let response = read_to_close(&mut over_limit).await;
    assert_eq!(status(&response), 503);
    assert_eq!(header(&response, "camphorweir-code"), Some("2002"));
    assert_eq!(header(&response, "retry-after"), Some("1"));
    drop(arrival.responder.tokens);
    arrival.responder.end.send(finished(0)).unwrap();
    assert_eq!(status(&read_to_close(&mut stream).await), 200);
    let response = rig
        .round_trip(&post("/v1/completions", "", COMPLETION), &[97], finished(1))
        .await;
    assert_eq!(status(&response), 200);
}

#[tokio::test]
async fn requests_in_flight_finish_while_closing() {
    let mut rig = rig(limits()).await;
    let mut stream = send_raw(
        rig.address,
        post("/v1/completions", "", STREAMED_COMPLETION).as_bytes(),
    )
    .await;
    let arrival = rig.arrival().await;
    arrival.responder.tokens.send(97).await.unwrap();
    // This connection is open, but sends its request only after the server starts closing.
    let mut late_request = send_raw(rig.address, b"").await;
    rig.closing.send_replace(true);
    late_request
        .write_all(post("/v1/completions", "", COMPLETION).as_bytes())
        .await
        .unwrap();
    let late_arrival = rig.arrival().await;
    drop(late_arrival.responder.tokens);
    late_arrival.responder.end.send(finished(0)).unwrap();
    assert_eq!(status(&read_to_close(&mut late_request).await), 200);
    arrival.responder.tokens.send(98).await.unwrap();
    drop(arrival.responder.tokens);
    arrival.responder.end.send(finished(2)).unwrap();
    assert!(read_to_close(&mut stream).await.contains("data: [DONE]"));
    drop((stream, late_request));
    rig.server.drained().await;
}

#[tokio::test]
async fn the_readiness_check_follows_the_core() {
    let rig = rig(limits()).await;
    let request = b"GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert_eq!(
        status(&read_to_close(&mut send_raw(rig.address, request).await).await),
        200
    );
    rig.ready.send_replace(false);
    assert_eq!(
        status(&read_to_close(&mut send_raw(rig.address, request).await).await),
        503
    );
}
