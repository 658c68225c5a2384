//! Processor time and bytes of control: no callers, only heartbeats, lists, tails and reports.

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

/// Entries between which the slope is taken.
const ENTRIES: [usize; 4] = [3, 9, 18, 36];
/// Targets while the entries vary.
const TARGETS: usize = 6;
/// Targets between which the slope is taken, before the least number of entries.
const MORE_TARGETS: [usize; 4] = [6, 48, 96, 192];
/// Entries and targets in two years.
const LATER: (f64, f64) = (370.0, 2200.0);
/// Time for entries to find each other and their targets.
const SETTLE: Duration = Duration::from_secs(4);
/// Time over which processor time and bytes are taken.
const SPAN: Duration = Duration::from_secs(8);

/// What control costs one entry.
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

/// Measures and prints.
pub(crate) async fn run() -> Result<(), Failure> {
    let mut by_entries = Vec::new();
    for entries in ENTRIES {
        let cost = measure(entries, TARGETS).await?;
        report(&format!("entries_{entries}"), cost);
        by_entries.push((entries as f64, cost));
    }
    let mut by_targets = Vec::new();
    for targets in MORE_TARGETS {
        let cost = measure(ENTRIES[0], targets).await?;
        report(&format!("targets_{targets}"), cost);
        by_targets.push((targets as f64, cost));
    }
    let cpu = later("cpu", &by_entries, &by_targets, |cost| cost.cpu);
    let bytes = later("bytes", &by_entries, &by_targets, Cost::bytes);
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

/// The cost at the later size, a straight line in entries and one in targets.
fn later(
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
    let targets = LATER.1 - TARGETS as f64;
    base + for_entry * LATER.0 + for_target * targets
}

/// Relays before everything that entries speak to.
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
        engines.push(fleet::engine("model", fleet::stage(number, STAGES), false).await?);
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
    sleep(SETTLE).await;
    span(&members, &relays).await
}

async fn span(members: &[(String, Entry)], relays: &Relays) -> Result<Cost, Failure> {
    let cpu = || -> Result<f64, Failure> {
        let mut total = 0.0;
        for (_, entry) in members {
            total += entry.cpu()?.as_secs_f64();
        }
        Ok(total)
    };
    let (spent, carried, start) = (cpu()?, relays.bytes(), Instant::now());
    sleep(SPAN).await;
    let (spent, passed) = (cpu()? - spent, start.elapsed().as_secs_f64());
    let each = passed * members.len() as f64;
    let after = relays.bytes();
    let rate = |number: usize| (after[number] - carried[number]) as f64 / 1e3 / each;
    Ok(Cost {
        cpu: spent * 100.0 / each,
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
        let layers = fleet::stage(stage as u32, STAGES);
        let name = format!("target-{number:04}");
        let address = relays.engines[stage].address(number);
        fleet::add_engine(&mut document, name, "model", layers, address);
    }
    fleet::add_workspace(&mut document, "bench".to_owned(), fleet::KEY);
    fleet::publish(log, &document).map(|_| ())
}

/// The platform's list: all entries, at their relays, and all targets.
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
