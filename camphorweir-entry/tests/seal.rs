//! Sealed messages between entries: only authentic and fresh ones are accepted, each once.

use {
    camphorweir_entry::{
        seal::{Error, FRESHNESS_WINDOW, MAX_NONCES, Opener, seal},
        settings::Secret,
    },
    camphorweir_wire::peer::{Body, Digest, Message},
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(1_000_000);
const MS: Duration = Duration::from_millis(1);

fn key(byte: u8) -> Secret {
    Secret::new([byte; 32])
}

fn message() -> Message {
    let body = Body::Digest(Digest::default());
    Message {
        sender: "entry-a1".to_owned(),
        incarnation: 7,
        body,
    }
}

#[test]
fn a_message_is_accepted_once() {
    let mut opener = Opener::new(key(1));
    let envelope = seal(&key(1), NOW, 5, &message());
    assert_eq!(opener.open(NOW, &envelope), Ok(message()));
    assert_eq!(opener.open(NOW, &envelope), Err(Error::Replayed));
    assert_eq!(
        opener.open(NOW + FRESHNESS_WINDOW, &envelope),
        Err(Error::Replayed)
    );
    assert_eq!(
        opener.open(NOW + FRESHNESS_WINDOW + MS, &envelope),
        Err(Error::Stale)
    );
}

#[test]
fn a_message_from_a_clock_ahead_is_accepted_once() {
    let mut opener = Opener::new(key(1));
    let envelope = seal(&key(1), NOW + FRESHNESS_WINDOW, 5, &message());
    assert_eq!(opener.open(NOW, &envelope), Ok(message()));
    assert_eq!(
        opener.open(NOW + FRESHNESS_WINDOW * 2, &envelope),
        Err(Error::Replayed)
    );
    assert_eq!(
        opener.open(NOW + FRESHNESS_WINDOW * 2 + MS, &envelope),
        Err(Error::Stale)
    );
}

#[test]
fn the_mac_covers_every_field() {
    let mut opener = Opener::new(key(1));
    let envelope = seal(&key(1), NOW, 5, &message());
    let changes: [fn(&mut camphorweir_wire::peer::Envelope); 5] = [
        |envelope| envelope.format += 1,
        |envelope| envelope.sent_ms += 1,
        |envelope| envelope.nonce += 1,
        |envelope| envelope.mac[31] ^= 1,
        |envelope| envelope.body[0] ^= 1,
    ];
    for change in changes {
        let mut changed = envelope.clone();
        change(&mut changed);
        assert_eq!(opener.open(NOW, &changed), Err(Error::Forged));
    }
    let other_key = seal(&key(2), NOW, 6, &message());
    assert_eq!(opener.open(NOW, &other_key), Err(Error::Forged));
    assert_eq!(opener.open(NOW, &envelope), Ok(message()));
}

#[test]
fn old_and_early_messages_are_stale() {
    let mut opener = Opener::new(key(1));
    let envelope = seal(&key(1), NOW, 5, &message());
    assert_eq!(
        opener.open(NOW + FRESHNESS_WINDOW + MS, &envelope),
        Err(Error::Stale)
    );
    assert_eq!(
        opener.open(NOW - FRESHNESS_WINDOW - MS, &envelope),
        Err(Error::Stale)
    );
}

#[test]
fn remembered_nonces_are_bounded_and_expire() {
    let mut opener = Opener::new(key(1));
    for nonce in 0..MAX_NONCES as u64 {
        assert!(
            opener
                .open(NOW, &seal(&key(1), NOW, nonce, &message()))
                .is_ok()
        );
    }
    let next = seal(&key(1), NOW, u64::MAX, &message());
    assert_eq!(opener.open(NOW, &next), Err(Error::Crowded));
    let later = NOW + FRESHNESS_WINDOW * 2 + MS;
    assert!(
        opener
            .open(later, &seal(&key(1), later, 0, &message()))
            .is_ok()
    );
}
