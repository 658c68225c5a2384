//! The plain service: what runs is recorded, whatever becomes of the answer.

mod support;

use {
    camphorweir_standin::service::{self, Faults, Settings},
    std::net::SocketAddr,
    support::{Answer, any, send},
};

async fn call(address: SocketAddr, key: &str) -> Option<Answer> {
    let headers = [("idempotency-key", key)];
    send("POST", address, "/seal?batch=7", &headers, b"body").await
}

fn keys(service: &service::Handle) -> Vec<Option<String>> {
    service.audit().into_iter().map(|run| run.key).collect()
}

#[tokio::test]
async fn every_run_is_in_the_audit_and_nothing_else() {
    let service = service::spawn(Settings::new(any())).await.unwrap();
    let address = service.address();
    let answer = call(address, "k1").await.unwrap();
    let body = br#"{"run":1,"key":"k1","path":"/seal?batch=7","fence":null}"#;
    assert_eq!(&answer.body()[..], body);
    service.set_faults(Faults {
        drop_head: 1,
        refuse: 1,
        drop_before: 1,
        fail_after: 1,
        drop_after: 1,
        cut_answer: 1,
        ..Faults::default()
    });
    assert!(call(address, "k0").await.is_none());
    let refused = call(address, "k2").await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["camphorweir-ran"], "no");
    assert!(call(address, "k3").await.is_none());
    let failed = call(address, "k4").await.unwrap();
    assert_eq!(failed.status(), 503);
    assert!(!failed.headers().contains_key("camphorweir-ran"));
    assert!(call(address, "k5").await.is_none());
    assert!(call(address, "k6").await.is_none());
    let ran = ["k1", "k4", "k5", "k6"].map(|key| Some(key.to_owned()));
    assert_eq!(keys(&service), ran);
    let audit = send("GET", address, "/standin/audit", &[], b"").await;
    let audit: Vec<service::Run> = serde_json::from_slice(audit.unwrap().body()).unwrap();
    assert_eq!(audit, service.audit());
    service.stop().await;
}

#[tokio::test]
async fn poison_crashes_after_the_run_is_recorded() {
    let service = service::spawn(Settings::new(any())).await.unwrap();
    service.set_faults(Faults {
        poison: "ody".to_owned(),
        leaving: true,
        ..Faults::default()
    });
    assert!(call(service.address(), "k1").await.is_none());
    assert_eq!(service.audit().len(), 1);
    service.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    let answer = call(service.address(), "k2").await.unwrap();
    assert_eq!(answer.headers()["camphorweir-leaving"], "true");
}

#[tokio::test]
async fn a_fencing_service_runs_a_key_once_and_refuses_older_fences() {
    let mut settings = Settings::new(any());
    settings.fencing = true;
    let service = service::spawn(settings).await.unwrap();
    let address = service.address();
    let call = async |fence| {
        let headers = [("idempotency-key", "k"), ("camphorweir-fence", fence)];
        send("POST", address, "/", &headers, b"").await.unwrap()
    };
    assert_eq!(call("5").await.status(), 200);
    let old = call("4").await;
    assert_eq!(old.status(), 409);
    assert_eq!(old.headers()["camphorweir-ran"], "no");
    assert_eq!(call("6").await.status(), 200);
    assert_eq!(service.audit().len(), 1);
}
