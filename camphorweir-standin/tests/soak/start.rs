//! Draws around the starts of processes: successions, addresses that are held, signals in the first moments,
//! settings that are written late, and restarts of all.

use {
    crate::{
        address::Place,
        deployment::entries,
        entry::{Draft, Ending},
        fault::{Fault, Step},
        process::Signal,
        variant::{Bounds, Variant},
    },
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Time in which they begin.
const STARTS: Duration = Duration::from_secs(14);
/// Longest pause between the begins of two in ms.
const PAUSE_MS: u64 = 2_500;
/// Longest time in ms until the successor of a process is started, if it isn't started at once.
const SUCCESSION_MS: u64 = 3_500;
/// Longest time in ms for which something else holds an address.
const HOLD_MS: u64 = 3_500;
/// Time in ms after a start in which signals come.
const EARLY_MS: u64 = 100;
/// Longest time in ms until settings are written whole.
const DRAFT_MS: u64 = 2_000;
/// Longest time in ms for which a file that is written in place is cut short.
const REWRITE_MS: u64 = 400;
/// Longest pause in ms between restarts of all, and longest time for which all are down.
const STORM_PAUSE_MS: u64 = 1_500;
const STORM_MS: u64 = 1_000;

/// Faults around starts, alone, in series and beside each other; drawn last, so that a seed keeps the
/// scripts that it had.
pub(crate) fn script(rng: &mut SmallRng) -> Vec<Step> {
    let mut at = millis(500);
    let mut script = Vec::new();
    while at < STARTS {
        let entry = rng.random_range(0..entries());
        match rng.random_range(0..12) {
            0..3 => successions(rng, &mut script, at, entry),
            3..5 => {
                let place = [Place::Callers, Place::Ready, Place::Metrics, Place::Peers]
                    [rng.random_range(0..4)];
                let lasts = millis(rng.random_range(50..HOLD_MS));
                script.push((at, lasts, Fault::Hold(entry, place)));
            }
            5..8 => early_signals(rng, &mut script, at, entry),
            8..10 => {
                let draft = [
                    Draft::Missing,
                    Draft::Empty,
                    Draft::Cut(rng.random_range(1..100)),
                ][rng.random_range(0..3)];
                let lasts = millis(rng.random_range(10..DRAFT_MS));
                script.push((at, lasts, Fault::Draft(entry, ending(rng), draft)));
                if rng.random_bool(0.5) {
                    let signal = Fault::Signal(entry, Signal::Hangup);
                    script.push((at + lasts.mul_f64(rng.random()), Duration::ZERO, signal));
                }
            }
            10 => {
                let lasts = millis(rng.random_range(1..REWRITE_MS));
                script.push((at, lasts, Fault::Rewrite(entry, Bounds::draw(rng))));
            }
            _ => storm(rng, &mut script, at),
        }
        at += millis(rng.random_range(0..PAUSE_MS));
    }
    script
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn ending(rng: &mut SmallRng) -> Ending {
    match rng.random_bool(0.5) {
        true => Ending::Kill,
        false => Ending::Stop,
    }
}

/// Time until a successor is started: often at once.
fn succession(rng: &mut SmallRng) -> Duration {
    match rng.random_bool(0.4) {
        true => Duration::ZERO,
        false => millis(rng.random_range(1..SUCCESSION_MS)),
    }
}

/// Processes that follow each other, each before the one before has gone, some of them told again.
fn successions(rng: &mut SmallRng, script: &mut Vec<Step>, mut at: Duration, entry: usize) {
    for _ in 0..rng.random_range(1..4) {
        let lasts = succession(rng);
        script.push((at, lasts, Fault::Succeed(entry, ending(rng))));
        if rng.random_bool(0.3) {
            let again = Fault::Signal(entry, Signal::Terminate);
            script.push((at + lasts.mul_f64(rng.random()), Duration::ZERO, again));
        }
        at += lasts + millis(rng.random_range(1..PAUSE_MS));
    }
}

/// A start with signals in its first moments; one that was told to stop has a successor.
fn early_signals(rng: &mut SmallRng, script: &mut Vec<Step>, at: Duration, entry: usize) {
    let lasts = succession(rng);
    script.push((at, lasts, Fault::Succeed(entry, ending(rng))));
    let mut next = at + lasts;
    for _ in 0..rng.random_range(1..6) {
        // Not at the time of the start itself, as what begins goes before what ends then.
        next += millis(rng.random_range(1..EARLY_MS / 4));
        let signal = [
            Signal::Hangup,
            Signal::Hangup,
            Signal::Interrupt,
            Signal::Terminate,
        ][rng.random_range(0..4)];
        script.push((next, Duration::ZERO, Fault::Signal(entry, signal)));
    }
    let lasts = succession(rng);
    script.push((
        next + millis(EARLY_MS),
        lasts,
        Fault::Succeed(entry, Ending::Stop),
    ));
}

/// All entries are killed and back at once, again and again, beside planned work.
fn storm(rng: &mut SmallRng, script: &mut Vec<Step>, mut at: Duration) {
    for _ in 0..rng.random_range(1..4) {
        let lasts = millis(rng.random_range(0..STORM_MS));
        script.extend((0..entries()).map(|entry| (at, lasts, Fault::Succeed(entry, Ending::Kill))));
        let entry = rng.random_range(0..entries());
        let beside = at + millis(rng.random_range(0..STORM_PAUSE_MS));
        let fault = match rng.random_range(0..5) {
            0 => Fault::Configure(Variant::draw(rng)),
            1 => Fault::Publish(true),
            2 => Fault::Publish(false),
            3 => Fault::Signal(entry, Signal::Hangup),
            _ => Fault::Succeed(entry, Ending::Stop),
        };
        script.push((beside, lasts, fault));
        at += lasts + millis(rng.random_range(0..STORM_PAUSE_MS));
    }
}
