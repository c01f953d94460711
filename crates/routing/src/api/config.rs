//! Configuration of the router: request classes, tenants, and what the deployment permits.

use super::Ticks;

/// Configuration that holds for the lifetime of a router.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Index of this gateway among `gateways`.
    pub gateway_index: usize,
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// Zone of this gateway.
    pub zone: usize,
    /// Interval at which the caller passes collected input to the router.
    pub batch_interval: Ticks,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index.
    pub tenants: Vec<Tenant>,
    /// Factor on the priority weight of a request over its tenant's quota.
    pub over_quota_weight: f64,
    /// What a replica does with a read whose required position it has not reached.
    pub replica_check: ReplicaCheck,
    /// Who remembers the position that a session must see.
    pub position_keeper: PositionKeeper,
    /// Whether answers carry the replication position of the server.
    pub reports_positions: bool,
    /// How the endpoint list reaches the gateway.
    pub endpoint_list: EndpointListConfig,
    /// What the deployment permits.
    pub permissions: Permissions,
    /// Limits that protect draining and warming servers.
    pub protection: ServerProtection,
}

/// A class of requests with the same consistency, idempotency and latency objective.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// How recent the data must be.
    pub consistency: Consistency,
    /// Effect of running a request twice.
    pub idempotency: Idempotency,
    /// Latency objective: answers within this time of the arrival earn the full priority weight.
    pub latency_objective: Ticks,
    /// Longest time that a client waits for the answer.
    pub timeout: Ticks,
    /// Priority weight of an answer in time.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer past the latency objective earns.
    pub late_factor: f64,
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Data of any age, from any member.
    Any,
    /// Data no older than this when the attempt starts.
    Bounded(Ticks),
    /// Data with all writes of the session.
    Session,
    /// Data with all writes that were made before the request arrived.
    Fresh,
    /// A write, which only the primary accepts.
    Write,
}

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The same effect as running it once.
    Idempotent,
    /// Duplicates are dropped for `window` after the first attempt that may have executed.
    IdempotentByKey {
        /// How long the key is remembered.
        window: Ticks,
        /// Which servers drop duplicates.
        scope: DeduplicationScope,
    },
    /// A second effect.
    NonIdempotent,
}

/// Which servers drop duplicates of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    Everywhere,
    /// Servers of the zone in which it was first executed.
    Zone,
    /// Servers of the replica set in which it was first executed.
    Set,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within the quota, all gateways together.
    pub requests_per_second: f64,
    /// Share of all requests that the quota stands for.
    pub quota_share: f64,
}

/// What a replica does with a read whose required position it has not reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCheck {
    /// It answers from the data that it has.
    None,
    /// It rejects the read.
    Reject,
    /// It holds the read back for up to this long, then rejects it.
    Hold(Ticks),
}

/// Who remembers the position that a session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PositionKeeper {
    /// The client carries it in each request.
    Client,
    /// The gateway remembers it.
    Gateway,
}

/// How the endpoint list reaches the gateway and what it says of primaries.
#[derive(Clone, Copy, Debug)]
pub struct EndpointListConfig {
    /// Whether lists are pushed through an agent rather than polled from a shared discovery.
    pub pushed: bool,
    /// Whether the list names primaries.
    pub names_primary: bool,
    /// Longest time between two polls, where the list is polled.
    pub poll_interval: Ticks,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug)]
pub struct Permissions {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Hedged requests: a second attempt while the first is in flight.
    pub hedged_requests: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Gateways may talk to each other.
    pub gossip: bool,
    /// Shed requests may carry a time after which to retry.
    pub retry_after: bool,
    /// Longest time after which a shed request is to be retried.
    pub max_retry_after: Ticks,
}

/// Limits that protect draining and warming servers.
#[derive(Clone, Copy, Debug)]
pub struct ServerProtection {
    /// How long a draining server may still get new attempts.
    pub drain_grace: Ticks,
    /// Only a server listed as draining is excluded; one that is merely gone from the list is not.
    pub only_draining_excludes: bool,
    /// Fraction of its capacity that a server has when it has just started.
    pub slow_start_capacity: f64,
    /// How long a server warms up.
    pub slow_start_window: Ticks,
    /// Multiple of its current capacity that overloads a warming server.
    pub overload_multiple: f64,
    /// How long such an overload may last.
    pub overload_window: Ticks,
}
