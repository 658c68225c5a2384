//! Which requests may fill up the memory of targets while it is scarce.

use {
    camphorweir_relay::{
        admission::{MIN_SHARE, Standing, admission_rank, admission_share},
        features::Ranks,
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
    let first = attempts.filter(|attempt| admission_rank(2, 0.0, attempt) == 0);
    let share = first.count() as f64 / f64::from(total);
    assert!((share - MIN_SHARE).abs() < 0.01, "{share}");
}

proptest! {
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
