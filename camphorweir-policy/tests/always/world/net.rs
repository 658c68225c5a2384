//! Connections between entries, targets and the platform, and what travels over them.

use super::*;

impl World {
    pub(super) fn link(&mut self, number: usize, target: &str) {
        let reach = self.reach_target(number, target);
        let engine = &self.engines[target];
        if engine.up && reach {
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

    /// Links every entry anew that can reach the engine.
    pub(crate) fn relink(&mut self, target: &str) {
        for number in 0..self.entries.len() {
            self.link(number, target);
        }
    }

    /// An engine's process dies.
    pub(crate) fn kill_engine(&mut self, target: &str) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.up = false;
        }
        for number in 0..self.entries.len() {
            self.reply(number, Event::Disconnected(target.to_owned()));
        }
    }

    /// An engine starts again with an empty cache under the same address.
    pub(crate) fn restart_engine(&mut self, target: &str) {
        self.kill_engine(target);
        self.run(2 * MS);
        self.engines.get_mut(target).expect("known").restart();
        self.leaving_since.remove(target);
        self.listed_leaving.remove(target);
        for entry in &mut self.entries {
            entry.listed.remove(target);
        }
        self.relink(target);
    }

    /// Cuts a zone off: connections between it and the rest are lost.
    pub(crate) fn cut_zone(&mut self, zone: &'static str) {
        self.cut.insert(zone);
        let targets: Vec<String> = self.engines.keys().cloned().collect();
        for number in 0..self.entries.len() {
            for target in &targets {
                if !self.reach_target(number, target) {
                    self.engines.get_mut(target).expect("known").forget(number);
                    self.reply(number, Event::Disconnected(target.clone()));
                }
            }
        }
    }

    /// Ends a cut.
    pub(crate) fn mend_zone(&mut self, zone: &'static str) {
        let targets: Vec<String> = self.engines.keys().cloned().collect();
        let before: Vec<bool> = self.reaches(&targets);
        self.cut.remove(zone);
        let after = self.reaches(&targets);
        let mut all = before.iter().zip(&after);
        for number in 0..self.entries.len() {
            for target in &targets {
                if let Some((false, true)) = all.next() {
                    self.link(number, target);
                }
            }
        }
    }

    pub(super) fn reaches(&self, targets: &[String]) -> Vec<bool> {
        let numbers = 0..self.entries.len();
        let pairs = numbers.flat_map(|number| targets.iter().map(move |target| (number, target)));
        pairs
            .map(|(number, target)| self.reach_target(number, target))
            .collect()
    }

    pub(super) fn reach(&self, one: &str, two: &str) -> bool {
        one == two || (!self.cut.contains(one) && !self.cut.contains(two))
    }

    pub(super) fn reach_platform(&self, number: usize) -> bool {
        !self.cut.contains(self.entries[number].zone)
    }

    pub(super) fn reach_target(&self, number: usize, target: &str) -> bool {
        self.zones
            .get(target)
            .is_some_and(|zone| self.reach(self.entries[number].zone, zone))
    }

    pub(super) fn send_order(&mut self, number: usize, target: String, order: Command) {
        if matches!(order, Command::Open(_)) {
            self.check_leaving(number, &target);
        }
        let life = self.entries[number].life;
        let incarnation = self.engines[&target].incarnation;
        self.send(
            LATENCY,
            Parcel::Order(number, life, target, incarnation, order),
        );
    }

    pub(super) fn order(&mut self, number: usize, target: &str, incarnation: u64, order: Command) {
        if !self.reach_target(number, target) {
            return;
        }
        let engine = self.engines.get_mut(target).expect("known");
        if !engine.up || engine.frozen || engine.incarnation != incarnation {
            return;
        }
        let forged = match &order {
            Command::Step(step) if self.noise => engine::forge(step, LAYERS),
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
            // A change of what it holds is told on every connection.
            for other in 0..self.entries.len() {
                if self.reach_target(other, target) {
                    self.reply(other, Event::EngineReply(target.to_owned(), reply.clone()));
                }
            }
        }
    }

    pub(super) fn forward(&mut self, number: usize, forward: Forward) {
        let late = self.clock(number).mono >= forward.send_by;
        let reach = self.reach_target(number, &forward.target);
        if !late && reach {
            self.check_leaving(number, &forward.target);
        }
        let service = self.services.get_mut(&forward.target).expect("known");
        let end = if late || !reach {
            Exchange::Unsent
        } else if service.frozen {
            let wait = forward.until.saturating_sub(self.clock(number).mono);
            let life = self.entries[number].life;
            let event = Event::ExchangeEnded(forward.request, forward.attempt, Exchange::Broken);
            return self.send(wait, Parcel::Event(number, life, event));
        } else {
            service.call(forward.request)
        };
        self.reply(
            number,
            Event::ExchangeEnded(forward.request, forward.attempt, end),
        );
    }

    pub(super) fn append(&mut self, number: usize, append: Append) {
        let wall = self.wall();
        let landed = match self.reach_platform(number) {
            true => self.log.append(wall, &append.stream, &append.records),
            false => None,
        };
        let event = match landed {
            Some(offset) => Event::Appended(append.id, offset),
            None => Event::AppendFailed(append.id),
        };
        self.reply(number, event);
    }

    pub(super) fn tail(&mut self, number: usize, stream: String) {
        let Some(from) = self.entries[number].tails.get(&stream).copied() else {
            return;
        };
        let page = match self.reach_platform(number) {
            true => self.log.read(&stream, from),
            false => None,
        };
        let life = self.entries[number].life;
        let idle = page.as_ref().is_none_or(|page| page.records.is_empty());
        let wait = if idle { POLL_IDLE } else { POLL };
        self.send(wait, Parcel::Tail(number, life, stream.clone()));
        let entry = &mut self.entries[number];
        let idle = entry
            .told
            .get(&stream)
            .is_some_and(|at| self.now < *at + IDLE);
        match page {
            Some(page) if page.records.is_empty() && idle => {}
            Some(page) => {
                entry.tails.insert(stream.clone(), page.end.max(from));
                entry.told.insert(stream.clone(), self.now);
                self.reply(number, Event::StreamPage(stream, page));
            }
            None => self.reply(number, Event::TailFailed(stream)),
        }
    }

    pub(super) fn list(&mut self, number: usize) {
        let life = self.entries[number].life;
        self.send(LIST, Parcel::List(number, life));
        if self.list_down || !self.reach_platform(number) {
            return self.event(number, Event::ListFailed);
        }
        let state = |leaving| if leaving { State::Leaving } else { State::Live };
        let mut all = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            if !entry.exited {
                all.push(Instance {
                    name: format!("e{number}"),
                    role: Role::Entry,
                    address: format!("10.1.0.{number}:70"),
                    zone: entry.zone.to_owned(),
                    state: State::Live,
                });
            }
        }
        for (id, zone) in &self.zones {
            all.push(Instance {
                name: id.clone(),
                role: Role::Target,
                address: "10.0.0.1:80".to_owned(),
                zone: (*zone).to_owned(),
                state: state(self.listed_leaving.contains(id)),
            });
        }
        let (now, leaving) = (self.now, &self.listed_leaving);
        let known = &mut self.entries[number].listed;
        known.retain(|id, _| leaving.contains(id));
        for id in leaving {
            known.entry(id.clone()).or_insert(now);
        }
        self.event(number, Event::InstancesListed(all));
    }

    pub(super) fn peer(&mut self, number: usize, to: &str, body: peer::Body) {
        self.letters += 1;
        assert!(self.letters < LETTERS, "messages without end");
        let other: usize = to[1..].parse().expect("an entry's name");
        if !self.reach(self.entries[number].zone, self.entries[other].zone) {
            return;
        }
        let message = peer::Message {
            sender: format!("e{number}"),
            incarnation: self.entries[number].life,
            body,
        };
        self.reply(other, Event::PeerMessage(message));
    }

    /// No new work after three seconds in which the entry could know.
    pub(super) fn check_leaving(&self, number: usize, target: &str) {
        let listed = self.entries[number].listed.get(target);
        let late = listed.is_some_and(|since| self.now > *since + Duration::from_secs(3));
        assert!(!late, "e{number} gave {target} new work after the list");
        if let Some(since) = self.leaving_since.get(target) {
            let late = self.now > *since + Duration::from_secs(3);
            assert!(
                !late,
                "e{number} gave {target} new work while it was leaving"
            );
        }
    }
}
