//! Prints the configuration of Pine Hollow: burn notes on 36 log model servers, and a batch ledger.

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
const STAGES: [(u32, u32, usize); 3] = [(0, 10, 0), (10, 20, 0), (20, 32, 1)];

fn main() -> Result<(), Box<dyn Error>> {
    let document = document().map_err(|faults| format!("{faults:?}"))?;
    print!("{}", print::text(&document)?);
    Ok(())
}

/// Builds and checks the configuration.
pub(crate) fn document() -> Result<Document, Vec<Fault>> {
    let mut b = Builder::new();
    let zones = ["southeast-a", "southeast-b", "southeast-c"].map(|name| b.zone(name, "southeast"));
    for (one, other) in [(0, 1), (0, 2), (1, 2)] {
        b.link(
            [&zones[one], &zones[other]],
            Duration::from_millis(1),
            125e6,
        );
    }
    let l40 = b.kind(
        "l40",
        Kind {
            prefill_rate: 40_000.0,
            decode_layer_us: 900.0,
            batch: 16,
        },
    );
    let h100 = b.kind(
        "h100",
        Kind {
            prefill_rate: 150_000.0,
            decode_layer_us: 350.0,
            batch: 32,
        },
    );
    let kinds = [l40, h100];
    let log = b.model(
        "log",
        Model {
            layers: 32,
            activation: 8192,
            end_token: Some(2),
        },
    );
    let [ledger, status] = [b.service("ledger", true), b.service("status", false)];
    for (z, (zone, letter)) in zones.iter().zip(["a", "b", "c"]).enumerate() {
        let at = |last: usize| SocketAddr::from(([10, 1, z as u8, last as u8], 8000));
        for replica in 0..4 {
            for (stage, (first, end, kind)) in STAGES.into_iter().enumerate() {
                let name = format!("log-{letter}{}-{stage}", replica + 1);
                b.engine(
                    &name,
                    at(10 + replica * 3 + stage),
                    zone,
                    &kinds[kind],
                    &log,
                    first..end,
                );
            }
        }
        b.server(&format!("ledger-{letter}1"), at(200), zone, &ledger);
        b.server(&format!("status-{letter}1"), at(201), zone, &status);
    }
    let notes = b.pipeline("notes", &log, 8192, 1024);
    for depot in 1..=10 {
        let mut w = b.workspace(&format!("depot-{depot}"));
        let large = if depot <= 3 { 8.0 } else { 1.0 };
        w.key(key_hash(&format!("example key of depot {depot}")));
        w.limits(Limits {
            requests: 20.0 * large,
            tokens: 10_000.0 * large,
            concurrent: 256,
        });
        w.tokens("burn-notes", &notes)
            .priority(Priority::Urgent)
            .deadline(Duration::from_secs(60));
        w.tokens("moisture-reports", &notes)
            .priority(Priority::Bulk)
            .deadline(Duration::from_secs(600));
        w.calls("seal", &ledger)
            .never_repeat()
            .priority(Priority::Urgent);
        w.calls("batch-status", &status)
            .priority(Priority::Urgent)
            .deadline(Duration::from_secs(5));
    }
    b.finish()
}
