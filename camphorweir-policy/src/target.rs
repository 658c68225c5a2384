//! The configured targets and the state that this entry keeps for each.

use {
    crate::{cache, concurrency, health, leave},
    camphorweir_config::model::{Document, Engine, ModelId, Serves, TargetId, ZoneId},
    camphorweir_wire::{
        engine::{Hello, Layers, LayersHeld, Load},
        ids::Incarnation,
    },
    std::{collections::HashMap, time::Duration},
};

/// Silence after which an engine that was ejected is not tried again.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Position of a target in the [`Table`]; stable for the lifetime of the process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(u32);

impl Index {
    /// The position as an index into a slice.
    pub(crate) fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// The state of one target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The target's name.
    pub id: TargetId,
    /// Address in the configuration in force.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// The layers or the service that the target is configured to serve.
    pub serves: Serves,
    /// Whether the configuration in force contains the target and does not drain it.
    pub configured: bool,
    /// The connection to the target; used for engines only.
    pub link: Link,
    /// Whether the target is leaving.
    pub leaving: leave::State,
    /// Ejections and slow start.
    pub health: health::State,
    /// Number of this entry's attempts and exchanges in flight on the target.
    pub in_flight: u32,
    /// How often the target was chosen for an attempt.
    pub times_chosen: u64,
    /// Positions that this entry has sent to the target and that it has not answered.
    pub queued_positions: u64,
    /// Estimated content of the target's prefix cache.
    pub cache: cache::Estimate,
    /// Limit of concurrent calls; used for plain services only.
    pub concurrency: concurrency::Limiter,
    /// When the target last answered a step or reported its load.
    pub last_heard: Duration,
    /// The last load report.
    pub report: Option<Report>,
}

/// The connection to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Link {
    /// There is no connection; the engine may be down.
    Down,
    /// The engine has sent its hello.
    Up {
        /// The engine's incarnation.
        incarnation: Incarnation,
        /// The layers that the engine holds now.
        layers: Layers,
        /// Whether the engine is loading other layers.
        loading: bool,
    },
}

/// A load report of an engine.
#[derive(Clone, Debug)]
pub struct Report {
    /// The reported load.
    pub load: Load,
    /// When the load was measured.
    pub at: Duration,
}

impl Target {
    /// Whether the target may get new work now.
    pub fn usable(&self, now: Duration) -> bool {
        let linked = match (&self.serves, &self.link) {
            (Serves::Service(_), _) => true,
            (Serves::Layers(_), Link::Up { loading, .. }) => !loading,
            (Serves::Layers(_), Link::Down) => false,
        };
        // An ejected engine that used to report its load stays out of use until it reports again:
        // a report is a health probe that costs no request.
        let silent = self.health.on_probation()
            && self.report.is_some()
            && now >= self.last_heard + SILENT_AFTER;
        let available = self.health.is_available(now) && !silent;
        self.configured && linked && !self.leaving.is_leaving() && available
    }

    /// The engine part of the target's configuration.
    pub fn engine(&self) -> Option<&Engine> {
        match &self.serves {
            Serves::Layers(engine) => Some(engine),
            Serves::Service(_) => None,
        }
    }

    /// The model or service that the target serves, which names its lane in the queue.
    pub fn lane(&self) -> &str {
        match &self.serves {
            Serves::Layers(engine) => &engine.model,
            Serves::Service(service) => service,
        }
    }

    /// The layers that an engine holds: as it reported while connected, otherwise as configured.
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

/// All targets configured since the start of the process, by index and by name.
#[derive(Debug, Default)]
pub struct Table {
    targets: Vec<Target>,
    names: HashMap<TargetId, Index>,
    models: HashMap<ModelId, Vec<Index>>,
    services: HashMap<String, Vec<Index>>,
}

/// An engine that a new configuration adds or moves, to be connected at this address.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The engine.
    pub target: TargetId,
    /// The new address.
    pub address: String,
}

impl Table {
    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The target at an index.
    pub fn get(&self, index: Index) -> &Target {
        &self.targets[index.0 as usize]
    }

    /// The target at an index, mutably.
    pub fn get_mut(&mut self, index: Index) -> &mut Target {
        &mut self.targets[index.0 as usize]
    }

    /// The index of the target with this name.
    pub fn find(&self, id: &str) -> Option<Index> {
        self.names.get(id).copied()
    }

    /// The target with this name, mutably.
    pub fn find_mut(&mut self, id: &str) -> Option<&mut Target> {
        let index = self.find(id)?;
        Some(self.get_mut(index))
    }

    /// The engines that the configuration in force assigns to a model.
    pub fn engines(&self, model: &str) -> &[Index] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// The targets that the configuration in force assigns to a service.
    pub fn servers(&self, service: &str) -> &[Index] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter()
    }

    /// Applies a new configuration and returns the engines to connect; linear in the targets.
    pub fn configure(&mut self, document: &Document, now: Duration) -> Vec<Change> {
        let mut changes = Vec::new();
        self.models.clear();
        self.services.clear();
        for (id, config) in &document.targets {
            let index = self.upsert(id, config, now, &mut changes);
            match &config.serves {
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

    /// Adds or updates one configured target and returns its index.
    fn upsert(
        &mut self,
        id: &TargetId,
        config: &camphorweir_config::model::Target,
        now: Duration,
        changes: &mut Vec<Change>,
    ) -> Index {
        let add_change = |changes: &mut Vec<Change>| {
            if matches!(config.serves, Serves::Layers(_)) {
                changes.push(Change {
                    target: id.clone(),
                    address: config.address.clone(),
                });
            }
        };
        if let Some(index) = self.find(id) {
            let target = self.get_mut(index);
            if target.address != config.address {
                target.address.clone_from(&config.address);
                target.leaving = leave::State::default();
                target.link = Link::Down;
                target.health.join(now);
                add_change(changes);
            }
            target.zone.clone_from(&config.zone);
            target.serves.clone_from(&config.serves);
            target.configured = !config.drain;
            return index;
        }
        let index = Index(self.targets.len() as u32);
        self.targets.push(Target {
            id: id.clone(),
            address: config.address.clone(),
            zone: config.zone.clone(),
            serves: config.serves.clone(),
            configured: !config.drain,
            link: Link::Down,
            leaving: leave::State::default(),
            health: health::State::default(),
            in_flight: 0,
            times_chosen: 0,
            queued_positions: 0,
            cache: cache::Estimate::default(),
            last_heard: Duration::ZERO,
            concurrency: concurrency::Limiter::default(),
            report: None,
        });
        self.names.insert(id.clone(), index);
        add_change(changes);
        index
    }

    /// Handles an engine's hello: the connection is up and earlier state is reset.
    pub fn connected(&mut self, id: &str, hello: &Hello, now: Duration) {
        let Some(target) = self.find_mut(id) else {
            return;
        };
        target.leaving.observe_incarnation(hello.incarnation);
        target.link = Link::Up {
            incarnation: hello.incarnation,
            layers: hello.layers_held.layers,
            loading: hello.layers_held.loading,
        };
        target.queued_positions = 0;
        target.report = None;
        target.cache = cache::Estimate::default();
        target.last_heard = now;
        target.health.join(now);
    }

    /// Records an engine's announcement that it is leaving.
    pub fn mark_leaving(&mut self, index: Index) {
        let target = self.get_mut(index);
        match target.link {
            Link::Up { incarnation, .. } => target.leaving.mark_announced(incarnation),
            Link::Down => target.leaving.mark_announced_unnamed(),
        }
    }

    /// Records an engine's load report.
    pub fn record_load(&mut self, index: Index, load: Load, now: Duration) {
        let at = now.saturating_sub(Duration::from_millis(load.age_ms));
        let target = self.get_mut(index);
        target.last_heard = now;
        target.report = Some(Report { load, at });
    }

    /// Records the layers that an engine reports to hold now.
    pub fn update_layers(&mut self, index: Index, holds: &LayersHeld) {
        if let Link::Up {
            layers, loading, ..
        } = &mut self.get_mut(index).link
        {
            *layers = holds.layers;
            *loading = holds.loading;
        }
    }
}
