//! Faults planted into leverpoint's code behind failpoints, and the search for the seed that detects each.
//!
//! # Invariants
//!
//! - At most one planted fault is active in a run.

use leverpoint_runtime::{Instant, set_failpoint};

use crate::checker::Violation;
use crate::scenarios;

/// The failpoint's name and the scenario that is expected to detect the fault.
pub const PLANTED_FAULTS: [(&str, &str); 32] = [
    ("answer-twice", "calm"),
    ("other-value", "calm"),
    ("panic", "calm"),
    ("wait-without-end", "round-close"),
    ("dispatch-without-end", "partition"),
    ("claim-kept", "calm"),
    ("index-early", "slow-peers"),
    ("reset-never-ran", "garbage"),
    ("time-out-never-ran", "cold-start"),
    ("sent-again", "garbage"),
    ("unchecked", "garbage"),
    ("copy-taken", "garbage"),
    ("drain-overlooked", "rolling-deploy"),
    ("token-forgotten", "lists-lie"),
    ("cold-flooded", "cold-start"),
    ("uncovered", "sessions"),
    ("token-forged", "sessions"),
    ("epoch-forgotten", "sessions"),
    ("old-life-believed", "members-churn"),
    ("empty-memory-votes", "members-churn"),
    ("ended-goes-on", "members-churn"),
    ("stood-still-unseen", "members-churn"),
    ("quorum-halved", "members-partition"),
    ("gone-for-good", "members-partition"),
    ("not-contradicted", "members-loss"),
    ("empty-memory-counts", "copies-burns"),
    ("promise-before-quorum", "copies-loss"),
    ("merge-goes-back", "copies-loss"),
    ("old-layout-alone", "copies-layout"),
    ("key-forgotten-early", "copies-keys"),
    ("alone-unseen", "copies-partition"),
    ("unreplicated-forgotten", "copies-in-turn"),
];

/// Runs seeds from 0 on, up to `seed_limit` of them, with the fault active. Returns how many it took to break a rule and
/// which one broke, or `None` if no seed detected the fault.
pub fn find(
    fault: &'static str,
    scenario_name: &str,
    seed_limit: u64,
    base: Instant,
) -> Option<(u64, Violation)> {
    let scenario = scenarios::load(scenario_name).expect("a built-in scenario is valid");
    set_failpoint(Some(fault));
    let detection = (0..seed_limit).find_map(|seed| {
        let violation = scenario.play(seed, base, false).violation?;
        Some((seed + 1, violation))
    });
    set_failpoint(None);
    detection
}

/// Planted fault, scenario, and the result of [`find`].
type SearchResult = (&'static str, &'static str, Option<(u64, Violation)>);

/// Searches for every planted fault in turn; see [`find`].
pub fn find_all(seed_limit: u64, base: Instant) -> Vec<SearchResult> {
    PLANTED_FAULTS
        .iter()
        .map(|(fault, scenario)| (*fault, *scenario, find(fault, scenario, seed_limit, base)))
        .collect()
}
