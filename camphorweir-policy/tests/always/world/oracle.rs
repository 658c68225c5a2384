//! What must always hold, told from what callers got and what the fakes saw run.

use {
    camphorweir_policy::call::{Answered, End},
    camphorweir_wire::{
        ids::{RequestId, Token},
        outcome::{Ran, Refusal},
    },
    std::collections::HashMap,
};

/// What a caller sent.
#[derive(Clone, Debug)]
pub(crate) enum Sent {
    /// A prompt and the right answer.
    Tokens(Vec<Token>),
    /// An idempotent call.
    Lookup,
    /// A never-repeat call under this key.
    Seal(u128),
}

/// One request as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) sent: Sent,
    pub(crate) entry: usize,
    pub(crate) tokens: Vec<Token>,
    pub(crate) end: Option<End>,
    /// The entry was killed while it had the request: the caller's connection broke.
    pub(crate) orphan: bool,
}

/// All requests sent.
#[derive(Default)]
pub(crate) struct Oracle {
    pub(crate) calls: HashMap<RequestId, Call>,
    /// Keys that an operator settled as not run.
    pub(crate) not_run: Vec<u128>,
    /// The answers seen for each key.
    answers: HashMap<u128, Vec<u8>>,
}

impl Oracle {
    pub(crate) fn send(&mut self, id: RequestId, entry: usize, sent: Sent) {
        let call = Call {
            sent,
            entry,
            tokens: Vec::new(),
            end: None,
            orphan: false,
        };
        assert!(
            self.calls.insert(id, call).is_none(),
            "a request number came twice"
        );
    }

    /// Every token is the next of the right answer.
    pub(crate) fn token(&mut self, id: RequestId, token: Token) {
        let call = self.calls.get_mut(&id).expect("a token of a known request");
        assert!(call.end.is_none(), "a token after the end");
        let Sent::Tokens(right) = &call.sent else {
            panic!("a token for a request that asks for none");
        };
        assert_eq!(right.get(call.tokens.len()), Some(&token), "a wrong token");
        call.tokens.push(token);
    }

    /// Every request ends once, and a whole answer is whole.
    pub(crate) fn end(&mut self, id: RequestId, end: End) {
        let call = self.calls.get_mut(&id).expect("an end of a known request");
        assert!(
            call.end.is_none(),
            "{id} ended twice: {:?}, {end:?}",
            call.end
        );
        match (&end, &call.sent.clone()) {
            (End::Finished(finished), Sent::Tokens(right)) => {
                assert_eq!(&call.tokens, right, "an answer that is not whole");
                assert_eq!(finished.tokens as usize, right.len(), "a wrong count");
            }
            (End::Answered(answered), Sent::Seal(key)) => self.answers_agree(*key, answered),
            (End::Answered(answered), Sent::Lookup) => {
                let own = format!("ran {id}").into_bytes();
                let failed = answered.answer.status == 503;
                assert!(failed || answered.answer.body == own, "a foreign answer");
            }
            (End::Refused(_), _) => {}
            (end, sent) => panic!("{sent:?} ended as {end:?}"),
        }
        self.calls.get_mut(&id).expect("known").end = Some(end);
    }

    /// A caller that asks again gets the first answer, and it is that of a call under its key.
    fn answers_agree(&mut self, key: u128, answered: &Answered) {
        let text = String::from_utf8_lossy(&answered.answer.body);
        let ran = text.strip_prefix("ran ").and_then(|id| id.parse().ok());
        let sent = ran.and_then(|id: RequestId| Some(&self.calls.get(&id)?.sent));
        let own = matches!(sent, Some(Sent::Seal(own)) if *own == key);
        assert!(own, "an answer of another key: {text}");
        let body = answered.answer.body.clone();
        let first = self.answers.entry(key).or_insert_with(|| body.clone());
        assert_eq!(*first, body, "two answers under one key");
    }

    /// Runs of a request whose answer says that it did not run; runs of a key beyond one.
    pub(crate) fn check_runs(&self, runs: &HashMap<RequestId, u32>) {
        let mut keys: HashMap<u128, u32> = HashMap::new();
        for (id, count) in runs {
            let call = &self.calls[id];
            if let Some(End::Refused(Refusal { ran: Ran::No, .. })) = &call.end {
                assert_eq!(*count, 0, "{id} was refused as not run and ran");
            }
            if let Sent::Seal(key) = call.sent {
                *keys.entry(key).or_default() += count;
            }
        }
        for (key, count) in keys {
            assert!(count <= 1, "key {key:x} ran {count} times");
            let settled = count > 0 && self.not_run.contains(&key);
            assert!(!settled, "key {key:x} ran after it was settled as not run");
        }
    }

    /// Requests without an end whose caller still waits.
    pub(crate) fn open(&self) -> Vec<RequestId> {
        let waits = |call: &&Call| call.end.is_none() && !call.orphan;
        let open = self.calls.iter().filter(|(_, call)| waits(call));
        open.map(|(id, _)| *id).collect()
    }
}
