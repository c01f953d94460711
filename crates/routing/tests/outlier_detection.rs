//! Ejection of silent and failing servers.

use leverpoint_routing::api::{AttemptOutcome, MILLISECOND, Ticks};
use leverpoint_routing::outlier_detection::{EjectionReason, ServerHealth};

const NOW: Ticks = 100_000 * MILLISECOND;
const SECOND: Ticks = 1000 * MILLISECOND;

#[test]
fn three_resets_in_a_row_count_as_silence() {
    let mut health = ServerHealth::new(NOW);
    health.on_attempt_started(NOW);
    let results = [(); 3].map(|()| health.on_unanswered(AttemptOutcome::Reset, 0, NOW + 1));
    assert_eq!(results, [false, false, true]);
}

#[test]
fn timeouts_count_as_silence_only_after_a_second() {
    let mut health = ServerHealth::new(NOW);
    health.on_attempt_started(NOW);
    let mut on_timeout = |now| health.on_unanswered(AttemptOutcome::TimedOut, 0, now);
    assert!(!on_timeout(NOW + SECOND / 3));
    assert!(!on_timeout(NOW + SECOND / 3));
    assert!(!on_timeout(NOW + SECOND - 1));
    assert!(on_timeout(NOW + SECOND));
}

#[test]
fn server_that_responds_before_the_window_has_passed_stays_on_probation() {
    let mut health = ServerHealth::new(NOW);
    assert!(health.eject(EjectionReason::Failing, NOW));
    assert!(!health.eject(EjectionReason::Failing, NOW));
    health.on_response(NOW + SECOND / 2);
    assert!(health.is_ejected(NOW + SECOND / 2) && health.is_on_probation());
    health.on_response(NOW + SECOND);
    assert!(!health.is_ejected(NOW + SECOND) && !health.is_on_probation());
}

#[test]
fn silent_server_is_readmitted_by_its_first_response() {
    let mut health = ServerHealth::new(NOW);
    health.eject(EjectionReason::Silent, NOW);
    assert!(health.is_silent() && health.is_ejected(NOW + 5 * SECOND - 1));
    health.on_response(NOW + 1);
    assert!(!health.is_silent() && !health.is_ejected(NOW + 1));
}

#[test]
fn timeouts_of_a_server_that_may_be_gone_count_once_it_responds() {
    let mut health = ServerHealth::new(NOW);
    let weights = [(); 3].map(|()| health.shortage_weight(AttemptOutcome::TimedOut, true));
    assert_eq!(weights, [1.0, -1.0, 0.0]);
    assert!(health.may_be_gone());
    assert_eq!(health.on_response(NOW + 1), 3.0);
    assert!(!health.may_be_gone());
}

#[test]
fn server_is_failing_with_more_than_one_error_per_two_answers() {
    let mut health = ServerHealth::new(NOW);
    (0..6).for_each(|_| health.on_answer());
    (0..3).for_each(|_| health.on_error());
    assert!(!health.is_failing());
    health.on_error();
    assert!(health.is_failing());
}
