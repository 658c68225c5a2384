//! Exchanges with other instances under what targets ended, and keeps what is quarantined in the store,
//! where instances find it that start.

use {
    crate::{
        clock::wall,
        front::{
            gossip::MAX_DATAGRAM_BYTES,
            state::State,
            store::Store,
            watch::{RETRY_BACKOFF, read_newest},
        },
        supervise::Backoff,
        units::millis,
    },
    camphorweir_platform::store::{QUARANTINES_TOPIC, Record, store_append_call},
    camphorweir_relay::{ids::Fingerprint, keepers::keepers_recipients},
    camphorweir_wire::{
        codec,
        crash::{Quarantine, Suspect},
        digest::Datagram,
    },
    rand::seq::IteratorRandom,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Pause between looks for quarantined requests that the store does not have.
const STORE_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of a write to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes of a datagram beside the suspects in it.
const HEADER_BYTES: usize = 32;

/// Reports what has changed of suspects to the instances that have to know it.
pub fn report(state: &State) {
    let news = state.router().suspects.news(state.now());
    if news.is_empty() {
        return;
    }
    let settings = state.settings();
    let (addresses, mut zones) = {
        let instances = state.instances();
        let zones = instances.names_by_zone(&settings.zone);
        (instances.digest_addresses(), zones)
    };
    let own_zone = zones.entry(settings.zone.clone()).or_default();
    own_zone.insert(settings.instance.clone());
    let mut by_recipient: BTreeMap<&String, Vec<Suspect>> = BTreeMap::new();
    for (suspect, scope) in news {
        let recipients = keepers_recipients(
            suspect.fingerprint,
            scope,
            &settings.instance,
            &settings.zone,
            &zones,
        );
        for recipient in recipients {
            let suspects = by_recipient.entry(recipient).or_default();
            suspects.push(suspect.clone());
        }
    }
    for (recipient, suspects) in by_recipient {
        if let Some(address) = addresses.get(recipient) {
            send(state, &suspects, *address);
        }
    }
}

/// Reports all that is quarantined to one other instance, which makes up for reports that were lost.
pub fn repeat(state: &State) {
    let quarantined = state.router().suspects.quarantined(state.now());
    if quarantined.is_empty() {
        return;
    }
    let addresses = state.instances().digest_addresses().into_values();
    if let Some(address) = addresses.choose(&mut rand::rng()) {
        send(state, &quarantined, address);
    }
}

fn send(state: &State, suspects: &[Suspect], address: SocketAddr) {
    for suspects in datagrams(suspects) {
        let bytes = codec::encode_named(&Datagram::Suspects(suspects));
        state.ports().send(&bytes, address);
    }
}

/// Distributes suspects over datagrams within [`MAX_DATAGRAM_BYTES`].
fn datagrams(suspects: &[Suspect]) -> Vec<Vec<Suspect>> {
    let mut datagrams: Vec<Vec<Suspect>> = Vec::new();
    let mut room = 0;
    for suspect in suspects {
        let bytes = codec::encode_named(suspect).len();
        match datagrams.last_mut().filter(|_| bytes <= room) {
            Some(datagram) => datagram.push(suspect.clone()),
            None => {
                datagrams.push(vec![suspect.clone()]);
                room = MAX_DATAGRAM_BYTES - HEADER_BYTES;
            }
        }
        room = room.saturating_sub(bytes);
    }
    datagrams
}

/// Applies what another instance reports.
pub fn receive_suspects(state: &State, suspects: &[Suspect], address: SocketAddr) {
    let now = state.now();
    let quarantined = state.router().suspects.apply_report(suspects, now);
    state.log_quarantined(&quarantined, &address.to_string());
}

/// Reads the quarantined requests at the start, then writes those that this instance was the first to
/// know of.
pub async fn store_run(state: &State) {
    let mut store = Store::new(state);
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    while !read(state, &mut store).await {
        sleep(backoff.next_delay()).await;
    }
    // Number of crashes in the record of each.
    let mut written: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    let mut era = state.era();
    loop {
        sleep(STORE_PAUSE).await;
        if state.era() != era {
            // The records may be lost.
            era = state.era();
            written.clear();
        }
        let now = state.now();
        let mut quarantined = state.router().suspects.own_quarantines(now);
        let is_quarantined = |key: &Fingerprint| {
            quarantined
                .iter()
                .any(|suspect| suspect.fingerprint == *key)
        };
        let keys = written.keys().copied();
        let lifted: Vec<Fingerprint> = keys.filter(|key| !is_quarantined(key)).collect();
        for fingerprint in lifted {
            written.remove(&fingerprint);
            remove(&mut store, &format!("{fingerprint:016x}")).await;
        }
        quarantined
            .retain(|suspect| written.get(&suspect.fingerprint) != Some(&suspect.crashes.len()));
        for suspect in quarantined {
            match write(&mut store, &suspect).await {
                true => drop(written.insert(suspect.fingerprint, suspect.crashes.len())),
                false => sleep(backoff.next_delay()).await,
            }
        }
    }
}

async fn read(state: &State, store: &mut Store) -> bool {
    match read_newest(store, QUARANTINES_TOPIC).await {
        Ok(read) => {
            let suspects: Vec<Suspect> = read.records.iter().filter_map(decode).collect();
            let now = state.now();
            let quarantined = state.router().suspects.apply_report(&suspects, now);
            state.log_quarantined(&quarantined, "store");
            for record in read.records.iter().filter(|record| is_over(state, record)) {
                remove(store, &record.key).await;
            }
            true
        }
        Err(error) => {
            log::warn!(reason:% = error; "quarantined requests could not be read");
            false
        }
    }
}

/// Whether a record of the store is of a request that is not quarantined any more.
fn is_over(state: &State, record: &Record) -> bool {
    let now = state.now();
    let left = |suspect: Suspect| {
        let router = state.router();
        router.suspects.quarantine_left(suspect.fingerprint, now)
    };
    decode(record).is_some_and(|suspect| left(suspect).is_none())
}

async fn remove(store: &mut Store, key: &str) {
    let Some(call) = store_append_call(QUARANTINES_TOPIC, key, &[]) else {
        return;
    };
    // The record says nothing any more; the next instance that starts tries again.
    if let Err(error) = store.call(call, STORE_TIMEOUT).await {
        log::info!(fingerprint = key, reason:% = error; "old quarantine could not be removed");
    }
}

async fn write(store: &mut Store, suspect: &Suspect) -> bool {
    let record = Quarantine {
        crashes: suspect.crashes.clone(),
        stored_ms: millis(wall()),
        part: suspect.part,
    };
    let key = format!("{:016x}", suspect.fingerprint);
    let call = store_append_call(QUARANTINES_TOPIC, &key, &codec::encode_named(&record));
    let Some(call) = call else {
        return true;
    };
    let reason = match store.call(call, STORE_TIMEOUT).await {
        Ok(response) if response.status == 200 => return true,
        Ok(response) => format!("refused with {}", response.status),
        Err(error) => error.to_string(),
    };
    log::warn!(fingerprint = key, reason = reason; "quarantine could not be stored");
    false
}

/// A record of the store; `None` for one that can't be read.
fn decode(record: &Record) -> Option<Suspect> {
    let fingerprint = u64::from_str_radix(&record.key, 16).ok()?;
    let value = record.value.as_ref()?;
    match codec::decode::<Quarantine>(value) {
        Ok(mut quarantine) => {
            let since_ms = millis(wall()).saturating_sub(quarantine.stored_ms);
            for crash in &mut quarantine.crashes {
                crash.age_ms = crash.age_ms.saturating_add(since_ms);
            }
            Some(Suspect {
                fingerprint,
                crashes: quarantine.crashes,
                cleared: Vec::new(),
                part: quarantine.part,
                succeeded_ms: None,
            })
        }
        Err(error) => {
            log::warn!(fingerprint = record.key, reason:% = error; "quarantine can't be decoded");
            None
        }
    }
}
