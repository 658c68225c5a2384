//! Clients of the stand-ins.
#![allow(dead_code)]

use {
    bytes::{Buf, BufMut, Bytes, BytesMut},
    camphorweir_wire::{
        codec,
        engine::{Command, Done, FORMAT, Frame, Layers, Open, PATH, Reply, Step},
        ids::{Position, RequestId, Token},
        log::{Append, Appended, Page},
        prefix,
    },
    http_body_util::{
        BodyExt, Full,
        channel::{Channel, Sender},
    },
    hyper::{Request, Response, body::Incoming, client::conn::http2},
    hyper_util::{
        client::legacy::Client,
        rt::{TokioExecutor, TokioIo},
    },
    serde_bytes::ByteBuf,
    std::{convert::Infallible, net::SocketAddr},
    tokio::net::TcpStream,
};

/// An answer with its whole body.
pub(crate) type Answer = Response<Bytes>;

/// Sends one request on a connection of its own; `None` when it broke.
pub(crate) async fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}");
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body));
    let answer = client.request(request.body(body).unwrap()).await.ok()?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response::from_parts(head, body))
}

/// Appends one record.
pub(crate) async fn append(address: SocketAddr, stream: &str, record: &[u8]) -> Option<u64> {
    let records = vec![ByteBuf::from(record)];
    let body = codec::encode(&Append { records });
    let answer = send("POST", address, &format!("/streams/{stream}"), &[], &body).await?;
    let appended: Appended = codec::decode(answer.body()).ok()?;
    Some(appended.first)
}

/// Reads a page.
pub(crate) async fn page(address: SocketAddr, query: &str) -> Page {
    let answer = send("GET", address, &format!("/streams/{query}"), &[], b"").await;
    codec::decode(answer.unwrap().body()).unwrap()
}

/// A connection to an engine.
pub(crate) struct Link {
    orders: Sender<Bytes, Infallible>,
    replies: Incoming,
    bytes: BytesMut,
    waiting: Vec<Reply>,
}

impl Link {
    /// Connects.
    pub(crate) async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let io = TokioIo::new(stream);
        let (mut send, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
        tokio::spawn(connection);
        let (orders, body) = Channel::new(8);
        let request = Request::post(format!("http://{address}{PATH}"));
        let answer = send.send_request(request.body(body).unwrap()).await;
        Self {
            orders,
            replies: answer.unwrap().into_body(),
            bytes: BytesMut::new(),
            waiting: Vec::new(),
        }
    }

    /// Sends orders in one frame.
    pub(crate) async fn order(&mut self, items: Vec<Command>) {
        let format = FORMAT;
        let message = codec::encode(&Frame { format, items });
        let mut frame = BytesMut::new();
        frame.put_u32(message.len() as u32);
        frame.put_slice(&message);
        self.orders.send_data(frame.freeze()).await.unwrap();
    }

    /// The next reply; `None` at the end.
    pub(crate) async fn reply(&mut self) -> Option<Reply> {
        while self.waiting.is_empty() {
            let whole = self.bytes.len() >= 4 && {
                let length = u32::from_be_bytes(self.bytes[..4].try_into().unwrap());
                self.bytes.len() >= 4 + length as usize
            };
            if whole {
                let length = self.bytes.get_u32();
                let message = self.bytes.split_to(length as usize);
                let frame: Frame<Reply> = codec::decode(&message).unwrap();
                self.waiting = frame.items.into_iter().rev().collect();
            } else {
                let part = self.replies.frame().await?.ok()?;
                self.bytes.extend_from_slice(&part.into_data().ok()?);
            }
        }
        self.waiting.pop()
    }

    /// The next reply that is neither load nor cache event; `None` at the end.
    pub(crate) async fn news(&mut self) -> Option<Reply> {
        loop {
            match self.reply().await? {
                Reply::Load(_) | Reply::Cached(_) => {}
                reply => return Some(reply),
            }
        }
    }
}

/// An attempt over a chain of engines.
pub(crate) struct Path {
    links: Vec<(Link, Layers)>,
    request: RequestId,
    next: Position,
    prompt: Vec<Token>,
}

impl Path {
    /// Opens attempt 0 of a request on every engine; starts at the last block boundary before the
    /// prompt's end that all hold, or at `at_most`.
    pub(crate) async fn open(
        engines: &[(SocketAddr, Layers)],
        request: RequestId,
        prompt: &[Token],
        at_most: Position,
    ) -> Self {
        let prefix = prefix::block_hashes(prompt);
        let whole = (prompt.len() as u32 - 1) / 16 * 16;
        let mut next = whole.min(at_most);
        let mut links = Vec::new();
        for (address, layers) in engines {
            let mut link = Link::open(*address).await;
            assert!(matches!(link.news().await, Some(Reply::Hello(_))));
            let order = open(request, *layers, prefix.clone());
            link.order(vec![Command::Open(order)]).await;
            match link.news().await {
                Some(Reply::Opened(opened)) => next = next.min(opened.cached),
                other => panic!("{other:?}"),
            }
            links.push((link, *layers));
        }
        Self {
            links,
            request,
            next,
            prompt: prompt.to_vec(),
        }
    }

    /// Where the next step starts.
    pub(crate) fn next(&self) -> Position {
        self.next
    }

    /// Runs prefill and then decodes `n` tokens.
    pub(crate) async fn run(&mut self, n: usize) -> Vec<Token> {
        let rest = self.prompt[self.next as usize..].to_vec();
        let mut tokens = vec![self.step(&rest).await];
        while tokens.len() < n {
            let last = *tokens.last().unwrap();
            tokens.push(self.step(&[last]).await);
        }
        tokens
    }

    async fn step(&mut self, tokens: &[Token]) -> Token {
        let mut input: Vec<u64> = tokens.iter().map(|token| u64::from(*token)).collect();
        let position = self.next;
        self.next += tokens.len() as u32;
        let mut token = None;
        for (link, layers) in &mut self.links {
            let order = step(self.request, *layers, position, input);
            link.order(vec![Command::Step(order)]).await;
            let done = expect_done(link.news().await);
            assert_eq!((done.request, done.position), (self.request, position));
            (input, token) = (done.output, done.token);
        }
        token.unwrap()
    }

    /// Cancels the attempt on every engine.
    pub(crate) async fn cancel(&mut self) {
        for (link, _) in &mut self.links {
            link.order(vec![Command::Cancel(self.request, 0)]).await;
        }
    }
}

/// The answer of a step.
pub(crate) fn expect_done(reply: Option<Reply>) -> Done {
    match reply {
        Some(Reply::Done(done)) => done,
        other => panic!("{other:?}"),
    }
}

/// An order to open attempt 0.
pub(crate) fn open(request: RequestId, layers: Layers, prefix: Vec<u64>) -> Open {
    Open {
        request,
        attempt: 0,
        layers,
        priority: Default::default(),
        prefix,
    }
}

/// A step of attempt 0.
pub(crate) fn step(
    request: RequestId,
    layers: Layers,
    position: Position,
    input: Vec<u64>,
) -> Step {
    Step {
        request,
        attempt: 0,
        position,
        layers,
        input,
    }
}

/// A free port on loopback.
pub(crate) fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
