//! Supervises the tasks of the process: restarts one that fails, and ends the process with a result
//! code when one keeps failing.

use {
    camphorweir_wire::code::Code,
    rand::Rng,
    std::{future::Future, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// First and longest delay before a child is restarted.
const RESTART_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// Failures within [`FAILURE_WINDOW`] that end the process.
const MAX_FAILURES: usize = 8;
/// Time over which failures are counted.
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

/// Starts child tasks and reports those that keep failing.
#[derive(Clone, Debug)]
pub struct Supervisor {
    fatal: mpsc::Sender<Code>,
}

impl Supervisor {
    /// A supervisor, and the result codes of children that keep failing.
    pub fn new() -> (Self, mpsc::Receiver<Code>) {
        let (fatal, codes) = mpsc::channel(8);
        (Self { fatal }, codes)
    }

    /// Starts a child, and restarts it with `make` after a panic. A child that returns is not
    /// restarted.
    pub fn spawn<F>(&self, name: &'static str, make: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let fatal = self.fatal.clone();
        tokio::spawn(async move {
            let mut backoff = Backoff::new(RESTART_BACKOFF.0, RESTART_BACKOFF.1);
            let mut failures: Vec<Instant> = Vec::new();
            while let Err(error) = tokio::spawn(make()).await {
                log::error!(child = name, reason:% = error; "task failed");
                failures.retain(|time| time.elapsed() < FAILURE_WINDOW);
                failures.push(Instant::now());
                if failures.len() >= MAX_FAILURES {
                    // Fails only when the process is ending already.
                    let _ = fatal.send(Code::Internal).await;
                    return;
                }
                tokio::time::sleep(backoff.next_delay()).await;
            }
        });
    }

    /// Starts a child whose state can't be recreated: its first failure ends the process.
    pub fn spawn_once<F>(&self, name: &'static str, child: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let fatal = self.fatal.clone();
        tokio::spawn(async move {
            if let Err(error) = tokio::spawn(child).await {
                log::error!(child = name, reason:% = error; "task failed");
                let _ = fatal.send(Code::Internal).await;
            }
        });
    }
}
