//! Faults drawn from a seed, that overlap and come in series.

use {
    crate::{
        address::Place,
        caller,
        deployment::{ALL_TARGETS, Deployment, entries},
        entry::{Draft, Ending},
        history::Trouble,
        process::Signal,
        proxy::Mode,
        variant::{Bounds, Variant},
    },
    camphorweir_standin::{metadata::Behavior, platform_target::ResponseFault},
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
    tokio::time::{Instant, sleep_until},
};

/// Pause between two looks at the processes.
const LOOK: Duration = Duration::from_millis(10);
/// Time in which faults begin.
const FAULTY: Duration = Duration::from_secs(9);
/// Longest pause between the begins of two faults in ms.
const PAUSE_MS: u64 = 700;
/// Shortest and longest time of a fault in ms.
const LASTS_MS: (u64, u64) = (100, 3500);
/// Targets that the earlier scripts disturb.
const TARGETS: usize = 6;
/// Time in which planned work and silences begin: beyond the other faults, so that some have no other
/// excuse.
const PLANNED: Duration = Duration::from_secs(14);
/// Shortest and longest silence of a sound target in ms.
const SILENCE_MS: (u64, u64) = (300, 1_900);
/// The same of the pauses between the silences of a series, and of those between configurations.
const SERIES_PAUSE_MS: (u64, u64) = (100, 900);

/// What happens from outside.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// An entry is paused for a while.
    Pause(usize),
    /// An entry is killed, and started again after a while.
    Kill(usize),
    /// An entry is told to stop, and started again when it has ended.
    Stop(usize),
    /// The store behaves so for all.
    Store(Behavior),
    /// The store's connections to one entry.
    Door(usize, Mode),
    /// A target's connections.
    Link(usize, Mode),
    /// A target crashes and comes back empty after a while.
    Crash(usize),
    /// A target answers its next request so.
    Act(usize, ResponseFault),
    /// A configuration is published, without the second key or with it.
    Publish(bool),
    /// The store drops the history of what it holds.
    Forget,
    /// A target says in its answers that it leaves, and starts anew after a while.
    Leave(usize),
    /// A target names a limit of requests a second.
    Limit(usize, &'static str),
    /// A caller sends an entry a call that ends its target.
    CrashingCall(usize, u32),
    /// A sound target is silent, its report path too, and goes on afterwards.
    Silence(usize),
    /// A configuration that changes weights, times and limits.
    Configure(Variant),
    /// Other bounds in an entry's settings file, with a signal or without.
    Reload(usize, Bounds, bool),
    /// The same in place: the file is cut short for a while, with signals then and afterwards.
    Rewrite(usize, Bounds),
    /// An entry's process is told to end, and the next one started after a while, whether it has gone or not.
    Succeed(usize, Ending),
    /// A signal to an entry's process, however young it is.
    Signal(usize, Signal),
    /// An entry is killed and started at once, while something else holds an address of its.
    Hold(usize, Place),
    /// An entry's process is told to end, and the next one started at once, with a settings file that is not
    /// whole for a while.
    Draft(usize, Ending, Draft),
}

/// A fault with the time at which it begins, from the start, and how long it lasts.
pub(crate) type Step = (Duration, Duration, Fault);

/// Faults with the times at which they begin and how long they last, from the start.
pub(crate) fn script(rng: &mut SmallRng) -> Vec<Step> {
    let mut at = Duration::from_millis(200);
    let mut script = Vec::new();
    while at < FAULTY {
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS.0..LASTS_MS.1));
        script.push((at, lasts, draw(rng)));
        at += Duration::from_millis(rng.random_range(0..PAUSE_MS));
    }
    script
}

/// More faults, of the kinds that came later. They are drawn after the others, so that a seed keeps the
/// script that it had.
pub(crate) fn later_script(rng: &mut SmallRng) -> Vec<Step> {
    let mut at = Duration::from_millis(500);
    let mut script = Vec::new();
    while at < FAULTY {
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS.0..LASTS_MS.1));
        let (entry, target) = (rng.random_range(0..entries()), rng.random_range(0..TARGETS));
        let fault = match rng.random_range(0..6) {
            0 => Fault::Leave(target),
            1 => Fault::Act(target, ResponseFault::RefuseFor(1)),
            2 => Fault::Act(target, ResponseFault::TrickleAfter(2)),
            3 => Fault::Act(target, ResponseFault::StallAfter(1)),
            _ => Fault::CrashingCall(entry, rng.random()),
        };
        script.push((at, lasts, fault));
        at += Duration::from_millis(rng.random_range(0..3 * PAUSE_MS));
    }
    script
}

/// Limits that targets name, drawn last for the same reason.
pub(crate) fn limits_script(rng: &mut SmallRng) -> Vec<Step> {
    let mut script = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let at = Duration::from_millis(rng.random_range(200..3_000));
        let lasts = Duration::from_millis(rng.random_range(3_000..9_000));
        let limit = ["5", "2.5", "0.4", "0", "soon"][rng.random_range(0..5)];
        script.push((at, lasts, Fault::Limit(rng.random_range(0..TARGETS), limit)));
    }
    script
}

/// Planned work, and targets that are silent for a moment: alone, in series, and beside each other. Drawn
/// last for the same reason.
pub(crate) fn planned_script(rng: &mut SmallRng) -> Vec<Step> {
    let millis = Duration::from_millis;
    let mut at = millis(500);
    let mut script = Vec::new();
    while at < PLANNED {
        let entry = rng.random_range(0..entries());
        let lasts = millis(rng.random_range(LASTS_MS.0..LASTS_MS.1));
        match rng.random_range(0..9) {
            0..3 => script.extend(silences(rng, at)),
            3..5 => {
                let mut next = at;
                for _ in 0..rng.random_range(1..5) {
                    script.push((next, lasts, Fault::Configure(Variant::draw(rng))));
                    next += millis(rng.random_range(SERIES_PAUSE_MS.0..SERIES_PAUSE_MS.1));
                }
            }
            5..7 => {
                let reload = Fault::Reload(entry, Bounds::draw(rng), rng.random_bool(0.7));
                script.push((at, lasts, reload));
            }
            _ => script.push((at, lasts, Fault::Stop(entry))),
        }
        at += millis(rng.random_range(0..2 * PAUSE_MS));
    }
    script
}

/// A series of silences of one target or several at once.
fn silences(rng: &mut SmallRng, mut at: Duration) -> Vec<Step> {
    let millis = Duration::from_millis;
    let first = rng.random_range(0..ALL_TARGETS);
    let count = [1, 1, 2, 4, ALL_TARGETS][rng.random_range(0..5)];
    let mut script = Vec::new();
    for _ in 0..rng.random_range(1..4) {
        let lasts = millis(rng.random_range(SILENCE_MS.0..=SILENCE_MS.1));
        let silent = (first..first + count).map(|target| Fault::Silence(target % ALL_TARGETS));
        script.extend(silent.map(|silence| (at, lasts, silence)));
        at += lasts + millis(rng.random_range(SERIES_PAUSE_MS.0..SERIES_PAUSE_MS.1));
    }
    script
}

fn draw(rng: &mut SmallRng) -> Fault {
    let entry = rng.random_range(0..entries());
    let target = rng.random_range(0..TARGETS);
    let delay = Duration::from_millis(rng.random_range(5..400));
    let mode = [
        Mode::Delay(delay),
        Mode::Reset,
        Mode::MuteCaller,
        Mode::MuteServer,
        Mode::Silent,
    ][rng.random_range(0..5)];
    let act = [
        ResponseFault::Refuse,
        ResponseFault::Lose,
        ResponseFault::Foreign,
        ResponseFault::CutIn(3),
        ResponseFault::CutAtOnce,
        ResponseFault::StallAfter(2),
        ResponseFault::Slow,
        ResponseFault::Fail,
    ][rng.random_range(0..8)];
    match rng.random_range(0..20) {
        0..2 => Fault::Pause(entry),
        2..4 => Fault::Kill(entry),
        4..6 => Fault::Stop(entry),
        6 => Fault::Store(Behavior::Refusing),
        7 => Fault::Store(Behavior::Silent),
        8..10 => Fault::Door(entry, mode),
        10..13 => Fault::Link(target, mode),
        13 => Fault::Crash(target),
        14..17 => Fault::Act(target, act),
        17..19 => Fault::Publish(rng.random_bool(0.6)),
        _ => Fault::Forget,
    }
}

/// Plays a script to its end, and looks all the while whether processes end that should not.
pub(crate) async fn play(deployment: &mut Deployment, script: &[Step]) {
    let start = Instant::now();
    let begins = script.iter().map(|(at, _, fault)| (*at, *fault, true));
    let ends = script
        .iter()
        .map(|(at, lasts, fault)| (*at + *lasts, *fault, false));
    let mut steps: Vec<(Duration, Fault, bool)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, ..)| *at);
    for (at, fault, begins) in steps {
        let at = start + at;
        while Instant::now() < at {
            deployment.look();
            sleep_until(at.min(Instant::now() + LOOK)).await;
        }
        match begins {
            true => begin(deployment, fault),
            false => end(deployment, fault),
        }
    }
}

fn begin(deployment: &mut Deployment, fault: Fault) {
    match fault {
        Fault::Pause(index) => deployment.entries[index].pause(),
        Fault::Kill(index) => deployment.entries[index].kill(),
        Fault::Stop(index) => deployment.entries[index].stop(),
        Fault::Store(mood) => deployment.store.set_behavior(mood),
        Fault::Door(index, mode) => deployment.entries[index].door.set(mode),
        Fault::Link(index, mode) => {
            deployment.history.begin(index, Trouble::Lost);
            deployment.targets[index].1.set(mode);
        }
        Fault::Crash(index) => {
            deployment.history.begin(index, Trouble::Lost);
            deployment.targets[index].1.set(Mode::Reset);
        }
        Fault::Silence(index) => deployment.silence(index, true),
        Fault::Configure(variant) => deployment.configure(variant),
        Fault::Reload(index, bounds, signals) => deployment.entries[index].reload(&bounds, signals),
        Fault::Rewrite(index, bounds) => deployment.entries[index].rewrite(&bounds),
        Fault::Succeed(index, ending) => deployment.entries[index].end(ending),
        Fault::Signal(index, signal) => deployment.entries[index].signal(signal),
        Fault::Hold(index, place) => {
            let entry = &mut deployment.entries[index];
            entry.kill();
            entry.hold(place);
            entry.start();
        }
        Fault::Draft(index, ending, draft) => {
            let entry = &mut deployment.entries[index];
            entry.end(ending);
            entry.spoil_settings(draft);
            entry.succeed();
        }
        Fault::Act(index, act) => deployment.targets[index].0.inject(act),
        Fault::Publish(revoke) => deployment.publish(revoke),
        Fault::Leave(index) => deployment.targets[index].0.leave(),
        Fault::Limit(index, limit) => deployment.limit(index, Some(limit)),
        Fault::CrashingCall(index, number) => {
            let entry = deployment.entries[index].callers;
            tokio::spawn(caller::crashing(entry, format!("crashing-{number}")));
        }
        Fault::Forget => {
            deployment.store.drop_history("keyed.op");
            deployment.store.drop_history("keyed.servers");
        }
    }
}

fn end(deployment: &mut Deployment, fault: Fault) {
    match fault {
        Fault::Pause(index) => deployment.entries[index].go_on(),
        Fault::Kill(index) | Fault::Stop(index) => {
            // One that is told to stop may still be at work; it is started at the end then.
            deployment.entries[index].look();
            deployment.entries[index].start();
        }
        Fault::Rewrite(index, _) => {
            deployment.entries[index].complete_settings();
            deployment.entries[index].signal(Signal::Hangup);
        }
        Fault::Succeed(index, _) => deployment.entries[index].succeed(),
        Fault::Hold(index, place) => deployment.entries[index].release(place),
        Fault::Draft(index, ..) => deployment.entries[index].complete_settings(),
        Fault::Store(_) => deployment.store.set_behavior(Behavior::Sound),
        Fault::Door(index, _) => deployment.entries[index].door.mend(),
        Fault::Link(index, _) => deployment.mend(index),
        Fault::Crash(index) => {
            deployment.history.begin(index, Trouble::Lost);
            let (target, proxy) = &deployment.targets[index];
            target.restart();
            proxy.set(Mode::Pass);
            deployment.history.end(index, Trouble::Lost);
            deployment.limit(index, None);
        }
        Fault::Leave(index) => {
            deployment.history.begin(index, Trouble::Lost);
            deployment.targets[index].0.restart();
            deployment.history.end(index, Trouble::Lost);
            deployment.limit(index, None);
        }
        Fault::Limit(index, _) => deployment.limit(index, None),
        Fault::Silence(index) => deployment.silence(index, false),
        Fault::Act(..)
        | Fault::Configure(_)
        | Fault::CrashingCall(..)
        | Fault::Forget
        | Fault::Publish(_)
        | Fault::Reload(..)
        | Fault::Signal(..) => {}
    }
}
