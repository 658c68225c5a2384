//! Rate-limited logging that never blocks a request.

use {
    crate::{
        exit::LAST_LINE_TARGET,
        log_writer::{Writer, count_dropped_line, log_panics},
        output::STDOUT,
    },
    logforth::{
        Diagnostic, Filter,
        filter::FilterResult,
        layout::JsonLayout,
        record::{FilterCriteria, Level},
    },
    std::{
        sync::{Mutex, PoisonError},
        time::Instant,
    },
};

/// Lines per second below warning level, with a burst of one second; about three for each request
/// at the highest rate of one entry at the users' sites.
const LINES_PER_SECOND: f64 = 150.0;
/// Warnings and errors per second, limited separately.
const WARNINGS_PER_SECOND: f64 = 30.0;

/// A token bucket: the lines that may be written now, and when that was computed.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    state: Mutex<(f64, Instant)>,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            state: Mutex::new((rate, Instant::now())),
        }
    }

    fn try_acquire(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (available, updated) = *state;
        let now = Instant::now();
        let available = (available + self.rate * (now - updated).as_secs_f64()).min(self.rate);
        let acquired = available >= 1.0;
        *state = (if acquired { available - 1.0 } else { available }, now);
        acquired
    }
}

/// Limits the rate of lines, separately below and from warning level.
#[derive(Debug)]
struct RateLimit {
    normal: Bucket,
    warnings: Bucket,
}

impl Filter for RateLimit {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if criteria.target() == LAST_LINE_TARGET {
            return FilterResult::Neutral;
        }
        let bucket = match criteria.level() >= Level::Warn {
            true => &self.warnings,
            false => &self.normal,
        };
        if bucket.try_acquire() {
            return FilterResult::Neutral;
        }
        count_dropped_line();
        FilterResult::Reject
    }
}

/// Starts logging to standard output, one JSON object per line; has no effect if called again in
/// the same process.
pub fn start(level: log::LevelFilter) {
    let writer = Writer::start(&STDOUT, JsonLayout::default());
    let rate_limit = RateLimit {
        normal: Bucket::new(LINES_PER_SECOND),
        warnings: Bucket::new(WARNINGS_PER_SECOND),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(rate_limit).append(writer))
        .try_apply();
    if started.is_ok() {
        log::set_max_level(level);
        log_panics();
    }
}
