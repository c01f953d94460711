//! One instance of the decision module, driven by the events of the bench.
//!
//! The module addresses servers, replica sets, requests and sessions by small indices; they are assigned and released
//! here.

use leverpoint_routing::api::{
    Action, AttemptOutcome, Consistency, Endpoint, EndpointState, EndpointUpdate,
    Event as RoutingEvent, FinishedAttempt, PrimaryAnnouncement, Request as RoutingRequest,
    ServerReport, Ticks,
};
use leverpoint_routing::interning::{Indices, RequestUsage, Sessions};
use leverpoint_routing::router::Router;

use leverpoint_config::settings::{self, Settings, ceil_ticks, floor_ticks};

use crate::wire::{AdapterError, EndpointLists, Event, ListEntry, Reply, Request, Response};

/// A router with its settings, and the indices under which it knows the bench's ids.
pub(crate) struct Instance {
    router: Router,
    settings: Settings,
    servers: Indices<u32>,
    sets: Indices<u16>,
    sessions: Sessions<u64>,
    requests: Indices<u32>,
    /// What each request uses, by its index.
    request_usage: Vec<RequestUsage>,
    /// Actions of the current event; the buffer is reused.
    actions: Vec<Action>,
    /// Endpoints of the latest list update; the buffer is reused.
    endpoints: Vec<Endpoint>,
}

impl Instance {
    /// Creates an instance from a settings object in JSON; `seed` is that of the router's random draws.
    pub(crate) fn open(seed: u64, settings_json: &[u8]) -> Result<Self, AdapterError> {
        let settings = settings::parse(seed, settings_json)
            .map_err(|e| AdapterError::new(format!("settings: {e}")))?;
        Ok(Instance {
            router: Router::new(settings.routing.clone()),
            settings,
            servers: Indices::default(),
            sets: Indices::default(),
            sessions: Sessions::default(),
            requests: Indices::default(),
            request_usage: Vec::new(),
            actions: Vec::new(),
            endpoints: Vec::new(),
        })
    }

    /// Passes an event to the router and writes the router's actions to the reply.
    ///
    /// An event about a request, or a probe of a server, that is not known (any more) is ignored.
    pub(crate) fn handle_event(
        &mut self,
        now_ms: f64,
        event: Event<'_>,
        lists: &EndpointLists,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        // Rounded up, so that the time left until a client's deadline is never overestimated.
        let now = ceil_ticks(now_ms);
        let mut affected = None;
        match event {
            Event::ListUpdate { list, kind } => {
                let update = match kind {
                    0 => EndpointUpdate::Changes,
                    1 => EndpointUpdate::Full,
                    2 => EndpointUpdate::Restored,
                    _ => EndpointUpdate::Failed,
                };
                self.endpoints.clear();
                if update != EndpointUpdate::Failed {
                    let entries = lists[list].as_ref();
                    let entries = entries.ok_or_else(|| {
                        AdapterError::new(format!("update from unknown list {list}"))
                    })?;
                    for entry in entries {
                        let endpoint = self.endpoint(entry)?;
                        self.endpoints.push(endpoint);
                    }
                }
                let endpoints = std::mem::take(&mut self.endpoints);
                self.router.handle(
                    now,
                    &RoutingEvent::Endpoints(update, &endpoints),
                    &mut self.actions,
                );
                self.endpoints = endpoints;
            }
            Event::Request(request) => {
                let arrival = self.routing_request(now, request)?;
                self.router.handle(
                    now,
                    &RoutingEvent::RequestArrived(arrival),
                    &mut self.actions,
                );
            }
            Event::Response(response) => {
                let Some(request) = self.requests.find(&response.request_id) else {
                    return Ok(());
                };
                let finished = self.finished_attempt(request, &response)?;
                self.sessions.on_attempt_finished(
                    &self.request_usage[request],
                    finished.outcome,
                    finished.report,
                );
                self.router.handle(
                    now,
                    &RoutingEvent::AttemptFinished(finished),
                    &mut self.actions,
                );
                let usage = &mut self.request_usage[request];
                usage.attempts_in_flight = usage.attempts_in_flight.saturating_sub(1);
                usage.finished |= response.request_finished;
                affected = Some(request);
            }
            Event::ClientDisconnected(request_id) => {
                let Some(request) = self.requests.find(&request_id) else {
                    return Ok(());
                };
                if !self.request_usage[request].finished {
                    self.request_usage[request].finished = true;
                    self.router.handle(
                        now,
                        &RoutingEvent::ClientDisconnected(request),
                        &mut self.actions,
                    );
                }
                affected = Some(request);
            }
            Event::TimerExpired(key) => {
                self.router
                    .handle(now, &RoutingEvent::TimerExpired(key), &mut self.actions);
            }
            Event::ProbeFinished {
                server,
                status,
                load,
            } => {
                let Some(server) = self.servers.find(&server) else {
                    return Ok(());
                };
                let report = self.probe_report(&load);
                let input = RoutingEvent::ProbeFinished {
                    server,
                    ok: status == 200,
                    report,
                };
                self.router.handle(now, &input, &mut self.actions);
            }
            Event::PeerMessage { payload } => {
                let announcements: Vec<_> = payload
                    .chunks_exact(8)
                    .filter_map(|c| self.announcement(c))
                    .collect();
                self.router.handle(
                    now,
                    &RoutingEvent::PrimariesAnnounced(&announcements),
                    &mut self.actions,
                );
            }
            Event::AttemptStarted
            | Event::Select(_)
            | Event::Open { .. }
            | Event::List { .. }
            | Event::Stop => {}
        }
        self.write_actions(reply);
        if let Some(request) = affected {
            self.release_if_finished(request);
        }
        Ok(())
    }

    fn endpoint(&mut self, entry: &ListEntry) -> Result<Endpoint, AdapterError> {
        if !entry.started_at_ms.is_finite() || !entry.size.is_finite() {
            return Err(AdapterError::new(
                "a list entry contains a value that is not a finite number",
            ));
        }
        Ok(Endpoint {
            server: self.servers.index(&entry.server),
            set: self.sets.index(&entry.replica_set),
            zone: usize::from(entry.zone),
            state: match entry.state {
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                _ => EndpointState::Gone,
            },
            primary: entry.primary > 0.5,
            size: f64::from(entry.size),
            started_at: if entry.started_at_ms == 0.0 {
                0
            } else {
                ceil_ticks(entry.started_at_ms)
            },
        })
    }

    fn routing_request(
        &mut self,
        now: Ticks,
        request: Request,
    ) -> Result<RoutingRequest, AdapterError> {
        let routing = &self.settings.routing;
        let class = usize::from(request.class);
        if class >= routing.classes.len() {
            return Err(AdapterError::new(format!(
                "request {} of unknown class {class}",
                request.request_id
            )));
        }
        if !request.deadline_ms.is_finite() || !request.token_age_ms.is_finite() {
            return Err(AdapterError::new(format!(
                "request {} contains a time that is not a finite number",
                request.request_id
            )));
        }
        if !(0.0..=65535.0).contains(&request.replica_set) {
            return Err(AdapterError::new(format!(
                "request {} of impossible replica set {}",
                request.request_id, request.replica_set
            )));
        }
        if self.requests.find(&request.request_id).is_some() {
            return Err(AdapterError::new(format!(
                "request {} came twice",
                request.request_id
            )));
        }
        let has_token = request.token_age_ms > 0.0;
        let write = routing.classes[class].consistency == Consistency::Write;
        let session = match request.session_key {
            0 => None,
            key if write => Some(self.sessions.index_for_write(key)),
            key => Some(self.sessions.index_for_read(key)),
        };
        let index = self.requests.index(&request.request_id);
        if self.request_usage.len() <= index {
            self.request_usage
                .resize(index + 1, RequestUsage::default());
        }
        self.request_usage[index] = RequestUsage {
            write,
            session,
            ..RequestUsage::default()
        };
        Ok(RoutingRequest {
            request: index,
            class,
            tenant: request.tenant as usize,
            set: self.sets.index(&(request.replica_set as u16)),
            session,
            deadline: floor_ticks(request.deadline_ms),
            required_position: has_token
                .then(|| now + 1 - floor_ticks(f64::from(request.token_age_ms))),
            wait_for_replica_until: 0,
            client_retry: request.flags & 2 != 0,
            first_attempt_elsewhere: None,
        })
    }

    fn finished_attempt(
        &mut self,
        request: usize,
        response: &Response,
    ) -> Result<FinishedAttempt, AdapterError> {
        let outcome = match response.status {
            200 => AttemptOutcome::Answered,
            204 => AttemptOutcome::NotCaughtUp,
            408 => AttemptOutcome::TimedOut,
            409 => AttemptOutcome::NotSent,
            429 => AttemptOutcome::Overloaded,
            444 => AttemptOutcome::Cancelled,
            502 => AttemptOutcome::Error,
            520 => AttemptOutcome::Reset,
            521 => AttemptOutcome::NotConnected,
            other => return Err(AdapterError::new(format!("unknown attempt status {other}"))),
        };
        let server_responded = matches!(response.status, 200 | 204 | 429 | 502);
        let report = (server_responded && response.report_bits & 3 != 0).then(|| {
            let position = f64::from(response.report_bits >> 2);
            let has_position = self.settings.routing.reports_positions || position > 0.0;
            let is_acknowledged_write = self.request_usage[request].write && response.status == 200;
            let to_ticks = if is_acknowledged_write {
                ceil_ticks
            } else {
                floor_ticks
            };
            ServerReport {
                primary: response.report_bits & 3 == 1,
                position: has_position.then(|| to_ticks(self.settings.epoch_ms + position)),
            }
        });
        Ok(FinishedAttempt {
            request,
            attempt: u32::from(response.attempt),
            server: self.servers.index(&response.server),
            outcome,
            elapsed: ceil_ticks(response.latency_ms),
            request_finished: response.request_finished,
            report,
        })
    }

    /// Decodes a peer's announcement of a primary: the server's id, then the time of the announcement in milliseconds
    /// since `epoch_ms`. `None` if no list of this instance has named the server.
    fn announcement(&self, bytes: &[u8]) -> Option<PrimaryAnnouncement> {
        let read_u32 = |offset: usize| {
            Some(u32::from_le_bytes(
                bytes.get(offset..offset + 4)?.try_into().ok()?,
            ))
        };
        let server = self.servers.find(&read_u32(0)?)?;
        Some(PrimaryAnnouncement {
            server,
            at: floor_ticks(self.settings.epoch_ms + f64::from(read_u32(4)?)),
        })
    }

    /// The report in a probe's result; `None` if the load report has no role.
    fn probe_report(&self, load: &[f32]) -> Option<ServerReport> {
        let field = |index: Option<usize>| load.get(index?).copied();
        Some(ServerReport {
            primary: field(self.settings.role_field)? > 0.5,
            position: field(self.settings.position_field)
                .map(|seconds| floor_ticks(self.settings.epoch_ms + f64::from(seconds) * 1000.0)),
        })
    }

    /// Writes the actions to the reply in the order in which they were decided.
    fn write_actions(&mut self, reply: &mut Reply) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt {
                    request,
                    server,
                    timeout,
                    ..
                } => {
                    let usage = &mut self.request_usage[request];
                    usage.attempts_in_flight += 1;
                    reply.start_attempt(
                        *self.requests.id(request),
                        timeout as f64 / 10.0,
                        *self.servers.id(server),
                    );
                }
                Action::CancelAttempt { request, attempt } => {
                    reply.cancel_attempt(*self.requests.id(request), attempt as u8);
                }
                Action::Shed {
                    request,
                    retry_after,
                } => {
                    self.request_usage[request].finished = true;
                    reply.shed(*self.requests.id(request), retry_after as f64 / 10.0);
                    self.release_if_finished(request);
                }
                Action::Fail { request } => {
                    self.request_usage[request].finished = true;
                    reply.fail(*self.requests.id(request));
                    self.release_if_finished(request);
                }
                Action::SetTimer { at, key } => reply.set_timer(at as f64 / 10.0, key),
                Action::Probe { server } => reply.probe(*self.servers.id(server)),
                Action::AnnouncePrimary(announcement) => {
                    let since_epoch_ms = announcement.at as f64 / 10.0 - self.settings.epoch_ms;
                    let fields = [*self.servers.id(announcement.server), since_epoch_ms as u32];
                    reply.publish(u16::MAX, &fields.map(u32::to_le_bytes).concat());
                }
                Action::PollEndpoints => reply.poll_endpoints(),
                Action::WatchEndpoints(on) => reply.watch_endpoints(on),
                Action::ReleaseSession(session) => self.sessions.on_position_released(session),
                Action::ReleaseServer(server) => self.servers.release(server),
                Action::Log(text) => reply.log(&text),
            }
        }
        self.actions = actions;
    }

    /// Releases the index of a request that is finished and has no attempt in flight.
    fn release_if_finished(&mut self, request: usize) {
        let usage = &self.request_usage[request];
        if !usage.is_releasable() || self.requests.find(self.requests.id(request)) != Some(request)
        {
            return;
        }
        self.requests.release(request);
        self.sessions.on_request_finished(usage);
    }
}
