//! Letters between entries: only authentic, fresh and new ones are taken.

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
fn a_letter_is_taken_once() {
    let mut reader = Opener::new(key(1));
    let letter = seal(&key(1), NOW, 5, &message());
    assert_eq!(reader.open(NOW, &letter), Ok(message()));
    assert_eq!(reader.open(NOW, &letter), Err(Error::Replayed));
    assert_eq!(
        reader.open(NOW + FRESHNESS_WINDOW, &letter),
        Err(Error::Replayed)
    );
    assert_eq!(
        reader.open(NOW + FRESHNESS_WINDOW + MS, &letter),
        Err(Error::Stale)
    );
}

#[test]
fn a_letter_from_a_clock_ahead_is_not_taken_twice_either() {
    let mut reader = Opener::new(key(1));
    let letter = seal(&key(1), NOW + FRESHNESS_WINDOW, 5, &message());
    assert_eq!(reader.open(NOW, &letter), Ok(message()));
    assert_eq!(
        reader.open(NOW + FRESHNESS_WINDOW * 2, &letter),
        Err(Error::Replayed)
    );
    assert_eq!(
        reader.open(NOW + FRESHNESS_WINDOW * 2 + MS, &letter),
        Err(Error::Stale)
    );
}

#[test]
fn every_field_is_under_the_mac() {
    let mut reader = Opener::new(key(1));
    let letter = seal(&key(1), NOW, 5, &message());
    let changes: [fn(&mut camphorweir_wire::peer::Envelope); 5] = [
        |letter| letter.format += 1,
        |letter| letter.sent_ms += 1,
        |letter| letter.nonce += 1,
        |letter| letter.mac[31] ^= 1,
        |letter| letter.body[0] ^= 1,
    ];
    for change in changes {
        let mut changed = letter.clone();
        change(&mut changed);
        assert_eq!(reader.open(NOW, &changed), Err(Error::Forged));
    }
    let foreign = seal(&key(2), NOW, 6, &message());
    assert_eq!(reader.open(NOW, &foreign), Err(Error::Forged));
    assert_eq!(reader.open(NOW, &letter), Ok(message()));
}

#[test]
fn old_and_early_letters_are_stale() {
    let mut reader = Opener::new(key(1));
    let letter = seal(&key(1), NOW, 5, &message());
    assert_eq!(
        reader.open(NOW + FRESHNESS_WINDOW + MS, &letter),
        Err(Error::Stale)
    );
    assert_eq!(
        reader.open(NOW - FRESHNESS_WINDOW - MS, &letter),
        Err(Error::Stale)
    );
}

#[test]
fn what_is_remembered_is_bounded_and_forgotten() {
    let mut reader = Opener::new(key(1));
    for nonce in 0..MAX_NONCES as u64 {
        assert!(
            reader
                .open(NOW, &seal(&key(1), NOW, nonce, &message()))
                .is_ok()
        );
    }
    let next = seal(&key(1), NOW, u64::MAX, &message());
    assert_eq!(reader.open(NOW, &next), Err(Error::Crowded));
    let later = NOW + FRESHNESS_WINDOW * 2 + MS;
    assert!(
        reader
            .open(later, &seal(&key(1), later, 0, &message()))
            .is_ok()
    );
}
