//! A call whose answer is too large to pass on: it is answered at once, told as run, and a
//! never-repeat one is recorded so.

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

/// The wall clock, in milliseconds since 1970, and a key that was issued then.
const WALL: u64 = 0x0193_a1b2_0000;
const KEY: &str = "0193a1b2-0000-7000-8000-000000000001";

struct Rig {
    core: Core,
    now: Now,
    /// Records of the key's partition that were appended so far.
    offset: u64,
}

impl Rig {
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
        let mut rig = Self {
            core,
            now: Now {
                mono: Duration::from_secs(100),
                wall: Duration::from_millis(WALL),
            },
            offset: 0,
        };
        rig.core.start(rig.now);
        rig.page(record::STREAM, vec![codec::encode(&publication)], 0);
        for partition in 0..claim::PARTITIONS {
            rig.page(&claim::stream_name(partition), Vec::new(), 0);
        }
        rig
    }

    fn page(&mut self, stream: &str, records: Vec<Vec<u8>>, from: u64) -> Vec<Action> {
        let records: Vec<Stored> = (from..)
            .zip(records)
            .map(|(offset, body)| Stored {
                offset,
                time_ms: WALL,
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

    /// Lands the appends among the actions and reads them back.
    fn land(&mut self, actions: &[Action]) -> (Vec<Record>, Vec<Action>) {
        let append = actions.iter().find_map(|action| match action {
            Action::Append(append) => Some(append.clone()),
            _ => None,
        });
        let append = append.expect("something is appended");
        self.core
            .handle(self.now, Event::Appended(append.id, self.offset));
        let records = append
            .records
            .iter()
            .map(|bytes| codec::decode(bytes).unwrap());
        let records: Vec<Record> = records.collect();
        let next = self.page(&append.stream, append.records, self.offset);
        self.offset += records.len() as u64;
        self.now.mono += Duration::from_millis(50);
        (records, next)
    }
}

/// The exchange that is to be made, and how many attempts there are.
fn forwarded(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::Forward(forward) => Some(forward.attempt),
        _ => None,
    })
}

fn end(actions: &[Action]) -> Option<(Code, Ran)> {
    actions.iter().find_map(|action| match action {
        Action::Reply(_, End::Refused(refusal)) => Some((refusal.code, refusal.ran)),
        _ => None,
    })
}

fn head(status: u16, not_run: bool) -> Exchange {
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
    let mut rig = Rig::new();
    let actions = rig.call(1, "look");
    let attempt = forwarded(&actions).unwrap();
    let actions = rig
        .core
        .handle(rig.now, Event::ExchangeEnded(1, attempt, head(200, false)));
    assert_eq!(end(&actions), Some((Code::AnswerTooLarge, Ran::Yes)));
    assert_eq!(forwarded(&actions), None, "no other target is asked");
}

#[test]
fn a_never_repeat_call_is_recorded_as_run() {
    let mut rig = Rig::new();
    let actions = rig.call(1, "seal");
    let (_, actions) = rig.land(&actions);
    let attempt = forwarded(&actions).unwrap();
    let actions = rig
        .core
        .handle(rig.now, Event::ExchangeEnded(1, attempt, head(200, false)));
    assert_eq!(end(&actions), Some((Code::AnswerTooLarge, Ran::Yes)));
    let (records, _) = rig.land(&actions);
    assert_eq!(records[0].body, Body::Ran);
    let id = Uuid::try_parse(KEY).unwrap().as_u128();
    assert_eq!(rig.core.outcome(id), Some(true));
    let actions = rig.call(2, "seal");
    assert_eq!(end(&actions), Some((Code::ResolvedRan, Ran::Yes)));
}

#[test]
fn a_failure_that_is_too_large_proves_nothing() {
    let mut rig = Rig::new();
    let actions = rig.call(1, "seal");
    let (_, actions) = rig.land(&actions);
    let attempt = forwarded(&actions).unwrap();
    let actions = rig
        .core
        .handle(rig.now, Event::ExchangeEnded(1, attempt, head(500, false)));
    assert_eq!(end(&actions), Some((Code::OutcomeUnknown, Ran::Unknown)));
}

#[test]
fn a_refusal_that_is_too_large_is_a_refusal() {
    for route in ["look", "seal"] {
        let mut rig = Rig::new();
        let mut actions = rig.call(1, route);
        if route == "seal" {
            actions = rig.land(&actions).1;
        }
        let attempt = forwarded(&actions).unwrap();
        let actions = rig
            .core
            .handle(rig.now, Event::ExchangeEnded(1, attempt, head(503, true)));
        assert_eq!(end(&actions), None, "{route}: another target is asked");
        assert!(
            forwarded(&actions).is_some_and(|next| next > attempt),
            "{route}"
        );
    }
}
