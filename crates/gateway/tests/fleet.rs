//! Five real processes of the program, the ways between them cut, held and spoilt, some of them killed, stopped, burnt or
//! there twice: who sees whom, which layout holds, and that nothing is believed from a life that has ended.

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

const CUT: LinkFaults = LinkFaults {
    partitioned: true,
    loss: 0.0,
    duplication: 0.0,
    reorder: 0.0,
    corruption: 0.0,
    delay: Duration::ZERO,
};

/// Five that have met; the first three have founded the layout and the others were taken in.
fn five() -> GatewayFleet {
    five_at(100)
}

/// With a beat of so many milliseconds: where a doubt in passing would be seen, one that a busy machine keeps.
fn five_at(beat_ms: u64) -> GatewayFleet {
    let build = FleetConfig {
        processes: 5,
        founders: 3,
        heartbeat_ms: beat_ms,
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
    let mut stage = GatewayFleet::new(Path::new(env!("CARGO_BIN_EXE_leverpoint")), build);
    stage.start_all();
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    stage
}

fn gone_for(stage: &mut GatewayFleet, who: &[usize], gone: usize) {
    let name = stage.name(gone).to_owned();
    for p in who {
        stage.expect_state(*p, &format!("{name} gone"), |word| {
            word.has_status(&name, "gone")
        });
    }
}

/// No layout forked, and nobody was believed who had ended.
fn sound(stage: &mut GatewayFleet, who: &[usize]) {
    for p in who {
        let forks = stage.member_counter(*p, "forks");
        assert_eq!(
            (
                forks,
                stage.observed(*p).layout_conflicts,
                stage.observed(*p).stale_statuses
            ),
            (0, 0, 0)
        );
    }
}

#[test]
fn a_killed_member_is_dead_for_all_and_returns_with_or_without_its_memory() {
    let mut stage = five();
    let memory = stage.observed(4).storage_id.clone();
    stage.kill(4);
    gone_for(&mut stage, &[0, 1, 2, 3], 4);
    stage.start(4);
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    assert_eq!(stage.observed(4).storage_id, memory);
    assert_eq!(
        stage.observed(0).layout_version,
        3,
        "with its folder it is the holder that it was"
    );
    // With its folder gone it is another one: the old holder is voted out, the new one in.
    stage.kill_and_erase(4);
    stage.start(4);
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 5);
    assert_ne!(stage.observed(4).storage_id, memory);
    assert_eq!(stage.observed(4).holder_count, 5);
    sound(&mut stage, &[0, 1, 2, 3, 4]);
}

#[test]
fn a_paused_member_declares_nobody_dead_and_is_superseded_by_a_second_of_its_name() {
    let mut stage = five();
    stage.signal(3, "-STOP");
    gone_for(&mut stage, &[0, 1, 2, 4], 3);
    stage.signal(3, "-CONT");
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    assert_eq!(stage.observed(3).count_with_status("gone"), 0);
    assert_eq!(stage.member_counter(3, "called_gone"), 0);
    assert!(stage.member_counter(3, "stood_still") > 0);
    // As long as it is there a second process of its name is kept out; while it is stopped that one is taken in.
    let twin = stage.start_duplicate(3);
    stage.expect_state(twin, "its name is taken", |word| word.name_in_use);
    assert!(!stage.observed(twin).admitted && !stage.observed(3).superseded);
    stage.signal(3, "-STOP");
    stage.expect_state(twin, "taken in", |word| word.admitted);
    stage.signal(3, "-CONT");
    stage.expect_state(3, "its end as a member", |word| word.superseded);
    let life = stage.observed(twin).incarnation;
    for p in [0, 1, 2, 4] {
        stage.expect_state(p, "the second one alone", |word| {
            word.statuses["n3"] == (life, "here".into())
        });
    }
    sound(&mut stage, &[0, 1, 2, 4]);
}

#[test]
fn in_a_partition_the_larger_half_goes_on_and_in_a_one_way_partition_nobody_is_dead() {
    let mut stage = five();
    // One direction alone, and one pair alone: others vouch.
    stage.link(0, 1).set(CUT);
    stage.set_faults_between(&[2], &[4], CUT);
    let asked = [
        stage.member_counter(0, "heard"),
        stage.member_counter(2, "heard"),
    ];
    // Long enough, in what they hear, for each to have been asked many times.
    while stage.member_counter(0, "heard") < asked[0] + 120
        || stage.member_counter(2, "heard") < asked[1] + 120
    {}
    assert!((0..5).all(|p| stage.observed(p).count_with_status("gone") == 0));
    stage.clear_faults();
    stage.set_faults_between(&[0, 1], &[2, 3, 4], CUT);
    gone_for(&mut stage, &[0, 1], 2);
    gone_for(&mut stage, &[2, 3, 4], 0);
    gone_for(&mut stage, &[2, 3, 4], 1);
    // An operator's word to the smaller side changes nothing, to the larger it does.
    let asked = stage.run_members_command(0, &["--remove", "n2"]);
    assert!(asked.status.success());
    let asked = stage.run_members_command(3, &["--remove", "n1"]);
    assert!(
        asked.status.success(),
        "{}",
        String::from_utf8_lossy(&asked.stderr)
    );
    for p in [2, 3, 4] {
        stage.expect_state(p, "a layout without n1", |word| {
            word.layout_version == 4 && word.holder_count == 4
        });
    }
    assert_eq!(
        (
            stage.observed(0).layout_version,
            stage.observed(1).layout_version
        ),
        (3, 3)
    );
    stage.clear_faults();
    // Both sides meet, and who was voted out is taken in again.
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 5);
    sound(&mut stage, &[0, 1, 2, 3, 4]);
}

#[test]
fn lost_duplicated_late_reordered_and_corrupt_frames_change_nothing() {
    let mut stage = five();
    let rough = LinkFaults {
        loss: 0.2,
        duplication: 0.3,
        reorder: 0.2,
        corruption: 0.05,
        delay: Duration::from_millis(5),
        partitioned: false,
    };
    stage.set_faults_between(&[0, 1, 2, 3, 4], &[0, 1, 2, 3, 4], rough);
    while (0..5).any(|p| {
        let all = ["link.replayed", "link.unsealed"].map(|name| stage.member_counter(p, name));
        all.contains(&0)
    }) {}
    stage.clear_faults();
    stage.set_faults_between(
        &[0],
        &[1, 2, 3, 4],
        LinkFaults {
            delay: Duration::from_secs(2),
            ..LinkFaults::default()
        },
    );
    stage.expect_state(1, "n0 doubted", |word| {
        word.has_status("n0", "doubted") || word.has_status("n0", "gone")
    });
    stage.clear_faults();
    stage.wait_for_layout(&[0, 1, 2, 3, 4], 3);
    sound(&mut stage, &[0, 1, 2, 3, 4]);
}

#[test]
fn keys_are_rotated_in_service_and_unknown_keys_are_rejected() {
    let mut stage = five();
    let new = "8:ffeeddccbbaa99887766554433221100";
    // Behind the old one at all, then first at two of five, then at all, then alone.
    for (keys, who) in [
        (format!("{FLEET_KEY} {new}"), vec![0, 1, 2, 3, 4]),
        (format!("{new} {FLEET_KEY}"), vec![0, 1]),
        (format!("{new} {FLEET_KEY}"), vec![2, 3, 4]),
        (new.to_owned(), vec![0, 1, 2, 3, 4]),
    ] {
        for p in who {
            stage.keys[p] = keys.clone();
            stage.write_operator_file(p);
            stage.signal(p, "-HUP");
            stage.gateway(p).wait_for_log("operator's file reloaded");
        }
        let heard: Vec<u64> = (0..5).map(|p| stage.member_counter(p, "heard")).collect();
        while (0..5).any(|p| stage.member_counter(p, "heard") < heard[p] + 10) {}
    }
    for p in 0..5 {
        assert_eq!(
            (
                stage.member_counter(p, "link.unsealed"),
                stage.member_counter(p, "called_gone")
            ),
            (0, 0)
        );
    }
    // Who has only the old key is heard by nobody, and sees the others go.
    stage.keys[4] = FLEET_KEY.into();
    stage.kill(4);
    stage.start(4);
    gone_for(&mut stage, &[0, 1, 2, 3], 4);
    assert!(!stage.observed(4).admitted);
    assert!((0..4).any(|p| stage.member_counter(p, "link.unsealed") > 0));
    // A faulty file changes nothing and names its key.
    stage.keys[0] = "nine".into();
    stage.write_operator_file(0);
    stage.signal(0, "-HUP");
    let said = stage.gateway(0).wait_for_log("operator's file rejected");
    assert!(said.contains("members.keys"), "{said}");
    let asked = stage.run_members_command(4, &["--at", "127.0.0.1:1"]);
    assert!(
        !asked.status.success()
            && String::from_utf8_lossy(&asked.stderr).contains("nobody answers there")
    );
}

#[test]
fn members_prints_the_fleet_as_a_table_and_as_json() {
    let mut stage = five_at(600);
    stage.shut_down(2);
    stage.expect_state(0, "n2 left", |word| word.has_status("n2", "left"));
    let table = String::from_utf8(stage.run_members_command(0, &[]).stdout).unwrap();
    assert!(
        table.starts_with("stand in, layout 3 with 5 holders"),
        "{table}"
    );
    assert_eq!(table.lines().count(), 7);
    let json: serde_json::Value =
        serde_json::from_slice(&stage.run_members_command(0, &["--json"]).stdout).unwrap();
    let told: Vec<String> = json["members"]
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
    insta::assert_snapshot!(told.join("\n"));
    let refused = stage.run_members_command(0, &["--remove", "n1"]);
    assert!(String::from_utf8_lossy(&refused.stderr).contains("it is here: stop it first"));
}

#[test]
fn without_a_members_block_nothing_listens_and_nothing_is_logged() {
    let build = FleetConfig {
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
    let mut stage = GatewayFleet::new(Path::new(env!("CARGO_BIN_EXE_leverpoint")), build);
    stage.start_all();
    for p in 0..2 {
        stage.signal(p, "-USR1");
        stage.gateway(p).wait_for_log("\"peers\"");
        // Listening sockets of the machine, and which of them are this process's: its own address alone.
        let of = format!("/proc/{}", stage.gateway(p).child.id());
        let table = std::fs::read_to_string(format!("{of}/net/tcp")).unwrap();
        let fields = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let listening: Vec<String> = fields
            .filter(|f| f[3] == "0A")
            .map(|f| format!("socket:[{}]", f[9]))
            .collect();
        let open = std::fs::read_dir(format!("{of}/fd")).unwrap();
        let links = open.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        assert_eq!(
            links
                .filter(|l| listening.iter().any(|s| l.as_os_str() == s.as_str()))
                .count(),
            1
        );
        assert!(
            !stage
                .gateway(p)
                .log_lines
                .borrow()
                .iter()
                .any(|line| line.contains("\"member"))
        );
    }
}
