//! Leases between members.
//!
//! Each member renews its lease at every other member of the newest layout. While the lease of a member is valid it
//! replicates whatever it answers, or answers nothing: it is accounted for. Once it has expired the member may be
//! serving without a quorum. A member is in touch while it has answered, under the newest layout, a renewal that this
//! member sent less than a lease ago.
//!
//! # Invariants
//!
//! A renewal echoes the last time that the receiving member has sent, and the lease runs from that time of the
//! receiver's clock. A delayed renewal therefore does not extend an expired lease.

use std::collections::BTreeMap;

use crate::Ticks;
use crate::message::Envelope;

/// Leases for which a member that left in an orderly way stays accounted for: 30 s by default, enough to restart it.
const LEASES_FOR_RESTART: Ticks = 15;
/// The drift margin is a lease divided by this: far more than the clocks of two machines drift apart within a lease.
const DRIFT_MARGINS_PER_LEASE: Ticks = 8;
/// An unanswered renewal is not repeated within a lease divided by this.
const MAX_RENEWALS_PER_LEASE: Ticks = 32;

/// A renewal that this member has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Renewal {
    request_id: u32,
    sent_at: Ticks,
}

/// A renewal of this member, with the layout version under which a peer has answered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnsweredRenewal {
    layout_version: u64,
    sent_at: Ticks,
}

/// The last time of its own clock that a peer has sent; the next renewal echoes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PeerTime {
    time: Ticks,
    received_at: Ticks,
}

/// Both directions of the lease between this member and one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct PeerLease {
    incarnation: u64,
    storage_id: u64,
    /// When the peer's lease expires, by this member's clock.
    lease_expires_at: Ticks,
    /// The last renewal of this member that the peer has answered.
    answered: Option<AnsweredRenewal>,
    peer_time: PeerTime,
    /// Upper bound, by this member's clock, of when the peer considers this member's lease expired.
    own_lease_expires_at: Ticks,
    /// The newest layout version under which the peer has all of its records.
    synced_version: u64,
    /// The last renewal of this member, until the peer answers it.
    outstanding: Option<Renewal>,
}

/// The leases of the other members of the newest layout.
#[derive(Debug)]
pub(crate) struct LeaseTable {
    length: Ticks,
    started_at: Ticks,
    peers: BTreeMap<String, PeerLease>,
}

/// The consequence of a new incarnation or a new layout for what other members may have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum LeaseChange {
    Nothing,
    /// An incarnation has ended that may have answered without a quorum; its writes lie before now.
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

    /// Drops the leases of members that a new layout does not name.
    pub(crate) fn retain(&mut self, now: Ticks, is_member: impl Fn(&str) -> bool) -> LeaseChange {
        let unaccounted = self
            .peers
            .iter()
            .any(|(name, peer)| !is_member(name) && !peer.is_accounted_for(now));
        self.peers.retain(|name, _| is_member(name));
        LeaseChange::unaccounted_ended(unaccounted)
    }

    /// The newest known incarnation of a member; 0 if none is known.
    pub(crate) fn incarnation(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.incarnation)
    }

    /// Records an incarnation of a member; one that is newer than the known one starts without a lease.
    ///
    /// `listed_storage_id` is the storage by which the newest layout names the member. Whether the first incarnation
    /// known to this process follows on one that has answered without a quorum, its storage says; one that comes
    /// without that storage can't tell.
    pub(crate) fn on_incarnation_observed(
        &mut self,
        now: Ticks,
        name: &str,
        incarnation: u64,
        storage_id: u64,
        listed_storage_id: Option<u64>,
    ) -> LeaseChange {
        let peer = self.peers.entry(name.to_owned()).or_default();
        let known = (peer.incarnation, peer.storage_id) == (incarnation, storage_id);
        if known || incarnation < peer.incarnation {
            return LeaseChange::Nothing;
        }
        let lost_storage =
            listed_storage_id.is_some_and(|listed| listed != 0 && listed != storage_id);
        let unaccounted = (peer.incarnation > 0 || lost_storage) && !peer.is_accounted_for(now);
        *peer = PeerLease {
            incarnation,
            storage_id,
            own_lease_expires_at: peer.own_lease_expires_at,
            ..PeerLease::default()
        };
        LeaseChange::unaccounted_ended(unaccounted)
    }

    /// Extends the lease of a peer, from the time of this member's clock that the renewal echoes; 0 extends nothing.
    pub(crate) fn on_renewed(&mut self, name: &str, echoed_time: Ticks) {
        if let Some(peer) = self.peers.get_mut(name).filter(|_| echoed_time > 0) {
            peer.lease_expires_at = peer.lease_expires_at.max(echoed_time + self.length);
        }
    }

    /// Records that a peer has all of its records under that layout version.
    pub(crate) fn on_synced(&mut self, name: &str, version: u64) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.synced_version = peer.synced_version.max(version);
        }
    }

    /// Extends the lease of an incarnation that leaves in an orderly way: it answers nothing more, and the next
    /// incarnation may be started in that time.
    pub(crate) fn on_leaving(&mut self, name: &str, incarnation: u64, echoed_time: Ticks) {
        let peer = self.peers.get_mut(name);
        let leaving = peer.filter(|peer| peer.incarnation == incarnation && echoed_time > 0);
        if let Some(peer) = leaving {
            let until = echoed_time + self.length * LEASES_FOR_RESTART;
            peer.lease_expires_at = peer.lease_expires_at.max(until);
        }
    }

    /// The time that the next message to a peer echoes; 0 if the peer has sent none.
    pub(crate) fn time_to_echo(&self, name: &str) -> Ticks {
        self.peers.get(name).map_or(0, |peer| peer.peer_time.time)
    }

    /// Records that a renewal is sent to a peer.
    pub(crate) fn begin_renewal(&mut self, now: Ticks, name: &str, request_id: u32) {
        let peer = self.peers.entry(name.to_owned()).or_default();
        peer.outstanding = Some(Renewal {
            request_id,
            sent_at: now,
        });
    }

    /// Extends this member's lease at a peer. Returns the time that the renewal echoes, 0 if there is none.
    pub(crate) fn extend_own_lease(&mut self, name: &str) -> Ticks {
        let max_length = self.length_with_drift_margin();
        let Some(peer) = self.peers.get_mut(name).filter(|p| p.peer_time.time != 0) else {
            return 0;
        };
        // The peer counts the lease from when it sent that time, which is before the time was received here.
        let until = peer.peer_time.received_at + max_length;
        peer.own_lease_expires_at = peer.own_lease_expires_at.max(until);
        peer.peer_time.time
    }

    /// Records that a peer has answered a renewal, at `time` of its clock, under the layout of its message.
    pub(crate) fn on_renewal_answered(&mut self, now: Ticks, envelope: &Envelope, time: Ticks) {
        let Some(peer) = self.peers.get_mut(&envelope.sender) else {
            return;
        };
        let answered = peer
            .outstanding
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

    /// Whether a member has answered, under this layout version, a renewal that was sent less than a lease ago.
    pub(crate) fn in_touch(&self, now: Ticks, name: &str, version: u64) -> bool {
        let answered = self.peers.get(name).and_then(|peer| peer.answered);
        answered.is_some_and(|renewal| {
            renewal.layout_version == version
                && renewal.sent_at > 0
                && now - renewal.sent_at < self.length
        })
    }

    /// Whether a member that has adopted this layout has yet to answer a renewal under it and none was sent recently.
    pub(crate) fn needs_renewal(&self, now: Ticks, name: &str, version: u64) -> bool {
        self.peers.get(name).is_some_and(|peer| {
            let recently_sent = peer.outstanding.is_some_and(|renewal| {
                now - renewal.sent_at < self.length / MAX_RENEWALS_PER_LEASE
            });
            peer.answered.map_or(0, |renewal| renewal.layout_version) != version && !recently_sent
        })
    }

    /// Whether the lease of a member with that storage is valid, as far as this member knows.
    pub(crate) fn is_accounted_for(&self, now: Ticks, name: &str, storage_id: u64) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.storage_id == storage_id && peer.is_accounted_for(now))
    }

    /// Upper bound, by this member's clock, of when a peer considers this member's lease expired.
    pub(crate) fn own_lease_expires_at(&self, name: &str) -> Ticks {
        let peer = self.peers.get(name);
        let own_lease_expires_at = peer.map_or(0, |peer| peer.own_lease_expires_at);
        let answered = peer.and_then(|peer| peer.answered);
        if answered.is_some_and(|renewal| renewal.sent_at > 0) {
            return own_lease_expires_at;
        }
        // The peer has not answered this incarnation. It may still hold a lease of the previous one, which left in an
        // orderly way.
        let restart = self.length * LEASES_FOR_RESTART + self.drift_margin();
        own_lease_expires_at.max(self.started_at + restart)
    }

    /// The newest layout version under which a member has all of its records; 0 if none is known.
    pub(crate) fn synced_version(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.synced_version)
    }

    /// The storage id of a member's newest known incarnation; 0 if none is known.
    pub(crate) fn storage_id(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.storage_id)
    }

    /// The duration of a lease, in ticks.
    pub(crate) fn length(&self) -> Ticks {
        self.length
    }

    /// The time after which every member considers the lease of a silent one expired: a lease and the drift margin.
    pub(crate) fn length_with_drift_margin(&self) -> Ticks {
        self.length + self.drift_margin()
    }
}

impl PeerLease {
    fn is_accounted_for(&self, now: Ticks) -> bool {
        now < self.lease_expires_at
    }
}
