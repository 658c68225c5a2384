//! Polls the platform's instance list.

use {
    crate::{
        core_task::{Closed, Handle},
        fetch::Fetch,
    },
    camphorweir_policy::event::Event,
    camphorweir_wire::list::Instance,
    std::time::Duration,
    tokio::time::{MissedTickBehavior, interval},
};

/// Time between two polls.
const EVERY: Duration = Duration::from_secs(1);
/// A poll without an answer after this time has failed.
const LIMIT: Duration = Duration::from_secs(1);

/// Polls until the core's task is gone.
pub async fn run(fetch: Fetch, url: String, core_handle: Handle) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let event = match read(&fetch, &url).await {
            Some(instances) => Event::Listed(instances),
            None => Event::ListFailed,
        };
        if core_handle.send_event(event).await == Err(Closed) {
            return;
        }
    }
}

async fn read(fetch: &Fetch, url: &str) -> Option<Vec<Instance>> {
    let body = fetch.get(url, LIMIT).await.ok()?;
    serde_json::from_slice(&body).ok()
}
