//! Follows the entry of the zone that reads the store, and lets others follow this one.

use {
    crate::front::{
        client::Client,
        listen::serve_connection,
        state::State,
        watch::{Reachability, apply_configuration, apply_targets},
    },
    bytes::Bytes,
    camphorweir_platform::store::{Call, Fault, Record},
    camphorweir_relay::reader::Source,
    camphorweir_wire::{
        codec,
        follow::{Ask, Change, List, Told},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, sleep, timeout},
    },
};

/// The path that followers ask.
const PATH: &str = "/follow";
/// Longest wait for a change.
const WAIT: Duration = Duration::from_millis(700);
/// Time for the answer beside the wait, inside a zone.
const ANSWER: Duration = Duration::from_millis(350);
/// Pause between looks whom to follow, while this entry reads the store itself.
const LOOK_PAUSE: Duration = Duration::from_millis(150);
/// Shortest pause between two questions: changes that come together travel together.
const GATHER: Duration = Duration::from_millis(60);
/// Pause between looks whether this entry still has the store while a follower waits.
const SLICE: Duration = Duration::from_millis(120);
/// Largest question, in bytes.
const MOST_ASK: usize = 1 << 10;

/// Follows another entry whenever this one is not to read the store, for ever.
pub async fn follow_run(state: State) {
    let mut client: Option<(SocketAddr, Client)> = None;
    let mut cursor = (0, 0);
    let mut reachability = Reachability::new("peer");
    loop {
        let Source::Peer(address) = state.source() else {
            client = None;
            sleep(LOOK_PAUSE).await;
            continue;
        };
        let known = client.take().filter(|(known, _)| *known == address);
        let (_, mut peer_client) = known.unwrap_or_else(|| (address, Client::new(address)));
        match step(&state, &mut peer_client, cursor).await {
            Ok(next) => {
                cursor = next;
                client = Some((address, peer_client));
                reachability.succeeded();
                sleep(GATHER).await;
            }
            Err(fault) => {
                reachability.failed(&fault);
                state.peer_failed();
            }
        }
    }
}

async fn step(state: &State, client: &mut Client, cursor: (u64, u64)) -> Result<(u64, u64), Fault> {
    let began = state.now();
    let version = state
        .router()
        .configuration()
        .map_or(0, |site| site.version);
    let ask = Ask {
        version,
        life: cursor.0,
        next: cursor.1,
        wait_ms: WAIT.as_millis() as u32,
    };
    let call = Call {
        method: Method::POST,
        path: PATH.to_owned(),
        body: codec::encode(&ask).into(),
    };
    let (status, body) = client.call(call, WAIT + ANSWER).await?;
    if status != 200 {
        return Err(Fault::Refused { status });
    }
    let told: Told = codec::decode(&body).map_err(|error| Fault::Malformed {
        what: error.to_string(),
    })?;
    let next = (told.life, told.next);
    let age = Duration::from_millis(told.age_ms.max(told.targets_age_ms));
    if !state.check_source_age(age) {
        return Err(Fault::Unanswered {
            what: format!("the peer's knowledge is {} ms old", age.as_millis()),
        });
    }
    take(state, told, began);
    Ok(next)
}

/// Takes in what a peer told; its age counts from when it was asked, the earliest that it can mean.
fn take(state: &State, told: Told, began: Duration) {
    if let Some(site) = &told.site {
        apply_configuration(state, &Bytes::copy_from_slice(site), began);
    }
    let confirmed = began.saturating_sub(Duration::from_millis(told.age_ms));
    state.router().confirm(confirmed);
    state.feed().set_confirmed(confirmed);
    let listed = began.saturating_sub(Duration::from_millis(told.targets_age_ms));
    state.feed().set_targets_read(listed);
    let (targets, entries): (Vec<Change>, Vec<Change>) = told
        .changes
        .into_iter()
        .partition(|change| change.list == List::Targets);
    apply_targets(state, &records(targets), told.whole, false);
    let entries = records(entries);
    if told.whole || !entries.is_empty() {
        state.apply_entries(&entries, told.whole);
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

/// Answers followers for ever.
pub async fn follow_serve(state: State, listener: Arc<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(LOOK_PAUSE).await;
            continue;
        };
        let state = state.clone();
        tokio::spawn(serve_connection(stream, move |request| {
            let state = state.clone();
            async move { answer(&state, request).await }
        }));
    }
}

async fn answer(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let status = |status: StatusCode| {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status;
        response
    };
    if request.uri().path() != PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let Ok(body) = Limited::new(request.into_body(), MOST_ASK).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let Ok(ask) = codec::decode::<Ask>(&body.to_bytes()) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let until = Instant::now() + Duration::from_millis(ask.wait_ms.into()).min(WAIT);
    let mut changes = state.feed().subscribe();
    while state.is_store_reader() && !state.feed().has_changes_for(&ask) && Instant::now() < until {
        // Nothing new is an answer as well.
        let _ = timeout(SLICE, changes.changed()).await;
    }
    if !state.is_store_reader() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    match state.feed().update_for(&ask, state.now()) {
        Some(told) => Response::new(Full::new(codec::encode(&told).into())),
        None => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}
