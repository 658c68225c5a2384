//! Starts the tasks of the front and shuts them down.

use {
    crate::{
        front::{
            follow::{follow_run, follow_serve},
            gossip::gossip_run,
            idle::LAST_REQUESTS_WAIT,
            listen::{listen_callers, listen_ready},
            metrics::{Metrics, metrics_run},
            placement::placement_run,
            ports::ports_run,
            probe::probe_run,
            reload::{SettingsSource, reload_run},
            start::Listeners,
            state::State,
            watch::{watch_configuration, watch_lapses, watch_targets},
        },
        process::Failure,
        supervise::Supervisor,
    },
    camphorweir_relay::settings::Settings,
    camphorweir_wire::code::Code,
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout_at},
};

/// Pause between checks whether all requests have ended.
const DRAIN_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// New requests may still arrive for this long after the shutdown began: two checks of the load
/// balancer, a second apart, and the network delay.
const MIN_DRAIN: Duration = Duration::from_millis(2600);
/// The listener closes at the latest this long before the end, so that what arrives last is answered.
const LAST_CLOSE: Duration = Duration::from_millis(500);
/// Pause between removals of connections that were idle for too long.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// Runs the instance until `stop` completes, and then until the requests in flight have ended, their
/// answers are written and callers' connections are closed.
/// Metrics are served on `metrics_port` if given; `settings_source` loads changed settings.
///
/// # Errors
///
/// [`Failure`] when an address can't be bound or a task that callers need keeps failing; in the second
/// case requests in flight have ended in the same way.
pub async fn run(
    settings: Settings,
    settings_source: SettingsSource,
    metrics_port: Option<u16>,
    stop: impl Future<Output = ()>,
) -> Result<(), Failure> {
    log::info!(
        instance = settings.instance,
        zone:% = settings.zone,
        callers:% = settings.callers_address,
        store:% = settings.store_address;
        "instance starting"
    );
    tokio::pin!(stop);
    let listeners = tokio::select! {
        biased;
        () = &mut stop => {
            log::info!("stopped before the start was complete");
            return Ok(());
        }
        listeners = Listeners::bind(settings, &settings_source) => listeners,
    };
    let Listeners {
        callers,
        ready,
        settings,
    } = listeners?;
    let (callers, ready) = (Arc::new(callers), Arc::new(ready));
    let own_ip = settings.callers_address.ip();
    let metrics_address = metrics_port.map(|port| SocketAddr::new(own_ip, port));
    // The time since the start counts from here, as the instance does nothing before.
    let state = State::new(settings, Metrics::new().map_err(internal)?);
    let (supervisor, mut fatal) = Supervisor::new();
    let supervisor = supervisor.with_counter(state.metrics().task_failures());
    let shared = state.clone();
    supervisor.spawn_optional("ports", move || ports_run(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("gossip", move || gossip_run(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("followers", move || follow_serve(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("follow", move || follow_run(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("configuration", move || watch_configuration(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("targets", move || watch_targets(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("lapses", move || watch_lapses(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("duty", move || placement_run(shared.clone()));
    let shared = state.clone();
    supervisor.spawn_optional("ask", move || probe_run(shared.clone()));
    if let Some(address) = metrics_address {
        let shared = state.clone();
        supervisor.spawn_optional("metrics", move || metrics_run(shared.clone(), address));
    }
    let shared = state.clone();
    supervisor.spawn_optional("settings", move || {
        reload_run(shared.clone(), settings_source.clone())
    });
    let shared = state.clone();
    supervisor.spawn_optional("sweep", move || sweep(shared.clone()));
    let shared = state.clone();
    supervisor.spawn("ready", move || listen_ready(shared.clone(), ready.clone()));
    let shared = state.clone();
    supervisor.spawn("callers", move || {
        listen_callers(shared.clone(), callers.clone())
    });
    let result = supervisor.wait_for(&mut fatal, stop).await;
    log::info!(requests = state.requests().count(); "shutting down; waiting for requests in flight");
    state.begin_stop();
    let left = state.stop().map(|stop| stop.ends_at - stop.since);
    let ends_at = Instant::now() + left.unwrap_or_default();
    let quiet = async {
        sleep(MIN_DRAIN).await;
        wait_until_idle(&state).await;
    };
    let _ = timeout_at(ends_at - LAST_CLOSE, quiet).await;
    let closed = async {
        state.listener_close().notify_one();
        sleep(LAST_REQUESTS_WAIT).await;
        state.connections().begin_close();
        while state.requests().count() > 0 || state.connections().count() > 0 {
            sleep(DRAIN_CHECK_PAUSE).await;
        }
    };
    let drained = timeout_at(ends_at, closed).await;
    log::info!(drained = drained.is_ok(), requests = state.requests().count(); "shutdown complete");
    state.requests().report_cut(&state);
    state.connections().report_cut(state.metrics());
    result
}

/// Waits until no request is in flight.
async fn wait_until_idle(state: &State) {
    while state.requests().count() > 0 {
        sleep(DRAIN_CHECK_PAUSE).await;
    }
}

fn internal(error: impl ToString) -> Failure {
    Failure {
        code: Code::Internal,
        what: error.to_string(),
    }
}

async fn sweep(state: State) {
    loop {
        sleep(SWEEP_PAUSE).await;
        state.pool().sweep();
        state.stall_reports().sweep();
        state.update_memory_limit();
    }
}
