//! The fold of the lease stream: who holds the lease after a list of records.

use {
    camphorweir_policy::lease::Fold,
    camphorweir_wire::{
        claim::Owner,
        codec,
        lease::{Body, FORMAT, Record},
        log::Stored,
    },
    serde_bytes::ByteBuf,
};

/// Each line: the seconds at which a record lands, its owner, what it says, and who holds the lease
/// under which fencing number after it.
const CASES: &str = include_str!("cases/lease.txt");

fn record(owner: &str, body: Body) -> Vec<u8> {
    codec::encode(&Record {
        format: FORMAT,
        nonce: 0,
        owner: Owner {
            entry: owner.to_owned(),
            incarnation: 1,
        },
        body,
    })
}

fn body(word: &str) -> Body {
    let (verb, fence) = word.split_once(':').unwrap_or((word, "0"));
    let fence = fence.parse().expect("a fencing number");
    match verb {
        "take" => Body::Take,
        "renew" => Body::Renew(fence),
        "release" => Body::Release(fence),
        _ => panic!("no such record: {word}"),
    }
}

fn check(name: &str, lines: &[&str]) {
    let mut fold = Fold::default();
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [offset, seconds, owner, says, holds] = words[..] else {
            panic!("{name}: not a case: {line}");
        };
        let seconds: u64 = seconds.parse().expect("seconds");
        fold.apply(&Stored {
            offset: offset.parse().expect("an offset"),
            time_ms: seconds * 1000,
            body: ByteBuf::from(record(owner, body(says))),
        });
        let held = fold.lease().map_or("-".to_owned(), |lease| {
            format!("{}:{}", lease.owner.entry, lease.fence)
        });
        assert_eq!(held, holds, "{name}: after {line}");
    }
}

#[test]
fn every_case_holds() {
    for case in CASES.split("\n\n") {
        let mut lines = case.lines().filter(|line| !line.is_empty());
        let name = lines.next().expect("a name");
        let lines: Vec<&str> = lines.collect();
        check(name, &lines);
    }
}

#[test]
fn a_record_of_another_format_stops_the_fold() {
    let mut fold = Fold::default();
    let stored = |offset, body| Stored {
        offset,
        time_ms: 1,
        body: ByteBuf::from(body),
    };
    fold.apply(&stored(0, b"\\xc1".to_vec()));
    fold.apply(&stored(1, record("a", Body::Take)));
    assert!(fold.is_stopped());
    assert!(fold.lease().is_none());
}
