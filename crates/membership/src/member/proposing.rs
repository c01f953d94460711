//! This member's proposals for the next layout: when it proposes, which change it proposes, and how votes are handled.

use super::Member;
use super::voting::BootstrapRequest;
use crate::Ticks;
use crate::action::{MembershipEvent, MembershipStatus};
use crate::consensus::{AcceptorReply, Ballot, LayoutChange, Proposal, ProposalStep};
use crate::layout::{Layout, MAX_HOLDERS, ReplicaHolder};
use crate::member_status::MemberStatus;
use crate::membership_table::MemberIndex;
use crate::message::Body;

/// Most removals requested by operators that are pending at once.
const MAX_PENDING_REMOVALS: usize = 16;
/// Time after which a proposal is abandoned, in probe intervals.
const PROPOSAL_TIMEOUT_INTERVALS: Ticks = 4;
/// Longest delay between an abandoned proposal and the next one, in probe intervals; the delay is drawn at random.
const MAX_BACKOFF_INTERVALS: Ticks = 4;

impl Member {
    /// Requests the removal of a holder that is stopped for good.
    ///
    /// # Errors
    ///
    /// The reason why the request is refused, as shown to the operator.
    pub fn remove(&mut self, name: &str) -> Result<(), &'static str> {
        if self.local.status != MembershipStatus::Active || !self.can_vote() {
            return Err("this member holds nothing in the layout: ask one that does");
        }
        if self.voting.layout.holder(name).is_none() {
            return Err("the layout does not have it");
        }
        if name == self.local.update.info.name || self.is_participant(name) {
            return Err("it is here: stop it first");
        }
        let removals = &mut self.voting.requested_removals;
        if removals.len() >= MAX_PENDING_REMOVALS {
            return Err("too many are waiting to be removed");
        }
        if !removals.iter().any(|requested| requested == name) {
            removals.push_back(name.to_owned());
        }
        Ok(())
    }

    /// Requests the first layout, which consists of the founders with the storage that they have now.
    ///
    /// The request is pending until there is a layout, and is lost if this process ends. It may be repeated, as by an
    /// operator to whom the reply was lost.
    ///
    /// # Errors
    ///
    /// The reason why the request is refused, as shown to the operator.
    pub fn bootstrap(&mut self) -> Result<(), &'static str> {
        if self.voting.bootstrap == BootstrapRequest::Requested {
            return Ok(());
        }
        if self.voting.layout.version > 0 {
            return Err("the fleet has a layout already");
        }
        if !self.can_vote() {
            return Err("this member is no founder: ask one that is");
        }
        self.voting.bootstrap = BootstrapRequest::Requested;
        Ok(())
    }

    fn is_participant(&self, name: &str) -> bool {
        let entry = self.table.find(name);
        entry.is_some_and(|(_, entry)| entry.is_participating())
    }

    fn is_alive(&self, name: &str) -> bool {
        let entry = self.table.find(name);
        entry.is_some_and(|(_, entry)| entry.status() == MemberStatus::Alive)
    }

    /// The change to propose next: the bootstrap if there is no layout yet; otherwise the first that applies of
    /// removing a holder with lost storage, a removal requested by an operator, and adding a member that has been alive
    /// for the join delay.
    fn wanted_change(&mut self, now: Ticks) -> Option<LayoutChange> {
        if self.voting.layout.version == 0 {
            return self.wanted_bootstrap();
        }
        if let Some(name) = self.holder_with_lost_storage() {
            return Some(LayoutChange::Remove(name));
        }
        if let Some(name) = self.next_requested_removal() {
            return Some(LayoutChange::Remove(name));
        }
        if self.voting.layout.holders.len() >= MAX_HOLDERS {
            return None;
        }
        self.joining_holder(now).map(LayoutChange::Add)
    }

    /// The first layout, once an operator has asked for it and all founders are alive.
    fn wanted_bootstrap(&mut self) -> Option<LayoutChange> {
        if !self.all_founders_alive() {
            return None;
        }
        match self.voting.bootstrap {
            BootstrapRequest::Requested => return Some(LayoutChange::Bootstrap),
            BootstrapRequest::ReportedMissing => {}
            BootstrapRequest::Absent => {
                self.voting.bootstrap = BootstrapRequest::ReportedMissing;
                self.report(MembershipEvent::BootstrapMissing);
            }
        }
        None
    }

    fn all_founders_alive(&self) -> bool {
        let own_name = &self.local.update.info.name;
        let founders = &self.voting.layout.holders;
        !founders.is_empty()
            && founders
                .iter()
                .all(|founder| founder.name == *own_name || self.is_alive(&founder.name))
    }

    /// A holder whose process runs with new storage, which proves that the old storage is lost.
    fn holder_with_lost_storage(&self) -> Option<String> {
        let has_new_storage = |holder: &&ReplicaHolder| {
            self.table.find(&holder.name).is_some_and(|(_, entry)| {
                entry.update.info.incarnation.storage_id != holder.storage_id
            })
        };
        let lost = self.voting.layout.holders.iter().find(has_new_storage);
        lost.map(|holder| holder.name.clone())
    }

    /// The first requested removal that still applies; earlier ones are dropped.
    fn next_requested_removal(&mut self) -> Option<String> {
        while let Some(name) = self.voting.requested_removals.front().cloned() {
            if self.voting.layout.holder(&name).is_some() && !self.is_participant(&name) {
                return Some(name);
            }
            self.voting.requested_removals.pop_front();
        }
        None
    }

    /// A member outside the layout that has been alive for the join delay.
    fn joining_holder(&self, now: Ticks) -> Option<ReplicaHolder> {
        let alive_since = now - self.config.join_delay;
        let joining = self.table.entries().find(|(_, entry)| {
            entry.status() == MemberStatus::Alive
                && entry.status_since <= alive_since
                && self.voting.layout.holder(&entry.update.info.name).is_none()
        });
        joining.map(|(_, entry)| ReplicaHolder::from(&entry.update.info))
    }

    /// Whether an alive holder precedes this member by name, and so proposes in its place.
    ///
    /// Members that disagree on this may propose at the same time, which takes more rounds but is safe.
    fn is_preceded(&self) -> bool {
        let own_name = &self.local.update.info.name;
        self.voting.layout.holders.iter().any(|holder| {
            let same_storage = |id: u64| holder.storage_id == 0 || holder.storage_id == id;
            holder.name < *own_name
                && self.table.find(&holder.name).is_some_and(|(_, entry)| {
                    entry.status() == MemberStatus::Alive
                        && same_storage(entry.update.info.incarnation.storage_id)
                })
        })
    }

    /// Whether a bootstrap or removal that an operator has requested of this member is pending.
    fn has_operator_request(&self) -> bool {
        let voting = &self.voting;
        let bootstraps =
            voting.layout.version == 0 && voting.bootstrap == BootstrapRequest::Requested;
        bootstraps || !voting.requested_removals.is_empty()
    }

    /// Proposes the wanted change, if this member can vote, has no proposal pending, and no other holder precedes it.
    pub(super) fn propose(&mut self, now: Ticks) {
        let timed_out = |(_, timeout): &(Proposal, Ticks)| now >= *timeout;
        if self.voting.proposal.as_ref().is_some_and(timed_out) {
            self.abandon_proposal(now);
        }
        if self.voting.proposal.is_some()
            || now < self.voting.backoff_until
            || self.local.status != MembershipStatus::Active
            || !self.can_vote()
            || (self.is_preceded() && !self.has_operator_request())
        {
            return;
        }
        if let Some(change) = self.wanted_change(now) {
            self.start_proposal(now, change);
        }
    }

    fn start_proposal(&mut self, now: Ticks, change: LayoutChange) {
        let voting = &mut self.voting;
        voting.round += 1;
        let ballot = Ballot {
            round: voting.round,
            proposer: self.local.update.info.incarnation,
        };
        let proposal = Proposal::new(ballot, voting.layout.clone(), change);
        let version = proposal.version();
        let timeout = now + PROPOSAL_TIMEOUT_INTERVALS * self.config.probe_interval;
        voting.proposal = Some((proposal, timeout));
        let reply = voting.acceptor.on_prepare(ballot);
        self.vote_for_own_proposal(ballot, reply);
        self.send_to_voters(&Body::Prepare { version, ballot });
    }

    /// Abandons the proposal. A random delay keeps two competing proposers from colliding again.
    fn abandon_proposal(&mut self, now: Ticks) {
        self.voting.proposal = None;
        let max_backoff = MAX_BACKOFF_INTERVALS * self.config.probe_interval;
        self.voting.backoff_until = now + self.random.i64(1..=max_backoff);
    }

    fn send_to_voters(&mut self, body: &Body) {
        let Some((proposal, _)) = &self.voting.proposal else {
            return;
        };
        let voters: Vec<MemberIndex> = proposal
            .voters()
            .filter_map(|holder| self.table.find(&holder.name))
            .map(|(member, _)| member)
            .collect();
        for voter in voters {
            self.send(voter, body.clone());
        }
    }

    /// Handles a vote on this member's own proposal.
    pub(super) fn on_vote(
        &mut self,
        now: Ticks,
        voter: ReplicaHolder,
        ballot: Ballot,
        reply: AcceptorReply,
    ) {
        let Some((proposal, _)) = &mut self.voting.proposal else {
            return;
        };
        if proposal.ballot != ballot {
            return;
        }
        let version = proposal.version();
        let step = match reply {
            AcceptorReply::Promised(accepted) => proposal.on_promise(voter, ballot, accepted),
            AcceptorReply::Accepted => proposal.on_accepted(&voter.name, ballot),
            AcceptorReply::Rejected(promised) => {
                self.voting.round = self.voting.round.max(promised.round);
                ProposalStep::Abandon
            }
        };
        match step {
            ProposalStep::Wait => {}
            ProposalStep::Abandon => self.abandon_proposal(now),
            ProposalStep::SendAccept(layout) => {
                let reply = self.voting.acceptor.on_accept(ballot, &layout);
                if reply != AcceptorReply::Accepted {
                    return self.abandon_proposal(now);
                }
                self.vote_for_own_proposal(ballot, reply);
                self.send_to_voters(&Body::Accept {
                    version,
                    ballot,
                    layout,
                });
            }
            ProposalStep::Chosen(layout) => self.announce_layout(layout),
        }
    }

    fn announce_layout(&mut self, layout: Layout) {
        self.adopt_layout(layout.clone());
        for member in self.table.participants() {
            let layout = layout.clone();
            self.send(member, Body::ChosenLayout { layout });
        }
    }
}
