//! Orders to engines, given by the one entry that holds the lease.

use {
    crate::{
        action::{Action, Note},
        core::Core,
        lease::{Fold, Holder},
        placement::{self, BORROW_DELAY, Change},
        target::Link,
    },
    camphorweir_config::model::ModelId,
    camphorweir_wire::{
        claim::Owner,
        codec,
        engine::{self, Assignment},
        ids::Fence,
        lease::{Body, FORMAT, Record, STREAM},
        log::Page,
    },
    std::{collections::HashMap, time::Duration},
};

/// Interval at which the lease and the engines are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an order that the engine's report does not confirm is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The lease as read from the log, and the orders that this entry has given.
#[derive(Debug, Default)]
pub(crate) struct Command {
    fold: Fold,
    holder: Holder,
    /// When the next check of the lease and the engines is due.
    next_check: Duration,
    /// Since when a model has had a range of layers without an engine.
    uncovered_since: HashMap<ModelId, Duration>,
    /// The last order for each model, and when it was sent.
    last_orders: HashMap<ModelId, (Change, Duration)>,
}

impl Core {
    /// Applies a page of the lease stream.
    pub(crate) fn apply_lease_page(&mut self, page: &Page) {
        let now = self.now.mono;
        for stored in &page.records {
            if let Some(nonce) = self.command.fold.apply(stored) {
                self.command.holder.confirmed(nonce, now);
            }
        }
        if self.own_fence().is_none() {
            self.command.holder.lost();
        }
    }

    /// The fencing number of the lease in force, if this entry holds it.
    fn own_fence(&self) -> Option<Fence> {
        let lease = self.command.fold.lease()?;
        (lease.owner == self.owner()).then_some(lease.fence)
    }

    /// Takes or renews the lease when that is due, and sends the orders that are due.
    pub(crate) fn direct_engines(&mut self) {
        let now = self.now.mono;
        if now < self.command.next_check || self.view.is_none() || self.command.fold.is_stopped() {
            return;
        }
        self.command.next_check = now + CHECK_INTERVAL;
        self.renew_or_take_lease();
        if let Some(fence) = self.own_fence()
            && self.may_order()
        {
            self.send_orders(fence);
        }
    }

    /// Whether this entry holds the lease and its term is not over.
    pub(crate) fn may_order(&self) -> bool {
        self.own_fence().is_some() && self.command.holder.may_order(self.now.mono)
    }

    fn renew_or_take_lease(&mut self) {
        let now = self.now.mono;
        if self.stopping_since.is_some() || !self.command.holder.is_due(now) {
            return;
        }
        match self.own_fence() {
            Some(fence) => self.append_lease(Body::Renew(fence)),
            None if self.is_candidate() && self.may_take_lease() => self.append_lease(Body::Take),
            None => {}
        }
    }

    /// Whether an attempt to take the lease may succeed.
    fn may_take_lease(&self) -> bool {
        self.command.fold.lease().is_none() || self.command.holder.looks_expired(self.now.mono)
    }

    /// Whether this entry is the first live one by name: only that one tries to take the lease,
    /// which saves appends. If two consider themselves the first, the order of the log decides.
    fn is_candidate(&self) -> bool {
        self.members
            .live(self.now.mono)
            .all(|(id, _)| *id > self.setup.entry)
    }

    fn append_lease(&mut self, body: Body) {
        let nonce = self.random_nonce();
        let record = Record {
            format: FORMAT,
            nonce,
            owner: self.owner(),
            body,
        };
        self.command.holder.appended(nonce, self.now.mono);
        self.append(STREAM.to_owned(), codec::encode(&record), false);
    }

    /// Releases the lease at a planned stop, so that another entry need not wait until it expires.
    pub(crate) fn release_lease(&mut self) {
        if let Some(fence) = self.own_fence() {
            self.append_lease(Body::Release(fence));
            self.command.holder.lost();
        }
    }

    fn send_orders(&mut self, fence: Fence) {
        let Some(view) = self.view.clone() else {
            return;
        };
        for model in view.document().models.keys() {
            if self.is_gap_recent(model) {
                continue;
            }
            if let Some(change) = placement::plan(&self.targets, model) {
                self.send_order(fence, change);
            }
        }
    }

    /// Whether a range of layers lacks an engine, but for too short a time to act.
    fn is_gap_recent(&mut self, model: &str) -> bool {
        let now = self.now.mono;
        if !placement::has_empty_range(&self.targets, model) {
            self.command.uncovered_since.remove(model);
            return false;
        }
        let since = *self
            .command
            .uncovered_since
            .entry(model.to_owned())
            .or_insert(now);
        now < since + BORROW_DELAY
    }

    /// Sends an order unless it was sent lately. An order states the wanted layers, so that
    /// repeating it is harmless.
    fn send_order(&mut self, fence: Fence, change: Change) {
        let now = self.now.mono;
        let repeated = self
            .command
            .last_orders
            .get(&change.model)
            .is_some_and(|(last, at)| *last == change && now < *at + REPEAT_INTERVAL);
        let target = self.targets.get(change.target);
        if repeated || target.link == Link::Down {
            return;
        }
        let order = engine::Command::Assign(Assignment {
            fence,
            model: change.model.clone(),
            layers: change.layers,
        });
        let note = format!(
            "ordered {} to hold layers {}..{}",
            target.id, change.layers.first, change.layers.end
        );
        self.out.push(Action::SendCommand(target.id.clone(), order));
        self.out.push(Action::Note(Note::Unusual("order", note)));
        self.command
            .last_orders
            .insert(change.model.clone(), (change, now));
    }

    /// This entry and its incarnation, as the owner of claims and of the lease.
    pub(crate) fn owner(&self) -> Owner {
        Owner {
            entry: self.setup.entry.clone(),
            incarnation: self.setup.incarnation,
        }
    }
}
