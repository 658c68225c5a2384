//! Waits for the deadline of a request, which a newer configuration may bring forward, and for the end of
//! the process.

use {
    crate::front::state::State,
    camphorweir_relay::{
        router::Admission,
        shutdown::{Stop, shutdown_latest_body},
    },
    std::future::{Future, pending},
    tokio::{select, time::sleep},
};

/// What a future completes with; `None` if the deadline of the request passes before.
pub async fn deadline_within<F: Future>(
    state: &State,
    request: &Admission,
    future: F,
) -> Option<F::Output> {
    select! {
        biased;
        output = future => Some(output),
        () = deadline_passed(state, request) => None,
    }
}

/// Completes at the deadline.
pub async fn deadline_passed(state: &State, request: &Admission) {
    let mut versions = state.subscribe_configuration();
    loop {
        versions.mark_unchanged();
        let deadline = state.router().revision_deadline(request);
        select! {
            () = sleep(deadline.saturating_sub(state.now())) => return,
            Ok(()) = versions.changed() => {}
        }
    }
}

/// Completes when the shutdown begins, with its times.
pub async fn stop_begun(state: &State) -> Stop {
    let mut stopping = state.subscribe_stop();
    let stop = stopping.wait_for(Option::is_some).await;
    match stop.ok().and_then(|stop| *stop) {
        Some(stop) => stop,
        None => pending().await,
    }
}

/// Completes when a request whose body still arrives can't be answered any more before the process ends.
pub async fn stop_body_late(state: &State, request: &Admission) {
    let stop = stop_begun(state).await;
    let latest = shutdown_latest_body(request, &stop);
    sleep(latest.saturating_sub(state.now())).await;
}

/// Completes when an answer that begins later would not reach its caller before the process ends.
pub async fn stop_last_answer(state: &State) {
    let stop = stop_begun(state).await;
    sleep(stop.last_answer_at().saturating_sub(state.now())).await;
}
