//! Coordinates the routing decisions.
//!
//! A caller makes one [`Router`] per gateway from its [`RoutingConfig`], hands it one [`Event`] at
//! a time with the time on the gateway's clock, and executes the [`Action`]s that
//! [`Router::handle`] appends. The rules of the decisions are in the other modules.

use crate::admission;
use crate::api::{
    Action, AttemptOutcome, Consistency, Endpoint, EndpointUpdate, Event, FinishedAttempt,
    PositionKeeper, PrimaryAnnouncement, ReplicaCheck, Request, RoutingConfig, ServerReport, Ticks,
};
use crate::cluster_state::ClusterState;
use crate::endpoint_lease::EndpointLease;
use crate::endpoint_list::{self, EndpointListStatus};
use crate::latency::TimeLeft;
use crate::rejection;
use crate::replica_selection;
use crate::request_queue::RequestQueue;
use crate::request_state::{self, Effect, RequestEvent, RequestState};
use crate::server_feedback;
use crate::session_positions::{SessionPositions, UNREPORTED};
use crate::tenant_quotas::TenantQuotas;

/// Key of the only timer.
const TIMER_KEY: u32 = 0;

/// Routing decisions of one gateway.
pub struct Router {
    cluster: ClusterState,
    rng: fastrand::Rng,
    requests: Vec<RequestState>,
    queue: RequestQueue,
    quotas: TenantQuotas,
    sessions: SessionPositions,
    endpoint_list: EndpointListStatus,
    timer_armed: bool,
}

impl Router {
    /// Creates a router that knows no servers yet.
    #[must_use]
    pub fn new(config: RoutingConfig) -> Self {
        Router {
            rng: fastrand::Rng::with_seed(config.seed),
            requests: Vec::new(),
            queue: RequestQueue::default(),
            quotas: TenantQuotas::new(config.tenants.clone()),
            sessions: SessionPositions::default(),
            endpoint_list: EndpointListStatus::new(&config.endpoint_list, &config.protection),
            timer_armed: false,
            cluster: ClusterState::new(config),
        }
    }

    /// Handles an event that happens at the time `now`, and appends the resulting actions.
    pub fn handle(&mut self, now: Ticks, event: &Event<'_>, actions: &mut Vec<Action>) {
        if matches!(event, Event::WriteAnswered(_)) {
            // It causes no action, and the `AttemptFinished` that follows serves the queue.
            return self.dispatch(event, actions);
        }
        self.cluster.now = self.cluster.now.max(now);
        let now = self.cluster.now;
        self.endpoint_list.on_event(now);
        self.decay();
        self.dispatch(event, actions);
        self.endpoint_list.poll(now, actions);
        self.serve_queue(actions);
        if self.cluster.has_just_decayed() {
            endpoint_list::forget_gone_servers(&mut self.cluster, actions);
        }
    }

    /// The lease of the endpoint list.
    #[must_use]
    pub fn lease(&self) -> &EndpointLease {
        self.endpoint_list.lease()
    }

    fn decay(&mut self) {
        if self.cluster.take_throughput_decay() {
            self.cluster.decay_throughput();
            self.quotas.decay();
        }
        self.cluster.decay_measurements();
    }

    fn dispatch(&mut self, event: &Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(update, endpoints) => self.on_endpoints(*update, endpoints, actions),
            Event::Discovery(outcome) => {
                self.endpoint_list.on_discovery(*outcome, self.cluster.now);
            }
            Event::RequestArrived(request) => self.on_request_arrived(request, actions),
            Event::WriteAnswered(request) => self.on_write_answered(*request),
            Event::AttemptFinished(finished) => self.on_attempt_finished(finished, actions),
            Event::ClientDisconnected(request) => {
                self.advance(*request, RequestEvent::Finished, actions);
            }
            Event::TimerExpired(_) => {
                self.timer_armed = false;
                self.requeue_waiting();
            }
            Event::ProbeFinished {
                server,
                ok: true,
                report,
            } => self.on_probe_answered(*server, *report, actions),
            Event::ProbeFinished { ok: false, .. } => {}
            Event::PrimariesAnnounced(announcements) => {
                self.on_primaries_announced(announcements, actions);
            }
            Event::ShutdownScheduled(at) => {
                self.cluster.shutdown_at = Some(*at);
                self.requeue_waiting();
            }
        }
    }

    fn on_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        let cluster = &mut self.cluster;
        if update == EndpointUpdate::Failed {
            self.endpoint_list.on_failure(cluster.now, &mut self.rng);
            return;
        }
        endpoint_list::apply(cluster, update, endpoints, &mut self.rng, actions);
        self.requeue_waiting();
    }

    fn on_probe_answered(
        &mut self,
        server: usize,
        report: Option<ServerReport>,
        actions: &mut Vec<Action>,
    ) {
        if server_feedback::on_response(&mut self.cluster, server, report, actions) {
            self.requeue_waiting();
        }
    }

    fn on_primaries_announced(
        &mut self,
        announcements: &[PrimaryAnnouncement],
        actions: &mut Vec<Action>,
    ) {
        for announcement in announcements {
            if server_feedback::on_announcement(&mut self.cluster, announcement, actions) {
                self.requeue_waiting();
            }
        }
    }

    fn on_request_arrived(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let over_quota = self.quotas.record_arrival(request.tenant, &mut self.rng);
        let state = RequestState {
            required_position: self.required_position(request).filter(|&p| p > 0),
            over_quota,
            overflow_draw: self.rng.f64(),
            ..RequestState::new(request, self.cluster.now)
        };
        self.cluster.set_mut(request.set);
        if request.request < self.requests.len() {
            self.requests[request.request] = state;
        } else {
            debug_assert_eq!(request.request, self.requests.len());
            self.requests.push(state);
        }
        self.advance(request.request, RequestEvent::Arrived, actions);
    }

    fn required_position(&self, request: &Request) -> Option<Ticks> {
        match self.cluster.config.position_keeper {
            PositionKeeper::Client => request.required_position,
            PositionKeeper::Gateway => request.session.map(|session| {
                self.sessions
                    .required_position(session, request.set)
                    .max(request.required_position.unwrap_or(0))
            }),
        }
    }

    fn on_attempt_finished(&mut self, finished: &FinishedAttempt, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(finished.request) else {
            return;
        };
        let Some(attempt) = request.attempts.remove(finished.attempt) else {
            return;
        };
        let zone = self.cluster.servers[attempt.server].endpoint.zone;
        request
            .attempts
            .record_outcome(&attempt, finished.outcome, zone);
        let class = request.class;
        let cluster = &mut self.cluster;
        if server_feedback::on_attempt_finished(cluster, finished, &attempt, class, actions) {
            self.requeue_waiting();
        }
        self.record_session_write(finished);
        let event = if finished.request_finished || finished.outcome == AttemptOutcome::Answered {
            RequestEvent::Finished
        } else if self.requests[finished.request]
            .attempts
            .in_flight
            .is_empty()
        {
            RequestEvent::AttemptFailed
        } else {
            return;
        };
        self.advance(finished.request, event, actions);
        let expired = self.sessions.expire(self.cluster.now);
        actions.extend(expired.into_iter().map(Action::ReleaseSession));
    }

    /// Makes the session's reads require an unreported position until the position of the answered
    /// write is reported, where replicas do not check positions themselves.
    fn on_write_answered(&mut self, index: usize) {
        let Some(request) = self.requests.get_mut(index) else {
            return;
        };
        let unchecked = self.cluster.config.replica_check == ReplicaCheck::None;
        if let (true, Some(session)) = (unchecked && !request.awaits_report, request.session) {
            request.awaits_report = true;
            self.sessions.on_write_answered(session, request.set);
        }
    }

    /// Position of an answered write. Where its client was answered and no position was reported,
    /// that is the current time, which is later than the commit.
    fn committed_position(&mut self, finished: &FinishedAttempt) -> Option<Ticks> {
        let reported = finished.report.and_then(|report| report.position);
        let request = &mut self.requests[finished.request];
        if !std::mem::take(&mut request.awaits_report) {
            return reported;
        }
        if let Some(session) = request.session {
            self.sessions.on_write_reported(session, request.set);
        }
        reported.or(Some(self.cluster.now))
    }

    /// Replaces a required position that was unreported when the request arrived, as it may be
    /// known by now.
    fn update_required_position(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if let (Some(UNREPORTED), Some(session)) = (request.required_position, request.session) {
            let known = self.sessions.required_position(session, request.set);
            request.required_position = Some(known).max(request.carried_position);
        }
    }

    fn record_session_write(&mut self, finished: &FinishedAttempt) {
        let position = self.committed_position(finished);
        let request = &self.requests[finished.request];
        let consistency = self.cluster.classes[request.class].config.consistency;
        if consistency != Consistency::Write || finished.outcome != AttemptOutcome::Answered {
            return;
        }
        if let (Some(session), Some(position)) = (request.session, position) {
            self.sessions.record_write(session, request.set, position);
        }
    }

    /// Advances a request through its state machine until no further event follows.
    fn advance(&mut self, request: usize, event: RequestEvent, actions: &mut Vec<Action>) {
        let mut next_event = Some(event);
        while let Some(event) = next_event.take() {
            let state = &mut self.requests[request];
            let Some(transition) = request_state::next(state.phase, event) else {
                return;
            };
            state.phase = transition.to;
            match transition.effect {
                Effect::None => {}
                Effect::QueueFirstAttempt => self.queue.push_first_attempt(request),
                Effect::QueueRetry => {
                    state.attempts.retrying = true;
                    self.queue.push_retry(request);
                }
                Effect::SelectServer => next_event = Some(self.select_server(request, actions)),
                Effect::Wait => self.queue.push_waiting(request),
                Effect::Reject => {
                    actions.push(rejection::reject(&self.cluster, request, state));
                }
            }
        }
    }

    fn select_server(&mut self, index: usize, actions: &mut Vec<Action>) -> RequestEvent {
        self.update_required_position(index);
        let request = &self.requests[index];
        let cluster = &mut self.cluster;
        if self.endpoint_list.lease().is_expired(cluster.now)
            || rejection::must_give_up(cluster, request)
        {
            return RequestEvent::GivenUp;
        }
        let selected = replica_selection::select_server(cluster, request, &mut self.rng);
        let policy = cluster.retry_policy(request.class);
        let permitted = |&server: &usize| {
            policy.permits_zone(&request.attempts, cluster.servers[server].endpoint.zone)
        };
        let Some(server) = selected.filter(permitted) else {
            return RequestEvent::NoCapacity;
        };
        actions.push(self.start_attempt(index, server));
        RequestEvent::AttemptStarted
    }

    fn start_attempt(&mut self, index: usize, server: usize) -> Action {
        let cluster = &mut self.cluster;
        let now = cluster.now;
        let request = &mut self.requests[index];
        let class = &cluster.classes[request.class];
        let time_left = TimeLeft {
            to_objective: request
                .timing
                .objective_left(class.config.latency_objective, now),
            to_deadline: rejection::time_left(cluster, request),
        };
        let timeout = class.attempt_timeout(time_left, cluster.replica_hold());
        let arrive_by = cluster
            .retry_policy(request.class)
            .latest_arrival(&request.attempts, rejection::answer_by(cluster, request));
        let balance = cluster.warmup_balance(server);
        let state = &mut cluster.servers[server];
        state
            .warmup
            .charge(balance, class.attempt_cost(), class.primary_only(), now);
        state.health.on_attempt_started(now);
        request.attempts.start(server, state.latency.in_flight, now);
        state.latency.on_attempt_started(class.typical(), now);
        Action::StartAttempt {
            request: index,
            server,
            timeout,
            arrive_by,
        }
    }

    fn requeue_waiting(&mut self) {
        admission::requeue_waiting(&mut self.queue, &self.cluster, &self.requests);
    }

    /// Selects servers for all queued requests, and sets the timer if any request still waits or a
    /// watch of the endpoint list is scheduled.
    fn serve_queue(&mut self, actions: &mut Vec<Action>) {
        while let Some(request) = self.queue.pop() {
            self.advance(request, RequestEvent::Dequeued, actions);
        }
        let timer_needed = self.queue.has_waiting() || self.endpoint_list.is_watch_scheduled();
        if timer_needed && !std::mem::replace(&mut self.timer_armed, true) {
            actions.push(Action::SetTimer {
                at: self.cluster.now + self.cluster.retry_interval(),
                key: TIMER_KEY,
            });
        }
    }
}
