//! The block `slow`: limits for clients that read or write slowly. Fields have the terms of `leverpoint-backpressure`.

use leverpoint_backpressure::Limits;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::document::BlockContext;
use crate::units::{ByteRate, ByteSize, TimeSpan};
use crate::value_path::ConfigError;

/// Limits for clients that read or write slowly. What is not stated follows from the machine's limits and the settings.
#[derive(Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Block {
    /// Whether clients are limited at all; without it all are served in the order of arrival.
    #[schemars(extend("x-expected" = "true or false"))]
    #[serde(rename = "caps")]
    enabled: Option<bool>,
    /// Bytes a second below which a client is evicted once no answer is owed to it.
    #[serde(rename = "least_rate")]
    min_rate: Option<ByteRate>,
    /// How long a first burst, or an incomplete message, is not rated.
    grace: Option<TimeSpan>,
    /// A client that acknowledges nothing for so long is stalled.
    #[serde(rename = "stall")]
    stall_timeout: Option<TimeSpan>,
    /// Messages up to this length are given twice the grace.
    #[serde(rename = "small")]
    small_message: Option<ByteSize>,
    /// Bytes acknowledged at a good rate after which a client counts as proven.
    #[serde(rename = "proof")]
    proof_bytes: Option<ByteSize>,
    /// Buffered for one client at most, in each direction.
    #[serde(rename = "one_peer")]
    per_connection: Option<ByteSize>,
    /// Buffered for the unproven clients of one tenant at most, in each direction.
    #[serde(rename = "customer")]
    per_tenant: Option<ByteSize>,
    /// Buffered for all slow clients at most, in each direction.
    #[serde(rename = "slow")]
    slow_total: Option<ByteSize>,
    /// Buffered for all unproven clients at most, the slow ones among them, in each direction.
    #[serde(rename = "newcomers")]
    unproven_total: Option<ByteSize>,
    /// Buffered for all clients at most, in each direction.
    #[serde(rename = "all")]
    total: Option<ByteSize>,
    /// Number of proven connections up to which none of them is evicted for another.
    #[schemars(range(min = 1, max = 1_000_000), extend("x-expected" = "a whole number from 1 to 1000000"))]
    #[serde(rename = "connections")]
    protected_connections: Option<u32>,
    /// Connections accepted in a second; a burst of 32 goes before.
    #[schemars(range(min = 1, max = 1_000_000), extend("x-expected" = "a whole number from 1 to 1000000"))]
    #[serde(rename = "arrivals")]
    arrivals_per_second: Option<u32>,
    /// Retry wait told to clients that are shed, between once and twice of it.
    #[serde(rename = "come_back")]
    retry_after: Option<TimeSpan>,
    /// How long a server may take to be ready after a complete row.
    #[serde(rename = "after_row")]
    ready_timeout: Option<TimeSpan>,
    /// Size of the send and of the receive buffer that the kernel is asked for, for each connection.
    #[serde(rename = "kernel")]
    kernel_buffer: Option<ByteSize>,
}

impl Block {
    /// Returns the limits: `defaults`, which follow from the machine, overridden by what the block states.
    ///
    /// # Errors
    ///
    /// Names the first size that contradicts another one, or is below `longest_message`, in bytes.
    pub(crate) fn limits(
        &self,
        defaults: Limits,
        longest_message: usize,
        context: &BlockContext<'_>,
    ) -> Result<Limits, ConfigError> {
        let limits = self.apply_to(defaults);
        let sizes = [
            ("one_peer", limits.per_connection),
            ("customer", limits.per_tenant),
            ("slow", limits.slow_total),
            ("newcomers", limits.unproven_total),
            ("all", limits.total),
        ];
        for (key, bytes) in sizes {
            if bytes < longest_message {
                let expected = format!("at least {longest_message}B, the longest message");
                return Err(context.error(key, &expected));
            }
            if bytes > limits.total {
                return Err(context.error(key, &format!("at most slow.all, {}B", limits.total)));
            }
        }
        if limits.slow_total > limits.unproven_total {
            let expected = format!("at most slow.newcomers, {}B", limits.unproven_total);
            return Err(context.error("slow", &expected));
        }
        Ok(limits)
    }

    /// Returns `defaults` with the limits that the block states in their place.
    fn apply_to(&self, defaults: Limits) -> Limits {
        let bytes =
            |stated: &Option<ByteSize>, default| stated.as_ref().map_or(default, ByteSize::value);
        let time =
            |stated: &Option<TimeSpan>, default| TimeSpan::value_or(stated.as_ref(), default);
        let rate = self.min_rate.as_ref();
        let total = bytes(&self.total, defaults.total);
        // A smaller total lowers the limits within it, unless these are stated as well.
        let unproven_total = bytes(&self.unproven_total, defaults.unproven_total.min(total));
        Limits {
            enabled: self.enabled.unwrap_or(defaults.enabled),
            min_rate: rate.map_or(defaults.min_rate, ByteRate::value),
            grace: time(&self.grace, defaults.grace),
            stall_timeout: time(&self.stall_timeout, defaults.stall_timeout),
            small_message: bytes(&self.small_message, defaults.small_message),
            proof_bytes: bytes(&self.proof_bytes, defaults.proof_bytes),
            per_connection: bytes(&self.per_connection, defaults.per_connection),
            per_tenant: bytes(&self.per_tenant, defaults.per_tenant.min(unproven_total)),
            slow_total: bytes(&self.slow_total, defaults.slow_total.min(unproven_total)),
            unproven_total,
            total,
            protected_connections: self
                .protected_connections
                .map_or(defaults.protected_connections, |n| n as usize),
            arrivals_per_second: self
                .arrivals_per_second
                .unwrap_or(defaults.arrivals_per_second),
            retry_after: time(&self.retry_after, defaults.retry_after),
            ready_timeout: time(&self.ready_timeout, defaults.ready_timeout),
            kernel_buffer: bytes(&self.kernel_buffer, defaults.kernel_buffer),
        }
    }
}
