use {
    camphorweir_relay::{
        budget::{Budget, Policy},
        ids::ServiceName,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
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
    // 0.85 of the policy's retries are used.
    assert_eq!(allowed_retries(1.0, 0, 0), 25);
    assert_eq!(allowed_retries(0.1, 0, 0), 2);
    assert_eq!(allowed_retries(0.1, 100, 0), 19);
    // Requests before the window don't count.
    assert_eq!(allowed_retries(0.1, 100, 11), 2);
}

#[test]
fn the_shares_of_all_instances_stay_within_the_budget() {
    let per_instance = allowed_retries(1.0 / 12.0, 100, 0);
    assert!(per_instance * 9 <= (0.2 * 900.0 + 30.0) as usize);
}

/// A burst of 1.8 times the load for ten seconds, during which every request wants three retries.
/// Instances read requests late and retries reach their targets late, as on busy machines. The
/// users also check about every other second at each instance which configuration is in force; these
/// requests get retries and don't count for the bound.
///
/// Returns the most retries beyond the users' bound that arrive in any window, which is taken from
/// the requests of that window, the one before, or the one half a window before.
fn worst_excess(seed: u64) -> f64 {
    const INSTANCES: usize = 65;
    const STEP_MS: u64 = 10;
    const WINDOW_MS: u64 = 10_000;
    const BASE_RETRIES: f64 = 314.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let policy = Policy {
        ratio: 0.2,
        base_retries: BASE_RETRIES,
        window: Duration::from_millis(WINDOW_MS),
    };
    let service: ServiceName = "s".into();
    let mut budgets = vec![Budget::new(policy); INSTANCES];
    let share = 1.0 / (INSTANCES + 3) as f64;
    let (mut sent, mut read, mut arrived) = (Vec::new(), Vec::new(), Vec::new());
    for now in (0..40_000).step_by(STEP_MS as usize) {
        let factor = if (15_000..25_000).contains(&now) {
            1.8
        } else {
            1.0
        };
        if rng.random_bool(0.36) {
            read.push((now, rng.random_range(0..INSTANCES)));
        }
        if rng.random_bool((215.0 * factor * STEP_MS as f64 / 1e3 / 4.0_f64).min(1.0)) {
            for _ in 0..4 {
                sent.push(now);
                read.push((
                    now + rng.random_range(0..600),
                    rng.random_range(0..INSTANCES),
                ));
            }
        }
        for (at, instance) in &mut read {
            if *at > now || *at == u64::MAX {
                continue;
            }
            *at = u64::MAX;
            let time = Duration::from_millis(now);
            budgets[*instance].record_request(&service, time);
            for _ in 0..3 {
                if budgets[*instance].try_retry(&service, time, share) {
                    arrived.push(now + rng.random_range(0..400));
                }
            }
        }
        read.retain(|(at, _)| *at != u64::MAX);
    }
    let count = |times: &[u64], from: u64| {
        let window = from..from + WINDOW_MS;
        times.iter().filter(|at| window.contains(at)).count() as f64
    };
    let starts = (WINDOW_MS..30_000).step_by(100);
    let excess = starts.map(|from| {
        let before = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| count(&sent, from - back));
        let requests = before.into_iter().fold(0.0, f64::max);
        count(&arrived, from) - (0.2 * requests + BASE_RETRIES)
    });
    excess.fold(f64::MIN, f64::max)
}

#[test]
fn retries_stay_within_the_budget_although_instances_and_targets_count_at_different_times() {
    for seed in 1..=8 {
        let excess = worst_excess(seed);
        assert!(excess <= 0.0, "{excess} retries too many, seed {seed}");
    }
}
