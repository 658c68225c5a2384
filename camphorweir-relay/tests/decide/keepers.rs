//! Which instances are told of crashes.

use {
    camphorweir_relay::{
        ids::Zone,
        keepers::{Scope, keepers_choose, keepers_recipients},
    },
    std::collections::{BTreeMap, BTreeSet},
};

fn instances(zone: &str, count: usize) -> BTreeSet<String> {
    (0..count).map(|index| format!("{zone}{index}")).collect()
}

fn zones() -> BTreeMap<Zone, BTreeSet<String>> {
    let zones = ["a", "b", "c"].into_iter();
    zones
        .map(|zone| (zone.into(), instances(zone, 9)))
        .collect()
}

#[test]
fn instances_that_know_the_same_others_choose_the_same_keepers() {
    let instances = instances("i", 9);
    assert_eq!(keepers_choose(7, &instances).len(), 2);
    let chosen: BTreeSet<Vec<&String>> = (0..100)
        .map(|fingerprint| keepers_choose(fingerprint, &instances))
        .collect();
    assert!(chosen.len() > 20);
    // An instance that goes away changes the keepers of its own fingerprints only.
    let fewer: BTreeSet<String> = instances.iter().skip(1).cloned().collect();
    for fingerprint in 0..100 {
        let before = keepers_choose(fingerprint, &instances);
        if !before.contains(&&"i0".to_owned()) {
            assert_eq!(before, keepers_choose(fingerprint, &fewer));
        }
    }
}

#[test]
fn what_an_instance_saw_goes_to_the_keepers_of_all_zones_and_from_them_to_their_own_zone() {
    let zones = zones();
    let own_zone: Zone = "a".into();
    let keepers = keepers_choose(7, &zones[&own_zone]);
    let other = zones[&own_zone].iter().find(|name| !keepers.contains(name));
    let (keeper, other) = (keepers[0], other.unwrap());
    let all: BTreeSet<&String> = zones
        .values()
        .flat_map(|zone| keepers_choose(7, zone))
        .collect();
    let scope = |is_own, is_shared| Scope { is_own, is_shared };
    let tell = |own: &String, scope| keepers_recipients(7, scope, own, &own_zone, &zones);
    assert_eq!(tell(other, scope(true, false)), all);
    assert_eq!(tell(other, scope(true, true)), all);
    assert!(tell(other, scope(false, true)).is_empty());
    assert!(tell(keeper, scope(false, false)).is_empty());
    let mut zone: BTreeSet<&String> = zones[&own_zone].iter().collect();
    zone.remove(keeper);
    assert_eq!(tell(keeper, scope(false, true)), zone);
    zone.extend(all);
    zone.remove(keeper);
    assert_eq!(tell(keeper, scope(true, true)), zone);
}
