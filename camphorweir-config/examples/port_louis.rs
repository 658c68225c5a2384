//! Prints the configuration of Port Louis: spoken cues from 42 engines of the cue model, and hall
//! bookings.

use {
    camphorweir_config::{
        build::{Builder, Hosts, key_hash},
        fault::Fault,
        model::{Document, Kind, Limits, Model, Priority},
        print,
    },
    std::{process::ExitCode, time::Duration},
};

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

fn main() -> ExitCode {
    print::show(document())
}

/// Builds and checks the configuration.
pub(crate) fn document() -> Result<Document, Vec<Fault>> {
    let seconds = Duration::from_secs;
    let mut b = Builder::new();
    let names = ["mu-north-a", "mu-north-b", "mu-north-c"];
    let zones = b.region("mu-north", names, Duration::from_millis(1), 60e6);
    let a10 = b.kind("a10", Kind::new(25_000.0, 1200.0, 8));
    let l40 = b.kind("l40", Kind::new(40_000.0, 900.0, 16));
    let cue = b.model("cue", Model::new(28).end_token(2));
    let [bookings, lookups] = [b.service("bookings", false), b.service("lookups", false)];
    for (zone, net) in zones.iter().zip(0..) {
        let mut hosts = Hosts::from(([10, 2, net, 10], 8000));
        for chain in 1..=4 {
            let name = format!("cue-{zone}-{chain}");
            b.chain(
                &name,
                &mut hosts,
                zone,
                &cue,
                &[(8, &a10), (12, &l40), (8, &a10)],
            );
        }
        // The middle stage has the most layers, so two more targets hold it.
        for name in ["middle-1", "middle-2"] {
            let name = format!("cue-{zone}-{name}");
            b.engine(&name, hosts.take(), zone, &l40, &cue, 8..20);
        }
        b.server(&format!("bookings-{zone}"), hosts.take(), zone, &bookings);
        b.server(&format!("lookups-{zone}"), hosts.take(), zone, &lookups);
    }
    let cues = b.pipeline("cues", &cue, 4096, 768);
    for (number, parish) in PARISHES.into_iter().enumerate() {
        let mut w = b.workspace(parish);
        w.key(key_hash(&format!("example key of {parish}")));
        w.limits(Limits::of(if number < 2 { 150.0 } else { 15.0 }));
        w.tokens("cues", &cues).deadline(seconds(45));
        w.tokens("part-tracks", &cues)
            .priority(Priority::Bulk)
            .deadline(seconds(900));
        w.calls("book", &bookings).never_repeat();
        w.calls("hall-status", &lookups)
            .priority(Priority::Urgent)
            .deadline(seconds(5));
    }
    b.finish()
}
