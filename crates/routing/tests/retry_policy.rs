//! Which attempts and client retries are permitted, as they have no second effect.

use leverpoint_routing::api::{AttemptOutcome, DeduplicationScope, Idempotency, Ticks};
use leverpoint_routing::request_state::AttemptHistory;
use leverpoint_routing::retry_policy::RetryPolicy;

const DEADLINE: Ticks = 20_000;
const WINDOW: Ticks = 15_000;
const BATCH_INTERVAL: Ticks = 50;

fn policy_for(idempotency: Idempotency) -> RetryPolicy {
    RetryPolicy::new(idempotency, BATCH_INTERVAL)
}

fn keyed_policy(scope: DeduplicationScope) -> RetryPolicy {
    policy_for(Idempotency::IdempotentByKey {
        window: WINDOW,
        scope,
    })
}

/// History of a request whose only attempt started at time 100 in zone 1 and ended with `outcome`.
fn history_after(outcome: AttemptOutcome) -> AttemptHistory {
    let mut attempts = AttemptHistory::default();
    attempts.start(3, 0, 100);
    let attempt = attempts.remove(0).expect("the first attempt has number 0");
    attempts.record_outcome(&attempt, outcome, 1);
    attempts
}

#[test]
fn any_request_may_be_retried_until_its_deadline_after_a_rejection_before_execution() {
    let rejected = history_after(AttemptOutcome::NotCaughtUp);
    for policy in [
        policy_for(Idempotency::Idempotent),
        policy_for(Idempotency::NonIdempotent),
        keyed_policy(DeduplicationScope::Zone),
    ] {
        assert_eq!(policy.latest_arrival(&rejected, DEADLINE), DEADLINE);
        assert!(policy.permits_zone(&rejected, 0));
        assert!(policy.client_retry_is_harmless(&rejected));
    }
}

#[test]
fn keyed_request_that_may_have_executed_is_retried_only_within_its_window() {
    let ambiguous = history_after(AttemptOutcome::Reset);
    let keyed = keyed_policy(DeduplicationScope::Set);
    assert_eq!(
        keyed.latest_arrival(&ambiguous, DEADLINE),
        100 + WINDOW - BATCH_INTERVAL
    );
    assert_eq!(keyed.latest_arrival(&ambiguous, 5_000), 5_000);
}

#[test]
fn request_that_is_not_idempotent_is_never_retried_once_it_may_have_executed() {
    let ambiguous = history_after(AttemptOutcome::TimedOut);
    let policy = policy_for(Idempotency::NonIdempotent);
    assert_eq!(policy.latest_arrival(&ambiguous, DEADLINE), Ticks::MIN);
    assert!(!policy.client_retry_is_harmless(&ambiguous));
}

#[test]
fn keyed_request_that_may_have_executed_stays_in_its_zone_where_that_is_the_scope() {
    let ambiguous = history_after(AttemptOutcome::Reset);
    let zone_policy = keyed_policy(DeduplicationScope::Zone);
    assert!(zone_policy.permits_zone(&ambiguous, 1) && !zone_policy.permits_zone(&ambiguous, 0));
    assert!(keyed_policy(DeduplicationScope::Set).permits_zone(&ambiguous, 0));
}

#[test]
fn client_may_retry_a_keyed_request_only_where_all_servers_drop_duplicates() {
    let ambiguous = history_after(AttemptOutcome::Reset);
    assert!(keyed_policy(DeduplicationScope::Everywhere).client_retry_is_harmless(&ambiguous));
    assert!(!keyed_policy(DeduplicationScope::Zone).client_retry_is_harmless(&ambiguous));
    assert!(!keyed_policy(DeduplicationScope::Set).client_retry_is_harmless(&ambiguous));
}

#[test]
fn attempt_in_flight_may_execute() {
    let mut attempts = AttemptHistory::default();
    attempts.start(3, 0, 100);
    assert!(!policy_for(Idempotency::NonIdempotent).client_retry_is_harmless(&attempts));
}
