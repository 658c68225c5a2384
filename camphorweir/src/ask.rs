//! Asks the entries on their administration listeners.

use {
    crate::{args::Ask, exit::Exit, report::Report},
    bytes::Bytes,
    camphorweir_wire::{
        code::Code,
        list::{Instance, Role},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode, header::AUTHORIZATION},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Longest answer in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// An operator's settings file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Operator {
    /// The platform's instance list.
    instances: Option<String>,
    /// Port of the administration listener at every entry.
    admin_port: Option<u16>,
    /// File with the key for reading; a relative path starts at the settings file.
    key: Option<PathBuf>,
}

/// An entry that gave no answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Missing {
    /// Where it was asked.
    pub(crate) address: SocketAddr,
    /// Its name, where the platform's list gave it.
    pub(crate) entry: String,
    /// The numbered result.
    pub(crate) code: u16,
    /// What happened, for a person.
    pub(crate) text: String,
}

/// What the entries said.
pub(crate) struct Answers<T> {
    pub(crate) answers: Vec<T>,
    pub(crate) missing: Vec<Missing>,
}

impl<T> Answers<T> {
    /// How a command ends that needs every entry.
    pub(crate) fn exit(&self) -> Exit {
        let refused = [Code::Unauthorized.number(), Code::Forbidden.number()];
        if self
            .missing
            .iter()
            .any(|missing| refused.contains(&missing.code))
        {
            return Exit::Forbidden;
        }
        match self.missing.is_empty() {
            true => Exit::Done,
            false => Exit::Unreachable,
        }
    }
}

impl std::fmt::Display for Missing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = match self.entry.is_empty() {
            true => self.address.to_string(),
            false => format!("{} ({})", self.entry, self.address),
        };
        write!(f, "{name}: {} {}", self.code, self.text)
    }
}

type Pool = Client<HttpConnector, Full<Bytes>>;

/// Asks every entry for the JSON at `path`, all at once.
///
/// # Errors
///
/// A report when it is not known whom to ask, or with which key.
pub(crate) async fn all<T>(options: &Ask, path: &str) -> Result<Answers<T>, Report>
where
    T: DeserializeOwned + Send + 'static,
{
    let operator = settings(options)?;
    let key = key(options, &operator)?;
    let pool: Pool = Client::builder(TokioExecutor::new()).build_http();
    let entries = entries(options, &operator, &pool).await?;
    let mut asked = Vec::new();
    for (entry, address) in entries {
        let (pool, key, time) = (pool.clone(), key.clone(), options.timeout);
        let url = format!("http://{address}{path}");
        let answer = tokio::spawn(async move { get::<T>(&pool, &url, &key, time).await });
        asked.push((entry, address, answer));
    }
    let mut all = Answers {
        answers: Vec::new(),
        missing: Vec::new(),
    };
    for (entry, address, answer) in asked {
        let ended = answer.await;
        let ended = ended.unwrap_or_else(|error| Err((Code::Internal, error.to_string())));
        match ended {
            Ok(answer) => all.answers.push(answer),
            Err((code, text)) => all.missing.push(Missing {
                address,
                entry,
                code: code.number(),
                text: format!("{}: {text}", code.name()),
            }),
        }
    }
    Ok(all)
}

fn settings(options: &Ask) -> Result<Operator, Report> {
    let Some(path) = &options.operator else {
        return Ok(Operator::default());
    };
    let text = read(path, options.json)?;
    let mut operator: Operator = serde_saphyr::from_str(&text).map_err(|error| {
        let text = format!("{}: {error}", path.display());
        Report::failure(Exit::Faulty, options.json, "faulty", text)
    })?;
    let folder = path.parent().unwrap_or(Path::new("."));
    operator.key = operator.key.map(|key| folder.join(key));
    Ok(operator)
}

fn key(options: &Ask, operator: &Operator) -> Result<String, Report> {
    let Some(path) = options.key.as_ref().or(operator.key.as_ref()) else {
        let text = "say where the key for reading is: --key FILE, or `key` in the --operator file";
        return Err(Report::usage(options.json, &text));
    };
    Ok(read(path, options.json)?.trim().to_owned())
}

fn read(path: &Path, json: bool) -> Result<String, Report> {
    fs::read_to_string(path).map_err(|error| {
        let text = format!("{}: {error}", path.display());
        Report::failure(Exit::Unreadable, json, "unreadable", text)
    })
}

/// The names and administration addresses of the entries to ask.
async fn entries(
    options: &Ask,
    operator: &Operator,
    pool: &Pool,
) -> Result<Vec<(String, SocketAddr)>, Report> {
    if !options.entry.is_empty() {
        let named = options
            .entry
            .iter()
            .map(|address| (String::new(), *address));
        return Ok(named.collect());
    }
    let url = options.instances.as_ref().or(operator.instances.as_ref());
    let port = options.admin_port.or(operator.admin_port);
    let (Some(url), Some(port)) = (url, port) else {
        let text = "say whom to ask: --entry IP:PORT, or --instances URL and --admin-port PORT, or \
            both in the --operator file";
        return Err(Report::usage(options.json, &text));
    };
    let listed = get::<Vec<Instance>>(pool, url, "", options.timeout).await;
    let listed = listed.map_err(|(_, text)| {
        let text = format!("the instance list at {url}: {text}");
        Report::failure(Exit::Unreachable, options.json, "unreachable", text)
    })?;
    let entries = listed
        .into_iter()
        .filter(|instance| instance.role == Role::Entry);
    let admin = |instance: Instance| {
        let peers: SocketAddr = instance.address.parse().ok()?;
        Some((instance.name, SocketAddr::new(peers.ip(), port)))
    };
    Ok(entries.filter_map(admin).collect())
}

/// Gets JSON; an empty key is not sent.
async fn get<T: DeserializeOwned>(
    pool: &Pool,
    url: &str,
    key: &str,
    time: Duration,
) -> Result<T, (Code, String)> {
    let late = (Code::EntryUnreachable, format!("no answer within {time:?}"));
    let bytes = timeout(time, exchange(pool, url, key)).await;
    let bytes = bytes.map_err(|_| late)??;
    serde_json::from_slice(&bytes).map_err(|error| {
        (
            Code::EntryUnreachable,
            format!("not the answer expected: {error}"),
        )
    })
}

async fn exchange(pool: &Pool, url: &str, key: &str) -> Result<Bytes, (Code, String)> {
    let broken = |text: String| (Code::EntryUnreachable, text);
    let mut request = Request::get(url);
    if !key.is_empty() {
        request = request.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request
        .body(Full::default())
        .map_err(|error| broken(error.to_string()))?;
    let answer = pool.request(request).await;
    let (head, body) = answer.map_err(|error| broken(chain(&error)))?.into_parts();
    match head.status {
        status if status.is_success() => {}
        StatusCode::UNAUTHORIZED => {
            return Err((Code::Unauthorized, "the key is not known there".to_owned()));
        }
        StatusCode::FORBIDDEN => {
            return Err((Code::Forbidden, "the key is not one for reading".to_owned()));
        }
        status => return Err(broken(format!("it answered {status}"))),
    }
    let body = Limited::new(body, MAX_ANSWER).collect().await;
    let body = body.map_err(|error| broken(error.to_string()))?;
    Ok(body.to_bytes())
}

/// An error with its causes, since the library's own words leave them out.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    text
}
