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

/// Concurrent streams.
const STREAMS: usize = 256;
/// Response lengths through which the slope is fitted, in tokens.
const TOKEN_COUNTS: [u32; 3] = [32, 64, 128];
/// Requests for a single token, which give the cost of a request.
const SINGLE_TOKEN_REQUESTS: usize = 4096;
/// Prompt lengths through which the slope is fitted, in tokens, and the requests with each.
const PROMPT_LENGTHS: ([usize; 3], usize) = ([DEFAULT_PROMPT_LENGTH, 1024, 2048], 512);
/// Prompt length of all other requests, in tokens.
const DEFAULT_PROMPT_LENGTH: usize = 64;
/// Lookups over which processor time is averaged, and the callers that send them.
const LOOKUPS: (usize, usize) = (40_000, 64);
/// Lookups whose latency is measured, through the entry and directly.
const TIMED_LOOKUPS: usize = 5000;
/// Lookups before the latency is measured.
const WARM_UP_LOOKUPS: usize = 200;

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
                let layers = fleet::stage_layers(number, stages);
                let engine = fleet::engine(model, layers, paced).await?;
                let name = format!("{model}-{number}");
                fleet::add_engine(
                    &mut document,
                    name,
                    model,
                    layers,
                    fleet::loopback_alias(index, engine.address().port()),
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
        let cpu_used = self.entry.cpu()? - before;
        Ok(cpu_used.as_secs_f64() * 1e6 / count as f64)
    }

    /// Processor time of the entry for each further token of a stream, in µs.
    async fn token(&self, model: &'static str) -> Result<f64, Failure> {
        let mut points = Vec::new();
        for tokens in TOKEN_COUNTS {
            let cpu_used = self.streams(short_prompt(model, tokens), STREAMS).await?;
            points.push((f64::from(tokens), cpu_used));
        }
        Ok(slope::line(&points).0)
    }

    /// Processor time of the entry for each further position of a prompt, in µs.
    async fn position(&self, model: &'static str) -> Result<f64, Failure> {
        let mut points = Vec::new();
        for prompt in PROMPT_LENGTHS.0 {
            let completion = Completion {
                model,
                prompt,
                tokens: 1,
            };
            let cpu_used = self.streams(completion, PROMPT_LENGTHS.1).await?;
            points.push((prompt as f64, cpu_used));
        }
        Ok(slope::line(&points).0)
    }
}

/// A request with a short prompt.
fn short_prompt(model: &'static str, tokens: u32) -> Completion {
    Completion {
        model,
        prompt: DEFAULT_PROMPT_LENGTH,
        tokens,
    }
}

/// Measures and prints processor time and latency.
pub(crate) async fn run() -> Result<(), Failure> {
    let rig = Rig::start().await?;
    for (model, ..) in MODELS {
        let body = short_prompt(model, 1).body(0);
        load::warm_up(rig.entry.callers, "/v1/completions", Some(&body)).await?;
        rig.streams(short_prompt(model, 8), STREAMS).await?;
    }
    let target = "least";
    let paced = stream_costs(&rig, "paced-1", "paced-3").await?;
    print("entry.hop.cpu", paced.hop, "us", target);
    print("entry.token.cpu", paced.token, "us", target);
    print("entry.request.cpu", paced.request, "us", target);
    let unpaced = stream_costs(&rig, "swift-1", "swift-3").await?;
    print("entry.hop.cpu.unpaced", unpaced.hop, "us", target);
    print("entry.token.cpu.unpaced", unpaced.token, "us", target);
    print("entry.request.cpu.unpaced", unpaced.request, "us", target);
    let position = rig.position("swift-3").await? - rig.position("swift-1").await?;
    let position = position / f64::from(STAGES - 1);
    print("entry.position.cpu", position * 1e3, "ns", target);
    lookup_cost(&rig).await?;
    latency(&rig).await
}

/// Parts of the processor time of streams, in µs.
struct Costs {
    /// A step on a stage and its answer.
    hop: f64,
    /// Delivery of a token to its caller.
    token: f64,
    /// A request without its tokens and hops.
    request: f64,
}

/// One stage and three differ by two hops per token; the rest of a token's cost is its delivery.
async fn stream_costs(rig: &Rig, one: &'static str, three: &'static str) -> Result<Costs, Failure> {
    let one_stage = rig.token(one).await?;
    let three_stages = rig.token(three).await?;
    let hop = (three_stages - one_stage) / f64::from(STAGES - 1);
    Ok(Costs {
        hop,
        token: one_stage - hop,
        request: rig
            .streams(short_prompt(three, 1), SINGLE_TOKEN_REQUESTS)
            .await?
            - three_stages,
    })
}

async fn lookup_cost(rig: &Rig) -> Result<(), Failure> {
    let (count, callers) = LOOKUPS;
    load::warm_up(rig.entry.callers, "/services/lookup/batches/17", None).await?;
    load::lookups(rig.entry.callers, count / 10, callers).await?;
    let before = rig.entry.cpu()?;
    load::lookups(rig.entry.callers, count, callers).await?;
    let cpu_used = (rig.entry.cpu()? - before).as_secs_f64();
    print(
        "entry.lookup.cpu",
        cpu_used * 1e6 / count as f64,
        "us",
        "least",
    );
    print(
        "entry.requests_per_core",
        count as f64 / cpu_used,
        "1/s",
        "most",
    );
    Ok(())
}

/// Alternates between the entry and the direct path, so that load on the machine affects both.
async fn latency(rig: &Rig) -> Result<(), Failure> {
    let mut through = Caller::connect(rig.entry.callers).await?;
    let mut direct = Caller::connect(rig.lookup.address()).await?;
    let mut histograms = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for number in 0..WARM_UP_LOOKUPS + TIMED_LOOKUPS {
        let through_ns = timed(&mut through, "/services/lookup/batches/17").await?;
        let direct_ns = timed(&mut direct, "/batches/17").await?;
        if number >= WARM_UP_LOOKUPS {
            histograms.0.record(through_ns)?;
            histograms.1.record(direct_ns)?;
        }
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (through, direct) = (
            histograms.0.value_at_quantile(quantile) as f64 / 1e3,
            histograms.1.value_at_quantile(quantile) as f64 / 1e3,
        );
        print(&format!("entry.direct_latency.{name}"), direct, "us", "-");
        let added = through - direct;
        print(&format!("entry.added_latency.{name}"), added, "us", "least");
    }
    Ok(())
}

/// Returns the nanoseconds from the request to the end of the response.
async fn timed(caller: &mut Caller, path: &str) -> Result<u64, Failure> {
    let start = Instant::now();
    caller.send_expecting_success(path, None).await?;
    Ok(u64::try_from(start.elapsed().as_nanos())?)
}

/// Waits until the entry at `address` reports that it is ready.
pub(crate) async fn ready(address: SocketAddr) -> Result<(), Failure> {
    load::warm_up(address, "/readyz", None).await
}
