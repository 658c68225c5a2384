//! Messages between entries and records in the store, as this release and earlier ones write them.
//!
//! Each release that may run beside this one has a file of cases, written by its own code. A message
//! that changes gets a new file of its own release.

mod earlier;
mod samples;

use {
    camphorweir_wire::{
        codec,
        crash::{Crash, Quarantine, Suspect},
        digest::{Addresses, Datagram, Digest},
        replication::{Request, Response},
    },
    proptest::prelude::*,
    rmp_serde::{from_slice, to_vec},
    std::collections::BTreeMap,
};

/// Messages as e39a49a writes them.
const E39A49A: &str = include_str!("e39a49a.txt");
/// Messages as 63c8192 writes them.
const R63C8192: &str = include_str!("63c8192.txt");
/// Messages as fcf729b writes them.
const RFCF729B: &str = include_str!("fcf729b.txt");
/// Messages as 350e1b6 writes them.
const R350E1B6: &str = include_str!("350e1b6.txt");
/// Messages as this release writes them.
const CURRENT: &str = include_str!("current.txt");

/// The bytes of each case of a release, by name.
fn cases(text: &str) -> BTreeMap<&str, Vec<u8>> {
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, hex)| (name, hex.as_bytes().chunks(2).map(byte).collect()))
        .collect()
}

/// Number of fields, of the first in a digest, without which it can't be read.
const REQUIRED: usize = 3;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What this release writes, by name.
fn written() -> BTreeMap<&'static str, Vec<u8>> {
    let datagram = |datagram: Datagram| codec::encode(&datagram);
    [
        ("addresses", codec::encode(&samples::addresses())),
        ("digest", datagram(Datagram::Digest(samples::digest()))),
        (
            "summary_in_zone",
            datagram(Datagram::Summary(samples::summary_in_zone())),
        ),
        (
            "summary_of_zone",
            datagram(Datagram::Summary(samples::summary_of_zone())),
        ),
        (
            "digest_with_refused",
            datagram(Datagram::Digest(samples::digest_with_refused())),
        ),
        (
            "summary_with_refused",
            datagram(Datagram::Summary(samples::summary_with_refused())),
        ),
        ("request", codec::encode(&samples::request(true))),
        ("request_again", codec::encode(&samples::request(false))),
        ("response", codec::encode(&samples::response())),
        (
            "suspects",
            codec::encode_named(&Datagram::Suspects(vec![samples::suspect()])),
        ),
        ("quarantine", codec::encode_named(&samples::quarantine())),
        ("limits", datagram(Datagram::Limits(vec![samples::news()]))),
        ("ask", datagram(Datagram::Ask(samples::ask()))),
        ("grant", datagram(Datagram::Grant(samples::grant()))),
        ("account", datagram(Datagram::Account(samples::account()))),
        (
            "account_with_givers",
            datagram(Datagram::Account(samples::account_with_givers())),
        ),
        ("demand", datagram(Datagram::Demand(samples::demand()))),
    ]
    .into()
}

#[test]
fn a_message_that_changes_needs_a_new_file_of_cases() {
    let lines = written().into_iter();
    let lines = lines.map(|(name, bytes)| format!("{name} {}\n", hex(&bytes)));
    let text: String = lines.collect();
    assert!(
        CURRENT == text,
        "this release writes other messages:\n{text}"
    );
}

#[test]
fn messages_of_an_earlier_release_are_read() {
    let cases = cases(E39A49A);
    let datagram = |name: &str| codec::decode::<Datagram>(&cases[name]).unwrap();
    let addresses = codec::decode::<Addresses>(&cases["addresses"]).unwrap();
    let expected = Addresses {
        formats: 0,
        ..samples::addresses()
    };
    assert_eq!(addresses, expected);
    assert_eq!(datagram("digest"), Datagram::Digest(samples::digest()));
    assert_eq!(
        datagram("summary_in_zone"),
        Datagram::Summary(samples::summary_in_zone())
    );
    assert_eq!(
        datagram("summary_of_zone"),
        Datagram::Summary(samples::summary_of_zone())
    );
    for (name, is_first) in [("request", true), ("request_again", false)] {
        let request = codec::decode::<Request>(&cases[name]).unwrap();
        assert_eq!(request, samples::request(is_first));
    }
    let response = codec::decode::<Response>(&cases["response"]).unwrap();
    let expected = Response {
        targets_after_ms: 0,
        ..samples::response()
    };
    assert_eq!(response, expected);
}

#[test]
fn messages_of_the_last_release_are_read_and_unchanged() {
    let cases = cases(RFCF729B);
    let addresses = codec::decode::<Addresses>(&cases["addresses"]).unwrap();
    assert_eq!(addresses, samples::addresses());
    let written = written();
    for (name, bytes) in &cases {
        assert_eq!(&written[name], bytes, "{name}");
    }
    // It drops the messages that are new, and nothing else with them.
    for name in ["limits", "ask", "grant", "account"] {
        assert!(from_slice::<earlier::SuspectsOf63c8192>(&written[name]).is_err());
        assert!(from_slice::<earlier::Datagram>(&written[name]).is_err());
    }
}

/// Guards against an upgrade in which instances of 350e1b6 are sent something in place of what they know.
#[test]
fn all_messages_of_350e1b6_are_unchanged_without_demand_and_refused_requests() {
    let (written, cases) = (written(), cases(R350E1B6));
    for (name, bytes) in &cases {
        assert_eq!(&written[name], bytes, "{name}");
    }
    let added: Vec<&str> = written.keys().copied().collect();
    let added: Vec<&str> = added
        .into_iter()
        .filter(|name| !cases.contains_key(name))
        .collect();
    assert_eq!(
        added,
        [
            "account_with_givers",
            "demand",
            "digest_with_refused",
            "summary_with_refused"
        ]
    );
    let demand = codec::decode::<Datagram>(&written["demand"]).unwrap();
    assert_eq!(demand, Datagram::Demand(samples::demand()));
    assert!(from_slice::<earlier::Datagram>(&written["demand"]).is_err());
}

/// Guards against an upgrade in which earlier instances lose the load in digests and summaries that name
/// refused requests.
#[test]
fn earlier_releases_read_digests_and_summaries_without_the_refused_requests() {
    let written = written();
    for (name, without) in [
        ("digest_with_refused", "digest"),
        ("summary_with_refused", "summary_in_zone"),
    ] {
        let read: earlier::Datagram = from_slice(&written[name]).unwrap();
        assert_eq!(hex(&to_vec(&read).unwrap()), hex(&written[without]));
    }
    let digest = codec::decode::<Datagram>(&written["digest_with_refused"]).unwrap();
    assert_eq!(digest, Datagram::Digest(samples::digest_with_refused()));
    let summary = codec::decode::<Datagram>(&written["summary_with_refused"]).unwrap();
    assert_eq!(summary, Datagram::Summary(samples::summary_with_refused()));
}

/// Guards against an upgrade in which instances of 350e1b6 do not know what was given beside them.
#[test]
fn earlier_releases_read_accounts_without_the_number_of_givers() {
    let written = written();
    let bytes = &written["account_with_givers"];
    let earlier::DatagramOf350e1b6::Account(account) = from_slice(bytes).unwrap();
    assert_eq!(account.entry, samples::account().entry);
    assert_eq!(account.target, samples::account().target);
    assert_eq!(account.started_ms, samples::account().started_ms);
    assert_eq!(account.ends, samples::account().ends);
    let datagram = codec::decode::<Datagram>(bytes).unwrap();
    assert_eq!(datagram, Datagram::Account(samples::account_with_givers()));
}

#[test]
fn messages_of_63c8192_are_read() {
    let cases = cases(R63C8192);
    let addresses = codec::decode::<Addresses>(&cases["addresses"]).unwrap();
    let expected = Addresses {
        formats: 1,
        ..samples::addresses()
    };
    assert_eq!(addresses, expected);
    // It knows contents only, and not how far an answer had come.
    let earlier = |crash: Crash| Crash {
        waited: false,
        content: 0,
        ..crash
    };
    let suspects = codec::decode::<Datagram>(&cases["suspects"]).unwrap();
    let sample = samples::suspect();
    let expected = Suspect {
        crashes: sample.crashes.into_iter().map(earlier).collect(),
        part: false,
        succeeded_ms: None,
        ..sample
    };
    assert_eq!(suspects, Datagram::Suspects(vec![expected]));
    let quarantine = codec::decode::<Quarantine>(&cases["quarantine"]).unwrap();
    let sample = samples::quarantine();
    let expected = Quarantine {
        crashes: sample.crashes.into_iter().map(earlier).collect(),
        part: false,
        ..sample
    };
    assert_eq!(quarantine, expected);
    let written = written();
    let unchanged = cases
        .keys()
        .filter(|name| !["addresses", "suspects", "quarantine"].contains(name));
    for name in unchanged {
        assert_eq!(written[name], cases[name], "{name}");
    }
}

#[test]
fn the_last_release_reads_suspects_by_its_own_rules() {
    let bytes = &written()["suspects"];
    let datagram = from_slice::<earlier::SuspectsOf63c8192>(bytes).unwrap();
    let earlier::SuspectsOf63c8192::Suspects(suspects) = datagram;
    let sample = samples::suspect();
    assert_eq!(suspects[0].fingerprint, sample.fingerprint);
    assert_eq!(suspects[0].cleared, sample.cleared);
    assert_eq!(suspects[0].crashes.len(), sample.crashes.len());
    assert_eq!(suspects[0].crashes[0].ran_ms, sample.crashes[0].ran_ms);
}

#[test]
fn an_earlier_release_reads_these_messages_by_its_own_rules() {
    let (written, cases) = (written(), cases(E39A49A));
    // It writes what it has read as the same bytes as what it was to read.
    let read = |name: &str| {
        let bytes = &written[name];
        let again = match name {
            "addresses" => to_vec(&from_slice::<earlier::Addresses>(bytes).unwrap()),
            "request" | "request_again" => to_vec(&from_slice::<earlier::Request>(bytes).unwrap()),
            "response" => to_vec(&from_slice::<earlier::Response>(bytes).unwrap()),
            _ => to_vec(&from_slice::<earlier::Datagram>(bytes).unwrap()),
        };
        hex(&again.unwrap())
    };
    for (name, bytes) in &cases {
        assert_eq!(read(name), hex(bytes), "{name}");
    }
    // It drops what it does not know, and nothing else with it.
    assert!(from_slice::<earlier::Datagram>(&written["suspects"]).is_err());
}

/// A message as a map with its fields changed.
fn changed(bytes: &[u8], change: impl Fn(&mut BTreeMap<String, serde_json::Value>)) -> Vec<u8> {
    let mut fields: BTreeMap<String, serde_json::Value> = from_slice(bytes).unwrap();
    change(&mut fields);
    to_vec(&fields).unwrap()
}

proptest! {
    #[test]
    fn fields_that_are_unknown_or_missing_do_no_harm(
        unknown in "[a-z]{12,20}",
        number: u64,
        dropped in 0_usize..9,
    ) {
        let digest = codec::encode_named(&samples::digest());
        let names = ["entry", "incarnation", "sequence", "loads", "failing", "store_read_ms",
            "store_failed_ms", "store_era", "configuration_version"];
        let bytes = changed(&digest, |fields| {
            fields.insert(unknown.clone(), serde_json::json!([number, {"in": "it"}]));
            fields.remove(names[dropped]);
        });
        match codec::decode::<Digest>(&bytes) {
            Ok(read) => {
                prop_assert_eq!(&read.entry, "front-a-1");
                prop_assert_eq!(read.loads.len(), if dropped == 3 { 0 } else { 2 });
                prop_assert!(dropped >= REQUIRED);
            }
            // Without its sender and its place in their order a digest says nothing.
            Err(_) => prop_assert!(dropped < REQUIRED),
        }
    }

    #[test]
    fn fields_of_another_kind_and_other_bytes_are_told_apart_from_messages(
        field in prop::sample::select(vec!["entry", "loads", "sequence", "failing"]),
        garbage: Vec<u8>,
    ) {
        let digest = codec::encode_named(&samples::digest());
        let bytes = changed(&digest, |fields| {
            fields.insert(field.to_owned(), serde_json::json!({"of": ["another", "kind"]}));
        });
        prop_assert!(codec::decode::<Digest>(&bytes).is_err());
        // Whatever the bytes are, they are read or refused.
        let _ = codec::decode::<Datagram>(&garbage);
        let _ = codec::decode::<Response>(&garbage);
    }
}
