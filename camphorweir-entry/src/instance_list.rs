//! Polls the platform's instance list.

use {
    crate::{
        core_task::{Closed, Handle},
        fetch::HttpClient,
    },
    camphorweir_policy::event::Event,
    camphorweir_wire::list::Instance,
    std::time::Duration,
    tokio::time::{MissedTickBehavior, interval},
};

/// Time between polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// A poll without a response after this time has failed.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls until the core task has ended.
pub async fn run(client: HttpClient, url: String, core_handle: Handle) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let event = match fetch_list(&client, &url).await {
            Some(instances) => Event::InstancesListed(instances),
            None => Event::ListFailed,
        };
        if core_handle.send_event(event).await == Err(Closed) {
            return;
        }
    }
}

async fn fetch_list(client: &HttpClient, url: &str) -> Option<Vec<Instance>> {
    let body = client.get(url, POLL_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}
