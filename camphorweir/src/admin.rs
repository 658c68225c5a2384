//! Queries the entries on their administration listeners.

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

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The operator's settings file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Settings {
    /// The platform's instance list.
    instances: Option<String>,
    /// Port of the administration listener, the same at every entry.
    admin_port: Option<u16>,
    /// File with the read key; a relative path is resolved against the settings file's directory.
    key: Option<PathBuf>,
}

/// An entry that gave no usable answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Missing {
    /// Address of the administration listener.
    pub(crate) address: SocketAddr,
    /// Name of the entry from the platform's instance list, or empty.
    pub(crate) entry: String,
    /// Number of the result code.
    pub(crate) code: u16,
    /// Human-readable cause.
    pub(crate) text: String,
}

/// The answers of the queried entries.
pub(crate) struct Answers<T> {
    pub(crate) answers: Vec<T>,
    pub(crate) missing: Vec<Missing>,
}

impl<T> Answers<T> {
    /// The exit of a command that needs an answer from every entry.
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

/// Fetches the JSON at `path` from all entries concurrently.
///
/// # Errors
///
/// A report when the entries or the read key can't be determined.
pub(crate) async fn query_all<T>(options: &Ask, path: &str) -> Result<Answers<T>, Report>
where
    T: DeserializeOwned + Send + 'static,
{
    let settings = load_settings(options)?;
    let key = load_key(options, &settings)?;
    let pool: Pool = Client::builder(TokioExecutor::new()).build_http();
    let entries = entries(options, &settings, &pool).await?;
    let mut pending = Vec::new();
    for (entry, address) in entries {
        let (pool, key, request_timeout) = (pool.clone(), key.clone(), options.timeout);
        let url = format!("http://{address}{path}");
        let answer =
            tokio::spawn(async move { get_json::<T>(&pool, &url, &key, request_timeout).await });
        pending.push((entry, address, answer));
    }
    let mut all = Answers {
        answers: Vec::new(),
        missing: Vec::new(),
    };
    for (entry, address, answer) in pending {
        let result = answer.await;
        let result = result.unwrap_or_else(|error| Err((Code::Internal, error.to_string())));
        match result {
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

fn load_settings(options: &Ask) -> Result<Settings, Report> {
    let Some(path) = &options.operator else {
        return Ok(Settings::default());
    };
    let text = read_file(path, options.json)?;
    let mut settings: Settings = serde_saphyr::from_str(&text).map_err(|error| {
        let text = format!("{}: {error}", path.display());
        Report::failure(Exit::Faulty, options.json, "faulty", text)
    })?;
    let directory = path.parent().unwrap_or(Path::new("."));
    settings.key = settings.key.map(|key| directory.join(key));
    Ok(settings)
}

fn load_key(options: &Ask, settings: &Settings) -> Result<String, Report> {
    let Some(path) = options.key.as_ref().or(settings.key.as_ref()) else {
        let text = "no read key given: use --key FILE, or `key` in the --operator file";
        return Err(Report::usage(options.json, &text));
    };
    Ok(read_file(path, options.json)?.trim().to_owned())
}

fn read_file(path: &Path, json: bool) -> Result<String, Report> {
    fs::read_to_string(path).map_err(|error| {
        let text = format!("{}: {error}", path.display());
        Report::failure(Exit::Unreadable, json, "unreadable", text)
    })
}

/// Names and administration addresses of the entries to query; an address given with `--entry` has
/// an empty name.
async fn entries(
    options: &Ask,
    settings: &Settings,
    pool: &Pool,
) -> Result<Vec<(String, SocketAddr)>, Report> {
    if !options.entry.is_empty() {
        let given = options
            .entry
            .iter()
            .map(|address| (String::new(), *address));
        return Ok(given.collect());
    }
    let url = options.instances.as_ref().or(settings.instances.as_ref());
    let port = options.admin_port.or(settings.admin_port);
    let (Some(url), Some(port)) = (url, port) else {
        let text = "no entries given: use --entry IP:PORT, or --instances URL and --admin-port \
            PORT, or set both in the --operator file";
        return Err(Report::usage(options.json, &text));
    };
    let listed = get_json::<Vec<Instance>>(pool, url, "", options.timeout).await;
    let listed = listed.map_err(|(_, text)| {
        let text = format!("the instance list at {url}: {text}");
        Report::failure(Exit::Unreachable, options.json, "unreachable", text)
    })?;
    let entries = listed
        .into_iter()
        .filter(|instance| instance.role == Role::Entry);
    let admin_address = |instance: Instance| {
        let peer_address: SocketAddr = instance.address.parse().ok()?;
        Some((instance.name, SocketAddr::new(peer_address.ip(), port)))
    };
    Ok(entries.filter_map(admin_address).collect())
}

/// Fetches JSON; an empty key is not sent.
async fn get_json<T: DeserializeOwned>(
    pool: &Pool,
    url: &str,
    key: &str,
    request_timeout: Duration,
) -> Result<T, (Code, String)> {
    let timed_out = (
        Code::EntryUnreachable,
        format!("no answer within {request_timeout:?}"),
    );
    let bytes = timeout(request_timeout, send(pool, url, key)).await;
    let bytes = bytes.map_err(|_| timed_out)??;
    serde_json::from_slice(&bytes).map_err(|error| {
        (
            Code::EntryUnreachable,
            format!("unexpected response body: {error}"),
        )
    })
}

async fn send(pool: &Pool, url: &str, key: &str) -> Result<Bytes, (Code, String)> {
    let unreachable = |text: String| (Code::EntryUnreachable, text);
    let mut request = Request::get(url);
    if !key.is_empty() {
        request = request.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request
        .body(Full::default())
        .map_err(|error| unreachable(error.to_string()))?;
    let answer = pool.request(request).await;
    let (head, body) = answer
        .map_err(|error| unreachable(with_causes(&error)))?
        .into_parts();
    match head.status {
        status if status.is_success() => {}
        StatusCode::UNAUTHORIZED => {
            return Err((
                Code::Unauthorized,
                "the entry does not know this key".to_owned(),
            ));
        }
        StatusCode::FORBIDDEN => {
            return Err((
                Code::Forbidden,
                "this key does not permit reading".to_owned(),
            ));
        }
        status => return Err(unreachable(format!("unexpected HTTP status {status}"))),
    }
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|error| unreachable(error.to_string()))?;
    Ok(body.to_bytes())
}

/// An error with its causes, which the library's own message omits.
fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    text
}
