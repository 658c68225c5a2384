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

/// Time between two looks at the engines.
const LOOK: Duration = Duration::from_millis(500);
/// An order that the engine's report does not confirm is given again after this time.
const REPEAT: Duration = Duration::from_secs(2);

/// What an entry knows of the lease, and the orders that it has given.
#[derive(Debug, Default)]
pub(crate) struct Command {
    fold: Fold,
    holder: Holder,
    /// When the engines are looked at next.
    look: Duration,
    /// Since when a model has had a range without an engine.
    short: HashMap<ModelId, Duration>,
    /// The last order for each model, and when it was given.
    given: HashMap<ModelId, (Change, Duration)>,
}

impl Core {
    /// A part of the lease stream was read.
    pub(crate) fn page_of_lease(&mut self, page: &Page) {
        let now = self.now.mono;
        for stored in &page.records {
            if let Some(nonce) = self.command.fold.apply(stored) {
                self.command.holder.counted(nonce, now);
            }
        }
        if self.own_fence().is_none() {
            self.command.holder.lose();
        }
    }

    /// The fencing number of this entry's lease, if the lease in force is its own.
    fn own_fence(&self) -> Option<Fence> {
        let lease = self.command.fold.lease()?;
        (lease.owner == self.owner()).then_some(lease.fence)
    }

    /// Takes or renews the lease when that is due, and gives the orders that are due.
    pub(crate) fn command(&mut self) {
        let now = self.now.mono;
        if now < self.command.look || self.view.is_none() || self.command.fold.is_stopped() {
            return;
        }
        self.command.look = now + LOOK;
        self.keep_lease();
        if let Some(fence) = self.own_fence()
            && self.may_order()
        {
            self.give_orders(fence);
        }
    }

    /// Whether this entry holds the lease and its term is not over.
    pub(crate) fn may_order(&self) -> bool {
        self.own_fence().is_some() && self.command.holder.may_order(self.now.mono)
    }

    fn keep_lease(&mut self) {
        let now = self.now.mono;
        if self.stopping.is_some() || !self.command.holder.is_due(now) {
            return;
        }
        match self.own_fence() {
            Some(fence) => self.append_lease(Body::Renew(fence)),
            None if self.is_candidate() && self.lease_is_free() => self.append_lease(Body::Take),
            None => {}
        }
    }

    /// Whether a try to take the lease may succeed.
    fn lease_is_free(&self) -> bool {
        self.command.fold.lease().is_none() || self.command.holder.looks_lapsed(self.now.mono)
    }

    /// Only the first live entry by name tries, so that the log is spared; the log's order decides
    /// when two believe that they are the first.
    fn is_candidate(&self) -> bool {
        self.members
            .live(self.now.mono)
            .all(|(id, _)| *id > self.setup.entry)
    }

    fn append_lease(&mut self, body: Body) {
        let nonce = self.draw();
        let record = Record {
            format: FORMAT,
            nonce,
            owner: self.owner(),
            body,
        };
        self.command.holder.sent(nonce, self.now.mono);
        self.append(STREAM.to_owned(), codec::encode(&record), false);
    }

    /// Gives the lease back at a planned stop, so that another need not wait for it to lapse.
    pub(crate) fn release_lease(&mut self) {
        if let Some(fence) = self.own_fence() {
            self.append_lease(Body::Release(fence));
            self.command.holder.lose();
        }
    }

    fn give_orders(&mut self, fence: Fence) {
        let Some(view) = self.view.clone() else {
            return;
        };
        for model in view.document().models.keys() {
            if self.is_patient(model) {
                continue;
            }
            if let Some(wish) = placement::plan(&self.targets, model) {
                self.give(fence, wish);
            }
        }
    }

    /// Whether a range has been without an engine for too short a time to act.
    fn is_patient(&mut self, model: &str) -> bool {
        let now = self.now.mono;
        if !placement::has_empty_range(&self.targets, model) {
            self.command.short.remove(model);
            return false;
        }
        let since = *self.command.short.entry(model.to_owned()).or_insert(now);
        now < since + BORROW_DELAY
    }

    /// Gives an order that states the wanted end, so that giving it twice does no harm.
    fn give(&mut self, fence: Fence, wish: Change) {
        let now = self.now.mono;
        let lately = self
            .command
            .given
            .get(&wish.model)
            .is_some_and(|(last, at)| *last == wish && now < *at + REPEAT);
        let target = self.targets.get(wish.target);
        if lately || target.link == Link::Down {
            return;
        }
        let order = engine::Command::Assign(Assignment {
            fence,
            model: wish.model.clone(),
            layers: wish.layers,
        });
        let note = format!(
            "{} is to hold layers {}..{}",
            target.id, wish.layers.first, wish.layers.end
        );
        self.out.push(Action::SendCommand(target.id.clone(), order));
        self.out.push(Action::Note(Note::Unusual("order", note)));
        self.command.given.insert(wish.model.clone(), (wish, now));
    }

    /// The name under which this life of the entry claims and commands.
    pub(crate) fn owner(&self) -> Owner {
        Owner {
            entry: self.setup.entry.clone(),
            incarnation: self.setup.incarnation,
        }
    }
}
