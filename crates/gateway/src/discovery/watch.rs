//! The watch of the endpoint list: makes the polls that [`EndpointWatch`] schedules, and reports their outcomes to the
//! engine.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use leverpoint_config::settings::ticks_to_duration;
use leverpoint_engine::engine::Engine;
use leverpoint_engine::metrics::increment;
use leverpoint_routing::api::{DiscoveryOutcome, EndpointState, EndpointUpdate, Ticks};
use leverpoint_routing::endpoint_watch::{
    AnswerUse, Call, EndpointWatch, Failure, FailureEvidence, ListAnswer, WatchAction,
};
use leverpoint_runtime::{Instant, now, since, sleep_until};
use tokio::sync::Notify;

use crate::discovery::endpoint_list::{EndpointList, parse_endpoint_list};
use crate::discovery::http::{LastReceived, PollError, Response, get};
use crate::io::connection::BufferedConnection;

/// Most draining servers, and most gone ones, that a log line names.
const MAX_LOGGED_SERVERS: usize = 16;

/// The address of discovery, which a reloaded configuration may change.
pub struct DiscoveryAddress {
    address: Cell<SocketAddr>,
    changed: Notify,
}

impl DiscoveryAddress {
    /// Creates the shared address of discovery.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(DiscoveryAddress {
            address: Cell::new(address),
            changed: Notify::new(),
        })
    }

    /// Changes the address, which [`run`] then polls at once; returns whether it differs from the previous one.
    pub fn set(&self, address: SocketAddr) -> bool {
        let changed = self.address.replace(address) != address;
        if changed {
            self.changed.notify_one();
        }
        changed
    }
}

/// Watches the endpoint list; never returns.
///
/// Discovery at a changed address is polled at once; the list stays in use until it has answered.
pub async fn run(discovery: Rc<DiscoveryAddress>, engine: Rc<Engine>, log: slog::Logger) {
    let mut watcher = ListWatcher::new(&discovery, engine, log);
    loop {
        tokio::select! {
            biased;
            () = discovery.changed.notified() => watcher.on_address_changed(discovery.address.get()),
            () = watcher.step() => {}
        }
    }
}

type PollFuture = Pin<Box<dyn Future<Output = Result<Response, PollError>>>>;

/// A request to discovery that has not been answered.
struct InFlightPoll {
    /// The id that the schedule has given the poll.
    id: u64,
    path: String,
    started: Instant,
    last_received: LastReceived,
    future: PollFuture,
}

/// State of the watch: the polls in flight and the schedule of further ones.
struct ListWatcher {
    address: SocketAddr,
    engine: Rc<Engine>,
    schedule: EndpointWatch,
    in_flight: Vec<InFlightPoll>,
    /// The connection of the last response, if discovery keeps it open.
    idle_connection: Option<BufferedConnection>,
    /// Time zero of the schedule's ticks.
    epoch: Instant,
    poll_log: PollLog,
}

impl ListWatcher {
    fn new(discovery: &DiscoveryAddress, engine: Rc<Engine>, log: slog::Logger) -> Self {
        let routing = &engine.settings.routing;
        let restored_revision = engine
            .has_endpoint_list()
            .then(|| engine.endpoint_list_revision());
        let schedule = EndpointWatch::new(
            routing.endpoint_list.pushed,
            routing.protection.drain_grace,
            restored_revision,
            routing.seed ^ routing.gateway_index as u64,
        );
        ListWatcher {
            address: discovery.address.get(),
            engine,
            schedule,
            in_flight: Vec::new(),
            idle_connection: None,
            epoch: now(),
            poll_log: PollLog::new(log),
        }
    }

    fn ticks(&self, at: Instant) -> Ticks {
        (at.saturating_duration_since(self.epoch).as_nanos() / 100_000) as Ticks
    }

    /// Drops all polls and starts anew at another address.
    fn on_address_changed(&mut self, address: SocketAddr) {
        self.address = address;
        self.in_flight.clear();
        self.idle_connection = None;
        self.schedule.on_discovery_moved();
        self.engine.on_discovery_outcome(DiscoveryOutcome::Moved);
    }

    /// Starts or abandons one poll, or waits until a poll finishes or the next action is due.
    async fn step(&mut self) {
        for poll in &self.in_flight {
            if let Some(at) = poll.last_received.get() {
                self.schedule.on_answer_progress(poll.id, self.ticks(at));
            }
        }
        match self.schedule.next_action(self.ticks(now())) {
            WatchAction::Begin { id, call } => self.begin(id, call),
            WatchAction::Abandon { id } => self.abandon(id),
            WatchAction::Wait { until } => {
                // One tick later, so that rounding can't end the sleep before the action is due.
                let until = self.epoch + ticks_to_duration(until + 1);
                tokio::select! {
                    biased;
                    (index, result) = first_finished(&mut self.in_flight) => {
                        let poll = self.in_flight.remove(index);
                        self.on_poll_finished(poll, result);
                    }
                    () = sleep_until(until) => {}
                }
            }
        }
    }

    /// Starts a poll; the schedule refers to it by `id`.
    fn begin(&mut self, id: u64, call: Call) {
        let path = match call {
            Call::Full => "/api/targets".to_owned(),
            Call::Watch { since, wait } => format!("/api/targets?index={since}&wait={}", wait / 10),
        };
        let last_received = LastReceived::default();
        let future = Box::pin(get(
            self.address,
            self.idle_connection.take(),
            path.clone(),
            last_received.clone(),
        ));
        self.in_flight.push(InFlightPoll {
            id,
            path,
            started: now(),
            last_received,
            future,
        });
    }

    /// Drops a poll and counts it as timed out.
    fn abandon(&mut self, id: u64) {
        if let Some(index) = self.in_flight.iter().position(|poll| poll.id == id) {
            let poll = self.in_flight.remove(index);
            self.on_poll_failed(&poll, &PollError::TimedOut);
        }
    }

    /// Handles the result of a poll: uses its list or reports its failure.
    fn on_poll_finished(&mut self, poll: InFlightPoll, result: Result<Response, PollError>) {
        let at = self.ticks(now());
        let (list, idle_connection) = match result {
            Ok(response) => (
                parse_endpoint_list(&response.body).ok_or(PollError::InvalidList),
                response.idle_connection,
            ),
            Err(error) => (Err(error), None),
        };
        let list = match list {
            Ok(list) => list,
            Err(error) => {
                let failure = match error {
                    PollError::Refused(_) => Failure::Refused,
                    PollError::Unreachable(_) => Failure::Unreachable,
                    PollError::UnexpectedStatus(_)
                    | PollError::Io(_)
                    | PollError::InvalidList
                    | PollError::TimedOut => Failure::Broken,
                };
                match self.schedule.on_failed(poll.id, at, failure) {
                    FailureEvidence::Refused => {
                        self.engine.on_discovery_outcome(DiscoveryOutcome::Refused)
                    }
                    FailureEvidence::Unreachable { ago } => self
                        .engine
                        .on_discovery_outcome(DiscoveryOutcome::Unreachable { ago }),
                    FailureEvidence::None => {}
                }
                self.on_poll_failed(&poll, &error);
                return;
            }
        };
        let answer = ListAnswer {
            revision: list.revision,
            full: list.full,
        };
        match self.schedule.on_answered(poll.id, at, answer) {
            AnswerUse::Use => {
                self.idle_connection = idle_connection;
                self.in_flight.clear();
                self.on_list(&list);
            }
            AnswerUse::Ignore => self.on_poll_failed(&poll, &PollError::InvalidList),
        }
    }

    /// Passes a list to the engine.
    fn on_list(&mut self, list: &EndpointList) {
        increment(&self.engine.metrics.lists_received);
        self.poll_log.on_list(list);
        if list.full || !list.entries.is_empty() {
            let update = if list.full {
                EndpointUpdate::Full
            } else {
                EndpointUpdate::Changes
            };
            self.engine
                .on_endpoint_list(update, list.revision, &list.entries);
        }
        self.engine
            .on_discovery_outcome(DiscoveryOutcome::Confirmed);
    }

    /// Counts and logs a failed poll.
    fn on_poll_failed(&mut self, poll: &InFlightPoll, error: &PollError) {
        let metrics = &self.engine.metrics;
        increment(&metrics.list_failures);
        match error {
            PollError::TimedOut => increment(&metrics.list_timeouts),
            PollError::Refused(_) => increment(&metrics.list_refusals),
            _ => {}
        }
        self.poll_log.on_failed(poll, error, &self.engine);
    }
}

/// Waits for the first of these polls to finish; returns its index and result.
async fn first_finished(in_flight: &mut [InFlightPoll]) -> (usize, Result<Response, PollError>) {
    poll_fn(|context| {
        for (index, poll) in in_flight.iter_mut().enumerate() {
            if let Poll::Ready(result) = poll.future.as_mut().poll(context) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Logs polls: every list that has entries, the first of consecutive failures and each time that their number has doubled,
/// and the first list after failures.
struct PollLog {
    log: slog::Logger,
    /// Polls that have failed since the last list.
    failures: u64,
    /// When the first of these failures was found.
    failing_since: Option<Instant>,
}

impl PollLog {
    fn new(log: slog::Logger) -> Self {
        PollLog {
            log,
            failures: 0,
            failing_since: None,
        }
    }

    fn on_list(&mut self, list: &EndpointList) {
        if let Some(started) = self.failing_since.take() {
            slog::info!(self.log, "discovery answers again"; "revision" => list.revision,
                "failed_calls" => self.failures, "failing_ms" => since(started).as_millis());
        }
        self.failures = 0;
        let uids_in_state = |state: EndpointState| {
            let matching = list.entries.iter().filter(|entry| entry.state == state);
            matching
                .take(MAX_LOGGED_SERVERS)
                .map(|entry| entry.uid.as_str())
                .collect::<Vec<_>>()
                .join(" ")
        };
        if !list.entries.is_empty() {
            slog::info!(self.log, "endpoint list updated"; "revision" => list.revision, "whole" => list.full,
                "entries" => list.entries.len(), "draining" => uids_in_state(EndpointState::Draining),
                "gone" => uids_in_state(EndpointState::Gone));
        }
    }

    fn on_failed(&mut self, poll: &InFlightPoll, error: &PollError, engine: &Engine) {
        self.failures += 1;
        self.failing_since.get_or_insert_with(now);
        if self.failures.is_power_of_two() {
            let (age, _) = engine.endpoint_list_age();
            slog::warn!(self.log, "discovery failed"; "why" => error.to_string(), "call" => &poll.path,
                "took_ms" => since(poll.started).as_millis(), "failed_calls" => self.failures,
                "held" => engine.endpoint_list_revision(),
                "list_age_ms" => age.map(|age| age.as_millis() as u64));
        }
    }
}
