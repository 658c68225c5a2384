//! Probes unresponsive targets to learn whether they are alive.

use {
    crate::front::{client::Client, state::State},
    camphorweir_platform::control::{control_decode_report, control_report_call},
    camphorweir_relay::{fleet::Target, ids::TargetId},
    std::time::Duration,
    tokio::time::timeout,
};

/// Pause between checks for targets that are due for a probe.
const DUE_CHECK_PAUSE: Duration = Duration::from_millis(120);
/// Timeout of a probe; one lost first packet must not count as two failed probes, and the pause
/// between probes is longer than this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes unresponsive targets; never returns.
pub async fn probe_run(state: State) {
    loop {
        // A suspected target gets no requests and may be the only one with its layers, so it is
        // probed at once; later probes follow the schedule. It makes no difference whether the
        // wait ends by a notification or by the timeout.
        let _ = timeout(DUE_CHECK_PAUSE, state.probe_wakeup().notified()).await;
        let due = {
            let mut router = state.router();
            router.tracker.take_due_probes(state.now())
        };
        for id in due {
            tokio::spawn(probe(state.clone(), id));
        }
    }
}

async fn probe(state: State, id: TargetId) {
    let target = state.router().fleet.get(&id).cloned();
    let Some(target) = target else {
        // The target's record ended, so the target was already removed.
        return;
    };
    let client = state.target_client(target.address);
    let alive = is_alive(client, &target).await;
    let now = state.now();
    state.router().tracker.record_probe(&id, alive, now);
    log::info!(target_name:% = id, lives = alive; "unresponsive target probed");
}

/// Whether the target answers and is still the incarnation that its record describes.
async fn is_alive(mut client: Client, target: &Target) -> bool {
    let response = client.call(control_report_call(), PROBE_TIMEOUT).await;
    match response {
        Ok((200, body)) => control_decode_report(&body).is_ok_and(|report| {
            report
                .started_ms
                .is_none_or(|started_ms| started_ms == target.started_ms)
        }),
        // Another service may have the address by now.
        Ok(_) | Err(_) => false,
    }
}
