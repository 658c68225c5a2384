//! A callers' listener whose core is the test.
#![allow(dead_code, reason = "each test file uses a part")]

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

/// Tight limits, so that the tests of slow callers are over soon.
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

pub(crate) struct Rig {
    pub(crate) address: SocketAddr,
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) closing: watch::Sender<bool>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) server: Server,
}

pub(crate) async fn rig(limits: Limits) -> Rig {
    let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let address = listener.local_addr().unwrap();
    let (port, inputs) = core_task::channel();
    let (closing, closed) = watch::channel(false);
    let (ready, checks) = watch::channel(true);
    let server = Server::new(State::new(port, limits, checks), closed);
    tokio::spawn(server.clone().accept(listener));
    Rig {
        address,
        inputs,
        closing,
        ready,
        server,
    }
}

impl Rig {
    /// The next request that the core is told of.
    pub(crate) async fn arrival(&mut self) -> Arrival {
        match self.inputs.recv().await {
            Some(Input::Arrival(arrival)) => *arrival,
            other => panic!("an arrival was expected: {other:?}"),
        }
    }

    /// The next caller that the core is told is gone.
    pub(crate) async fn hangup(&mut self) -> RequestId {
        match self.inputs.recv().await {
            Some(Input::Event(Event::CallerGone(request))) => request,
            other => panic!("a hangup was expected: {other:?}"),
        }
    }

    /// Sends a request and answers it with these tokens and this end.
    pub(crate) async fn ask(&mut self, request: &str, tokens: &[Token], end: End) -> String {
        let mut stream = open(self.address, request.as_bytes()).await;
        let arrival = self.arrival().await;
        for token in tokens {
            arrival.responder.tokens.send(*token).await.unwrap();
        }
        drop(arrival.responder.tokens);
        arrival.responder.end.send(end).unwrap();
        rest(&mut stream).await
    }
}

/// Sends these bytes on a new connection.
pub(crate) async fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may have refused before it read everything.
    let _ = stream.write_all(bytes).await;
    stream
}

/// Everything until the other end closes.
pub(crate) async fn rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    String::from_utf8(bytes).unwrap()
}

/// A whole request that asks for the connection to be closed after the answer.
pub(crate) fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: \
         {length}\r\n\r\n{body}"
    )
}

/// The status line's number.
pub(crate) fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0)
}

/// The value of a header.
pub(crate) fn header<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let head = answer.split("\r\n\r\n").next()?;
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .filter(|(field, _)| *field == name)
        .map(|(_, value)| value)
        .next()
}

/// The body of an answer with a length.
pub(crate) fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}
