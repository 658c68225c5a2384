//! The whole path: every part, both kinds of request, every answer checked.

use {
    crate::{
        caller::Caller,
        deployment::{Deployment, Plan},
    },
    camphorweir_config::model::Limits,
    std::collections::HashMap,
    uuid::Uuid,
};

/// A request of each kind; the sealed key and its run.
async fn serve(caller: Caller, batch: u32) -> (Uuid, u64) {
    let chat = format!("Kiln {batch}: write the burn note.");
    let prompt = format!("Moisture of lot {batch} over the week:");
    caller.right_chat(&chat, 24).await;
    caller.right_stream(&prompt, 40).await;
    caller.right_status(batch).await;
    let key = Uuid::now_v7();
    let answer = caller.seal(key, batch).await.unwrap();
    let (run, path) = answer.run();
    assert!(!answer.replayed);
    assert_eq!(path, format!("/batches/{batch}/seal"));
    (key, run)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_is_served_through_every_entry() {
    let deployment = Deployment::start(Plan::default()).await;
    let file = deployment.folder.join("configuration.yaml");
    let checked = deployment.operate(&["check", file.to_str().unwrap()]).await;
    assert!(checked.status.success(), "{checked:?}");

    let mut sealed = HashMap::new();
    for (batch, caller) in (0..).zip(deployment.callers()) {
        let several = (0..4).map(|part| serve(caller, batch * 10 + part));
        for (part, (key, run)) in (0..).zip(futures::future::join_all(several).await) {
            sealed.insert(key, (batch * 10 + part, run));
        }
    }
    for (key, (batch, run)) in &sealed {
        assert_eq!(deployment.runs(*key).await, 1);
        for caller in deployment.callers() {
            let again = caller.seal(*key, *batch).await.unwrap();
            assert_eq!(again.run().0, *run);
            assert!(again.replayed);
        }
        assert_eq!(deployment.runs(*key).await, 1);
    }
    deployment.check_steps().await;
    stop(deployment).await;
}

/// SIGTERM ends every process with exit 0.
async fn stop(mut deployment: Deployment) {
    for entry in &mut deployment.entries {
        entry.child.signal("TERM");
        assert_eq!(entry.child.exit().await, Some(0), "{}", entry.name);
    }
    let targets = deployment.targets.values_mut();
    let platform = [
        &mut deployment.log,
        &mut deployment.list,
        &mut deployment.weights,
    ];
    for standin in targets.chain(platform) {
        standin.child.signal("TERM");
        assert_eq!(standin.child.exit().await, Some(0));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_racing_operators_one_wins() {
    let deployment = Deployment::platform(Plan::default()).await;
    let with = |name: &str, concurrent: u32| {
        deployment.file(name, move |document| {
            let workspace = document.workspaces.get_mut("depot-7").unwrap();
            workspace.limits = Limits {
                concurrent,
                ..Limits::default()
            };
        })
    };
    let first = deployment.publish("ada", &with("first", 10)).await;
    assert!(first.status.success(), "{first:?}");
    let files = [with("left", 20), with("right", 30)];
    let log = format!("http://{}", deployment.log.address);
    let race = ["ada", "ben"].iter().zip(&files).map(|(author, file)| {
        let file = file.to_str().unwrap();
        let words = [
            "publish", "--base", "1", "--log", &log, "--author", author, file,
        ];
        let words = words.map(str::to_owned);
        let deployment = &deployment;
        async move {
            deployment
                .operate(&words.each_ref().map(String::as_str))
                .await
        }
    });
    let ends = futures::future::join_all(race).await;
    let mut codes: Vec<_> = ends.iter().map(|end| end.status.code()).collect();
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(3)], "{ends:?}");
    let lost = ends
        .iter()
        .find(|end| end.status.code() == Some(3))
        .unwrap();
    let words = String::from_utf8_lossy(&lost.stderr);
    assert!(words.contains("conflict: "), "{words}");
}
