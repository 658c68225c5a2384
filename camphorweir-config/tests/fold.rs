//! The fold: conflicting publications, delayed checkpoints, and readers that start at different
//! offsets.

mod common;

use {
    camphorweir_config::{
        edit::edits,
        fault::Code,
        fold::{Effect, Fold},
        history::{Outcome, Winner},
        model::{Document, Zone},
        record::{Body, Checkpoint, Edit, Nonce},
    },
    common::{cases, document, publication, record},
    proptest::{collection::vec, prelude::*, sample::Index},
};

fn first_publication(nonce: Nonce) -> Vec<u8> {
    publication(nonce, "ada", 0, edits(&Document::default(), &document()))
}

fn zone(name: &str) -> Edit {
    let region = "southeast".to_owned();
    Edit::Zone(name.to_owned(), Some(Zone { region }))
}

fn checkpoint(fold: &Fold) -> Checkpoint {
    fold.checkpoint().unwrap()
}

#[test]
fn one_of_two_conflicting_publications_is_accepted() {
    let mut fold = Fold::new();
    assert_eq!(fold.apply(0, &first_publication(1)), Effect::Accepted(1));
    let ben = publication(2, "ben", 1, vec![zone("x")]);
    let eve = publication(3, "eve", 1, vec![zone("y")]);
    assert_eq!(fold.apply(1, &ben), Effect::Accepted(2));
    let winner = Winner {
        author: "ben".to_owned(),
        version: 2,
    };
    let conflict = Effect::Conflict {
        nonce: 3,
        winner: winner.clone(),
    };
    assert_eq!(fold.apply(2, &eve), conflict);
    assert_eq!(fold.apply(3, &ben), Effect::Duplicate(2));
    assert_eq!(fold.apply(4, &eve), conflict);
    assert_eq!(fold.outcome(2), Some(&Outcome::Accepted(2)));
    assert_eq!(fold.outcome(3), Some(&Outcome::Conflict(winner)));
    assert_eq!(fold.outcome(4), None);
    assert!(fold.document().zones.contains_key("x"));
    assert!(!fold.document().zones.contains_key("y"));
    assert_eq!((fold.version(), fold.nonce(), fold.author()), (2, 2, "ben"));
}

#[test]
fn a_faulty_result_changes_nothing() {
    let mut fold = Fold::new();
    fold.apply(0, &first_publication(1));
    let effect = fold.apply(
        1,
        &publication(2, "ben", 1, vec![Edit::Zone("southeast-a".into(), None)]),
    );
    let Effect::Faulty { nonce, faults } = effect else {
        panic!("{effect:?}");
    };
    assert_eq!(nonce, Some(2));
    assert!(
        faults
            .iter()
            .all(|fault| fault.code == Code::NoSuchReference)
    );
    assert_eq!(fold.version(), 1);
    assert_eq!(**fold.document(), document());
    assert_eq!(
        fold.apply(2, &publication(3, "eve", 1, vec![zone("x")])),
        Effect::Accepted(2)
    );
}

#[test]
fn the_last_version_has_no_successor() {
    let mut fold = Fold::new();
    let highest = Checkpoint {
        version: u64::MAX,
        nonce: 1,
        author: "ada".to_owned(),
        next: 0,
        document: document(),
    };
    assert_eq!(
        fold.apply_peer_checkpoint(highest),
        Effect::Checkpoint(u64::MAX)
    );
    let effect = fold.apply(0, &publication(2, "ben", u64::MAX, vec![]));
    assert!(matches!(effect, Effect::Faulty { .. }), "{effect:?}");
}

#[test]
fn an_unknown_format_stops_the_fold_for_good() {
    let mut fold = Fold::new();
    fold.apply(0, &first_publication(1));
    let future = rmp_serde::to_vec(&(9_u16, "anything", [1, 2, 3])).unwrap();
    assert_eq!(fold.apply(1, &future), Effect::UnknownFormat(9));
    assert_eq!(
        fold.apply(2, &publication(2, "ben", 1, vec![])),
        Effect::UnknownFormat(9)
    );
    assert_eq!(
        fold.apply_peer_checkpoint(checkpoint(&fold)),
        Effect::UnknownFormat(9)
    );
    assert_eq!((fold.version(), fold.unknown_format()), (1, Some(9)));
    assert_eq!(**fold.document(), document());
}

#[test]
fn undecodable_records_are_skipped() {
    let mut fold = Fold::new();
    let no_body = rmp_serde::to_vec(&(1_u16,)).unwrap();
    for (offset, bytes) in [&b""[..], b"\xc1", b"\x90", b"hello", &no_body]
        .iter()
        .enumerate()
    {
        let effect = fold.apply(offset as u64, bytes);
        assert!(
            matches!(effect, Effect::Faulty { nonce: None, .. }),
            "{effect:?}"
        );
    }
    assert_eq!(fold.apply(5, &first_publication(1)), Effect::Accepted(1));
}

#[test]
fn a_late_reader_buffers_records_until_a_checkpoint_covers_the_missing_ones() {
    let mut full_reader = Fold::new();
    full_reader.apply(0, &first_publication(1));
    let early = checkpoint(&full_reader);
    let second = publication(2, "ben", 1, vec![zone("x")]);
    let third = publication(3, "eve", 1, vec![zone("y")]);
    full_reader.apply(1, &second);
    full_reader.apply(2, &third);

    // Taken before offset 1 and appended later, so it can't tell what was accepted at offset 1.
    let late_record = record(Body::Checkpoint(early.clone()));
    let mut reader = Fold::new();
    assert_eq!(reader.apply(2, &third), Effect::Buffered);
    assert_eq!(reader.apply(3, &late_record), Effect::Checkpoint(1));
    assert!(reader.needs_checkpoint());
    assert_eq!(
        reader.apply(4, &publication(4, "eve", 1, vec![zone("z")])),
        Effect::Buffered
    );

    // A checkpoint that reaches back to the first buffered record allows evaluating all later ones.
    let mut useful_record = record(Body::Checkpoint(checkpoint(&full_reader)));
    assert_eq!(reader.apply(5, &useful_record), Effect::Checkpoint(2));
    assert!(!reader.needs_checkpoint());
    assert_eq!(reader.document(), full_reader.document());

    // A reader that has the record at offset 1 continues from the early checkpoint.
    let mut reader = Fold::new();
    assert_eq!(reader.apply(1, &second), Effect::Buffered);
    assert_eq!(reader.apply(2, &third), Effect::Buffered);
    assert_eq!(reader.apply(3, &late_record), Effect::Checkpoint(2));
    assert_eq!(reader.outcome(2), Some(&Outcome::Accepted(2)));
    useful_record = late_record;
    assert_eq!(reader.apply(4, &useful_record), Effect::Stale);
}

#[test]
fn a_peers_checkpoint_never_lowers_the_version() {
    let mut ahead = Fold::new();
    ahead.apply(0, &first_publication(1));
    let older = checkpoint(&ahead);
    ahead.apply(1, &publication(2, "ben", 1, vec![zone("x")]));
    let newer = checkpoint(&ahead);
    let mut fold = Fold::new();
    assert_eq!(fold.apply_peer_checkpoint(newer), Effect::Checkpoint(2));
    assert_eq!(fold.apply_peer_checkpoint(older), Effect::Stale);
    assert_eq!(fold.next_offset(), 2);
    assert_eq!(
        fold.apply(1, &publication(2, "ben", 1, vec![zone("x")])),
        Effect::Stale
    );
    assert_eq!(
        fold.apply(2, &publication(5, "eve", 2, vec![zone("y")])),
        Effect::Accepted(3)
    );
    fold.note_truncation(9);
    assert!(fold.needs_checkpoint());
    assert_eq!(
        fold.apply(9, &publication(6, "eve", 3, vec![])),
        Effect::Buffered
    );
}

/// One record to append.
#[derive(Clone, Debug)]
enum Op {
    /// A publication whose base is the version after the one in force, less `behind`.
    Publish { behind: u64, faulty: bool },
    /// The checkpoint that a reader of the whole log had after some earlier record.
    Checkpoint(Index),
    /// A copy of an earlier record.
    Repeat(Index),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0..3_u64, prop::bool::weighted(0.1)).prop_map(|(behind, faulty)| Op::Publish { behind, faulty }),
        3 => any::<Index>().prop_map(Op::Checkpoint),
        1 => any::<Index>().prop_map(Op::Repeat),
    ]
}

/// The log that `ops` produce, the checkpoint after each record, and the fold of the whole log.
fn log_of(ops: &[Op]) -> (Vec<Vec<u8>>, Vec<Checkpoint>, Fold) {
    let mut log = vec![first_publication(0)];
    let mut fold = Fold::new();
    fold.apply(0, &log[0]);
    let mut checkpoints = vec![checkpoint(&fold)];
    for (index, op) in ops.iter().enumerate() {
        let nonce = index as u64 + 1;
        let bytes = match op {
            Op::Publish { behind, faulty } => {
                let mut edits = vec![zone(&format!("z{nonce}"))];
                if *faulty {
                    edits.push(Edit::Model("log".to_owned(), None));
                }
                publication(
                    nonce,
                    "ada",
                    (fold.version() + 1).saturating_sub(*behind),
                    edits,
                )
            }
            Op::Checkpoint(at) => record(Body::Checkpoint(at.get(&checkpoints).clone())),
            Op::Repeat(at) => at.get(&log).clone(),
        };
        fold.apply(log.len() as u64, &bytes);
        log.push(bytes);
        checkpoints.push(checkpoint(&fold));
    }
    (log, checkpoints, fold)
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn readers_that_have_a_base_agree(
        ops in vec(op(), 0..40),
        gaps in vec((any::<Index>(), any::<Index>()), 0..3),
        adoptions in vec((any::<Index>(), any::<Index>()), 0..3),
    ) {
        let (log, checkpoints, reference) = log_of(&ops);
        for start in 0..log.len() {
            let mut reader = Fold::new();
            let mut version = 0;
            for (offset, bytes) in log.iter().enumerate().skip(start) {
                let is_in_gap = |(from, to): &(Index, Index)| {
                    (from.index(log.len())..to.index(log.len())).contains(&offset)
                };
                if !gaps.iter().any(is_in_gap) {
                    reader.apply(offset as u64, bytes);
                }
                for (when, what) in &adoptions {
                    if when.index(log.len()) == offset {
                        reader.apply_peer_checkpoint(checkpoints[what.index(offset + 1)].clone());
                    }
                }
                prop_assert!(reader.version() >= version, "the version decreased");
                version = reader.version();
                let now = reader.next_offset().min(offset as u64 + 1);
                if !reader.needs_checkpoint() && now == offset as u64 + 1 {
                    let expected = &checkpoints[offset];
                    prop_assert_eq!(reader.version(), expected.version);
                    prop_assert_eq!(reader.nonce(), expected.nonce);
                    prop_assert_eq!(&**reader.document(), &expected.document);
                }
            }
            if start == 0 && gaps.is_empty() {
                prop_assert_eq!(reader.version(), reference.version());
            }
        }
        // A reader that starts at the anchor reaches the version in force.
        let mut reader = Fold::new();
        for (offset, bytes) in log.iter().enumerate().skip(reference.oldest_required() as usize) {
            reader.apply(offset as u64, bytes);
        }
        prop_assert_eq!(reader.version(), reference.version());
        prop_assert!(!reader.needs_checkpoint());
    }

    #[test]
    fn no_bytes_make_the_fold_panic(records in vec(vec(any::<u8>(), 0..60), 0..20)) {
        let mut fold = Fold::new();
        for (offset, bytes) in records.iter().enumerate() {
            fold.apply(offset as u64, bytes);
        }
        prop_assert_eq!(fold.version(), 0);
    }
}
