//! Waits at the start of the process for what comes without an operator: a settings file that is being
//! written, an address that another process is about to give back.

use {
    crate::process::Failure,
    camphorweir_wire::code::Code,
    rustix::io::Errno,
    std::{fmt::Display, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::Notify,
        time::{Instant, sleep, timeout},
    },
};

/// Limit on the wait for the settings file. Whoever starts the process writes the file at about the same
/// time; one that stays away needs an operator.
pub const SETTINGS_WAIT: Duration = Duration::from_secs(10);
/// Added to the time in which a predecessor shuts down, as it may be told to stop only after this start and
/// is gone a moment after it was killed.
pub const PREDECESSOR_MARGIN: Duration = Duration::from_secs(10);
/// Limit on every wait, whatever the settings say; a longer one needs an operator.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Pause between two attempts at the start.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two attempts of a process that serves without what it tries to get.
const BACKGROUND_PAUSE: Duration = Duration::from_secs(1);

/// Why an attempt failed.
#[derive(Debug)]
pub struct Obstacle<E> {
    /// The cause.
    pub reason: E,
    /// Whether a later attempt may succeed without an operator.
    pub passes: bool,
}

/// How long the start waits for something, and what ends a pause early.
#[derive(Clone, Copy, Debug)]
pub struct Wait<'a> {
    deadline: Instant,
    retry_now: &'a Notify,
}

impl<'a> Wait<'a> {
    /// A wait that begins now; an attempt is made at once when `retry_now` is notified.
    pub fn new(limit: Duration, retry_now: &'a Notify) -> Self {
        Self {
            deadline: Instant::now() + limit.min(MAX_WAIT),
            retry_now,
        }
    }

    /// Repeats an attempt until it succeeds. Says once that the start waits for `awaited`, and how the wait
    /// ended.
    ///
    /// # Errors
    ///
    /// The last failure: one that does not pass by itself, or the one at the end of the wait.
    pub async fn attempt<T, E, F>(
        self,
        awaited: &str,
        mut attempt: impl FnMut() -> F,
    ) -> Result<T, E>
    where
        E: Display,
        F: Future<Output = Result<T, Obstacle<E>>>,
    {
        let mut since = None;
        loop {
            let Obstacle { reason, passes } = match attempt().await {
                Ok(value) => {
                    log_end(awaited, since);
                    return Ok(value);
                }
                Err(failed) => failed,
            };
            let left = self.deadline.saturating_duration_since(Instant::now());
            if !passes || left.is_zero() {
                if let Some(since) = since {
                    log::error!(
                        awaited = awaited,
                        waited_ms = waited_ms(since),
                        reason:% = reason;
                        "start waits no longer"
                    );
                }
                return Err(reason);
            }
            if since.is_none() {
                since = Some(Instant::now());
                log::warn!(
                    awaited = awaited,
                    limit_ms = left.as_millis() as u64,
                    reason:% = reason;
                    "start waits"
                );
            }
            // A timeout is the regular end of a pause.
            let _ = timeout(RETRY_PAUSE.min(left), self.retry_now.notified()).await;
        }
    }

    /// Binds a listener.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the address can't be bound, or not before the end of the wait.
    pub async fn bind(
        self,
        awaited: &str,
        address: SocketAddr,
    ) -> Result<Arc<TcpListener>, Failure> {
        let bound = self.attempt(awaited, || startup_bind(address));
        bound.await.map(Arc::new)
    }
}

/// Tries to bind a listener once.
///
/// # Errors
///
/// Why the address can't be bound, and whether that passes.
pub async fn startup_bind(address: SocketAddr) -> Result<TcpListener, Obstacle<Failure>> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| Obstacle {
        passes: startup_bind_passes(&error),
        reason: Failure {
            code: Code::AddressInUse,
            what: format!("{address}: {error}"),
        },
    })
}

fn log_end(awaited: &str, since: Option<Instant>) {
    if let Some(since) = since {
        log::info!(awaited = awaited, waited_ms = waited_ms(since); "start continues");
    }
}

fn waited_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// Whether a failure to bind an address passes without an operator: the address is in use or is not that of
/// the machine yet, or the machine is short of descriptors, buffers or memory.
pub fn startup_bind_passes(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::ADDRINUSE
                | Errno::ADDRNOTAVAIL
                | Errno::AGAIN
                | Errno::INTR
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
        )
    )
}

/// Repeats an attempt until it succeeds, for what the process serves without. Says once that `missing` is
/// missing, and when it is there.
pub async fn startup_background<T, F>(missing: &str, mut attempt: impl FnMut() -> F) -> T
where
    F: Future<Output = io::Result<T>>,
{
    let mut since = None;
    loop {
        match attempt().await {
            Ok(value) => {
                if let Some(since) = since {
                    log::info!(missing = missing, waited_ms = waited_ms(since); "no longer missing");
                }
                return value;
            }
            Err(error) if since.is_none() => {
                since = Some(Instant::now());
                log::warn!(missing = missing, reason:% = error; "serving without; trying again");
            }
            Err(_) => {}
        }
        sleep(BACKGROUND_PAUSE).await;
    }
}
