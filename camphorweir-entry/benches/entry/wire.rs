//! Encoding and decoding of the messages that every hop costs.

use {
    crate::print,
    camphorweir_wire::{
        codec,
        engine::{Command, Done, FORMAT, Frame, Layers, Reply, Step},
    },
    std::{hint::black_box, time::Instant},
};

/// Messages in a frame.
const ITEMS: usize = 64;
/// Frames that are timed.
const FRAMES: usize = 4000;
/// Runs of which the fastest counts.
const RUNS: usize = 5;

/// Measures and prints.
pub(crate) fn run() {
    let orders = Frame {
        format: FORMAT,
        items: (0..ITEMS as u64).map(step).collect(),
    };
    let replies = Frame {
        format: FORMAT,
        items: (0..ITEMS as u64).map(done).collect(),
    };
    let (steps, dones) = (codec::encode(&orders), codec::encode(&replies));
    line("wire.step.encode", || {
        drop(black_box(codec::encode(black_box(&orders))));
    });
    line("wire.step.decode", || {
        drop(black_box(codec::decode::<Frame<Command>>(black_box(
            &steps,
        ))));
    });
    line("wire.done.encode", || {
        drop(black_box(codec::encode(black_box(&replies))));
    });
    line("wire.done.decode", || {
        drop(black_box(codec::decode::<Frame<Reply>>(black_box(&dones))));
    });
    print(
        "wire.step.size",
        steps.len() as f64 / ITEMS as f64,
        "bytes",
        "least",
    );
    print(
        "wire.done.size",
        dones.len() as f64 / ITEMS as f64,
        "bytes",
        "least",
    );
}

/// Prints the nanoseconds that one message of a frame takes.
fn line(name: &str, work: impl Fn()) {
    let best = (0..RUNS).map(|_| time(&work)).fold(f64::MAX, f64::min);
    print(name, best * 1e9 / (FRAMES * ITEMS) as f64, "ns", "least");
}

fn time(work: &impl Fn()) -> f64 {
    let start = Instant::now();
    for _ in 0..FRAMES {
        work();
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
