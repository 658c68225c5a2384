//! Supervises the tasks of the process: restarts one that fails, and ends the process with a result
//! code when one that callers need keeps failing.

use {
    crate::process::Failure,
    camphorweir_wire::code::Code,
    opentelemetry::{KeyValue, metrics::Counter},
    rand::Rng,
    std::{
        future::Future,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        task::JoinError,
        time::{Instant, sleep},
    },
};

/// First delay before a child is restarted.
const FIRST_RESTART_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a child that callers need is restarted.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(2);
/// Longest delay before a child that the process can serve without is restarted.
const MAX_OPTIONAL_RESTART_DELAY: Duration = Duration::from_secs(5);
/// Failures within [`FAILURE_WINDOW`] of a child that callers need that end the process.
const MAX_FAILURES: usize = 8;
/// Time over which failures are counted; a child that ran for as long is restarted after the first delay again.
const FAILURE_WINDOW: Duration = Duration::from_secs(30);

/// Exponential backoff with jitter.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Delays from `first` to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The next delay: between half and all of the current step, which then doubles.
    pub fn next_delay(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        step.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Resets to the first delay.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// What becomes of the process when a child keeps failing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Need {
    /// Callers can't be served without the child: the process ends.
    Required,
    /// The child is restarted for as long as the process runs.
    Optional,
}

/// Starts child tasks and reports those that keep failing.
#[derive(Clone, Debug)]
pub struct Supervisor {
    fatal: mpsc::Sender<Code>,
    /// The first child whose failure ends the process.
    failed: Arc<OnceLock<&'static str>>,
    failures: Option<Counter<u64>>,
}

impl Supervisor {
    /// A supervisor, and the result codes of children that keep failing.
    pub fn new() -> (Self, mpsc::Receiver<Code>) {
        let (fatal, codes) = mpsc::channel(8);
        let supervisor = Self {
            fatal,
            failed: Arc::default(),
            failures: None,
        };
        (supervisor, codes)
    }

    /// Counts the failures of children by their names.
    pub fn with_counter(mut self, failures: Counter<u64>) -> Self {
        self.failures = Some(failures);
        self
    }

    /// Name of the first child whose failure ends the process.
    pub fn failed_child(&self) -> Option<&'static str> {
        self.failed.get().copied()
    }

    /// What operators are told when a child ends the process with this code.
    pub fn failure(&self, code: Code) -> Failure {
        let child = self.failed_child().unwrap_or_default();
        Failure {
            code,
            what: format!("the task `{child}` keeps failing"),
        }
    }

    /// Waits until `stop` completes.
    ///
    /// # Errors
    ///
    /// [`Failure`] when a child that callers need keeps failing before.
    pub async fn wait_for(
        &self,
        codes: &mut mpsc::Receiver<Code>,
        stop: impl Future<Output = ()>,
    ) -> Result<(), Failure> {
        tokio::select! {
            () = stop => Ok(()),
            Some(code) = codes.recv() => Err(self.failure(code)),
        }
    }

    /// Starts a child that callers need, and restarts it with `make` after a panic; when it keeps failing,
    /// the process ends. A child that returns is not restarted.
    pub fn spawn<F>(&self, name: &'static str, make: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(self.clone().supervise(name, Need::Required, make));
    }

    /// Starts a child that the process can serve without, and restarts it with `make` after each panic.
    /// A child that returns is not restarted.
    pub fn spawn_optional<F>(&self, name: &'static str, make: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        tokio::spawn(self.clone().supervise(name, Need::Optional, make));
    }

    /// Starts a child whose state can't be recreated: its first failure ends the process.
    pub fn spawn_once<F>(&self, name: &'static str, child: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let supervisor = self.clone();
        tokio::spawn(async move {
            if let Err(error) = tokio::spawn(child).await {
                supervisor.record_failure(name, 1, &error);
                supervisor.report(name).await;
            }
        });
    }

    async fn supervise<F>(self, name: &'static str, need: Need, make: impl Fn() -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let longest = match need {
            Need::Required => MAX_RESTART_DELAY,
            Need::Optional => MAX_OPTIONAL_RESTART_DELAY,
        };
        let mut backoff = Backoff::new(FIRST_RESTART_DELAY, longest);
        let (mut total, mut failures) = (0, Vec::new());
        let mut started_at = Instant::now();
        while let Err(error) = tokio::spawn(make()).await {
            total += 1;
            self.record_failure(name, total, &error);
            if started_at.elapsed() >= FAILURE_WINDOW {
                backoff.reset();
            }
            failures.retain(|time: &Instant| time.elapsed() < FAILURE_WINDOW);
            failures.push(Instant::now());
            if need == Need::Required && failures.len() >= MAX_FAILURES {
                return self.report(name).await;
            }
            sleep(backoff.next_delay()).await;
            started_at = Instant::now();
        }
    }

    /// Logs and counts a failure of a child, the `total`th.
    fn record_failure(&self, name: &'static str, total: u64, error: &JoinError) {
        log::error!(child = name, failures = total, reason:% = error; "task failed");
        if let Some(failures) = &self.failures {
            failures.add(1, &[KeyValue::new("task", name)]);
        }
    }

    async fn report(&self, name: &'static str) {
        self.failed.get_or_init(|| name);
        // Fails only when the process is ending already.
        let _ = self.fatal.send(Code::Internal).await;
    }
}
