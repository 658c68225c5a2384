//! An entry as processes one after the other, and what was done to it.

use {
    crate::{
        address::{Addresses, Holder, Place, Ports},
        child::{LOOK, binary},
        process::{Process, Signal},
        proxy::Proxy,
        variant::Bounds,
    },
    serde_json::json,
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Command, ExitStatus},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Time in which an entry has ended after it was told to stop.
pub(crate) const GRACE: Duration = Duration::from_secs(8);
/// A revoked key is let in for this long at most.
pub(crate) const REVOKE: Duration = Duration::from_secs(5);
/// Environment variable with the path of an older build's program.
pub(crate) const OLD_BUILD: &str = "CAMPHORWEIR_SOAK_OLD";
/// Bounds of the settings that entries start with.
pub(crate) const BOUNDS: Bounds = Bounds {
    drain_ms: 2_000,
    revoke_ms: REVOKE.as_millis() as u64,
    retry_ratio: 0.2,
    retry_slack: 100,
};
/// The earlier scripts send no signal to reload for this long after a start.
const STARTING: Duration = Duration::from_secs(1);
/// Environment variable with a folder for what entries print.
const LOGS: &str = "CAMPHORWEIR_SOAK_LOGS";

/// How a process is ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ending {
    Kill,
    Stop,
}

/// A settings file that is not written yet, or not whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Draft {
    Missing,
    Empty,
    /// This part of it is there, in hundredths.
    Cut(usize),
}

/// An entry and what was done to it.
pub(crate) struct Entry {
    pub(crate) callers: SocketAddr,
    addresses: Addresses,
    settings: PathBuf,
    /// What the settings file has when it is whole.
    bounds: Bounds,
    /// Whether it is not whole, and whether a process has started since.
    is_draft: bool,
    waits_for_settings: bool,
    /// Place in the deployment, and how often it was started: they decide which build runs.
    index: usize,
    starts: usize,
    /// Whether an older build runs.
    pub(crate) is_old: bool,
    process: Option<Process>,
    /// Processes that were told to stop or killed, and had not ended when the next one started.
    earlier: Vec<Process>,
    /// What holds addresses of its, until it is released.
    holders: Vec<(Place, Vec<Holder>)>,
    /// Proxy between it and the store.
    pub(crate) door: Proxy,
    /// When a process began to start, or what it waited for was gone.
    started: Vec<Instant>,
    /// When a signal that asks nothing kept it from working, from and to.
    hurt: Vec<(Instant, Instant)>,
    /// When it was killed, from the signal to its end.
    kills: Vec<(Instant, Instant)>,
    /// When it was told to stop.
    pub(crate) stops: Vec<Instant>,
    /// What its earlier processes printed.
    printed: Vec<String>,
}

impl Entry {
    /// Starts an entry that reaches the store through a proxy.
    pub(crate) fn new(index: usize, door: Proxy, ports: Ports) -> Self {
        let addresses = Addresses::choose(ports);
        let callers = addresses.callers;
        let name = format!("soak-{}-{}.json", std::process::id(), callers.port());
        let mut entry = Self {
            callers,
            addresses,
            settings: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name),
            bounds: BOUNDS,
            is_draft: false,
            waits_for_settings: false,
            index,
            starts: 0,
            is_old: false,
            process: None,
            earlier: Vec::new(),
            holders: Vec::new(),
            door,
            started: Vec::new(),
            hurt: Vec::new(),
            kills: Vec::new(),
            stops: Vec::new(),
            printed: Vec::new(),
        };
        entry.write_settings(&BOUNDS);
        entry.start();
        entry
    }

    /// Starts its process if there is none. With an older build in [`OLD_BUILD`], the two take turns at each
    /// entry and with each start, as in an upgrade that goes back and forth.
    pub(crate) fn start(&mut self) {
        if self.process.is_some() {
            return;
        }
        let old = std::env::var_os(OLD_BUILD).filter(|_| (self.index + self.starts) % 2 == 1);
        self.is_old = old.is_some();
        let program = old.map_or_else(|| binary("camphorweir-entry"), PathBuf::from);
        let mut command = Command::new(program);
        self.starts += 1;
        self.started.push(Instant::now());
        self.waits_for_settings = self.is_draft;
        command.arg("--platform");
        if let Some(port) = self.addresses.metrics {
            command.args(["--metrics", &port.to_string()]);
        }
        command.env("CAMPHORWEIR_CONFIG", &self.settings);
        self.process = Some(Process::start(command));
    }

    /// Name of the instance.
    pub(crate) fn name(&self) -> String {
        format!("entry-{}", self.index)
    }

    /// Where it says whether it is ready.
    pub(crate) fn ready(&self) -> SocketAddr {
        self.addresses.ready
    }

    fn settings(&self) -> String {
        let bounds = &self.bounds;
        let settings = json!({
            "node": self.name(), "zone": "z",
            "listen": {"front": self.callers, "ready": self.addresses.ready},
            "portRange": self.addresses.peers,
            "limits": {"maxFds": 1200},
            "bounds": {
                "graceS": GRACE.as_secs(), "drainMs": bounds.drain_ms,
                "revokeMs": bounds.revoke_ms, "retryBudgetRatio": bounds.retry_ratio,
                "budgetWindowS": 10, "budgetSlack": bounds.retry_slack,
            },
            "platform": {"address": self.door.address},
        });
        settings.to_string()
    }

    fn write_settings(&mut self, bounds: &Bounds) {
        self.bounds = *bounds;
        // A reader sees the old file or the new one.
        let new = self.settings.with_extension("new");
        fs::write(&new, self.settings()).unwrap();
        fs::rename(new, &self.settings).unwrap();
        self.end_draft();
    }

    fn end_draft(&mut self) {
        self.is_draft = false;
        if std::mem::take(&mut self.waits_for_settings) {
            self.started.push(Instant::now());
        }
    }

    /// Changes its settings file, and tells it so with a signal or leaves it to find out.
    pub(crate) fn reload(&mut self, bounds: &Bounds, signals: bool) {
        self.write_settings(bounds);
        let process = self.process.as_mut().filter(|_| signals);
        if let Some(process) = process.filter(|process| process.age() >= STARTING) {
            process.signal(Signal::Hangup);
        }
    }

    /// Changes its settings file in place, which is cut short until [`Self::complete_settings`].
    pub(crate) fn rewrite(&mut self, bounds: &Bounds) {
        self.bounds = *bounds;
        self.spoil_settings(Draft::Cut(50));
        self.signal(Signal::Hangup);
    }

    /// Leaves its settings file as one that is being written.
    pub(crate) fn spoil_settings(&mut self, draft: Draft) {
        self.is_draft = true;
        let settings = self.settings();
        match draft {
            // It may be missing already.
            Draft::Missing => drop(fs::remove_file(&self.settings)),
            Draft::Empty => fs::write(&self.settings, "").unwrap(),
            Draft::Cut(part) => {
                let part = &settings[..settings.len() * part / 100];
                fs::write(&self.settings, part).unwrap();
            }
        }
    }

    /// Writes its settings file whole, in place.
    pub(crate) fn complete_settings(&mut self) {
        fs::write(&self.settings, self.settings()).unwrap();
        self.end_draft();
    }

    /// What its processes printed with these words in the line.
    pub(crate) fn lines(&self, words: &str) -> Vec<String> {
        let running = self.earlier.iter().chain(&self.process);
        let running = running.map(Process::printed);
        let printed: Vec<String> = self.printed.iter().cloned().chain(running).collect();
        let lines = printed.iter().flat_map(|printed| printed.lines());
        let lines = lines.filter(|line| line.contains(words));
        lines.map(str::to_owned).collect()
    }

    /// Whether its process must not serve callers yet, as one before it may.
    fn is_behind(&self) -> bool {
        let mut earlier = self.earlier.iter();
        earlier.any(|process| process.killed().is_none())
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        self.kill_at_once();
        while self.process.as_ref().is_some_and(Process::is_told) {
            self.look();
        }
    }

    /// Kills it without waiting for its end.
    pub(crate) fn kill_at_once(&mut self) {
        self.go_on();
        let served = !self.is_behind();
        if let Some(process) = &mut self.process {
            process.kill(served);
        }
    }

    /// Pauses it.
    pub(crate) fn pause(&mut self) {
        let served = !self.is_behind();
        let process = self.process.as_mut();
        if let Some(process) = process.filter(|process| !process.is_paused()) {
            process.pause(served);
        }
    }

    /// Lets it go on after a pause.
    pub(crate) fn go_on(&mut self) {
        let pause = self.process.as_mut().and_then(Process::go_on);
        if let Some(pause) = pause.filter(|pause| pause.served) {
            self.hurt.push((pause.since, Instant::now()));
        }
    }

    /// Tells it to stop, maybe again.
    pub(crate) fn stop(&mut self) {
        self.signal(Signal::Terminate);
    }

    /// Sends a signal to its process.
    pub(crate) fn signal(&mut self, signal: Signal) {
        self.look();
        let served = !self.is_behind();
        let process = self.process.as_mut();
        let process = process.filter(|process| !process.is_paused());
        if process.is_some_and(|process| process.signal(signal)) && served {
            self.stops.push(Instant::now());
        }
    }

    /// Ends its process in a way, without waiting for the end.
    pub(crate) fn end(&mut self, ending: Ending) {
        match ending {
            Ending::Kill => self.kill_at_once(),
            Ending::Stop => self.stop(),
        }
    }

    /// Starts the next process, though the one that was told to end may not have gone.
    pub(crate) fn succeed(&mut self) {
        if self.process.as_ref().is_some_and(Process::is_told) {
            self.go_on();
            self.earlier.extend(self.process.take());
        }
        self.start();
    }

    /// Lets something else hold an address of its until [`Self::release`].
    pub(crate) fn hold(&mut self, place: Place) {
        let holders = self.addresses.hold(place);
        self.holders.push((place, holders));
    }

    /// Gives an address back.
    pub(crate) fn release(&mut self, place: Place) {
        let count = self.holders.len();
        self.holders.retain(|(held, _)| *held != place);
        if self.holders.len() < count {
            self.started.push(Instant::now());
        }
    }

    /// Waits for the end of those that were told to stop or killed.
    pub(crate) async fn ended(&mut self) {
        while !self.earlier.is_empty() || self.process.as_ref().is_some_and(Process::is_told) {
            self.look();
            sleep(LOOK).await;
        }
    }

    /// Takes leave of processes that have ended after they were told to.
    ///
    /// # Panics
    ///
    /// When one ended untold, or did not end in time.
    pub(crate) fn look(&mut self) {
        let name = self.name();
        let was_behind = self.is_behind();
        for mut process in std::mem::take(&mut self.earlier) {
            match process.check(&name) {
                Some(status) => self.record_end(&process, status),
                None => self.earlier.push(process),
            }
        }
        if was_behind && !self.is_behind() {
            self.started.push(Instant::now());
        }
        if let Some(mut process) = self.process.take() {
            match process.check(&name) {
                Some(status) => self.record_end(&process, status),
                None => self.process = Some(process),
            }
        }
    }

    fn record_end(&mut self, process: &Process, status: ExitStatus) {
        if let Some(kill) = process.killed().filter(|kill| kill.served) {
            let span = (kill.at, Instant::now());
            self.hurt.push(span);
            self.kills.push(span);
        }
        self.printed.push(process.printed());
        self.printed.push(format!("-- {status}"));
    }

    /// Whether its process runs, what was done to it and what it printed last.
    pub(crate) fn describe(&self) -> String {
        let process = self.process.as_ref();
        process.map_or_else(|| "no process".to_owned(), Process::describe)
    }

    /// Processes that run.
    pub(crate) fn processes(&self) -> usize {
        self.earlier.iter().chain(&self.process).count()
    }

    /// Whether the process that let a connection in was killed before a call on it began.
    pub(crate) fn was_killed(&self, opened: Instant, begun: Instant) -> bool {
        let mut kills = self.kills.iter();
        kills.any(|(from, to)| opened <= *to && *from <= begun)
    }

    /// Whether it was killed at some time between these.
    pub(crate) fn kill_began(&self, from: Instant, to: Instant) -> bool {
        let mut kills = self.kills.iter();
        kills.any(|(at, _)| (from..=to).contains(at))
    }

    /// Whether it started or could begin to serve, or was paused or killed, at some time between these.
    pub(crate) fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        let mut started = self.started.iter();
        started.any(|at| (from..to).contains(at)) || self.was_hurt(from, to)
    }

    /// Whether a signal that asks nothing kept it from working at some time between these.
    pub(crate) fn was_hurt(&self, from: Instant, to: Instant) -> bool {
        let mut hurt = self.hurt.iter();
        hurt.any(|(begin, end)| *begin <= to && from <= *end)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.go_on();
        if let Some(folder) = std::env::var_os(LOGS) {
            let name = format!("{}.log", self.name());
            // The play counts, not whether its logs can be kept.
            let _ = fs::write(PathBuf::from(folder).join(name), self.lines("").join("\n"));
        }
        // A file that stays does no harm.
        let _ = fs::remove_file(&self.settings);
    }
}
