//! The table of open requests, by the indices under which the router knows them.

use std::cell::Cell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use leverpoint_routing::api::{Consistency, Idempotency, Request, Ticks};
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
    started: u32,
    /// Those that have not finished, with what cancels them.
    outstanding: Vec<(u32, Rc<Notify>)>,
}

impl Attempts {
    /// Adds an attempt and returns its number and what cancels it.
    pub(crate) fn start(&mut self) -> (u32, Rc<Notify>) {
        let number = self.started;
        self.started += 1;
        let cancelled = Rc::new(Notify::new());
        self.outstanding.push((number, cancelled.clone()));
        (number, cancelled)
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

/// A request that has no final answer yet, or still has attempts outstanding.
pub(crate) struct OpenRequest {
    pub(crate) held: RequestUsage,
    pub(crate) id: Box<str>,
    pub(crate) statement: Rc<Statement>,
    pub(crate) session: Option<RequestSession>,
    pub(crate) answer: Option<oneshot::Sender<FinalAnswer>>,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) idempotency: Idempotency,
    /// Set with `held.over`: it needs no attempt any more, as its client has gone or it has its final answer.
    pub(crate) over: Rc<Latch>,
    pub(crate) attempts: Attempts,
    /// The ticket under which its replica holders know this write.
    pub(crate) write_ticket: Option<u64>,
    pub(crate) possibly_executed: bool,
}

impl OpenRequest {
    pub(crate) fn mark_over(&mut self) {
        self.held.finished = true;
        self.over.set();
    }

    /// The answer of a request that is ended by a shutdown: one that may have been executed may only be called
    /// shed where a retry does no harm.
    fn shutdown_answer(&self) -> FinalAnswer {
        let never_executed = !self.possibly_executed && self.attempts.outstanding.is_empty();
        if self.idempotency == Idempotency::Idempotent || never_executed {
            FinalAnswer::Shed(0)
        } else {
            FinalAnswer::Failed
        }
    }
}

/// A request that the router has not been given yet, because its replica holders are asked first.
pub(crate) struct PreparingRequest {
    pub(crate) open: OpenRequest,
    pub(crate) request: Request,
    pub(crate) stage: Rc<Cell<RequestStage>>,
    /// Number of its session; 0 where sessions are not tracked.
    pub(crate) session_number: u64,
    pub(crate) consistency: Consistency,
    /// Time left to its latency objective when it arrived.
    pub(crate) objective_left: Ticks,
    /// The session token that came with it.
    pub(crate) token: Option<String>,
}

/// All requests that have not ended.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: Vec<Option<OpenRequest>>,
    free: Vec<usize>,
    ids: HashSet<Box<str>>,
    pub(crate) sessions: Sessions<Box<str>>,
    preparing: BTreeMap<u64, PreparingRequest>,
    preparations: u64,
    /// Whether the gateway shuts down: no request is accepted any more.
    pub(crate) closing: bool,
}

impl RequestTable {
    pub(crate) fn has_id(&self, id: &str) -> bool {
        self.ids.contains(id)
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

    /// Adds a request under a free index.
    pub(crate) fn insert(&mut self, open: OpenRequest) -> usize {
        let index = self.free.pop().unwrap_or_else(|| {
            self.requests.push(None);
            self.requests.len() - 1
        });
        self.requests[index] = Some(open);
        index
    }

    /// Removes a request that is over and has no attempt outstanding, and frees its index.
    pub(crate) fn remove_done(&mut self, index: usize) -> Option<OpenRequest> {
        let done = |open: &OpenRequest| {
            open.held.is_releasable() || failpoint_active("index-early") && open.held.finished
        };
        let open = self.requests[index].take_if(|open| done(open))?;
        self.free.push(index);
        self.release(&open);
        Some(open)
    }

    /// Forgets the id and the session of a request that has ended.
    pub(crate) fn release(&mut self, open: &OpenRequest) {
        self.ids.remove(&open.id);
        self.sessions.on_request_finished(&open.held);
    }

    /// Adds a request whose replica holders are asked, and returns the number of its preparation.
    pub(crate) fn prepare(&mut self, preparing: PreparingRequest) -> u64 {
        self.preparations += 1;
        let number = self.preparations;
        preparing.stage.set(RequestStage::Preparing(number));
        self.preparing.insert(number, preparing);
        number
    }

    pub(crate) fn preparing_mut(&mut self, number: u64) -> Option<&mut PreparingRequest> {
        self.preparing.get_mut(&number)
    }

    pub(crate) fn take_prepared(&mut self, number: u64) -> Option<PreparingRequest> {
        self.preparing.remove(&number)
    }

    pub(crate) fn take_all_preparing(&mut self) -> Vec<PreparingRequest> {
        std::mem::take(&mut self.preparing).into_values().collect()
    }

    /// The answers of all requests that are still unanswered when the gateway shuts down.
    pub(crate) fn shutdown_answers(&self) -> Vec<(usize, FinalAnswer)> {
        self.requests
            .iter()
            .enumerate()
            .filter_map(|(index, open)| Some((index, open.as_ref()?)))
            .filter(|(_, open)| !open.held.finished)
            .map(|(index, open)| (index, open.shutdown_answer()))
            .collect()
    }

    /// Number of requests without a final answer.
    pub(crate) fn unanswered(&self) -> usize {
        let open = self.requests.iter().flatten();
        open.filter(|open| !open.held.finished).count() + self.preparing.len()
    }

    /// Number of indices, the free ones included.
    pub(crate) fn capacity(&self) -> usize {
        self.requests.len()
    }

    /// Number of ids of open requests.
    pub(crate) fn open_ids(&self) -> usize {
        self.ids.len()
    }
}
