//! Features that a configuration calls for, by service.

use {
    crate::configuration::{Configuration, Engine, Keys},
    std::{cmp::Ordering, collections::BTreeMap},
};

/// Least ratio between the slowest and the fastest kind of hardware of a service at which its targets count
/// as uneven.
pub const UNEVEN_RATIO: f64 = 10.0;

/// Priorities of the routes to a service, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ranks {
    /// Distinct priorities, the most urgent first.
    priorities: Vec<u8>,
}

impl Ranks {
    /// Ranks of the given priorities, in any order.
    pub fn new(priorities: impl IntoIterator<Item = u8>) -> Self {
        let mut priorities: Vec<u8> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        Self { priorities }
    }

    /// Rank of a priority, 0 for the most urgent; one that no route has, as that of a workspace may be,
    /// takes the rank of the next more urgent one.
    pub fn rank(&self, priority: u8) -> usize {
        let at_most = self.priorities.partition_point(|other| *other <= priority);
        at_most.saturating_sub(1)
    }

    /// Priority of a request, where the workspace has one of its own and `usual` is that of most workspaces.
    ///
    /// A workspace more or less urgent than most takes precedence over the order of routes; among the others
    /// the order of routes decides. A service whose routes are all equal knows the workspace's priority alone.
    pub fn priority(&self, route: u8, workspace: Option<u8>, usual: Option<u8>) -> u8 {
        let (Some(workspace), Some(usual)) = (workspace, usual) else {
            return workspace.unwrap_or(route);
        };
        match (self.priorities.as_slice(), workspace.cmp(&usual)) {
            ([] | [_], _) => workspace,
            ([first, ..], Ordering::Less) => *first,
            (_, Ordering::Equal) => route,
            ([.., last], Ordering::Greater) => *last,
        }
    }

    /// Number of ranks.
    pub fn count(&self) -> usize {
        self.priorities.len()
    }

    /// Whether some requests are more urgent than others.
    pub fn is_ordered(&self) -> bool {
        self.priorities.len() > 1
    }
}

/// What the configuration calls for at one service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Order of its requests where room is short.
    pub ranks: Ranks,
    /// Whether its targets differ so much that load is projected and shared out between zones.
    pub uneven: bool,
}

/// The features of a service under a configuration.
///
/// Linear in the routes and their weights.
pub fn features_of(configuration: &Configuration, service: &str) -> Features {
    let has_weight = |weights: &[(_, u32)]| {
        weights
            .iter()
            .any(|(name, weight)| is(name, service) && *weight > 0)
    };
    let routes = configuration.routes.iter();
    let routes = routes.filter(|route| has_weight(&route.weights));
    let engine = configuration.services.get(service);
    let engine = engine.and_then(|service| service.engine.as_ref());
    Features {
        ranks: Ranks::new(routes.map(|route| route.priority)),
        uneven: engine.is_some_and(is_uneven),
    }
}

/// The priority that most workspaces have, the most urgent of several; `None` where none has one.
///
/// Linear in the keys.
pub fn features_usual_priority(configuration: &Configuration) -> Option<u8> {
    let owners = configuration
        .access
        .keys()
        .into_iter()
        .flat_map(Keys::values);
    let priorities = owners.filter_map(|owner| Some((&owner.workspace, owner.priority?)));
    let by_workspace: BTreeMap<_, _> = priorities.collect();
    let mut counts: BTreeMap<u8, usize> = BTreeMap::new();
    for priority in by_workspace.into_values() {
        *counts.entry(priority).or_default() += 1;
    }
    let mut counts = counts.into_iter().rev();
    let first = counts.next()?;
    let most = counts.fold(
        first,
        |most, other| if other.1 >= most.1 { other } else { most },
    );
    Some(most.0)
}

fn is(name: &crate::ids::ServiceName, service: &str) -> bool {
    **name == *service
}

fn is_uneven(engine: &Engine) -> bool {
    let hardware = || engine.hardware.values();
    let steps = hardware().map(|hardware| hardware.step_factor);
    let prompts = hardware().map(|hardware| hardware.prompt_factor);
    ratio(steps) >= UNEVEN_RATIO || ratio(prompts) >= UNEVEN_RATIO
}

/// Ratio between the largest and the smallest factor; factors that are not above zero are passed over.
fn ratio(factors: impl Iterator<Item = f64>) -> f64 {
    let factors = factors.filter(|factor| *factor > 0.0);
    let bounds = factors.fold(None, |bounds: Option<(f64, f64)>, factor| {
        let (least, most) = bounds.unwrap_or((factor, factor));
        Some((least.min(factor), most.max(factor)))
    });
    bounds.map_or(1.0, |(least, most)| most / least)
}
