//! What is known of a prefix cache.

use {camphorweir_policy::cache::Estimate, camphorweir_wire::engine::Cached};

fn hash(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

#[test]
fn events_late_doubled_and_missing() {
    let prefix: Vec<u64> = (1..=4).map(hash).collect();
    // Events as number, blocks added and removed, and the positions held after them.
    type Event = (u64, &'static [usize], &'static [usize]);
    let cases: [(&[Event], u32); 5] = [
        (&[], 0),
        (&[(1, &[0, 1, 2, 3], &[])], 64),
        (&[(1, &[0, 1, 2, 3], &[]), (2, &[], &[2])], 32),
        (&[(2, &[0, 1], &[]), (1, &[], &[0]), (2, &[], &[1])], 32),
        (&[(1, &[0], &[]), (5, &[2, 3], &[])], 16),
    ];
    for (events, held) in cases {
        let mut known = Estimate::default();
        for (sequence, added, removed) in events {
            let blocks = |places: &[usize]| places.iter().map(|place| prefix[*place]).collect();
            known.apply(&Cached {
                sequence: *sequence,
                added: blocks(added),
                removed: blocks(removed),
            });
        }
        assert_eq!(known.cached(&prefix), held, "{events:?}");
    }
}

#[test]
fn the_engines_own_word_corrects() {
    let prefix: Vec<u64> = (1..=4).map(hash).collect();
    let mut known = Estimate::default();
    for held in [64, 16, 48, 0] {
        known.correct(&prefix, held);
        assert_eq!(known.cached(&prefix), held);
    }
}
