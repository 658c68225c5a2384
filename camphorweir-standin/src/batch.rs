//! The tasks of an engine: batches, reports, loads.

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

/// Pause before a load is tried again, where the store doesn't say how long.
const RETRY: Duration = Duration::from_millis(200);

/// Runs batch after batch.
pub(crate) async fn run(engine: Arc<Engine>) {
    loop {
        engine.thawed().await;
        let (batch, time) = lock(&engine.state).batch(&engine.settings);
        if batch.is_empty() {
            engine.work.notified().await;
            continue;
        }
        if time.is_zero() {
            task::yield_now().await;
        } else {
            sleep(time).await;
        }
        engine.thawed().await;
        engine.finish(batch);
        engine.notify();
    }
}

/// Reports load and cache, and ends idle attempts.
pub(crate) async fn report(engine: Arc<Engine>) {
    let settings = &engine.settings;
    let age = Duration::from_millis(settings.report_age_ms);
    let idle = Duration::from_millis(settings.idle_ms);
    loop {
        sleep(Duration::from_millis(settings.report_ms.max(1))).await;
        engine.thawed().await;
        let mut state = lock(&engine.state);
        state.report_load(age);
        state.report_cached(settings.cached_gap);
        state.sweep(idle);
        drop(state);
        engine.notify();
    }
}

/// Loads what orders want, one after the other.
pub(crate) async fn load(engine: Arc<Engine>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        let wanted = lock(&engine.state).next_load();
        let Some(hold) = wanted else {
            engine.load.notified().await;
            continue;
        };
        if let Some(store) = engine.settings.weights {
            fetch(&client, store, &hold).await;
        }
        engine.thawed().await;
        lock(&engine.state).loaded(&hold, &engine.settings);
    }
}

async fn fetch(client: &Client<HttpConnector, Empty<Bytes>>, store: SocketAddr, hold: &Assignment) {
    let Assignment { model, layers, .. } = hold;
    let path = format!(
        "http://{store}/weights/{model}/{}-{}",
        layers.first, layers.end
    );
    let Ok(uri) = path.parse::<hyper::Uri>() else {
        return;
    };
    loop {
        match get(client, uri.clone()).await {
            Ok(()) => return,
            Err(wait) => sleep(wait).await,
        }
    }
}

/// Loads once; fails with the time to wait.
async fn get(
    client: &Client<HttpConnector, Empty<Bytes>>,
    uri: hyper::Uri,
) -> Result<(), Duration> {
    let answer = client.get(uri).await.map_err(|_| RETRY)?;
    if answer.status() != StatusCode::OK {
        let wait = answer.headers().get(RETRY_AFTER);
        let seconds = wait.and_then(|wait| wait.to_str().ok()?.parse().ok());
        return Err(seconds.map_or(RETRY, Duration::from_secs));
    }
    let whole = answer.into_body().collect().await;
    whole.map(|_| ()).map_err(|_| RETRY)
}
