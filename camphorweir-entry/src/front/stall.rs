//! Detects stalled streams: the first target of a path knows which hop is unresponsive. Late targets
//! without layers are asked for a sign of life.

use {
    crate::front::state::State,
    camphorweir_platform::control::{control_decode_stalled, control_report_call},
    camphorweir_relay::{
        replacement::Step,
        router::{Admission, Plan},
    },
    std::{
        collections::HashMap,
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
pub const RECHECK_PAUSE: Duration = Duration::from_millis(250);
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

/// Asks a target without layers, which is late, whether it is there at all; never returns, as a
/// request that it may be running is not given up.
pub async fn watch_slow_target<T>(state: &State, plan: &Plan) -> T {
    if plan.is_detour() {
        return std::future::pending().await;
    }
    loop {
        if fetch_stalled(state, plan).await.is_none() {
            state.wake_prober();
        }
        sleep(SLOW_TARGET_PAUSE).await;
    }
}

/// Waits until a target of a plan is silent, or reported as stalled, and the request may be sent
/// elsewhere; returns its address. While it may not, the send goes on, and the target is asked no more
/// once it is suspected and so probed.
pub async fn stall_wait(state: &State, request: &Admission, plan: &Plan) -> SocketAddr {
    let asked_at = Instant::now();
    loop {
        let faulty = find_stalled(state, request, plan).await;
        while let Some(faulty) = faulty {
            let now = state.now();
            let step = {
                let (mut router, asked_for) = (state.router(), asked_at.elapsed());
                let step = router.replacement_step(request, asked_for, now);
                if step != Step::Wait {
                    router.record_silent(plan, faulty, asked_for, now);
                }
                step
            };
            match step {
                Step::Wait => break,
                Step::Suspect => state.wake_prober(),
                Step::Seek => {
                    state.wake_prober();
                    return faulty;
                }
            }
            sleep(RECHECK_PAUSE).await;
            let now = state.now();
            if !state.router().is_silent(plan, faulty, now) {
                break;
            }
        }
        sleep(RECHECK_PAUSE).await;
    }
}

/// Asks the first target of a plan; returns its address if it is silent, or that of the hop at which it
/// reports the request as stalled.
async fn find_stalled(state: &State, request: &Admission, plan: &Plan) -> Option<SocketAddr> {
    let Some(stalled) = fetch_stalled(state, plan).await else {
        return Some(plan.address);
    };
    let mut stalled = stalled.into_iter();
    // Another send of the same request may be stalled at another path of that target.
    let is_own = |(stream, faulty): &(String, SocketAddr)| {
        **stream == *request.id && plan.has_address(*faulty)
    };
    let own = stalled.find(is_own);
    own.map(|(_, faulty)| faulty)
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
