//! The start of an instance: its addresses are its own before it does anything else.

use {
    crate::{
        front::{internal::Connections, reload::SettingsSource},
        process::Failure,
        startup::{PREDECESSOR_MARGIN, Wait, startup_bind},
    },
    bytes::Bytes,
    camphorweir_relay::settings::Settings,
    http_body_util::Full,
    hyper::{
        Response, StatusCode,
        header::{CONNECTION, HeaderValue},
    },
    std::{convert::Infallible, time::Duration},
    tokio::{net::TcpListener, task::JoinSet, time::sleep},
};

/// Most connections of readiness checks meanwhile.
const MAX_CHECKS: usize = 32;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The listeners of an instance that has no predecessor any more.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the readiness check.
    pub ready: TcpListener,
    /// The settings that name both addresses; the file may have changed during the wait.
    pub settings: Settings,
}

impl Listeners {
    /// Binds both addresses. A predecessor closes its callers' listener before its end and holds the
    /// readiness address until then, so that address comes first. The settings are read again before each
    /// attempt.
    ///
    /// # Errors
    ///
    /// [`Failure`] when an address can't be bound, or not within the time in which a predecessor shuts down.
    pub async fn bind(
        mut settings: Settings,
        settings_source: &SettingsSource,
    ) -> Result<Self, Failure> {
        let grace = settings.bounds.stop_grace;
        let limit = grace.saturating_add(PREDECESSOR_MARGIN);
        let wait = Wait::new(limit, settings_source.reload_requested());
        loop {
            let bind_ready = || {
                reload(&mut settings, settings_source);
                startup_bind(settings.ready_address)
            };
            let ready = wait.attempt("readiness address", bind_ready).await?;
            let ready_address = settings.ready_address;
            let bind_callers = || {
                reload(&mut settings, settings_source);
                let has_moved = settings.ready_address != ready_address;
                let address = settings.callers_address;
                async move {
                    match has_moved {
                        true => Ok(None),
                        false => startup_bind(address).await.map(Some),
                    }
                }
            };
            let callers = tokio::select! {
                callers = wait.attempt("callers' address", bind_callers) => callers?,
                never = answer_not_ready(&ready) => match never {},
            };
            if let Some(callers) = callers {
                return Ok(Self {
                    callers,
                    ready,
                    settings,
                });
            }
        }
    }
}

/// Takes changed settings over; a file that can't be used changes nothing.
fn reload(settings: &mut Settings, settings_source: &SettingsSource) {
    let loaded = settings_source.load().ok();
    if let Some(changed) = loaded.filter(|loaded| loaded != settings) {
        log::info!(
            callers:% = changed.callers_address,
            ready:% = changed.ready_address;
            "settings changed during the start"
        );
        *settings = changed;
    }
}

/// Answers readiness checks while the instance waits for callers' address; never returns. Its connections end
/// with it.
async fn answer_not_ready(listener: &TcpListener) -> Infallible {
    let (mut tasks, connections) = (JoinSet::new(), Connections::new(MAX_CHECKS));
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let connections = connections.clone();
                    tasks.spawn(async move {
                        connections.serve(stream, async |_| not_ready()).await;
                    });
                }
                Err(error) => {
                    log::warn!(reason:% = error; "could not accept a connection");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

fn not_ready() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}
