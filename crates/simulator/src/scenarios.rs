//! Scenarios of both kinds, looked up by name: gateways with their clients and database servers, or the members of a
//! fleet.

use leverpoint_runtime::Instant;

use crate::outcome::RunOutcome;
use crate::{gateway_script, member_fleet, run};

/// A scenario of either kind.
#[derive(Clone, Debug)]
pub enum AnyScenario {
    Gateways(gateway_script::Scenario),
    Members(member_fleet::Scenario),
}

const MEMBER_SCENARIOS: [(&str, &str); 9] = [
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
    (
        "copies-in-turn",
        include_str!("../scenarios/copies-in-turn.hcl"),
    ),
];

fn parse_member_scenario(text: &str) -> Result<AnyScenario, String> {
    hcl::from_str(text)
        .map(AnyScenario::Members)
        .map_err(|e| e.to_string())
}

/// All scenarios compiled into the program, by name.
pub fn built_in() -> impl Iterator<Item = (&'static str, AnyScenario)> {
    let gateways = gateway_script::built_in_scenarios()
        .map(|(name, scenario)| (name, AnyScenario::Gateways(scenario)));
    gateways.chain(MEMBER_SCENARIOS.iter().map(|(name, text)| {
        (
            *name,
            parse_member_scenario(text).expect("a built-in scenario is valid"),
        )
    }))
}

/// A built-in scenario by its name, or one from the HCL file at that path. A file with the key `members` at the start of
/// a line describes a fleet.
///
/// # Errors
///
/// When the file cannot be read or is not a valid scenario.
pub fn load(name: &str) -> Result<AnyScenario, String> {
    if let Some((_, text)) = MEMBER_SCENARIOS.iter().find(|(n, _)| *n == name) {
        return parse_member_scenario(text);
    }
    if let Ok(text) = std::fs::read_to_string(name)
        && text.contains("\nmembers ")
    {
        return parse_member_scenario(&text).map_err(|e| format!("{name}: {e}"));
    }
    gateway_script::load_scenario(name).map(AnyScenario::Gateways)
}

impl AnyScenario {
    /// The one-line description.
    pub fn about(&self) -> &str {
        match self {
            AnyScenario::Gateways(scenario) => &scenario.about,
            AnyScenario::Members(scenario) => &scenario.about,
        }
    }

    /// Generates the script for a seed and runs it. `base` is the instant at which virtual time starts; `traced` keeps the
    /// text of every event.
    pub fn play(&self, seed: u64, base: Instant, traced: bool) -> RunOutcome {
        match self {
            AnyScenario::Gateways(scenario) => {
                run::run_script(scenario, &scenario.script(seed), seed, base, traced)
            }
            AnyScenario::Members(scenario) => {
                member_fleet::play(scenario, &scenario.script(seed), seed, base, traced)
            }
        }
    }
}
