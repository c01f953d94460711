//! The messages between members. The order of fields and variants is part of the wire format.

use serde::{Deserialize, Serialize};

use crate::consensus::Ballot;
use crate::gossip::UPDATES_PER_MESSAGE;
use crate::layout::{Layout, MAX_HOLDERS};
use crate::member_info::{MAX_TEXT_BYTES, MemberInfo, MemberUpdate};

/// Most updates in one [`Body::TableSync`]; a larger table is sent in several.
pub const UPDATES_PER_TABLE_SYNC: usize = 64;

/// Upper bound of an encoded [`MemberInfo`]: five texts with their lengths, and the numbers around them.
const MAX_MEMBER_BYTES: usize = 5 * (MAX_TEXT_BYTES + 2) + 40;

/// The longest envelope in bytes: a vote on the largest layout, with its updates.
pub const MAX_ENVELOPE_BYTES: usize = (MAX_HOLDERS + UPDATES_PER_TABLE_SYNC + 2) * MAX_MEMBER_BYTES;

/// The version of a layout and its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayoutVersion {
    /// [`Layout::version`].
    pub version: u64,
    /// [`Layout::digest`].
    pub digest: u64,
}

impl LayoutVersion {
    /// The version and digest of `layout`.
    pub fn of(layout: &Layout) -> LayoutVersion {
        LayoutVersion {
            version: layout.version,
            digest: layout.digest(),
        }
    }
}

/// A message together with the sender's state, which every message carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// The sender's current layout.
    pub layout: LayoutVersion,
    /// Digest of the sender's membership table.
    pub table_digest: u64,
    /// Updates about members, piggybacked on the messages that carry gossip.
    pub updates: Vec<MemberUpdate>,
    /// The content, by the kind of the message.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe.
    Ping {
        /// Sequence number of the probe.
        sequence: u32,
    },
    /// The acknowledgement of a probe.
    Ack {
        /// The sequence number of the ping.
        sequence: u32,
    },
    /// A request to probe another member.
    PingRequest {
        /// The requester's sequence number.
        sequence: u32,
        /// Name of the member to probe.
        name: String,
    },
    /// A member probed on request has acknowledged.
    RelayedAck {
        /// The requester's sequence number.
        sequence: u32,
        /// Name of the member that acknowledged.
        name: String,
    },
    /// A part of the sender's membership table.
    TableSync {
        /// The newest update about each member, [`UPDATES_PER_TABLE_SYNC`] at most.
        updates: Vec<MemberUpdate>,
    },
    /// A request for the current layout.
    LayoutRequest,
    /// A layout that has been chosen.
    ChosenLayout {
        /// The layout, which is adopted if it is newer than the receiver's.
        layout: Layout,
    },
    /// Paxos phase 1a.
    Prepare {
        /// The layout version to decide.
        version: u64,
        /// The ballot to promise.
        ballot: Ballot,
    },
    /// Paxos phase 1b.
    Promise {
        /// The layout version to decide.
        version: u64,
        /// The ballot promised.
        ballot: Ballot,
        /// The value accepted before, with its ballot.
        accepted: Option<(Ballot, Layout)>,
    },
    /// Paxos phase 2a.
    Accept {
        /// The layout version to decide.
        version: u64,
        /// The ballot in which the value is proposed.
        ballot: Ballot,
        /// The proposed value.
        layout: Layout,
    },
    /// Paxos phase 2b.
    Accepted {
        /// The layout version to decide.
        version: u64,
        /// The ballot accepted.
        ballot: Ballot,
    },
    /// The acceptor has promised a higher ballot.
    Rejected {
        /// The layout version to decide.
        version: u64,
        /// The ballot rejected.
        ballot: Ballot,
        /// The ballot promised.
        promised: Ballot,
    },
}

impl Body {
    /// Whether gossip is piggybacked on this message.
    pub(crate) fn carries_gossip(&self) -> bool {
        matches!(
            self,
            Body::Ping { .. }
                | Body::Ack { .. }
                | Body::PingRequest { .. }
                | Body::RelayedAck { .. }
        )
    }

    fn is_valid(&self) -> bool {
        match self {
            Body::TableSync { updates } => {
                updates.len() <= UPDATES_PER_TABLE_SYNC && all_valid(updates)
            }
            Body::PingRequest { name, .. } | Body::RelayedAck { name, .. } => {
                name.len() <= MAX_TEXT_BYTES
            }
            Body::ChosenLayout { layout }
            | Body::Accept { layout, .. }
            | Body::Promise {
                accepted: Some((_, layout)),
                ..
            } => layout.is_valid(),
            _ => true,
        }
    }
}

impl Envelope {
    /// Whether everything in a received message is within limits.
    pub fn is_valid(&self) -> bool {
        self.body.is_valid()
            && self.sender.info.is_valid()
            && self.updates.len() <= 2 * UPDATES_PER_MESSAGE
            && all_valid(&self.updates)
    }
}

fn all_valid(updates: &[MemberUpdate]) -> bool {
    updates
        .iter()
        .map(|update| &update.info)
        .all(MemberInfo::is_valid)
}
