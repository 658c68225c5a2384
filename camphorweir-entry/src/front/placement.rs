//! The one duty: empty targets are told which layers to load, by whichever entry holds the lease.

use {
    crate::front::{client::Client, state::State},
    camphorweir_platform::{
        order::{order_place, order_report, order_reported},
        store::{Fault, store_grant, store_join, store_leave},
    },
    camphorweir_relay::{
        fleet::Target,
        ids::{Now, ServiceName, TargetId},
        lease::Lease,
        place::{Seat, place_plan},
        site::{Configuration, Engine},
        span::Span,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// How long the store keeps a member that says nothing.
const TERM: Duration = Duration::from_secs(3);
/// The holder's own term ends earlier by this, for the way to a target.
const TERM_MARGIN: Duration = Duration::from_millis(500);
/// Pause between calls that keep the membership; three fit into a term.
const JOIN_PAUSE: Duration = Duration::from_millis(900);
/// Pause between looks at the placement: a target that came back empty waits no longer.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Time for the store to answer.
const ANSWER: Duration = Duration::from_millis(700);
/// Time for a target to answer.
const TARGET_ANSWER: Duration = Duration::from_millis(600);
/// Pause before an order is tried again that was not taken.
const ORDER_RETRY: Duration = Duration::from_millis(800);
/// An order that was taken shows in the target's record within its load time, this many times
/// over as loads share the weight store, and the slack after.
const LOAD_FACTOR: f64 = 3.0;
/// Slack for the record to be written and read.
const LOAD_SLACK: Duration = Duration::from_secs(4);

/// Orders that were given and don't show yet, with the life of the target and the end of waiting.
type Pending = Arc<Mutex<HashMap<TargetId, (u64, Span, Now)>>>;

/// Stays in the group, and places layers while it holds the lease, until the entry stops.
pub async fn placement_run(state: State) {
    let mut client = Client::new(state.settings().store);
    let mut lease = Lease::new(TERM - TERM_MARGIN);
    let pending = Pending::default();
    let mut next = Instant::now();
    while !state.is_stopping() {
        // One entry of each zone is enough to choose from; another takes over when it is silent.
        if state.is_store_reader() && Instant::now() >= next {
            next = Instant::now() + JOIN_PAUSE;
            join(&state, &mut client, &mut lease).await;
        }
        let fence = lease.fence(state.now());
        state.set_holds_lease(fence.is_some());
        if let Some(fence) = fence {
            place(&state, &pending, fence);
        }
        sleep_until(Instant::now() + LOOK_PAUSE).await;
    }
    let leave = store_leave(&state.settings().instance);
    if let Err(fault) = client.call(leave, ANSWER).await {
        log::warn!(reason:% = fault; "the lease was not given back");
    }
}

async fn join(state: &State, client: &mut Client, lease: &mut Lease) {
    let sent = state.now();
    let held = lease.fence(sent).is_some();
    let call = store_join(&state.settings().instance, TERM, lease.generation());
    let granted = client.call(call, ANSWER).await;
    let granted = granted.and_then(|(status, body)| store_grant(status, &body));
    match granted {
        Ok(grant) => {
            lease.granted(grant, sent);
            if grant.held != held {
                log::info!(held = grant.held, fence = grant.generation; "lease");
            }
        }
        Err(Fault::Refused { status }) => log::debug!(status = status; "lease not renewed"),
        Err(fault) => log::debug!(reason:% = fault; "lease not renewed"),
    }
}

/// Gives orders to targets that hold nothing.
fn place(state: &State, pending: &Pending, fence: u64) {
    let now = state.now();
    let router = state.router();
    let Some(site) = router.configuration().cloned() else {
        return;
    };
    for (name, engine) in layered(&site) {
        let usable = router.fleet.usable(name);
        // One that gives no sign of life has lost what it held, whenever its record ends.
        let live = usable.filter(|target| !router.board.is_lost(&target.id, now));
        let targets: Vec<Target> = live.cloned().collect();
        let mut waiting = pending.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.retain(|_, (_, _, until)| *until > now);
        let seats: Vec<Seat> = targets
            .iter()
            .filter_map(|target| {
                let age = router.fleet.age(&target.id, now);
                seat(target, engine, &waiting, age)
            })
            .collect();
        for (id, span) in place_plan(&seats, engine) {
            let Some(target) = targets.iter().find(|target| target.id == id) else {
                continue;
            };
            let share = f64::from(span.len()) / f64::from(engine.layers);
            let time = engine.load.mul_f64(share * LOAD_FACTOR) + LOAD_SLACK;
            waiting.insert(id.clone(), (target.born, span, now + time));
            let order = Order {
                id,
                address: target.address,
                held: target.span,
                span,
                fence,
            };
            tokio::spawn(give(pending.clone(), order));
        }
    }
}

fn layered(site: &Configuration) -> impl Iterator<Item = (&ServiceName, &Engine)> {
    let services = site.services.iter();
    services.filter_map(|(name, service)| {
        let engine = service.engine.as_ref()?;
        (engine.layers > 0).then_some((name, engine))
    })
}

fn seat(
    target: &Target,
    engine: &Engine,
    waiting: &HashMap<TargetId, (u64, Span, Now)>,
    age: Duration,
) -> Option<Seat> {
    let hardware = *engine.kinds.get(target.hardware.as_ref()?)?;
    let ordered = waiting.get(&target.id);
    let ordered = ordered.filter(|(born, _, _)| *born == target.born);
    let ordered = ordered.map(|(_, span, _)| *span);
    let ordered = ordered.filter(|span| *span != target.span);
    Some(Seat {
        target: target.id.clone(),
        zone: target.zone.clone(),
        hardware,
        span: ordered.unwrap_or(target.span),
        ordered: ordered.is_some(),
        age,
    })
}

struct Order {
    id: TargetId,
    address: SocketAddr,
    /// What the target held when the order was decided.
    held: Span,
    span: Span,
    fence: u64,
}

/// Gives one order, after a look at the target itself; one that was not taken is forgotten after
/// a pause, and then given anew.
async fn give(pending: Pending, order: Order) {
    let mut client = Client::new(order.address);
    let given = give_once(&mut client, &order).await;
    log::info!(
        target_name:% = order.id,
        held_from = order.held.from,
        held_to = order.held.to,
        from = order.span.from,
        to = order.span.to,
        fence = order.fence,
        result = given.as_ref().map_or_else(Clone::clone, |status| status.to_string());
        "order to load layers"
    );
    if !matches!(given, Ok(200 | 202)) {
        sleep(ORDER_RETRY).await;
        let mut waiting = pending.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&order.id);
    }
}

async fn give_once(client: &mut Client, order: &Order) -> Result<u16, String> {
    let text = |fault: Fault| fault.to_string();
    let asked = client.call(order_report(), TARGET_ANSWER).await;
    let (status, body) = asked.map_err(text)?;
    if status != 200 {
        return Err(format!("report refused with {status}"));
    }
    let report = order_reported(&body)?;
    if report.busy || report.span != order.held {
        return Err("the target holds other layers or has an order already".to_owned());
    }
    let call = order_place(order.span, order.fence, report.orders);
    let (status, _) = client.call(call, TARGET_ANSWER).await.map_err(text)?;
    Ok(status)
}
