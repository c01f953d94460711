//! Searches for a minimal script that still breaks the same rule.
//!
//! # Invariants
//!
//! - A smaller script is accepted only if it breaks the same rule as the full one.

use std::fmt::Write;

use leverpoint_runtime::Instant;

use crate::gateway_script::{Scenario, Script};
use crate::member_fleet;
use crate::run::run_script;
use crate::scenarios::AnyScenario;

/// Removes chunks from a list, first halves, then quarters and so on down to single entries, and keeps each removal after
/// which `still_fails` accepts the remaining list.
fn remove_chunks<T: Clone>(entries: &mut Vec<T>, still_fails: &mut dyn FnMut(&[T]) -> bool) {
    let mut chunk_size = entries.len().div_ceil(2);
    while chunk_size > 0 {
        let mut at = 0;
        while at < entries.len() {
            let mut reduced = entries.clone();
            reduced.drain(at..(at + chunk_size).min(entries.len()));
            if still_fails(&reduced) {
                *entries = reduced;
            } else {
                at += chunk_size;
            }
        }
        chunk_size = if chunk_size == 1 { 0 } else { chunk_size / 2 };
    }
}

/// Shrinks the script of a seed. Returns the result as text: the rule, the seed, and the remaining faults and requests.
pub fn shrink(scenario: &AnyScenario, seed: u64, base: Instant) -> String {
    match scenario {
        AnyScenario::Gateways(gateway_scenario) => {
            shrink_gateway_script(gateway_scenario, seed, base)
        }
        AnyScenario::Members(member_scenario) => shrink_member_script(member_scenario, seed, base),
    }
}

fn shrink_member_script(scenario: &member_fleet::Scenario, seed: u64, base: Instant) -> String {
    let full_script = scenario.script(seed);
    let broken_rule = |faults: &[_]| {
        let script = member_fleet::Script {
            members: full_script.members,
            faults: faults.to_vec(),
        };
        member_fleet::play(scenario, &script, seed, base, false)
            .violation
            .map(|b| b.rule)
    };
    let mut faults = full_script.faults.clone();
    let Some(rule) = broken_rule(&faults) else {
        return "no rule breaks\n".into();
    };
    remove_chunks(&mut faults, &mut |reduced| {
        broken_rule(reduced) == Some(rule)
    });
    let mut out = format!(
        "rule {rule} breaks with seed {seed}, {} members and these faults:\n",
        full_script.members
    );
    for (at, fault) in &faults {
        let _ = writeln!(out, "{:>9.1} {fault:?}", *at as f64 / 10.0);
    }
    out
}

fn shrink_gateway_script(scenario: &Scenario, seed: u64, base: Instant) -> String {
    let mut script = scenario.script(seed);
    let broken_rule = |script: &Script| {
        run_script(scenario, script, seed, base, false)
            .violation
            .map(|b| b.rule)
    };
    let Some(rule) = broken_rule(&script) else {
        return "no rule breaks\n".into();
    };
    // Shrinking one list may let the other shrink further.
    for _ in 0..2 {
        let base_script = script.clone();
        remove_chunks(&mut script.faults, &mut |faults| {
            broken_rule(&Script {
                faults: faults.to_vec(),
                ..base_script.clone()
            }) == Some(rule)
        });
        let base_script = script.clone();
        remove_chunks(&mut script.requests, &mut |requests| {
            broken_rule(&Script {
                requests: requests.to_vec(),
                ..base_script.clone()
            }) == Some(rule)
        });
    }
    let mut out = format!("rule {rule} breaks with seed {seed} and this part of its script:\n");
    for (at, fault) in &script.faults {
        let _ = writeln!(out, "{:>9.1} {fault:?}", *at as f64 / 10.0);
    }
    for request in &script.requests {
        let _ = writeln!(
            out,
            "{:>9.1} client {} sends {:?} to set {}",
            request.at as f64 / 10.0,
            request.client,
            request.class,
            request.set
        );
    }
    out
}
