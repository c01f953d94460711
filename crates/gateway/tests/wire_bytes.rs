//! The bytes on the wires to clients, servers and discovery, and of what clients carry, as the released program writes
//! them.

use std::path::Path;

use leverpoint_gateway::postgres::messages;
use leverpoint_sessions::SessionToken;
use leverpoint_signing::{Key, Keys};
use leverpoint_test_support::gateway::{config, free_address, start};
use leverpoint_test_support::manual::ManualAgent;
use leverpoint_test_support::wire::endpoint_list;

const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "DISCOVERY",
    "contract": {"answerSlackMs": 20.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0],
     "readLevel": ["loose"], "stamps": true, "tokens": "router"},
    "grades": [{"name": "view", "aimMs": 4000.0, "deadlineMs": 20000.0, "semantics": "pure", "worth": 2.0}],
    "policyLimits": {"sendCap": 6, "retryAfter": true, "maxRetryAfterMs": 1000.0, "connectTimeoutMs": 2000.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 1000.0}]}"#;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn messages_to_clients_and_servers_are_the_bytes_that_the_released_program_writes() {
    let mut out = vec![
        hex(&messages::startup_response(0, None)),
        hex(&messages::startup_response(2, Some([7; 8]))),
    ];
    let mut appended = |write: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = Vec::new();
        write(&mut bytes);
        out.push(hex(&bytes));
    };
    appended(&|bytes| messages::put_ready_for_query(bytes));
    appended(&|bytes| {
        messages::put_error_response(bytes, false, "53300", "throttled", Some("120"))
    });
    appended(&|bytes| messages::put_error_response(bytes, true, "08P01", "bad length", None));
    appended(&|bytes| messages::put_notice_response(bytes, "token", "abc"));
    appended(&|bytes| bytes.extend(messages::startup_message()));
    appended(&|bytes| messages::put_message(bytes, b'Q', &[b"SELECT", b"\0"]));
    insta::assert_snapshot!(out.join("\n"));
}

#[test]
fn session_tokens_are_the_text_that_the_released_program_signs() {
    let keys = Keys::new(vec![Key {
        number: 9,
        secret: (0..16).collect(),
    }]);
    let text = SessionToken {
        session: 77,
        position: 17_672_256_001_234,
    }
    .sign(&keys)
    .unwrap();
    assert_eq!(
        SessionToken::verify(&keys, &text, 77),
        Some(17_672_256_001_234)
    );
    insta::assert_snapshot!(text);
}

/// The first two calls of a gateway that has a list from before and gets no answer.
fn first_calls(discovery: &str) -> Vec<String> {
    let held = ManualAgent::new();
    let address = free_address();
    let settings = SETTINGS.replace("DISCOVERY", discovery);
    let text = config(
        &address,
        &held.address,
        &endpoint_list(7, true, &[]),
        &settings,
    );
    let program = Path::new(env!("CARGO_BIN_EXE_leverpoint"));
    let _gateway = start(&text, address, held.as_agent(), program, &[]);
    (0..2).map(|_| held.next_request().request_line).collect()
}

#[test]
fn calls_to_discovery_are_the_request_lines_that_the_released_program_sends() {
    let all = ["pushed", "on_request"].map(|discovery| first_calls(discovery).join("\n"));
    insta::assert_snapshot!(all.join("\n"));
}
