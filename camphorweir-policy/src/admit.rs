//! Admission control and the start of queued requests.

use {
    crate::{
        call::Kind,
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

/// Default time after which a refused caller may retry.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// A request below the top priority is refused when its projected wait exceeds its spare time
/// divided by this factor, by which the projection may be wrong.
const SPARE_TIME_DIVISOR: u32 = 4;
/// Multiple of the mean service time that a request below the top priority is expected to need.
const SERVICE_TIME_FACTOR: u32 = 2;
/// Maximum time after which a refused caller may retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);
/// Weight of one request in the moving average of the service time.
const MEAN_WEIGHT: f64 = 0.05;

/// Mean time from start to end of successful requests per unit of work, by model or service.
#[derive(Debug, Default)]
pub(crate) struct ServiceTime {
    seconds: HashMap<String, f64>,
}

impl ServiceTime {
    /// Records the time from start to end of a successful request.
    pub(crate) fn add(&mut self, request: &Request, time: Duration) {
        let time = time.as_secs_f64() / request.work() as f64;
        match self.seconds.get_mut(request.lane()) {
            Some(mean) => *mean += (time - *mean) * MEAN_WEIGHT,
            None => {
                self.seconds.insert(request.lane().to_owned(), time);
            }
        }
    }

    /// The expected time from start to end of a request; zero before the first answer.
    pub(crate) fn time(&self, request: &Request) -> Duration {
        let per_unit = self.seconds.get(request.lane()).copied().unwrap_or(0.0);
        Duration::from_secs_f64(per_unit * request.work() as f64)
    }
}

impl Core {
    /// The fields common to all kinds of requests, for one that arrives now.
    pub(crate) fn new_head(
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

    /// Admits a request and queues it in its priority class until it can start.
    ///
    /// A request whose projected wait is too long for its deadline (see [`SPARE_TIME_DIVISOR`]) is
    /// refused at once, with the time after which to retry.
    pub(crate) fn enqueue(&mut self, head: Head, body: Body) {
        let (id, now) = (head.id, self.now.mono);
        let request = Request { head, body };
        let service_time = self.service_times.time(&request);
        let left = request.head.deadline - now;
        let spare = match request.head.priority {
            Priority::Urgent => left.saturating_sub(service_time),
            Priority::Normal | Priority::Bulk => {
                left.saturating_sub(service_time * SERVICE_TIME_FACTOR) / SPARE_TIME_DIVISOR
            }
        };
        let lane = self.queue.lane(request.lane());
        let wait = lane.projected_wait(request.head.priority, service_time, now);
        if wait > spare {
            let refusal = Refusal::not_run(Code::DeadlineUnmeetable, "the queue is too long");
            let retry_after = (wait - spare).clamp(RETRY_AFTER, RETRY_AFTER_MAX);
            return self.refuse_unadmitted(id, refusal.with_retry_after(retry_after));
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
            return self.refuse_unadmitted(
                id,
                refusal.with_retry_after(wait.clamp(RETRY_AFTER, RETRY_AFTER_MAX)),
            );
        }
        self.queue.lane(request.lane()).admitted();
        self.admit(request.head, request.body);
    }

    /// Queues a request again, at the front of its class, to start another attempt.
    pub(crate) fn queue_again(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let lane = request.lane().to_owned();
            self.queue.push_front(&lane, request.head.priority, id);
        }
    }

    /// Starts queued requests as far as the targets have capacity.
    ///
    /// Only lanes marked since the last call are tried, each until a request of its highest class
    /// is blocked.
    pub(crate) fn start_queued(&mut self) {
        if self.now.mono < self.start_after {
            return;
        }
        for name in self.queue.take_awake() {
            self.start_lane(&name);
        }
    }

    /// Starts requests of one lane.
    fn start_lane(&mut self, name: &str) {
        let now = self.now.mono;
        while let Some(class) = self.queue.lane(name).next_class() {
            let highest = self.queue.lane(name).is_highest(class);
            let Some(id) = self.queue.lane(name).pop(class) else {
                return;
            };
            if self.would_miss_deadline(id) {
                self.give_up(id, Code::DeadlineUnmeetable, "its turn came too late");
                continue;
            }
            match self.start_request(id) {
                Start::Dequeued => self.queue.lane(name).started(class, now),
                Start::Blocked => {
                    self.queue.lane(name).blocked(class, id);
                    if highest {
                        return;
                    }
                }
            }
        }
    }

    /// Whether a request that has not started would probably end after its deadline.
    fn would_miss_deadline(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let service_time = self.service_times.time(request);
        request.head.started.is_none() && self.now.mono + service_time > request.head.deadline
    }

    /// Charges a new request to its workspace's limits.
    ///
    /// # Errors
    ///
    /// The time after which the caller may retry, if a limit is reached.
    pub(crate) fn charge_limits(
        &mut self,
        view: &View,
        workspace: &WorkspaceId,
        kind: &Kind,
    ) -> Result<(), Duration> {
        let Some(config) = view.document().workspaces.get(workspace) else {
            return Ok(());
        };
        let tokens = match kind {
            Kind::Tokens(tokens) => (tokens.prompt.len() as u32).saturating_add(tokens.max_tokens),
            Kind::Plain(_) => 0,
        };
        let now = self.now.mono;
        let charged = self
            .quota
            .try_charge(workspace, &config.limits, tokens, now);
        charged.map_err(|wait| wait.clamp(RETRY_AFTER, RETRY_AFTER_MAX))
    }

    /// Adds a request to those in flight and sets its deadline timer.
    pub(crate) fn admit(&mut self, head: Head, body: Body) {
        self.quota.opened(&head.workspace);
        self.timers.set(head.deadline, Timer::Deadline(head.id));
        self.requests.insert(head.id, Request { head, body });
    }
}
