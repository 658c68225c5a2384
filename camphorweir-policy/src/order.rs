//! Which engine should hold which layers: a range without a target borrows one from a range that
//! has several, and gives it back once its own are there again.

use {
    crate::target::{Index, Link, Table},
    camphorweir_config::model::ModelId,
    camphorweir_wire::engine::Layers,
    std::{collections::BTreeMap, time::Duration},
};

/// Live engines that a range keeps at least when it lends one.
const KEEP: usize = 1;
/// A range must be without a target for this long before one is borrowed for it.
pub const PATIENCE: Duration = Duration::from_secs(3);

/// An engine that should hold other layers than it does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wish {
    /// The engine.
    pub target: Index,
    /// The model.
    pub model: ModelId,
    /// The layers that it should hold.
    pub layers: Layers,
}

/// The engines of a range of layers.
#[derive(Debug, Default)]
struct Range {
    /// Engines that hold it and can work.
    holders: Vec<Index>,
    /// Those among them that the configuration gives other layers.
    borrowed: Vec<Index>,
    /// Engines that are loading it.
    loading: usize,
}

/// What to change for a model, at most one engine at a time; linear in the model's engines.
pub fn plan(table: &Table, model: &str) -> Option<Wish> {
    let ranges = ranges(table, model);
    lend(&ranges, model).or_else(|| give_back(table, &ranges, model))
}

/// Whether some range that the configuration names has no engine.
pub fn is_short(table: &Table, model: &str) -> bool {
    ranges(table, model)
        .values()
        .any(|range| range.holders.is_empty() && range.loading == 0)
}

fn ranges(table: &Table, model: &str) -> BTreeMap<Layers, Range> {
    let mut ranges: BTreeMap<Layers, Range> = BTreeMap::new();
    for index in table.engines(model) {
        let target = table.get(*index);
        let Some(engine) = target.engine() else {
            continue;
        };
        let own = Layers {
            first: engine.first,
            end: engine.end,
        };
        ranges.entry(own).or_default();
        let Link::Up {
            layers, loading, ..
        } = target.link
        else {
            continue;
        };
        if !target.configured || target.leaving.is_leaving() {
            continue;
        }
        let range = ranges.entry(layers).or_default();
        if loading {
            range.loading += 1;
            continue;
        }
        range.holders.push(*index);
        if layers != own {
            range.borrowed.push(*index);
        }
    }
    ranges
}

/// For a range without an engine: one of the range that has the most, the least busy first.
fn lend(ranges: &BTreeMap<Layers, Range>, model: &str) -> Option<Wish> {
    let (needy, _) = ranges
        .iter()
        .find(|(_, range)| range.holders.is_empty() && range.loading == 0)?;
    let donor = ranges
        .values()
        .filter(|range| range.holders.len() > KEEP)
        .max_by_key(|range| range.holders.len())?;
    Some(Wish {
        target: *donor.holders.last()?,
        model: model.to_owned(),
        layers: *needy,
    })
}

/// A borrowed engine goes back once its range has one of its own beside it, or its own range none.
fn give_back(table: &Table, ranges: &BTreeMap<Layers, Range>, model: &str) -> Option<Wish> {
    let range = ranges
        .values()
        .find(|range| !range.borrowed.is_empty() && range.holders.len() > range.borrowed.len())?;
    let target = *range.borrowed.first()?;
    let engine = table.get(target).engine()?;
    Some(Wish {
        target,
        model: model.to_owned(),
        layers: Layers {
            first: engine.first,
            end: engine.end,
        },
    })
}
