//! Follows the configuration and the list of targets in the store.

use {
    crate::{
        front::{client::Client, state::State},
        supervise::Backoff,
    },
    bytes::Bytes,
    camphorweir_platform::{
        record::record_decode,
        site::{SITE_KEY, site_decode},
        store::{
            Batch, Fault, Record, SITE_TOPIC, TARGETS_TOPIC, store_batch, store_newest, store_page,
            store_read,
        },
    },
    camphorweir_relay::{fleet::Change, ids::Now, reader::Source},
    camphorweir_wire::follow::List,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest wait of the store for a configuration. A read confirms what was newest at its start, so
/// the knowledge of a reader is up to two waits old, and that of its followers one question more;
/// together well under the bound on revoked keys, 5 s at both sites.
const SITE_WAIT: Duration = Duration::from_millis(800);
/// Pause between reads of the list of targets; under half of the time in which a target that
/// leaves must get nothing more.
const TARGETS_PAUSE: Duration = Duration::from_millis(850);
/// Time for an answer beside what the store was told to wait. The store answers in 4 ms, and in
/// a quarter of a second when it is slow.
const ANSWER: Duration = Duration::from_millis(700);
/// Pause between looks whether this entry is to read the store, while it follows another.
const FOLLOW_LOOK: Duration = Duration::from_millis(150);
/// A read that is late by this much is taken as lost by followers, which then ask the store: they
/// must have a change within two seconds of it, and the store answers in 4 ms when it is well.
const OVERDUE: Duration = Duration::from_millis(250);
/// First and longest pause after a call that failed. Every entry may be asking while the store is
/// away; what changed meanwhile must be in force within two seconds of its return.
pub const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1200));

/// Follows the configuration for ever.
pub async fn watch_configuration(state: State) {
    let mut client = Client::new(state.settings().store);
    let mut from = None;
    let mut reachability = Reachability::new("configuration");
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    loop {
        if state.source() != Source::Store {
            sleep(FOLLOW_LOOK).await;
            continue;
        }
        let began = state.now();
        state.feed().read_started(began + SITE_WAIT + OVERDUE);
        // The first answer after a failure is awaited by all else that reads the store.
        let wait = match state.feed().last_read_failed() {
            true => Duration::ZERO,
            false => SITE_WAIT,
        };
        match site_step(&mut client, from, &state, began, wait).await {
            Ok(next) => {
                from = Some(next);
                // The next read begins at once.
                state.feed().read_succeeded(state.now() + OVERDUE);
                reachability.succeeded();
                backoff.reset();
            }
            Err(fault) => {
                if matches!(fault, Fault::Trimmed { .. }) {
                    from = None;
                }
                reachability.failed(&fault);
                state.store_failed();
                sleep(backoff.pause()).await;
            }
        }
    }
}

async fn site_step(
    client: &mut Client,
    from: Option<u64>,
    state: &State,
    began: Now,
    wait: Duration,
) -> Result<u64, Fault> {
    let batch = match from {
        None => read_newest(client, SITE_TOPIC).await?,
        Some(from) => read(client, SITE_TOPIC, from, wait).await?,
    };
    // Only the newest of several matters, as each is whole.
    let mut records = batch.records.iter().rev();
    let newest = records.find(|record| record.key == SITE_KEY);
    if let Some(value) = newest.and_then(|record| record.value.as_ref()) {
        apply_configuration(state, value, began);
    }
    state.router().confirm(began);
    state.feed().set_confirmed(began);
    Ok(batch.next)
}

/// Takes a configuration in, as published, that was the newest at `began`.
pub fn apply_configuration(state: &State, value: &Bytes, began: Now) {
    let site = match site_decode(value) {
        Ok(site) => site,
        Err(error) => {
            log::error!(reason:% = error; "configuration can't be read");
            return;
        }
    };
    let (version, routes, keys) = (site.version, site.routes.len(), site.keys.len());
    if state.router().configure(Arc::new(site), began) {
        state.feed().set_configuration(version, value.clone());
        log::info!(version = version, routes = routes, keys = keys; "configuration in force");
    }
}

/// Follows the list of targets for ever.
pub async fn watch_targets(state: State) {
    let mut client = Client::new(state.settings().store);
    let mut from = None;
    let mut reachability = Reachability::new("targets");
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    // Since the list was last read.
    let mut away = false;
    loop {
        if !state.is_store_reader() {
            away |= state.feed().last_read_failed();
            sleep(FOLLOW_LOOK).await;
            continue;
        }
        match targets_step(&mut client, from, &state, away).await {
            Ok(next) => {
                from = Some(next);
                away = false;
                reachability.succeeded();
                backoff.reset();
            }
            Err(fault) => {
                if matches!(fault, Fault::Trimmed { .. }) {
                    from = None;
                }
                reachability.failed(&fault);
                away = true;
                sleep(backoff.pause()).await;
                continue;
            }
        }
        sleep(TARGETS_PAUSE).await;
        let gone = state.router().fleet.settle(state.now());
        for id in gone {
            told(&id, Change::Gone);
        }
    }
}

async fn targets_step(
    client: &mut Client,
    from: Option<u64>,
    state: &State,
    was_lost: bool,
) -> Result<u64, Fault> {
    let whole = from.is_none();
    let began = state.now();
    let batch = match from {
        None => read_newest(client, TARGETS_TOPIC).await?,
        Some(from) => read(client, TARGETS_TOPIC, from, Duration::ZERO).await?,
    };
    apply_targets(state, &batch.records, whole, was_lost);
    state.feed().set_targets_read(began);
    Ok(batch.next)
}

/// Takes records of targets in; `whole` when they are the whole list, and `was_lost` when the
/// store has just come back.
pub fn apply_targets(state: &State, records: &[Record], whole: bool, was_lost: bool) {
    let now = state.now();
    let mut router = state.router();
    if was_lost {
        router.fleet.store_back(now);
    }
    if whole {
        let keys = records.iter().map(|record| record.key.as_str().into());
        let listed: BTreeSet<Arc<str>> = keys.collect();
        for (id, change) in router.fleet.listed(&listed, now) {
            told(&id, change);
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
            None => router.fleet.removed(&id, now),
            Some(value) => match record_decode(&record.key, value) {
                Ok(target) => router.fleet.record(target, now),
                Err(reason) => {
                    log::debug!(target_name = record.key, reason = reason; "record names no target");
                    None
                }
            },
        };
        if let Some(change) = change {
            told(&id, change);
            if change == Change::Up {
                router.board.forget(&id);
            }
        }
    }
}

fn told(id: &str, change: Change) {
    log::info!(target_name = id, change:? = change; "target changed");
}

/// The newest record of every key, page after page. Pages are no snapshot, so reading goes on
/// from where the first page was made.
///
/// # Errors
///
/// [`Fault`] of the first page that can't be read.
pub async fn read_newest(client: &mut Client, topic: &str) -> Result<Batch, Fault> {
    let mut records: Vec<Record> = Vec::new();
    let mut after: Option<String> = None;
    let mut next = None;
    loop {
        let call = store_newest(topic, after.as_deref());
        let (status, body) = client.call(call, ANSWER).await?;
        let page = store_page(status, &body)?;
        records.extend(page.records);
        let next = *next.get_or_insert(page.end);
        after = page.after;
        if after.is_none() {
            return Ok(Batch { records, next });
        }
    }
}

async fn read(client: &mut Client, topic: &str, from: u64, wait: Duration) -> Result<Batch, Fault> {
    let call = store_read(topic, from, wait);
    let (status, body) = client.call(call, wait + ANSWER).await?;
    store_batch(status, &body, from)
}

/// Whether the store answers one reader; says so once for each change.
#[derive(Debug)]
pub struct Reachability {
    what: &'static str,
    lost: bool,
}

impl Reachability {
    /// A reader of `what` that has not failed yet.
    pub fn new(what: &'static str) -> Self {
        Self { what, lost: false }
    }

    /// It answered.
    pub fn succeeded(&mut self) {
        if std::mem::take(&mut self.lost) {
            log::info!(reader = self.what; "source regained");
        }
    }

    /// It did not answer.
    pub fn failed(&mut self, fault: &Fault) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(reader = self.what, reason:% = fault; "source lost");
        }
    }
}
