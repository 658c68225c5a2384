//! When a caller's connection is idle, and when an idle one is closed.

use {
    crate::activity::Activity, camphorweir_relay::configuration::Limits, std::time::Duration,
    tokio::time::Instant,
};

/// Idle connections are kept open for this long after the shutdown began: the load balancer needs
/// two checks, a second apart, to send callers elsewhere.
const STOP_IDLE_PERIOD: Duration = Duration::from_millis(2200);
/// Connections that were opened just before the process ends have this long to send a request: a few
/// scheduling turns of a caller on a busy machine.
pub const LAST_REQUESTS_WAIT: Duration = Duration::from_millis(150);
/// Callers may know of a raised limit for this long before this instance does.
const NEWS_DELAY: Duration = Duration::from_secs(2);

/// What the instance asks of its connections.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    limits: Limits,
    /// The idle limit in force before, and when it ended.
    before: (Duration, Instant),
    stopping_since: Option<Instant>,
    closing_since: Option<Instant>,
}

impl Terms {
    /// The terms of an instance that runs.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            before: (limits.idle_timeout, Instant::now()),
            stopping_since: None,
            closing_since: None,
        }
    }

    /// Largest body of a request, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.limits.body_bytes
    }

    /// Puts other limits in force; returns whether they differ.
    pub fn set_limits(&mut self, limits: Limits) -> bool {
        let has_changed = limits != self.limits;
        if has_changed {
            self.before = (self.limits.idle_timeout, Instant::now());
            self.limits = limits;
        }
        has_changed
    }

    /// Records that the shutdown begins; returns whether it had not.
    pub fn begin_stop(&mut self) -> bool {
        let is_first = self.stopping_since.is_none();
        self.stopping_since.get_or_insert_with(Instant::now);
        is_first
    }

    /// Records that the process is about to end; returns whether it was not.
    pub fn begin_close(&mut self) -> bool {
        let is_first = self.closing_since.is_none();
        self.closing_since.get_or_insert_with(Instant::now);
        is_first
    }

    /// When a connection is closed because the instance stops; `None` while it does not.
    pub fn stop_close(&self, activity: &Activity) -> Option<Instant> {
        let opened = activity.opened_at;
        let closing = self.closing_since;
        let closing = closing.map(|since| since.max(opened + LAST_REQUESTS_WAIT));
        let stopping = self.stopping_since;
        let stopping = stopping.map(|since| since.max(opened) + STOP_IDLE_PERIOD);
        closing.into_iter().chain(stopping).min()
    }
}

/// The idle limit of one connection: the longest that was in force since it became idle.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    since: Instant,
    longest: Duration,
}

impl Limit {
    /// The limit of a connection that was just opened.
    pub fn new(terms: &Terms, activity: &Activity) -> Self {
        Self {
            since: activity.idle_since,
            longest: terms.limits.idle_timeout,
        }
    }

    /// When the connection is closed if nothing arrives, by the terms now in force. A head that has
    /// begun has its own time.
    pub fn close_at(&mut self, terms: &Terms, activity: &Activity) -> Instant {
        let (before, ended_at) = terms.before;
        if self.since != activity.idle_since {
            let was_idle = activity.idle_since < ended_at;
            self.since = activity.idle_since;
            self.longest = if was_idle { before } else { Duration::ZERO };
        }
        self.longest = self.longest.max(terms.limits.idle_timeout);
        let close_at = self.since + self.longest + NEWS_DELAY;
        let close_at = terms.stop_close(activity).unwrap_or(close_at).min(close_at);
        let head_until = activity.head_since.map(|at| {
            let until = at + terms.limits.head_timeout;
            until + NEWS_DELAY
        });
        head_until.unwrap_or(close_at)
    }
}
