//! Owns the scenarios by name, of either kind: gateways with their clients and machines, or the members of a fleet.
//!
//! It must never let one kind's play see the other's script.

use leverpoint_runtime::Instant;

use crate::outcome::Played;
use crate::{gateway_script, member_fleet, play};

#[derive(Clone, Debug)]
pub enum AnyScenario {
    Gateways(gateway_script::Scenario),
    Members(member_fleet::Scenario),
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

fn members(text: &str) -> Result<AnyScenario, String> {
    hcl::from_str(text)
        .map(AnyScenario::Members)
        .map_err(|e| e.to_string())
}

pub fn built_in() -> impl Iterator<Item = (&'static str, AnyScenario)> {
    let gateways = gateway_script::built_in_scenarios()
        .map(|(name, scenario)| (name, AnyScenario::Gateways(scenario)));
    gateways.chain(
        MEMBERS
            .iter()
            .map(|(name, text)| (*name, members(text).expect("a scenario of our own"))),
    )
}

/// One of our own by its name, or one from a file, whose words tell its kind.
pub fn load(name: &str) -> Result<AnyScenario, String> {
    if let Some((_, text)) = MEMBERS.iter().find(|(n, _)| *n == name) {
        return members(text);
    }
    if let Ok(text) = std::fs::read_to_string(name)
        && text.contains("\nmembers ")
    {
        return members(&text).map_err(|e| format!("{name}: {e}"));
    }
    gateway_script::load_scenario(name).map(AnyScenario::Gateways)
}

impl AnyScenario {
    pub fn about(&self) -> &str {
        match self {
            AnyScenario::Gateways(scenario) => &scenario.about,
            AnyScenario::Members(scenario) => &scenario.about,
        }
    }

    /// Plays the script that a seed makes.
    pub fn play(&self, seed: u64, base: Instant, traced: bool) -> Played {
        match self {
            AnyScenario::Gateways(scenario) => {
                play::play(scenario, &scenario.script(seed), seed, base, traced)
            }
            AnyScenario::Members(scenario) => {
                member_fleet::play(scenario, &scenario.script(seed), seed, base, traced)
            }
        }
    }
}
