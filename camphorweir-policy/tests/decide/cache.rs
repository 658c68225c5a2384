//! The estimate of an engine's prefix cache.

use {camphorweir_policy::cache::Estimate, camphorweir_wire::engine::Cached};

fn hash(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

#[test]
fn late_duplicate_and_lost_events() {
    let prefix: Vec<u64> = (1..=4).map(hash).collect();
    // Events (sequence number, blocks added and removed), then the cached positions expected after
    // them.
    type Event = (u64, &'static [usize], &'static [usize]);
    let cases: [(&[Event], u32); 5] = [
        (&[], 0),
        (&[(1, &[0, 1, 2, 3], &[])], 64),
        (&[(1, &[0, 1, 2, 3], &[]), (2, &[], &[2])], 32),
        (&[(2, &[0, 1], &[]), (1, &[], &[0]), (2, &[], &[1])], 32),
        (&[(1, &[0], &[]), (5, &[2, 3], &[])], 16),
    ];
    for (events, expected) in cases {
        let mut estimate = Estimate::default();
        for (sequence, added, removed) in events {
            let blocks = |indexes: &[usize]| indexes.iter().map(|index| prefix[*index]).collect();
            estimate.apply(&Cached {
                sequence: *sequence,
                added: blocks(added),
                removed: blocks(removed),
            });
        }
        assert_eq!(estimate.cached(&prefix), expected, "{events:?}");
    }
}

#[test]
fn reported_positions_correct_the_estimate() {
    let prefix: Vec<u64> = (1..=4).map(hash).collect();
    let mut estimate = Estimate::default();
    for expected in [64, 16, 48, 0] {
        estimate.correct(&prefix, expected);
        assert_eq!(estimate.cached(&prefix), expected);
    }
}
