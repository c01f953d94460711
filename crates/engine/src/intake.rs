//! Intake of client requests: validation, admission and conversion to the router's request.

use std::cell::Cell;
use std::rc::Rc;

use leverpoint_config::settings::{ceil_ticks, floor_ticks};
use leverpoint_routing::api::{
    Consistency, Idempotency, PositionKeeper, Request, RequestClass, Ticks,
};
use leverpoint_routing::interning::RequestUsage;
use leverpoint_runtime::{Instant, since};
use tokio::sync::oneshot;

use crate::client_connections::ClientConnection;
use crate::engine::{Engine, TICKS_PER_MS};
use crate::metrics::increment;
use crate::request::{
    FinalAnswer, PendingRequest, Rejection, RequestHeader, RequestStage, RequiredPosition,
    Statement,
};
use crate::request_table::{Attempts, OpenRequest, PreparingRequest};

const INVALID_PARAMETER: &str = "22023";
const DUPLICATE_OBJECT: &str = "42710";

/// Indices of the request class, tenant and replica set that a request names.
struct ResolvedNames {
    class: usize,
    tenant: usize,
    set: usize,
}

fn invalid_parameter(message: String) -> Rejection {
    Rejection::Invalid(INVALID_PARAMETER, message)
}

fn unknown_name(key: &str, name: &str) -> Rejection {
    invalid_parameter(format!("{key}: {name:.40} is not known here"))
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn open_request(
    header: &RequestHeader<'_>,
    text: &str,
    class: &RequestClass,
    session: Option<usize>,
    client: &Rc<ClientConnection>,
    answer_sender: oneshot::Sender<FinalAnswer>,
) -> OpenRequest {
    OpenRequest {
        usage: RequestUsage {
            write: class.consistency == Consistency::Write,
            session,
            ..RequestUsage::default()
        },
        id: header.id.into(),
        statement: Rc::new(Statement {
            text: text.as_bytes().into(),
            timeout_range: header.timeout_range.clone(),
            write: header.write,
        }),
        session: None,
        answer_sender: Some(answer_sender),
        client: client.clone(),
        idempotency: class.idempotency,
        end_signals: Rc::default(),
        attempts: Attempts::default(),
        write_ticket: None,
        possibly_executed: false,
    }
}

impl Engine {
    /// Accepts a complete request. Its timeout counts from `received`, when its last byte arrived, so that time queued
    /// behind other requests of the connection is included.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the request is invalid, names an unknown class, tenant or replica set, or is shed.
    pub fn on_request(
        self: &Rc<Self>,
        header: &RequestHeader<'_>,
        text: &str,
        received: Instant,
        client: &Rc<ClientConnection>,
    ) -> Result<PendingRequest, Rejection> {
        let resolved = self.resolve(header)?;
        let class = &self.settings.routing.classes[resolved.class];
        let timeout = floor_ticks(header.timeout_ms).min(class.timeout);
        let deadline = self.clock.at(received) + timeout;
        let answer_deadline = self.clock.instant(deadline + self.settings.answer_slack);
        self.admit(header, &resolved, client, answer_deadline)?;
        let has_token = matches!(header.required_position, Some(RequiredPosition::Token(_)));
        if has_token && self.session_consistency.is_none() {
            return Err(invalid_parameter(
                "after: expected a number from 0 to 1e13".into(),
            ));
        }
        let class_index = resolved.class;
        let request = self.routing_request(header, &resolved, deadline);
        let (answer_sender, answer_receiver) = oneshot::channel();
        let open = open_request(header, text, class, request.session, client, answer_sender);
        self.metrics.on_request(class_index);
        let preparing = self.preparing_request(header, open, request, class);
        let pending = PendingRequest {
            engine: self.clone(),
            stage: preparing.stage.clone(),
            answer_receiver,
            answered: false,
            id: header.id.into(),
            queued: since(received),
            class: class_index,
            answer_deadline,
        };
        self.prepare(header, preparing);
        Ok(pending)
    }

    /// Resolves the names in a request, and checks that the statement fits the class and that the id is not in use.
    fn resolve(&self, header: &RequestHeader<'_>) -> Result<ResolvedNames, Rejection> {
        let class = index_of(&self.settings.class_names, header.class)
            .ok_or_else(|| unknown_name("c", header.class))?;
        let tenant = self.resolve_tenant(header)?;
        let config = &self.settings.routing.classes[class];
        if (config.consistency == Consistency::Write) != header.write {
            return Err(invalid_parameter(format!(
                "c: {} does not fit the statement",
                header.class
            )));
        }
        let needs_key = matches!(config.idempotency, Idempotency::IdempotentByKey { .. });
        if needs_key && header.idempotency_key.is_empty() {
            return Err(invalid_parameter(format!(
                "k: expected an idempotency key for {}",
                header.class
            )));
        }
        let set = self
            .endpoints
            .set_index(header.set)
            .ok_or_else(|| unknown_name("cluster", &header.set.to_string()))?;
        if self.requests.borrow().has_id(header.id) {
            return Err(Rejection::Invalid(
                DUPLICATE_OBJECT,
                "id: expected a new one, found that of an open command".into(),
            ));
        }
        if self.requests.borrow().was_executed(header.id) {
            return Err(Rejection::Invalid(
                DUPLICATE_OBJECT,
                "id: expected a new one, found that of a write that may have run".into(),
            ));
        }
        Ok(ResolvedNames { class, tenant, set })
    }

    fn resolve_tenant(&self, header: &RequestHeader<'_>) -> Result<usize, Rejection> {
        let tenants = &self.settings.tenant_names;
        match header.tenant {
            _ if tenants.is_empty() => Ok(0),
            Some(name) => index_of(tenants, name).ok_or_else(|| unknown_name("t", name)),
            None => Err(invalid_parameter("t: expected a customer".into())),
        }
    }

    /// Sheds a request if there is no buffer capacity for its answer, and every request after the shutdown deadline.
    fn admit(
        &self,
        header: &RequestHeader<'_>,
        resolved: &ResolvedNames,
        client: &Rc<ClientConnection>,
        answer_deadline: Instant,
    ) -> Result<(), Rejection> {
        let admitted = if self.requests.borrow().shut_down {
            Err(0)
        } else {
            client.admit(resolved.class, resolved.tenant, answer_deadline)
        };
        let Err(retry_after) = admitted else {
            return Ok(());
        };
        self.metrics.on_request(resolved.class);
        increment(&self.metrics.shed);
        let retry_after = self.allowed_retry_after(retry_after);
        self.diagnostics
            .on_shed_on_arrival(&self.log, self.clock.now(), header.id, retry_after);
        let retry_after_ms = retry_after as u64 / TICKS_PER_MS;
        Err(Rejection::Shed(retry_after_ms, answer_deadline))
    }

    /// Limits advice on when to retry to what the settings permit; 0 stands for no advice.
    pub(crate) fn allowed_retry_after(&self, retry_after: Ticks) -> Ticks {
        let permissions = &self.settings.routing.permissions;
        if permissions.retry_after {
            retry_after.min(permissions.max_retry_after)
        } else {
            0
        }
    }

    /// Registers the request's id and session, and returns the request in the router's form.
    fn routing_request(
        &self,
        header: &RequestHeader<'_>,
        resolved: &ResolvedNames,
        deadline: Ticks,
    ) -> Request {
        let mut requests = self.requests.borrow_mut();
        requests.add_id(header.id);
        let session = match self.settings.routing.classes[resolved.class].consistency {
            Consistency::Write => {
                Some(requests.sessions.index_for_write(header.session_key.into()))
            }
            Consistency::Session => {
                Some(requests.sessions.index_for_read(header.session_key.into()))
            }
            _ => None,
        };
        // A position stated by the client counts only if the settings leave it to clients to carry their position.
        let client_carries_position =
            self.settings.routing.position_keeper == PositionKeeper::Client;
        let required_position = match header.required_position {
            Some(RequiredPosition::UnixMs(ms)) if ms > 0.0 && client_carries_position => {
                Some(ceil_ticks(ms))
            }
            _ => None,
        };
        Request {
            request: 0,
            class: resolved.class,
            tenant: resolved.tenant,
            set: resolved.set,
            session,
            deadline,
            required_position,
            wait_for_replica_until: 0,
            client_retry: header.client_retry,
            first_attempt_elsewhere: None,
        }
    }

    /// Assembles a request with the data that its preparation needs.
    fn preparing_request(
        &self,
        header: &RequestHeader<'_>,
        open: OpenRequest,
        request: Request,
        class: &RequestClass,
    ) -> PreparingRequest {
        let now = self.clock.now();
        let objective_deadline = request.deadline.min(now + class.latency_objective);
        let token = match header.required_position {
            Some(RequiredPosition::Token(token)) => Some(token.to_owned()),
            _ => None,
        };
        let session_hash = self.session_consistency.as_ref().map_or(0, |sessions| {
            sessions.hash_session(header.set, header.session_key)
        });
        PreparingRequest {
            open,
            request,
            stage: Rc::new(Cell::new(RequestStage::Ended)),
            session_hash,
            consistency: class.consistency,
            objective_remaining: (objective_deadline - now).max(0),
            token,
        }
    }

    /// Sends the final answer of a request that was not routed, if it has none yet.
    pub(crate) fn answer_unrouted(&self, open: &mut OpenRequest, answer: FinalAnswer) {
        let Some(sender) = open.answer_sender.take() else {
            return;
        };
        self.diagnostics
            .on_unanswered(&self.log, self.clock.now(), open, &answer);
        increment(match answer {
            FinalAnswer::Shed(_) => &self.metrics.shed,
            _ => &self.metrics.failed,
        });
        // The client may have disconnected.
        let _ = sender.send(answer);
    }
}
