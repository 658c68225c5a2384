//! The targets of the configuration and what this entry knows of each.

use {
    crate::{cache, health, leave, pace},
    camphorweir_config::model::{Document, Engine, ModelId, Serves, TargetId, ZoneId},
    camphorweir_wire::{
        engine::{Hello, Holds, Layers, Load},
        ids::Incarnation,
    },
    std::{collections::HashMap, time::Duration},
};

/// Silence of an ejected engine after which it is not tried.
const MUTE: Duration = Duration::from_secs(1);

/// The place of a target in the [`Table`]; it stays the same while the process lives.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(u32);

impl Index {
    /// Its place among all targets.
    pub(crate) fn place(self) -> usize {
        self.0 as usize
    }
}

/// What is known of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub id: TargetId,
    /// Its address in the configuration in force.
    pub address: String,
    /// Its zone.
    pub zone: ZoneId,
    /// What it serves, by the configuration.
    pub serves: Serves,
    /// Whether the configuration in force has it and does not drain it.
    pub configured: bool,
    /// The connection, of engines only.
    pub link: Link,
    /// Whether it is leaving.
    pub leaving: leave::State,
    /// Whether earlier work went well.
    pub health: health::State,
    /// This entry's attempts and exchanges on it.
    pub open: u32,
    /// How often it was chosen.
    pub chosen: u64,
    /// This entry's positions that it has been sent and has not answered.
    pub queued: u64,
    /// What its prefix cache probably holds.
    pub cache: cache::Known,
    /// How many calls it takes side by side, of plain services only.
    pub pace: pace::State,
    /// When it last answered a step or reported.
    pub heard: Duration,
    /// Its last report, and when it came.
    pub report: Option<Report>,
}

/// The connection to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Link {
    /// None; the engine may be down.
    Down,
    /// Up since the hello.
    Up {
        /// The engine's life.
        incarnation: Incarnation,
        /// The layers it holds now.
        layers: Layers,
        /// Whether it is loading others.
        loading: bool,
    },
}

/// An engine's load as it reported it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The report.
    pub load: Load,
    /// The time that it speaks of.
    pub at: Duration,
}

impl Target {
    /// Whether it may get new work now.
    pub fn usable(&self, now: Duration) -> bool {
        let linked = match (&self.serves, &self.link) {
            (Serves::Service(_), _) => true,
            (Serves::Layers(_), Link::Up { loading, .. }) => !loading,
            (Serves::Layers(_), Link::Down) => false,
        };
        // An engine that reports its load is out of use until it does so again: its reports are
        // probes that cost no request.
        let mute = self.health.on_trial() && self.report.is_some() && now >= self.heard + MUTE;
        let fit = self.health.fit(now) && !mute;
        self.configured && linked && !self.leaving.is_leaving() && fit
    }

    /// The engine part of its configuration.
    pub fn engine(&self) -> Option<&Engine> {
        match &self.serves {
            Serves::Layers(engine) => Some(engine),
            Serves::Service(_) => None,
        }
    }

    /// The model or service that it serves.
    pub fn lane(&self) -> &str {
        match &self.serves {
            Serves::Layers(engine) => &engine.model,
            Serves::Service(service) => service,
        }
    }

    /// The layers that it holds, by its own word before the configuration's.
    pub fn layers(&self) -> Option<Layers> {
        let engine = self.engine()?;
        match self.link {
            Link::Up { layers, .. } => Some(layers),
            Link::Down => Some(Layers {
                first: engine.first,
                end: engine.end,
            }),
        }
    }
}

/// All targets seen since the start, by index and by name.
#[derive(Debug, Default)]
pub struct Table {
    targets: Vec<Target>,
    names: HashMap<TargetId, Index>,
    models: HashMap<ModelId, Vec<Index>>,
    services: HashMap<String, Vec<Index>>,
}

/// An engine that a new configuration adds or moves: it wants a connection at this address.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The engine.
    pub target: TargetId,
    /// Its address now.
    pub address: String,
}

impl Table {
    /// Targets seen.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether none was seen.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The target at an index.
    pub fn get(&self, index: Index) -> &Target {
        &self.targets[index.0 as usize]
    }

    /// The target at an index, to change it.
    pub fn get_mut(&mut self, index: Index) -> &mut Target {
        &mut self.targets[index.0 as usize]
    }

    /// The index of a name.
    pub fn find(&self, id: &str) -> Option<Index> {
        self.names.get(id).copied()
    }

    /// The target of a name, to change it.
    pub fn find_mut(&mut self, id: &str) -> Option<&mut Target> {
        let index = self.find(id)?;
        Some(self.get_mut(index))
    }

    /// The engines that the configuration in force gives a model.
    pub fn engines(&self, model: &str) -> &[Index] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// The targets that the configuration in force gives a service.
    pub fn servers(&self, service: &str) -> &[Index] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter()
    }

    /// Takes a new configuration over; linear in its targets.
    pub fn configure(&mut self, document: &Document, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        self.models.clear();
        self.services.clear();
        for (id, given) in &document.targets {
            let index = self.place(id, given, now, &mut changes);
            match &given.serves {
                Serves::Layers(engine) => {
                    self.models
                        .entry(engine.model.clone())
                        .or_default()
                        .push(index);
                }
                Serves::Service(service) => {
                    self.services
                        .entry(service.clone())
                        .or_default()
                        .push(index);
                }
            }
        }
        for target in &mut self.targets {
            if target.configured && !document.targets.contains_key(&target.id) {
                target.configured = false;
            }
        }
        changes
    }

    fn place(
        &mut self,
        id: &TargetId,
        given: &camphorweir_config::model::Target,
        now: Duration,
        changes: &mut Vec<Change>,
    ) -> Index {
        let link = |changes: &mut Vec<Change>| {
            if matches!(given.serves, Serves::Layers(_)) {
                changes.push(Change {
                    target: id.clone(),
                    address: given.address.clone(),
                });
            }
        };
        if let Some(index) = self.find(id) {
            let target = self.get_mut(index);
            if target.address != given.address {
                target.address.clone_from(&given.address);
                target.leaving = leave::State::default();
                target.link = Link::Down;
                target.health.join(now);
                link(changes);
            }
            target.zone.clone_from(&given.zone);
            target.serves.clone_from(&given.serves);
            target.configured = !given.drain;
            return index;
        }
        let index = Index(self.targets.len() as u32);
        self.targets.push(Target {
            id: id.clone(),
            address: given.address.clone(),
            zone: given.zone.clone(),
            serves: given.serves.clone(),
            configured: !given.drain,
            link: Link::Down,
            leaving: leave::State::default(),
            health: health::State::default(),
            open: 0,
            chosen: 0,
            queued: 0,
            cache: cache::Known::default(),
            heard: Duration::ZERO,
            pace: pace::State::default(),
            report: None,
        });
        self.names.insert(id.clone(), index);
        link(changes);
        index
    }

    /// An engine's connection is up.
    pub fn greet(&mut self, id: &str, hello: &Hello, now: Duration) {
        let Some(target) = self.find_mut(id) else {
            return;
        };
        target.leaving.observe_incarnation(hello.incarnation);
        target.link = Link::Up {
            incarnation: hello.incarnation,
            layers: hello.holds.layers,
            loading: hello.holds.loading,
        };
        target.queued = 0;
        target.report = None;
        target.cache = cache::Known::default();
        target.heard = now;
        target.health.join(now);
    }

    /// An engine says that it is leaving.
    pub fn leaving(&mut self, index: Index) {
        let target = self.get_mut(index);
        match target.link {
            Link::Up { incarnation, .. } => target.leaving.mark_announced(incarnation),
            Link::Down => target.leaving.mark_announced_unnamed(),
        }
    }

    /// An engine reported its load.
    pub fn reported(&mut self, index: Index, load: Load, now: Duration) {
        let at = now.saturating_sub(Duration::from_millis(load.age_ms));
        let target = self.get_mut(index);
        target.heard = now;
        target.report = Some(Report { load, at });
    }

    /// An engine says what it holds now.
    pub fn holds(&mut self, index: Index, holds: &Holds) {
        if let Link::Up {
            layers, loading, ..
        } = &mut self.get_mut(index).link
        {
            *layers = holds.layers;
            *loading = holds.loading;
        }
    }
}
