//! Positions that sessions must see.

use leverpoint_routing::api::MILLISECOND;
use leverpoint_routing::session_positions::{SessionPositions, UNREPORTED};

const MINUTE: i64 = 60_000 * MILLISECOND;

#[test]
fn session_must_see_its_latest_write() {
    let mut sessions = SessionPositions::default();
    assert_eq!(sessions.required_position(3, 0), 0);
    sessions.record_write(3, 0, 200);
    sessions.record_write(3, 0, 100);
    assert_eq!(sessions.required_position(3, 0), 200);
    assert_eq!(sessions.required_position(2, 0), 0);
}

#[test]
fn expired_position_raises_the_low_watermark_of_its_set_only() {
    let mut sessions = SessionPositions::default();
    sessions.record_write(3, 1, 200);
    assert_eq!(sessions.expire(200), Vec::<usize>::new());
    assert_eq!(sessions.expire(MINUTE), [3]);
    assert_eq!(sessions.required_position(3, 1), 200);
    assert_eq!(sessions.required_position(8, 1), 200);
    assert_eq!(sessions.required_position(3, 0), 0);
}

#[test]
fn session_with_a_later_write_is_not_released() {
    let mut sessions = SessionPositions::default();
    sessions.record_write(3, 0, 200);
    sessions.record_write(3, 0, MINUTE);
    assert_eq!(sessions.expire(MINUTE), Vec::<usize>::new());
    assert_eq!(sessions.required_position(3, 0), MINUTE);
}

#[test]
fn oldest_writes_expire_early_when_there_are_too_many() {
    let mut sessions = SessionPositions::default();
    (0..50_001).for_each(|session| sessions.record_write(session, 0, 200));
    assert_eq!(sessions.expire(200), [0]);
}

/// Guards against reads that require no position between the answer to a write and the report of
/// its position, and so may miss the write.
#[test]
fn answered_write_requires_an_unreported_position_until_all_are_reported() {
    let mut sessions = SessionPositions::default();
    sessions.on_write_answered(3, 0);
    sessions.on_write_answered(3, 0);
    assert_eq!(sessions.required_position(3, 0), UNREPORTED);
    assert_eq!(sessions.required_position(3, 1), 0);
    assert_eq!(sessions.required_position(2, 0), 0);
    sessions.on_write_reported(3, 0);
    sessions.record_write(3, 0, 200);
    assert_eq!(sessions.required_position(3, 0), UNREPORTED);
    sessions.on_write_reported(3, 0);
    assert_eq!(sessions.required_position(3, 0), 200);
}
