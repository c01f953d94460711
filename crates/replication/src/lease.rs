//! Leases between members: who is in touch, who may be serving without a quorum, and until when others count on this
//! member to replicate its writes.
//!
//! # Invariants
//!
//! A lease runs from a time that its giver has sent and has received back, so that a message that was delayed extends
//! none.

use std::collections::BTreeMap;

use crate::Ticks;
use crate::message::Envelope;

/// A member that left in order is not missed for so many leases: half a minute, in which it is started again.
const LEASES_FOR_RESTART: Ticks = 15;
/// Clocks of two machines run alike to this part of a lease, far beyond what they differ by in that time.
const DRIFT_MARGINS_PER_LEASE: Ticks = 8;
/// A renewal is not repeated within this part of a lease.
const MIN_RENEWALS_PER_LEASE: Ticks = 32;

/// A renewal that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Renewal {
    request_id: u32,
    sent_at: Ticks,
}

/// The last renewal of this member that a peer has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnsweredRenewal {
    layout_version: u64,
    sent_at: Ticks,
}

/// The last time of a peer's clock that it has sent, to be echoed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PeerTime {
    time: Ticks,
    received_at: Ticks,
}

/// What is known of one other member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct PeerLease {
    incarnation: u64,
    memory: u64,
    /// Until then, by this member's clock, it replicates all that it answers, or answers nothing.
    accounted_until: Ticks,
    answered: Option<AnsweredRenewal>,
    peer_time: PeerTime,
    /// Until then it may count on this member to replicate its writes.
    trusted_until: Ticks,
    /// It has all of its records up to that layout.
    synced_version: u64,
    unanswered: Option<Renewal>,
}

/// The leases of the other members of the newest layout.
#[derive(Debug)]
pub(crate) struct LeaseTable {
    length: Ticks,
    started_at: Ticks,
    peers: BTreeMap<String, PeerLease>,
}

/// What a message or a layout shows of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum LeaseChange {
    Nothing,
    /// An incarnation has ended that may have answered without a quorum: what it did lies before now.
    UnaccountedIncarnationEnded,
}

impl LeaseChange {
    fn unaccounted_ended(ended: bool) -> LeaseChange {
        if ended {
            LeaseChange::UnaccountedIncarnationEnded
        } else {
            LeaseChange::Nothing
        }
    }
}

impl LeaseTable {
    pub(crate) fn new(started_at: Ticks, length: Ticks) -> LeaseTable {
        LeaseTable {
            length,
            started_at,
            peers: BTreeMap::new(),
        }
    }

    fn drift_margin(&self) -> Ticks {
        self.length / DRIFT_MARGINS_PER_LEASE
    }

    /// Forgets members that a new layout does not name.
    pub(crate) fn retain(&mut self, now: Ticks, is_member: impl Fn(&str) -> bool) -> LeaseChange {
        let unaccounted = self
            .peers
            .iter()
            .any(|(name, peer)| !is_member(name) && !peer.is_accounted_for(now));
        self.peers.retain(|name, _| is_member(name));
        LeaseChange::unaccounted_ended(unaccounted)
    }

    /// The newest incarnation of a member that is known; 0 where none is.
    pub(crate) fn incarnation(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.incarnation)
    }

    /// Takes in that an incarnation of a member exists.
    pub(crate) fn on_incarnation_observed(
        &mut self,
        now: Ticks,
        name: &str,
        incarnation: u64,
        memory: u64,
    ) -> LeaseChange {
        let peer = self.peers.entry(name.to_owned()).or_default();
        let known = (peer.incarnation, peer.memory) == (incarnation, memory);
        if known || incarnation < peer.incarnation {
            return LeaseChange::Nothing;
        }
        let unaccounted = peer.incarnation > 0 && !peer.is_accounted_for(now);
        *peer = PeerLease {
            incarnation,
            memory,
            trusted_until: peer.trusted_until,
            ..PeerLease::default()
        };
        LeaseChange::unaccounted_ended(unaccounted)
    }

    /// A peer renews its lease; it runs from the time of this member's clock that it echoes.
    pub(crate) fn on_renewed(&mut self, name: &str, echoed_time: Ticks) {
        if let Some(peer) = self.peers.get_mut(name).filter(|_| echoed_time > 0) {
            peer.accounted_until = peer.accounted_until.max(echoed_time + self.length);
        }
    }

    /// A peer has all of its records up to that layout.
    pub(crate) fn on_synced(&mut self, name: &str, version: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.synced_version = peer.synced_version.max(version);
        }
    }

    /// An incarnation has ended in order: it answers nothing more, and its next one may be started meanwhile.
    pub(crate) fn on_leaving(&mut self, name: &str, incarnation: u64, echoed_time: Ticks) {
        let peer = self.peers.get_mut(name);
        let leaving = peer.filter(|peer| peer.incarnation == incarnation && echoed_time > 0);
        if let Some(peer) = leaving {
            let until = echoed_time + self.length * LEASES_FOR_RESTART;
            peer.accounted_until = peer.accounted_until.max(until);
        }
    }

    /// The time that the next message to a peer echoes; 0 where it has sent none.
    pub(crate) fn time_to_echo(&self, name: &str) -> Ticks {
        self.peers.get(name).map_or(0, |peer| peer.peer_time.time)
    }

    /// A renewal is sent to a peer.
    pub(crate) fn begin_renewal(&mut self, now: Ticks, name: &str, request_id: u32) {
        let peer = self.peers.entry(name.to_owned()).or_default();
        peer.unanswered = Some(Renewal {
            request_id,
            sent_at: now,
        });
    }

    /// Lets a peer count on this member for another lease; the time that the renewal echoes, 0 where there is none.
    pub(crate) fn extend_trust(&mut self, name: &str) -> Ticks {
        let longest = self.expired_for_all_after();
        let Some(peer) = self.peers.get_mut(name).filter(|p| p.peer_time.time != 0) else {
            return 0;
        };
        // The peer sent that time before it was received here.
        let until = peer.peer_time.received_at + longest;
        peer.trusted_until = peer.trusted_until.max(until);
        peer.peer_time.time
    }

    /// A peer has answered a renewal, at this time of its clock, by the layout of its message.
    pub(crate) fn on_renewal_answered(&mut self, now: Ticks, envelope: &Envelope, time: Ticks) {
        let Some(peer) = self.peers.get_mut(&envelope.sender) else {
            return;
        };
        let answered = peer
            .unanswered
            .take_if(|renewal| renewal.request_id == envelope.request_id);
        if let Some(renewal) = answered {
            peer.answered = Some(AnsweredRenewal {
                layout_version: envelope.layout_version,
                sent_at: renewal.sent_at,
            });
            peer.peer_time = PeerTime {
                time,
                received_at: now,
            };
        }
    }

    /// Whether a member has answered within a lease by this layout.
    pub(crate) fn in_touch(&self, now: Ticks, name: &str, version: u64) -> bool {
        let answered = self.peers.get(name).and_then(|peer| peer.answered);
        answered.is_some_and(|renewal| {
            renewal.layout_version == version
                && renewal.sent_at > 0
                && now - renewal.sent_at < self.length
        })
    }

    /// Whether a member that goes by this layout has answered no renewal by it, and is not asked just now.
    pub(crate) fn needs_renewal(&self, now: Ticks, name: &str, version: u64) -> bool {
        self.peers.get(name).is_some_and(|peer| {
            let asked = peer.unanswered.is_some_and(|renewal| {
                now - renewal.sent_at < self.length / MIN_RENEWALS_PER_LEASE
            });
            peer.answered.map_or(0, |renewal| renewal.layout_version) != version && !asked
        })
    }

    /// Whether a member, with that memory, replicates all that it answers, as far as is known here.
    pub(crate) fn is_accounted_for(&self, now: Ticks, name: &str, memory: u64) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.memory == memory && peer.is_accounted_for(now))
    }

    /// Until when a member may count on this one to replicate its writes.
    pub(crate) fn trusted_until(&self, name: &str) -> Ticks {
        let peer = self.peers.get(name);
        let trusted_until = peer.map_or(0, |peer| peer.trusted_until);
        let answered = peer.and_then(|peer| peer.answered);
        if answered.is_some_and(|renewal| renewal.sent_at > 0) {
            return trusted_until;
        }
        // It has not answered this incarnation, and may count on the one before, which left in order.
        let restart = self.length * LEASES_FOR_RESTART + self.drift_margin();
        trusted_until.max(self.started_at + restart)
    }

    /// Up to which layout a member has all of its records.
    pub(crate) fn synced_version(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.synced_version)
    }

    /// The memory that a member has now; 0 where none is known.
    pub(crate) fn memory(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.memory)
    }

    /// The length of a lease.
    pub(crate) fn length(&self) -> Ticks {
        self.length
    }

    /// After this time every member has noticed that a silent one's lease has expired.
    pub(crate) fn expired_for_all_after(&self) -> Ticks {
        self.length + self.drift_margin()
    }
}

impl PeerLease {
    fn is_accounted_for(&self, now: Ticks) -> bool {
        now < self.accounted_until
    }
}
