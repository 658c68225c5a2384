//! Queued requests: a lane for each model or service, priority classes in a lane, fair queueing
//! between the workspaces of a class.

use {
    camphorweir_config::model::{Priority, WorkspaceId},
    camphorweir_wire::ids::RequestId,
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Maximum number of requests queued in one class of a lane.
pub const CLASS_CAPACITY: usize = 1024;
/// Every n-th turn goes to the lowest class with queued requests, so that it isn't starved.
const LOWEST_CLASS_INTERVAL: u32 = 20;
/// Time constant of the average rate of starts.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Number of workspaces in a class at which the finish tags of those without a backlog are dropped.
const MAX_WORKSPACES: usize = 4096;
/// Number of requests ahead below which the time since the last start is used as the projected
/// wait: the rate of starts may then be low only because few requests arrived.
const MIN_AHEAD: usize = 4;

/// An exponentially decaying average of the rate of events.
#[derive(Debug, Default)]
struct Rate {
    /// Number of events, with earlier ones decayed.
    count: f64,
    /// When `count` was last updated.
    updated: Duration,
}

impl Rate {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.count *= (-age / RATE_WINDOW.as_secs_f64()).exp();
        self.updated = now;
    }

    fn add(&mut self, now: Duration) {
        self.decay(now);
        self.count += 1.0;
    }

    /// Events per second.
    fn get(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.count / RATE_WINDOW.as_secs_f64()
    }
}

/// One priority class of a lane.
///
/// Workspaces share a class by start-time fair queueing: a request's start tag is the finish tag of
/// the workspace's previous request or the virtual time, if that is later; the request with the
/// lowest tag is next.
#[derive(Debug, Default)]
struct Class {
    /// Requests that go before all others: interrupted ones, and the one that was blocked last.
    front: VecDeque<RequestId>,
    /// The other requests by start tag.
    by_tag: BTreeSet<(u64, RequestId)>,
    tags: HashMap<RequestId, u64>,
    /// The finish tag of each workspace's last request.
    finish: HashMap<WorkspaceId, u64>,
    /// The start tag of the request dequeued last.
    virtual_time: u64,
    starts: Rate,
    /// When the class was last empty or last started a request.
    last_progress: Duration,
}

impl Class {
    fn len(&self) -> usize {
        self.front.len() + self.by_tag.len()
    }

    fn push(&mut self, id: RequestId, workspace: &WorkspaceId, work: u64) {
        if self.finish.len() >= MAX_WORKSPACES {
            let virtual_time = self.virtual_time;
            self.finish.retain(|_, finish| *finish > virtual_time);
        }
        let finish = self.finish.entry(workspace.clone()).or_default();
        let tag = (*finish).max(self.virtual_time);
        *finish = tag + work.max(1);
        self.by_tag.insert((tag, id));
        self.tags.insert(id, tag);
    }

    fn pop(&mut self) -> Option<RequestId> {
        if let Some(id) = self.front.pop_front() {
            return Some(id);
        }
        let (tag, id) = self.by_tag.pop_first()?;
        self.tags.remove(&id);
        self.virtual_time = tag;
        Some(id)
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(tag) = self.tags.remove(&id) {
            self.by_tag.remove(&(tag, id));
        } else {
            self.front.retain(|queued| *queued != id);
        }
    }
}

/// The requests queued for the targets of one model or service.
#[derive(Debug, Default)]
pub struct Lane {
    classes: [Class; 3],
    /// Whether something changed since the last request was blocked, so that starts are worth
    /// trying.
    awake: bool,
    /// Attempted starts of dequeued requests, whether or not a target had capacity; wraps around.
    turns: u32,
    /// Requests that were admitted and have not ended, queued ones included.
    in_flight: usize,
}

impl Lane {
    /// The class to serve next: the highest with queued requests, and every
    /// `LOWEST_CLASS_INTERVAL`th turn the lowest.
    pub fn next_class(&self) -> Option<Priority> {
        let has_queued = |class: &Priority| self.classes[*class as usize].len() > 0;
        let mut classes = Priority::ALL.into_iter().filter(has_queued);
        let highest = classes.next()?;
        if self.turns % LOWEST_CLASS_INTERVAL == LOWEST_CLASS_INTERVAL - 1 {
            return classes.next_back().or(Some(highest));
        }
        Some(highest)
    }

    /// Whether no higher class has queued requests.
    pub fn is_highest(&self, class: Priority) -> bool {
        let higher = Priority::ALL
            .into_iter()
            .take_while(|other| *other != class);
        higher
            .into_iter()
            .all(|other| self.classes[other as usize].len() == 0)
    }

    /// Dequeues the next request of a class.
    pub fn pop(&mut self, class: Priority) -> Option<RequestId> {
        self.classes[class as usize].pop()
    }

    /// Records that a dequeued request started.
    pub fn started(&mut self, class: Priority, now: Duration) {
        self.turns = self.turns.wrapping_add(1);
        let class = &mut self.classes[class as usize];
        class.starts.add(now);
        class.last_progress = now;
    }

    /// Puts a dequeued request for which no target had capacity back at the front of its class.
    pub fn blocked(&mut self, class: Priority, id: RequestId) {
        self.turns = self.turns.wrapping_add(1);
        self.classes[class as usize].front.push_front(id);
    }

    /// Counts an admitted request.
    pub fn admitted(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of an admitted request.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of requests that have started and not ended.
    fn running(&self) -> usize {
        let queued: usize = self.classes.iter().map(Class::len).sum();
        self.in_flight.saturating_sub(queued)
    }

    /// Projected wait of a request that is queued in a class now: the number of requests queued in
    /// that and higher classes, divided by the rate at which that and lower classes start requests,
    /// since the lower ones yield to it.
    ///
    /// A low recent rate may only mean that few requests arrived, so the rate used is at least that
    /// at which the running requests end if each takes `service_time`. While `service_time` is
    /// unknown (zero), as before the first answer, the projected wait is zero.
    ///
    /// With fewer than `MIN_AHEAD` requests ahead, it is the time since the class last made
    /// progress, or zero if the class is empty.
    pub fn projected_wait(
        &mut self,
        class: Priority,
        service_time: Duration,
        now: Duration,
    ) -> Duration {
        if service_time.is_zero() {
            return Duration::ZERO;
        }
        let end_rate = self.running() as f64 / service_time.as_secs_f64();
        let (higher, own_and_lower) = self.classes.split_at_mut(class as usize);
        let own = own_and_lower.first().map_or(0, Class::len);
        let ahead = own + higher.iter().map(Class::len).sum::<usize>();
        let start_rate: f64 = own_and_lower
            .iter_mut()
            .map(|class| class.starts.get(now))
            .sum();
        let rate = start_rate.max(end_rate);
        if ahead < MIN_AHEAD {
            let last_progress = own_and_lower
                .first()
                .map_or(now, |class| class.last_progress);
            return if own == 0 {
                Duration::ZERO
            } else {
                now.saturating_sub(last_progress)
            };
        }
        Duration::from_secs_f64((ahead as f64 / rate.max(1e-3)).min(3600.0))
    }
}

/// All queued requests.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: HashMap<String, Lane>,
}

impl Queue {
    /// The lane of a model or service, created if it doesn't exist.
    pub fn lane(&mut self, name: &str) -> &mut Lane {
        if !self.lanes.contains_key(name) {
            self.lanes.insert(name.to_owned(), Lane::default());
        }
        self.lanes.entry(name.to_owned()).or_default()
    }

    /// Appends a request to its class; `work` is its cost in fair queueing.
    ///
    /// # Errors
    ///
    /// The number of queued requests if the class is full.
    pub fn push(
        &mut self,
        name: &str,
        priority: Priority,
        id: RequestId,
        workspace: &WorkspaceId,
        work: u64,
        now: Duration,
    ) -> Result<(), usize> {
        let lane = self.lane(name);
        let class = &mut lane.classes[priority as usize];
        if class.len() >= CLASS_CAPACITY {
            return Err(class.len());
        }
        if class.len() == 0 {
            class.last_progress = now;
        }
        class.push(id, workspace, work);
        lane.awake = true;
        Ok(())
    }

    /// Puts a request that has been started before at the front of its class.
    pub fn push_front(&mut self, name: &str, priority: Priority, id: RequestId) {
        let lane = self.lane(name);
        lane.classes[priority as usize].front.push_front(id);
        lane.awake = true;
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, name: &str, priority: Priority, id: RequestId) {
        if let Some(lane) = self.lanes.get_mut(name) {
            lane.classes[priority as usize].remove(id);
        }
    }

    /// Marks a lane to be tried again, because capacity may have become available for it.
    pub fn wake(&mut self, name: &str) {
        if let Some(lane) = self.lanes.get_mut(name) {
            lane.awake = true;
        }
    }

    /// Marks every lane to be tried again.
    pub fn wake_all(&mut self) {
        self.lanes.values_mut().for_each(|lane| lane.awake = true);
    }

    /// The lanes with queued requests that were marked to be tried, whose marks are cleared.
    pub fn take_awake(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for (name, lane) in &mut self.lanes {
            if std::mem::take(&mut lane.awake) && lane.next_class().is_some() {
                names.push(name.clone());
            }
        }
        names.sort_unstable();
        names
    }

    /// Number of requests queued in a class, over all lanes.
    pub fn len(&self, priority: Priority) -> usize {
        let lens = self.lanes.values();
        lens.map(|lane| lane.classes[priority as usize].len()).sum()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.next_class().is_none())
    }
}
