//! What an instance still takes while it shuts down.

use {
    crate::router::{admit_request, router},
    camphorweir_relay::{
        configuration::Configuration,
        router::{Admission, Outcome, Router},
        shutdown::{Pace, Stop, shutdown_latest_body},
    },
    std::{sync::Arc, time::Duration},
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The end of the shutdown in the tests, with a grace of 8 s from 100 s on.
fn stop() -> Stop {
    Stop::new(ms(100_000), ms(8_000))
}

/// Whether a request that is planned at `at` can end in time.
fn ends_in_time(router: &mut Router, path: &str, at: u64) -> bool {
    let mut request = admit_request(router, path, ms(at));
    let plan = router.plan(&mut request, ms(at)).unwrap();
    let ends = router.ends_in_time(&request, &plan, &stop(), ms(at));
    router.finish_send(&mut request, &plan, Outcome::Cancelled, ms(at));
    ends
}

/// Serves requests that take `took` ms each, before the shutdown.
fn serve(router: &mut Router, path: &str, took: u64) {
    for index in 0..40 {
        let at = ms(98_000 + index);
        let mut request = admit_request(router, path, at);
        let plan = router.plan(&mut request, at).unwrap();
        let outcome = Outcome::Answered { is_success: true };
        router.finish_send(&mut request, &plan, outcome, at + ms(took));
    }
}

#[test]
fn a_shutdown_ends_before_the_process_would_be_killed() {
    assert!(stop().ends_at < ms(108_000) && stop().ends_at > ms(107_000));
    let short = Stop::new(ms(100_000), ms(100));
    assert_eq!(short.ends_at, ms(100_000));
}

#[test]
fn a_projected_time_of_any_length_is_compared_with_the_end() {
    for step_ms in (40..100).map(|power| 2f64.powi(power)) {
        let mut router = router();
        let mut configuration = Configuration::clone(router.configuration().unwrap());
        configuration.version += 1;
        let service = configuration.services.get_mut("scribe").unwrap();
        service.engine.as_mut().unwrap().step_ms = step_ms;
        router.set_configuration(Arc::new(configuration), ms(0));
        assert!(!ends_in_time(&mut router, "/text/a", 100_000), "{step_ms}");
    }
}

#[test]
fn requests_are_taken_while_what_they_lately_took_is_left() {
    // Path, what requests lately took in ms, when one arrives after the begin, and whether it is taken.
    let table = [
        ("/text/a", 5_000, 0, true),
        ("/text/a", 5_000, 1_000, true),
        ("/text/a", 5_000, 2_700, false),
        ("/text/a", 1_000, 2_700, true),
        // A longer one among them would be cut, and others are free to take it.
        ("/text/a", 1_000, 2_900, false),
        ("/text/a", 1_000, 5_500, false),
        ("/text/a", 1_000, 6_700, false),
        ("/text/a", 9_000, 0, false),
        // A sound target may be silent for 1.5 s before it answers a call.
        ("/seal/a", 20, 5_800, true),
        ("/seal/a", 20, 6_100, false),
        ("/seal/a", 20, 7_000, false),
        ("/seal/a", 2_000, 6_000, false),
    ];
    for (path, took, after, expected) in table {
        let mut router = router();
        serve(&mut router, path, took);
        let taken = ends_in_time(&mut router, path, 100_000 + after);
        assert_eq!(taken, expected, "{path}, {took} ms, after {after} ms");
    }
}

#[test]
fn a_request_whose_deadline_comes_first_is_taken() {
    let mut router = router();
    serve(&mut router, "/text/a", 9_000);
    let arrived = ms(100_000);
    let plan_at = |router: &mut Router, at: Duration| {
        let mut request: Admission = admit_request(router, "/text/a", arrived);
        request.deadline = at;
        let plan = router.plan(&mut request, arrived).unwrap();
        router.ends_in_time(&request, &plan, &stop(), arrived)
    };
    assert!(plan_at(&mut router, ms(107_000)));
    assert!(!plan_at(&mut router, ms(108_000)));
    // Also late, when nothing else counts.
    let late = ms(104_000);
    let mut request = admit_request(&mut router, "/text/a", late);
    request.deadline = ms(107_000);
    let plan = router.plan(&mut request, late).unwrap();
    assert!(router.ends_in_time(&request, &plan, &stop(), late));
}

/// Guards against calls that are taken shortly before the end and cut while a sound target is silent.
#[test]
fn a_call_with_its_deadline_before_the_end_is_taken_and_others_leave_time_for_a_silence() {
    // Deadline of a call that takes 20 ms, when it is planned, and whether it is taken.
    let table = [
        (1_000, 6_400, true),
        (1_000, 6_500, false),
        (600, 6_800, true),
        (600, 6_900, false),
        (3_000, 5_800, true),
        (3_000, 6_100, false),
        (10_000, 5_800, true),
        (10_000, 6_100, false),
    ];
    for (deadline, after, expected) in table {
        let mut router = router();
        serve(&mut router, "/seal/a", 20);
        let at = ms(100_000 + after);
        let mut request = admit_request(&mut router, "/seal/a", at);
        request.deadline = at + ms(deadline);
        let plan = router.plan(&mut request, at).unwrap();
        let taken = router.ends_in_time(&request, &plan, &stop(), at);
        assert_eq!(taken, expected, "deadline {deadline} ms, after {after} ms");
    }
}

/// Guards against calls that are taken late by a quantile, which the slowest of them exceed.
#[test]
fn late_in_a_stop_the_slowest_call_of_late_decides() {
    let mut router = router();
    // One in forty takes two seconds.
    for index in 0..80 {
        let at = ms(98_000 + index);
        let mut request = admit_request(&mut router, "/seal/a", at);
        let plan = router.plan(&mut request, at).unwrap();
        let took = if index % 40 == 0 { 2_000 } else { 200 };
        let outcome = Outcome::Answered { is_success: true };
        router.finish_send(&mut request, &plan, outcome, at + ms(took));
    }
    // Early in a stop nearly all must end, and the caller has nowhere else to go.
    assert!(ends_in_time(&mut router, "/seal/a", 102_700));
    assert!(!ends_in_time(&mut router, "/seal/a", 104_500));
}

/// Guards against bodies that arrive until the process ends.
#[test]
fn a_body_may_arrive_until_the_shortest_request_would_come_too_late() {
    // Path, when the request arrives, its deadline, and until when its body may arrive.
    let table = [
        ("/seal/a", 100_000, 107_000, 107_000),
        ("/seal/a", 100_000, 120_000, 105_950),
        ("/seal/a", 104_000, 120_000, 105_950),
        ("/text/a", 100_000, 120_000, 107_450),
        ("/text/a", 104_000, 120_000, 100_000),
    ];
    for (path, arrived, deadline, until) in table {
        let mut router = router();
        serve(&mut router, path, 3_000);
        let mut request = admit_request(&mut router, path, ms(arrived));
        request.deadline = ms(deadline);
        let latest = shutdown_latest_body(&request, &stop());
        let latest = latest.max(ms(100_000));
        assert_eq!(latest, ms(until), "{path}, {arrived}, {deadline}");
    }
}

#[test]
fn a_request_that_may_have_run_is_sent_again_while_an_answer_can_reach_its_caller() {
    let mut router = router();
    serve(&mut router, "/text/a", 9_000);
    let at = ms(105_000);
    let mut request = admit_request(&mut router, "/text/a", at);
    request.counts.runs = 1;
    let plan = router.plan(&mut request, at).unwrap();
    assert!(router.ends_in_time(&request, &plan, &stop(), at));
    let last = stop().last_answer_at();
    assert!(router.ends_in_time(&request, &plan, &stop(), last - ms(1)));
    assert!(!router.ends_in_time(&request, &plan, &stop(), last));
    assert!(last < stop().ends_at);
}

#[test]
fn nearly_all_requests_end_within_the_projection_and_old_ones_are_forgotten() {
    let mut pace = Pace::default();
    let service = "scribe".into();
    let longest = |pace: &Pace, at: u64| pace.longest("scribe", ms(1_000), ms(at));
    let unknown = longest(&pace, 0);
    assert!(unknown >= ms(2_000) && unknown <= ms(3_000), "{unknown:?}");
    // Most take as long as projected, one in ten four times as long.
    for index in 0..100 {
        let observed = if index % 10 == 0 { 4_000 } else { 1_000 };
        pace.record(&service, ms(1_000), ms(observed), ms(index));
    }
    let slow = longest(&pace, 100);
    assert!(slow >= ms(4_000) && slow <= ms(4_800), "{slow:?}");
    for index in 0..100 {
        pace.record(&service, ms(1_000), ms(1_000), ms(120_000 + index));
    }
    let fast = longest(&pace, 120_100);
    assert!(fast >= ms(1_000) && fast <= ms(1_200), "{fast:?}");
    // Another service has not been seen.
    assert_eq!(pace.longest("ledger", ms(1_000), ms(0)), unknown);
}

/// Guards against requests that wait for capacity until the process ends, or are refused too early.
#[test]
fn a_request_waits_while_what_requests_lately_took_is_left() {
    // Path, what requests lately took in ms, and the bounds of the latest start after the begin.
    let table = [
        ("/text/a", 5_000, 1_500, 2_450),
        ("/text/a", 1_000, 6_000, 6_450),
        ("/text/a", 9_000, 0, 0),
        ("/seal/a", 20, 5_800, 5_950),
    ];
    for (path, took, least, most) in table {
        let mut router = router();
        serve(&mut router, path, took);
        let request = admit_request(&mut router, path, ms(99_900));
        let latest = router.latest_start(&request, &stop(), ms(100_000));
        let after = latest.saturating_sub(stop().since);
        let is_within = ms(least) <= after && after <= ms(most);
        assert!(is_within, "{path}, {took} ms: {after:?}");
    }
}

/// Guards against waits that end otherwise than the requests that find capacity.
#[test]
fn a_request_waits_by_its_deadline_where_that_decides() {
    let mut router = router();
    serve(&mut router, "/text/a", 9_000);
    // When it arrives, its deadline, and until when it may wait.
    let table = [
        (100_000, 107_000, 107_000),
        (104_000, 107_000, 107_000),
        (100_000, 120_000, 100_000),
        (104_000, 120_000, 100_000),
    ];
    for (arrived, deadline, until) in table {
        let mut request = admit_request(&mut router, "/text/a", ms(arrived));
        request.deadline = ms(deadline);
        let latest = router.latest_start(&request, &stop(), ms(arrived));
        assert_eq!(latest.max(ms(100_000)), ms(until), "{arrived}, {deadline}");
        // One that may have run is sent in any case.
        request.counts.runs = 1;
        let latest = router.latest_start(&request, &stop(), ms(arrived));
        assert!(latest >= ms(107_000).min(request.deadline), "{latest:?}");
    }
    // Nothing is known of a service: its plan decides.
    let request = admit_request(&mut router, "/seal/a", ms(100_000));
    let latest = router.latest_start(&request, &stop(), ms(100_000));
    assert!(latest > ms(105_900) && latest <= ms(105_950), "{latest:?}");
}
