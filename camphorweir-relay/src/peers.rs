//! Load of other instances, from digests and from summaries of many digests.
//!
//! A lost or late datagram only makes the load appear smaller or older for a moment; targets refuse
//! requests that exceed their memory.

use {
    crate::{ids::Time, projection::Rate},
    camphorweir_wire::digest::{self, Digest, Failing, MEMORY_UNIT_TOKEN_LAYERS, Scope, Summary},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

/// Time without a digest after which the load of an instance counts as zero: ten digests are lost,
/// or the process has ended and its streams with it.
const DIGEST_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time without a summary after which the load in it counts as zero; between zones a summary comes
/// twice a second.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of own digests that are kept to be taken out of summaries that include them.
const OWN_DIGESTS: usize = 32;

/// Load of all peers together on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that pass through the target.
    pub streams: f64,
    /// Streams of which the target is the first hop.
    pub first_hops: f64,
    /// Memory that the streams reserve on the target, in tokens times layers.
    pub token_layers: f64,
}

impl Load {
    /// Adds what a digest or summary reports.
    pub fn add(&mut self, load: &digest::Load) {
        self.streams += f64::from(load.streams);
        self.first_hops += f64::from(load.first_stage);
        self.token_layers += f64::from(load.memory) * MEMORY_UNIT_TOKEN_LAYERS;
    }

    /// Subtracts what another sum includes; never below zero, as the two may be of different times.
    fn subtract(&mut self, load: &digest::Load) {
        self.streams = (self.streams - f64::from(load.streams)).max(0.0);
        self.first_hops = (self.first_hops - f64::from(load.first_stage)).max(0.0);
        let memory = f64::from(load.memory) * MEMORY_UNIT_TOKEN_LAYERS;
        self.token_layers = (self.token_layers - memory).max(0.0);
    }
}

#[derive(Clone, Debug)]
struct Received<T> {
    message: T,
    received_at: Time,
}

/// The newest digests and summaries that were received, and the load that follows from them.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    digests: HashMap<String, Received<Digest>>,
    /// Summaries by scope and part; those for the targets of a zone without the own load.
    summaries: HashMap<(Scope, u32), Received<Summary>>,
    /// Own digests that were sent last, oldest first.
    own_digests: VecDeque<Digest>,
    /// Load of all peers by tag of the target.
    loads: HashMap<u32, Load>,
    /// Number of peers whose load is included.
    count: usize,
    /// Change of the load by tag of the target between the last two summaries, and when the last came.
    rates: HashMap<u32, (Rate, Time)>,
    /// When the newest summary of the load on the targets of each zone came.
    summarized_at: HashMap<String, Time>,
    /// When the newest digest came.
    digest_at: Option<Time>,
}

impl Peers {
    /// Stores a digest unless its sender's latest one is newer; returns whether it was stored.
    pub fn apply_digest(&mut self, digest: Digest, now: Time) -> bool {
        let is_outdated = self.digests.get(&digest.entry).is_some_and(|latest| {
            latest.message.incarnation == digest.incarnation
                && latest.message.sequence >= digest.sequence
        });
        if !is_outdated {
            self.digest_at = Some(now);
            let received = Received {
                received_at: now,
                message: digest,
            };
            self.digests
                .insert(received.message.entry.clone(), received);
        }
        !is_outdated
    }

    /// Stores a summary unless the latest one of its sender for that part is newer; returns whether
    /// it was stored.
    pub fn apply_summary(&mut self, summary: Summary, now: Time) -> bool {
        let key = (summary.scope.clone(), summary.part);
        let is_outdated = self.summaries.get(&key).is_some_and(|latest| {
            let latest = &latest.message;
            latest.entry == summary.entry
                && latest.incarnation == summary.incarnation
                && latest.sequence >= summary.sequence
        });
        if is_outdated {
            return false;
        }
        if let Scope::TargetsOf(zone) = &summary.scope {
            self.summarized_at.insert(zone.clone(), now);
        }
        if let (Scope::TargetsOf(_), Some(previous)) = (&summary.scope, self.summaries.get(&key))
            && previous.message.parts == summary.parts
        {
            let rates = summary_rates(previous, &summary, now);
            self.rates.extend(rates);
        }
        // A scope that is split differently than before is replaced part by part.
        self.summaries.retain(|(scope, _), received| {
            *scope != summary.scope || received.message.parts == summary.parts
        });
        let received_at = now;
        let message = summary;
        self.summaries.insert(
            key,
            Received {
                message,
                received_at,
            },
        );
        true
    }

    /// Remembers a digest of this instance that is being sent.
    pub fn record_own_digest(&mut self, digest: Digest) {
        if self.own_digests.len() >= OWN_DIGESTS {
            self.own_digests.pop_front();
        }
        self.own_digests.push_back(digest);
    }

    fn drop_outdated(&mut self, now: Time) {
        let is_within = |at: Time, time: Duration| now.saturating_sub(at) < time;
        self.digests
            .retain(|_, received| is_within(received.received_at, DIGEST_TIMEOUT));
        self.summaries
            .retain(|_, received| is_within(received.received_at, SUMMARY_TIMEOUT));
        self.rates
            .retain(|_, (_, at)| is_within(*at, SUMMARY_TIMEOUT));
    }

    /// Change of the load on the target with this tag, and the age of the newest word of it; `None`
    /// without two summaries within their timeout.
    pub fn rate(&self, tag: u32, now: Time) -> Option<(Rate, Duration)> {
        let (rate, at) = self.rates.get(&tag)?;
        let age = now.saturating_sub(*at);
        (age < SUMMARY_TIMEOUT).then_some((*rate, age))
    }

    /// Age of the newest word on the targets of the own zone: a summary of the aggregator, or for the
    /// aggregator the newest digest.
    pub fn age_in_zone(&self, zone: &str, now: Time) -> Option<Duration> {
        let summarized_at = self.summarized_at.get(zone).copied();
        Some(now.saturating_sub(summarized_at.max(self.digest_at)?))
    }

    /// Computes the load of all peers from the summaries of the zone's aggregator.
    ///
    /// Linear in the targets.
    pub fn use_summaries(&mut self, now: Time) {
        self.drop_outdated(now);
        self.loads.clear();
        let mut count = 0;
        for summary in self.summaries.values().map(|received| &received.message) {
            if !matches!(summary.scope, Scope::TargetsOf(_)) {
                continue;
            }
            count = count.max(summary.entries);
            for load in &summary.loads {
                self.loads.entry(load.target).or_default().add(load);
            }
            let included = summary.included_sequence;
            let own = self.own_digests.iter();
            let own = own.filter(|digest| Some(digest.sequence) == included);
            for load in own.flat_map(|digest| &digest.loads) {
                if load.target % summary.parts.max(1) == summary.part
                    && let Some(sum) = self.loads.get_mut(&load.target)
                    && summary
                        .loads
                        .iter()
                        .any(|other| other.target == load.target)
                {
                    sum.subtract(load);
                }
            }
        }
        self.count = count.saturating_sub(1) as usize;
    }

    /// Computes the load of all peers from the digests of the own zone and the summaries of other
    /// zones; for the aggregator.
    ///
    /// Linear in the instances of the zone times the targets that each uses.
    pub fn use_digests(&mut self, now: Time) {
        self.drop_outdated(now);
        self.loads.clear();
        let mut count = self.digests.len() as u32;
        let digests = self.digests.values();
        let of_zone = digests.flat_map(|received| &received.message.loads);
        let summaries = self.summaries.values().map(|received| &received.message);
        let of_others: Vec<&Summary> = summaries
            .filter(|summary| matches!(summary.scope, Scope::EntriesOf(_)))
            .collect();
        for summary in &of_others {
            count += if summary.part == 0 {
                summary.entries
            } else {
                0
            };
        }
        let of_others = of_others.into_iter().flat_map(|summary| &summary.loads);
        for load in of_zone.chain(of_others) {
            self.loads.entry(load.target).or_default().add(load);
        }
        self.count = count as usize;
    }

    /// Sum of the digests of the own zone, by tag of the target, and how many they are.
    pub fn sum_digests(&self) -> (BTreeMap<u32, Load>, usize) {
        let mut sums: BTreeMap<u32, Load> = BTreeMap::new();
        let digests = self.digests.values();
        for load in digests.flat_map(|received| &received.message.loads) {
            sums.entry(load.target).or_default().add(load);
        }
        (sums, self.digests.len())
    }

    /// Targets that the own zone's instances report as failing, by tag: the longest remaining time,
    /// and whether any says that the target does not respond.
    pub fn failing_in_zone(&self, now: Time) -> BTreeMap<u32, Failing> {
        let mut merged = BTreeMap::new();
        for received in self.digests.values() {
            let age = now.saturating_sub(received.received_at);
            merge_all(&mut merged, &received.message.failing, age);
        }
        merged
    }

    /// The same for the instances of all zones.
    pub fn failing(&self, now: Time) -> BTreeMap<u32, Failing> {
        let mut merged = self.failing_in_zone(now);
        for received in self.summaries.values() {
            if matches!(received.message.scope, Scope::EntriesOf(_)) {
                let age = now.saturating_sub(received.received_at);
                merge_all(&mut merged, &received.message.failing, age);
            }
        }
        merged
    }

    /// Sequence number of the newest digest of each instance that sends its digests here.
    pub fn sequences(&self) -> impl Iterator<Item = (&str, u64)> {
        let digests = self.digests.values().map(|received| &received.message);
        digests.map(|digest| (digest.entry.as_str(), digest.sequence))
    }

    /// Load of all peers by tag of the target.
    pub fn loads(&self) -> &HashMap<u32, Load> {
        &self.loads
    }

    /// Load of all peers together on the target with this tag.
    pub fn load(&self, tag: u32) -> Load {
        self.loads.get(&tag).copied().unwrap_or_default()
    }

    /// Number of peers whose load is included.
    pub fn count(&self) -> usize {
        self.count
    }
}

/// Change of the load between two summaries of the same part, by tag; a target that one of them lacks had no
/// load there.
fn summary_rates(
    previous: &Received<Summary>,
    summary: &Summary,
    now: Time,
) -> HashMap<u32, (Rate, Time)> {
    let apart = now.saturating_sub(previous.received_at);
    let mut loads: HashMap<u32, (Load, Load)> = HashMap::new();
    for load in &previous.message.loads {
        loads.entry(load.target).or_default().0.add(load);
    }
    for load in &summary.loads {
        loads.entry(load.target).or_default().1.add(load);
    }
    let rates = loads.into_iter();
    rates
        .map(|(tag, (before, after))| (tag, (Rate::between(&before, &after, apart), now)))
        .collect()
}

/// Merges reports of failing targets that were received `age` ago.
fn merge_all(merged: &mut BTreeMap<u32, Failing>, failing: &[Failing], age: Duration) {
    let age = u16::try_from(age.as_millis()).unwrap_or(u16::MAX);
    for failing in failing {
        let left = failing.excluded_ms.saturating_sub(age);
        if left > 0 {
            failing_merge(merged, failing, left);
        }
    }
}

/// Merges one report of a failing target, with `left` ms remaining, into the others.
pub fn failing_merge(merged: &mut BTreeMap<u32, Failing>, failing: &Failing, left: u16) {
    let entry = merged.entry(failing.target).or_insert(Failing {
        excluded_ms: 0,
        ..*failing
    });
    entry.excluded_ms = entry.excluded_ms.max(left);
    entry.unresponsive |= failing.unresponsive;
}
