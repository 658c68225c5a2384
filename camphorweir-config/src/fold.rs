//! The deterministic fold of the configuration stream, the same in every reader.
//!
//! A reader *has a base* when it has folded every record from the stream's beginning, or from a
//! checkpoint's [`next`](Checkpoint::next) on. Only then does it evaluate publications, because a
//! record that it missed might have been accepted. A reader without a base buffers the records that
//! it reads and evaluates them once a checkpoint reaches back far enough, so that readers that
//! start at different offsets end with the same version and content.

use {
    crate::{
        check,
        edit::{apply, undo},
        fault::{Code, Fault},
        history::{History, Outcome, Winner},
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

/// The effect of a record on the fold.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The publication is accepted; this version is in force.
    Accepted(Version),
    /// The publication was accepted before, as this version; the record changes nothing.
    Duplicate(Version),
    /// The publication was derived from a version that is not in force.
    Conflict {
        /// The publication that lost.
        nonce: Nonce,
        /// The publication accepted in its place.
        winner: Winner,
    },
    /// The publication's result, or the record itself, has faults; nothing changed.
    Faulty {
        /// The publication, when the record is one.
        nonce: Option<Nonce>,
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The record was folded before, or is a checkpoint no newer than the fold.
    Stale,
    /// A checkpoint replaced the version; this one is in force.
    Checkpoint(Version),
    /// The record has a format that this release does not know. The fold has stopped for good and
    /// keeps the last version.
    UnknownFormat(u16),
    /// Records before this one are missing; it is buffered until a checkpoint reaches back far
    /// enough.
    Buffered,
}

/// A fold of the configuration stream.
#[derive(Debug, Default)]
pub struct Fold {
    current: Current,
    /// Records that can't be evaluated yet because earlier ones are missing.
    pending: Option<Pending>,
    /// The format at which the fold stopped.
    unknown_format: Option<u16>,
    history: History,
    /// See [`Fold::oldest_required`].
    oldest_required: Offset,
}

/// The version in force, and the offset up to which records are taken into account.
#[derive(Debug, Default)]
struct Current {
    version: Version,
    nonce: Nonce,
    author: String,
    /// One past the last record taken into account.
    next: Offset,
    document: Arc<Document>,
}

impl Fold {
    /// A fold of no records: the empty document as version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force after the records folded so far.
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// The document in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.current.document
    }

    /// The nonce of the publication in force.
    pub fn nonce(&self) -> Nonce {
        self.current.nonce
    }

    /// The author of the publication in force.
    pub fn author(&self) -> &str {
        &self.current.author
    }

    /// The offset to read from.
    pub fn next_offset(&self) -> Offset {
        let pending_end = self.pending.as_ref().map_or(0, Pending::end);
        self.current.next.max(pending_end)
    }

    /// Whether records are missing, so that no publication is evaluated before a checkpoint.
    pub fn needs_checkpoint(&self) -> bool {
        self.pending.is_some()
    }

    /// The unknown format that stopped the fold.
    pub fn unknown_format(&self) -> Option<u16> {
        self.unknown_format
    }

    /// The outcome of a publication, while the fold remembers it.
    pub fn outcome(&self, nonce: Nonce) -> Option<&Outcome> {
        self.history.outcome(nonce)
    }

    /// The author of the version that followed `base`, or of the version in force when that is not
    /// remembered.
    pub fn successor_of(&self, base: Version) -> Winner {
        let in_force = || Winner {
            author: self.current.author.clone(),
            version: self.current.version,
        };
        let next = base.checked_add(1);
        next.and_then(|version| self.history.winner(version))
            .unwrap_or_else(in_force)
    }

    /// The oldest offset from which a new reader reaches the version in force. A checkpoint has to
    /// be appended before retention drops the record there.
    pub fn oldest_required(&self) -> Offset {
        self.oldest_required
    }

    /// The version in force as a checkpoint, for the log or for a peer; none at version 0.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let current = &self.current;
        (current.version > 0).then(|| Checkpoint {
            version: current.version,
            nonce: current.nonce,
            author: current.author.clone(),
            next: current.next,
            document: Document::clone(&current.document),
        })
    }

    /// Reports that the stream no longer has the records before `oldest`.
    pub fn note_truncation(&mut self, oldest: Offset) {
        if self.unknown_format.is_none() && oldest > self.next_offset() {
            self.pending = Some(Pending::new(oldest));
        }
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> Effect {
        if let Some(format) = self.unknown_format {
            return Effect::UnknownFormat(format);
        }
        if offset < self.next_offset() {
            return Effect::Stale;
        }
        self.note_truncation(offset);
        match record_decode(bytes) {
            Err(Unreadable::Format(format)) => {
                self.unknown_format = Some(format);
                Effect::UnknownFormat(format)
            }
            Err(Unreadable::Garbled(text)) => {
                self.advance(offset);
                let fault = Fault::new(Code::Garbled, &["log", &offset.to_string()], text);
                Effect::Faulty {
                    nonce: None,
                    faults: vec![fault],
                }
            }
            Ok(Body::Checkpoint(checkpoint)) => {
                self.advance(offset);
                self.apply_checkpoint(checkpoint, offset)
            }
            Ok(Body::Publication(publication)) => {
                if let Some(pending) = &mut self.pending {
                    pending.push(Some(publication), bytes.len());
                    return Effect::Buffered;
                }
                self.current.next = offset + 1;
                self.evaluate(publication)
            }
        }
    }

    /// Replaces the version by a peer's checkpoint if that is newer; the version never decreases.
    pub fn apply_peer_checkpoint(&mut self, checkpoint: Checkpoint) -> Effect {
        if let Some(format) = self.unknown_format {
            return Effect::UnknownFormat(format);
        }
        if self.pending.is_some() {
            return self.obtain_base(checkpoint);
        }
        let current = &self.current;
        if checkpoint.version < current.version {
            return Effect::Stale;
        }
        let is_newer = checkpoint.version > current.version;
        let next = current.next.max(checkpoint.next);
        if !is_newer {
            self.current.next = next;
            return Effect::Stale;
        }
        self.restore(checkpoint, next);
        Effect::Checkpoint(self.current.version)
    }

    /// Advances past a record that is not a publication.
    fn advance(&mut self, offset: Offset) {
        match &mut self.pending {
            Some(pending) => pending.push(None, 0),
            None => self.current.next = offset + 1,
        }
    }

    /// Applies a checkpoint read from the stream, after advancing past its record.
    fn apply_checkpoint(&mut self, mut checkpoint: Checkpoint, offset: Offset) -> Effect {
        // A checkpoint can't take into account records after its own.
        checkpoint.next = checkpoint.next.min(offset);
        self.oldest_required = self.oldest_required.max(checkpoint.next);
        if self.pending.is_some() {
            return self.obtain_base(checkpoint);
        }
        if checkpoint.version <= self.current.version {
            return Effect::Stale;
        }
        let next = self.current.next;
        self.restore(checkpoint, next);
        Effect::Checkpoint(self.current.version)
    }

    /// Tries to obtain a base from a checkpoint while records are missing.
    fn obtain_base(&mut self, checkpoint: Checkpoint) -> Effect {
        let Some(pending) = &self.pending else {
            return Effect::Stale;
        };
        let current = (self.current.version, self.current.next);
        if checkpoint.version < current.0 {
            return Effect::Stale;
        }
        let next = checkpoint.next;
        if next < pending.first() {
            if (checkpoint.version, next) <= current {
                return Effect::Buffered;
            }
            self.restore(checkpoint, next);
            return Effect::Checkpoint(self.current.version);
        }
        self.restore(checkpoint, next);
        for (offset, publication) in self.pending.take().into_iter().flat_map(Pending::into_iter) {
            if offset < next {
                continue;
            }
            self.current.next = offset + 1;
            if let Some(publication) = publication {
                self.evaluate(publication);
            }
        }
        Effect::Checkpoint(self.current.version)
    }

    /// Replaces the version in force by that of a checkpoint.
    fn restore(&mut self, checkpoint: Checkpoint, next: Offset) {
        let version = checkpoint.version;
        self.history
            .accepted(version, checkpoint.nonce, &checkpoint.author);
        self.current = Current {
            version,
            nonce: checkpoint.nonce,
            author: checkpoint.author,
            next,
            document: Arc::new(checkpoint.document),
        };
    }

    /// Accepts a publication if it was derived from the version in force and its result has no
    /// fault.
    ///
    /// The decision depends on the version in force and the record alone, not on the bounded
    /// history.
    fn evaluate(&mut self, publication: Publication) -> Effect {
        let Publication {
            nonce,
            author,
            base,
            edits,
        } = publication;
        if base != self.current.version {
            return self.reject(nonce, base);
        }
        // A document with no other reference is changed in place, so that reading a long stream
        // does not copy it for each record.
        let document = Arc::make_mut(&mut self.current.document);
        let inverse = undo(document, &edits);
        apply(document, &edits);
        let mut faults = check::edited(document, &edits);
        let version = base.checked_add(1);
        if version.is_none() {
            let text = format!("version {base} is the highest possible version");
            faults.push(Fault::new(Code::OutOfBounds, &["version"], text));
        }
        let Some(version) = version.filter(|_| faults.is_empty()) else {
            apply(document, &inverse);
            self.history.refused(nonce, Outcome::Faulty(faults.clone()));
            return Effect::Faulty {
                nonce: Some(nonce),
                faults,
            };
        };
        self.history.accepted(version, nonce, &author);
        self.current.version = version;
        self.current.nonce = nonce;
        self.current.author = author;
        Effect::Accepted(version)
    }

    /// Rejects a publication that was not derived from the version in force.
    fn reject(&mut self, nonce: Nonce, base: Version) -> Effect {
        if let Some(Outcome::Accepted(version)) = self.history.outcome(nonce) {
            return Effect::Duplicate(*version);
        }
        let winner = self.successor_of(base);
        self.history
            .refused(nonce, Outcome::Conflict(winner.clone()));
        Effect::Conflict { nonce, winner }
    }
}

/// Why a record can't be read.
enum Unreadable {
    /// Its format is newer than this release.
    Format(u16),
    /// The bytes are not a record of any format.
    Garbled(String),
}

/// Decodes a record, distinguishing an unknown format, which stops a reader, from bytes that are
/// not a record of any format.
///
/// Every format begins with an array whose first item is its number.
fn record_decode(bytes: &[u8]) -> Result<Body, Unreadable> {
    let garbled = |error: rmp_serde::decode::Error| Unreadable::Garbled(error.to_string());
    let FormatNumber(format) = rmp_serde::from_slice(bytes).map_err(garbled)?;
    if format > FORMAT {
        return Err(Unreadable::Format(format));
    }
    let record: Record = rmp_serde::from_slice(bytes).map_err(garbled)?;
    Ok(record.body)
}

/// The format number of a record; the record's other items are ignored.
struct FormatNumber(u16);

impl<'de> Deserialize<'de> for FormatNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FormatNumberVisitor)
    }
}

struct FormatNumberVisitor;

impl<'de> Visitor<'de> for FormatNumberVisitor {
    type Value = FormatNumber;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("an array that begins with a format number")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<FormatNumber, A::Error> {
        let format = items
            .next_element()?
            .ok_or_else(|| A::Error::custom("an empty array"))?;
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FormatNumber(format))
    }
}
