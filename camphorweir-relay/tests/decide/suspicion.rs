//! Targets that do not respond, and may be sound.

use {
    camphorweir_relay::{ids::TargetId, suspicion::MAX_SOUND_SILENCE, tracker::Tracker},
    std::time::Duration,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn a_silent_target_is_unresponsive_once_its_silence_is_longer_than_a_sound_one() {
    let target = TargetId::from("t");
    let raised_at = ms(10_000);
    let bound = MAX_SOUND_SILENCE.as_millis() as u64;
    // How long it was silent when the suspicion was raised, when a probe failed, and what it shows.
    for (silent, probed, is_gone) in [
        (0, bound - 1, false),
        (0, bound, true),
        (600, bound - 601, false),
        (600, bound - 600, true),
        (bound, 1, true),
    ] {
        let mut tracker = Tracker::default();
        tracker.record_suspicion(&target, ms(silent), raised_at);
        assert!(tracker.is_excluded(&target, raised_at));
        let now = raised_at + ms(probed);
        tracker.record_probe(&target, false, now);
        let seen = tracker.is_unresponsive(&target, now);
        assert_eq!(seen, is_gone, "{silent} {probed}");
        tracker.record_absence(&target, now);
        assert!(tracker.is_unresponsive(&target, now));
        tracker.record_probe(&target, true, now);
        assert!(!tracker.is_excluded(&target, now));
    }
}
