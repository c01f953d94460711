//! This member's votes on the next layout, and the adoption of chosen layouts.

use std::collections::VecDeque;

use super::Member;
use crate::Ticks;
use crate::action::{Action, Destination, MembershipEvent, PersistedState};
use crate::consensus::{AcceptorReply, AcceptorState, Ballot, Proposal};
use crate::layout::{Layout, ReplicaHolder};
use crate::member_info::MemberInfo;
use crate::membership_table::MemberIndex;
use crate::message::{Body, Envelope, LayoutVersion};

/// Most votes that wait to be persisted; further ones are not cast.
const MAX_PENDING_VOTES: usize = 64;

/// Whether this member is to propose the first layout.
///
/// A founder with empty storage can't distinguish a new fleet from one whose founders have all lost their storage, so
/// only an operator may ask for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum BootstrapRequest {
    /// No operator has asked for it, and no event has reported that it is missing.
    #[default]
    Absent,
    /// An event has reported that the founders wait for it.
    ReportedMissing,
    /// An operator has asked for it.
    Requested,
}

/// A vote that is cast once it has been persisted.
#[derive(Debug)]
pub(super) enum PendingVote {
    /// A reply to another member's proposal.
    Reply(Destination, Box<Envelope>),
    /// The vote on this member's own proposal.
    Own(Ballot, AcceptorReply),
}

/// The current layout, and the votes and proposals on the next one.
#[derive(Debug)]
pub(super) struct LayoutVoting {
    pub(super) layout: Layout,
    /// Version and digest of `layout`.
    pub(super) layout_version: LayoutVersion,
    pub(super) acceptor: AcceptorState,
    /// Set once persisting has failed; this member then casts no further votes.
    persist_failed: bool,
    /// The current proposal, and when it times out.
    pub(super) proposal: Option<(Proposal, Ticks)>,
    pub(super) backoff_until: Ticks,
    pub(super) round: u32,
    pub(super) requested_removals: VecDeque<String>,
    pub(super) bootstrap: BootstrapRequest,
    pending: VecDeque<(u64, PendingVote)>,
    last_persist_sequence: u64,
}

impl LayoutVoting {
    pub(super) fn new(now: Ticks, persisted: PersistedState, founders: &[String]) -> LayoutVoting {
        let layout = if persisted.layout.version > 0 {
            persisted.layout
        } else {
            Layout::from_founders(founders)
        };
        LayoutVoting {
            layout_version: LayoutVersion::of(&layout),
            layout,
            acceptor: persisted.acceptor,
            persist_failed: false,
            proposal: None,
            backoff_until: now,
            round: 0,
            requested_removals: VecDeque::new(),
            bootstrap: BootstrapRequest::default(),
            pending: VecDeque::new(),
            last_persist_sequence: 0,
        }
    }

    /// Drops the current proposal and all votes that wait to be persisted.
    pub(super) fn abort(&mut self) {
        self.proposal = None;
        self.pending.clear();
    }

    /// The layout's holder that `info` describes, if the layout has it with this storage.
    fn holder(&self, info: &MemberInfo) -> Option<ReplicaHolder> {
        self.layout
            .has_holder(&info.name, info.incarnation.storage_id)
            .then(|| ReplicaHolder::from(info))
    }

    fn next_version(&self) -> u64 {
        self.layout.version + 1
    }
}

impl Member {
    pub(super) fn can_vote(&self) -> bool {
        let own = &self.local.update.info;
        self.voting.holder(own).is_some() && !self.voting.persist_failed
    }

    pub(super) fn send_layout(&mut self, member: MemberIndex) {
        let layout = self.voting.layout.clone();
        self.send(member, Body::ChosenLayout { layout });
    }

    /// Handles the messages of the two rounds of voting.
    pub(super) fn on_vote_message(&mut self, now: Ticks, member: MemberIndex, envelope: &Envelope) {
        let sender = &envelope.sender.info;
        match &envelope.body {
            Body::Prepare { version, ballot } => self.on_prepare(member, *version, *ballot),
            Body::Accept {
                version,
                ballot,
                layout,
            } => self.on_accept(member, *version, *ballot, layout),
            Body::Promise {
                version,
                ballot,
                accepted,
            } if *version == self.voting.next_version() => {
                let reply = AcceptorReply::Promised(accepted.clone());
                self.on_vote_from(now, sender, *ballot, reply);
            }
            Body::Accepted { version, ballot } if *version == self.voting.next_version() => {
                self.on_vote_from(now, sender, *ballot, AcceptorReply::Accepted);
            }
            Body::Rejected {
                ballot, promised, ..
            } => self.on_vote_from(now, sender, *ballot, AcceptorReply::Rejected(*promised)),
            _ => {}
        }
    }

    fn on_prepare(&mut self, proposer: MemberIndex, version: u64, ballot: Ballot) {
        if self.accepts_vote_request(proposer, version) {
            let reply = self.voting.acceptor.on_prepare(ballot);
            self.reply_to_proposer(proposer, version, ballot, reply);
        }
    }

    fn on_accept(&mut self, proposer: MemberIndex, version: u64, ballot: Ballot, layout: &Layout) {
        if self.accepts_vote_request(proposer, version)
            && self.voting.layout.permits_successor(layout)
        {
            let reply = self.voting.acceptor.on_accept(ballot, layout);
            self.reply_to_proposer(proposer, version, ballot, reply);
        }
    }

    fn on_vote_from(
        &mut self,
        now: Ticks,
        sender: &MemberInfo,
        ballot: Ballot,
        reply: AcceptorReply,
    ) {
        if let Some(voter) = self.voting.holder(sender) {
            self.on_vote(now, voter, ballot, reply);
        }
    }

    /// Whether this member votes on `version`. Sends the layout to a proposer with an older one, and requests it from a
    /// proposer with a newer one.
    fn accepts_vote_request(&mut self, member: MemberIndex, version: u64) -> bool {
        let next = self.voting.next_version();
        if version < next {
            self.send_layout(member);
        } else if version > next {
            self.send(member, Body::LayoutRequest);
        }
        version == next && self.can_vote() && self.voting.pending.len() < MAX_PENDING_VOTES
    }

    /// Requests that the current state be persisted, and returns the sequence number of the request.
    pub(super) fn persist(&mut self) -> u64 {
        let voting = &mut self.voting;
        voting.last_persist_sequence += 1;
        let sequence = voting.last_persist_sequence;
        let state = PersistedState {
            incarnation: self.local.update.info.incarnation,
            layout: voting.layout.clone(),
            acceptor: voting.acceptor.clone(),
        };
        self.actions.push(Action::Persist {
            sequence,
            state: Box::new(state),
        });
        sequence
    }

    /// Replies to a proposer: with a rejection at once, with a vote once it has been persisted.
    fn reply_to_proposer(
        &mut self,
        member: MemberIndex,
        version: u64,
        ballot: Ballot,
        reply: AcceptorReply,
    ) {
        self.counters.votes_cast += 1;
        let body = match reply {
            AcceptorReply::Promised(accepted) => Body::Promise {
                version,
                ballot,
                accepted,
            },
            AcceptorReply::Accepted => Body::Accepted { version, ballot },
            AcceptorReply::Rejected(promised) => {
                let body = Body::Rejected {
                    version,
                    ballot,
                    promised,
                };
                return self.send(member, body);
            }
        };
        let Some(to) = self.destination(member) else {
            return;
        };
        let envelope = Box::new(self.envelope(Some(member), body));
        let sequence = self.persist();
        let vote = PendingVote::Reply(to, envelope);
        self.voting.pending.push_back((sequence, vote));
    }

    pub(super) fn vote_for_own_proposal(&mut self, ballot: Ballot, reply: AcceptorReply) {
        let sequence = self.persist();
        let vote = PendingVote::Own(ballot, reply);
        self.voting.pending.push_back((sequence, vote));
    }

    /// Handles the completion of the persist request `sequence` and of all earlier ones: casts the votes that waited
    /// for them.
    pub fn on_persisted(&mut self, now: Ticks, sequence: u64) -> Vec<Action> {
        let is_persisted = |(number, _): &mut (u64, PendingVote)| *number <= sequence;
        while let Some((_, vote)) = self.voting.pending.pop_front_if(is_persisted) {
            match vote {
                PendingVote::Reply(to, envelope) => {
                    self.actions.push(Action::Send { to, envelope });
                }
                PendingVote::Own(ballot, reply) => {
                    let voter = ReplicaHolder::from(&self.local.update.info);
                    self.on_vote(now, voter, ballot, reply);
                }
            }
        }
        self.take_actions()
    }

    /// Handles a failure to persist: this member casts no further votes.
    pub fn on_persist_failed(&mut self) -> Vec<Action> {
        if !std::mem::replace(&mut self.voting.persist_failed, true) {
            self.report(MembershipEvent::PersistenceFailed);
        }
        self.voting.abort();
        self.take_actions()
    }

    /// Adopts a chosen layout if it is newer than the current one.
    pub(super) fn adopt_layout(&mut self, layout: Layout) {
        let current = &self.voting.layout;
        let is_next = layout.version == current.version + 1 && !current.holders.is_empty();
        if layout.version <= current.version || (is_next && !current.permits_successor(&layout)) {
            return;
        }
        let (version, holders) = (layout.version, layout.holders.len());
        self.voting.layout_version = LayoutVersion::of(&layout);
        self.voting.layout = layout;
        self.voting.acceptor = AcceptorState::default();
        self.voting.proposal = None;
        self.counters.layouts_adopted += 1;
        self.report(MembershipEvent::LayoutChanged { version, holders });
        self.persist();
    }
}
