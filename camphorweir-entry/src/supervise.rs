//! Keeps the tasks of the process up: one that fails is started again, one that keeps failing ends
//! the process with a numbered code.

use {
    camphorweir_wire::code::Code,
    rand::Rng,
    std::{future::Future, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// First and longest pause before a child is started again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// Failures within [`WINDOW`] that end the process.
const FAILURES: usize = 8;
/// The time over which failures are counted.
const WINDOW: Duration = Duration::from_secs(30);

/// Pauses that double, each with jitter.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Pauses from `first` to `longest`.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The next pause: between half and the whole of the step.
    pub fn pause(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(self.longest);
        step.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Starts at the first pause again.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Starts children and learns which of them can't be kept up.
#[derive(Clone, Debug)]
pub struct Tree {
    fatal: mpsc::Sender<Code>,
}

impl Tree {
    /// A tree, and the codes of children that can't be kept up.
    pub fn new() -> (Self, mpsc::Receiver<Code>) {
        let (fatal, codes) = mpsc::channel(8);
        (Self { fatal }, codes)
    }

    /// Keeps a child up; `make` starts another life of it after a panic. A child that
    /// returns is done.
    pub fn child<F>(&self, name: &'static str, make: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let fatal = self.fatal.clone();
        tokio::spawn(async move {
            let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
            let mut failures: Vec<Instant> = Vec::new();
            while let Err(error) = tokio::spawn(make()).await {
                log::error!(child = name, reason:% = error; "child failed");
                failures.retain(|time| time.elapsed() < WINDOW);
                failures.push(Instant::now());
                if failures.len() >= FAILURES {
                    // The process is ending already when nobody listens.
                    let _ = fatal.send(Code::Internal).await;
                    return;
                }
                tokio::time::sleep(backoff.pause()).await;
            }
        });
    }

    /// Starts a child whose state can't be made again: its first failure ends the process.
    pub fn only<F>(&self, name: &'static str, child: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let fatal = self.fatal.clone();
        tokio::spawn(async move {
            if let Err(error) = tokio::spawn(child).await {
                log::error!(child = name, reason:% = error; "child failed");
                let _ = fatal.send(Code::Internal).await;
            }
        });
    }
}
