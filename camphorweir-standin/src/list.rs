//! The platform's instance list.

use {
    crate::server::{self, Answer, Error, Links, Net, Role, json, lock, parse, status},
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

/// Most lists kept to answer with a lag.
const MAX_HISTORY: usize = 1000;

/// A running instance list.
pub type Handle = server::Handle<History>;

/// Settings of an instance list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub address: SocketAddr,
    /// How old its answers are, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// The list at the start.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// Faults of an instance list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Faults of the network; they don't apply to `PUT`.
    pub net: Net,
    /// How old its answers are in place of the setting, in milliseconds.
    pub lag_ms: Option<u64>,
}

/// The lists of an instance list over time.
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
        Arc::new(Links::default()),
        Arc::new(history),
    )
    .await
}

impl Handle {
    /// Sets the list.
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

    /// The newest list that is as old as the lag, else the oldest.
    fn seen(&self) -> Vec<Instance> {
        let lag = lock(&self.faults).lag_ms.map(Duration::from_millis);
        let lag = lag.unwrap_or(self.lag);
        let lists = lock(&self.lists);
        let old = lists.iter().rev().find(|(set, _)| set.elapsed() >= lag);
        let list = old.or(lists.front());
        list.map(|(_, list)| list.clone()).unwrap_or(Vec::new())
    }
}

impl Role for History {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn net(faults: &Faults) -> &Net {
        &faults.net
    }

    fn report(&self, _name: &str) -> Option<Value> {
        None
    }

    fn exempt(request: &Request<Incoming>) -> bool {
        request.method() == Method::PUT
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, _from: Option<String>) -> Answer {
        if request.uri().path() != "/instances" {
            return Some(status(StatusCode::NOT_FOUND));
        }
        match *request.method() {
            Method::GET => Some(json(&self.seen())),
            Method::PUT => match parse(request).await {
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
