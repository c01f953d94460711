//! The table of open requests, by the indices that the router uses for them.

use std::cell::Cell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use leverpoint_routing::api::{Consistency, Idempotency, Request, Ticks};
use leverpoint_routing::executed_ids::{ExecutedIds, RequestEnd};
use leverpoint_routing::interning::{RequestUsage, Sessions};
use leverpoint_runtime::failpoint_active;
use tokio::sync::{Notify, oneshot};

use crate::client_connections::ClientConnection;
use crate::latch::Latch;
use crate::request::{FinalAnswer, RequestStage, Statement};
use crate::session_consistency::RequestSession;

/// The attempts of a request.
#[derive(Default)]
pub(crate) struct Attempts {
    /// Number of attempts started, which is the number of the next one.
    started: u32,
    /// Attempts that have not finished, by number, each with the notification that cancels it.
    outstanding: Vec<(u32, Rc<Notify>)>,
}

impl Attempts {
    /// Adds an attempt; returns its number and the notification that cancels it.
    pub(crate) fn start(&mut self) -> (u32, Rc<Notify>) {
        let number = self.started;
        self.started += 1;
        let cancelled = Rc::new(Notify::new());
        self.outstanding.push((number, cancelled.clone()));
        (number, cancelled)
    }

    /// Returns the number of attempts started.
    pub(crate) fn started(&self) -> u32 {
        self.started
    }

    pub(crate) fn finish(&mut self, number: u32) {
        self.outstanding.retain(|(other, _)| *other != number);
    }

    pub(crate) fn cancel(&self, number: u32) {
        if let Some((_, cancelled)) = self.outstanding.iter().find(|(other, _)| *other == number) {
            cancelled.notify_one();
        }
    }
}

/// Signals of a request's end, for which its attempts wait.
#[derive(Default)]
pub(crate) struct EndSignals {
    /// Set together with `RequestUsage::finished`: the request needs no more attempts, as it has its final answer or its
    /// client has disconnected.
    pub(crate) finished: Latch,
    /// Set where its client has disconnected or cancelled it before its final answer.
    pub(crate) client_left: Latch,
}

/// A request that has no final answer yet or has outstanding attempts.
pub(crate) struct OpenRequest {
    /// Decides when its index and its session may be reused.
    pub(crate) usage: RequestUsage,
    pub(crate) id: Box<str>,
    pub(crate) statement: Rc<Statement>,
    pub(crate) session: Option<RequestSession>,
    /// None if the final answer has been sent or the client has disconnected.
    pub(crate) answer_sender: Option<oneshot::Sender<FinalAnswer>>,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) idempotency: Idempotency,
    pub(crate) end_signals: Rc<EndSignals>,
    pub(crate) attempts: Attempts,
    /// The ticket of the write's registration with its replica holders, until its outcome is reported to them.
    pub(crate) write_ticket: Option<u64>,
    /// Whether any finished attempt may have been executed.
    pub(crate) possibly_executed: bool,
}

impl OpenRequest {
    /// Records that the request needs no more attempts.
    pub(crate) fn mark_finished(&mut self) {
        self.usage.finished = true;
        self.end_signals.finished.set();
    }

    /// Returns how the request has ended. A client that is gone by now has not read the answer, if there was one.
    fn end(&self) -> RequestEnd {
        RequestEnd {
            idempotency: self.idempotency,
            possibly_executed: self.possibly_executed,
            client_left: self.end_signals.client_left.is_set()
                || (self.statement.write && self.client.is_disconnected()),
        }
    }

    /// Returns the answer of a request that is ended by shutdown. A request that may have been executed is reported as
    /// shed only if it is idempotent, as clients retry shed requests.
    fn shutdown_answer(&self) -> FinalAnswer {
        let never_executed = !self.possibly_executed && self.attempts.outstanding.is_empty();
        if self.idempotency == Idempotency::Idempotent || never_executed {
            FinalAnswer::Shed(0)
        } else {
            FinalAnswer::Failed
        }
    }
}

/// A request that is not routed yet because its replica holders are asked first.
pub(crate) struct PreparingRequest {
    pub(crate) open: OpenRequest,
    pub(crate) request: Request,
    pub(crate) stage: Rc<Cell<RequestStage>>,
    /// Hash of its session; 0 if sessions are not tracked.
    pub(crate) session_hash: u64,
    pub(crate) consistency: Consistency,
    /// Time from its arrival to its latency objective or deadline, whichever is earlier.
    pub(crate) objective_remaining: Ticks,
    /// The session token that the client sent with it.
    pub(crate) token: Option<String>,
}

/// Open requests, requests in preparation, and the ids and sessions that they use.
#[derive(Default)]
pub(crate) struct RequestTable {
    /// Routed requests by index; none at free indices.
    requests: Vec<Option<OpenRequest>>,
    free_indices: Vec<usize>,
    ids: HashSet<Box<str>>,
    executed_ids: ExecutedIds,
    pub(crate) sessions: Sessions<Box<str>>,
    /// Requests in preparation, by the number of the preparation.
    preparing: BTreeMap<u64, PreparingRequest>,
    last_preparation: u64,
    /// Whether the shutdown deadline has passed, so that new requests are shed.
    pub(crate) shut_down: bool,
}

impl RequestTable {
    pub(crate) fn has_id(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Whether a write of this id, whose client has left, may have been executed.
    pub(crate) fn was_executed(&self, id: &str) -> bool {
        self.executed_ids.contains(id)
    }

    /// Returns the number of ids remembered of writes that have ended.
    pub(crate) fn remembered_ids(&self) -> usize {
        self.executed_ids.len()
    }

    pub(crate) fn add_id(&mut self, id: &str) {
        self.ids.insert(id.into());
    }

    pub(crate) fn get(&self, index: usize) -> Option<&OpenRequest> {
        self.requests.get(index).and_then(Option::as_ref)
    }

    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut OpenRequest> {
        self.requests.get_mut(index).and_then(Option::as_mut)
    }

    /// Adds a request and returns its index.
    pub(crate) fn insert(&mut self, open: OpenRequest) -> usize {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.requests.push(None);
            self.requests.len() - 1
        });
        self.requests[index] = Some(open);
        index
    }

    /// Removes a request that is finished and has no outstanding attempt, and frees its index; returns none for any
    /// other.
    pub(crate) fn remove_releasable(&mut self, now: Ticks, index: usize) -> Option<OpenRequest> {
        let releasable = |open: &OpenRequest| {
            open.usage.is_releasable() || failpoint_active("index-early") && open.usage.finished
        };
        let open = self.requests[index].take_if(|open| releasable(open))?;
        self.free_indices.push(index);
        self.executed_ids
            .on_request_finished(now, &open.id, open.end());
        self.release(&open);
        Some(open)
    }

    /// Releases the id and the session of a request that has ended.
    pub(crate) fn release(&mut self, open: &OpenRequest) {
        self.ids.remove(&open.id);
        self.sessions.on_request_finished(&open.usage);
    }

    /// Adds a request whose replica holders are asked; returns the number of its preparation.
    pub(crate) fn insert_preparing(&mut self, preparing: PreparingRequest) -> u64 {
        self.last_preparation += 1;
        let number = self.last_preparation;
        preparing.stage.set(RequestStage::Preparing(number));
        self.preparing.insert(number, preparing);
        number
    }

    pub(crate) fn preparing_mut(&mut self, number: u64) -> Option<&mut PreparingRequest> {
        self.preparing.get_mut(&number)
    }

    /// Removes a request from preparation; none if it has left it already.
    pub(crate) fn take_preparing(&mut self, number: u64) -> Option<PreparingRequest> {
        self.preparing.remove(&number)
    }

    pub(crate) fn take_all_preparing(&mut self) -> Vec<PreparingRequest> {
        std::mem::take(&mut self.preparing).into_values().collect()
    }

    /// Returns the answers for the routed requests that are still unanswered at shutdown, by index.
    pub(crate) fn shutdown_answers(&self) -> Vec<(usize, FinalAnswer)> {
        self.requests
            .iter()
            .enumerate()
            .filter_map(|(index, open)| Some((index, open.as_ref()?)))
            .filter(|(_, open)| !open.usage.finished)
            .map(|(index, open)| (index, open.shutdown_answer()))
            .collect()
    }

    /// Returns the number of requests without a final answer.
    pub(crate) fn unanswered(&self) -> usize {
        let open = self.requests.iter().flatten();
        open.filter(|open| !open.usage.finished).count() + self.preparing.len()
    }

    /// Returns the number of indices, including the free ones.
    pub(crate) fn capacity(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of ids in use.
    pub(crate) fn open_ids(&self) -> usize {
        self.ids.len()
    }
}
