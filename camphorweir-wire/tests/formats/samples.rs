//! One message of each kind, the same in all releases.

use {
    camphorweir_wire::{
        crash::{Crash, Quarantine, Suspect},
        demand::{Demand, Work},
        digest::{Addresses, Digest, Failing, Load, Newest, Scope, Source, Summary},
        limit::{Account, Ask, Grant, News, Outcome},
        replication::{Change, Fingerprint, List, Request, Response},
    },
    serde_bytes::ByteBuf,
};

const LOAD: Load = Load {
    target: 0xdead_beef,
    streams: 300,
    first_stage: 2,
    memory: 70_000,
};
const FAILING: Failing = Failing {
    target: 7,
    excluded_ms: 1_500,
    unresponsive: true,
};
const CRASHES: [Crash; 2] = [
    Crash {
        target: 1,
        age_ms: 3_000,
        ran_ms: 50,
        waited: true,
        content: 0xfeed,
    },
    Crash {
        target: u32::MAX,
        age_ms: 70_000,
        ran_ms: 1,
        waited: false,
        content: u32::MAX,
    },
];
const FINGERPRINT: Fingerprint = Fingerprint {
    list: List::Entries,
    key: 1,
    value: u32::MAX,
};

pub(crate) fn addresses() -> Addresses {
    Addresses {
        digest: "10.1.2.3:9000".to_owned(),
        follow: "10.1.2.3:9001".to_owned(),
        zone: "zone-a".to_owned(),
        link_mbps: 200,
        formats: 1,
    }
}

pub(crate) fn digest() -> Digest {
    Digest {
        entry: "front-a-1".to_owned(),
        incarnation: u64::MAX,
        sequence: 77,
        loads: vec![LOAD, LOAD],
        failing: vec![FAILING],
        store_read_ms: Some(800),
        store_failed_ms: None,
        store_era: Some(3),
        configuration_version: 13,
        refused: Vec::new(),
    }
}

pub(crate) fn digest_with_refused() -> Digest {
    Digest {
        refused: vec![0xfeed, u32::MAX],
        ..digest()
    }
}

pub(crate) fn summary_in_zone() -> Summary {
    Summary {
        entry: "front-a-1".to_owned(),
        incarnation: 5,
        sequence: 78,
        scope: Scope::TargetsOf("zone-a".to_owned()),
        part: 1,
        parts: 2,
        link_mbps: 1_000,
        entries: 9,
        included_sequence: Some(76),
        loads: vec![LOAD],
        failing: vec![FAILING],
        readers: vec!["front-a-2".to_owned()],
        source: Some(Source {
            entry: "front-a-2".to_owned(),
            follow: "10.1.2.4:9001".to_owned(),
            read_ms: 850,
        }),
        newest: Some(Newest {
            version: 14,
            follow: "10.1.2.5:9001".to_owned(),
        }),
        store_era: Some(3),
        refused: Vec::new(),
    }
}

pub(crate) fn summary_with_refused() -> Summary {
    Summary {
        refused: vec![0xfeed, u32::MAX],
        ..summary_in_zone()
    }
}

pub(crate) fn summary_of_zone() -> Summary {
    Summary {
        scope: Scope::EntriesOf("zone-a".to_owned()),
        included_sequence: None,
        readers: Vec::new(),
        source: None,
        newest: None,
        ..summary_in_zone()
    }
}

pub(crate) fn request(is_first: bool) -> Request {
    Request {
        version: 12,
        feed_incarnation: 99,
        next_sequence: 1_000,
        wait_ms: 900,
        known: is_first.then(|| vec![FINGERPRINT]),
    }
}

pub(crate) fn response() -> Response {
    Response {
        age_ms: 5,
        targets_age_ms: 600,
        recovered_ms: Some(70_000),
        version: 13,
        configuration: Some(ByteBuf::from(b"{}".to_vec())),
        feed_incarnation: 99,
        next_sequence: 1_003,
        is_snapshot: true,
        changes: vec![
            Change {
                list: List::Targets,
                key: "i-1".to_owned(),
                value: Some(ByteBuf::from(b"record".to_vec())),
            },
            Change {
                list: List::Entries,
                key: "front-b-1".to_owned(),
                value: None,
            },
        ],
        removed: vec![FINGERPRINT],
        targets_after_ms: 250,
    }
}

pub(crate) fn suspect() -> Suspect {
    Suspect {
        fingerprint: u64::MAX,
        crashes: CRASHES.to_vec(),
        cleared: vec![1],
        part: true,
        succeeded_ms: Some(4_000),
    }
}

pub(crate) fn quarantine() -> Quarantine {
    Quarantine {
        crashes: CRASHES.to_vec(),
        stored_ms: 1_790_000_000_000,
        part: true,
    }
}

pub(crate) fn news() -> News {
    News {
        target: 7,
        started_ms: 1_790_000_000_000,
        per_second: Some(18.5),
        since_ms: 9_000,
        age_ms: 40,
    }
}

pub(crate) fn ask() -> Ask {
    Ask {
        call: 9,
        entry: "front-a-1".to_owned(),
        number: 8,
        news: news(),
        max_wait_ms: 62,
    }
}

pub(crate) fn grant() -> Grant {
    Grant {
        call: 9,
        outcome: Outcome::After(12),
        news: Some(news()),
    }
}

pub(crate) fn account() -> Account {
    Account {
        entry: "front-a-1".to_owned(),
        target: 7,
        started_ms: 1_790_000_000_000,
        ends: vec![(1, 3), (80, 1)],
        givers: 0,
    }
}

pub(crate) fn account_with_givers() -> Account {
    Account {
        givers: 2,
        ..account()
    }
}

pub(crate) fn demand() -> Demand {
    Demand {
        entry: "front-a-1".to_owned(),
        is_sum: true,
        works: vec![Work {
            class: u16::MAX,
            workspace: 0xdead_beef,
            offered: 70_000,
            admitted: 300,
        }],
        refused: vec![7, u32::MAX],
    }
}
