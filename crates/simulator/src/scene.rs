//! Owns the scenarios by name, of either kind: gateways with their clients and machines, or the members of a fleet.
//!
//! It must never let one kind's play see the other's script.

use leverpoint_runtime::Instant;

use crate::outcome::RunOutcome;
use crate::{fleet, run, script};

#[derive(Clone, Debug)]
pub enum Scene {
    Gateways(script::Scenario),
    Members(fleet::Scenario),
}

const MEMBERS: [(&str, &str); 8] = [
    (
        "members-churn",
        include_str!("../scenarios/members-churn.hcl"),
    ),
    (
        "members-partition",
        include_str!("../scenarios/members-partition.hcl"),
    ),
    (
        "members-loss",
        include_str!("../scenarios/members-loss.hcl"),
    ),
    ("copies-loss", include_str!("../scenarios/copies-loss.hcl")),
    (
        "copies-partition",
        include_str!("../scenarios/copies-partition.hcl"),
    ),
    (
        "copies-layout",
        include_str!("../scenarios/copies-layout.hcl"),
    ),
    (
        "copies-burns",
        include_str!("../scenarios/copies-burns.hcl"),
    ),
    ("copies-keys", include_str!("../scenarios/copies-keys.hcl")),
];

fn members(text: &str) -> Result<Scene, String> {
    hcl::from_str(text)
        .map(Scene::Members)
        .map_err(|e| e.to_string())
}

pub fn names() -> impl Iterator<Item = (&'static str, Scene)> {
    let gateways = script::names().map(|(name, scenario)| (name, Scene::Gateways(scenario)));
    gateways.chain(
        MEMBERS
            .iter()
            .map(|(name, text)| (*name, members(text).expect("a scenario of our own"))),
    )
}

/// One of our own by its name, or one from a file, whose words tell its kind.
pub fn scene(name: &str) -> Result<Scene, String> {
    if let Some((_, text)) = MEMBERS.iter().find(|(n, _)| *n == name) {
        return members(text);
    }
    if let Ok(text) = std::fs::read_to_string(name)
        && text.contains("\nmembers ")
    {
        return members(&text).map_err(|e| format!("{name}: {e}"));
    }
    script::scenario(name).map(Scene::Gateways)
}

impl Scene {
    pub fn about(&self) -> &str {
        match self {
            Scene::Gateways(scenario) => &scenario.about,
            Scene::Members(scenario) => &scenario.about,
        }
    }

    /// Plays the script that a seed makes.
    pub fn play(&self, seed: u64, base: Instant, traced: bool) -> RunOutcome {
        match self {
            Scene::Gateways(scenario) => {
                run::run_script(scenario, &scenario.script(seed), seed, base, traced)
            }
            Scene::Members(scenario) => {
                fleet::play(scenario, &scenario.script(seed), seed, base, traced)
            }
        }
    }
}
