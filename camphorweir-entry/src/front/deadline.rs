//! Waits until the deadline of a request, which a newer configuration may bring forward.

use {
    crate::front::state::State,
    camphorweir_relay::router::Admission,
    std::future::Future,
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
