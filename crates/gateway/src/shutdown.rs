//! Graceful shutdown: answers the requests accepted in time, then closes the connections and leaves the fleet.

use std::time::Duration;

use leverpoint_runtime::{now, sleep, spawn, unix_time};

use crate::gateway::Gateway;

/// How long new connections are accepted after SIGTERM: clients may still connect for up to 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(550);
/// Maximum wait for open requests, even if their client timeouts are longer.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(3);
/// How long after SIGTERM a request still counts as accepted and is answered.
const REQUEST_ACCEPT_WINDOW: Duration = Duration::from_millis(700);
/// Time kept back after the last answer, so that it can be flushed and the connections closed.
const FLUSH_TIME: Duration = Duration::from_millis(250);
/// Time for the last frames to be sent to other members.
const MEMBER_FLUSH_TIME: Duration = Duration::from_millis(20);
/// How often to check whether all client connections are closed.
const CLIENTS_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Gateway {
    /// Shuts down: accepts clients for `ACCEPT_GRACE` more, then closes each connection once it has no open request.
    ///
    /// Requests that are still open at the deadline are answered without a server's answer. Returns once the answers,
    /// the last frames to other members and the session positions are written.
    pub async fn shut_down(&self) {
        slog::info!(self.log, "ending");
        let answer_deadline =
            now() + self.engine.longest_timeout().min(MAX_REQUEST_WAIT) + REQUEST_ACCEPT_WINDOW
                - FLUSH_TIME;
        let engine = self.engine.clone();
        spawn(async move { engine.end_requests_at(answer_deadline).await });
        if let Some(member) = &self.member {
            // Before all else, so that other members learn of it long before the process ends.
            member.leave();
        }
        sleep(ACCEPT_GRACE).await;
        self.acceptor.stop.notify_one();
        self.acceptor.stopped.notified().await;
        self.context.eviction.evict_all();
        let close_deadline = answer_deadline + FLUSH_TIME / 2;
        while self.metrics.clients.in_use() > 0 && now() < close_deadline {
            sleep(CLIENTS_POLL_INTERVAL).await;
        }
        slog::info!(self.log, "counters"; "all" => self.metrics.summary());
        slog::info!(self.log, "peers"; "all" => self.client_connections.summary());
        if let Some(replication) = &self.replication {
            // No write of this gateway is open any more.
            replication.runtime.leave();
            sleep(MEMBER_FLUSH_TIME).await;
        }
        if let Some(position_writer) = &self.position_writer {
            // The positions of all answered writes are queued by now.
            position_writer.close(unix_time().as_micros() as i64 / 100);
        }
        slog::info!(self.log, "ended"; "open" => self.engine.open_requests());
    }
}
