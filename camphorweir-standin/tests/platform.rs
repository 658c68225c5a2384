//! The instance list's lag, the weight store's limit, and a service that stands still.

mod support;

use {
    camphorweir_standin::{
        engine, list, log,
        server::{NetworkFaults, Outage},
        weights,
    },
    camphorweir_wire::{
        engine::{Assignment, Command, Layers, Reply},
        list::{Instance, Role, State},
    },
    std::time::Duration,
    support::{Link, any, append, send},
    tokio::time::{sleep, timeout},
};

fn instance(name: &str) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Target,
        address: "127.0.0.1:1".to_owned(),
        zone: "southeast-a".to_owned(),
        state: State::Live,
    }
}

#[tokio::test(start_paused = true)]
async fn the_list_lags_and_an_outage_leaves_its_operators_alone() {
    let settings = list::Settings {
        address: any(),
        lag_ms: 5000,
        instances: vec![instance("a")],
    };
    let list = list::spawn(settings).await.unwrap();
    let address = list.address();
    let get = async || send("GET", address, "/instances", &[], b"").await;
    let names = async || {
        let list: Vec<Instance> = serde_json::from_slice(get().await.unwrap().body()).unwrap();
        list.into_iter().map(|instance| instance.name).collect()
    };
    list.set_faults(list::Faults {
        net: NetworkFaults {
            down: Outage::Drop,
            ..NetworkFaults::default()
        },
        lag_ms: None,
    });
    assert!(get().await.is_none());
    let body = serde_json::to_vec(&[instance("b")]).unwrap();
    let set = send("PUT", address, "/instances", &[], &body).await;
    assert_eq!(set.unwrap().status(), 204);
    list.set_faults(list::Faults::default());
    let seen: Vec<String> = names().await;
    assert_eq!(seen, ["a"]);
    sleep(Duration::from_millis(5001)).await;
    let seen: Vec<String> = names().await;
    assert_eq!(seen, ["b"]);
}

#[tokio::test(start_paused = true)]
async fn an_engine_loads_through_the_limited_store_once_it_is_idle() {
    let settings = weights::Settings {
        address: any(),
        loads_per_second: 1.0,
        layer_ms: 100,
    };
    let store = weights::spawn(settings).await.unwrap();
    let path = "/weights/pine/0-2";
    let get = async || send("GET", store.address(), path, &[], b"").await.unwrap();
    assert_eq!(get().await.status(), 200);
    let old = Layers { first: 0, end: 2 };
    let mut settings = engine::Settings::new(any(), "l40", "pine", 7, old);
    settings.weights = Some(store.address());
    let engine = engine::spawn(settings).await.unwrap();
    let mut link = Link::open(engine.address()).await;
    link.news().await.unwrap();
    let layers = Layers { first: 2, end: 7 };
    link.order(vec![
        Command::Open(support::open(1, old, Vec::new())),
        Command::Assign(Assignment {
            fence: 1,
            model: "pine".to_owned(),
            layers,
        }),
    ])
    .await;
    assert!(matches!(link.news().await, Some(Reply::Opened(_))));
    assert!(matches!(link.news().await, Some(Reply::LayersHeld(holds)) if holds.loading));
    assert_eq!(store.stats().loads, 1);
    link.order(vec![Command::Cancel(1, 0)]).await;
    match link.news().await {
        Some(Reply::LayersHeld(holds)) => {
            assert_eq!((holds.layers, holds.loading), (layers, false))
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(store.stats().loads, 2);
}

#[tokio::test]
async fn a_hanging_service_goes_on_with_what_arrived() {
    let log = log::spawn(log::Settings::new(any())).await.unwrap();
    log.set_faults(log::Faults {
        net: NetworkFaults {
            down: Outage::Hang,
            ..NetworkFaults::default()
        },
        ..log::Faults::default()
    });
    let address = log.address();
    let mut landed = tokio::spawn(async move { append(address, "a", b"0").await });
    let wait = Duration::from_millis(50);
    assert!(timeout(wait, &mut landed).await.is_err());
    assert_eq!(log.read("a").end, 0);
    log.set_faults(log::Faults::default());
    assert_eq!(landed.await.unwrap(), Some(0));
}
