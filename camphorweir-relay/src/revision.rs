//! What a newer configuration means for a request that an older one admitted.
//!
//! Until a request may have run, the configuration in force decides on it as on one that arrives. From then on it is
//! answered as it was admitted, but for bounds that have become tighter.

use {
    crate::{
        access::{access_check, access_keys_trusted},
        admission::Standing,
        configuration::{Kind, Route},
        ids::{ServiceName, Time},
        progress::Progress,
        retry::{Decision, Failure, retry_decide},
        router::{Admission, Router},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    std::sync::Arc,
};

/// The kind of a request, after a configuration in which its route has another: it may run again only if
/// both allow that.
fn stricter(admitted: Kind, current: Kind) -> Kind {
    let repeats = matches!(current, Kind::Idempotent | Kind::Stream { resumable: true });
    match admitted {
        _ if repeats => admitted,
        Kind::Idempotent | Kind::AtMostOnce => Kind::AtMostOnce,
        Kind::Stream { .. } => Kind::Stream { resumable: false },
    }
}

impl Admission {
    /// Whether its caller has a part of the answer.
    fn has_answer(&self) -> bool {
        self.progress != Progress::Waiting || self.standing == Standing::Resumed
    }
}

impl Router {
    /// Whether the configuration in force has this service; true before the first configuration.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.configuration()
            .is_none_or(|current| current.services.contains_key(service))
    }

    /// Puts a request that has not run under the configuration in force: its route, service, workspace and
    /// bounds. Others are left as they are.
    ///
    /// # Errors
    ///
    /// The refusal of a request that has not run and is not allowed any more, or whose key can't be trusted; of
    /// one that may have run and may not run again.
    pub fn revise(&mut self, request: &mut Admission, now: Time) -> Result<(), Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Ok(());
        };
        let bound = self.bounds().key_revocation;
        let is_current = snapshot.configuration.version == request.configuration_version;
        if request.counts.runs > 0 {
            let (kind, max_runs) = self.revision_terms(request);
            let decision = retry_decide(kind, max_runs, &request.counts, Failure::Broken);
            return match decision {
                Decision::End(code) if !is_current => Err(self.refusal(request, code)),
                _ => Ok(()),
            };
        }
        if is_current && access_keys_trusted(snapshot, now, bound) {
            return Ok(());
        }
        let permit = access_check(Some(snapshot), &request.head, now, bound)?;
        if is_current {
            return Ok(());
        }
        let version = snapshot.configuration.version;
        let mut weights = permit.route.weights.iter();
        if !weights.any(|(service, weight)| *service == request.service && *weight > 0) {
            request.service = self.pick_service(&permit.route, now)?;
        }
        let deadline = request.arrived_at + permit.route.timeout;
        request.deadline = request.deadline.min(deadline);
        let priority = permit.owner.as_ref().and_then(|owner| owner.priority);
        request.priority = self.priority_of(&request.service, &permit.route, priority);
        request.workspace = permit.owner.map(|owner| owner.workspace.clone());
        request.route = permit.route;
        request.configuration_version = version;
        Ok(())
    }

    /// Route of a request in the configuration in force, if that is not the one that admitted it. `Err` where
    /// its key was taken away, or it has none where one is needed by now.
    fn current_route(&self, request: &Admission) -> Result<Option<&Arc<Route>>, ()> {
        let Some(current) = self.configuration() else {
            return Ok(None);
        };
        if current.version == request.configuration_version {
            return Ok(None);
        }
        let route = current.find_route(&request.head.host, &request.head.path);
        let keys = match route {
            Some(route) => current.keys_for(route),
            // Without its route a request keeps what its key allowed, if it was admitted by one.
            None => current
                .access
                .keys()
                .filter(|_| request.workspace.is_some()),
        };
        let key = request.head.key.as_ref();
        let is_allowed = keys.is_none_or(|keys| key.is_some_and(|key| keys.contains_key(key)));
        is_allowed.then_some(route).ok_or(())
    }

    /// Deadline of a request, which a configuration that lowers the timeout of its route brings forward until
    /// its caller has a part of the answer.
    pub fn revision_deadline(&self, request: &Admission) -> Time {
        match self.current_route(request) {
            Ok(Some(route)) if !request.has_answer() => {
                request.deadline.min(request.arrived_at + route.timeout)
            }
            _ => request.deadline,
        }
    }

    /// Kind of a request, and on how many targets it may run: the stricter of what its route had when it was
    /// admitted and what it has now. A request whose key was taken away runs on no further target.
    pub(crate) fn revision_terms(&self, request: &Admission) -> (Kind, u32) {
        let (kind, max_runs) = (request.route.kind, request.route.max_runs);
        match self.current_route(request) {
            Ok(Some(route)) => (stricter(kind, route.kind), max_runs.min(route.max_runs)),
            Ok(None) => (kind, max_runs),
            Err(()) => (stricter(kind, Kind::AtMostOnce), max_runs),
        }
    }

    /// Picks the service of a request that arrives, and counts it there.
    ///
    /// # Errors
    ///
    /// The refusal where the route has none.
    pub(crate) fn pick_service(
        &mut self,
        route: &Route,
        now: Time,
    ) -> Result<ServiceName, Refusal> {
        let random = self.random();
        let service = route.pick_service(random).cloned();
        let service =
            service.ok_or_else(|| Refusal::not_run(Code::NoTarget, "the route has no service"))?;
        self.budget.record_request(&service, now);
        Ok(service)
    }
}
