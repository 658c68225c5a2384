//! Stand-ins and an entry in one process: sends a few requests and prints each response.
//!
//! `cargo run --release --example quickstart` ends after the requests. With `-- --serve` everything
//! stays up until Ctrl-C, and example command lines for calls and operator commands are printed.

use {
    camphorweir::args::{Command, Publish},
    camphorweir_config::{model::Serves, print},
    camphorweir_entry::{process, settings},
    camphorweir_standin::{engine, fleet, list, log, service},
    http_body_util::{BodyExt, Full},
    hyper::{Request, body::Bytes},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde::Deserialize,
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        error::Error,
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        time::Duration,
    },
    uuid::Uuid,
};

type Failure = Box<dyn Error + Send + Sync>;

/// The requests to send, as a JSON array.
const REQUESTS: &str = include_str!("requests.json");
/// Name of the entry.
const ENTRY: &str = "entry-a1";
/// Ports for callers and for operators with `--serve`.
const SERVE_PORTS: [u16; 2] = [8080, 8082];
/// Timeout for the entry to reach its targets.
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Call {
    title: String,
    method: String,
    path: String,
    /// Label; requests with the same label are sent with the same `Idempotency-Key`.
    key: Option<String>,
    body: Option<Value>,
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let serve = std::env::args().any(|argument| argument == "--serve");
    let folder = std::env::temp_dir().join(format!("camphorweir-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let result = run(serve, &folder).await;
    fs::remove_dir_all(&folder)?;
    result
}

async fn run(serve: bool, folder: &Path) -> Result<(), Failure> {
    let log = log::spawn(log::Settings::new(any_port())).await?;
    let list = list::spawn(list::Settings {
        address: any_port(),
        lag_ms: 0,
        instances: Vec::new(),
    })
    .await?;
    let targets = Targets::start().await?;
    publish(&targets, log.address(), folder).await?;
    let entry = process::start(settings(serve, log.address(), list.address(), folder)?).await?;
    let addresses = entry.addresses();
    let entries = [(
        ENTRY.to_owned(),
        fleet::ZONES[0].to_owned(),
        addresses.peers,
    )];
    list.set(fleet::instances(
        &targets.members,
        &targets.addresses,
        &entries,
    ));
    let mut ready = entry.ready();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let running = tokio::spawn(entry.run(async {
        // Fails only if the sender is dropped, at the end of the process.
        let _ = stopped.await;
    }));
    ready.wait_for(|ready| *ready).await?;
    warm_up(addresses.callers).await?;
    let mut keys = HashMap::new();
    for call in serde_json::from_str::<Vec<Call>>(REQUESTS)? {
        print_response(addresses.callers, &call, &mut keys).await?;
    }
    if serve {
        print_calls(addresses.callers);
        let ledger = targets.addresses.get("ledger-a").copied();
        print_commands(&addresses, list.address(), log.address(), ledger, folder)?;
        tokio::signal::ctrl_c().await?;
    }
    // Fails only if the entry has already ended.
    let _ = stop.send(());
    running.await??;
    println!("stopped, nothing cut");
    Ok(())
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// The stand-ins of the targets; they stop when dropped.
struct Targets {
    members: Vec<fleet::Member>,
    addresses: BTreeMap<String, SocketAddr>,
    _engines: Vec<engine::Handle>,
    _services: Vec<service::Handle>,
}

impl Targets {
    async fn start() -> Result<Self, Failure> {
        let members = fleet::members();
        let mut addresses = BTreeMap::new();
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for member in &members {
            let address = match &member.serves {
                Serves::Layers(range) => {
                    let layers = fleet::layers(range);
                    let settings = engine::Settings::new(
                        any_port(),
                        &range.kind,
                        &range.model,
                        fleet::LAYERS,
                        layers,
                    );
                    engines.push(engine::spawn(settings).await?);
                    engines.last().map(engine::Handle::address)
                }
                Serves::Service(_) => {
                    let settings = service::Settings::new(any_port());
                    services.push(service::spawn(settings).await?);
                    services.last().map(service::Handle::address)
                }
            };
            addresses.extend(address.map(|address| (member.id.clone(), address)));
        }
        Ok(Self {
            members,
            addresses,
            _engines: engines,
            _services: services,
        })
    }
}

/// Publishes the configuration as an operator would.
async fn publish(targets: &Targets, log: SocketAddr, folder: &Path) -> Result<(), Failure> {
    let document = fleet::document(&targets.members, &targets.addresses);
    let file = folder.join("configuration.yaml");
    fs::write(&file, print::text(&document)?)?;
    let command = Command::Publish(Publish {
        json: false,
        log: format!("http://{log}"),
        author: "quickstart".to_owned(),
        base: None,
        timeout: Duration::from_secs(10),
        file,
    });
    let report = tokio::task::spawn_blocking(|| camphorweir::run(command)).await?;
    println!("publish: {}", report.text);
    Ok(())
}

/// Settings as in an entry's settings file.
fn settings(
    serve: bool,
    log: SocketAddr,
    list: SocketAddr,
    folder: &Path,
) -> Result<settings::Settings, Failure> {
    let key: PathBuf = folder.join("peers.key");
    fs::write(&key, "07".repeat(32))?;
    fs::write(folder.join("read.key"), "08".repeat(32))?;
    let [callers, admin] = if serve { SERVE_PORTS } else { [0, 0] };
    let zone = fleet::ZONES[0];
    let text = format!(
        "entry: {ENTRY}
zone: {zone}
listen:
  callers: 127.0.0.1:{callers}
  peers: 127.0.0.1:0
  admin: 127.0.0.1:{admin}
platform:
  log: http://{log}
  instances: http://{list}/instances
keys:
  peers: peers.key
  admin_read: read.key
balancer_grace: 50ms
"
    );
    settings::parse(&text, folder).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        faults.join("\n").into()
    })
}

/// Requests one token until the entry has reached its targets.
async fn warm_up(callers: SocketAddr) -> Result<(), Failure> {
    let body = r#"{"model": "burn-notes", "prompt": "?", "max_tokens": 1}"#;
    let start = tokio::time::Instant::now();
    while start.elapsed() < WARM_UP_TIMEOUT {
        let request = Request::post(format!("http://{callers}/v1/completions"));
        let (status, ..) = exchange(request, body.to_owned()).await?;
        if status == 200 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err("the entry did not reach its targets in time".into())
}

/// Status, `camphorweir-ran` header and body of a response.
type Response = (u16, String, String);

async fn exchange(
    request: hyper::http::request::Builder,
    body: String,
) -> Result<Response, Failure> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = request
        .header("authorization", format!("Bearer {}", fleet::KEY))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))?;
    let (head, body) = client.request(request).await?.into_parts();
    let ran = head
        .headers
        .get("camphorweir-ran")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("?")
        .to_owned();
    let body = body.collect().await?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok((head.status.as_u16(), ran, body))
}

async fn print_response(
    callers: SocketAddr,
    call: &Call,
    keys: &mut HashMap<String, Uuid>,
) -> Result<(), Failure> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{callers}{}", call.path));
    if let Some(label) = &call.key {
        let key = keys.entry(label.clone()).or_insert_with(Uuid::now_v7);
        request = request.header("idempotency-key", key.to_string());
    }
    let body = call.body.as_ref().map(Value::to_string);
    let (status, ran, body) = exchange(request, body.unwrap_or_default()).await?;
    println!("\n{}\n  {} {}", call.title, call.method, call.path);
    println!("  status {status}, ran: {ran}");
    for line in body.lines().filter(|line| !line.is_empty()) {
        println!("  {line}");
    }
    Ok(())
}

fn print_calls(callers: SocketAddr) {
    let key = fleet::KEY;
    let curl = format!("curl -i http://{callers}");
    let bearer = format!("-H 'Authorization: Bearer {key}'");
    println!("\nCalls to try, in another terminal:");
    println!(
        "  {curl}/v1/chat/completions {bearer} -d '{{\"model\": \"burn-notes\", \"messages\": [{{\"role\": \"user\", \"content\": \"Kiln 4\"}}], \"max_tokens\": 20, \"stream\": true}}'"
    );
    println!("  {curl}/services/status/batches/17 {bearer}");
    println!(
        "  {curl}/services/seal/batches/17/seal {bearer} -H 'Idempotency-Key: {}' -d '{{}}'",
        Uuid::now_v7()
    );
}

/// Prints operator commands, and writes the settings file for those that connect to the entries.
fn print_commands(
    entry: &process::Addresses,
    list: SocketAddr,
    log: SocketAddr,
    ledger: Option<SocketAddr>,
    folder: &Path,
) -> Result<(), Failure> {
    let port = entry.admin.port();
    let text = format!("instances: http://{list}/instances\nadmin_port: {port}\nkey: read.key\n");
    let operator = folder.join("operator.yaml");
    fs::write(&operator, text)?;
    let (operator, file) = (operator.display(), folder.join("configuration.yaml"));
    let run = "cargo run -q --release -p camphorweir --";
    let log = format!("--log http://{log} --author ada");
    let key = Uuid::now_v7();
    println!("\nOperators' commands to try:");
    println!("  {run} status --operator {operator}");
    println!("  {run} drain ledger-b {log}");
    println!("  {run} undrain ledger-b {log}");
    println!(
        "  sed -i 's/max_tokens: 512/max_tokens: 256/' {}",
        file.display()
    );
    println!("  {run} publish {} {log}", file.display());
    println!("\nA seal whose answer is lost, and how to settle it:");
    if let Some(ledger) = ledger {
        println!("  curl -X PUT http://{ledger}/standin/faults -d '{{\"drop_after\": 1}}'");
    }
    let bearer = format!("-H 'Authorization: Bearer {}'", fleet::KEY);
    let seal = format!(
        "curl -i http://{}/services/seal/batches/18/seal",
        entry.callers
    );
    println!("  {seal} {bearer} -H 'Idempotency-Key: {key}' -d '{{}}'");
    println!("  {run} unresolved --operator {operator}");
    println!("  {run} resolve {key} --ran yes {log}");
    println!("\nPress Ctrl-C to stop everything.");
    Ok(())
}
