//! Queries of the state of a core.

use {
    crate::{
        claim::{Status, Unresolved},
        core::Core,
    },
    camphorweir_config::{model::Version, record, view::View},
    camphorweir_wire::{claim::Key, codec, ids::Incarnation},
};

impl Core {
    /// The configuration version in force; `None` before there is one.
    pub fn version(&self) -> Option<Version> {
        self.view.as_deref().map(View::version)
    }

    /// The incarnation of this entry.
    pub fn incarnation(&self) -> Incarnation {
        self.setup.incarnation
    }

    /// Whether this entry may give orders to engines now.
    pub fn holds_lease(&self) -> bool {
        self.may_order()
    }

    /// The number of requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Every key with a live start and no recorded outcome, as far as the log has been read.
    pub fn unresolved(&self) -> Vec<Unresolved> {
        let mut all: Vec<Unresolved> = self
            .partitions
            .iter()
            .flat_map(|partition| partition.table.unresolved())
            .collect();
        all.sort_by_key(|unresolved| unresolved.key.id);
        all
    }

    /// The outcome of a key in the log: `Some(true)` if the call ran, `Some(false)` if an operator
    /// settled that it did not run, `None` if neither is recorded.
    pub fn outcome(&self, id: u128) -> Option<bool> {
        let key = Key {
            workspace: String::new(),
            id,
        };
        let partition = self.partitions.get(key.partition() as usize)?;
        match partition.table.status(id) {
            Status::Done(_) => Some(true),
            Status::Resolved { ran } => Some(ran),
            Status::Free | Status::Started(_) => None,
        }
    }

    /// The configuration in force, encoded as a checkpoint record; `None` before there is one.
    pub fn checkpoint(&self) -> Option<Vec<u8>> {
        let checkpoint = self.fold.checkpoint()?;
        Some(codec::encode(&record::Record {
            format: record::FORMAT,
            body: record::Body::Checkpoint(checkpoint),
        }))
    }

    /// Whether a target counts as leaving.
    pub fn is_leaving(&self, target: &str) -> bool {
        self.targets
            .find(target)
            .is_some_and(|index| self.targets.get(index).leaving.is_leaving())
    }
}
