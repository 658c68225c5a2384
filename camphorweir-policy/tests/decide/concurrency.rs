//! The concurrency limit of a plain service.

use {camphorweir_policy::concurrency::Limiter, std::time::Duration};

/// Returns the number of concurrent calls after 2000 answers of a server whose latency is 4 ms up
/// to `slots` concurrent calls and grows in proportion beyond.
fn settled_limit(slots: u32) -> u32 {
    let mut limiter = Limiter::default();
    let mut open = 0;
    for _ in 0..2000 {
        open = (1..2000)
            .take_while(|count| limiter.allows(count - 1))
            .last()
            .unwrap_or(0);
        let latency = Duration::from_millis(4) * open.max(slots) / slots;
        limiter.record(latency, open - 1);
    }
    open
}

#[test]
fn the_limit_settles_near_a_servers_capacity() {
    for slots in [1, 4, 16, 64] {
        let open = settled_limit(slots);
        assert!(
            (slots / 2..=slots * 2).contains(&open),
            "{slots} slots: {open}"
        );
    }
}
