//! Exchanges with plain services: `Unsent` only where no byte was written, `Broken` otherwise.

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

/// Long enough never to pass in a test.
const AMPLE: Duration = Duration::from_secs(60);

const ANSWER: &str = "HTTP/1.1 503 Busy\r\ncontent-type: text/z\r\ncamphorweir-ran: no\r\n\
                      camphorweir-leaving: true\r\ncontent-length: 4\r\n\r\nbusy";

/// What a target does with a request that it has read.
#[derive(Clone, Copy)]
enum Manner {
    Answer,
    Close,
    Half,
    Silent,
}

struct Target {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

async fn target(manner: Manner) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (connections, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (connections.clone(), requests.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counts.0.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream, manner, counts.1.clone()));
        }
    });
    Target {
        address,
        connections,
        requests,
    }
}

async fn serve(mut stream: TcpStream, manner: Manner, requests: Arc<AtomicUsize>) {
    let mut seen = Vec::new();
    while stream
        .read_buf(&mut seen)
        .await
        .is_ok_and(|count| count > 0)
    {
        if !seen.ends_with(b"\r\n\r\nbody") {
            continue;
        }
        requests.fetch_add(1, Ordering::SeqCst);
        let text = String::from_utf8(std::mem::take(&mut seen)).unwrap();
        assert!(text.starts_with("POST /seal?x=1 HTTP/1.1\r\n"), "{text}");
        assert!(text.contains("idempotency-key: k\r\n"), "{text}");
        match manner {
            Manner::Answer => stream.write_all(ANSWER.as_bytes()).await.unwrap(),
            Manner::Close => return,
            Manner::Half => return stream.write_all(&ANSWER.as_bytes()[..60]).await.unwrap(),
            Manner::Silent => {}
        }
    }
}

fn order(address: SocketAddr) -> Forward {
    Forward {
        request: 7,
        attempt: 0,
        target: "ledger-1".to_owned(),
        address: address.to_string(),
        fence: None,
        send_by: AMPLE,
        until: AMPLE,
    }
}

async fn run(pool: &Pool, order: Forward) -> Exchange {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static("k"));
    let payload = Payload {
        method: Method::POST,
        path: "/seal?x=1".to_owned(),
        headers,
        body: "body".into(),
    };
    forward::run(pool.clone(), Clock::start(), order, Arc::new(payload), 1000).await
}

#[tokio::test]
async fn an_answer_comes_back_with_what_its_headers_say() {
    let target = target(Manner::Answer).await;
    let Exchange::Answered(Answered {
        answer,
        not_run,
        leaving,
    }) = run(&Pool::default(), order(target.address)).await
    else {
        panic!("an answer was given");
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
        run(&Pool::default(), order(address)).await,
        Exchange::Unsent
    );
}

#[tokio::test]
async fn nothing_is_written_after_the_time_to_send() {
    let target = target(Manner::Answer).await;
    let late = Forward {
        send_by: Duration::ZERO,
        ..order(target.address)
    };
    assert_eq!(run(&Pool::default(), late).await, Exchange::Unsent);
    assert_eq!(target.requests.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn nothing_is_written_late_on_a_connection_in_the_pool_either() {
    let target = target(Manner::Answer).await;
    let pool = Pool::default();
    assert!(matches!(
        run(&pool, order(target.address)).await,
        Exchange::Answered(_)
    ));
    let late = Forward {
        send_by: Duration::ZERO,
        ..order(target.address)
    };
    assert_eq!(run(&pool, late).await, Exchange::Unsent);
    assert_eq!(target.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_request_that_was_read_is_broken_and_not_sent_again() {
    for manner in [Manner::Close, Manner::Half] {
        let target = target(manner).await;
        assert_eq!(
            run(&Pool::default(), order(target.address)).await,
            Exchange::Broken
        );
        assert_eq!(target.requests.load(Ordering::SeqCst), 1);
        assert_eq!(target.connections.load(Ordering::SeqCst), 1);
    }
}

#[tokio::test]
async fn a_silent_target_is_broken_at_the_end_of_its_time() {
    let target = target(Manner::Silent).await;
    let brief = Forward {
        until: Duration::from_millis(300),
        ..order(target.address)
    };
    assert_eq!(run(&Pool::default(), brief).await, Exchange::Broken);
}

#[tokio::test]
async fn an_answer_over_the_bound_is_told_by_its_head() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let long = format!(
            "HTTP/1.1 201 Created\r\ncontent-length: 2000\r\n\r\n{}",
            "x".repeat(2000)
        );
        stream.write_all(long.as_bytes()).await.unwrap();
        // Held open until the entry drops it.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    });
    let head = Answered {
        answer: Answer {
            status: 201,
            content_type: String::new(),
            body: Vec::new(),
        },
        not_run: false,
        leaving: false,
    };
    assert_eq!(
        run(&Pool::default(), order(address)).await,
        Exchange::TooLarge(head)
    );
}

#[tokio::test]
async fn connections_are_used_again_but_not_for_claimed_calls() {
    let target = target(Manner::Answer).await;
    let pool = Pool::default();
    for _ in 0..3 {
        assert!(matches!(
            run(&pool, order(target.address)).await,
            Exchange::Answered(_)
        ));
    }
    assert_eq!(target.connections.load(Ordering::SeqCst), 1);
    let claimed = Forward {
        fence: Some(9),
        ..order(target.address)
    };
    assert!(matches!(run(&pool, claimed).await, Exchange::Answered(_)));
    assert_eq!(target.connections.load(Ordering::SeqCst), 2);
}
