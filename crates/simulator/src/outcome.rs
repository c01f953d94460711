//! The result of one simulated run, of either kind of scenario.

use crate::checker::Violation;
use crate::simulation::Collisions;

/// Figures, digest and trace of a run.
#[derive(Debug, Default)]
pub struct RunOutcome {
    /// The first broken rule, at which the run ended.
    pub violation: Option<Violation>,
    /// Polled tasks and delivered events.
    pub steps: u64,
    /// Requests sent by clients; in a scenario of members the messages sent by those that run at the end.
    pub requests: u64,
    pub collisions: Collisions,
    /// Sum over the answered requests, where an answer after the target of its class brings less; in a scenario of
    /// members the number of reads with a known position and of writes that a quorum acknowledged.
    pub benefit: f64,
    /// The benefit if every request had been answered in time; in a scenario of members the number of operations.
    pub possible_benefit: f64,
    /// Hash of all recorded events.
    pub digest: u64,
    /// One line for each recorded event, empty unless the run was traced.
    pub trace: Vec<String>,
}
