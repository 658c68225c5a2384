//! What the tasks of the front share.

use {
    crate::front::{
        boot::Clock, feed::Feed, gossip::Entries, meter::Meter, pool::Pool, stall::Reports,
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
pub struct World(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    settings: Settings,
    clock: Clock,
    desk: Mutex<Desk>,
    pool: Pool,
    reports: Reports,
    feed: Feed,
    meter: Meter,
    leads: AtomicBool,
    asking: Notify,
    closing: Notify,
    entries: Mutex<Entries>,
    reader: Mutex<Reader>,
    stopping: watch::Sender<Option<Now>>,
    open: AtomicUsize,
}

/// Counts a request until it is dropped.
#[derive(Debug)]
pub struct Open(World);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl World {
    /// The state of an entry that starts.
    pub fn new(settings: Settings, meter: Meter) -> Self {
        let desk = Desk::new(
            settings.zone.clone(),
            settings.bounds,
            SHARERS,
            rand::random(),
        );
        Self(Arc::new(Inner {
            settings,
            clock: Clock::start(),
            desk: Mutex::new(desk),
            pool: Pool::default(),
            reports: Reports::default(),
            feed: Feed::default(),
            meter,
            leads: AtomicBool::new(false),
            asking: Notify::new(),
            closing: Notify::new(),
            entries: Mutex::default(),
            reader: Mutex::default(),
            stopping: watch::channel(None).0,
            open: AtomicUsize::new(0),
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
    pub fn desk(&self) -> MutexGuard<'_, Desk> {
        self.0.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections to targets.
    pub fn pool(&self) -> &Pool {
        &self.0.pool
    }

    /// Reports of targets whose streams are quiet.
    pub fn reports(&self) -> &Reports {
        &self.0.reports
    }

    /// Metrics.
    pub fn meter(&self) -> &Meter {
        &self.0.meter
    }

    /// Says whether this entry places layers.
    pub fn set_leads(&self, leads: bool) {
        self.0.leads.store(leads, Ordering::Relaxed);
    }

    /// Whether this entry places layers.
    pub fn leads(&self) -> bool {
        self.0.leads.load(Ordering::Relaxed)
    }

    /// Wakes whoever asks silent targets, if one is to be asked.
    pub fn ask_soon(&self) {
        let now = self.now();
        if self.desk().board.is_asking(now) {
            self.0.asking.notify_one();
        }
    }

    /// Told when a target is to be asked.
    pub fn asking(&self) -> &Notify {
        &self.0.asking
    }

    /// Told when no caller is to be let in any more.
    pub fn closing(&self) -> &Notify {
        &self.0.closing
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
        self.desk().listed = listed;
    }

    fn reader(&self) -> MutexGuard<'_, Reader> {
        self.0.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where to learn from now.
    pub fn source(&self) -> Source {
        let now = self.now();
        let peers: Vec<Peer> = {
            let entries = self.entries();
            let desk = self.desk();
            let near = entries.near();
            let heard = near.filter_map(|(name, follow)| {
                let silent = desk.peers.silent(name, now)?;
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
    pub fn store_answers(&self) -> bool {
        self.source() == Source::Store && self.feed().is_sound(self.now())
    }

    /// The source did not answer.
    pub fn source_failed(&self) {
        let now = self.now();
        self.reader().peer_failed(now);
    }

    /// The store did not answer.
    pub fn store_failed(&self) {
        let now = self.now();
        self.reader().store_failed(now);
        self.feed().failed();
    }

    /// The source's knowledge is this old; returns whether it is of use.
    pub fn source_told(&self, age: Duration) -> bool {
        let now = self.now();
        self.reader().told(age, now)
    }

    /// The bounds on what callers send.
    pub fn limits(&self) -> Limits {
        let desk = self.desk();
        desk.configuration()
            .map_or_else(Limits::default, |known| known.limits)
    }

    /// Begins to stop.
    pub fn stop(&self) {
        self.0.stopping.send_replace(Some(self.now()));
    }

    /// Whether it is stopping.
    pub fn stopping(&self) -> bool {
        self.stopped_for().is_some()
    }

    /// For how long it has been stopping.
    pub fn stopped_for(&self) -> Option<Duration> {
        let since = *self.0.stopping.borrow();
        since.map(|since| self.now().saturating_sub(since))
    }

    /// Tells when it begins to stop.
    pub fn stops(&self) -> watch::Receiver<Option<Now>> {
        self.0.stopping.subscribe()
    }

    /// Counts a request that is being answered.
    pub fn open(&self) -> Open {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        Open(self.clone())
    }

    /// Requests that are being answered.
    pub fn opened(&self) -> usize {
        self.0.open.load(Ordering::Relaxed)
    }
}
