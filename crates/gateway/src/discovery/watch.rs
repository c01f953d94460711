//! The watch of the endpoint list: makes the polls that [`EndpointWatch`] decides on, and reports their outcomes to the
//! exchange.

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

/// Most servers that the log names of those that drain or are gone.
const MAX_LOGGED_SERVERS: usize = 16;

/// The address of discovery, which a reloaded configuration may change.
pub struct DiscoveryAddress {
    address: Cell<SocketAddr>,
    moved: Notify,
}

impl DiscoveryAddress {
    /// Discovery at this address.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(DiscoveryAddress {
            address: Cell::new(address),
            moved: Notify::new(),
        })
    }

    /// Changes the address at once; returns whether it is another than before.
    pub fn set(&self, address: SocketAddr) -> bool {
        let moved = self.address.replace(address) != address;
        if moved {
            self.moved.notify_one();
        }
        moved
    }
}

/// Watches the list for as long as the gateway runs.
///
/// Discovery at a changed address is polled at once; until it has answered the list stands as it is.
pub async fn run(agent: Rc<DiscoveryAddress>, exchange: Rc<Engine>, log: slog::Logger) {
    let mut watcher = ListWatcher::new(&agent, exchange, log);
    loop {
        tokio::select! {
            biased;
            () = agent.moved.notified() => watcher.on_address_changed(agent.address.get()),
            () = watcher.step() => {}
        }
    }
}

type PollFuture = Pin<Box<dyn Future<Output = Result<Response, PollError>>>>;

/// A poll that has not been answered.
struct PollInFlight {
    id: u64,
    path: String,
    began: Instant,
    last_received: LastReceived,
    future: PollFuture,
}

/// The watch of the endpoint list: the polls in flight and the state that decides on the next one.
struct ListWatcher {
    address: SocketAddr,
    exchange: Rc<Engine>,
    calls: EndpointWatch,
    in_flight: Vec<PollInFlight>,
    /// A connection that the last call has left open.
    kept: Option<BufferedConnection>,
    /// Times that `calls` is told count from here.
    epoch: Instant,
    poll_log: PollLog,
}

impl ListWatcher {
    fn new(agent: &DiscoveryAddress, exchange: Rc<Engine>, log: slog::Logger) -> Self {
        let facts = &exchange.settings.routing;
        let remembered = exchange
            .has_endpoint_list()
            .then(|| exchange.endpoint_list_revision());
        let calls = EndpointWatch::new(
            facts.endpoint_list.pushed,
            facts.protection.drain_grace,
            remembered,
            facts.seed ^ facts.gateway_index as u64,
        );
        ListWatcher {
            address: agent.address.get(),
            exchange,
            calls,
            in_flight: Vec::new(),
            kept: None,
            epoch: now(),
            poll_log: PollLog::new(log),
        }
    }

    fn ticks(&self, at: Instant) -> Ticks {
        (at.saturating_duration_since(self.epoch).as_nanos() / 100_000) as Ticks
    }

    /// Starts over at another address.
    fn on_address_changed(&mut self, address: SocketAddr) {
        self.address = address;
        self.in_flight.clear();
        self.kept = None;
        self.calls.on_discovery_moved();
        self.exchange.on_discovery_outcome(DiscoveryOutcome::Moved);
    }

    /// Starts or gives up one poll, or waits for the next event.
    async fn step(&mut self) {
        for call in &self.in_flight {
            if let Some(at) = call.last_received.get() {
                self.calls.on_answer_progress(call.id, self.ticks(at));
            }
        }
        match self.calls.next_action(self.ticks(now())) {
            WatchAction::Begin { id, call } => self.begin(id, call),
            WatchAction::Abandon { id } => self.abandon(id),
            WatchAction::Wait { until } => {
                // Rounded up, so that the time has come once this is over.
                let until = self.epoch + ticks_to_duration(until + 1);
                tokio::select! {
                    biased;
                    (at, result) = first_finished(&mut self.in_flight) => {
                        let poll = self.in_flight.remove(at);
                        self.on_poll_finished(poll, result);
                    }
                    () = sleep_until(until) => {}
                }
            }
        }
    }

    /// Starts a poll.
    fn begin(&mut self, id: u64, what: Call) {
        let path = match what {
            Call::Full => "/api/targets".to_owned(),
            Call::Watch { since, wait } => format!("/api/targets?index={since}&wait={}", wait / 10),
        };
        let last_received = LastReceived::default();
        let future = Box::pin(get(
            self.address,
            self.kept.take(),
            path.clone(),
            last_received.clone(),
        ));
        self.in_flight.push(PollInFlight {
            id,
            path,
            began: now(),
            last_received,
            future,
        });
    }

    /// Gives up a poll.
    fn abandon(&mut self, id: u64) {
        if let Some(at) = self.in_flight.iter().position(|call| call.id == id) {
            let call = self.in_flight.remove(at);
            self.failed(&call, &PollError::TimedOut);
        }
    }

    /// Takes the result of a poll.
    fn on_poll_finished(&mut self, call: PollInFlight, result: Result<Response, PollError>) {
        let at = self.ticks(now());
        let (list, kept) = match result {
            Ok(answer) => (
                parse_endpoint_list(&answer.body).ok_or(PollError::NotAList),
                answer.kept,
            ),
            Err(error) => (Err(error), None),
        };
        let list = match list {
            Ok(list) => list,
            Err(error) => {
                let failure = match error {
                    PollError::Refused(_) => Failure::Refused,
                    PollError::Unreachable(_) => Failure::Unreachable,
                    PollError::Status(_)
                    | PollError::Broken(_)
                    | PollError::NotAList
                    | PollError::TimedOut => Failure::Broken,
                };
                match self.calls.on_failed(call.id, at, failure) {
                    FailureEvidence::Refused => self
                        .exchange
                        .on_discovery_outcome(DiscoveryOutcome::Refused),
                    FailureEvidence::Unreachable { ago } => self
                        .exchange
                        .on_discovery_outcome(DiscoveryOutcome::Unreachable { ago }),
                    FailureEvidence::None => {}
                }
                self.failed(&call, &error);
                return;
            }
        };
        let answer = ListAnswer {
            revision: list.revision,
            full: list.full,
        };
        match self.calls.on_answered(call.id, at, answer) {
            AnswerUse::Use => {
                self.kept = kept;
                self.in_flight.clear();
                self.on_list(&list);
            }
            AnswerUse::Ignore => self.failed(&call, &PollError::NotAList),
        }
    }

    /// Gives a list to the exchange.
    fn on_list(&mut self, list: &EndpointList) {
        increment(&self.exchange.metrics.lists_received);
        self.poll_log.answered(list);
        if list.full || !list.entries.is_empty() {
            let update = if list.full {
                EndpointUpdate::Full
            } else {
                EndpointUpdate::Changes
            };
            self.exchange
                .on_endpoint_list(update, list.revision, &list.entries);
        }
        self.exchange
            .on_discovery_outcome(DiscoveryOutcome::Confirmed);
    }

    fn failed(&mut self, call: &PollInFlight, error: &PollError) {
        let counters = &self.exchange.metrics;
        increment(&counters.list_failures);
        match error {
            PollError::TimedOut => increment(&counters.list_timeouts),
            PollError::Refused(_) => increment(&counters.list_refusals),
            _ => {}
        }
        self.poll_log.failed(call, error, &self.exchange);
    }
}

/// Waits for the first of these polls to finish; returns its index and result.
async fn first_finished(in_flight: &mut [PollInFlight]) -> (usize, Result<Response, PollError>) {
    poll_fn(|context| {
        for (at, call) in in_flight.iter_mut().enumerate() {
            if let Poll::Ready(result) = call.future.as_mut().poll(context) {
                return Poll::Ready((at, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Logs polls: every list that changes something, the first of consecutive failures, then each time that their number has
/// doubled, and the end of the failures.
struct PollLog {
    log: slog::Logger,
    /// Calls failed since the last answer, and when the first of them was found out.
    failures: u64,
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

    fn answered(&mut self, list: &EndpointList) {
        if let Some(began) = self.failing_since.take() {
            slog::info!(self.log, "discovery answers again"; "revision" => list.revision,
                "failed_calls" => self.failures, "failing_ms" => since(began).as_millis());
        }
        self.failures = 0;
        let named = |phase: EndpointState| {
            let of_phase = list.entries.iter().filter(|entry| entry.state == phase);
            of_phase
                .take(MAX_LOGGED_SERVERS)
                .map(|entry| entry.uid.as_str())
                .collect::<Vec<_>>()
                .join(" ")
        };
        if !list.entries.is_empty() {
            slog::info!(self.log, "endpoint list updated"; "revision" => list.revision, "whole" => list.full,
                "entries" => list.entries.len(), "draining" => named(EndpointState::Draining), "gone" => named(EndpointState::Gone));
        }
    }

    fn failed(&mut self, call: &PollInFlight, error: &PollError, exchange: &Engine) {
        self.failures += 1;
        self.failing_since.get_or_insert_with(now);
        if self.failures.is_power_of_two() {
            let (age, _) = exchange.endpoint_list_age();
            slog::warn!(self.log, "discovery failed"; "why" => error.to_string(), "call" => &call.path,
                "took_ms" => since(call.began).as_millis(), "failed_calls" => self.failures,
                "held" => exchange.endpoint_list_revision(),
                "list_age_ms" => age.map(|age| age.as_millis() as u64));
        }
    }
}
