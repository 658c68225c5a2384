//! Entries, and a store and targets behind proxies.

use {
    crate::{
        address::Ports,
        entry::{BOUNDS, Entry, REVOKE},
        history::{History, Trouble},
        proxy::Proxy,
        setting,
        site::site,
        variant::{Published, Variant},
    },
    camphorweir_standin::{
        http1::Cut,
        metadata::{Behavior, Store},
        platform_target::{Setup, Target},
    },
    std::{net::Ipv4Addr, ops::Range},
    tokio::{sync::watch, time::Instant},
};

/// Keys of the two workspaces; the second is revoked and given back.
pub(crate) const KEYS: [&str; 2] = ["key-of-one", "key-of-two"];
/// Body of a call that ends its target.
pub(crate) const CRASHING: &str = "a batch that no target bears";
/// Entries of a deployment without a setting.
const ENTRIES: u64 = 3;
/// Its targets: two of the ledger, four with layers, two of the annex.
pub(crate) const ALL_TARGETS: usize = 8;
/// The first of the annex.
pub(crate) const ANNEX: usize = 6;
/// Those with layers.
pub(crate) const LAYERED: Range<usize> = 2..ANNEX;
/// Memory of a token, and tokens of a usual answer: no stream has more, so that its time can be told beforehand.
const TOKEN_BYTES: f64 = 300.0;
const USUAL_TOKENS: u64 = 6_500;

/// How many entries a deployment has.
pub(crate) fn entries() -> usize {
    setting("CAMPHORWEIR_SOAK_ENTRIES", ENTRIES) as usize
}

/// The deployment.
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) entries: Vec<Entry>,
    pub(crate) targets: Vec<(Target, Proxy)>,
    pub(crate) history: History,
    pub(crate) published: watch::Sender<Published>,
    version: u64,
    variant: Variant,
    /// When the second key was revoked and given back.
    revoked: Vec<(Instant, Option<Instant>)>,
    /// Limits that targets named, with the target and the time.
    limits: Vec<Limit>,
}

/// A limit that a target named for a while.
#[derive(Debug)]
pub(crate) struct Limit {
    /// Index of the target.
    pub(crate) target: usize,
    pub(crate) per_second: f64,
    pub(crate) since: Instant,
    /// `None` while it names the limit.
    pub(crate) until: Option<Instant>,
}

impl Deployment {
    /// Starts a store, two plain targets, four with layers, two more plain ones, and entries.
    pub(crate) async fn start(ports: Ports) -> Self {
        let mut deployment = Self {
            store: Store::default(),
            entries: Vec::new(),
            targets: Vec::new(),
            history: History::default(),
            published: watch::Sender::default(),
            version: 0,
            variant: Variant::default(),
            revoked: Vec::new(),
            limits: Vec::new(),
        };
        deployment.publish(false);
        for index in 0..ALL_TARGETS {
            let (service, kind) = match index {
                0..2 => ("ledger", ""),
                2..ANNEX => ("scribe", "half"),
                _ => ("annex", ""),
            };
            let setup = Setup {
                id: format!("{service}-{index}"),
                service: service.to_owned(),
                zone: "z".to_owned(),
                kind: kind.to_owned(),
            };
            let target = Target::spawn(setup, deployment.store.clone())
                .await
                .unwrap();
            let proxy = Proxy::open(target.address()).await;
            target.set_published_address(proxy.address);
            target.crash_on(CRASHING);
            deployment.targets.push((target, proxy));
        }
        for index in 0..entries() {
            let door = Proxy::open(deployment.store.add_listener().await.unwrap()).await;
            deployment.entries.push(Entry::new(index, door, ports));
        }
        deployment
    }

    /// Publishes the next configuration, with the second key or without it.
    pub(crate) fn publish(&mut self, revoke: bool) {
        self.version += 1;
        let keys = if revoke { &KEYS[..1] } else { &KEYS[..] };
        let mut site = site(self.version, keys);
        self.variant.apply(&mut site);
        for service in site["services"].as_array_mut().unwrap() {
            if let Some(engine) = service.get_mut("engine") {
                engine["kvTokenBytes"] = TOKEN_BYTES.into();
                engine["usual"]["answer"] = USUAL_TOKENS.into();
            }
        }
        let site = site.to_string();
        self.store.put("keyed.op", "config", site.as_bytes());
        let published = (Instant::now(), self.variant);
        self.published.send_modify(|all| all.push(published));
        let open = self.revoked.last_mut().filter(|(_, end)| end.is_none());
        match (revoke, open) {
            (true, None) => self.revoked.push((Instant::now(), None)),
            (false, Some((_, end))) => *end = Some(Instant::now()),
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Publishes another configuration, with the keys as they are.
    pub(crate) fn configure(&mut self, variant: Variant) {
        self.variant = variant;
        let is_revoked = self.revoked.last().is_some_and(|(_, end)| end.is_none());
        self.publish(is_revoked);
    }

    /// Silences a target, or lets it go on.
    pub(crate) fn silence(&mut self, target: usize, is_silent: bool) {
        let cut = is_silent.then_some(Cut::Paused);
        // All its clients come from there.
        self.targets[target].0.cut(Ipv4Addr::LOCALHOST.into(), cut);
        match is_silent {
            true => drop(self.history.begin(target, Trouble::Silent)),
            false => self.history.end(target, Trouble::Silent),
        }
    }

    /// Lets a target name a limit, or none any more.
    pub(crate) fn limit(&mut self, target: usize, limit: Option<&str>) {
        let now = Instant::now();
        let named = self
            .limits
            .iter_mut()
            .filter(|named| named.target == target);
        for named in named {
            named.until.get_or_insert(now);
        }
        self.targets[target].0.name_limits(limit.as_slice());
        if let Some(per_second) = limit.and_then(|limit| limit.parse().ok()) {
            self.limits.push(Limit {
                target,
                per_second,
                since: now,
                until: None,
            });
        }
    }

    /// Limits that targets named.
    pub(crate) fn limits(&self) -> &[Limit] {
        &self.limits
    }

    /// Whether the second key must no longer be let in at a time.
    pub(crate) fn is_revoked(&self, at: Instant) -> bool {
        let mut all = self.revoked.iter();
        all.any(|(from, to)| *from + REVOKE <= at && to.is_none_or(|to| at < to))
    }

    /// Ends what was done to a target's links, whose connections are closed.
    pub(crate) fn mend(&mut self, target: usize) {
        // Another fault may have been mended with the first.
        self.history.begin(target, Trouble::Lost);
        self.targets[target].1.mend();
        self.history.end(target, Trouble::Lost);
    }

    /// Looks whether processes have ended, which only those may that were told to.
    pub(crate) fn look(&mut self) {
        self.entries.iter_mut().for_each(Entry::look);
    }

    /// Ends every fault.
    pub(crate) async fn heal(&mut self) {
        for index in 0..ALL_TARGETS {
            self.mend(index);
        }
        self.store.set_behavior(Behavior::Sound);
        for entry in &mut self.entries {
            entry.door.mend();
            entry.go_on();
            entry.ended().await;
            entry.reload(&BOUNDS, true);
            entry.start();
        }
        self.variant = Variant::default();
        self.publish(false);
    }
}
