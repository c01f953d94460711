//! The proposer: the state of one proposal in the two rounds of voting.

use std::collections::{BTreeMap, BTreeSet};

use super::Ballot;
use crate::layout::{Layout, ReplicaHolder};

/// A change that the next layout is to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LayoutChange {
    /// The founders become holders, each with the storage that it has now.
    Bootstrap,
    /// A holder is added.
    Add(ReplicaHolder),
    /// The holder of this name is removed.
    Remove(String),
}

/// The round that a proposal is in.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// Gathers promises; the holders that have promised, by name.
    Preparing(BTreeMap<String, ReplicaHolder>),
    /// Gathers acceptances of a value; the names of the holders that have accepted.
    Accepting(Layout, BTreeSet<String>),
}

/// What the proposer has to do after a vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Wait for further replies.
    Wait,
    /// A quorum has promised: ask the holders to accept this value.
    SendAccept(Layout),
    /// A quorum has accepted: this value is chosen.
    Chosen(Layout),
    /// The proposal is abandoned: a higher ballot is under way, or the change can't be made to the base layout.
    Abandon,
}

/// A proposal for the version after a given layout.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The ballot in which the change is proposed.
    pub ballot: Ballot,
    base: Layout,
    change: LayoutChange,
    phase: Phase,
    /// The accepted value of the highest ballot reported in a promise. It takes precedence over `change`.
    highest_accepted: Option<(Ballot, Layout)>,
}

impl Proposal {
    /// Creates a proposal to make `change` to `base`.
    pub fn new(ballot: Ballot, base: Layout, change: LayoutChange) -> Proposal {
        Proposal {
            ballot,
            base,
            change,
            phase: Phase::Preparing(BTreeMap::new()),
            highest_accepted: None,
        }
    }

    /// The layout version to decide: the one after the base layout.
    pub fn version(&self) -> u64 {
        self.base.version + 1
    }

    /// The holders that vote: those of the base layout.
    pub fn voters(&self) -> impl Iterator<Item = &ReplicaHolder> {
        self.base.holders.iter()
    }

    /// The value to propose once a quorum has promised; `None` if the change can't be made.
    fn value(&self, promised: &BTreeMap<String, ReplicaHolder>) -> Option<Layout> {
        if let Some((_, layout)) = &self.highest_accepted {
            return Some(layout.clone());
        }
        let next = match &self.change {
            LayoutChange::Bootstrap => Layout {
                version: self.version(),
                holders: promised.values().cloned().collect(),
            },
            LayoutChange::Add(holder) => self.base.with_holder(holder.clone()),
            LayoutChange::Remove(name) => self.base.without_holder(name),
        };
        self.base.permits_successor(&next).then_some(next)
    }

    /// Handles a promise from `voter`, which the caller has checked to be a holder.
    pub fn on_promise(
        &mut self,
        voter: ReplicaHolder,
        ballot: Ballot,
        accepted: Option<(Ballot, Layout)>,
    ) -> ProposalStep {
        if ballot != self.ballot {
            return ProposalStep::Wait;
        }
        let Phase::Preparing(promised) = &mut self.phase else {
            return ProposalStep::Wait;
        };
        let highest = self.highest_accepted.as_ref().map(|(ballot, _)| *ballot);
        if let Some(accepted) = accepted
            && highest.is_none_or(|highest| accepted.0 > highest)
        {
            self.highest_accepted = Some(accepted);
        }
        promised.insert(voter.name.clone(), voter);
        if promised.len() < self.base.quorum() {
            return ProposalStep::Wait;
        }
        let promised = promised.clone();
        let Some(layout) = self.value(&promised) else {
            return ProposalStep::Abandon;
        };
        self.phase = Phase::Accepting(layout.clone(), BTreeSet::new());
        ProposalStep::SendAccept(layout)
    }

    /// Handles an acceptance from `voter`, which the caller has checked to be a holder.
    pub fn on_accepted(&mut self, voter: &str, ballot: Ballot) -> ProposalStep {
        if ballot != self.ballot {
            return ProposalStep::Wait;
        }
        let Phase::Accepting(layout, accepted) = &mut self.phase else {
            return ProposalStep::Wait;
        };
        accepted.insert(voter.to_owned());
        if accepted.len() < self.base.quorum() {
            return ProposalStep::Wait;
        }
        ProposalStep::Chosen(layout.clone())
    }
}
