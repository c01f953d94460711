//! What operators and their scripts rely on: subcommands, options, keys of the operator's file, and the names in what
//! the program prints as JSON. All of it stays as the released program has it; more may stand beside it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use leverpoint_replication::ReplicationCounters;
use leverpoint_replication::ReplicationStatus;
use leverpoint_test_support::fleet::{FleetConfig, GatewayFleet};
use leverpoint_test_support::gateway::{config, output};
use leverpoint_test_support::wire::endpoint_list;
use serde_json::Value;

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0],
     "readLevel": ["loose"], "stamps": true, "tokens": "router"},
    "grades": [{"name": "own", "aimMs": 4000.0, "deadlineMs": 20000.0, "semantics": "pure", "worth": 2.0}],
    "policyLimits": {"sendCap": 6, "retryAfter": true, "maxRetryAfterMs": 1000.0, "connectTimeoutMs": 2000.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 1000.0}]}"#;

/// Every key of the operator's file with a value that it takes.
const EVERY_KEY: &str = r#"slow {
  caps        = true
  least_rate  = "8KiB/s"
  grace       = "2s"
  stall       = "1s"
  small       = "4KiB"
  proof       = "64KiB"
  one_peer    = "256KiB"
  customer    = "2MiB"
  slow        = "4MiB"
  newcomers   = "8MiB"
  all         = "16MiB"
  connections = 64
  arrivals    = 1600
  come_back   = "500ms"
  after_row   = "250ms"
  kernel      = "16KiB"
}
sessions {
  follow = true
  moves  = true
  alone  = false
  disk   = "/nowhere/sessions"
  loses  = "20ms"
  stays  = "5s"
  clocks = "10ms"
  exact  = "60s"
  known  = 1024
  cells  = 1024
  keys   = ["1:00112233445566778899aabbccddeeff"]
  number = "8c1f30d27a5be964"
}
members {
  listen      = "127.0.0.1:7432"
  address     = "127.0.0.1:7433"
  fleet       = "hall"
  seeds       = ["127.0.0.1:7434"]
  reach       = { n1 = "127.0.0.1:7435" }
  zone        = "a"
  machine     = "m1"
  founders    = ["n0", "n1", "n2"]
  keys        = ["1:00112233445566778899aabbccddeeff"]
  disk        = "/nowhere/member"
  beat        = "100ms"
  settles     = "2s"
  connections = 16
}
copies {
  on      = true
  copies  = 3
  lease   = "1s"
  waits   = "200ms"
  keeps   = "60s"
  records = 100000
  memory  = "64MiB"
  rate    = 20000
  starts  = "1s"
}
"#;

fn file(name: &str, text: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("leverpoint-surface-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn program(words: &[&str]) -> Output {
    output(Command::new(env!("CARGO_BIN_EXE_leverpoint")).args(words))
}

fn stdout(words: &[&str]) -> String {
    String::from_utf8(program(words).stdout).unwrap()
}

/// What `check` makes of an operator's file: nothing to say, or the one line of its fault without the file's name.
fn checked(name: &str, operator: &str) -> Result<(), String> {
    let text = config(
        "127.0.0.1:6432",
        "127.0.0.1:8500",
        &endpoint_list(7, true, &[]),
        SETTINGS,
    );
    let (settings, operator) = (
        file(&format!("{name}.json"), &text),
        file(&format!("{name}.hcl"), operator),
    );
    let path = |path: &Path| path.to_str().unwrap().to_owned();
    let out = program(&["check", &path(&settings), "--operator", &path(&operator)]);
    let said = String::from_utf8(out.stderr)
        .unwrap()
        .replace(&path(&operator), "FILE");
    std::fs::remove_file(settings).unwrap();
    std::fs::remove_file(operator).unwrap();
    if out.status.success() {
        Ok(())
    } else {
        Err(said.trim_end().to_owned())
    }
}

/// What `check` prints of a configuration with every key of the operator's file.
#[test]
fn check_prints_the_text_that_the_released_program_prints() {
    let text = config(
        "127.0.0.1:6432",
        "127.0.0.1:8500",
        &endpoint_list(7, true, &[]),
        SETTINGS,
    );
    let (settings, operator) = (file("printed.json", &text), file("printed.hcl", EVERY_KEY));
    let printed = stdout(&[
        "check",
        settings.to_str().unwrap(),
        "--operator",
        operator.to_str().unwrap(),
    ]);
    std::fs::remove_file(settings).unwrap();
    std::fs::remove_file(operator).unwrap();
    insta::assert_snapshot!(printed);
}

/// Every key of the file as the schema has it, with its type.
fn keys_of_schema() -> BTreeMap<String, String> {
    let schema: Value = serde_json::from_str(&stdout(&["check", "--schema"])).unwrap();
    let mut keys = BTreeMap::new();
    for (block, of_block) in schema["properties"].as_object().unwrap() {
        for (key, of_key) in of_block["properties"].as_object().unwrap() {
            keys.insert(format!("{block}.{key}"), of_key["type"].to_string());
        }
    }
    keys
}

#[test]
fn check_takes_every_key_of_the_operators_file() {
    assert_eq!(checked("every", EVERY_KEY), Ok(()));
    let keys = keys_of_schema();
    let written = EVERY_KEY
        .lines()
        .filter(|line| line.starts_with("  "))
        .count();
    assert_eq!(
        keys.len(),
        written,
        "each key of the schema stands in the file that is checked"
    );
    let lines: Vec<String> = keys
        .iter()
        .map(|(key, kind)| format!("{key}: {kind}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn check_names_every_key_that_has_a_value_it_cannot_have() {
    let mut lines = Vec::new();
    for key in keys_of_schema().into_keys() {
        let (block, name) = key.split_once('.').unwrap();
        let text = format!("{block} {{\n  {name} = [[1]]\n}}\n");
        lines.push(checked("faulty", &text).expect_err(&key));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// The names of commands or options in a help text.
fn named(help: &str) -> Vec<&str> {
    let lines = help.lines().filter(|line| line.starts_with("    "));
    lines
        .filter_map(|line| line.trim_start().split("  ").next())
        .collect()
}

#[test]
fn every_subcommand_and_option_has_its_name() {
    let commands: [&[&str]; 7] = [
        &["--help"],
        &["serve", "--help"],
        &["members", "--help"],
        &["copies", "--help"],
        &["copies", "verify", "--help"],
        &["version", "--help"],
        &["check", "--help"],
    ];
    let line =
        |words: &&[&str]| format!("{}: {}", words.join(" "), named(&stdout(words)).join(" | "));
    insta::assert_snapshot!(commands.iter().map(line).collect::<Vec<_>>().join("\n"));
    assert!(stdout(&["version"]).starts_with("leverpoint "));
}

#[test]
fn what_a_member_holds_has_its_names_in_json() {
    let counts = ReplicationCounters {
        quorum_writes: 1,
        writes_without_quorum: 2,
        rejected_writes: 3,
        unclear_retries: 4,
        accepted_retries: 5,
        exact_reads: 6,
        inexact_reads: 7,
        records_written: 8,
        requests_rejected: 9,
        records_repaired: 10,
        hints_stored: 11,
        hints_dropped: 12,
        messages_sent: 13,
        messages_received: 14,
        invalid_messages: 15,
    };
    let look = ReplicationStatus {
        layout_version: 4,
        oldest_layout_version: 3,
        layouts_known: true,
        is_replica: true,
        has_layout_quorum: false,
        in_sync: true,
        session_records: 10,
        keyed_requests: 11,
        other_records: 12,
        record_bytes: 13_000,
        low_watermark: 14_000,
        data_lost_until: 15_000,
        queue_sizes: [1, 2, 3, 4].into(),
        serving_without_quorum: false,
        unaccounted_members: vec!["n4".into()],
        last_repair: Some(16_000),
        counters: counts,
    };
    insta::assert_snapshot!(serde_json::to_string(&look).unwrap());
}

/// The names in a value of JSON, without what stands under them.
fn names(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields = fields
                .iter()
                .map(|(name, value)| format!("{name}{}", names(value)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(" "))
        }
        Value::Array(items) => format!("[{}]", items.first().map(names).unwrap_or_default()),
        _ => String::new(),
    }
}

#[test]
fn members_and_copies_print_json_with_these_names() {
    let build = FleetConfig {
        processes: 3,
        founders: 3,
        heartbeat_ms: 100,
        join_delay_ms: None,
        disk: true,
        zones: 1,
        members: true,
        relays: false,
        settings: SETTINGS.into(),
        known_list: endpoint_list(7, true, &[]),
        extra_hcl: "sessions {\n  follow = true\n  number = \"8c1f30d27a5be964\"\n}\ncopies {\n  on = true\n}\n"
            .into(),
        seed: 5,
    };
    let mut stage = GatewayFleet::new(Path::new(env!("CARGO_BIN_EXE_leverpoint")), build);
    stage.start_all();
    stage.wait_for_layout(&[0, 1, 2], 1);
    stage.wait_until_settled(0);
    let mut lines = Vec::new();
    for words in [
        &["members", "--json"][..],
        &["copies", "--json"],
        &["copies", "verify", "--json"],
    ] {
        let out = stage.run_command(0, words).stdout;
        let json: Value = serde_json::from_slice(&out).unwrap();
        lines.push(format!("{}: {}", words.join(" "), names(&json)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
