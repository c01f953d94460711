//! The coordinator: passes events to `Router::handle` and applies the resulting actions.
//!
//! This is the only caller of `Router::handle`. Every action is applied unchanged; an attempt that can't be executed
//! finishes with the outcome `NotSent`.
//!
//! # Invariants
//!
//! `Router::handle` is never reentered: events that arise while another is processed wait in the inbox.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

use leverpoint_config::operator::SessionTracking;
use leverpoint_config::settings::{Settings, ticks_to_duration};
use leverpoint_routing::api::{
    Action, AttemptOutcome, DiscoveryOutcome, Endpoint, EndpointUpdate, Event as RoutingEvent,
    PrimaryAnnouncement, Request, Ticks,
};
use leverpoint_routing::router::Router;
use leverpoint_runtime::{Instant, sleep_until};

pub use crate::attempt::{
    Attempt, AttemptExecutor, AttemptServer, AttemptTimes, ReportedParameters,
};
use crate::clock::Clock;
use crate::diagnostics::{ClosedClient, Diagnostics, LateAnswer};
pub use crate::endpoints::EndpointEntry;
use crate::endpoints::Endpoints;
use crate::log_line_limiter::LogLineLimiter;
use crate::metrics::Metrics;
use crate::replicated_state::ReplicatedState;
use crate::request::RequestStage;
pub use crate::request::{
    FinalAnswer, PendingRequest, Rejection, RequestHeader, RequiredPosition, Row, Statement,
};
use crate::request_table::RequestTable;
use crate::session_consistency::SessionConsistency;
use crate::timers::Timers;

pub(crate) const TICKS_PER_MS: u64 = 10;

/// The report that an attempt sends when it finishes.
pub(crate) struct AttemptReport {
    /// Index of the request.
    pub(crate) request: usize,
    /// Number of the attempt within its request, from 0.
    pub(crate) number: u32,
    /// Index of the server.
    pub(crate) server: usize,
    pub(crate) outcome: AttemptOutcome,
    /// Time from the start of the attempt until its row was delivered, or until it finished without one.
    pub(crate) elapsed: Ticks,
    /// None if the server has not reported its role and position.
    pub(crate) reported: Option<ReportedParameters>,
}

/// An event that the engine passes to the router.
pub(crate) enum EngineEvent {
    EndpointList(EndpointUpdate, Vec<Endpoint>),
    Discovery(DiscoveryOutcome),
    RequestArrived(Request),
    /// The row of a write was delivered; holds the request's index.
    WriteAnswered(usize),
    AttemptFinished(AttemptReport),
    /// A client has disconnected before its final answer; holds the request's index.
    ClientDisconnected(usize),
    PrimariesAnnounced(Vec<PrimaryAnnouncement>),
    /// The gateway shuts down at this time.
    ShutdownScheduled(Ticks),
    /// A timer has expired; holds the router's key.
    TimerExpired(u32),
    ProbeFinished {
        server: usize,
        ok: bool,
        reported: Option<ReportedParameters>,
    },
}

impl EngineEvent {
    /// Index of the request that the event concerns; none for events that concern no single request.
    fn request(&self) -> Option<usize> {
        match self {
            EngineEvent::RequestArrived(request) => Some(request.request),
            EngineEvent::AttemptFinished(AttemptReport { request, .. })
            | EngineEvent::WriteAnswered(request)
            | EngineEvent::ClientDisconnected(request) => Some(*request),
            EngineEvent::EndpointList(..)
            | EngineEvent::Discovery(_)
            | EngineEvent::PrimariesAnnounced(_)
            | EngineEvent::ShutdownScheduled(_)
            | EngineEvent::TimerExpired(_)
            | EngineEvent::ProbeFinished { .. } => None,
        }
    }
}

/// Queue of events that have not been passed to the router yet.
#[derive(Default)]
struct Inbox {
    queue: RefCell<VecDeque<EngineEvent>>,
    /// Whether an event is being processed.
    busy: Cell<bool>,
}

/// Marks the inbox as busy until dropped.
struct ReentrancyGuard<'a>(&'a Cell<bool>);

impl<'a> ReentrancyGuard<'a> {
    /// Returns none if the inbox is busy already.
    fn enter(busy: &'a Cell<bool>) -> Option<Self> {
        (!busy.replace(true)).then(|| ReentrancyGuard(busy))
    }
}

impl Drop for ReentrancyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Components that the engine calls, each set when it has started.
#[derive(Default)]
struct Collaborators {
    executor: RefCell<Option<Rc<dyn AttemptExecutor>>>,
    /// None if the gateway replicates no state.
    replicated_state: RefCell<Option<Rc<dyn ReplicatedState>>>,
}

/// Passes events of clients, attempts, discovery and timers to the router, and applies the router's actions.
pub struct Engine {
    pub(crate) router: RefCell<Router>,
    inbox: Inbox,
    pub(crate) requests: RefCell<RequestTable>,
    pub(crate) endpoints: Endpoints,
    timers: Timers,
    pub(crate) clock: Clock,
    collaborators: Collaborators,
    /// Settings of the gateway, fixed for its lifetime.
    pub settings: Settings,
    /// Counters shared with the client side, the executor and discovery.
    pub metrics: Rc<Metrics>,
    /// None if session tracking is not configured: only the router's own session positions apply then.
    pub session_consistency: Option<SessionConsistency>,
    pub(crate) log: slog::Logger,
    pub(crate) discarded_answer_limiter: LogLineLimiter,
    /// Log lines and counters of requests and connections in trouble.
    pub diagnostics: Diagnostics,
}

impl Engine {
    /// Creates an engine without an endpoint list and without an executor.
    pub fn new(
        settings: Settings,
        metrics: Rc<Metrics>,
        session_tracking: Option<SessionTracking>,
        log: slog::Logger,
    ) -> Rc<Self> {
        let clock = Clock::new();
        let seed = settings.routing.seed;
        let session_consistency =
            session_tracking.map(|tracking| SessionConsistency::new(tracking, seed, clock.now()));
        Rc::new(Engine {
            router: RefCell::new(Router::new(settings.routing.clone())),
            inbox: Inbox::default(),
            requests: RefCell::default(),
            endpoints: Endpoints::default(),
            timers: Timers::default(),
            clock,
            collaborators: Collaborators::default(),
            settings,
            metrics,
            session_consistency,
            log,
            discarded_answer_limiter: LogLineLimiter::default(),
            diagnostics: Diagnostics::default(),
        })
    }

    /// Sets the executor. Attempts that start before finish with the outcome `NotSent`.
    pub fn set_executor(&self, executor: Rc<dyn AttemptExecutor>) {
        *self.collaborators.executor.borrow_mut() = Some(executor);
    }

    /// Sets the interface to replicated state; from then on the gateway's state is replicated.
    pub fn set_replicated_state(&self, replicated_state: Rc<dyn ReplicatedState>) {
        self.session_consistency
            .iter()
            .for_each(SessionConsistency::set_replicated);
        *self.collaborators.replicated_state.borrow_mut() = Some(replicated_state);
    }

    pub(crate) fn executor(&self) -> Option<Rc<dyn AttemptExecutor>> {
        self.collaborators.executor.borrow().clone()
    }

    pub(crate) fn replicated_state(&self) -> Option<Rc<dyn ReplicatedState>> {
        self.collaborators.replicated_state.borrow().clone()
    }

    /// Ends all requests at `deadline`: requests that are still open then are shed or failed, and later ones are shed
    /// on arrival. Requests that can't be answered by the deadline are no longer sent to a server.
    pub async fn end_requests_at(self: &Rc<Self>, deadline: Instant) {
        self.dispatch(EngineEvent::ShutdownScheduled(self.clock.at(deadline)));
        sleep_until(deadline).await;
        let preparing = {
            let mut requests = self.requests.borrow_mut();
            requests.shut_down = true;
            requests.take_all_preparing()
        };
        for preparing in preparing {
            self.end_unrouted(preparing, Some(FinalAnswer::Shed(0)));
        }
        let answers = self.requests.borrow().shutdown_answers();
        for (request, answer) in answers {
            self.deliver(request, answer);
        }
    }

    /// Returns the longest client timeout of all request classes.
    pub fn longest_timeout(&self) -> Duration {
        let classes = &self.settings.routing.classes;
        let longest = classes.iter().map(|class| class.timeout).max();
        ticks_to_duration(longest.unwrap_or(0))
    }

    /// Returns the timeout for opening a connection to a server.
    pub fn connect_timeout(&self) -> Duration {
        ticks_to_duration(self.settings.connect_timeout)
    }

    /// Ends a request whose client has disconnected before its final answer.
    pub(crate) fn on_client_disconnected(self: &Rc<Self>, stage: RequestStage) {
        match stage {
            RequestStage::Routed(request) => {
                self.dispatch(EngineEvent::ClientDisconnected(request))
            }
            RequestStage::Preparing(number) => {
                let preparing = self.requests.borrow_mut().take_preparing(number);
                if let Some(preparing) = preparing {
                    self.metrics.on_client_disconnected();
                    self.end_unrouted(preparing, None);
                }
            }
            RequestStage::Ended => {}
        }
    }

    /// Processes an event, then the events that arise from it, in order.
    ///
    /// A call from within another only queues its event.
    pub(crate) fn dispatch(self: &Rc<Self>, event: EngineEvent) {
        self.inbox.queue.borrow_mut().push_back(event);
        let Some(_guard) = ReentrancyGuard::enter(&self.inbox.busy) else {
            return;
        };
        let mut actions = Vec::new();
        while let Some(event) = self.next_event() {
            self.process(event, &mut actions);
        }
    }

    fn next_event(&self) -> Option<EngineEvent> {
        self.inbox.queue.borrow_mut().pop_front()
    }

    /// Passes one event to the router and applies the resulting actions in order.
    ///
    /// A panic in the router fails only the request that the event concerns.
    fn process(self: &Rc<Self>, event: EngineEvent, actions: &mut Vec<Action>) {
        let request = event.request();
        let routed = catch_unwind(AssertUnwindSafe(|| self.forward_to_router(event, actions)));
        let Ok(affected) = routed else {
            slog::error!(self.log, "router panicked"; "request" => request);
            actions.clear();
            if let Some(request) = request {
                self.deliver(request, FinalAnswer::Failed);
            }
            return;
        };
        for action in actions.drain(..) {
            self.apply_action(action);
        }
        if let Some(request) = affected {
            self.recycle_index(request);
        }
    }

    /// Passes one event to the router; returns the request whose attempt has finished or whose client has disconnected,
    /// if any.
    fn forward_to_router(&self, event: EngineEvent, actions: &mut Vec<Action>) -> Option<usize> {
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        let mut forward = |event: &RoutingEvent<'_>| router.handle(now, event, actions);
        match event {
            EngineEvent::Discovery(outcome) => forward(&RoutingEvent::Discovery(outcome)),
            EngineEvent::EndpointList(update, endpoints) => {
                forward(&RoutingEvent::Endpoints(update, &endpoints));
            }
            EngineEvent::RequestArrived(request) => forward(&RoutingEvent::RequestArrived(request)),
            EngineEvent::WriteAnswered(request) => forward(&RoutingEvent::WriteAnswered(request)),
            EngineEvent::PrimariesAnnounced(announcements) => {
                forward(&RoutingEvent::PrimariesAnnounced(&announcements));
            }
            EngineEvent::ShutdownScheduled(at) => forward(&RoutingEvent::ShutdownScheduled(at)),
            EngineEvent::TimerExpired(key) => forward(&RoutingEvent::TimerExpired(key)),
            EngineEvent::ProbeFinished {
                server,
                ok,
                reported,
            } => {
                let report = self.server_report(reported, false);
                forward(&RoutingEvent::ProbeFinished { server, ok, report });
            }
            EngineEvent::ClientDisconnected(request) => {
                self.close_disconnected(request)?;
                forward(&RoutingEvent::ClientDisconnected(request));
                return Some(request);
            }
            EngineEvent::AttemptFinished(report) => {
                let finished = self.record_finished(&report, now)?;
                forward(&RoutingEvent::AttemptFinished(finished));
                return Some(report.request);
            }
        }
        None
    }

    fn apply_action(self: &Rc<Self>, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
                arrive_by,
            } => self.start_attempt(request, server, timeout, arrive_by),
            Action::CancelAttempt { request, attempt } => {
                if let Some(open) = self.requests.borrow().get(request) {
                    open.attempts.cancel(attempt);
                }
            }
            Action::Shed {
                request,
                retry_after,
            } => {
                self.deliver(
                    request,
                    FinalAnswer::Shed(retry_after as u64 / TICKS_PER_MS),
                );
                self.recycle_index(request);
            }
            Action::Fail { request } => {
                self.deliver(request, FinalAnswer::Failed);
                self.recycle_index(request);
            }
            Action::SetTimer { at, key } => self.timers.set(at, key),
            Action::Probe { server } => self.start_probe(server),
            Action::AnnouncePrimary(announcement) => self.announce_primary(announcement),
            // The gateway's discovery client watches and polls on its own schedule.
            Action::PollEndpoints | Action::WatchEndpoints(_) => {}
            Action::ReleaseSession(session) => {
                self.requests
                    .borrow_mut()
                    .sessions
                    .on_position_released(session);
            }
            Action::ReleaseServer(server) => {
                self.endpoints.release(server);
                if let Some(executor) = self.executor() {
                    executor.close_idle_connections(server);
                }
            }
            Action::Log(text) => slog::info!(self.log, "module"; "says" => text),
        }
    }

    /// Returns the sizes of the tables by name. None of them grows with the number of ids ever seen; ids of executed writes
    /// are kept up to a bound.
    pub fn table_sizes(&self) -> [(&'static str, usize); 7] {
        let requests = self.requests.borrow();
        let endpoints = self.endpoints.sizes();
        [
            ("servers", endpoints.servers),
            ("places", endpoints.records),
            ("sessions", requests.sessions.len()),
            ("commands", requests.capacity()),
            ("open_ids", requests.open_ids()),
            ("timers", self.timers.len()),
            ("executed_ids", requests.remembered_ids()),
        ]
    }

    /// Returns the number of requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().unanswered()
    }

    /// Records an answer that is written after its client's deadline.
    pub fn on_late_answer(&self, answer: &LateAnswer<'_>) {
        self.diagnostics
            .on_late_answer(&self.log, self.clock.now(), answer);
    }

    /// Records why a client connection was closed.
    pub fn on_client_closed(&self, closed: &ClosedClient) {
        self.diagnostics
            .on_client_closed(&self.log, self.clock.now(), closed);
    }

    /// Passes expired timers to the router; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let delay = self.timers.wait(&self.clock).await;
            self.diagnostics
                .on_timer(&self.log, self.clock.now(), ticks_to_duration(delay));
            while let Some(key) = self.timers.pop_expired(self.clock.now()) {
                self.dispatch(EngineEvent::TimerExpired(key));
            }
        }
    }
}
