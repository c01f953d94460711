//! The database servers of one run, at the level of connections and messages.
//!
//! # Invariants
//!
//! What a statement results in is decided by the replica set emulator alone.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::Ticks;
use leverpoint_cluster_model::replica_set::{self, Reply};
use leverpoint_runtime::{Listener, sleep};
use leverpoint_test_support::replica_set::{comment_value, encode_response, encode_status};
use leverpoint_test_support::wire::put_message;

use crate::checker::ExecutionStatus;
use crate::gateway_script::RequestClass;
use crate::run_context::{RunContext, address, class_profile};
use crate::simulation::{EventSource, START_UNIX_TIME};
use crate::wire_stream::WireStream;

impl RunContext {
    /// Accepts connections to a server.
    pub(crate) async fn run_server(self: Rc<Self>, n: usize) {
        let listen_queue = self.sim.listen(self.server_process(n), address(1, n));
        let listener = Listener::Simulated(listen_queue);
        while let Ok(stream) = listener.accept().await {
            let context = self.clone();
            leverpoint_runtime::spawn(async move {
                let _ = context
                    .serve_server_connection(n, WireStream::new(stream))
                    .await;
            });
        }
    }

    /// Reads the startup message, then executes statements one after the other until the connection ends.
    pub(crate) async fn serve_server_connection(
        &self,
        n: usize,
        mut connection: WireStream,
    ) -> std::io::Result<()> {
        let (set, member) = self.set_and_member(n);
        let head = connection.read_exact(4).await?;
        let startup_length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        connection
            .read_exact(startup_length.clamp(4, 4096) - 4)
            .await?;
        connection
            .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            .await?;
        loop {
            let (_, body) = connection.read_message(usize::MAX).await?;
            let sql = String::from_utf8_lossy(&body)
                .trim_end_matches('\0')
                .to_owned();
            if sql.is_empty() {
                let is_primary = self.cluster.replica_sets.borrow()[set].is_primary(member);
                let mut response = Vec::new();
                put_message(&mut response, b'I', b"");
                encode_status(&mut response, is_primary, None);
                connection.write_all(&response).await?;
                continue;
            }
            let Some(id) = comment_value(&sql, "id").map(str::to_owned) else {
                return Ok(());
            };
            // The second part of an id is the gateway that the client connected to.
            let gateway = id
                .split('-')
                .nth(1)
                .and_then(|g| g.parse().ok())
                .unwrap_or(0);
            self.checker
                .borrow_mut()
                .on_dispatch(self.now(), &id, gateway, n);
            self.sim
                .record(EventSource::Server, (n, &id), || format!("{n} gets {id}"));
            let wait_limit: Ticks = comment_value(&sql, "d")
                .and_then(|d| d.parse::<i64>().ok())
                .unwrap_or(0)
                * 10;
            let arrived = self.now();
            let admission = self.cluster.replica_sets.borrow_mut()[set].admit(arrived, member);
            if self.cluster.replica_sets.borrow()[set].servers[member].crashed_by_overload {
                self.checker.borrow_mut().on_cold_crash(self.now(), n);
            }
            let (reply, position, effect) = match admission {
                Err(reply) => (reply, 0, false),
                Ok(started) => {
                    let mut started = started;
                    while !started && self.now() < arrived + wait_limit {
                        sleep(Duration::from_millis(1)).await;
                        started = self.cluster.replica_sets.borrow_mut()[set]
                            .start_queued(self.now(), member);
                    }
                    if !started {
                        self.cluster.replica_sets.borrow_mut()[set].abandon_queued(member);
                        (Reply::Full, 0, false)
                    } else {
                        let group = comment_value(&sql, "c").unwrap_or_default().to_owned();
                        let (shortest, longest) = execution_time_range(&group);
                        let execution_time = self.sim.rng.borrow_mut().i64(shortest..=longest);
                        sleep(Duration::from_micros(execution_time as u64 * 100)).await;
                        let is_insert = sql.starts_with("INSERT");
                        let checks_position = self.scenario.check != "none";
                        let required = self
                            .checker
                            .borrow()
                            .required_position(&id)
                            .filter(|_| checks_position);
                        let statement = replica_set::Statement {
                            is_write: is_insert,
                            idempotency_key: comment_value(&sql, "k"),
                            required_position: required,
                        };
                        self.cluster.replica_sets.borrow_mut()[set].complete(
                            self.now(),
                            member,
                            &statement,
                        )
                    }
                }
            };
            let not_executed = reply != Reply::Row;
            let status = if not_executed {
                ExecutionStatus::NeverExecuted
            } else {
                ExecutionStatus::MayHaveExecuted
            };
            self.checker
                .borrow_mut()
                .on_execution_finished(self.now(), &id, n, status, effect);
            self.sim
                .record(EventSource::ServerResponse, (n, &id, reply), || {
                    format!("{n} answers {id}: {reply:?}")
                });
            let is_primary = self.cluster.replica_sets.borrow()[set].is_primary(member);
            if reply == Reply::Row && !sql.starts_with("INSERT") {
                let exempt = is_primary || self.cluster.was_primary.borrow().contains_key(&n);
                self.checker
                    .borrow_mut()
                    .on_read(self.now(), &id, position, exempt);
            }
            let mut response = encode_response(reply, &sql, &id);
            if self.cluster.corrupts_responses.borrow()[n] && self.sim.rng.borrow_mut().u8(..2) == 0
            {
                // Corrupts the framing, as no gateway could detect a well-formed response with a wrong value.
                let row_description_length =
                    1 + u32::from_be_bytes([response[1], response[2], response[3], response[4]])
                        as usize;
                let in_row = response.len() > row_description_length + 11
                    && self.sim.rng.borrow_mut().bool();
                let field_start = if in_row {
                    row_description_length + 7
                } else {
                    0
                };
                let corrupted_at = field_start + self.sim.rng.borrow_mut().usize(..4);
                response[corrupted_at] ^= 0x55;
                let _ = connection.write_all(&response).await;
                // Keeps the connection open without serving further statements.
                sleep(Duration::from_secs(3)).await;
                return Ok(());
            }
            let applied_position = self.cluster.replica_sets.borrow()[set]
                .applied_position(self.now(), member)
                .max(position);
            encode_status(
                &mut response,
                is_primary,
                Some(START_UNIX_TIME.as_millis() as f64 + applied_position as f64 / 10.0),
            );
            connection.write_all(&response).await?;
            if self.cluster.repeats_responses.borrow()[n] && self.sim.rng.borrow_mut().u8(..4) == 0
            {
                self.repeat_response(&mut connection, &response).await?;
            }
        }
    }

    /// Sends a response a second time, shortly after the first, unless a further statement has arrived by then.
    async fn repeat_response(
        &self,
        connection: &mut WireStream,
        response: &[u8],
    ) -> std::io::Result<()> {
        let delay_us = self.sim.rng.borrow_mut().u64(100..=1_000);
        sleep(Duration::from_micros(delay_us)).await;
        if connection.has_input()? {
            return Ok(());
        }
        connection.write_all(response).await
    }
}

/// Shortest and longest execution of a statement of this request class.
fn execution_time_range(group: &str) -> (Ticks, Ticks) {
    let groups = [
        RequestClass::Board,
        RequestClass::Own,
        RequestClass::History,
        RequestClass::Report,
        RequestClass::Order,
    ];
    groups
        .into_iter()
        .map(class_profile)
        .find(|f| f.name == group)
        .map_or((50, 150), |f| f.execution_time)
}
