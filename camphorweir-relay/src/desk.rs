//! One entry's view, and the decisions on a request from its arrival to its end.

use {
    crate::{
        access::{Known, access_check, access_fresh},
        board::Board,
        budget::Budget,
        fleet::Fleet,
        head::Head,
        ids::{Now, RequestId, ServiceName, TargetId, Workspace, Zone, ids_tag},
        path::Path,
        peers::Peers,
        repeat::{Failure, Next, Tally, repeat_end, repeat_next},
        site::{Configuration, Engine, Route},
        terms::Bounds,
    },
    camphorweir_wire::{
        code::Code,
        digest::{Digest, Failing, KEPT_UNIT, Load},
        outcome::Refusal,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// When to come back while the layers are there but memory is not: soon enough for a first event
/// within half a second, and a zone frees room for some thirty streams a second.
const BUSY_RETRY: Duration = Duration::from_millis(250);
/// When to come back while layers are missing in every zone: a target is told to load them within a
/// second, drains, and loads for one or two.
const BARE_RETRY: Duration = Duration::from_millis(2500);
/// A request is held for room for up to this part of its objective, so that it can still be met.
const WAIT_PART: u32 = 8;
/// When to come back after targets refused or failed: a call's time, a few times over.
const FAILED_RETRY: Duration = Duration::from_millis(150);
/// Time that a request waits for when neither caller nor route says.
const NO_DEADLINE: Duration = Duration::from_secs(30);
/// A call is not sent with less time than this left, in which no target could answer.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Entries that may exist without having been heard of: one spare in each zone.
const UNHEARD: usize = 3;

/// A request that was let in.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The caller's attempt.
    pub id: RequestId,
    /// Its route in the configuration under which it arrived.
    pub route: Arc<Route>,
    /// Version of that configuration.
    pub version: u64,
    /// The service it goes to.
    pub service: ServiceName,
    /// Whose it is.
    pub workspace: Option<Workspace>,
    /// Its rank, 0 first: the workspace's, else the route's.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Now,
    /// When it must have ended.
    pub until: Now,
    /// Tokens of the prompt, and the most that the answer may have.
    pub tokens: (u32, u32),
    /// Sends so far.
    pub tally: Tally,
    /// Targets that failed it.
    pub(crate) avoid: Vec<TargetId>,
}

impl Ticket {
    /// Time left.
    pub fn left(&self, now: Now) -> Duration {
        self.until.saturating_sub(now)
    }
}

/// Where to send a request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The target that gets it.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// The path, for targets that hold layers, with the address of each hop.
    pub path: Option<(Path, Vec<SocketAddr>)>,
    /// Tokens reserved on every hop.
    pub tokens: f64,
    /// Connections to this target that this entry may have.
    pub connections: usize,
    /// When it was chosen.
    pub at: Now,
}

impl Plan {
    /// The hops with their layers, for the log.
    pub fn text(&self) -> String {
        let hops = self.path.iter().flat_map(|(path, _)| path.hops());
        let hops = hops.map(|hop| format!("{} {}-{}", hop.target, hop.span.from, hop.span.to));
        hops.collect::<Vec<_>>().join(", ")
    }
}

/// How a send ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With an answer of the target; `good` unless it tells a failure of its own.
    Answered {
        /// Whether the status is below 500.
        good: bool,
    },
    /// Without one; the target at fault, where it was named.
    Failed(Failure, Option<SocketAddr>),
    /// The caller left or its time was over.
    Dropped,
}

/// The view of one entry.
#[derive(Debug)]
pub struct Desk {
    pub(crate) zone: Zone,
    bounds: Bounds,
    known: Option<Known>,
    /// Targets by their records.
    pub fleet: Fleet,
    /// What is under way.
    pub board: Board,
    budget: Budget,
    /// What peers say.
    pub peers: Peers,
    /// Entries that the store lists, this one included.
    pub listed: usize,
    /// Entries that use the same targets at least, this one included.
    pub(crate) sharers: f64,
    random: u64,
}

impl Desk {
    /// Entries that are listed or heard, this one included.
    pub(crate) fn entries(&self) -> usize {
        self.listed.max(self.peers.count() + 1)
    }

    /// This entry's part of the budget of repeats: one of those that are known, and of as many as
    /// may be added before they are.
    fn repeat_share(&self) -> f64 {
        1.0 / (self.entries() + UNHEARD) as f64
    }

    /// A view that knows nothing yet. `sharers` entries are taken to use the same targets.
    pub fn new(zone: Zone, bounds: Bounds, sharers: f64, seed: u64) -> Self {
        Self {
            zone,
            bounds,
            known: None,
            fleet: Fleet::default(),
            board: Board::default(),
            budget: Budget::new(bounds.repeats),
            peers: Peers::default(),
            listed: 0,
            sharers,
            random: seed | 1,
        }
    }

    /// The promises in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Other promises from now on.
    pub fn bound(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        self.budget.renew(bounds.repeats);
    }

    /// Takes a configuration in; an older one is left aside. Returns whether it is new.
    pub fn configure(&mut self, configuration: Arc<Configuration>, confirmed: Now) -> bool {
        match &mut self.known {
            Some(known) if known.configuration.version >= configuration.version => {
                if known.configuration.version == configuration.version {
                    known.confirmed = known.confirmed.max(confirmed);
                }
                false
            }
            _ => {
                self.known = Some(Known {
                    configuration,
                    confirmed,
                });
                true
            }
        }
    }

    /// Says that a read that began then found nothing newer.
    pub fn confirm(&mut self, began: Now) {
        if let Some(known) = &mut self.known {
            known.confirmed = known.confirmed.max(began);
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.known.as_ref().map(|known| &known.configuration)
    }

    /// Age of the last confirmed read.
    pub fn age(&self, now: Now) -> Option<Duration> {
        let known = self.known.as_ref()?;
        Some(now.saturating_sub(known.confirmed))
    }

    /// Whether callers should come here.
    pub fn ready(&self, now: Now) -> bool {
        let fresh = |known| access_fresh(known, now, self.bounds.revoke);
        self.known.as_ref().is_some_and(fresh) && self.fleet.all().next().is_some()
    }

    /// Lets a request in.
    ///
    /// # Errors
    ///
    /// The refusal of one that may not pass.
    pub fn admit(&mut self, head: &Head, now: Now) -> Result<Ticket, Refusal> {
        let pass = access_check(self.known.as_ref(), head, now, self.bounds.revoke)?;
        let version = self.configuration().map_or(0, |known| known.version);
        let draw = self.draw();
        let service = pass.route.service(draw).cloned();
        let Some(service) = service else {
            return Err(Refusal::not_run(Code::NoTarget, "the route has no service"));
        };
        self.budget.request(&service, now);
        let patience = head.patience.unwrap_or(NO_DEADLINE);
        let time = patience.min(pass.route.timeout);
        let rank = pass.owner.as_ref().and_then(|owner| owner.priority);
        Ok(Ticket {
            id: head.id.clone(),
            priority: rank.unwrap_or(pass.route.priority),
            version,
            service,
            workspace: pass.owner.map(|owner| owner.workspace.clone()),
            arrived: now,
            until: now + time,
            tokens: head.tokens.unwrap_or((0, 0)),
            tally: Tally::default(),
            avoid: Vec::new(),
            route: pass.route,
        })
    }

    /// Chooses where to send a request, and counts it there.
    ///
    /// # Errors
    ///
    /// The refusal when nothing can take it, or its time is over.
    pub fn plan(&mut self, ticket: &mut Ticket, now: Now) -> Result<Plan, Refusal> {
        if ticket.left(now) < LEAST_TIME {
            return Err(self.refuse(ticket, Code::DeadlinePassed));
        }
        let engine = self.engine(&ticket.service).cloned();
        let engine = engine.filter(|engine| engine.layers > 0);
        let none = match (ticket.tally.sends, &engine) {
            (0, Some(_)) => Code::NoPath,
            (0, None) => Code::NoTarget,
            _ => Code::TargetRefused,
        };
        let plan = match engine {
            Some(engine) => self.plan_path(ticket, &engine, now),
            None => self.plan_call(ticket, now),
        };
        let Some(plan) = plan else {
            let mut refusal = self.refuse(ticket, none);
            let (why, full) = self.why_none(ticket, now);
            refusal.detail = why;
            if none == Code::NoPath && !full {
                refusal.retry_after = Some(BARE_RETRY);
            }
            return Err(refusal);
        };
        self.board.begin(&plan.target);
        if let Some((path, _)) = &plan.path {
            self.board.reserve(path, plan.tokens);
        }
        ticket.tally.sends += 1;
        Ok(plan)
    }

    /// Whether every target of a plan is still there and stays.
    pub fn plan_holds(&self, plan: &Plan) -> bool {
        let holds = |id: &TargetId, address: SocketAddr| {
            let target = self.fleet.get(id);
            target.is_some_and(|target| !target.draining && target.address == address)
        };
        match &plan.path {
            None => holds(&plan.target, plan.address),
            Some((path, addresses)) => {
                let mut hops = path.hops().iter().zip(addresses);
                hops.all(|(hop, address)| holds(&hop.target, *address))
            }
        }
    }

    /// Whether a hop of a plan is known to fail.
    pub fn plan_suspect(&self, plan: &Plan, now: Now) -> bool {
        let hops = plan.path.iter().flat_map(|(path, _)| path.hops());
        let mut targets = hops.map(|hop| &hop.target);
        targets.any(|target| self.board.is_shut(target, now) || self.fleet.get(target).is_none())
    }

    /// Ends a send; says what follows when it brought no answer.
    pub fn settle(&mut self, ticket: &mut Ticket, plan: &Plan, outcome: Outcome, now: Now) -> Next {
        self.board.end(&plan.target);
        if let Some((path, _)) = &plan.path {
            self.board.release(path, plan.tokens);
        }
        let took = now.saturating_sub(plan.at);
        match outcome {
            Outcome::Dropped => Next::End(Code::CallerGone),
            Outcome::Answered { good } => {
                let took = plan.path.is_none().then_some(took);
                self.board.good(&plan.target, took.filter(|_| good));
                for hop in plan.path.iter().flat_map(|(path, _)| path.hops()) {
                    self.board.good(&hop.target, None);
                }
                ticket.tally.runs += 1;
                Next::End(Code::TargetFailed)
            }
            Outcome::Failed(failure, at) => self.failed(ticket, plan, failure, at, now),
        }
    }

    fn failed(
        &mut self,
        ticket: &mut Ticket,
        plan: &Plan,
        failure: Failure,
        at: Option<SocketAddr>,
        now: Now,
    ) -> Next {
        let named = at
            .and_then(|at| self.fleet.at(at))
            .map(|target| target.id.clone());
        let silent = failure == Failure::Unsent || failure == Failure::Broken && named.is_some();
        let blamed = named.unwrap_or_else(|| plan.target.clone());
        match failure {
            // The first target says that another one is dead, leaves or has no room.
            Failure::Refused => self.board.full(&blamed, now, at.is_some()),
            Failure::Unsent | Failure::Broken => self.board.bad(&blamed, now, silent),
        }
        ticket.avoid.push(blamed);
        ticket.tally.runs += u32::from(failure == Failure::Broken);
        let next = repeat_next(
            ticket.route.kind,
            ticket.route.attempts,
            &ticket.tally,
            failure,
        );
        let arrived = failure != Failure::Unsent;
        let share = self.repeat_share();
        if next == Next::Again && arrived && !self.budget.repeat(&ticket.service, now, share) {
            return Next::End(repeat_end(&ticket.tally, failure));
        }
        next
    }

    /// What peers are told; the caller adds who says so.
    pub fn digest(&self, now: Now) -> Digest {
        let loads = self.board.loaded().map(|(target, mark)| Load {
            target: ids_tag(target),
            streams: u16::try_from(mark.streams).unwrap_or(u16::MAX),
            first: u16::try_from(mark.calls).unwrap_or(u16::MAX),
            kept: (mark.token_layers / KEPT_UNIT).ceil() as u32,
        });
        let failing = self.board.resting(now).map(|(target, rest)| Failing {
            target: ids_tag(target),
            rest_ms: u16::try_from(rest.as_millis()).unwrap_or(u16::MAX),
            silent: self.board.mark(target).is_silent(now),
        });
        Digest {
            loads: loads.collect(),
            failing: failing.collect(),
            ..Digest::default()
        }
    }

    /// Takes a peer's digest in.
    pub fn heard(&mut self, digest: Digest, now: Now) {
        let failing = digest.failing.clone();
        if !self.peers.take(digest, now) {
            return;
        }
        for failing in failing {
            if let Some(target) = self.fleet.tagged(failing.target) {
                let rest = Duration::from_millis(failing.rest_ms.into());
                self.board.warned(&target.id, now, rest, failing.silent);
            }
        }
    }

    /// The refusal with which a request ends here.
    pub fn refuse(&self, ticket: &Ticket, code: Code) -> Refusal {
        let mut refusal = Refusal::not_run(code, "");
        if ticket.tally.runs > 0 {
            refusal.ran = camphorweir_wire::outcome::Ran::Unknown;
            refusal.code = match code {
                Code::DeadlinePassed => code,
                _ => Code::TargetFailed,
            };
            return refusal;
        }
        match code {
            Code::NoPath => refusal.after(BUSY_RETRY),
            Code::TargetRefused | Code::NoTarget => refusal.after(FAILED_RETRY),
            _ => refusal,
        }
    }

    pub(crate) fn engine(&self, service: &str) -> Option<&Engine> {
        let configuration = self.configuration()?;
        configuration.services.get(service)?.engine.as_ref()
    }

    /// Whether a request that nothing can take now may be held for a moment: room comes back many
    /// times a second, and a caller that is sent away comes back once at most.
    pub fn may_wait(&self, ticket: &Ticket, refusal: &Refusal, now: Now) -> bool {
        let waited = now.saturating_sub(ticket.arrived);
        let full = refusal.retry_after == Some(BUSY_RETRY);
        full && refusal.code == Code::NoPath && waited < ticket.route.objective / WAIT_PART
    }

    /// The next number of a xorshift generator, in `0.0..1.0`.
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}
