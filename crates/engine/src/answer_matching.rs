//! Decides which of the answers that arrive on a server connection belongs to its statement.
//!
//! Answers carry no identifier: the protocol ties them to statements by their order alone. A server that sends an answer
//! twice breaks that order, as the copy may arrive when the connection is in use again. A copy equals the answer of the
//! statement before, so an answer that does is withheld until its place in the order is known. An empty query is sent
//! behind the statement; what the server answers last ahead of the empty query is the answer of the statement.

use std::hash::{DefaultHasher, Hasher};

/// Digest of a complete answer. Equal answers have equal digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerDigest {
    /// Of the messages up to the row's CommandComplete, or up to the error.
    outcome: u64,
    /// Of all messages, ReadyForQuery included.
    complete: u64,
}

/// What becomes of an outcome, that is of a complete row or error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum OutcomeUse {
    /// It belongs to the statement and may be passed on.
    Use,
    /// It may belong to the previous statement: the rest of its answer decides.
    Withhold,
}

/// What follows a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum AnswerUse {
    /// It belongs to the statement.
    Use,
    /// It may be a copy of the previous statement's answer: it is withheld in place of any earlier one, and reading goes
    /// on.
    Withhold {
        /// Whether the empty query that settles it is to be sent now.
        send_empty_query: bool,
    },
}

/// The empty query that is sent behind a statement.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EmptyQuery {
    NotSent,
    Sent,
    Answered,
}

/// Matches the answers received on a connection with the statement that was sent last.
///
/// All methods are called in the order in which messages arrive.
pub struct AnswerMatcher {
    /// Answer to the previous statement of the connection; none if no copy of it can arrive.
    previous: Option<AnswerDigest>,
    hasher: DefaultHasher,
    /// Digest of the present answer's outcome, once that is complete.
    outcome: Option<u64>,
    empty_query: EmptyQuery,
    /// The answer that belongs to the statement.
    matched: Option<AnswerDigest>,
}

impl AnswerMatcher {
    /// Creates a matcher for a statement. `previous` is the answer to the statement before on the same connection, see
    /// [`AnswerMatcher::last_answer`]; none on a new connection.
    pub fn new(previous: Option<AnswerDigest>) -> AnswerMatcher {
        AnswerMatcher {
            previous,
            hasher: DefaultHasher::new(),
            outcome: None,
            empty_query: EmptyQuery::NotSent,
            matched: None,
        }
    }

    /// Handles any message of an answer, before the calls that concern the message in particular.
    pub fn on_message(&mut self, tag: u8, body: &[u8]) {
        self.hasher.write_u8(tag);
        self.hasher.write_usize(body.len());
        self.hasher.write(body);
    }

    /// Handles the message that completes a row or an error.
    pub fn on_outcome_complete(&mut self) -> OutcomeUse {
        let digest = self.hasher.finish();
        self.outcome = Some(digest);
        match self.previous {
            Some(previous) if previous.outcome == digest => OutcomeUse::Withhold,
            _ => OutcomeUse::Use,
        }
    }

    /// Handles the ReadyForQuery that completes an answer with an outcome.
    pub fn on_answer_complete(&mut self) -> AnswerUse {
        let complete = self.hasher.finish();
        let answer = self
            .outcome
            .take()
            .map(|outcome| AnswerDigest { outcome, complete });
        self.hasher = DefaultHasher::new();
        let is_repeated = answer.is_some() && answer == self.previous;
        if !is_repeated || self.empty_query == EmptyQuery::Answered {
            self.matched = answer;
            return AnswerUse::Use;
        }
        let send_empty_query = self.empty_query == EmptyQuery::NotSent;
        self.empty_query = EmptyQuery::Sent;
        AnswerUse::Withhold { send_empty_query }
    }

    /// Handles an EmptyQueryResponse that follows a complete answer. Returns whether it answers the empty query that was
    /// sent, so that the answer withheld last is the statement's.
    #[must_use]
    pub fn on_empty_query_answered(&mut self) -> bool {
        let was_sent = self.empty_query == EmptyQuery::Sent;
        if was_sent {
            self.empty_query = EmptyQuery::Answered;
        }
        was_sent
    }

    /// Whether the answers to everything that was sent have been received.
    pub fn is_in_step(&self) -> bool {
        self.empty_query != EmptyQuery::Sent
    }

    /// The answer of which a copy may still arrive when the connection is used again.
    ///
    /// None behind an empty query, as a server answers in order: a copy would have arrived ahead of its answer.
    pub fn last_answer(&self) -> Option<AnswerDigest> {
        self.matched
            .filter(|_| self.empty_query == EmptyQuery::NotSent)
    }
}
