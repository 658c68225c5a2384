//! How far an answer has come.

use {
    camphorweir_relay::{ids::Time, progress::Progress},
    std::time::Duration,
};

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

#[test]
fn an_answer_settles_with_an_event_long_after_its_head() {
    let head = ms(1_000);
    let cases = [
        (Progress::Begun(head), ms(1_050), Progress::Answering(head)),
        (
            Progress::Answering(head),
            ms(1_299),
            Progress::Answering(head),
        ),
        (Progress::Answering(head), ms(1_300), Progress::Settled),
        (Progress::Begun(head), ms(1_300), Progress::Settled),
        (Progress::Settled, ms(1_301), Progress::Settled),
        (Progress::Waiting, ms(1_050), Progress::Answering(ms(1_050))),
    ];
    for (before, at, after) in cases {
        assert_eq!(before.after_event(at), after, "{before:?} at {at:?}");
    }
    assert_eq!(Progress::Begun(head).begun_at(), Some(head));
    assert_eq!(Progress::Waiting.begun_at(), None);
}
