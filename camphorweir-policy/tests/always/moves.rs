//! What may happen at any moment: requests, faults, operators, and time passing.

use {
    crate::world::{World, ZONES, engine::POISON, service::Mood},
    camphorweir_config::{model::Service, record::Edit},
    camphorweir_policy::event::Event,
    camphorweir_wire::engine::Reply,
    proptest::prelude::*,
    std::time::Duration,
};

const ENGINES: [&str; 9] = ["a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"];
const SERVERS: [&str; 6] = [
    "ledger-a", "ledger-b", "ledger-c", "lookup-a", "lookup-b", "lookup-c",
];

/// One thing that happens.
#[derive(Clone, Debug)]
pub(crate) enum Move {
    /// A caller asks for tokens.
    Prompt {
        entry: usize,
        stem: u32,
        length: u32,
        count: u32,
    },
    /// A caller sends a prompt that crashes every engine that computes it.
    Poison { entry: usize, which: u32 },
    /// A caller makes an idempotent call.
    Lookup { entry: usize },
    /// A caller makes a never-repeat call under a new key.
    Seal { entry: usize },
    /// A caller sends an earlier key again, maybe with another body.
    SealAgain {
        entry: usize,
        key: usize,
        other: bool,
    },
    /// A caller goes away.
    Hangup { call: usize },
    /// Time passes.
    Pass { ms: u64 },
    /// SIGKILL to an entry; another life starts at once.
    Restart { entry: usize },
    /// SIGSTOP.
    Freeze { entry: usize },
    /// SIGCONT.
    Thaw { entry: usize },
    /// SIGTERM.
    Stop { entry: usize },
    /// An entry's wall clock jumps.
    Jump { entry: usize, seconds: u64 },
    /// An engine dies.
    KillEngine { engine: usize },
    /// It starts again with an empty cache.
    RestartEngine { engine: usize },
    /// An engine hangs or goes on.
    FreezeEngine { engine: usize, frozen: bool },
    /// Answers of an engine are lost or come twice.
    Answers {
        engine: usize,
        lost: u32,
        doubled: u32,
    },
    /// A target says, or the list says, that it is leaving.
    Leave { target: usize, listed: bool },
    /// A plain service changes how it treats calls.
    Treat { server: usize, mood: Mood },
    /// A plain service dies or is back, hangs or goes on.
    Server {
        server: usize,
        up: bool,
        frozen: bool,
    },
    /// A zone is cut off, or joined again.
    Cut { zone: usize, cut: bool },
    /// The log is down or up.
    Log { down: bool },
    /// The log loses answers, or lands an append late.
    Lose { answers: u32, late_ms: u64 },
    /// The instance list is down or up.
    List { down: bool },
    /// Operators publish, two of them from the same version.
    Publish { racing: bool },
    /// A checkpoint of some earlier version lands late.
    StaleCheckpoint,
    /// Two operators settle a key that is listed as unresolved, by what the services saw.
    Resolve { key: usize },
    /// Answers to steps come with forged ones, or no longer do.
    Noise { on: bool },
}

/// Every move, requests and time more often than faults.
pub(crate) fn any_move() -> impl Strategy<Value = Move> {
    let entry = 0..3_usize;
    let engine = 0..ENGINES.len();
    let server = 0..SERVERS.len();
    let mood = prop_oneof![
        3 => Just(Mood::Well),
        1 => Just(Mood::RefuseBefore),
        1 => Just(Mood::FailAfter),
        1 => Just(Mood::DropAfter),
        1 => Just(Mood::DropBefore),
    ];
    let requests = prop_oneof![
        3 => (entry.clone(), 0..4_u32, 1..60_u32, 1..30_u32)
            .prop_map(|(entry, stem, length, count)| Move::Prompt { entry, stem, length, count }),
        1 => (entry.clone(), 0..2_u32).prop_map(|(entry, which)| Move::Poison { entry, which }),
        1 => entry.clone().prop_map(|entry| Move::Lookup { entry }),
        2 => entry.clone().prop_map(|entry| Move::Seal { entry }),
        3 => (entry.clone(), 0..8_usize, prop::bool::weighted(0.1))
            .prop_map(|(entry, key, other)| Move::SealAgain { entry, key, other }),
        1 => (0..16_usize).prop_map(|call| Move::Hangup { call }),
    ];
    let time = prop_oneof![
        4 => 1..40_u64,
        2 => 40..700_u64,
        1 => 700..8_000_u64,
    ];
    let entries = prop_oneof![
        2 => entry.clone().prop_map(|entry| Move::Restart { entry }),
        2 => entry.clone().prop_map(|entry| Move::Freeze { entry }),
        2 => entry.clone().prop_map(|entry| Move::Thaw { entry }),
        1 => entry.clone().prop_map(|entry| Move::Stop { entry }),
        1 => (entry, 0..600_u64).prop_map(|(entry, seconds)| Move::Jump { entry, seconds }),
    ];
    let targets = prop_oneof![
        2 => engine.clone().prop_map(|engine| Move::KillEngine { engine }),
        2 => engine.clone().prop_map(|engine| Move::RestartEngine { engine }),
        2 => (engine.clone(), any::<bool>())
            .prop_map(|(engine, frozen)| Move::FreezeEngine { engine, frozen }),
        2 => (engine, 0..3_u32, 0..3_u32)
            .prop_map(|(engine, lost, doubled)| Move::Answers { engine, lost, doubled }),
        1 => (0..ENGINES.len() + SERVERS.len(), any::<bool>())
            .prop_map(|(target, listed)| Move::Leave { target, listed }),
        3 => (server.clone(), mood).prop_map(|(server, mood)| Move::Treat { server, mood }),
        1 => (server, any::<bool>(), prop::bool::weighted(0.2))
            .prop_map(|(server, up, frozen)| Move::Server { server, up, frozen }),
    ];
    let platform = prop_oneof![
        2 => (0..3_usize, any::<bool>()).prop_map(|(zone, cut)| Move::Cut { zone, cut }),
        2 => any::<bool>().prop_map(|down| Move::Log { down }),
        2 => (0..4_u32, 0..6_000_u64)
            .prop_map(|(answers, late_ms)| Move::Lose { answers, late_ms }),
        1 => any::<bool>().prop_map(|down| Move::List { down }),
        1 => any::<bool>().prop_map(|racing| Move::Publish { racing }),
        1 => Just(Move::StaleCheckpoint),
        1 => (0..8_usize).prop_map(|key| Move::Resolve { key }),
        1 => any::<bool>().prop_map(|on| Move::Noise { on }),
    ];
    prop_oneof![
        5 => requests,
        5 => time.prop_map(|ms| Move::Pass { ms }),
        2 => entries,
        2 => targets,
        2 => platform,
    ]
}

/// What the moves have made so far.
#[derive(Default)]
pub(crate) struct Past {
    pub(crate) keys: Vec<(u128, u64)>,
    /// A checkpoint of an earlier version.
    stale: Option<Vec<u8>>,
    published: u64,
    /// Faults that keep entries from telling each other of a crash.
    pub(crate) silenced: u32,
}

/// Makes a move; one that has no object does nothing.
pub(crate) fn make(world: &mut World, past: &mut Past, one: &Move) {
    let silences = matches!(
        one,
        Move::Restart { .. }
            | Move::Freeze { .. }
            | Move::Stop { .. }
            | Move::Cut { cut: true, .. }
    );
    past.silenced += u32::from(silences);
    match one {
        Move::Prompt { .. }
        | Move::Poison { .. }
        | Move::Lookup { .. }
        | Move::Seal { .. }
        | Move::SealAgain { .. } => {
            ask(world, past, one);
        }
        Move::Hangup { call } => hang_up(world, *call),
        Move::Pass { ms } => world.run(Duration::from_millis(*ms)),
        Move::Restart { .. }
        | Move::Freeze { .. }
        | Move::Thaw { .. }
        | Move::Stop { .. }
        | Move::Jump { .. } => disturb_entry(world, one),
        Move::KillEngine { engine } => world.kill_engine(ENGINES[*engine]),
        Move::RestartEngine { engine } => world.restart_engine(ENGINES[*engine]),
        Move::FreezeEngine { engine, frozen } => {
            engine_of(world, ENGINES[*engine]).frozen = *frozen;
        }
        Move::Answers {
            engine,
            lost,
            doubled,
        } => {
            let engine = engine_of(world, ENGINES[*engine]);
            engine.drop_answers = *lost;
            engine.double_answers = *doubled;
        }
        Move::Leave { target, listed } => leave(world, *target, *listed),
        Move::Treat { server, mood } => server_of(world, *server).mood = *mood,
        Move::Server { server, up, frozen } => {
            let server = server_of(world, *server);
            server.up = *up;
            server.frozen = *frozen;
        }
        Move::Cut { zone, cut: true } => world.cut_zone(ZONES[*zone]),
        Move::Cut { zone, cut: false } => world.mend_zone(ZONES[*zone]),
        Move::Log { down } => world.log.down = *down,
        Move::Lose { answers, late_ms } => {
            world.log.lose_answers = *answers;
            world.log.make_late = (*late_ms > 0).then(|| Duration::from_millis(*late_ms));
        }
        Move::List { down } => world.list_down = *down,
        Move::Publish { racing } => publish(world, past, *racing),
        Move::StaleCheckpoint => stale_checkpoint(world, past),
        Move::Resolve { key } => resolve(world, past, *key),
        Move::Noise { on } => world.noise = *on,
    }
}

fn ask(world: &mut World, past: &mut Past, one: &Move) {
    let entry = match one {
        Move::Prompt { entry, .. }
        | Move::Poison { entry, .. }
        | Move::Lookup { entry }
        | Move::Seal { entry }
        | Move::SealAgain { entry, .. } => *entry,
        _ => return,
    };
    if !world.entries[entry].alive {
        return;
    }
    match one {
        Move::Prompt {
            stem,
            length,
            count,
            ..
        } => {
            let prompt = (0..*length).map(|place| stem * 7 + place % 11).collect();
            world.prompt(entry, prompt, *count);
        }
        Move::Poison { which, .. } => {
            world.prompt(entry, vec![POISON, *which], 4);
        }
        Move::Seal { .. } => {
            let key = world.new_key();
            let print = past.keys.len() as u64;
            past.keys.push((key, print));
            world.seal(entry, key, print);
        }
        Move::SealAgain { key, other, .. } if !past.keys.is_empty() => {
            let (key, print) = past.keys[past.keys.len() - 1 - key % past.keys.len()];
            let print = if *other { print + 1_000_000 } else { print };
            world.seal(entry, key, print);
        }
        _ => {
            world.lookup(entry);
        }
    }
}

fn hang_up(world: &mut World, call: usize) {
    let mut open = world.oracle.open();
    open.sort_unstable();
    if open.is_empty() {
        return;
    }
    let id = open[call % open.len()];
    let entry = world.oracle.calls[&id].entry;
    world.tell(entry, Event::CallerGone(id));
}

fn disturb_entry(world: &mut World, one: &Move) {
    match one {
        Move::Restart { entry } => world.restart(*entry),
        Move::Freeze { entry } => world.entries[*entry].frozen = true,
        Move::Thaw { entry } if world.entries[*entry].alive => world.thaw(*entry),
        Move::Stop { entry } => world.tell(*entry, Event::Stop),
        Move::Jump { entry, seconds } => {
            world.entries[*entry].skew = Duration::from_secs(*seconds);
        }
        _ => {}
    }
}

fn engine_of<'a>(world: &'a mut World, id: &str) -> &'a mut crate::world::engine::Engine {
    world.engines.get_mut(id).expect("a known engine")
}

fn server_of(world: &mut World, index: usize) -> &mut crate::world::service::Service {
    world
        .services
        .get_mut(SERVERS[index])
        .expect("a known server")
}

fn leave(world: &mut World, target: usize, listed: bool) {
    let id = match ENGINES.get(target) {
        Some(id) => *id,
        None => SERVERS[target - ENGINES.len()],
    };
    if listed {
        world.listed_leaving.insert(id.to_owned());
        return;
    }
    if let Some(engine) = world.engines.get_mut(id) {
        if !engine.up || engine.frozen || !world.cut.is_empty() {
            return;
        }
        engine.leaving = true;
        let now = world.now;
        world.leaving_since.entry(id.to_owned()).or_insert(now);
        for entry in 0..world.entries.len() {
            world.tell(entry, Event::EngineReply(id.to_owned(), Reply::Leaving));
        }
    } else if let Some(service) = world.services.get_mut(id) {
        service.leaving = true;
    }
}

fn publish(world: &mut World, past: &mut Past, racing: bool) {
    let known = world.entries.iter().max_by_key(|entry| entry.version);
    let Some(entry) = known.filter(|entry| entry.version > 0) else {
        return;
    };
    let base = entry.version;
    if past.stale.is_none() {
        past.stale = entry.core.checkpoint();
    }
    for _ in 0..if racing { 2 } else { 1 } {
        past.published += 1;
        let name = format!("service-{}", past.published);
        let edit = Edit::Service(name, Some(Service { fencing: false }));
        world.publish_edits(base, vec![edit]);
    }
}

fn stale_checkpoint(world: &mut World, past: &Past) {
    if let Some(bytes) = past.stale.clone() {
        let wall = world.wall();
        world
            .log
            .append(wall, camphorweir_config::record::STREAM, &[bytes]);
    }
}

/// Settles a key as an operator does, who asks the service what it ran.
fn resolve(world: &mut World, past: &Past, key: usize) {
    if past.keys.is_empty() {
        return;
    }
    let (id, _) = past.keys[past.keys.len() - 1 - key % past.keys.len()];
    let listed = world.entries.iter().any(|entry| {
        let unresolved = entry.core.unresolved();
        entry.alive
            && unresolved
                .iter()
                .any(|one| one.key.id == id && one.live.unknown)
    });
    if listed {
        world.resolve(id);
    }
}

/// Ends every fault.
pub(crate) fn heal(world: &mut World) {
    world.log.down = false;
    world.log.lose_answers = 0;
    world.log.make_late = None;
    world.list_down = false;
    world.noise = false;
    world.listed_leaving.clear();
    for zone in ZONES {
        world.mend_zone(zone);
    }
    for service in world.services.values_mut() {
        service.up = true;
        service.frozen = false;
        service.leaving = false;
        service.mood = Mood::Well;
    }
    for id in ENGINES {
        world.restart_engine(id);
    }
    for entry in 0..world.entries.len() {
        world.entries[entry].skew = Duration::ZERO;
        if world.entries[entry].alive {
            world.thaw(entry);
        } else {
            world.restart(entry);
        }
    }
}
