use {
    camphorweir_relay::{
        configuration::Kind,
        retry::{Counts, Decision, Failure, retry_decide},
    },
    camphorweir_wire::code::Code,
};

const ONCE: Kind = Kind::AtMostOnce;
const REPEATABLE: Kind = Kind::Idempotent;
const RESUMABLE: Kind = Kind::Stream { resumable: true };
const NOT_RESUMABLE: Kind = Kind::Stream { resumable: false };

fn counts(sends: u32, runs: u32) -> Counts {
    Counts {
        sends,
        runs,
        ..Counts::default()
    }
}

#[test]
fn a_request_that_runs_at_most_once_is_retried_only_if_it_provably_did_not_run() {
    for kind in [ONCE, NOT_RESUMABLE] {
        let next = |sends, runs, failure| retry_decide(kind, 1, &counts(sends, runs), failure);
        assert_eq!(next(1, 0, Failure::Unsent), Decision::Again);
        assert_eq!(next(1, 0, Failure::Refused), Decision::Again);
        assert_eq!(
            next(1, 1, Failure::Broken),
            Decision::End(Code::TargetFailed)
        );
        // A refusal of a later send does not disprove an earlier run.
        assert_eq!(
            next(2, 1, Failure::Refused),
            Decision::End(Code::TargetFailed)
        );
    }
}

#[test]
fn an_idempotent_request_runs_on_at_most_the_number_of_targets_of_its_route() {
    for kind in [REPEATABLE, RESUMABLE] {
        let next = |max_runs, sends, runs| {
            retry_decide(kind, max_runs, &counts(sends, runs), Failure::Broken)
        };
        assert_eq!(next(2, 1, 1), Decision::Again);
        assert_eq!(next(2, 2, 2), Decision::End(Code::TargetFailed));
        assert_eq!(next(1, 1, 1), Decision::End(Code::TargetFailed));
        assert_eq!(next(0, 1, 1), Decision::End(Code::TargetFailed));
    }
}

#[test]
fn sends_are_bounded_and_the_final_code_matches_the_failure() {
    for (failure, code) in [
        (Failure::Refused, Code::TargetRefused),
        (Failure::Unsent, Code::NoTarget),
    ] {
        assert_eq!(
            retry_decide(REPEATABLE, 9, &counts(3, 0), failure),
            Decision::Again
        );
        assert_eq!(
            retry_decide(REPEATABLE, 9, &counts(4, 0), failure),
            Decision::End(code)
        );
    }
}
