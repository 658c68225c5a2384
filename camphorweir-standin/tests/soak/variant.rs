//! Configurations and settings that differ from each other in what operators change.

use {
    rand::{Rng, rngs::SmallRng},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::Instant,
};

/// A new configuration is in force within this time.
const APPLIED: Duration = Duration::from_secs(2);
/// Part of the idle limit in force up to which callers use a connection again.
const IDLE_PART: f64 = 0.8;
/// Limits that bodies and heads of the callers stay within.
const HEAD_BYTES: [u64; 3] = [4_096, 8_192, 16_384];
const BODY_BYTES: [u64; 3] = [256, 1_024, 4_096];

/// What configurations change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Variant {
    /// Tenths of the requests that go to the annex.
    annex: u64,
    pub(crate) timeout: Duration,
    pub(crate) idle: Duration,
    head_bytes: u64,
    body_bytes: u64,
    connections: u64,
}

impl Default for Variant {
    fn default() -> Self {
        Self {
            annex: 0,
            timeout: Duration::from_secs(8),
            idle: Duration::from_secs(15),
            head_bytes: HEAD_BYTES[2],
            body_bytes: BODY_BYTES[2],
            connections: 100,
        }
    }
}

impl Variant {
    /// Draws one.
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        let millis = Duration::from_millis;
        Self {
            annex: [0, 0, 2, 5, 8, 10][rng.random_range(0..6)],
            timeout: millis([4_000, 6_000, 8_000][rng.random_range(0..3)]),
            idle: millis([1_000, 2_500, 5_000, 15_000][rng.random_range(0..4)]),
            head_bytes: HEAD_BYTES[rng.random_range(0..HEAD_BYTES.len())],
            body_bytes: BODY_BYTES[rng.random_range(0..BODY_BYTES.len())],
            connections: [20, 50, 100][rng.random_range(0..3)],
        }
    }

    /// Applies it to a configuration.
    pub(crate) fn apply(&self, site: &mut Value) {
        let annex = json!({"name": "annex", "maxConnections": self.connections});
        let services = site["services"].as_array_mut().unwrap();
        for service in services.iter_mut() {
            service["maxConnections"] = self.connections.into();
        }
        services.push(annex);
        for route in site["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = (self.timeout.as_millis() as u64).into();
            if self.annex > 0 {
                route["trafficSplit"] = json!([
                    {"service": route["service"], "weight": 10 - self.annex},
                    {"service": "annex", "weight": self.annex},
                ]);
            }
        }
        let limits = &mut site["limits"];
        limits["idleTimeoutMs"] = (self.idle.as_millis() as u64).into();
        limits["maxHeaderBytes"] = self.head_bytes.into();
        limits["maxBodyBytes"] = self.body_bytes.into();
    }
}

/// Bounds of a settings file that operators change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) drain_ms: u64,
    pub(crate) revoke_ms: u64,
    pub(crate) retry_ratio: f64,
    pub(crate) retry_slack: u64,
}

impl Bounds {
    /// Draws some that allow no more than those that entries start with.
    pub(crate) fn draw(rng: &mut SmallRng) -> Self {
        Self {
            drain_ms: rng.random_range(1_500..=2_000),
            revoke_ms: rng.random_range(4_000..=5_000),
            retry_ratio: [0.0, 0.1, 0.2][rng.random_range(0..3)],
            retry_slack: [0, 10, 100][rng.random_range(0..3)],
        }
    }
}

/// Configurations that were published, with the times.
pub(crate) type Published = Vec<(Instant, Variant)>;

/// How long callers may leave a connection idle: the part of the least idle limit that may be in force.
pub(crate) fn idle_time(published: &Published, now: Instant) -> Duration {
    let later = published.iter().skip(1).map(|(at, _)| Some(*at));
    let ends = later.chain([None]);
    let may_hold = published.iter().zip(ends);
    let may_hold = may_hold.filter(|(_, end)| end.is_none_or(|end| now < end + APPLIED));
    let least = may_hold.map(|((_, variant), _)| variant.idle).min();
    least.unwrap_or_default().mul_f64(IDLE_PART)
}

/// Route timeouts that may hold for a request that an entry admitted until a time. Keys are not trusted for
/// longer than `oldest` after a configuration was last confirmed, so no request is admitted by an older one.
pub(crate) fn timeouts(
    published: &Published,
    until: Instant,
    oldest: Duration,
) -> impl Iterator<Item = Duration> {
    let later = published.iter().skip(1).map(|(at, _)| Some(*at));
    let ends = later.chain([None]);
    let held = published.iter().zip(ends);
    let held = held
        .filter(move |((from, _), to)| *from <= until && to.is_none_or(|to| until <= to + oldest));
    held.map(|((_, variant), _)| variant.timeout)
}
