//! Replicates store data inside a zone: one instance reads the store, the others follow it. Peers
//! that reach no target send their callers' requests to the same listener.
//!
//! A follower that turns to another instance gets only what differs from its own records, so that
//! a change of the reader costs little in a large zone.

use {
    crate::{
        front::{
            client::Client,
            internal::Connections,
            request::handle_detour,
            response::{CallerResponse, turned_away},
            state::State,
            watch::{Reachability, apply_configuration, apply_targets, record_store_recovery},
        },
        supervise::Backoff,
    },
    bytes::Bytes,
    camphorweir_platform::store::{Call, Error, Record},
    camphorweir_relay::{ids::Time, roles::Source},
    camphorweir_wire::{
        codec,
        detour::{RUNS_HEADER, VERSION_HEADER},
        replication::{self, Change, List},
    },
    http_body_util::{BodyExt, Either, Full, Limited},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Path of the endpoint that followers poll.
const FOLLOW_PATH: &str = "/follow";
/// Longest time that a poll waits for a change or a confirmation; a reader confirms the
/// configuration more often than that.
const MAX_WAIT: Duration = Duration::from_millis(900);
/// Time allowed for a response beyond the wait, inside a zone.
const RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// Pause between checks whether to follow a peer, while this instance reads the store itself; also
/// the pause after a failed accept.
const SOURCE_CHECK_PAUSE: Duration = Duration::from_millis(150);
/// Shortest pause between two polls, so that changes close together share a response.
const POLL_PAUSE: Duration = Duration::from_millis(60);
/// Pause between checks whether this instance still reads the store in time, while a follower waits.
const READER_CHECK_PAUSE: Duration = Duration::from_millis(120);
/// First and longest pause after a failed poll; the aggregator names another source meanwhile.
const FAILED_POLL_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));
/// One in this many of the sockets may be a connection that a peer opened.
const PEER_SOCKET_DIVISOR: usize = 8;
/// Limit on the body of a poll request, in bytes; ten for each record that a follower has.
const MAX_REQUEST_BYTES: usize = 1 << 16;

/// Polls a peer for changes whenever this instance does not read the store itself; never returns.
pub async fn follow_run(state: State) {
    let mut client: Option<(SocketAddr, Client)> = None;
    let mut cursor = (0, 0);
    let mut reachability = Reachability::new("peer");
    let mut backoff = Backoff::new(FAILED_POLL_BACKOFF.0, FAILED_POLL_BACKOFF.1);
    loop {
        let Some(address) = polled_peer(&state) else {
            client = None;
            sleep(SOURCE_CHECK_PAUSE).await;
            continue;
        };
        let existing = client.take().filter(|(peer, _)| *peer == address);
        let is_new = existing.is_none();
        let (_, mut peer_client) = existing.unwrap_or_else(|| (address, Client::new(address)));
        match poll_peer(&state, &mut peer_client, cursor, is_new).await {
            Ok(next) => {
                cursor = next;
                client = Some((address, peer_client));
                reachability.succeeded();
                backoff.reset();
                sleep(POLL_PAUSE).await;
            }
            Err(error) => {
                reachability.failed(&error);
                state.peer_failed();
                sleep(backoff.next_delay()).await;
            }
        }
    }
}

/// The peer to poll: the one that this instance follows, or, for a reader of the store, one that
/// has a newer configuration than the store showed.
fn polled_peer(state: &State) -> Option<SocketAddr> {
    match state.source() {
        Source::Peer(address) => Some(address),
        Source::Store | Source::Unknown => state.newer_peer(),
    }
}

async fn poll_peer(
    state: &State,
    client: &mut Client,
    cursor: (u64, u64),
    is_new: bool,
) -> Result<(u64, u64), Error> {
    let sent_at = state.now();
    let version = state
        .router()
        .configuration()
        .map_or(0, |configuration| configuration.version);
    let ask = replication::Request {
        version,
        feed_incarnation: cursor.0,
        next_sequence: cursor.1,
        wait_ms: MAX_WAIT.as_millis() as u32,
        // An instance that has no records yet needs all of them.
        known: Some(state.feed().fingerprints()).filter(|known| is_new && !known.is_empty()),
    };
    let call = Call {
        method: Method::POST,
        path: FOLLOW_PATH.to_owned(),
        body: codec::encode(&ask).into(),
    };
    let (status, body) = client.call(call, MAX_WAIT + RESPONSE_MARGIN).await?;
    if status != 200 {
        return Err(Error::Refused { status });
    }
    let update: replication::Response = codec::decode(&body).map_err(|error| {
        state.metrics().record_unread("response");
        Error::Malformed {
            reason: error.to_string(),
        }
    })?;
    if let Some(configuration) = &update.configuration {
        let value = Bytes::copy_from_slice(configuration);
        let confirmed_at = sent_at.saturating_sub(Duration::from_millis(update.age_ms));
        apply_configuration(state, &value, confirmed_at);
    }
    let next = (update.feed_incarnation, update.next_sequence);
    let age = Duration::from_millis(update.age_ms.max(update.targets_age_ms));
    if !state.check_source_age(age) {
        return Err(Error::NoResponse {
            reason: format!("the peer's data is {} ms old", age.as_millis()),
        });
    }
    apply_update(state, update, sent_at);
    Ok(next)
}

/// Applies an update from a peer. The ages in it count from when the poll arrived there, which is
/// no earlier than when it was sent.
fn apply_update(state: &State, update: replication::Response, sent_at: Time) {
    let confirmed_at = sent_at.saturating_sub(Duration::from_millis(update.age_ms));
    if update.version >= state.configuration_version() {
        state.router().confirm_configuration(confirmed_at);
        state.feed().set_confirmed(confirmed_at);
    }
    if let Some(age_ms) = update.recovered_ms {
        record_store_recovery(state, sent_at.saturating_sub(Duration::from_millis(age_ms)));
    }
    let targets_read_at = sent_at.saturating_sub(Duration::from_millis(update.targets_age_ms))
        + Duration::from_millis(update.targets_after_ms);
    state.feed().set_targets_read(targets_read_at);
    let removals = state.feed().removals(&update.removed);
    let (targets, instances): (Vec<Change>, Vec<Change>) = update
        .changes
        .into_iter()
        .chain(removals)
        .partition(|change| change.list == List::Targets);
    apply_targets(state, &records(targets), update.is_snapshot);
    state.router().fleet.record_list_read(targets_read_at);
    let instances = records(instances);
    if update.is_snapshot || !instances.is_empty() {
        state.apply_instances(&instances, update.is_snapshot);
    }
}

fn records(changes: Vec<Change>) -> Vec<Record> {
    let changes = changes.into_iter();
    let records = changes.map(|change| Record {
        key: change.key,
        value: change.value.map(|value| value.into_vec().into()),
    });
    records.collect()
}

/// Serves the polls of followers; never returns.
pub async fn follow_serve(state: State) {
    let sockets = state.ports().bound().await;
    let connections = Connections::new(state.settings().max_sockets / PEER_SOCKET_DIVISOR);
    loop {
        let Ok((stream, address)) = sockets.followers.accept().await else {
            sleep(SOURCE_CHECK_PAUSE).await;
            continue;
        };
        let (state, connections) = (state.clone(), connections.clone());
        tokio::spawn(async move {
            let handle = |request| handle_peer(state.clone(), request, address.ip());
            connections.serve(stream, handle).await;
        });
    }
}

/// Handles a request from a peer: a poll, or a caller's request that the peer can't serve.
async fn handle_peer(state: State, request: Request<Incoming>, address: IpAddr) -> CallerResponse {
    match detour_decode(&request) {
        None => handle_poll(&state, request).await.map(Either::Left),
        Some(detour) if !may_serve(&state, detour.version) => turned_away(),
        Some(detour) => handle_detour(state, request, address, detour.runs).await,
    }
}

/// What a peer says of a request that it can't serve.
struct Detour {
    /// Version of the configuration in force there.
    version: u64,
    /// Possible runs of the request so far.
    runs: u32,
}

fn detour_decode(request: &Request<Incoming>) -> Option<Detour> {
    let text = |name: &str| request.headers().get(name)?.to_str().ok();
    Some(Detour {
        version: text(VERSION_HEADER)?.parse().ok()?,
        runs: text(RUNS_HEADER)?.parse().ok()?,
    })
}

/// Whether this instance can serve a request for a peer with this version of the configuration.
fn may_serve(state: &State, version: u64) -> bool {
    !state.is_stopping() && state.configuration_version() >= version
}

/// Whether this instance should read the store and does not get its data in time.
fn has_lost_store(state: &State) -> bool {
    state.source() == Source::Store && !state.feed().reads_on_time(state.now())
}

async fn handle_poll(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let status = |status: StatusCode| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != FOLLOW_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let Ok(body) = Limited::new(request.into_body(), MAX_REQUEST_BYTES)
        .collect()
        .await
    else {
        return status(StatusCode::BAD_REQUEST);
    };
    let Ok(ask) = codec::decode::<replication::Request>(&body.to_bytes()) else {
        state.metrics().record_unread("poll");
        return status(StatusCode::BAD_REQUEST);
    };
    let arrived_at = state.now();
    let deadline = arrived_at + Duration::from_millis(ask.wait_ms.into()).min(MAX_WAIT);
    let mut changes = state.feed().subscribe();
    let feed = state.feed();
    let (confirmed_at, targets_read_at) = (feed.confirmed_at(), feed.targets_read_at());
    let has_news = || {
        feed.has_changes_for(&ask)
            || feed.confirmed_at() > confirmed_at
            || feed.targets_read_at() > targets_read_at
    };
    // A reader that has lost the store must not keep its followers waiting: a change may be in
    // force elsewhere.
    while !has_lost_store(state) && !has_news() && state.now() < deadline {
        // Without a change by the deadline, the response carries none.
        let _ = timeout(READER_CHECK_PAUSE, changes.changed()).await;
    }
    if has_lost_store(state) {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    match state.feed().update_for(&ask, arrived_at) {
        Some(update) => Response::new(Full::new(codec::encode(&update).into())),
        None => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}
