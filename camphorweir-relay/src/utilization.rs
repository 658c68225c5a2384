//! Reserved share of the memory of targets by zone, for operators.

use {
    crate::{
        fleet::Target,
        ids::{Time, Zone, ids_tag},
        router::Router,
    },
    std::collections::BTreeMap,
};

/// Reserved share of the memory of the targets of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Of the busiest target.
    pub busiest: f64,
    /// Mean of all targets.
    pub mean: f64,
}

/// Reserved share of the memory of the targets of a zone, as known and as projected to the present.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Utilization {
    /// What peers last reported, and the own reservations.
    pub known: Share,
    /// The same, projected.
    pub projected: Share,
}

impl Router {
    /// Utilization of the targets with layers of each zone, for services with uneven hardware.
    ///
    /// Linear in the targets.
    pub fn zone_utilization(&self, now: Time) -> BTreeMap<Zone, Utilization> {
        let mut zones: BTreeMap<Zone, (Utilization, f64)> = BTreeMap::new();
        for (target, known, projected) in self.target_shares(now) {
            let (utilization, count) = zones.entry(target.zone.clone()).or_default();
            *count += 1.0;
            let shares = [
                (&mut utilization.known, known),
                (&mut utilization.projected, projected),
            ];
            for (share, value) in shares {
                share.busiest = share.busiest.max(value);
                share.mean += (value - share.mean) / *count;
            }
        }
        let zones = zones.into_iter();
        zones
            .map(|(zone, (utilization, _))| (zone, utilization))
            .collect()
    }

    /// Known and projected share of the memory of each target.
    fn target_shares(&self, now: Time) -> impl Iterator<Item = (&Target, f64, f64)> {
        self.fleet.targets().filter_map(move |target| {
            let engine = self.engine(&target.service)?;
            let hardware = engine.hardware.get(target.hardware.as_ref()?)?;
            if target.span.is_empty() || !self.features(&target.service).uneven {
                return None;
            }
            let memory = engine
                .free_token_layers(hardware, target.span.len())
                .max(1.0);
            let peers = self.peers.load(ids_tag(&target.id)).token_layers;
            let known = self.tracker.state(&target.id).token_layers + peers;
            let projected = self.projected_load(target, now).token_layers;
            Some((target, known / memory, projected / memory))
        })
    }
}
