//! A server for callers; the test takes the place of the core.
#![allow(dead_code, reason = "no test file uses every helper")]

use {
    camphorweir_entry::{
        call::State,
        core_task::{self, Arrival, Input},
        server::Server,
        settings::Limits,
    },
    camphorweir_policy::{call::End, event::Event},
    camphorweir_wire::ids::{RequestId, Token},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
    },
};

/// Limits with short timeouts, so that tests of slow callers end soon.
pub(crate) fn limits() -> Limits {
    Limits {
        head: 8 << 10,
        body: 4 << 10,
        head_time: Duration::from_millis(200),
        body_time: Duration::from_millis(200),
        idle: Duration::from_secs(5),
        ..Limits::default()
    }
}

/// A running server, and the channels through which the test controls it.
pub(crate) struct Rig {
    pub(crate) address: SocketAddr,
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) closing: watch::Sender<bool>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) server: Server,
    /// Shared as by the supervisor of a process, which keeps it until the end.
    pub(crate) listener: Arc<TcpListener>,
}

/// Starts a server on a free port.
pub(crate) async fn rig(limits: Limits) -> Rig {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let address = listener.local_addr().unwrap();
    let (core_handle, inputs) = core_task::channel();
    let (closing, closing_receiver) = watch::channel(false);
    let (ready, ready_receiver) = watch::channel(true);
    let server = Server::new(
        State::new(core_handle, limits, ready_receiver),
        closing_receiver,
    );
    tokio::spawn(server.clone().accept(listener.clone()));
    Rig {
        address,
        inputs,
        closing,
        ready,
        server,
        listener,
    }
}

impl Rig {
    /// Receives the next request that the server reports to the core.
    pub(crate) async fn arrival(&mut self) -> Arrival {
        match self.inputs.recv().await {
            Some(Input::Arrival(arrival)) => *arrival,
            other => panic!("an arrival was expected: {other:?}"),
        }
    }

    /// Receives the next report of a disconnected caller, and returns the request's id.
    pub(crate) async fn disconnect(&mut self) -> RequestId {
        match self.inputs.recv().await {
            Some(Input::Event(Event::CallerGone(request))) => request,
            other => panic!("a hangup was expected: {other:?}"),
        }
    }

    /// Sends a request, answers it with `tokens` and `end`, and returns the response.
    pub(crate) async fn round_trip(&mut self, request: &str, tokens: &[Token], end: End) -> String {
        let mut stream = send_raw(self.address, request.as_bytes()).await;
        let arrival = self.arrival().await;
        for token in tokens {
            arrival.responder.tokens.send(*token).await.unwrap();
        }
        drop(arrival.responder.tokens);
        arrival.responder.end.send(end).unwrap();
        read_to_close(&mut stream).await
    }
}

/// Opens a connection and sends `bytes` on it.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    stream
}

/// Reads until the server closes the connection.
pub(crate) async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Builds a POST request with `connection: close`.
pub(crate) fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: \
         {length}\r\n\r\n{body}"
    )
}

/// Returns the status code of a response, or 0 if there is none.
pub(crate) fn status(response: &str) -> u16 {
    response
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

/// Returns the value of a response header.
pub(crate) fn header<'a>(response: &'a str, name: &str) -> Option<&'a str> {
    let head = response.split("\r\n\r\n").next()?;
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .filter(|(field, _)| *field == name)
        .map(|(_, value)| value)
        .next()
}

/// Returns the body of a response.
pub(crate) fn body(response: &str) -> &str {
    response.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}
