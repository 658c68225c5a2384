//! Fates of recent publications; for reports only, no decision on a publication depends on them.

use {
    crate::{fault::Fault, model::Version, record::Nonce},
    std::collections::{BTreeMap, HashMap, VecDeque},
};

/// Most publications remembered, and most versions; the oldest are evicted.
const MAX_FATES: usize = 4096;

/// The fate of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
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

/// The fates of recent publications and the authors of recent versions.
#[derive(Debug, Default)]
pub(crate) struct History {
    fates: HashMap<Nonce, Fate>,
    /// The keys of `fates`, oldest first.
    order: VecDeque<Nonce>,
    authors: BTreeMap<Version, String>,
}

impl History {
    pub(crate) fn fate(&self, nonce: Nonce) -> Option<&Fate> {
        self.fates.get(&nonce)
    }

    pub(crate) fn winner(&self, version: Version) -> Option<Winner> {
        let author = self.authors.get(&version)?.clone();
        Some(Winner { author, version })
    }

    pub(crate) fn accepted(&mut self, version: Version, nonce: Nonce, author: &str) {
        self.authors.insert(version, author.to_owned());
        if self.authors.len() > MAX_FATES {
            self.authors.pop_first();
        }
        self.remember(nonce, Fate::Accepted(version));
    }

    pub(crate) fn refused(&mut self, nonce: Nonce, fate: Fate) {
        // A publication may be appended twice; the fate of the first record counts.
        if !self.fates.contains_key(&nonce) {
            self.remember(nonce, fate);
        }
    }

    fn remember(&mut self, nonce: Nonce, fate: Fate) {
        if self.fates.insert(nonce, fate).is_none() {
            self.order.push_back(nonce);
        }
        if self.order.len() > MAX_FATES
            && let Some(oldest) = self.order.pop_front()
        {
            self.fates.remove(&oldest);
        }
    }
}
