//! Admission: whether a request is taken in.

use {
    crate::{
        call::Ask,
        core::Core,
        pipeline::Start,
        request::{Body, Head, Request},
        timer::Timer,
        timing::Timing,
    },
    camphorweir_config::{
        model::{Priority, Route, WorkspaceId},
        view::View,
    },
    camphorweir_wire::{code::Code, ids::RequestId, outcome::Refusal},
    std::{collections::HashMap, time::Duration},
};

/// When to come back where nothing better is known.
pub(crate) const COME_BACK: Duration = Duration::from_secs(1);
/// A request below the top class is refused when its projected wait is above its spare time divided
/// by this: the projection may be wrong by as much.
const CAUTION: u32 = 4;
/// A request may take this many times the mean time of service.
const SLOWER: u32 = 2;
/// The longest that anyone is told to stay away.
const COME_BACK_MAX: Duration = Duration::from_secs(60);
/// The weight of one request in the mean time of service.
const WEIGHT: f64 = 0.05;

/// Mean time from start to end of whole answers for a unit of work, by model or service.
#[derive(Debug, Default)]
pub(crate) struct Service {
    seconds: HashMap<String, f64>,
}

impl Service {
    /// A request took this long.
    pub(crate) fn add(&mut self, request: &Request, time: Duration) {
        let time = time.as_secs_f64() / request.work() as f64;
        match self.seconds.get_mut(request.lane()) {
            Some(mean) => *mean += (time - *mean) * WEIGHT,
            None => {
                self.seconds.insert(request.lane().to_owned(), time);
            }
        }
    }

    /// The time that a request will probably take; 0 while nothing is known.
    pub(crate) fn time(&self, request: &Request) -> Duration {
        let unit = self.seconds.get(request.lane()).copied().unwrap_or(0.0);
        Duration::from_secs_f64(unit * request.work() as f64)
    }
}

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
    ///
    /// One that would probably miss its deadline is refused at once, with the time to come back.
    pub(crate) fn enqueue(&mut self, head: Head, body: Body) {
        let (id, now) = (head.id, self.now.mono);
        let request = Request { head, body };
        let service = self.service.time(&request);
        let left = request.head.deadline - now;
        let spare = match request.head.priority {
            Priority::Urgent => left.saturating_sub(service),
            Priority::Normal | Priority::Bulk => left.saturating_sub(service * SLOWER) / CAUTION,
        };
        let lane = self.queue.lane(request.lane());
        let wait = lane.projected_wait(request.head.priority, service, now);
        if wait > spare {
            let refusal = Refusal::not_run(Code::DeadlineUnmeetable, "the queue is too long");
            let after = (wait - spare).clamp(COME_BACK, COME_BACK_MAX);
            return self.turn_away(id, refusal.after(after));
        }
        let pushed = self.queue.push(
            request.lane(),
            request.head.priority,
            id,
            &request.head.workspace,
            request.work(),
            now,
        );
        if pushed.is_err() {
            let refusal = Refusal::not_run(Code::QueueFull, "the queue of this class is full");
            return self.turn_away(id, refusal.after(wait.clamp(COME_BACK, COME_BACK_MAX)));
        }
        self.queue.lane(request.lane()).admitted();
        self.admit(request.head, request.body);
    }

    /// Puts a request whose attempt failed first in its class.
    pub(crate) fn queue_again(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let lane = request.lane().to_owned();
            self.queue.push_front(&lane, request.head.priority, id);
        }
    }

    /// Starts waiting requests as far as there is room.
    ///
    /// Only lanes for which something changed are tried, and a lane is left at the first of its
    /// highest class that finds no room.
    pub(crate) fn start_queued(&mut self) {
        if self.now.mono < self.start_after {
            return;
        }
        for name in self.queue.take_awake() {
            self.start_lane(&name);
        }
    }

    fn start_lane(&mut self, name: &str) {
        let now = self.now.mono;
        while let Some(class) = self.queue.lane(name).next_class() {
            let first = self.queue.lane(name).is_highest(class);
            let Some(id) = self.queue.lane(name).pop(class) else {
                return;
            };
            if self.is_hopeless(id) {
                self.give_up(id, Code::DeadlineUnmeetable, "its turn came too late");
                continue;
            }
            match self.start_request(id) {
                Start::Over => self.queue.lane(name).started(class, now),
                Start::Blocked => {
                    self.queue.lane(name).blocked(class, id);
                    if first {
                        return;
                    }
                }
            }
        }
    }

    /// Whether a request that has not started can't be over by its deadline.
    fn is_hopeless(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let needs = self.service.time(request);
        request.head.started.is_none() && self.now.mono + needs > request.head.deadline
    }

    /// Counts a request that arrives against its workspace's limits.
    pub(crate) fn within_limits(
        &mut self,
        view: &View,
        workspace: &WorkspaceId,
        ask: &Ask,
    ) -> Result<(), Duration> {
        let Some(given) = view.document().workspaces.get(workspace) else {
            return Ok(());
        };
        let tokens = match ask {
            Ask::Tokens(tokens) => (tokens.prompt.len() as u32).saturating_add(tokens.max_tokens),
            Ask::Plain(_) => 0,
        };
        let now = self.now.mono;
        let taken = self.quota.try_charge(workspace, &given.limits, tokens, now);
        taken.map_err(|wait| wait.clamp(COME_BACK, COME_BACK_MAX))
    }

    /// Takes a request in.
    pub(crate) fn admit(&mut self, head: Head, body: Body) {
        self.quota.opened(&head.workspace);
        self.timers.set(head.deadline, Timer::Deadline(head.id));
        self.requests.insert(head.id, Request { head, body });
    }
}
