//! Stand-in for the platform's instance list.

use {
    crate::server::{
        self, Answer, Connections, Error, NetworkFaults, Role, json, lock, read_json, status,
    },
    camphorweir_wire::list::Instance,
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Maximum number of past lists, kept to answer with a lag.
const MAX_HISTORY: usize = 1000;

/// A running instance list.
pub type Handle = server::Handle<History>;

/// Settings of an instance list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Age of the list in responses, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// The list at start.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// Faults of an instance list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Network faults; they don't apply to `PUT`.
    pub net: NetworkFaults,
    /// Age of the list in responses, in milliseconds, in place of the setting.
    pub lag_ms: Option<u64>,
}

/// The current and past lists.
#[derive(Debug)]
pub struct History {
    lag: Duration,
    lists: Mutex<VecDeque<(Instant, Vec<Instance>)>>,
    faults: Mutex<Faults>,
}

/// Starts an instance list.
///
/// # Errors
///
/// [`Error`] when the address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    let history = History {
        lag: Duration::from_millis(settings.lag_ms),
        lists: Mutex::new([(Instant::now(), settings.instances)].into()),
        faults: Mutex::default(),
    };
    server::start(
        settings.address,
        Arc::new(Connections::default()),
        Arc::new(history),
    )
    .await
}

impl Handle {
    /// Replaces the list.
    pub fn set(&self, instances: Vec<Instance>) {
        self.role.set(instances);
    }
}

impl History {
    fn set(&self, instances: Vec<Instance>) {
        let mut lists = lock(&self.lists);
        lists.push_back((Instant::now(), instances));
        if lists.len() > MAX_HISTORY {
            lists.pop_front();
        }
    }

    /// The newest list at least as old as the lag, else the oldest list.
    fn lagged(&self) -> Vec<Instance> {
        let lag = lock(&self.faults).lag_ms.map(Duration::from_millis);
        let lag = lag.unwrap_or(self.lag);
        let lists = lock(&self.lists);
        let matching = lists
            .iter()
            .rev()
            .find(|(set_at, _)| set_at.elapsed() >= lag);
        let list = matching.or(lists.front());
        list.map(|(_, list)| list.clone()).unwrap_or(Vec::new())
    }
}

impl Role for History {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn network_faults(faults: &Faults) -> &NetworkFaults {
        &faults.net
    }

    fn resource(&self, _name: &str) -> Option<Value> {
        None
    }

    fn is_exempt(request: &Request<Incoming>) -> bool {
        request.method() == Method::PUT
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        _client: Option<String>,
    ) -> Answer {
        if request.uri().path() != "/instances" {
            return Some(status(StatusCode::NOT_FOUND));
        }
        match *request.method() {
            Method::GET => Some(json(&self.lagged())),
            Method::PUT => match read_json(request).await {
                Some(instances) => {
                    self.set(instances);
                    Some(status(StatusCode::NO_CONTENT))
                }
                None => Some(status(StatusCode::BAD_REQUEST)),
            },
            _ => Some(status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn drain(self: Arc<Self>) {}
}
