//! Stand-in for the weight store.

use {
    crate::{
        rate_limit::Bucket,
        server::{self, Answer, Connections, Error, NetworkFaults, Role, json, lock, status},
    },
    hyper::{
        Method, Request, StatusCode, body::Incoming, header::HeaderValue, header::RETRY_AFTER,
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// A running weight store.
pub type Handle = server::Handle<Store>;

/// Settings of a weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Limit on loads started in a second; 0 for no limit.
    #[serde(default)]
    pub loads_per_second: f64,
    /// Time to load one layer, in milliseconds.
    #[serde(default)]
    pub layer_ms: u64,
}

/// Faults of a weight store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Network faults.
    pub net: NetworkFaults,
}

/// Counters of a weight store.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Loads started.
    pub loads: u64,
    /// Loads refused by the rate limit.
    pub refused: u64,
}

/// A weight store.
#[derive(Debug)]
pub struct Store {
    time_per_layer: Duration,
    bucket: Mutex<Bucket>,
    stats: Mutex<Stats>,
    faults: Mutex<Faults>,
}

/// Starts a weight store.
///
/// # Errors
///
/// [`Error`] when the address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    let store = Store {
        time_per_layer: Duration::from_millis(settings.layer_ms),
        bucket: Mutex::new(Bucket::new(settings.loads_per_second)),
        stats: Mutex::default(),
        faults: Mutex::default(),
    };
    server::start(
        settings.address,
        Arc::new(Connections::default()),
        Arc::new(store),
    )
    .await
}

impl Handle {
    /// Counters of the weight store.
    pub fn stats(&self) -> Stats {
        lock(&self.role.stats).clone()
    }
}

/// Number of layers in a path `/weights/MODEL/FIRST-END`.
fn layer_count(path: &str) -> Option<u32> {
    let (_, range) = path.strip_prefix("/weights/")?.split_once('/')?;
    let (first, end) = range.split_once('-')?;
    let layers = end.parse::<u32>().ok()?.checked_sub(first.parse().ok()?)?;
    (layers > 0).then_some(layers)
}

impl Role for Store {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn network_faults(faults: &Faults) -> &NetworkFaults {
        &faults.net
    }

    fn resource(&self, name: &str) -> Option<Value> {
        (name == "stats").then(|| json!(*lock(&self.stats)))
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        _client: Option<String>,
    ) -> Answer {
        let Some(layers) = layer_count(request.uri().path()) else {
            return Some(status(StatusCode::NOT_FOUND));
        };
        if request.method() != Method::GET {
            return Some(status(StatusCode::METHOD_NOT_ALLOWED));
        }
        if !lock(&self.bucket).try_take() {
            lock(&self.stats).refused += 1;
            let mut answer = status(StatusCode::TOO_MANY_REQUESTS);
            let retry_after = HeaderValue::from_static("1");
            answer.headers_mut().insert(RETRY_AFTER, retry_after);
            return Some(answer);
        }
        lock(&self.stats).loads += 1;
        sleep(self.time_per_layer * layers).await;
        Some(json(&json!({ "layers": layers })))
    }

    async fn drain(self: Arc<Self>) {}
}
