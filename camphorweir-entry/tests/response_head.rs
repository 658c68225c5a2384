//! Heads of responses, from sockets that send what the HTTP library would not.

use {
    camphorweir_entry::{
        clock::Clock,
        core_task::Payload,
        fetch::HttpClient,
        forward::{self, Pool},
        front::client::Client,
        response_head::{MAX_INTERIM_RESPONSES, status_is_final},
    },
    camphorweir_platform::{control::control_report_call, store::Error},
    camphorweir_policy::{action::Forward, event::Exchange},
    hyper::{HeaderMap, Method},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::{Instant, sleep},
    },
};

/// Time limit of each exchange.
const LIMIT: Duration = Duration::from_secs(6);
/// Time within which an exchange ends that need not wait for its limit.
const ENDED: Duration = Duration::from_secs(4);
/// Pause between interim responses without end.
const PAUSE: Duration = Duration::from_millis(40);
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// A server that sends `bytes` for each request, and then interim responses without end or nothing.
async fn server(bytes: String, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                let mut request = Vec::new();
                while client.read_buf(&mut request).await.is_ok_and(|n| n > 0) {
                    if request.windows(4).any(|end| end == b"\r\n\r\n") {
                        let _ = client.write_all(bytes.as_bytes()).await;
                        request.clear();
                        while is_endless && client.write_all(INTERIM.as_bytes()).await.is_ok() {
                            sleep(PAUSE).await;
                        }
                    }
                }
            });
        }
    });
    address
}

fn whole(status_line: &str) -> String {
    format!("{status_line}\r\ncamphorweir-ran: no\r\ncontent-length: 5\r\n\r\nwrong")
}

/// How the exchanges with the store and peers, with a target and with the log service end: whether each
/// has a response.
async fn exchanges(bytes: &str, is_endless: bool) -> [bool; 3] {
    let address = server(bytes.to_owned(), is_endless).await;
    let begun = Instant::now();
    let called = Client::new(address)
        .call(control_report_call(), LIMIT)
        .await;
    assert!(
        matches!(called, Ok(_) | Err(Error::NoResponse { .. })),
        "{bytes}: {called:?}"
    );
    let forward = Forward {
        request: 7,
        attempt: 0,
        target: "ledger-1".to_owned(),
        address: address.to_string(),
        fence: None,
        send_by: LIMIT,
        until: LIMIT,
    };
    let payload = Payload {
        method: Method::POST,
        path: "/seal".to_owned(),
        headers: HeaderMap::new(),
        body: "body".into(),
    };
    let (clock, payload) = (Clock::start(), Arc::new(payload));
    let forwarded = forward::run(Pool::default(), clock, forward, payload, 1000).await;
    let is_answered = matches!(forwarded, Exchange::Answered(_));
    assert!(
        is_answered || forwarded == Exchange::Broken,
        "{bytes}: {forwarded:?}"
    );
    let url = format!("http://{address}/streams/a");
    let fetched = HttpClient::new("a1").get(&url, LIMIT).await;
    assert!(begun.elapsed() < ENDED, "{bytes}: {:?}", begun.elapsed());
    [called.is_ok(), is_answered, fetched.is_ok()]
}

#[test]
fn final_statuses_are_those_from_200_to_599() {
    let cases = [
        (0, false),
        (99, false),
        (100, false),
        (101, false),
        (103, false),
        (199, false),
        (200, true),
        (204, true),
        (304, true),
        (421, true),
        (500, true),
        (599, true),
        (600, false),
        (700, false),
        (999, false),
        (1000, false),
        (u16::MAX, false),
    ];
    for (status, is_final) in cases {
        assert_eq!(status_is_final(status), is_final, "{status}");
    }
}

/// Guards against a status that is none, which counts as an answer of the store, a peer or a target.
#[tokio::test]
async fn a_response_without_a_final_status_is_none() {
    let lines = [
        "HTTP/1.1 000 Zero",
        "HTTP/1.1 0 Zero",
        "HTTP/1.1 00 Zero",
        "HTTP/1.1 099 Low",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 600 High",
        "HTTP/1.1 700 High",
        "HTTP/1.1 999 High",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
        "plain text",
    ];
    for line in lines {
        assert_eq!(exchanges(&whole(line), false).await, [false; 3], "{line}");
    }
}

/// Guards against interim responses without end, which hold a request until its time limit.
#[tokio::test]
async fn a_response_comes_after_few_interim_ones_or_is_none() {
    let good = whole("HTTP/1.1 200 OK");
    for (count, is_response) in [
        (0, true),
        (1, true),
        (MAX_INTERIM_RESPONSES, true),
        (MAX_INTERIM_RESPONSES + 1, false),
    ] {
        let bytes = format!("{}{good}", INTERIM.repeat(count));
        assert_eq!(exchanges(&bytes, false).await, [is_response; 3], "{count}");
    }
    assert_eq!(exchanges("", true).await, [false; 3]);
}
