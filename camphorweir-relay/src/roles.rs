//! Roles of the instances of a zone: one sums up their load, one reads the store, and the others
//! follow that reader.
//!
//! Calls to the store are paid for and limited over all instances, so their number must grow with
//! the zones and not with the instances. The aggregator, the first live instance in an order that
//! all know, assigns the readers; it has at most [`MAX_READERS`] try at once.

use {
    crate::ids::{Time, ids_tag},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Silence after which an aggregator is replaced: three summaries in a row are lost.
const AGGREGATOR_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence before an instance takes over, for each instance before it in the order, so that the
/// first live one does so alone.
const TAKEOVER_STEP: Duration = Duration::from_millis(300);
/// Longest silence before an instance takes over, however many are before it.
const MAX_TAKEOVER: Duration = Duration::from_millis(2500);
/// Limit on the instances of a zone that read the store at the same time.
const MAX_READERS: usize = 2;
/// Longest time since a reader's last successful read with which it is healthy: the wait of one
/// read, and the time to report it.
const READ_FRESH: Duration = Duration::from_millis(1500);
/// Time that an assigned reader has for a first successful read.
const READ_TRIAL: Duration = Duration::from_millis(1200);
/// Longest age of the data of a followed peer; a peer with older data has itself lost the store.
/// Above the age of a healthy peer's data, which is at most the wait and the response time of one
/// read.
const MAX_PEER_AGE: Duration = Duration::from_millis(2400);
/// After a failure of the followed peer, the store is read for this long, unless the aggregator names
/// another source before.
const PEER_BACKOFF: Duration = Duration::from_secs(2);
/// Age of an instance's own data at which it reads the store itself although it should follow,
/// where the followed peer reads the store but can't be reached.
const SELF_READ_AGE: Duration = Duration::from_millis(3700);
/// Age up to which a report of an instance counts as a sign of life.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Unit of the times in reports.
const REPORT_UNIT: Duration = Duration::from_millis(1);

/// Where this instance gets the configuration and the lists from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer that reads the store.
    Peer(SocketAddr),
    /// Nothing yet: no aggregator has been heard of.
    Unknown,
}

/// A listed instance of the zone.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Address at which it is followed.
    pub address: SocketAddr,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: u32,
}

/// The instance that the others of a zone follow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Followed {
    /// Its name.
    pub name: String,
    /// Address at which it is followed.
    pub address: SocketAddr,
    /// Time since its last successful read of the store, when this was sent.
    pub read_age: Duration,
}

/// The newest configuration that any instance of a zone has in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Newest {
    /// Its version.
    pub version: u64,
    /// Address at which an instance that has it is followed.
    pub address: SocketAddr,
}

/// What an aggregator assigns to the instances of its zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// Instances that read the store.
    pub readers: Vec<String>,
    /// The instance to follow; `None` until one has read the store.
    pub followed: Option<Followed>,
    /// The newest configuration of the zone. A reader of the store that has an older one takes it
    /// from there, as the store may have lost it with a restore.
    pub newest: Option<Newest>,
}

/// What an instance says of its reads of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reads {
    /// When it last read successfully; `None` for never.
    pub succeeded_at: Option<Time>,
    /// When a read last failed; `None` for never.
    pub failed_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    reads: Reads,
    /// Version of the configuration in force there.
    version: u64,
    received_at: Time,
}

/// Place of an instance in the order that decides on roles, the same for all: fast links first, as
/// an aggregator and a reader send to the whole zone, then by tag.
type Rank = (Reverse<u32>, u32, String);

/// The roles in the zone, as this instance knows them.
#[derive(Clone, Debug)]
pub struct Roles {
    own: String,
    started_at: Time,
    /// Addresses at which the listed instances of the zone are followed, by place in the order.
    members: BTreeMap<Rank, SocketAddr>,
    /// Bandwidth of the known instances' links, this one included, in Mbit/s.
    links: BTreeMap<String, u32>,
    /// Whether the list of instances was read since the start.
    is_list_known: bool,
    /// When a summary of each instance of the zone last arrived.
    heard: BTreeMap<String, Time>,
    /// Reports of the instances that send their digests here.
    reports: BTreeMap<String, Report>,
    /// This instance's own reads.
    own_reads: Reads,
    /// When this instance began to stop.
    stopped_at: Option<Time>,
    /// Readers that this instance has assigned as aggregator, with the time of the assignment.
    trials: BTreeMap<String, Time>,
    /// The newest assignment that was received or, by an aggregator, made.
    assignment: Assignment,
    assigned_at: Option<Time>,
    /// The followed peer that failed last, and when.
    failed_peer: Option<(String, Time)>,
}

impl Roles {
    /// Roles of an instance that has just started and knows no other.
    ///
    /// `link_mbps` is the bandwidth of its own link, in Mbit/s.
    pub fn new(own: String, link_mbps: u32, now: Time) -> Self {
        Self {
            links: [(own.clone(), link_mbps)].into(),
            own,
            started_at: now,
            members: BTreeMap::new(),
            is_list_known: false,
            heard: BTreeMap::new(),
            reports: BTreeMap::new(),
            own_reads: Reads::default(),
            stopped_at: None,
            trials: BTreeMap::new(),
            assignment: Assignment::default(),
            assigned_at: None,
            failed_peer: None,
        }
    }

    /// Replaces the listed instances of the zone other than this one.
    pub fn set_members(&mut self, members: impl Iterator<Item = Member>) {
        self.members.clear();
        for member in members {
            self.links.insert(member.name.clone(), member.link_mbps);
            self.members.insert(self.rank(&member.name), member.address);
        }
        self.is_list_known = true;
    }

    /// Place of an instance in the order; one whose link is unknown comes last.
    fn rank(&self, name: &str) -> Rank {
        let link = self.links.get(name).copied().unwrap_or_default();
        (Reverse(link), ids_tag(name), name.to_owned())
    }

    /// Records a summary of an instance of the zone, with the bandwidth of its link and the
    /// assignment in it.
    pub fn record_summary(
        &mut self,
        sender: &str,
        link_mbps: u32,
        assignment: Assignment,
        now: Time,
    ) {
        self.links.insert(sender.to_owned(), link_mbps);
        self.heard.insert(sender.to_owned(), now);
        if self.aggregator(now) == Some(sender) {
            self.assignment = assignment;
            self.assigned_at = Some(now);
        }
    }

    /// Records what an instance says of its reads, and the version that it has in force.
    pub fn record_report(&mut self, sender: &str, reads: Reads, version: u64, now: Time) {
        let report = Report {
            reads,
            version,
            received_at: now,
        };
        self.reports.insert(sender.to_owned(), report);
    }

    /// Records a successful read of the store by this instance.
    pub fn record_read(&mut self, now: Time) {
        self.own_reads.succeeded_at = Some(now);
    }

    /// Records a failed read of the store by this instance.
    pub fn record_read_failure(&mut self, now: Time) {
        self.own_reads.failed_at = Some(now);
    }

    /// Records that the followed peer did not answer, or does not read the store in time.
    pub fn record_peer_failure(&mut self, now: Time) {
        let followed = self.assignment.followed.as_ref();
        self.failed_peer = followed.map(|followed| (followed.name.clone(), now));
    }

    /// Records that this instance stops. Another is to read the store, as the reader is also the one of the
    /// zone that may hold the lease on placement.
    pub fn begin_stop(&mut self, now: Time) {
        self.stopped_at.get_or_insert(now);
    }

    /// This instance's own reads, as they are reported: those of one that stops seem to have failed since,
    /// so that it reads on only until another does.
    pub fn own_reads(&self) -> Reads {
        let reads = self.own_reads;
        let Some(stopped_at) = self.stopped_at else {
            return reads;
        };
        let last = reads.succeeded_at.max(reads.failed_at);
        let failed_at = last.map_or(stopped_at, |at| at.max(stopped_at));
        let before = failed_at.saturating_sub(REPORT_UNIT);
        Reads {
            succeeded_at: reads.succeeded_at.map(|at| at.min(before)),
            failed_at: Some(failed_at),
        }
    }

    /// The first instance in the order that was heard of recently, if it is before this one.
    pub fn aggregator(&self, now: Time) -> Option<&str> {
        let heard = self.heard.iter();
        let live = heard.filter(|(_, at)| now.saturating_sub(**at) < AGGREGATOR_TIMEOUT);
        let before = live
            .map(|(name, _)| name.as_str())
            .filter(|name| self.rank(name) < self.rank(&self.own));
        before.min_by_key(|name| self.rank(name))
    }

    /// Whether this instance sums up the load of its zone: those before it in the order are silent.
    pub fn is_aggregator(&self, now: Time) -> bool {
        let own = self.rank(&self.own);
        let heard = self.heard.iter();
        let heard = heard.map(|(name, at)| (*at, self.rank(name)));
        let last = heard.filter(|(_, rank)| *rank < own).max();
        let first = last.as_ref().map(|(_, rank)| rank.clone());
        let is_between = |rank: &&Rank| **rank < own && Some(*rank) >= first.as_ref();
        let before = self.members.keys().filter(is_between).count();
        let last_heard = last.map(|(at, _)| at);
        let silence = now.saturating_sub(last_heard.unwrap_or(self.started_at));
        if !self.is_list_known {
            return silence >= MAX_TAKEOVER;
        }
        if before == 0 && last_heard.is_none() {
            return true;
        }
        let steps = u32::try_from(before.saturating_sub(1)).unwrap_or(u32::MAX);
        let takeover = AGGREGATOR_TIMEOUT + TAKEOVER_STEP.saturating_mul(steps);
        silence >= takeover.min(MAX_TAKEOVER)
    }

    /// Instances that this one sends its digests to: the aggregator, and the one that would take
    /// over. Without an aggregator, the first two of the order.
    pub fn digest_recipients(&self, now: Time) -> Vec<String> {
        let aggregator = self.aggregator(now);
        let first = match (aggregator, self.is_aggregator(now)) {
            (Some(name), _) => Some(self.rank(name)),
            (None, true) => Some(self.rank(&self.own)),
            (None, false) => None,
        };
        let after = self.members.iter();
        let after = after.filter(|(rank, _)| first.as_ref().is_none_or(|first| *rank >= first));
        let after = after.map(name_of);
        let after = after.filter(|name| Some(name.as_str()) != aggregator);
        let standby = after.take(if aggregator.is_some() { 1 } else { 2 });
        let aggregator = aggregator.map(str::to_owned);
        aggregator.into_iter().chain(standby.cloned()).collect()
    }

    /// Assigns the readers of the zone; for the aggregator.
    ///
    /// A healthy reader stays. Where none is healthy, the instances whose last failure is longest
    /// ago try, at most [`MAX_READERS`] at once.
    ///
    /// `own_address` is where this instance is followed, and `own_version` its configuration.
    pub fn assign(&mut self, own_address: SocketAddr, own_version: u64, now: Time) -> Assignment {
        self.drop_outdated(now);
        let own_report = Report {
            reads: self.own_reads(),
            version: own_version,
            received_at: now,
        };
        let listed = self.members.keys().map(|(_, _, name)| name);
        let listed = listed.filter_map(|name| Some((name.clone(), *self.reports.get(name)?)));
        let mut live: Vec<(String, Report)> = listed.collect();
        live.push((self.own.clone(), own_report));
        live.sort_by_key(|(name, _)| self.rank(name));
        let readers = self.choose_readers(&live, now);
        let followed = self.choose_followed(&live, &readers, own_address, now);
        let newest = self.choose_newest(&live, own_address);
        self.assignment = Assignment {
            readers,
            followed,
            newest,
        };
        self.assigned_at = Some(now);
        self.assignment.clone()
    }

    fn choose_readers(&mut self, live: &[(String, Report)], now: Time) -> Vec<String> {
        // A new aggregator has assigned none, and keeps one that its predecessor has.
        let assigned = &self.assignment.readers;
        let fresh = live
            .iter()
            .filter(|(_, report)| is_fresh(report.reads, now));
        let healthy = fresh.min_by_key(|(name, _)| (!assigned.contains(name), self.rank(name)));
        if let Some((name, _)) = healthy {
            self.trials.clear();
            return vec![name.clone()];
        }
        let is_trying = |name: &String, report: &Report| {
            let since = self.trials.get(name)?;
            let has_failed = report.reads.failed_at.is_some_and(|at| at > *since);
            (!has_failed && now.saturating_sub(*since) < READ_TRIAL).then_some(*since)
        };
        let mut trials: BTreeMap<String, Time> = live
            .iter()
            .filter_map(|(name, report)| Some((name.clone(), is_trying(name, report)?)))
            .collect();
        let mut waiting: Vec<&(String, Report)> = live
            .iter()
            .filter(|(name, _)| !self.trials.contains_key(name))
            .collect();
        waiting.sort_by_key(|(name, report)| (report.reads.failed_at, self.rank(name)));
        for (name, _) in waiting.iter().chain(&live.iter().collect::<Vec<_>>()) {
            if trials.len() < MAX_READERS && !trials.contains_key(name) {
                trials.insert(name.clone(), now);
            }
        }
        self.trials = trials;
        self.trials.keys().cloned().collect()
    }

    fn choose_followed(
        &self,
        live: &[(String, Report)],
        readers: &[String],
        own_address: SocketAddr,
        now: Time,
    ) -> Option<Followed> {
        let read = live
            .iter()
            .filter_map(|(name, report)| Some((report.reads.succeeded_at?, name)));
        // A healthy reader, or else the one with the newest data.
        let is_healthy = |name: &String| !self.trials.contains_key(name) && readers.contains(name);
        let best = |(at, name): &(Time, &String)| (is_healthy(name), *at, Reverse(self.rank(name)));
        let (read_at, name) = read.max_by_key(best)?;
        Some(Followed {
            name: name.clone(),
            address: self.address(name, own_address)?,
            read_age: now.saturating_sub(read_at),
        })
    }

    fn choose_newest(&self, live: &[(String, Report)], own_address: SocketAddr) -> Option<Newest> {
        let (name, report) = live.iter().max_by_key(|(_, report)| report.version)?;
        Some(Newest {
            version: report.version,
            address: self.address(name, own_address)?,
        })
    }

    /// Address at which an instance of the zone is followed.
    fn address(&self, name: &str, own_address: SocketAddr) -> Option<SocketAddr> {
        match name == self.own {
            true => Some(own_address),
            false => self.members.get(&self.rank(name)).copied(),
        }
    }

    /// Whether the aggregator has said lately that no reader gets an answer from the store.
    pub fn knows_outage(&self, now: Time) -> bool {
        let since = now.saturating_sub(self.assigned_at.unwrap_or(self.started_at));
        let followed = self.assignment.followed.as_ref();
        let is_unread = followed.is_some_and(|followed| followed.read_age + since >= READ_FRESH);
        since < AGGREGATOR_TIMEOUT && is_unread
    }

    /// Whether this instance is the only assigned reader; not while several are tried.
    pub fn is_only_reader(&self) -> bool {
        self.assignment.readers == [self.own.as_str()]
    }

    /// The instance to take a configuration from that is newer than `own_version`.
    pub fn newer_peer(&self, own_version: u64) -> Option<SocketAddr> {
        let newest = self.assignment.newest?;
        (newest.version > own_version).then_some(newest.address)
    }

    /// Drops what was heard too long ago to count.
    fn drop_outdated(&mut self, now: Time) {
        self.reports
            .retain(|_, report| now.saturating_sub(report.received_at) < REPORT_TIMEOUT);
        let live: BTreeSet<String> = self.reports.keys().cloned().collect();
        self.trials
            .retain(|name, _| live.contains(name) || *name == self.own);
    }

    /// Where this instance gets its data from; `own_age` is the age of the data it has.
    pub fn source(&self, own_age: Option<Duration>, now: Time) -> Source {
        if self.assignment.readers.contains(&self.own) {
            return Source::Store;
        }
        let Some(followed) = &self.assignment.followed else {
            return Source::Unknown;
        };
        let since = now.saturating_sub(self.assigned_at.unwrap_or(self.started_at));
        let own_age = own_age.unwrap_or(now.saturating_sub(self.started_at));
        let is_cut_off = own_age > SELF_READ_AGE && followed.read_age + since < READ_FRESH;
        let has_failed = self.failed_peer.as_ref().is_some_and(|(name, at)| {
            *name == followed.name && now.saturating_sub(*at) < PEER_BACKOFF
        });
        match is_cut_off || has_failed || followed.name == self.own {
            true => Source::Store,
            false => Source::Peer(followed.address),
        }
    }
}

fn name_of<'a>((rank, _): (&'a Rank, &SocketAddr)) -> &'a String {
    &rank.2
}

fn is_fresh(reads: Reads, now: Time) -> bool {
    let age = reads.succeeded_at.map(|at| now.saturating_sub(at));
    let is_recent = age.is_some_and(|age| age < READ_FRESH);
    is_recent && reads.succeeded_at >= reads.failed_at
}

/// Whether the data of a followed peer is fresh enough to use.
pub fn roles_source_is_fresh(age: Duration) -> bool {
    age < MAX_PEER_AGE
}
