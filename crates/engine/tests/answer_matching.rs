//! Matching of answers with statements: what is used, what is withheld, and when a withheld answer is settled.

use leverpoint_engine::answer_matching::{AnswerDigest, AnswerMatcher, AnswerUse, OutcomeUse};

const WITHHELD_FIRST: AnswerUse = AnswerUse::Withhold {
    send_empty_query: true,
};
const WITHHELD_AGAIN: AnswerUse = AnswerUse::Withhold {
    send_empty_query: false,
};

/// Passes a row and its status to the matcher; returns the use of the row and of the complete answer.
fn answer(matcher: &mut AnswerMatcher, row: &[u8], position: &[u8]) -> (OutcomeUse, AnswerUse) {
    matcher.on_message(b'D', row);
    matcher.on_message(b'C', b"SELECT 1");
    let outcome = matcher.on_outcome_complete();
    matcher.on_message(b'S', position);
    matcher.on_message(b'Z', b"I");
    (outcome, matcher.on_answer_complete())
}

/// Returns the digest of a first answer on a connection.
fn first_answer(row: &[u8], position: &[u8]) -> Option<AnswerDigest> {
    let mut matcher = AnswerMatcher::new(None);
    let uses = answer(&mut matcher, row, position);
    assert_eq!(uses, (OutcomeUse::Use, AnswerUse::Use));
    matcher.last_answer()
}

#[test]
fn an_answer_that_differs_from_the_one_before_is_used_at_once() {
    let mut matcher = AnswerMatcher::new(first_answer(b"one", b"41"));
    assert_eq!(
        answer(&mut matcher, b"two", b"41"),
        (OutcomeUse::Use, AnswerUse::Use)
    );
    assert!(matcher.is_in_step());
}

#[test]
fn an_equal_row_with_another_status_is_used_with_its_status() {
    let mut matcher = AnswerMatcher::new(first_answer(b"one", b"41"));
    assert_eq!(
        answer(&mut matcher, b"one", b"42"),
        (OutcomeUse::Withhold, AnswerUse::Use)
    );
    assert!(matcher.is_in_step());
    assert_eq!(matcher.last_answer(), first_answer(b"one", b"42"));
}

#[test]
fn a_copy_is_withheld_and_the_answer_behind_it_used() {
    let mut matcher = AnswerMatcher::new(first_answer(b"one", b"41"));
    let copy = answer(&mut matcher, b"one", b"41");
    assert_eq!(copy, (OutcomeUse::Withhold, WITHHELD_FIRST));
    let second_copy = answer(&mut matcher, b"one", b"41");
    assert_eq!(second_copy, (OutcomeUse::Withhold, WITHHELD_AGAIN));
    assert_eq!(
        answer(&mut matcher, b"two", b"43"),
        (OutcomeUse::Use, AnswerUse::Use)
    );
    // The empty query has not been answered.
    assert!(!matcher.is_in_step());
    assert_eq!(matcher.last_answer(), None);
}

#[test]
fn an_equal_answer_is_settled_by_the_answer_to_the_empty_query() {
    let mut matcher = AnswerMatcher::new(first_answer(b"one", b"41"));
    let equal = answer(&mut matcher, b"one", b"41");
    assert_eq!(equal, (OutcomeUse::Withhold, WITHHELD_FIRST));
    assert!(!matcher.is_in_step());
    matcher.on_message(b'I', b"");
    assert!(matcher.on_empty_query_answered());
    matcher.on_message(b'Z', b"I");
    assert_eq!(matcher.on_answer_complete(), AnswerUse::Use);
    assert!(matcher.is_in_step());
    // A copy would have arrived ahead of the answer to the empty query.
    assert_eq!(matcher.last_answer(), None);
}

#[test]
fn an_answer_to_an_empty_query_that_was_not_sent_settles_nothing() {
    let mut matcher = AnswerMatcher::new(first_answer(b"one", b"41"));
    matcher.on_message(b'I', b"");
    assert!(!matcher.on_empty_query_answered());
}
