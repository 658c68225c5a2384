//! Detects stalled streams: the first target of a path knows which hop is unresponsive. Late targets
//! without layers are asked for a sign of life.

use {
    crate::front::{exchange::SendError, state::State},
    camphorweir_platform::control::{control_decode_stalled, control_report_call},
    camphorweir_relay::{
        retry::Failure,
        router::{Admission, Plan},
    },
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

/// Time without data after which the first target is asked for its stalled streams. Events come
/// every 50 ms or so; a pause over 250 ms already makes a response late, and callers disconnect
/// after two seconds.
pub const STALL_CHECK_DELAY: Duration = Duration::from_millis(350);
/// The same delay while a hop of the path is already suspected.
pub const SUSPECT_STALL_CHECK_DELAY: Duration = Duration::from_millis(150);
/// Pause before the next request to a target that reported no stall.
const RECHECK_PAUSE: Duration = Duration::from_millis(250);
/// How long a stream that can't go on elsewhere waits for a hop that seems stalled, after the first
/// question; a sound target may be silent for a second, and callers leave after two.
const SILENCE_PATIENCE: Duration = Duration::from_millis(1_250);
/// Pause between questions to a target without layers that is late.
const SLOW_TARGET_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a report request; within the zone the response takes a few ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Age up to which a cached report is used again, so that streams at one target share a request.
const REPORT_MAX_AGE: Duration = Duration::from_millis(100);

/// Request ids of the streams that a target reports as stalled, each with the unresponsive hop.
type StalledStreams = Vec<(String, SocketAddr)>;
/// The last report of a target and when it came; the inner `None` means no response.
type CachedReport = Arc<AsyncMutex<Option<(Instant, Option<StalledStreams>)>>>;

/// Cached stall reports by the address of the first target, shared by all its streams.
#[derive(Clone, Debug, Default)]
pub struct Reports(Arc<Mutex<HashMap<SocketAddr, CachedReport>>>);

impl Reports {
    fn entry(&self, address: SocketAddr) -> CachedReport {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.entry(address).or_default().clone()
    }

    /// Drops the reports that no stream is waiting for.
    pub fn sweep(&self) {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|_, report| Arc::strong_count(report) > 1);
    }
}

/// Runs `send` until the response head arrives; fails when a hop of the path is found unresponsive.
/// A late target without layers is only asked for a sign of life.
///
/// # Errors
///
/// The error of `send`, or [`Failure::Broken`] with the address of the unresponsive hop.
pub async fn with_stall_check<T>(
    state: &State,
    request: &Admission,
    plan: &Plan,
    send: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    if plan.is_detour() {
        return send.await;
    }
    let stall = async {
        sleep(STALL_CHECK_DELAY).await;
        match plan.path() {
            Some(_) => wait_for_stall(state, request, plan).await,
            None => watch_slow_target(state, plan).await,
        }
    };
    tokio::select! {
        biased;
        result = send => result,
        faulty_target = stall => Err((Failure::Broken, Some(faulty_target))),
    }
}

/// Asks a target without layers, which is late, whether it is there at all; never returns, as a
/// request that it may be running is not given up.
async fn watch_slow_target(state: &State, plan: &Plan) -> SocketAddr {
    loop {
        if fetch_stalled(state, plan).await.is_none() {
            state.wake_prober();
        }
        sleep(SLOW_TARGET_PAUSE).await;
    }
}

/// Waits until a stream is found to be stalled; returns the address of the faulty hop. A stream that
/// can't go on elsewhere is left [`SILENCE_PATIENCE`] in addition, as the hop may be silent for a
/// moment only.
pub async fn wait_for_stall(state: &State, request: &Admission, plan: &Plan) -> SocketAddr {
    let asked_at = Instant::now();
    loop {
        let faulty_target = match fetch_stalled(state, plan).await {
            None => Some(plan.address),
            Some(stalled) => {
                let mut stalled = stalled.into_iter();
                let own = stalled.find(|(stream, _)| **stream == *request.id);
                own.map(|(_, faulty_target)| faulty_target)
            }
        };
        if let Some(faulty_target) = faulty_target {
            let now = state.now();
            let may_give_up = state.router().may_give_up(request, now);
            if may_give_up || asked_at.elapsed() >= SILENCE_PATIENCE {
                return faulty_target;
            }
            log::debug!(
                request:% = request.id,
                at:% = faulty_target;
                "stalled stream waits, as it can't go on elsewhere"
            );
        }
        sleep(RECHECK_PAUSE).await;
    }
}

/// The streams that the first target of a plan reports as stalled; `None` when there is no response.
async fn fetch_stalled(state: &State, plan: &Plan) -> Option<StalledStreams> {
    let address = plan.address;
    let report = state.stall_reports().entry(address);
    let mut report = report.lock().await;
    if let Some((received_at, stalled)) = &*report
        && received_at.elapsed() < REPORT_MAX_AGE
    {
        return stalled.clone();
    }
    let mut client = state.target_client(address);
    let response = client.call(control_report_call(), REPORT_TIMEOUT).await;
    match response {
        Ok(_) => state.record_answer(&plan.target),
        Err(_) => state.record_silence(&plan.target),
    }
    let stalled = match response {
        Ok((200, body)) => control_decode_stalled(&body)
            .inspect_err(|reason| {
                log::warn!(
                    address:% = address,
                    reason = reason;
                    "stall report could not be decoded"
                )
            })
            .ok(),
        // A target that responds with any status is alive.
        Ok(_) => Some(StalledStreams::new()),
        Err(error) => {
            log::info!(
                address:% = address,
                reason:% = error;
                "target did not respond to the stall report request"
            );
            None
        }
    };
    *report = Some((Instant::now(), stalled.clone()));
    stalled
}
