//! Input and output types of the router, independent of the protocol in front of it.
//!
//! Times are [`Ticks`] on the gateway's clock, replication positions are times on the same clock.
//! Identifiers are small indices assigned by the caller, which may reuse a request's index once the
//! request is finished and all of its attempts have ended.

mod config;

pub use config::{
    Consistency, DeduplicationScope, EndpointListConfig, Idempotency, Permissions, PositionKeeper,
    ReplicaCheck, RequestClass, RoutingConfig, ServerProtection, Tenant,
};

/// A point in time or a duration, in ticks of 100 µs.
pub type Ticks = i64;

/// A millisecond, in ticks.
pub const MILLISECOND: Ticks = 10;

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Index of the server.
    pub server: usize,
    /// Index of its replica set.
    pub set: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it may get attempts.
    pub state: EndpointState,
    /// Whether the list names it the primary of its set.
    pub primary: bool,
    /// Its capacity, relative to a server of size 1.
    pub size: f64,
    /// When it last started; 0 if that was long ago.
    pub started_at: Ticks,
}

/// State of a server according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It must get no new attempts.
    Draining,
    /// It is not listed.
    #[default]
    Gone,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Changes,
    /// The full list; a server that is missing from it is gone.
    Full,
    /// The full list as last held before a restart.
    Restored,
    /// A poll has failed; the list is unchanged.
    Failed,
}

/// Result of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryOutcome {
    /// It returned the list, or confirmed that nothing has changed.
    Confirmed,
    /// It was reached and refused the call.
    Refused,
    /// It could not be reached during a call that began `ago` ticks before the event.
    Unreachable {
        /// Time since the call began.
        ago: Ticks,
    },
    /// Its address has changed, and later calls go to the new one.
    Moved,
}

/// A request that a client has sent.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of the request.
    pub request: usize,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Index of the replica set it is for.
    pub set: usize,
    /// Index of its session, where it has one.
    pub session: Option<usize>,
    /// Client deadline: when the client stops waiting, rounded down.
    pub deadline: Ticks,
    /// Replication position that the answer must cover, beside the one that the router remembers
    /// for the session.
    pub required_position: Option<Ticks>,
    /// Until this time a read with a required position waits for a replica that is about to reach
    /// it, and does not overflow to the primary.
    pub wait_for_replica_until: Ticks,
    /// Whether the client marked the request as a retry of an earlier one.
    pub client_retry: bool,
    /// When another gateway started an attempt with the same idempotency key that may have
    /// executed, if one did.
    pub first_attempt_elsewhere: Option<Ticks>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered,
    /// The server answered with an error.
    Error,
    /// Rejected before execution: the server has no capacity.
    Overloaded,
    /// No answer within the attempt's timeout.
    TimedOut,
    /// No connection could be established.
    NotConnected,
    /// The connection broke before the answer was complete.
    Reset,
    /// Cancelled by the gateway.
    Cancelled,
    /// Not sent to the server.
    NotSent,
    /// Rejected before execution: the server is too far behind, or not the primary.
    NotCaughtUp,
}

impl AttemptOutcome {
    /// Whether the attempt certainly did not execute.
    pub fn never_executed(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, Overloaded | NotConnected | NotSent | NotCaughtUp)
    }
}

/// What a server reports about itself with an answer.
#[derive(Clone, Copy, Debug)]
pub struct ServerReport {
    /// Whether it is the primary of its set.
    pub primary: bool,
    /// Its replication position, rounded down; for a successful write its commit, rounded up.
    pub position: Option<Ticks>,
}

/// Announcement that a server has reported to be the primary of its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryAnnouncement {
    /// Index of the server.
    pub server: usize,
    /// When it reported that.
    pub at: Ticks,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// Index of the request.
    pub request: usize,
    /// Which attempt of the request, counted from 0.
    pub attempt: u32,
    /// Index of the server.
    pub server: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its end.
    pub elapsed: Ticks,
    /// Whether the request is finished, by this answer or earlier.
    pub request_finished: bool,
    /// What the server reported about itself.
    pub report: Option<ServerReport>,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// An update of the endpoint list, with the entries that it contains.
    Endpoints(EndpointUpdate, &'a [Endpoint]),
    /// A call to discovery has ended, where the caller schedules these calls itself.
    Discovery(DiscoveryOutcome),
    /// A request has arrived.
    RequestArrived(Request),
    /// The client of this request has received the result row of its write;
    /// [`Event::AttemptFinished`], with the server's report, follows.
    WriteAnswered(usize),
    /// An attempt has ended.
    AttemptFinished(FinishedAttempt),
    /// The client of this request has disconnected.
    ClientDisconnected(usize),
    /// The timer of this key has expired.
    TimerExpired(u32),
    /// A probe of a server has ended.
    ProbeFinished {
        /// Index of the server.
        server: usize,
        /// Whether it answered.
        ok: bool,
        /// What it reported about itself.
        report: Option<ServerReport>,
    },
    /// Another gateway has announced primaries.
    PrimariesAnnounced(&'a [PrimaryAnnouncement]),
    /// The gateway shuts down, and ends all requests at this time.
    ShutdownScheduled(Ticks),
}

/// An output of the router, which its caller executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, unless `arrive_by` has passed: the deadline or the deduplication window
    /// that permits the attempt is then over. An attempt whose statement has not arrived whole by
    /// then must be withdrawn from the server.
    StartAttempt {
        /// Index of the request.
        request: usize,
        /// Index of the server.
        server: usize,
        /// How long to wait for the answer.
        timeout: Ticks,
        /// Latest time at which the statement's last byte may arrive at the server.
        arrive_by: Ticks,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Index of the request.
        request: usize,
        /// Which attempt of the request.
        attempt: u32,
    },
    /// Final answer: shed the request. A retry by the client has no second effect; with a
    /// `retry_after` of 0 the client is told no time to retry after.
    Shed {
        /// Index of the request.
        request: usize,
        /// Time after which the client is to retry.
        retry_after: Ticks,
    },
    /// Final answer: fail the request, of which it is unknown whether it had an effect.
    Fail {
        /// Index of the request.
        request: usize,
    },
    /// Set a timer.
    SetTimer {
        /// When it expires.
        at: Ticks,
        /// Its key.
        key: u32,
    },
    /// Probe a server.
    Probe {
        /// Index of the server.
        server: usize,
    },
    /// Announce a primary to all other gateways.
    AnnouncePrimary(PrimaryAnnouncement),
    /// Poll the endpoint list once.
    PollEndpoints,
    /// Start or stop watching the endpoint list.
    WatchEndpoints(bool),
    /// The session's index may be reused: the router remembers no position of the session.
    ReleaseSession(usize),
    /// The server's index may be reused: the server is gone and has no attempt in flight.
    ReleaseServer(usize),
    /// Write a line to the log.
    Log(String),
}
