//! Exchanges with plain services: `Unsent` only if no byte was written, otherwise `Broken`.

use {
    camphorweir_entry::{
        clock::Clock,
        core_task::Payload,
        forward::{self, Pool},
    },
    camphorweir_policy::{
        action::Forward,
        event::{Answered, Exchange},
    },
    camphorweir_wire::outcome::Answer,
    hyper::{HeaderMap, Method, header::HeaderValue},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// A deadline that no test reaches.
const FAR_DEADLINE: Duration = Duration::from_secs(60);

const RESPONSE: &str = "HTTP/1.1 503 Busy\r\ncontent-type: text/z\r\ncamphorweir-ran: no\r\n\
                      camphorweir-leaving: true\r\ncontent-length: 4\r\n\r\nbusy";

/// What a target does after it has read a request.
#[derive(Clone, Copy)]
enum Behavior {
    Answer,
    Close,
    Truncate,
    Silent,
}

/// A running target, with counts of the connections and requests that it has received.
struct Target {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

async fn target(behavior: Behavior) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connections, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (connections.clone(), requests.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counts.0.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream, behavior, counts.1.clone()));
        }
    });
    Target {
        address,
        connections,
        requests,
    }
}

async fn serve(mut stream: TcpStream, behavior: Behavior, requests: Arc<AtomicUsize>) {
    let mut received = Vec::new();
    while stream
        .read_buf(&mut received)
        .await
        .is_ok_and(|count| count > 0)
    {
        if !received.ends_with(b"\r\n\r\nbody") {
            continue;
        }
        requests.fetch_add(1, Ordering::SeqCst);
        let text = String::from_utf8(std::mem::take(&mut received)).unwrap();
        assert!(text.starts_with("POST /seal?x=1 HTTP/1.1\r\n"), "{text}");
        assert!(text.contains("idempotency-key: k\r\n"), "{text}");
        match behavior {
            Behavior::Answer => stream.write_all(RESPONSE.as_bytes()).await.unwrap(),
            Behavior::Close => return,
            Behavior::Truncate => {
                return stream.write_all(&RESPONSE.as_bytes()[..60]).await.unwrap();
            }
            Behavior::Silent => {}
        }
    }
}

/// A request without a fence, with deadlines that no test reaches.
fn forward_to(address: SocketAddr) -> Forward {
    Forward {
        request: 7,
        attempt: 0,
        target: "ledger-1".to_owned(),
        address: address.to_string(),
        fence: None,
        send_by: FAR_DEADLINE,
        until: FAR_DEADLINE,
    }
}

async fn run(pool: &Pool, request: Forward) -> Exchange {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static("k"));
    let payload = Payload {
        method: Method::POST,
        path: "/seal?x=1".to_owned(),
        headers,
        body: "body".into(),
    };
    forward::run(
        pool.clone(),
        Clock::start(),
        request,
        Arc::new(payload),
        1000,
    )
    .await
}

#[tokio::test]
async fn a_response_is_returned_with_the_flags_of_its_headers() {
    let target = target(Behavior::Answer).await;
    let Exchange::Answered(Answered {
        answer,
        not_run,
        leaving,
    }) = run(&Pool::default(), forward_to(target.address)).await
    else {
        panic!("an answer was expected");
    };
    assert!(not_run && leaving);
    assert_eq!(
        (answer.status, answer.content_type.as_str()),
        (503, "text/z")
    );
    assert_eq!(answer.body, b"busy");
}

#[tokio::test]
async fn a_refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(
        run(&Pool::default(), forward_to(address)).await,
        Exchange::Unsent
    );
}

#[tokio::test]
async fn nothing_is_written_after_the_send_deadline() {
    let target = target(Behavior::Answer).await;
    let expired = Forward {
        send_by: Duration::ZERO,
        ..forward_to(target.address)
    };
    assert_eq!(run(&Pool::default(), expired).await, Exchange::Unsent);
    assert_eq!(target.requests.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn nothing_is_written_after_the_send_deadline_on_a_pooled_connection() {
    let target = target(Behavior::Answer).await;
    let pool = Pool::default();
    assert!(matches!(
        run(&pool, forward_to(target.address)).await,
        Exchange::Answered(_)
    ));
    let expired = Forward {
        send_by: Duration::ZERO,
        ..forward_to(target.address)
    };
    assert_eq!(run(&pool, expired).await, Exchange::Unsent);
    assert_eq!(target.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_request_that_was_read_is_reported_broken_and_not_resent() {
    for behavior in [Behavior::Close, Behavior::Truncate] {
        let target = target(behavior).await;
        assert_eq!(
            run(&Pool::default(), forward_to(target.address)).await,
            Exchange::Broken
        );
        assert_eq!(target.requests.load(Ordering::SeqCst), 1);
        assert_eq!(target.connections.load(Ordering::SeqCst), 1);
    }
}

#[tokio::test]
async fn a_silent_target_is_reported_broken_at_the_deadline() {
    let target = target(Behavior::Silent).await;
    let short_deadline = Forward {
        until: Duration::from_millis(300),
        ..forward_to(target.address)
    };
    assert_eq!(
        run(&Pool::default(), short_deadline).await,
        Exchange::Broken
    );
}

#[tokio::test]
async fn a_response_over_the_limit_is_reported_with_its_head() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let response = format!(
            "HTTP/1.1 201 Created\r\ncontent-length: 2000\r\n\r\n{}",
            "x".repeat(2000)
        );
        stream.write_all(response.as_bytes()).await.unwrap();
        // Keeps the connection open until the entry closes it.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    });
    let head_only = Answered {
        answer: Answer {
            status: 201,
            content_type: String::new(),
            body: Vec::new(),
        },
        not_run: false,
        leaving: false,
    };
    assert_eq!(
        run(&Pool::default(), forward_to(address)).await,
        Exchange::TooLarge(head_only)
    );
}

#[tokio::test]
async fn connections_are_reused_but_not_for_requests_with_a_fence() {
    let target = target(Behavior::Answer).await;
    let pool = Pool::default();
    for _ in 0..3 {
        assert!(matches!(
            run(&pool, forward_to(target.address)).await,
            Exchange::Answered(_)
        ));
    }
    assert_eq!(target.connections.load(Ordering::SeqCst), 1);
    let fenced = Forward {
        fence: Some(9),
        ..forward_to(target.address)
    };
    assert!(matches!(run(&pool, fenced).await, Exchange::Answered(_)));
    assert_eq!(target.connections.load(Ordering::SeqCst), 2);
}
