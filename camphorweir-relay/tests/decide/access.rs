use {
    camphorweir_relay::{
        access::{Snapshot, access_check},
        configuration::{Access, Configuration, Keys, Kind, Owner, Route},
        head::Head,
    },
    camphorweir_wire::{code::Code, outcome::Ran},
    std::{sync::Arc, time::Duration},
};

const REVOCATION_BOUND: Duration = Duration::from_secs(5);

fn route(host: &str, prefix: &str, public: bool) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::AtMostOnce,
        weights: vec![("s".into(), 90), ("t".into(), 10), ("u".into(), 0)],
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        priority: 1,
        max_runs: 1,
        public,
    })
}

fn snapshot() -> Snapshot {
    let owner = Arc::new(Owner {
        workspace: "w".into(),
        priority: None,
    });
    let routes = vec![
        route("h", "/a/", false),
        route("h", "/a/b/", false),
        route("h", "/open/", true),
        route("other", "/a/b/c/", false),
    ];
    Snapshot {
        configuration: Arc::new(Configuration {
            version: 4,
            routes,
            access: Access::Keyed([("key".to_owned(), owner)].into()),
            ..Configuration::default()
        }),
        confirmed_at: Duration::from_secs(10),
    }
}

fn head(path: &str, key: Option<&str>) -> Head {
    Head {
        host: "h:80".to_owned(),
        path: path.to_owned(),
        key: key.map(str::to_owned),
        ..Head::default()
    }
}

fn code(path: &str, key: Option<&str>, seconds: f64) -> Option<Code> {
    let now = Duration::from_secs_f64(seconds);
    let refusal = access_check(Some(&snapshot()), &head(path, key), now, REVOCATION_BOUND).err()?;
    assert_eq!(refusal.ran, Ran::No);
    Some(refusal.code)
}

#[test]
fn the_route_with_the_longest_prefix_on_the_host_matches() {
    let snapshot = snapshot();
    let find = |path| {
        snapshot
            .configuration
            .find_route("h", path)
            .map(|route| route.prefix.clone())
    };
    assert_eq!(find("/a/b/c/d").as_deref(), Some("/a/b/"));
    assert_eq!(find("/a/x").as_deref(), Some("/a/"));
    assert_eq!(find("/a"), None);
    assert_eq!(find("/b/a/"), None);
}

#[test]
fn keys_are_accepted_only_while_the_configuration_is_recent() {
    assert_eq!(code("/a/", Some("key"), 10.0), None);
    assert_eq!(code("/a/", Some("none"), 10.0), Some(Code::Unauthorized));
    assert_eq!(code("/a/", None, 10.0), Some(Code::Unauthorized));
    assert_eq!(code("/a/", Some("key"), 14.4), None);
    // Half a second before the bound, so that an admitted request reaches its target in time.
    assert_eq!(code("/a/", Some("key"), 14.5), Some(Code::KeysStale));
    // An unknown key may be newer than the configuration.
    assert_eq!(code("/a/", Some("none"), 14.5), Some(Code::KeysStale));
    assert_eq!(code("/open/", None, 99.0), None);
}

/// Guards against a configuration without keys that is taken for one that needs none.
#[test]
fn workspaces_without_keys_admit_nobody_and_no_workspaces_everyone() {
    for (access, expected) in [
        (Access::Keyed(Keys::new()), Some(Code::Unauthorized)),
        (Access::Open, None),
    ] {
        let mut snapshot = snapshot();
        Arc::make_mut(&mut snapshot.configuration).access = access;
        let check = |path: &str, key| {
            let now = Duration::from_secs(10);
            let permit = access_check(Some(&snapshot), &head(path, key), now, REVOCATION_BOUND);
            permit.map(|permit| permit.owner)
        };
        for key in [None, Some("key"), Some("none"), Some("")] {
            let code = check("/a/", key).err().map(|refusal| refusal.code);
            assert_eq!(code, expected, "{key:?}");
            assert_eq!(check("/open/", key).unwrap(), None);
        }
    }
}

#[test]
fn without_a_configuration_no_path_is_reported_as_unknown() {
    let refusal =
        access_check(None, &head("/a/", None), Duration::ZERO, REVOCATION_BOUND).unwrap_err();
    assert_eq!(refusal.code, Code::NoConfiguration);
    assert!(refusal.retry_after.is_some());
    assert_eq!(code("/none/", Some("key"), 10.0), Some(Code::NoSuchPath));
}

#[test]
fn services_are_picked_by_weight() {
    let route = route("h", "/a/", false);
    let service = |random: f64| route.pick_service(random).map(|name| name.to_string());
    assert_eq!(service(0.0).as_deref(), Some("s"));
    assert_eq!(service(0.899).as_deref(), Some("s"));
    assert_eq!(service(0.901).as_deref(), Some("t"));
    assert_eq!(service(0.999_999).as_deref(), Some("t"));
}
