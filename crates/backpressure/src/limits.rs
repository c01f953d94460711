//! Limits on slow connections, and how they follow from what a machine provides.

use crate::Ticks;

/// Limits by which client connections and servers are judged; sizes in bytes, times in ticks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes a second below which a connection is evicted.
    pub min_rate: u64,
    /// A transfer is not judged before it has taken this long.
    pub grace: Ticks,
    /// A connection on which nothing moves for this long is stalled.
    pub stall_timeout: Ticks,
    /// Length up to which a message counts as small and gets twice the grace.
    pub small_message: usize,
    /// Bytes read at a good rate, in one response or in several, that make a connection a proven one; more than the
    /// kernel holds unread for it.
    pub proof_bytes: usize,
    /// Bytes held for one connection at most, in each direction.
    pub per_connection: usize,
    /// Bytes held for the unproven connections of one tenant, in each direction.
    pub per_tenant: usize,
    /// Bytes held for all slow connections together, in each direction.
    pub slow_total: usize,
    /// Bytes held for all unproven connections, the slow ones among them, in each direction.
    pub unproven_total: usize,
    /// Bytes held for all connections, in each direction.
    pub total: usize,
    /// Number of proven connections up to which none of them is evicted for another.
    pub protected_connections: usize,
    /// Connections accepted a second.
    pub arrivals_per_second: u32,
    /// Least time after which a shed connection is to retry; at most twice of it is told.
    pub retry_after: Ticks,
    /// How long a server may take, after a complete row, to be ready.
    pub ready_timeout: Ticks,
    /// Size that the kernel is asked for each socket buffer; it takes twice as much.
    pub kernel_buffer: usize,
    /// Whether connections are judged; else only `total` holds, first come first served, and the `grace` of a message.
    pub enabled: bool,
}

/// What the machine provides, and what each connection is granted without a reservation.
#[derive(Clone, Copy, Debug)]
pub struct ProcessResources {
    /// Memory for the process, in bytes.
    pub memory: usize,
    /// Descriptors for the process.
    pub descriptors: usize,
    /// Bytes that a connection may take in both directions together without a reservation.
    pub unreserved_per_connection: usize,
    /// Length of the longest message.
    pub max_message: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: Ticks,
}

/// Least rate, in bytes a second: well below the slowest usable network.
const MIN_RATE: u64 = 8 << 10;
/// Grace of a transfer: clients are due an error within 3 s, of which one second is kept in reserve.
const GRACE: Ticks = 20_000;
/// Longer than a few retransmissions of a lost packet take.
const STALL_TIMEOUT: Ticks = 10_000;
/// Connections a second that take half of a core where one and its first request cost 300 µs; the other half is left to
/// those already open.
const ARRIVALS_PER_SECOND: u32 = 1_600;
/// BelowMinimum this a kernel buffer would cost honest clients more than it saves: two segments of a usual network.
const MIN_KERNEL_BUFFER: usize = 8 << 10;
const MAX_KERNEL_BUFFER: usize = 64 << 10;

impl Limits {
    /// Defaults for a machine, where the operator's file says nothing.
    pub fn from_resources(resources: &ProcessResources) -> Limits {
        // A quarter of the memory for both kernel buffers of all connections, within the bounds.
        let kernel = (resources.memory / 8 / resources.descriptors)
            .clamp(MIN_KERNEL_BUFFER, MAX_KERNEL_BUFFER);
        // What connections take without a reservation comes off first, in their ring buffers and, for one of the two
        // directions, in the kernel. A third each is for requests and for responses, the rest for all else.
        let connections = resources.descriptors * (resources.unreserved_per_connection + kernel);
        let all = (resources.memory.saturating_sub(connections) / 3).max(resources.max_message);
        let newcomers = (all / 2).max(resources.max_message);
        Limits {
            min_rate: MIN_RATE,
            grace: GRACE,
            stall_timeout: STALL_TIMEOUT,
            small_message: 4 << 10,
            // The kernel takes twice what it was asked for, and the client's kernel may hold as much.
            proof_bytes: 4 * kernel,
            per_connection: resources.max_message,
            per_tenant: (newcomers / 3 * 2).max(resources.max_message),
            slow_total: (all / 4).max(resources.max_message),
            unproven_total: newcomers,
            total: all,
            // Half of the third of all descriptors that clients may hold for requests.
            protected_connections: resources.descriptors / 6,
            arrivals_per_second: ARRIVALS_PER_SECOND,
            retry_after: resources.connect_timeout * 4,
            ready_timeout: resources.connect_timeout,
            kernel_buffer: kernel,
            enabled: true,
        }
    }
}
