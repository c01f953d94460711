//! Preparation of requests before routing: lookups and registrations at replica holders where they are needed.

use std::rc::Rc;

use leverpoint_routing::api::{Consistency, DeduplicationScope, Idempotency, Ticks};

use crate::engine::{Engine, EngineEvent, TICKS_PER_MS};
use crate::replicated_state::{
    DeduplicationDomain, IdempotencyClaim, ReplicatedState, WriteDecision, WriteOutcome,
};
use crate::request::{FinalAnswer, RequestHeader, RequestStage};
use crate::request_table::PreparingRequest;
use crate::session_consistency::RequestArrival;

/// The wait for replica holders is limited to the client's remaining time divided by this.
const REPLICA_WAIT_DIVISOR: Ticks = 8;

impl Engine {
    /// Routes a request, after its replica holders have been asked if that is needed.
    pub(crate) fn prepare(
        self: &Rc<Self>,
        header: &RequestHeader<'_>,
        preparing: PreparingRequest,
    ) {
        let replicated_state = self
            .replicated_state()
            .filter(|_| self.session_consistency.is_some());
        let Some(replicated_state) =
            replicated_state.filter(|_| self.needs_replica_lookup(&preparing))
        else {
            return self.route(preparing, None);
        };
        match preparing.consistency {
            Consistency::Write => {
                let claim = self.idempotency_claim(header, &preparing);
                self.prepare_write(&*replicated_state, preparing, claim);
            }
            _ => self.prepare_read(&*replicated_state, preparing),
        }
    }

    /// Whether a request needs state that only replica holders may have: all writes do, and reads without a token whose
    /// session's position is not known at this gateway.
    fn needs_replica_lookup(&self, preparing: &PreparingRequest) -> bool {
        match preparing.consistency {
            Consistency::Write => true,
            Consistency::Session => {
                let now = self.clock.now();
                let sessions = self.session_consistency.as_ref();
                preparing.token.is_none()
                    && sessions.is_some_and(|sessions| {
                        sessions.requires_current_position(preparing.session_hash, now)
                    })
            }
            _ => false,
        }
    }

    /// Returns the claim of a write's idempotency key for its replica holders; none for a write without a key.
    fn idempotency_claim(
        &self,
        header: &RequestHeader<'_>,
        preparing: &PreparingRequest,
    ) -> Option<IdempotencyClaim> {
        let Idempotency::IdempotentByKey { window, scope } = preparing.open.idempotency else {
            return None;
        };
        let sessions = self.session_consistency.as_ref()?;
        let key = header.idempotency_key;
        Some(IdempotencyClaim {
            key: sessions.hash_idempotency_key(header.tenant.unwrap_or_default(), key),
            attempt_id: sessions.hash_idempotency_key(header.id, key) ^ self.settings.routing.seed,
            replica_set: header.set,
            deduplication: match scope {
                DeduplicationScope::Everywhere => DeduplicationDomain::Global,
                DeduplicationScope::Zone => DeduplicationDomain::Zone,
                DeduplicationScope::Set => DeduplicationDomain::ReplicaSet,
            },
            deduplication_window: window,
            is_retry: header.client_retry,
        })
    }

    /// Returns the longest time to wait for replica holders of a request.
    fn replica_wait(&self, preparing: &PreparingRequest) -> Ticks {
        (preparing.request.deadline - self.clock.now()) / REPLICA_WAIT_DIVISOR
    }

    /// Registers a write with its replica holders; it continues with their decision.
    fn prepare_write(
        self: &Rc<Self>,
        replicated_state: &dyn ReplicatedState,
        preparing: PreparingRequest,
        claim: Option<IdempotencyClaim>,
    ) {
        let (session, wait) = (preparing.session_hash, self.replica_wait(&preparing));
        let number = self.requests.borrow_mut().insert_preparing(preparing);
        let engine = self.clone();
        let on_decision = Box::new(move |ticket, decision| {
            engine.on_write_decision(number, ticket, decision);
        });
        let ticket = replicated_state.begin_write(session, claim, wait, on_decision);
        if let Some(preparing) = self.requests.borrow_mut().preparing_mut(number) {
            preparing.open.write_ticket = Some(ticket);
        }
    }

    /// Looks up the position of a read's session at its replica holders, and then routes the read.
    fn prepare_read(
        self: &Rc<Self>,
        replicated_state: &dyn ReplicatedState,
        preparing: PreparingRequest,
    ) {
        let (session, wait) = (preparing.session_hash, self.replica_wait(&preparing));
        let number = self.requests.borrow_mut().insert_preparing(preparing);
        let engine = self.clone();
        let on_position = Box::new(move |position| {
            let preparing = engine.requests.borrow_mut().take_preparing(number);
            if let Some(preparing) = preparing {
                engine.route(preparing, position);
            }
        });
        replicated_state.session_position(session, wait, on_position);
    }

    /// Continues with a write after the decision of its replica holders.
    fn on_write_decision(self: &Rc<Self>, number: u64, ticket: u64, decision: WriteDecision) {
        let Some(mut preparing) = self.requests.borrow_mut().take_preparing(number) else {
            return;
        };
        preparing.open.write_ticket = Some(ticket);
        match decision {
            WriteDecision::Proceed {
                first_attempt_at,
                arrive_by,
            } => {
                let request = &mut preparing.request;
                request.first_attempt_elsewhere = first_attempt_at;
                // Subtracts a batch interval as a margin, as the router does for its own deduplication windows.
                let margin = self.settings.routing.batch_interval;
                if let Some(arrive_by) = arrive_by {
                    request.deadline = request.deadline.min(arrive_by - margin);
                }
                self.route(preparing, None);
            }
            WriteDecision::PossiblyExecuted => {
                self.end_unrouted(preparing, Some(FinalAnswer::Failed));
            }
            WriteDecision::Shed(retry_after) => {
                preparing.open.write_ticket = None;
                let retry_after = self.allowed_retry_after(retry_after);
                let answer = FinalAnswer::Shed(retry_after as u64 / TICKS_PER_MS);
                self.end_unrouted(preparing, Some(answer));
            }
        }
    }

    /// Ends a request that has not been routed. `answer` is none if its client has disconnected.
    pub(crate) fn end_unrouted(
        &self,
        mut preparing: PreparingRequest,
        answer: Option<FinalAnswer>,
    ) {
        preparing.stage.set(RequestStage::Ended);
        let open = &mut preparing.open;
        if let (Some(replicated_state), Some(ticket)) = (self.replicated_state(), open.write_ticket)
        {
            replicated_state.finish_write(ticket, WriteOutcome::NotExecuted);
        }
        self.requests.borrow_mut().release(open);
        if let Some(answer) = answer {
            self.answer_unrouted(open, answer);
        }
    }

    /// Passes a request to the router. `replicated_position` is the position of its session as known to replica
    /// holders.
    fn route(self: &Rc<Self>, preparing: PreparingRequest, replicated_position: Option<Ticks>) {
        let PreparingRequest {
            mut open,
            mut request,
            stage,
            session_hash,
            consistency,
            objective_remaining,
            token,
        } = preparing;
        let now = self.clock.now();
        open.session = self.session_consistency.as_ref().and_then(|sessions| {
            sessions.on_request(&RequestArrival {
                consistency,
                session_hash,
                set: request.set,
                now,
                objective_remaining,
                token: token.as_deref(),
                replicated_position,
            })
        });
        let requirement = open.session.and_then(|session| session.requirement);
        request.required_position = request
            .required_position
            .max(requirement.map(|requirement| requirement.position));
        request.wait_for_replica_until =
            requirement.map_or(0, |requirement| requirement.wait_for_replica_until);
        request.request = self.requests.borrow_mut().insert(open);
        stage.set(RequestStage::Routed(request.request));
        self.dispatch(EngineEvent::RequestArrived(request));
    }
}
