//! Lists of 1,024 servers and of 1,024 processes go through whole: no bound on either lies below that. docs/gateway.md
//! lists the bounds.

use std::path::Path;

use leverpoint_membership::consensus::Ballot;
use leverpoint_membership::layout::{Layout, MAX_HOLDERS, ReplicaHolder};
use leverpoint_membership::member_info::MAX_TEXT_BYTES;
use leverpoint_membership::message::LayoutVersion;
use leverpoint_membership::{Body, Envelope, Incarnation, MemberInfo, MemberStatus, MemberUpdate};
use leverpoint_peer_transport::frame::{self, Message};
use leverpoint_replication::record::{
    EndpointSummary, MAX_DRAINED, MAX_NAME_LEN, Record, RecordKey, RecordValue,
};
use leverpoint_test_support::gateway::{self as stands, config, free_address};
use leverpoint_test_support::manual::ManualAgent;
use leverpoint_test_support::server::{always_row, start_server};
use leverpoint_test_support::wire::{endpoint_list, http_ok, insert, select};

const MANY: usize = 1_024;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_leverpoint"))
}

const SETTINGS: &str = r#"{"balancers": 1024, "me": 1023, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 5000.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5,
     "startCapacity": 0.2, "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0],
     "readLevel": ["loose", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "view", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "pure", "worth": 1.0, "lateWorth": 1.0},
     {"name": "report", "aimMs": 30000.0, "deadlineMs": 60000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 3000.0, "worth": 3.0, "lateWorth": 0.5}],
    "policyLimits": {"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "acme", "share": 1.0, "quotaPerS": 100.0}]}"#;

/// A list with a primary and its replicas, or a set for each server: (set, mode) by its number.
fn targets(address: &str, of: impl Fn(usize) -> (usize, &'static str)) -> Vec<String> {
    let target = |n| {
        let (set, mode) = of(n);
        format!(
            r#"{{"uid":"s{n}","endpoint":"{address}","az":"a","pod_group":{set},"state":"up","mode":"{mode}"}}"#
        )
    };
    (0..MANY).map(target).collect()
}

#[test]
fn a_gateway_serves_1_024_servers_in_one_replica_set_and_in_as_many() {
    let primary = start_server("read-write", always_row("one"));
    let one = |n| {
        (
            2,
            if n == MANY - 1 {
                "read-write"
            } else {
                "read-only"
            },
        )
    };
    let many = |n| (n, "read-write");
    for (targets, sets) in [
        (targets(&primary.address, one), vec![2]),
        (targets(&primary.address, many), vec![0, 2, MANY - 1]),
    ] {
        let agent = ManualAgent::new();
        let address = free_address();
        // Known from the start, and said whole by the agent.
        let text = config(
            &address,
            &agent.address,
            &endpoint_list(7, true, &targets),
            SETTINGS,
        );
        let gateway = stands::start(&text, address, agent.as_agent(), program(), &[]);
        agent
            .next_request()
            .send(&http_ok(&endpoint_list(8, true, &targets)));
        assert!(agent.next_request().request_line.contains("index=8&"));
        let mut client = gateway.connect_client();
        assert_eq!(client.run_statement(""), "I Z");
        for set in sets {
            for text in [insert("report"), select("view")] {
                let text = text.replace("cluster=2", &format!("cluster={set}"));
                assert_eq!(client.run_statement(&text), "T D one C Z", "{text}");
            }
        }
        gateway.counters();
        let tables = gateway.wait_for_log("event=\"tables\"");
        assert!(
            tables.contains("(\\\"servers\\\", 1024), (\\\"places\\\", 1024)"),
            "{tables}"
        );
    }
}

#[test]
fn a_ballot_of_1_024_holders_and_as_many_drains_fit_their_frames() {
    let name = |n: usize, length: usize| format!("{n:0length$}");
    let holder = |n| ReplicaHolder {
        name: name(n, MAX_TEXT_BYTES),
        storage_id: u64::MAX,
        machine: name(n, MAX_TEXT_BYTES),
        zone: name(n, MAX_TEXT_BYTES),
    };
    let layout = |many: usize| Layout {
        version: 9,
        holders: (0..many).map(holder).collect(),
    };
    let card = MemberInfo {
        name: name(1, MAX_TEXT_BYTES),
        address: name(2, MAX_TEXT_BYTES),
        zone: name(3, MAX_TEXT_BYTES),
        machine: name(4, MAX_TEXT_BYTES),
        program_version: name(5, MAX_TEXT_BYTES),
        incarnation: Incarnation {
            number: u64::MAX,
            storage_id: u64::MAX,
        },
    };
    let accept = |many| Envelope {
        sender: MemberUpdate {
            info: card.clone(),
            refutation_count: u32::MAX,
            status: MemberStatus::Alive,
        },
        layout: LayoutVersion {
            version: 8,
            digest: u64::MAX,
        },
        table_digest: u64::MAX,
        updates: Vec::new(),
        body: Body::Accept {
            version: 9,
            ballot: Ballot::default(),
            layout: layout(many),
        },
    };
    assert!(
        MAX_HOLDERS >= MANY
            && accept(MAX_HOLDERS).is_valid()
            && !accept(MAX_HOLDERS + 1).is_valid()
    );
    assert!(frame::encode_message(&Message::Membership(Box::new(accept(MAX_HOLDERS)))).is_some());
    let drained = |many| Record {
        key: RecordKey::EndpointList,
        value: RecordValue::EndpointList(EndpointSummary {
            revision: 1,
            observed_at: 1,
            drained: (0..many).map(|n| name(n, MAX_NAME_LEN)).collect(),
        }),
    };
    assert!(
        MAX_DRAINED >= MANY
            && drained(MAX_DRAINED).is_valid()
            && !drained(MAX_DRAINED + 1).is_valid()
    );
    let kept = postcard::to_stdvec(&drained(MAX_DRAINED)).unwrap();
    assert!(
        kept.len() + 16 <= leverpoint_storage::MAX_REPLICATED_LEN,
        "{}",
        kept.len()
    );
}
