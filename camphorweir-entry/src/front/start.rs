//! The start of an instance: its addresses are its own before it does anything else.

use {
    crate::{
        front::{listen::serve_internal, reload::SettingsSource},
        process::Failure,
        startup::{PREDECESSOR_MARGIN, Wait},
    },
    bytes::Bytes,
    camphorweir_relay::settings::Settings,
    http_body_util::Full,
    hyper::{
        Response, StatusCode,
        header::{CONNECTION, HeaderValue},
    },
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinSet, time::sleep},
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The listeners of an instance that has no predecessor any more.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: Arc<TcpListener>,
    /// For the readiness check.
    pub ready: Arc<TcpListener>,
}

impl Listeners {
    /// Binds both addresses. A predecessor closes its callers' listener before its end and holds the
    /// readiness' address until then, so that address comes first.
    ///
    /// # Errors
    ///
    /// [`Failure`] when an address can't be bound, or not within the time in which a predecessor shuts down.
    pub async fn bind(
        settings: &Settings,
        settings_source: &SettingsSource,
    ) -> Result<Self, Failure> {
        let limit = settings.bounds.stop_grace + PREDECESSOR_MARGIN;
        let wait = Wait::new(limit, settings_source.reload_requested());
        let ready = wait
            .bind("readiness' address", settings.ready_address)
            .await?;
        let callers = tokio::select! {
            callers = wait.bind("callers' address", settings.callers_address) => callers?,
            () = answer_not_ready(&ready) => unreachable!("it answers until the other branch ends"),
        };
        Ok(Self { callers, ready })
    }
}

/// Answers readiness checks while the instance waits for callers' address; never returns. Its connections end
/// with it.
async fn answer_not_ready(listener: &TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_internal(stream, async |_| not_ready()));
                }
                Err(error) => {
                    log::warn!(reason:% = error; "could not accept a connection");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
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
