//! The server that every stand-in runs on: connections, faults of the network, a graceful stop.

use {
    bytes::Bytes,
    futures::future,
    http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::{
            conn::auto,
            graceful::{GracefulShutdown, Watcher},
        },
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    snafu::{ResultExt, Snafu},
    std::{
        collections::HashMap,
        convert::Infallible,
        fmt::Debug,
        io,
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Notify, watch},
        task::{JoinHandle, JoinSet},
        time,
    },
};

/// Request header by which a client names itself, so that faults can be made for it alone.
pub const FROM: &str = "camphorweir-from";
/// Path that begins all of a stand-in's own resources.
pub const OWN: &str = "/standin/";
/// Longest request body in bytes.
const MAX_BODY: usize = 64 << 20;
/// Pause after an accept that failed, as when the process is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The body of an answer; an error in it cuts the answer short.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// What a stand-in answers; `None` drops the connection.
pub type Answer = Option<Response<Body>>;

/// Why a stand-in can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address can't be bound.
    #[snafu(display("can't bind {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The settings contradict themselves.
    #[snafu(display("{reason}"))]
    Settings {
        /// How.
        reason: String,
    },
}

/// Faults of the network that every stand-in can make.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Clients whose connections are dropped, by the name in [`FROM`].
    pub cut: Vec<String>,
    /// Clients that all other faults apply to; empty for every client, named or not.
    pub only: Vec<String>,
    /// Whether the service is out, and how.
    pub down: Down,
    /// Every answer is later by this, in milliseconds.
    pub delay_ms: u64,
}

/// How a service is out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is in service.
    #[default]
    No,
    /// It answers 503.
    Refuse,
    /// It drops connections.
    Drop,
    /// It stands still, and goes on with what arrived when this ends; a stop waits for that.
    Hang,
}

impl Net {
    /// Whether faults other than a cut apply to this client.
    pub fn applies(&self, from: Option<&str>) -> bool {
        self.only.is_empty() || contains(&self.only, from)
    }

    fn drops(&self, from: Option<&str>) -> bool {
        contains(&self.cut, from) || self.down == Down::Drop && self.applies(from)
    }
}

fn contains(names: &[String], from: Option<&str>) -> bool {
    from.is_some_and(|from| names.iter().any(|name| name == from))
}

/// What a stand-in does behind the server.
pub trait Role: Send + Sync + Sized + 'static {
    /// The faults that it can make; replaced as a whole.
    type Faults: Clone + Debug + Default + DeserializeOwned + Send + Serialize + 'static;

    /// The faults now set.
    fn faults(&self) -> &Mutex<Self::Faults>;

    /// The part of the faults that the server makes.
    fn net(faults: &Self::Faults) -> &Net;

    /// The faults were set anew.
    fn changed(self: &Arc<Self>) {}

    /// Whether the network's faults leave this request alone, as an operator's.
    fn exempt(_request: &Request<Incoming>) -> bool {
        false
    }

    /// A resource of its own, such as `audit` or `stats`.
    fn report(&self, name: &str) -> Option<Value>;

    /// Answers a request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: Option<String>,
    ) -> impl Future<Output = Answer> + Send;

    /// Finishes what is open, before the listener closes.
    fn drain(self: Arc<Self>) -> impl Future<Output = ()> + Send;
}

/// The open connections of a server.
#[derive(Debug, Default)]
pub struct Links {
    links: Mutex<HashMap<u64, Arc<Link>>>,
    /// The faults were set anew.
    changed: Notify,
}

#[derive(Debug, Default)]
struct Link {
    from: Mutex<Option<String>>,
    cut: Notify,
}

impl Links {
    /// Drops every connection, as a crash does.
    pub(crate) fn drop_all(&self) {
        self.drop_where(|_| true);
    }

    fn drop_where(&self, chosen: impl Fn(Option<&str>) -> bool) {
        for link in lock(&self.links).values() {
            if chosen(lock(&link.from).as_deref()) {
                link.cut.notify_one();
            }
        }
    }
}

/// A running stand-in; dropped, it ends at once and cuts what is open.
#[derive(Debug)]
pub struct Handle<R: Role> {
    address: SocketAddr,
    pub(crate) role: Arc<R>,
    links: Arc<Links>,
    stop: watch::Sender<bool>,
    accept: JoinHandle<()>,
    /// Tasks of the role, ended with the handle.
    pub(crate) tasks: JoinSet<()>,
}

impl<R: Role> Handle<R> {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The faults now set; counts show what is left of them.
    pub fn faults(&self) -> R::Faults {
        lock(self.role.faults()).clone()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: R::Faults) {
        faults_set(&self.role, &self.links, faults);
    }

    /// Stops with nothing cut.
    pub async fn stop(mut self) {
        self.role.clone().drain().await;
        let _ = self.stop.send(true);
        let _ = (&mut self.accept).await;
    }

    /// Ends at once; the address is free afterwards.
    pub async fn kill(mut self) {
        self.accept.abort();
        let _ = (&mut self.accept).await;
    }
}

impl<R: Role> Drop for Handle<R> {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Runs a role on an address; port 0 takes a free one.
pub(crate) async fn start<R: Role>(
    address: SocketAddr,
    links: Arc<Links>,
    role: Arc<R>,
) -> Result<Handle<R>, Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let (stop, stopped) = watch::channel(false);
    let accept = tokio::spawn(accept(listener, role.clone(), links.clone(), stopped));
    Ok(Handle {
        address,
        role,
        links,
        stop,
        accept,
        tasks: JoinSet::new(),
    })
}

async fn accept<R: Role>(
    listener: TcpListener,
    role: Arc<R>,
    links: Arc<Links>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let mut number = 0;
    loop {
        tokio::select! {
            _ = stopped.changed() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    let watcher = graceful.watcher();
                    connections.spawn(serve(stream, number, role.clone(), links.clone(), watcher));
                }
                Err(_) => time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    graceful.shutdown().await;
    while connections.join_next().await.is_some() {}
}

async fn serve<R: Role>(
    stream: TcpStream,
    number: u64,
    role: Arc<R>,
    links: Arc<Links>,
    watcher: Watcher,
) {
    let _ = stream.set_nodelay(true);
    let link = Arc::new(Link::default());
    lock(&links.links).insert(number, link.clone());
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().adaptive_window(true);
    let service = service_fn(|request| respond(role.clone(), links.clone(), link.clone(), request));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = pin!(watcher.watch(connection));
    tokio::select! {
        _ = connection => {}
        () = link.cut.notified() => {}
    }
    lock(&links.links).remove(&number);
}

async fn respond<R: Role>(
    role: Arc<R>,
    links: Arc<Links>,
    link: Arc<Link>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    match route(role, links, &link, request).await {
        Some(answer) => Ok(answer),
        None => {
            link.cut.notify_one();
            future::pending().await
        }
    }
}

async fn route<R: Role>(
    role: Arc<R>,
    links: Arc<Links>,
    link: &Link,
    request: Request<Incoming>,
) -> Answer {
    if let Some(name) = request.uri().path().strip_prefix(OWN) {
        let name = name.to_owned();
        return Some(own(role, links, &name, request).await);
    }
    if R::exempt(&request) {
        return role.answer(request, None).await;
    }
    let from = header(&request, FROM);
    *lock(&link.from) = from.clone();
    let net = awake(&*role, &links, from.as_deref()).await;
    if net.drops(from.as_deref()) {
        return None;
    }
    if net.applies(from.as_deref()) {
        time::sleep(Duration::from_millis(net.delay_ms)).await;
        if net.down == Down::Refuse {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
    }
    role.answer(request, from).await
}

/// Waits while the service stands still for this client.
async fn awake<R: Role>(role: &R, links: &Links, from: Option<&str>) -> Net {
    loop {
        let changed = links.changed.notified();
        let net = R::net(&lock(role.faults())).clone();
        if net.down != Down::Hang || !net.applies(from) {
            return net;
        }
        changed.await;
    }
}

async fn own<R: Role>(
    role: Arc<R>,
    links: Arc<Links>,
    name: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method().clone(), name) {
        (Method::GET, "faults") => json(&*lock(role.faults())),
        (Method::PUT, "faults") => match parse(request).await {
            Some(faults) => {
                faults_set(&role, &links, faults);
                status(StatusCode::NO_CONTENT)
            }
            None => status(StatusCode::BAD_REQUEST),
        },
        (Method::GET, name) => match role.report(name) {
            Some(value) => json(&value),
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn faults_set<R: Role>(role: &Arc<R>, links: &Links, faults: R::Faults) {
    let net = R::net(&faults).clone();
    *lock(role.faults()) = faults;
    links.drop_where(|from| net.drops(from));
    role.changed();
    links.changed.notify_waiters();
}

/// Takes one of a counted fault.
pub(crate) fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

/// Locks; a panic of another holder leaves the data as they are.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request header as text.
pub(crate) fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// A whole request body within [`MAX_BODY`].
pub(crate) async fn collect(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    body.collect().await.ok().map(|whole| whole.to_bytes())
}

/// A JSON request body.
pub(crate) async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&collect(request).await?).ok()
}

/// An empty answer.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut answer = whole(Vec::new());
    *answer.status_mut() = status;
    answer
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => whole(bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// An answer with this body.
pub(crate) fn whole(bytes: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}
