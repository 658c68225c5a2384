//! Permits to send a request to a target that names a limit.
//!
//! All instances together keep to the limit since one of them gives out all permits of a target: the first
//! live instance in an order that all know. It tells the others of the order what it has given; whoever takes
//! over counts that too, and assumes that the limit was used evenly since. Where several give permits and do
//! not hear of each other, those that hear them tell how many they are, and each gives its part.

use {
    crate::{
        givers::Givers,
        ids::{Time, Zone, ids_tag},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Span in which a target gets no more requests than its limit allows.
const SPAN: Duration = Duration::from_secs(4);
/// Longest time from the start of a permit until its request is sent. What was permitted early may arrive
/// late, so permits are counted over a span that is longer by this.
pub const VALIDITY: Duration = Duration::from_millis(80);
/// Least part of an even pause between two permits, so that a limit that was unused for a while is not
/// used up at once.
const MIN_PAUSE: f64 = 0.25;
/// Added to it as the limit is used up. An even pause would waste what comes between two requests.
const FULL_PAUSE: f64 = 0.25;
/// Unit of the times in accounts, in ms.
const ACCOUNT_STEP_MS: u64 = 50;
/// Time for which an account is sent again after the last permit, as messages are lost.
const ACCOUNT_REPEATS: Duration = Duration::from_secs(1);
/// Time without a sign of life of its own after which an instance was suspended, and others have given
/// permits in its place.
const SUSPENDED: Duration = Duration::from_millis(500);
/// Time for which an instance gives no permits after its start, a suspension or a cut: others find out
/// within it that the instance is back.
const WARM_UP: Duration = Duration::from_millis(1_000);
/// Time for which an instance that did not answer is passed over.
const SILENCE: Duration = Duration::from_millis(700);
/// Time after that within which a failure continues the silence.
const SILENCE_MEMORY: Duration = Duration::from_secs(3);
/// Age up to which an instance that got no permit counts as waiting for one.
const DENIED_MEMORY: Duration = Duration::from_secs(1);
/// Time for which an answer is kept, to be given again when it was lost.
const ANSWER_MEMORY: Duration = Duration::from_secs(1);
/// Time without a limit's use after which its account is dropped.
const IDLE: Duration = Duration::from_secs(60);
/// Number of instances that are asked for permits of a target, one after the other.
pub const MAX_CANDIDATES: usize = 4;
/// An instance that has heard of no other for so long is cut off from them and gives no permits.
const CUT_OFF: Duration = Duration::from_millis(700);
/// The same for one that takes the place of another that does not answer.
const CUT_OFF_OUT_OF_TURN: Duration = Duration::from_millis(400);
/// After so long without word of others they may have ended, and the instance uses its share.
const ALONE: Duration = Duration::from_secs(30);
/// Least time after which a permit is asked for again.
const MIN_RETRY: Duration = Duration::from_millis(5);
/// Time after which a request for a target without permits at all may be tried again.
const CLOSED_RETRY: Duration = Duration::from_secs(1);
/// Time after which permits are asked for again where no instance gave an answer.
pub const UNKNOWN_RETRY: Duration = Duration::from_millis(200);

/// A target's incarnation: the tag of its identifier and its start, as a Unix time in ms.
pub type Key = (u32, u64);

/// What an instance tells others of the permits of a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// When those that it gave leave the span, in steps of 50 ms from now, and how many do; empty if it gave
    /// none lately.
    pub ends: Vec<(u16, u16)>,
    /// Number of instances that give permits, if several do and the sender hears them, else 0.
    pub givers: usize,
}

/// The answer to an instance that asks for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The target has no limit.
    Free,
    /// A permit that starts after this time.
    After(Duration),
    /// No permit; another request may be tried after this time.
    Denied(Duration),
}

/// How many permits start in any span of some length.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quota {
    count: usize,
    span: Duration,
}

/// The quota for a limit of so many requests a second, of which `share` is given out. A limit below one
/// request in [`SPAN`] has a longer span.
fn quota(per_second: f64, share: f64) -> Quota {
    let per_second = per_second * share;
    let count = (per_second * SPAN.as_secs_f64()) as usize;
    let span = match count {
        0 if per_second > 0.0 => Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(IDLE),
        _ => SPAN,
    };
    Quota {
        count: match per_second > 0.0 {
            true => count.max(1),
            false => 0,
        },
        span: span.min(IDLE) + VALIDITY,
    }
}

/// The permits of one target.
#[derive(Clone, Debug)]
struct Window {
    /// When each permit of the last span that was given here leaves it, in order.
    ends: VecDeque<Time>,
    /// The same for what other instances gave, with how many leave at each time.
    others: BTreeMap<String, Vec<(Time, usize)>>,
    givers: Givers,
    last_start: Time,
    /// When a permit was last given here.
    given_at: Option<Time>,
    /// Up to when all permits are known here; `None` for not at all.
    known_until: Option<Time>,
    /// Whether other instances may have given permits since.
    is_unsure: bool,
    /// When each instance last got none.
    denied: BTreeMap<String, Time>,
    used_at: Time,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            ends: VecDeque::new(),
            others: BTreeMap::new(),
            givers: Givers::default(),
            last_start: Time::ZERO,
            given_at: None,
            known_until: None,
            is_unsure: true,
            denied: BTreeMap::new(),
            used_at: Time::ZERO,
        }
    }
}

impl Window {
    /// Assumes that the limit was used evenly for as long as others may have given permits of which no
    /// word came.
    fn fill_gap(&mut self, quota: Quota, now: Time) {
        let known_until = self.known_until.replace(now);
        if !std::mem::replace(&mut self.is_unsure, false) {
            return;
        }
        let gap = known_until.map_or(quota.span, |until| now.saturating_sub(until));
        let gap = gap.min(quota.span);
        let count = (quota.count as f64 * gap.div_duration_f64(quota.span)).round() as usize;
        let left = |index: usize| quota.span - gap.mul_f64((count - index) as f64 / count as f64);
        self.ends.extend((1..=count).map(|index| now + left(index)));
        self.ends.make_contiguous().sort_unstable();
    }

    /// When permits leave the span, in order, those of other instances included.
    fn all_ends(&self, now: Time) -> Vec<Time> {
        let others = self.others.values().flatten();
        let others = others.filter(|(end, _)| *end > now);
        let others = others.flat_map(|(end, count)| std::iter::repeat_n(*end, *count));
        let mut all: Vec<Time> = others.collect();
        all.extend(&self.ends);
        all.sort_unstable();
        all
    }

    /// Takes a permit that starts within `max_wait`.
    ///
    /// Linear in the permits of a span while other instances gave some of them, else each permit is added
    /// and dropped once.
    fn take(&mut self, quota: Quota, asker: &str, max_wait: Duration, now: Time) -> Answer {
        self.used_at = now;
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        if quota.count == 0 {
            return Answer::Denied(CLOSED_RETRY);
        }
        self.fill_gap(quota, now);
        self.others
            .retain(|_, ends| ends.last().is_some_and(|(end, _)| *end > now));
        let (next_of_span, used) = match self.others.is_empty() {
            true => {
                let last = self.ends.len().checked_sub(quota.count);
                (last.map(|index| self.ends[index]), self.ends.len())
            }
            false => {
                let all = self.all_ends(now);
                let last = all.len().checked_sub(quota.count);
                (last.map(|index| all[index]), all.len())
            }
        };
        let fill = (used as f64 / quota.count as f64).min(1.0);
        let pause = (MIN_PAUSE + fill * FULL_PAUSE) / quota.count as f64;
        let after_last = self.last_start + quota.span.mul_f64(pause);
        let start = next_of_span.unwrap_or(now).max(after_last).max(now);
        let wait = start - now;
        if wait <= max_wait {
            self.ends.push_back(start + quota.span);
            (self.last_start, self.given_at) = (start, Some(now));
            return Answer::After(wait);
        }
        self.denied
            .retain(|_, at| now.saturating_sub(*at) < DENIED_MEMORY);
        self.denied.insert(asker.to_owned(), now);
        // As many instances wait as get about two tries for each permit.
        let turns = self.denied.len() as f64 / quota.count as f64 / 2.0;
        let turn = quota.span.mul_f64(turns.min(1.0));
        Answer::Denied((wait - max_wait).max(turn).max(MIN_RETRY))
    }

    /// What is told to other instances; `None` if no permits were given here lately and those that give
    /// some hear of each other for all that is known.
    fn account(&self, now: Time) -> Option<Account> {
        let is_new = |at: Time| now.saturating_sub(at) < ACCOUNT_REPEATS;
        let is_giver = self.given_at.is_some_and(is_new);
        let givers = self.givers.count(now) + usize::from(is_giver);
        let account = Account {
            ends: match is_giver {
                true => self.ends_told(now),
                false => Vec::new(),
            },
            givers: if givers > 1 { givers } else { 0 },
        };
        (account != Account::default()).then_some(account)
    }

    /// Applies what another instance told of the permits that it gave.
    fn apply_ends(&mut self, name: &str, told: &[(u16, u16)], now: Time) {
        let end = |left: u16| now + Duration::from_millis(ACCOUNT_STEP_MS * u64::from(left));
        let ends = told
            .iter()
            .map(|(left, count)| (end(*left), usize::from(*count)));
        let mut ends: Vec<(Time, usize)> = ends.collect();
        ends.sort_unstable();
        self.known_until = Some(now);
        self.is_unsure = true;
        self.others.insert(name.to_owned(), ends);
    }

    fn ends_told(&self, now: Time) -> Vec<(u16, u16)> {
        let mut told: Vec<(u16, u16)> = Vec::new();
        for end in self.ends.iter().filter(|end| **end > now) {
            let steps = (*end - now).as_millis().div_ceil(ACCOUNT_STEP_MS.into());
            let left = u16::try_from(steps).unwrap_or(u16::MAX);
            match told.last_mut() {
                Some((last, count)) if *last == left => *count = count.saturating_add(1),
                _ => told.push((left, 1)),
            }
        }
        told
    }
}

/// Gives permits in the name of all instances.
#[derive(Clone, Debug)]
pub struct Grantor {
    windows: BTreeMap<Key, Window>,
    /// Answers that were given lately, by asker and number of the question.
    answers: BTreeMap<(String, u64), (Answer, Time)>,
    /// Since when this instance runs without a pause.
    running_since: Time,
    seen_at: Time,
    /// When another instance was last heard of.
    heard_at: Time,
}

impl Grantor {
    /// A grantor of an instance that starts.
    pub fn new(now: Time) -> Self {
        Self {
            windows: BTreeMap::new(),
            answers: BTreeMap::new(),
            running_since: now,
            seen_at: now,
            heard_at: now,
        }
    }

    /// Records that this instance runs; to be called often.
    pub fn record_running(&mut self, now: Time) {
        if now.saturating_sub(self.seen_at) > SUSPENDED {
            self.record_absence(now);
            self.heard_at = now;
        }
        self.seen_at = now;
        self.windows
            .retain(|_, window| now.saturating_sub(window.used_at) < IDLE);
        self.answers
            .retain(|_, (_, at)| now.saturating_sub(*at) < ANSWER_MEMORY);
    }

    /// Records a message of another instance.
    pub fn record_heard(&mut self, now: Time) {
        if now.saturating_sub(self.heard_at) >= CUT_OFF {
            self.record_absence(now);
        }
        self.heard_at = now;
    }

    /// Records that this instance can hear of no other: they run for all it knows, and it gives no permits
    /// beside them, however long that lasts.
    pub fn record_deaf(&mut self, now: Time) {
        self.heard_at = self.heard_at.max(now.saturating_sub(CUT_OFF));
    }

    /// Records that others may have given permits in the place of this instance until now.
    fn record_absence(&mut self, now: Time) {
        self.running_since = now;
        for window in self.windows.values_mut() {
            window.is_unsure = true;
        }
    }

    /// The share of a limit that this instance may give out. Instances of earlier releases use their shares
    /// without permits.
    fn share(&self, question: &Question, now: Time) -> f64 {
        let silence = now.saturating_sub(self.heard_at);
        let cut_off = match question.is_out_of_turn {
            true => CUT_OFF_OUT_OF_TURN,
            false => CUT_OFF,
        };
        let instances = question.instances as f64;
        match question.instances {
            0 | 1 => 1.0,
            _ if silence >= ALONE => 1.0 / instances,
            _ if silence >= cut_off => 0.0,
            _ => question.permitted as f64 / instances,
        }
    }

    /// Answers a question for a permit.
    pub fn grant(&mut self, question: &Question, now: Time) -> Answer {
        self.record_running(now);
        let id = (question.asker.to_owned(), question.number);
        if let Some((answer, _)) = self.answers.get(&id) {
            return *answer;
        }
        let ready_at = self.running_since + WARM_UP;
        if now < ready_at {
            return Answer::Denied(ready_at - now);
        }
        let share = self.share(question, now);
        let window = self.windows.entry(question.key).or_default();
        let quota = quota(question.per_second, share * window.givers.part(now));
        let answer = window.take(quota, question.asker, question.max_wait, now);
        self.answers.insert(id, (answer, now));
        answer
    }

    /// The permits that this instance gave lately, by target, for the others that may give some.
    pub fn accounts(&self, now: Time) -> Vec<(Key, Account)> {
        let windows = self.windows.iter();
        let accounts = windows.filter_map(|(key, window)| Some((*key, window.account(now)?)));
        accounts.collect()
    }

    /// Applies the account of another instance; returns whether this one gives only a part of the limit
    /// from now on, as it does not hear all that give permits.
    pub fn apply_account(&mut self, key: Key, name: &str, account: &Account, now: Time) -> bool {
        let window = self.windows.entry(key).or_default();
        window.used_at = now;
        if !account.ends.is_empty() {
            window.givers.record(name, now);
            window.apply_ends(name, &account.ends, now);
        }
        window.givers.apply(account.givers, SPAN + VALIDITY, now)
    }
}

/// What an instance asks, and what is known where it is answered.
#[derive(Clone, Debug)]
pub struct Question<'a> {
    /// The target.
    pub key: Key,
    /// Requests a second that the target takes.
    pub per_second: f64,
    /// Name of the instance that asks.
    pub asker: &'a str,
    /// Number of the question, the same when it is asked again.
    pub number: u64,
    /// How long the request can wait for its permit.
    pub max_wait: Duration,
    /// Number of instances that the store lists.
    pub instances: usize,
    /// How many of these ask for permits.
    pub permitted: usize,
    /// Whether other instances should have answered and did not.
    pub is_out_of_turn: bool,
}

/// An instance that may give permits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate<A> {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: Zone,
    /// Where it is reached.
    pub address: A,
}

/// The instances that give permits of a target, the first live one alone: those of its zone, which are cut
/// off together with it, or else of any zone.
///
/// Rendezvous hashing, linear in the instances.
pub fn permit_candidates<A>(
    tag: u32,
    zone: &Zone,
    mut instances: Vec<Candidate<A>>,
) -> Vec<Candidate<A>> {
    if instances.iter().any(|instance| instance.zone == *zone) {
        instances.retain(|instance| instance.zone == *zone);
    }
    instances.sort_by_cached_key(|instance| {
        Reverse((
            ids_tag(&format!("{tag:x} {}", instance.name)),
            instance.name.clone(),
        ))
    });
    instances.truncate(MAX_CANDIDATES);
    instances
}

/// Instances that did not answer questions for permits.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    /// Since when each has not answered, and when it is asked again.
    silent: BTreeMap<String, (Time, Time)>,
}

impl Silences {
    /// Records that an instance did not answer.
    pub fn record(&mut self, name: &str, now: Time) {
        self.silent
            .retain(|_, (_, until)| now.saturating_sub(*until) < SILENCE_MEMORY);
        let silent = self.silent.entry(name.to_owned()).or_insert((now, now));
        silent.1 = now + SILENCE;
    }

    /// Records that an instance answered.
    pub fn clear(&mut self, name: &str) {
        self.silent.remove(name);
    }

    /// Whether an instance is passed over.
    pub fn is_silent(&self, name: &str, now: Time) -> bool {
        self.silent.get(name).is_some_and(|(_, until)| *until > now)
    }

    /// How long it takes until an instance may give permits in the place of another one that does not
    /// answer: if that one is only cut off, it stops to give any within this time.
    pub fn wait_for(&self, name: &str, now: Time) -> Duration {
        let since = self.silent.get(name).map_or(now, |(since, _)| *since);
        (since + CUT_OFF).saturating_sub(now)
    }
}
