//! Unit tests of the parts of a member: failure detector, gossip queue, acceptor and proposer.

use fastrand::Rng;
use leverpoint_membership::consensus::{
    AcceptorReply, AcceptorState, Ballot, LayoutChange, Proposal, ProposalStep,
};
use leverpoint_membership::failure_detector::{FailureDetector, PendingProbe};
use leverpoint_membership::gossip::{GossipQueue, UPDATES_PER_MESSAGE};
use leverpoint_membership::membership_table::MemberIndex;
use leverpoint_membership::{Incarnation, Layout, ReplicaHolder};

fn holder_named(name: &str) -> ReplicaHolder {
    ReplicaHolder {
        name: name.into(),
        storage_id: 7,
        machine: name.into(),
        zone: "a".into(),
    }
}

fn layout_of(names: &[&str]) -> Layout {
    Layout {
        version: 1,
        holders: names.iter().map(|name| holder_named(name)).collect(),
    }
}

fn ballot_in_round(round: u32) -> Ballot {
    Ballot {
        round,
        proposer: Incarnation::default(),
    }
}

#[test]
fn each_candidate_is_probed_once_a_round() {
    let mut detector = FailureDetector::new(0);
    let mut random = Rng::with_seed(1);
    let candidates = [1, 2, 3, 4].map(MemberIndex);
    for _ in 0..10 {
        let mut round: Vec<MemberIndex> = (0..4)
            .filter_map(|_| detector.next_target(&mut random, &candidates))
            .collect();
        round.sort_unstable();
        assert_eq!(round, candidates);
    }
    assert_eq!(detector.next_target(&mut random, &[]), None);
}

#[test]
fn only_the_acknowledgement_of_the_pending_probe_clears_it() {
    let mut detector = FailureDetector::new(u32::MAX);
    let sequence = detector.next_sequence();
    assert_eq!(sequence, 0);
    detector.pending = Some(PendingProbe {
        sequence,
        member: MemberIndex(3),
        sent_at: 0,
        is_indirect: false,
    });
    assert!(!detector.on_ack(sequence + 1));
    assert!(detector.on_ack(sequence));
    assert!(!detector.on_ack(sequence));
}

#[test]
fn a_relayed_probe_is_answered_once_and_by_its_target_alone() {
    let mut detector = FailureDetector::new(0);
    let sequence = detector.relay(MemberIndex(3), MemberIndex(5), 99);
    assert_eq!(detector.take_relayed(sequence, MemberIndex(4)), None);
    assert_eq!(
        detector.take_relayed(sequence, MemberIndex(3)),
        Some((MemberIndex(5), 99))
    );
    assert_eq!(detector.take_relayed(sequence, MemberIndex(3)), None);
    let sequence = detector.relay(MemberIndex(3), MemberIndex(5), 100);
    detector.forget(MemberIndex(5));
    assert_eq!(detector.take_relayed(sequence, MemberIndex(3)), None);
}

#[test]
fn gossip_prefers_updates_sent_least_often_and_drops_them_at_the_limit() {
    let mut queue = GossipQueue::default();
    (0..=UPDATES_PER_MESSAGE).for_each(|member| queue.enqueue(MemberIndex(member)));
    let first: Vec<MemberIndex> = (0..UPDATES_PER_MESSAGE).map(MemberIndex).collect();
    assert_eq!(queue.next_batch(2), first);
    assert_eq!(queue.next_batch(2)[0], MemberIndex(UPDATES_PER_MESSAGE));
    queue.next_batch(2);
    assert!(queue.is_empty());
}

#[test]
fn an_acceptor_rejects_ballots_below_its_promise() {
    let mut acceptor = AcceptorState::default();
    let value = layout_of(&["a"]);
    assert_eq!(
        acceptor.on_prepare(ballot_in_round(2)),
        AcceptorReply::Promised(None)
    );
    assert_eq!(
        acceptor.on_accept(ballot_in_round(1), &value),
        AcceptorReply::Rejected(ballot_in_round(2))
    );
    assert_eq!(
        acceptor.on_accept(ballot_in_round(2), &value),
        AcceptorReply::Accepted
    );
    assert_eq!(
        acceptor.on_prepare(ballot_in_round(3)),
        AcceptorReply::Promised(Some((ballot_in_round(2), value)))
    );
}

#[test]
fn a_proposer_adopts_the_value_accepted_at_the_highest_ballot() {
    let base = layout_of(&["a", "b", "c"]);
    let accepted = |round, name: &str| Some((ballot_in_round(round), base.without_holder(name)));
    let change = LayoutChange::Remove("a".into());
    let mut proposal = Proposal::new(ballot_in_round(9), base.clone(), change);
    let step = proposal.on_promise(holder_named("a"), ballot_in_round(9), accepted(2, "b"));
    assert_eq!(step, ProposalStep::Wait);
    let step = proposal.on_promise(holder_named("b"), ballot_in_round(9), accepted(1, "c"));
    let value = base.without_holder("b");
    assert_eq!(step, ProposalStep::SendAccept(value.clone()));
    assert_eq!(
        proposal.on_accepted("a", ballot_in_round(9)),
        ProposalStep::Wait
    );
    assert_eq!(
        proposal.on_accepted("a", ballot_in_round(9)),
        ProposalStep::Wait
    );
    assert_eq!(
        proposal.on_accepted("c", ballot_in_round(9)),
        ProposalStep::Chosen(value)
    );
}
