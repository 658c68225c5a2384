//! Faults of the layer ranges that targets hold.

use {
    crate::{
        fault::{Code, Fault},
        model::{Document, Engine, ModelId, Serves},
    },
    std::collections::{HashMap, HashSet},
};

/// Ranges that are empty or exceed the model, and layers of a pipeline's model that no target
/// holds.
pub(crate) fn layers_faults(document: &Document, faults: &mut Vec<Fault>) {
    let mut held: HashMap<&ModelId, Vec<(u32, u32)>> = HashMap::new();
    for (name, target) in &document.targets {
        let Serves::Layers(engine) = &target.serves else {
            continue;
        };
        range_faults(document, name, engine, faults);
        held.entry(&engine.model)
            .or_default()
            .push((engine.first, engine.end));
    }
    // The gaps of a model are computed once and reported for each pipeline that runs it.
    let mut gaps: HashMap<&ModelId, Vec<(u32, u32)>> = HashMap::new();
    for (name, pipeline) in &document.pipelines {
        let Some(model) = document.models.get(&pipeline.model) else {
            continue;
        };
        let gaps = gaps.entry(&pipeline.model).or_insert_with(|| {
            let held = held.remove(&pipeline.model).unwrap_or_default();
            uncovered_ranges(held, model.layers)
        });
        for (first, end) in gaps {
            let text = format!(
                "no target holds layers {first}..{end} of model {}",
                pipeline.model
            );
            faults.push(Fault::new(
                Code::LayersGap,
                &["pipelines", name, "model"],
                text,
            ));
        }
    }
}

fn range_faults(document: &Document, name: &str, engine: &Engine, faults: &mut Vec<Fault>) {
    let Engine { first, end, .. } = engine;
    let place = ["targets", name, "serves", "layers", "end"];
    if first >= end {
        let text = format!("the range {first}..{end} is empty");
        faults.push(Fault::new(Code::BadLayers, &place, text));
    }
    let Some(model) = document.models.get(&engine.model) else {
        return;
    };
    if *end > model.layers {
        let text = format!(
            "the range {first}..{end} exceeds the {} layers of model {}",
            model.layers, engine.model
        );
        faults.push(Fault::new(Code::BadLayers, &place, text));
    }
}

/// The ranges of `0..layers` that no range of `held` covers, in order.
fn uncovered_ranges(held: Vec<(u32, u32)>, layers: u32) -> Vec<(u32, u32)> {
    // Replicas hold the same range, so few distinct ranges are left to sort.
    let distinct: HashSet<_> = held.into_iter().collect();
    let mut held: Vec<_> = distinct.into_iter().collect();
    held.sort_unstable();
    let mut gaps = Vec::new();
    let mut covered = 0;
    for (first, end) in held {
        if first > covered && covered < layers {
            gaps.push((covered, first.min(layers)));
        }
        covered = covered.max(end);
    }
    if covered < layers {
        gaps.push((covered, layers));
    }
    gaps
}
