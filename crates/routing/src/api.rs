//! Types that go into the router and come out of it, whatever protocol stands before it.
//!
//! Times are [`Ticks`] on the gateway's clock, replication positions are times on the same clock.
//! Identifiers are small indices given out by the caller, which may reuse a request's index once
//! the request is finished and all of its attempts have ended.

mod config;

pub use config::{
    Consistency, DeduplicationScope, EndpointListConfig, Idempotency, Permissions, PositionKeeper,
    ReplicaCheck, RequestClass, RoutingConfig, ServerProtection, Tenant,
};

/// A time or a span in ticks of 100 µs.
pub type Ticks = i64;

/// A millisecond, in ticks.
pub const MILLISECOND: Ticks = 10;

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Index of the server.
    pub server: usize,
    /// Index of its replica set.
    pub set: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it may be used.
    pub state: EndpointState,
    /// Whether the list names it the primary of its set.
    pub primary: bool,
    /// Its relative capacity.
    pub size: f64,
    /// When it last started; 0 when long ago.
    pub started_at: Ticks,
}

/// Whether a listed server may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It is to get nothing new.
    Draining,
    /// It is not listed.
    #[default]
    Gone,
}

/// What an update says of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed lines only.
    Changes,
    /// The full list; a server that is not on it is gone.
    Full,
    /// The full list as last held before a restart.
    Restored,
    /// A poll has failed; the list stands as it was.
    Failed,
}

/// What a call to discovery has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryOutcome {
    /// It gave the list, or confirmed that nothing has changed.
    Confirmed,
    /// It could be reached and refused.
    Refused,
    /// It could not be reached during a call that began `ago`.
    Unreachable {
        /// Time since the call began.
        ago: Ticks,
    },
    /// It is called at another address from now on.
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
    /// Position that the session must see, beside what the router remembers.
    pub required_position: Option<Ticks>,
    /// Before this a read with a required position waits for a replica that is about to reach it,
    /// and goes to no primary.
    pub wait_for_replica_until: Ticks,
    /// The client says that this is a retry of its own.
    pub client_retry: bool,
    /// When another gateway has sent a request with the same idempotency key that may have
    /// executed.
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
    /// No connection came up.
    NotConnected,
    /// The connection broke before the answer was complete.
    Reset,
    /// Cancelled by the gateway.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Rejected before execution: the server is too far behind, or not the primary.
    NotCaughtUp,
}

impl AttemptOutcome {
    /// Whether the attempt surely did not execute.
    pub fn never_executed(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, Overloaded | NotConnected | NotSent | NotCaughtUp)
    }
}

/// What an answer reports of the server that gave it.
#[derive(Clone, Copy, Debug)]
pub struct ServerReport {
    /// Whether it is the primary of its set.
    pub primary: bool,
    /// Its replication position, rounded down; for a successful write its commit, rounded up.
    pub position: Option<Ticks>,
}

/// Announcement that a server said at this time that it is the primary of its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrimaryAnnouncement {
    /// Index of the server.
    pub server: usize,
    /// When it said so.
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
    /// Time from its start to its end.
    pub elapsed: Ticks,
    /// The request is finished, by this answer or earlier.
    pub request_finished: bool,
    /// What the server reported of itself.
    pub report: Option<ServerReport>,
}

/// An input of the router.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The endpoint list has changed.
    Endpoints(EndpointUpdate, &'a [Endpoint]),
    /// A call to discovery has ended, where the caller follows discovery by itself.
    Discovery(DiscoveryOutcome),
    /// A request has arrived.
    RequestArrived(Request),
    /// The client of this request has the row of its write; the end of the attempt, with the server's
    /// report, follows.
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
        /// What it reported of itself.
        report: Option<ServerReport>,
    },
    /// Announcements of primaries from another gateway.
    PrimariesAnnounced(&'a [PrimaryAnnouncement]),
    /// The gateway shuts down: all requests are ended at this time.
    ShutdownScheduled(Ticks),
}

/// An output of the router, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; not after `start_by`, when what allows it is over.
    StartAttempt {
        /// Index of the request.
        request: usize,
        /// Index of the server.
        server: usize,
        /// How long to wait for the answer.
        timeout: Ticks,
        /// Latest time at which it may start.
        start_by: Ticks,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Index of the request.
        request: usize,
        /// Which attempt of the request.
        attempt: u32,
    },
    /// Final: shed the request, a client retry is harmless; a `retry_after` of 0 gives no advice.
    Shed {
        /// Index of the request.
        request: usize,
        /// Time after which the client is to retry.
        retry_after: Ticks,
    },
    /// Final: fail the request, nothing is known of its effect.
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
    /// The session's index may be given out again.
    ReleaseSession(usize),
    /// The server's index may be given out again: it is gone and has no attempt under way.
    ReleaseServer(usize),
    /// Write a line to the log.
    Log(String),
}
