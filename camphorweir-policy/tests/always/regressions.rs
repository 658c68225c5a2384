//! Shrunk lists of transitions with which fuzzing found a fault, replayed as fuzzing runs them.

use crate::{
    fuzz::replay,
    transition::Transition::{self, *},
};

/// The fault, the seed of the simulation and the transitions of each case.
fn cases() -> Vec<(&'static str, u64, Vec<Transition>)> {
    vec![
        (
            "an entry exited with requests waiting when its stop grace ran out during a freeze",
            0,
            vec![
                NeverRepeat { entry: 0 },
                Stop { entry: 2 },
                Freeze { entry: 2 },
                Prompt {
                    entry: 2,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                Advance { ms: 182 },
            ],
        ),
        (
            "a crash by a step still running after its attempt had ended was not counted",
            0,
            vec![
                Poison { entry: 0, which: 0 },
                Poison { entry: 0, which: 1 },
                Advance { ms: 40 },
            ],
        ),
        (
            "the same, with a frozen engine and a dead one",
            1657750905649020253,
            vec![
                Poison { entry: 1, which: 0 },
                FreezeEngine {
                    engine: 1,
                    frozen: true,
                },
                KillEngine { engine: 3 },
                Advance { ms: 3 },
                Poison { entry: 1, which: 1 },
                Advance { ms: 1 },
            ],
        ),
        (
            "a resumed entry gave work to a target before reading that the target is leaving",
            2281382281757105224,
            vec![
                NeverRepeat { entry: 1 },
                RepeatKey {
                    entry: 1,
                    key: 0,
                    other: false,
                },
                Freeze { entry: 1 },
                Prompt {
                    entry: 1,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                Prompt {
                    entry: 1,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                Leave {
                    target: 1,
                    listed: false,
                },
                Advance { ms: 3001 },
                Resume { entry: 1 },
            ],
        ),
        (
            "an isolated suspect request started after a similar one had been quarantined",
            0,
            vec![
                Poison { entry: 0, which: 0 },
                Advance { ms: 2 },
                Poison { entry: 0, which: 0 },
                Prompt {
                    entry: 1,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                RestartEngine { engine: 1 },
                Poison { entry: 0, which: 1 },
            ],
        ),
        (
            "a suspect request started again while a given-up pass of it was still running",
            1788039478828524552,
            vec![
                Poison { entry: 0, which: 0 },
                FreezeEngine {
                    engine: 1,
                    frozen: true,
                },
                Prompt {
                    entry: 0,
                    stem: 0,
                    length: 16,
                    count: 1,
                },
                Poison { entry: 1, which: 1 },
                Prompt {
                    entry: 2,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                Advance { ms: 7 },
            ],
        ),
        (
            "two entries retried similar requests before either had the other's crash report",
            3341622042128039432,
            vec![
                Poison { entry: 0, which: 0 },
                FreezeEngine {
                    engine: 1,
                    frozen: true,
                },
                Prompt {
                    entry: 1,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                Poison { entry: 1, which: 1 },
                Poison { entry: 0, which: 1 },
                Advance { ms: 3 },
            ],
        ),
    ]
}

#[test]
fn found_faults_stay_fixed() {
    for (fault, seed, transitions) in cases() {
        println!("{fault}");
        replay(seed, &transitions);
    }
}
