//! Counters of requests, attempts, connections and calls to discovery. They are only incremented and printed.

use std::cell::Cell;
use std::fmt::Write;

use leverpoint_routing::api::AttemptOutcome;

/// Outcomes of attempts with the names of their counters. Operators' scripts match these names, so they don't follow
/// renames of the variants.
const OUTCOMES: [(AttemptOutcome, &str); 9] = [
    (AttemptOutcome::Answered, "Answered"),
    (AttemptOutcome::Error, "Error"),
    (AttemptOutcome::Overloaded, "Full"),
    (AttemptOutcome::TimedOut, "TimedOut"),
    (AttemptOutcome::NotConnected, "NotConnected"),
    (AttemptOutcome::Reset, "Reset"),
    (AttemptOutcome::Cancelled, "Cancelled"),
    (AttemptOutcome::NotSent, "NotSent"),
    (AttemptOutcome::NotCaughtUp, "Missed"),
];

type Counter = Cell<u64>;

/// The gateway's counters since its start.
#[derive(Default)]
pub struct Metrics {
    requests_by_class: Vec<(String, Counter)>,
    /// Requests answered with the row of a server.
    pub answered: Counter,
    /// Requests shed: answered with an error after which the client may retry.
    pub shed: Counter,
    /// Requests answered with an error, as no server answered them.
    pub failed: Counter,
    disconnected: Counter,
    attempts: Counter,
    outcomes: [Counter; OUTCOMES.len()],
    /// Connections of clients.
    pub clients: ConnectionMetrics,
    /// Connections to servers.
    pub servers: ConnectionMetrics,
    /// Endpoint lists received.
    pub lists_received: Counter,
    /// Calls for endpoint lists that failed.
    pub list_failures: Counter,
    /// Failed calls that discovery rejected.
    pub list_refusals: Counter,
    /// Failed calls that discovery did not answer in time.
    pub list_timeouts: Counter,
    /// Client messages answered with an error, as they were invalid.
    pub rejected_messages: Counter,
    /// Answers withheld at first, as they equal the one before on their connection.
    pub repeated_answers: Counter,
    /// Withheld answers that were copies of the one before and were discarded.
    pub discarded_answers: Counter,
}

/// Counters of the connections of one side.
#[derive(Default)]
pub struct ConnectionMetrics {
    /// Connections opened.
    pub opened: Counter,
    /// Failures to accept or open a connection, and requests rejected because too many connections are open.
    pub refused: Counter,
    /// Connections closed.
    pub closed: Counter,
}

impl ConnectionMetrics {
    /// Returns the number of open connections.
    pub fn in_use(&self) -> u64 {
        self.opened.get() - self.closed.get()
    }
}

/// Adds one to a counter.
pub fn increment(counter: &Counter) {
    counter.set(counter.get() + 1);
}

impl Metrics {
    /// Creates counters at zero; `classes` are the names of the request classes in the order of their indices.
    pub fn new(classes: &[String]) -> Self {
        let requests_by_class = classes
            .iter()
            .map(|name| (name.clone(), Counter::default()))
            .collect();
        Metrics {
            requests_by_class,
            ..Metrics::default()
        }
    }

    /// Counts a request of the class with this index.
    pub fn on_request(&self, class: usize) {
        increment(&self.requests_by_class[class].1);
    }

    /// Counts a request whose client disconnected before its answer.
    pub fn on_client_disconnected(&self) {
        increment(&self.disconnected);
    }

    /// Counts an attempt or a probe.
    pub fn on_attempt_started(&self) {
        increment(&self.attempts);
    }

    /// Counts the outcome of an attempt or a probe.
    pub fn on_attempt_finished(&self, outcome: AttemptOutcome) {
        if let Some(index) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            increment(&self.outcomes[index]);
        }
    }

    /// Returns all counters as one line of `name=count` pairs separated by spaces.
    pub fn summary(&self) -> String {
        let mut out = String::new();
        for (name, counter) in &self.requests_by_class {
            let _ = write!(out, "taken.{name}={} ", counter.get());
        }
        let totals = [
            ("answered", &self.answered),
            ("throttled", &self.shed),
            ("failed", &self.failed),
            ("gone", &self.disconnected),
            ("dispatched", &self.attempts),
            ("lists", &self.lists_received),
            ("list_failures", &self.list_failures),
            ("list_refusals", &self.list_refusals),
            ("list_timeouts", &self.list_timeouts),
            ("bad_messages", &self.rejected_messages),
            ("repeated_answers", &self.repeated_answers),
            ("discarded_answers", &self.discarded_answers),
        ];
        for (name, counter) in totals {
            let _ = write!(out, "{name}={} ", counter.get());
        }
        for ((_, name), counter) in OUTCOMES.iter().zip(&self.outcomes) {
            let _ = write!(out, "ended.{name}={} ", counter.get());
        }
        for (side, connections) in [("clients", &self.clients), ("servers", &self.servers)] {
            let _ = write!(
                out,
                "{side}.opened={} {side}.refused={} {side}.closed={} {side}.in_use={} ",
                connections.opened.get(),
                connections.refused.get(),
                connections.closed.get(),
                connections.in_use()
            );
        }
        out.truncate(out.trim_end().len());
        out
    }
}
