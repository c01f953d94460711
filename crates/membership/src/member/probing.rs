//! Failure detection: one direct probe a round, indirect probes through other members, and contact with seeds.

use leverpoint_failpoint::failpoint_active;

use super::Member;
use crate::Ticks;
use crate::action::{Action, Destination};
use crate::failure_detector::PendingProbe;
use crate::member_info::MemberInfo;
use crate::member_status::{MemberStatus, StatusInput};
use crate::membership_table::MemberIndex;
use crate::message::Body;

/// Every this many rounds, a dead member or an unknown seed is contacted, so that partitions heal.
const RECONNECT_EVERY_ROUNDS: u64 = 4;
/// Most seeds contacted in one round while no other member is alive or suspect.
const SEEDS_PER_ROUND: usize = 3;

/// When probe rounds take place, and the addresses to fall back to.
#[derive(Debug)]
pub(super) struct ProbeSchedule {
    pub(super) seeds: Vec<String>,
    pub(super) last_tick: Ticks,
    pub(super) next_round: Ticks,
    rounds: u64,
}

impl ProbeSchedule {
    pub(super) fn new(now: Ticks, next_round: Ticks) -> ProbeSchedule {
        ProbeSchedule {
            seeds: Vec::new(),
            last_tick: now,
            next_round,
            rounds: 0,
        }
    }
}

impl Member {
    /// Asks other members to probe a member that has not acknowledged a direct probe in time.
    pub(super) fn probe_indirectly(&mut self, now: Ticks) {
        let timeout = self.config.probe_timeout;
        let Some(probe) = &mut self.detector.pending else {
            return;
        };
        if probe.is_indirect || now < probe.sent_at + timeout {
            return;
        }
        probe.is_indirect = true;
        let PendingProbe {
            sequence, member, ..
        } = *probe;
        let Some(target) = self
            .table
            .get(member)
            .map(|entry| entry.update.info.clone())
        else {
            return;
        };
        for relay in self.choose_relays(member, &target) {
            let name = target.name.clone();
            self.send(relay, Body::PingRequest { sequence, name });
        }
    }

    /// Random participants, preferring those that share a machine neither with the target nor with this member.
    fn choose_relays(&mut self, member: MemberIndex, target: &MemberInfo) -> Vec<MemberIndex> {
        let mut relays = self.table.participants();
        relays.retain(|relay| *relay != member);
        self.random.shuffle(&mut relays);
        let own = &self.local.update.info;
        let shared_machines = |relay: &MemberIndex| {
            self.table.get(*relay).map_or(2, |entry| {
                let machine = &entry.update.info.machine;
                usize::from(*machine == target.machine) + usize::from(*machine == own.machine)
            })
        };
        relays.sort_by_key(shared_machines);
        relays.truncate(self.config.indirect_probes);
        relays
    }

    /// Ends the current probe round and begins the next one.
    pub(super) fn run_probe_round(&mut self, now: Ticks) {
        self.schedule.next_round = now + self.config.probe_interval;
        self.schedule.rounds += 1;
        if let Some(PendingProbe { member, .. }) = self.detector.pending.take() {
            self.observe_status(now, member, StatusInput::ProbeFailed);
        }
        let expired = now - self.config.dead_retention;
        for member in self.table.departed_since(expired) {
            self.gossip.remove(member);
            self.detector.forget(member);
            self.table.forget(member);
        }
        let participants = self.table.participants();
        self.probe_next(now, &participants);
        self.contact_others(participants.is_empty());
        self.propose(now);
    }

    fn probe_next(&mut self, now: Ticks, participants: &[MemberIndex]) {
        let Some(member) = self.detector.next_target(&mut self.random, participants) else {
            return;
        };
        let sequence = self.detector.next_sequence();
        self.detector.pending = Some(PendingProbe {
            sequence,
            member,
            sent_at: now,
            is_indirect: false,
        });
        self.send(member, Body::Ping { sequence });
    }

    /// Contacts seeds while no other member participates, and every [`RECONNECT_EVERY_ROUNDS`] rounds one dead member
    /// or unknown seed.
    fn contact_others(&mut self, alone: bool) {
        if alone {
            self.contact_seeds();
        }
        let is_reconnect_round = self.schedule.rounds.is_multiple_of(RECONNECT_EVERY_ROUNDS);
        if !is_reconnect_round || failpoint_active("gone-for-good") {
            return;
        }
        let mut candidates = self.dead_members();
        if candidates.is_empty() && !alone {
            candidates = self.unknown_seeds();
        }
        if !candidates.is_empty() {
            let chosen = self.random.usize(..candidates.len());
            self.contact(candidates.swap_remove(chosen));
        }
    }

    fn contact_seeds(&mut self) {
        let count = self.schedule.seeds.len();
        if count == 0 {
            return;
        }
        let first = self.random.usize(..count);
        for offset in 0..count.min(SEEDS_PER_ROUND) {
            let address = self.schedule.seeds[(first + offset) % count].clone();
            self.contact(Destination {
                name: None,
                address,
            });
        }
    }

    fn dead_members(&self) -> Vec<Destination> {
        self.table
            .entries()
            .filter(|(_, entry)| entry.status() == MemberStatus::Dead)
            .filter_map(|(member, _)| self.destination(member))
            .collect()
    }

    /// Seeds at whose address no participant is known.
    fn unknown_seeds(&self) -> Vec<Destination> {
        let is_known = |address: &String| {
            self.table
                .entries()
                .any(|(_, entry)| entry.is_participating() && entry.update.info.address == *address)
        };
        let unknown = self.schedule.seeds.iter().filter(|seed| !is_known(seed));
        unknown
            .map(|seed| Destination {
                name: None,
                address: seed.clone(),
            })
            .collect()
    }

    /// Pings an address without waiting for the acknowledgement.
    fn contact(&mut self, to: Destination) {
        let sequence = self.detector.next_sequence();
        let member = to
            .name
            .as_ref()
            .and_then(|name| self.table.find(name))
            .map(|(member, _)| member);
        let envelope = Box::new(self.envelope(member, Body::Ping { sequence }));
        self.actions.push(Action::Send { to, envelope });
    }

    /// Handles an acknowledgement, and relays it if the ping was sent on behalf of another member.
    pub(super) fn on_ack(&mut self, member: MemberIndex, sequence: u32, sender: &str) {
        self.detector.on_ack(sequence);
        if let Some((requester, sequence)) = self.detector.take_relayed(sequence, member) {
            let name = sender.to_owned();
            self.send(requester, Body::RelayedAck { sequence, name });
        }
    }

    /// Pings a member on behalf of another.
    pub(super) fn on_ping_request(&mut self, requester: MemberIndex, sequence: u32, name: &str) {
        let target = self
            .table
            .find(name)
            .filter(|(_, entry)| entry.status() != MemberStatus::Left);
        if let Some((target, _)) = target {
            let sequence = self.detector.relay(target, requester, sequence);
            self.send(target, Body::Ping { sequence });
        }
    }
}
