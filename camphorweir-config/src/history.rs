//! Outcomes of recent publications; for reports only, no decision on a publication depends on them.

use {
    crate::{fault::Fault, model::Version, record::Nonce},
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Most publications remembered, and most versions; the oldest are evicted.
const MAX_OUTCOMES: usize = 4096;

/// The outcome of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Accepted as this version.
    Accepted(Version),
    /// Another publication was accepted in its place.
    Conflict(Winner),
    /// Rejected, because its result has these faults.
    Faulty(Vec<Fault>),
}

/// The author of an accepted publication, and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Winner {
    /// The author.
    pub author: String,
    /// The version.
    pub version: Version,
}

/// The outcomes of recent publications and the authors of recent versions.
#[derive(Debug, Default)]
pub(crate) struct History {
    outcomes: HashMap<Nonce, Outcome>,
    /// The keys of `outcomes`, oldest first.
    order: VecDeque<Nonce>,
    authors: BTreeMap<Version, String>,
}

impl History {
    pub(crate) fn outcome(&self, nonce: Nonce) -> Option<&Outcome> {
        self.outcomes.get(&nonce)
    }

    pub(crate) fn winner(&self, version: Version) -> Option<Winner> {
        let author = self.authors.get(&version)?.clone();
        Some(Winner { author, version })
    }

    pub(crate) fn accepted(&mut self, version: Version, nonce: Nonce, author: &str) {
        self.authors.insert(version, author.to_owned());
        if self.authors.len() > MAX_OUTCOMES {
            self.authors.pop_first();
        }
        self.remember(nonce, Outcome::Accepted(version));
    }

    pub(crate) fn refused(&mut self, nonce: Nonce, outcome: Outcome) {
        // A publication may be appended twice; the outcome of the first record counts.
        if !self.outcomes.contains_key(&nonce) {
            self.remember(nonce, outcome);
        }
    }

    fn remember(&mut self, nonce: Nonce, outcome: Outcome) {
        if self.outcomes.insert(nonce, outcome).is_none() {
            self.order.push_back(nonce);
        }
        if self.order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}
