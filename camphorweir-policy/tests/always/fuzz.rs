//! Stateful fuzzing of several cores against the oracle.

use {
    crate::{
        moves::{Move, Past, any_move, heal, make},
        world::{World, oracle::Sent},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::{collections::BTreeSet, time::Duration},
};

/// Cases in CI; `CAMPHORWEIR_CASES` sets another number.
const CASES: u32 = 200;
/// Seed in CI; `CAMPHORWEIR_SEED` sets another.
const SEED: u64 = 20_261_203;
/// Time after the last fault in which everything must be settled.
const SETTLE: Duration = Duration::from_secs(100);

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: setting("CAMPHORWEIR_CASES", u64::from(CASES)) as u32,
        rng_seed: RngSeed::Fixed(setting("CAMPHORWEIR_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

/// The reference holds no state but the seed of the world: the oracle judges by what it sees.
struct Moves;

impl ReferenceStateMachine for Moves {
    type State = u64;
    type Transition = Move;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Move> {
        any_move().boxed()
    }

    fn apply(state: u64, _: &Move) -> u64 {
        state
    }
}

/// The cores and their fakes under test.
struct Cores {
    world: World,
    past: Past,
}

impl StateMachineTest for Cores {
    type SystemUnderTest = Self;
    type Reference = Moves;

    fn init_test(seed: &u64) -> Self {
        Self {
            world: World::new(*seed),
            past: Past::default(),
        }
    }

    fn apply(mut state: Self, _: &u64, one: Move) -> Self {
        make(&mut state.world, &mut state.past, &one);
        state
    }

    fn teardown(mut state: Self, _: u64) {
        heal(&mut state.world);
        state.world.run(SETTLE);
        check_settled(&state);
    }
}

/// Plays a list of moves as the fuzz does.
pub(crate) fn play(seed: u64, moves: &[Move]) {
    let mut state = Cores::init_test(&seed);
    for one in moves {
        state = Cores::apply(state, &seed, one.clone());
    }
    Cores::teardown(state, seed);
}

/// After the faults: every caller is answered, every key is accounted for, all agree.
fn check_settled(state: &Cores) {
    let world = &state.world;
    let open = world.oracle.open();
    assert!(open.is_empty(), "requests without an end: {open:?}");
    for engine in world.engines.values() {
        assert_eq!(engine.open(), 0, "an attempt was left behind");
    }
    check_versions(world);
    check_keys(world);
    check_crashes(state);
}

/// Each of the two kinds of poison crashes two targets, and as many more for each fault that keeps
/// an entry from hearing of it.
fn check_crashes(state: &Cores) {
    let allowed = 2 * 2 * (1 + state.past.silenced);
    let crashes = state.world.crashes;
    assert!(crashes <= allowed, "{crashes} crashes, {allowed} allowed");
}

fn check_versions(world: &World) {
    let live = world.entries.iter().filter(|entry| entry.alive);
    let versions: BTreeSet<u64> = live.map(|entry| entry.version).collect();
    assert!(versions.len() <= 1, "versions differ: {versions:?}");
}

/// A key that ran has a recorded outcome or is listed as unresolved.
fn check_keys(world: &World) {
    let runs = world.runs();
    for entry in world.entries.iter().filter(|entry| entry.alive) {
        let unresolved = entry.core.unresolved();
        for (id, call) in &world.oracle.calls {
            let Sent::Seal(key) = call.sent else {
                continue;
            };
            if runs.get(id).copied().unwrap_or(0) == 0 {
                continue;
            }
            let listed = unresolved.iter().any(|one| one.key.id == key);
            let recorded = entry.core.outcome(key).is_some();
            assert!(listed || recorded, "key {key:x} ran and is lost");
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_under_faults(sequential 1..80 => Cores);
}
