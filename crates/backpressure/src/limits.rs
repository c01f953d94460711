//! Limits on slow connections, and their defaults by the resources of the process.

use crate::Ticks;

/// Limits on client connections and servers; sizes in bytes, times in ticks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Minimum rate, in bytes a second: a connection below it is evicted once no answer is due to it.
    pub min_rate: u64,
    /// Time from the start of a transfer in which its rate is not judged.
    pub grace: Ticks,
    /// Time without any transferred byte after which a connection with pending bytes is stalled.
    pub stall_timeout: Ticks,
    /// Number of pending bytes up to which a transfer counts as small and gets twice the grace.
    pub small_message: usize,
    /// Bytes that a client has to read at a good rate, in one response or in several, to become proven; more than the
    /// kernel holds unread for it.
    pub proof_bytes: usize,
    /// Maximum number of bytes held for one connection, in each direction.
    pub per_connection: usize,
    /// Maximum number of bytes held or reserved for the connections of one tenant that are not proven, in each
    /// direction.
    pub per_tenant: usize,
    /// Maximum number of bytes held for all slow and stalled connections, in each direction.
    pub slow_total: usize,
    /// Maximum number of bytes held for all unproven, slow and stalled connections, in each direction.
    pub unproven_total: usize,
    /// Maximum number of bytes held for all connections, in each direction.
    pub total: usize,
    /// Number of proven connections up to which none of them is evicted for another.
    pub protected_connections: usize,
    /// Number of connections accepted a second, after a burst.
    pub arrivals_per_second: u32,
    /// Lower bound of the retry time told to a client whose request is shed; the upper bound is twice of it.
    pub retry_after: Ticks,
    /// Time that a server may take from a complete row until it is ready for the next request.
    pub ready_timeout: Ticks,
    /// Size requested from the kernel for each socket buffer; the kernel allocates twice as much.
    pub kernel_buffer: usize,
    /// Whether the rates of connections are judged. Otherwise only `total` applies, first come first served, and the
    /// `grace` of an incomplete message.
    pub enabled: bool,
}

/// Resources of the process, and what each connection takes of them without a reservation.
#[derive(Clone, Copy, Debug)]
pub struct ProcessResources {
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Number of file descriptors that the process may open.
    pub descriptors: usize,
    /// Bytes that a connection may take without a reservation, in both directions together.
    pub unreserved_per_connection: usize,
    /// Length of the longest message, in bytes.
    pub max_message: usize,
    /// Timeout for establishing a connection to a server, in ticks.
    pub connect_timeout: Ticks,
}

/// Default minimum rate, in bytes a second: well below the slowest usable network.
const MIN_RATE: u64 = 8 << 10;
/// Default grace: clients are due an error within 3 s, of which one second is kept in reserve.
const GRACE: Ticks = 20_000;
/// Default stall timeout: longer than a few retransmissions of a lost packet take.
const STALL_TIMEOUT: Ticks = 10_000;
/// Default arrival rate, in connections a second: it takes half of a core where a connection and its first request cost
/// 300 µs; the other half is left to the connections already open.
const ARRIVALS_PER_SECOND: u32 = 1_600;
/// Two segments of a usual network: a smaller kernel buffer would cost well-behaved clients more than it saves.
const MIN_KERNEL_BUFFER: usize = 8 << 10;
const MAX_KERNEL_BUFFER: usize = 64 << 10;

impl Limits {
    /// Default limits, used where the operator's file states none.
    pub fn from_resources(resources: &ProcessResources) -> Limits {
        // A quarter of the memory goes to both kernel buffers of all connections, within the bounds.
        let kernel_buffer_size = (resources.memory / 8 / resources.descriptors)
            .clamp(MIN_KERNEL_BUFFER, MAX_KERNEL_BUFFER);
        // What connections take without a reservation is subtracted first: their ring buffers and, for one of the two
        // directions, the kernel's buffers. One third each is for requests and for responses, the rest for everything
        // else.
        let unreserved =
            resources.descriptors * (resources.unreserved_per_connection + kernel_buffer_size);
        let total_size =
            (resources.memory.saturating_sub(unreserved) / 3).max(resources.max_message);
        let unproven_size = (total_size / 2).max(resources.max_message);
        Limits {
            min_rate: MIN_RATE,
            grace: GRACE,
            stall_timeout: STALL_TIMEOUT,
            small_message: 4 << 10,
            // The kernel allocates twice the requested size, and the client's kernel may hold as much.
            proof_bytes: 4 * kernel_buffer_size,
            per_connection: resources.max_message,
            per_tenant: (unproven_size / 3 * 2).max(resources.max_message),
            slow_total: (total_size / 4).max(resources.max_message),
            unproven_total: unproven_size,
            total: total_size,
            // Half of the descriptors that clients may hold for requests, which are a third of all.
            protected_connections: resources.descriptors / 6,
            arrivals_per_second: ARRIVALS_PER_SECOND,
            retry_after: resources.connect_timeout * 4,
            ready_timeout: resources.connect_timeout,
            kernel_buffer: kernel_buffer_size,
            enabled: true,
        }
    }
}
