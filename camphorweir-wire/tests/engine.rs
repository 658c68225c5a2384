//! [`Step`] and [`Done`] have the bytes that derived implementations would write, and damaged bytes
//! cause no panic.

use {
    camphorweir_wire::{
        codec,
        engine::{Command, Done, FORMAT, Frame, Layers, Reply, Step},
    },
    proptest::{
        collection::vec,
        option,
        prelude::{Strategy, any, proptest},
        prop_assert, prop_assert_eq,
    },
    serde::{Deserialize, Serialize},
};

/// Frames as the first release wrote them; each line has a name and the bytes in hex digits.
const CASES: &str = include_str!("engine_cases.txt");

/// [`Step`] with derived serde.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct DerivedStep {
    request: u64,
    attempt: u32,
    position: u32,
    layers: Layers,
    input: Vec<u64>,
}

/// [`Done`] with derived serde.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct DerivedDone {
    request: u64,
    attempt: u32,
    position: u32,
    layers: Layers,
    output: Vec<u64>,
    token: Option<u32>,
}

fn layers() -> impl Strategy<Value = Layers> {
    any::<(u32, u32)>().prop_map(|(first, end)| Layers { first, end })
}

fn steps() -> impl Strategy<Value = Step> {
    let numbers = any::<(u64, u32, u32)>();
    (numbers, layers(), vec(any::<u64>(), 0..20)).prop_map(|(numbers, layers, input)| Step {
        request: numbers.0,
        attempt: numbers.1,
        position: numbers.2,
        layers,
        input,
    })
}

fn dones() -> impl Strategy<Value = Done> {
    let token = option::of(any::<u32>());
    (steps(), token).prop_map(|(step, token)| Done {
        request: step.request,
        attempt: step.attempt,
        position: step.position,
        layers: step.layers,
        output: step.input,
        token,
    })
}

fn bytes_from_hex(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

proptest! {
    #[test]
    fn a_step_is_encoded_as_if_derived(step in steps()) {
        let derived = DerivedStep {
            request: step.request,
            attempt: step.attempt,
            position: step.position,
            layers: step.layers,
            input: step.input.clone(),
        };
        let bytes = codec::encode(&step);
        prop_assert_eq!(&bytes, &codec::encode(&derived));
        prop_assert_eq!(codec::decode::<Step>(&bytes).unwrap(), step);
        prop_assert_eq!(codec::decode::<DerivedStep>(&bytes).unwrap(), derived);
    }

    #[test]
    fn a_done_message_is_encoded_as_if_derived(done in dones()) {
        let derived = DerivedDone {
            request: done.request,
            attempt: done.attempt,
            position: done.position,
            layers: done.layers,
            output: done.output.clone(),
            token: done.token,
        };
        let bytes = codec::encode(&done);
        prop_assert_eq!(&bytes, &codec::encode(&derived));
        prop_assert_eq!(codec::decode::<Done>(&bytes).unwrap(), done);
        prop_assert_eq!(codec::decode::<DerivedDone>(&bytes).unwrap(), derived);
    }

    #[test]
    fn a_frame_is_its_length_and_its_message(items in vec(steps(), 0..8)) {
        let items: Vec<Command> = items.into_iter().map(Command::Step).collect();
        let frame = Frame { format: FORMAT, items };
        let bytes = codec::encode_frame(&frame).unwrap();
        let (length, message) = bytes.split_first_chunk().unwrap();
        prop_assert_eq!(u32::from_be_bytes(*length) as usize, message.len());
        prop_assert_eq!(message, codec::encode(&frame));
        prop_assert_eq!(codec::decode::<Frame<Command>>(message).unwrap(), frame);
    }

    #[test]
    fn truncated_bytes_are_rejected(step in steps(), done in dones(), part in 0.0..1.0) {
        let cut = |bytes: Vec<u8>| bytes[..(bytes.len() as f64 * part) as usize].to_vec();
        prop_assert!(codec::decode::<Step>(&cut(codec::encode(&step))).is_err());
        prop_assert!(codec::decode::<Done>(&cut(codec::encode(&done))).is_err());
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in vec(any::<u8>(), 0..80)) {
        // Only the absence of a panic matters, not whether the bytes are a message.
        let _ = codec::decode::<Frame<Command>>(&bytes);
        let _ = codec::decode::<Frame<Reply>>(&bytes);
    }
}

#[test]
fn frames_keep_their_bytes() {
    let layers = Layers { first: 4, end: 8 };
    let step = Command::Step(Step {
        request: 0x0123_4567_89ab_cdef,
        attempt: 2,
        position: 300,
        layers,
        input: vec![0, 127, 128, 65_536, u64::MAX],
    });
    let done = |token| {
        Reply::Done(Done {
            request: 0x0123_4567_89ab_cdef,
            attempt: 2,
            position: 300,
            layers,
            output: vec![7, u64::MAX],
            token,
        })
    };
    let written = [
        ("step", codec::encode(&frame(vec![step.clone()]))),
        ("done", codec::encode(&frame(vec![done(None)]))),
        (
            "done_with_token",
            codec::encode(&frame(vec![done(Some(65))])),
        ),
    ];
    let cases = CASES.lines().filter_map(|line| line.split_once(' '));
    let cases: Vec<(&str, Vec<u8>)> = cases
        .map(|(name, hex)| (name, bytes_from_hex(hex)))
        .collect();
    assert_eq!(cases, written);
    let read: Frame<Command> = codec::decode(&cases[0].1).unwrap();
    assert_eq!(read, frame(vec![step]));
    let read: Frame<Reply> = codec::decode(&cases[2].1).unwrap();
    assert_eq!(read, frame(vec![done(Some(65))]));
}

fn frame<T>(items: Vec<T>) -> Frame<T> {
    Frame {
        format: FORMAT,
        items,
    }
}
