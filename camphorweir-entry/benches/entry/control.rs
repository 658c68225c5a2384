//! Processor time and traffic of idle entries: heartbeats, polling the instance list, reading the
//! ends of log streams, and engine reports.

use {
    crate::{
        Failure,
        fleet::{self, STAGES},
        print,
        process::{Entry, TempDir},
        relay::Relay,
        serve, slope,
    },
    camphorweir_standin::{engine, list, log},
    camphorweir_wire::list::{Instance, Role, State},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Numbers of entries through which the slope is fitted.
const ENTRY_COUNTS: [usize; 4] = [3, 9, 18, 36];
/// Number of targets while the number of entries varies.
const BASE_TARGETS: usize = 6;
/// Numbers of targets through which the slope is fitted, with the least number of entries.
const TARGET_COUNTS: [usize; 4] = [6, 48, 96, 192];
/// Numbers of entries and targets expected in two years.
const EXPECTED_SIZE: (f64, f64) = (370.0, 2200.0);
/// Time for entries to find each other and their targets.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time over which processor time and bytes are measured.
const MEASURED_TIME: Duration = Duration::from_secs(8);

/// Cost of control traffic for one entry.
#[derive(Clone, Copy)]
struct Cost {
    /// Percent of a core.
    cpu: f64,
    /// KB/s to and from the log service.
    log: f64,
    /// KB/s to and from the instance list.
    list: f64,
    /// KB/s to and from peers.
    peers: f64,
    /// KB/s to and from engines.
    links: f64,
}

impl Cost {
    fn bytes(&self) -> f64 {
        self.log + self.list + self.peers + self.links
    }
}

/// Measures the costs at several numbers of entries and targets, and prints them and their
/// extrapolation to [`EXPECTED_SIZE`] beside its limits.
pub(crate) async fn run() -> Result<(), Failure> {
    let mut by_entries = Vec::new();
    for entries in ENTRY_COUNTS {
        let cost = measure(entries, BASE_TARGETS).await?;
        report(&format!("entries_{entries}"), cost);
        by_entries.push((entries as f64, cost));
    }
    let mut by_targets = Vec::new();
    for targets in TARGET_COUNTS {
        let cost = measure(ENTRY_COUNTS[0], targets).await?;
        report(&format!("targets_{targets}"), cost);
        by_targets.push((targets as f64, cost));
    }
    let cpu = extrapolate("cpu", &by_entries, &by_targets, |cost| cost.cpu);
    let bytes = extrapolate("bytes", &by_entries, &by_targets, Cost::bytes);
    print("entry.control.cpu", cpu, "%", "<=1.5");
    print("entry.control.bytes", bytes, "KB/s", "<=13");
    Ok(())
}

fn report(name: &str, cost: Cost) {
    let line = |what: &str, value: f64, unit: &str| {
        print(&format!("entry.control.{what}.{name}"), value, unit, "-");
    };
    line("cpu", cost.cpu, "%");
    line("bytes", cost.bytes(), "KB/s");
    line("bytes.log", cost.log, "KB/s");
    line("bytes.list", cost.list, "KB/s");
    line("bytes.peers", cost.peers, "KB/s");
    line("bytes.links", cost.links, "KB/s");
}

/// Extrapolates the cost linearly, by entries and by targets, to the expected size.
fn extrapolate(
    name: &str,
    by_entries: &[(f64, Cost)],
    by_targets: &[(f64, Cost)],
    of: impl Fn(&Cost) -> f64,
) -> f64 {
    let points = |costs: &[(f64, Cost)]| -> Vec<(f64, f64)> {
        costs.iter().map(|(x, cost)| (*x, of(cost))).collect()
    };
    let (for_entry, base) = slope::line(&points(by_entries));
    let (for_target, _) = slope::line(&points(by_targets));
    let unit = if name == "cpu" { "%" } else { "KB/s" };
    let line = |what: &str, value| print(&format!("entry.control.{name}.{what}"), value, unit, "-");
    line("base", base);
    line("per_entry", for_entry);
    line("per_target", for_target);
    let targets = EXPECTED_SIZE.1 - BASE_TARGETS as f64;
    base + for_entry * EXPECTED_SIZE.0 + for_target * targets
}

/// Relays in front of everything that entries connect to.
struct Relays {
    log: Relay,
    list: Relay,
    engines: Vec<Relay>,
    peers: Vec<Relay>,
}

impl Relays {
    fn bytes(&self) -> [u64; 4] {
        let sum = |relays: &[Relay]| relays.iter().map(Relay::bytes).sum();
        [
            self.log.bytes(),
            self.list.bytes(),
            sum(&self.peers),
            sum(&self.engines),
        ]
    }
}

async fn measure(entries: usize, targets: usize) -> Result<Cost, Failure> {
    let log = log::spawn(log::Settings::new(fleet::any_port())).await?;
    let list = list::spawn(list::Settings {
        address: fleet::any_port(),
        lag_ms: 0,
        instances: Vec::new(),
    })
    .await?;
    let mut engines: Vec<engine::Handle> = Vec::new();
    for number in 0..STAGES {
        engines.push(fleet::engine("model", fleet::stage_layers(number, STAGES), false).await?);
    }
    let mut relays = Relays {
        log: Relay::start(log.address()).await?,
        list: Relay::start(list.address()).await?,
        engines: Vec::new(),
        peers: Vec::new(),
    };
    for engine in &engines {
        relays.engines.push(Relay::start(engine.address()).await?);
    }
    publish(&log, &relays, targets)?;
    let folder = TempDir::new("control")?;
    let mut members = Vec::new();
    for number in 0..entries {
        let name = format!("entry-{number:03}");
        let (log, list) = (relays.log.address(0), relays.list.address(0));
        let entry = Entry::start(&folder, &name, fleet::ZONE, log, list).await?;
        relays.peers.push(Relay::start(entry.peers).await?);
        members.push((name, entry));
    }
    list.set(instances(&members, &relays, targets));
    for (_, entry) in &members {
        serve::ready(entry.callers).await?;
    }
    sleep(SETTLE_TIME).await;
    measure_cost(&members, &relays).await
}

async fn measure_cost(members: &[(String, Entry)], relays: &Relays) -> Result<Cost, Failure> {
    let cpu = || -> Result<f64, Failure> {
        let mut total = 0.0;
        for (_, entry) in members {
            total += entry.cpu()?.as_secs_f64();
        }
        Ok(total)
    };
    let (cpu_before, bytes_before, start) = (cpu()?, relays.bytes(), Instant::now());
    sleep(MEASURED_TIME).await;
    let (cpu_used, elapsed) = (cpu()? - cpu_before, start.elapsed().as_secs_f64());
    let entry_seconds = elapsed * members.len() as f64;
    let after = relays.bytes();
    let rate = |number: usize| (after[number] - bytes_before[number]) as f64 / 1e3 / entry_seconds;
    Ok(Cost {
        cpu: cpu_used * 100.0 / entry_seconds,
        log: rate(0),
        list: rate(1),
        // Every byte between peers is sent by one and received by another.
        peers: rate(2) * 2.0,
        links: rate(3),
    })
}

fn publish(log: &log::Handle, relays: &Relays, targets: usize) -> Result<(), Failure> {
    let mut document = fleet::document();
    fleet::add_pipeline(&mut document, "model");
    for number in 0..targets {
        let stage = number % relays.engines.len();
        let layers = fleet::stage_layers(stage as u32, STAGES);
        let name = format!("target-{number:04}");
        let address = relays.engines[stage].address(number);
        fleet::add_engine(&mut document, name, "model", layers, address);
    }
    fleet::add_workspace(&mut document, "bench".to_owned(), fleet::KEY);
    fleet::publish(log, &document).map(|_| ())
}

/// Returns the instance list: all entries and targets, at the addresses of their relays.
fn instances(members: &[(String, Entry)], relays: &Relays, targets: usize) -> Vec<Instance> {
    let instance = |name: String, role, address: String| Instance {
        name,
        role,
        address,
        zone: fleet::ZONE.to_owned(),
        state: State::Live,
    };
    let entries = members.iter().zip(&relays.peers);
    let entries = entries.map(|((name, _), relay)| {
        instance(name.clone(), Role::Entry, relay.address(0).to_string())
    });
    let targets = (0..targets).map(|number| {
        let address = relays.engines[number % relays.engines.len()].address(number);
        let name = format!("target-{number:04}");
        instance(name, Role::Target, address.to_string())
    });
    entries.chain(targets).collect()
}
