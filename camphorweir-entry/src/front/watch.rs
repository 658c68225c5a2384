//! Reads the configuration and the list of targets from the store.

use {
    crate::{
        front::{client::Client, state::State},
        supervise::Backoff,
    },
    bytes::Bytes,
    camphorweir_platform::{
        configuration::{CONFIGURATION_KEY, configuration_decode},
        record::record_decode,
        store::{
            Batch, CONFIGURATION_TOPIC, Error, Record, TARGETS_TOPIC, store_decode_batch,
            store_decode_page, store_newest_call, store_read_call,
        },
    },
    camphorweir_relay::{fleet::Change, ids::Time, source::Source},
    camphorweir_wire::replication::List,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest time that the store holds a configuration read open. A read confirms what was newest at
/// its start, so the data of a reader is up to two waits old, and that of its followers one poll
/// older; together well under the limit for revoked keys, 5 s at both sites.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(800);
/// Pause between reads of the list of targets; under half of the time after which a draining
/// target must get no more requests.
const TARGETS_READ_PAUSE: Duration = Duration::from_millis(850);
/// Time allowed for a response beyond the wait asked of the store. The store answers in 4 ms, and
/// in a quarter of a second when it is slow.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Pause between checks whether to read the store, while this instance follows another.
const SOURCE_CHECK_PAUSE: Duration = Duration::from_millis(150);
/// Followers treat a read that is late by this much as failed and read the store themselves: a
/// change must reach them within two seconds, and a healthy store answers in 4 ms.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);
/// First and longest pause after a failed call. Every instance may be retrying while the store is
/// unavailable; changes made meanwhile must be in force within two seconds of its recovery.
pub const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1200));

/// Reads the configuration from the store as it changes; never returns.
pub async fn watch_configuration(state: State) {
    let mut client = Client::new(state.settings().store_address);
    let mut from = None;
    let mut reachability = Reachability::new("configuration");
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    loop {
        if state.source() != Source::Store {
            sleep(SOURCE_CHECK_PAUSE).await;
            continue;
        }
        let started_at = state.now();
        state
            .feed()
            .read_started(started_at + CONFIGURATION_WAIT + OVERDUE_AFTER);
        // All other readers of the store wait for the first success after a failure, so the
        // store must not hold this read open.
        let wait = match state.feed().last_read_failed() {
            true => Duration::ZERO,
            false => CONFIGURATION_WAIT,
        };
        match read_configuration(&mut client, from, &state, started_at, wait).await {
            Ok(next) => {
                from = Some(next);
                // The next read starts at once.
                state.feed().read_succeeded(state.now() + OVERDUE_AFTER);
                state.store_succeeded();
                reachability.succeeded();
                backoff.reset();
            }
            Err(error) => {
                if matches!(error, Error::Trimmed { .. }) {
                    from = None;
                }
                reachability.failed(&error);
                state.store_failed();
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

async fn read_configuration(
    client: &mut Client,
    from: Option<u64>,
    state: &State,
    started_at: Time,
    wait: Duration,
) -> Result<u64, Error> {
    let batch = match from {
        None => read_newest(client, CONFIGURATION_TOPIC).await?,
        Some(from) => read_from(client, CONFIGURATION_TOPIC, from, wait).await?,
    };
    // Each record is a complete configuration, so only the newest matters.
    let mut records = batch.records.iter().rev();
    let newest = records.find(|record| record.key == CONFIGURATION_KEY);
    if let Some(value) = newest.and_then(|record| record.value.as_ref()) {
        apply_configuration(state, value, started_at);
    }
    state.router().confirm_configuration(started_at);
    state.feed().set_confirmed(started_at);
    Ok(batch.next_offset)
}

/// Applies a published configuration that was the newest at `confirmed_at`.
pub fn apply_configuration(state: &State, value: &Bytes, confirmed_at: Time) {
    let configuration = match configuration_decode(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            log::error!(reason:% = error; "published configuration could not be decoded");
            return;
        }
    };
    let (version, routes, keys) = (
        configuration.version,
        configuration.routes.len(),
        configuration.keys.len(),
    );
    if state
        .router()
        .set_configuration(Arc::new(configuration), confirmed_at)
    {
        state.feed().set_configuration(version, value.clone());
        log::info!(version = version, routes = routes, keys = keys; "configuration in force");
    }
}

/// Reads the list of targets from the store; never returns.
pub async fn watch_targets(state: State) {
    let mut client = Client::new(state.settings().store_address);
    let mut from = None;
    let mut reachability = Reachability::new("targets");
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    // Whether the store was unavailable since the last read of the list.
    let mut store_was_unavailable = false;
    loop {
        if !state.is_store_reader() {
            store_was_unavailable |= state.feed().last_read_failed();
            sleep(SOURCE_CHECK_PAUSE).await;
            continue;
        }
        match read_targets(&mut client, from, &state, store_was_unavailable).await {
            Ok(next) => {
                from = Some(next);
                store_was_unavailable = false;
                reachability.succeeded();
                backoff.reset();
            }
            Err(error) => {
                if matches!(error, Error::Trimmed { .. }) {
                    from = None;
                }
                reachability.failed(&error);
                store_was_unavailable = true;
                sleep(backoff.next_delay()).await;
                continue;
            }
        }
        sleep(TARGETS_READ_PAUSE).await;
        let removed = state.router().fleet.remove_lapsed(state.now());
        for id in removed {
            log_change(&id, Change::Gone);
        }
    }
}

async fn read_targets(
    client: &mut Client,
    from: Option<u64>,
    state: &State,
    after_outage: bool,
) -> Result<u64, Error> {
    let snapshot = from.is_none();
    let started_at = state.now();
    let batch = match from {
        None => read_newest(client, TARGETS_TOPIC).await?,
        Some(from) => read_from(client, TARGETS_TOPIC, from, Duration::ZERO).await?,
    };
    apply_targets(state, &batch.records, snapshot, after_outage);
    state.feed().set_targets_read(started_at);
    Ok(batch.next_offset)
}

/// Applies records of targets. `snapshot` says that they are the whole list, and `after_outage`
/// that the store was unavailable before this read.
pub fn apply_targets(state: &State, records: &[Record], snapshot: bool, after_outage: bool) {
    let now = state.now();
    let mut router = state.router();
    if after_outage {
        router.fleet.record_store_recovery(now);
    }
    if snapshot {
        let keys = records.iter().map(|record| record.key.as_str().into());
        let listed: BTreeSet<Arc<str>> = keys.collect();
        for (id, change) in router.fleet.remove_unlisted(&listed, now) {
            log_change(&id, change);
        }
        state
            .feed()
            .retain_keys(List::Targets, |key| listed.contains(key));
    }
    for record in records {
        let id: Arc<str> = record.key.as_str().into();
        state
            .feed()
            .apply_record(List::Targets, &id, record.value.as_ref());
        let change = match &record.value {
            None => router.fleet.remove(&id, now),
            Some(value) => match record_decode(&record.key, value) {
                Ok(target) => router.fleet.upsert(target, now),
                Err(reason) => {
                    log::debug!(
                        target_name = record.key,
                        reason = reason;
                        "record is not a valid target; ignored"
                    );
                    None
                }
            },
        };
        if let Some(change) = change {
            log_change(&id, change);
            if change == Change::Up {
                router.tracker.reset_health(&id);
            }
        }
    }
}

fn log_change(id: &str, change: Change) {
    log::info!(target_name = id, change:? = change; "target changed");
}

/// Reads the newest record of every key, page by page. The pages are not a consistent snapshot, so
/// later reads continue from the offset at which the first page was made.
///
/// # Errors
///
/// The [`Error`] of the first page that fails.
pub async fn read_newest(client: &mut Client, topic: &str) -> Result<Batch, Error> {
    let mut records: Vec<Record> = Vec::new();
    let mut after: Option<String> = None;
    let mut next_offset = None;
    loop {
        let call = store_newest_call(topic, after.as_deref());
        let (status, body) = client.call(call, RESPONSE_MARGIN).await?;
        let page = store_decode_page(status, &body)?;
        records.extend(page.records);
        let next_offset = *next_offset.get_or_insert(page.end_offset);
        after = page.last_key;
        if after.is_none() {
            return Ok(Batch {
                records,
                next_offset,
            });
        }
    }
}

async fn read_from(
    client: &mut Client,
    topic: &str,
    from: u64,
    wait: Duration,
) -> Result<Batch, Error> {
    let call = store_read_call(topic, from, wait);
    let (status, body) = client.call(call, wait + RESPONSE_MARGIN).await?;
    store_decode_batch(status, &body, from)
}

/// Logs when a reader loses its source and when it recovers, once for each change.
#[derive(Debug)]
pub struct Reachability {
    reader: &'static str,
    unavailable: bool,
}

impl Reachability {
    /// Tracks the source of `reader`, which has not failed yet.
    pub fn new(reader: &'static str) -> Self {
        Self {
            reader,
            unavailable: false,
        }
    }

    /// Records a successful read.
    pub fn succeeded(&mut self) {
        if std::mem::take(&mut self.unavailable) {
            log::info!(reader = self.reader; "source available again");
        }
    }

    /// Records a failed read.
    pub fn failed(&mut self, error: &Error) {
        if !std::mem::replace(&mut self.unavailable, true) {
            log::warn!(reader = self.reader, reason:% = error; "source unavailable");
        }
    }
}
