//! Assignment of indices to identifiers, and how long a session keeps its index.

use leverpoint_routing::api::{AttemptOutcome, ServerReport};
use leverpoint_routing::interning::{Indices, RequestUsage, Sessions};

fn write_in_session(session: usize) -> RequestUsage {
    RequestUsage {
        write: true,
        session: Some(session),
        ..RequestUsage::default()
    }
}

#[test]
fn released_index_is_given_out_again() {
    let mut indices = Indices::default();
    assert_eq!((indices.index(&"a"), indices.index(&"b")), (0, 1));
    indices.release(0);
    indices.release(0);
    assert_eq!(indices.find(&"a"), None);
    assert_eq!((indices.index(&"c"), indices.index(&"d")), (0, 2));
    assert_eq!((indices.id(0), indices.len()), (&"c", 3));
}

#[test]
fn sessions_that_only_read_share_an_index() {
    let mut sessions = Sessions::default();
    let writer = sessions.index_for_write("writer");
    assert_eq!(sessions.index_for_read("writer"), writer);
    assert_eq!(sessions.index_for_read("a"), sessions.index_for_read("b"));
    assert_ne!(sessions.index_for_read("a"), writer);
    assert_eq!(sessions.len(), 2);
}

#[test]
fn session_keeps_its_index_while_a_write_is_pending() {
    let mut sessions = Sessions::default();
    let session = sessions.index_for_write("writer");
    sessions.index_for_write("writer");
    sessions.on_request_finished(&write_in_session(session));
    assert_eq!(sessions.index_for_read("writer"), session);
    sessions.on_request_finished(&write_in_session(session));
    assert_eq!(sessions.index_for_read("writer"), 0);
}

#[test]
fn session_keeps_its_index_while_its_position_is_remembered() {
    let mut sessions = Sessions::default();
    let session = sessions.index_for_write("writer");
    let report = ServerReport {
        primary: true,
        position: Some(5),
    };
    let write = write_in_session(session);
    sessions.on_attempt_finished(&write, AttemptOutcome::Answered, Some(report));
    sessions.on_request_finished(&write);
    assert_eq!(sessions.index_for_read("writer"), session);
    sessions.on_position_released(session);
    assert_eq!(sessions.index_for_read("writer"), 0);
}
