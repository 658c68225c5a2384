//! Calls whose answer is too large to pass on: the caller is told at once that the call ran, and a
//! never-repeat call is recorded as run.

use {
    camphorweir_config::{
        build::{Builder, key_hash},
        edit::edits,
        record,
    },
    camphorweir_policy::{
        action::Action,
        call::{Call, End, Kind, Plain},
        clock::Now,
        core::{Core, Setup},
        event::{Answered, Event, Exchange},
    },
    camphorweir_wire::{
        claim::{self, Body, Record},
        code::Code,
        codec,
        log::{Page, Stored},
        outcome::{Answer, Ran},
    },
    serde_bytes::ByteBuf,
    std::{net::SocketAddr, time::Duration},
    uuid::Uuid,
};

/// The core's wall clock, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 0x0193_a1b2_0000;
/// An idempotency key issued at [`WALL_MS`].
const KEY: &str = "0193a1b2-0000-7000-8000-000000000001";

/// A core with a configuration of two servers of one service.
struct Fixture {
    core: Core,
    now: Now,
    /// Number of records appended to the key's partition so far.
    offset: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut b = Builder::new();
        let zone = b.zone("a", "r");
        let ledger = b.service("ledger", false);
        b.server(
            "ledger-1",
            SocketAddr::from(([10, 0, 0, 1], 80)),
            &zone,
            &ledger,
        );
        b.server(
            "ledger-2",
            SocketAddr::from(([10, 0, 0, 2], 80)),
            &zone,
            &ledger,
        );
        let mut w = b.workspace("depot-7");
        w.key(key_hash("k"));
        w.calls("look", &ledger);
        w.calls("seal", &ledger).never_repeat();
        let document = b.finish().unwrap();
        let publication = record::Record {
            format: record::FORMAT,
            body: record::Body::Publication(record::Publication {
                nonce: 1,
                author: "ada".to_owned(),
                base: 0,
                edits: edits(&Default::default(), &document),
            }),
        };
        let core = Core::new(Setup {
            entry: "a1".to_owned(),
            incarnation: 1,
            zone: "a".to_owned(),
            seed: 1,
            grace: Duration::ZERO,
        });
        let mut fixture = Self {
            core,
            now: Now {
                mono: Duration::from_secs(100),
                wall: Duration::from_millis(WALL_MS),
            },
            offset: 0,
        };
        fixture.core.start(fixture.now);
        fixture.read_page(record::STREAM, vec![codec::encode(&publication)], 0);
        for partition in 0..claim::PARTITIONS {
            fixture.read_page(&claim::stream_name(partition), Vec::new(), 0);
        }
        fixture
    }

    fn read_page(&mut self, stream: &str, records: Vec<Vec<u8>>, from: u64) -> Vec<Action> {
        let records: Vec<Stored> = (from..)
            .zip(records)
            .map(|(offset, body)| Stored {
                offset,
                time_ms: WALL_MS,
                body: ByteBuf::from(body),
            })
            .collect();
        let page = Page {
            oldest: 0,
            end: from + records.len() as u64,
            records,
        };
        self.core
            .handle(self.now, Event::StreamPage(stream.to_owned(), page))
    }

    fn call(&mut self, id: u64, route: &str) -> Vec<Action> {
        let plain = Plain {
            route: route.to_owned(),
            idempotency_key: Some(KEY.to_owned()),
            fingerprint: 5,
        };
        let call = Call {
            id,
            key: key_hash("k"),
            kind: Kind::Plain(plain),
        };
        self.core.handle(self.now, Event::Arrive(call))
    }

    /// Makes the append among the actions and reads its records back; returns them and the actions
    /// that follow.
    fn append_and_read(&mut self, actions: &[Action]) -> (Vec<Record>, Vec<Action>) {
        let append = actions.iter().find_map(|action| match action {
            Action::Append(append) => Some(append.clone()),
            _ => None,
        });
        let append = append.expect("an append");
        self.core
            .handle(self.now, Event::Appended(append.id, self.offset));
        let records = append
            .records
            .iter()
            .map(|bytes| codec::decode(bytes).unwrap());
        let records: Vec<Record> = records.collect();
        let next = self.read_page(&append.stream, append.records, self.offset);
        self.offset += records.len() as u64;
        self.now.mono += Duration::from_millis(50);
        (records, next)
    }
}

/// Returns the attempt number of the call that is forwarded, if there is one.
fn forwarded_attempt(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Forward(forward) => Some(forward.attempt),
        _ => None,
    })
}

/// Returns the code and run state of the refusal among the actions.
fn refusal(actions: &[Action]) -> Option<(Code, Ran)> {
    actions.iter().find_map(|action| match action {
        Action::Reply(_, End::Refused(refusal)) => Some((refusal.code, refusal.ran)),
        _ => None,
    })
}

/// An exchange whose answer is too large.
fn too_large(status: u16, not_run: bool) -> Exchange {
    Exchange::TooLarge(Answered {
        answer: Answer {
            status,
            content_type: String::new(),
            body: Vec::new(),
        },
        not_run,
        leaving: false,
    })
}

#[test]
fn an_idempotent_call_ends_at_once() {
    let mut fixture = Fixture::new();
    let actions = fixture.call(1, "look");
    let attempt = forwarded_attempt(&actions).unwrap();
    let actions = fixture.core.handle(
        fixture.now,
        Event::ExchangeEnded(1, attempt, too_large(200, false)),
    );
    assert_eq!(refusal(&actions), Some((Code::AnswerTooLarge, Ran::Yes)));
    assert_eq!(forwarded_attempt(&actions), None, "the call is not retried");
}

#[test]
fn a_never_repeat_call_is_recorded_as_run() {
    let mut fixture = Fixture::new();
    let actions = fixture.call(1, "seal");
    let (_, actions) = fixture.append_and_read(&actions);
    let attempt = forwarded_attempt(&actions).unwrap();
    let actions = fixture.core.handle(
        fixture.now,
        Event::ExchangeEnded(1, attempt, too_large(200, false)),
    );
    assert_eq!(refusal(&actions), Some((Code::AnswerTooLarge, Ran::Yes)));
    let (records, _) = fixture.append_and_read(&actions);
    assert_eq!(records[0].body, Body::Ran);
    let id = Uuid::try_parse(KEY).unwrap().as_u128();
    assert_eq!(fixture.core.outcome(id), Some(true));
    let actions = fixture.call(2, "seal");
    assert_eq!(refusal(&actions), Some((Code::ResolvedRan, Ran::Yes)));
}

#[test]
fn a_failure_that_is_too_large_leaves_the_outcome_unknown() {
    let mut fixture = Fixture::new();
    let actions = fixture.call(1, "seal");
    let (_, actions) = fixture.append_and_read(&actions);
    let attempt = forwarded_attempt(&actions).unwrap();
    let actions = fixture.core.handle(
        fixture.now,
        Event::ExchangeEnded(1, attempt, too_large(500, false)),
    );
    assert_eq!(
        refusal(&actions),
        Some((Code::OutcomeUnknown, Ran::Unknown))
    );
}

#[test]
fn a_refusal_that_is_too_large_is_retried() {
    for route in ["look", "seal"] {
        let mut fixture = Fixture::new();
        let mut actions = fixture.call(1, route);
        if route == "seal" {
            actions = fixture.append_and_read(&actions).1;
        }
        let attempt = forwarded_attempt(&actions).unwrap();
        let actions = fixture.core.handle(
            fixture.now,
            Event::ExchangeEnded(1, attempt, too_large(503, true)),
        );
        assert_eq!(refusal(&actions), None, "{route}: the call is retried");
        assert!(
            forwarded_attempt(&actions).is_some_and(|next| next > attempt),
            "{route}"
        );
    }
}
