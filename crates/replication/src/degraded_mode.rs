//! Writes that a member serves without a quorum: how many are open, up to when they were answered, and what its storage
//! says of them.
//!
//! # Invariants
//!
//! No write is cleared without a quorum before the storage says that this may happen. A later incarnation with that
//! storage therefore knows, and reports to the other members, that writes may have been answered which they lack.

use leverpoint_failpoint::failpoint_active;

use crate::Ticks;

/// Recorded while writes may be answered without a quorum: until when is known only at the next start.
const STILL_SERVING: Ticks = Ticks::MAX;

/// Whether the storage says that writes may be answered without a quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Marker {
    #[default]
    Absent,
    /// It is being persisted.
    Pending,
    Persisted,
}

/// State of the writes that are served without a quorum.
#[derive(Debug, Default)]
pub(crate) struct DegradedMode {
    /// Number of open writes that were cleared without a quorum, or will be once the marker is persisted.
    pub(crate) open_writes: usize,
    /// Upper bound of the positions of all writes that this incarnation has answered without a quorum; 0 if there were
    /// none.
    pub(crate) answered_until: Ticks,
    /// Time until which this member does not renew its leases.
    pub(crate) leases_paused_until: Ticks,
    /// The same bound as `answered_until`, of earlier incarnations with this storage.
    inherited_until: Ticks,
    marker: Marker,
}

impl DegradedMode {
    /// Takes over what an earlier incarnation has recorded, see [`DegradedMode::recorded_until`]; none if that can't be
    /// told. `latest` is the latest time at which it may have answered a write.
    pub(crate) fn restore(&mut self, recorded: Option<Ticks>, latest: Ticks) {
        if failpoint_active("unreplicated-forgotten") {
            return;
        }
        self.inherited_until = recorded.unwrap_or(STILL_SERVING).min(latest);
    }

    /// Upper bound of the positions of all writes that any incarnation with this storage has answered without a quorum,
    /// as is reported to the other members; 0 if there were none.
    pub(crate) fn unreplicated_until(&self) -> Ticks {
        self.answered_until.max(self.inherited_until)
    }

    /// The bound that is recorded in the storage.
    pub(crate) fn recorded_until(&self) -> Ticks {
        if self.marker == Marker::Absent {
            self.unreplicated_until()
        } else {
            STILL_SERVING
        }
    }

    /// Whether the storage says that writes may be answered without a quorum.
    pub(crate) fn is_marked(&self) -> bool {
        self.marker == Marker::Persisted
    }

    /// Begins to mark the storage; returns whether its metadata is to be persisted for that.
    pub(crate) fn begin_marking(&mut self) -> bool {
        let is_absent = self.marker == Marker::Absent;
        if is_absent {
            self.marker = Marker::Pending;
        }
        is_absent
    }

    /// Records that the storage is marked.
    pub(crate) fn on_marked(&mut self) {
        if self.marker == Marker::Pending {
            self.marker = Marker::Persisted;
        }
    }

    /// Ends the mark once a quorum can be reached and no write without one is open.
    pub(crate) fn end_marking(&mut self) {
        self.marker = Marker::Absent;
    }
}
