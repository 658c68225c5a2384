//! Resident memory of an entry with a configuration of the size expected in two years.

use {
    crate::{
        Failure,
        fleet::{self, STAGES},
        print,
        process::{Entry, TempDir},
        serve,
    },
    camphorweir_config::model::Document,
    camphorweir_standin::{engine, list, log},
    camphorweir_wire::codec,
    std::{net::TcpListener, time::Duration},
    tokio::time::sleep,
};

/// Workspaces of the configuration.
const WORKSPACES: usize = 13_000;
/// Targets of the configuration.
const TARGETS: usize = 2200;
/// Models of the configuration.
const MODELS: usize = 4;
/// Targets that cover every stage of every model once.
const MIN_TARGETS: usize = MODELS * STAGES as usize;
/// Time for an entry to apply the configuration and to try to connect to its targets.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Bytes of a megabyte.
const MB: f64 = 1e6;

/// Measures and prints the memory.
pub(crate) async fn run() -> Result<(), Failure> {
    let closed_port = closed_port()?;
    let full_document = document(WORKSPACES, TARGETS, [closed_port; STAGES as usize]);
    let size = codec::encode(&full_document).len() as f64;
    print("entry.control.document", size / MB, "MB", "-");
    let empty = resident_bytes(0, MIN_TARGETS, [closed_port; STAGES as usize]).await?;
    print("entry.control.memory.empty", empty / MB, "MB", "-");
    let with_workspaces =
        resident_bytes(WORKSPACES, MIN_TARGETS, [closed_port; STAGES as usize]).await?;
    print(
        "entry.control.memory.workspaces",
        with_workspaces / MB,
        "MB",
        "-",
    );
    let unlinked = resident_bytes(WORKSPACES, TARGETS, [closed_port; STAGES as usize]).await?;
    print("entry.control.memory.unlinked", unlinked / MB, "MB", "<64");
    let mut engines: Vec<engine::Handle> = Vec::new();
    for number in 0..STAGES {
        engines.push(fleet::engine("model-0", fleet::stage_layers(number, STAGES), false).await?);
    }
    let ports = [0, 1, 2].map(|number: usize| engines[number].address().port());
    let linked = resident_bytes(WORKSPACES, TARGETS, ports).await?;
    print("entry.control.memory", linked / MB, "MB", "<64");
    Ok(())
}

/// Returns a configuration of this size; all engines of a stage share one port.
fn document(workspaces: usize, targets: usize, ports: [u16; STAGES as usize]) -> Document {
    let mut document = fleet::document();
    for number in 0..MODELS {
        fleet::add_pipeline(&mut document, &format!("model-{number}"));
    }
    for number in 0..targets {
        let stage = number % ports.len();
        let layers = fleet::stage_layers(stage as u32, STAGES);
        let model = format!("model-{}", number % MODELS);
        let name = format!("target-{number:04}");
        fleet::add_engine(
            &mut document,
            name,
            &model,
            layers,
            fleet::loopback_alias(number, ports[stage]),
        );
    }
    for number in 0..workspaces {
        let name = format!("workspace-{number:05}");
        fleet::add_workspace(&mut document, name.clone(), &name);
    }
    document
}

/// Returns a port without a listener.
fn closed_port() -> Result<u16, Failure> {
    Ok(TcpListener::bind(fleet::any_port())?.local_addr()?.port())
}

/// Starts an entry with such a configuration, and returns its resident bytes.
async fn resident_bytes(
    workspaces: usize,
    targets: usize,
    ports: [u16; STAGES as usize],
) -> Result<f64, Failure> {
    let log = log::spawn(log::Settings::new(fleet::any_port())).await?;
    let list = list::spawn(list::Settings {
        address: fleet::any_port(),
        lag_ms: 0,
        instances: Vec::new(),
    })
    .await?;
    let document = document(workspaces, targets, ports);
    fleet::publish(&log, &document)?;
    let folder = TempDir::new("memory")?;
    let entry = Entry::start(
        &folder,
        "entry-1",
        fleet::ZONE,
        log.address(),
        list.address(),
    )
    .await?;
    serve::ready(entry.callers).await?;
    sleep(SETTLE_TIME).await;
    entry.memory()
}
