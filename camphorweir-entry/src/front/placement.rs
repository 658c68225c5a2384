//! Layer placement: the instance that holds the lease orders targets to load layers.

use {
    crate::front::{client::Client, state::State, store::Store},
    camphorweir_platform::{
        control::{control_decode_report, control_place_call, control_report_call},
        store::{Error, store_decode_grant, store_join_call, store_leave_call},
    },
    camphorweir_relay::{
        changes::Changes,
        configuration::{Configuration, Engine},
        fleet::Target,
        ids::{ServiceName, TargetId, Time},
        lease::Lease,
        placement::{Candidate, Reason, placement_plan},
        span::Span,
        store::Era,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// Time after which the store drops a group member that does not renew.
const MEMBERSHIP_TERM: Duration = Duration::from_secs(3);
/// The holder's own lease ends earlier than the store's by this, for the time that an order takes
/// to reach a target.
const LEASE_MARGIN: Duration = Duration::from_millis(500);
/// Pause between membership renewals; three fit into a term.
const RENEWAL_PAUSE: Duration = Duration::from_millis(900);
/// Time after the last renewal at which an instance that no longer reads the store leaves the group;
/// one slow response of the store should not move the lease.
const LEAVE_DELAY: Duration = Duration::from_millis(1800);
/// Pause between placement rounds, and so the longest wait of a target that restarted
/// without layers.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Timeout of a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a request to a target.
const TARGET_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before a failed order is tried again.
const ORDER_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// An accepted order should show in the target's record within its load time multiplied by this, as
/// parallel loads share the weight store, plus [`LOAD_SLACK`].
const LOAD_TIME_FACTOR: f64 = 3.0;
/// Time for the record to be written and read.
const LOAD_SLACK: Duration = Duration::from_secs(4);

/// Time for the streams that pass through a target to end before it loads other layers.
const DRAIN_SLACK: Duration = Duration::from_secs(12);

/// Orders that don't show in the target's record yet: incarnation of the target, ordered layers,
/// and when to stop waiting.
type Pending = Arc<Mutex<HashMap<TargetId, (u64, Span, Time)>>>;

/// Stays in the group, and places layers while it holds the lease, until the instance stops.
pub async fn placement_run(state: State) {
    let mut store = Store::new(&state);
    let mut lease = Lease::new(MEMBERSHIP_TERM - LEASE_MARGIN);
    let pending = Pending::default();
    let mut changes = Changes::default();
    let mut next_renewal = Instant::now();
    // When a renewal was last due while this instance was a member of the group.
    let mut member_at: Option<Instant> = None;
    while !state.is_stopping() {
        // The store reader of each zone is a member of the group, unless it reaches no target. One
        // that stays a member without renewing would hold the lease in vain, until its term ends.
        let is_reader = state.is_settled_reader() && !has_lost_targets(&state);
        if is_reader && Instant::now() >= next_renewal {
            next_renewal = Instant::now() + RENEWAL_PAUSE;
            member_at = Some(Instant::now());
            renew_membership(&state, &mut store, &mut lease).await;
        } else if !is_reader && member_at.is_some_and(|at| at.elapsed() > LEAVE_DELAY) {
            member_at = None;
            leave_group(&state, &mut store, &mut lease).await;
        }
        enter_era(&state, &mut lease);
        let fencing_token = lease.fencing_token(state.now());
        state.set_holds_lease(fencing_token.is_some());
        if let Some(fencing_token) = fencing_token {
            place_layers(&state, &pending, &mut changes, fencing_token);
        }
        sleep_until(Instant::now() + ROUND_PAUSE).await;
    }
    if member_at.is_some() {
        leave_group(&state, &mut store, &mut lease).await;
    }
}

/// Whether this instance reaches no target of a service whose layers it might place.
fn has_lost_targets(state: &State) -> bool {
    let router = state.router();
    let Some(configuration) = router.configuration() else {
        return false;
    };
    layered_services(configuration).any(|(service, _)| router.is_cut_off(service))
}

/// Leaves the group, so that another member gets the lease at once.
async fn leave_group(state: &State, store: &mut Store, lease: &mut Lease) {
    let held = lease.fencing_token(state.now()).is_some();
    lease.give_up();
    let leave = store_leave_call(&state.settings().instance);
    match store.call(leave, STORE_TIMEOUT).await {
        Ok(response) if response.status == 200 => {
            log::info!(held = held; "left the group of the lease");
        }
        Ok(response) => log::warn!(
            status = response.status;
            "could not give up the lease; it ends with its term"
        ),
        Err(error) => {
            log::warn!(reason:% = error; "could not give up the lease; it ends with its term");
        }
    }
}

fn enter_era(state: &State, lease: &mut Lease) {
    let era = state.era();
    lease.enter_era(era, state.has_seen_restore(), state.now(), MEMBERSHIP_TERM);
}

async fn renew_membership(state: &State, store: &mut Store, lease: &mut Lease) {
    let sent_at = state.now();
    let was_holder = lease.fencing_token(sent_at).is_some();
    let call = store_join_call(
        &state.settings().instance,
        MEMBERSHIP_TERM,
        lease.generation(),
    );
    let response = store.call(call, STORE_TIMEOUT).await;
    enter_era(state, lease);
    let granted = response.and_then(|response| {
        let grant = store_decode_grant(response.status, &response.body)?;
        Ok((grant, response.era))
    });
    match granted {
        Ok((grant, era)) => {
            lease.renew(grant, sent_at, era);
            if grant.is_holder != was_holder {
                log::info!(held = grant.is_holder, fence = grant.generation; "lease state changed");
            }
        }
        Err(Error::Refused { status }) => log::debug!(status = status; "membership not renewed"),
        Err(error) => log::debug!(reason:% = error; "membership not renewed"),
    }
}

/// Orders targets to load layers where the placement plan asks for it.
fn place_layers(state: &State, pending: &Pending, changes: &mut Changes, fencing_token: u64) {
    let now = state.now();
    let router = state.router();
    let Some(configuration) = router.configuration().cloned() else {
        return;
    };
    for (name, engine) in layered_services(&configuration) {
        if router.is_in_doubt(name) {
            // Targets that seem to be gone may only be out of reach from here.
            continue;
        }
        let available = router.fleet.available(name);
        // An unresponsive target is assumed to have lost its layers, even before its record ends.
        let responsive =
            available.filter(|target| !router.tracker.is_unresponsive(&target.id, now));
        let targets: Vec<Target> = responsive.cloned().collect();
        let mut pending_orders = pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending_orders.retain(|_, (_, _, until)| *until > now);
        changes.record(targets.iter(), now);
        let candidates: Vec<Candidate> = targets
            .iter()
            .filter_map(|target| {
                let time_since_first_seen = router.fleet.time_since_first_seen(&target.id, now);
                let is_zone_settled = changes.is_settled(name, &target.zone, now);
                candidate(
                    target,
                    engine,
                    &pending_orders,
                    time_since_first_seen,
                    is_zone_settled,
                    router.limits.rate(target),
                )
            })
            .collect();
        for planned in placement_plan(&candidates, engine) {
            let (id, span) = (planned.target, planned.span);
            let Some(target) = targets.iter().find(|target| target.id == id) else {
                continue;
            };
            let layer_fraction = f64::from(span.len()) / f64::from(engine.layers);
            let drain_time = match target.span.is_empty() {
                true => Duration::ZERO,
                false => DRAIN_SLACK,
            };
            let load_time = engine.load_time.mul_f64(layer_fraction * LOAD_TIME_FACTOR);
            let load_time = load_time + LOAD_SLACK + drain_time;
            pending_orders.insert(id.clone(), (target.started_ms, span, now + load_time));
            let order = Order {
                id,
                address: target.address,
                current: target.span,
                span,
                reason: planned.reason,
                fencing_token,
                era: state.era(),
            };
            tokio::spawn(send_order(state.clone(), pending.clone(), order));
        }
    }
}

fn layered_services(
    configuration: &Configuration,
) -> impl Iterator<Item = (&ServiceName, &Engine)> {
    let services = configuration.services.iter();
    services.filter_map(|(name, service)| {
        let engine = service.engine.as_ref()?;
        (engine.layers > 0).then_some((name, engine))
    })
}

fn candidate(
    target: &Target,
    engine: &Engine,
    pending_orders: &HashMap<TargetId, (u64, Span, Time)>,
    time_since_first_seen: Duration,
    is_zone_settled: bool,
    limit: Option<f64>,
) -> Option<Candidate> {
    let ordered_span = pending_orders.get(&target.id);
    let ordered_span = ordered_span.filter(|(started_ms, _, _)| *started_ms == target.started_ms);
    let ordered_span = ordered_span.map(|(_, span, _)| *span);
    let ordered_span = ordered_span.filter(|span| *span != target.span);
    Some(Candidate {
        span: ordered_span.unwrap_or(target.span),
        is_order_pending: ordered_span.is_some(),
        time_since_first_seen,
        is_zone_settled,
        limit,
        ..Candidate::of(target, engine)?
    })
}

struct Order {
    id: TargetId,
    address: SocketAddr,
    /// Layers that the target held when the order was planned.
    current: Span,
    span: Span,
    reason: Reason,
    fencing_token: u64,
    /// Era of the store in which the lease was granted.
    era: Era,
}

/// Sends an order after checking the target's own report. A failed order is removed from `pending`
/// after a pause, so that it can be planned again.
async fn send_order(state: State, pending: Pending, order: Order) {
    let mut client = state.target_client(order.address);
    let result = try_order(&state, &mut client, &order).await;
    log::info!(
        target_name:% = order.id,
        held_from = order.current.from,
        held_to = order.current.to,
        from = order.span.from,
        to = order.span.to,
        reason = describe(order.reason),
        fence = order.fencing_token,
        result = result.as_ref().map_or_else(Clone::clone, |status| status.to_string());
        "result of an order to load layers"
    );
    if !matches!(result, Ok(200 | 202)) {
        sleep(ORDER_RETRY_PAUSE).await;
        let mut pending_orders = pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending_orders.remove(&order.id);
    }
}

/// Why an order is given, for the log; with the flow of the zone and that of a new arrangement, in streams
/// a second.
fn describe(reason: Reason) -> String {
    match reason {
        Reason::Empty => "empty".to_owned(),
        Reason::Gap => "gap".to_owned(),
        Reason::FirstHop => "first hop".to_owned(),
        Reason::Flow(balance) => format!("flow {:.1} of {:.1}", balance.now, balance.reference),
    }
}

async fn try_order(state: &State, client: &mut Client, order: &Order) -> Result<u16, String> {
    let describe = |error: Error| error.to_string();
    let response = client.call(control_report_call(), TARGET_TIMEOUT).await;
    let (status, body) = response.map_err(describe)?;
    if status != 200 {
        return Err(format!("report request failed with status {status}"));
    }
    let report = control_decode_report(&body)?;
    if report.is_busy || report.span != order.current {
        return Err("the target holds other layers than planned or is already loading".to_owned());
    }
    if state.era() != order.era {
        return Err("the store was restored since the lease was granted".to_owned());
    }
    let call = control_place_call(order.span, order.fencing_token, report.order_count);
    let (status, _) = client.call(call, TARGET_TIMEOUT).await.map_err(describe)?;
    Ok(status)
}
