//! A small HTTP/1.1 server whose responses can be cut, stalled or withheld.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Method, Response, StatusCode,
        body::{Body, Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{
        collections::{BTreeMap, VecDeque},
        future::Future,
        io,
        net::{IpAddr, SocketAddr},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{Sleep, sleep},
    },
};

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`.
    query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    /// Value of a query parameter as it was sent; empty when absent.
    pub fn query(&self, name: &str) -> String {
        let mut fields = self
            .query
            .split('&')
            .filter_map(|field| field.split_once('='));
        let parameter = fields.find(|(field, _)| *field == name);
        parameter
            .map(|(_, value)| value.to_owned())
            .unwrap_or_default()
    }

    /// Value of a header; empty when absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Decodes a value of a query; bytes that are not text are replaced.
pub(crate) fn unescape(value: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        let (byte, after) = match (first, escaped) {
            (b'%', Some(byte)) => (byte, &after[2..]),
            (b'+', _) => (b' ', after),
            _ => (*first, after),
        };
        bytes.push(byte);
        rest = after;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What the server does with a request.
#[derive(Debug)]
pub enum Reply {
    /// Sends a response.
    Response(Response<ScriptedBody>),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open and never responds.
    Hang,
}

impl Reply {
    /// A response without a body.
    pub fn status(status: u16) -> Self {
        Self::with_body(status, Vec::new())
    }

    /// A 200 response with this body.
    pub fn bytes(body: Vec<u8>) -> Self {
        Self::with_body(200, body)
    }

    /// A JSON response.
    pub fn json(status: u16, body: &Value) -> Self {
        Self::with_body(status, body.to_string().into_bytes())
    }

    /// Adds a header to a response; a reply without one stays as it is.
    pub fn with_header(self, name: &'static str, value: u64) -> Self {
        self.with_text_header(name, &value.to_string())
    }

    /// The reply with one more header, whose value must be valid.
    pub fn with_text_header(mut self, name: &'static str, value: &str) -> Self {
        if let Self::Response(response) = &mut self
            && let Ok(value) = value.parse()
        {
            response.headers_mut().append(name, value);
        }
        self
    }

    fn with_body(status: u16, body: Vec<u8>) -> Self {
        let mut response = Response::new(ScriptedBody::whole(body));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        Self::Response(response)
    }
}

/// One step in sending a body.
#[derive(Clone, Debug)]
pub enum BodyStep {
    /// Sends these bytes.
    Bytes(Vec<u8>),
    /// Waits this long.
    Pause(Duration),
    /// Breaks the connection.
    Abort,
}

/// A response body sent in scripted steps.
#[derive(Debug, Default)]
pub struct ScriptedBody {
    steps: VecDeque<BodyStep>,
    pause: Option<Pin<Box<Sleep>>>,
    length: Option<u64>,
    /// Dropped when the body ends; its reference count shows how many bodies are being sent.
    guard: Option<Arc<()>>,
}

impl ScriptedBody {
    /// A body sent at once with its length.
    pub fn whole(body: Vec<u8>) -> Self {
        Self {
            length: Some(body.len() as u64),
            steps: [BodyStep::Bytes(body)].into(),
            pause: None,
            guard: None,
        }
    }

    /// A body of unknown length that holds `guard` until its end.
    pub fn stream(steps: Vec<BodyStep>, guard: Arc<()>) -> Self {
        Self {
            steps: steps.into(),
            pause: None,
            length: None,
            guard: Some(guard),
        }
    }
}

impl Body for ScriptedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            match self.steps.pop_front() {
                None => {
                    self.guard = None;
                    return Poll::Ready(None);
                }
                Some(BodyStep::Bytes(bytes)) => {
                    return Poll::Ready(Some(Ok(Frame::data(bytes.into()))));
                }
                Some(BodyStep::Pause(time)) => self.pause = Some(Box::pin(sleep(time))),
                Some(BodyStep::Abort) => {
                    return Poll::Ready(Some(Err(io::ErrorKind::Other.into())));
                }
            }
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.length
            .map(hyper::body::SizeHint::with_exact)
            .unwrap_or_default()
    }
}

/// Serves on a free port of the loopback interface until the runtime ends.
///
/// # Errors
///
/// When no address can be bound.
pub async fn spawn<F>(
    handler: impl Fn(Request) -> F + Clone + Send + 'static,
) -> io::Result<SocketAddr>
where
    F: Future<Output = Reply> + Send + 'static,
{
    spawn_with_faults(handler, Cuts::default(), Power::default()).await
}

/// What happens to the connections of a client that is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Open connections and new ones stay silent.
    Silent,
    /// Open connections and new ones are silent, and go on afterwards.
    Paused,
    /// Open connections and new ones are closed.
    Reset,
    /// New connections are closed; open ones go on.
    ResetNew,
}

/// Clients that are cut off, by their address; clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Cuts(watch::Sender<BTreeMap<IpAddr, Cut>>);

impl Cuts {
    /// Cuts off a client, or ends its cut with `None`.
    pub fn set(&self, client: IpAddr, cut: Option<Cut>) {
        self.0.send_modify(|cuts| match cut {
            Some(cut) => drop(cuts.insert(client, cut)),
            None => drop(cuts.remove(&client)),
        });
    }

    fn get(&self, client: IpAddr) -> Option<Cut> {
        self.0.borrow().get(&client).copied()
    }

    /// Waits until open connections of a client are cut.
    async fn wait_for_start(&self, client: IpAddr) {
        let is_cut = |cut: Option<&Cut>| cut.is_some_and(|cut| *cut != Cut::ResetNew);
        let mut cuts = self.0.subscribe();
        // The sender lives as long as the server.
        let _ = cuts.wait_for(|cuts| is_cut(cuts.get(&client))).await;
    }

    /// Waits until the connections of a client are not silent; returns whether they go on then.
    async fn wait_for_end_of_silence(&self, client: IpAddr) -> bool {
        let goes_on = self.get(client) == Some(Cut::Paused);
        let mut cuts = self.0.subscribe();
        let is_silent = |cut: Option<&Cut>| matches!(cut, Some(Cut::Silent | Cut::Paused));
        let _ = cuts.wait_for(|cuts| !is_silent(cuts.get(&client))).await;
        goes_on
    }
}

/// Whether a server runs; clones share the state.
#[derive(Clone, Debug)]
pub struct Power(watch::Sender<bool>);

impl Default for Power {
    fn default() -> Self {
        Self(watch::Sender::new(true))
    }
}

impl Power {
    /// Starts the server, or ends it: its connections are closed, and new ones refused.
    pub fn set(&self, runs: bool) {
        self.0.send_replace(runs);
    }

    async fn wait_for(&self, runs: bool) {
        let mut power = self.0.subscribe();
        // The sender lives as long as the server.
        let _ = power.wait_for(|now| *now == runs).await;
    }
}

/// Like [`spawn`]; clients in `cuts` are cut off, and without `power` the server does not run.
///
/// # Errors
///
/// When no address can be bound.
pub async fn spawn_with_faults<F>(
    handler: impl Fn(Request) -> F + Clone + Send + 'static,
    cuts: Cuts,
    power: Power,
) -> io::Result<SocketAddr>
where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let mut listener = Ok(listener);
        loop {
            if let Ok(listener) = listener {
                tokio::select! {
                    () = power.wait_for(false) => {}
                    () = accept(&listener, handler.clone(), &cuts, &power) => {}
                }
            }
            power.wait_for(true).await;
            listener = TcpListener::bind(address).await;
        }
    });
    Ok(address)
}

async fn accept<F>(
    listener: &TcpListener,
    handler: impl Fn(Request) -> F + Clone + Send + 'static,
    cuts: &Cuts,
    power: &Power,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    while let Ok((stream, client)) = listener.accept().await {
        let client = client.ip();
        if matches!(cuts.get(client), Some(Cut::Reset | Cut::ResetNew)) {
            continue;
        }
        let (cuts, power) = (cuts.clone(), power.clone());
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { serve(request, handler).await }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::pin!(connection);
            loop {
                tokio::select! {
                    biased;
                    () = power.wait_for(false) => return,
                    () = cuts.wait_for_start(client) => {}
                    // A response that is cut ends the connection with an error.
                    _ = connection.as_mut() => return,
                }
                if !cuts.wait_for_end_of_silence(client).await {
                    return;
                }
            }
        });
    }
}

async fn serve<F>(
    request: hyper::Request<Incoming>,
    handler: impl Fn(Request) -> F,
) -> io::Result<Response<ScriptedBody>>
where
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let request = Request {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    match handler(request).await {
        Reply::Response(response) => Ok(response),
        Reply::Close => Err(io::ErrorKind::Other.into()),
        Reply::Hang => std::future::pending().await,
    }
}
