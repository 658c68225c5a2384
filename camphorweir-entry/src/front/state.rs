//! What the tasks of the front share.

use {
    crate::front::{
        clock::Clock, feed::Feed, gossip::Entries, metrics::Metrics, pool::Pool, stall::Reports,
    },
    camphorweir_platform::store::Record,
    camphorweir_relay::{
        desk::Desk,
        ids::Now,
        reader::{Peer, Reader, Source},
        site::Limits,
        terms::Settings,
    },
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Entries that are taken to share the targets of a zone; sheets have two or three in each.
const SHARERS: f64 = 3.0;

/// Shared state; cheap to clone.
#[derive(Clone, Debug)]
pub struct State(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    settings: Settings,
    clock: Clock,
    router: Mutex<Desk>,
    pool: Pool,
    stall_reports: Reports,
    feed: Feed,
    metrics: Metrics,
    holds_lease: AtomicBool,
    probe_wakeup: Notify,
    listener_close: Notify,
    entries: Mutex<Entries>,
    reader: Mutex<Reader>,
    stopping: watch::Sender<Option<Now>>,
    in_flight: AtomicUsize,
}

/// Counts a request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(State);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    /// The state of an entry that starts.
    pub fn new(settings: Settings, metrics: Metrics) -> Self {
        let router = Desk::new(
            settings.zone.clone(),
            settings.bounds,
            SHARERS,
            rand::random(),
        );
        Self(Arc::new(Inner {
            settings,
            clock: Clock::start(),
            router: Mutex::new(router),
            pool: Pool::default(),
            stall_reports: Reports::default(),
            feed: Feed::default(),
            metrics,
            holds_lease: AtomicBool::new(false),
            probe_wakeup: Notify::new(),
            listener_close: Notify::new(),
            entries: Mutex::default(),
            reader: Mutex::default(),
            stopping: watch::channel(None).0,
            in_flight: AtomicUsize::new(0),
        }))
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Now, on the clock of decisions.
    pub fn now(&self) -> Now {
        self.0.clock.now()
    }

    /// The decisions; never held across an await.
    pub fn router(&self) -> MutexGuard<'_, Desk> {
        self.0.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections to targets.
    pub fn pool(&self) -> &Pool {
        &self.0.pool
    }

    /// Reports of targets whose streams are quiet.
    pub fn stall_reports(&self) -> &Reports {
        &self.0.stall_reports
    }

    /// Metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    /// Says whether this entry places layers.
    pub fn set_holds_lease(&self, holds_lease: bool) {
        self.0.holds_lease.store(holds_lease, Ordering::Relaxed);
    }

    /// Whether this entry places layers.
    pub fn holds_lease(&self) -> bool {
        self.0.holds_lease.load(Ordering::Relaxed)
    }

    /// Wakes whoever asks silent targets, if one is to be asked.
    pub fn wake_prober(&self) {
        let now = self.now();
        if self.router().board.is_asking(now) {
            self.0.probe_wakeup.notify_one();
        }
    }

    /// Told when a target is to be asked.
    pub fn probe_wakeup(&self) -> &Notify {
        &self.0.probe_wakeup
    }

    /// Told when no caller is to be let in any more.
    pub fn listener_close(&self) -> &Notify {
        &self.0.listener_close
    }

    /// What is kept for followers.
    pub fn feed(&self) -> &Feed {
        &self.0.feed
    }

    /// The entries that the store lists.
    pub fn entries(&self) -> MutexGuard<'_, Entries> {
        self.0
            .entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes records of entries in; `whole` when they are the whole list.
    pub fn apply_entries(&self, records: &[Record], whole: bool) {
        let listed = self.entries().apply(self, records, whole);
        self.router().listed = listed;
    }

    fn reader(&self) -> MutexGuard<'_, Reader> {
        self.0.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where to learn from now.
    pub fn source(&self) -> Source {
        let now = self.now();
        let peers: Vec<Peer> = {
            let entries = self.entries();
            let router = self.router();
            let near = entries.same_zone();
            let heard = near.filter_map(|(name, follow)| {
                let silent = router.peers.silent(name, now)?;
                Some(Peer {
                    name: name.to_owned(),
                    address: follow,
                    silent,
                })
            });
            heard.collect()
        };
        self.reader().source(&self.settings().instance, &peers, now)
    }

    /// Whether this entry is to read the store, which answers its reader of the configuration: that
    /// one asks on while the store is away, for all others.
    pub fn is_store_reader(&self) -> bool {
        self.source() == Source::Store && self.feed().reads_on_time(self.now())
    }

    /// The source did not answer.
    pub fn peer_failed(&self) {
        let now = self.now();
        self.reader().peer_failed(now);
    }

    /// The store did not answer.
    pub fn store_failed(&self) {
        let now = self.now();
        self.reader().store_failed(now);
        self.feed().read_failed();
    }

    /// The source's knowledge is this old; returns whether it is of use.
    pub fn check_source_age(&self, age: Duration) -> bool {
        let now = self.now();
        self.reader().told(age, now)
    }

    /// The bounds on what callers send.
    pub fn limits(&self) -> Limits {
        let router = self.router();
        router
            .configuration()
            .map_or_else(Limits::default, |known| known.limits)
    }

    /// Begins to stop.
    pub fn begin_stop(&self) {
        self.0.stopping.send_replace(Some(self.now()));
    }

    /// Whether it is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_for().is_some()
    }

    /// For how long it has been stopping.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = *self.0.stopping.borrow();
        since.map(|since| self.now().saturating_sub(since))
    }

    /// Tells when it begins to stop.
    pub fn subscribe_stop(&self) -> watch::Receiver<Option<Now>> {
        self.0.stopping.subscribe()
    }

    /// Counts a request that is being answered.
    pub fn track_request(&self) -> InFlightGuard {
        self.0.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Requests that are being answered.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.load(Ordering::Relaxed)
    }
}
