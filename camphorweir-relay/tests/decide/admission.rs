//! Which requests may fill up the memory of targets while it is scarce.

use {
    camphorweir_relay::{
        admission::{MIN_SHARE, Standing, admission_min_share, admission_rank, admission_share},
        fairness::{Fairness, class_tag},
        features::Ranks,
        ids::Time,
    },
    proptest::prelude::*,
};

const STANDINGS: [Standing; 3] = [Standing::Resumed, Standing::Returning, Standing::Newcomer];

/// Guards against a change of how deployments without priorities are served.
#[test]
fn without_ordered_ranks_all_requests_may_use_the_same_memory() {
    for ranks in [Ranks::default(), Ranks::new([1]), Ranks::new([2, 2])] {
        for standing in STANDINGS {
            assert_eq!(admission_share(&ranks, 0, standing), 1.0);
        }
    }
}

/// Guards against an overload in which a less urgent rank takes the last memory, a caller that returns when
/// it was told to finds it taken by a newcomer, or an interrupted stream by either.
#[test]
fn memory_goes_to_interrupted_streams_then_by_rank_then_to_callers_that_return() {
    let ranks = Ranks::new([0, 1, 2]);
    let order = [
        (2, Standing::Newcomer),
        (2, Standing::Returning),
        (1, Standing::Newcomer),
        (1, Standing::Returning),
        (0, Standing::Newcomer),
        (0, Standing::Returning),
        (0, Standing::Resumed),
    ];
    let shares = order.map(|(rank, standing)| admission_share(&ranks, rank, standing));
    assert!(shares.is_sorted_by(|a, b| a < b), "{shares:?}");
    assert_eq!(admission_share(&ranks, 0, Standing::Newcomer), 1.0);
    let resumed = admission_share(&ranks, 2, Standing::Resumed);
    assert_eq!(resumed, admission_share(&ranks, 0, Standing::Resumed));
}

/// Guards against starvation of the less urgent ranks by a flood of urgent requests: of the attempts with
/// consecutive identifiers, the stated share counts as most urgent.
#[test]
fn a_fixed_share_of_less_urgent_attempts_counts_as_most_urgent() {
    let total = 20_000;
    let attempts = (0..total).map(|index| format!("attempt-{index}"));
    let first = attempts.filter(|attempt| admission_rank(2, 0.0, MIN_SHARE, attempt) == 0);
    let share = first.count() as f64 / f64::from(total);
    assert!((share - MIN_SHARE).abs() < 0.01, "{share}");
}

/// Guards against a burst of the least urgent rank of which a quarter counts as most urgent: half as much
/// does when it has three of five requests, and a quarter again once it has ended.
#[test]
fn in_a_burst_of_a_rank_less_of_it_counts_as_most_urgent() {
    let classes = [0, 1, 2].map(|rank| class_tag("models", rank));
    let mut fairness = Fairness::default();
    let offer = |fairness: &mut Fairness, counts: [usize; 3], from: u64| {
        for ms in (from..from + 12_000).step_by(200) {
            for (class, count) in classes.iter().zip(counts) {
                let now = Time::from_millis(ms);
                (0..count).for_each(|_| fairness.record_offered(*class, "a", 1.0, now));
            }
        }
        admission_min_share(fairness.part_of_requests(2, &classes))
    };
    assert_eq!(admission_min_share(0.0), MIN_SHARE);
    let burst = offer(&mut fairness, [1, 1, 3], 0);
    assert!((0.11..0.13).contains(&burst), "{burst}");
    let after = offer(&mut fairness, [5, 5, 0], 12_000);
    assert!(after > 0.24, "{after}");
}

proptest! {
    /// Guards against a rank that is starved by its own burst: whatever part of the requests it has, and
    /// however often the others are served, at most as often as the most urgent, it is served a quarter as often as all.
    #[test]
    fn a_rank_is_served_a_quarter_as_often_as_all_whatever_part_it_has(
        part in 0.0_f64..=1.0,
        most_urgent in 0.0_f64..=1.0,
        others in 0.0_f64..=1.0,
    ) {
        let served = most_urgent * admission_min_share(part);
        let all = part * served + (1.0 - part) * most_urgent * others;
        prop_assert!(served >= MIN_SHARE * all - 1e-12, "{served} {all}");
    }

    /// Guards against a configuration of many priorities that leaves the last rank no memory, or lets it
    /// pass a more urgent one.
    #[test]
    fn each_rank_may_use_no_more_than_the_one_before_and_most_of_the_memory(
        priorities in prop::collection::vec(any::<u8>(), 1..40),
    ) {
        let ranks = Ranks::new(priorities);
        for rank in 0..ranks.count() {
            let newcomer = admission_share(&ranks, rank, Standing::Newcomer);
            let returning = admission_share(&ranks, rank, Standing::Returning);
            prop_assert!((0.59..=1.0).contains(&newcomer), "{newcomer}");
            prop_assert!(newcomer <= returning);
            if rank > 0 {
                let before = admission_share(&ranks, rank - 1, Standing::Newcomer);
                prop_assert!(returning <= before, "{returning} {before}");
            }
        }
    }
}
