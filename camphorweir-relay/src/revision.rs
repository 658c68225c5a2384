//! What a newer configuration means for a request that an older one admitted.
//!
//! Until a request may have run, the configuration in force decides on it as on one that arrives. From then on it is
//! answered as it was admitted.

use {
    crate::{
        access::{access_check, access_keys_trusted},
        configuration::Route,
        ids::{ServiceName, Time},
        router::{Admission, Router},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
};

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
    /// The refusal of a request that has not run and is not allowed any more, or whose key can't be trusted.
    pub fn revise(&mut self, request: &mut Admission, now: Time) -> Result<(), Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Ok(());
        };
        let bound = self.bounds().key_revocation;
        let is_current = snapshot.configuration.version == request.configuration_version;
        if request.counts.runs > 0 || is_current && access_keys_trusted(snapshot, now, bound) {
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
