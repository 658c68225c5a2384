//! Prints the configuration of Port Louis: spoken cues on 42 cue model servers, and hall bookings.

use {
    camphorweir_config::{
        build::{Builder, key_hash},
        fault::Fault,
        model::{Document, Kind, Limits, Model, Priority},
        print,
    },
    std::{error::Error, net::SocketAddr, time::Duration},
};

/// Layers of each stage and the kind of accelerator that holds them.
const STAGES: [(u32, u32, usize); 3] = [(0, 8, 0), (8, 20, 1), (20, 28, 0)];
/// The parishes whose choirs call; the first two are large.
const PARISHES: [&str; 10] = [
    "port-louis",
    "curepipe",
    "vacoas",
    "quatre-bornes",
    "rose-hill",
    "mahebourg",
    "goodlands",
    "flacq",
    "moka",
    "souillac",
];

fn main() -> Result<(), Box<dyn Error>> {
    let document = document().map_err(|faults| format!("{faults:?}"))?;
    print!("{}", print::text(&document)?);
    Ok(())
}

/// Builds and checks the configuration.
pub(crate) fn document() -> Result<Document, Vec<Fault>> {
    let mut b = Builder::new();
    let zones = ["mu-north-a", "mu-north-b", "mu-north-c"].map(|name| b.zone(name, "mu-north"));
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        b.link([&zones[one], &zones[other]], Duration::from_millis(1), 60e6);
    }
    let a10 = b.kind(
        "a10",
        Kind {
            prefill_rate: 25_000.0,
            decode_layer_us: 1200.0,
            batch: 8,
        },
    );
    let l40 = b.kind(
        "l40",
        Kind {
            prefill_rate: 40_000.0,
            decode_layer_us: 900.0,
            batch: 16,
        },
    );
    let kinds = [a10, l40];
    let cue = b.model(
        "cue",
        Model {
            layers: 28,
            activation: 6144,
            end_token: Some(2),
        },
    );
    let [bookings, lookups] = [b.service("bookings", false), b.service("lookups", false)];
    for (z, (zone, letter)) in zones.iter().zip(["a", "b", "c"]).enumerate() {
        let at = |last: usize| SocketAddr::from(([10, 2, z as u8, last as u8], 8000));
        // The middle stage is the longest, so two more targets hold it.
        for (number, stage) in [0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2, 1, 1]
            .into_iter()
            .enumerate()
        {
            let (first, end, kind) = STAGES[stage];
            let name = format!("cue-{letter}{:02}", number + 1);
            b.engine(&name, at(10 + number), zone, &kinds[kind], &cue, first..end);
        }
        b.server(&format!("bookings-{letter}1"), at(200), zone, &bookings);
        b.server(&format!("lookups-{letter}1"), at(201), zone, &lookups);
    }
    let cues = b.pipeline("cues", &cue, 4096, 768);
    for (index, parish) in PARISHES.into_iter().enumerate() {
        let mut w = b.workspace(parish);
        let large = if index < 2 { 10.0 } else { 1.0 };
        w.key(key_hash(&format!("example key of {parish}")));
        w.limits(Limits {
            requests: 15.0 * large,
            tokens: 8000.0 * large,
            concurrent: 256,
        });
        w.tokens("cues", &cues).deadline(Duration::from_secs(45));
        w.tokens("part-tracks", &cues)
            .priority(Priority::Bulk)
            .deadline(Duration::from_secs(900));
        w.calls("book", &bookings).never_repeat();
        w.calls("hall-status", &lookups)
            .priority(Priority::Urgent)
            .deadline(Duration::from_secs(5));
    }
    b.finish()
}
