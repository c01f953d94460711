//! Simple queries: requests to the databases, and what the gateway answers by itself.

use std::future::pending;
use std::io;
use std::pin::pin;

use leverpoint_engine::client_connections::BufferReservation;
use leverpoint_engine::engine::{FinalAnswer, PendingRequest, Rejection};
use leverpoint_engine::metrics::increment;
use leverpoint_runtime::{Instant, failpoint_active, sleep_until, timeout};

use crate::client::Client;
use crate::client::response::Delivery;
use crate::postgres::cancel_keys::CancelKey;
use crate::postgres::messages;
use crate::postgres::query_comment::{self, Query};

/// Appends that a request is shed, with the milliseconds after which to retry unless they are 0.
fn put_shed(out: &mut Vec<u8>, retry_after_ms: u64) {
    let detail = (retry_after_ms > 0).then(|| retry_after_ms.to_string());
    messages::put_error_response(out, false, "53300", "throttled", detail.as_deref());
}

impl Client {
    /// Handles a Query message whose last byte was received at `received`.
    pub(super) async fn handle_query(
        &mut self,
        mut body: Vec<u8>,
        received: Instant,
        _room: Option<BufferReservation>,
    ) -> io::Result<()> {
        if body.pop() != Some(0) || body.contains(&0) {
            return self
                .refuse("08P01", "a query must end with its only zero byte", true)
                .await;
        }
        let Ok(text) = std::str::from_utf8(&body) else {
            return self.refuse("22021", "a query must be UTF-8", true).await;
        };
        let request = match query_comment::parse_query(text) {
            Ok(Query::Empty) => return self.answer_readiness_check().await,
            Ok(Query::Session(tag)) => {
                let mut out = Vec::new();
                messages::put_message(&mut out, b'C', &[tag.as_bytes(), b"\0"]);
                return self.conclude(out, None).await;
            }
            Ok(Query::Request(request)) => request,
            Err((code, why)) => return self.refuse(code, &why, true).await,
        };
        if !self.admission.has_capacity {
            return self.reject_without_capacity().await;
        }
        assert!(
            !(failpoint_active("panic") && text.contains("c=history")),
            "planted"
        );
        let ticket = match self.engine.on_request(&request, text, received, &self.peer) {
            Ok(ticket) => ticket,
            Err(Rejection::Invalid(code, why)) => return self.refuse(code, &why, true).await,
            Err(Rejection::Shed(ms, until)) => {
                let mut out = Vec::new();
                put_shed(&mut out, ms);
                return self.conclude(out, Some(Delivery::new(until))).await;
            }
        };
        drop(body);
        self.answer_request(ticket).await
    }

    /// Answers an empty query once there is an endpoint list: a load balancer checks the gateway's readiness by it.
    async fn answer_readiness_check(&mut self) -> io::Result<()> {
        let engine = self.engine.clone();
        let ready = timeout(self.longest_timeout, engine.endpoint_list_received());
        if self.read_ahead_until(pin!(ready)).await?.is_err() {
            return self.refuse("57P03", "no list of servers yet", true).await;
        }
        let mut out = Vec::new();
        messages::put_message(&mut out, b'I', &[]);
        self.conclude(out, None).await
    }

    /// Rejects a request of a connection beyond the number that may be open.
    async fn reject_without_capacity(&mut self) -> io::Result<()> {
        increment(&self.engine.metrics.clients.refused);
        // What stands behind it is here as well, and gets an answer of its own.
        let last = self.connection.input.is_empty() && !self.read_available()?;
        self.admission.rejected = last;
        let mut out = Vec::new();
        messages::put_error_response(&mut out, last, "53300", "too many connections", None);
        if last {
            self.write(&out).await
        } else {
            self.conclude(out, None).await
        }
    }

    /// Waits for the outcome of a request and answers it.
    async fn answer_request(&mut self, ticket: PendingRequest) -> io::Result<()> {
        let (class, mut delivery) = (ticket.class, Delivery::new(ticket.answer_deadline));
        let key = self.cancel_key.take();
        let outcome = self.wait_for_outcome(ticket, key.as_ref()).await?;
        self.cancel_key = key;
        let mut out = Vec::new();
        match outcome {
            Some(FinalAnswer::Answered(row)) => {
                if let Some(token) = &row.session_token {
                    messages::put_notice_response(&mut out, "what this session has written", token);
                }
                out.extend(row.messages);
                delivery.class = Some(class);
                delivery.rooms = row.reservations;
            }
            Some(FinalAnswer::Shed(ms)) => put_shed(&mut out, ms),
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
        self.conclude(out, Some(delivery)).await
    }

    /// Waits for the outcome of a request; none where the client has cancelled it.
    async fn wait_for_outcome(
        &mut self,
        ticket: PendingRequest,
        key: Option<&CancelKey>,
    ) -> io::Result<Option<FinalAnswer>> {
        let until = ticket.answer_deadline;
        let open = key.map(CancelKey::open_request);
        let cancelled = async {
            match &open {
                Some(open) => open.cancelled().await,
                None => pending().await,
            }
        };
        let outcome = async {
            tokio::select! {
                biased;
                outcome = ticket => Some(outcome),
                () = cancelled => None,
                () = sleep_until(until), if !failpoint_active("wait-without-end") => Some(FinalAnswer::Failed),
            }
        };
        self.read_ahead_until(pin!(outcome)).await
    }
}
