//! Time to encode and decode the messages of a hop, and their size.

use {
    crate::print,
    camphorweir_wire::{
        codec,
        engine::{Command, Done, FORMAT, Frame, Layers, Reply, Step},
    },
    std::{hint::black_box, time::Instant},
};

/// Messages in a frame.
const ITEMS_PER_FRAME: usize = 64;
/// Frames encoded or decoded in a run.
const FRAMES_PER_RUN: usize = 4000;
/// Runs; the fastest is reported.
const RUNS: usize = 5;

/// Measures and prints the times and sizes.
pub(crate) fn run() {
    let orders = Frame {
        format: FORMAT,
        items: (0..ITEMS_PER_FRAME as u64).map(step).collect(),
    };
    let replies = Frame {
        format: FORMAT,
        items: (0..ITEMS_PER_FRAME as u64).map(done).collect(),
    };
    let (steps, dones) = (codec::encode(&orders), codec::encode(&replies));
    print_time("wire.step.encode", || {
        drop(black_box(codec::encode(black_box(&orders))));
    });
    print_time("wire.step.decode", || {
        drop(black_box(codec::decode::<Frame<Command>>(black_box(
            &steps,
        ))));
    });
    print_time("wire.done.encode", || {
        drop(black_box(codec::encode(black_box(&replies))));
    });
    print_time("wire.done.decode", || {
        drop(black_box(codec::decode::<Frame<Reply>>(black_box(&dones))));
    });
    print(
        "wire.step.size",
        steps.len() as f64 / ITEMS_PER_FRAME as f64,
        "bytes",
        "least",
    );
    print(
        "wire.done.size",
        dones.len() as f64 / ITEMS_PER_FRAME as f64,
        "bytes",
        "least",
    );
}

/// Prints the nanoseconds that one message of a frame takes.
fn print_time(name: &str, operation: impl Fn()) {
    let fastest = (0..RUNS)
        .map(|_| time_run(&operation))
        .fold(f64::MAX, f64::min);
    print(
        name,
        fastest * 1e9 / (FRAMES_PER_RUN * ITEMS_PER_FRAME) as f64,
        "ns",
        "least",
    );
}

fn time_run(operation: &impl Fn()) -> f64 {
    let start = Instant::now();
    for _ in 0..FRAMES_PER_RUN {
        operation();
    }
    start.elapsed().as_secs_f64()
}

const LAYERS: Layers = Layers { first: 4, end: 8 };

fn step(number: u64) -> Command {
    Command::Step(Step {
        request: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        attempt: 0,
        position: 300,
        layers: LAYERS,
        input: vec![number.wrapping_mul(0xbf58_476d_1ce4_e5b9)],
    })
}

fn done(number: u64) -> Reply {
    Reply::Done(Done {
        request: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        attempt: 0,
        position: 300,
        layers: LAYERS,
        output: vec![number.wrapping_mul(0xbf58_476d_1ce4_e5b9)],
        token: Some(65),
    })
}
