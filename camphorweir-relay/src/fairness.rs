//! Fair shares of scarce capacity between the workspaces of a class.
//!
//! Core-stateless fair queueing: instances measure the work that workspaces offer, add it up by zone, and
//! each computes from the sums up to which rate a workspace is served before others.

use {
    crate::ids::{Fingerprint, Time, ids_tag},
    camphorweir_wire::demand::{Demand, Work},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Period over which rates of work are averaged: a few streams' length, so that a burst counts and a pause
/// does not.
const AVERAGE: Duration = Duration::from_secs(3);
/// Age after which the sum of the zone, or the report of an instance, is not used any more; three are sent
/// meanwhile.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time for which a refused request is known, several times the longest time after which callers are told
/// to return.
const REFUSED_TTL: Duration = Duration::from_secs(8);
/// Limit on refused requests that an instance remembers.
const MAX_REFUSED: usize = 4_096;
/// Refused requests in one message; with the largest tags they take less than half of a datagram.
const MAX_REFUSED_SENT: usize = 120;
/// Time for which an instance tells of a request that it refused in its digests, and the aggregator in its
/// summaries: at least two of them, so that one may be lost.
const TELL: (Duration, Duration) = (Duration::from_millis(350), Duration::from_millis(500));
/// Refused requests in a digest and in a summary, of 5 bytes each.
const MAX_TOLD: (usize, usize) = (16, 40);
/// Workspaces and classes that are told apart; those beyond it count as within their share.
const MAX_WORKS: usize = 4_096;
/// Capacity is short for a class where it is offered this much more work than is admitted.
const SHORT_FACTOR: f64 = 1.05;
/// Least share of a workspace's work that is admitted, relative to the share of its class that is admitted,
/// so that no workspace is starved however much it sends: a quarter, and a margin for rates in whole units.
const MIN_WORKSPACE_SHARE: f64 = 0.2502;
/// The same where the others lose little by it, with a margin for rates that are measured.
const AMPLE_WORKSPACE_SHARE: f64 = 0.255;
/// Most that those who get more than [`AMPLE_WORKSPACE_SHARE`] lose to it, of what they get.
const MAX_AMPLE_SHARE_COST: f64 = 0.029;
/// Requests of no class that are assumed among those of a service, so that the first few do not count as a
/// burst of their class.
const UNKNOWN_REQUESTS: f64 = 1.0;
/// Weight of a token of an answer, against one of a prompt.
const ANSWER_WEIGHT: f64 = 10.0;

/// Tag of a class: a service and a rank there.
pub fn class_tag(service: &str, rank: usize) -> u16 {
    let tag = ids_tag(service).wrapping_add(rank as u32);
    (tag ^ tag >> 16) as u16
}

/// Tag of a fingerprint in messages.
fn refused_tag(fingerprint: Fingerprint) -> u32 {
    (fingerprint ^ fingerprint >> 32) as u32
}

/// Work of a request with these tokens of prompt and answer.
pub fn work_of(tokens: (f64, f64)) -> f64 {
    tokens.0 + ANSWER_WEIGHT * tokens.1
}

/// The rate up to which each workspace of a class is served before others: those that offer less get all
/// of it, and the others the same, so that together they get what was admitted. Infinite where it is
/// enough for all.
pub fn fair_rate(offered: &[f64], admitted: f64) -> f64 {
    if offered.iter().sum::<f64>() <= admitted * SHORT_FACTOR {
        return f64::INFINITY;
    }
    let mut offered = offered.to_vec();
    offered.sort_by(f64::total_cmp);
    let mut left = admitted;
    for (index, rate) in offered.iter().enumerate() {
        let level = left / (offered.len() - index) as f64;
        if level <= *rate {
            return level;
        }
        left -= rate;
    }
    f64::INFINITY
}

/// Exponentially averaged rate of work a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Time,
}

impl Rate {
    fn get(self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / AVERAGE.as_secs_f64()).exp()
    }

    fn add(&mut self, work: f64, now: Time) {
        let value = self.get(now) + work / AVERAGE.as_secs_f64();
        *self = Self {
            value: value.max(0.0),
            at: now,
        };
    }
}

/// Tags of a class and a workspace.
type Key = (u16, u32);

/// Work offered and admitted a second.
type Rates = BTreeMap<Key, (f64, f64)>;

/// What an instance knows of the demand of workspaces.
#[derive(Clone, Debug, Default)]
pub struct Fairness {
    /// Work offered to this instance, and admitted by it.
    own: HashMap<Key, (Rate, Rate)>,
    /// Requests that arrived at this instance, by class.
    arrivals: HashMap<u16, Rate>,
    /// When the last of them arrived.
    arrived_at: Time,
    /// Requests that this instance refused, by tag.
    refused: HashMap<u32, Time>,
    /// Requests that digests and summaries name as refused, by tag, and when they first did.
    heard: HashMap<u32, Time>,
    /// What other instances report to this one while it is the aggregator.
    reports: BTreeMap<String, (Time, Demand)>,
    /// The last sum of the zone.
    sum: Option<(Time, Demand)>,
    /// Probability that a request is demoted, where it is above zero.
    demotions: HashMap<Key, f64>,
}

impl Fairness {
    /// Counts the work of a request that arrived.
    pub fn record_offered(&mut self, class: u16, workspace: &str, work: f64, now: Time) {
        self.arrived_at = now;
        if self.arrivals.len() < MAX_WORKS || self.arrivals.contains_key(&class) {
            self.arrivals.entry(class).or_default().add(1.0, now);
        }
        let key = (class, ids_tag(workspace));
        if self.own.len() < MAX_WORKS || self.own.contains_key(&key) {
            self.own.entry(key).or_default().0.add(work, now);
        }
    }

    /// Counts the work of a request that is sent; negative for one that a target rejected.
    pub fn record_admitted(&mut self, class: u16, workspace: &str, work: f64, now: Time) {
        if let Some((_, admitted)) = self.own.get_mut(&(class, ids_tag(workspace))) {
            admitted.add(work, now);
        }
    }

    /// Records that a request was refused and its caller told when to return.
    pub fn record_refused(&mut self, fingerprint: Fingerprint, now: Time) {
        remember(&mut self.refused, refused_tag(fingerprint), now);
    }

    /// Records requests that other instances of the zone refused.
    pub fn record_heard(&mut self, refused: &[u32], now: Time) {
        for tag in refused {
            match self.heard.get(tag) {
                Some(at) if is_younger(*at, REFUSED_TTL, now) => {}
                _ => remember(&mut self.heard, *tag, now),
            }
        }
    }

    /// Tags of the requests that this instance refused lately, for a digest.
    pub fn refused_for_digest(&self, now: Time) -> Vec<u32> {
        newest(self.refused.iter(), TELL.0, MAX_TOLD.0, now)
    }

    /// Tags of the requests that the zone refused lately, for a summary of the aggregator.
    pub fn refused_for_summary(&self, now: Time) -> Vec<u32> {
        newest(
            self.refused.iter().chain(&self.heard),
            TELL.1,
            MAX_TOLD.1,
            now,
        )
    }

    /// Whether a request was refused lately, here or as another instance of the zone says.
    pub fn is_returning(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let tag = refused_tag(fingerprint);
        let known = [&self.refused, &self.heard].into_iter();
        let mut known = known.filter_map(|refused| refused.get(&tag));
        known.any(|at| is_younger(*at, REFUSED_TTL, now))
            || self
                .fresh_sum(now)
                .is_some_and(|sum| sum.refused.contains(&tag))
    }

    /// Part of the requests of a service that is of one rank, of those that arrived here until the last one.
    /// `classes` has the class of each rank.
    pub fn part_of_requests(&self, rank: usize, classes: &[u16]) -> f64 {
        let count = |class: &u16| {
            let rate = self.arrivals.get(class).copied().unwrap_or_default();
            rate.get(self.arrived_at) * AVERAGE.as_secs_f64()
        };
        let all: f64 = classes.iter().map(count).sum();
        classes.get(rank).map_or(0.0, count) / (all + UNKNOWN_REQUESTS)
    }

    /// Probability with which a request is demoted by one rank.
    pub fn demotion(&self, class: u16, workspace: &str) -> f64 {
        let key = (class, ids_tag(workspace));
        self.demotions.get(&key).copied().unwrap_or_default()
    }

    /// Whether any workspace is above its fair rate.
    pub fn has_demotions(&self) -> bool {
        !self.demotions.is_empty()
    }

    /// What this instance reports to the aggregator, for `entry` as the sender.
    pub fn report(&mut self, entry: &str, now: Time) -> Demand {
        for refused in [&mut self.refused, &mut self.heard] {
            refused.retain(|_, at| is_younger(*at, REFUSED_TTL, now));
        }
        // Less than one unit of work in a datagram.
        self.own.retain(|_, (offered, _)| offered.get(now) >= 1.0);
        let refused = newest(self.refused.iter(), REFUSED_TTL, MAX_REFUSED_SENT, now);
        encode(entry, false, &self.own_rates(now), refused)
    }

    /// Records the report of an instance to this one as the aggregator, or a sum of the zone from it.
    pub fn apply(&mut self, demand: Demand, now: Time) {
        match demand.is_sum {
            true => self.sum = Some((now, demand)),
            false => drop(self.reports.insert(demand.entry.clone(), (now, demand))),
        }
    }

    /// The sum of the zone as its aggregator: what others report and `own`. It is in use here too.
    pub fn sum(&mut self, own: &Demand, now: Time) -> Demand {
        self.reports
            .retain(|_, (at, _)| is_younger(*at, REPORT_TTL, now));
        let others = self.reports.values().map(|(_, demand)| demand);
        let others = others.filter(|demand| demand.entry != own.entry);
        let all: Vec<&Demand> = others.chain([own]).collect();
        let mut rates = Rates::new();
        for work in all.iter().flat_map(|demand| &demand.works) {
            let rate = rates.entry((work.class, work.workspace)).or_default();
            rate.0 += f64::from(work.offered);
            rate.1 += f64::from(work.admitted);
        }
        // The newest of each in turn, as an instance with many must not crowd out the others.
        let longest = all.iter().map(|demand| demand.refused.len()).max();
        let refused = (0..longest.unwrap_or_default())
            .flat_map(|index| {
                all.iter()
                    .filter_map(move |demand| demand.refused.get(index))
            })
            .copied();
        let sum = encode(&own.entry, true, &rates, refused.collect());
        self.sum = Some((now, sum.clone()));
        sum
    }

    /// Computes anew which workspaces are above their fair rate, from the zone's sum or, where none is
    /// fresh, from this instance's own counts.
    pub fn refresh(&mut self, now: Time) {
        let rates = match self.fresh_sum(now) {
            Some(sum) => decode(sum),
            None => self.own_rates(now),
        };
        self.demotions = demotions(&rates);
    }

    fn fresh_sum(&self, now: Time) -> Option<&Demand> {
        let (at, sum) = self.sum.as_ref()?;
        is_younger(*at, REPORT_TTL, now).then_some(sum)
    }

    fn own_rates(&self, now: Time) -> Rates {
        let own = self.own.iter();
        own.map(|(key, (offered, admitted))| (*key, (offered.get(now), admitted.get(now))))
            .collect()
    }
}

/// Adds a tag to refused requests, if there is room.
fn remember(refused: &mut HashMap<u32, Time>, tag: u32, now: Time) {
    if refused.len() >= MAX_REFUSED {
        refused.retain(|_, at| is_younger(*at, REFUSED_TTL, now));
    }
    if refused.len() < MAX_REFUSED {
        refused.insert(tag, now);
    }
}

/// Tags of at most `most` requests that were refused less than `limit` ago, the newest first.
fn newest<'a>(
    refused: impl Iterator<Item = (&'a u32, &'a Time)>,
    limit: Duration,
    most: usize,
    now: Time,
) -> Vec<u32> {
    let lately = refused.filter(|(_, at)| is_younger(**at, limit, now));
    let mut lately: Vec<(Time, u32)> = lately.map(|(tag, at)| (*at, *tag)).collect();
    lately.sort_unstable_by(|a, b| b.cmp(a));
    lately.truncate(most);
    lately.into_iter().map(|(_, tag)| tag).collect()
}

fn is_younger(at: Time, limit: Duration, now: Time) -> bool {
    now.saturating_sub(at) < limit
}

fn encode(entry: &str, is_sum: bool, rates: &Rates, mut refused: Vec<u32>) -> Demand {
    let works = rates
        .iter()
        .map(|((class, workspace), (offered, admitted))| Work {
            class: *class,
            workspace: *workspace,
            offered: offered.round() as u32,
            admitted: admitted.round() as u32,
        });
    let mut works: Vec<Work> = works.collect();
    works.sort_by_key(|work| std::cmp::Reverse(work.offered));
    refused.truncate(MAX_REFUSED_SENT);
    Demand {
        entry: entry.to_owned(),
        is_sum,
        works,
        refused,
    }
}

fn decode(demand: &Demand) -> Rates {
    let works = demand.works.iter();
    works
        .map(|work| {
            let rates = (f64::from(work.offered), f64::from(work.admitted));
            ((work.class, work.workspace), rates)
        })
        .collect()
}

/// Share of each workspace's work in a class that keeps its rank.
///
/// Those below their least share get what they lack of it from the others, all in proportion. What keeps
/// its rank then exceeds what is admitted by this cost.
fn kept_shares(offered: &[f64], admitted: f64) -> Vec<f64> {
    let rate = fair_rate(offered, admitted);
    let served = admitted / offered.iter().sum::<f64>().max(1.0);
    // What is lacking of a least share, as a part of what the others get.
    let cost_of = |share: f64| {
        let (mut lacking, mut others) = (0.0, 0.0);
        for offered in offered {
            let fair = offered.min(rate);
            match share * served * offered - fair {
                lack if lack > 0.0 => lacking += lack,
                _ => others += fair,
            }
        }
        lacking / others.max(1.0)
    };
    let least = match cost_of(AMPLE_WORKSPACE_SHARE) <= MAX_AMPLE_SHARE_COST {
        true => AMPLE_WORKSPACE_SHARE,
        false => MIN_WORKSPACE_SHARE,
    };
    let cost = cost_of(least);
    let kept = offered.iter().map(|offered| {
        let fair = offered.min(rate);
        let least = least * served * offered;
        let kept = match least > fair {
            true => least / (1.0 - cost),
            false => fair,
        };
        (kept / offered.max(1.0)).min(1.0)
    });
    kept.collect()
}

/// Probability of demotion of each workspace and class above its fair rate.
fn demotions(rates: &Rates) -> HashMap<Key, f64> {
    let mut classes: BTreeMap<u16, (Vec<Key>, Vec<f64>, f64)> = BTreeMap::new();
    for (key, (offered, admitted)) in rates {
        let (keys, offers, total) = classes.entry(key.0).or_default();
        keys.push(*key);
        offers.push(*offered);
        *total += admitted;
    }
    let demotions = classes.into_values().flat_map(|(keys, offers, admitted)| {
        let kept = kept_shares(&offers, admitted).into_iter();
        keys.into_iter().zip(kept.map(|kept| 1.0 - kept))
    });
    demotions.filter(|(_, demotion)| *demotion > 0.0).collect()
}
