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

use simulated_fleet::{CONFIG, fleet, info};

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
    let mut fleet = fleet(5, 3);
    fleet.run(20);
    let views = fleet.summaries();
    fleet
        .processes
        .values()
        .for_each(|f| assert_eq!(f.counters.layout_conflicts, 0));
    insta::assert_snapshot!(views);
}

/// Founders that had all lost their storage agreed on a second layout of version 1.
#[test]
fn founders_without_storage_do_not_bootstrap_a_fleet_anew() {
    let mut fleet = fleet(6, 3);
    fleet.run(20);
    for (one, other) in [
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
        let (one, other) = (format!("p{one}"), format!("p{other}"));
        fleet.cut.insert((one.clone(), other.clone()));
        fleet.cut.insert((other, one));
    }
    for n in 0..3 {
        fleet.processes.remove(&format!("p{n}"));
        fleet.disks.remove(&format!("p{n}"));
    }
    (0..3).for_each(|n| fleet.start(&format!("n{n}"), &format!("p{n}"), 200));
    fleet.run(60);
    for at in ["p0", "p1", "p2"] {
        assert_eq!(fleet.processes[at].layout().version, 0);
    }
    assert!(fleet.reports_of("BootstrapMissing") > 0);
    // Once they meet the others they are told of the layout that there is.
    fleet.cut.clear();
    fleet.run(60);
    assert_eq!(fleet.processes["p0"].layout().version, 4);
    let asked = fleet.processes.get_mut("p0").unwrap().bootstrap();
    assert_eq!(asked, Err("the fleet has a layout already"));
    assert!(
        fleet
            .processes
            .values()
            .all(|member| member.counters.layout_conflicts == 0)
    );
}

/// An operator's command that was sent again, as its answer was late, was refused.
#[test]
fn a_repeated_request_for_a_bootstrap_is_accepted_after_the_layout_as_before_it() {
    let mut fleet = fleet(3, 3);
    let again = fleet.processes.get_mut("p0").unwrap().bootstrap();
    assert_eq!(again, Ok(()));
    fleet.run(20);
    assert_eq!(fleet.processes["p0"].layout().version, 1);
    let again = fleet.processes.get_mut("p0").unwrap().bootstrap();
    assert_eq!(again, Ok(()));
    fleet.run(20);
    assert_eq!(fleet.processes["p0"].layout().version, 1);
    let other = fleet.processes.get_mut("p1").unwrap().bootstrap();
    assert_eq!(other, Err("the fleet has a layout already"));
}

#[test]
fn a_crashed_member_is_dead_to_all_within_the_detection_bound_and_stays_in_the_layout() {
    let mut fleet = fleet(5, 5);
    fleet.run(20);
    fleet.processes.remove("p4");
    let bound = CONFIG.detection_bound(5);
    fleet.until(fleet.now + bound);
    for at in ["p0", "p1", "p2", "p3"] {
        assert_eq!(
            fleet.status(at, "n4"),
            Some(MemberStatus::Dead),
            "{}",
            fleet.summaries()
        );
        assert!(fleet.processes[at].layout().holder("n4").is_some());
    }
    // No other member was declared dead, and an operator's request removes this one.
    assert_eq!(fleet.reports_of("status: Dead"), 4);
    assert_eq!(
        fleet.processes.get_mut("p0").unwrap().remove("n3"),
        Err("it is here: stop it first")
    );
    fleet.processes.get_mut("p1").unwrap().remove("n4").unwrap();
    fleet.run(5);
    assert!(
        fleet
            .processes
            .values()
            .all(|f| f.layout().version == 2 && f.layout().holders.len() == 4)
    );
}

#[test]
fn a_member_that_lost_its_storage_is_replaced_as_a_holder() {
    let mut fleet = fleet(3, 3);
    fleet.run(10);
    let previous = fleet.processes["p0"].layout().clone();
    fleet.processes.remove("p2");
    fleet.disks.remove("p2");
    fleet.start("n2", "p2", 0);
    fleet.run(30);
    let after = fleet.processes["p2"].layout().clone();
    assert_eq!(
        (previous.version, after.version),
        (1, 3),
        "{}",
        fleet.summaries()
    );
    assert_ne!(previous.holder("n2"), after.holder("n2"));
    assert_eq!(after.holders.len(), 3);
    // With its storage it is the same holder, and the layout stays.
    fleet.processes.remove("p1");
    fleet.start("n1", "p1", 0);
    fleet.run(30);
    assert_eq!(fleet.processes["p1"].layout(), &after);
    assert!(
        fleet.processes["p0"]
            .summaries(fleet.now)
            .iter()
            .all(|line| line.in_layout)
    );
}

#[test]
fn a_restart_with_a_clock_set_back_raises_its_incarnation_and_joins() {
    let mut fleet = fleet(3, 3);
    fleet.run(10);
    fleet.processes.remove("p2");
    fleet.disks.remove("p2");
    fleet.until(fleet.now + CONFIG.detection_bound(3));
    // Its clock yields an incarnation that the others know to have ended.
    fleet.start("n2", "p2", 40);
    fleet.run(20);
    assert_eq!(
        fleet.processes["p2"].status(),
        MembershipStatus::Active,
        "{}",
        fleet.reports.join("\n")
    );
    assert_eq!(fleet.reports_of("IncarnationRaised { to: 101 }"), 1);
    assert_eq!(fleet.status("p0", "n2"), Some(MemberStatus::Alive));
}

#[test]
fn a_duplicate_name_is_refused_while_its_owner_is_alive_and_supersedes_it_once_dead() {
    let mut fleet = fleet(4, 3);
    fleet.run(20);
    fleet.start("n3", "p9", 200);
    fleet.run(20);
    // It stays out while the owner is alive, whatever its incarnation.
    assert_eq!(fleet.processes["p9"].status(), MembershipStatus::Joining);
    assert_eq!(
        (
            fleet.reports_of("p9 NameInUse"),
            fleet.reports_of("p3 Superseded")
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
    fleet.until(fleet.now + CONFIG.detection_bound(4) + 50_000);
    assert_eq!(fleet.processes["p9"].status(), MembershipStatus::Active);
    fleet.paused.remove("p3");
    fleet.run(20);
    assert_eq!(fleet.processes["p3"].status(), MembershipStatus::Superseded);
    assert_eq!(fleet.reports_of("p3 Superseded"), 1);
    assert!(fleet.processes["p0"].counters.from_ended_incarnation > 0);
    let sent = fleet
        .processes
        .get_mut("p3")
        .unwrap()
        .tick(fleet.now + 5_000)
        .len();
    assert_eq!(sent, 0);
}

#[test]
fn a_duplicate_name_does_not_supersede_its_owner_by_direct_contact() {
    let mut fleet = fleet(3, 3);
    fleet.run(10);
    // The seeds are p0 and p1, so it contacts the very process whose name it has.
    fleet.start("n0", "p9", 200);
    fleet.run(30);
    assert_eq!(
        (
            fleet.reports_of("p0 Superseded"),
            fleet.reports_of("p9 NameInUse")
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
    let mut fleet = fleet(4, 4);
    fleet.run(20);
    fleet.paused.insert("p1".into());
    fleet.until(fleet.now + 200_000);
    assert_eq!(fleet.status("p0", "n1"), Some(MemberStatus::Dead));
    fleet.reports.clear();
    fleet.paused.remove("p1");
    fleet.until(fleet.now + CONFIG.recovery_bound(4));
    assert_eq!(
        (
            fleet.reports_of("p1 Paused"),
            fleet.reports_of("status: Dead")
        ),
        (1, 0),
        "{}",
        fleet.reports.join("\n")
    );
    assert!(
        ["p0", "p2", "p3"]
            .iter()
            .all(|at| fleet.status(at, "n1") == Some(MemberStatus::Alive))
    );
    assert_eq!(fleet.processes["p1"].counters.refuted, 1);
}

#[test]
fn indirect_probes_keep_two_partitioned_members_alive_to_each_other() {
    let mut fleet = fleet(3, 3);
    fleet.run(10);
    fleet.cut_both(&["p0"], &["p2"]);
    fleet.run(120);
    assert_eq!(
        fleet.reports_of("status: Dead"),
        0,
        "{}",
        fleet.reports.join("\n")
    );
    // One direction alone as well.
    fleet.cut.remove(&("p0".into(), "p2".into()));
    fleet.run(120);
    assert_eq!(fleet.reports_of("status: Dead"), 0);
}

#[test]
fn an_even_partition_leaves_the_layout_unchanged_and_heals() {
    let mut fleet = fleet(4, 4);
    fleet.run(20);
    fleet.cut_both(&["p0", "p1"], &["p2", "p3"]);
    fleet.until(fleet.now + CONFIG.detection_bound(4));
    assert_eq!(fleet.status("p0", "n2"), Some(MemberStatus::Dead));
    fleet.processes.get_mut("p0").unwrap().remove("n2").unwrap();
    fleet.processes.get_mut("p2").unwrap().remove("n0").unwrap();
    fleet.run(60);
    assert!(
        fleet.processes.values().all(|f| f.layout().version == 1),
        "{}",
        fleet.summaries()
    );
    fleet.cut.clear();
    fleet.until(fleet.now + CONFIG.recovery_bound(4) + 100_000);
    let views = fleet.summaries();
    assert!(
        !views.contains("Dead") && !views.contains("Suspect"),
        "{views}"
    );
    // The requested removals may have been agreed on before the partition healed; then the holders were added again.
    let layout = fleet.processes["p0"].layout().clone();
    assert!(
        fleet
            .processes
            .values()
            .all(|f| *f.layout() == layout && f.counters.layout_conflicts == 0)
    );
    assert_eq!(layout.holders.len(), 4);
}

#[test]
fn members_stay_alive_after_thirty_percent_message_loss() {
    let mut fleet = fleet(8, 5);
    fleet.run(30);
    fleet.loss = 0.3;
    fleet.run(300);
    fleet.loss = 0.0;
    fleet.until(fleet.now + CONFIG.recovery_bound(8));
    let views = fleet.summaries();
    assert!(
        !views.contains("Dead") && !views.contains("Suspect"),
        "{views}"
    );
    assert!(
        fleet
            .processes
            .values()
            .all(|f| f.layout().holders.len() == 8)
    );
}

#[test]
fn no_vote_is_sent_before_it_is_persisted() {
    let mut fleet = fleet(3, 3);
    fleet.persists = false;
    fleet.run(20);
    assert!(
        fleet.processes.values().all(|f| f.layout().version == 0),
        "{}",
        fleet.summaries()
    );
    assert!(fleet.processes["p1"].counters.votes_cast > 0);
    // A storage failure costs the vote for good.
    fleet.persists = true;
    let said = fleet.processes.get_mut("p2").unwrap().on_persist_failed();
    assert_eq!(said, [Action::Report(MembershipEvent::PersistenceFailed)]);
    fleet.run(20);
    assert!(fleet.processes.values().all(|f| f.layout().version == 0));
}

#[test]
fn a_graceful_leave_raises_no_suspicion_and_a_restart_rejoins() {
    let mut fleet = fleet(4, 4);
    fleet.run(20);
    let all = fleet.processes.get_mut("p3").unwrap().leave();
    fleet.perform("p3", all);
    fleet.run(1);
    fleet.processes.remove("p3");
    fleet.run(20);
    assert_eq!(
        (
            fleet.reports_of("status: Suspect"),
            fleet.reports_of("status: Left")
        ),
        (0, 3),
        "{}",
        fleet.reports.join("\n")
    );
    fleet.start("n3", "p3", 0);
    fleet.run(10);
    assert_eq!(fleet.status("p1", "n3"), Some(MemberStatus::Alive));
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
            ..info(name, name)
        },
        refutation_count: 0,
        status,
    };
    let mut view = MembershipTable::new(2);
    let mut dropped = Vec::new();
    let mut apply = |view: &mut MembershipTable, now, update: &MemberUpdate| {
        view.apply(now, update, UpdateSource::Gossip, &mut |member| {
            dropped.push(member);
        })
    };
    apply(&mut view, 1, &update("a", MemberStatus::Alive));
    apply(&mut view, 2, &update("b", MemberStatus::Alive));
    assert_eq!(
        apply(&mut view, 3, &update("c", MemberStatus::Alive)),
        ApplyOutcome::Rejected
    );
    apply(&mut view, 4, &update("a", MemberStatus::Dead));
    assert!(matches!(
        apply(&mut view, 5, &update("c", MemberStatus::Alive)),
        ApplyOutcome::Changed { .. }
    ));
    assert_eq!(
        (dropped.as_slice(), view.find("a").is_none()),
        (&[MemberIndex(0)][..], true)
    );
}

#[test]
fn neighbouring_layouts_differ_by_one_holder_and_their_quorums_intersect() {
    let mut fleet = fleet(5, 5);
    fleet.run(20);
    let five = fleet.processes["p0"].layout().clone();
    let four = five.without_holder("n1");
    assert!(five.permits_successor(&four) && !five.permits_successor(&four.without_holder("n2")));
    assert!(!five.permits_successor(&Layout {
        version: four.version,
        holders: five.holders.clone()
    }));
    for (one, other) in [
        (&five, &four),
        (&four, &four.without_holder("n2")),
        (&five, &five),
    ] {
        let all: BTreeSet<_> = one.holders.iter().chain(&other.holders).collect();
        assert!(one.quorum() + other.quorum() > all.len());
    }
}

#[test]
fn invalid_messages_are_dropped_and_counted() {
    let mut fleet = fleet(2, 2);
    fleet.run(5);
    let mut envelope = None;
    for one in fleet
        .processes
        .get_mut("p1")
        .unwrap()
        .tick(fleet.now + 6_000)
    {
        if let Action::Send { envelope: sent, .. } = one {
            envelope = Some(*sent);
        }
    }
    let is_valid = envelope.expect("a ping");
    let mut long = is_valid.clone();
    long.sender.info.zone = "z".repeat(65);
    let mut nameless = is_valid.clone();
    nameless.sender.info.name.clear();
    let mut many = is_valid.clone();
    many.updates = vec![is_valid.sender.clone(); 17];
    let mut unsorted = is_valid.clone();
    let holders = fleet.processes["p0"]
        .layout()
        .holders
        .iter()
        .rev()
        .cloned()
        .collect();
    unsorted.body = Body::ChosenLayout {
        layout: Layout {
            version: 9,
            holders,
        },
    };
    let previous = fleet.processes["p0"].counters;
    let p0 = fleet.processes.get_mut("p0").unwrap();
    for bad in [&long, &nameless, &many, &unsorted] {
        assert_eq!(p0.on_message(fleet.now, bad), []);
    }
    assert_eq!(
        (p0.counters.invalid - previous.invalid, p0.layout().version),
        (4, 1)
    );
}
