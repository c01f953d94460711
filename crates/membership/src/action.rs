//! What a [`Member`](crate::Member) exchanges with its runtime: persisted state, actions, events and counters.

use serde::{Deserialize, Serialize};

use crate::Ticks;
use crate::consensus::AcceptorState;
use crate::layout::Layout;
use crate::member_info::{Incarnation, MemberInfo};
use crate::member_status::MemberStatus;
use crate::message::Envelope;

/// The part of a member's state that has to survive a restart, where there is durable storage.
///
/// Field order is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The incarnation the member runs, or last ran, with.
    pub incarnation: Incarnation,
    /// The newest layout the member knows to be chosen.
    pub layout: Layout,
    /// The member's acceptor state for the layout version after [`PersistedState::layout`].
    pub acceptor: AcceptorState,
}

/// A member's own state in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStatus {
    /// No other member has admitted it yet.
    Joining,
    /// Another member has admitted it, and it takes part in the protocol.
    Active,
    /// It has left gracefully.
    Left,
    /// A newer incarnation of its name has replaced it. It neither sends nor processes messages any more.
    Superseded,
}

/// The addressee of a message: a member by name and address, or an address alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// The member's name, if it is known.
    pub name: Option<String>,
    /// The advertised address.
    pub address: String,
}

/// A change that the runtime is to log.
///
/// The simulator digests these values with `Hash`, so the order of variants and fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// Another member has accepted this one into the fleet.
    Admitted,
    /// Another member's status has changed.
    StatusChanged {
        /// The other member's name.
        name: String,
        /// The other member's incarnation.
        incarnation: Incarnation,
        /// Its status before; `None` if it was not known.
        previous: Option<MemberStatus>,
        /// Its status now.
        status: MemberStatus,
    },
    /// Another live process uses this member's name.
    NameInUse {
        /// Address of the other process.
        by: String,
    },
    /// A newer incarnation of this member's name is active.
    Superseded {
        /// The newer incarnation.
        by: Incarnation,
    },
    /// An ended incarnation of this name had a higher number, so this member has raised its own above it.
    IncarnationRaised {
        /// The new incarnation number.
        to: u64,
    },
    /// A new layout has been adopted.
    LayoutChanged {
        /// Version of the new layout.
        version: u64,
        /// Number of holders in the new layout.
        holders: usize,
    },
    /// Another member has a different layout of the same version; consensus has been violated.
    LayoutConflict {
        /// The version with two layouts.
        version: u64,
        /// Name of the other member.
        from: String,
    },
    /// The process was not scheduled for so long that elapsed time says nothing about other members.
    Paused {
        /// Time between two calls of [`Member::tick`](crate::Member::tick).
        duration: Ticks,
    },
    /// Storage has failed, so this member casts no votes any more.
    PersistenceFailed,
    /// All founders are alive, none of them knows of a layout, and no operator has asked for the first one.
    BootstrapMissing,
}

/// An effect requested by a [`Member`](crate::Member), to be carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. It may be lost: nothing is reported back.
    Send {
        /// The receiver, by name and address or by address alone.
        to: Destination,
        /// The message with the sender's state.
        envelope: Box<Envelope>,
    },
    /// Persist `state`, then call [`Member::on_persisted`](crate::Member::on_persisted) with `sequence`, or
    /// [`Member::on_persist_failed`](crate::Member::on_persist_failed).
    Persist {
        /// Number of this request; a later one covers all earlier ones.
        sequence: u64,
        /// The complete state, which replaces the one persisted before.
        state: Box<PersistedState>,
    },
    /// Report an event.
    Report(MembershipEvent),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Valid messages received.
    pub received: u64,
    /// Messages from an incarnation that has ended.
    pub from_ended_incarnation: u64,
    /// Messages from a process whose name belongs to another live member.
    pub name_conflicts: u64,
    /// Messages that exceeded a limit or were malformed.
    pub invalid: u64,
    /// Messages from members for which the membership table had no room.
    pub table_full: u64,
    /// Members whose status became suspect.
    pub suspected: u64,
    /// Members whose status became dead.
    pub declared_dead: u64,
    /// Status changes that this member detected itself.
    pub detected_locally: u64,
    /// Updates about this member that it refuted.
    pub refuted: u64,
    /// Times the process was found not to have been scheduled.
    pub pauses: u64,
    /// Votes cast for other members' proposals.
    pub votes_cast: u64,
    /// Layouts adopted.
    pub layouts_adopted: u64,
    /// Messages that showed another layout of the same version.
    pub layout_conflicts: u64,
}

/// A member's state as shown to operators.
///
/// Field order is part of the admin protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// The member's description of itself.
    pub info: MemberInfo,
    /// Number of its latest refutation.
    pub refutation_count: u32,
    /// Its status, as the queried member sees it.
    pub status: MemberStatus,
    /// Time since the status last changed.
    pub status_age: Ticks,
    /// Time since a message from it was last received; `None` if there was none.
    pub silent_for: Option<Ticks>,
    /// Whether the layout lists it with its current storage.
    pub in_layout: bool,
    /// Whether this is the member that was queried.
    pub is_self: bool,
}
