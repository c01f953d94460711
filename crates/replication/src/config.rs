//! Configuration of replication: timeouts, the replication factor, and bounds.

use crate::Ticks;
use crate::placement::ReplicationFactor;
use crate::record_store::RecordStoreLimits;

/// Default lease duration, 2 s: renewed every 500 ms, so that a lost message or a short pause of a host expires none.
const DEFAULT_LEASE: Ticks = 20_000;

/// Replication settings of one member.
///
/// All settings except the limits of a single process have to be the same on all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// Number of replicas of each record.
    pub replicas: ReplicationFactor,
    /// Lease duration: a member that has been silent for longer may be serving without a quorum, and does not act on
    /// any layout.
    pub lease_duration: Ticks,
    /// Upper bound of the difference between the clocks of any two hosts.
    pub max_clock_skew: Ticks,
    /// Longest time that a write or read waits for a quorum of replicas.
    pub quorum_timeout: Ticks,
    /// Upper bound of the time that any client's write stays open.
    pub max_write_duration: Ticks,
    /// Bounds of the record store.
    pub limits: RecordStoreLimits,
    /// Records that anti-entropy requests per second at most.
    pub repair_rate: usize,
}

impl Default for ReplicationConfig {
    fn default() -> ReplicationConfig {
        ReplicationConfig {
            replicas: ReplicationFactor::DEFAULT,
            lease_duration: DEFAULT_LEASE,
            max_clock_skew: 10,
            quorum_timeout: 500,
            max_write_duration: 600_000,
            limits: RecordStoreLimits {
                max_records: 1 << 20,
                max_bytes: 256 << 20,
                position_retention: 6_000_000,
                key_retention: 600_000,
            },
            repair_rate: 20_000,
        }
    }
}
