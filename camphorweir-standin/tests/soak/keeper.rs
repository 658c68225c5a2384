//! Callers that keep a connection until its entry closes it or ends, with pauses and streams of some seconds.

use {
    crate::{
        caller::{Ask, Call, End, Kind, Length, ask, connect},
        variant::{Published, idle_time},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// How long these callers say to wait.
const PATIENCE: Duration = Duration::from_secs(9);
/// Events of their streams, and the pause after each in ms.
const EVENTS: (usize, usize) = (4, 20);
const EVENT_PAUSE_MS: (u64, u64) = (20, 180);
/// The same of long ones, which take most of the time for which an entry stops.
const LONG_EVENTS: (usize, usize) = (28, 36);
const LONG_EVENT_PAUSE_MS: (u64, u64) = (130, 180);
/// Part of the streams that are long.
const LONG: f64 = 0.3;
/// Longest pause between two requests of one that does not let its connection idle.
const PAUSE_MS: u64 = 200;
/// Longest time for which one lets its connection idle.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Part of the pauses that use much of the idle limit.
const IDLES: f64 = 0.15;

/// Calls entries until told to stop; gives what became of the calls.
pub(crate) async fn run(
    name: usize,
    seed: u64,
    entries: Vec<SocketAddr>,
    published: watch::Receiver<Published>,
    stop: watch::Receiver<bool>,
) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    while !*stop.borrow() {
        let entry = rng.random_range(0..entries.len());
        let Some(mut line) = connect(entries[entry]).await else {
            sleep(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        while !*stop.borrow() {
            let id = format!("keeper-{name}-{}", calls.len());
            let (call, stays) = ask(&mut line, entry, draw(&mut rng, id)).await;
            let was_sent = !matches!(call.end, End::Unsent);
            calls.push(call);
            if !stays || !was_sent {
                break;
            }
            if rng.random_bool(IDLES) {
                let part = rng.random_range(0.5..1.0);
                idle(&published, part).await;
            } else {
                sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
            }
        }
    }
    calls
}

fn draw(rng: &mut SmallRng, id: String) -> Ask {
    let kinds = [
        Kind::Seal,
        Kind::Look,
        Kind::Text,
        Kind::Text,
        Kind::Once,
        Kind::Once,
    ];
    let (events, pause) = match rng.random_bool(LONG) {
        true => (LONG_EVENTS, LONG_EVENT_PAUSE_MS),
        false => (EVENTS, EVENT_PAUSE_MS),
    };
    let pause = rng.random_range(pause.0..pause.1);
    Ask {
        id,
        kind: kinds[rng.random_range(0..kinds.len())],
        key: 0,
        length: Length {
            events: rng.random_range(events.0..events.1),
            pause: Some(Duration::from_millis(pause)),
        },
        patience: PATIENCE,
    }
}

/// Waits for a part of the time for which callers may leave a connection idle, whatever it becomes meanwhile.
async fn idle(published: &watch::Receiver<Published>, part: f64) {
    let begun = Instant::now();
    loop {
        let now = Instant::now();
        let time = idle_time(&published.borrow(), now).mul_f64(part);
        let left = time.min(MAX_IDLE).saturating_sub(now - begun);
        if left.is_zero() {
            return;
        }
        sleep(left.min(Duration::from_millis(PAUSE_MS))).await;
    }
}
