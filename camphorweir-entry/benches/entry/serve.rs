//! Processor time and latency of requests and token hops.

use {
    crate::{
        Failure,
        fleet::{self, STAGES},
        load::{self, Caller, Completion},
        print,
        process::{Entry, TempDir},
        slope,
    },
    camphorweir_standin::{engine, list, log, service},
    hdrhistogram::Histogram,
    std::{net::SocketAddr, time::Instant},
};

/// Streams that are open at once.
const STREAMS: usize = 256;
/// Lengths of the answers between which the slope is taken, in tokens.
const TOKENS: [u32; 3] = [32, 64, 128];
/// Requests for one token, the intercept.
const SHORT: usize = 4096;
/// Lengths of the prompts between which the slope is taken, in tokens, and requests with each.
const PROMPTS: ([usize; 3], usize) = ([PROMPT, 1024, 2048], 512);
/// Length of a prompt where it does not matter, in tokens.
const PROMPT: usize = 64;
/// Lookups for the processor time of one, and callers that send them.
const LOOKUPS: (usize, usize) = (40_000, 64);
/// Lookups whose latency is taken each way.
const SAMPLES: usize = 5000;
/// Lookups before the latency is taken.
const UNTIMED: usize = 200;

/// Models with their stages and whether their engines take time for a step.
const MODELS: [(&str, u32, bool); 4] = [
    ("paced-1", 1, true),
    ("paced-3", STAGES, true),
    ("swift-1", 1, false),
    ("swift-3", STAGES, false),
];

/// An entry with its platform and targets.
struct Rig {
    entry: Entry,
    lookup: service::Handle,
    _log: log::Handle,
    _list: list::Handle,
    _engines: Vec<engine::Handle>,
    _folder: TempDir,
}

impl Rig {
    async fn start() -> Result<Self, Failure> {
        let log = log::spawn(log::Settings::new(fleet::any_port())).await?;
        let list = list::spawn(list::Settings {
            address: fleet::any_port(),
            lag_ms: 0,
            instances: Vec::new(),
        })
        .await?;
        let lookup = service::spawn(service::Settings::new(fleet::any_port())).await?;
        let mut document = fleet::document();
        let mut engines = Vec::new();
        for (index, (model, stages, paced)) in MODELS.into_iter().enumerate() {
            fleet::add_pipeline(&mut document, model);
            for number in 0..stages {
                let layers = fleet::stage(number, stages);
                let engine = fleet::engine(model, layers, paced).await?;
                let name = format!("{model}-{number}");
                fleet::add_engine(
                    &mut document,
                    name,
                    model,
                    layers,
                    fleet::alias(index, engine.address().port()),
                );
                engines.push(engine);
            }
        }
        fleet::add_lookup(&mut document, lookup.address());
        fleet::add_workspace(&mut document, "bench".to_owned(), fleet::KEY);
        fleet::publish(&log, &document)?;
        let folder = TempDir::new("serve")?;
        let entry = Entry::start(
            &folder,
            "entry-1",
            fleet::ZONE,
            log.address(),
            list.address(),
        )
        .await?;
        Ok(Self {
            entry,
            lookup,
            _log: log,
            _list: list,
            _engines: engines,
            _folder: folder,
        })
    }

    /// Processor time of the entry for each of `count` requests, in µs.
    async fn streams(&self, completion: Completion, count: usize) -> Result<f64, Failure> {
        let before = self.entry.cpu()?;
        load::streams(self.entry.callers, completion, count, STREAMS).await?;
        let spent = self.entry.cpu()? - before;
        Ok(spent.as_secs_f64() * 1e6 / count as f64)
    }

    /// Processor time of the entry for each further token of a stream, in µs.
    async fn token(&self, model: &'static str) -> Result<f64, Failure> {
        let mut points = Vec::new();
        for tokens in TOKENS {
            let spent = self.streams(short(model, tokens), STREAMS).await?;
            points.push((f64::from(tokens), spent));
        }
        Ok(slope::line(&points).0)
    }

    /// Processor time of the entry for each further position of a prompt, in µs.
    async fn position(&self, model: &'static str) -> Result<f64, Failure> {
        let mut points = Vec::new();
        for prompt in PROMPTS.0 {
            let completion = Completion {
                model,
                prompt,
                tokens: 1,
            };
            let spent = self.streams(completion, PROMPTS.1).await?;
            points.push((prompt as f64, spent));
        }
        Ok(slope::line(&points).0)
    }
}

/// A request with a short prompt.
fn short(model: &'static str, tokens: u32) -> Completion {
    Completion {
        model,
        prompt: PROMPT,
        tokens,
    }
}

/// Measures and prints.
pub(crate) async fn run() -> Result<(), Failure> {
    let rig = Rig::start().await?;
    for (model, ..) in MODELS {
        let body = short(model, 1).body(0);
        load::warm_up(rig.entry.callers, "/v1/completions", Some(&body)).await?;
        rig.streams(short(model, 8), STREAMS).await?;
    }
    let target = "least";
    let paced = hops(&rig, "paced-1", "paced-3").await?;
    print("entry.hop.cpu", paced.hop, "us", target);
    print("entry.token.cpu", paced.token, "us", target);
    print("entry.request.cpu", paced.request, "us", target);
    let swift = hops(&rig, "swift-1", "swift-3").await?;
    print("entry.hop.cpu.unpaced", swift.hop, "us", target);
    print("entry.token.cpu.unpaced", swift.token, "us", target);
    print("entry.request.cpu.unpaced", swift.request, "us", target);
    let position = rig.position("swift-3").await? - rig.position("swift-1").await?;
    let position = position / f64::from(STAGES - 1);
    print("entry.position.cpu", position * 1e3, "ns", target);
    per_lookup(&rig).await?;
    latency(&rig).await
}

/// Parts of the processor time of streams, in µs.
struct Parts {
    /// A step on a stage and its answer.
    hop: f64,
    /// A token's way to its caller.
    token: f64,
    /// A request without its tokens and hops.
    request: f64,
}

/// One stage and three differ by two hops a token; what is left of a token is its way to the caller.
async fn hops(rig: &Rig, one: &'static str, three: &'static str) -> Result<Parts, Failure> {
    let near = rig.token(one).await?;
    let far = rig.token(three).await?;
    let hop = (far - near) / f64::from(STAGES - 1);
    Ok(Parts {
        hop,
        token: near - hop,
        request: rig.streams(short(three, 1), SHORT).await? - far,
    })
}

async fn per_lookup(rig: &Rig) -> Result<(), Failure> {
    let (count, callers) = LOOKUPS;
    load::warm_up(rig.entry.callers, "/services/lookup/batches/17", None).await?;
    load::lookups(rig.entry.callers, count / 10, callers).await?;
    let before = rig.entry.cpu()?;
    load::lookups(rig.entry.callers, count, callers).await?;
    let spent = (rig.entry.cpu()? - before).as_secs_f64();
    print(
        "entry.lookup.cpu",
        spent * 1e6 / count as f64,
        "us",
        "least",
    );
    print(
        "entry.requests_per_core",
        count as f64 / spent,
        "1/s",
        "most",
    );
    Ok(())
}

/// Turns between the two ways, so that both meet the same machine.
async fn latency(rig: &Rig) -> Result<(), Failure> {
    let mut through = Caller::connect(rig.entry.callers).await?;
    let mut direct = Caller::connect(rig.lookup.address()).await?;
    let mut ways = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for number in 0..UNTIMED + SAMPLES {
        let first = timed(&mut through, "/services/lookup/batches/17").await?;
        let second = timed(&mut direct, "/batches/17").await?;
        if number >= UNTIMED {
            ways.0.record(first)?;
            ways.1.record(second)?;
        }
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (through, direct) = (
            ways.0.value_at_quantile(quantile) as f64 / 1e3,
            ways.1.value_at_quantile(quantile) as f64 / 1e3,
        );
        print(&format!("entry.direct_latency.{name}"), direct, "us", "-");
        let added = through - direct;
        print(&format!("entry.added_latency.{name}"), added, "us", "least");
    }
    Ok(())
}

/// Nanoseconds from the request to the whole answer.
async fn timed(caller: &mut Caller, path: &str) -> Result<u64, Failure> {
    let start = Instant::now();
    caller.served(path, None).await?;
    Ok(u64::try_from(start.elapsed().as_nanos())?)
}

/// Where callers are served, for parts that only need an entry that answers.
pub(crate) async fn ready(address: SocketAddr) -> Result<(), Failure> {
    load::warm_up(address, "/readyz", None).await
}
