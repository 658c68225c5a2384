//! Planned stops under load, of entries, engines and services: nothing is cut.

use {
    crate::{
        caller::Caller,
        child::{LOOK, until},
        deployment::{Deployment, Plan, Told, serving},
    },
    camphorweir_standin::fleet,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, sleep_until},
    },
    uuid::Uuid,
};

/// The promise: a leaving target gets no new work after this time.
const LEAVE: Duration = Duration::from_secs(3);
/// Pause between the two parts of a request, within the time that entries have for a body.
const BODY_PAUSE: Duration = Duration::from_millis(350);

/// Seals under way on the ledgers.
async fn seals(deployment: &Deployment, caller: Caller, count: usize) -> Vec<Seal> {
    let mut seals = Vec::new();
    for _ in 0..count {
        let told = Told::new();
        let key = told.key;
        let sent = tokio::spawn(async move { caller.seal(key, 1).await });
        seals.push(Seal { told, sent });
    }
    for seal in &seals {
        deployment.running(seal.told.key).await;
    }
    seals
}

struct Seal {
    told: Told,
    sent: tokio::task::JoinHandle<Option<crate::caller::Answer>>,
}

/// Every seal is answered, and gives the same answer through another entry.
async fn answered(deployment: &Deployment, seals: Vec<Seal>, other: Caller) {
    for mut seal in seals {
        let answer = seal.sent.await.unwrap().expect("cut");
        answer.run();
        seal.told.take(Some(answer));
        let again = until("the first answer", || async {
            let answer = other.seal(seal.told.key, 1).await.unwrap();
            (answer.status == 200).then_some(answer)
        })
        .await;
        assert!(again.replayed);
        seal.told.take(Some(again));
        seal.told.check(deployment).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_stops_under_load_and_cuts_nothing() {
    let plan = Plan {
        entries: 2,
        decode_layer_us: 2000.0,
        batch: 2,
        grace: 1000,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    deployment
        .service_faults("ledger", json!({"run_ms": 1500}))
        .await;
    let [stopping, other] = deployment.callers()[..] else {
        panic!("two entries");
    };
    let mut streams = Vec::new();
    for number in 0..4 {
        streams.push(stopping.stream(&format!("stream {number}"), 60).await);
    }
    // More than the engines take at once, so that some wait in the queue.
    let queued = (0..24).map(|number| async move {
        stopping.right_chat(&format!("chat {number}"), 10).await;
    });
    let queued = tokio::spawn(futures::future::join_all(queued));
    let seals = seals(&deployment, stopping, 4).await;
    let claiming = Told::new();
    let key = claiming.key;
    let open = tokio::spawn(async move { stopping.seal(key, 1).await });

    deployment.entries[0].child.signal("TERM");
    until("readiness going false", || async {
        let ready = stopping.ready().await;
        assert_ne!(
            ready, None,
            "the listener closed before readiness was false"
        );
        (ready == Some(false)).then_some(())
    })
    .await;
    stopping.right_chat("within the balancer's grace", 5).await;
    deployment.entries[0].child.signal("TERM");
    for stream in streams {
        stream.finish().await;
    }
    queued.await.unwrap();
    let claimed = Seal {
        told: claiming,
        sent: open,
    };
    answered(&deployment, seals, other).await;
    answered(&deployment, vec![claimed], other).await;
    assert_eq!(deployment.entries[0].child.exit().await, Some(0));
    assert_eq!(stopping.ready().await, None);
    other.right_chat("the other one goes on", 5).await;
}

/// Guards against a call whose body arrives as the entry ends, and which is cut by the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_body_arrives_as_the_entry_ends_is_answered() {
    let plan = Plan {
        entries: 1,
        idle: 450,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    deployment
        .service_faults("ledger", json!({"run_ms": 2500}))
        .await;
    let Caller(address) = deployment.entries[0].caller;
    deployment.entries[0].child.signal("TERM");
    let begun = Instant::now();
    // They connect before the listener closes, and their bodies are whole after it.
    let calls = (0..4).map(|index| async move {
        sleep_until(begun + Duration::from_millis(100 + 20 * index)).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /services/seal/batches/1/seal HTTP/1.1\r\nhost: entry\r\n\
             authorization: Bearer {}\r\nidempotency-key: {}\r\ncontent-length: 11\r\n\
             connection: close\r\n\r\n{{\"batch\"",
            fleet::KEY,
            Uuid::now_v7(),
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        sleep(BODY_PAUSE).await;
        stream.write_all(b": 1}").await.unwrap();
        let mut text = String::new();
        // A reset shows as an answer that is not there.
        let _ = stream.read_to_string(&mut text).await;
        text
    });
    for text in futures::future::join_all(calls).await {
        let is_served = text.starts_with("HTTP/1.1 200");
        let is_refused = text.starts_with("HTTP/1.1 503");
        assert!(
            is_served || is_refused && text.contains("camphorweir-code: 2005"),
            "{text:?}"
        );
    }
    assert_eq!(deployment.entries[0].child.exit().await, Some(0));
}

/// Stops the first entry in a log outage, with seals and a stream under way that must not be cut.
async fn stop_in_outage(deployment: &mut Deployment) -> Vec<Seal> {
    let ledger = json!({"run_ms": 800});
    deployment.service_faults("ledger", ledger).await;
    let stopping = deployment.entries[0].caller;
    let stream = stopping.stream("through the outage", 60).await;
    let seals = seals(deployment, stopping, 3).await;
    deployment
        .log
        .faults(json!({"net": {"down": "drop"}}))
        .await;
    deployment.entries[0].child.signal("TERM");
    stream.finish().await;
    for seal in &seals {
        while !seal.sent.is_finished() {
            sleep(LOOK).await;
        }
    }
    if deployment.entries[0].child.is_running() {
        deployment.entries[0].child.signal("TERM");
    }
    seals
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_stops_in_a_log_outage_leaves_its_outcomes_to_its_peers() {
    let plan = Plan {
        entries: 2,
        decode_layer_us: 1000.0,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    let seals = stop_in_outage(&mut deployment).await;
    assert_eq!(deployment.entries[0].child.exit().await, Some(0));
    deployment.log.faults(json!({})).await;
    answered(&deployment, seals, deployment.entries[1].caller).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_without_peers_that_stops_in_a_log_outage_waits_for_the_log() {
    let plan = Plan {
        entries: 1,
        decode_layer_us: 1000.0,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    let seals = stop_in_outage(&mut deployment).await;
    sleep(LEAVE).await;
    assert!(
        deployment.entries[0].child.is_running(),
        "outcomes are lost"
    );
    deployment.log.faults(json!({})).await;
    assert_eq!(deployment.entries[0].child.exit().await, Some(0));
    deployment.entries.clear();
    deployment.add_entry(0).await;
    deployment.list_all().await;
    serving(deployment.entries[0].caller).await;
    answered(&deployment, seals, deployment.entries[0].caller).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_leaves_under_load_gets_no_new_work_and_cuts_nothing() {
    let plan = Plan {
        entries: 2,
        decode_layer_us: 2000.0,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan).await;
    let callers = deployment.callers();
    let mut streams = Vec::new();
    for number in 0..4 {
        let caller = callers[number % 2];
        streams.push(caller.stream(&format!("stream {number}"), 240).await);
    }
    for stream in &mut streams {
        stream.reach(2).await;
    }
    let leaving = deployment.path(streams[0].request).await[1].clone();
    // The engine's own word counts; the list is out.
    let down = json!({"net": {"down": "refuse"}});
    deployment.list.faults(down).await;
    deployment.targets[&leaving].child.signal("TERM");
    sleep(LEAVE).await;
    let before = deployment.steps(&leaving).await;
    for number in 0..6 {
        let prompt = format!("after leaving {number}");
        let stream = callers[number % 2].stream(&prompt, 3).await;
        let request = stream.request;
        stream.finish().await;
        assert!(!deployment.path(request).await.contains(&leaving));
    }
    assert!(!before.is_empty());
    for stream in streams {
        stream.finish().await;
    }
    let child = &mut deployment.targets.get_mut(&leaving).unwrap().child;
    assert_eq!(child.exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_the_list_shows_leaving_gets_no_new_work() {
    let plan = Plan {
        entries: 2,
        decode_layer_us: 2000.0,
        ..Plan::default()
    };
    let deployment = Deployment::start(plan).await;
    let callers = deployment.callers();
    let mut streams = Vec::new();
    for number in 0..4 {
        let caller = callers[number % 2];
        streams.push(caller.stream(&format!("stream {number}"), 200).await);
    }
    for stream in &mut streams {
        stream.reach(2).await;
    }
    let leaving = deployment.path(streams[0].request).await[0].clone();
    deployment.list_leaving(&leaving).await;
    sleep(LEAVE).await;
    for number in 0..8 {
        let stream = callers[number % 2]
            .stream(&format!("later {number}"), 3)
            .await;
        let request = stream.request;
        stream.finish().await;
        assert!(!deployment.path(request).await.contains(&leaving));
    }
    for stream in streams {
        stream.finish().await;
    }
    deployment.check_steps().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_leaves_gets_no_new_work_and_cuts_nothing() {
    let mut deployment = Deployment::start(Plan::default()).await;
    let callers = deployment.callers();
    let runs = async |deployment: &Deployment| -> Value {
        deployment.targets["lookup-a"].report("stats").await
    };
    deployment.list_leaving("lookup-a").await;
    let listed = Instant::now();
    while listed.elapsed() < LEAVE {
        callers[0].right_status(1).await;
    }
    let before = runs(&deployment).await;
    for batch in 0..20 {
        callers[0].right_status(batch).await;
    }
    assert_eq!(runs(&deployment).await, before);

    deployment
        .service_faults("ledger", json!({"run_ms": 1000}))
        .await;
    let seals = seals(&deployment, callers[0], 6).await;
    deployment.targets["ledger-a"].child.signal("TERM");
    let statuses = (0..20).map(|batch| callers[0].right_status(batch));
    futures::future::join_all(statuses).await;
    for seal in &seals {
        while !seal.sent.is_finished() {
            sleep(LOOK).await;
        }
    }
    let ledger = deployment.targets.get_mut("ledger-a").unwrap();
    assert_eq!(ledger.child.exit().await, Some(0));
    for seal in seals {
        let answer = seal.sent.await.unwrap().expect("cut");
        answer.run();
    }
    let told = Told::new();
    until("a seal on another ledger", || async {
        let answer = callers[0].seal(told.key, 2).await.unwrap();
        assert_ne!(answer.ran, "unknown", "{answer:?}");
        (answer.status == 200).then_some(())
    })
    .await;
    assert_eq!(deployment_runs(&deployment, &told).await, 1);
}

/// Runs of a key on the ledgers that are still there.
async fn deployment_runs(deployment: &Deployment, told: &Told) -> usize {
    let key = told.key.to_string();
    let mut count = 0;
    for name in ["ledger-b", "ledger-c"] {
        let audit: Vec<Value> = deployment.targets[name].report("audit").await;
        count += audit
            .iter()
            .filter(|run| run["key"] == key.as_str())
            .count();
    }
    count
}
