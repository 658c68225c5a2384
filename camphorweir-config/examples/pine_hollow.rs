//! Prints the configuration of Pine Hollow: burn notes from 36 engines of the log model, and a
//! batch ledger.

use {
    camphorweir_config::{
        build::{Builder, Hosts, key_hash},
        fault::Fault,
        model::{Document, Kind, Limits, Model, Priority},
        print,
    },
    std::{process::ExitCode, time::Duration},
};

fn main() -> ExitCode {
    print::show(document())
}

/// Builds and checks the configuration.
pub(crate) fn document() -> Result<Document, Vec<Fault>> {
    let seconds = Duration::from_secs;
    let mut b = Builder::new();
    let names = ["southeast-a", "southeast-b", "southeast-c"];
    let zones = b.region("southeast", names, Duration::from_millis(1), 125e6);
    let l40 = b.kind("l40", Kind::new(40_000.0, 900.0, 16));
    let h100 = b.kind("h100", Kind::new(150_000.0, 350.0, 32));
    let log = b.model("log", Model::new(32).end_token(2));
    let [ledger, status] = [b.service("ledger", true), b.service("status", false)];
    for (zone, net) in zones.iter().zip(0..) {
        let mut hosts = Hosts::from(([10, 1, net, 10], 8000));
        for chain in 1..=4 {
            let name = format!("log-{zone}-{chain}");
            let stages = [(10, &l40), (10, &l40), (12, &h100)];
            b.chain(&name, &mut hosts, zone, &log, &stages);
        }
        b.server(&format!("ledger-{zone}"), hosts.take(), zone, &ledger);
        b.server(&format!("status-{zone}"), hosts.take(), zone, &status);
    }
    let notes = b.pipeline("notes", &log, 8192, 1024);
    for depot in 1..=10 {
        let mut w = b.workspace(&format!("depot-{depot}"));
        w.key(key_hash(&format!("example key of depot {depot}")));
        w.limits(Limits::of(if depot <= 3 { 160.0 } else { 20.0 }));
        w.tokens("burn-notes", &notes)
            .priority(Priority::Urgent)
            .deadline(seconds(60));
        w.tokens("moisture-reports", &notes)
            .priority(Priority::Bulk)
            .deadline(seconds(600));
        w.calls("seal", &ledger)
            .never_repeat()
            .priority(Priority::Urgent);
        w.calls("batch-status", &status)
            .priority(Priority::Urgent)
            .deadline(seconds(5));
    }
    b.finish()
}
