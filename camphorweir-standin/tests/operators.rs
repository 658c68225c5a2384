//! What operators see and do, with a whole entry and the stand-ins: status, drain, an unresolved key,
//! and the metrics after known traffic.

mod support;

use {
    ::log as logs,
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_config::{model::Serves, print},
    camphorweir_entry::{process, settings},
    camphorweir_standin::{engine, fleet, list, log, service},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::Mutex,
        time::Duration,
    },
    support::{Answer, send},
    tokio::time::sleep,
    uuid::Uuid,
};

/// Parts of the prompt, of a call's body and of a service's path, which no log line may hold.
const PRIVATE: [&str; 3] = ["kiln 4 glows", "batch-body", "batches/17"];

/// Keeps every log line in memory, with its fields.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl logs::Log for Lines {
    fn enabled(&self, _: &logs::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &logs::Record<'_>) {
        let mut line = format!("{}", record.args());
        let mut visit = Fields(&mut line);
        record.key_values().visit(&mut visit).unwrap();
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

struct Fields<'a>(&'a mut String);

impl<'kvs> logs::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: logs::kv::Key<'kvs>,
        value: logs::kv::Value<'kvs>,
    ) -> Result<(), logs::kv::Error> {
        *self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

/// What must come about is looked for this many times, with [`PAUSE`] between.
const LOOKS: usize = 400;
const PAUSE: Duration = Duration::from_millis(50);

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// An entry over the small deployment; all ends when it is dropped.
struct World {
    folder: PathBuf,
    log: log::Handle,
    _list: list::Handle,
    _engines: Vec<engine::Handle>,
    _services: Vec<service::Handle>,
    addresses: BTreeMap<String, SocketAddr>,
    entry: process::Addresses,
}

impl World {
    async fn start() -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operators");
        fs::create_dir_all(&folder).unwrap();
        let log = log::spawn(log::Settings::new(any_port())).await.unwrap();
        let settings = list::Settings {
            address: any_port(),
            lag_ms: 0,
            instances: Vec::new(),
        };
        let list = list::spawn(settings).await.unwrap();
        let members = fleet::members();
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        let mut addresses = BTreeMap::new();
        for member in &members {
            let address = match &member.serves {
                Serves::Layers(held) => {
                    let layers = fleet::layers(held);
                    let settings = engine::Settings::new(
                        any_port(),
                        &held.kind,
                        &held.model,
                        fleet::LAYERS,
                        layers,
                    );
                    engines.push(engine::spawn(settings).await.unwrap());
                    engines.last().unwrap().address()
                }
                Serves::Service(_) => {
                    let settings = service::Settings::new(any_port());
                    services.push(service::spawn(settings).await.unwrap());
                    services.last().unwrap().address()
                }
            };
            addresses.insert(member.id.clone(), address);
        }
        let document = fleet::document(&members, &addresses);
        let file = folder.join("configuration.yaml");
        fs::write(&file, print::text(&document).unwrap()).unwrap();
        fs::write(folder.join("peers.key"), "07".repeat(32)).unwrap();
        fs::write(folder.join("read.key"), "08".repeat(32)).unwrap();
        let text = format!(
            "entry: entry-a1\nzone: {}\nlisten: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', \
             admin: '127.0.0.1:0'}}\nplatform: {{log: 'http://{}', instances: \
             'http://{}/instances'}}\nkeys: {{peers: peers.key, admin_read: read.key}}\n\
             balancer_grace: 0s\n",
            fleet::ZONES[0],
            log.address(),
            list.address(),
        );
        let settings = settings::parse(&text, &folder).unwrap();
        let started = process::start(settings).await.unwrap();
        let entry = started.addresses();
        tokio::spawn(started.run(std::future::pending()));
        let entries = [(
            "entry-a1".to_owned(),
            fleet::ZONES[0].to_owned(),
            entry.peers,
        )];
        list.set(fleet::instances(&members, &addresses, &entries));
        let world = Self {
            folder,
            log,
            _list: list,
            _engines: engines,
            _services: services,
            addresses,
            entry,
        };
        let file = file.display().to_string();
        let report = world.on_log(&["publish", &file]).await;
        assert_eq!(report.text, "accepted version 1");
        world
    }

    /// Runs a command of the operators' command line.
    async fn run(&self, words: Vec<String>) -> Report {
        let run = move || {
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            camphorweir::run(args::command().run_inner(&words[..]).unwrap())
        };
        tokio::task::spawn_blocking(run).await.unwrap()
    }

    async fn on_log(&self, words: &[&str]) -> Report {
        let url = format!("http://{}", self.log.address());
        let more = ["--log", &url, "--author", "ada"];
        let words = words.iter().chain(&more).map(|word| (*word).to_owned());
        self.run(words.collect()).await
    }

    async fn ask(&self, command: &str, more: &[&str]) -> Report {
        let key = self.folder.join("read.key").display().to_string();
        let admin = self.entry.admin.to_string();
        let all = [command, "--entry", &admin, "--key", &key];
        let words = all.iter().chain(more).map(|word| (*word).to_owned());
        self.run(words.collect()).await
    }

    async fn status(&self) -> Value {
        let report = self.ask("status", &["--json"]).await;
        assert_eq!(report.exit, Exit::Done, "{}", report.text);
        let value: Value = serde_json::from_str(&report.text).unwrap();
        value["entries"][0].clone()
    }

    /// Waits until the status is as wanted.
    async fn until(&self, wanted: impl Fn(&Value) -> bool) -> Value {
        let mut last = Value::Null;
        for _ in 0..LOOKS {
            last = self.status().await;
            if wanted(&last) {
                return last;
            }
            sleep(PAUSE).await;
        }
        panic!("it did not come about: {last}");
    }

    async fn call(&self, path: &str, more: &[(&str, &str)], body: &str) -> Answer {
        let bearer = format!("Bearer {}", fleet::KEY);
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(more);
        let answer = send("POST", self.entry.callers, path, &headers, body.as_bytes()).await;
        answer.unwrap()
    }
}

fn state<'a>(status: &'a Value, target: &str) -> &'a str {
    let targets = status["targets"].as_array().unwrap();
    let found = targets.iter().find(|found| found["target"] == target);
    found.map_or("", |found| found["state"].as_str().unwrap())
}

fn code(answer: &Answer) -> &str {
    let code = answer.headers().get("camphorweir-code");
    code.map_or("", |code| code.to_str().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_and_settle_what_happens() {
    logs::set_logger(&LINES).unwrap();
    logs::set_max_level(logs::LevelFilter::Trace);
    let world = World::start().await;
    let all_usable = |status: &Value| {
        let targets = status["targets"].as_array().unwrap();
        let used =
            |target: &Value| ["usable", "slow_start"].contains(&target["state"].as_str().unwrap());
        targets.len() == 12 && targets.iter().all(used)
    };
    let status = world
        .until(|status| all_usable(status) && status["log"]["reachable"] == true)
        .await;
    assert_eq!(status["configuration"]["version"], 1);

    // Known traffic: three prompts of four tokens each.
    let prompt = r#"{"model": "burn-notes", "prompt": "kiln 4 glows", "max_tokens": 4}"#;
    for _ in 0..3 {
        assert_eq!(
            world.call("/v1/completions", &[], prompt).await.status(),
            200
        );
    }
    let scrape = send("GET", world.entry.admin, "/metrics", &[], b"")
        .await
        .unwrap();
    let text = String::from_utf8(scrape.body().to_vec()).unwrap();
    let count = |name: &str, label: &str| {
        let line = text
            .lines()
            .find(|line| line.starts_with(name) && line.contains(label));
        line.and_then(|line| line.rsplit(' ').next())
            .unwrap_or("none")
            .to_owned()
    };
    for (name, label, expected) in [
        ("camphorweir_requests_total{", "code=\"0\"", "3"),
        ("camphorweir_first_token_seconds_count{", "normal", "3"),
        ("camphorweir_between_tokens_seconds_count{", "normal", "9"),
        ("camphorweir_whole_seconds_count{", "normal", "3"),
        ("camphorweir_queued_seconds_count{", "normal", "3"),
        (
            "camphorweir_workspace_first_token_seconds_count{",
            "depot-7",
            "3",
        ),
        ("camphorweir_log_reachable", "", "1"),
    ] {
        assert_eq!(count(name, label), expected, "{name} {label}: {text}");
    }

    // A drained target gets no new work, until it is given back.
    let report = world.on_log(&["drain", "ledger-a"]).await;
    assert_eq!(report.text, "accepted version 2");
    world
        .until(|status| state(status, "ledger-a") == "drained")
        .await;
    let report = world.ask("status", &[]).await;
    assert!(report.text.contains("ledger-a drained"), "{}", report.text);
    let report = world.on_log(&["undrain", "ledger-a"]).await;
    assert_eq!(report.text, "accepted version 3");
    world
        .until(|status| state(status, "ledger-a") != "drained")
        .await;

    // A seal whose answer is lost is unresolved until an operator settles it.
    for (target, address) in &world.addresses {
        if target.starts_with("ledger") {
            send(
                "PUT",
                *address,
                "/standin/faults",
                &[],
                br#"{"drop_after": 1}"#,
            )
            .await;
        }
    }
    let key = Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let seal = "/services/seal/batches/17/seal";
    let answer = world
        .call(seal, &headers, r#"{"note": "batch-body"}"#)
        .await;
    assert_eq!(code(&answer), "4003", "{answer:?}");
    world.until(|status| status["unresolved"] == 1).await;
    let report = world.ask("unresolved", &[]).await;
    assert_eq!(report.exit, Exit::Done);
    assert!(
        report
            .text
            .starts_with(&format!("{key} of depot-7, run by entry-a1")),
        "{}",
        report.text
    );
    let report = world.on_log(&["resolve", &key, "--ran", "yes"]).await;
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    let report = world.on_log(&["resolve", &key, "--ran", "no"]).await;
    assert_eq!(report.exit, Exit::Conflict, "{}", report.text);
    world.until(|status| status["unresolved"] == 0).await;
    let answer = world
        .call(seal, &headers, r#"{"note": "batch-body"}"#)
        .await;
    assert_eq!(code(&answer), "4005", "{answer:?}");

    // An entry that does not answer, and a key that is not known, are named.
    let report = world.ask("status", &["--entry", "127.0.0.1:1"]).await;
    assert_eq!(report.exit, Exit::Unreachable);
    assert!(
        report.text.contains("127.0.0.1:1: 6104 EntryUnreachable"),
        "{}",
        report.text
    );
    assert!(
        report.text.contains("entry-a1 in southeast-a"),
        "{}",
        report.text
    );
    let wrong = world.folder.join("peers.key").display().to_string();
    let admin = world.entry.admin.to_string();
    let words = ["status", "--entry", &admin, "--key", &wrong];
    let report = world
        .run(words.iter().map(|word| (*word).to_owned()).collect())
        .await;
    assert_eq!(report.exit, Exit::Forbidden, "{}", report.text);

    // One event a fact, and nothing of what callers said.
    let lines = LINES.0.lock().unwrap().clone();
    let request = answer.headers()["camphorweir-request"].to_str().unwrap();
    let ended = format!("request ended request={request} workspace=depot-7 class=normal code=4005");
    let found = lines.iter().filter(|line| line.starts_with(&ended)).count();
    assert_eq!(found, 1, "{lines:#?}");
    let hash = blake3::hash(fleet::KEY.as_bytes()).to_hex().to_string();
    let private = PRIVATE
        .iter()
        .copied()
        .chain([fleet::KEY, &hash, &key, "0808080808"]);
    for word in private {
        let told = lines.iter().find(|line| line.contains(word));
        assert_eq!(told, None, "{word}");
    }
}
