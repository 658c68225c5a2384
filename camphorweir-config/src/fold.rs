//! The deterministic fold of the configuration stream, the same in every reader.
//!
//! A reader *has a base* when it has folded every record from the stream's beginning, or from a
//! checkpoint's [`next`](Checkpoint::next) on. Only then does it judge publications, because a record
//! that it missed might have been accepted. A reader without a base keeps the records that it meets
//! and judges them once a checkpoint reaches back far enough, so that readers that start at different
//! offsets end with the same version and content.

use {
    crate::{
        check,
        edit::{apply, undo},
        fault::{Code, Fault},
        history::{Fate, History, Winner},
        model::{Document, Version},
        pending::Pending,
        record::{Body, Checkpoint, FORMAT, Nonce, Offset, Publication, Record},
    },
    serde::{
        Deserialize, Deserializer,
        de::{Error, IgnoredAny, SeqAccess, Visitor},
    },
    std::{
        fmt::{self, Formatter},
        sync::Arc,
    },
};

/// What a record did.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The publication is accepted; this version is in force.
    Accepted(Version),
    /// The publication was accepted before, as this version; the record changes nothing.
    Repeated(Version),
    /// The publication was derived from a version that is not in force.
    Conflict {
        /// The publication that lost.
        nonce: Nonce,
        /// The publication that took its place.
        winner: Winner,
    },
    /// The publication's result, or the record itself, has faults; nothing changed.
    Faulty {
        /// The publication, when the record is one.
        nonce: Option<Nonce>,
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The record was folded before, or is a checkpoint that says nothing new.
    Stale,
    /// A checkpoint moved the fold; this version is in force.
    Checkpoint(Version),
    /// The record has a format that this release does not know. The fold has stopped for good and
    /// keeps the last version.
    Unknown(u16),
    /// Records before this one are missing; it is kept until a checkpoint reaches back far enough.
    Waiting,
}

/// A fold of the configuration stream.
#[derive(Debug, Default)]
pub struct Fold {
    known: Known,
    /// Records that can't be judged yet, when earlier ones are missing.
    pending: Option<Pending>,
    /// The format at which the fold stopped.
    stopped: Option<u16>,
    history: History,
    anchor: Offset,
}

/// A version in force, and how far the stream it was is known.
#[derive(Debug, Default)]
struct Known {
    version: Version,
    nonce: Nonce,
    author: String,
    /// One past the last record taken into account.
    next: Offset,
    document: Arc<Document>,
}

impl Fold {
    /// A fold of nothing: the empty document as version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force as far as the fold knows.
    pub fn version(&self) -> Version {
        self.known.version
    }

    /// The document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.known.document
    }

    /// The nonce of the publication in force.
    pub fn nonce(&self) -> Nonce {
        self.known.nonce
    }

    /// The author of the publication in force.
    pub fn author(&self) -> &str {
        &self.known.author
    }

    /// The offset to read from.
    pub fn next(&self) -> Offset {
        let kept = self.pending.as_ref().map_or(0, Pending::end);
        self.known.next.max(kept)
    }

    /// Whether records are missing, so that no publication is judged before a checkpoint.
    pub fn waiting(&self) -> bool {
        self.pending.is_some()
    }

    /// The unknown format that stopped the fold.
    pub fn stopped(&self) -> Option<u16> {
        self.stopped
    }

    /// What became of a publication, while the fold remembers it.
    pub fn fate(&self, nonce: Nonce) -> Option<&Fate> {
        self.history.fate(nonce)
    }

    /// Who published the version that followed `base`, or the version in force when that is not
    /// remembered.
    pub fn winner_over(&self, base: Version) -> Winner {
        let in_force = || Winner {
            author: self.known.author.clone(),
            version: self.known.version,
        };
        let next = base.checked_add(1);
        next.and_then(|version| self.history.winner(version))
            .unwrap_or_else(in_force)
    }

    /// The oldest offset that a new reader has to find to reach the version in force; before the
    /// record there is dropped, a checkpoint has to be appended.
    pub fn anchor(&self) -> Offset {
        self.anchor
    }

    /// The version in force as a checkpoint, for the log or for a peer; none at version 0.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let known = &self.known;
        (known.version > 0).then(|| Checkpoint {
            version: known.version,
            nonce: known.nonce,
            author: known.author.clone(),
            next: known.next,
            document: Document::clone(&known.document),
        })
    }

    /// Notes that the stream no longer has the records before `oldest`.
    pub fn lost(&mut self, oldest: Offset) {
        if self.stopped.is_none() && oldest > self.next() {
            self.pending = Some(Pending::new(oldest));
        }
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Step {
        if let Some(format) = self.stopped {
            return Step::Unknown(format);
        }
        if offset < self.next() {
            return Step::Stale;
        }
        self.lost(offset);
        match record_decode(bytes) {
            Err(Unreadable::Format(format)) => {
                self.stopped = Some(format);
                Step::Unknown(format)
            }
            Err(Unreadable::Garbled(text)) => {
                self.pass(offset);
                let fault = Fault::new(Code::Garbled, &["log", &offset.to_string()], text);
                Step::Faulty {
                    nonce: None,
                    faults: vec![fault],
                }
            }
            Ok(Body::Checkpoint(checkpoint)) => {
                self.pass(offset);
                self.landed(checkpoint, offset)
            }
            Ok(Body::Publication(publication)) => {
                if let Some(pending) = &mut self.pending {
                    pending.push(Some(publication), bytes.len());
                    return Step::Waiting;
                }
                self.known.next = offset + 1;
                self.judge(publication)
            }
        }
    }

    /// Takes over a peer's checkpoint when it is ahead; the fold never moves down.
    pub fn adopt(&mut self, checkpoint: Checkpoint) -> Step {
        if let Some(format) = self.stopped {
            return Step::Unknown(format);
        }
        if self.pending.is_some() {
            return self.ground(checkpoint);
        }
        let known = &self.known;
        if checkpoint.version < known.version {
            return Step::Stale;
        }
        let moves = checkpoint.version > known.version;
        let next = known.next.max(checkpoint.next);
        if !moves {
            self.known.next = next;
            return Step::Stale;
        }
        self.take(checkpoint, next);
        Step::Checkpoint(self.known.version)
    }

    /// Counts a record that is no publication.
    fn pass(&mut self, offset: Offset) {
        match &mut self.pending {
            Some(pending) => pending.push(None, 0),
            None => self.known.next = offset + 1,
        }
    }

    /// A checkpoint from the stream, whose record is counted already.
    fn landed(&mut self, mut checkpoint: Checkpoint, offset: Offset) -> Step {
        // It can't take into account what came after it.
        checkpoint.next = checkpoint.next.min(offset);
        self.anchor = self.anchor.max(checkpoint.next);
        if self.pending.is_some() {
            return self.ground(checkpoint);
        }
        if checkpoint.version <= self.known.version {
            return Step::Stale;
        }
        let next = self.known.next;
        self.take(checkpoint, next);
        Step::Checkpoint(self.known.version)
    }

    /// Tries to get a base from a checkpoint while records are missing.
    fn ground(&mut self, checkpoint: Checkpoint) -> Step {
        let Some(pending) = &self.pending else {
            return Step::Stale;
        };
        let known = (self.known.version, self.known.next);
        if checkpoint.version < known.0 {
            return Step::Stale;
        }
        let next = checkpoint.next;
        if next < pending.first() {
            if (checkpoint.version, next) <= known {
                return Step::Waiting;
            }
            self.take(checkpoint, next);
            return Step::Checkpoint(self.known.version);
        }
        self.take(checkpoint, next);
        for (offset, publication) in self.pending.take().into_iter().flat_map(Pending::into_iter) {
            if offset < next {
                continue;
            }
            self.known.next = offset + 1;
            if let Some(publication) = publication {
                self.judge(publication);
            }
        }
        Step::Checkpoint(self.known.version)
    }

    fn take(&mut self, checkpoint: Checkpoint, next: Offset) {
        let version = checkpoint.version;
        self.history
            .accepted(version, checkpoint.nonce, &checkpoint.author);
        self.known = Known {
            version,
            nonce: checkpoint.nonce,
            author: checkpoint.author,
            next,
            document: Arc::new(checkpoint.document),
        };
    }

    /// Accepts a publication if it was derived from the version in force and its result has no fault.
    ///
    /// The verdict depends on the version in force and the record alone, not on what the history
    /// still remembers.
    fn judge(&mut self, publication: Publication) -> Step {
        let Publication {
            nonce,
            author,
            base,
            edits,
        } = publication;
        if base != self.known.version {
            return self.decline(nonce, base);
        }
        // A document that nobody else holds is changed in place, so that reading a long stream does
        // not copy it for each record.
        let document = Arc::make_mut(&mut self.known.document);
        let back = undo(document, &edits);
        apply(document, &edits);
        let mut faults = check::edited(document, &edits);
        let version = base.checked_add(1);
        if version.is_none() {
            let text = format!("version {base} is the last one");
            faults.push(Fault::new(Code::OutOfBounds, &["version"], text));
        }
        let Some(version) = version.filter(|_| faults.is_empty()) else {
            apply(document, &back);
            self.history.refused(nonce, Fate::Faulty(faults.clone()));
            return Step::Faulty {
                nonce: Some(nonce),
                faults,
            };
        };
        self.history.accepted(version, nonce, &author);
        self.known.version = version;
        self.known.nonce = nonce;
        self.known.author = author;
        Step::Accepted(version)
    }

    fn decline(&mut self, nonce: Nonce, base: Version) -> Step {
        if let Some(Fate::Accepted(version)) = self.history.fate(nonce) {
            return Step::Repeated(*version);
        }
        let winner = self.winner_over(base);
        self.history.refused(nonce, Fate::Conflict(winner.clone()));
        Step::Conflict { nonce, winner }
    }
}

/// Why a record can't be read.
enum Unreadable {
    /// Its format is newer than this release.
    Format(u16),
    /// It is no record in any format.
    Garbled(String),
}

/// Tells an unknown format, which stops a reader, from bytes that are no record in any format.
///
/// Every format begins with an array whose first item is its number.
fn record_decode(bytes: &[u8]) -> Result<Body, Unreadable> {
    let garbled = |error: rmp_serde::decode::Error| Unreadable::Garbled(error.to_string());
    let Head(format) = rmp_serde::from_slice(bytes).map_err(garbled)?;
    if format > FORMAT {
        return Err(Unreadable::Format(format));
    }
    let record: Record = rmp_serde::from_slice(bytes).map_err(garbled)?;
    Ok(record.body)
}

/// The format of a record whose other items may be anything.
struct Head(u16);

impl<'de> Deserialize<'de> for Head {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = Head;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("an array that begins with a format number")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Head, A::Error> {
        let format = items
            .next_element()?
            .ok_or_else(|| A::Error::custom("an empty array"))?;
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Head(format))
    }
}
