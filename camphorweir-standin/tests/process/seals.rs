//! Seals whose holder is killed or frozen, and seals whose records are lost or late.

use {
    crate::{
        caller::{Answer, Caller},
        child::until,
        deployment::{Deployment, Plan, Told, serving},
        support,
    },
    camphorweir_wire::{claim, codec},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
    uuid::Uuid,
};

/// Longer than every limit in which a claimed request may still be sent.
const FREEZE: Duration = Duration::from_secs(5);
/// `ClaimTimeout`.
const NOT_CLAIMED: u16 = 4006;
/// `InProgress`.
const IN_PROGRESS: u16 = 4002;
/// `OutcomeUnknown`.
const UNKNOWN: u16 = 4003;
/// `ResolvedNotRun`.
const RESOLVED_NOT_RUN: u16 = 4004;
/// `ResolvedRan`.
const RESOLVED_RAN: u16 = 4005;

/// Asks again until the key has its outcome; the answers on the way are taken in.
async fn settle(caller: Caller, told: &mut Told, batch: u32) -> Answer {
    let told = tokio::sync::Mutex::new(told);
    until("an outcome", || async {
        let answer = caller.seal(told.lock().await.key, batch).await.unwrap();
        told.lock().await.take(Some(answer.clone()));
        let open = answer.ran == "no" || answer.code == Some(IN_PROGRESS);
        (!open).then_some(answer)
    })
    .await
}

type Sent = JoinHandle<Option<Answer>>;

/// Starts a seal through the first entry whose start record is to land late.
async fn claim_late(deployment: &Deployment, late_ms: u64) -> (Told, Sent) {
    let told = Told::new();
    let (caller, key) = (deployment.entries[0].caller, told.key);
    // An entry that was thawed refuses seals until it has read the stream again.
    let before = until("a seal in the same stream", || async {
        let mut before = Uuid::now_v7();
        while stream(before) != stream(key) {
            before = Uuid::now_v7();
        }
        let answer = caller.seal(before, 0).await.unwrap();
        (answer.status == 200).then_some(before)
    })
    .await;
    recorded(deployment, before).await;
    let faults = json!({
        "net": {"only": ["entry-0"]},
        "stream": stream(key),
        "late": 1,
        "late_ms": late_ms,
    });
    deployment.log.faults(faults).await;
    let sent = tokio::spawn(async move { caller.seal(key, 1).await });
    until("the start on its way", || async {
        let faults: Value = deployment.log.report("faults").await;
        (faults["late"] == 0).then_some(())
    })
    .await;
    (told, sent)
}

/// The same, and the first entry is killed before the record lands.
async fn kill_before_sent(deployment: &mut Deployment, late_ms: u64) -> Told {
    let (mut told, sent) = claim_late(deployment, late_ms).await;
    deployment.entries[0].child.kill();
    told.take(sent.await.unwrap());
    told
}

/// Starts the killed first entry again, as another life of it.
async fn replace(deployment: &mut Deployment) {
    deployment.entries.remove(0);
    deployment.add_entry(0).await;
    deployment.entries.rotate_right(1);
    deployment.list_all().await;
    serving(deployment.entries[0].caller).await;
}

/// The records of a claim stream.
async fn records(deployment: &Deployment, stream: &str) -> Vec<claim::Record> {
    let page = support::page(deployment.log.address, &format!("{stream}?from=0")).await;
    let records = page.records.iter();
    let records = records.map(|stored| codec::decode(&stored.body).unwrap());
    records.collect()
}

/// The claim stream of a key.
fn stream(key: Uuid) -> String {
    let key = claim::Key {
        workspace: String::new(),
        id: key.as_u128(),
    };
    claim::stream_name(key.partition())
}

/// Waits until so many starts of a key have landed.
async fn landed(deployment: &Deployment, key: Uuid, count: usize) {
    until("the start in the log", || async {
        let records = records(deployment, &stream(key)).await;
        let starts = records.iter().filter(|record| {
            record.key.id == key.as_u128() && matches!(record.body, claim::Body::Start(_))
        });
        (starts.count() >= count).then_some(())
    })
    .await;
}

/// Waits until the answer of a key has landed; its entry has then nothing older to append.
async fn recorded(deployment: &Deployment, key: Uuid) {
    until("the answer in the log", || async {
        let records = records(deployment, &stream(key)).await;
        let mut answers = records.iter().filter(|record| {
            record.key.id == key.as_u128() && matches!(record.body, claim::Body::Done(_))
        });
        answers.next().map(|_| ())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_seal_whose_holder_was_killed_before_sending_runs_at_most_once() {
    let mut deployment = Deployment::start(Plan::default()).await;
    let mut early = kill_before_sent(&mut deployment, 5000).await;
    let answer = settle(deployment.entries[1].caller, &mut early, 1).await;
    answer.run();
    landed(&deployment, early.key, 2).await;
    let again = settle(deployment.entries[2].caller, &mut early, 1).await;
    assert!(again.replayed);
    early.check(&deployment).await;

    replace(&mut deployment).await;
    let mut late = kill_before_sent(&mut deployment, 500).await;
    landed(&deployment, late.key, 1).await;
    replace(&mut deployment).await;
    let answer = settle(deployment.entries[1].caller, &mut late, 1).await;
    assert_eq!(
        (answer.code, answer.ran.as_str()),
        (Some(UNKNOWN), "unknown")
    );
    late.check(&deployment).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_lands_after_its_owner_gave_up_does_not_hold_its_key() {
    let deployment = Deployment::start(Plan::default()).await;
    // Longer than an entry waits for its start to be read back.
    let (mut told, sent) = claim_late(&deployment, 4500).await;
    let answer = sent.await.unwrap().unwrap();
    answer.refused(NOT_CLAIMED);
    assert!(answer.retry_after.is_some(), "{answer:?}");
    told.take(Some(answer));
    landed(&deployment, told.key, 1).await;
    told.check(&deployment).await;
    let answer = settle(deployment.entries[1].caller, &mut told, 1).await;
    answer.run();
    told.check(&deployment).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_seal_whose_holder_was_killed_after_sending_runs_once() {
    let mut deployment = Deployment::start(Plan {
        decode_layer_us: 2000.0,
        ..Plan::default()
    })
    .await;
    deployment
        .service_faults("ledger", json!({"run_ms": 1000}))
        .await;
    let mut told = Told::new();
    let (caller, key) = (deployment.entries[0].caller, told.key);
    let sent = tokio::spawn(async move { caller.seal(key, 1).await });
    let mut stream = caller.stream("cut with its entry", 400).await;
    stream.reach(1).await;
    deployment.running(key).await;
    deployment.entries[0].child.kill();
    assert!(!stream.ends_whole().await, "a cut stream looks whole");
    told.take(sent.await.unwrap());
    told.take(deployment.entries[1].caller.seal(key, 1).await);
    assert_eq!(told.answers[0].ran, "unknown");
    deployment.service_faults("ledger", json!({})).await;
    replace(&mut deployment).await;
    for number in 0..3 {
        let answer = settle(deployment.entries[number].caller, &mut told, 1).await;
        assert_eq!(
            (answer.code, answer.ran.as_str()),
            (Some(UNKNOWN), "unknown")
        );
    }
    assert_eq!(deployment.runs(key).await, 1);
    told.check(&deployment).await;
    resolve(&deployment, key).await;
}

/// The key is listed until two racing operators have settled it, once.
async fn resolve(deployment: &Deployment, key: Uuid) {
    let text = key.to_string();
    let listed = async || {
        let admin = deployment.entries[1].admin.to_string();
        let file = deployment.folder.join("read.key");
        let file = file.to_str().unwrap();
        let words = ["unresolved", "--json", "--entry", &admin, "--key", file];
        let list = deployment.operate(&words).await;
        assert!(list.status.success(), "{list:?}");
        String::from_utf8(list.stdout).unwrap().contains(&text)
    };
    assert!(listed().await);
    let log = format!("http://{}", deployment.log.address);
    let settle = async |author: &str, ran: &str| {
        let words = [
            "resolve", "--log", &log, "--author", author, "--ran", ran, &text,
        ];
        deployment.operate(&words).await.status.code()
    };
    let (ada, ben) = tokio::join!(settle("ada", "yes"), settle("ben", "no"));
    let code = match (ada, ben) {
        (Some(0), Some(3)) => RESOLVED_RAN,
        (Some(3), Some(0)) => RESOLVED_NOT_RUN,
        other => panic!("{other:?}"),
    };
    for caller in deployment.callers() {
        until("the operator's word", || async {
            let answer = caller.seal(key, 1).await.unwrap();
            (answer.code == Some(code)).then_some(())
        })
        .await;
    }
    assert!(!listed().await);
    assert_eq!(deployment.runs(key).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seals_of_a_frozen_holder_run_at_most_once() {
    let deployment = Deployment::start(Plan {
        seal_ms: 3000,
        ..Plan::default()
    })
    .await;
    let slow = json!({"net": {"only": ["entry-0"], "delay_ms": 20}});
    deployment.log.faults(slow).await;
    deployment
        .service_faults("ledger", json!({"run_ms": 20}))
        .await;
    let callers = deployment.callers();
    let mut told: Vec<Told> = (0..40).map(|_| Told::new()).collect();
    let mut sent = Vec::new();
    for told in &told {
        let (caller, key) = (callers[0], told.key);
        sent.push(tokio::spawn(async move { caller.seal(key, 1).await }));
        sleep(Duration::from_millis(2)).await;
    }
    deployment.entries[0].child.signal("STOP");
    let meanwhile = told.iter().map(|told| callers[1].seal(told.key, 1));
    let meanwhile = futures::future::join_all(meanwhile);
    let (answers, ()) = tokio::join!(meanwhile, sleep(FREEZE));
    deployment.entries[0].child.signal("CONT");
    for ((told, sent), answer) in told.iter_mut().zip(sent).zip(answers) {
        told.take(answer);
        told.take(sent.await.unwrap());
    }
    for told in &mut told {
        settle(callers[2], told, 1).await;
        told.check(&deployment).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_holder_frozen_between_claiming_and_sending_runs_its_seal_at_most_once() {
    let deployment = Deployment::start(Plan {
        seal_ms: 4000,
        ..Plan::default()
    })
    .await;
    let callers = deployment.callers();
    for (late_ms, freeze) in [(300, Duration::from_secs(1)), (300, FREEZE), (4000, FREEZE)] {
        let (mut told, sent) = claim_late(&deployment, late_ms).await;
        deployment.entries[0].child.signal("STOP");
        sleep(freeze / 2).await;
        let meanwhile = callers[1].seal(told.key, 1);
        let (answer, ()) = tokio::join!(meanwhile, sleep(freeze / 2));
        told.take(answer);
        landed(&deployment, told.key, 1).await;
        deployment.entries[0].child.signal("CONT");
        told.take(sent.await.unwrap());
        let answer = settle(callers[2], &mut told, 1).await;
        answer.run();
        told.check(&deployment).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_sent_through_every_entry_at_once_runs_once() {
    let deployment = Deployment::start(Plan::default()).await;
    deployment
        .service_faults("ledger", json!({"run_ms": 50}))
        .await;
    for batch in 0..8 {
        let mut told = Told::new();
        let callers = deployment.callers();
        let race = callers.iter().chain(&callers);
        let race = race.map(|caller| caller.seal(told.key, batch));
        for answer in futures::future::join_all(race).await {
            told.take(answer);
        }
        let answer = settle(callers[0], &mut told, batch).await;
        answer.run();
        told.check(&deployment).await;
        let other = callers[1].seal(told.key, batch + 1).await.unwrap();
        other.refused(1012);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_late_and_vanished_appends_lose_and_double_no_seal() {
    let deployment = Deployment::start(Plan::default()).await;
    let callers = deployment.callers();
    for faults in [
        json!({"lost": 4}),
        json!({"late": 4, "late_ms": 3500}),
        json!({"gone": 4}),
        json!({"lost": 2, "late": 2, "late_ms": 1000, "gone": 2}),
    ] {
        deployment.log.faults(faults).await;
        let mut told: Vec<Told> = (0..6).map(|_| Told::new()).collect();
        let keys: Vec<Uuid> = told.iter().map(|told| told.key).collect();
        let sent = (0..)
            .zip(&keys)
            .map(|(n, key)| callers[n % 3].seal(*key, 1));
        let answers = futures::future::join_all(sent).await;
        for (n, (told, answer)) in told.iter_mut().zip(answers).enumerate() {
            told.take(answer);
            let answer = settle(callers[(n + 1) % 3], told, 1).await;
            answer.run();
            told.check(&deployment).await;
        }
    }
}
