//! Placement of layer ranges on engines: a range without an engine borrows one from a range that
//! has several, and returns it once engines configured for the range hold it again.

use {
    crate::target::{Index, Link, Table},
    camphorweir_config::model::ModelId,
    camphorweir_wire::engine::Layers,
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum number of live engines left to a range from which one is borrowed.
const MIN_HOLDERS: usize = 1;
/// Time that a range must be without an engine before one is borrowed for it.
pub const BORROW_DELAY: Duration = Duration::from_secs(3);

/// A change of the layers that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The engine.
    pub target: Index,
    /// The model to which the layers belong.
    pub model: ModelId,
    /// The layers that the engine should hold.
    pub layers: Layers,
}

/// The engines for one range of layers.
#[derive(Debug, Default)]
struct Range {
    /// Usable engines that hold the range.
    holders: Vec<Index>,
    /// The holders that are configured for other layers.
    borrowed: Vec<Index>,
    /// Number of engines that are loading the range.
    loading: usize,
}

/// The next change of a model's placement, one engine at a time; linear in the model's engines.
pub fn plan(table: &Table, model: &str) -> Option<Change> {
    let ranges = ranges(table, model);
    borrow(&ranges, model).or_else(|| return_borrowed(table, &ranges, model))
}

/// Whether some layer range of the model is neither held nor being loaded by a usable engine.
pub fn has_empty_range(table: &Table, model: &str) -> bool {
    ranges(table, model)
        .values()
        .any(|range| range.holders.is_empty() && range.loading == 0)
}

/// The layer ranges of a model that are configured or held, with their usable engines.
fn ranges(table: &Table, model: &str) -> BTreeMap<Layers, Range> {
    let mut ranges: BTreeMap<Layers, Range> = BTreeMap::new();
    for index in table.engines(model) {
        let target = table.get(*index);
        let Some(engine) = target.engine() else {
            continue;
        };
        let configured = Layers {
            first: engine.first,
            end: engine.end,
        };
        ranges.entry(configured).or_default();
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
        if layers != configured {
            range.borrowed.push(*index);
        }
    }
    ranges
}

/// For a range without an engine, borrows one from the range with the most holders.
fn borrow(ranges: &BTreeMap<Layers, Range>, model: &str) -> Option<Change> {
    let (empty, _) = ranges
        .iter()
        .find(|(_, range)| range.holders.is_empty() && range.loading == 0)?;
    let donor = ranges
        .values()
        .filter(|range| range.holders.len() > MIN_HOLDERS)
        .max_by_key(|range| range.holders.len())?;
    Some(Change {
        target: *donor.holders.last()?,
        model: model.to_owned(),
        layers: *empty,
    })
}

/// Returns a borrowed engine once the borrowing range also has an engine configured for it.
fn return_borrowed(table: &Table, ranges: &BTreeMap<Layers, Range>, model: &str) -> Option<Change> {
    let range = ranges
        .values()
        .find(|range| !range.borrowed.is_empty() && range.holders.len() > range.borrowed.len())?;
    let target = *range.borrowed.first()?;
    let engine = table.get(target).engine()?;
    Some(Change {
        target,
        model: model.to_owned(),
        layers: Layers {
            first: engine.first,
            end: engine.end,
        },
    })
}
