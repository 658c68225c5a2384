//! The budget of repeats: a part of the requests of a service, and an allowance for quiet times.

use {
    crate::ids::{Now, ServiceName},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// The budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside that in each window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Requests and repeats of each service in the last window.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Terms,
    services: HashMap<ServiceName, Spent>,
}

#[derive(Clone, Debug, Default)]
struct Spent {
    requests: VecDeque<Now>,
    repeats: VecDeque<Now>,
}

impl Budget {
    /// Other terms from now on; what is spent stays spent.
    pub fn renew(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// A budget with nothing spent.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            services: HashMap::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, service: &ServiceName, now: Now) {
        let since = now.saturating_sub(self.terms.window);
        let spent = self.services.entry(service.clone()).or_default();
        drop_before(&mut spent.requests, since);
        spent.requests.push_back(now);
    }

    /// Takes a repeat from the budget; `false` when none is left. The allowance is for all entries
    /// together, of which `share` is this one's; a silent peer's part is not taken over.
    pub fn repeat(&mut self, service: &ServiceName, now: Now, share: f64) -> bool {
        let since = now.saturating_sub(self.terms.window);
        let spent = self.services.entry(service.clone()).or_default();
        drop_before(&mut spent.requests, since);
        drop_before(&mut spent.repeats, since);
        let allowed = self.terms.ratio * spent.requests.len() as f64 + self.terms.slack * share;
        if spent.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        spent.repeats.push_back(now);
        true
    }
}

/// Each time is added and dropped once, so this is linear over the life of the budget.
fn drop_before(times: &mut VecDeque<Now>, since: Now) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}
