//! Connections between entries, targets and the platform, and the messages over them.

use super::*;

impl World {
    pub(super) fn connect(&mut self, number: usize, target: &str) {
        let reachable = self.can_reach_target(number, target);
        let engine = &self.engines[target];
        if engine.up && reachable {
            let leaving = engine.leaving;
            let event = Event::Connected(target.to_owned(), engine.hello());
            self.reply(number, event);
            if leaving {
                self.reply(
                    number,
                    Event::EngineReply(target.to_owned(), Reply::Leaving),
                );
            }
        }
    }

    /// Connects every entry that can reach the engine again.
    pub(crate) fn reconnect(&mut self, target: &str) {
        for number in 0..self.entries.len() {
            self.connect(number, target);
        }
    }

    /// Kills an engine's process.
    pub(crate) fn kill_engine(&mut self, target: &str) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.up = false;
        }
        for number in 0..self.entries.len() {
            self.reply(number, Event::Disconnected(target.to_owned()));
        }
    }

    /// Restarts an engine with an empty cache under the same address.
    pub(crate) fn restart_engine(&mut self, target: &str) {
        self.kill_engine(target);
        self.run(2 * MS);
        self.engines.get_mut(target).expect("known").restart();
        self.leaving_since.remove(target);
        self.listed_leaving.remove(target);
        for entry in &mut self.entries {
            entry.listed_leaving_since.remove(target);
        }
        self.reconnect(target);
    }

    /// Isolates a zone: connections between that zone and the others are lost.
    pub(crate) fn isolate_zone(&mut self, zone: &'static str) {
        self.isolated_zones.insert(zone);
        let targets: Vec<String> = self.engines.keys().cloned().collect();
        for number in 0..self.entries.len() {
            for target in &targets {
                if !self.can_reach_target(number, target) {
                    self.engines
                        .get_mut(target)
                        .expect("known")
                        .drop_attempts(number);
                    self.reply(number, Event::Disconnected(target.clone()));
                }
            }
        }
    }

    /// Ends the isolation of a zone and connects what can reach each other again.
    pub(crate) fn rejoin_zone(&mut self, zone: &'static str) {
        let targets: Vec<String> = self.engines.keys().cloned().collect();
        let before: Vec<bool> = self.reachable_targets(&targets);
        self.isolated_zones.remove(zone);
        let after = self.reachable_targets(&targets);
        let mut reachable = before.iter().zip(&after);
        for number in 0..self.entries.len() {
            for target in &targets {
                if let Some((false, true)) = reachable.next() {
                    self.connect(number, target);
                }
            }
        }
    }

    /// Whether each entry can reach each of the targets, ordered by entry.
    pub(super) fn reachable_targets(&self, targets: &[String]) -> Vec<bool> {
        let numbers = 0..self.entries.len();
        let pairs = numbers.flat_map(|number| targets.iter().map(move |target| (number, target)));
        pairs
            .map(|(number, target)| self.can_reach_target(number, target))
            .collect()
    }

    pub(super) fn zones_connected(&self, a: &str, b: &str) -> bool {
        a == b || (!self.isolated_zones.contains(a) && !self.isolated_zones.contains(b))
    }

    pub(super) fn can_reach_platform(&self, number: usize) -> bool {
        !self.isolated_zones.contains(self.entries[number].zone)
    }

    pub(super) fn can_reach_target(&self, number: usize, target: &str) -> bool {
        self.zones
            .get(target)
            .is_some_and(|zone| self.zones_connected(self.entries[number].zone, zone))
    }

    pub(super) fn send_order(&mut self, number: usize, target: String, order: Command) {
        if matches!(order, Command::Open(_)) {
            self.check_leaving(number, &target);
        }
        let incarnation = self.entries[number].incarnation;
        let engine_incarnation = self.engines[&target].incarnation;
        self.schedule(
            LATENCY,
            Delivery::Order(number, incarnation, target, engine_incarnation, order),
        );
    }

    pub(super) fn order(&mut self, number: usize, target: &str, incarnation: u64, order: Command) {
        if !self.can_reach_target(number, target) {
            return;
        }
        let engine = self.engines.get_mut(target).expect("known");
        if !engine.up || engine.frozen || engine.incarnation != incarnation {
            return;
        }
        let forged = match &order {
            Command::Step(step) if self.forge_replies => engine::forge(step, LAYERS),
            _ => Vec::new(),
        };
        let replies = engine.order(number, order);
        if !engine.up {
            self.crashes += 1;
            return self.kill_engine(target);
        }
        for reply in forged.into_iter().chain(replies) {
            if !matches!(reply, Reply::LayersHeld(_)) {
                self.reply(number, Event::EngineReply(target.to_owned(), reply));
                continue;
            }
            // An engine reports a change of its layers on every connection.
            for other in 0..self.entries.len() {
                if self.can_reach_target(other, target) {
                    self.reply(other, Event::EngineReply(target.to_owned(), reply.clone()));
                }
            }
        }
    }

    pub(super) fn forward(&mut self, number: usize, forward: Forward) {
        let expired = self.clock(number).mono >= forward.send_by;
        let reachable = self.can_reach_target(number, &forward.target);
        if !expired && reachable {
            self.check_leaving(number, &forward.target);
        }
        let service = self.services.get_mut(&forward.target).expect("known");
        let exchange = if expired || !reachable {
            Exchange::Unsent
        } else if service.frozen {
            let wait = forward.until.saturating_sub(self.clock(number).mono);
            let incarnation = self.entries[number].incarnation;
            let event = Event::ExchangeEnded(forward.request, forward.attempt, Exchange::Broken);
            return self.schedule(wait, Delivery::Event(number, incarnation, event));
        } else {
            service.call(forward.request)
        };
        self.reply(
            number,
            Event::ExchangeEnded(forward.request, forward.attempt, exchange),
        );
    }

    pub(super) fn append(&mut self, number: usize, append: Append) {
        let wall = self.wall();
        let appended = match self.can_reach_platform(number) {
            true => self.log.append(wall, &append.stream, &append.records),
            false => None,
        };
        let event = match appended {
            Some(offset) => Event::Appended(append.id, offset),
            None => Event::AppendFailed(append.id),
        };
        self.reply(number, event);
    }

    pub(super) fn read_stream(&mut self, number: usize, stream: String) {
        let Some(from) = self.entries[number].tails.get(&stream).copied() else {
            return;
        };
        let page = match self.can_reach_platform(number) {
            true => self.log.read(&stream, from),
            false => None,
        };
        let incarnation = self.entries[number].incarnation;
        let empty = page.as_ref().is_none_or(|page| page.records.is_empty());
        let wait = if empty {
            IDLE_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.schedule(wait, Delivery::Tail(number, incarnation, stream.clone()));
        let entry = &mut self.entries[number];
        let recent = entry
            .last_page
            .get(&stream)
            .is_some_and(|at| self.now < *at + EMPTY_PAGE_INTERVAL);
        match page {
            Some(page) if page.records.is_empty() && recent => {}
            Some(page) => {
                entry.tails.insert(stream.clone(), page.end.max(from));
                entry.last_page.insert(stream.clone(), self.now);
                self.reply(number, Event::StreamPage(stream, page));
            }
            None => self.reply(number, Event::TailFailed(stream)),
        }
    }

    pub(super) fn read_list(&mut self, number: usize) {
        let incarnation = self.entries[number].incarnation;
        self.schedule(LIST_INTERVAL, Delivery::List(number, incarnation));
        if self.list_down || !self.can_reach_platform(number) {
            return self.handle_event(number, Event::ListFailed);
        }
        let state = |leaving| if leaving { State::Leaving } else { State::Live };
        let mut instances = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            if !entry.exited {
                instances.push(Instance {
                    name: format!("e{number}"),
                    role: Role::Entry,
                    address: format!("10.1.0.{number}:70"),
                    zone: entry.zone.to_owned(),
                    state: State::Live,
                });
            }
        }
        for (id, zone) in &self.zones {
            instances.push(Instance {
                name: id.clone(),
                role: Role::Target,
                address: "10.0.0.1:80".to_owned(),
                zone: (*zone).to_owned(),
                state: state(self.listed_leaving.contains(id)),
            });
        }
        let (now, leaving) = (self.now, &self.listed_leaving);
        let since = &mut self.entries[number].listed_leaving_since;
        since.retain(|id, _| leaving.contains(id));
        for id in leaving {
            since.entry(id.clone()).or_insert(now);
        }
        self.handle_event(number, Event::InstancesListed(instances));
    }

    pub(super) fn send_to_peer(&mut self, number: usize, to: &str, body: peer::Body) {
        self.peer_messages += 1;
        assert!(
            self.peer_messages < MAX_PEER_MESSAGES,
            "endless messages between entries"
        );
        let other: usize = to[1..].parse().expect("an entry's name");
        if !self.zones_connected(self.entries[number].zone, self.entries[other].zone) {
            return;
        }
        let message = peer::Message {
            sender: format!("e{number}"),
            incarnation: self.entries[number].incarnation,
            body,
        };
        self.reply(other, Event::PeerMessage(message));
    }

    /// Fails when a target gets new work 3 s after the entry could know that it is leaving.
    pub(super) fn check_leaving(&self, number: usize, target: &str) {
        let listed = self.entries[number].listed_leaving_since.get(target);
        let overdue = listed.is_some_and(|since| self.now > *since + Duration::from_secs(3));
        assert!(
            !overdue,
            "e{number} gave {target} new work after the list showed it leaving"
        );
        if let Some(since) = self.leaving_since.get(target) {
            let overdue = self.now > *since + Duration::from_secs(3);
            assert!(
                !overdue,
                "e{number} gave {target} new work while it was leaving"
            );
        }
    }
}
