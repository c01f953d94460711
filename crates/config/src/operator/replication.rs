//! The block `copies`: whether and how this gateway's state is replicated at other members of its fleet.

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
    on: Option<bool>,
    /// Replicas of each record; one fewer than half of them may be lost. The same for all members.
    #[schemars(extend("enum" = [1, 3, 5, 7], "x-expected" = "1, 3, 5 or 7"))]
    copies: Option<u32>,
    /// A gateway that has been silent for so long may answer without a quorum; the same for all members.
    lease: Option<TimeSpan>,
    /// How long a write, or a session's read, waits for its replica holders at most.
    waits: Option<TimeSpan>,
    /// How long a session's position is kept after its last update.
    keeps: Option<TimeSpan>,
    /// Number of records at most.
    #[schemars(range(min = 1024, max = 16_000_000), extend("x-expected" = "a whole number from 1024 to 16000000"))]
    records: Option<u32>,
    /// Memory that the records may take.
    memory: Option<ByteSize>,
    /// Records that anti-entropy repair asks for in a second at most.
    #[schemars(range(min = 100, max = 10_000_000), extend("x-expected" = "a whole number from 100 to 10000000"))]
    rate: Option<u32>,
    /// How long a starting gateway waits for what its replica holders know of drains and primaries.
    starts: Option<TimeSpan>,
}

/// Configuration of the replication of gateway state.
#[derive(Clone, Copy, PartialEq)]
pub struct ReplicationSettings {
    /// Parameters of the replication itself.
    pub config: ReplicationConfig,
    /// Longest time that a starting gateway waits for the state its replica holders have.
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

const DEFAULT_STARTUP_WAIT: Ticks = 10_000;

const MIN_LEASE: Ticks = 2_000;
const MAX_LEASE: Ticks = 600_000;

/// What replication needs of the other blocks and the settings.
pub(crate) struct ReplicationPrerequisites {
    /// How far any two machines' clocks may differ.
    pub(crate) clock_difference: Ticks,
    /// The longest time that a client waits, or a retry is deduplicated.
    pub(crate) longest_timeout: Ticks,
    /// Whether this process is a member of a fleet.
    pub(crate) is_member: bool,
    /// Whether sessions are tracked under numbers that all gateways share.
    pub(crate) shares_sessions: bool,
}

impl Block {
    /// Returns the configuration of replication; none where it is off.
    ///
    /// # Errors
    ///
    /// Names the first key that is wrong or lacks what it needs.
    pub(crate) fn replication(
        &self,
        prerequisites: &ReplicationPrerequisites,
        context: &BlockContext<'_>,
    ) -> Result<Option<ReplicationSettings>, ConfigError> {
        if !self.on.unwrap_or(false) {
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
        let copies = self
            .copies
            .map_or(Some(ReplicationFactor::DEFAULT), |copies| {
                ReplicationFactor::new(copies as usize)
            })
            .ok_or_else(|| context.error("copies", "1, 3, 5 or 7"))?;
        let lease = TimeSpan::value_or(self.lease.as_ref(), default.lease_duration);
        if !(MIN_LEASE..=MAX_LEASE).contains(&lease) {
            return Err(context.error("lease", "a time from \"200ms\" to \"1m\""));
        }
        let limits = self.limits(prerequisites, default.limits, context)?;
        Ok(Some(ReplicationSettings {
            config: ReplicationConfig {
                replicas: copies,
                lease_duration: lease,
                max_clock_skew: prerequisites.clock_difference,
                quorum_timeout: TimeSpan::value_or(self.waits.as_ref(), default.quorum_timeout),
                max_write_duration: limits.key_retention,
                limits,
                repair_rate: self.rate.map_or(default.repair_rate, |n| n as usize),
            },
            startup_wait: TimeSpan::value_or(self.starts.as_ref(), DEFAULT_STARTUP_WAIT),
        }))
    }

    fn limits(
        &self,
        prerequisites: &ReplicationPrerequisites,
        default: RecordStoreLimits,
        context: &BlockContext<'_>,
    ) -> Result<RecordStoreLimits, ConfigError> {
        // A client may retry for as long as it waits; what it sends may be on its way for as long again.
        let key_life = 2 * prerequisites.longest_timeout + 2 * prerequisites.clock_difference;
        let keeps = TimeSpan::value_or(self.keeps.as_ref(), default.position_retention);
        if keeps < key_life {
            let least = format!(
                "at least \"{}ms\", twice what a client or a key's window takes",
                key_life / 10 + 1
            );
            return Err(context.error("keeps", &least));
        }
        Ok(RecordStoreLimits {
            max_records: self.records.map_or(default.max_records, |n| n as usize),
            max_bytes: self
                .memory
                .as_ref()
                .map_or(default.max_bytes, ByteSize::value),
            position_retention: keeps,
            key_retention: key_life,
        })
    }
}
