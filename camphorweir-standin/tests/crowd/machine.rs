//! An entry as a process on a machine with little memory and few descriptors, and what it uses of them.

use {
    crate::{
        child::{Child, LOOK, binary, until},
        client::{Crowd, ask, get},
        port::free,
        site::site,
    },
    camphorweir_standin::{
        metadata::Store,
        platform_target::{Setup, Target},
    },
    serde_json::json,
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::Command,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Mutex, MutexGuard},
        time::sleep,
    },
};

/// Memory of the machine in MiB, less than any of the users has.
pub(crate) const MEMORY_MB: usize = 64;
/// Memory of the smallest machine of the users, in MiB.
pub(crate) const SMALLEST_MB: usize = 112;
/// Descriptors of a process; 200 of them are not for sockets.
pub(crate) const DESCRIPTORS: usize = 1_200;
/// Largest legal body, in bytes.
pub(crate) const BODY: usize = 4 << 20;
/// Key of the only workspace.
pub(crate) const KEY: &str = "key-of-one";
/// Tries of an ordinary caller, and the pause between two.
const TRIES: usize = 4;
const RETURN: Duration = Duration::from_secs(1);

/// One crowd at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until no other crowd is there.
pub(crate) async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// An entry that runs, with its store and target.
pub(crate) struct Machine {
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) target: Target,
    memory_mb: usize,
    process: Child,
    /// Most memory in use so far, in bytes.
    peak: Arc<AtomicUsize>,
    _store: Store,
    _turn: MutexGuard<'static, ()>,
}

impl Machine {
    /// Starts an entry on the users' platform, and waits until it serves.
    pub(crate) async fn start(memory_mb: usize) -> Self {
        let turn = turn().await;
        let store = Store::default();
        let door = store.add_listener().await.unwrap();
        let mut site = site(1, &[KEY]);
        site["limits"]["maxBodyBytes"] = BODY.into();
        store.put("keyed.op", "config", site.to_string().as_bytes());
        let setup = Setup {
            id: "ledger-0".to_owned(),
            service: "ledger".to_owned(),
            zone: "z".to_owned(),
            kind: String::new(),
        };
        let target = Target::spawn(setup, store.clone()).await.unwrap();
        let (callers, ready, metrics, peers) = (free(), free(), free(), free());
        let settings = json!({
            "node": "entry-0", "zone": "z",
            "listen": {"front": callers, "ready": ready},
            "portRange": [peers.port(), peers.port()],
            "limits": {"maxFds": DESCRIPTORS, "memoryMb": memory_mb},
            "bounds": {
                "graceS": 8, "drainMs": 2_000, "revokeMs": 5_000,
                "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 100,
            },
            "platform": {"address": door},
        });
        let path = file("json", &settings.to_string());
        let mut command = Command::new(binary("camphorweir-entry"));
        command.args(["--platform", "--metrics", &metrics.port().to_string()]);
        command.env("CAMPHORWEIR_CONFIG", &path);
        let process = Child::start("entry", command);
        let peak = Arc::<AtomicUsize>::default();
        let ports = [callers, ready, metrics, peers].map(|address| address.port());
        tokio::spawn(watch(process.process.id(), ports, peak.clone()));
        let machine = Self {
            callers,
            ready,
            metrics,
            peers,
            target,
            memory_mb,
            process,
            peak,
            _store: store,
            _turn: turn,
        };
        until("an answer", || async {
            let status = ask(callers, KEY, 7).await;
            (status == 200).then_some(())
        })
        .await;
        machine
    }

    /// Memory that the process has, in bytes.
    pub(crate) fn resident(&self) -> usize {
        resident(self.process.process.id(), "VmRSS:")
    }

    /// Bytes that it has booked, by its metrics.
    pub(crate) async fn booked(&self) -> usize {
        let text = get(self.metrics, "/metrics").await;
        let line = text
            .lines()
            .find(|line| line.starts_with("camphorweir_memory_booked"));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|value| value.parse().ok()).expect(&text)
    }

    /// What must hold while a crowd is there, and after it has gone.
    pub(crate) async fn bear(mut self, mut crowd: Crowd) {
        crowd.settled().await;
        self.target.clear_faults();
        let mut statuses = vec![ask(self.callers, KEY, 7).await];
        while statuses.last() != Some(&200) && statuses.len() < TRIES {
            sleep(RETURN).await;
            statuses.push(ask(self.callers, KEY, 7).await);
        }
        let descriptors = format!("/proc/{}/fd", self.process.process.id());
        let descriptors = fs::read_dir(descriptors).map_or(0, Iterator::count);
        let peak = self.peak.load(Ordering::Relaxed);
        let peak = peak.max(resident(self.process.process.id(), "VmHWM:"));
        let ends = crowd.statuses();
        println!(
            "{} MiB at most, {descriptors} descriptors, ordinary {statuses:?}, crowd {ends:?}",
            peak >> 20
        );
        assert!(self.process.is_running(), "the process has ended");
        assert_eq!(
            statuses.last(),
            Some(&200),
            "the ordinary request: {statuses:?}"
        );
        assert!(descriptors <= DESCRIPTORS, "{descriptors} descriptors");
        assert!(peak <= self.memory_mb << 20, "{} MiB of memory", peak >> 20);
        drop(crowd);
        let id = self.process.process.id();
        until("memory is given back", || async {
            (resident(id, "VmRSS:") <= self.memory_mb << 19).then_some(())
        })
        .await;
        println!("{} MiB after the crowd", resident(id, "VmRSS:") >> 20);
        self.serve_largest().await;
    }

    /// One request of the largest legal size is served in calm.
    pub(crate) async fn serve_largest(mut self) {
        assert_eq!(ask(self.callers, KEY, BODY).await, 200, "the largest body");
        let peak = resident(self.process.process.id(), "VmHWM:");
        assert!(self.process.is_running(), "the process has ended");
        assert!(peak <= self.memory_mb << 20, "{} MiB of memory", peak >> 20);
    }
}

/// Writes a settings file.
pub(crate) fn file(extension: &str, text: &str) -> PathBuf {
    let name = format!("crowd-{}-{}.{extension}", std::process::id(), free().port());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// A line of the memory use of a process, in bytes; 0 once it has ended.
pub(crate) fn resident(process: u32, line: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|text| text.starts_with(line));
    let kib = line.and_then(|line| line.split_ascii_whitespace().nth(1)?.parse::<usize>().ok());
    kib.unwrap_or_default() << 10
}

/// Bytes that the kernel holds for a process to read at these ports.
fn unread(ports: &[u16]) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_ascii_whitespace();
        let port = fields.nth(1)?.split(':').nth(1)?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let queue = fields.nth(2)?.split(':').nth(1)?;
        let queue = usize::from_str_radix(queue, 16).ok()?;
        ports.contains(&port).then_some(queue)
    });
    queues.sum()
}

async fn watch(process: u32, ports: [u16; 4], peak: Arc<AtomicUsize>) {
    while resident(process, "VmRSS:") > 0 {
        let used = resident(process, "VmRSS:") + unread(&ports);
        peak.fetch_max(used, Ordering::Relaxed);
        sleep(LOOK).await;
    }
}

/// A library-mode entry that may have so many connections with bodies of up to 1 MiB; its log service and its
/// instance list are away.
pub(crate) async fn library(connections: usize) -> (Child, SocketAddr) {
    let (callers, peers, admin) = (free(), free(), free());
    let key = file("key", &"0".repeat(64));
    let settings = format!(
        "entry: a\nzone: z\nlisten:\n  callers: {callers}\n  peers: {peers}\n  admin: {admin}\n\
         platform:\n  log: http://127.0.0.1:1\n  instances: http://127.0.0.1:1/instances\n\
         keys:\n  peers: {}\nlimits:\n  connections: {connections}\n",
        key.display()
    );
    let mut command = Command::new(binary("camphorweir-entry"));
    command.arg("--settings").arg(file("yaml", &settings));
    let process = Child::start("entry", command);
    process.line("entry up").await;
    (process, callers)
}
