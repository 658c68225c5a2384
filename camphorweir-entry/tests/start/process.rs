//! An entry as a process, with loopback addresses of its own.

use {
    serde_json::{Value, json},
    std::{
        env, fs,
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// Guards against a hang; no promise is measured by it.
const GUARD: Duration = Duration::from_secs(30);
/// Pause between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(5);

/// Time in which the last lines of a process that has ended are read.
const LAST_LINES: Duration = Duration::from_millis(500);

/// Waits until a look finds what is awaited.
pub(crate) fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let since = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(since.elapsed() < GUARD, "{what}: not seen");
        sleep(LOOK);
    }
}

/// The machine of a test: an address on loopback that no other test has, nor another run of the same, and its
/// settings.
pub(crate) struct Machine {
    number: u8,
    pub(crate) settings: Value,
}

impl Machine {
    pub(crate) fn new(number: u8) -> Self {
        let address = |port| Self::socket(number, port).to_string();
        let settings = json!({
            "node": format!("entry-{number}"), "zone": "z",
            "listen": {"front": address(18_227), "ready": address(18_220)},
            "portRange": [17_340, 17_340],
            "limits": {"maxFds": 600},
            "bounds": {"graceS": 6, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 10},
            "platform": {"address": address(18_223)},
        });
        Self { number, settings }
    }

    fn socket(number: u8, port: u16) -> SocketAddr {
        let [.., high, low] = process::id().to_be_bytes();
        SocketAddr::from(([127, high | 0x80, low, number], port))
    }

    pub(crate) fn address(&self, port: u16) -> SocketAddr {
        Self::socket(self.number, port)
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.address(18_227)
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        self.address(18_220)
    }

    pub(crate) fn store(&self) -> SocketAddr {
        self.address(18_223)
    }

    pub(crate) fn file(&self) -> PathBuf {
        let name = format!("start-{}-{}.json", process::id(), self.number);
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
    }

    /// Starts an entry whose settings file is written.
    pub(crate) fn start(&self) -> Entry {
        fs::write(self.file(), self.settings.to_string()).unwrap();
        self.start_as_is()
    }

    /// Starts an entry with the settings file as it is.
    pub(crate) fn start_as_is(&self) -> Entry {
        let mut command = program();
        command.args(["--platform", "--metrics", "19464"]);
        command.env("CAMPHORWEIR_CONFIG", self.file());
        Entry::start(command)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let file = self.file();
        let _ = fs::remove_file(file.with_extension("yaml"));
        let _ = fs::remove_file(file);
    }
}

pub(crate) fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_camphorweir-entry"))
}

/// A process; killed when dropped.
pub(crate) struct Entry {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Entry {
    pub(crate) fn start(mut command: Command) -> Self {
        command.stdin(Stdio::null());
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines = Arc::default();
        keep(child.stdout.take().unwrap(), &lines);
        keep(child.stderr.take().unwrap(), &lines);
        Self { child, lines }
    }

    /// The lines so far with all of these words.
    pub(crate) fn lines(&self, words: &[&str]) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        let found = lines
            .iter()
            .filter(|line| words.iter().all(|word| line.contains(word)));
        found.cloned().collect()
    }

    /// Waits for a line; fails if the process ends without it.
    pub(crate) fn await_line(&mut self, words: &[&str]) -> String {
        until(&format!("{words:?}"), || {
            let ended = self.has_ended();
            let line = self.lines(words).into_iter().next();
            if line.is_some() || !ended {
                return line;
            }
            sleep(LAST_LINES);
            let line = self.lines(words).into_iter().next();
            assert!(line.is_some(), "ended: {:?}", self.lines(&[]));
            line
        })
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let kill = Command::new("kill").args(["-s", name, &id]).status();
        assert!(kill.unwrap().success());
    }

    /// Waits for the end; returns the status, or the signal that ended it, and how long it took.
    pub(crate) fn end(&mut self) -> (Result<i32, i32>, Duration) {
        let since = Instant::now();
        let status = until("end", || self.child.try_wait().unwrap());
        let code = status.code().ok_or(status.signal().unwrap_or_default());
        (code, since.elapsed())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn keep(output: impl Read + Send + 'static, lines: &Arc<Mutex<Vec<String>>>) {
    let lines = lines.clone();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            lines.lock().unwrap().push(line);
        }
    });
}

/// Gets a path; `None` without a whole answer.
pub(crate) fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer).filter(|answer| !answer.is_empty())
}
