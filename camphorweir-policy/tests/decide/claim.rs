use {
    camphorweir_policy::claim::{Status, Table},
    camphorweir_wire::{
        claim::{Body, FORMAT, Key, Owner, Record, Start},
        codec,
        ids::Nonce,
        log::Stored,
    },
    serde_bytes::ByteBuf,
};

/// When the key was issued and its first record is appended, in ms since the Unix epoch.
const TIME_MS: u64 = 1_700_000_000_000;

fn key() -> Key {
    Key {
        workspace: "w".to_owned(),
        id: u128::from(TIME_MS) << 80 | 7 << 76,
    }
}

fn apply(table: &mut Table, offset: u64, nonce: Nonce, body: Body) {
    let record = Record {
        format: FORMAT,
        key: key(),
        nonce,
        body,
    };
    table.apply(&Stored {
        offset,
        time_ms: TIME_MS + offset,
        body: ByteBuf::from(codec::encode(&record)),
    });
}

fn start() -> Body {
    Body::Start(Start {
        owner: Owner {
            entry: "a".to_owned(),
            incarnation: 1,
        },
        fingerprint: 5,
    })
}

#[test]
fn a_start_record_no_longer_counts_once_its_owner_voids_it() {
    let mut table = Table::default();
    apply(&mut table, 0, 1, start());
    assert!(table.is_live(key().id, 1));
    apply(&mut table, 1, 1, Body::Void);
    assert!(!table.is_live(key().id, 1));
    assert_eq!(table.status(key().id), Status::Free);
    // The next start of the key may run.
    apply(&mut table, 2, 2, start());
    assert!(table.is_live(key().id, 2));
}

#[test]
fn a_start_record_appended_after_its_void_record_never_counts() {
    let mut table = Table::default();
    apply(&mut table, 0, 1, Body::Void);
    apply(&mut table, 1, 1, start());
    assert!(!table.is_live(key().id, 1));
}
