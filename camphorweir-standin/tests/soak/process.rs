//! A process of an entry, from its start to its end.

use {
    crate::{child::Child, entry::GRACE},
    std::{
        os::unix::process::ExitStatusExt,
        process::{Command, ExitStatus},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Processor time that a process takes to load, before its `main` can set handlers of signals.
const LOADING: Duration = Duration::from_millis(3);
/// Age above which a process has loaded, however busy the machine is.
const LOADED: Duration = Duration::from_millis(100);
/// Bytes of what a process printed that a failure shows.
const LAST_PRINTED: usize = 4_000;
const SIGKILL: i32 = 9;

/// A signal that asks for something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Signal {
    Hangup,
    Interrupt,
    Terminate,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Hangup => "HUP",
            Self::Interrupt => "INT",
            Self::Terminate => "TERM",
        }
    }

    fn number(self) -> i32 {
        match self {
            Self::Hangup => 1,
            Self::Interrupt => 2,
            Self::Terminate => 15,
        }
    }
}

/// When a process was killed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kill {
    pub(crate) at: Instant,
    /// Whether it may have served callers.
    pub(crate) served: bool,
}

/// Since when a process is paused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub(crate) since: Instant,
    /// Whether it may have served callers.
    pub(crate) served: bool,
}

/// A process, and what it was told.
pub(crate) struct Process {
    child: Child,
    started: Instant,
    /// When it was first told to stop.
    told: Option<Instant>,
    killed: Option<Kill>,
    /// Signals that it got before it had loaded, as long as none came later: the kernel's default for them
    /// is its end.
    early: Vec<Signal>,
    paused: Option<Pause>,
    /// Whether it was paused after it was told to stop.
    was_paused: bool,
}

impl Process {
    /// Starts one.
    pub(crate) fn start(command: Command) -> Self {
        Self {
            child: Child::start("entry", command),
            started: Instant::now(),
            told: None,
            killed: None,
            early: Vec::new(),
            paused: None,
            was_paused: false,
        }
    }

    /// All that it printed so far.
    pub(crate) fn printed(&self) -> String {
        self.child.printed()
    }

    /// Time since its start.
    pub(crate) fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether it was told to stop, or killed.
    pub(crate) fn is_told(&self) -> bool {
        self.told.is_some() || self.killed.is_some()
    }

    /// When it was killed.
    pub(crate) fn killed(&self) -> Option<Kill> {
        self.killed
    }

    /// Processor time that it has taken; zero where the system doesn't tell.
    fn processor_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.child.process.id());
        let stat = std::fs::read_to_string(path).unwrap_or_default();
        let nanos = stat.split_whitespace().next().map(str::parse);
        Duration::from_nanos(nanos.and_then(Result::ok).unwrap_or_default())
    }

    /// Sends a signal; says whether it is the first that tells it to stop.
    pub(crate) fn signal(&mut self, signal: Signal) -> bool {
        if self.age() < LOADED && self.processor_time() < LOADING {
            self.early.push(signal);
        } else {
            self.early.clear();
        }
        self.child.signal(signal.name());
        let is_first = signal != Signal::Hangup && self.told.is_none();
        if is_first {
            self.told = Some(Instant::now());
        }
        is_first
    }

    /// Whether it is paused.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused.is_some()
    }

    /// Pauses it.
    pub(crate) fn pause(&mut self, served: bool) {
        self.child.signal("STOP");
        let since = Instant::now();
        self.paused = Some(Pause { since, served });
    }

    /// Lets it go on after a pause, which is returned.
    pub(crate) fn go_on(&mut self) -> Option<Pause> {
        let pause = self.paused.take()?;
        self.child.signal("CONT");
        self.was_paused |= self.told.is_some();
        Some(pause)
    }

    /// Kills it without waiting for its end.
    pub(crate) fn kill(&mut self, served: bool) {
        let at = Instant::now();
        self.child.kill_at_once();
        self.killed.get_or_insert(Kill { at, served });
    }

    /// Its status once it has ended.
    ///
    /// # Panics
    ///
    /// When it ended and nobody had asked for it, or did not end in time.
    pub(crate) fn check(&mut self, name: &str) -> Option<ExitStatus> {
        let now = Instant::now();
        let Some(status) = self.child.ended() else {
            let is_excused = self.is_paused() || self.was_paused || self.killed.is_some();
            let is_late = self.told.is_some_and(|told| now - told >= GRACE);
            assert!(
                is_excused || !is_late,
                "{name}: did not end in time: {}",
                self.describe()
            );
            return None;
        };
        assert!(
            self.may_end(status),
            "{name}: ended untold, {status}: {}",
            self.describe()
        );
        Some(status)
    }

    fn may_end(&self, status: ExitStatus) -> bool {
        match status.signal() {
            Some(SIGKILL) => self.killed.is_some(),
            Some(signal) => self.early.iter().any(|early| early.number() == signal),
            None => self.told.is_some() && status.success(),
        }
    }

    /// What was done to it, and what it printed last.
    pub(crate) fn describe(&self) -> String {
        let printed = self.printed();
        let last = printed.len().saturating_sub(LAST_PRINTED);
        let last = printed.get(last..).unwrap_or(&printed);
        let told = self.told.map(|told| told.elapsed());
        let killed = self.killed.map(|kill| kill.at.elapsed());
        format!(
            "{:?} old, told to stop {told:?} and killed {killed:?} ago, signals while it loaded: {:?}, printed: {last}",
            self.age(),
            self.early,
        )
    }
}
