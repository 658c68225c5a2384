//! The flow of a zone: how many streams of mean size its targets can serve a second, as their layers are
//! arranged.
//!
//! Memory bounds the streams at a time. A target has room for so many tokens in so many of its layers, and
//! each stream needs its tokens in every layer; whichever target of a layer they are put on. The time that
//! a stream takes follows from the hardware of the targets.

use crate::{
    configuration::{Engine, Hardware},
    ids::Layer,
    span::Span,
};

/// Projected time of one hop for each token in ms.
const HOP_MS_PER_TOKEN: f64 = 0.4;
/// Least projected time of a stream, where the configuration gives no times.
const MIN_STREAM_SECONDS: f64 = 1e-3;
/// Steps of the search for the number of streams; each halves the error.
const SEARCH_STEPS: usize = 12;

/// Layers that a target holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// The layers.
    pub span: Span,
    /// Hardware of the target.
    pub hardware: Hardware,
}

impl Holder {
    /// Room for streams of mean size, times layers.
    fn room(&self, engine: &Engine) -> f64 {
        let (prompt, answer) = engine.mean_tokens;
        engine.free_token_layers(&self.hardware, self.span.len()) / (prompt + answer).max(1.0)
    }
}

/// The flow of targets that hold these layers, in streams of mean size a second; 0 where a layer has no
/// copy.
pub fn flow_compute(holders: &[Holder], engine: &Engine) -> f64 {
    let seconds = stream_seconds(holders, engine);
    seconds.map_or(0.0, |seconds| flow_streams(holders, engine) / seconds)
}

/// Number of streams of mean size that targets with these layers have room for at a time.
///
/// Linear in the layers times the targets of a layer, [`SEARCH_STEPS`] times.
pub fn flow_streams(holders: &[Holder], engine: &Engine) -> f64 {
    let mut holders: Vec<&Holder> = holders.iter().collect();
    holders.retain(|holder| !holder.span.is_empty());
    holders.sort_by_key(|holder| (holder.span.from, holder.span.to));
    let rooms: Vec<f64> = holders.iter().map(|holder| holder.room(engine)).collect();
    let total: f64 = rooms.iter().sum();
    let (mut low, mut high) = (0.0, total / f64::from(engine.layers.max(1)));
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        match has_room(&holders, &rooms, middle, engine.layers) {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}

/// Whether all layers have room for this many streams, if the room of each target is given to layers in
/// their order, that of the target first whose layers end first. No other way of giving has room for more.
fn has_room(holders: &[&Holder], rooms: &[f64], streams: f64, layers: Layer) -> bool {
    // End of its layers and the room that is left, of each target that holds the layer.
    let mut open: Vec<(Layer, f64)> = Vec::new();
    let mut next = 0;
    for layer in 0..layers {
        while next < holders.len() && holders[next].span.from <= layer {
            let end = holders[next].span.to;
            let place = open.partition_point(|(other, _)| *other <= end);
            open.insert(place, (end, rooms[next]));
            next += 1;
        }
        open.retain(|(end, room)| *end > layer && *room > 0.0);
        let mut wanted = streams;
        for (_, room) in &mut open {
            let taken = wanted.min(*room);
            *room -= taken;
            wanted -= taken;
            if wanted <= 0.0 {
                break;
            }
        }
        if wanted > 0.0 {
            return false;
        }
    }
    true
}

/// Time of a stream of mean size in seconds, with each layer served by its targets in proportion to their
/// room; `None` where a layer has no copy.
fn stream_seconds(holders: &[Holder], engine: &Engine) -> Option<f64> {
    let layers = usize::from(engine.layers);
    // Sums over the targets of each layer: room, and room times time.
    let mut sums = vec![(0.0, 0.0); layers];
    let context = (engine.mean_tokens.0 + engine.mean_tokens.1 / 2.0) / 1e3;
    let step_ms = engine.step_ms + engine.stream_ms + engine.context_ms_per_1k * context;
    for holder in holders.iter().filter(|holder| !holder.span.is_empty()) {
        let len = f64::from(holder.span.len());
        let (from, to) = (usize::from(holder.span.from), usize::from(holder.span.to));
        let share = holder.room(engine) / len;
        let layer_ms = holder.hardware.step_factor * step_ms / layers as f64;
        let ms = layer_ms + HOP_MS_PER_TOKEN / len;
        for (sum, weighted) in &mut sums[from.min(layers)..to.min(layers)] {
            *sum += share;
            *weighted += share * ms;
        }
    }
    let mut token_ms = 0.0;
    for (sum, weighted) in sums {
        if sum <= 0.0 {
            return None;
        }
        token_ms += weighted / sum;
    }
    Some((token_ms * engine.mean_tokens.1 / 1e3).max(MIN_STREAM_SECONDS))
}
