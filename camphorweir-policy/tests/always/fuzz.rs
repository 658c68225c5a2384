//! Stateful fuzzing of several cores, checked by the oracle.

use {
    crate::{
        transition::{History, Transition, any_transition, apply, end_all_faults},
        world::{World, oracle::Sent},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
    std::{collections::BTreeSet, time::Duration},
};

/// Number of cases in CI; `CAMPHORWEIR_CASES` overrides it.
const CASES: u32 = 200;
/// Seed in CI; `CAMPHORWEIR_SEED` overrides it.
const SEED: u64 = 20_261_203;
/// Time after the last fault within which every request must be answered.
const SETTLE: Duration = Duration::from_secs(100);

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: env_or("CAMPHORWEIR_CASES", u64::from(CASES)) as u32,
        rng_seed: RngSeed::Fixed(env_or("CAMPHORWEIR_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

/// The reference state is only the seed of the simulation: the oracle checks what happens in it.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        any_transition().boxed()
    }

    fn apply(state: u64, _: &Transition) -> u64 {
        state
    }
}

/// The simulation under test.
struct Simulation {
    world: World,
    history: History,
}

impl StateMachineTest for Simulation {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(seed: &u64) -> Self {
        Self {
            world: World::new(*seed),
            history: History::default(),
        }
    }

    fn apply(mut state: Self, _: &u64, transition: Transition) -> Self {
        apply(&mut state.world, &mut state.history, &transition);
        state
    }

    fn teardown(mut state: Self, _: u64) {
        end_all_faults(&mut state.world);
        state.world.run(SETTLE);
        check_settled(&state);
    }
}

/// Runs a list of transitions as fuzzing does.
pub(crate) fn replay(seed: u64, transitions: &[Transition]) {
    let mut state = Simulation::init_test(&seed);
    for transition in transitions {
        state = Simulation::apply(state, &seed, transition.clone());
    }
    Simulation::teardown(state, seed);
}

/// Checks that every request is answered, no attempt is left open, every key that ran is accounted
/// for and all entries have the same configuration version, and that crashes stay within the limit.
fn check_settled(state: &Simulation) {
    let world = &state.world;
    let open = world.oracle.unanswered();
    assert!(open.is_empty(), "requests without an end: {open:?}");
    for engine in world.engines.values() {
        assert_eq!(engine.open_attempts(), 0, "an attempt was left open");
    }
    check_versions(world);
    check_keys(world);
    check_crashes(state);
}

/// Each of the two poisonous prompts may crash two targets, and two more for each fault that keeps
/// entries from reporting crashes to each other.
fn check_crashes(state: &Simulation) {
    let allowed = 2 * 2 * (1 + state.history.communication_faults);
    let crashes = state.world.crashes;
    assert!(crashes <= allowed, "{crashes} crashes, {allowed} allowed");
}

fn check_versions(world: &World) {
    let live = world.entries.iter().filter(|entry| entry.alive);
    let versions: BTreeSet<u64> = live.map(|entry| entry.version).collect();
    assert!(versions.len() <= 1, "versions differ: {versions:?}");
}

/// Checks that a key that ran has a recorded outcome or is listed as unresolved.
fn check_keys(world: &World) {
    let runs = world.runs();
    for entry in world.entries.iter().filter(|entry| entry.alive) {
        let unresolved = entry.core.unresolved();
        for (id, call) in &world.oracle.calls {
            let Sent::NeverRepeat(key) = call.sent else {
                continue;
            };
            if runs.get(id).copied().unwrap_or(0) == 0 {
                continue;
            }
            let listed = unresolved.iter().any(|one| one.key.id == key);
            let recorded = entry.core.outcome(key).is_some();
            assert!(listed || recorded, "key {key:x} ran and has no record");
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_under_faults(sequential 1..80 => Simulation);
}
