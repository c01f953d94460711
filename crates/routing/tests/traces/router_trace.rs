//! Passes events to a [`Router`] and records them and the resulting actions as a trace, one per
//! line.

use std::fmt::Write;

use leverpoint_routing::api::*;
use leverpoint_routing::router::Router;

pub(crate) const MS: Ticks = 10;

/// Indices of the request classes of [`default_config`].
pub(crate) const ANY_READ: usize = 0;
pub(crate) const BOUNDED_READ: usize = 1;
pub(crate) const SESSION_READ: usize = 2;
pub(crate) const KEYED_WRITE: usize = 4;
pub(crate) const PLAIN_WRITE: usize = 5;

/// The session that tests use.
pub(crate) const SESSION: usize = 9;

/// A router with the trace of its events and actions.
pub(crate) struct RouterTrace {
    pub router: Router,
    pub now: Ticks,
    /// Whether requests are marked as retries of their clients.
    pub client_retry: bool,
    /// How long clients wait.
    pub client_timeout: Ticks,
    /// Position that requests carry, beside the one that the router remembers.
    pub required_position: Option<Ticks>,
    /// Until when reads wait for a replica.
    pub wait_for_replica_until: Ticks,
    /// Time that attempts are reported to have taken.
    pub elapsed: Ticks,
    actions: Vec<Action>,
    trace: String,
    /// Request and server of each attempt.
    attempts: Vec<(usize, usize)>,
}

/// Configuration of one of two gateways, in front of replicas that reject reads whose required
/// position they have not reached.
pub(crate) fn default_config() -> RoutingConfig {
    RoutingConfig {
        seed: 7,
        gateway_index: 0,
        gateways: 2,
        zone: 0,
        batch_interval: 5 * MS,
        classes: request_classes(),
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        replica_check: ReplicaCheck::Reject,
        position_keeper: PositionKeeper::Gateway,
        reports_positions: true,
        endpoint_list: EndpointListConfig {
            pushed: true,
            names_primary: true,
            poll_interval: 0,
        },
        permissions: Permissions {
            max_attempts: 8,
            hedged_requests: false,
            cancel: true,
            probes: false,
            gossip: false,
            retry_after: true,
            max_retry_after: 500 * MS,
        },
        protection: ServerProtection {
            drain_grace: 500 * MS,
            only_draining_excludes: false,
            slow_start_capacity: 0.2,
            slow_start_window: 15_000 * MS,
            overload_multiple: 2.0,
            overload_window: 2000 * MS,
        },
    }
}

/// One request class for each consistency of reads, a write with an idempotency key and one that is
/// not idempotent.
fn request_classes() -> Vec<RequestClass> {
    let class = |consistency, idempotency, late_factor| RequestClass {
        consistency,
        idempotency,
        latency_objective: 400 * MS,
        timeout: 2000 * MS,
        priority_weight: if consistency == Consistency::Write {
            3.0
        } else {
            1.0
        },
        late_factor,
    };
    let keyed = Idempotency::IdempotentByKey {
        window: 1500 * MS,
        scope: DeduplicationScope::Set,
    };
    vec![
        class(Consistency::Any, Idempotency::Idempotent, 0.0),
        class(
            Consistency::Bounded(3000 * MS),
            Idempotency::Idempotent,
            0.0,
        ),
        class(Consistency::Session, Idempotency::Idempotent, 0.0),
        class(Consistency::Fresh, Idempotency::Idempotent, 0.0),
        class(Consistency::Write, keyed, 0.3),
        class(Consistency::Write, Idempotency::NonIdempotent, 0.3),
    ]
}

pub(crate) fn endpoint(
    server: usize,
    state: EndpointState,
    primary: bool,
    started_at: Ticks,
) -> Endpoint {
    Endpoint {
        server,
        set: 0,
        zone: server % 2,
        state,
        primary,
        size: 1.0,
        started_at,
    }
}

impl RouterTrace {
    pub(crate) fn new(config: RoutingConfig) -> Self {
        let router = Router::new(config);
        RouterTrace {
            router,
            now: 100_000 * MS,
            client_retry: false,
            client_timeout: 2000 * MS,
            required_position: None,
            wait_for_replica_until: 0,
            elapsed: 20 * MS,
            actions: Vec::new(),
            trace: String::new(),
            attempts: Vec::new(),
        }
    }

    /// A router with the servers 0 to 3, of which the list names 0 the primary.
    pub(crate) fn with_replica_set(config: RoutingConfig) -> Self {
        let mut router = RouterTrace::new(config);
        let endpoints: Vec<_> = (0..4)
            .map(|s| endpoint(s, EndpointState::Ready, s == 0, 0))
            .collect();
        router.update_endpoints(EndpointUpdate::Restored, &endpoints);
        router
    }

    pub(crate) fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        let listed: Vec<_> = endpoints
            .iter()
            .map(|e| format!("{} {:?}", e.server, e.state))
            .collect();
        self.handle_event(
            &format!("list {update:?}: {}", listed.join(", ")),
            &Event::Endpoints(update, endpoints),
        );
    }

    /// Ends a call to discovery.
    pub(crate) fn finish_discovery_call(&mut self, outcome: DiscoveryOutcome) {
        self.handle_event(
            &format!("discovery: {outcome:?}"),
            &Event::Discovery(outcome),
        );
    }

    pub(crate) fn send_request(&mut self, request: usize, class: usize, session: Option<usize>) {
        let deadline = self.now + self.client_timeout;
        let arrived = Request {
            request,
            class,
            tenant: 0,
            set: 0,
            session,
            deadline,
            required_position: self.required_position,
            wait_for_replica_until: self.wait_for_replica_until,
            client_retry: self.client_retry,
            first_attempt_elsewhere: None,
        };
        self.handle_event(
            &format!("request {request} of class {class}"),
            &Event::RequestArrived(arrived),
        );
    }

    /// The server of the latest attempt of a request.
    pub(crate) fn server_of(&self, request: usize) -> usize {
        self.attempts
            .iter()
            .rev()
            .find(|attempt| attempt.0 == request)
            .map(|attempt| attempt.1)
            .expect("an attempt was started")
    }

    /// Ends an attempt of a request. `report` is whether the server reports to be the primary, and
    /// the age of its replication position.
    pub(crate) fn finish_attempt(
        &mut self,
        request: usize,
        attempt: u32,
        outcome: AttemptOutcome,
        report: Option<(bool, Ticks)>,
    ) {
        let report = report.map(|(primary, age)| ServerReport {
            primary,
            position: Some(self.now - age),
        });
        let server = self.server_of(request);
        let answered = outcome == AttemptOutcome::Answered;
        let finished = FinishedAttempt {
            request,
            attempt,
            server,
            outcome,
            elapsed: self.elapsed,
            request_finished: answered,
            report,
        };
        self.handle_event(
            &format!("attempt {request}.{attempt} at {server}: {outcome:?}"),
            &Event::AttemptFinished(finished),
        );
    }

    pub(crate) fn disconnect_client(&mut self, request: usize) {
        self.handle_event(
            &format!("request {request}: client disconnected"),
            &Event::ClientDisconnected(request),
        );
    }

    /// Announces, as another gateway, that this server has just reported to be the primary.
    pub(crate) fn announce_primary(&mut self, server: usize) {
        let announcement = PrimaryAnnouncement {
            server,
            at: self.now,
        };
        self.handle_event(
            &format!("primary {server} announced"),
            &Event::PrimariesAnnounced(&[announcement]),
        );
    }

    /// Schedules the gateway's shutdown, which ends all requests, after this time.
    pub(crate) fn shut_down_in(&mut self, time_left: Ticks) {
        let at = self.now + time_left;
        self.handle_event(
            &format!("shutdown in {} ms", time_left / MS),
            &Event::ShutdownScheduled(at),
        );
    }

    /// Advances the time, and lets the timer expire every 10 ms.
    pub(crate) fn advance_ms(&mut self, ms: Ticks) {
        for _ in 0..ms / 10 {
            self.now += 10 * MS;
            self.handle_event("", &Event::TimerExpired(0));
        }
    }

    fn handle_event(&mut self, description: &str, event: &Event<'_>) {
        self.router.handle(self.now, event, &mut self.actions);
        let at = self.now / MS - 100_000;
        if !description.is_empty() {
            writeln!(self.trace, "{at:>5} ms  {description}").unwrap();
        }
        for action in self.actions.drain(..) {
            let text = match action {
                Action::StartAttempt {
                    request,
                    server,
                    timeout,
                    ..
                } => {
                    self.attempts.push((request, server));
                    format!("attempt {request} to {server} within {} ms", timeout / MS)
                }
                Action::Shed {
                    request,
                    retry_after,
                } => {
                    format!("shed {request}, retry after {} ms", retry_after / MS)
                }
                Action::Fail { request } => format!("fail {request}"),
                Action::SetTimer { .. } => continue,
                Action::Log(text) => format!("log: {text}"),
                other => format!("{other:?}"),
            };
            writeln!(self.trace, "{at:>5} ms      -> {text}").unwrap();
        }
    }

    /// Returns the trace recorded since the last call.
    pub(crate) fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace)
    }
}
