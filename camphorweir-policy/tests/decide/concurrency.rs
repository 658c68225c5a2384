//! The pace of a plain service.

use {camphorweir_policy::concurrency::Limiter, std::time::Duration};

/// Calls side by side after 2000 answers of a server whose latency is 4 ms up to so many calls and
/// grows with each further one.
fn settled(slots: u32) -> u32 {
    let mut state = Limiter::default();
    let mut open = 0;
    for _ in 0..2000 {
        open = (1..2000)
            .take_while(|count| state.allows(count - 1))
            .last()
            .unwrap_or(0);
        let time = Duration::from_millis(4) * open.max(slots) / slots;
        state.record(time, open - 1);
    }
    open
}

#[test]
fn calls_side_by_side_settle_near_what_a_server_takes() {
    for slots in [1, 4, 16, 64] {
        let open = settled(slots);
        assert!(
            (slots / 2..=slots * 2).contains(&open),
            "{slots} slots: {open}"
        );
    }
}
