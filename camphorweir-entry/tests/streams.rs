//! Appends to and tails of log streams, against a scripted log service that can fail.

use {
    bytes::Bytes,
    camphorweir_entry::{
        core_task::{self, Input},
        fetch::HttpClient,
        streams::LogClient,
    },
    camphorweir_policy::{action::Append, event::Event},
    camphorweir_wire::{
        codec,
        log::{self as wire, Appended, Page, Stored},
    },
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_bytes::ByteBuf,
    std::{
        collections::VecDeque,
        convert::Infallible,
        sync::{Arc, Mutex},
    },
    tokio::net::TcpListener,
};

/// The URIs requested so far, and the answers to come; without an answer a request fails with 503.
#[derive(Default)]
struct Script {
    requested: Vec<String>,
    answers: VecDeque<Vec<u8>>,
}

type Shared = Arc<Mutex<Script>>;

async fn start_service(answers: Vec<Vec<u8>>) -> (LogClient, Shared) {
    let script: Shared = Arc::default();
    script.lock().unwrap().answers = answers.into();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}/", listener.local_addr().unwrap());
    let shared = script.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let shared = shared.clone();
            let handler = service_fn(move |request| respond(shared.clone(), request));
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), handler));
        }
    });
    (LogClient::new(HttpClient::new("entry-a1"), &base), script)
}

async fn respond(
    script: Shared,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    assert_eq!(head.headers["camphorweir-from"], "entry-a1");
    let body = body.collect().await.unwrap().to_bytes();
    if head.method == Method::POST {
        let append: wire::Append = codec::decode(&body).unwrap();
        assert_eq!(
            append.records,
            [ByteBuf::from(b"one"), ByteBuf::from(b"two")]
        );
    }
    let mut script = script.lock().unwrap();
    script.requested.push(head.uri.to_string());
    let scripted = script.answers.pop_front();
    let mut response = Response::new(Full::new(scripted.clone().unwrap_or_default().into()));
    if scripted.is_none() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Ok(response)
}

fn page(oldest: u64, end: u64, offsets: &[u64]) -> Page {
    let stored = |offset: &u64| Stored {
        offset: *offset,
        time_ms: 1,
        body: ByteBuf::from(b"r"),
    };
    Page {
        oldest,
        end,
        records: offsets.iter().map(stored).collect(),
    }
}

fn append() -> Append {
    let records = vec![b"one".to_vec(), b"two".to_vec()];
    Append {
        id: 4,
        stream: "claims-01".to_owned(),
        records,
    }
}

#[tokio::test]
async fn an_append_returns_its_offset() {
    let (client, script) = start_service(vec![codec::encode(&Appended { first: 9 })]).await;
    assert_eq!(client.append(append()).await, Event::Appended(4, 9));
    assert_eq!(script.lock().unwrap().requested, ["/streams/claims-01"]);
}

#[tokio::test]
async fn an_append_without_a_valid_answer_fails() {
    let (client, script) = start_service(vec![b"no answer".to_vec()]).await;
    assert_eq!(client.append(append()).await, Event::AppendFailed(4));
    assert_eq!(client.append(append()).await, Event::AppendFailed(4));
    // Neither append is retried, because the log may have stored it.
    assert_eq!(script.lock().unwrap().requested.len(), 2);
}

#[tokio::test]
async fn a_tail_continues_after_each_page_and_after_failures() {
    let pages = [
        page(0, 7, &[5, 6]),
        page(20, 20, &[]),
        page(20, 22, &[20, 21]),
    ];
    let (client, script) = start_service(pages.iter().map(codec::encode).collect()).await;
    let (core_handle, mut inputs) = core_task::channel();
    tokio::spawn(client.tail(core_handle, 3, "configuration".to_owned(), 5));
    let mut events = Vec::new();
    for _ in 0..5 {
        match inputs.recv().await.unwrap() {
            Input::Tagged(3, event) => events.push(event),
            other => panic!("an event of the tail was expected: {other:?}"),
        }
    }
    let name = || "configuration".to_owned();
    let mut expected: Vec<Event> = pages
        .into_iter()
        .map(|page| Event::StreamPage(name(), page))
        .collect();
    expected.extend([Event::TailFailed(name()), Event::TailFailed(name())]);
    assert_eq!(events, expected);
    let requested = script.lock().unwrap().requested.clone();
    let offsets = ["from=5&", "from=7&", "from=20&", "from=22&", "from=22&"];
    assert_eq!(requested.len().min(5), 5);
    for (uri, offset) in requested.iter().zip(offsets) {
        assert!(uri.contains(offset), "{uri} {offset}");
    }
    assert!(requested[0].ends_with("wait_ms=0"), "{}", requested[0]);
}
