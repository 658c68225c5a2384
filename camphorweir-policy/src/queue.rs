//! Requests that wait for room: a lane for each model or service, classes in a lane, and
//! workspaces in a class.

use {
    camphorweir_config::model::{Priority, WorkspaceId},
    camphorweir_wire::ids::RequestId,
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Requests that may wait in one class of a lane.
pub const LIMIT: usize = 1024;
/// One start in so many goes to a lower class that waits.
const FLOOR: u32 = 20;
/// Time over which the rate of starts is averaged.
const AVERAGE: Duration = Duration::from_secs(2);
/// Workspaces whose fair shares are remembered before those without a backlog are dropped.
const REMEMBERED: usize = 4096;
/// Requests ahead below which the rate of starts says little, since it may be all that was asked for;
/// then the time since the last start counts.
const UNKNOWN: usize = 4;

/// A rate that follows what is counted lately.
#[derive(Debug, Default)]
struct Rate {
    count: f64,
    at: Duration,
}

impl Rate {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.count *= (-age / AVERAGE.as_secs_f64()).exp();
        self.at = now;
    }

    fn add(&mut self, now: Duration) {
        self.decay(now);
        self.count += 1.0;
    }

    /// Counts a second.
    fn get(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.count / AVERAGE.as_secs_f64()
    }
}

/// One class of a lane.
///
/// Workspaces share it by start-time fair queueing: a request's tag is the work that its workspace
/// has asked for before it, and the least tag is next.
#[derive(Debug, Default)]
struct Class {
    /// Those that go before all others: interrupted ones, and the one that found no room.
    first: VecDeque<RequestId>,
    order: BTreeSet<(u64, RequestId)>,
    tags: HashMap<RequestId, u64>,
    finish: HashMap<WorkspaceId, u64>,
    /// The tag of the request that was taken last.
    reached: u64,
    starts: Rate,
    /// When it was last empty, or one of it last started.
    moved: Duration,
}

impl Class {
    fn len(&self) -> usize {
        self.first.len() + self.order.len()
    }

    fn push(&mut self, id: RequestId, workspace: &WorkspaceId, work: u64) {
        if self.finish.len() >= REMEMBERED {
            let reached = self.reached;
            self.finish.retain(|_, finish| *finish > reached);
        }
        let finish = self.finish.entry(workspace.clone()).or_default();
        let tag = (*finish).max(self.reached);
        *finish = tag + work.max(1);
        self.order.insert((tag, id));
        self.tags.insert(id, tag);
    }

    fn pop(&mut self) -> Option<RequestId> {
        if let Some(id) = self.first.pop_front() {
            return Some(id);
        }
        let (tag, id) = self.order.pop_first()?;
        self.tags.remove(&id);
        self.reached = tag;
        Some(id)
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(tag) = self.tags.remove(&id) {
            self.order.remove(&(tag, id));
        } else {
            self.first.retain(|waiting| *waiting != id);
        }
    }
}

/// The requests that wait for the targets of one model or service.
#[derive(Debug, Default)]
pub struct Lane {
    classes: [Class; 3],
    /// Whether something changed since the last request found no room.
    awake: bool,
    starts: u32,
    /// Requests that were taken in and are not over.
    members: usize,
}

impl Lane {
    /// The class whose turn it is: the first that waits, but for the floor of the last that waits.
    pub fn turn(&self) -> Option<Priority> {
        let waits = |class: &Priority| self.classes[*class as usize].len() > 0;
        let mut waiting = Priority::ALL.into_iter().filter(waits);
        let first = waiting.next()?;
        if self.starts % FLOOR == FLOOR - 1 {
            return waiting.next_back().or(Some(first));
        }
        Some(first)
    }

    /// Whether a class is the first that waits.
    pub fn is_first(&self, class: Priority) -> bool {
        let before = Priority::ALL.into_iter().take_while(|one| *one != class);
        before
            .into_iter()
            .all(|one| self.classes[one as usize].len() == 0)
    }

    /// Takes the next request of a class.
    pub fn pop(&mut self, class: Priority) -> Option<RequestId> {
        self.classes[class as usize].pop()
    }

    /// A request of a class has started.
    pub fn started(&mut self, class: Priority, now: Duration) {
        self.starts = self.starts.wrapping_add(1);
        let class = &mut self.classes[class as usize];
        class.starts.add(now);
        class.moved = now;
    }

    /// A request of a class found no room, and is the next of its class again.
    pub fn blocked(&mut self, class: Priority, id: RequestId) {
        self.starts = self.starts.wrapping_add(1);
        self.classes[class as usize].first.push_front(id);
    }

    /// A request was taken in.
    pub fn joined(&mut self) {
        self.members += 1;
    }

    /// A request that was taken in is over.
    pub fn left(&mut self) {
        self.members = self.members.saturating_sub(1);
    }

    /// Requests that have started and are not over.
    fn running(&self) -> usize {
        let waiting: usize = self.classes.iter().map(Class::len).sum();
        self.members.saturating_sub(waiting)
    }

    /// Projected wait of a request that joins a class now: what waits there and above, by the rate
    /// at which that class and those below it start, which all give way to it.
    ///
    /// Few starts lately may only mean that few were asked for, so the rate is taken to be no less
    /// than that at which the running requests end, when each takes `service`. Nothing is projected
    /// while that is not known, as before the first answer.
    pub fn wait(&mut self, class: Priority, service: Duration, now: Duration) -> Duration {
        if service.is_zero() {
            return Duration::ZERO;
        }
        let ends = self.running() as f64 / service.as_secs_f64();
        let (above, below) = self.classes.split_at_mut(class as usize);
        let own = below.first().map_or(0, Class::len);
        let ahead = own + above.iter().map(Class::len).sum::<usize>();
        let starts: f64 = below.iter_mut().map(|class| class.starts.get(now)).sum();
        let rate = starts.max(ends);
        if ahead < UNKNOWN {
            let moved = below.first().map_or(now, |class| class.moved);
            return if own == 0 {
                Duration::ZERO
            } else {
                now.saturating_sub(moved)
            };
        }
        Duration::from_secs_f64((ahead as f64 / rate.max(1e-3)).min(3600.0))
    }
}

/// The waiting requests.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: HashMap<String, Lane>,
}

impl Queue {
    /// The lane of a model or service.
    pub fn lane(&mut self, name: &str) -> &mut Lane {
        if !self.lanes.contains_key(name) {
            self.lanes.insert(name.to_owned(), Lane::default());
        }
        self.lanes.entry(name.to_owned()).or_default()
    }

    /// Puts a request that asks for so much work into its class.
    ///
    /// # Errors
    ///
    /// The number of requests waiting when the class is full.
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
        if class.len() >= LIMIT {
            return Err(class.len());
        }
        if class.len() == 0 {
            class.moved = now;
        }
        class.push(id, workspace, work);
        lane.awake = true;
        Ok(())
    }

    /// Puts a request first in its class, as one that has started before.
    pub fn push_front(&mut self, name: &str, priority: Priority, id: RequestId) {
        let lane = self.lane(name);
        lane.classes[priority as usize].first.push_front(id);
        lane.awake = true;
    }

    /// Takes a request out.
    pub fn remove(&mut self, name: &str, priority: Priority, id: RequestId) {
        if let Some(lane) = self.lanes.get_mut(name) {
            lane.classes[priority as usize].remove(id);
        }
    }

    /// Something changed for a lane: its requests are tried again.
    pub fn wake(&mut self, name: &str) {
        if let Some(lane) = self.lanes.get_mut(name) {
            lane.awake = true;
        }
    }

    /// Something changed for every lane.
    pub fn wake_all(&mut self) {
        self.lanes.values_mut().for_each(|lane| lane.awake = true);
    }

    /// The lanes to try, each once until it is woken again; a lane that is empty is none.
    pub fn take_awake(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for (name, lane) in &mut self.lanes {
            if std::mem::take(&mut lane.awake) && lane.turn().is_some() {
                names.push(name.clone());
            }
        }
        names.sort_unstable();
        names
    }

    /// Requests that wait in a class, over all lanes.
    pub fn len(&self, priority: Priority) -> usize {
        let lens = self.lanes.values();
        lens.map(|lane| lane.classes[priority as usize].len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.turn().is_none())
    }
}
