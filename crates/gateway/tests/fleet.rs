//! Membership of five gateway processes on real connections.
//!
//! Links are partitioned, delayed and corrupted; processes are killed, paused, started without their data directory or
//! started twice under one name. The tests check the status of each member, the layout, and that no status from an
//! earlier incarnation is accepted.

use std::path::Path;
use std::time::Duration;

use leverpoint_test_support::fleet::{FLEET_KEY, FleetConfig, GatewayFleet};
use leverpoint_test_support::relay::LinkFaults;
use leverpoint_test_support::wire::endpoint_list;

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0],
     "readLevel": ["loose"], "stamps": true, "tokens": "router"},
    "grades": [{"name": "own", "aimMs": 4000.0, "deadlineMs": 20000.0, "semantics": "pure", "worth": 2.0}],
    "policyLimits": {"sendCap": 6, "retryAfter": true, "maxRetryAfterMs": 1000.0, "connectTimeoutMs": 2000.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 1000.0}]}"#;

const PARTITIONED: LinkFaults = LinkFaults {
    partitioned: true,
    loss: 0.0,
    duplication: 0.0,
    reorder: 0.0,
    corruption: 0.0,
    delay: Duration::ZERO,
};

/// Starts five connected processes: the first three have formed the initial layout, the others have been admitted.
fn start_fleet() -> GatewayFleet {
    start_fleet_with_heartbeat(100)
}

/// Starts five processes with this heartbeat interval in milliseconds. A test that a short suspicion would disturb
/// takes an interval that a busy host can meet.
fn start_fleet_with_heartbeat(interval_ms: u64) -> GatewayFleet {
    let fleet_config = FleetConfig {
        processes: 5,
        founders: 3,
        heartbeat_ms: interval_ms,
        join_delay_ms: None,
        disk: true,
        zones: 2,
        members: true,
        relays: true,
        settings: SETTINGS.into(),
        known_list: endpoint_list(7, true, &[]),
        extra_hcl: String::new(),
        seed: 11,
    };
    let mut fleet = GatewayFleet::new(Path::new(env!("CARGO_BIN_EXE_leverpoint")), fleet_config);
    fleet.start_all();
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    fleet
}

fn expect_dead(fleet: &mut GatewayFleet, observers: &[usize], member: usize) {
    let name = fleet.name(member).to_owned();
    for p in observers {
        fleet.expect_state(*p, &format!("{name} dead"), |state| {
            state.has_status(&name, "gone")
        });
    }
}

/// Asserts that no conflicting layouts and no statuses from earlier incarnations were seen.
fn assert_no_conflicts(fleet: &mut GatewayFleet, observers: &[usize]) {
    for p in observers {
        let forks = fleet.member_counter(*p, "forks");
        assert_eq!(
            (
                forks,
                fleet.observed(*p).layout_conflicts,
                fleet.observed(*p).stale_statuses
            ),
            (0, 0, 0)
        );
    }
}

#[test]
fn a_killed_member_is_dead_for_all_and_returns_with_or_without_its_data_directory() {
    let mut fleet = start_fleet();
    let storage_id = fleet.observed(4).storage_id.clone();
    fleet.kill(4);
    expect_dead(&mut fleet, &[0, 1, 2, 3], 4);
    fleet.start(4);
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    assert_eq!(fleet.observed(4).storage_id, storage_id);
    assert_eq!(
        fleet.observed(0).layout_version,
        3,
        "with its data directory it remains the same holder"
    );
    // Without its data directory it is a different holder: the old one is voted out, the new one in.
    fleet.kill_and_erase(4);
    fleet.start(4);
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 5);
    assert_ne!(fleet.observed(4).storage_id, storage_id);
    assert_eq!(fleet.observed(4).holder_count, 5);
    assert_no_conflicts(&mut fleet, &[0, 1, 2, 3, 4]);
}

#[test]
fn a_paused_member_declares_nobody_dead_and_is_superseded_by_a_second_process_of_its_name() {
    let mut fleet = start_fleet();
    fleet.signal(3, "-STOP");
    expect_dead(&mut fleet, &[0, 1, 2, 4], 3);
    fleet.signal(3, "-CONT");
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    assert_eq!(fleet.observed(3).count_with_status("gone"), 0);
    assert_eq!(fleet.member_counter(3, "called_gone"), 0);
    assert!(fleet.member_counter(3, "stood_still") > 0);
    // While the member runs, a second process with its name is not admitted; while it is paused, the second one is.
    let duplicate = fleet.start_duplicate(3);
    fleet.expect_state(duplicate, "its name in use", |state| state.name_in_use);
    assert!(!fleet.observed(duplicate).admitted && !fleet.observed(3).superseded);
    fleet.signal(3, "-STOP");
    fleet.expect_state(duplicate, "admitted", |state| state.admitted);
    fleet.signal(3, "-CONT");
    fleet.expect_state(3, "superseded", |state| state.superseded);
    let incarnation = fleet.observed(duplicate).incarnation;
    for p in [0, 1, 2, 4] {
        fleet.expect_state(p, "only the second process", |state| {
            state.statuses["n3"] == (incarnation, "here".into())
        });
    }
    assert_no_conflicts(&mut fleet, &[0, 1, 2, 4]);
}

#[test]
fn in_a_partition_only_the_majority_changes_the_layout_and_in_a_one_way_partition_nobody_is_dead() {
    let mut fleet = start_fleet();
    // A single direction and a single pair are cut: the other members confirm that these are alive.
    fleet.link(0, 1).set(PARTITIONED);
    fleet.set_faults_between(&[2], &[4], PARTITIONED);
    let received = [
        fleet.member_counter(0, "heard"),
        fleet.member_counter(2, "heard"),
    ];
    // Enough received messages for each to have been probed many times.
    while fleet.member_counter(0, "heard") < received[0] + 120
        || fleet.member_counter(2, "heard") < received[1] + 120
    {}
    assert!((0..5).all(|p| fleet.observed(p).count_with_status("gone") == 0));
    fleet.clear_faults();
    fleet.set_faults_between(&[0, 1], &[2, 3, 4], PARTITIONED);
    expect_dead(&mut fleet, &[0, 1], 2);
    expect_dead(&mut fleet, &[2, 3, 4], 0);
    expect_dead(&mut fleet, &[2, 3, 4], 1);
    // An operator's command has no effect on the minority side and takes effect on the majority side.
    let output = fleet.run_members_command(0, &["--remove", "n2"]);
    assert!(output.status.success());
    let output = fleet.run_members_command(3, &["--remove", "n1"]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    for p in [2, 3, 4] {
        fleet.expect_state(p, "a layout without n1", |state| {
            state.layout_version == 4 && state.holder_count == 4
        });
    }
    assert_eq!(
        (
            fleet.observed(0).layout_version,
            fleet.observed(1).layout_version
        ),
        (3, 3)
    );
    fleet.clear_faults();
    // Once both sides are connected, the member that was voted out is admitted again.
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 5);
    assert_no_conflicts(&mut fleet, &[0, 1, 2, 3, 4]);
}

#[test]
fn lost_duplicated_late_reordered_and_corrupt_frames_change_nothing() {
    let mut fleet = start_fleet();
    let faulty_link = LinkFaults {
        loss: 0.2,
        duplication: 0.3,
        reorder: 0.2,
        corruption: 0.05,
        delay: Duration::from_millis(5),
        partitioned: false,
    };
    fleet.set_faults_between(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4], faulty_link);
    while (0..5).any(|p| {
        let all = ["link.replayed", "link.unsealed"].map(|name| fleet.member_counter(p, name));
        all.contains(&0)
    }) {}
    fleet.clear_faults();
    fleet.set_faults_between(
        &[0],
        &[1, 2, 3, 4],
        LinkFaults {
            delay: Duration::from_secs(2),
            ..LinkFaults::default()
        },
    );
    fleet.expect_state(1, "n0 suspected", |state| {
        state.has_status("n0", "doubted") || state.has_status("n0", "gone")
    });
    fleet.clear_faults();
    fleet.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    assert_no_conflicts(&mut fleet, &[0, 1, 2, 3, 4]);
}

#[test]
fn keys_are_rotated_in_service_and_unknown_keys_are_rejected() {
    let mut fleet = start_fleet();
    let new = "8:ffeeddccbbaa99887766554433221100";
    // The new key is added behind the old one everywhere, then comes first on two of five, then on all, then is alone.
    for (keys, processes) in [
        (format!("{FLEET_KEY} {new}"), vec![0, 1, 2, 3, 4]),
        (format!("{new} {FLEET_KEY}"), vec![0, 1]),
        (format!("{new} {FLEET_KEY}"), vec![2, 3, 4]),
        (new.to_owned(), vec![0, 1, 2, 3, 4]),
    ] {
        for p in processes {
            fleet.keys[p] = keys.clone();
            fleet.write_operator_file(p);
            fleet.signal(p, "-HUP");
            fleet.gateway(p).wait_for_log("operator's file reloaded");
        }
        let received: Vec<u64> = (0..5).map(|p| fleet.member_counter(p, "heard")).collect();
        while (0..5).any(|p| fleet.member_counter(p, "heard") < received[p] + 10) {}
    }
    for p in 0..5 {
        assert_eq!(
            (
                fleet.member_counter(p, "link.unsealed"),
                fleet.member_counter(p, "called_gone")
            ),
            (0, 0)
        );
    }
    // A process with only the old key is rejected by all others and declared dead, and declares them dead in turn.
    fleet.keys[4] = FLEET_KEY.into();
    fleet.kill(4);
    fleet.start(4);
    expect_dead(&mut fleet, &[0, 1, 2, 3], 4);
    assert!(!fleet.observed(4).admitted);
    assert!((0..4).any(|p| fleet.member_counter(p, "link.unsealed") > 0));
    // An invalid file changes nothing, and the log line names the key.
    fleet.keys[0] = "nine".into();
    fleet.write_operator_file(0);
    fleet.signal(0, "-HUP");
    let line = fleet.gateway(0).wait_for_log("operator's file rejected");
    assert!(line.contains("members.keys"), "{line}");
    let output = fleet.run_members_command(4, &["--at", "127.0.0.1:1"]);
    assert!(
        !output.status.success()
            && String::from_utf8_lossy(&output.stderr).contains("nobody answers there")
    );
}

#[test]
fn members_prints_the_fleet_as_a_table_and_as_json() {
    let mut fleet = start_fleet_with_heartbeat(600);
    fleet.shut_down(2);
    fleet.expect_state(0, "n2 left", |state| state.has_status("n2", "left"));
    let table = String::from_utf8(fleet.run_members_command(0, &[]).stdout).unwrap();
    assert!(
        table.starts_with("stand in, layout 3 with 5 holders"),
        "{table}"
    );
    assert_eq!(table.lines().count(), 7);
    let json: serde_json::Value =
        serde_json::from_slice(&fleet.run_members_command(0, &["--json"]).stdout).unwrap();
    let rows: Vec<String> = json["members"]
        .as_array()
        .unwrap()
        .iter()
        .map(|m| {
            format!(
                "{} {} {} holds={} me={}",
                m["name"], m["zone"], m["seen"], m["holds"], m["me"]
            )
        })
        .collect();
    insta::assert_snapshot!(rows.join("\n"));
    let refused = fleet.run_members_command(0, &["--remove", "n1"]);
    assert!(String::from_utf8_lossy(&refused.stderr).contains("it is here: stop it first"));
}

#[test]
fn without_a_members_block_nothing_listens_and_nothing_is_logged() {
    let fleet_config = FleetConfig {
        processes: 2,
        founders: 0,
        heartbeat_ms: 100,
        join_delay_ms: None,
        disk: false,
        zones: 1,
        members: false,
        relays: false,
        settings: SETTINGS.into(),
        known_list: endpoint_list(7, true, &[]),
        extra_hcl: String::new(),
        seed: 3,
    };
    let mut fleet = GatewayFleet::new(Path::new(env!("CARGO_BIN_EXE_leverpoint")), fleet_config);
    fleet.start_all();
    for p in 0..2 {
        fleet.signal(p, "-USR1");
        fleet.gateway(p).wait_for_log("\"peers\"");
        // Of all listening sockets of the host only one belongs to this process: that of its own address.
        let proc_dir = format!("/proc/{}", fleet.gateway(p).child.id());
        let table = std::fs::read_to_string(format!("{proc_dir}/net/tcp")).unwrap();
        let fields = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let listening: Vec<String> = fields
            .filter(|f| f[3] == "0A")
            .map(|f| format!("socket:[{}]", f[9]))
            .collect();
        let open = std::fs::read_dir(format!("{proc_dir}/fd")).unwrap();
        let links = open.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        assert_eq!(
            links
                .filter(|l| listening.iter().any(|s| l.as_os_str() == s.as_str()))
                .count(),
            1
        );
        assert!(
            !fleet
                .gateway(p)
                .log_lines
                .borrow()
                .iter()
                .any(|line| line.contains("\"member"))
        );
    }
}
