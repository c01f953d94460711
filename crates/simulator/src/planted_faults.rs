//! Owns the list of deliberate faults, and how many seeds it takes to find each.
//!
//! It must never play a seed with more than one of them.

use leverpoint_runtime::{Instant, set_failpoint};

use crate::checker::Broken;
use crate::scenarios;

/// Name, and the scenario that is meant to find it.
pub const PLANTS: [(&str, &str); 30] = [
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
];

/// How many seeds from 0 on it takes, and what they find.
pub fn find(plant: &'static str, name: &str, most: u64, base: Instant) -> Option<(u64, Broken)> {
    let scene = scenarios::load(name).expect("a scenario of our own");
    set_failpoint(Some(plant));
    let found = (0..most).find_map(|seed| {
        let broken = scene.play(seed, base, false).broken?;
        Some((seed + 1, broken))
    });
    set_failpoint(None);
    found
}

type Found = (&'static str, &'static str, Option<(u64, Broken)>);

pub fn find_all(most: u64, base: Instant) -> Vec<Found> {
    PLANTS
        .iter()
        .map(|(plant, scenario)| (*plant, *scenario, find(plant, scenario, most, base)))
        .collect()
}
