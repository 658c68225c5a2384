//! Tokens to text: the result is the same however the tokens are split.

use {
    camphorweir_entry::text::{Decoder, tokens},
    proptest::prelude::*,
};

fn decode<'a>(parts: impl Iterator<Item = &'a [u32]>) -> String {
    let (mut decoder, mut text) = (Decoder::default(), String::new());
    parts.for_each(|part| decoder.push(part, &mut text));
    decoder.finish(&mut text);
    text
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn text_survives_any_split(text in ".*", size in 1_usize..9) {
        prop_assert_eq!(decode(tokens(&text).chunks(size)), text);
    }

    #[test]
    fn any_bytes_decode_as_if_unsplit(bytes: Vec<u8>, size in 1_usize..9) {
        let tokens: Vec<u32> = bytes.iter().copied().map(u32::from).collect();
        prop_assert_eq!(decode(tokens.chunks(size)), String::from_utf8_lossy(&bytes));
    }
}

#[test]
fn a_token_above_255_becomes_a_replacement_character() {
    let parts: [&[u32]; 2] = [&[97, 0xc3], &[300, 98]];
    assert_eq!(decode(parts.into_iter()), "a\u{fffd}\u{fffd}b");
}
