//! The log service: order, retention, lost and late answers, limits, cuts.

mod support;

use {
    camphorweir_standin::{
        log::{self, Faults, Settings},
        server::{CLIENT_HEADER, NetworkFaults, Outage},
    },
    std::time::Duration,
    support::{any, append, page, send},
    tokio::time::sleep,
};

#[tokio::test(start_paused = true)]
async fn records_keep_their_order_and_leave_by_age() {
    let mut settings = Settings::new(any());
    settings.retain_ms = 10_000;
    let log = log::spawn(settings).await.unwrap();
    assert_eq!(append(log.address(), "a", b"0").await, Some(0));
    sleep(Duration::from_secs(6)).await;
    assert_eq!(append(log.address(), "a", b"1").await, Some(1));
    assert_eq!(append(log.address(), "b", b"x").await, Some(0));
    let whole = page(log.address(), "a").await;
    assert_eq!((whole.oldest, whole.end), (0, 2));
    assert_eq!(whole.records[1].body, b"1");
    assert_eq!(page(log.address(), "a?from=0&max=1").await.records.len(), 1);
    sleep(Duration::from_secs(6)).await;
    let rest = page(log.address(), "a?from=0").await;
    assert_eq!((rest.oldest, rest.end, rest.records.len()), (1, 2, 1));
    log.stop().await;
}

#[tokio::test]
async fn a_read_waits_for_the_next_record_and_for_the_stop() {
    let log = log::spawn(Settings::new(any())).await.unwrap();
    let address = log.address();
    let read = tokio::spawn(async move { page(address, "a?from=0&wait_ms=60000").await });
    append(address, "a", b"0").await.unwrap();
    assert_eq!(read.await.unwrap().records.len(), 1);
    let read = tokio::spawn(async move { page(address, "a?from=1&wait_ms=60000").await });
    while log.stats().reads < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    log.stop().await;
    assert_eq!(read.await.unwrap().end, 1);
}

#[tokio::test(start_paused = true)]
async fn lost_late_and_gone_appends_get_no_answer() {
    let log = log::spawn(Settings::new(any())).await.unwrap();
    let faults = br#"{"lost": 1, "late": 1, "late_ms": 5000, "gone": 1}"#;
    let path = "/standin/faults";
    let set = send("PUT", log.address(), path, &[], faults).await.unwrap();
    assert_eq!(set.status(), 204);
    for record in [b"lost", b"late", b"gone"] {
        assert_eq!(append(log.address(), "a", record).await, None);
    }
    assert_eq!(log.read("a").end, 1);
    assert_eq!(append(log.address(), "a", b"next").await, Some(1));
    sleep(Duration::from_millis(5001)).await;
    let page = log.read("a");
    let bodies: Vec<_> = page.records.iter().map(|record| &record.body[..]).collect();
    assert_eq!(bodies, [&b"lost"[..], b"next", b"late"]);
    let unknown = send("PUT", log.address(), path, &[], br#"{"x": 1}"#).await;
    assert_eq!(unknown.unwrap().status(), 400);
}

#[tokio::test(start_paused = true)]
async fn outages_cuts_and_limits_hit_whom_they_name() {
    let mut settings = Settings::new(any());
    settings.appends_per_second = 2.0;
    let log = log::spawn(settings).await.unwrap();
    let net = NetworkFaults {
        cut: vec!["a".to_owned()],
        only: vec!["b".to_owned()],
        down: Outage::Refuse,
        delay_ms: 0,
    };
    log.set_faults(Faults {
        net,
        ..Faults::default()
    });
    let read = async |name| {
        send(
            "GET",
            log.address(),
            "/streams/s",
            &[(CLIENT_HEADER, name)],
            b"",
        )
        .await
    };
    assert!(read("a").await.is_none());
    assert_eq!(read("b").await.unwrap().status(), 503);
    assert_eq!(read("c").await.unwrap().status(), 200);
    for record in [b"0", b"1", b"2"] {
        append(log.address(), "s", record).await;
    }
    assert_eq!((log.read("s").end, log.stats().refused), (2, 1));
}
