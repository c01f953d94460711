//! Single-decree Paxos on the next version of the layout.
//!
//! One value is chosen for each version, by a quorum of the holders of the version before, in two rounds. The founders
//! of version 0 have to be unanimous.
//!
//! # Invariants
//!
//! A holder replies only after the state behind its reply has been persisted, and a holder that has lost its storage
//! does not reply at all.

mod acceptor;
mod proposer;

use serde::{Deserialize, Serialize};

pub use acceptor::{AcceptorReply, AcceptorState};
pub use proposer::{LayoutChange, Proposal, ProposalStep};

use crate::member_info::Incarnation;

/// A proposal number. Two proposers never share one, as it contains the proposer's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Raised with each proposal, and above any round that has led to a rejection; compared first.
    pub round: u32,
    /// The proposer's incarnation, which breaks ties.
    pub proposer: Incarnation,
}
