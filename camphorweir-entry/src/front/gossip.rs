//! Gossip between instances: load digests and their sums in UDP datagrams, of which any may be
//! lost.

use {
    crate::{
        front::{
            demand::{self, DEMAND_ROUNDS, encode_refused, receive_demand},
            permits::{permits_run, receive_account, receive_ask, receive_grant, receive_news},
            ports::Sockets,
            state::State,
            store::Store,
            suspects::{self, receive_suspects, store_run},
            waiting::waiting_wake_all,
            watch::{RETRY_BACKOFF, read_newest},
        },
        supervise::Backoff,
        units::millis,
    },
    camphorweir_platform::store::{INSTANCES_TOPIC, Record, store_append_call},
    camphorweir_relay::{
        ids::{TargetId, Time, Zone, ids_tag},
        roles::{self, Assignment, Followed, Reads},
        senders::Senders,
        store::Era,
        summary::{summary_for_others, summary_for_zone},
    },
    camphorweir_wire::{
        codec,
        digest::{Addresses, Datagram, Digest, FORMATS, Newest, Scope, Source, Summary},
    },
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::{interval, sleep, timeout},
};

/// Pause between digests to the aggregator of the zone: about the time between the starts of two
/// streams there.
const DIGEST_PAUSE: Duration = Duration::from_millis(100);
/// Number of digests for each summary of the load on the own zone's targets.
const SUMMARY_ROUNDS: u64 = 2;
/// Number of digests for each summary to the aggregators of other zones, as traffic between zones
/// is expensive and streams go there only when the own zone is worse.
const CROSS_ZONE_ROUNDS: u64 = 5;
/// Number of digests for each summary of the load on other zones' targets.
const OTHER_TARGETS_ROUNDS: u64 = 10;
/// Number of digests for each report of all quarantined requests to one other instance.
const SUSPECTS_ROUNDS: u64 = 10;
/// Pause between log lines on datagrams of one sender that can't be read.
const UNREAD_LOG_PAUSE: Duration = Duration::from_secs(60);
/// Limit on the senders that are told apart for that.
const MAX_UNREAD_SENDERS: usize = 400;
/// Limit on digest traffic, in bytes per second; part of the 13 KB that an instance has for control
/// traffic.
const MAX_BYTES_PER_SECOND: f64 = 9_000.0;
/// Largest datagram, in bytes, that passes every link without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Pause between reads of the list of instances, and so the time until all know a new instance.
const LIST_PAUSE: Duration = Duration::from_secs(4);
/// The same for the first reads, while other instances may be starting too.
const FIRST_LIST_PAUSE: Duration = Duration::from_millis(500);
/// Number of first reads.
const FIRST_LISTS: u32 = 4;
/// Wait of a new instance for an aggregator to be heard before it reads the list again; instances
/// that start together do so within this time.
const START_WAIT: Duration = Duration::from_millis(400);
/// Added to [`START_WAIT`] in proportion to the place in the order, so that the first instance is
/// alone in reading the list.
const START_SPREAD: Duration = Duration::from_millis(600);
/// Time after a restore of the store over which instances look for their records in it.
const RESTORE_SPREAD: Duration = Duration::from_secs(3);
/// Timeout of the registration; appends of instances that start together wait for each other.
const STORE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Registers this instance in the store and exchanges digests with the other instances; never
/// returns.
pub async fn gossip_run(state: State) {
    tokio::join!(
        sync_instances(&state),
        send_datagrams(&state),
        receive_datagrams(&state),
        store_run(&state),
        permits_run(&state),
    );
}

async fn sync_instances(state: &State) {
    let mut store = Store::new(state);
    let sockets = await_ports(state, &mut store).await;
    let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
    while !register(state, sockets, &mut store).await {
        sleep(backoff.next_delay()).await;
    }
    let mut era = state.era();
    let mut reads = 0;
    loop {
        sleep(list_pause(reads)).await;
        if state.era() != era {
            // The record may be lost; instances look for theirs one after the other.
            sleep(RESTORE_SPREAD.mul_f64(place_in_order(&state.settings().instance))).await;
            if register(state, sockets, &mut store).await {
                era = state.era();
                log::info!(era = era.0; "this instance is listed after the restore of the store");
            }
        }
        if state.is_store_reader() {
            reads += 1;
            read_instances(state, &mut store).await;
        }
    }
}

/// Waits for the ports. Without them the instance is not listed, and hears of others from the list alone.
async fn await_ports<'a>(state: &'a State, store: &mut Store) -> &'a Sockets {
    let mut reads = 0;
    loop {
        match timeout(list_pause(reads), state.ports().bound()).await {
            Ok(sockets) => return sockets,
            Err(_) => drop(read_instances(state, store).await),
        }
        reads += 1;
    }
}

/// Pause before the next read of the list after this many.
fn list_pause(reads: u32) -> Duration {
    match reads < FIRST_LISTS {
        true => FIRST_LIST_PAUSE,
        false => LIST_PAUSE,
    }
}

/// Place of an instance in the order that decides on roles, from 0 to 1.
fn place_in_order(name: &str) -> f64 {
    f64::from(ids_tag(name)) / f64::from(u32::MAX)
}

/// Reads the list of instances; returns whether it could be read.
async fn read_instances(state: &State, store: &mut Store) -> bool {
    match read_newest(store, INSTANCES_TOPIC).await {
        Ok(read) => {
            state.apply_instances(&read.records, true);
            true
        }
        Err(error) => {
            log::debug!(reason:% = error; "list of instances could not be read");
            false
        }
    }
}

/// Makes sure that the store lists this instance, and learns of the others; returns whether both
/// succeeded.
async fn register(state: &State, sockets: &Sockets, store: &mut Store) -> bool {
    let addresses = Addresses {
        digest: sockets.digest_address.to_string(),
        follow: sockets.follow_address.to_string(),
        zone: state.settings().zone.to_string(),
        link_mbps: state.settings().link_mbps,
        formats: FORMATS,
    };
    let value = codec::encode(&addresses);
    let own = &state.settings().instance;
    match read_newest(store, INSTANCES_TOPIC).await {
        // After a restart the record is there, and so are those of the others.
        Ok(read) if is_listed(&read.records, own, &value) => {
            state.apply_instances(&read.records, true);
            return true;
        }
        Ok(_) => {}
        Err(error) => {
            log::warn!(reason:% = error; "list of instances could not be read");
            return false;
        }
    }
    let Some(call) = store_append_call(INSTANCES_TOPIC, own, &value) else {
        return false;
    };
    let reason = match store.call(call, STORE_TIMEOUT).await {
        Ok(response) if response.status == 200 => {
            sleep(START_WAIT + START_SPREAD.mul_f64(place_in_order(own))).await;
            let is_heard = state.has_aggregator();
            return is_heard || read_instances(state, store).await;
        }
        Ok(response) => format!("refused with {}", response.status),
        Err(error) => error.to_string(),
    };
    log::warn!(reason = reason; "could not register this instance in the store");
    false
}

fn is_listed(records: &[Record], own: &str, value: &[u8]) -> bool {
    let mut records = records.iter();
    records.any(|record| record.key == own && record.value.as_deref() == Some(value))
}

/// Sends datagrams of this instance, numbered in the order of their rounds.
struct Sender<'a> {
    state: &'a State,
    incarnation: u64,
    round: u64,
    /// Whether this instance was the aggregator, and its source, in the last round.
    last_role: (bool, roles::Source),
}

async fn send_datagrams(state: &State) {
    let mut sender = Sender {
        state,
        incarnation: rand::random(),
        round: 0,
        last_role: (false, roles::Source::Unknown),
    };
    let mut ticks = interval(DIGEST_PAUSE);
    loop {
        ticks.tick().await;
        sender.log_role();
        let bytes_sent = sender.send_digest();
        sender.send_summaries();
        suspects::report(state);
        if sender.round.is_multiple_of(SUSPECTS_ROUNDS) {
            suspects::repeat(state);
        }
        if sender.round.is_multiple_of(DEMAND_ROUNDS) {
            demand::send(state);
        }
        sender.round += 1;
        // Keeps the rate of digests within its limit where they are large.
        let pause = Duration::from_secs_f64(bytes_sent as f64 / MAX_BYTES_PER_SECOND);
        sleep(pause.saturating_sub(DIGEST_PAUSE)).await;
        ticks.reset();
    }
}

impl Sender<'_> {
    /// Logs a change of the role of this instance.
    fn log_role(&mut self) {
        let is_aggregator = self.state.roles().is_aggregator(self.state.now());
        let role = (is_aggregator, self.state.source());
        if role != self.last_role {
            let age = self.state.feed().age(self.state.now());
            log::info!(
                aggregates = role.0,
                source:? = role.1,
                data_age_ms = age.map_or(-1, |age| age.as_millis() as i64);
                "role in the zone changed"
            );
            self.last_role = role;
        }
    }

    /// Sends the digest of this instance; returns the number of bytes sent.
    fn send_digest(&self) -> usize {
        let now = self.state.now();
        if self.state.is_overdue_reader() {
            self.state.roles().record_read_failure(now);
        }
        let reads = self.state.roles().own_reads();
        let age = |at: Option<Time>| {
            let age = now.saturating_sub(at?);
            Some(u32::try_from(millis(age)).unwrap_or(u32::MAX))
        };
        let digest = Digest {
            entry: self.state.settings().instance.clone(),
            incarnation: self.incarnation,
            sequence: self.round,
            store_read_ms: age(reads.succeeded_at),
            store_failed_ms: age(reads.failed_at),
            store_era: self.state.known_era().map(|era| era.0),
            configuration_version: self.state.configuration_version(),
            ..self.state.router().digest(now)
        };
        let bytes = encode_refused(&digest, Datagram::Digest, |digest| &mut digest.refused);
        self.state.router().peers.record_own_digest(digest);
        let recipients = self.state.roles().digest_recipients(now);
        let addresses = self.zone_addresses();
        let addresses = addresses
            .iter()
            .filter(|(name, _)| recipients.contains(name));
        addresses
            .map(|(_, address)| self.send(&bytes, *address))
            .sum()
    }

    /// Sends the summaries that are due in this round, if this instance is the aggregator.
    fn send_summaries(&self) {
        let now = self.state.now();
        if !self.state.roles().is_aggregator(now) {
            return;
        }
        self.state.router().peers.use_digests(now);
        waiting_wake_all(self.state);
        let version = self.state.configuration_version();
        let assignment = self
            .state
            .roles()
            .assign(self.follow_address(), version, now);
        if self.round.is_multiple_of(CROSS_ZONE_ROUNDS) {
            self.send_to_other_zones(now);
        }
        let own_zone = &self.state.settings().zone;
        if self.round.is_multiple_of(SUMMARY_ROUNDS) {
            self.send_to_zone(own_zone, &assignment, now);
        }
        let zones = self.state.router().fleet.zones();
        for (index, zone) in (0..).zip(zones) {
            if zone != *own_zone && (self.round + index).is_multiple_of(OTHER_TARGETS_ROUNDS) {
                self.send_to_zone(&zone, &assignment, now);
            }
        }
    }

    /// Where this instance is followed. Without its ports it tells nobody, and only has to know itself.
    fn follow_address(&self) -> SocketAddr {
        let sockets = self.state.ports().sockets();
        let own_ip = self.state.settings().callers_address.ip();
        sockets.map_or(SocketAddr::new(own_ip, 0), |sockets| sockets.follow_address)
    }

    fn send_to_other_zones(&self, now: Time) {
        let summaries = summary_for_others(&self.state.router(), now);
        let own_zone = &self.state.settings().zone;
        let recipients = self.state.instances().cross_zone_addresses(own_zone);
        for summary in summaries {
            let bytes = codec::encode(&Datagram::Summary(self.stamp(summary)));
            for address in &recipients {
                self.send(&bytes, *address);
            }
        }
    }

    /// Sends the load on the targets of a zone to the instances of the own zone.
    fn send_to_zone(&self, zone: &Zone, assignment: &Assignment, now: Time) {
        let (summaries, sequences) = {
            let router = self.state.router();
            let sequences = router.peers.sequences();
            let sequences = sequences.map(|(name, sequence)| (name.to_owned(), sequence));
            let sequences: BTreeMap<String, u64> = sequences.collect();
            (summary_for_zone(&router, zone, now), sequences)
        };
        let source = assignment.followed.as_ref().map(|followed| Source {
            entry: followed.name.clone(),
            follow: followed.address.to_string(),
            read_ms: u32::try_from(millis(followed.read_age)).unwrap_or(u32::MAX),
        });
        let newest = assignment.newest.map(|newest| Newest {
            version: newest.version,
            follow: newest.address.to_string(),
        });
        let recipients = self.zone_addresses();
        for summary in summaries {
            let mut summary = self.stamp(summary);
            summary.readers = assignment.readers.clone();
            summary.source = source.clone();
            summary.newest = newest.clone();
            for (name, address) in &recipients {
                summary.included_sequence = sequences.get(name).copied();
                let bytes =
                    encode_refused(&summary, Datagram::Summary, |summary| &mut summary.refused);
                self.send(&bytes, *address);
            }
        }
    }

    fn stamp(&self, summary: Summary) -> Summary {
        Summary {
            entry: self.state.settings().instance.clone(),
            incarnation: self.incarnation,
            sequence: self.round,
            link_mbps: self.state.settings().link_mbps,
            store_era: self.state.known_era().map(|era| era.0),
            ..summary
        }
    }

    fn zone_addresses(&self) -> Vec<(String, SocketAddr)> {
        let zone = &self.state.settings().zone;
        self.state.instances().zone_digest_addresses(zone)
    }

    fn send(&self, bytes: &[u8], address: SocketAddr) -> usize {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::warn!(bytes = bytes.len(); "datagram exceeds the size limit; not sent");
            return 0;
        }
        self.state.ports().send(bytes, address);
        bytes.len()
    }
}

async fn receive_datagrams(state: &State) {
    let socket = &state.ports().bound().await.digests;
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    let (mut unread, mut senders) = (Unread::default(), Senders::default());
    loop {
        let Ok((count, address)) = socket.recv_from(&mut buffer).await else {
            sleep(DIGEST_PAUSE).await;
            continue;
        };
        let decoded = codec::decode(&buffer[..count]);
        let name = decoded.as_ref().ok().and_then(datagram_sender);
        if let Some(name) = name
            && !state.instances().is_listed(name)
            && !senders.admit(name, state.now())
        {
            state.metrics().record_unread("sender");
            continue;
        }
        if decoded.is_ok() {
            state.permits().record_heard(state.now());
        }
        match decoded {
            Ok(Datagram::Digest(digest)) => receive_digest(state, digest, address),
            Ok(Datagram::Summary(summary)) => receive_summary(state, summary, address),
            Ok(Datagram::Suspects(suspects)) => receive_suspects(state, &suspects, address),
            Ok(Datagram::Limits(news)) => receive_news(state, &news, address),
            Ok(Datagram::Ask(ask)) => receive_ask(state, ask, address),
            Ok(Datagram::Grant(grant)) => receive_grant(state, grant),
            Ok(Datagram::Account(account)) => receive_account(state, account),
            Ok(Datagram::Demand(demand)) => receive_demand(state, demand),
            Err(error) => unread.record(state, address, &error.to_string()),
        }
    }
}

/// The name of a sender that is remembered with what a datagram says.
fn datagram_sender(datagram: &Datagram) -> Option<&str> {
    match datagram {
        Datagram::Digest(digest) => Some(&digest.entry),
        Datagram::Summary(summary) => Some(&summary.entry),
        Datagram::Ask(ask) => Some(&ask.entry),
        Datagram::Account(account) => Some(&account.entry),
        Datagram::Demand(demand) => Some(&demand.entry),
        Datagram::Suspects(_) | Datagram::Limits(_) | Datagram::Grant(_) => None,
    }
}

/// Senders of datagrams that can't be read, which may be of another release.
#[derive(Debug, Default)]
struct Unread {
    /// When a datagram of each was last logged.
    logged_at: BTreeMap<IpAddr, Time>,
}

impl Unread {
    /// Counts a datagram, and logs it unless one of its sender was logged lately.
    fn record(&mut self, state: &State, address: SocketAddr, reason: &str) {
        state.metrics().record_unread("datagram");
        let now = state.now();
        self.logged_at
            .retain(|_, at| now.saturating_sub(*at) < UNREAD_LOG_PAUSE);
        let is_known = self.logged_at.contains_key(&address.ip());
        if !is_known && self.logged_at.len() < MAX_UNREAD_SENDERS {
            self.logged_at.insert(address.ip(), now);
            log::info!(peer:% = address, reason = reason; "datagram of a peer can't be read");
        }
    }
}

fn receive_digest(state: &State, digest: Digest, address: SocketAddr) {
    let now = state.now();
    let at = |age: Option<u32>| Some(now.saturating_sub(Duration::from_millis(age?.into())));
    let reads = Reads {
        succeeded_at: at(digest.store_read_ms),
        failed_at: at(digest.store_failed_ms),
    };
    observe_era(state, digest.store_era);
    let version = digest.configuration_version;
    state
        .roles()
        .record_report(&digest.entry, reads, version, now);
    state.instances().record_digest(&digest.entry, address);
    let reporter = digest.entry.clone();
    let reported = state.router().apply_digest(digest, now);
    log_reported(&reporter, &reported);
    // The aggregator uses the digests of its zone together, in its next round.
    if !state.roles().is_aggregator(now) {
        waiting_wake_all(state);
    }
}

/// Logs the targets that this instance avoids on a peer's word from now on.
fn log_reported(reporter: &str, reported: &[TargetId]) {
    for target in reported {
        log::info!(
            target_name:% = target,
            peer = reporter;
            "target counts as unresponsive on a peer's report"
        );
    }
}

/// Learns an era of the store that a peer names.
fn observe_era(state: &State, era: Option<u64>) {
    if let Some(era) = era {
        state.observe_era(Era(era), "peer");
    }
}

fn receive_summary(state: &State, summary: Summary, address: SocketAddr) {
    let now = state.now();
    observe_era(state, summary.store_era);
    match &summary.scope {
        Scope::EntriesOf(zone) => {
            let mut instances = state.instances();
            instances.record_aggregator(zone, address);
        }
        Scope::TargetsOf(_) => {
            let assignment = decode_assignment(&summary);
            let mut roles = state.roles();
            roles.record_summary(&summary.entry, summary.link_mbps, assignment, now);
            // Another instance may think that it is the aggregator for a moment.
            if roles.aggregator(now) != Some(summary.entry.as_str()) {
                return;
            }
        }
    }
    let reporter = summary.entry.clone();
    let reported = state.router().apply_summary(summary, now);
    log_reported(&reporter, &reported);
    waiting_wake_all(state);
}

fn decode_assignment(summary: &Summary) -> Assignment {
    let followed = summary.source.as_ref().and_then(|source| {
        Some(Followed {
            name: source.entry.clone(),
            address: source.follow.parse().ok()?,
            read_age: Duration::from_millis(source.read_ms.into()),
        })
    });
    let newest = summary.newest.as_ref().and_then(|newest| {
        Some(roles::Newest {
            version: newest.version,
            address: newest.follow.parse().ok()?,
        })
    });
    Assignment {
        readers: summary.readers.clone(),
        followed,
        newest,
    }
}
