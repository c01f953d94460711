//! The adapter's replies to batches that are composed byte by byte, as the bench's protocol defines them.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 2, "me": 0, "tickMs": 5.0, "zone": 0, "discovery": "pushed", "later": [1],
 "contract": {"coldMs": 17000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.18,
  "stopSendingWithinMs": 500.0},
 "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0], "readLevel": ["loose"],
  "stamps": true, "tokens": "router", "zeroMs": 0.0},
 "grades": [{"aimMs": 600.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 1.0}],
 "policyLimits": {"sendCap": 8}}"#;

/// Runs the adapter on this input until it exits.
fn run(input: &[u8]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_leverpoint-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // Writing fails if the adapter has already exited, which closes its input.
    let _ = adapter.stdin.take().expect("piped").write_all(input);
    adapter.wait_with_output().expect("the adapter ends")
}

fn batch(number: u32, now_ms: f64, records: &[&[u8]]) -> Vec<u8> {
    let body = records.concat();
    let mut out = number.to_le_bytes().to_vec();
    out.extend((body.len() as u32 + 8).to_le_bytes());
    out.extend(now_ms.to_le_bytes());
    out.extend(body);
    out
}

/// Selects instance 3 and creates it.
fn open_instance(settings: &str) -> Vec<u8> {
    let mut out = vec![12, 0, 3, 0, 0, 0, 1, 0];
    out.extend(9u64.to_le_bytes());
    out.extend((settings.len() as u32).to_le_bytes());
    out.extend(settings.as_bytes());
    out
}

/// A list of one server, 0x03124a07, ready and primary, and the update with that list.
fn list_and_update() -> Vec<u8> {
    let mut out = vec![11, 0, 0, 0, 1, 0, 0, 0];
    out.extend([0x07, 0x4a, 0x12, 0x03, 0, 0, 0, 0x0b, 0, 1]);
    out.extend(1f32.to_le_bytes());
    out.extend(1f32.to_le_bytes());
    out.extend(0f64.to_le_bytes());
    out.extend([2, 0, 0, 0, 2, 41, 0, 0, 0, 0, 0, 0, 0]);
    out
}

fn request(id: u32, deadline_ms: f64) -> Vec<u8> {
    let mut out = vec![3, 0];
    out.extend(id.to_le_bytes());
    out.extend([0; 14]);
    out.extend(deadline_ms.to_le_bytes());
    out.extend(0f64.to_le_bytes());
    out.extend(11f32.to_le_bytes());
    out.extend(0f32.to_le_bytes());
    out.extend([0, 0]);
    out
}

#[test]
fn a_request_is_submitted_to_the_listed_server() {
    let input = batch(
        7,
        1000.0,
        &[
            &open_instance(SETTINGS),
            &list_and_update(),
            &request(0x5d3a91c4, 3000.0),
        ],
    );
    let out = run(&input);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert_eq!(out.stdout[..4], [7, 0, 0, 0]);
    assert_eq!(out.stdout[12..18], [77, 0, 3, 0, 0, 0]);
    // The last record, SUBMIT_TO: the request, the timeout in milliseconds, the server.
    let submit = &out.stdout[out.stdout.len() - 18..];
    assert_eq!(submit[..6], [65, 0, 0xc4, 0x91, 0x3a, 0x5d]);
    assert_eq!(f64::from_le_bytes(submit[6..14].try_into().unwrap()), 600.0);
    assert_eq!(submit[14..], [0x07, 0x4a, 0x12, 0x03]);
}

#[test]
fn an_instance_stopped_and_opened_again_in_one_batch_and_empty_batches_get_replies() {
    let mut input = batch(1, 0.0, &[]);
    let reopened = [
        &open_instance(SETTINGS)[..],
        &list_and_update(),
        &[10, 0],
        &open_instance(SETTINGS),
        &list_and_update(),
    ];
    input.extend(batch(2, 5.0, &reopened));
    // A disconnect of a request from before the restart is ignored.
    input.extend(batch(3, 10.0, &[&[12, 0, 3, 0, 0, 0, 6, 0, 1, 2, 3, 4]]));
    let out = run(&input);
    assert!(out.status.success());
    assert_eq!(out.stdout[..12], [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    assert_eq!(
        out.stdout[out.stdout.len() - 12..][..8],
        [3, 0, 0, 0, 0, 0, 0, 0]
    );
}

#[test]
fn bad_input_gets_one_plain_line() {
    let mut too_long = batch(1, 0.0, &[]);
    too_long[7] = 0xff;
    let complete = batch(1, 0.0, &[&open_instance(SETTINGS)]);
    let update = [2, 0, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let cases: [(&str, Vec<u8>); 6] = [
        ("cut header", vec![1, 0, 0]),
        ("cut frame", complete[..complete.len() - 1].to_vec()),
        ("length", too_long),
        ("code", batch(1, 0.0, &[&[99, 0]])),
        (
            "settings",
            batch(1, 0.0, &[&open_instance("{\"balancers\": 0}")]),
        ),
        (
            "unknown list",
            batch(1, 0.0, &[&open_instance(SETTINGS), &update]),
        ),
    ];
    let mut messages = String::new();
    for (name, input) in cases {
        let out = run(&input);
        assert_eq!(out.status.code(), Some(1), "{name}");
        assert!(out.stdout.is_empty(), "{name}");
        messages += &format!("{name}: {}", String::from_utf8_lossy(&out.stderr));
    }
    insta::assert_snapshot!(messages);
}
