//! Limits that targets name in their answers: the requests a second that each takes from all instances
//! together.

use {
    crate::{
        fleet::{Fleet, Target},
        ids::{TargetId, Time, ids_tag},
    },
    camphorweir_wire::limit::News,
    std::{collections::HashMap, time::Duration},
};

/// A limit of this many requests a second or more is none; it also bounds the permits that are kept of a
/// target to some 40,000.
pub(crate) const MAX_PER_SECOND: f64 = 1e4;
/// Time for which no answer has named a limit before an answer without it ends it.
const WITHDRAW_TIME: Duration = Duration::from_millis(500);
/// The same for a target of which only some answers name the limit, and the number of answers in a row
/// without it that it then takes.
const MIXED_WITHDRAW: (Duration, u32) = (Duration::from_secs(2), 3);
/// Time for which the end of a limit is told to others.
const ENDED_MEMORY: Duration = Duration::from_secs(10);

/// What an answer says of its target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Named {
    /// Nothing.
    Absent,
    /// Something that is no limit, such as text or a negative number.
    Unreadable,
    /// So many requests a second, zero or more.
    Rate(f64),
}

/// How an instance learned of a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From an answer to this instance.
    Answer,
    /// From another instance.
    Peer,
}

/// What is known of the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, below [`MAX_PER_SECOND`]; `None` once the target names none any more.
    pub per_second: Option<f64>,
    /// When the target first named a limit.
    pub since: Time,
    /// When an answer last named the limit, or showed that there is none any more.
    pub confirmed_at: Time,
    /// How this instance learned of it.
    pub source: Source,
    /// Start of the target's incarnation, as a Unix time in ms; a later one has named no limit.
    started_ms: u64,
    /// Answers in a row that did not name it, to requests sent after the last one that did.
    silent_answers: u32,
    /// Whether answers named it again after others had not.
    is_mixed: bool,
}

/// A change of a limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The target takes so many requests a second.
    Set(f64),
    /// The target names no limit any more.
    Withdrawn,
}

/// The limits of all targets, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: HashMap<TargetId, Limit>,
}

impl Limits {
    /// Records what an answer says, to a request that was sent at `sent_at`.
    ///
    /// An answer without a limit ends one only if it was sent after the last that named it: answers
    /// overtake each other. One that can't be read says nothing.
    pub fn record_answer(
        &mut self,
        target: &Target,
        named: Named,
        sent_at: Time,
        now: Time,
    ) -> Option<Change> {
        let rate = match named {
            Named::Unreadable => return None,
            Named::Rate(rate) if rate < MAX_PER_SECOND => rate,
            Named::Rate(_) | Named::Absent => return self.record_absence(target, sent_at, now),
        };
        let known = self.current(target);
        let since = known.filter(|known| known.per_second.is_some());
        let is_mixed = known.is_some_and(|known| {
            let has_ended = known.per_second.is_none();
            known.is_mixed || known.silent_answers > 0 || has_ended
        });
        let limit = Limit {
            per_second: Some(rate),
            since: since.map_or(now, |known| known.since),
            confirmed_at: now,
            source: Source::Answer,
            started_ms: target.started_ms,
            silent_answers: 0,
            is_mixed,
        };
        let is_same = known.is_some_and(|known| known.per_second == Some(rate));
        self.known.insert(target.id.clone(), limit);
        (!is_same).then_some(Change::Set(rate))
    }

    fn record_absence(&mut self, target: &Target, sent_at: Time, now: Time) -> Option<Change> {
        let known = self.known.get_mut(&target.id);
        let known = known.filter(|known| known.started_ms == target.started_ms)?;
        let rate = known.per_second.filter(|_| sent_at > known.confirmed_at)?;
        known.silent_answers += 1;
        let (time, answers) = match known.is_mixed {
            true => MIXED_WITHDRAW,
            false => (WITHDRAW_TIME, 1),
        };
        // A target that takes next to nothing answers next to nothing.
        let needed = answers.min(rate as u32).max(1);
        let is_over =
            known.silent_answers >= needed && now.saturating_sub(known.confirmed_at) >= time;
        is_over.then(|| {
            known.per_second = None;
            known.confirmed_at = now;
            Change::Withdrawn
        })
    }

    /// What is known of the limit of a target's present incarnation.
    fn current(&self, target: &Target) -> Option<&Limit> {
        let known = self.known.get(&target.id);
        known.filter(|known| known.started_ms == target.started_ms)
    }

    /// The limit of a target, if it has one.
    pub fn get(&self, target: &Target) -> Option<&Limit> {
        let known = self.current(target);
        known.filter(|known| known.per_second.is_some())
    }

    /// Requests a second that a target takes, if it has named a limit.
    pub fn rate(&self, target: &Target) -> Option<f64> {
        self.get(target)?.per_second
    }

    /// What this instance knows of a target's limit, for other instances.
    pub fn news_of(&self, target: &Target, now: Time) -> Option<News> {
        let known = self.current(target)?;
        let ms = |at: Time| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        Some(News {
            target: ids_tag(&target.id),
            started_ms: known.started_ms,
            per_second: known.per_second,
            since_ms: ms(known.since),
            age_ms: ms(known.confirmed_at),
        })
    }

    /// What this instance knows of all limits, those that ended lately included.
    pub fn news(&self, fleet: &Fleet, now: Time) -> Vec<News> {
        let targets = self.known.keys().filter_map(|id| fleet.get(id));
        targets
            .filter_map(|target| self.news_of(target, now))
            .collect()
    }

    /// Applies what another instance knows of a target's limit, unless this one knows something newer.
    pub fn apply_news(&mut self, target: &Target, news: &News, now: Time) -> Option<Change> {
        if news.started_ms != target.started_ms {
            return None;
        }
        let at = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        let confirmed_at = at(news.age_ms);
        let known = self.current(target);
        if known.is_some_and(|known| known.confirmed_at >= confirmed_at) {
            return None;
        }
        let before = known.and_then(|known| known.per_second);
        let is_mixed = known.is_some_and(|known| known.is_mixed);
        let rate = news
            .per_second
            .filter(|rate| (0.0..MAX_PER_SECOND).contains(rate));
        let limit = Limit {
            per_second: rate,
            since: at(news.since_ms),
            confirmed_at,
            source: Source::Peer,
            started_ms: target.started_ms,
            silent_answers: 0,
            is_mixed,
        };
        self.known.insert(target.id.clone(), limit);
        match rate {
            _ if rate == before => None,
            Some(rate) => Some(Change::Set(rate)),
            None => Some(Change::Withdrawn),
        }
    }

    /// Forgets the limits of targets that are gone or have started anew, and those that ended long ago.
    pub fn retain(&mut self, fleet: &Fleet, now: Time) {
        self.known.retain(|id, known| {
            let target = fleet.get(id);
            let is_current = target.is_some_and(|target| target.started_ms == known.started_ms);
            let age = now.saturating_sub(known.confirmed_at);
            is_current && (known.per_second.is_some() || age < ENDED_MEMORY)
        });
    }

    /// Whether any target has a limit, or had one lately.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The targets with a limit.
    pub fn limited<'a>(
        &'a self,
        fleet: &'a Fleet,
    ) -> impl Iterator<Item = (&'a Target, &'a Limit)> {
        let targets = self.known.keys().filter_map(|id| fleet.get(id));
        targets.filter_map(|target| Some((target, self.get(target)?)))
    }
}
