//! Admission: whether a request is taken in.

use {
    crate::{
        core::Core,
        request::{Body, Head, Request},
        timer::Timer,
        timing::Timing,
    },
    camphorweir_config::model::{Route, WorkspaceId},
    camphorweir_wire::{code::Code, ids::RequestId, outcome::Refusal},
    std::time::Duration,
};

/// When to come back where nothing better is known.
pub(crate) const COME_BACK: Duration = Duration::from_secs(1);

impl Core {
    /// What is common to all requests, for one that arrives now.
    pub(crate) fn head(
        &self,
        id: RequestId,
        workspace: &WorkspaceId,
        route: &Route,
        fingerprint: u64,
    ) -> Head {
        Head {
            id,
            workspace: workspace.clone(),
            priority: route.priority,
            arrived: self.now.mono,
            deadline: self.now.mono + route.deadline(),
            fingerprint,
            attempts: 0,
            started: None,
            first_token: None,
            timing: Timing::default(),
        }
    }

    /// Takes a request in; it waits in its class's queue until it can start.
    pub(crate) fn enqueue(&mut self, head: Head, body: Body) {
        let id = head.id;
        if self.queue.push(head.priority, id).is_err() {
            let refusal = Refusal::not_run(Code::QueueFull, "the queue of this class is full");
            return self.turn_away(id, refusal.after(COME_BACK));
        }
        self.admit(head, body);
    }

    /// Takes a request in.
    pub(crate) fn admit(&mut self, head: Head, body: Body) {
        self.timers.set(head.deadline, Timer::Deadline(head.id));
        self.requests.insert(head.id, Request { head, body });
    }
}
