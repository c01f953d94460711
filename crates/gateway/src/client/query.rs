//! Simple queries: requests to the databases, and queries that the gateway answers itself.

use std::future::pending;
use std::io;
use std::pin::pin;

use leverpoint_backpressure::MessageEffect;
use leverpoint_engine::client_connections::BufferReservation;
use leverpoint_engine::diagnostics::LateAnswer;
use leverpoint_engine::engine::{FinalAnswer, PendingRequest, Rejection};
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, failpoint_active, since, sleep_until, timeout};

use crate::client::Client;
use crate::client::response::Delivery;
use crate::postgres::cancel_keys::CancelKey;
use crate::postgres::messages;
use crate::postgres::query_comment::{self, Query};

/// Appends the error of a shed request; its detail is the milliseconds after which to retry, unless they are 0.
fn put_shed_error(out: &mut Vec<u8>, retry_after_ms: u64) {
    let detail = (retry_after_ms > 0).then(|| retry_after_ms.to_string());
    messages::put_error_response(out, false, "53300", "throttled", detail.as_deref());
}

impl Client {
    /// Handles a Query message whose last byte was received at `received`.
    ///
    /// The buffer reservation for `body` is held until the query is answered. Returns what the query led to.
    pub(super) async fn handle_query(
        &mut self,
        mut body: Vec<u8>,
        received: Instant,
        _reservation: Option<BufferReservation>,
    ) -> io::Result<MessageEffect> {
        if body.pop() != Some(0) || body.contains(&0) {
            let reason = "a query must end with its only zero byte";
            return self.reject_query("08P01", reason).await;
        }
        let Ok(text) = std::str::from_utf8(&body) else {
            return self.reject_query("22021", "a query must be UTF-8").await;
        };
        let request = match query_comment::parse_query(text) {
            Ok(Query::Empty) => {
                self.answer_readiness_check().await?;
                return Ok(MessageEffect::NoRequest);
            }
            Ok(Query::Session(tag)) => {
                let mut out = Vec::new();
                messages::put_message(&mut out, b'C', &[tag.as_bytes(), b"\0"]);
                self.write_with_ready(out, None).await?;
                return Ok(MessageEffect::NoRequest);
            }
            Ok(Query::Request(request)) => request,
            Err((code, reason)) => return self.reject_query(code, &reason).await,
        };
        if !self.admission.has_capacity {
            self.reject_without_capacity().await?;
            return Ok(MessageEffect::Request);
        }
        assert!(
            !(failpoint_active("panic") && text.contains("c=history")),
            "planted"
        );
        self.look_for_disconnect().await?;
        let accepted = match self
            .engine
            .on_request(&request, text, received, &self.registration)
        {
            Ok(accepted) => accepted,
            Err(Rejection::Invalid(code, reason)) => return self.reject_query(code, &reason).await,
            Err(Rejection::Shed(retry_after_ms, deadline)) => {
                let mut out = Vec::new();
                put_shed_error(&mut out, retry_after_ms);
                self.write_with_ready(out, Some(Delivery::new(deadline)))
                    .await?;
                return Ok(MessageEffect::Request);
            }
        };
        drop(body);
        self.answer_request(accepted).await?;
        Ok(MessageEffect::Request)
    }

    /// Answers a query that leads to no request with an error.
    async fn reject_query(&mut self, code: &str, reason: &str) -> io::Result<MessageEffect> {
        self.reject(code, reason, true).await?;
        Ok(MessageEffect::NoRequest)
    }

    /// Answers an empty query once an endpoint list has been received.
    ///
    /// Load balancers check the gateway's readiness with such a query.
    async fn answer_readiness_check(&mut self) -> io::Result<()> {
        let engine = self.engine.clone();
        let ready = timeout(self.longest_timeout, engine.endpoint_list_received());
        if self.read_ahead_until(pin!(ready)).await?.is_err() {
            return self.reject("57P03", "no list of servers yet", true).await;
        }
        let mut out = Vec::new();
        messages::put_message(&mut out, b'I', &[]);
        self.write_with_ready(out, None).await
    }

    /// Rejects a request of a connection beyond the number that may be open.
    ///
    /// The error is fatal if no further input has been received.
    async fn reject_without_capacity(&mut self) -> io::Result<()> {
        increment(&self.engine.metrics.clients.refused);
        // Further requests that were received get answers of their own.
        let is_last = self.connection.input.is_empty() && !self.read_available()?;
        self.admission.rejected = is_last;
        let mut out = Vec::new();
        messages::put_error_response(&mut out, is_last, "53300", "too many connections", None);
        if is_last {
            self.write(&out).await
        } else {
            self.write_with_ready(out, None).await
        }
    }

    /// Waits for the outcome of a request and answers it.
    async fn answer_request(&mut self, accepted: PendingRequest) -> io::Result<()> {
        let (class, mut delivery) = (accepted.class, Delivery::new(accepted.answer_deadline));
        let (id, queued, deadline) = (
            accepted.id.clone(),
            accepted.queued,
            accepted.answer_deadline,
        );
        let cancel_key = self.cancel_key.take();
        let outcome = self.wait_for_outcome(accepted, cancel_key.as_ref()).await?;
        self.cancel_key = cancel_key;
        let late = since(deadline);
        if !late.is_zero() {
            self.engine.on_late_answer(&LateAnswer {
                id: &id,
                class,
                queued,
                late,
            });
        }
        let mut out = Vec::new();
        match outcome {
            Some(FinalAnswer::Answered(row)) => {
                if let Some(token) = &row.session_token {
                    messages::put_notice_response(&mut out, "what this session has written", token);
                }
                out.extend(row.messages);
                delivery.class = Some(class);
                delivery.reservations = row.reservations;
            }
            Some(FinalAnswer::Shed(retry_after_ms)) => put_shed_error(&mut out, retry_after_ms),
            Some(FinalAnswer::Failed) => {
                messages::put_error_response(
                    &mut out,
                    false,
                    "58000",
                    "no server has answered",
                    None,
                );
            }
            None => messages::put_error_response(
                &mut out,
                false,
                "57014",
                "cancelled by its client",
                None,
            ),
        }
        self.write_with_ready(out, Some(delivery)).await
    }

    /// Waits for the outcome of a request; none if the client cancels it.
    ///
    /// # Errors
    ///
    /// The client has disconnected.
    async fn wait_for_outcome(
        &mut self,
        accepted: PendingRequest,
        cancel_key: Option<&CancelKey>,
    ) -> io::Result<Option<FinalAnswer>> {
        let deadline = accepted.answer_deadline;
        let open_request = cancel_key.map(CancelKey::open_request);
        let cancelled = async {
            match &open_request {
                Some(open_request) => open_request.cancelled().await,
                None => pending().await,
            }
        };
        let outcome = async {
            tokio::select! {
                biased;
                outcome = accepted => Some(outcome),
                () = cancelled => None,
                () = sleep_until(deadline), if !failpoint_active("wait-without-end") => Some(FinalAnswer::Failed),
            }
        };
        self.read_ahead_until(pin!(outcome)).await
    }
}
