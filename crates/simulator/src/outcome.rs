//! Owns what a run has come to, whatever was played.
//!
//! It must never look into a run.

use crate::checker::Violation;
use crate::simulation::Collisions;

/// What a run has come to.
#[derive(Debug, Default)]
pub struct RunOutcome {
    pub violation: Option<Violation>,
    pub steps: u64,
    /// Commands sent by clients; in a fleet the messages of those members that run at the end.
    pub requests: u64,
    pub collisions: Collisions,
    pub benefit: f64,
    pub possible_benefit: f64,
    pub digest: u64,
    pub trace: Vec<String>,
}
