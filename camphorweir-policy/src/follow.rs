//! What the core follows: the log's streams, the instance list, peers and engine connections.

use {
    crate::{
        action::{Action, Note},
        core::Core,
        member::HEARTBEAT,
        target::Link,
    },
    camphorweir_config::{record, view::View},
    camphorweir_wire::{
        claim,
        engine::Hello,
        ids::EntryId,
        lease,
        list::{Instance, Role, State},
        log::Page,
        peer::{self, Digest},
        suspect,
    },
    std::{collections::BTreeSet, sync::Arc},
};

impl Core {
    /// A part of a tailed stream was read.
    pub(crate) fn page(&mut self, stream: &str, page: Page) {
        if stream == record::STREAM {
            return self.page_of_config(page);
        }
        if stream == suspect::STREAM {
            return self.page_of_suspects(&page);
        }
        if stream == lease::STREAM {
            return self.page_of_lease(&page);
        }
        let partition = (0..claim::PARTITIONS).find(|number| claim::stream_name(*number) == stream);
        if let Some(number) = partition {
            self.page_of_claims(number as usize, page);
        }
    }

    fn page_of_config(&mut self, page: Page) {
        let before = self.fold.version();
        if page.oldest > self.fold.next_offset() {
            self.fold.note_truncation(page.oldest);
        }
        for stored in &page.records {
            self.fold.apply(stored.offset, &stored.body);
            self.duty.read(&self.fold, stored);
        }
        self.duty.heard = Some(self.now.mono);
        if self.fold.version() > before {
            self.configure();
        }
    }

    /// Takes the version in force over.
    pub(crate) fn configure(&mut self) {
        let document = Arc::clone(self.fold.document());
        let version = self.fold.version();
        self.map.configure(&self.setup.zone, &document);
        for change in self.targets.configure(&document, self.now.mono) {
            self.out.push(Action::Link(change.target, change.address));
        }
        self.regroup();
        // The list may have been read before the target was configured.
        for id in &self.duty.leaving {
            if let Some(target) = self.targets.find_mut(id) {
                target.leaving.list_leaving();
            }
        }
        let first = self.view.is_none();
        self.view = Some(Arc::new(View::new(document, version)));
        self.out.push(Action::Note(Note::Configured(version)));
        if first && self.stopping.is_none() {
            self.out.push(Action::Ready(true));
        }
    }

    fn page_of_claims(&mut self, number: usize, page: Page) {
        let partition = &mut self.partitions[number];
        partition.heard = Some(self.now.mono);
        let mut touched = BTreeSet::new();
        for stored in &page.records {
            if let Some(key) = partition.table.apply(stored) {
                touched.insert(key.id);
            }
        }
        if partition.table.next() >= page.end || page.records.is_empty() {
            partition.ready = true;
        }
        for key in touched {
            let Some(ids) = self.keys.get(&key).cloned() else {
                continue;
            };
            for id in ids {
                self.evaluate(id);
            }
        }
    }

    /// A tailed stream could not be read.
    pub(crate) fn tail_failed(&mut self, stream: &str) {
        if stream == record::STREAM {
            self.duty.heard = None;
        }
        let partition = (0..claim::PARTITIONS).find(|number| claim::stream_name(*number) == stream);
        if let Some(number) = partition {
            self.partitions[number as usize].heard = None;
        }
    }

    /// The platform's instance list was read.
    pub(crate) fn listed(&mut self, instances: &[Instance]) {
        let mut entries: Vec<(EntryId, String, bool)> = Vec::new();
        for instance in instances {
            let leaving = instance.state == State::Leaving;
            match instance.role {
                Role::Entry if instance.name != self.setup.entry => {
                    entries.push((instance.name.clone(), instance.address.clone(), leaving));
                }
                Role::Entry => {}
                Role::Target => self.listed_target(&instance.name, leaving),
            }
        }
        self.members.list(&entries, self.now.mono);
    }

    fn listed_target(&mut self, name: &str, leaving: bool) {
        if leaving {
            self.duty.leaving.insert(name.to_owned());
        } else {
            self.duty.leaving.remove(name);
        }
        if let Some(target) = self.targets.find_mut(name) {
            if leaving {
                target.leaving.list_leaving();
            } else {
                target.leaving.list_live();
            }
        }
    }

    /// A peer's message came.
    pub(crate) fn peer(&mut self, message: peer::Message) {
        match message.body {
            peer::Body::Digest(digest) => {
                for (target, incarnation) in &digest.targets_leaving {
                    self.told_leaving(target, *incarnation);
                }
                let now = self.now.mono;
                let version = digest.version;
                self.suspects
                    .told(&message.sender, &digest.suspects, self.now.mono);
                self.members
                    .heard(&message.sender, message.incarnation, digest, now);
                self.want(&message.sender, version);
            }
            other => self.letter(&message.sender, message.incarnation, other),
        }
    }

    /// A peer heard a target say that it is leaving; only that life of it is meant.
    fn told_leaving(&mut self, target: &str, incarnation: u64) {
        let Some(target) = self.targets.find_mut(target) else {
            return;
        };
        if let Link::Up {
            incarnation: current,
            ..
        } = target.link
            && current == incarnation
        {
            target.leaving.say(incarnation);
        }
    }

    /// Sends heartbeats to the peers when they are due.
    pub(crate) fn beat(&mut self) {
        if self.now.mono < self.heartbeat {
            return;
        }
        self.heartbeat = self.now.mono + HEARTBEAT;
        self.count_entries();
        let digest = self.digest();
        for (id, peer) in self.members.iter() {
            if !peer.address.is_empty() {
                let body = peer::Body::Digest(digest.clone());
                self.out
                    .push(Action::SendToPeer(id.clone(), peer.address.clone(), body));
            }
        }
    }

    fn digest(&mut self) -> Digest {
        let demand = self.quota.busiest(self.now.mono);
        let suspects = self.suspects();
        let targets_leaving = self
            .targets
            .iter()
            .filter_map(|target| Some((target.id.clone(), target.leaving.incarnation()?)))
            .collect();
        Digest {
            zone: self.setup.zone.clone(),
            version: self.fold.version(),
            leaving: self.stopping.is_some(),
            targets_leaving,
            suspects,
            demand,
        }
    }

    /// The connection to an engine is up.
    pub(crate) fn linked(&mut self, id: &str, hello: &Hello) {
        if let Some(index) = self.targets.find(id) {
            self.crashed(index);
            self.returned(index, hello.incarnation);
            self.fail_all(index, "the engine is another incarnation");
        }
        let before = self
            .targets
            .find(id)
            .and_then(|index| self.targets.get(index).layers());
        self.targets.connected(id, hello, self.now.mono);
        if before != Some(hello.layers_held.layers) {
            self.regroup();
        }
        self.queue.wake_all();
    }

    /// The connection to an engine is lost.
    pub(crate) fn unlinked(&mut self, id: &str) {
        let Some(index) = self.targets.find(id) else {
            return;
        };
        self.crashed(index);
        self.targets.get_mut(index).link = Link::Down;
        self.fail_all(index, "the connection was lost");
    }
}
