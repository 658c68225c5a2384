//! A whole front: its tasks, and its stop.

use {
    crate::{
        front::{
            follow::{follow_run, follow_serve},
            gossip::{bind_digests, bind_followers, gossip_run},
            listen::{listen_callers, listen_ready},
            metrics::{Metrics, metrics_serve},
            placement::placement_run,
            probe::probe_run,
            reload::{Origin, reload_run},
            state::State,
            watch::{watch_configuration, watch_targets},
        },
        supervise::Tree,
    },
    camphorweir_relay::terms::Settings,
    std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, sleep, timeout_at},
    },
};

/// Pause between looks whether all requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(100);
/// Callers may still come for this long after a stop begins: two checks of the balancer, a second
/// apart, and the way.
const DRAIN_LEAST: Duration = Duration::from_millis(2600);
/// Who was let in just before the listener closed has this long to send a request: a few turns of a
/// caller on a busy machine.
const LAST_HEADS: Duration = Duration::from_millis(150);
/// The process ends this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Pause between looks for connections that were idle too long.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// Runs until `stop` comes, with metrics served on a port if one is given, and then until the requests
/// in hand have ended. `origin` is where changed settings are found.
///
/// # Errors
///
/// A sentence for operators when an address can't be bound or a task can't be kept up.
pub async fn run(
    settings: Settings,
    origin: Origin,
    metrics_port: Option<u16>,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let (callers, ready) = (settings.callers, settings.ready);
    log::info!(
        instance = settings.instance,
        zone:% = settings.zone,
        callers:% = callers,
        store:% = settings.store;
        "entry up"
    );
    let scrape = metrics_port.map(|port| SocketAddr::new(callers.ip(), port));
    let state = State::new(settings, Metrics::new()?);
    let callers = bind(callers).await.map_err(|error| error.to_string())?;
    let ready = bind(ready).await.map_err(|error| error.to_string())?;
    let socket = bind_digests(&state)
        .await
        .map_err(|error| error.to_string())?;
    let (tree, mut fatal) = Tree::new();
    let follow = bind_followers(&state)
        .await
        .map_err(|error| error.to_string())?;
    let address = follow.local_addr().map_err(|error| error.to_string())?;
    let made = state.clone();
    tree.child("gossip", move || {
        gossip_run(made.clone(), socket.clone(), address)
    });
    let made = state.clone();
    tree.child("followers", move || {
        follow_serve(made.clone(), follow.clone())
    });
    let made = state.clone();
    tree.child("follow", move || follow_run(made.clone()));
    let made = state.clone();
    tree.child("configuration", move || watch_configuration(made.clone()));
    let made = state.clone();
    tree.child("targets", move || watch_targets(made.clone()));
    let made = state.clone();
    tree.child("duty", move || placement_run(made.clone()));
    let made = state.clone();
    tree.child("ask", move || probe_run(made.clone()));
    if let Some(address) = scrape {
        let listener = bind(address).await.map_err(|error| error.to_string())?;
        let made = state.clone();
        tree.child("metrics", move || {
            metrics_serve(made.clone(), listener.clone())
        });
    }
    let made = state.clone();
    tree.child("settings", move || reload_run(made.clone(), origin.clone()));
    let made = state.clone();
    tree.child("sweep", move || sweep(made.clone()));
    let made = state.clone();
    tree.child("ready", move || listen_ready(made.clone(), ready.clone()));
    let made = state.clone();
    tree.child("callers", move || {
        listen_callers(made.clone(), callers.clone())
    });
    tokio::select! {
        () = stop => {}
        _ = fatal.recv() => return Err("a task can't be kept up".to_owned()),
    }
    log::info!(requests = state.in_flight(); "stopping");
    state.begin_stop();
    let begun = Instant::now();
    let grace = state.router().bounds().grace;
    let drained = async {
        sleep(DRAIN_LEAST).await;
        idle(&state).await;
        state.listener_close().notify_one();
        sleep(LAST_HEADS).await;
        idle(&state).await;
    };
    let drained = timeout_at(begun + grace.saturating_sub(GRACE_MARGIN), drained).await;
    log::info!(drained = drained.is_ok(), requests = state.in_flight(); "stopped");
    log::logger().flush();
    Ok(())
}

/// Waits until no request is being answered.
async fn idle(state: &State) {
    while state.in_flight() > 0 {
        sleep(DRAIN_LOOK).await;
    }
}

async fn bind(address: SocketAddr) -> io::Result<Arc<TcpListener>> {
    TcpListener::bind(address).await.map(Arc::new)
}

async fn sweep(state: State) {
    loop {
        sleep(SWEEP_PAUSE).await;
        state.pool().sweep();
        state.stall_reports().sweep();
    }
}
