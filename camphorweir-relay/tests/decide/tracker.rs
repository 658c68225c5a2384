use {
    camphorweir_relay::{
        ids::TargetId,
        path::{Hop, Path},
        span::Span,
        tracker::Tracker,
    },
    std::time::Duration,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn target() -> TargetId {
    "t".into()
}

#[test]
fn reserved_memory_is_released() {
    let mut tracker = Tracker::default();
    let hops = vec![
        Hop {
            target: target(),
            span: Span { from: 0, to: 4 },
        },
        Hop {
            target: "u".into(),
            span: Span { from: 4, to: 10 },
        },
    ];
    let path = Path::new(hops, 10, 1.0).unwrap();
    tracker.reserve(&path, 100.0);
    tracker.reserve(&path, 50.0);
    assert_eq!(tracker.state(&target()).token_layers, 600.0);
    assert_eq!(tracker.state(&"u".into()).token_layers, 900.0);
    tracker.release(&path, 100.0);
    assert_eq!(tracker.state(&target()).token_layers, 200.0);
    tracker.release(&path, 50.0);
    assert_eq!(tracker.with_streams().count(), 0);
}

#[test]
fn consecutive_failures_lengthen_the_ejection() {
    let mut tracker = Tracker::default();
    tracker.record_failure(&target(), ms(0), false);
    assert!(tracker.is_avoided(&target(), ms(399)));
    assert!(!tracker.is_avoided(&target(), ms(400)));
    // Failures at the same moment count once.
    tracker.record_failure(&target(), ms(400), false);
    tracker.record_failure(&target(), ms(401), false);
    assert!(tracker.is_avoided(&target(), ms(1_199)));
    assert!(!tracker.is_avoided(&target(), ms(1_200)));
    tracker.record_success(&target(), None);
    tracker.record_failure(&target(), ms(2_000), false);
    assert!(!tracker.is_avoided(&target(), ms(2_400)));
    // The target may still be used where no other holds its layers.
    assert!(!tracker.is_excluded(&target(), ms(2_001)));
}

#[test]
fn a_suspected_target_is_excluded_at_once_and_unresponsive_after_a_failed_probe() {
    let mut tracker = Tracker::default();
    tracker.record_failure(&target(), ms(0), true);
    assert!(tracker.is_excluded(&target(), ms(1)));
    assert!(!tracker.is_unresponsive(&target(), ms(1)));
    assert_eq!(tracker.take_due_probes(ms(1)), [target()]);
    assert_eq!(tracker.take_due_probes(ms(2)), Vec::<TargetId>::new());
    tracker.record_probe(&target(), false, ms(100));
    assert!(tracker.is_unresponsive(&target(), ms(100)));
    assert_eq!(tracker.take_due_probes(ms(500)), [target()]);
    tracker.record_probe(&target(), true, ms(510));
    assert!(!tracker.is_excluded(&target(), ms(510)));
    assert!(!tracker.is_avoided(&target(), ms(510)));
}

#[test]
fn a_refusal_causes_only_a_short_backoff() {
    let mut tracker = Tracker::default();
    tracker.record_full(&target(), ms(0), false);
    // No other target may hold its layers, so it is not excluded.
    assert!(!tracker.is_excluded(&target(), ms(1)));
    assert!(tracker.is_avoided(&target(), ms(119)));
    assert!(!tracker.is_avoided(&target(), ms(120)));
    assert_eq!(tracker.state(&target()).failure_rate, 0.0);
}

#[test]
fn an_ejection_by_a_peer_is_short_and_not_propagated() {
    let mut tracker = Tracker::default();
    tracker.record_peer_ejection(&target(), ms(0), ms(3_000), true);
    assert!(
        tracker.is_avoided(&target(), ms(399)) && tracker.is_unresponsive(&target(), ms(1_499))
    );
    assert!(
        !tracker.is_avoided(&target(), ms(400)) && !tracker.is_unresponsive(&target(), ms(1_500))
    );
    assert_eq!(tracker.failing(ms(1)).count(), 0);
}
