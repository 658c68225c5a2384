//! Starts all parts of an entry and shuts them down in order.

use {
    crate::{
        admin, call,
        clock::Clock,
        core_task,
        driver::{Driver, Environment},
        fetch::HttpClient,
        inner, instance_list,
        peer::{PeerReceiver, PeerSender},
        server::Server,
        settings::{Listen, Settings},
        startup::Wait,
        streams::LogClient,
        supervise::Supervisor,
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
        sync::{Notify, mpsc, watch},
        time::{sleep, timeout},
    },
};

/// Added to the idle timeout so that the last responses are written before shutdown.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);

/// Limit on the time beside the balancer's grace for which a start waits for a predecessor to close its
/// connections; whoever starts the process tries again after it.
const MAX_DRAIN_WAIT: Duration = Duration::from_secs(25);

/// Why an entry can't start or can't continue.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{} {}: {what}", code.number(), code.name()))]
pub struct Failure {
    /// The result code.
    pub code: Code,
    /// Details for the operator.
    pub what: String,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    addresses: Addresses,
    balancer_grace: Duration,
    drain_timeout: Duration,
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
    /// For callers and the load balancer's health checks.
    pub callers: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
    /// For operators and metrics scrapes.
    pub admin: SocketAddr,
}

/// The three listeners, bound before anything else starts.
struct Listeners {
    callers: Arc<TcpListener>,
    peers: Arc<TcpListener>,
    admin: Arc<TcpListener>,
}

/// Starts an entry. An address that another process may give back is waited for.
///
/// # Errors
///
/// [`Failure`] when an address can't be bound or metrics can't be set up.
pub async fn start(settings: Settings) -> Result<Entry, Failure> {
    start_with(settings, &Notify::new()).await
}

/// Starts an entry as [`start`] does, and tries to bind an awaited address at once when `retry_now` is notified.
///
/// # Errors
///
/// [`Failure`] when an address can't be bound or metrics can't be set up.
pub async fn start_with(settings: Settings, retry_now: &Notify) -> Result<Entry, Failure> {
    let drain = settings.limits.idle + DRAIN_MARGIN;
    let limit = settings.balancer_grace + drain.min(MAX_DRAIN_WAIT);
    let listeners = Listeners::bind(settings.listen, Wait::new(limit, retry_now)).await?;
    let addresses = listeners.addresses()?;
    let metrics = Metrics::new().map_err(|error| failure(Code::Internal, &error))?;
    let (supervisor, fatal) = Supervisor::new();
    let (core_handle, inputs) = core_task::channel();
    let (closing, closing_receiver) = watch::channel(false);
    let (ready_sender, ready) = watch::channel(false);
    let (finished_sender, finished) = watch::channel(false);
    let (incarnation, seed) = (rand::random(), rand::random());
    let client = HttpClient::new(&settings.entry);
    let key = settings.keys.peers;
    let entry = settings.entry.clone();
    let environment = Environment {
        core_handle: core_handle.clone(),
        clock: Clock::start(),
        log_client: LogClient::new(client.clone(), &settings.platform.log.to_string()),
        peers: PeerSender::new(
            client.clone(),
            core_handle.clone(),
            key,
            entry.clone(),
            incarnation,
        ),
        metrics: metrics.clone(),
        max_answer: settings.limits.answer,
        ready: ready_sender,
        finished: finished_sender,
    };
    let setup = Setup {
        entry,
        incarnation,
        zone: settings.zone.clone(),
        grace: settings.balancer_grace,
        seed,
    };
    supervisor.spawn_once(
        "core",
        Driver::new(Core::new(setup), environment).run(inputs),
    );
    let state = call::State::new(core_handle.clone(), settings.limits, ready.clone());
    let server = Server::new(state, closing_receiver);
    supervise_callers(&supervisor, server.clone(), listeners.callers);
    supervise_peers(
        &supervisor,
        PeerReceiver::new(core_handle.clone(), key),
        listeners.peers,
    );
    supervise_admin(
        &supervisor,
        admin::State {
            ready: ready.clone(),
            metrics,
            core_handle: core_handle.clone(),
            keys: settings.keys.clone(),
        },
        listeners.admin,
    );
    supervise_instance_list(
        &supervisor,
        client,
        settings.platform.instances.to_string(),
        core_handle.clone(),
    );
    log_start(&settings, addresses);
    Ok(Entry {
        addresses,
        balancer_grace: settings.balancer_grace,
        drain_timeout: settings.limits.idle + DRAIN_MARGIN,
        server,
        core_handle,
        closing,
        ready,
        finished,
        fatal,
    })
}

fn supervise_callers(supervisor: &Supervisor, server: Server, listener: Arc<TcpListener>) {
    supervisor.spawn("callers", move || server.clone().accept(listener.clone()));
}

fn supervise_peers(supervisor: &Supervisor, receiver: PeerReceiver, listener: Arc<TcpListener>) {
    supervisor.spawn("peers", move || {
        let receiver = receiver.clone();
        inner::serve(listener.clone(), move |request| {
            let receiver = receiver.clone();
            async move { receiver.handle(request).await }
        })
    });
}

fn supervise_admin(supervisor: &Supervisor, state: admin::State, listener: Arc<TcpListener>) {
    supervisor.spawn("admin", move || {
        let state = state.clone();
        inner::serve(listener.clone(), move |request| {
            let state = state.clone();
            async move { state.handle(request).await }
        })
    });
}

fn supervise_instance_list(
    supervisor: &Supervisor,
    client: HttpClient,
    url: String,
    core_handle: core_task::Handle,
) {
    supervisor.spawn("instances", move || {
        instance_list::run(client.clone(), url.clone(), core_handle.clone())
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
    /// Binds callers' address last: a predecessor closes it first, and nobody accepts connections there before
    /// the start is complete.
    async fn bind(listen: Listen, wait: Wait<'_>) -> Result<Self, Failure> {
        let admin = wait.bind("administration's address", listen.admin).await?;
        let peers = wait.bind("peers' address", listen.peers).await?;
        let callers = wait.bind("callers' address", listen.callers).await?;
        Ok(Self {
            callers,
            peers,
            admin,
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
    /// The addresses that the entry has bound.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Result of the readiness check.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Runs until `stop` completes, then fails the readiness check, waits `balancer_grace`, closes
    /// the callers' listener, and waits for requests to end and, for at most `drain_timeout`, for
    /// connections to close. Connections still open then are no error.
    ///
    /// # Errors
    ///
    /// [`Failure`] when a part of the entry keeps failing.
    pub async fn run(mut self, stop: impl Future<Output = ()>) -> Result<(), Failure> {
        let code = tokio::select! {
            code = self.fatal.recv() => code,
            () = stop => None,
        };
        if let Some(code) = code {
            return Err(failed_part(code));
        }
        log::info!("shutting down");
        // The core task runs until the end; had it failed, the supervisor would have reported it.
        let _ = self.core_handle.send_event(Event::Stop).await;
        let Self {
            mut fatal,
            balancer_grace,
            drain_timeout,
            server,
            closing,
            mut ready,
            mut finished,
            ..
        } = self;
        let open = server.clone();
        let shutdown = async {
            // The load balancer must see the readiness check fail before the listener closes.
            let _ = ready.wait_for(|ready| !*ready).await;
            sleep(balancer_grace).await;
            closing.send_replace(true);
            let _ = finished.wait_for(|finished| *finished).await;
            timeout(drain_timeout, server.drained()).await
        };
        tokio::select! {
            Some(code) = fatal.recv() => Err(failed_part(code)),
            drained = shutdown => {
                log::info!(drained = drained.is_ok(), connections = open.open(); "shut down");
                Ok(())
            }
        }
    }
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

fn failed_part(code: Code) -> Failure {
    failure(code, &"a part of the entry keeps failing")
}
