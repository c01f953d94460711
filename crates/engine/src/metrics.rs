//! Counters of what is received, sent and answered. They are only ever incremented and printed.

use std::cell::Cell;
use std::fmt::Write;

use leverpoint_routing::api::AttemptOutcome;

/// Outcomes of attempts with the names of their counters, which operators' scripts know.
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

type Count = Cell<u64>;

/// The gateway's counters.
#[derive(Default)]
pub struct Metrics {
    requests_by_class: Vec<(String, Count)>,
    /// Requests answered with a server's row.
    pub answered: Count,
    /// Requests shed.
    pub shed: Count,
    /// Requests that no server has answered.
    pub failed: Count,
    disconnected: Count,
    attempts: Count,
    outcomes: [Count; OUTCOMES.len()],
    /// Connections of clients.
    pub clients: ConnectionMetrics,
    /// Connections to servers.
    pub servers: ConnectionMetrics,
    /// Endpoint lists received.
    pub lists_received: Count,
    /// Calls for endpoint lists that failed.
    pub list_failures: Count,
    /// Failed calls that discovery rejected.
    pub list_refusals: Count,
    /// Failed calls that discovery never answered.
    pub list_timeouts: Count,
    /// Messages of clients that were rejected.
    pub rejected_messages: Count,
}

/// Counters of the connections of one side.
#[derive(Default)]
pub struct ConnectionMetrics {
    /// Connections opened.
    pub opened: Count,
    /// Connections refused.
    pub refused: Count,
    /// Connections closed.
    pub closed: Count,
}

impl ConnectionMetrics {
    /// Number of connections open at present.
    pub fn in_use(&self) -> u64 {
        self.opened.get() - self.closed.get()
    }
}

/// Adds one to a counter.
pub fn increment(count: &Count) {
    count.set(count.get() + 1);
}

impl Metrics {
    /// Makes counters of zero; `classes` are the names of the request classes.
    pub fn new(classes: &[String]) -> Self {
        let requests_by_class = classes
            .iter()
            .map(|name| (name.clone(), Count::default()))
            .collect();
        Metrics {
            requests_by_class,
            ..Metrics::default()
        }
    }

    /// Counts a request of a class.
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
        if let Some(at) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            increment(&self.outcomes[at]);
        }
    }

    /// Returns all counters as one line of name=count.
    pub fn summary(&self) -> String {
        let mut out = String::new();
        for (name, count) in &self.requests_by_class {
            let _ = write!(out, "taken.{name}={} ", count.get());
        }
        let finals = [
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
        ];
        for (name, count) in finals {
            let _ = write!(out, "{name}={} ", count.get());
        }
        for ((_, name), count) in OUTCOMES.iter().zip(&self.outcomes) {
            let _ = write!(out, "ended.{name}={} ", count.get());
        }
        for (side, c) in [("clients", &self.clients), ("servers", &self.servers)] {
            let _ = write!(
                out,
                "{side}.opened={} {side}.refused={} {side}.closed={} {side}.in_use={} ",
                c.opened.get(),
                c.refused.get(),
                c.closed.get(),
                c.in_use()
            );
        }
        out.truncate(out.trim_end().len());
        out
    }
}
