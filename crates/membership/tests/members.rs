//! Scenarios of whole fleets on a simulated network: failure detection, layout agreement, lost storage.

mod simulated_fleet;

use std::collections::BTreeSet;

use leverpoint_membership::member_status::{MemberStatus, StatusInput, next_status};
use leverpoint_membership::membership_table::{
    ApplyOutcome, MemberIndex, MembershipTable, UpdateSource,
};
use leverpoint_membership::{
    Action, Body, Incarnation, Layout, MemberInfo, MemberUpdate, MembershipEvent, MembershipStatus,
};

use simulated_fleet::{CONFIG, member_info, start_fleet};

#[test]
fn status_transitions_match_the_snapshot() {
    let states = [
        MemberStatus::Alive,
        MemberStatus::Suspect,
        MemberStatus::Dead,
        MemberStatus::Left,
    ];
    let inputs = [
        StatusInput::ProbeFailed,
        StatusInput::SuspicionExpired,
        StatusInput::ReportedAlive,
        StatusInput::ReportedSuspect,
        StatusInput::ReportedDead,
        StatusInput::ReportedLeft,
        StatusInput::NewIncarnation,
    ];
    let mut out = String::new();
    for state in states {
        for input in inputs {
            let (next, effect) = next_status(state, input);
            out += &format!("{state:?} {input:?} -> {next:?} {effect:?}\n");
        }
    }
    insta::assert_snapshot!(out);
}

#[test]
fn founders_bootstrap_a_layout_and_add_the_other_members() {
    let mut fleet = start_fleet(5, 3);
    fleet.run_seconds(20);
    let views = fleet.describe();
    fleet
        .processes
        .values()
        .for_each(|member| assert_eq!(member.counters.layout_conflicts, 0));
    insta::assert_snapshot!(views);
}

/// Guards against a second layout of version 1: founders that have all lost their storage can reach each other but not
/// the members that know the layout, and must not agree on a new one.
#[test]
fn founders_without_storage_do_not_bootstrap_a_fleet_anew() {
    let mut fleet = start_fleet(6, 3);
    fleet.run_seconds(20);
    for (founder, member) in [
        (0, 3),
        (0, 4),
        (0, 5),
        (1, 3),
        (1, 4),
        (1, 5),
        (2, 3),
        (2, 4),
        (2, 5),
    ] {
        let (founder, member) = (format!("p{founder}"), format!("p{member}"));
        fleet
            .blocked_links
            .insert((founder.clone(), member.clone()));
        fleet.blocked_links.insert((member, founder));
    }
    for n in 0..3 {
        fleet.processes.remove(&format!("p{n}"));
        fleet.disks.remove(&format!("p{n}"));
    }
    (0..3).for_each(|n| fleet.start(&format!("n{n}"), &format!("p{n}"), 200));
    fleet.run_seconds(60);
    for address in ["p0", "p1", "p2"] {
        assert_eq!(fleet.processes[address].layout().version, 0);
    }
    assert!(fleet.count_reports("BootstrapMissing") > 0);
    // Once they can reach the other members, they receive the existing layout.
    fleet.blocked_links.clear();
    fleet.run_seconds(60);
    assert_eq!(fleet.processes["p0"].layout().version, 4);
    let refused = fleet.processes.get_mut("p0").unwrap().bootstrap();
    assert_eq!(refused, Err("the fleet has a layout already"));
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.counters.layout_conflicts == 0)
    );
}

/// Guards against refusing a bootstrap request that an operator sends again because the reply to the first was late.
#[test]
fn a_repeated_request_for_a_bootstrap_is_accepted_after_the_layout_as_before_it() {
    let mut fleet = start_fleet(3, 3);
    let repeated = fleet.processes.get_mut("p0").unwrap().bootstrap();
    assert_eq!(repeated, Ok(()));
    fleet.run_seconds(20);
    assert_eq!(fleet.processes["p0"].layout().version, 1);
    let repeated = fleet.processes.get_mut("p0").unwrap().bootstrap();
    assert_eq!(repeated, Ok(()));
    fleet.run_seconds(20);
    assert_eq!(fleet.processes["p0"].layout().version, 1);
    let refused = fleet.processes.get_mut("p1").unwrap().bootstrap();
    assert_eq!(refused, Err("the fleet has a layout already"));
}

#[test]
fn a_crashed_member_is_dead_to_all_within_the_detection_bound_and_stays_in_the_layout() {
    let mut fleet = start_fleet(5, 5);
    fleet.run_seconds(20);
    fleet.processes.remove("p4");
    let bound = CONFIG.detection_bound(5);
    fleet.run_until(fleet.now + bound);
    for address in ["p0", "p1", "p2", "p3"] {
        assert_eq!(
            fleet.status_seen_by(address, "n4"),
            Some(MemberStatus::Dead),
            "{}",
            fleet.describe()
        );
        assert!(fleet.processes[address].layout().holder("n4").is_some());
    }
    // No other member was declared dead, and an operator's request removes the crashed one.
    assert_eq!(fleet.count_reports("status: Dead"), 4);
    assert_eq!(
        fleet.processes.get_mut("p0").unwrap().remove("n3"),
        Err("it is here: stop it first")
    );
    fleet.processes.get_mut("p1").unwrap().remove("n4").unwrap();
    fleet.run_seconds(5);
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.layout().version == 2 && member.layout().holders.len() == 4)
    );
}

#[test]
fn a_member_that_lost_its_storage_is_replaced_as_a_holder() {
    let mut fleet = start_fleet(3, 3);
    fleet.run_seconds(10);
    let previous = fleet.processes["p0"].layout().clone();
    fleet.processes.remove("p2");
    fleet.disks.remove("p2");
    fleet.start("n2", "p2", 0);
    fleet.run_seconds(30);
    let after = fleet.processes["p2"].layout().clone();
    assert_eq!(
        (previous.version, after.version),
        (1, 3),
        "{}",
        fleet.describe()
    );
    assert_ne!(previous.holder("n2"), after.holder("n2"));
    assert_eq!(after.holders.len(), 3);
    // A restart with its storage leaves a member the same holder, so the layout does not change.
    fleet.processes.remove("p1");
    fleet.start("n1", "p1", 0);
    fleet.run_seconds(30);
    assert_eq!(fleet.processes["p1"].layout(), &after);
    assert!(
        fleet.processes["p0"]
            .summaries(fleet.now)
            .iter()
            .all(|summary| summary.in_layout)
    );
}

#[test]
fn a_restart_with_a_clock_set_back_raises_its_incarnation_and_joins() {
    let mut fleet = start_fleet(3, 3);
    fleet.run_seconds(10);
    fleet.processes.remove("p2");
    fleet.disks.remove("p2");
    fleet.run_until(fleet.now + CONFIG.detection_bound(3));
    // Its clock yields an incarnation number below one that the others know to have ended.
    fleet.start("n2", "p2", 40);
    fleet.run_seconds(20);
    assert_eq!(
        fleet.processes["p2"].status(),
        MembershipStatus::Active,
        "{}",
        fleet.reports.join("\n")
    );
    assert_eq!(fleet.count_reports("IncarnationRaised { to: 101 }"), 1);
    assert_eq!(fleet.status_seen_by("p0", "n2"), Some(MemberStatus::Alive));
}

#[test]
fn a_duplicate_name_is_refused_while_its_owner_is_alive_and_supersedes_it_once_dead() {
    let mut fleet = start_fleet(4, 3);
    fleet.run_seconds(20);
    fleet.start("n3", "p9", 200);
    fleet.run_seconds(20);
    // It is not admitted while the owner is alive, although its incarnation is newer.
    assert_eq!(fleet.processes["p9"].status(), MembershipStatus::Joining);
    assert_eq!(
        (
            fleet.count_reports("p9 NameInUse"),
            fleet.count_reports("p3 Superseded")
        ),
        (1, 0)
    );
    assert_eq!(
        fleet.processes["p0"]
            .table()
            .find("n3")
            .unwrap()
            .1
            .update
            .info
            .address,
        "p3"
    );
    // The owner is paused until it is dead: the duplicate is admitted, and the owner is superseded when it resumes.
    fleet.paused.insert("p3".into());
    fleet.run_until(fleet.now + CONFIG.detection_bound(4) + 50_000);
    assert_eq!(fleet.processes["p9"].status(), MembershipStatus::Active);
    fleet.paused.remove("p3");
    fleet.run_seconds(20);
    assert_eq!(fleet.processes["p3"].status(), MembershipStatus::Superseded);
    assert_eq!(fleet.count_reports("p3 Superseded"), 1);
    assert!(fleet.processes["p0"].counters.from_ended_incarnation > 0);
    let action_count = fleet
        .processes
        .get_mut("p3")
        .unwrap()
        .tick(fleet.now + 5_000)
        .len();
    assert_eq!(action_count, 0);
}

#[test]
fn a_duplicate_name_does_not_supersede_its_owner_by_direct_contact() {
    let mut fleet = start_fleet(3, 3);
    fleet.run_seconds(10);
    // The seeds are p0 and p1, so it contacts the process whose name it uses.
    fleet.start("n0", "p9", 200);
    fleet.run_seconds(30);
    assert_eq!(
        (
            fleet.count_reports("p0 Superseded"),
            fleet.count_reports("p9 NameInUse")
        ),
        (0, 1),
        "{}",
        fleet.reports.join("\n")
    );
    assert!(fleet.processes["p0"].counters.name_conflicts > 0);
    assert_eq!(
        (
            fleet.processes["p0"].status(),
            fleet.processes["p9"].status()
        ),
        (MembershipStatus::Active, MembershipStatus::Joining)
    );
}

#[test]
fn a_paused_process_declares_no_member_dead_and_recovers_within_the_bound() {
    let mut fleet = start_fleet(4, 4);
    fleet.run_seconds(20);
    fleet.paused.insert("p1".into());
    fleet.run_until(fleet.now + 200_000);
    assert_eq!(fleet.status_seen_by("p0", "n1"), Some(MemberStatus::Dead));
    fleet.reports.clear();
    fleet.paused.remove("p1");
    fleet.run_until(fleet.now + CONFIG.recovery_bound(4));
    assert_eq!(
        (
            fleet.count_reports("p1 Paused"),
            fleet.count_reports("status: Dead")
        ),
        (1, 0),
        "{}",
        fleet.reports.join("\n")
    );
    assert!(
        ["p0", "p2", "p3"]
            .iter()
            .all(|address| fleet.status_seen_by(address, "n1") == Some(MemberStatus::Alive))
    );
    assert_eq!(fleet.processes["p1"].counters.refuted, 1);
}

#[test]
fn indirect_probes_keep_two_partitioned_members_alive_to_each_other() {
    let mut fleet = start_fleet(3, 3);
    fleet.run_seconds(10);
    fleet.block_both_ways(&["p0"], &["p2"]);
    fleet.run_seconds(120);
    assert_eq!(
        fleet.count_reports("status: Dead"),
        0,
        "{}",
        fleet.reports.join("\n")
    );
    // The same holds with only one direction blocked.
    fleet.blocked_links.remove(&("p0".into(), "p2".into()));
    fleet.run_seconds(120);
    assert_eq!(fleet.count_reports("status: Dead"), 0);
}

#[test]
fn an_even_partition_leaves_the_layout_unchanged_and_heals() {
    let mut fleet = start_fleet(4, 4);
    fleet.run_seconds(20);
    fleet.block_both_ways(&["p0", "p1"], &["p2", "p3"]);
    fleet.run_until(fleet.now + CONFIG.detection_bound(4));
    assert_eq!(fleet.status_seen_by("p0", "n2"), Some(MemberStatus::Dead));
    fleet.processes.get_mut("p0").unwrap().remove("n2").unwrap();
    fleet.processes.get_mut("p2").unwrap().remove("n0").unwrap();
    fleet.run_seconds(60);
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.layout().version == 1),
        "{}",
        fleet.describe()
    );
    fleet.blocked_links.clear();
    fleet.run_until(fleet.now + CONFIG.recovery_bound(4) + 100_000);
    let views = fleet.describe();
    assert!(
        !views.contains("Dead") && !views.contains("Suspect"),
        "{views}"
    );
    // The requested removals may have been agreed on before the removed members were seen as alive again; the holders
    // were then added again.
    let layout = fleet.processes["p0"].layout().clone();
    assert!(
        fleet
            .processes
            .values()
            .all(|member| *member.layout() == layout && member.counters.layout_conflicts == 0)
    );
    assert_eq!(layout.holders.len(), 4);
}

#[test]
fn members_stay_alive_after_thirty_percent_message_loss() {
    let mut fleet = start_fleet(8, 5);
    fleet.run_seconds(30);
    fleet.loss_rate = 0.3;
    fleet.run_seconds(300);
    fleet.loss_rate = 0.0;
    fleet.run_until(fleet.now + CONFIG.recovery_bound(8));
    let views = fleet.describe();
    assert!(
        !views.contains("Dead") && !views.contains("Suspect"),
        "{views}"
    );
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.layout().holders.len() == 8)
    );
}

#[test]
fn no_vote_is_sent_before_it_is_persisted() {
    let mut fleet = start_fleet(3, 3);
    fleet.persist_completes = false;
    fleet.run_seconds(20);
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.layout().version == 0),
        "{}",
        fleet.describe()
    );
    assert!(fleet.processes["p1"].counters.votes_cast > 0);
    // After a storage failure a member casts no further votes.
    fleet.persist_completes = true;
    let actions = fleet.processes.get_mut("p2").unwrap().on_persist_failed();
    assert_eq!(
        actions,
        [Action::Report(MembershipEvent::PersistenceFailed)]
    );
    fleet.run_seconds(20);
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.layout().version == 0)
    );
}

#[test]
fn a_graceful_leave_raises_no_suspicion_and_a_restart_rejoins() {
    let mut fleet = start_fleet(4, 4);
    fleet.run_seconds(20);
    let actions = fleet.processes.get_mut("p3").unwrap().leave();
    fleet.perform_actions("p3", actions);
    fleet.run_seconds(1);
    fleet.processes.remove("p3");
    fleet.run_seconds(20);
    assert_eq!(
        (
            fleet.count_reports("status: Suspect"),
            fleet.count_reports("status: Left")
        ),
        (0, 3),
        "{}",
        fleet.reports.join("\n")
    );
    fleet.start("n3", "p3", 0);
    fleet.run_seconds(10);
    assert_eq!(fleet.status_seen_by("p1", "n3"), Some(MemberStatus::Alive));
    assert_eq!(fleet.processes["p3"].layout().version, 1);
}

#[test]
fn a_full_table_evicts_the_longest_dead_member_and_no_participant() {
    let update = |name: &str, status| MemberUpdate {
        info: MemberInfo {
            incarnation: Incarnation {
                number: 1,
                storage_id: 1,
            },
            ..member_info(name, name)
        },
        refutation_count: 0,
        status,
    };
    let mut table = MembershipTable::new(2);
    let mut evicted = Vec::new();
    let mut apply = |table: &mut MembershipTable, now, update: &MemberUpdate| {
        table.apply(now, update, UpdateSource::Gossip, &mut |member| {
            evicted.push(member);
        })
    };
    apply(&mut table, 1, &update("a", MemberStatus::Alive));
    apply(&mut table, 2, &update("b", MemberStatus::Alive));
    assert_eq!(
        apply(&mut table, 3, &update("c", MemberStatus::Alive)),
        ApplyOutcome::Rejected
    );
    apply(&mut table, 4, &update("a", MemberStatus::Dead));
    assert!(matches!(
        apply(&mut table, 5, &update("c", MemberStatus::Alive)),
        ApplyOutcome::Changed { .. }
    ));
    assert_eq!(
        (evicted.as_slice(), table.find("a").is_none()),
        (&[MemberIndex(0)][..], true)
    );
}

#[test]
fn neighbouring_layouts_differ_by_one_holder_and_their_quorums_intersect() {
    let mut fleet = start_fleet(5, 5);
    fleet.run_seconds(20);
    let five_holders = fleet.processes["p0"].layout().clone();
    let four_holders = five_holders.without_holder("n1");
    assert!(
        five_holders.permits_successor(&four_holders)
            && !five_holders.permits_successor(&four_holders.without_holder("n2"))
    );
    assert!(!five_holders.permits_successor(&Layout {
        version: four_holders.version,
        holders: five_holders.holders.clone()
    }));
    for (first, second) in [
        (&five_holders, &four_holders),
        (&four_holders, &four_holders.without_holder("n2")),
        (&five_holders, &five_holders),
    ] {
        let all: BTreeSet<_> = first.holders.iter().chain(&second.holders).collect();
        assert!(first.quorum() + second.quorum() > all.len());
    }
}

#[test]
fn invalid_messages_are_dropped_and_counted() {
    let mut fleet = start_fleet(2, 2);
    fleet.run_seconds(5);
    let mut envelope = None;
    for action in fleet
        .processes
        .get_mut("p1")
        .unwrap()
        .tick(fleet.now + 6_000)
    {
        if let Action::Send { envelope: sent, .. } = action {
            envelope = Some(*sent);
        }
    }
    let valid = envelope.expect("a ping");
    let mut long_zone = valid.clone();
    long_zone.sender.info.zone = "z".repeat(65);
    let mut empty_name = valid.clone();
    empty_name.sender.info.name.clear();
    let mut excess_updates = valid.clone();
    excess_updates.updates = vec![valid.sender.clone(); 17];
    let mut unsorted_layout = valid.clone();
    let holders = fleet.processes["p0"]
        .layout()
        .holders
        .iter()
        .rev()
        .cloned()
        .collect();
    unsorted_layout.body = Body::ChosenLayout {
        layout: Layout {
            version: 9,
            holders,
        },
    };
    let previous = fleet.processes["p0"].counters;
    let p0 = fleet.processes.get_mut("p0").unwrap();
    for invalid in [&long_zone, &empty_name, &excess_updates, &unsorted_layout] {
        assert_eq!(p0.on_message(fleet.now, invalid), []);
    }
    assert_eq!(
        (p0.counters.invalid - previous.invalid, p0.layout().version),
        (4, 1)
    );
}
