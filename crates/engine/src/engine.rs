//! The coordinator: the one place that enters `Router::take`, and that carries out the router's actions.
//!
//! The client side brings requests and waits for their final answers, the server side executes attempts and reports
//! their outcomes, discovery brings endpoint lists; none of them knows of the others. Nothing is decided here: each
//! action is carried out as it stands, and an attempt that can't be executed finishes as not sent.
//!
//! # Invariants
//!
//! `Router::take` is never entered from within another: events that come up meanwhile wait in the inbox.

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

pub use crate::attempt::{Attempt, AttemptExecutor, ReportedParameters};
use crate::clock::Clock;
pub use crate::endpoints::EndpointEntry;
use crate::endpoints::Endpoints;
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

/// The outcome of an attempt, as the attempt reports it.
pub(crate) struct AttemptReport {
    pub(crate) request: usize,
    pub(crate) number: u32,
    pub(crate) server: usize,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) elapsed: Ticks,
    pub(crate) reported: Option<ReportedParameters>,
}

/// An event for the router.
pub(crate) enum EngineEvent {
    EndpointList(EndpointUpdate, Vec<Endpoint>),
    Discovery(DiscoveryOutcome),
    RequestArrived(Request),
    WriteAnswered(usize),
    AttemptFinished(AttemptReport),
    ClientDisconnected(usize),
    PrimariesAnnounced(Vec<PrimaryAnnouncement>),
    ShutdownScheduled(Ticks),
    TimerExpired(u32),
    ProbeFinished {
        server: usize,
        ok: bool,
        reported: Option<ReportedParameters>,
    },
}

impl EngineEvent {
    /// The request that the event is about.
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

/// Events that wait for the router.
#[derive(Default)]
struct Inbox {
    queue: RefCell<VecDeque<EngineEvent>>,
    /// Whether events are being handled at present.
    busy: Cell<bool>,
}

/// Marks the inbox as busy for as long as events are handled.
struct ReentrancyGuard<'a>(&'a Cell<bool>);

impl<'a> ReentrancyGuard<'a> {
    /// Returns none where events are being handled already.
    fn enter(busy: &'a Cell<bool>) -> Option<Self> {
        (!busy.replace(true)).then(|| ReentrancyGuard(busy))
    }
}

impl Drop for ReentrancyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// The parts that the engine calls, set once they have started.
#[derive(Default)]
struct Collaborators {
    executor: RefCell<Option<Rc<dyn AttemptExecutor>>>,
    /// None where no state is replicated.
    replicated_state: RefCell<Option<Rc<dyn ReplicatedState>>>,
}

/// Connects clients, servers and discovery with the router.
pub struct Engine {
    pub(crate) router: RefCell<Router>,
    inbox: Inbox,
    pub(crate) requests: RefCell<RequestTable>,
    pub(crate) endpoints: Endpoints,
    timers: Timers,
    pub(crate) clock: Clock,
    collaborators: Collaborators,
    /// The settings.
    pub settings: Settings,
    /// Counts of what is received, sent and answered.
    pub metrics: Rc<Metrics>,
    /// None where sessions are not tracked beyond what the router remembers.
    pub session_consistency: Option<SessionConsistency>,
    pub(crate) log: slog::Logger,
}

impl Engine {
    /// Makes an engine that has neither an endpoint list nor an executor yet.
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
        })
    }

    /// Sets what executes attempts.
    pub fn set_executor(&self, executor: Rc<dyn AttemptExecutor>) {
        *self.collaborators.executor.borrow_mut() = Some(executor);
    }

    /// Sets where this gateway's state is replicated from now on.
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

    /// Ends all requests at `deadline`: what is still open then is answered without a server's answer, and so is at once
    /// what comes later. What could not be answered by then is not sent to a server any more.
    pub async fn end_requests_at(self: &Rc<Self>, deadline: Instant) {
        self.take(EngineEvent::ShutdownScheduled(self.clock.at(deadline)));
        sleep_until(deadline).await;
        let preparing = {
            let mut requests = self.requests.borrow_mut();
            requests.closing = true;
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

    /// The longest client timeout of all request classes.
    pub fn longest_timeout(&self) -> Duration {
        let classes = &self.settings.routing.classes;
        let longest = classes.iter().map(|class| class.timeout).max();
        ticks_to_duration(longest.unwrap_or(0))
    }

    /// How long opening a connection to a server may take.
    pub fn connect_timeout(&self) -> Duration {
        ticks_to_duration(self.settings.connect_timeout)
    }

    /// Takes note that a request's client has gone before its final answer.
    pub(crate) fn on_client_disconnected(self: &Rc<Self>, stage: RequestStage) {
        match stage {
            RequestStage::Routed(request) => self.take(EngineEvent::ClientDisconnected(request)),
            RequestStage::Preparing(number) => {
                let preparing = self.requests.borrow_mut().take_prepared(number);
                if let Some(preparing) = preparing {
                    self.metrics.on_client_disconnected();
                    self.end_unrouted(preparing, None);
                }
            }
            RequestStage::Ended => {}
        }
    }

    /// Handles an event and those that come up meanwhile, one after the other.
    pub(crate) fn take(self: &Rc<Self>, event: EngineEvent) {
        self.inbox.queue.borrow_mut().push_back(event);
        let Some(_guard) = ReentrancyGuard::enter(&self.inbox.busy) else {
            return;
        };
        let mut actions = Vec::new();
        while let Some(event) = self.next_event() {
            self.handle(event, &mut actions);
        }
    }

    fn next_event(&self) -> Option<EngineEvent> {
        self.inbox.queue.borrow_mut().pop_front()
    }

    /// Gives one event to the router and carries out its actions in their order.
    ///
    /// A panic in the router fails the request that the event is about, and nothing else.
    fn handle(self: &Rc<Self>, event: EngineEvent, actions: &mut Vec<Action>) {
        let request = event.request();
        let routed = catch_unwind(AssertUnwindSafe(|| self.give_to_router(event, actions)));
        let Ok(touched) = routed else {
            slog::error!(self.log, "router panicked"; "request" => request);
            actions.clear();
            if let Some(request) = request {
                self.deliver(request, FinalAnswer::Failed);
            }
            return;
        };
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        if let Some(request) = touched {
            self.recycle(request);
        }
    }

    /// Gives one event to the router; returns the request whose attempts or client it has changed.
    fn give_to_router(&self, event: EngineEvent, actions: &mut Vec<Action>) -> Option<usize> {
        let now = self.clock.now();
        let mut router = self.router.borrow_mut();
        let mut tell = |event: &RoutingEvent<'_>| router.handle(now, event, actions);
        match event {
            EngineEvent::Discovery(outcome) => tell(&RoutingEvent::Discovery(outcome)),
            EngineEvent::EndpointList(update, endpoints) => {
                tell(&RoutingEvent::Endpoints(update, &endpoints));
            }
            EngineEvent::RequestArrived(request) => tell(&RoutingEvent::RequestArrived(request)),
            EngineEvent::WriteAnswered(request) => tell(&RoutingEvent::WriteAnswered(request)),
            EngineEvent::PrimariesAnnounced(announcements) => {
                tell(&RoutingEvent::PrimariesAnnounced(&announcements));
            }
            EngineEvent::ShutdownScheduled(at) => tell(&RoutingEvent::ShutdownScheduled(at)),
            EngineEvent::TimerExpired(key) => tell(&RoutingEvent::TimerExpired(key)),
            EngineEvent::ProbeFinished {
                server,
                ok,
                reported,
            } => {
                let report = self.server_report(reported, false);
                tell(&RoutingEvent::ProbeFinished { server, ok, report });
            }
            EngineEvent::ClientDisconnected(request) => {
                self.close_disconnected(request)?;
                tell(&RoutingEvent::ClientDisconnected(request));
                return Some(request);
            }
            EngineEvent::AttemptFinished(report) => {
                let finished = self.record_finished(&report, now)?;
                tell(&RoutingEvent::AttemptFinished(finished));
                return Some(report.request);
            }
        }
        None
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
                start_by,
            } => self.start_attempt(request, server, timeout, start_by),
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
                self.recycle(request);
            }
            Action::Fail { request } => {
                self.deliver(request, FinalAnswer::Failed);
                self.recycle(request);
            }
            Action::SetTimer { at, key } => self.timers.set(at, key),
            Action::Probe { server } => self.start_probe(server),
            Action::AnnouncePrimary(announcement) => self.announce_primary(announcement),
            // The gateway follows discovery from its start and polls by itself.
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

    /// Sizes of the tables; flat over a day of ever new ids.
    pub fn table_sizes(&self) -> [(&'static str, usize); 6] {
        let requests = self.requests.borrow();
        let endpoints = self.endpoints.sizes();
        [
            ("servers", endpoints.servers),
            ("places", endpoints.records),
            ("sessions", requests.sessions.len()),
            ("commands", requests.capacity()),
            ("open_ids", requests.open_ids()),
            ("timers", self.timers.len()),
        ]
    }

    /// Number of requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.requests.borrow().unanswered()
    }

    /// Runs the router's timers, for as long as the gateway runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            self.timers.wait(&self.clock).await;
            while let Some(key) = self.timers.pop_expired(self.clock.now()) {
                self.take(EngineEvent::TimerExpired(key));
            }
        }
    }
}
