//! Parameters of membership, and the time bounds that follow from them.

use crate::Ticks;

/// Parameters of a fleet. All its members are given the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// One member is probed in each interval.
    pub probe_interval: Ticks,
    /// How long a direct probe is awaited before indirect ones are sent; less than half the probe interval.
    pub probe_timeout: Ticks,
    /// Number of other members asked to probe a member that has not acknowledged a direct probe in time.
    pub indirect_probes: usize,
    /// The suspicion timeout, in probe intervals for each unit of the binary logarithm of the fleet's size.
    pub suspicion_multiplier: u32,
    /// How often an update is sent for each unit of the binary logarithm of the fleet's size.
    pub retransmit_multiplier: u32,
    /// Upper bound of the number of known members, dead ones included.
    pub max_members: usize,
    /// How long a dead member stays known, so that its incarnation is not taken for a new one.
    pub dead_retention: Ticks,
    /// How long a member has to be alive before it is proposed for the layout.
    pub join_delay: Ticks,
}

/// Default parameters. A probe interval of half a second costs a member some 500 bytes a second whatever the fleet's
/// size. The probe timeout is well above a round trip between data centres, which takes a few milliseconds.
pub const DEFAULT_CONFIG: MembershipConfig = MembershipConfig {
    probe_interval: 5_000,
    probe_timeout: 1_500,
    indirect_probes: 3,
    suspicion_multiplier: 3,
    retransmit_multiplier: 3,
    // Room for the largest layout and for as many members that are dead or waiting to join.
    max_members: 2 * crate::layout::MAX_HOLDERS,
    dead_retention: 36_000_000,
    join_delay: 20_000,
};

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        DEFAULT_CONFIG
    }
}

/// The binary logarithm of a fleet's size, rounded up, at least one.
pub fn log2_ceil(members: usize) -> u32 {
    members.max(2).next_power_of_two().trailing_zeros()
}

impl MembershipConfig {
    /// How long a member stays suspect before it is declared dead, in a fleet of this size.
    pub fn suspicion_timeout(&self, members: usize) -> Ticks {
        self.probe_interval * Ticks::from(self.suspicion_multiplier * log2_ceil(members))
    }

    /// How many times an update is sent in a fleet of this size.
    pub fn retransmit_limit(&self, members: usize) -> u32 {
        self.retransmit_multiplier * log2_ceil(members)
    }

    /// Upper bound from a member's death until all others see it as dead, while the links between them work: a round of
    /// probes, the suspicion timeout, and dissemination.
    pub fn detection_bound(&self, members: usize) -> Ticks {
        self.probe_interval * (2 * members as Ticks + 2)
            + self.suspicion_timeout(members)
            + self.probe_interval * Ticks::from(2 * log2_ceil(members))
    }

    /// Upper bound from the recovery of all links until no living member is seen as dead: a dead member is contacted in
    /// one probe round of four, and its refutation is disseminated.
    pub fn recovery_bound(&self, members: usize) -> Ticks {
        self.probe_interval * (4 * members as Ticks + 8)
            + self.probe_interval * Ticks::from(4 * log2_ceil(members))
    }

    /// The longest time between two calls of [`Member::tick`](crate::Member::tick) while the process runs. After a
    /// longer one it is taken to have been paused.
    pub fn pause_threshold(&self) -> Ticks {
        2 * self.probe_interval
    }
}
