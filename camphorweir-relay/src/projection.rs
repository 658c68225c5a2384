//! Load of a target projected from old knowledge to the present, and the part of a target's memory that a
//! request may use under that uncertainty.

use {
    crate::{configuration::Engine, peers::Load},
    std::time::Duration,
};

/// Longest time over which a change is projected: a stream lasts longer, so the load does not change by
/// more than its own size.
const MAX_PROJECTED: Duration = Duration::from_millis(600);
/// Age of the load of the own zone's targets up to which it is well known: a digest, a summary and one that is
/// lost.
const WELL_KNOWN: Duration = Duration::from_millis(500);
/// Share of a target's memory up to which requests use it while its load is well known, for the most and the
/// least reluctant request.
const KNOWN_ROOM: (f64, f64) = (0.8, 0.98);
/// The same for targets of other zones, and while there is no news: with older knowledge all instances see
/// the same free memory for a second, so fewer of them may use it and they must differ more.
const GUESSED_ROOM: (f64, f64) = (0.36, 0.62);
/// Used share of a target's memory above which its cost rises; below, the fastest target is the best.
const COSTLY_USE: f64 = 0.6;
/// The cost of a target rises by a factor of e for this much more of its memory: targets that are 11
/// times as fast are used up to 0.4 more of their memory, and less steep a rise leaves the slow ones idle.
const COST_STEP: f64 = 1.0 / 6.0;
/// The same of a random factor that differs by request and target, from [`COSTLY_USE`] on, for a target
/// whose load is well known and for another.
const COST_SPREAD: (f64, f64) = (0.07, 0.14);
/// Limit on the ratio between what streams reserve and what they use on average; where answers are long,
/// their lengths differ too much to rely on the mean.
const MAX_RESERVED_RATIO: f64 = 1.12;
/// Time in which the memory of a full target falls by a factor of e, as streams on it end.
const STREAM_TIME: Duration = Duration::from_millis(1500);

/// Rate at which the load of a target changes, by second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Streams that pass through the target.
    pub streams: f64,
    /// Streams of which the target is the first hop.
    pub first_hops: f64,
    /// Reserved memory, in tokens times layers.
    pub token_layers: f64,
}

impl Rate {
    /// The rate of change between two loads that became known this long apart.
    pub fn between(before: &Load, after: &Load, apart: Duration) -> Self {
        let seconds = apart.as_secs_f64();
        if seconds <= 0.0 {
            return Self::default();
        }
        Self {
            streams: (after.streams - before.streams) / seconds,
            first_hops: (after.first_hops - before.first_hops) / seconds,
            token_layers: (after.token_layers - before.token_layers) / seconds,
        }
    }
}

/// A load known `age` ago, projected to the present.
///
/// Growth is projected and decline is not: all instances see a decline at the same moment, and would
/// all send to the target at once. The result is at least the known load and at most twice it.
pub fn projection_load(known: &Load, rate: &Rate, age: Duration) -> Load {
    let seconds = age.min(MAX_PROJECTED).as_secs_f64();
    let project = |known: f64, rate: f64| known + (rate * seconds).clamp(0.0, known.max(0.0));
    Load {
        streams: project(known.streams, rate.streams),
        first_hops: project(known.first_hops, rate.first_hops),
        token_layers: project(known.token_layers, rate.token_layers),
    }
}

/// Least memory in use on a target that rejected a send `since` ago, of `capacity`: it was full then, and
/// streams have ended since.
pub fn projection_after_rejection(capacity: f64, since: Duration) -> f64 {
    capacity * (-since.as_secs_f64() / STREAM_TIME.as_secs_f64()).exp()
}

/// Cost factor of a target of which this share of the memory is in use, known `age` ago; see
/// [`projection_room`] for `age` and `draw`.
///
/// The random part grows with the used share and with the age, so that instances that know the same
/// choose differently where it matters.
pub fn projection_cost_factor(used: f64, age: Option<Duration>, draw: f64) -> f64 {
    let spread = match is_well_known(age) {
        true => COST_SPREAD.0,
        false => COST_SPREAD.1,
    };
    let random = spread * (used / COSTLY_USE).clamp(0.0, 1.0) * draw.clamp(0.0, 1.0);
    (((used - COSTLY_USE).max(0.0) + random) / COST_STEP).exp()
}

fn is_well_known(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age < WELL_KNOWN)
}

/// Share of a target's memory that a request may reserve, of what all streams there reserve.
///
/// `draw` in `0.0..=1.0` differs by request and target, so that as a target fills up, fewer and fewer
/// requests use it. `age` is that of the newest word on a target of the own zone; `None` for other zones, or
/// without any. A stream reserves its whole answer and holds half of it on average, so that the
/// reservations may exceed the memory.
pub fn projection_room(engine: &Engine, age: Option<Duration>, draw: f64) -> f64 {
    let (least, most) = match is_well_known(age) {
        true => KNOWN_ROOM,
        false => GUESSED_ROOM,
    };
    let (prompt, answer) = engine.mean_tokens;
    let held = (prompt + answer / 2.0).max(1.0);
    let ratio = ((prompt + answer) / held).clamp(1.0, MAX_RESERVED_RATIO);
    (least + (most - least) * draw.clamp(0.0, 1.0)) * ratio
}

/// Indices of two entries, each drawn in proportion to its weight by a number in `0.0..=1.0`; they may be the
/// same. `None` if no weight is above zero.
pub fn projection_draw_two(weights: &[f64], draws: (f64, f64)) -> Option<(usize, usize)> {
    let total: f64 = weights.iter().map(|weight| weight.max(0.0)).sum();
    let draw = |draw: f64| {
        let mut left = draw.clamp(0.0, 1.0) * total;
        let has_weight = weights
            .iter()
            .enumerate()
            .filter(|(_, weight)| **weight > 0.0);
        let mut last = None;
        for (index, weight) in has_weight {
            last = Some(index);
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        last
    };
    Some((draw(draws.0)?, draw(draws.1)?))
}
