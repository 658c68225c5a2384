//! The HTTP server under every stand-in: connections, network faults, graceful stop.

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
        io::{self, Write},
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

/// Request header with the client's name, by which faults can be limited to some clients.
pub const CLIENT_HEADER: &str = "camphorweir-from";
/// Path prefix of the stand-in's control resources, such as its faults.
pub const CONTROL_PREFIX: &str = "/standin/";
/// Longest request body in bytes.
const MAX_BODY: usize = 64 << 20;
/// Pause after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for an address that something else holds, such as a stand-in that is about to end.
const MAX_BIND_WAIT: Duration = Duration::from_secs(10);
/// Pause between attempts to bind an address that is in use.
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// A response body; an error in it breaks the response off.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// The response to a request; `None` drops the connection.
pub type Answer = Option<Response<Body>>;

/// Why a stand-in can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address can't be bound.
    #[snafu(display("can't bind {address}: {source}; free it, or set another `address`"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The settings are inconsistent.
    #[snafu(display("{reason}"))]
    Settings {
        /// What is inconsistent.
        reason: String,
    },
}

/// Network faults that every stand-in can inject.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkFaults {
    /// Clients whose connections are dropped, by the name in [`CLIENT_HEADER`].
    pub cut: Vec<String>,
    /// Clients that the other faults apply to; empty for all clients, named or not.
    pub only: Vec<String>,
    /// The outage in effect, if any.
    pub down: Outage,
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: u64,
}

/// A kind of service outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    No,
    /// Answers every request with 503.
    Refuse,
    /// Drops connections.
    Drop,
    /// Holds requests and handles them once the outage ends; a graceful stop waits for them.
    Hang,
}

impl NetworkFaults {
    /// Whether faults other than `cut` apply to this client.
    pub fn applies(&self, client: Option<&str>) -> bool {
        self.only.is_empty() || contains(&self.only, client)
    }

    fn drops(&self, client: Option<&str>) -> bool {
        contains(&self.cut, client) || self.down == Outage::Drop && self.applies(client)
    }
}

fn contains(names: &[String], client: Option<&str>) -> bool {
    client.is_some_and(|client| names.iter().any(|name| name == client))
}

/// The behavior of one kind of stand-in behind the server.
pub trait Role: Send + Sync + Sized + 'static {
    /// The faults that this stand-in can inject; always set as a whole.
    type Faults: Clone + Debug + Default + DeserializeOwned + Send + Serialize + 'static;

    /// The current faults.
    fn faults(&self) -> &Mutex<Self::Faults>;

    /// The part of the faults that the server injects.
    fn network_faults(faults: &Self::Faults) -> &NetworkFaults;

    /// Called after the faults were replaced.
    fn faults_changed(self: &Arc<Self>) {}

    /// Whether network faults don't apply to this request, such as an operator's.
    fn is_exempt(_request: &Request<Incoming>) -> bool {
        false
    }

    /// A control resource of this stand-in, such as `audit` or `stats`.
    fn resource(&self, name: &str) -> Option<Value>;

    /// Answers a request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        client: Option<String>,
    ) -> impl Future<Output = Answer> + Send;

    /// Finishes open work before the listener closes.
    fn drain(self: Arc<Self>) -> impl Future<Output = ()> + Send;
}

/// The open connections of a server.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<u64, Arc<Connection>>>,
    /// Notified when the faults were replaced.
    changed: Notify,
}

#[derive(Debug, Default)]
struct Connection {
    client: Mutex<Option<String>>,
    drop_requested: Notify,
}

impl Connections {
    /// Drops every connection, as in a crash.
    pub(crate) fn drop_all(&self) {
        self.drop_where(|_| true);
    }

    fn drop_where(&self, selects: impl Fn(Option<&str>) -> bool) {
        for connection in lock(&self.open).values() {
            if selects(lock(&connection.client).as_deref()) {
                connection.drop_requested.notify_one();
            }
        }
    }
}

/// A running stand-in; dropping the handle ends it at once and breaks its connections.
#[derive(Debug)]
pub struct Handle<R: Role> {
    address: SocketAddr,
    pub(crate) role: Arc<R>,
    connections: Arc<Connections>,
    stop: watch::Sender<bool>,
    accept: JoinHandle<()>,
    /// Background tasks of the role, aborted when the handle is dropped.
    pub(crate) tasks: JoinSet<()>,
}

impl<R: Role> Handle<R> {
    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current faults, with the counts that are left.
    pub fn faults(&self) -> R::Faults {
        lock(self.role.faults()).clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: R::Faults) {
        replace_faults(&self.role, &self.connections, faults);
    }

    /// Stops gracefully: open requests are finished first.
    pub async fn stop(mut self) {
        self.role.clone().drain().await;
        let _ = self.stop.send(true);
        let _ = (&mut self.accept).await;
    }

    /// Ends at once and waits until the address is free.
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

/// Binds an address, and waits for a while if something else holds it.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let give_up_at = time::Instant::now() + MAX_BIND_WAIT;
    let mut is_told = false;
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && time::Instant::now() < give_up_at =>
            {
                if !std::mem::replace(&mut is_told, true) {
                    print_line(
                        io::stderr(),
                        &format!(
                            "camphorweir-standin: {address} is in use; waiting up to {} s for it",
                            MAX_BIND_WAIT.as_secs()
                        ),
                    );
                }
                time::sleep(BIND_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Prints a line. A reader that is gone, or a full disk, ends no stand-in, and leaves nowhere to say so.
pub fn print_line(mut out: impl Write, line: &str) {
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Runs a role on an address; port 0 binds a free port.
pub(crate) async fn start<R: Role>(
    address: SocketAddr,
    connections: Arc<Connections>,
    role: Arc<R>,
) -> Result<Handle<R>, Error> {
    let listener = bind(address).await.context(BindSnafu { address })?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let (stop, stopped) = watch::channel(false);
    let accept = tokio::spawn(accept(listener, role.clone(), connections.clone(), stopped));
    Ok(Handle {
        address,
        role,
        connections,
        stop,
        accept,
        tasks: JoinSet::new(),
    })
}

async fn accept<R: Role>(
    listener: TcpListener,
    role: Arc<R>,
    connections: Arc<Connections>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut tasks = JoinSet::new();
    let mut id = 0;
    loop {
        tokio::select! {
            _ = stopped.changed() => break,
            Some(_) = tasks.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    id += 1;
                    let watcher = graceful.watcher();
                    tasks.spawn(serve(stream, id, role.clone(), connections.clone(), watcher));
                }
                Err(_) => time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    graceful.shutdown().await;
    while tasks.join_next().await.is_some() {}
}

async fn serve<R: Role>(
    stream: TcpStream,
    id: u64,
    role: Arc<R>,
    connections: Arc<Connections>,
    watcher: Watcher,
) {
    let _ = stream.set_nodelay(true);
    let connection = Arc::new(Connection::default());
    lock(&connections.open).insert(id, connection.clone());
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().adaptive_window(true);
    let service = service_fn(|request| {
        respond(
            role.clone(),
            connections.clone(),
            connection.clone(),
            request,
        )
    });
    let http = builder.serve_connection(TokioIo::new(stream), service);
    let http = pin!(watcher.watch(http));
    tokio::select! {
        _ = http => {}
        () = connection.drop_requested.notified() => {}
    }
    lock(&connections.open).remove(&id);
}

async fn respond<R: Role>(
    role: Arc<R>,
    connections: Arc<Connections>,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    match route(role, connections, &connection, request).await {
        Some(answer) => Ok(answer),
        None => {
            connection.drop_requested.notify_one();
            future::pending().await
        }
    }
}

async fn route<R: Role>(
    role: Arc<R>,
    connections: Arc<Connections>,
    connection: &Connection,
    request: Request<Incoming>,
) -> Answer {
    if let Some(name) = request.uri().path().strip_prefix(CONTROL_PREFIX) {
        let name = name.to_owned();
        return Some(control(role, connections, &name, request).await);
    }
    if R::is_exempt(&request) {
        return role.answer(request, None).await;
    }
    let client = header(&request, CLIENT_HEADER);
    *lock(&connection.client) = client.clone();
    let net = wait_while_hung(&*role, &connections, client.as_deref()).await;
    if net.drops(client.as_deref()) {
        return None;
    }
    if net.applies(client.as_deref()) {
        time::sleep(Duration::from_millis(net.delay_ms)).await;
        if net.down == Outage::Refuse {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
    }
    role.answer(request, client).await
}

/// Waits while [`Outage::Hang`] applies to this client; returns the network faults in effect.
async fn wait_while_hung<R: Role>(
    role: &R,
    connections: &Connections,
    client: Option<&str>,
) -> NetworkFaults {
    loop {
        let changed = connections.changed.notified();
        let net = R::network_faults(&lock(role.faults())).clone();
        if net.down != Outage::Hang || !net.applies(client) {
            return net;
        }
        changed.await;
    }
}

async fn control<R: Role>(
    role: Arc<R>,
    connections: Arc<Connections>,
    name: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method().clone(), name) {
        (Method::GET, "faults") => json(&*lock(role.faults())),
        (Method::PUT, "faults") => match read_json(request).await {
            Some(faults) => {
                replace_faults(&role, &connections, faults);
                status(StatusCode::NO_CONTENT)
            }
            None => status(StatusCode::BAD_REQUEST),
        },
        (Method::GET, name) => match role.resource(name) {
            Some(value) => json(&value),
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn replace_faults<R: Role>(role: &Arc<R>, connections: &Connections, faults: R::Faults) {
    let net = R::network_faults(&faults).clone();
    *lock(role.faults()) = faults;
    connections.drop_where(|client| net.drops(client));
    role.faults_changed();
    connections.changed.notify_waiters();
}

/// Decrements a fault count; false if it was zero.
pub(crate) fn consume(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}

/// Locks a mutex, also one poisoned by a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Value of a request header, if it is visible ASCII.
pub(crate) fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Reads a whole request body of at most [`MAX_BODY`].
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    body.collect().await.ok().map(|whole| whole.to_bytes())
}

/// Reads a JSON request body.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&read_body(request).await?).ok()
}

/// A response without a body.
pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut answer = with_body(Vec::new());
    *answer.status_mut() = status;
    answer
}

/// A JSON response.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_body(bytes),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// A 200 response with this body.
pub(crate) fn with_body(bytes: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    Response::new(body.boxed_unsync())
}
