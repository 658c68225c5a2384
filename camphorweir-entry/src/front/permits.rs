//! Exchanges with other instances which targets name limits, and permits to send to these.

use {
    crate::{
        front::{
            probe::check_limit,
            state::{State, log_limit},
        },
        units::millis,
    },
    camphorweir_relay::{
        fleet::Target,
        ids::{TargetId, Time, ids_tag},
        permit::{
            self, Answer, Candidate, Grantor, Question, Silences, UNKNOWN_RETRY, VALIDITY,
            permit_candidates,
        },
        router::{Admission, Plan, Router},
    },
    camphorweir_wire::{
        codec,
        digest::Datagram,
        limit::{Account, Ask, Grant, News, Outcome},
    },
    rand::{Rng, seq::IteratorRandom},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{interval, sleep, timeout},
    },
};

/// Pause between looks for limits that others have to know.
const NEWS_PAUSE: Duration = Duration::from_millis(100);
/// Number of instances that are told of a change at each of these, for [`NEWS_TIME`].
const NEWS_RECIPIENTS: usize = 3;
/// Number of looks after the start at which others are asked for what they know.
const NEWS_QUESTIONS: u32 = 5;
/// Time for which a change is told; four rounds reach some two hundred instances.
const NEWS_TIME: Duration = Duration::from_secs(1);
/// Number of looks for each message with what is known of all limits to one instance, which makes up for
/// messages that were lost.
const REPEAT_ROUNDS: u64 = 5;
/// Number of looks for each account of the permits that this instance gave.
const ACCOUNT_ROUNDS: u64 = 2;
/// Limit on the limits in a datagram.
const MAX_NEWS: usize = 40;
/// Time for an answer to a question for a permit; the network takes a few ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Number of times that an instance is asked, as datagrams are lost.
const TRIES: usize = 3;
/// Pause between status checks of a target that takes no requests at all.
const CHECK_PAUSE: Duration = Duration::from_secs(10);
/// Added to the time after which permits are asked for again, at random up to this share.
const RETRY_SPREAD: f64 = 0.5;

/// Permits that this instance gives and asks for.
#[derive(Debug)]
pub struct Permits {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    grantor: Grantor,
    silences: Silences,
    /// Senders of the answers that are awaited, by number of the message.
    pending: HashMap<u64, oneshot::Sender<Grant>>,
    last_number: u64,
    /// Number of times that other instances are still to be asked for the limits that they know.
    news_questions: u32,
    /// When this instance last learned of a change.
    changed_at: Option<Time>,
    /// When each target that takes nothing was last checked.
    checked_at: HashMap<TargetId, Time>,
}

impl Permits {
    /// Permits of an instance that starts.
    pub fn new(now: Time) -> Self {
        Self {
            inner: Mutex::new(Inner {
                grantor: Grantor::new(now),
                silences: Silences::default(),
                pending: HashMap::new(),
                last_number: rand::random::<u64>() >> 1,
                news_questions: NEWS_QUESTIONS,
                changed_at: None,
                checked_at: HashMap::new(),
            }),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a message of another instance.
    pub fn record_heard(&self, now: Time) {
        self.inner().grantor.record_heard(now);
    }

    /// Records that this instance learned of a change of a limit.
    pub fn record_change(&self, now: Time) {
        self.inner().changed_at = Some(now);
    }

    fn next_number(&self) -> u64 {
        let mut inner = self.inner();
        inner.last_number += 1;
        inner.last_number
    }
}

fn send(state: &State, datagram: &Datagram, address: SocketAddr) {
    state.ports().send(&codec::encode(datagram), address);
}

/// Tells other instances of limits, and checks targets that take nothing; never returns.
pub async fn permits_run(state: &State) {
    let mut ticks = interval(NEWS_PAUSE);
    for round in 0u64.. {
        ticks.tick().await;
        let now = state.now();
        state.permits().inner().grantor.record_running(now);
        if state.ports().sockets().is_none() {
            state.permits().inner().grantor.record_deaf(now);
        }
        ask_for_news(state);
        {
            let mut router = state.router();
            let Router { fleet, limits, .. } = &mut *router;
            limits.retain(fleet, now);
            if limits.is_empty() {
                continue;
            }
        }
        tell(state, round, now);
        if round.is_multiple_of(ACCOUNT_ROUNDS) {
            tell_accounts(state, now);
        }
        check_closed(state, now);
    }
}

/// Asks some instances for the limits that they know, once this instance has started and knows the targets.
fn ask_for_news(state: &State) {
    let has_targets = state.router().fleet.targets().next().is_some();
    if !has_targets || state.permits().inner().news_questions == 0 {
        return;
    }
    let others = permitted(state);
    let others = others.iter().filter_map(|instance| instance.address);
    let others = others.choose_multiple(&mut rand::rng(), NEWS_RECIPIENTS);
    if !others.is_empty() {
        state.permits().inner().news_questions -= 1;
    }
    for address in others {
        send(state, &Datagram::Limits(Vec::new()), address);
    }
}

/// Applies what another instance knows of limits; one that names none asks for those known here.
pub fn receive_news(state: &State, news: &[News], address: SocketAddr) {
    if !news.is_empty() {
        return apply_news(state, news, "peer");
    }
    let now = state.now();
    let mut known = {
        let router = state.router();
        router.limits.news(&router.fleet, now)
    };
    known.truncate(MAX_NEWS);
    if !known.is_empty() {
        send(state, &Datagram::Limits(known), address);
    }
}

/// Tells some instances of limits: newly changed ones at once, and a part of all now and then.
fn tell(state: &State, round: u64, now: Time) {
    let changed_at = state.permits().inner().changed_at;
    let is_news = changed_at.is_some_and(|at| now.saturating_sub(at) < NEWS_TIME);
    let recipients = match (is_news, round.is_multiple_of(REPEAT_ROUNDS)) {
        (true, _) => NEWS_RECIPIENTS,
        (false, true) => 1,
        (false, false) => return,
    };
    let mut news = {
        let router = state.router();
        router.limits.news(&router.fleet, now)
    };
    news.sort_by_key(|news| news.age_ms);
    if !is_news && news.len() > MAX_NEWS {
        let parts = news.len().div_ceil(MAX_NEWS) as u64;
        let part = (round / REPEAT_ROUNDS % parts) as usize;
        news.drain(..part * MAX_NEWS);
    }
    news.truncate(MAX_NEWS);
    let addresses = permitted(state);
    let addresses = addresses.iter().filter_map(|instance| instance.address);
    let addresses = addresses.choose_multiple(&mut rand::rng(), recipients);
    let datagram = Datagram::Limits(news);
    for address in addresses {
        send(state, &datagram, address);
    }
}

/// Tells the other instances that may give permits of a target which ones this one gave, and how many
/// instances give some where they may not hear of each other.
fn tell_accounts(state: &State, now: Time) {
    let accounts = state.permits().inner().grantor.accounts(now);
    for ((tag, started_ms), account) in accounts {
        let target = state.router().fleet.by_tag(tag).cloned();
        let Some(target) = target else {
            continue;
        };
        let datagram = Datagram::Account(Account {
            entry: state.settings().instance.clone(),
            target: tag,
            started_ms,
            ends: account.ends,
            givers: account.givers as u32,
        });
        let others = candidates(state, &target).into_iter();
        for address in others.filter_map(|candidate| candidate.address) {
            send(state, &datagram, address);
        }
    }
}

/// Applies another instance's account of the permits that it gave.
pub fn receive_account(state: &State, account: Account) {
    let now = state.now();
    let key = (account.target, account.started_ms);
    let told = permit::Account {
        ends: account.ends,
        givers: account.givers as usize,
    };
    let is_divided = {
        let grantor = &mut state.permits().inner().grantor;
        grantor.apply_account(key, &account.entry, &told, now)
    };
    if is_divided {
        let target = state.router().fleet.by_tag(account.target).cloned();
        let name = target.map_or_else(String::new, |target| target.id.to_string());
        log::info!(
            target_name = name,
            givers = account.givers,
            instance = account.entry;
            "several instances give permits of a target, which do not all hear of each other"
        );
    }
}

/// Checks targets that take no requests at all and so can't say in answers that they do again.
fn check_closed(state: &State, now: Time) {
    let closed: Vec<Target> = {
        let router = state.router();
        let limited = router.limits.limited(&router.fleet);
        let closed = limited.filter(|(_, limit)| limit.per_second == Some(0.0));
        closed.map(|(target, _)| target.clone()).collect()
    };
    for target in closed {
        let first = candidates(state, &target);
        let is_own = first.first().is_some_and(|first| first.address.is_none());
        let mut inner = state.permits().inner();
        let checked_at = inner.checked_at.get(&target.id).copied();
        if is_own && checked_at.is_none_or(|at| now.saturating_sub(at) >= CHECK_PAUSE) {
            inner.checked_at.insert(target.id.clone(), now);
            tokio::spawn(check_limit(state.clone(), target));
        }
    }
}

fn permitted(state: &State) -> Vec<Candidate<Option<SocketAddr>>> {
    let settings = state.settings();
    state
        .instances()
        .permitted(&settings.instance, &settings.zone)
}

fn candidates(state: &State, target: &Target) -> Vec<Candidate<Option<SocketAddr>>> {
    permit_candidates(ids_tag(&target.id), &target.zone, permitted(state))
}

/// A permit to send one request.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// Until when the request must be sent; `None` where no permit is needed.
    valid_until: Option<Time>,
}

impl Permit {
    /// Whether the request may still be sent.
    pub fn is_valid(&self, now: Time) -> bool {
        self.valid_until.is_none_or(|until| now <= until)
    }
}

/// Waits for a permit to send a request as planned; `None` when there is none.
pub async fn permits_acquire(state: &State, request: &Admission, plan: &Plan) -> Option<Permit> {
    let free = Permit { valid_until: None };
    let now = state.now();
    let (target, rate, max_wait) = {
        let router = state.router();
        let limit = router.limit_of(&plan.target, request, now);
        let target = router.fleet.get(&plan.target).cloned();
        match target.zip(limit).filter(|_| !plan.is_detour()) {
            Some((target, (rate, max_wait))) => (target, rate, max_wait),
            None => return Some(free),
        }
    };
    let (answer, asked_at) = permits_ask(state, &target, max_wait).await;
    state
        .metrics()
        .record_permit(&target.id, answer_label(answer));
    match answer {
        Answer::Free => Some(free),
        Answer::After(wait) => {
            sleep(wait).await;
            let valid_until = Some(asked_at + wait + VALIDITY);
            Some(Permit { valid_until })
        }
        Answer::Denied(wait) => {
            let wait = wait.mul_f64(1.0 + RETRY_SPREAD * rand::rng().random::<f64>());
            let now = state.now();
            state.router().tracker.record_limited(&target.id, wait, now);
            log::info!(
                request:% = request.id,
                target_name:% = target.id,
                per_second = rate,
                wait_ms = millis(wait);
                "the limit of a target is used up"
            );
            None
        }
    }
}

/// The `outcome` label of an answer in metrics.
fn answer_label(answer: Answer) -> &'static str {
    match answer {
        Answer::Free => "free",
        Answer::After(_) => "granted",
        Answer::Denied(_) => "denied",
    }
}

/// Asks for a permit to send something to a target; returns the answer, and when its question was sent.
pub async fn permits_ask(state: &State, target: &Target, max_wait: Duration) -> (Answer, Time) {
    let now = state.now();
    let news = state.router().limits.news_of(target, now);
    let Some(news) = news.filter(|news| news.per_second.is_some()) else {
        return (Answer::Free, now);
    };
    let ask = Ask {
        call: 0,
        entry: state.settings().instance.clone(),
        number: state.permits().next_number(),
        news,
        max_wait_ms: to_ms(max_wait),
    };
    ask_candidates(state, &candidates(state, target), &ask).await
}

/// Asks the instances that give permits of a target, one after the other, until one answers. Where that is
/// this instance, those before it are silent, and it answers itself.
async fn ask_candidates(
    state: &State,
    candidates: &[Candidate<Option<SocketAddr>>],
    ask: &Ask,
) -> (Answer, Time) {
    for (index, candidate) in (1..).zip(candidates) {
        let now = state.now();
        let Some(address) = candidate.address else {
            let before = candidates.iter().take(index as usize - 1);
            let wait = {
                let inner = state.permits().inner();
                before
                    .map(|other| inner.silences.wait_for(&other.name, now))
                    .max()
            };
            let answer = match wait.filter(|wait| !wait.is_zero()) {
                Some(wait) => Answer::Denied(wait),
                None => grant(state, ask, index > 1),
            };
            return (answer, now);
        };
        if state
            .permits()
            .inner()
            .silences
            .is_silent(&candidate.name, now)
        {
            continue;
        }
        // One that is asked out of turn asks those before it first.
        let time = ANSWER_TIMEOUT * (2 * index - 1);
        for _ in 0..TRIES {
            let asked_at = state.now();
            if let Some(answer) = ask_one(state, address, ask, time).await {
                state.permits().inner().silences.clear(&candidate.name);
                return (answer, asked_at);
            }
        }
        let now = state.now();
        state
            .permits()
            .inner()
            .silences
            .record(&candidate.name, now);
        log::info!(instance = candidate.name; "no answer to a question for a permit");
    }
    (Answer::Denied(UNKNOWN_RETRY), state.now())
}

async fn ask_one(state: &State, address: SocketAddr, ask: &Ask, time: Duration) -> Option<Answer> {
    let permits = state.permits();
    let call = permits.next_number();
    let (sender, receiver) = oneshot::channel();
    permits.inner().pending.insert(call, sender);
    send(
        state,
        &Datagram::Ask(Ask {
            call,
            ..ask.clone()
        }),
        address,
    );
    let grant = timeout(time, receiver).await;
    permits.inner().pending.remove(&call);
    let grant = grant.ok()?.ok()?;
    if let Some(news) = &grant.news {
        apply_news(state, &[*news], "permit");
    }
    Some(match grant.outcome {
        Outcome::Free => Answer::Free,
        Outcome::After(ms) => Answer::After(Duration::from_millis(ms.into())),
        Outcome::Denied(ms) => Answer::Denied(Duration::from_millis(ms.into())),
    })
}

/// Answers a question as the instance that gives the permits of a target.
fn grant(state: &State, ask: &Ask, is_out_of_turn: bool) -> Answer {
    let now = state.now();
    let per_second = {
        let router = state.router();
        let target = router.fleet.by_tag(ask.news.target);
        let target = target.filter(|target| target.started_ms == ask.news.started_ms);
        match target.and_then(|target| router.limits.news_of(target, now)) {
            Some(news) => news.per_second,
            None => ask.news.per_second,
        }
    };
    let Some(per_second) = per_second else {
        return Answer::Free;
    };
    let question = Question {
        key: (ask.news.target, ask.news.started_ms),
        per_second,
        asker: &ask.entry,
        number: ask.number,
        max_wait: Duration::from_millis(ask.max_wait_ms.into()),
        instances: state.router().listed_instances.max(1),
        permitted: permitted(state).len(),
        is_out_of_turn,
    };
    state.permits().inner().grantor.grant(&question, now)
}

/// Answers a question of another instance, after asking those that come before this one.
pub fn receive_ask(state: &State, ask: Ask, address: SocketAddr) {
    let state = state.clone();
    tokio::spawn(async move {
        apply_news(&state, &[ask.news], "permit");
        let now = state.now();
        let target = state.router().fleet.by_tag(ask.news.target).cloned();
        let answer = match &target {
            Some(target) => {
                ask_candidates(&state, &candidates(&state, target), &ask)
                    .await
                    .0
            }
            // A target that is not listed here yet.
            None => grant(&state, &ask, false),
        };
        let known = target.and_then(|target| state.router().limits.news_of(&target, now));
        let grant = Grant {
            call: ask.call,
            outcome: match answer {
                Answer::Free => Outcome::Free,
                Answer::After(wait) => Outcome::After(to_ms(wait)),
                Answer::Denied(wait) => Outcome::Denied(to_ms(wait)),
            },
            news: known,
        };
        send(&state, &Datagram::Grant(grant), address);
    });
}

/// Passes an answer on to where it is awaited; a late one is dropped.
pub fn receive_grant(state: &State, grant: Grant) {
    let sender = state.permits().inner().pending.remove(&grant.call);
    if let Some(sender) = sender {
        // The receiver may have just given up.
        let _ = sender.send(grant);
    }
}

/// Applies what another instance knows of limits.
fn apply_news(state: &State, news: &[News], source: &str) {
    let now = state.now();
    let mut router = state.router();
    let Router {
        fleet,
        limits,
        tracker,
        ..
    } = &mut *router;
    for news in news {
        let Some(target) = fleet.by_tag(news.target) else {
            continue;
        };
        if let Some(change) = limits.apply_news(target, news, now) {
            tracker.clear_limited(&target.id);
            state.permits().record_change(now);
            log_limit(&target.id, change, source);
        }
    }
}

/// A time in ms, rounded up.
fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
