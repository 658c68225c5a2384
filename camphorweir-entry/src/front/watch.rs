//! Reads the configuration and the list of targets from the store.

use {
    crate::{
        front::{state::State, store::Store, waiting::waiting_revise},
        supervise::Backoff,
        units::millis,
    },
    bytes::Bytes,
    camphorweir_platform::{
        configuration::{CONFIGURATION_KEY, configuration_decode},
        record::record_decode,
        store::{
            CONFIGURATION_TOPIC, Error, Record, TARGETS_TOPIC, store_decode_batch,
            store_decode_page, store_newest_call, store_read_call,
        },
    },
    camphorweir_relay::{
        fleet::{Change, Target},
        ids::Time,
        lists::{Status, lists_next_read, lists_old_age},
        roles::Source,
        store::{Cursor, Shown},
    },
    camphorweir_wire::replication::List,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Longest time that the store holds a configuration read open. A read confirms what was newest at
/// its start, so the data of a reader is up to two waits old, and that of its followers one poll
/// older; together well under the limit for revoked keys, 5 s at both sites.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(800);
/// Pause between checks for targets whose lapsed records were not renewed.
const LAPSE_CHECK_PAUSE: Duration = Duration::from_millis(100);
/// Time allowed for a response beyond the wait asked of the store. The store answers in 4 ms, and
/// in a quarter of a second when it is slow.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Pause between checks whether to read the store, while this instance follows another.
const SOURCE_CHECK_PAUSE: Duration = Duration::from_millis(150);
/// Followers treat a read that is late by this much as failed and read the store themselves: a
/// change must reach them within two seconds, and a healthy store answers in 4 ms.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);
/// Time since the last read here after which an instance reads the whole list of targets again rather
/// than the records that were written since.
const LIST_FORGET_AFTER: Duration = Duration::from_secs(3);
/// First and longest pause after a failed call. Every instance may be retrying while the store is
/// unavailable; changes made meanwhile must be in force within two seconds of its recovery.
pub const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1200));

/// Reads the configuration from the store as it changes; never returns.
pub async fn watch_configuration(state: State) {
    let mut store = Store::new(&state);
    let mut cursor = None;
    let mut shown = Shown::default();
    let mut reachability = Reachability::new("configuration");
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    loop {
        // An instance without a configuration reads it once itself: a whole zone that starts would
        // take long to get it over one peer's link.
        let has_none = state.configuration_version() == 0;
        if state.source() != Source::Store && !has_none {
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
        match read_configuration(&mut store, cursor, &state, wait).await {
            Ok(read) => {
                cursor = Some(read.next);
                accept_configuration(&state, &read, &mut shown, started_at);
                // The next read starts at once.
                state.feed().read_succeeded(state.now() + OVERDUE_AFTER);
                state.store_succeeded();
                reachability.succeeded();
                backoff.reset();
            }
            Err(error) => {
                if matches!(error, Error::NoSuchOffset { .. }) {
                    cursor = None;
                }
                reachability.failed(&error);
                state.store_failed(started_at);
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

async fn read_configuration(
    store: &mut Store,
    cursor: Option<Cursor>,
    state: &State,
    wait: Duration,
) -> Result<Read, Error> {
    match state.offset(cursor) {
        None => read_newest(store, CONFIGURATION_TOPIC).await,
        Some(from) => read_from(store, CONFIGURATION_TOPIC, from, wait).await,
    }
}

/// Applies the newest configuration of a read that started at `started_at`, and counts the read as
/// a confirmation if it shows that nothing newer exists.
fn accept_configuration(state: &State, read: &Read, shown: &mut Shown, started_at: Time) {
    // Each record is a complete configuration, so only the newest matters.
    let mut records = read.records.iter().rev();
    let newest = records.find(|record| record.key == CONFIGURATION_KEY);
    if let Some(value) = newest.and_then(|record| record.value.as_ref())
        && let Some(version) = apply_configuration(state, value, started_at)
    {
        shown.record(read.next.era, version);
    }
    let in_force = state.configuration_version();
    if shown.confirms(read.next.era, in_force) && !state.may_lack_configurations() {
        state.router().confirm_configuration(started_at);
        state.feed().set_confirmed(started_at);
    } else {
        log::debug!(
            version = in_force,
            era = read.next.era.0;
            "the store shows no configuration as new as the one in force"
        );
    }
}

/// Applies a published configuration that was the newest at `confirmed_at`; returns its version.
pub fn apply_configuration(state: &State, value: &Bytes, confirmed_at: Time) -> Option<u64> {
    let configuration = match configuration_decode(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            log::error!(reason:% = error; "published configuration could not be decoded");
            return None;
        }
    };
    let (version, routes) = (configuration.version, configuration.routes.len());
    let keys = configuration.access.keys().map(HashMap::len);
    if state
        .router()
        .set_configuration(Arc::new(configuration), confirmed_at)
    {
        state.feed().set_configuration(version, value.clone());
        state.connections().set_limits(state.limits());
        state.configuration_changed(version);
        waiting_revise(state);
        log::info!(
            version = version,
            routes = routes,
            is_open = keys.is_none(),
            keys = keys.unwrap_or_default();
            "configuration in force"
        );
        if keys == Some(0) {
            log::warn!(
                version = version;
                "no workspace has an API key; only requests on public routes are admitted"
            );
        }
    }
    Some(version)
}

/// Reads the list of targets from the store; never returns.
pub async fn watch_targets(state: State) {
    let mut store = Store::new(&state);
    let mut cursor = None;
    let mut reachability = Reachability::new("targets");
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    let mut last_read: Option<Time> = None;
    loop {
        let wait = next_read(&state, last_read);
        if !wait.is_zero() {
            sleep(wait.min(SOURCE_CHECK_PAUSE)).await;
            continue;
        }
        if last_read.is_some_and(|at| state.now().saturating_sub(at) > LIST_FORGET_AFTER) {
            cursor = None;
        }
        let started_at = state.now();
        let result = read_targets(&mut store, cursor, &state).await;
        last_read = Some(state.now());
        match result {
            Ok(next) => {
                cursor = Some(next);
                reachability.succeeded();
                backoff.reset();
            }
            Err(error) => {
                if matches!(error, Error::NoSuchOffset { .. }) {
                    cursor = None;
                }
                reachability.failed(&error);
                state.router().fleet.record_store_failure(started_at);
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// Time until the list of targets is to be read here, after the read that ended at `last_read`.
fn next_read(state: &State, last_read: Option<Time>) -> Duration {
    let now = state.now();
    let status = Status {
        is_reader: state.is_store_reader(),
        age: state.feed().targets_age(now),
        is_store_away: state.source() == Source::Store && state.feed().last_read_failed(),
        since_read: last_read.map(|at| now.saturating_sub(at)),
        is_outage_known: state.roles().knows_outage(now),
    };
    lists_next_read(&status, state.router().bounds().drain)
}

/// Removes targets whose records lapsed and were not renewed in time; never returns.
pub async fn watch_lapses(state: State) {
    let mut was_old = false;
    loop {
        sleep(LAPSE_CHECK_PAUSE).await;
        let now = state.now();
        was_old = log_list_age(&state, was_old);
        let removed = state.router().fleet.remove_lapsed(now);
        for id in removed {
            log_change(&id, Change::Gone, None);
        }
    }
}

/// Logs when the list of targets becomes old, and when it is current again; returns whether it is old.
fn log_list_age(state: &State, was_old: bool) -> bool {
    let Some(age) = state.feed().targets_age(state.now()) else {
        return false;
    };
    let is_old = age >= lists_old_age(state.router().bounds().drain);
    if is_old != was_old {
        let (age_ms, source) = (millis(age), state.source());
        match is_old {
            true => log::info!(age_ms = age_ms, source:? = source; "list of targets is old"),
            false => {
                log::info!(age_ms = age_ms, source:? = source; "list of targets is current again");
            }
        }
    }
    is_old
}

async fn read_targets(
    store: &mut Store,
    cursor: Option<Cursor>,
    state: &State,
) -> Result<Cursor, Error> {
    let from = state.offset(cursor);
    let started_at = state.now();
    let read = match from {
        None => read_newest(store, TARGETS_TOPIC).await?,
        Some(from) => read_from(store, TARGETS_TOPIC, from, Duration::ZERO).await?,
    };
    let back_at = {
        let mut router = state.router();
        let contact = router.bounds().contact;
        router.fleet.record_store_answer(started_at, contact)
    };
    if let Some(back_at) = back_at {
        state.feed().set_recovered(back_at);
        log::info!(
            since_ms = millis(state.now().saturating_sub(back_at));
            "the store answers again; records that lapsed may be renewed"
        );
    }
    apply_targets(state, &read.records, from.is_none());
    state.router().fleet.record_list_read(started_at);
    state.feed().set_targets_read(started_at);
    Ok(read.next)
}

/// Records that the store answered again at this time, so that targets whose records lapsed
/// meanwhile are kept for a while.
pub fn record_store_recovery(state: &State, at: Time) {
    state.router().fleet.record_store_recovery(at);
    state.feed().set_recovered(at);
}

/// Applies records of targets; `snapshot` says that they are the whole list.
pub fn apply_targets(state: &State, records: &[Record], snapshot: bool) {
    let now = state.now();
    let mut router = state.router();
    if snapshot {
        let keys = records.iter().map(|record| record.key.as_str().into());
        let listed: BTreeSet<Arc<str>> = keys.collect();
        for (id, change) in router.fleet.remove_unlisted(&listed, now) {
            log_change(&id, change, router.fleet.get(&id));
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
            log_change(&id, change, router.fleet.get(&id));
            if change == Change::Up {
                router.tracker.reset_health(&id);
                if let Some(target) = router.fleet.get(&id).cloned() {
                    let quarantined = router.record_start(&target, now);
                    state.log_quarantined(&quarantined, &id);
                }
            }
        }
    }
}

/// Logs a change of a target; address and layers are empty once it is removed.
fn log_change(id: &str, change: Change, target: Option<&Target>) {
    let address = target.map(|target| target.address.to_string());
    let layers = target.map(|target| format!("{}-{}", target.span.from, target.span.to));
    log::info!(
        target_name = id,
        change:? = change,
        address = address.unwrap_or_default(),
        layers = layers.unwrap_or_default();
        "target changed"
    );
}

/// Records that were read from the store, in order.
#[derive(Clone, Debug)]
pub struct Read {
    /// The records.
    pub records: Vec<Record>,
    /// Where the next read starts.
    pub next: Cursor,
}

/// Reads the newest record of every key, page by page. The pages are not a consistent snapshot, so
/// later reads continue from the offset at which the first page was made.
///
/// # Errors
///
/// The [`Error`] of the first page that fails or does not go on after the last one;
/// [`Error::Outdated`] where the store was restored between two pages.
pub async fn read_newest(store: &mut Store, topic: &str) -> Result<Read, Error> {
    let mut records: Vec<Record> = Vec::new();
    let mut after: Option<String> = None;
    let mut first: Option<Cursor> = None;
    loop {
        let call = store_newest_call(topic, after.as_deref());
        let response = store.call(call, RESPONSE_MARGIN).await?;
        let page = store_decode_page(response.status, &response.body)?;
        let next = *first.get_or_insert(Cursor {
            era: response.era,
            offset: page.end_offset,
        });
        if next.era != response.era {
            return Err(Error::Outdated);
        }
        records.extend(page.records);
        if page.last_key.is_none() {
            return Ok(Read { records, next });
        }
        if page.last_key == after {
            let reason = "the next page ends where the last one did".to_owned();
            return Err(Error::Malformed { reason });
        }
        after = page.last_key;
    }
}

async fn read_from(
    store: &mut Store,
    topic: &str,
    from: u64,
    wait: Duration,
) -> Result<Read, Error> {
    let era = store.era();
    let call = store_read_call(topic, from, wait);
    let response = store.call(call, wait + RESPONSE_MARGIN).await?;
    if response.era != era {
        // The offset belongs to another history.
        return Err(Error::Outdated);
    }
    let batch = store_decode_batch(response.status, &response.body, from)?;
    Ok(Read {
        records: batch.records,
        next: Cursor {
            era,
            offset: batch.next_offset,
        },
    })
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
