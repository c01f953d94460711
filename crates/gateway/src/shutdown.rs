//! The orderly end of a gateway.

use std::time::Duration;

use leverpoint_runtime::{now, sleep, spawn, unix_time};

use crate::gateway::Gateway;

/// How long new connections are accepted after SIGTERM: they arrive for 0.4 s at most.
const ACCEPT_GRACE: Duration = Duration::from_millis(550);
/// Longest time for which open requests are waited for, whatever their client timeouts.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(3);
/// How long after SIGTERM a request still counts as accepted in time.
const ACCEPTED_WITHIN: Duration = Duration::from_millis(700);
/// Time before the end by which all requests are answered, so that connections end and the last frames are out.
const FLUSH_TIME: Duration = Duration::from_millis(250);
/// Time for the last frames to other members.
const MEMBER_FLUSH_TIME: Duration = Duration::from_millis(20);
/// How often it is checked whether all clients have gone.
const CLIENTS_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Gateway {
    /// Accepts clients for a moment longer, then ends each connection once no request is open on it.
    pub async fn shut_down(&self) {
        slog::info!(self.log, "ending");
        let last = now() + self.engine.longest_timeout().min(MAX_REQUEST_WAIT) + ACCEPTED_WITHIN
            - FLUSH_TIME;
        let engine = self.engine.clone();
        spawn(async move { engine.end_requests_at(last).await });
        if let Some(member) = &self.member {
            // RequestHeader first, so that it is out long before the process ends.
            member.leave();
        }
        sleep(ACCEPT_GRACE).await;
        self.acceptor.stop.notify_one();
        self.acceptor.stopped.notified().await;
        self.context.eviction.evict_all();
        let last = last + FLUSH_TIME / 2;
        while self.metrics.clients.in_use() > 0 && now() < last {
            sleep(CLIENTS_POLL_INTERVAL).await;
        }
        slog::info!(self.log, "counters"; "all" => self.metrics.summary());
        slog::info!(self.log, "peers"; "all" => self.client_connections.summary());
        if let Some(replication) = &self.replication {
            // Nothing of it is open any more.
            replication.runtime.leave();
            sleep(MEMBER_FLUSH_TIME).await;
        }
        if let Some(kept) = &self.kept {
            // All that was answered has been handed over by now.
            kept.close(unix_time().as_micros() as i64 / 100);
        }
        slog::info!(self.log, "ended"; "open" => self.engine.open_requests());
    }
}
