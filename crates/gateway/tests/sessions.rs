//! A session reads its own writes through a gateway that has no state of the session, and after a restart, while
//! replicas lag.

use std::path::Path;
use std::time::Duration;

use leverpoint_cluster_model::replica_set::ReplicaSetConfig;
use leverpoint_test_support::agent::start_agent;
use leverpoint_test_support::gateway::{self, Gateway};
use leverpoint_test_support::replica_set::{
    IDEAL_SET, ReplicaSet, ReplicaSetMember, start_replica_set,
};
use leverpoint_test_support::wire::http_ok;

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0],
     "readLevel": ["own_writes", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "own", "aimMs": 4000.0, "deadlineMs": 20000.0, "semantics": "pure", "worth": 2.0},
     {"name": "report", "aimMs": 4000.0, "deadlineMs": 20000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 3000.0, "worth": 3.0}],
    "policyLimits": {"sendCap": 6, "retryAfter": true, "maxRetryAfterMs": 1000.0, "connectTimeoutMs": 2000.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 1000.0}]}"#;

/// Starts a replica set whose replicas lag by ten minutes, so that only the primary has a recent write.
fn start_lagging_replica_set() -> (std::sync::Arc<ReplicaSet>, Vec<ReplicaSetMember>, String) {
    start_replica_set(
        ReplicaSetConfig {
            replication_lag: 6_000_000,
            ..IDEAL_SET
        },
        3,
        Duration::from_millis(1),
    )
}

fn start(known: &str, operator_file: &Path) -> Gateway {
    let (agent, address) = (start_agent(), gateway::free_address());
    agent.responses.send(http_ok(known)).unwrap();
    let text = gateway::config(&address, &agent.address, known, SETTINGS);
    let args = ["--operator", operator_file.to_str().unwrap()];
    gateway::start(
        &text,
        address,
        agent,
        Path::new(env!("CARGO_BIN_EXE_leverpoint")),
        &args,
    )
}

fn write_temp_file(name: &str, text: &str) -> std::path::PathBuf {
    let path =
        std::env::temp_dir().join(format!("leverpoint-sessions-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn write_statement(id: &str) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('64-p', '\\x9f') RETURNING v /* id={id},c=report,t=acme,d=20000,k={id},cluster=2 */"
    )
}

fn read_statement(id: &str, extra: &str) -> String {
    format!(
        "SELECT v FROM records WHERE k = '64-p' /* id={id},c=own,t=acme,d=20000,cluster=2{extra} */"
    )
}

#[test]
fn a_gateway_new_to_a_session_reads_its_writes() {
    let (set, _members, known) = start_lagging_replica_set();
    let operator_file = write_temp_file("follow.hcl", "sessions {\n  follow = true\n}\n");
    let (first, second) = (start(&known, &operator_file), start(&known, &operator_file));
    assert!(
        first
            .connect_client()
            .run_statement(&write_statement("w1"))
            .starts_with('T')
    );
    drop(first);
    assert!(
        second
            .connect_client()
            .run_statement(&read_statement("r1", ""))
            .starts_with('T')
    );
    let row = set.take_read_origin("r1").unwrap();
    assert!(row.position >= set.last_write_position("64-p").unwrap() && row.by_primary);
    let third = start(&known, &operator_file);
    assert!(
        third
            .connect_client()
            .run_statement(&read_statement("r2", ""))
            .starts_with('T')
    );
    assert!(
        set.take_read_origin("r2").unwrap().position >= set.last_write_position("64-p").unwrap()
    );
    assert_eq!(
        second.shut_down(&["answered", "failed", "throttled"]),
        "answered=1 failed=0 throttled=0 "
    );
    std::fs::remove_file(operator_file).unwrap();
}

#[test]
fn session_positions_are_recovered_after_an_orderly_shutdown() {
    let (set, _members, known) = start_lagging_replica_set();
    let folder =
        std::env::temp_dir().join(format!("leverpoint-sessions-disk-{}", std::process::id()));
    let text = format!(
        "sessions {{\n  follow = true\n  alone = true\n  number = \"8c1f30d27a5be964\"\n  disk = \"{}\"\n}}\n",
        folder.display()
    );
    let operator_file = write_temp_file("disk.hcl", &text);
    let first = start(&known, &operator_file);
    assert!(
        first
            .connect_client()
            .run_statement(&write_statement("w1"))
            .starts_with('T')
    );
    first.shut_down(&[]);
    let second = start(&known, &operator_file);
    let log = second.log_lines.borrow().join("\n");
    assert!(
        log.contains("\"many\"=1") || log.contains("many=1") || log.contains("many=\"1\""),
        "{log}"
    );
    // A session that has written requires exactly the position of its write, so the primary answers; one that has not
    // written requires none, so a replica answers.
    assert!(
        second
            .connect_client()
            .run_statement(&read_statement("r1", ""))
            .starts_with('T')
    );
    assert!(set.take_read_origin("r1").unwrap().by_primary);
    assert!(
        second
            .connect_client()
            .run_statement(&read_statement("r2", "").replace("64-p", "64-q"))
            .starts_with('T')
    );
    assert!(!set.take_read_origin("r2").unwrap().by_primary);
    drop(second);
    std::fs::remove_file(operator_file).unwrap();
    std::fs::remove_dir_all(folder).unwrap();
}
