//! Descriptions of members, and the updates about members that are disseminated.

use serde::{Deserialize, Serialize};

use crate::member_status::MemberStatus;

/// Longest name, address, zone, machine and program version accepted, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// Distinguishes successive processes of one name, and a process that has kept its storage from one that has lost it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Rises with each start of a process of this name. Equal numbers are told apart by the storage.
    pub number: u64,
    /// Drawn at random when the storage is created, and stored in it; never 0.
    pub storage_id: u64,
}

/// A member's description of itself. Field order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name, unique in the fleet.
    pub name: String,
    /// Address at which other members reach it.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Machine; processes on one machine fail together.
    pub machine: String,
    /// Version of the program that the member runs.
    pub program_version: String,
    /// The running process and its storage.
    pub incarnation: Incarnation,
}

impl MemberInfo {
    /// Whether a description received from a peer is within limits.
    pub fn is_valid(&self) -> bool {
        let is_short = |text: &String| {
            text.len() <= MAX_TEXT_BYTES && !text.contains(|c: char| c.is_control())
        };
        let texts = [
            &self.name,
            &self.address,
            &self.zone,
            &self.machine,
            &self.program_version,
        ];
        !self.name.is_empty() && self.incarnation.storage_id != 0 && texts.into_iter().all(is_short)
    }
}

/// A statement about a member, disseminated by gossip and table synchronization.
///
/// Field order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Description of the member that the update is about.
    pub info: MemberInfo,
    /// Raised by the member itself, and by no other, each time it refutes a statement about it.
    pub refutation_count: u32,
    /// The member's status according to the sender of the update.
    pub status: MemberStatus,
}

impl MemberUpdate {
    /// The order of updates about one name: the greatest is the newest.
    pub fn precedence(&self) -> (Incarnation, u32, MemberStatus) {
        (self.info.incarnation, self.refutation_count, self.status)
    }
}
