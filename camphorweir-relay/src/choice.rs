//! Where a request goes: the target of a call, the path of a stream, and why there is none.

use {
    crate::{
        desk::{Desk, Plan, Ticket},
        fleet::Target,
        ids::{Now, Zone, ids_tag},
        path::{Need, Part, path_choose},
        site::Engine,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Projected time of one hop for each token in ms: the way to the next target and its wait for the
/// end of the pass under way.
const HOP_MS: f64 = 0.4;
/// Added for a call to another zone in ms, when the configuration names no delay.
const ZONE_MS: f64 = 1.0;
/// How much a stream in another zone must be faster there to go there.
const ZONE_FACTOR: f64 = 1.15;
/// How much a failing target's calls count as slower, for a share of failures of 1.
const FAILING_FACTOR: f64 = 20.0;
/// Targets count as slower by up to this part, differently for each request, so that entries that
/// know the same don't all choose the same copy at the same moment.
const SPREAD: f64 = 0.25;
/// How much slower a target counts on a path after a failure.
const OUT_FACTOR: f64 = 20.0;
/// Part of a target's memory that is given away in the own zone; what peers began since their last
/// digest takes the rest.
const ROOM_NEAR: f64 = 0.95;
/// The same for other zones, whose digests are rarer.
const ROOM_FAR: f64 = 0.8;
/// Taken off for each peer: the more there are, the longer each waits to be heard again.
const ROOM_PEER: f64 = 0.002;
/// Part of a target's memory at which its steps count as twice as slow, and the fullest that is told
/// apart where little is known.
const FULL: f64 = 0.9;
/// Peers with which a round of digests takes about as long as a usual stream, so that half of what
/// they have begun is not known: 400 bytes to each, within the rate of digests.
const PEERS_VAGUE: f64 = 40.0;

impl Desk {
    /// For operators: how many layers of each zone have how many live copies.
    pub fn cover(&self, now: Now) -> Vec<(Zone, usize, usize)> {
        let mut cover = BTreeMap::new();
        let services = self
            .configuration()
            .into_iter()
            .flat_map(|site| &site.services);
        for (name, service) in services {
            let layers = service.engine.as_ref().map_or(0, |engine| engine.layers);
            let live = self.fleet.usable(name);
            let live: Vec<&Target> = live.filter(|t| !self.board.is_lost(&t.id, now)).collect();
            let zones: BTreeSet<&Zone> = live.iter().map(|target| &target.zone).collect();
            for (zone, layer) in zones
                .into_iter()
                .flat_map(|zone| (0..layers).map(move |layer| (zone, layer)))
            {
                let has = |target: &&&Target| target.zone == *zone && target.span.has(layer);
                let copies = live.iter().filter(has).count();
                *cover.entry((zone.clone(), copies)).or_default() += 1;
            }
        }
        let cover = cover.into_iter();
        cover
            .map(|((zone, copies), layers)| (zone, copies, layers))
            .collect()
    }

    fn connections(&self, service: &str) -> usize {
        let configuration = self.configuration();
        let service = configuration.and_then(|known| known.services.get(service));
        let all = service.map_or(0, |service| service.connections);
        let sharers = self.sharers.max(self.entries() as f64);
        // Entries may come and others' connections close late, so half of the even share.
        (f64::from(all) / sharers / 2.0).max(1.0) as usize
    }

    pub(crate) fn plan_call(&self, ticket: &Ticket, now: Now) -> Option<Plan> {
        let engine = self.engine(&ticket.service);
        let usable = |target: &&Target| !ticket.avoid.contains(&target.id);
        let targets = self.fleet.usable(&ticket.service).filter(usable);
        let chosen = targets.min_by(|a, b| {
            let cost = |target| self.call_cost(target, engine, now);
            cost(a).total_cmp(&cost(b))
        })?;
        Some(Plan {
            target: chosen.id.clone(),
            address: chosen.address,
            path: None,
            tokens: 0.0,
            connections: self.connections(&ticket.service),
            at: now,
        })
    }

    /// Projected time of a call in ms; a target that is left out comes last.
    fn call_cost(&self, target: &Target, engine: Option<&Engine>, now: Now) -> f64 {
        let mark = self.board.mark(&target.id);
        let others = f64::from(mark.calls) * self.sharers;
        let slots = f64::from(target.slots.max(1));
        let wait = 1.0 + others / slots;
        let time = mark.call_ms * wait * (1.0 + FAILING_FACTOR * mark.failing);
        let out = match self.board.is_out(&target.id, now) {
            true => 1e9,
            false => 0.0,
        };
        time + self.delay(&target.zone, engine) + out
    }

    fn delay(&self, zone: &Zone, engine: Option<&Engine>) -> f64 {
        if *zone == self.zone {
            return 0.0;
        }
        let delays = engine.map_or(&[][..], |engine| &engine.delays);
        let joins =
            |a: &Zone, b: &Zone| *a == self.zone && b == zone || a == zone && *b == self.zone;
        let mut found = delays.iter().filter(|(a, b, _)| joins(a, b));
        found.next().map_or(ZONE_MS, |(_, _, ms)| 2.0 * ms)
    }

    pub(crate) fn plan_path(&self, ticket: &Ticket, engine: &Engine, now: Now) -> Option<Plan> {
        let zones = self.zones(ticket, engine, now);
        // Few answers are as long as they may be, and a target moves the newest request aside when
        // memory runs out all the same; so the mean is reserved.
        let answer = f64::from(ticket.tokens.1).min(engine.usual.1);
        let need = Need {
            layers: engine.layers,
            tokens: f64::from(ticket.tokens.0) + answer,
            hop_ms: HOP_MS * answer,
        };
        let paths = zones.iter().filter_map(|(zone, parts)| {
            let path = path_choose(parts, &need)?;
            let factor = match *zone == self.zone {
                true => 1.0,
                false => ZONE_FACTOR,
            };
            Some((path.cost() * factor, path))
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
            tokens: need.tokens,
            connections: self.connections(&ticket.service),
            path: Some((path, addresses)),
            at: now,
        })
    }

    /// Says for an operator which zones could have served a request but for memory, and whether any
    /// could.
    pub(crate) fn why_none(&self, ticket: &Ticket, now: Now) -> (String, bool) {
        let Some(engine) = self.engine(&ticket.service) else {
            return ("No target is left.".to_owned(), false);
        };
        let need = Need {
            layers: engine.layers,
            tokens: 0.0,
            hop_ms: 0.0,
        };
        let zones = self.zones(ticket, engine, now).into_iter();
        let states = zones.map(|(zone, mut parts)| {
            for part in &mut parts {
                (part.room, part.first) = (f64::INFINITY, true);
            }
            match path_choose(&parts, &need) {
                Some(_) => (format!("{zone} is full"), true),
                None => (format!("{zone} lacks layers"), false),
            }
        });
        let (texts, full): (Vec<String>, Vec<bool>) = states.unzip();
        (texts.join(", "), full.contains(&true))
    }

    /// What the targets of each zone offer to a request.
    fn zones(&self, ticket: &Ticket, engine: &Engine, now: Now) -> BTreeMap<Zone, Vec<Part>> {
        let mut zones: BTreeMap<Zone, Vec<Part>> = BTreeMap::new();
        let usable = self.fleet.usable(&ticket.service);
        for target in usable.filter(|target| !ticket.avoid.contains(&target.id)) {
            let parts = zones.entry(target.zone.clone()).or_default();
            if !self.board.is_shut(&target.id, now) {
                parts.extend(self.part(ticket, target, engine, now));
            }
        }
        zones
    }

    /// How much slower a target counts for the part of its memory that is known to be in use.
    ///
    /// Where all is known the fastest can be filled to the brim. What peers begin unheard grows with
    /// their number and with the time between their digests, which grows with it as well; there, the
    /// cost grows without bound, so that what is nearly full is left to what is under way.
    fn crowding(&self, fill: f64) -> f64 {
        let vague = (self.peers.count() as f64 / PEERS_VAGUE).min(1.0).powi(2);
        let known = 1.0 + fill / FULL;
        let unknown = 1.0 / (1.0 - fill.min(FULL));
        known + (unknown - known) * vague
    }

    fn part(&self, ticket: &Ticket, target: &Target, engine: &Engine, now: Now) -> Option<Part> {
        if target.span.is_empty() {
            return None;
        }
        let hardware = engine.kinds.get(target.hardware.as_ref()?)?;
        let mark = self.board.mark(&target.id);
        let others = self.peers.others(ids_tag(&target.id));
        let unheard = ROOM_PEER * self.peers.count() as f64;
        let part = match target.zone == self.zone {
            true => (ROOM_NEAR - unheard).max(ROOM_FAR),
            false => ROOM_FAR,
        };
        let room = engine.room(hardware, target.span.len()) * part;
        let kept = mark.token_layers + others.token_layers;
        let left = room - kept;
        let fill = (kept / room.max(1.0)).min(1.0);
        let writers = f64::from(mark.streams) + others.streams;
        let (prompt, answer) = (f64::from(ticket.tokens.0), engine.usual.1);
        let context = (engine.usual.0 + engine.usual.1 / 2.0) / 1e3;
        let each = engine.writer_ms + engine.context_ms * context;
        let step = hardware.step * (engine.step_ms + each * writers);
        let read = hardware.read * prompt / engine.read_per_ms.max(1e-3);
        // One that failed lately is used only where there is no other with its layers.
        let failed = match self.board.is_out(&target.id, now) {
            true => OUT_FACTOR,
            false => 1.0 + FAILING_FACTOR * mark.failing,
        };
        let spread = 1.0 + SPREAD * draw_for(&ticket.id, &target.id);
        let busy = failed * spread * self.crowding(fill);
        Some(Part {
            target: target.id.clone(),
            span: target.span,
            layer_ms: (read + answer * step) * busy / f64::from(engine.layers),
            room: left,
            first: f64::from(mark.calls) + others.first < f64::from(target.slots) * part,
        })
    }
}

/// A number in `0.0..1.0` that is the same for one request and target.
fn draw_for(request: &str, target: &str) -> f64 {
    let mixed = ids_tag(target) ^ ids_tag(request).rotate_left(16);
    f64::from(mixed.wrapping_mul(0x9e37_79b1)) / f64::from(u32::MAX)
}
