//! The settings that the bench hands to an instance, read into the module's facts.

use leverpoint::interface::{
    Allowed, Check, CustomerFacts, Effects, Facts, GroupFacts, Guard, ListKeeping, Need, Reach, Tenths, Token,
};
use serde::Deserialize;

use crate::wire::Fault;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    balancers: usize,
    contract: Contract,
    discovery: String,
    family_info: FamilyInfo,
    grades: Vec<Grade>,
    me: usize,
    #[serde(default = "whole")]
    over_share_worth: f64,
    policy_limits: PolicyLimits,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    tenants: Vec<Tenant>,
    tick_ms: f64,
    #[serde(default)]
    zone: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Contract {
    #[serde(default)]
    ask_every_ms: f64,
    cold_ms: f64,
    #[serde(default)]
    drain_binds_alone: bool,
    fall_ms: f64,
    fall_multiple: f64,
    start_capacity: f64,
    stop_sending_within_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    #[serde(default)]
    catch_up_wait_ms: f64,
    guards: String,
    list_role: String,
    #[serde(default)]
    oldest_data_ms: Vec<f64>,
    read_level: Vec<String>,
    #[serde(default)]
    stamps: bool,
    tokens: String,
    #[serde(default)]
    zero_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Grade {
    aim_ms: f64,
    deadline_ms: f64,
    #[serde(default)]
    group: String,
    #[serde(default)]
    key_ttl_ms: f64,
    #[serde(default)]
    late_worth: f64,
    semantics: String,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PolicyLimits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
    send_cap: u32,
}

#[derive(Default, Deserialize)]
struct Report {
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    #[serde(default)]
    quota_per_s: f64,
    #[serde(default)]
    share: f64,
}

fn whole() -> f64 {
    1.0
}

/// The facts for the module and what the wire alone needs.
pub struct Opened {
    pub facts: Facts,
    pub zero_ms: f64,
    /// Place of the position and of the role in a load report.
    pub x0: Option<usize>,
    pub x1: Option<usize>,
}

pub fn down(ms: f64) -> Tenths {
    tenths(ms, f64::floor)
}

pub fn up(ms: f64) -> Tenths {
    tenths(ms, f64::ceil)
}

/// Whole tenths; the wire counts in microseconds, so a hair off a whole one is that one.
fn tenths(ms: f64, rounded: fn(f64) -> f64) -> Tenths {
    let near = (ms * 10.0).round();
    let exact = if (ms * 10.0 - near).abs() < 1e-3 { near } else { rounded(ms * 10.0) };
    exact.clamp(-1e16, 1e16) as Tenths
}

pub fn read(seed: u64, text: &[u8]) -> Result<Opened, Fault> {
    let options: Options = serde_json::from_slice(text).map_err(|e| Fault::new(format!("settings: {e}")))?;
    let span = |name: &str, ms: f64, rounded: fn(f64) -> Tenths| {
        if ms.is_finite() && (0.0..=1e12).contains(&ms) {
            Ok(rounded(ms))
        } else {
            Err(Fault::new(format!("settings: {name} is {ms}, not a span of time")))
        }
    };
    let share = |name: &str, value: f64| {
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(Fault::new(format!("settings: {name} is {value}, not a figure of 0 or more")))
        }
    };
    let family = &options.family_info;
    if options.grades.is_empty() || family.read_level.len() != options.grades.len() {
        return Err(Fault::new("settings: readLevel and grades differ in length or are empty"));
    }
    if options.balancers == 0 {
        return Err(Fault::new("settings: balancers is 0"));
    }
    let mut groups = Vec::new();
    for (i, grade) in options.grades.iter().enumerate() {
        let bound = family.oldest_data_ms.get(i).copied().unwrap_or(0.0);
        let need = match family.read_level[i].as_str() {
            "loose" => Need::Any,
            "recent" => Need::Bounded(span("oldestDataMs", bound, down)?),
            "own_writes" => Need::Session,
            "latest" => Need::Fresh,
            "update" => Need::Write,
            other => return Err(Fault::new(format!("settings: unknown readLevel {other:?}"))),
        };
        let effect = match grade.semantics.as_str() {
            "pure" => Effects::Replayable,
            "token" => Effects::Keyed {
                window: span("keyTtlMs", grade.key_ttl_ms, down)?,
                reach: match grade.group.as_str() {
                    "all" => Reach::Everywhere,
                    "zone" => Reach::Zone,
                    "cell" => Reach::Set,
                    other => return Err(Fault::new(format!("settings: unknown group {other:?}"))),
                },
            },
            "side_effect" => Effects::Mutating,
            other => return Err(Fault::new(format!("settings: unknown semantics {other:?}"))),
        };
        groups.push(GroupFacts {
            need,
            effect,
            target: span("aimMs", grade.aim_ms, down)?,
            timeout: span("deadlineMs", grade.deadline_ms, down)?,
            benefit: share("worth", grade.worth)?,
            late: share("lateWorth", grade.late_worth)?,
        });
    }
    let customers = options
        .tenants
        .iter()
        .map(|t| {
            Ok(CustomerFacts {
                per_second: share("quotaPerS", t.quota_per_s)?,
                share: share("share", t.share)?,
            })
        })
        .collect::<Result<_, Fault>>()?;
    let (contract, limits) = (&options.contract, &options.policy_limits);
    let facts = Facts {
        seed,
        me: options.me,
        gateways: options.balancers,
        zone: options.zone,
        grain: span("tickMs", options.tick_ms, up)?.max(1),
        groups,
        customers,
        over_share: share("overShareWorth", options.over_share_worth)?,
        check: match family.guards.as_str() {
            "none" => Check::None,
            "reject" => Check::Refuse,
            "hold" => Check::Hold(span("catchUpWaitMs", family.catch_up_wait_ms, up)?),
            other => return Err(Fault::new(format!("settings: unknown guards {other:?}"))),
        },
        token: match family.tokens.as_str() {
            "client" => Token::Carried,
            "router" => Token::Remembered,
            other => return Err(Fault::new(format!("settings: unknown tokens {other:?}"))),
        },
        positions: family.stamps,
        list: ListKeeping {
            pushed: match options.discovery.as_str() {
                "pushed" => true,
                "on_request" => false,
                other => return Err(Fault::new(format!("settings: unknown discovery {other:?}"))),
            },
            names_primary: match family.list_role.as_str() {
                "delayed" | "initial" => true,
                "none" => false,
                other => return Err(Fault::new(format!("settings: unknown listRole {other:?}"))),
            },
            ask_every: span("askEveryMs", contract.ask_every_ms, down)?,
        },
        allowed: Allowed {
            dispatches: limits.send_cap,
            second_copies: limits.second_copies,
            cancel: limits.cancel,
            probes: limits.may_probe,
            peers: limits.peer_messages,
            come_back: limits.retry_after,
            longest_come_back: span("maxRetryAfterMs", limits.max_retry_after_ms, down)?,
        },
        guard: Guard {
            drain_grace: span("stopSendingWithinMs", contract.stop_sending_within_ms, down)?,
            only_draining_bars: contract.drain_binds_alone,
            cold_share: share("startCapacity", contract.start_capacity)?,
            cold_time: span("coldMs", contract.cold_ms, up)?,
            fall_multiple: share("fallMultiple", contract.fall_multiple)?,
            fall_time: span("fallMs", contract.fall_ms, up)?,
        },
    };
    let place = |name: &str| options.report.names.iter().position(|n| n == name);
    if !family.zero_ms.is_finite() {
        return Err(Fault::new("settings: zeroMs is not a time"));
    }
    Ok(Opened { facts, zero_ms: family.zero_ms, x0: place("x0"), x1: place("x1") })
}
