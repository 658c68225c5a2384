//! Handlers for the log's streams, the instance list, peers' messages and engine connections.

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
    /// Handles a page of a tailed stream.
    pub(crate) fn handle_page(&mut self, stream: &str, page: Page) {
        if stream == record::STREAM {
            return self.apply_configuration_page(page);
        }
        if stream == suspect::STREAM {
            return self.apply_suspect_page(&page);
        }
        if stream == lease::STREAM {
            return self.apply_lease_page(&page);
        }
        let partition = (0..claim::PARTITIONS).find(|number| claim::stream_name(*number) == stream);
        if let Some(number) = partition {
            self.apply_claim_page(number as usize, page);
        }
    }

    fn apply_configuration_page(&mut self, page: Page) {
        let before = self.fold.version();
        if page.oldest > self.fold.next_offset() {
            self.fold.note_truncation(page.oldest);
        }
        for stored in &page.records {
            self.fold.apply(stored.offset, &stored.body);
            self.duty.track_anchor(&self.fold, stored);
        }
        self.duty.last_read = Some(self.now.mono);
        if self.fold.version() > before {
            self.configure();
        }
    }

    /// Applies the configuration version in force.
    pub(crate) fn configure(&mut self) {
        let document = Arc::clone(self.fold.document());
        let version = self.fold.version();
        self.topology.configure(&self.setup.zone, &document);
        for change in self.targets.configure(&document, self.now.mono) {
            self.out.push(Action::Link(change.target, change.address));
        }
        self.regroup();
        // The instance list may have been read before the target was configured.
        for id in &self.duty.leaving_targets {
            if let Some(target) = self.targets.find_mut(id) {
                target.leaving.mark_listed_leaving();
            }
        }
        let first = self.view.is_none();
        self.view = Some(Arc::new(View::new(document, version)));
        self.out.push(Action::Note(Note::Configured(version)));
        if first && self.stopping_since.is_none() {
            self.out.push(Action::Ready(true));
        }
    }

    fn apply_claim_page(&mut self, number: usize, page: Page) {
        let partition = &mut self.partitions[number];
        partition.last_read = Some(self.now.mono);
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
            let Some(ids) = self.requests_by_key.get(&key).cloned() else {
                continue;
            };
            for id in ids {
                self.evaluate_key(id);
            }
        }
    }

    /// Handles a failed read of a tailed stream.
    pub(crate) fn handle_tail_failure(&mut self, stream: &str) {
        if stream == record::STREAM {
            self.duty.last_read = None;
        }
        let partition = (0..claim::PARTITIONS).find(|number| claim::stream_name(*number) == stream);
        if let Some(number) = partition {
            self.partitions[number as usize].last_read = None;
        }
    }

    /// Applies the platform's instance list.
    pub(crate) fn apply_instance_list(&mut self, instances: &[Instance]) {
        let mut entries: Vec<(EntryId, String, bool)> = Vec::new();
        for instance in instances {
            let leaving = instance.state == State::Leaving;
            match instance.role {
                Role::Entry if instance.name != self.setup.entry => {
                    entries.push((instance.name.clone(), instance.address.clone(), leaving));
                }
                Role::Entry => {}
                Role::Target => self.apply_listed_target(&instance.name, leaving),
            }
        }
        self.members.apply_list(&entries, self.now.mono);
    }

    fn apply_listed_target(&mut self, name: &str, leaving: bool) {
        if leaving {
            self.duty.leaving_targets.insert(name.to_owned());
        } else {
            self.duty.leaving_targets.remove(name);
        }
        if let Some(target) = self.targets.find_mut(name) {
            if leaving {
                target.leaving.mark_listed_leaving();
            } else {
                target.leaving.mark_listed_live();
            }
        }
    }

    /// Handles a peer's message.
    pub(crate) fn handle_peer_message(&mut self, message: peer::Message) {
        match message.body {
            peer::Body::Digest(digest) => {
                for (target, incarnation) in &digest.targets_leaving {
                    self.handle_leaving_report(target, *incarnation);
                }
                let now = self.now.mono;
                let version = digest.version;
                self.suspects
                    .apply_heartbeat(&message.sender, &digest.suspects, self.now.mono);
                self.members
                    .record_heartbeat(&message.sender, message.incarnation, digest, now);
                self.request_configuration(&message.sender, version);
            }
            other => self.handle_other_peer_message(&message.sender, message.incarnation, other),
        }
    }

    /// Handles a peer's report that a target announced that it is leaving, if the target still has
    /// that incarnation.
    fn handle_leaving_report(&mut self, target: &str, incarnation: u64) {
        let Some(target) = self.targets.find_mut(target) else {
            return;
        };
        if let Link::Up {
            incarnation: current,
            ..
        } = target.link
            && current == incarnation
        {
            target.leaving.mark_announced(incarnation);
        }
    }

    /// Sends heartbeats to all peers when they are due.
    pub(crate) fn send_heartbeats(&mut self) {
        if self.now.mono < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now.mono + HEARTBEAT;
        self.update_shares();
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
        let suspects = self.suspect_digest();
        let targets_leaving = self
            .targets
            .iter()
            .filter_map(|target| Some((target.id.clone(), target.leaving.incarnation()?)))
            .collect();
        Digest {
            zone: self.setup.zone.clone(),
            version: self.fold.version(),
            leaving: self.stopping_since.is_some(),
            targets_leaving,
            suspects,
            demand,
        }
    }

    /// Handles a new connection to an engine.
    pub(crate) fn handle_connected(&mut self, id: &str, hello: &Hello) {
        if let Some(index) = self.targets.find(id) {
            self.count_crash(index);
            self.undo_crash(index, hello.incarnation);
            self.fail_attempts(index, "the engine is another incarnation");
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

    /// Handles the loss of the connection to an engine.
    pub(crate) fn handle_disconnected(&mut self, id: &str) {
        let Some(index) = self.targets.find(id) else {
            return;
        };
        self.count_crash(index);
        self.targets.get_mut(index).link = Link::Down;
        self.fail_attempts(index, "the connection was lost");
    }
}
