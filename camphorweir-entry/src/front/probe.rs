//! Probes targets to learn whether they are alive, whether this instance reaches any, and whether they
//! ended under a request that broke off.

use {
    crate::front::{client::Client, permits::permits_ask, state::State, waiting::waiting_wake},
    camphorweir_platform::{
        control::{control_decode_report, control_report_call},
        response::response_decode_limit,
    },
    camphorweir_relay::{fleet::Target, ids::TargetId, permit::Answer},
    hyper::StatusCode,
    std::{io, time::Duration},
    tokio::time::timeout,
};

/// Pause between checks for targets that are due for a probe.
const DUE_CHECK_PAUSE: Duration = Duration::from_millis(120);
/// Timeout of a probe; one lost first packet must not count as two failed probes, and the pause
/// between probes is longer than this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes targets that are due; never returns.
pub async fn probe_run(state: State) {
    loop {
        // A suspected target gets no requests and may be the only one with its layers, so it is
        // probed at once; later probes follow the schedule. It makes no difference whether the
        // wait ends by a notification or by the timeout.
        let _ = timeout(DUE_CHECK_PAUSE, state.probe_wakeup().notified()).await;
        let (due, lost) = {
            let now = state.now();
            let mut router = state.router();
            let due = router.take_due_probes(now);
            (due, router.take_due_checks(now))
        };
        for id in lost.into_iter().filter(|id| !due.contains(id)) {
            tokio::spawn(check(state.clone(), id));
        }
        for id in due {
            tokio::spawn(probe(state.clone(), id));
        }
    }
}

/// Checks whether a target has ended under a request that broke off there.
async fn check(state: State, id: TargetId) {
    let target = state.router().fleet.get(&id).cloned();
    let Some(target) = target else {
        return;
    };
    let client = state.target_client(target.address);
    let result = ask(&state, client, &target).await;
    record_end(&state, &id, result);
    log::info!(target_name:% = id, result:? = result; "target checked after a request broke off");
}

/// Records what a probe says of requests that broke off at its target, and of the target's incarnation.
fn record_end(state: &State, id: &TargetId, result: Presence) {
    match result {
        Presence::Alive => state.router().suspects.record_alive(id),
        Presence::Restarted { started_ms } => {
            state.record_end(id);
            state.record_restart(id, started_ms);
        }
        Presence::Replaced | Presence::Ended => state.record_end(id),
        Presence::Silent => {}
    }
}

/// Asks a target that takes no requests whether that still holds.
pub async fn check_limit(state: State, target: Target) {
    let client = state.target_client(target.address);
    let result = ask(&state, client, &target).await;
    log::info!(target_name:% = target.id, result:? = result; "target checked for its limit");
}

/// Whether a target can be probed now: it has no limit, or there is a permit.
async fn may_probe(state: &State, target: &Target) -> bool {
    let (answer, _) = permits_ask(state, target, Duration::ZERO).await;
    !matches!(answer, Answer::Denied(_))
}

async fn probe(state: State, id: TargetId) {
    let target = state.router().fleet.get(&id).cloned();
    let Some(target) = target else {
        // The target's record ended, so the target was already removed.
        return;
    };
    if !may_probe(&state, &target).await {
        return;
    }
    let client = state.target_client(target.address);
    let result = ask(&state, client, &target).await;
    record_end(&state, &id, result);
    match result {
        Presence::Silent | Presence::Ended => state.record_silence(&id),
        Presence::Alive | Presence::Restarted { .. } | Presence::Replaced => {
            state.record_answer(&id)
        }
    }
    let now = state.now();
    let lives = result == Presence::Alive;
    match result {
        Presence::Alive | Presence::Silent => {
            state.router().tracker.record_probe(&id, lives, now);
        }
        Presence::Restarted { .. } | Presence::Replaced | Presence::Ended => {
            state.router().tracker.record_absence(&id, now);
        }
    }
    log::info!(target_name:% = id, lives = lives; "target probed");
    waiting_wake(&state, &target.service);
}

/// What a probe finds at the address of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    /// The target, in the incarnation that its record describes.
    Alive,
    /// A later incarnation, of this target or of what took its address.
    Restarted {
        /// Unix time of its start in ms.
        started_ms: u64,
    },
    /// Something else.
    Replaced,
    /// Nothing: a connection is refused.
    Ended,
    /// Nothing that answers.
    Silent,
}

async fn ask(state: &State, mut client: Client, target: &Target) -> Presence {
    match client.connect(PROBE_TIMEOUT).await {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Presence::Ended,
        Err(_) => return Presence::Silent,
    }
    let sent_at = state.now();
    let response = client.exchange(control_report_call(), PROBE_TIMEOUT).await;
    if let Ok((head, _)) = &response {
        let named = response_decode_limit(&head.headers);
        state.record_limit(&target.id, named, sent_at);
    }
    match response {
        Ok((head, body)) if head.status == StatusCode::OK => {
            let Ok(report) = control_decode_report(&body) else {
                return Presence::Replaced;
            };
            match report.started_ms {
                Some(started_ms) if started_ms > target.started_ms => {
                    Presence::Restarted { started_ms }
                }
                Some(started_ms) if started_ms < target.started_ms => Presence::Replaced,
                _ => Presence::Alive,
            }
        }
        Ok(_) => Presence::Replaced,
        Err(_) => Presence::Silent,
    }
}
