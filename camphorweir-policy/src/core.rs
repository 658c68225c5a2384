//! The decision core: one per entry.

use {
    crate::{action::Action, clock::Now, event::Event},
    camphorweir_config::model::ZoneId,
    camphorweir_wire::ids::{EntryId, Incarnation},
};

/// What a core is told about its own entry.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The entry's name, the same as in the platform's instance list.
    pub entry: EntryId,
    /// This life of the entry, drawn at random at start.
    pub incarnation: Incarnation,
    /// The entry's zone.
    pub zone: ZoneId,
    /// Seeds the core's random numbers.
    pub seed: u64,
}

/// All decisions of one entry.
#[derive(Debug)]
pub struct Core {
    setup: Setup,
}

impl Core {
    /// A core that knows nothing but its own entry.
    pub fn new(setup: Setup) -> Self {
        Self { setup }
    }

    /// The first actions of a process; called once, before any event.
    pub fn start(&mut self, _now: Now) -> Vec<Action> {
        Vec::new()
    }

    /// Takes an event in and says what to do.
    pub fn handle(&mut self, _now: Now, _event: Event) -> Vec<Action> {
        let _ = &self.setup;
        Vec::new()
    }
}
