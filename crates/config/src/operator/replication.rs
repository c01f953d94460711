//! The block `copies`: whether and how this gateway's state is replicated at other members of its fleet. Fields have
//! the terms of `leverpoint-replication`.

use std::fmt;

use leverpoint_backpressure::Ticks;
use leverpoint_replication::record_store::RecordStoreLimits;
use leverpoint_replication::{ReplicationConfig, ReplicationFactor};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::document::BlockContext;
use crate::units::{ByteSize, TimeSpan};
use crate::value_path::ConfigError;

/// Replication of gateway state at other members of the fleet.
#[derive(Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Block {
    /// Whether state is replicated; the same for all members.
    #[schemars(extend("x-expected" = "true or false"))]
    #[serde(rename = "on")]
    enabled: Option<bool>,
    /// Replicas of each record; one fewer than half of them may be lost. The same for all members.
    #[schemars(extend("enum" = [1, 3, 5, 7], "x-expected" = "1, 3, 5 or 7"))]
    #[serde(rename = "copies")]
    replicas: Option<u32>,
    /// A gateway that has been silent for so long may answer without a quorum; the same for all members.
    #[serde(rename = "lease")]
    lease_duration: Option<TimeSpan>,
    /// How long a write, or a session's read, waits for its replica holders at most.
    #[serde(rename = "waits")]
    quorum_timeout: Option<TimeSpan>,
    /// How long a session's position is kept after its last update.
    #[serde(rename = "keeps")]
    position_retention: Option<TimeSpan>,
    /// Number of records at most.
    #[schemars(range(min = 1024, max = 16_000_000), extend("x-expected" = "a whole number from 1024 to 16000000"))]
    #[serde(rename = "records")]
    max_records: Option<u32>,
    /// Memory that the records may take.
    #[serde(rename = "memory")]
    max_bytes: Option<ByteSize>,
    /// Records that anti-entropy repair asks for in a second at most.
    #[schemars(range(min = 100, max = 10_000_000), extend("x-expected" = "a whole number from 100 to 10000000"))]
    #[serde(rename = "rate")]
    repair_rate: Option<u32>,
    /// How long a starting gateway waits for what its replica holders know of drains and primaries.
    #[serde(rename = "starts")]
    startup_wait: Option<TimeSpan>,
}

/// Configuration of the replication of gateway state.
#[derive(Clone, Copy, PartialEq)]
pub struct ReplicationSettings {
    /// Parameters of the replication itself.
    pub config: ReplicationConfig,
    /// Longest time that a starting gateway waits for the state that its replica holders have.
    pub startup_wait: Ticks,
}

/// Prints the text with which `leverpoint check` was released, as operators' scripts may read it.
impl fmt::Debug for ReplicationSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (config, limits) = (&self.config, &self.config.limits);
        write!(
            f,
            "Copying {{ terms: Terms {{ copies: Copies({}), lease: {}, clocks: {}, waits: {}, open: {}, \
             limits: Limits {{ records: {}, bytes: {}, keeps: {}, key_life: {} }}, rate: {} }}, starts: {} }}",
            config.replicas.get(),
            config.lease_duration,
            config.max_clock_skew,
            config.quorum_timeout,
            config.max_write_duration,
            limits.max_records,
            limits.max_bytes,
            limits.position_retention,
            limits.key_retention,
            config.repair_rate,
            self.startup_wait,
        )
    }
}

/// 1 s.
const DEFAULT_STARTUP_WAIT: Ticks = 10_000;

/// 200 ms.
const MIN_LEASE_DURATION: Ticks = 2_000;
/// 1 minute.
const MAX_LEASE_DURATION: Ticks = 600_000;

/// Values from the other blocks and the settings on which replication depends.
pub(crate) struct ReplicationPrerequisites {
    /// How far any two machines' clocks may differ.
    pub(crate) max_clock_skew: Ticks,
    /// The longest time that a client waits, or a retry is deduplicated.
    pub(crate) longest_timeout: Ticks,
    /// Whether this process is a member of a fleet.
    pub(crate) is_member: bool,
    /// Whether sessions are tracked under numbers that all gateways share.
    pub(crate) shares_sessions: bool,
}

impl Block {
    /// Returns the configuration of replication; `None` if it is off.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong, or that requires a key of another block which is missing.
    pub(crate) fn replication(
        &self,
        prerequisites: &ReplicationPrerequisites,
        context: &BlockContext<'_>,
    ) -> Result<Option<ReplicationSettings>, ConfigError> {
        if !self.enabled.unwrap_or(false) {
            return Ok(None);
        }
        if !prerequisites.is_member {
            return Err(context.error("on", "false, or members.listen as well"));
        }
        if !prerequisites.shares_sessions {
            let expected = "false, or sessions.follow and sessions.number as well";
            return Err(context.error("on", expected));
        }
        let default = ReplicationConfig::default();
        let replicas = self
            .replicas
            .map_or(Some(ReplicationFactor::DEFAULT), |replicas| {
                ReplicationFactor::new(replicas as usize)
            })
            .ok_or_else(|| context.error("copies", "1, 3, 5 or 7"))?;
        let lease_duration =
            TimeSpan::value_or(self.lease_duration.as_ref(), default.lease_duration);
        if !(MIN_LEASE_DURATION..=MAX_LEASE_DURATION).contains(&lease_duration) {
            return Err(context.error("lease", "a time from \"200ms\" to \"1m\""));
        }
        let limits = self.limits(prerequisites, default.limits, context)?;
        Ok(Some(ReplicationSettings {
            config: ReplicationConfig {
                replicas,
                lease_duration,
                max_clock_skew: prerequisites.max_clock_skew,
                quorum_timeout: TimeSpan::value_or(
                    self.quorum_timeout.as_ref(),
                    default.quorum_timeout,
                ),
                max_write_duration: limits.key_retention,
                limits,
                repair_rate: self.repair_rate.map_or(default.repair_rate, |n| n as usize),
            },
            startup_wait: TimeSpan::value_or(self.startup_wait.as_ref(), DEFAULT_STARTUP_WAIT),
        }))
    }

    fn limits(
        &self,
        prerequisites: &ReplicationPrerequisites,
        default: RecordStoreLimits,
        context: &BlockContext<'_>,
    ) -> Result<RecordStoreLimits, ConfigError> {
        // A client may retry until its timeout, and its last retry may be under way for as long again.
        let key_retention = 2 * prerequisites.longest_timeout + 2 * prerequisites.max_clock_skew;
        let position_retention =
            TimeSpan::value_or(self.position_retention.as_ref(), default.position_retention);
        if position_retention < key_retention {
            let expected = format!(
                "at least \"{}ms\", twice what a client or a key's window takes",
                key_retention / 10 + 1
            );
            return Err(context.error("keeps", &expected));
        }
        Ok(RecordStoreLimits {
            max_records: self.max_records.map_or(default.max_records, |n| n as usize),
            max_bytes: self
                .max_bytes
                .as_ref()
                .map_or(default.max_bytes, ByteSize::value),
            position_retention,
            key_retention,
        })
    }
}
