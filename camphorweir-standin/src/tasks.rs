//! Background tasks of an engine: running batches, sending reports, loading layers.

use {
    crate::{engine::Engine, server::lock},
    bytes::Bytes,
    camphorweir_wire::engine::Assignment,
    http_body_util::{BodyExt, Empty},
    hyper::{StatusCode, header::RETRY_AFTER},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{task, time::sleep},
};

/// Delay before a failed load is retried when the response has no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs queued steps in batches, one batch at a time.
pub(crate) async fn run_batches(engine: Arc<Engine>) {
    loop {
        engine.wait_while_frozen().await;
        let (batch, time) = lock(&engine.state).take_batch(&engine.settings);
        if batch.is_empty() {
            engine.step_ready.notified().await;
            continue;
        }
        if time.is_zero() {
            task::yield_now().await;
        } else {
            sleep(time).await;
        }
        engine.wait_while_frozen().await;
        engine.run_batch(batch);
        engine.notify();
    }
}

/// Sends load and cache reports at the report interval and ends idle attempts.
pub(crate) async fn send_reports(engine: Arc<Engine>) {
    let settings = &engine.settings;
    let min_age = Duration::from_millis(settings.report_age_ms);
    let max_idle = Duration::from_millis(settings.idle_ms);
    loop {
        sleep(Duration::from_millis(settings.report_ms.max(1))).await;
        engine.wait_while_frozen().await;
        let mut state = lock(&engine.state);
        state.report_load(min_age);
        state.report_cached(settings.cached_gap);
        state.end_idle(max_idle);
        drop(state);
        engine.notify();
    }
}

/// Loads the layers that were ordered, one order at a time.
pub(crate) async fn load_layers(engine: Arc<Engine>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        let order = lock(&engine.state).take_pending_load();
        let Some(hold) = order else {
            engine.load_ready.notified().await;
            continue;
        };
        if let Some(store) = engine.settings.weights {
            load_with_retries(&client, store, &hold).await;
        }
        engine.wait_while_frozen().await;
        lock(&engine.state).finish_load(&hold, &engine.settings);
    }
}

async fn load_with_retries(
    client: &Client<HttpConnector, Empty<Bytes>>,
    store: SocketAddr,
    hold: &Assignment,
) {
    let Assignment { model, layers, .. } = hold;
    let path = format!(
        "http://{store}/weights/{model}/{}-{}",
        layers.first, layers.end
    );
    let Ok(uri) = path.parse::<hyper::Uri>() else {
        return;
    };
    loop {
        match request_layers(client, uri.clone()).await {
            Ok(()) => return,
            Err(delay) => sleep(delay).await,
        }
    }
}

/// Requests the layers once; an error is the delay before a retry.
async fn request_layers(
    client: &Client<HttpConnector, Empty<Bytes>>,
    uri: hyper::Uri,
) -> Result<(), Duration> {
    let answer = client.get(uri).await.map_err(|_| DEFAULT_RETRY_DELAY)?;
    if answer.status() != StatusCode::OK {
        let retry_after = answer.headers().get(RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        return Err(seconds.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs));
    }
    let body = answer.into_body().collect().await;
    body.map(|_| ()).map_err(|_| DEFAULT_RETRY_DELAY)
}
