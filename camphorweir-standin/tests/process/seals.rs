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
    tokio::time::sleep,
    uuid::Uuid,
};

/// Longer than every limit in which a claimed request may still be sent.
const FREEZE: Duration = Duration::from_secs(5);
/// `InProgress`.
const IN_PROGRESS: u16 = 4002;
/// `OutcomeUnknown`.
const UNKNOWN: u16 = 4003;

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

/// Starts a seal whose start record lands late, and kills its entry before that.
async fn kill_before_sent(deployment: &mut Deployment, late_ms: u64) -> Told {
    let faults = json!({"net": {"only": ["entry-0"]}, "late": 1, "late_ms": late_ms});
    deployment.log.faults(faults).await;
    let mut told = Told::new();
    let (caller, key) = (deployment.entries[0].caller, told.key);
    let sent = tokio::spawn(async move { caller.seal(key, 1).await });
    until("the start on its way", || async {
        let faults: Value = deployment.log.report("faults").await;
        (faults["late"] == 0).then_some(())
    })
    .await;
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

/// Waits until so many starts of a key have landed.
async fn landed(deployment: &Deployment, key: Uuid, count: usize) {
    let id = key.as_u128();
    let stream = claim::stream(
        claim::Key {
            workspace: String::new(),
            id,
        }
        .partition(),
    );
    until("the start in the log", || async {
        let page = support::page(deployment.log.address, &format!("{stream}?from=0")).await;
        let records = page.records.iter();
        let records = records.map(|stored| codec::decode::<claim::Record>(&stored.body).unwrap());
        let starts = records
            .filter(|record| record.key.id == id && matches!(record.body, claim::Body::Start(_)));
        (starts.count() >= count).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_seal_whose_holder_was_killed_before_sending_runs_at_most_once() {
    let mut deployment = Deployment::start(Plan::default()).await;
    let mut early = kill_before_sent(&mut deployment, 3000).await;
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
async fn a_seal_whose_holder_was_killed_after_sending_runs_once() {
    let mut deployment = Deployment::start(Plan::default()).await;
    deployment
        .service_faults("ledger", json!({"run_ms": 1000}))
        .await;
    let mut told = Told::new();
    let (caller, key) = (deployment.entries[0].caller, told.key);
    let sent = tokio::spawn(async move { caller.seal(key, 1).await });
    deployment.running(key).await;
    deployment.entries[0].child.kill();
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
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn seals_of_a_frozen_holder_run_at_most_once() {
    let deployment = Deployment::start(Plan::default()).await;
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
