//! Interns the identifiers of protocols: maps each to the small index that the router uses for it.

use std::collections::HashMap;
use std::hash::Hash;

use crate::api::{AttemptOutcome, ServerReport};

/// Identifiers with an index each; released indices are reused.
pub struct Indices<K> {
    index_by_id: HashMap<K, usize>,
    ids: Vec<K>,
    free: Vec<usize>,
}

impl<K> Default for Indices<K> {
    fn default() -> Self {
        Indices {
            index_by_id: HashMap::new(),
            ids: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Indices<K> {
    /// Index of an identifier, newly assigned if it has none.
    pub fn index(&mut self, id: &K) -> usize {
        if let Some(&index) = self.index_by_id.get(id) {
            return index;
        }
        let index = match self.free.pop() {
            Some(index) => {
                self.ids[index] = id.clone();
                index
            }
            None => {
                self.ids.push(id.clone());
                self.ids.len() - 1
            }
        };
        self.index_by_id.insert(id.clone(), index);
        index
    }

    /// Index of an identifier, if it has one.
    #[must_use]
    pub fn find(&self, id: &K) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Number of identifiers that have an index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index_by_id.len()
    }

    /// Whether no identifier has an index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Identifier to which an index was last assigned.
    ///
    /// # Panics
    ///
    /// If the index was never assigned.
    #[must_use]
    pub fn id(&self, index: usize) -> &K {
        &self.ids[index]
    }

    /// Releases an index for reuse.
    ///
    /// # Panics
    ///
    /// If the index was never assigned.
    pub fn release(&mut self, index: usize) {
        if self.index_by_id.remove(&self.ids[index]).is_some() {
            self.free.push(index);
        }
    }
}

/// Sessions by index. Only sessions that write get an index of their own; all others share index 0.
pub struct Sessions<K> {
    indices: Indices<Option<K>>,
    usage: Vec<SessionUsage>,
}

/// Why a session keeps its index.
#[derive(Clone, Copy, Default)]
struct SessionUsage {
    /// Writes of the session that are not finished or have an attempt in flight.
    pending_writes: usize,
    /// Whether the router remembers a position of the session.
    position_remembered: bool,
}

impl<K: Clone + Eq + Hash> Default for Sessions<K> {
    fn default() -> Self {
        let mut indices = Indices::default();
        indices.index(&None);
        Sessions {
            indices,
            usage: vec![SessionUsage::default()],
        }
    }
}

impl<K: Clone + Eq + Hash> Sessions<K> {
    /// Index of a session for a read.
    pub fn index_for_read(&self, id: K) -> usize {
        self.indices.find(&Some(id)).unwrap_or(0)
    }

    /// Index of a session for a write; it stays at least until [`Sessions::on_request_finished`] is
    /// called for the request.
    pub fn index_for_write(&mut self, id: K) -> usize {
        let index = self.indices.index(&Some(id));
        if self.usage.len() <= index {
            self.usage.resize(index + 1, SessionUsage::default());
        }
        self.usage[index].pending_writes += 1;
        index
    }

    /// Number of sessions with an index, the shared one included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether no session has an index.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Records how an attempt ended: the router remembers the position reported with the answer to
    /// a write.
    pub fn on_attempt_finished(
        &mut self,
        request: &RequestUsage,
        outcome: AttemptOutcome,
        report: Option<ServerReport>,
    ) {
        let position = report.and_then(|report| report.position);
        let committed = request.write && outcome == AttemptOutcome::Answered && position.is_some();
        if let Some(session) = request.session.filter(|_| committed) {
            self.usage[session].position_remembered = true;
        }
    }

    /// Records that a request is finished and none of its attempts is in flight.
    pub fn on_request_finished(&mut self, request: &RequestUsage) {
        if let Some(session) = request.session.filter(|_| request.write) {
            self.usage[session].pending_writes -= 1;
            self.release_if_unused(session);
        }
    }

    /// Records that the router no longer remembers a position of the session.
    pub fn on_position_released(&mut self, index: usize) {
        self.usage[index].position_remembered = false;
        self.release_if_unused(index);
    }

    fn release_if_unused(&mut self, index: usize) {
        let usage = self.usage[index];
        if usage.pending_writes == 0 && !usage.position_remembered {
            self.indices.release(index);
        }
    }
}

/// State of a request that is kept for as long as the protocol may refer to it.
#[derive(Clone, Copy, Default)]
pub struct RequestUsage {
    /// Whether the request is finished.
    pub finished: bool,
    /// Number of attempts in flight.
    pub attempts_in_flight: u32,
    /// Whether it is a write.
    pub write: bool,
    /// Index of its session.
    pub session: Option<usize>,
}

impl RequestUsage {
    /// Whether the request's index may be reused: it is finished and no attempt is in flight.
    #[must_use]
    pub fn is_releasable(&self) -> bool {
        self.finished && self.attempts_in_flight == 0
    }
}
