//! Move lists with which the fuzz found a fault, shrunk; each is played as the fuzz plays it.

use crate::{
    fuzz::play,
    moves::Move::{self, *},
};

/// What the fault was, the world's seed and the moves.
fn cases() -> Vec<(&'static str, u64, Vec<Move>)> {
    vec![
        (
            "a stop whose grace passed in a freeze ended before requests that had arrived",
            0,
            vec![
                Seal { entry: 0 },
                Stop { entry: 2 },
                Freeze { entry: 2 },
                Prompt {
                    entry: 2,
                    stem: 0,
                    length: 1,
                    count: 1,
                },
                Pass { ms: 182 },
            ],
        ),
        (
            "a step that outlived its attempt crashed its target and was not counted",
            0,
            vec![
                Poison { entry: 0, which: 0 },
                Poison { entry: 0, which: 1 },
                Pass { ms: 40 },
            ],
        ),
        (
            "the same beside a frozen engine and a dead one",
            1657750905649020253,
            vec![
                Poison { entry: 1, which: 0 },
                FreezeEngine {
                    engine: 1,
                    frozen: true,
                },
                KillEngine { engine: 3 },
                Pass { ms: 3 },
                Poison { entry: 1, which: 1 },
                Pass { ms: 1 },
            ],
        ),
        (
            "a thawed entry gave a leaving target work before it had read that it leaves",
            2281382281757105224,
            vec![
                Seal { entry: 1 },
                SealAgain {
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
                Pass { ms: 3001 },
                Thaw { entry: 1 },
            ],
        ),
        (
            "a request kept apart from its like started after the like had been quarantined",
            0,
            vec![
                Poison { entry: 0, which: 0 },
                Pass { ms: 2 },
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
            "a suspect started again while a pass of it that had been given up was under way",
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
                Pass { ms: 7 },
            ],
        ),
        (
            "two entries with a like request started it again before each heard of the other's crash",
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
                Pass { ms: 3 },
            ],
        ),
    ]
}

#[test]
fn faults_found_stay_mended() {
    for (what, seed, moves) in cases() {
        println!("{what}");
        play(seed, &moves);
    }
}
