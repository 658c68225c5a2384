//! A whole deployment of processes, and what its stand-ins saw.

use {
    crate::{
        caller::{Answer, Caller},
        child::{Child, binary, output, until},
        support,
    },
    camphorweir_config::{
        model::{Document, Limits, Serves},
        print,
    },
    camphorweir_standin::{engine, fleet, service},
    camphorweir_wire::list::{Instance, State},
    serde::de::DeserializeOwned,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet},
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Command, Output},
    },
    tokio::sync::{Semaphore, SemaphorePermit},
    uuid::Uuid,
};

/// Processes of all tests at a time.
const PROCESSES: u32 = 57;
/// Log, list and weights.
const PLATFORM: u32 = 3;

/// Limits that no test reaches.
const LIMITS: Limits = Limits {
    requests: 10_000.0,
    tokens: 10_000_000.0,
    concurrent: 4096,
};

static PLACES: Semaphore = Semaphore::const_new(PROCESSES as usize);

/// A stand-in as a process.
pub(crate) struct Standin {
    pub(crate) child: Child,
    pub(crate) address: SocketAddr,
}

impl Standin {
    async fn start(folder: &Path, name: &str, settings: &Value) -> Self {
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, settings.to_string()).unwrap();
        let mut command = Command::new(binary("camphorweir-standin"));
        command.arg("--settings").arg(file);
        let child = Child::start(name, command);
        let line = child.line("listening ").await;
        let address = line.trim_start_matches("listening ").parse().unwrap();
        Self { child, address }
    }

    /// Sets its faults.
    pub(crate) async fn faults(&self, faults: Value) {
        let body = faults.to_string();
        let path = "/standin/faults";
        let set = support::send("PUT", self.address, path, &[], body.as_bytes()).await;
        assert_eq!(set.unwrap().status(), 204, "{body}");
    }

    /// A resource of its own.
    pub(crate) async fn report<T: DeserializeOwned>(&self, name: &str) -> T {
        let path = format!("/standin/{name}");
        let answer = support::send("GET", self.address, &path, &[], b"").await;
        serde_json::from_slice(answer.unwrap().body()).unwrap()
    }
}

/// An entry as a process.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) child: Child,
    pub(crate) caller: Caller,
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// What a test starts.
pub(crate) struct Plan {
    /// How many entries, a zone each.
    pub(crate) entries: usize,
    /// Time of one decode step through one layer, in microseconds.
    pub(crate) decode_layer_us: f64,
    /// Steps that engines run together, by the configuration.
    pub(crate) batch: u32,
    /// Milliseconds that the configuration allows for a seal.
    pub(crate) seal_ms: u64,
    /// Milliseconds from SIGTERM to an entry's listener closing.
    pub(crate) grace: u64,
    /// Milliseconds without traffic after which entries close a connection.
    pub(crate) idle: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            decode_layer_us: 100.0,
            batch: 32,
            seal_ms: 20_000,
            grace: 200,
            idle: 60_000,
        }
    }
}

/// A deployment.
pub(crate) struct Deployment {
    pub(crate) plan: Plan,
    pub(crate) folder: PathBuf,
    pub(crate) log: Standin,
    pub(crate) list: Standin,
    pub(crate) weights: Standin,
    pub(crate) targets: BTreeMap<String, Standin>,
    pub(crate) entries: Vec<Entry>,
    /// Where the list says that entries' peers reach them, if not at their own address.
    pub(crate) relayed: BTreeMap<String, SocketAddr>,
    members: Vec<fleet::Member>,
    settings: BTreeMap<String, Value>,
    _places: SemaphorePermit<'static>,
}

impl Deployment {
    /// Starts everything, publishes the configuration and waits until every entry serves.
    pub(crate) async fn start(plan: Plan) -> Self {
        let mut deployment = Self::platform(plan).await;
        let file = deployment.file("configuration", |_| {});
        let published = deployment.publish("ada", &file).await;
        assert!(published.status.success(), "{published:?}");
        for number in 0..deployment.plan.entries {
            deployment.add_entry(number).await;
        }
        deployment.list_all().await;
        for entry in &deployment.entries {
            serving(entry.caller).await;
        }
        deployment
    }

    /// Starts the platform and the targets.
    pub(crate) async fn platform(plan: Plan) -> Self {
        let members = fleet::members();
        let count = PLATFORM + members.len() as u32 + plan.entries as u32;
        let places = PLACES.acquire_many(count).await.unwrap();
        let number = Uuid::now_v7();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(number.to_string());
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("peers.key"), "07".repeat(32)).unwrap();
        fs::write(folder.join("read.key"), "09".repeat(32)).unwrap();
        let any = json!("127.0.0.1:0");
        let platform = |role: &str| json!({"role": role, "address": any});
        let log = Standin::start(&folder, "log", &platform("log")).await;
        let list = Standin::start(&folder, "list", &platform("list")).await;
        let weights = Standin::start(&folder, "weights", &platform("weights")).await;
        let mut deployment = Self {
            plan,
            folder,
            log,
            list,
            weights,
            targets: BTreeMap::new(),
            entries: Vec::new(),
            relayed: BTreeMap::new(),
            members,
            settings: BTreeMap::new(),
            _places: places,
        };
        deployment.start_targets().await;
        deployment
    }

    async fn start_targets(&mut self) {
        for member in self.members.clone() {
            let mut settings = match &member.serves {
                Serves::Layers(held) => json!({
                    "role": "engine",
                    "kind": held.kind,
                    "models": {fleet::MODEL: fleet::LAYERS},
                    "model": fleet::MODEL,
                    "first": held.first,
                    "end": held.end,
                    "fencing": held.fencing,
                    "decode_layer_us": self.plan.decode_layer_us,
                    "weights": self.weights.address,
                }),
                Serves::Service(_) => json!({"role": "service"}),
            };
            settings["address"] = json!("127.0.0.1:0");
            let target = Standin::start(&self.folder, &member.id, &settings).await;
            settings["address"] = json!(target.address);
            self.settings.insert(member.id.clone(), settings);
            self.targets.insert(member.id, target);
        }
    }

    /// Starts a target anew under its old address.
    pub(crate) async fn restart(&mut self, name: &str) {
        self.targets.remove(name);
        let target = Standin::start(&self.folder, name, &self.settings[name]).await;
        self.targets.insert(name.to_owned(), target);
    }

    /// Starts the entry of a zone, `entry-0` in the first; the list does not show it yet.
    pub(crate) async fn add_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let zone = fleet::ZONES[number];
        let file = self.folder.join(format!("{name}.yaml"));
        fs::write(&file, self.entry_settings(&name, zone)).unwrap();
        let mut command = Command::new(binary("camphorweir-entry"));
        command.arg("--settings").arg(file);
        let child = Child::start(&name, command);
        let line: Value = serde_json::from_str(&child.line("entry up").await).unwrap();
        let address = |listener: &str| -> SocketAddr {
            line["kvs"][listener].as_str().unwrap().parse().unwrap()
        };
        let entry = Entry {
            name,
            zone: zone.to_owned(),
            caller: Caller(address("callers")),
            peers: address("peers"),
            admin: address("admin"),
            child,
        };
        self.entries.push(entry);
    }

    /// The text of an entry's settings file.
    pub(crate) fn entry_settings(&self, name: &str, zone: &str) -> String {
        let (log, list) = (self.log.address, self.list.address);
        let Plan { grace, idle, .. } = self.plan;
        format!(
            "entry: {name}\nzone: {zone}\n\
             listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  admin: 127.0.0.1:0\n\
             platform:\n  log: http://{log}\n  instances: http://{list}/instances\n\
             keys:\n  peers: peers.key\n  admin_read: read.key\n\
             limits:\n  body: 64KiB\n  head_time: 500ms\n  body_time: 500ms\n  \
             idle: {idle}ms\n\
             balancer_grace: {grace}ms\n"
        )
    }

    /// The callers of all entries.
    pub(crate) fn callers(&self) -> Vec<Caller> {
        self.entries.iter().map(|entry| entry.caller).collect()
    }

    /// Writes a configuration file of the deployment, with a change.
    pub(crate) fn file(&self, name: &str, change: impl Fn(&mut Document)) -> PathBuf {
        let addresses = self.targets.iter();
        let addresses = addresses.map(|(id, target)| (id.clone(), target.address));
        let mut document = fleet::document(&self.members, &addresses.collect());
        for kind in document.kinds.values_mut() {
            kind.decode_layer_us = self.plan.decode_layer_us;
            kind.batch = self.plan.batch;
        }
        for workspace in document.workspaces.values_mut() {
            workspace.limits = LIMITS;
            workspace.routes.get_mut("seal").unwrap().deadline_ms = self.plan.seal_ms;
        }
        change(&mut document);
        let file = self.folder.join(format!("{name}.yaml"));
        fs::write(&file, print::text(&document).unwrap()).unwrap();
        file
    }

    /// Runs the operators' command line.
    pub(crate) async fn operate(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(binary("camphorweir"));
        command.args(arguments);
        output(command).await
    }

    /// Publishes a file.
    pub(crate) async fn publish(&self, author: &str, file: &Path) -> Output {
        let log = format!("http://{}", self.log.address);
        let file = file.to_str().unwrap();
        self.operate(&["publish", "--log", &log, "--author", author, file])
            .await
    }

    /// Sets the platform's list to all that was started, with changes.
    pub(crate) async fn list_with(&self, change: impl Fn(&mut Vec<Instance>)) {
        let addresses = self.targets.iter();
        let addresses = addresses.map(|(id, target)| (id.clone(), target.address));
        let entries = self.entries.iter().map(|entry| {
            let peers = self.relayed.get(&entry.name).unwrap_or(&entry.peers);
            (entry.name.clone(), entry.zone.clone(), *peers)
        });
        let entries: Vec<_> = entries.collect();
        let mut all = fleet::instances(&self.members, &addresses.collect(), &entries);
        change(&mut all);
        let body = serde_json::to_vec(&all).unwrap();
        let set = support::send("PUT", self.list.address, "/instances", &[], &body).await;
        assert_eq!(set.unwrap().status(), 204);
    }

    /// Sets the platform's list to all that was started.
    pub(crate) async fn list_all(&self) {
        self.list_with(|_| {}).await;
    }

    /// Sets the platform's list so that one instance is leaving.
    pub(crate) async fn list_leaving(&self, name: &str) {
        self.list_with(|all| {
            for instance in all.iter_mut().filter(|instance| instance.name == name) {
                instance.state = State::Leaving;
            }
        })
        .await;
    }

    /// The services of one kind.
    pub(crate) fn services(&self, kind: &str) -> impl Iterator<Item = &Standin> {
        let named = self.targets.iter();
        named.filter_map(move |(id, target)| id.starts_with(kind).then_some(target))
    }

    /// Sets the faults of the services of one kind.
    pub(crate) async fn service_faults(&self, kind: &str, faults: Value) {
        for service in self.services(kind) {
            service.faults(faults.clone()).await;
        }
    }

    /// How often a key ran, on all ledgers.
    pub(crate) async fn runs(&self, key: Uuid) -> usize {
        let key = key.to_string();
        let mut count = 0;
        for ledger in self.services("ledger") {
            let runs: Vec<service::Run> = ledger.report("audit").await;
            let same = |run: &&service::Run| run.key.as_deref() == Some(key.as_str());
            count += runs.iter().filter(same).count();
        }
        count
    }

    /// Waits until a key runs.
    pub(crate) async fn running(&self, key: Uuid) {
        until("a run", || async {
            (self.runs(key).await > 0).then_some(())
        })
        .await;
    }

    /// Every step that the engines still there ran.
    pub(crate) async fn steps(&self, name: &str) -> Vec<engine::Run> {
        self.targets[name].report("audit").await
    }

    /// The names of the engines that ran the newest attempt of a request, by their layers.
    pub(crate) async fn path(&self, request: u64) -> Vec<String> {
        let mut found = Vec::new();
        for member in &self.members {
            if let Serves::Layers(held) = &member.serves {
                let steps = self.steps(&member.id).await;
                let steps = steps.iter().filter(|run| run.request == request);
                let newest = steps.map(|run| run.attempt).max();
                found.extend(newest.map(|attempt| (attempt, held.first, member.id.clone())));
            }
        }
        let newest = found.iter().map(|(attempt, ..)| *attempt).max();
        found.retain(|(attempt, ..)| Some(*attempt) == newest);
        found.sort();
        found.into_iter().map(|(.., id)| id).collect()
    }

    /// Checks that no engine ran a step of an attempt twice, and that none is left with an attempt.
    pub(crate) async fn check_steps(&self) {
        for member in &self.members {
            if let Serves::Layers(_) = member.serves {
                let engine = &self.targets[&member.id];
                until("the end of all attempts", || async {
                    let stats: Value = engine.report("stats").await;
                    (stats["open"] == 0).then_some(())
                })
                .await;
                let mut seen = HashSet::new();
                for run in self.steps(&member.id).await {
                    let place = (run.request, run.attempt, run.layers.first, run.position);
                    assert!(seen.insert((run.incarnation, place)), "{run:?}");
                }
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // What is left of a failed test is of use to nobody.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Waits until an entry serves both kinds of request.
pub(crate) async fn serving(caller: Caller) {
    until("tokens", || async move {
        let answer = caller.chat("?", 1).await;
        (answer.status == 200).then_some(())
    })
    .await;
    until("a seal", || async move {
        let answer = caller.seal(Uuid::now_v7(), 0).await;
        (answer.unwrap().status == 200).then_some(())
    })
    .await;
}

/// What callers were told about one key.
pub(crate) struct Told {
    pub(crate) key: Uuid,
    pub(crate) answers: Vec<Answer>,
}

impl Told {
    /// A key that nobody was told anything about.
    pub(crate) fn new() -> Self {
        Self {
            key: Uuid::now_v7(),
            answers: Vec::new(),
        }
    }

    /// Takes an answer in; a broken connection tells nothing.
    pub(crate) fn take(&mut self, answer: Option<Answer>) {
        self.answers.extend(answer);
    }

    /// Holds what was told against the ledgers: at most one run, and every word true.
    pub(crate) async fn check(&self, deployment: &Deployment) {
        let runs = deployment.runs(self.key).await;
        assert!(
            runs <= 1,
            "{} ran {runs} times: {:?}",
            self.key,
            self.answers
        );
        let said = |word: &str| self.answers.iter().any(|answer| answer.ran == word);
        if said("yes") {
            assert_eq!(runs, 1, "{:?}", self.answers);
        }
        if !said("yes") && !said("unknown") && said("no") {
            assert_eq!(runs, 0, "{:?}", self.answers);
        }
        let mut bodies = self.answers.iter().filter(|answer| answer.status == 200);
        if let Some(first) = bodies.next() {
            bodies.for_each(|answer| assert_eq!(answer.body, first.body));
        }
    }
}
