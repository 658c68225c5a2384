//! How many senders of datagrams are told apart.

use {
    camphorweir_relay::senders::{MAX_UNLISTED_SENDERS, Senders},
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn unlisted_senders_are_a_limited_number_until_some_fall_silent() {
    let mut senders = Senders::default();
    for name in 0..MAX_UNLISTED_SENDERS {
        assert!(senders.admit(&name.to_string(), ms(0)));
    }
    assert!(!senders.admit("late", ms(9_000)));
    assert!(senders.admit("0", ms(9_000)));
    assert!(!senders.admit("late", ms(12_000)));
    assert!(senders.admit("late", ms(20_000)));
    assert!(senders.admit("0", ms(20_000)));
}
