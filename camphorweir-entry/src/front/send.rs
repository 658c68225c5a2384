//! One send of a request, which releases its reservations however it ends.

use {
    crate::front::{cut::Cause, request::cut_whole, state::State, waiting::waiting_wake},
    camphorweir_relay::{
        retry::Decision,
        router::{Admission, Outcome, Plan},
    },
    camphorweir_wire::code::Code,
};

/// Releases the capacity reserved for a send when its future is dropped, as when the caller
/// disconnects.
#[derive(Debug)]
pub struct SendGuard<'a> {
    state: &'a State,
    /// The request.
    pub admitted: &'a mut Admission,
    /// `None` once the send has ended, or goes on under another guard.
    pub plan: Option<Plan>,
    /// Whether a caller that leaves during the send is recorded here.
    is_first: bool,
}

impl<'a> SendGuard<'a> {
    /// Guards the reservations of a plan. `is_first` where the caller has no part of an answer yet.
    pub fn new(state: &'a State, admitted: &'a mut Admission, plan: Plan, is_first: bool) -> Self {
        Self {
            state,
            admitted,
            plan: Some(plan),
            is_first,
        }
    }

    /// Ends the send; returns what to do after a failed one.
    pub fn finish_send(&mut self, outcome: Outcome) -> Decision {
        let now = self.state.now();
        match self.plan.take() {
            Some(plan) => {
                let mut router = self.state.router();
                let decision = router.finish_send(self.admitted, &plan, outcome, now);
                drop(router);
                waiting_wake(self.state, &self.admitted.service);
                decision
            }
            None => Decision::End(Code::Internal),
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let Some(plan) = &self.plan else {
            return;
        };
        if self.is_first {
            cut_whole(self.state, self.admitted, plan, Cause::Caller);
        }
        self.finish_send(Outcome::Cancelled);
    }
}
