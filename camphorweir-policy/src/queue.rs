//! Requests that wait for room, by class.

use {
    camphorweir_config::model::Priority, camphorweir_wire::ids::RequestId,
    std::collections::VecDeque,
};

/// Requests that may wait in one class.
pub const LIMIT: usize = 1024;

/// The waiting requests.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [VecDeque<RequestId>; 3],
}

impl Queue {
    /// Puts a request last in its class.
    ///
    /// # Errors
    ///
    /// The number of requests waiting when the class is full.
    pub fn push(&mut self, priority: Priority, id: RequestId) -> Result<(), usize> {
        let class = &mut self.classes[priority as usize];
        if class.len() >= LIMIT {
            return Err(class.len());
        }
        class.push_back(id);
        Ok(())
    }

    /// Puts a request first in its class, as one that has started before.
    pub fn push_front(&mut self, priority: Priority, id: RequestId) {
        self.classes[priority as usize].push_front(id);
    }

    /// Takes the next request of a class.
    pub fn pop(&mut self, priority: Priority) -> Option<RequestId> {
        self.classes[priority as usize].pop_front()
    }

    /// Takes a request out.
    pub fn remove(&mut self, priority: Priority, id: RequestId) {
        self.classes[priority as usize].retain(|waiting| *waiting != id);
    }

    /// Requests that wait in a class.
    pub fn len(&self, priority: Priority) -> usize {
        self.classes[priority as usize].len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }
}
