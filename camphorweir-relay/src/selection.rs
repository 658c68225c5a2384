//! Selection of the target or path for a request, and the explanation when there is none.

use {
    crate::{
        configuration::Engine,
        fleet::Target,
        ids::{Time, Zone, ids_tag},
        path::{Demand, Offer, path_choose},
        peers::Load,
        projection::{
            projection_after_rejection, projection_cost_factor, projection_draw_two,
            projection_load, projection_room,
        },
        router::{Admission, Destination, Lack, Plan, Router},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Projected time of one hop for each token in ms: the network and the wait at the next target for
/// the pass in progress to end.
const HOP_MS_PER_TOKEN: f64 = 0.4;
/// Round trip in ms assumed for a request to another zone, when the configuration has no delay for
/// that zone.
const DEFAULT_ZONE_ROUND_TRIP_MS: f64 = 1.0;
/// A path in another zone is chosen only when it is faster by this factor at least.
const REMOTE_PATH_FACTOR: f64 = 1.15;
/// Added to that factor, in a different share for each request. What is known of other zones is
/// older than what is known of the own one, so as the own zone fills up, a growing part of the
/// requests leaves it rather than all at the same moment.
const REMOTE_FACTOR_SPREAD: f64 = 3.0;
/// Added to the cost factor of a target whose failure rate is 1, and in proportion below.
const FAILURE_RATE_WEIGHT: f64 = 20.0;
/// The cost of a target rises by up to this share, differently for each request, so that instances
/// with the same state don't all choose the same copy at the same moment.
const COST_JITTER: f64 = 0.25;
/// Cost factor on a path for a target that is ejected or in backoff.
const AVOIDED_FACTOR: f64 = 20.0;
/// Usable share of the memory of a target in the own zone; the rest is for what peers have started
/// since their last digest.
const LOCAL_MEMORY_SHARE: f64 = 0.95;
/// The same for other zones, which exchange digests less often.
const REMOTE_MEMORY_SHARE: f64 = 0.8;
/// Subtracted from the share for each peer: the more peers, the longer the time between digests.
const MEMORY_SHARE_PER_PEER: f64 = 0.002;
/// Used share of a target's memory at which the cost doubles while peer load is well known, and
/// above which the cost rises no further while it is not.
const FULL_SHARE: f64 = 0.9;
/// Time after a rejection within which what peers report may be older than the rejection: a digest and a
/// summary.
const NEWER_WORD: Duration = Duration::from_millis(300);
/// Least number of peers with which load is projected and spread. With fewer, as in a deployment of six
/// instances, load is well known, and to leave the fastest targets costs more than it saves.
const MIN_SPREAD_PEERS: usize = 40;
/// Number of peers with which a round of digests, 400 bytes to each within the rate limit, takes as
/// long as a typical stream, so that half of what they have started is unknown here.
const UNCERTAIN_PEERS: f64 = 40.0;

impl Router {
    /// Number of layers by zone and number of live copies, for metrics.
    pub fn layer_copies(&self, now: Time) -> Vec<(Zone, usize, usize)> {
        let mut layer_counts = BTreeMap::new();
        let services = self
            .configuration()
            .into_iter()
            .flat_map(|configuration| &configuration.services);
        for (name, service) in services {
            let layers = service.engine.as_ref().map_or(0, |engine| engine.layers);
            let live = self.fleet.available(name);
            let live: Vec<&Target> = live
                .filter(|target| !self.tracker.is_unresponsive(&target.id, now))
                .collect();
            let zones: BTreeSet<&Zone> = live.iter().map(|target| &target.zone).collect();
            for (zone, layer) in zones
                .into_iter()
                .flat_map(|zone| (0..layers).map(move |layer| (zone, layer)))
            {
                let is_copy = |target: &&&Target| target.zone == *zone && target.span.has(layer);
                let copies = live.iter().filter(is_copy).count();
                *layer_counts.entry((zone.clone(), copies)).or_default() += 1;
            }
        }
        let layer_counts = layer_counts.into_iter();
        layer_counts
            .map(|((zone, copies), layers)| (zone, copies, layers))
            .collect()
    }

    /// Limit on this instance's connections to each target of a service.
    fn max_connections(&self, service: &str) -> usize {
        let configuration = self.configuration();
        let service = configuration.and_then(|current| current.services.get(service));
        let total = service.map_or(0, |service| service.max_connections);
        let sharers = self.min_sharers.max(self.instance_count() as f64);
        // Half of an even share, as instances may be added and peers close connections late.
        (f64::from(total) / sharers / 2.0).max(1.0) as usize
    }

    /// Selects the target that runs a whole request.
    pub(crate) fn plan_target(&self, request: &Admission, now: Time) -> Option<Plan> {
        let engine = self.engine(&request.service);
        let is_allowed = |target: &&Target| {
            !request.excluded.contains(&target.id) && !self.tracker.is_shut(&target.id, now)
        };
        let targets = self.fleet.available(&request.service).filter(is_allowed);
        let targets = self.draw_targets(request, targets.collect(), now);
        let chosen = targets.into_iter().min_by(|a, b| {
            let cost = |target| self.target_cost_ms(target, engine, now);
            cost(a).total_cmp(&cost(b))
        })?;
        Some(Plan {
            target: chosen.id.clone(),
            address: chosen.address,
            destination: Destination::Target,
            reserved_tokens: 0.0,
            max_connections: self.max_connections(&request.service),
            chosen_at: now,
        })
    }

    /// The targets among which a request takes the cheapest: all where targets are alike, else two drawn in
    /// proportion to the slots that are projected to be free, so that instances with the same
    /// knowledge choose differently.
    fn draw_targets<'a>(
        &self,
        request: &Admission,
        targets: Vec<&'a Target>,
        now: Time,
    ) -> Vec<&'a Target> {
        if !self.is_load_spread(&request.service) {
            return targets;
        }
        let free_slots = |target: &&Target| match self.tracker.is_avoided(&target.id, now) {
            true => 0.0,
            false => f64::from(target.slots) - self.projected_load(target, now).first_hops,
        };
        let weights: Vec<f64> = targets.iter().map(free_slots).collect();
        let draw = |salt: &str| request_jitter(&request.id, salt);
        match projection_draw_two(&weights, (draw("first"), draw("second"))) {
            Some((first, second)) => vec![targets[first], targets[second]],
            None => targets,
        }
    }

    /// Projected time of a request in ms; a target that is ejected or in backoff comes last.
    fn target_cost_ms(&self, target: &Target, engine: Option<&Engine>, now: Time) -> f64 {
        let state = self.tracker.state(&target.id);
        let queued = f64::from(state.in_flight) * self.min_sharers;
        let slots = f64::from(target.slots.max(1));
        let queue_factor = 1.0 + queued / slots;
        let time =
            state.latency_ms * queue_factor * (1.0 + FAILURE_RATE_WEIGHT * state.failure_rate);
        let penalty = match self.tracker.is_avoided(&target.id, now) {
            true => 1e9,
            false => 0.0,
        };
        time + self.round_trip_ms(&target.zone, engine) + penalty
    }

    /// Network round trip to a zone in ms, 0 inside the own zone.
    fn round_trip_ms(&self, zone: &Zone, engine: Option<&Engine>) -> f64 {
        if *zone == self.zone {
            return 0.0;
        }
        let delays = engine.map_or(&[][..], |engine| &engine.delays);
        let connects =
            |a: &Zone, b: &Zone| *a == self.zone && b == zone || a == zone && *b == self.zone;
        let mut matching = delays.iter().filter(|(a, b, _)| connects(a, b));
        matching
            .next()
            .map_or(DEFAULT_ZONE_ROUND_TRIP_MS, |(_, _, ms)| 2.0 * ms)
    }

    /// Selects the path of a request through targets that hold layers.
    pub(crate) fn plan_path(
        &self,
        request: &Admission,
        engine: &Engine,
        now: Time,
    ) -> Option<Plan> {
        let zones = self.offers_by_zone(request, engine, false, now);
        // Reserves memory for an answer of mean length, as few reach their limit; a target that
        // runs out of memory nevertheless preempts its newest request.
        let answer = f64::from(request.tokens.1).min(engine.mean_tokens.1);
        let demand = Demand {
            layers: engine.layers,
            tokens: f64::from(request.tokens.0) + answer,
            hop_ms: HOP_MS_PER_TOKEN * answer,
        };
        let paths = zones.iter().filter_map(|(zone, offers)| {
            let path = path_choose(offers, &demand)?;
            let factor = self.zone_factor(request, zone);
            Some((path.cost_ms() * factor, path))
        });
        let (_, path) = paths.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let hops = path.hops().iter();
        let addresses: Option<Vec<SocketAddr>> = hops
            .map(|hop| self.fleet.get(&hop.target).map(|target| target.address))
            .collect();
        let addresses = addresses?;
        Some(Plan {
            target: path.hops().first()?.target.clone(),
            address: *addresses.first()?,
            reserved_tokens: demand.tokens,
            max_connections: self.max_connections(&request.service),
            destination: Destination::Path(path, addresses),
            chosen_at: now,
        })
    }

    /// Explains to operators why no target can take a request: which zones lack only memory, in which the
    /// limits of targets are used up, in which targets are silent, and which lack layers. Returns also what is
    /// lacking.
    pub(crate) fn explain_no_plan(&self, request: &Admission, now: Time) -> (String, Lack) {
        let Some(engine) = self.engine(&request.service) else {
            return ("No target is left.".to_owned(), Lack::Targets);
        };
        let demand = Demand {
            layers: engine.layers,
            tokens: 0.0,
            hop_ms: 0.0,
        };
        let has_path = |offers: &[Offer]| path_choose(offers, &demand).is_some();
        let with_memory = |mut offers: Vec<Offer>| {
            for offer in &mut offers {
                offer.free_token_layers = f64::INFINITY;
                offer.accepts_first_hop = !self.tracker.is_shut(&offer.target, now);
            }
            offers
        };
        let mut silent = None;
        let zones = self.offers_by_zone(request, engine, false, now).into_iter();
        let states = zones.map(|(zone, offers)| {
            let mut offers = with_memory(offers);
            if has_path(&offers) {
                return (format!("{zone} is full"), Lack::Memory);
            }
            for offer in &mut offers {
                offer.accepts_first_hop = true;
            }
            if has_path(&offers) {
                return (format!("{zone} is at its limits"), Lack::Targets);
            }
            let with_silent =
                silent.get_or_insert_with(|| self.offers_by_zone(request, engine, true, now));
            let with_silent = with_silent.remove(&zone).unwrap_or_default();
            match has_path(&with_memory(with_silent)) {
                true => (format!("{zone} has silent targets"), Lack::Answer),
                false => (format!("{zone} lacks layers"), Lack::Targets),
            }
        });
        let (texts, lacks): (Vec<String>, Vec<Lack>) = states.unzip();
        let mut known = [Lack::Memory, Lack::Answer].into_iter();
        let lack = known.find(|lack| lacks.contains(lack));
        (texts.join(", "), lack.unwrap_or(Lack::Targets))
    }

    /// Offers of the targets of each zone to a request; `with_silent` those of suspected targets too that
    /// may be sound.
    fn offers_by_zone(
        &self,
        request: &Admission,
        engine: &Engine,
        with_silent: bool,
        now: Time,
    ) -> BTreeMap<Zone, Vec<Offer>> {
        let mut zones: BTreeMap<Zone, Vec<Offer>> = BTreeMap::new();
        let available = self.fleet.available(&request.service);
        for target in available.filter(|target| !request.excluded.contains(&target.id)) {
            let offers = zones.entry(target.zone.clone()).or_default();
            let is_usable = !self.tracker.is_excluded(&target.id, now)
                || with_silent
                    && self.tracker.may_be_sound(&target.id, now)
                    && !self.tracker.is_closed(&target.id, now);
            if is_usable {
                offers.extend(self.offer(request, target, engine, now));
            }
        }
        zones
    }

    /// Cost factor of a target for the share of its memory that is known to be in use.
    ///
    /// With few peers their load is well known, and the cost grows linearly so that the fastest
    /// target can be filled up. With more peers there is more unknown load: each starts requests
    /// between its digests, and the time between digests grows with the number of peers. The cost
    /// then grows ever faster with the used share, so that the last free memory is left to requests
    /// that are in flight but unknown here.
    fn fill_factor(&self, used_share: f64) -> f64 {
        let uncertainty = (self.peers.count() as f64 / UNCERTAIN_PEERS)
            .min(1.0)
            .powi(2);
        let certain = 1.0 + used_share / FULL_SHARE;
        let uncertain = 1.0 / (1.0 - used_share.min(FULL_SHARE));
        certain + (uncertain - certain) * uncertainty
    }

    /// Cost factor of a path through an availability zone.
    fn zone_factor(&self, request: &Admission, zone: &Zone) -> f64 {
        match *zone == self.zone {
            true => 1.0,
            false => {
                let share = request_jitter(&request.id, zone);
                REMOTE_PATH_FACTOR + REMOTE_FACTOR_SPREAD * share
            }
        }
    }

    /// Share of a target's memory and slots that is used; the rest is for what peers have started and
    /// this instance does not know of yet.
    fn usable_share(&self, target: &Target) -> f64 {
        let peer_reserve = MEMORY_SHARE_PER_PEER * self.peers.count() as f64;
        match target.zone == self.zone {
            true => (LOCAL_MEMORY_SHARE - peer_reserve).max(REMOTE_MEMORY_SHARE),
            false => REMOTE_MEMORY_SHARE,
        }
    }

    /// Share of a target's memory that a request may fill up.
    fn memory_share(&self, request: &Admission, target: &Target) -> f64 {
        (self.usable_share(target) * request.admission_share).min(1.0)
    }

    /// Load of this instance and of its peers on a target.
    pub(crate) fn projected_load(&self, target: &Target, now: Time) -> Load {
        let state = self.tracker.state(&target.id);
        let tag = ids_tag(&target.id);
        let mut peers = self.peers.load(tag);
        if self.is_load_spread(&target.service)
            && let Some((rate, age)) = self.peers.rate(tag, now)
        {
            peers = projection_load(&peers, &rate, age);
        }
        Load {
            streams: f64::from(state.streams) + peers.streams,
            first_hops: f64::from(state.in_flight) + peers.first_hops,
            token_layers: state.token_layers + peers.token_layers,
        }
    }

    /// Whether the load of a service's targets is projected, and requests spread over them by it: the
    /// targets are uneven, and many peers use them.
    pub(crate) fn is_load_spread(&self, service: &str) -> bool {
        self.features(service).uneven && self.peers.count() >= MIN_SPREAD_PEERS
    }

    /// Age of the newest word on the load of a target of the own zone; `None` for other zones.
    fn known_age(&self, target: &Target, now: Time) -> Option<Duration> {
        let is_near = target.zone == self.zone;
        is_near.then(|| self.peers.age_in_zone(&self.zone, now))?
    }

    /// Factor on the memory of a target that requests use, for what is known of its load; 1 where
    /// targets are alike, or few peers use them.
    fn room_factor(&self, request: &Admission, target: &Target, engine: &Engine, now: Time) -> f64 {
        if !self.is_load_spread(&target.service) {
            return 1.0;
        }
        let age = self.known_age(target, now);
        let draw = request_jitter(&target.id, &request.id);
        projection_room(engine, age, draw) / self.usable_share(target)
    }

    /// Memory that is in use at least on a target that rejected a send of this instance, until newer
    /// word; 0 where targets are alike.
    fn rejected_load(&self, target: &Target, capacity: f64, now: Time) -> f64 {
        let rejected_at = self.tracker.rejected_at(&target.id);
        let rejected_at = rejected_at.filter(|_| self.is_load_spread(&target.service));
        let since = rejected_at.map(|at| now.saturating_sub(at));
        let since = since.filter(|since| *since < NEWER_WORD);
        since.map_or(0.0, |since| projection_after_rejection(capacity, since))
    }

    /// What a target offers to a request; `None` when it holds no layers or its hardware is
    /// unknown.
    fn offer(
        &self,
        request: &Admission,
        target: &Target,
        engine: &Engine,
        now: Time,
    ) -> Option<Offer> {
        if target.span.is_empty() {
            return None;
        }
        let hardware = engine.hardware.get(target.hardware.as_ref()?)?;
        let state = self.tracker.state(&target.id);
        let load = self.projected_load(target, now);
        let capacity = engine.free_token_layers(hardware, target.span.len())
            * self.memory_share(request, target)
            * self.room_factor(request, target, engine, now);
        let used = load
            .token_layers
            .max(self.rejected_load(target, capacity, now));
        let free = capacity - used;
        let used_share = (used / capacity.max(1.0)).min(1.0);
        let streams = load.streams;
        let (prompt, answer) = (f64::from(request.tokens.0), engine.mean_tokens.1);
        let context = (engine.mean_tokens.0 + engine.mean_tokens.1 / 2.0) / 1e3;
        let per_stream_ms = engine.stream_ms + engine.context_ms_per_1k * context;
        let token_ms = hardware.step_factor * (engine.step_ms + per_stream_ms * streams);
        let prompt_ms = hardware.prompt_factor * prompt / engine.prompt_tokens_per_ms.max(1e-3);
        // A target that failed recently is used only where no other holds its layers.
        let failure_factor = match self.tracker.is_avoided(&target.id, now) {
            true => AVOIDED_FACTOR,
            false => 1.0 + FAILURE_RATE_WEIGHT * state.failure_rate,
        };
        let jitter = 1.0 + COST_JITTER * request_jitter(&request.id, &target.id);
        let is_limited = self.tracker.is_shut(&target.id, now);
        let factor = match self.is_load_spread(&target.service) {
            true => {
                let memory = engine.free_token_layers(hardware, target.span.len());
                let draw = request_jitter(&request.id, &target.id);
                let age = self.known_age(target, now);
                failure_factor * projection_cost_factor(used / memory.max(1.0), age, draw)
            }
            false => failure_factor * jitter * self.fill_factor(used_share),
        };
        Some(Offer {
            target: target.id.clone(),
            span: target.span,
            layer_ms: (prompt_ms + answer * token_ms) * factor / f64::from(engine.layers),
            free_token_layers: free,
            // A limit counts what instances send, not what passes through from other targets.
            accepts_first_hop: !is_limited
                && load.first_hops < f64::from(target.slots) * self.memory_share(request, target),
        })
    }
}

/// A pseudo-random number in `0.0..=1.0` that is fixed for a request and a target.
fn request_jitter(request: &str, target: &str) -> f64 {
    let mixed = ids_tag(target) ^ ids_tag(request).rotate_left(16);
    f64::from(mixed.wrapping_mul(0x9e37_79b1)) / f64::from(u32::MAX)
}
