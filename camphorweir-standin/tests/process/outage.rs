//! Outages of the log service: seals are refused as not run, everything else goes on.

use {
    crate::{
        child::until,
        deployment::{Deployment, Plan, Told},
    },
    serde_json::json,
};

/// `LogUnavailable`.
const LOG_UNAVAILABLE: u16 = 4001;

async fn outage(down: &str) {
    let plan = Plan {
        entries: 2,
        decode_layer_us: 500.0,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await;
    let callers = deployment.callers();
    let mut open = callers[0].stream("open before the outage", 100).await;
    open.reach(2).await;
    deployment.log.faults(json!({"net": {"down": down}})).await;
    for caller in &callers {
        let told = tokio::sync::Mutex::new(Vec::new());
        until("the refusal of a seal", || async {
            let mut one = Told::new();
            let answer = caller.seal(one.key, 1).await.unwrap();
            assert_eq!(answer.ran, "no", "{answer:?}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
            let known = answer.code == Some(LOG_UNAVAILABLE);
            one.take(Some(answer));
            told.lock().await.push(one);
            known.then_some(())
        })
        .await;
        caller.right_chat("during the outage", 10).await;
        caller.right_stream("during the outage", 10).await;
        caller.right_status(3).await;
        for one in told.into_inner() {
            one.check(&deployment).await;
        }
    }
    open.finish().await;
    deployment.log.faults(json!({})).await;
    for caller in &callers {
        until("a seal after the outage", || async {
            let answer = caller.seal(Told::new().key, 1).await.unwrap();
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_that_answers_503() {
    outage("refuse").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_that_drops_connections() {
    outage("drop").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_log_that_stands_still() {
    outage("hang").await;
}
