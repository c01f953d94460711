//! Owns the search for the smallest script that still breaks the same rule.
//!
//! It must never call a script smaller that breaks another rule.

use std::fmt::Write;

use leverpoint_runtime::Instant;

use crate::gateway_script::{Scenario, Script};
use crate::member_fleet;
use crate::play::play;
use crate::scenarios::AnyScenario;

/// Drops halves, quarters and so on of a list for as long as `still` holds of what is left.
fn drop_parts<T: Clone>(all: &mut Vec<T>, still: &mut dyn FnMut(&[T]) -> bool) {
    let mut part = all.len().div_ceil(2);
    while part > 0 {
        let mut at = 0;
        while at < all.len() {
            let mut less = all.clone();
            less.drain(at..(at + part).min(all.len()));
            if still(&less) {
                *all = less;
            } else {
                at += part;
            }
        }
        part = if part == 1 { 0 } else { part / 2 };
    }
}

/// The smallest script found, as text.
pub fn shrink(scene: &AnyScenario, seed: u64, base: Instant) -> String {
    match scene {
        AnyScenario::Gateways(scenario) => gateways(scenario, seed, base),
        AnyScenario::Members(scenario) => members(scenario, seed, base),
    }
}

fn members(scenario: &member_fleet::Scenario, seed: u64, base: Instant) -> String {
    let whole = scenario.script(seed);
    let breaks = |faults: &[_]| {
        let script = member_fleet::Script {
            members: whole.members,
            faults: faults.to_vec(),
        };
        member_fleet::play(scenario, &script, seed, base, false)
            .broken
            .map(|b| b.rule)
    };
    let mut faults = whole.faults.clone();
    let Some(rule) = breaks(&faults) else {
        return "no rule breaks\n".into();
    };
    drop_parts(&mut faults, &mut |less| breaks(less) == Some(rule));
    let mut out = format!(
        "rule {rule} breaks with seed {seed}, {} members and these faults:\n",
        whole.members
    );
    for (at, fault) in &faults {
        let _ = writeln!(out, "{:>9.1} {fault:?}", *at as f64 / 10.0);
    }
    out
}

fn gateways(scenario: &Scenario, seed: u64, base: Instant) -> String {
    let mut script = scenario.script(seed);
    let breaks = |script: &Script| {
        play(scenario, script, seed, base, false)
            .broken
            .map(|b| b.rule)
    };
    let Some(rule) = breaks(&script) else {
        return "no rule breaks\n".into();
    };
    // Shrinking one list may let the other shrink further.
    for _ in 0..2 {
        let base_script = script.clone();
        drop_parts(&mut script.faults, &mut |faults| {
            breaks(&Script {
                faults: faults.to_vec(),
                ..base_script.clone()
            }) == Some(rule)
        });
        let base_script = script.clone();
        drop_parts(&mut script.requests, &mut |requests| {
            breaks(&Script {
                requests: requests.to_vec(),
                ..base_script.clone()
            }) == Some(rule)
        });
    }
    let mut out = format!("rule {rule} breaks with seed {seed} and this much of its script:\n");
    for (at, fault) in &script.faults {
        let _ = writeln!(out, "{:>9.1} {fault:?}", *at as f64 / 10.0);
    }
    for request in &script.requests {
        let _ = writeln!(
            out,
            "{:>9.1} client {} asks {:?} of set {}",
            request.at as f64 / 10.0,
            request.client,
            request.class,
            request.set
        );
    }
    out
}
