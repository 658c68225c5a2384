//! The numbered result codes.

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $hint:literal;)+) => {
        /// A result other than plain success.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)+];

            /// The number shown in answers, logs and the documentation.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// The name in the documentation's table.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// The HTTP status of an answer with this code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// The meaning, in one sentence.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc,)+),)+ }
            }

            /// What the caller or operator should do.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $hint,)+ }
            }
        }

        impl TryFrom<u16> for Code {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$name),)+
                    _ => Err(format!("no result code {number}")),
                }
            }
        }
    };
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

codes! {
    /// The request is not well-formed HTTP or JSON.
    Malformed = 1001, 400, "Correct the request.";
    /// The request's body is larger than allowed.
    BodyTooLarge = 1002, 413, "Send less, or ask the operators for a higher limit.";
    /// The request's head is larger than allowed.
    HeadTooLarge = 1003, 431, "Send fewer or shorter headers.";
    /// The request did not arrive whole in time.
    RequestTimeout = 1004, 408, "Send the whole request without pauses.";
    /// The bearer key is missing or belongs to no workspace.
    Unauthorized = 1005, 401, "Send `Authorization: Bearer KEY` with a key of the workspace.";
    /// No such path.
    NoSuchPath = 1006, 404, "See the paths in the documentation.";
    /// The path takes another method.
    MethodNotAllowed = 1007, 405, "Use the method that the documentation gives.";
    /// The workspace has no route to this model or service.
    NoSuchRoute = 1008, 404, "Check the name, or ask the operators for a route.";
    /// The route never repeats a request and the request carries no `Idempotency-Key`.
    KeyMissing = 1009, 400, "Send a UUIDv7 as `Idempotency-Key`.";
    /// The `Idempotency-Key` is not a UUIDv7.
    KeyMalformed = 1010, 400, "Send a UUIDv7 as `Idempotency-Key`.";
    /// The `Idempotency-Key` was issued outside the window in which keys are remembered.
    KeyExpired = 1011, 410, "Find out what became of the first request; use a new key for a new one.";
    /// The `Idempotency-Key` was used before with another request.
    KeyReused = 1012, 422, "Use one key for one request.";
    /// The prompt or the answer asked for is longer than the pipeline allows.
    TooManyTokens = 1013, 400, "Shorten the prompt or lower `max_tokens`.";
    /// Too many connections or streams are open from this caller.
    TooManyConnections = 1014, 429, "Close idle connections.";
    /// The caller went away before the answer.
    CallerGone = 1015, 499, "Nothing; the request was cancelled.";
    /// The workspace has spent its limit.
    LimitReached = 2001, 429, "Come back after `Retry-After`.";
    /// The queue of this class is full.
    QueueFull = 2002, 503, "Come back after `Retry-After`.";
    /// The deadline can't be met.
    DeadlineUnmeetable = 2003, 503, "Come back after `Retry-After`.";
    /// The deadline passed before an answer was whole.
    DeadlinePassed = 2004, 504, "Send it again if it may be repeated.";
    /// This entry is stopping.
    Stopping = 2005, 503, "Send it again; the balancer chooses another entry.";
    /// The answer ran past the entry's memory bound.
    AnswerTooLarge = 2006, 502, "Ask for less.";
    /// This entry ended before the target had answered; the request may have run.
    EndedFirst = 2007, 504, "Send it again if it may be repeated.";
    /// This entry has no memory for the request's body now.
    ShortOfMemory = 2008, 503, "Come back after `Retry-After`; another entry may have room.";
    /// No chain of live targets covers every layer of the model.
    NoPath = 3001, 503, "Come back after `Retry-After`.";
    /// No live target serves this service.
    NoTarget = 3002, 503, "Come back after `Retry-After`.";
    /// The target failed after the request had been sent to it.
    TargetFailed = 3003, 502, "Send it again if it may be repeated.";
    /// The target refused the request before starting it.
    TargetRefused = 3004, 503, "Come back after `Retry-After`.";
    /// The retries that this request may use are spent.
    RetriesSpent = 3005, 503, "Come back after `Retry-After`.";
    /// Requests like this one have crashed targets; it is quarantined.
    Quarantined = 3006, 422, "Change the request, or ask the operators to release it.";
    /// Requests like this one have ended targets; it is not sent to any for now.
    CrashesTargets = 3007, 503, "Come back after `Retry-After`, or change the request.";
    /// The log service can't be reached, so a never-repeat request can't be claimed.
    LogUnavailable = 4001, 503, "Come back after `Retry-After`.";
    /// The request is running under the same key elsewhere.
    InProgress = 4002, 409, "Ask again with the same key after `Retry-After`.";
    /// The request may have run; its outcome is not known here.
    OutcomeUnknown = 4003, 502, "Ask again with the same key; operators settle it with `resolve`.";
    /// Operators settled that the request did not run.
    ResolvedNotRun = 4004, 409, "Send it as a new request with a new key.";
    /// Operators settled that the request ran; its answer is not kept.
    ResolvedRan = 4005, 409, "Nothing; it ran.";
    /// The request was not claimed in time; it was not run.
    ClaimTimeout = 4006, 503, "Send it again with the same key.";
    /// No configuration is in force at this entry.
    NoConfiguration = 5001, 503, "Come back after `Retry-After`; operators publish one.";
    /// The log holds a record that this release does not know.
    UnknownFormat = 5002, 503, "Upgrade the instance.";
    /// Another publication won the race.
    PublishConflict = 5003, 409, "Derive the change from the version in force and publish again.";
    /// The log service did not say whether the publication landed, and it can't be read.
    PublishUnreachable = 5004, 503, "Publish the same file again; it is accepted once.";
    /// What is known of API keys is too old to trust.
    KeysStale = 5005, 503, "Come back after `Retry-After`; another entry may reach the store.";
    /// The caller of the administration API has no such right.
    Forbidden = 6001, 403, "Use the credentials for this action.";
    /// No such item.
    NotFound = 6002, 404, "List the items first.";
    /// The settings file can't be used.
    BadSettings = 6101, 500, "Correct the places named.";
    /// The address is in use or can't be bound.
    AddressInUse = 6102, 500, "Free the address or set another.";
    /// The configuration file has faults.
    BadConfiguration = 6103, 500, "Correct the places named.";
    /// An entry does not answer.
    EntryUnreachable = 6104, 503, "See that the instance is up.";
    /// A peer's message is not authentic or not fresh.
    PeerRejected = 6201, 403, "Give all entries the same peer key and correct their clocks.";
    /// A fault of camphorweir itself.
    Internal = 7001, 500, "Report it with the request's number.";
}
