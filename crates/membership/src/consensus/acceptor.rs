//! The acceptor: what one holder has promised and accepted for the next version of the layout.

use serde::{Deserialize, Serialize};

use super::Ballot;
use crate::layout::Layout;

/// An acceptor's state, persisted before any reply that follows from it is sent.
///
/// Field order is part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The highest ballot promised.
    pub promised: Ballot,
    /// The value accepted last, with its ballot.
    pub accepted: Option<(Ballot, Layout)>,
}

/// An acceptor's reply to a proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptorReply {
    /// The ballot is promised. Contains the value accepted before, with its ballot, if there is one.
    Promised(Option<(Ballot, Layout)>),
    /// The value is accepted.
    Accepted,
    /// A higher ballot, which this contains, has been promised.
    Rejected(Ballot),
}

impl AcceptorState {
    /// Handles phase 1 of a proposal: promises the ballot unless a higher one has been promised.
    pub fn on_prepare(&mut self, ballot: Ballot) -> AcceptorReply {
        if ballot < self.promised {
            return AcceptorReply::Rejected(self.promised);
        }
        self.promised = ballot;
        AcceptorReply::Promised(self.accepted.clone())
    }

    /// Handles phase 2 of a proposal: accepts the value unless a higher ballot has been promised.
    pub fn on_accept(&mut self, ballot: Ballot, layout: &Layout) -> AcceptorReply {
        if ballot < self.promised {
            return AcceptorReply::Rejected(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some((ballot, layout.clone()));
        AcceptorReply::Accepted
    }
}
