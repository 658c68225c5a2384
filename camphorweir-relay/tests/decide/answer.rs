use {
    camphorweir_relay::answer::{
        Choice, DELIVERY_TIME,
        Grade::{self, Failure, Refusal, Success},
        answer_choose, answer_grade, answer_is_kept, answer_tries_end,
    },
    std::time::Duration,
};

/// Status, whether it has a seal, whether it came through a peer; and its grade.
const GRADES: [(u16, bool, bool, Grade); 12] = [
    (200, true, false, Success),
    (404, true, true, Success),
    (404, false, false, Success),
    (404, false, true, Refusal),
    (429, true, false, Success),
    (429, false, false, Refusal),
    (500, true, true, Failure),
    (500, false, false, Failure),
    (502, false, true, Refusal),
    (503, true, true, Failure),
    (503, false, false, Refusal),
    (504, true, false, Failure),
];

#[test]
fn what_an_instance_may_have_made_up_is_no_answer_of_a_target() {
    for (status, is_sealed, is_detour, grade) in GRADES {
        let found = answer_grade(status, is_sealed, is_detour);
        assert_eq!(found, grade, "{status}, {is_sealed}, {is_detour}");
    }
}

/// The answer in hand and the latest; which the caller gets, and whether the latest is kept.
const CHOICES: [(Option<Grade>, Grade, Choice, bool); 9] = [
    (None, Refusal, Choice::Latest, false),
    (None, Failure, Choice::Latest, true),
    (None, Success, Choice::Latest, true),
    (Some(Failure), Refusal, Choice::Kept, false),
    (Some(Failure), Failure, Choice::Latest, true),
    (Some(Failure), Success, Choice::Latest, true),
    (Some(Success), Refusal, Choice::Kept, false),
    (Some(Success), Failure, Choice::Kept, false),
    (Some(Success), Success, Choice::Latest, true),
];

#[test]
fn an_answer_in_hand_stays_until_there_is_one_that_is_as_good() {
    for (kept, latest, choice, is_kept) in CHOICES {
        assert_eq!(answer_choose(kept, latest), choice, "{kept:?}, {latest:?}");
        assert_eq!(
            answer_is_kept(kept, latest),
            is_kept,
            "{kept:?}, {latest:?}"
        );
    }
}

#[test]
fn tries_end_early_only_with_an_answer_in_hand() {
    let end = Duration::from_secs(2);
    assert_eq!(answer_tries_end(None, end), end);
    for grade in [Failure, Success] {
        assert_eq!(answer_tries_end(Some(grade), end), end - DELIVERY_TIME);
    }
    assert_eq!(
        answer_tries_end(Some(Failure), DELIVERY_TIME / 2),
        Duration::ZERO
    );
}
