//! Connections that the server closes, and requests that are sent in that moment.

mod common;

use {
    bytes::Bytes,
    camphorweir_entry::{listener::listener_close, settings::Limits},
    camphorweir_policy::call::{End, Finished},
    camphorweir_wire::{code::Code, outcome::Refusal},
    common::{Rig, header, limits, post, rig, send_raw, status},
    http_body_util::Full,
    hyper::{Request, client::conn::http2},
    hyper_util::rt::{TokioExecutor, TokioIo},
    std::{
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream as Socket},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Connections of one test.
const CONNECTIONS: usize = 40;
const REQUEST: &str = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
const ANSWER_END: &str = "\r\n\r\nok\n";
/// Longer than a new connection is kept at a shutdown.
const KEPT: Duration = Duration::from_millis(1_100);
/// Guards against a hang; no promise is measured by it.
const GUARD: Duration = Duration::from_secs(10);

/// Limits by which idle connections of a test outlive its pauses.
fn long_limits() -> Limits {
    Limits {
        head_time: GUARD,
        ..limits()
    }
}

/// Reads until the answer ends with `end`, or the connection does.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let read = async {
        let mut buffer = [0; 4096];
        while !text.ends_with(end) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(count) => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
            }
        }
    };
    timeout(GUARD, read).await.unwrap();
    text
}

/// Connections that have each served a request.
async fn used_connections(address: SocketAddr) -> Vec<Socket> {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = send_raw(address, REQUEST.as_bytes()).await;
        assert_eq!(status(&read_until(&mut stream, ANSWER_END).await), 200);
        connections.push(stream.into_std().unwrap());
    }
    connections
}

/// Sends `bytes` on each connection that is open; the server doesn't run meanwhile.
fn send_on_open(connections: Vec<Socket>, bytes: &str) -> Vec<Socket> {
    let is_open = |socket: &Socket| match socket.peek(&mut [0]) {
        Ok(_) => false,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    };
    let mut open: Vec<_> = connections.into_iter().filter(is_open).collect();
    for socket in &mut open {
        socket.write_all(bytes.as_bytes()).unwrap();
    }
    open
}

/// Number of connections on which no whole answer comes.
async fn lost(connections: Vec<Socket>) -> usize {
    let mut lost = 0;
    for socket in connections {
        let mut stream = TcpStream::from_std(socket).unwrap();
        lost += usize::from(status(&read_until(&mut stream, ANSWER_END).await) != 200);
    }
    lost
}

/// Closes as the process does, not ready before.
fn close(rig: &Rig) {
    rig.ready.send_replace(false);
    rig.closing.send_replace(true);
}

/// Guards against idle connections that are closed with a request on them.
#[tokio::test]
async fn a_request_that_has_arrived_at_the_shutdown_is_answered() {
    let rig = rig(long_limits()).await;
    let mut connections = used_connections(rig.address).await;
    for _ in 0..CONNECTIONS {
        connections.push(send_raw(rig.address, b"").await.into_std().unwrap());
    }
    sleep(KEPT).await;
    let sent = send_on_open(connections, REQUEST);
    close(&rig);
    assert_eq!((sent.len(), lost(sent).await), (2 * CONNECTIONS, 0));
    timeout(GUARD, rig.server.drained()).await.unwrap();
}

/// Guards against connections that are closed although the head of a request has begun.
#[tokio::test]
async fn a_request_whose_head_has_begun_at_the_shutdown_is_answered() {
    let rig = rig(long_limits()).await;
    let connections = used_connections(rig.address).await;
    sleep(KEPT).await;
    let (begin, rest) = REQUEST.split_at(9);
    let mut begun = send_on_open(connections, begin);
    sleep(Duration::from_millis(50)).await;
    close(&rig);
    sleep(Duration::from_millis(50)).await;
    for socket in &mut begun {
        // It fails where the connection is closed.
        let _ = socket.write_all(rest.as_bytes());
    }
    assert_eq!((begun.len(), lost(begun).await), (CONNECTIONS, 0));
}

/// Guards against the idle limit closing connections with a request on them.
#[tokio::test]
async fn a_request_that_has_arrived_at_the_idle_limit_is_answered() {
    let idle = Duration::from_millis(400);
    let rig = rig(Limits {
        idle,
        ..long_limits()
    })
    .await;
    let connections = used_connections(rig.address).await;
    let connections = send_on_open(connections, "");
    sleep(idle / 2).await;
    // The server doesn't run until the limit is over.
    thread::sleep(idle);
    let sent = send_on_open(connections, REQUEST);
    assert_eq!((sent.len(), lost(sent).await), (CONNECTIONS, 0));
}

/// Guards against the time that a head may take limiting how long a connection is idle.
#[tokio::test]
async fn a_connection_that_was_idle_for_less_than_the_limit_is_open() {
    let rig = rig(limits()).await;
    let connections = used_connections(rig.address).await;
    sleep(limits().head_time * 3).await;
    let sent = send_on_open(connections, REQUEST);
    assert_eq!((sent.len(), lost(sent).await), (CONNECTIONS, 0));
}

/// Guards against connections that are closed after an answer whose caller wasn't told of that.
#[tokio::test]
async fn a_caller_that_was_not_told_of_the_close_is_answered_once_more() {
    let mut rig = rig(limits()).await;
    let body = r#"{"model":"tide","prompt":"ab","stream":true}"#;
    let request = post("/v1/completions", "", body).replace("connection: close\r\n", "");
    let mut caller = send_raw(rig.address, request.as_bytes()).await;
    let arrival = rig.arrival().await;
    arrival.responder.tokens.send(97).await.unwrap();
    let head = read_until(&mut caller, "}\n\n\r\n").await;
    assert_eq!((status(&head), header(&head, "connection")), (200, None));
    sleep(KEPT).await;
    close(&rig);
    sleep(Duration::from_millis(50)).await;
    drop(arrival.responder.tokens);
    let end = End::Finished(Finished {
        prompt: 2,
        tokens: 1,
        stopped: true,
    });
    arrival.responder.end.send(end).unwrap();
    let rest = read_until(&mut caller, "0\r\n\r\n").await;
    assert!(rest.contains("[DONE]"), "{rest}");
    sleep(KEPT / 4).await;
    // It fails where the connection is closed.
    let _ = caller.write_all(REQUEST.as_bytes()).await;
    let answer = read_until(&mut caller, ANSWER_END).await;
    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "connection"), Some("close"));
    timeout(GUARD, rig.server.drained()).await.unwrap();
}

/// Guards against streams over HTTP/2 that end without an answer as their connection is told to end.
#[tokio::test]
async fn streams_that_cross_the_close_are_answered() {
    let mut rig = rig(limits()).await;
    let stream = TcpStream::connect(rig.address).await.unwrap();
    let builder = http2::Builder::new(TokioExecutor::new());
    let (caller, connection) = builder.handshake(TokioIo::new(stream)).await.unwrap();
    let connection = tokio::spawn(connection);
    let send = || {
        let request = Request::post("http://x/services/a/b");
        let request = request.body(Full::<Bytes>::default()).unwrap();
        tokio::spawn(caller.clone().send_request(request))
    };
    let before = send();
    let mut arrivals = vec![rig.arrival().await];
    sleep(KEPT).await;
    let crossing = [send(), send()];
    close(&rig);
    for _ in &crossing {
        arrivals.push(rig.arrival().await);
    }
    for arrival in arrivals {
        let refusal = Refusal::not_run(Code::QueueFull, "");
        arrival.responder.end.send(End::Refused(refusal)).unwrap();
    }
    for answer in [before].into_iter().chain(crossing) {
        assert_eq!(answer.await.unwrap().unwrap().status(), 503);
    }
    timeout(GUARD, rig.server.drained()).await.unwrap();
    connection.await.unwrap().unwrap();
}

/// Guards against callers that connect during the shutdown and wait for a process that never accepts.
#[tokio::test]
async fn a_connection_after_the_close_is_refused_and_one_before_it_is_served() {
    let rig = rig(limits()).await;
    let waiting: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let mut socket = Socket::connect(rig.address).unwrap();
            socket.write_all(REQUEST.as_bytes()).unwrap();
            socket.set_nonblocking(true).unwrap();
            socket
        })
        .collect();
    close(&rig);
    assert_eq!(lost(waiting).await, 0);
    let begun = Instant::now();
    while Socket::connect(rig.address).is_ok() {
        assert!(begun.elapsed() < GUARD, "still listening");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a listener whose close resets the connections in its queue.
#[tokio::test]
async fn a_listener_that_closes_accepts_what_waits_in_its_queue() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting: Vec<_> = (0..CONNECTIONS)
        .map(|_| Socket::connect(address).unwrap())
        .collect();
    let accepted = listener_close(&listener);
    assert_eq!(accepted.len(), CONNECTIONS);
    assert!(Socket::connect(address).is_err());
    drop(accepted);
    for socket in &mut waiting {
        assert_eq!(socket.read(&mut [0]).unwrap(), 0);
    }
}
