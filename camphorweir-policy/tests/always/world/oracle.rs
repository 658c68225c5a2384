//! Invariants, checked against what callers received and what the fakes ran.

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
    /// A prompt, with the expected answer.
    Tokens(Vec<Token>),
    /// An idempotent call.
    Lookup,
    /// A never-repeat call under this idempotency key.
    NeverRepeat(u128),
}

/// One request as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) sent: Sent,
    pub(crate) entry: usize,
    pub(crate) tokens: Vec<Token>,
    pub(crate) end: Option<End>,
    /// The entry was killed while it handled the request, so the caller's connection broke.
    pub(crate) connection_lost: bool,
}

/// All requests sent so far.
#[derive(Default)]
pub(crate) struct Oracle {
    pub(crate) calls: HashMap<RequestId, Call>,
    /// Keys that an operator resolved as not run.
    pub(crate) resolved_not_run: Vec<u128>,
    /// The first answer to each key.
    answers: HashMap<u128, Vec<u8>>,
}

impl Oracle {
    pub(crate) fn record_sent(&mut self, id: RequestId, entry: usize, sent: Sent) {
        let call = Call {
            sent,
            entry,
            tokens: Vec::new(),
            end: None,
            connection_lost: false,
        };
        assert!(
            self.calls.insert(id, call).is_none(),
            "a request id was used twice"
        );
    }

    /// Checks that a token is the next of the expected answer.
    pub(crate) fn check_token(&mut self, id: RequestId, token: Token) {
        let call = self.calls.get_mut(&id).expect("a token of a known request");
        assert!(call.end.is_none(), "a token after the end");
        let Sent::Tokens(expected) = &call.sent else {
            panic!("a token for a request that is not for tokens");
        };
        assert_eq!(
            expected.get(call.tokens.len()),
            Some(&token),
            "a wrong token"
        );
        call.tokens.push(token);
    }

    /// Checks that a request ends once and that its answer is complete.
    pub(crate) fn check_end(&mut self, id: RequestId, end: End) {
        let call = self.calls.get_mut(&id).expect("an end of a known request");
        assert!(
            call.end.is_none(),
            "{id} ended twice: {:?}, {end:?}",
            call.end
        );
        match (&end, &call.sent.clone()) {
            (End::Finished(finished), Sent::Tokens(expected)) => {
                assert_eq!(&call.tokens, expected, "an incomplete answer");
                assert_eq!(
                    finished.tokens as usize,
                    expected.len(),
                    "a wrong token count"
                );
            }
            (End::Answered(answered), Sent::NeverRepeat(key)) => self.check_answer(*key, answered),
            (End::Answered(answered), Sent::Lookup) => {
                let own_body = format!("ran {id}").into_bytes();
                let failed = answered.answer.status == 503;
                assert!(
                    failed || answered.answer.body == own_body,
                    "the answer of another request"
                );
            }
            (End::Refused(_), _) => {}
            (end, sent) => panic!("{sent:?} ended as {end:?}"),
        }
        self.calls.get_mut(&id).expect("known").end = Some(end);
    }

    /// Checks that a repeated call gets the first answer and that a call under the same key ran it.
    fn check_answer(&mut self, key: u128, answered: &Answered) {
        let text = String::from_utf8_lossy(&answered.answer.body);
        let ran = text.strip_prefix("ran ").and_then(|id| id.parse().ok());
        let sent = ran.and_then(|id: RequestId| Some(&self.calls.get(&id)?.sent));
        let same_key = matches!(sent, Some(Sent::NeverRepeat(sent)) if *sent == key);
        assert!(same_key, "an answer of another key: {text}");
        let body = answered.answer.body.clone();
        let first = self.answers.entry(key).or_insert_with(|| body.clone());
        assert_eq!(*first, body, "two answers under one key");
    }

    /// Checks that no request refused as not run has run, and that no key has run twice or after it
    /// was resolved as not run.
    pub(crate) fn check_runs(&self, runs: &HashMap<RequestId, u32>) {
        let mut keys: HashMap<u128, u32> = HashMap::new();
        for (id, count) in runs {
            let call = &self.calls[id];
            if let Some(End::Refused(Refusal { ran: Ran::No, .. })) = &call.end {
                assert_eq!(*count, 0, "{id} was refused as not run and ran");
            }
            if let Sent::NeverRepeat(key) = call.sent {
                *keys.entry(key).or_default() += count;
            }
        }
        for (key, count) in keys {
            assert!(count <= 1, "key {key:x} ran {count} times");
            let wrongly_resolved = count > 0 && self.resolved_not_run.contains(&key);
            assert!(
                !wrongly_resolved,
                "key {key:x} ran after it was resolved as not run"
            );
        }
    }

    /// Requests without an end whose callers still wait.
    pub(crate) fn unanswered(&self) -> Vec<RequestId> {
        let is_waiting = |call: &&Call| call.end.is_none() && !call.connection_lost;
        let waiting = self.calls.iter().filter(|(_, call)| is_waiting(call));
        waiting.map(|(id, _)| *id).collect()
    }
}
