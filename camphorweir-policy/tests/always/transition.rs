//! Random transitions of the simulation: requests, faults, operators' commands and time.

use {
    crate::world::{World, ZONES, engine::POISON, service::Behavior},
    camphorweir_config::{model::Service, record::Edit},
    camphorweir_policy::event::Event,
    camphorweir_wire::engine::Reply,
    proptest::prelude::*,
    std::time::Duration,
};

const ENGINES: [&str; 9] = ["a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"];
const SERVICES: [&str; 6] = [
    "ledger-a", "ledger-b", "ledger-c", "lookup-a", "lookup-b", "lookup-c",
];

/// One transition of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Transition {
    /// A caller sends a request for tokens.
    Prompt {
        entry: usize,
        stem: u32,
        length: u32,
        count: u32,
    },
    /// A caller sends a prompt that crashes every engine that computes it.
    Poison { entry: usize, which: u32 },
    /// A caller sends an idempotent call.
    Lookup { entry: usize },
    /// A caller sends a never-repeat call under a new key.
    NeverRepeat { entry: usize },
    /// A caller repeats a call under an earlier key, or sends another body under it.
    RepeatKey {
        entry: usize,
        key: usize,
        other: bool,
    },
    /// A caller closes the connection.
    Disconnect { call: usize },
    /// Time passes.
    Advance { ms: u64 },
    /// An entry gets SIGKILL and is restarted at once.
    Restart { entry: usize },
    /// An entry gets SIGSTOP.
    Freeze { entry: usize },
    /// An entry gets SIGCONT.
    Resume { entry: usize },
    /// An entry gets SIGTERM.
    Stop { entry: usize },
    /// An entry's wall clock is set ahead of the true time.
    SetClockAhead { entry: usize, seconds: u64 },
    /// An engine is killed.
    KillEngine { engine: usize },
    /// An engine is restarted with an empty cache.
    RestartEngine { engine: usize },
    /// An engine is frozen or resumed.
    FreezeEngine { engine: usize, frozen: bool },
    /// The next replies of an engine to steps are lost or delivered twice.
    FailReplies {
        engine: usize,
        lost: u32,
        duplicated: u32,
    },
    /// A target is leaving, as reported by itself or by the instance list.
    Leave { target: usize, listed: bool },
    /// A plain service changes how it handles calls.
    SetBehavior { service: usize, behavior: Behavior },
    /// A plain service is killed or restarted, frozen or resumed.
    SetService {
        service: usize,
        up: bool,
        frozen: bool,
    },
    /// A zone is isolated or rejoined.
    Isolate { zone: usize, isolated: bool },
    /// The log service goes down or up.
    Log { down: bool },
    /// The log service loses answers to appends, or delays an append.
    FailAppends { lost_answers: u32, delay_ms: u64 },
    /// The instance list goes down or up.
    List { down: bool },
    /// An operator publishes, or two do so on top of the same version.
    Publish { racing: bool },
    /// A checkpoint of an earlier version is appended late.
    StaleCheckpoint,
    /// Two operators resolve a key that is listed as unresolved.
    Resolve { key: usize },
    /// Forged replies to steps are turned on or off.
    ForgeReplies { on: bool },
}

/// Generates every transition, requests and time more often than faults.
pub(crate) fn any_transition() -> impl Strategy<Value = Transition> {
    let entry = 0..3_usize;
    let engine = 0..ENGINES.len();
    let service = 0..SERVICES.len();
    let behavior = prop_oneof![
        3 => Just(Behavior::Normal),
        1 => Just(Behavior::RefuseBefore),
        1 => Just(Behavior::FailAfter),
        1 => Just(Behavior::DropAfter),
        1 => Just(Behavior::DropBefore),
    ];
    let requests = prop_oneof![
        3 => (entry.clone(), 0..4_u32, 1..60_u32, 1..30_u32)
            .prop_map(|(entry, stem, length, count)| {
                Transition::Prompt { entry, stem, length, count }
            }),
        1 => (entry.clone(), 0..2_u32)
            .prop_map(|(entry, which)| Transition::Poison { entry, which }),
        1 => entry.clone().prop_map(|entry| Transition::Lookup { entry }),
        2 => entry.clone().prop_map(|entry| Transition::NeverRepeat { entry }),
        3 => (entry.clone(), 0..8_usize, prop::bool::weighted(0.1))
            .prop_map(|(entry, key, other)| Transition::RepeatKey { entry, key, other }),
        1 => (0..16_usize).prop_map(|call| Transition::Disconnect { call }),
    ];
    let time = prop_oneof![
        4 => 1..40_u64,
        2 => 40..700_u64,
        1 => 700..8_000_u64,
    ];
    let entries = prop_oneof![
        2 => entry.clone().prop_map(|entry| Transition::Restart { entry }),
        2 => entry.clone().prop_map(|entry| Transition::Freeze { entry }),
        2 => entry.clone().prop_map(|entry| Transition::Resume { entry }),
        1 => entry.clone().prop_map(|entry| Transition::Stop { entry }),
        1 => (entry, 0..600_u64)
            .prop_map(|(entry, seconds)| Transition::SetClockAhead { entry, seconds }),
    ];
    let targets = prop_oneof![
        2 => engine.clone().prop_map(|engine| Transition::KillEngine { engine }),
        2 => engine.clone().prop_map(|engine| Transition::RestartEngine { engine }),
        2 => (engine.clone(), any::<bool>())
            .prop_map(|(engine, frozen)| Transition::FreezeEngine { engine, frozen }),
        2 => (engine, 0..3_u32, 0..3_u32)
            .prop_map(|(engine, lost, duplicated)| {
                Transition::FailReplies { engine, lost, duplicated }
            }),
        1 => (0..ENGINES.len() + SERVICES.len(), any::<bool>())
            .prop_map(|(target, listed)| Transition::Leave { target, listed }),
        3 => (service.clone(), behavior)
            .prop_map(|(service, behavior)| Transition::SetBehavior { service, behavior }),
        1 => (service, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(service, up, frozen)| Transition::SetService { service, up, frozen }),
    ];
    let platform = prop_oneof![
        2 => (0..3_usize, any::<bool>())
            .prop_map(|(zone, isolated)| Transition::Isolate { zone, isolated }),
        2 => any::<bool>().prop_map(|down| Transition::Log { down }),
        2 => (0..4_u32, 0..6_000_u64)
            .prop_map(|(lost_answers, delay_ms)| {
                Transition::FailAppends { lost_answers, delay_ms }
            }),
        1 => any::<bool>().prop_map(|down| Transition::List { down }),
        1 => any::<bool>().prop_map(|racing| Transition::Publish { racing }),
        1 => Just(Transition::StaleCheckpoint),
        1 => (0..8_usize).prop_map(|key| Transition::Resolve { key }),
        1 => any::<bool>().prop_map(|on| Transition::ForgeReplies { on }),
    ];
    prop_oneof![
        5 => requests,
        5 => time.prop_map(|ms| Transition::Advance { ms }),
        2 => entries,
        2 => targets,
        2 => platform,
    ]
}

/// State left by earlier transitions.
#[derive(Default)]
pub(crate) struct History {
    /// Idempotency keys used so far, with their fingerprints.
    pub(crate) keys: Vec<(u128, u64)>,
    /// A checkpoint of an earlier configuration version.
    old_checkpoint: Option<Vec<u8>>,
    published: u64,
    /// Number of faults that keep entries from reporting a crash to each other.
    pub(crate) communication_faults: u32,
}

/// Applies a transition; one whose subject does not exist does nothing, except that `RepeatKey`
/// without an earlier key sends a lookup.
pub(crate) fn apply(world: &mut World, history: &mut History, transition: &Transition) {
    let blocks_communication = matches!(
        transition,
        Transition::Restart { .. }
            | Transition::Freeze { .. }
            | Transition::Stop { .. }
            | Transition::Isolate { isolated: true, .. }
    );
    history.communication_faults += u32::from(blocks_communication);
    match transition {
        Transition::Prompt { .. }
        | Transition::Poison { .. }
        | Transition::Lookup { .. }
        | Transition::NeverRepeat { .. }
        | Transition::RepeatKey { .. } => {
            send_request(world, history, transition);
        }
        Transition::Disconnect { call } => disconnect_caller(world, *call),
        Transition::Advance { ms } => world.run(Duration::from_millis(*ms)),
        Transition::Restart { .. }
        | Transition::Freeze { .. }
        | Transition::Resume { .. }
        | Transition::Stop { .. }
        | Transition::SetClockAhead { .. } => apply_to_entry(world, transition),
        Transition::KillEngine { engine } => world.kill_engine(ENGINES[*engine]),
        Transition::RestartEngine { engine } => world.restart_engine(ENGINES[*engine]),
        Transition::FreezeEngine { engine, frozen } => {
            engine_of(world, ENGINES[*engine]).frozen = *frozen;
        }
        Transition::FailReplies {
            engine,
            lost,
            duplicated,
        } => {
            let engine = engine_of(world, ENGINES[*engine]);
            engine.replies_to_drop = *lost;
            engine.replies_to_duplicate = *duplicated;
        }
        Transition::Leave { target, listed } => leave(world, *target, *listed),
        Transition::SetBehavior { service, behavior } => {
            service_of(world, *service).behavior = *behavior
        }
        Transition::SetService {
            service,
            up,
            frozen,
        } => {
            let service = service_of(world, *service);
            service.up = *up;
            service.frozen = *frozen;
        }
        Transition::Isolate {
            zone,
            isolated: true,
        } => world.isolate_zone(ZONES[*zone]),
        Transition::Isolate {
            zone,
            isolated: false,
        } => world.rejoin_zone(ZONES[*zone]),
        Transition::Log { down } => world.log.down = *down,
        Transition::FailAppends {
            lost_answers,
            delay_ms,
        } => {
            world.log.lose_answers = *lost_answers;
            world.log.delay_next = (*delay_ms > 0).then(|| Duration::from_millis(*delay_ms));
        }
        Transition::List { down } => world.list_down = *down,
        Transition::Publish { racing } => publish(world, history, *racing),
        Transition::StaleCheckpoint => stale_checkpoint(world, history),
        Transition::Resolve { key } => resolve(world, history, *key),
        Transition::ForgeReplies { on } => world.forge_replies = *on,
    }
}

fn send_request(world: &mut World, history: &mut History, transition: &Transition) {
    let entry = match transition {
        Transition::Prompt { entry, .. }
        | Transition::Poison { entry, .. }
        | Transition::Lookup { entry }
        | Transition::NeverRepeat { entry }
        | Transition::RepeatKey { entry, .. } => *entry,
        _ => return,
    };
    if !world.entries[entry].alive {
        return;
    }
    match transition {
        Transition::Prompt {
            stem,
            length,
            count,
            ..
        } => {
            let prompt = (0..*length).map(|index| stem * 7 + index % 11).collect();
            world.prompt(entry, prompt, *count);
        }
        Transition::Poison { which, .. } => {
            world.prompt(entry, vec![POISON, *which], 4);
        }
        Transition::NeverRepeat { .. } => {
            let key = world.new_key();
            let fingerprint = history.keys.len() as u64;
            history.keys.push((key, fingerprint));
            world.never_repeat(entry, key, fingerprint);
        }
        Transition::RepeatKey { key, other, .. } if !history.keys.is_empty() => {
            let (key, fingerprint) =
                history.keys[history.keys.len() - 1 - key % history.keys.len()];
            let fingerprint = if *other {
                fingerprint + 1_000_000
            } else {
                fingerprint
            };
            world.never_repeat(entry, key, fingerprint);
        }
        _ => {
            world.lookup(entry);
        }
    }
}

fn disconnect_caller(world: &mut World, call: usize) {
    let mut open = world.oracle.unanswered();
    open.sort_unstable();
    if open.is_empty() {
        return;
    }
    let id = open[call % open.len()];
    let entry = world.oracle.calls[&id].entry;
    world.deliver_event(entry, Event::CallerGone(id));
}

fn apply_to_entry(world: &mut World, transition: &Transition) {
    match transition {
        Transition::Restart { entry } => world.restart(*entry),
        Transition::Freeze { entry } => world.entries[*entry].frozen = true,
        Transition::Resume { entry } if world.entries[*entry].alive => world.resume(*entry),
        Transition::Stop { entry } => world.deliver_event(*entry, Event::Stop),
        Transition::SetClockAhead { entry, seconds } => {
            world.entries[*entry].clock_ahead = Duration::from_secs(*seconds);
        }
        _ => {}
    }
}

fn engine_of<'a>(world: &'a mut World, id: &str) -> &'a mut crate::world::engine::Engine {
    world.engines.get_mut(id).expect("a known engine")
}

fn service_of(world: &mut World, index: usize) -> &mut crate::world::service::Service {
    world
        .services
        .get_mut(SERVICES[index])
        .expect("a known service")
}

/// Makes a target leave: with `by_list`, only the instance list reports it; otherwise the target
/// reports it itself, which an engine does only if it is up and not frozen and no zone is isolated.
fn leave(world: &mut World, target: usize, by_list: bool) {
    let id = match ENGINES.get(target) {
        Some(id) => *id,
        None => SERVICES[target - ENGINES.len()],
    };
    if by_list {
        world.listed_leaving.insert(id.to_owned());
        return;
    }
    if let Some(engine) = world.engines.get_mut(id) {
        if !engine.up || engine.frozen || !world.isolated_zones.is_empty() {
            return;
        }
        engine.leaving = true;
        let now = world.now;
        world.leaving_since.entry(id.to_owned()).or_insert(now);
        for entry in 0..world.entries.len() {
            world.deliver_event(entry, Event::EngineReply(id.to_owned(), Reply::Leaving));
        }
    } else if let Some(service) = world.services.get_mut(id) {
        service.leaving = true;
    }
}

fn publish(world: &mut World, history: &mut History, racing: bool) {
    let newest = world.entries.iter().max_by_key(|entry| entry.version);
    let Some(entry) = newest.filter(|entry| entry.version > 0) else {
        return;
    };
    let base = entry.version;
    if history.old_checkpoint.is_none() {
        history.old_checkpoint = entry.core.checkpoint();
    }
    for _ in 0..if racing { 2 } else { 1 } {
        history.published += 1;
        let name = format!("service-{}", history.published);
        let edit = Edit::Service(name, Some(Service { fencing: false }));
        world.publish_edits(base, vec![edit]);
    }
}

fn stale_checkpoint(world: &mut World, history: &History) {
    if let Some(bytes) = history.old_checkpoint.clone() {
        let wall = world.wall();
        world
            .log
            .append(wall, camphorweir_config::record::STREAM, &[bytes]);
    }
}

/// Resolves a key by what the services ran, if an entry lists the key as unresolved.
fn resolve(world: &mut World, history: &History, key: usize) {
    if history.keys.is_empty() {
        return;
    }
    let (id, _) = history.keys[history.keys.len() - 1 - key % history.keys.len()];
    let listed = world.entries.iter().any(|entry| {
        let unresolved = entry.core.unresolved();
        entry.alive
            && unresolved
                .iter()
                .any(|one| one.key.id == id && one.start.unknown)
    });
    if listed {
        world.resolve(id);
    }
}

/// Ends every fault.
pub(crate) fn end_all_faults(world: &mut World) {
    world.log.down = false;
    world.log.lose_answers = 0;
    world.log.delay_next = None;
    world.list_down = false;
    world.forge_replies = false;
    world.listed_leaving.clear();
    for zone in ZONES {
        world.rejoin_zone(zone);
    }
    for service in world.services.values_mut() {
        service.up = true;
        service.frozen = false;
        service.leaving = false;
        service.behavior = Behavior::Normal;
    }
    for id in ENGINES {
        world.restart_engine(id);
    }
    for entry in 0..world.entries.len() {
        world.entries[entry].clock_ahead = Duration::ZERO;
        if world.entries[entry].alive {
            world.resume(entry);
        } else {
            world.restart(entry);
        }
    }
}
