//! Finds out why a stream is quiet: the target that got it knows which hop does not answer.

use {
    crate::front::{client::Client, exchange::SendError, state::State},
    camphorweir_platform::order::{order_report, order_stalled},
    camphorweir_relay::{desk::Plan, repeat::Failure},
    std::{
        collections::HashMap,
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Mutex as AsyncMutex,
        time::{Instant, sleep},
    },
};

/// Time without an event after which the first target is asked. Events come every 50 ms or so; a
/// pause over 250 ms already makes an answer late, and callers leave after two seconds.
pub const STALL_CHECK_DELAY: Duration = Duration::from_millis(350);
/// The same while a hop of the path is known to fail.
pub const SUSPECT_STALL_CHECK_DELAY: Duration = Duration::from_millis(150);
/// Pause before a target is asked again that said nothing is wrong.
const AGAIN: Duration = Duration::from_millis(250);
/// Time for the first target to answer; in its zone it takes a few ms.
const ANSWER: Duration = Duration::from_millis(250);
/// A report serves all streams that ask within this time.
const FRESH: Duration = Duration::from_millis(100);

/// Streams that a target says are stalled, with the hop that does not answer.
type Stalled = Vec<(String, SocketAddr)>;
/// The last report of a target and when it came; `None` when it did not answer.
type Report = Arc<AsyncMutex<Option<(Instant, Option<Stalled>)>>>;

/// Reports of first targets, shared by the streams that wait on them.
#[derive(Clone, Debug, Default)]
pub struct Reports(Arc<Mutex<HashMap<SocketAddr, Report>>>);

impl Reports {
    fn of(&self, address: SocketAddr) -> Report {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.entry(address).or_default().clone()
    }

    /// Forgets all reports that nobody waits for.
    pub fn sweep(&self) {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, report| Arc::strong_count(report) > 1);
    }
}

/// Waits for the head of an answer; gives up when a hop of the path is found not to answer.
///
/// # Errors
///
/// That of `send`, or the hop at fault.
pub async fn with_stall_check<T>(
    state: &State,
    id: &str,
    plan: &Plan,
    send: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    if plan.path.is_none() {
        return send.await;
    }
    let stall = async {
        sleep(STALL_CHECK_DELAY).await;
        wait_for_stall(state, id, plan).await
    };
    tokio::select! {
        biased;
        done = send => done,
        at = stall => Err((Failure::Broken, Some(at))),
    }
}

/// Returns when a quiet stream is known to be stalled, with the hop at fault.
pub async fn wait_for_stall(state: &State, id: &str, plan: &Plan) -> SocketAddr {
    loop {
        match stalled(state, plan.address).await {
            None => return plan.address,
            Some(stalled) => {
                let mut stalled = stalled.into_iter();
                if let Some((_, at)) = stalled.find(|(stream, _)| stream == id) {
                    return at;
                }
            }
        }
        sleep(AGAIN).await;
    }
}

/// What a target reports as stalled; `None` when it does not answer.
async fn stalled(state: &State, address: SocketAddr) -> Option<Stalled> {
    let report = state.stall_reports().of(address);
    let mut report = report.lock().await;
    if let Some((at, stalled)) = &*report
        && at.elapsed() < FRESH
    {
        return stalled.clone();
    }
    let mut client = Client::new(address);
    let answer = client.call(order_report(), ANSWER).await;
    let stalled = match answer {
        Ok((200, body)) => order_stalled(&body)
            .inspect_err(
                |reason| log::warn!(address:% = address, reason = reason; "report can't be read"),
            )
            .ok(),
        // A target that answers at all is there.
        Ok(_) => Some(Stalled::new()),
        Err(fault) => {
            log::info!(address:% = address, reason:% = fault; "no report");
            None
        }
    };
    *report = Some((Instant::now(), stalled.clone()));
    stalled
}
