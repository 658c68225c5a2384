//! An entry as a process, with its processor time and memory as the kernel reports them.

use {
    crate::Failure,
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Time for an entry to bind its listeners.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two reads of the entry's log.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A temporary directory with a key file; it is removed on drop.
pub(crate) struct TempDir(PathBuf);

impl TempDir {
    pub(crate) fn new(name: &str) -> Result<Self, Failure> {
        let name = format!("camphorweir-bench-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        fs::write(path.join("peers.key"), "07".repeat(32))?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // A directory that is left behind does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running entry process; it is killed on drop.
pub(crate) struct Entry {
    child: Child,
    /// Address of the listener for callers.
    pub(crate) callers: SocketAddr,
    /// Address of the listener for peers.
    pub(crate) peers: SocketAddr,
}

impl Entry {
    /// Starts an entry and waits until it has bound its listeners.
    pub(crate) async fn start(
        directory: &TempDir,
        name: &str,
        zone: &str,
        log: SocketAddr,
        list: SocketAddr,
    ) -> Result<Self, Failure> {
        let settings = directory.0.join(format!("{name}.yaml"));
        let log_file = directory.0.join(format!("{name}.log"));
        let text = format!(
            "entry: {name}\nzone: {zone}\nlisten: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', \
             admin: '127.0.0.1:0'}}\nplatform: {{log: 'http://{log}', instances: \
             'http://{list}/instances'}}\nkeys: {{peers: peers.key}}\nbalancer_grace: 50ms\n"
        );
        fs::write(&settings, text)?;
        let mut child = Command::new(env!("CARGO_BIN_EXE_camphorweir-entry"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(File::create(&log_file)?)
            .spawn()?;
        match addresses(&log_file).await {
            Ok((callers, peers)) => Ok(Self {
                child,
                callers,
                peers,
            }),
            Err(error) => {
                child.kill()?;
                child.wait()?;
                Err(error)
            }
        }
    }

    /// Returns the processor time of all threads of the process.
    pub(crate) fn cpu(&self) -> Result<Duration, Failure> {
        let mut total = 0;
        for task in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = fs::read_to_string(task?.path().join("schedstat"))?;
            let on_cpu_ns = text.split_whitespace().next().ok_or("no schedstat")?;
            total += on_cpu_ns.parse::<u64>()?;
        }
        Ok(Duration::from_nanos(total))
    }

    /// Returns the resident memory of the process, in bytes.
    pub(crate) fn memory(&self) -> Result<f64, Failure> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.ok_or("no VmRSS")?.parse::<f64>()? * 1024.0)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits for the addresses of callers and peers that an entry logs after binding them.
async fn addresses(log_file: &Path) -> Result<(SocketAddr, SocketAddr), Failure> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let text = fs::read_to_string(log_file)?;
        if let Some(line) = text.lines().find(|line| line.contains("entry up")) {
            let event: serde_json::Value = serde_json::from_str(line)?;
            return Ok((address(&event, "callers")?, address(&event, "peers")?));
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(format!("the entry did not start: {}", fs::read_to_string(log_file)?).into())
}

fn address(event: &serde_json::Value, name: &str) -> Result<SocketAddr, Failure> {
    let found = event.get("kvs").and_then(|pairs| pairs.get(name));
    let text = found.and_then(serde_json::Value::as_str);
    let text = text.ok_or_else(|| format!("no `{name}` in {event}"))?;
    Ok(text.parse()?)
}
