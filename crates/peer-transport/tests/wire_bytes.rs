//! The bytes of every message between members, as the released program writes them. Members of two versions of the
//! program have to understand each other, so a renamed type or field must not change its encoding.

use std::collections::BTreeMap;

use bytes::BytesMut;
use leverpoint_membership::consensus::{AcceptorState, Ballot};
use leverpoint_membership::message::{Body, LayoutVersion};
use leverpoint_membership::{
    Envelope, Incarnation, Layout, MemberInfo, MemberStatus, MemberSummary, MemberUpdate,
    MembershipStatus, PersistedState, ReplicaHolder,
};
use leverpoint_peer_transport::frame::{
    Hello, Message, encode_hello, encode_message, length_codec, next_frame, status_name,
};
use leverpoint_peer_transport::{AdminRequest, AdminResponse};
use leverpoint_peer_transport::{Direction, SecureChannel};
use leverpoint_replication::ReplicationCounters;
use leverpoint_replication::ReplicationStatus;
use leverpoint_replication::message::{
    Envelope as ReplicationEnvelope, Message as ReplicationBody, RecordReply, RejectReason,
};
use leverpoint_replication::record::{
    EndpointSummary, KeyedAttempt, KeyedOutcome, KeyedRequestState, OpenWrites, PrimaryRole,
    Record, RecordKey, RecordValue, SessionWrites,
};
use leverpoint_signing::{Key, Keys};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn incarnation() -> Incarnation {
    Incarnation {
        number: 1_767_225_600_123,
        storage_id: 0x0102_0304_0506_0708,
    }
}

fn member_info(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.into(),
        address: "127.0.0.1:7432".into(),
        zone: "a".into(),
        machine: "m1".into(),
        program_version: "0.1.0".into(),
        incarnation: incarnation(),
    }
}

fn member_update(name: &str, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        info: member_info(name),
        refutation_count: 3,
        status,
    }
}

fn layout() -> Layout {
    let holder = |name: &str| ReplicaHolder {
        name: name.into(),
        storage_id: 300,
        machine: "m1".into(),
        zone: "a".into(),
    };
    Layout {
        version: 4,
        holders: vec![holder("n0"), holder("n1")],
    }
}

fn ballot() -> Ballot {
    Ballot {
        round: 2,
        proposer: incarnation(),
    }
}

fn envelope(body: Body) -> Message {
    let updates = [
        MemberStatus::Alive,
        MemberStatus::Suspect,
        MemberStatus::Dead,
        MemberStatus::Left,
    ]
    .map(|status| member_update("n2", status));
    Message::Membership(Box::new(Envelope {
        sender: member_update("n1", MemberStatus::Alive),
        layout: LayoutVersion {
            version: 4,
            digest: 500,
        },
        table_digest: 600,
        updates: updates.into(),
        body,
    }))
}

/// Messages of every kind of the membership protocol.
fn membership_bodies() -> Vec<Body> {
    let (number, name) = (70_000, "n3".to_owned());
    vec![
        Body::Ping { sequence: number },
        Body::Ack { sequence: number },
        Body::PingRequest {
            sequence: number,
            name: name.clone(),
        },
        Body::RelayedAck {
            sequence: number,
            name,
        },
        Body::TableSync {
            updates: vec![member_update("n2", MemberStatus::Dead)],
        },
        Body::LayoutRequest,
        Body::ChosenLayout { layout: layout() },
        Body::Prepare {
            version: 5,
            ballot: ballot(),
        },
        Body::Promise {
            version: 5,
            ballot: ballot(),
            accepted: None,
        },
        Body::Promise {
            version: 5,
            ballot: ballot(),
            accepted: Some((ballot(), layout())),
        },
        Body::Accept {
            version: 5,
            ballot: ballot(),
            layout: layout(),
        },
        Body::Accepted {
            version: 5,
            ballot: ballot(),
        },
        Body::Rejected {
            version: 5,
            ballot: ballot(),
            promised: ballot(),
        },
    ]
}

fn keyed_attempt(outcome: KeyedOutcome) -> KeyedAttempt {
    KeyedAttempt {
        replica_set: 2,
        first_sent: 10_000,
        deduplicated_until: 40_000,
        outcome,
        is_first: true,
    }
}

/// A record of each kind.
fn records() -> Vec<Record> {
    let open_writes = OpenWrites {
        last_begun: 3,
        last_finished: 2,
        begun_at: 9_000,
    };
    let session_writes = SessionWrites {
        position: 8_000,
        open_writes: BTreeMap::from([((77, 1), open_writes)]),
        overflowed: true,
    };
    let outcomes = [
        KeyedOutcome::Pending,
        KeyedOutcome::NotExecuted,
        KeyedOutcome::PossiblyExecuted,
        KeyedOutcome::Executed,
    ];
    let attempts = outcomes
        .iter()
        .enumerate()
        .map(|(number, outcome)| (number as u64, keyed_attempt(*outcome)));
    let keyed_request = KeyedRequestState {
        attempts: attempts.collect(),
        folded: Some(keyed_attempt(KeyedOutcome::PossiblyExecuted)),
    };
    let primary_role = PrimaryRole {
        term: 5,
        observed_at: 7_000,
        server: "s1".into(),
    };
    let endpoint_summary = EndpointSummary {
        revision: 41,
        observed_at: 6_000,
        drained: vec!["s2".into(), "s3".into()],
    };
    vec![
        Record {
            key: RecordKey::Session(u64::MAX),
            value: RecordValue::Session(session_writes),
        },
        Record {
            key: RecordKey::KeyedRequest(12),
            value: RecordValue::KeyedRequest(keyed_request),
        },
        Record {
            key: RecordKey::Primary(2),
            value: RecordValue::Primary(primary_role),
        },
        Record {
            key: RecordKey::EndpointList,
            value: RecordValue::EndpointList(endpoint_summary),
        },
    ]
}

/// Messages of every kind of the replication protocol.
fn replication_bodies() -> Vec<ReplicationBody> {
    let found = RecordReply {
        record: records().pop(),
        low_watermark: 5_000,
        partitioned: true,
    };
    let absent = RecordReply {
        record: None,
        low_watermark: 0,
        partitioned: false,
    };
    let mut bodies = vec![
        ReplicationBody::RenewLease {
            echoed_time: 1_000,
            unreplicated_until: 2_000,
            synced_version: 3,
        },
        ReplicationBody::LeaseRenewed {
            time: 1_500,
            synced_version: 4,
        },
        ReplicationBody::Write { records: records() },
        ReplicationBody::WriteAcknowledged {
            merged: records(),
            low_watermark: 5_000,
            partitioned: true,
        },
        ReplicationBody::Read {
            keys: records().iter().map(|record| record.key).collect(),
        },
        ReplicationBody::ReadReply {
            replies: vec![found, absent],
        },
        ReplicationBody::CompareHashes {
            branch: None,
            hashes: vec![1, 2, 3],
        },
        ReplicationBody::CompareHashes {
            branch: Some(9),
            hashes: vec![u64::MAX],
        },
        ReplicationBody::DifferingNodes { nodes: vec![0, 63] },
        ReplicationBody::FetchBucket {
            bucket: 4_095,
            after: Some(RecordKey::Session(5)),
        },
        ReplicationBody::FetchReassigned {
            from_bucket: 12,
            after: None,
        },
        ReplicationBody::RecordBatch {
            records: records(),
            next: Some((13, Some(RecordKey::EndpointList))),
            low_watermark: 4_000,
        },
        ReplicationBody::QueryLayouts,
        ReplicationBody::Layouts {
            layouts: vec![layout()],
        },
        ReplicationBody::Leaving { echoed_time: 1_000 },
    ];
    for reason in [
        RejectReason::LayoutMismatch,
        RejectReason::LayoutHistoryUnknown,
        RejectReason::Partitioned,
        RejectReason::Overloaded,
        RejectReason::DiskFailed,
        RejectReason::NotAReplica,
    ] {
        bodies.push(ReplicationBody::Rejected { reason });
    }
    bodies
}

fn replication(body: ReplicationBody) -> Message {
    let (sender, incarnation_number, storage_id) = ("n1".to_owned(), 8, 300);
    let envelope = ReplicationEnvelope {
        sender,
        incarnation: incarnation_number,
        storage_id,
        layout_version: 4,
        request_id: 90_000,
        message: body,
    };
    Message::Replication(Box::new(envelope))
}

fn replication_status() -> ReplicationStatus {
    ReplicationStatus {
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
        counters: ReplicationCounters {
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
        },
    }
}

fn member_summary() -> MemberSummary {
    MemberSummary {
        info: member_info("n2"),
        refutation_count: 3,
        status: MemberStatus::Suspect,
        status_age: 100,
        silent_for: Some(50),
        in_layout: true,
        is_self: false,
    }
}

fn admin_messages() -> Vec<Message> {
    let requests = [
        AdminRequest::Members,
        AdminRequest::Remove { name: "n3".into() },
        AdminRequest::Replication,
        AdminRequest::AntiEntropy { restart: true },
    ];
    let responses = [
        AdminResponse::Members {
            status: "in".into(),
            layout_version: 4,
            holders: 2,
            members: vec![member_summary()],
        },
        AdminResponse::Done,
        AdminResponse::Refused {
            reason: "it is here: stop it first".into(),
        },
        AdminResponse::Replication(Box::new(replication_status())),
        AdminResponse::AntiEntropy {
            peers: vec![("n2".into(), 5, 6, 7)],
            remaining: 1,
        },
    ];
    requests
        .into_iter()
        .map(Message::AdminRequest)
        .chain(responses.into_iter().map(Message::AdminResponse))
        .collect()
}

fn keys() -> Keys {
    Keys::new(vec![Key {
        number: 9,
        secret: (0..16).collect(),
    }])
}

fn messages() -> Vec<Message> {
    let membership = membership_bodies().into_iter().map(envelope);
    let replication = replication_bodies().into_iter().map(replication);
    membership
        .chain(replication)
        .chain(admin_messages())
        .collect()
}

#[test]
fn bodies_are_the_bytes_that_the_released_program_writes() {
    let all: Vec<String> = messages()
        .iter()
        .map(|message| hex(&encode_message(message).unwrap()))
        .collect();
    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn signed_frames_are_the_bytes_that_the_released_program_writes() {
    let hello = Hello {
        min_version: 1,
        max_version: 1,
        fleet: "hall".into(),
        address: "127.0.0.1:9".into(),
        nonce: 77,
    };
    let mut outbound = SecureChannel::new(77, 78, Direction::FromOpener);
    let mut frames = vec![encode_hello(&keys(), &hello).unwrap()];
    let message = encode_message(&Message::AdminRequest(AdminRequest::Members)).unwrap();
    frames.extend((0..2).map(|_| outbound.encode(&keys(), &message).unwrap()));
    let mut inbound = SecureChannel::new(77, 78, Direction::FromAcceptor);
    frames.push(inbound.encode(&keys(), &message).unwrap());
    let all: Vec<String> = frames.iter().map(|frame| hex(frame)).collect();
    insta::assert_snapshot!(all.join("\n"));
}

/// What a member of the released program has written is decoded; the snapshot of the messages holds its bytes.
#[test]
fn messages_are_decoded_from_their_bytes() {
    for message in messages() {
        let frame = SecureChannel::new(1, 2, Direction::FromOpener)
            .encode(&keys(), &encode_message(&message).unwrap())
            .unwrap();
        let mut received = BytesMut::from(&frame[..]);
        let frame = next_frame(&mut length_codec(), &mut received)
            .unwrap()
            .unwrap();
        assert_eq!(
            SecureChannel::new(1, 2, Direction::FromOpener).decode(&keys(), &frame),
            Ok(message)
        );
    }
}

#[test]
fn status_names_are_those_of_the_released_program() {
    let names = [
        MembershipStatus::Joining,
        MembershipStatus::Active,
        MembershipStatus::Left,
        MembershipStatus::Superseded,
    ]
    .map(status_name);
    assert_eq!(names, ["joining", "in", "left", "ended"]);
}

#[test]
fn persisted_state_is_the_bytes_that_the_released_program_stores() {
    let acceptor = AcceptorState {
        promised: ballot(),
        accepted: Some((ballot(), layout())),
    };
    let state = PersistedState {
        incarnation: incarnation(),
        layout: layout(),
        acceptor,
    };
    insta::assert_snapshot!(hex(
        &leverpoint_peer_transport::membership_runtime::encode_state(&state)
    ));
}
