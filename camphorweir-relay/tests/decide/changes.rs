//! When a zone has settled.

use {
    camphorweir_relay::{changes::Changes, fleet::Target, ids::Time, span::Span},
    std::{net::SocketAddr, time::Duration},
};

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn target(index: u16, to: u16) -> Target {
    Target {
        id: format!("t{index}").into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], index)),
        zone: "z".into(),
        started_ms: 1,
        sequence: 1,
        slots: 1,
        draining: false,
        hardware: None,
        span: Span { from: 0, to },
    }
}

#[test]
fn a_zone_settles_sooner_after_a_load_than_after_a_loss() {
    let mut changes = Changes::default();
    let (service, zone) = ("s".into(), "z".into());
    let is_settled = |changes: &Changes, at| changes.is_settled(&service, &zone, at);
    assert!(!is_settled(&changes, ms(0)));
    changes.record([target(1, 5), target(2, 5)].iter(), ms(0));
    assert!(!is_settled(&changes, ms(499)));
    assert!(is_settled(&changes, ms(500)));
    // The same again is no change, other layers are.
    changes.record([target(1, 5), target(2, 5)].iter(), ms(600));
    assert!(is_settled(&changes, ms(600)));
    changes.record([target(1, 5), target(2, 6)].iter(), ms(700));
    assert!(!is_settled(&changes, ms(1_199)));
    assert!(is_settled(&changes, ms(1_200)));
    changes.record([target(1, 5)].iter(), ms(2_000));
    assert!(!is_settled(&changes, ms(6_999)));
    assert!(is_settled(&changes, ms(7_000)));
    // A target that comes back does not shorten that.
    changes.record([target(1, 5)].iter(), ms(8_000));
    changes.record([].iter(), ms(8_500));
    changes.record([target(1, 5)].iter(), ms(9_000));
    assert!(!is_settled(&changes, ms(9_499)));
    assert!(!is_settled(&changes, ms(13_499)));
}
