//! A plain service in memory that counts what it runs.

use {
    camphorweir_policy::event::{Answered, Exchange},
    camphorweir_wire::{ids::RequestId, outcome::Answer},
    std::collections::HashMap,
};

/// How a service treats its next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Mood {
    /// Runs and answers.
    #[default]
    Well,
    /// Answers 503 and says that it did not run.
    RefuseBefore,
    /// Runs, then answers 503 without saying whether it ran.
    FailAfter,
    /// Runs, then drops the connection.
    DropAfter,
    /// Drops the connection after the request was written, without running.
    DropBefore,
}

/// The fake of a plain service.
#[derive(Default)]
pub(crate) struct Service {
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    pub(crate) mood: Mood,
    /// Runs by the request that caused them.
    pub(crate) runs: HashMap<RequestId, u32>,
}

impl Service {
    pub(crate) fn call(&mut self, request: RequestId) -> Exchange {
        if !self.up {
            return Exchange::Unsent;
        }
        match self.mood {
            Mood::RefuseBefore => return self.answer(503, "", true),
            Mood::DropBefore => return Exchange::Broken,
            Mood::Well | Mood::FailAfter | Mood::DropAfter => {}
        }
        *self.runs.entry(request).or_default() += 1;
        match self.mood {
            Mood::DropAfter => Exchange::Broken,
            Mood::FailAfter => self.answer(503, "", false),
            _ => self.answer(200, &format!("ran {request}"), false),
        }
    }

    fn answer(&self, status: u16, body: &str, not_run: bool) -> Exchange {
        Exchange::Answered(Answered {
            answer: Answer {
                status,
                content_type: "text/plain".to_owned(),
                body: body.as_bytes().to_vec(),
            },
            not_run,
            leaving: self.leaving,
        })
    }
}
