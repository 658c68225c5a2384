//! An entry as a process, and what the kernel says about it.

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

/// An entry must be up in this time.
const START: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// A folder that is removed when it is dropped.
pub(crate) struct Folder(PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Result<Self, Failure> {
        let name = format!("camphorweir-bench-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        fs::write(path.join("peers.key"), "07".repeat(32))?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that is left behind does no harm.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running entry; it is killed when this is dropped.
pub(crate) struct Entry {
    child: Child,
    /// Callers' listener.
    pub(crate) callers: SocketAddr,
    /// Peers' listener.
    pub(crate) peers: SocketAddr,
}

impl Entry {
    /// Starts an entry and waits until it has bound its listeners.
    pub(crate) async fn start(
        folder: &Folder,
        name: &str,
        zone: &str,
        log: SocketAddr,
        list: SocketAddr,
    ) -> Result<Self, Failure> {
        let settings = folder.0.join(format!("{name}.yaml"));
        let events = folder.0.join(format!("{name}.log"));
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
            .stderr(File::create(&events)?)
            .spawn()?;
        match addresses(&events).await {
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

    /// Processor time of all its threads.
    pub(crate) fn cpu(&self) -> Result<Duration, Failure> {
        let mut total = 0;
        for task in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = fs::read_to_string(task?.path().join("schedstat"))?;
            let first = text.split_whitespace().next().ok_or("no schedstat")?;
            total += first.parse::<u64>()?;
        }
        Ok(Duration::from_nanos(total))
    }

    /// Resident memory, in bytes.
    pub(crate) fn memory(&self) -> Result<f64, Failure> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.ok_or("no VmRSS")?.parse::<f64>()? * 1024.0)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses that an entry logs once it has bound them.
async fn addresses(events: &Path) -> Result<(SocketAddr, SocketAddr), Failure> {
    let start = Instant::now();
    while start.elapsed() < START {
        let text = fs::read_to_string(events)?;
        if let Some(line) = text.lines().find(|line| line.contains("entry up")) {
            let event: serde_json::Value = serde_json::from_str(line)?;
            return Ok((address(&event, "callers")?, address(&event, "peers")?));
        }
        sleep(LOOK).await;
    }
    Err(format!("the entry did not start: {}", fs::read_to_string(events)?).into())
}

fn address(event: &serde_json::Value, name: &str) -> Result<SocketAddr, Failure> {
    let found = event.get("kvs").and_then(|pairs| pairs.get(name));
    let text = found.and_then(serde_json::Value::as_str);
    let text = text.ok_or_else(|| format!("no `{name}` in {event}"))?;
    Ok(text.parse()?)
}
