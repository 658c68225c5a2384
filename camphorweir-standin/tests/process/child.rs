//! Processes of a test: found, started, signalled and ended.

use {
    std::{
        io::{BufRead, BufReader, Read},
        path::{Path, PathBuf},
        process::{self, Command, ExitStatus, Output, Stdio},
        sync::{Arc, Mutex, OnceLock},
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Guards against a hang; no promise is measured by it.
pub(crate) const GUARD: Duration = Duration::from_secs(60);
/// Pause between two looks at something that is awaited.
pub(crate) const LOOK: Duration = Duration::from_millis(10);

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// One of the workspace's binaries, built once for each test process so that none is stale.
pub(crate) fn binary(name: &str) -> PathBuf {
    FOLDER.get_or_init(build).join(name)
}

fn build() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_camphorweir-standin"));
    let folder = own.parent().unwrap();
    let mut cargo = Command::new(env!("CARGO"));
    cargo.args(["build", "--quiet", "--workspace", "--bins"]);
    cargo.args(["--example", "quickstart", "--target-dir"]);
    cargo.arg(folder.parent().unwrap());
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    assert!(cargo.status().unwrap().success());
    folder.to_owned()
}

/// Runs a command to its end.
pub(crate) async fn output(mut command: Command) -> Output {
    let run = tokio::task::spawn_blocking(move || command.stdin(Stdio::null()).output());
    timeout(GUARD, run).await.unwrap().unwrap().unwrap()
}

/// Waits until a look finds what is awaited.
pub(crate) async fn until<T, F: Future<Output = Option<T>>>(what: &str, look: impl Fn() -> F) -> T {
    let found = timeout(GUARD, async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            sleep(LOOK).await;
        }
    });
    found.await.unwrap_or_else(|_| panic!("{what}: not seen"))
}

/// A process; killed when dropped.
pub(crate) struct Child {
    name: String,
    pub(crate) process: process::Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Threads that read what it prints, to its end.
    readers: Vec<JoinHandle<()>>,
}

impl Child {
    /// Starts a process and reads all that it prints.
    pub(crate) fn start(name: &str, mut command: Command) -> Self {
        command.stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut process = command.spawn().unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let readers = vec![
            keep(process.stdout.take().unwrap(), &lines),
            keep(process.stderr.take().unwrap(), &lines),
        ];
        Self {
            name: name.to_owned(),
            process,
            lines,
            readers,
        }
    }

    /// The first line that it printed with these words in it.
    pub(crate) async fn line(&self, words: &str) -> String {
        let lines = &self.lines;
        until(&format!("{}: `{words}`", self.name), || async move {
            let lines = lines.lock().unwrap();
            lines.iter().find(|line| line.contains(words)).cloned()
        })
        .await
    }

    /// All that it printed so far.
    pub(crate) fn printed(&self) -> String {
        self.lines.lock().unwrap().join("\n")
    }

    /// Sends a signal, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let kill = Command::new("kill").args(["-s", name, &id]).status();
        assert!(kill.unwrap().success());
    }

    /// Whether it is still there.
    pub(crate) fn is_running(&mut self) -> bool {
        self.process.try_wait().unwrap().is_none()
    }

    /// Its exit code, once it has ended; `None` when a signal ended it.
    pub(crate) async fn exit(&mut self) -> Option<i32> {
        let ended = timeout(GUARD, async {
            loop {
                if let Some(status) = self.ended() {
                    return status.code();
                }
                sleep(LOOK).await;
            }
        });
        let ended = ended.await;
        ended.unwrap_or_else(|_| panic!("{}: did not end\n{}", self.name, self.printed()))
    }

    /// Its status, once it has ended and all that it printed is read.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.process.try_wait().unwrap()?;
        for reader in self.readers.drain(..) {
            reader.join().unwrap();
        }
        Some(status)
    }

    /// Kills it without waiting for its end.
    pub(crate) fn kill_at_once(&mut self) {
        self.process.kill().unwrap();
    }

    /// Ends it as a crash does.
    pub(crate) fn kill(&mut self) {
        self.kill_at_once();
        self.process.wait().unwrap();
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // It may have ended before.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let printed = self.printed();
        let panicked = printed.contains("panicked at");
        if thread::panicking() {
            let last: Vec<&str> = printed.lines().rev().take(40).collect();
            for line in last.iter().rev() {
                eprintln!("[{}] {line}", self.name);
            }
        } else {
            assert!(!panicked, "{}: {printed}", self.name);
        }
    }
}

fn keep(pipe: impl Read + Send + 'static, lines: &Arc<Mutex<Vec<String>>>) -> JoinHandle<()> {
    let lines = lines.clone();
    thread::spawn(move || {
        for line in BufReader::new(pipe).lines().map_while(Result::ok) {
            lines.lock().unwrap().push(line);
        }
    })
}
