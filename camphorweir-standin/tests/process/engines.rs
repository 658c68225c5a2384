//! Engines that die, freeze, restart or garble their answers: every stream goes on, token by token.

use {
    crate::{
        caller::Stream,
        deployment::{Deployment, Plan},
    },
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

/// Tokens of an answer that is long enough to be hit.
const LONG: u32 = 60;
/// Longer than any step of these tests may take.
const FREEZE: Duration = Duration::from_secs(2);

fn slow() -> Plan {
    Plan {
        entries: 1,
        decode_layer_us: 2000.0,
        ..Plan::default()
    }
}

/// Streams that are under way, and the engine in the middle of the first one's path.
async fn under_way(deployment: &Deployment, prompt: &str) -> (Vec<Stream>, String) {
    let caller = deployment.entries[0].caller;
    let mut streams = Vec::new();
    for number in 0..4 {
        let prompt = format!("{prompt} {number}");
        streams.push(caller.stream(&prompt, LONG).await);
    }
    for stream in &mut streams {
        stream.reach(3).await;
    }
    let path = deployment.path(streams[0].request).await;
    assert_eq!(path.len(), 3, "{path:?}");
    (streams, path[1].clone())
}

async fn finish(streams: Vec<Stream>) {
    for stream in streams {
        stream.finish().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_when_an_engine_is_killed_and_when_it_is_back() {
    let mut deployment = Deployment::start(slow()).await;
    let (streams, first) = under_way(&deployment, "killed").await;
    deployment.targets.get_mut(&first).unwrap().child.kill();
    finish(streams).await;

    deployment.restart(&first).await;
    let (streams, second) = under_way(&deployment, "killed again").await;
    deployment.targets.get_mut(&second).unwrap().child.kill();
    deployment.restart(&second).await;
    finish(streams).await;
    deployment.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_when_an_engine_freezes_and_its_late_answers_are_dropped() {
    let deployment = Deployment::start(slow()).await;
    let (streams, frozen) = under_way(&deployment, "frozen").await;
    let child = &deployment.targets[&frozen].child;
    child.signal("STOP");
    sleep(FREEZE).await;
    let caller = deployment.entries[0].caller;
    let mut later = caller.stream("while it is frozen", LONG).await;
    later.reach(2).await;
    child.signal("CONT");
    finish(streams).await;
    later.finish().await;
    caller.right_stream("after it is back", 20).await;
    deployment.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_doubled_foreign_and_late_step_answers_change_no_token() {
    let deployment = Deployment::start(slow()).await;
    for faults in [
        json!({"duplicate": 30}),
        json!({"foreign": 1}),
        json!({"drop_done": 1}),
        json!({"done_ms": 30, "duplicate": 10}),
    ] {
        let (streams, hit) = under_way(&deployment, &faults.to_string()).await;
        deployment.targets[&hit].faults(faults).await;
        finish(streams).await;
        deployment.targets[&hit].faults(json!({})).await;
    }
    deployment.check_steps().await;
}
