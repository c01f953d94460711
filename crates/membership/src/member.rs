//! One member of a fleet: the coordinator of failure detection, gossip, anti-entropy and layout agreement.
//!
//! # Invariants
//!
//! A vote is sent only after it has been persisted. A member that has been superseded by a newer incarnation of its
//! name sends nothing. No member is suspected or declared dead for a time in which this process did not run.

mod identity;
mod outgoing;
mod probing;
mod proposing;
mod table_sync;
mod voting;

use fastrand::Rng;
use leverpoint_failpoint::failpoint_active;

use crate::Ticks;
use crate::action::{
    Action, MemberSummary, MembershipCounters, MembershipEvent, MembershipStatus, PersistedState,
};
use crate::config::MembershipConfig;
use crate::failure_detector::FailureDetector;
use crate::gossip::GossipQueue;
use crate::layout::Layout;
use crate::member_info::{MemberInfo, MemberUpdate};
use crate::member_status::{MemberStatus, StatusEffect, StatusInput};
use crate::membership_table::{ApplyOutcome, MemberIndex, MembershipTable, UpdateSource};
use crate::message::{Body, Envelope};
use identity::LocalMember;
use probing::ProbeSchedule;
use voting::LayoutVoting;

/// A member's protocol state machine, free of I/O.
///
/// Every event returns the actions that it leads to, in the order in which they are to be carried out.
#[derive(Debug)]
pub struct Member {
    config: MembershipConfig,
    local: LocalMember,
    table: MembershipTable,
    gossip: GossipQueue,
    detector: FailureDetector,
    schedule: ProbeSchedule,
    voting: LayoutVoting,
    /// When the whole table was last sent to another member.
    last_table_sync: Ticks,
    random: Rng,
    actions: Vec<Action>,
    /// Counters since the start of the process.
    pub counters: MembershipCounters,
}

impl Member {
    /// Creates a member that is about to join.
    ///
    /// `persisted` holds what an earlier incarnation has stored, its incarnation already raised to the new one;
    /// `founders` names the members of the first layout, and `seed` starts the random number generator.
    pub fn new(
        now: Ticks,
        info: MemberInfo,
        persisted: PersistedState,
        founders: &[String],
        config: MembershipConfig,
        seed: u64,
    ) -> Member {
        let mut random = Rng::with_seed(seed);
        let schedule = ProbeSchedule::new(now, now + random.i64(0..config.probe_interval));
        let detector = FailureDetector::new(random.u32(..));
        let info = MemberInfo {
            incarnation: persisted.incarnation,
            ..info
        };
        Member {
            config,
            local: LocalMember::new(info),
            table: MembershipTable::new(config.max_members),
            gossip: GossipQueue::default(),
            detector,
            schedule,
            voting: LayoutVoting::new(now, persisted, founders),
            last_table_sync: now - config.probe_interval,
            random,
            actions: Vec::new(),
            counters: MembershipCounters::default(),
        }
    }

    /// Sets the addresses to contact first and to fall back to; at most [`MAX_HOLDERS`](crate::layout::MAX_HOLDERS).
    pub fn set_seeds(&mut self, seeds: &[String]) {
        let own_address = &self.local.update.info.address;
        self.schedule.seeds = seeds
            .iter()
            .filter(|seed| *seed != own_address)
            .take(crate::layout::MAX_HOLDERS)
            .cloned()
            .collect();
    }

    /// The member's latest update about itself.
    pub fn local(&self) -> &MemberUpdate {
        &self.local.update
    }

    /// The member's own state in the fleet.
    pub fn status(&self) -> MembershipStatus {
        self.local.status
    }

    /// The newest layout known to be chosen.
    pub fn layout(&self) -> &Layout {
        &self.voting.layout
    }

    /// The newest update known about each other member.
    pub fn table(&self) -> &MembershipTable {
        &self.table
    }

    /// Number of known members, this one and dead ones included.
    ///
    /// The suspicion timeout depends on it. As dead members count, the timeout does not become shorter when part of the
    /// fleet is cut off.
    fn known_members(&self) -> usize {
        self.table.len() + 1
    }

    /// When [`Member::tick`] has to be called next.
    pub fn next_deadline(&self) -> Ticks {
        let next_round = self.schedule.next_round;
        let indirect_at = self
            .detector
            .pending
            .filter(|probe| !probe.is_indirect && !self.local.is_silent())
            .map(|probe| probe.sent_at + self.config.probe_timeout);
        indirect_at.map_or(next_round, |at| at.min(next_round))
    }

    /// Summaries of all known members including this one, by name.
    pub fn summaries(&self, now: Ticks) -> Vec<MemberSummary> {
        let mut summaries: Vec<MemberSummary> = self
            .table
            .entries()
            .map(|(_, entry)| MemberSummary {
                silent_for: entry.last_message_at.map(|at| now - at),
                ..self.summarize(&entry.update, now - entry.status_since)
            })
            .collect();
        summaries.push(MemberSummary {
            is_self: true,
            ..self.summarize(&self.local.update, 0)
        });
        summaries.sort_by(|a, b| a.info.name.cmp(&b.info.name));
        summaries
    }

    fn summarize(&self, update: &MemberUpdate, status_age: Ticks) -> MemberSummary {
        let MemberInfo {
            name, incarnation, ..
        } = &update.info;
        let layout = &self.voting.layout;
        MemberSummary {
            in_layout: layout.version > 0 && layout.has_holder(name, incarnation.storage_id),
            info: update.info.clone(),
            refutation_count: update.refutation_count,
            status: update.status,
            status_age,
            silent_for: None,
            is_self: false,
        }
    }

    /// Handles the passing of time. Called at [`Member::next_deadline`] or later.
    pub fn tick(&mut self, now: Ticks) -> Vec<Action> {
        let elapsed = now - self.schedule.last_tick;
        self.schedule.last_tick = now;
        if self.local.is_silent() {
            self.schedule.next_round = now + self.config.probe_interval;
            return self.take_actions();
        }
        if elapsed > self.config.pause_threshold() && !failpoint_active("stood-still-unseen") {
            self.on_pause(now, elapsed);
        }
        self.probe_indirectly(now);
        let suspicion_timeout = self.config.suspicion_timeout(self.known_members());
        for member in self.table.suspects_since(now - suspicion_timeout) {
            self.observe_status(now, member, StatusInput::SuspicionExpired);
        }
        if now >= self.schedule.next_round {
            self.run_probe_round(now);
        }
        self.take_actions()
    }

    /// The process was paused, so replies may not have been read: no member is suspected or declared dead for that
    /// time.
    fn on_pause(&mut self, now: Ticks, duration: Ticks) {
        self.counters.pauses += 1;
        self.detector.pending = None;
        self.table.extend_suspicions(now, duration);
        self.voting.proposal = None;
        self.report(MembershipEvent::Paused { duration });
    }

    /// Handles a message. An invalid message is dropped whole.
    pub fn on_message(&mut self, now: Ticks, envelope: &Envelope) -> Vec<Action> {
        if self.local.is_silent() {
            return self.take_actions();
        }
        if !envelope.is_valid() {
            self.counters.invalid += 1;
            return self.take_actions();
        }
        self.counters.received += 1;
        if envelope.sender.info.name == self.local.update.info.name {
            self.on_message_with_own_name(&envelope.sender);
            return self.take_actions();
        }
        match self.apply_update(now, &envelope.sender, UpdateSource::Subject) {
            ApplyOutcome::EndedIncarnation(member) => {
                self.counters.from_ended_incarnation += 1;
                self.send_known_update(member, &envelope.sender.info);
            }
            ApplyOutcome::NameConflict(member) => {
                self.counters.name_conflicts += 1;
                self.send_known_update(member, &envelope.sender.info);
            }
            ApplyOutcome::Rejected => self.counters.table_full += 1,
            ApplyOutcome::Unchanged(member) | ApplyOutcome::Changed { member, .. } => {
                self.on_message_from(now, member, envelope);
            }
        }
        self.take_actions()
    }

    fn on_message_from(&mut self, now: Ticks, member: MemberIndex, envelope: &Envelope) {
        for update in &envelope.updates {
            self.on_update(now, update, UpdateSource::Gossip);
        }
        if !self.local.is_silent() {
            self.check_admission(envelope);
            self.compare_state(now, member, envelope);
            self.on_body(now, member, envelope);
        }
    }

    fn on_body(&mut self, now: Ticks, member: MemberIndex, envelope: &Envelope) {
        match &envelope.body {
            Body::Ping { sequence } => self.send(
                member,
                Body::Ack {
                    sequence: *sequence,
                },
            ),
            Body::Ack { sequence } => self.on_ack(member, *sequence, &envelope.sender.info.name),
            Body::PingRequest { sequence, name } => self.on_ping_request(member, *sequence, name),
            Body::RelayedAck { sequence, .. } => {
                self.detector.on_ack(*sequence);
            }
            Body::TableSync { updates } => {
                for update in updates {
                    self.on_update(now, update, UpdateSource::TableSync);
                }
            }
            Body::LayoutRequest => self.send_layout(member),
            Body::ChosenLayout { layout } => self.adopt_layout(layout.clone()),
            _ => self.on_vote_message(now, member, envelope),
        }
    }

    /// Leaves the fleet gracefully: some members are notified at once and disseminate the update.
    ///
    /// This member stays in the layout, so that it is a holder again after a restart with its storage.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.local.is_silent() {
            return Vec::new();
        }
        self.local.update.status = MemberStatus::Left;
        self.local.update.refutation_count += 1;
        let mut notified = self.table.participants();
        self.random.shuffle(&mut notified);
        let limit = self.config.retransmit_limit(notified.len() + 1);
        notified.truncate(limit as usize);
        let sequence = self.detector.next_sequence();
        for member in notified {
            self.send(member, Body::Ping { sequence });
        }
        self.local.status = MembershipStatus::Left;
        self.voting.abort();
        self.take_actions()
    }

    /// Applies an update about any member, this one included.
    fn on_update(&mut self, now: Ticks, update: &MemberUpdate, source: UpdateSource) {
        if update.info.name == self.local.update.info.name {
            self.on_update_about_self(update);
        } else {
            self.apply_update(now, update, source);
        }
    }

    fn apply_update(
        &mut self,
        now: Ticks,
        update: &MemberUpdate,
        source: UpdateSource,
    ) -> ApplyOutcome {
        let (gossip, detector) = (&mut self.gossip, &mut self.detector);
        let outcome = self.table.apply(now, update, source, &mut |member| {
            gossip.remove(member);
            detector.forget(member);
        });
        self.on_status_outcome(outcome);
        outcome
    }

    /// Applies what this member has observed itself.
    fn observe_status(&mut self, now: Ticks, member: MemberIndex, input: StatusInput) {
        let outcome = self.table.observe(now, member, input);
        let changed = matches!(outcome, ApplyOutcome::Changed { .. });
        self.counters.detected_locally += u64::from(changed);
        self.on_status_outcome(outcome);
    }

    fn on_status_outcome(&mut self, outcome: ApplyOutcome) {
        let ApplyOutcome::Changed {
            member,
            previous,
            effect,
        } = outcome
        else {
            return;
        };
        let Some(entry) = self.table.get(member) else {
            return;
        };
        let (status, info) = (entry.status(), &entry.update.info);
        let event = MembershipEvent::StatusChanged {
            name: info.name.clone(),
            incarnation: info.incarnation,
            previous,
            status,
        };
        self.counters.suspected += u64::from(status == MemberStatus::Suspect);
        self.counters.declared_dead += u64::from(status == MemberStatus::Dead);
        self.report(event);
        if effect != StatusEffect::Nothing {
            self.gossip.enqueue(member);
        }
    }

    fn report(&mut self, event: MembershipEvent) {
        self.actions.push(Action::Report(event));
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
