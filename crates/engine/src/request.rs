//! A client's request and its final answer, as the client side and the engine exchange them.

use std::cell::Cell;
use std::future::Future;
use std::ops::Range;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use leverpoint_runtime::Instant;
use tokio::sync::oneshot;

use crate::client_connections::BufferReservation;
use crate::engine::Engine;

/// What a read says that its session must see.
#[derive(Debug, PartialEq)]
pub enum RequiredPosition<'a> {
    /// A replication position, in Unix milliseconds.
    UnixMs(f64),
    /// A session token that this or another gateway has issued.
    Token(&'a str),
}

/// The parameters of a request, as its statement and comment state them.
#[derive(Debug, PartialEq)]
pub struct RequestHeader<'a> {
    /// The request's id, unique among open requests.
    pub id: &'a str,
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    /// Number of the replica set.
    pub set: u16,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: f64,
    /// The idempotency key, empty where there is none.
    pub idempotency_key: &'a str,
    /// Whether the client sends the request again after an earlier attempt of its own.
    pub client_retry: bool,
    /// What a read must see.
    pub required_position: Option<RequiredPosition<'a>>,
    /// The quoted key, which names the session.
    pub session_key: &'a str,
    /// Whether the statement writes.
    pub write: bool,
    /// Where the value of the comment's timeout stands in the statement.
    pub timeout_range: Range<usize>,
}

/// A request's statement, forwarded as it came except for the value of its timeout.
pub struct Statement {
    /// The text as the client sent it.
    pub text: Box<[u8]>,
    /// Where the value of the timeout stands.
    pub timeout_range: Range<usize>,
    /// Whether the statement writes.
    pub write: bool,
}

/// The messages of a row, as the server sent them.
#[derive(Default)]
pub struct Row {
    /// The messages, one after the other.
    pub messages: Vec<u8>,
    /// Reservations for the bytes of `messages`.
    pub reservations: Vec<BufferReservation>,
    /// The token by which the client may later prove what its session has written.
    pub session_token: Option<String>,
}

/// Why a request is not accepted.
#[derive(Debug)]
pub enum Rejection {
    /// The request is invalid: an SQLSTATE and a message.
    Invalid(&'static str, String),
    /// The request is shed: milliseconds to wait before a retry, and until when this answer is owed.
    Shed(u64, Instant),
}

/// The final answer of a request.
#[must_use]
pub enum FinalAnswer {
    /// A server has answered with this row.
    Answered(Row),
    /// The request was shed; milliseconds to wait before a retry, 0 for no advice.
    Shed(u64),
    /// No server has answered.
    Failed,
}

/// How far a request has come on its way to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Its replica holders are asked first; by the number of the preparation.
    Preparing(u64),
    /// The router has it, under this index.
    Routed(usize),
    /// It ended before the router heard of it.
    Ended,
}

/// A request that waits for its final answer.
///
/// Dropping it earlier tells the engine that the client has disconnected.
pub struct PendingRequest {
    pub(crate) engine: Rc<Engine>,
    pub(crate) stage: Rc<Cell<RequestStage>>,
    pub(crate) answer_receiver: oneshot::Receiver<FinalAnswer>,
    pub(crate) answered: bool,
    /// Index of the request class.
    pub class: usize,
    /// When even a late answer no longer counts; the router has answered long before.
    pub answer_deadline: Instant,
}

impl Future for PendingRequest {
    type Output = FinalAnswer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FinalAnswer> {
        let answer = std::task::ready!(Pin::new(&mut self.answer_receiver).poll(cx));
        self.answered = true;
        Poll::Ready(answer.unwrap_or(FinalAnswer::Failed))
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.on_client_disconnected(self.stage.get());
        }
    }
}
