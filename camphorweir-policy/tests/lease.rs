//! Folding the lease stream: who holds the lease after each record.

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

/// Cases are separated by empty lines and begin with a name. Each further line is a record: offset,
/// time of the append in seconds, owner and body, then the lease's holder and fencing number
/// after it.
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
        _ => panic!("unknown record body: {word}"),
    }
}

fn check(name: &str, lines: &[&str]) {
    let mut fold = Fold::default();
    for line in lines {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [offset, seconds, owner, body_text, expected] = words[..] else {
            panic!("{name}: malformed line: {line}");
        };
        let seconds: u64 = seconds.parse().expect("seconds");
        fold.apply(&Stored {
            offset: offset.parse().expect("an offset"),
            time_ms: seconds * 1000,
            body: ByteBuf::from(record(owner, body(body_text))),
        });
        let actual = fold.lease().map_or("-".to_owned(), |lease| {
            format!("{}:{}", lease.owner.entry, lease.fence)
        });
        assert_eq!(actual, expected, "{name}: after {line}");
    }
}

#[test]
fn the_lease_has_the_expected_holder_after_each_record() {
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
