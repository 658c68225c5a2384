//! Asks targets that gave no sign of life whether they are back.

use {
    crate::front::{client::Client, state::State},
    camphorweir_platform::order::{order_report, order_reported},
    camphorweir_relay::{fleet::Target, ids::TargetId},
    std::time::Duration,
    tokio::time::timeout,
};

/// Pause between looks for targets to be asked.
const LOOK_PAUSE: Duration = Duration::from_millis(120);
/// Time for a target to answer; a first packet that is lost must not count as silence twice, and
/// the pause between questions is longer.
const ANSWER: Duration = Duration::from_millis(400);

/// Asks silent targets for ever.
pub async fn probe_run(state: State) {
    loop {
        // A doubt shuts a target that may be the only one with its layers, so it is cleared at once;
        // later questions come by the clock. Cut short either way, nothing is lost.
        let _ = timeout(LOOK_PAUSE, state.probe_wakeup().notified()).await;
        let due = {
            let mut router = state.router();
            router.board.ask_now(state.now())
        };
        for id in due {
            tokio::spawn(ask(state.clone(), id));
        }
    }
}

async fn ask(state: State, id: TargetId) {
    let target = state.router().fleet.get(&id).cloned();
    let Some(target) = target else {
        // Its record ended, which says the same.
        return;
    };
    let lives = lives(&target).await;
    let now = state.now();
    state.router().board.asked(&id, lives, now);
    log::info!(target_name:% = id, lives = lives; "silent target asked");
}

/// Whether this very life of a target answers, with the layers that its record tells.
async fn lives(target: &Target) -> bool {
    let mut client = Client::new(target.address);
    let answer = client.call(order_report(), ANSWER).await;
    match answer {
        Ok((200, body)) => order_reported(&body)
            .is_ok_and(|report| report.born.is_none_or(|born| born == target.born)),
        // Another service may have the address by now.
        Ok(_) | Err(_) => false,
    }
}
