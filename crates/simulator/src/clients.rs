//! The clients of one run: they send the script's requests, retry them, pick gateways and classify the responses.
//!
//! # Invariants
//!
//! A client never retries a request without an idempotency key that changes data and may have been executed.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::Ticks;
use leverpoint_runtime::{Stream, sleep, sleep_until, timeout_at};
use leverpoint_test_support::client::ResponseOutcome;
use leverpoint_test_support::client::{classify_response, notice_detail};
use leverpoint_test_support::values::expected_value;
use leverpoint_test_support::wire::{STARTUP_MESSAGE, put_message, query_message};

use crate::checker::{FinalResponse, Idempotency};
use crate::gateway_script::{RequestClass, ScriptedRequest};
use crate::run_context::{ClassProfile, NETWORK_LATENCY, RunContext, address, class_profile};
use crate::simulation::EventSource;
use crate::wire_stream::WireStream;

impl RunContext {
    /// Runs one client: sends its requests in order, each over its present connection.
    ///
    /// A slow client reads 64 bytes at a time.
    pub(crate) async fn run_client(
        self: Rc<Self>,
        n: usize,
        requests: Vec<ScriptedRequest>,
        slow: bool,
    ) {
        let mut gateway = n % self.scenario.gateways;
        let mut open_connection: Option<(WireStream, u64)> = None;
        let max_read = if slow { 64 } else { usize::MAX };
        for request in requests {
            sleep_until(self.sim.instant_at(request.at)).await;
            let class = class_profile(request.class);
            self.possible_benefit
                .set(self.possible_benefit.get() + class.benefit);
            let deadline = self.now() + class.timeout;
            let started_at = self.now();
            let idempotency_key = format!("k{n}x{}", request.at);
            let disconnect_at = request
                .hangs_up
                .map(|after| self.sim.instant_at(started_at + after));
            let mut retries = 0;
            while self.now() < deadline {
                if retries == 0 && self.sim.rng.borrow_mut().f64() < self.scenario.roams {
                    open_connection = None;
                    gateway = self.sim.rng.borrow_mut().usize(..self.scenario.gateways);
                }
                // The load balancer in front of the gateways detects a dead one late, and then tries the next.
                if open_connection.is_none() {
                    open_connection = self
                        .connect(gateway, deadline)
                        .await
                        .map(|t| (t, self.incarnation(gateway)));
                    if open_connection.is_none() {
                        gateway = (gateway + 1) % self.scenario.gateways;
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                }
                let Some((connection, incarnation)) = &mut open_connection else {
                    continue;
                };
                if connection.has_unread_bytes() {
                    self.checker
                        .borrow_mut()
                        .on_unsolicited_bytes(self.now(), gateway);
                }
                let id = format!(
                    "c{n}-{gateway}-{}",
                    self.next_id.replace(self.next_id.get() + 1)
                );
                let (sql, value_length, required_position) = self.build_statement(
                    &request,
                    &class,
                    n,
                    &id,
                    &idempotency_key,
                    deadline,
                    retries > 0,
                    gateway,
                    *incarnation,
                );
                let bytes = query_message(&sql);
                if connection.write_all(&bytes).await.is_err() {
                    open_connection = None;
                    continue;
                }
                let sent_at = self.now();
                self.checker.borrow_mut().on_request_sent(
                    sent_at,
                    &id,
                    gateway,
                    class.effects,
                    deadline,
                    value_length,
                    required_position,
                );
                if self.scenario.sessions && request.class == RequestClass::Own {
                    let write_position = self.last_writes.borrow().get(&n).map(|(at, ..)| *at);
                    self.checker
                        .borrow_mut()
                        .set_session_write_position(&id, write_position);
                }
                let give_up_at = sent_at + 2 * NETWORK_LATENCY.1 + 1_000 + deadline - sent_at;
                let until = disconnect_at.unwrap_or(self.sim.instant_at(give_up_at));
                let mut response = Vec::new();
                let read_result =
                    timeout_at(until, read_response(connection, &mut response, max_read)).await;
                let is_complete = match read_result {
                    Ok(Ok(())) => true,
                    // A complete error response, after which the connection was closed without ReadyForQuery.
                    Ok(Err(_)) => response.first() == Some(&b'E') && !connection.has_unread_bytes(),
                    Err(_) => {
                        // The client closes its connection.
                        self.checker.borrow_mut().on_request_abandoned(&id);
                        open_connection = None;
                        break;
                    }
                };
                let is_ready = matches!(read_result, Ok(Ok(())));
                if !is_complete {
                    let response_begun = !response.is_empty() || connection.has_unread_bytes();
                    self.checker
                        .borrow_mut()
                        .on_connection_lost(self.now(), &id, response_begun);
                    open_connection = None;
                    gateway = (gateway + 1) % self.scenario.gateways;
                    retries += 1;
                    if class.effects == Idempotency::NonIdempotent {
                        // It may have been executed; the client cannot tell.
                        break;
                    }
                    continue;
                }
                let incarnation = *incarnation;
                let value = row_value(&response);
                let response_outcome =
                    classify_response(&response, &expected_value(&id, value_length));
                let final_response = match response_outcome {
                    ResponseOutcome::Answered | ResponseOutcome::Wrong => FinalResponse::Answered,
                    ResponseOutcome::Throttled(_) => FinalResponse::Throttled,
                    ResponseOutcome::Failed => FinalResponse::Failed,
                };
                self.sim
                    .record(EventSource::Client, (n, final_response, &id), || {
                        format!("{n} received {final_response:?} for {id}")
                    });
                self.checker
                    .borrow_mut()
                    .on_response(self.now(), &id, final_response, &value);
                if !is_ready {
                    open_connection = None;
                }
                match response_outcome {
                    ResponseOutcome::Answered => {
                        let response_time = self.now() - started_at;
                        let benefit = if response_time <= class.target {
                            class.benefit
                        } else {
                            class.benefit * class.late_factor
                        };
                        self.benefit.set(self.benefit.get() + benefit);
                        if let Some(token) = notice_detail(&response) {
                            self.session_tokens.borrow_mut().insert(n, token);
                        }
                        if matches!(request.class, RequestClass::Report | RequestClass::Order) {
                            // A later read of the session through the same incarnation of the gateway has to reach
                            // this position: only the time of sending, as the commit came after it.
                            self.last_writes
                                .borrow_mut()
                                .insert(n, (sent_at, gateway, incarnation));
                        }
                        break;
                    }
                    ResponseOutcome::Throttled(retry_after_ms) => {
                        retries += 1;
                        sleep(Duration::from_millis(retry_after_ms.max(50))).await;
                    }
                    ResponseOutcome::Failed if class.effects == Idempotency::NonIdempotent => break,
                    ResponseOutcome::Failed => {
                        retries += 1;
                        sleep(Duration::from_millis(100)).await;
                    }
                    ResponseOutcome::Wrong => break,
                }
            }
        }
    }

    /// The statement of a request with its comment, the length of the value that it returns, and the position that a
    /// read has to reach.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn build_statement(
        &self,
        request: &ScriptedRequest,
        class: &ClassProfile,
        client: usize,
        id: &str,
        idempotency_key: &str,
        deadline: Ticks,
        is_retry: bool,
        gateway: usize,
        incarnation: u64,
    ) -> (String, usize, Option<Ticks>) {
        let remaining_ms = (deadline - self.now()) / 10;
        // The quoted key holds the length of the returned values and the session.
        let value_length = if client.is_multiple_of(7) { 6_000 } else { 300 };
        let session_key = format!("{value_length}-s{client}");
        let mut comment = format!(
            "id={id},c={},t=club,d={remaining_ms},cluster={}",
            class.name, request.set
        );
        if is_retry {
            comment += ",r=1";
        }
        if matches!(request.class, RequestClass::Report | RequestClass::Order) {
            if request.class == RequestClass::Report {
                comment += &format!(",k={idempotency_key}");
            }
            let sql = format!(
                "INSERT INTO records (k, v) VALUES ('{session_key}', '\\x9f') RETURNING v /* {comment} */"
            );
            return (sql, 64, None);
        }
        if request.class == RequestClass::Own
            && let Some(token) = self.session_tokens.borrow().get(&client)
        {
            // One read in three carries its session token, one in twelve a forged token, the others none.
            match self.sim.rng.borrow_mut().u8(..12) {
                0..=3 => comment += &format!(",after={token}"),
                4 => comment += &format!(",after={}x{}", &token[..16], &token[17..]),
                _ => {}
            }
        }
        let required_position = match request.class {
            RequestClass::Board => Some(self.now() - 30_000),
            RequestClass::Own => {
                let last_writes = self.last_writes.borrow();
                let last_write = last_writes
                    .get(&client)
                    .filter(|(_, g, i)| (*g, *i) == (gateway, incarnation));
                last_write.map(|(at, ..)| *at)
            }
            _ => None,
        };
        (
            format!("SELECT v FROM records WHERE k = '{session_key}' /* {comment} */"),
            value_length,
            required_position,
        )
    }

    /// Opens a connection to a gateway within one second and before the deadline, and reads up to ReadyForQuery.
    pub(crate) async fn connect(&self, gateway: usize, deadline: Ticks) -> Option<WireStream> {
        let until = self.sim.instant_at(deadline.min(self.now() + 10_000));
        let stream = timeout_at(until, Stream::connect(address(0, gateway), None))
            .await
            .ok()?
            .ok()?;
        let mut connection = WireStream::new(stream);
        connection.write_all(STARTUP_MESSAGE).await.ok()?;
        let is_ready = timeout_at(until, async {
            loop {
                match connection.read_message(usize::MAX).await {
                    Ok((b'Z', _)) => return true,
                    Ok(_) => {}
                    Err(_) => return false,
                }
            }
        });
        is_ready.await.ok().filter(|is_ready| *is_ready)?;
        Some(connection)
    }
}

/// Appends messages to `response` up to and including ReadyForQuery.
///
/// A slow client pauses for 2 ms after each message.
async fn read_response(
    connection: &mut WireStream,
    response: &mut Vec<u8>,
    max_read: usize,
) -> std::io::Result<()> {
    loop {
        let (tag, body) = connection.read_message(max_read).await?;
        if max_read < 1_000 {
            sleep(Duration::from_millis(2)).await;
        }
        put_message(response, tag, &body);
        if tag == b'Z' {
            return Ok(());
        }
    }
}

/// The value of the first row of a response, empty if there is none.
fn row_value(response: &[u8]) -> Vec<u8> {
    let mut rest = response;
    while let Some((tag, body)) = leverpoint_test_support::wire::read_message(&mut rest) {
        if tag == b'D' {
            let length = body
                .get(2..6)
                .map(|l| u32::from_be_bytes([l[0], l[1], l[2], l[3]]) as usize);
            let value = body.get(6..).unwrap_or_default().to_vec();
            // A value of another length than announced counts as missing.
            return if length == Some(value.len()) {
                value
            } else {
                Vec::new()
            };
        }
    }
    Vec::new()
}
