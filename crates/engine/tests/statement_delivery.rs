//! Which statements must be withdrawn when the time in which they may arrive is over.

use leverpoint_engine::attempt_error::{AttemptError, Cause, Progress};
use leverpoint_engine::statement_delivery::Delivery;
use leverpoint_routing::api::AttemptOutcome;

/// Outcome of an attempt that is withdrawn at this progress for this reason.
fn outcome_of_withdrawal(progress: Progress, cause: Cause) -> AttemptOutcome {
    AttemptError { progress, cause }.outcome()
}

const WITHDRAWAL_CAUSES: [Cause; 2] = [Cause::ArrivalTimedOut, Cause::NoLongerNeeded];

#[test]
fn a_statement_that_is_not_written_whole_is_withdrawn_and_was_not_executed() {
    for progress in [Progress::NotConnected, Progress::NotWritten] {
        for unacknowledged_bytes in [0, 1] {
            let delivery = Delivery::new(progress, unacknowledged_bytes);
            assert_eq!(delivery, Delivery::Incomplete);
            assert!(delivery.must_be_withdrawn());
        }
        for cause in WITHDRAWAL_CAUSES {
            assert!(outcome_of_withdrawal(progress, cause).never_executed());
        }
    }
}

#[test]
fn a_statement_that_is_not_acknowledged_whole_is_withdrawn_and_may_have_been_executed() {
    let delivery = Delivery::new(Progress::Written, 1);
    assert_eq!(delivery, Delivery::Unacknowledged);
    assert!(delivery.must_be_withdrawn());
    for cause in WITHDRAWAL_CAUSES {
        assert!(!outcome_of_withdrawal(Progress::Written, cause).never_executed());
    }
}

#[test]
fn a_statement_that_has_arrived_stays() {
    for (progress, unacknowledged_bytes) in [
        (Progress::Written, 0),
        (Progress::Answering, 0),
        // An empty query behind the statement may not be acknowledged yet.
        (Progress::Answering, 5),
    ] {
        let delivery = Delivery::new(progress, unacknowledged_bytes);
        assert_eq!(delivery, Delivery::Complete);
        assert!(!delivery.must_be_withdrawn());
    }
}
