//! A fake plain service in memory that counts runs.

use {
    camphorweir_policy::event::{Answered, Exchange},
    camphorweir_wire::{ids::RequestId, outcome::Answer},
    std::collections::HashMap,
};

/// How a service handles its next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Behavior {
    /// Runs the call and answers.
    #[default]
    Normal,
    /// Answers 503 and states that the call did not run.
    RefuseBefore,
    /// Runs the call, then answers 503 without stating whether it ran.
    FailAfter,
    /// Runs the call, then drops the connection.
    DropAfter,
    /// Drops the connection after the request was sent, without running the call.
    DropBefore,
}

/// A fake of a plain service.
#[derive(Default)]
pub(crate) struct Service {
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    pub(crate) behavior: Behavior,
    /// Number of runs by request.
    pub(crate) runs: HashMap<RequestId, u32>,
}

impl Service {
    pub(crate) fn call(&mut self, request: RequestId) -> Exchange {
        if !self.up {
            return Exchange::Unsent;
        }
        match self.behavior {
            Behavior::RefuseBefore => return self.answer(503, "", true),
            Behavior::DropBefore => return Exchange::Broken,
            Behavior::Normal | Behavior::FailAfter | Behavior::DropAfter => {}
        }
        *self.runs.entry(request).or_default() += 1;
        match self.behavior {
            Behavior::DropAfter => Exchange::Broken,
            Behavior::FailAfter => self.answer(503, "", false),
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
