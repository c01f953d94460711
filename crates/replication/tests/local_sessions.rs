//! Progress that a member tracks for the sessions whose writes begin there.

use leverpoint_replication::local_sessions::{LocalSessions, SessionProgress};

#[test]
fn last_open_write_reports_all_writes_as_finished() {
    let mut sessions = LocalSessions::default();
    let first = sessions.begin_write(10, 7);
    let second = sessions.begin_write(20, 7);

    let after_first = sessions.finish_write(30, 7, 500);
    let after_last = sessions.finish_write(40, 7, 400);

    let progress = |last_finished| SessionProgress {
        first_write: first.number,
        position: 500,
        last_finished,
    };
    assert_eq!(after_first, Some(progress(0)));
    assert_eq!(after_last, Some(progress(second.number)));
}

#[test]
fn rejections_count_from_the_first_one_since_a_quorum_acknowledged() {
    let mut sessions = LocalSessions::default();
    sessions.begin_write(10, 7);

    assert_eq!(sessions.on_rejected(20, 7), 20);
    assert_eq!(sessions.on_rejected(30, 7), 20);
    sessions.on_quorum_acknowledged(7);
    assert_eq!(sessions.on_rejected(40, 7), 40);
}
