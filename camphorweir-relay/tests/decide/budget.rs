use {
    camphorweir_relay::{
        budget::{Budget, Policy},
        ids::ServiceName,
    },
    std::time::Duration,
};

/// Number of retries that the budget allows `at` seconds after that many requests.
fn allowed_retries(share: f64, requests: usize, at: u64) -> usize {
    let service: ServiceName = "s".into();
    let mut budget = Budget::new(Policy {
        ratio: 0.2,
        base_retries: 30.0,
        window: Duration::from_secs(10),
    });
    for _ in 0..requests {
        budget.record_request(&service, Duration::ZERO);
    }
    let now = Duration::from_secs(at);
    (0..1_000)
        .take_while(|_| budget.try_retry(&service, now, share))
        .count()
}

#[test]
fn retries_are_bounded_by_a_share_of_requests_and_of_the_base_allowance() {
    assert_eq!(allowed_retries(1.0, 0, 0), 30);
    assert_eq!(allowed_retries(0.1, 0, 0), 3);
    assert_eq!(allowed_retries(0.1, 100, 0), 23);
    // Requests before the window don't count.
    assert_eq!(allowed_retries(0.1, 100, 11), 3);
}

#[test]
fn the_shares_of_all_instances_stay_within_the_budget() {
    let per_instance = allowed_retries(1.0 / 12.0, 100, 0);
    assert!(per_instance * 9 <= (0.2 * 900.0 + 30.0) as usize);
}
