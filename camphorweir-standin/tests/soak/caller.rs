//! Calls and what became of each; callers that keep their connections for a while.

use {
    crate::deployment::{CRASHING, KEYS},
    bytes::Bytes,
    camphorweir_standin::platform_target::{EVENTS_HEADER, PAUSE_HEADER, STREAM_EVENTS, event},
    http_body_util::{BodyExt, Full},
    hyper::{
        Request,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        sync::watch,
        time::{Instant, sleep, timeout},
    },
};

/// What callers say they wait.
pub(crate) const PATIENCE: Duration = Duration::from_millis(3000);
/// Guards against a caller that hangs; the checks judge by [`PATIENCE`].
const GUARD: Duration = Duration::from_secs(20);
/// Least tokens of an answer.
const MIN_TOKENS: u128 = 24;
/// Longest pause between two calls of a caller in ms.
const PAUSE_MS: u64 = 150;

/// What is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Seal,
    Look,
    Text,
    /// A stream that may not go on at another target.
    Once,
}

/// What a stream has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Length {
    pub(crate) events: usize,
    /// Pause after each event; `None` leaves it to the target.
    pub(crate) pause: Option<Duration>,
}

/// What callers ask for if they don't care.
pub(crate) const SHORT: Length = Length {
    events: STREAM_EVENTS,
    pause: None,
};

/// A call to be made.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// Index in [`KEYS`].
    pub(crate) key: usize,
    pub(crate) length: Length,
    /// How long its caller says to wait.
    pub(crate) patience: Duration,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// It was not sent: there was no connection.
    Unsent,
    /// The connection ended before the answer, or in it.
    Broken { status: Option<u16>, body: Bytes },
    /// A whole answer.
    Whole { status: u16, body: Bytes },
}

/// A call of the past.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) ask: Ask,
    /// Index of the entry.
    pub(crate) entry: usize,
    /// When its connection was opened.
    pub(crate) opened: Instant,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
    pub(crate) end: End,
}

/// A connection to an entry.
pub(crate) struct Line {
    opened: Instant,
    sender: SendRequest<Full<Bytes>>,
}

impl Length {
    /// The time that the whole stream takes at a target that is not disturbed.
    pub(crate) fn time(&self) -> Duration {
        self.pause.unwrap_or_default() * self.events as u32
    }

    /// All events.
    pub(crate) fn text(&self) -> String {
        (1..=self.events).map(event).collect()
    }
}

impl Call {
    /// Whether it was sent and got no answer.
    pub(crate) fn is_cut(&self) -> bool {
        matches!(self.end, End::Broken { status: None, .. })
    }

    /// Whether its caller keeps its connection and lets it idle.
    pub(crate) fn is_kept(&self) -> bool {
        self.ask.length.pause.is_some()
    }

    /// The status, if one came.
    pub(crate) fn status(&self) -> Option<u16> {
        match &self.end {
            End::Unsent => None,
            End::Broken { status, .. } => *status,
            End::Whole { status, .. } => Some(*status),
        }
    }
}

/// Calls entries until told to stop; gives what became of the calls.
pub(crate) async fn run(
    name: usize,
    seed: u64,
    entries: Vec<SocketAddr>,
    stop: watch::Receiver<bool>,
) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    while !*stop.borrow() {
        let entry = rng.random_range(0..entries.len());
        let Some(mut line) = connect(entries[entry]).await else {
            sleep(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        // On one connection for as long as the entry keeps it.
        while !*stop.borrow() && rng.random_bool(0.97) {
            let kind = [Kind::Seal, Kind::Look, Kind::Text][rng.random_range(0..3)];
            let key = usize::from(rng.random_bool(0.3));
            let id = format!("{name}-{}", calls.len());
            let (call, stays) = ask(&mut line, entry, short(id, kind, key)).await;
            calls.push(call);
            if !stays {
                break;
            }
            sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
        }
    }
    calls
}

/// Makes one call on a connection of its own.
pub(crate) async fn once(entry: SocketAddr, index: usize, id: String, kind: Kind) -> Option<Call> {
    let mut line = connect(entry).await?;
    Some(ask(&mut line, index, short(id, kind, 0)).await.0)
}

/// Makes a call that ends the target that runs it; nobody waits for what becomes of it.
pub(crate) async fn crashing(entry: SocketAddr, id: String) {
    if let Some(mut line) = connect(entry).await {
        let request = request(&short(id, Kind::Look, 0), CRASHING);
        let _ = timeout(GUARD, exchange(&mut line.sender, request)).await;
    }
}

/// Whether an entry says that it is ready.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    let Some(mut line) = connect(address).await else {
        return false;
    };
    let request = Request::get("/api/readyz").body(Full::default()).unwrap();
    let answer = timeout(PATIENCE, exchange(&mut line.sender, request)).await;
    matches!(answer, Ok((End::Whole { status: 200, .. }, _)))
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> Option<Line> {
    let stream = timeout(PATIENCE, TcpStream::connect(address)).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream.ok()?)).await.ok()?;
    tokio::spawn(connection);
    let opened = Instant::now();
    Some(Line { opened, sender })
}

/// A call of the usual length.
pub(crate) fn short(id: String, kind: Kind, key: usize) -> Ask {
    Ask {
        id,
        kind,
        key,
        length: SHORT,
        patience: PATIENCE,
    }
}

/// Makes a call; says as well whether the connection may be used again.
pub(crate) async fn ask(line: &mut Line, entry: usize, ask: Ask) -> (Call, bool) {
    let request = request(&ask, "batch 7");
    let from = Instant::now();
    let done = timeout(GUARD, exchange(&mut line.sender, request)).await;
    let (end, stays) = done.unwrap_or_else(|_| panic!("{ask:?}: no end in {GUARD:?}"));
    let call = Call {
        ask,
        entry,
        opened: line.opened,
        from,
        to: Instant::now(),
        end,
    };
    (call, stays)
}

fn request(ask: &Ask, body: &'static str) -> Request<Full<Bytes>> {
    let path = match ask.kind {
        Kind::Seal => "/seal/a",
        Kind::Look => "/look/a",
        Kind::Text => "/text/a",
        Kind::Once => "/once/a",
    };
    let mut request = Request::post(path)
        .header("host", "h.example")
        .header("x-attempt-id", &ask.id)
        .header("x-deadline-ms", ask.patience.as_millis().to_string())
        .header("authorization", format!("Bearer {}", KEYS[ask.key]));
    if let Kind::Text | Kind::Once = ask.kind {
        // A token takes a millisecond.
        let tokens = ask.length.time().as_millis().max(MIN_TOKENS);
        request = request.header("x-token-usage", format!("10,{tokens}"));
        request = request.header(EVENTS_HEADER, ask.length.events.to_string());
    }
    if let Some(pause) = ask.length.pause {
        request = request.header(PAUSE_HEADER, pause.as_millis().to_string());
    }
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    request.body(body).unwrap()
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> (End, bool) {
    if sender.ready().await.is_err() {
        return (End::Unsent, false);
    }
    let Ok(response) = sender.send_request(request).await else {
        let body = Bytes::new();
        return (End::Broken { status: None, body }, false);
    };
    let (head, mut rest) = response.into_parts();
    let status = head.status.as_u16();
    let closes = head.headers.get("connection");
    let stays = closes.is_none_or(|value| value != "close");
    let mut body = Vec::new();
    while let Some(frame) = rest.frame().await {
        let Ok(frame) = frame else {
            let (status, body) = (Some(status), body.into());
            return (End::Broken { status, body }, false);
        };
        body.extend(frame.into_data().unwrap_or_default());
    }
    let body = body.into();
    (End::Whole { status, body }, stays)
}
