//! A whole entry: puts the parts together, and takes them down in order.

use {
    crate::{
        admin, call,
        clock::Clock,
        core_task,
        driver::{Driver, Environment},
        fetch::Fetch,
        inner, list,
        peer::{PeerReceiver, PeerSender},
        server::Server,
        settings::{Listen, Settings},
        streams::LogClient,
        supervise::Tree,
        telemetry::Metrics,
    },
    camphorweir_policy::{
        core::{Core, Setup},
        event::Event,
    },
    camphorweir_wire::code::Code,
    snafu::Snafu,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
        time::{sleep, timeout},
    },
};

/// Added to the idle limit for the last answers to be written out.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);

/// Why an entry can't start or can't go on.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{} {}: {what}", code.number(), code.name()))]
pub struct Failure {
    /// The numbered result.
    pub code: Code,
    /// The case at hand, for a person.
    pub what: String,
}

/// An entry that is up.
#[derive(Debug)]
pub struct Entry {
    addresses: Addresses,
    grace: Duration,
    drain: Duration,
    server: Server,
    core_handle: core_task::Handle,
    closing: watch::Sender<bool>,
    ready: watch::Receiver<bool>,
    finished: watch::Receiver<bool>,
    fatal: mpsc::Receiver<Code>,
}

/// The addresses that an entry has bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Callers and the balancer's checks.
    pub callers: SocketAddr,
    /// Other entries.
    pub peers: SocketAddr,
    /// Operators and the metrics scrape.
    pub admin: SocketAddr,
}

/// The three listeners, bound before anything else starts.
struct Listeners {
    callers: Arc<TcpListener>,
    peers: Arc<TcpListener>,
    admin: Arc<TcpListener>,
}

/// Starts an entry.
///
/// # Errors
///
/// [`Failure`] when an address can't be bound or metrics can't be set up.
pub async fn start(settings: Settings) -> Result<Entry, Failure> {
    let listeners = Listeners::bind(settings.listen).await?;
    let addresses = listeners.addresses()?;
    let metrics = Metrics::new().map_err(|error| failure(Code::Internal, &error))?;
    let (tree, fatal) = Tree::new();
    let (core_handle, inputs) = core_task::channel();
    let (closing, closed) = watch::channel(false);
    let (ready_now, ready) = watch::channel(false);
    let (finished_now, finished) = watch::channel(false);
    let (incarnation, seed) = (rand::random(), rand::random());
    let fetch = Fetch::new(&settings.entry);
    let key = settings.keys.peers;
    let entry = settings.entry.clone();
    let environment = Environment {
        core_handle: core_handle.clone(),
        clock: Clock::start(),
        log_client: LogClient::new(fetch.clone(), &settings.platform.log.to_string()),
        peers: PeerSender::new(
            fetch.clone(),
            core_handle.clone(),
            key,
            entry.clone(),
            incarnation,
        ),
        metrics: metrics.clone(),
        max_answer: settings.limits.answer,
        ready: ready_now,
        finished: finished_now,
    };
    let setup = Setup {
        entry,
        incarnation,
        zone: settings.zone.clone(),
        grace: settings.balancer_grace,
        seed,
    };
    tree.only(
        "core",
        Driver::new(Core::new(setup), environment).run(inputs),
    );
    let desk = call::Desk::new(core_handle.clone(), settings.limits, ready.clone());
    let server = Server::new(desk, closed);
    keep_callers(&tree, server.clone(), listeners.callers);
    keep_peers(
        &tree,
        PeerReceiver::new(core_handle.clone(), key),
        listeners.peers,
    );
    keep_admin(
        &tree,
        admin::Desk {
            ready: ready.clone(),
            metrics,
            core_handle: core_handle.clone(),
            keys: settings.keys.clone(),
        },
        listeners.admin,
    );
    keep_list(
        &tree,
        fetch,
        settings.platform.instances.to_string(),
        core_handle.clone(),
    );
    log_start(&settings, addresses);
    Ok(Entry {
        addresses,
        grace: settings.balancer_grace,
        drain: settings.limits.idle + DRAIN_MARGIN,
        server,
        core_handle,
        closing,
        ready,
        finished,
        fatal,
    })
}

fn keep_callers(tree: &Tree, server: Server, listener: Arc<TcpListener>) {
    tree.child("callers", move || server.clone().accept(listener.clone()));
}

fn keep_peers(tree: &Tree, receiver: PeerReceiver, listener: Arc<TcpListener>) {
    tree.child("peers", move || {
        let receiver = receiver.clone();
        inner::serve(listener.clone(), move |request| {
            let receiver = receiver.clone();
            async move { receiver.answer(request).await }
        })
    });
}

fn keep_admin(tree: &Tree, desk: admin::Desk, listener: Arc<TcpListener>) {
    tree.child("admin", move || {
        let desk = desk.clone();
        inner::serve(listener.clone(), move |request| {
            let desk = desk.clone();
            async move { desk.answer(request).await }
        })
    });
}

fn keep_list(tree: &Tree, fetch: Fetch, url: String, core_handle: core_task::Handle) {
    tree.child("instances", move || {
        list::run(fetch.clone(), url.clone(), core_handle.clone())
    });
}

fn log_start(settings: &Settings, addresses: Addresses) {
    log::info!(
        entry = settings.entry.as_str(),
        zone = settings.zone.as_str(),
        callers:% = addresses.callers,
        peers:% = addresses.peers,
        admin:% = addresses.admin;
        "entry up"
    );
}

impl Listeners {
    async fn bind(listen: Listen) -> Result<Self, Failure> {
        Ok(Self {
            callers: bind(listen.callers).await?,
            peers: bind(listen.peers).await?,
            admin: bind(listen.admin).await?,
        })
    }

    fn addresses(&self) -> Result<Addresses, Failure> {
        Ok(Addresses {
            callers: address(&self.callers)?,
            peers: address(&self.peers)?,
            admin: address(&self.admin)?,
        })
    }
}

impl Entry {
    /// What it has bound.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether the readiness check says yes.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Runs until `stop` comes, and then until nothing is left to do.
    ///
    /// # Errors
    ///
    /// [`Failure`] when a part of the entry can't be kept up.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Failure> {
        let code = tokio::select! {
            code = self.fatal.recv() => code,
            () = stop => None,
        };
        if let Some(code) = code {
            return Err(fallen(code));
        }
        log::info!("stopping");
        // The core's task outlives every other; when it is gone the tree has reported it.
        let _ = self.core_handle.send_event(Event::Stop).await;
        let Self {
            mut fatal,
            grace,
            drain,
            server,
            closing,
            mut ready,
            mut finished,
            ..
        } = self;
        let stopping = async {
            // The balancer sees the readiness check fail first; then the listener closes.
            let _ = ready.wait_for(|ready| !*ready).await;
            sleep(grace).await;
            closing.send_replace(true);
            let _ = finished.wait_for(|finished| *finished).await;
            timeout(drain, server.drained()).await
        };
        tokio::select! {
            Some(code) = fatal.recv() => Err(fallen(code)),
            drained = stopping => {
                log::info!(drained = drained.is_ok(); "stopped");
                log::logger().flush();
                Ok(())
            }
        }
    }
}

async fn bind(address: SocketAddr) -> Result<Arc<TcpListener>, Failure> {
    let bound = TcpListener::bind(address).await;
    bound.map(Arc::new).map_err(|error| Failure {
        code: Code::AddressInUse,
        what: format!("{address}: {error}"),
    })
}

fn address(listener: &TcpListener) -> Result<SocketAddr, Failure> {
    listener
        .local_addr()
        .map_err(|error| failure(Code::AddressInUse, &error))
}

fn failure(code: Code, what: &impl ToString) -> Failure {
    Failure {
        code,
        what: what.to_string(),
    }
}

fn fallen(code: Code) -> Failure {
    failure(code, &"a part of the entry can't be kept up")
}
