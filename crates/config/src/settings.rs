//! The settings object: the configuration of the router, and further values that the gateway and the bench adapter
//! need.
//!
//! The keys of the settings are mapped to the terms of the router's API here and nowhere else.

use std::time::Duration;

use leverpoint_routing::api::{
    Consistency, DeduplicationScope, EndpointListConfig, Idempotency, Permissions, PositionKeeper,
    ReplicaCheck, RequestClass, RoutingConfig, ServerProtection, Tenant, Ticks,
};
use serde_json::Value;

use crate::value_path::{ConfigError, ValuePath};

/// Length of a tick in microseconds.
const MICROS_PER_TICK: u64 = 100;
/// Above the size of any fleet. No memory is allocated for each gateway.
const MAX_GATEWAYS: usize = 100_000;
/// 1 ms.
const MIN_CONNECT_TIMEOUT: Ticks = 10;

/// The settings, checked and completed with defaults.
#[derive(Clone)]
pub struct Settings {
    /// Configuration of the router.
    pub routing: RoutingConfig,
    /// Unix time in milliseconds that is position 0 in the bench's protocol.
    pub epoch_ms: f64,
    /// Index of the replication position among the fields of a load report, if reports have one.
    pub position_field: Option<usize>,
    /// Index of the role among the fields of a load report, if reports have one.
    pub role_field: Option<usize>,
    /// Names of the request classes, by their indices.
    pub class_names: Vec<String>,
    /// Names of the tenants, by their indices.
    pub tenant_names: Vec<String>,
    /// Names of the zones, by their indices.
    pub zone_names: Vec<String>,
    /// Time limit for opening a connection to a server.
    pub connect_timeout: Ticks,
    /// How long after a client's deadline an answer still counts.
    pub answer_slack: Ticks,
    /// Time after which servers close an idle connection.
    pub server_idle_timeout: Ticks,
}

/// Converts milliseconds to ticks, rounded down.
pub fn floor_ticks(ms: f64) -> Ticks {
    to_ticks(ms, f64::floor)
}

/// Converts milliseconds to ticks, rounded up.
pub fn ceil_ticks(ms: f64) -> Ticks {
    to_ticks(ms, f64::ceil)
}

/// Converts ticks to a duration; negative ticks become zero.
pub fn ticks_to_duration(ticks: Ticks) -> Duration {
    Duration::from_micros(ticks.max(0) as u64 * MICROS_PER_TICK)
}

/// Converts a duration to ticks, rounded down.
pub fn duration_to_ticks(duration: Duration) -> Ticks {
    (duration.as_micros() / u128::from(MICROS_PER_TICK)) as Ticks
}

/// Converts milliseconds to ticks. Times on the wire are whole microseconds, so a value within 0.1 µs of a whole tick
/// differs from it only by floating-point rounding, and is taken to be that tick.
fn to_ticks(ms: f64, round: fn(f64) -> f64) -> Ticks {
    let nearest = (ms * 10.0).round();
    let ticks = if (ms * 10.0 - nearest).abs() < 1e-3 {
        nearest
    } else {
        round(ms * 10.0)
    };
    ticks.clamp(-1e16, 1e16) as Ticks
}

/// Parses the text of a settings object; `seed` is the seed of the router's random draws.
///
/// # Errors
///
/// Names the key that is missing or wrong.
pub fn parse(seed: u64, text: &[u8]) -> Result<Settings, ConfigError> {
    let value: Value =
        serde_json::from_slice(text).map_err(|e| ConfigError::new(format!("not JSON: {e}")))?;
    from_value(seed, &ValuePath::root(&value))
}

/// Reads a parsed settings object; `seed` is the seed of the router's random draws.
///
/// # Errors
///
/// Names the key that is missing or wrong.
pub fn from_value(seed: u64, top: &ValuePath<'_>) -> Result<Settings, ConfigError> {
    let sections = Sections::new(top);
    let routing = sections.routing(seed)?;
    let report_fields = top.get("report").get("names").strings()?;
    let field = |name: &str| report_fields.iter().position(|field| field == name);
    Ok(Settings {
        routing,
        epoch_ms: sections
            .family
            .get("zeroMs")
            .value_or(0.0, ValuePath::number)?,
        position_field: field("x0"),
        role_field: field("x1"),
        class_names: names(&top.get("grades"))?,
        tenant_names: names(&top.get("tenants"))?,
        zone_names: top.get("zones").strings()?,
        connect_timeout: floor_or(&sections.limits.get("connectTimeoutMs"), 250.0)?
            .max(MIN_CONNECT_TIMEOUT),
        answer_slack: floor_or(&sections.contract.get("answerSlackMs"), 20.0)?,
        server_idle_timeout: floor_or(&sections.limits.get("idleCloseMs"), 15_000.0)?,
    })
}

/// The sections of a settings object that several values are read from.
struct Sections<'a> {
    top: &'a ValuePath<'a>,
    family: ValuePath<'a>,
    contract: ValuePath<'a>,
    limits: ValuePath<'a>,
}

impl<'a> Sections<'a> {
    fn new(top: &'a ValuePath<'a>) -> Self {
        Sections {
            top,
            family: top.get("familyInfo"),
            contract: top.get("contract"),
            limits: top.get("policyLimits"),
        }
    }

    // The order in which keys are read decides which of several faulty ones an error names.
    fn routing(&self, seed: u64) -> Result<RoutingConfig, ConfigError> {
        let (top, family) = (self.top, &self.family);
        let gateways = top.get("balancers").integer(1, MAX_GATEWAYS)?;
        let classes = self.request_classes()?;
        let tenants = top.get("tenants").items()?;
        Ok(RoutingConfig {
            seed,
            gateway_index: top.get("me").integer(0, gateways - 1)?,
            gateways,
            zone: top.get("zone").value_or(0, |k| k.integer(0, 65_535))?,
            batch_interval: ceil_ticks(top.get("tickMs").milliseconds()?).max(1),
            classes,
            tenants: tenants.iter().map(tenant).collect::<Result<_, _>>()?,
            over_quota_weight: top
                .get("overShareWorth")
                .value_or(1.0, ValuePath::non_negative)?,
            replica_check: self.replica_check()?,
            position_keeper: family.get("tokens").choice(&[
                ("client", PositionKeeper::Client),
                ("router", PositionKeeper::Gateway),
            ])?,
            reports_positions: enabled(&family.get("stamps"))?,
            endpoint_list: self.endpoint_list()?,
            permissions: self.permissions()?,
            protection: self.protection()?,
        })
    }

    fn request_classes(&self) -> Result<Vec<RequestClass>, ConfigError> {
        let grades = self.top.get("grades");
        let classes = grades.items()?;
        let read_level = self.family.get("readLevel");
        let levels = read_level.items()?;
        let bounds = self.family.get("oldestDataMs").items()?;
        if classes.is_empty() {
            return Err(grades.error("a list of at least one command group"));
        }
        if levels.len() != classes.len() {
            return Err(read_level.error("one entry for each of grades"));
        }
        let indexed = classes.iter().zip(&levels).enumerate();
        indexed
            .map(|(index, (class, level))| request_class(class, level, bounds.get(index)))
            .collect()
    }

    fn replica_check(&self) -> Result<ReplicaCheck, ConfigError> {
        let choices = [("none", 0), ("reject", 1), ("hold", 2)];
        Ok(match self.family.get("guards").choice(&choices)? {
            0 => ReplicaCheck::None,
            1 => ReplicaCheck::Reject,
            _ => {
                let wait = self.family.get("catchUpWaitMs");
                ReplicaCheck::Hold(ceil_ticks(wait.value_or(0.0, ValuePath::milliseconds)?))
            }
        })
    }

    fn endpoint_list(&self) -> Result<EndpointListConfig, ConfigError> {
        let discovery = self.top.get("discovery");
        Ok(EndpointListConfig {
            pushed: discovery.choice(&[("pushed", true), ("on_request", false)])?,
            names_primary: self.family.get("listRole").choice(&[
                ("delayed", true),
                ("initial", true),
                ("none", false),
            ])?,
            poll_interval: floor_or(&self.contract.get("askEveryMs"), 0.0)?,
        })
    }

    fn permissions(&self) -> Result<Permissions, ConfigError> {
        let limits = &self.limits;
        Ok(Permissions {
            max_attempts: limits.get("sendCap").integer(0, 1_000_000)? as u32,
            hedged_requests: enabled(&limits.get("secondCopies"))?,
            cancel: enabled(&limits.get("cancel"))?,
            probes: enabled(&limits.get("mayProbe"))?,
            gossip: enabled(&limits.get("peerMessages"))?,
            retry_after: enabled(&limits.get("retryAfter"))?,
            max_retry_after: floor_or(&limits.get("maxRetryAfterMs"), 0.0)?,
        })
    }

    fn protection(&self) -> Result<ServerProtection, ConfigError> {
        let contract = &self.contract;
        Ok(ServerProtection {
            drain_grace: floor_ticks(contract.get("stopSendingWithinMs").milliseconds()?),
            only_draining_excludes: enabled(&contract.get("drainBindsAlone"))?,
            slow_start_capacity: contract.get("startCapacity").non_negative()?,
            slow_start_window: ceil_ticks(contract.get("coldMs").milliseconds()?),
            overload_multiple: contract.get("fallMultiple").non_negative()?,
            overload_window: ceil_ticks(contract.get("fallMs").milliseconds()?),
        })
    }
}

/// Whether a key is true; an absent one is false.
fn enabled(key: &ValuePath<'_>) -> Result<bool, ConfigError> {
    key.value_or(false, ValuePath::boolean)
}

/// Reads milliseconds as ticks, rounded down; `default_ms` stands in for an absent key.
fn floor_or(key: &ValuePath<'_>, default_ms: f64) -> Result<Ticks, ConfigError> {
    Ok(floor_ticks(
        key.value_or(default_ms, ValuePath::milliseconds)?,
    ))
}

/// The names of a list's items; an item without a name has the empty name.
fn names(list: &ValuePath<'_>) -> Result<Vec<String>, ConfigError> {
    let items = list.items()?;
    let names = items.iter().map(|item| {
        let name = item.get("name");
        Ok(name.value_or("", ValuePath::string)?.to_owned())
    });
    names.collect()
}

fn tenant(tenant: &ValuePath<'_>) -> Result<Tenant, ConfigError> {
    let amount = |name| tenant.get(name).value_or(0.0, ValuePath::non_negative);
    Ok(Tenant {
        requests_per_second: amount("quotaPerS")?,
        quota_share: amount("share")?,
    })
}

fn request_class(
    class: &ValuePath<'_>,
    level: &ValuePath<'_>,
    bound: Option<&ValuePath<'_>>,
) -> Result<RequestClass, ConfigError> {
    Ok(RequestClass {
        consistency: consistency(level, bound)?,
        idempotency: idempotency(class)?,
        latency_objective: floor_ticks(class.get("aimMs").milliseconds()?),
        timeout: floor_ticks(class.get("deadlineMs").milliseconds()?),
        priority_weight: class.get("worth").non_negative()?,
        late_factor: class
            .get("lateWorth")
            .value_or(0.0, ValuePath::non_negative)?,
    })
}

fn consistency(
    level: &ValuePath<'_>,
    bound: Option<&ValuePath<'_>>,
) -> Result<Consistency, ConfigError> {
    let levels = [
        ("loose", 0),
        ("recent", 1),
        ("own_writes", 2),
        ("latest", 3),
        ("update", 4),
    ];
    Ok(match level.choice(&levels)? {
        0 => Consistency::Any,
        1 => {
            let staleness_ms = bound.map_or(Ok(0.0), ValuePath::milliseconds)?;
            Consistency::Bounded(floor_ticks(staleness_ms))
        }
        2 => Consistency::Session,
        3 => Consistency::Fresh,
        _ => Consistency::Write,
    })
}

fn idempotency(class: &ValuePath<'_>) -> Result<Idempotency, ConfigError> {
    let semantics = [("pure", 0), ("token", 1), ("side_effect", 2)];
    let scopes = [
        ("all", DeduplicationScope::Everywhere),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Set),
    ];
    Ok(match class.get("semantics").choice(&semantics)? {
        0 => Idempotency::Idempotent,
        1 => Idempotency::IdempotentByKey {
            window: floor_or(&class.get("keyTtlMs"), 0.0)?,
            scope: class.get("group").choice(&scopes)?,
        },
        _ => Idempotency::NonIdempotent,
    })
}
