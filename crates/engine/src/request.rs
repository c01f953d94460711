//! Requests and final answers as exchanged between the client side and the engine.

use std::cell::Cell;
use std::future::Future;
use std::ops::Range;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use leverpoint_runtime::Instant;
use tokio::sync::oneshot;

use crate::client_connections::BufferReservation;
use crate::engine::Engine;

/// The least position that a read must observe, as stated by the client.
#[derive(Debug, PartialEq)]
pub enum RequiredPosition<'a> {
    /// A replication position, in Unix milliseconds.
    UnixMs(f64),
    /// A session token issued by this or another gateway; not verified yet.
    Token(&'a str),
}

/// Parameters of a request, taken from its statement and the comment in it.
#[derive(Debug, PartialEq)]
pub struct RequestHeader<'a> {
    /// The request's id, unique among open requests.
    pub id: &'a str,
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the tenant; needed only where the settings have tenants.
    pub tenant: Option<&'a str>,
    /// Number of the replica set.
    pub set: u16,
    /// The client's timeout in milliseconds.
    pub timeout_ms: f64,
    /// The idempotency key; empty if there is none.
    pub idempotency_key: &'a str,
    /// Whether the client has sent the request before and retries it.
    pub client_retry: bool,
    /// Position that a read must observe; none if the client states none.
    pub required_position: Option<RequiredPosition<'a>>,
    /// The quoted key in the statement, which identifies the session.
    pub session_key: &'a str,
    /// Whether the statement writes.
    pub write: bool,
    /// Byte range of the comment's timeout value in the statement.
    pub timeout_range: Range<usize>,
}

/// Statement of a request. It is forwarded unchanged except for the value of its timeout.
pub struct Statement {
    /// The text as sent by the client.
    pub text: Box<[u8]>,
    /// Byte range of the timeout value in `text`.
    pub timeout_range: Range<usize>,
    /// Whether the statement writes.
    pub write: bool,
}

/// A row as the messages that the server sent.
#[derive(Default)]
pub struct Row {
    /// The concatenated protocol messages.
    pub messages: Vec<u8>,
    /// Buffer reservations that cover `messages`.
    pub reservations: Vec<BufferReservation>,
    /// Token with which the client can later prove the position that its session has written.
    pub session_token: Option<String>,
}

/// The reason why a request is not accepted.
#[derive(Debug)]
pub enum Rejection {
    /// The request is invalid; holds the SQLSTATE and the message for the client.
    Invalid(&'static str, String),
    /// The request is shed; holds the milliseconds to wait before a retry, 0 for no advice, and the deadline of this
    /// answer.
    Shed(u64, Instant),
}

/// The final answer of a request.
#[must_use]
pub enum FinalAnswer {
    /// The row with which a server answered.
    Answered(Row),
    /// The request was shed; holds the milliseconds to wait before a retry, 0 for no advice.
    Shed(u64),
    /// No server answered. The request may have been executed.
    Failed,
}

/// Stage of a request with respect to routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestStage {
    /// Its replica holders are being asked; holds the number of the preparation.
    Preparing(u64),
    /// It was passed to the router under this index.
    Routed(usize),
    /// It ended without being routed.
    Ended,
}

/// A future of a request's final answer.
///
/// Dropping it before the answer reports to the engine that the client has disconnected.
pub struct PendingRequest {
    pub(crate) engine: Rc<Engine>,
    pub(crate) stage: Rc<Cell<RequestStage>>,
    pub(crate) answer_receiver: oneshot::Receiver<FinalAnswer>,
    pub(crate) answered: bool,
    /// The request's id.
    pub id: Box<str>,
    /// How long the request had waited behind others of its connection when it was accepted.
    pub queued: Duration,
    /// Index of the request class.
    pub class: usize,
    /// When the answer stops being of use: the request's deadline plus the settings' answer slack. The router answers
    /// well before.
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
