//! The bytes of every message between members, as the released program writes them: members of two versions of the
//! program have to understand each other, whatever the types are called here.

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
use leverpoint_replication::ReplicationCounters as CopyCounts;
use leverpoint_replication::ReplicationStatus;
use leverpoint_replication::message::{
    Envelope as CopyEnvelope, Message as CopyBody, RecordReply, RejectReason,
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

fn card(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.into(),
        address: "127.0.0.1:7432".into(),
        zone: "a".into(),
        machine: "m1".into(),
        program_version: "0.1.0".into(),
        incarnation: incarnation(),
    }
}

fn rumour(name: &str, seen: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        info: card(name),
        refutation_count: 3,
        status: seen,
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
    .map(|seen| rumour("n2", seen));
    Message::Membership(Box::new(Envelope {
        sender: rumour("n1", MemberStatus::Alive),
        layout: LayoutVersion {
            version: 4,
            digest: 500,
        },
        table_digest: 600,
        updates: updates.into(),
        body,
    }))
}

/// Every kind of message by which membership is kept.
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
            updates: vec![rumour("n2", MemberStatus::Dead)],
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

fn one_try(ended: KeyedOutcome) -> KeyedAttempt {
    KeyedAttempt {
        replica_set: 2,
        first_sent: 10_000,
        deduplicated_until: 40_000,
        outcome: ended,
        is_first: true,
    }
}

/// A record of each kind.
fn records() -> Vec<Record> {
    let open = OpenWrites {
        last_begun: 3,
        last_finished: 2,
        begun_at: 9_000,
    };
    let wrote = SessionWrites {
        position: 8_000,
        open_writes: BTreeMap::from([((77, 1), open)]),
        overflowed: true,
    };
    let ends = [
        KeyedOutcome::Pending,
        KeyedOutcome::NotExecuted,
        KeyedOutcome::PossiblyExecuted,
        KeyedOutcome::Executed,
    ];
    let tries = ends
        .iter()
        .enumerate()
        .map(|(number, ended)| (number as u64, one_try(*ended)));
    let fate = KeyedRequestState {
        attempts: tries.collect(),
        folded: Some(one_try(KeyedOutcome::PossiblyExecuted)),
    };
    let role = PrimaryRole {
        term: 5,
        observed_at: 7_000,
        server: "s1".into(),
    };
    let listed = EndpointSummary {
        revision: 41,
        observed_at: 6_000,
        drained: vec!["s2".into(), "s3".into()],
    };
    vec![
        Record {
            key: RecordKey::Session(u64::MAX),
            value: RecordValue::Session(wrote),
        },
        Record {
            key: RecordKey::KeyedRequest(12),
            value: RecordValue::KeyedRequest(fate),
        },
        Record {
            key: RecordKey::Primary(2),
            value: RecordValue::Primary(role),
        },
        Record {
            key: RecordKey::EndpointList,
            value: RecordValue::EndpointList(listed),
        },
    ]
}

/// Every kind of message by which records are replicated.
fn replication_bodies() -> Vec<CopyBody> {
    let holds = RecordReply {
        record: records().pop(),
        low_watermark: 5_000,
        partitioned: true,
    };
    let none = RecordReply {
        record: None,
        low_watermark: 0,
        partitioned: false,
    };
    let mut bodies = vec![
        CopyBody::RenewLease {
            echoed_time: 1_000,
            unreplicated_until: 2_000,
            synced_version: 3,
        },
        CopyBody::LeaseRenewed {
            time: 1_500,
            synced_version: 4,
        },
        CopyBody::Write { records: records() },
        CopyBody::WriteAcknowledged {
            merged: records(),
            low_watermark: 5_000,
            partitioned: true,
        },
        CopyBody::Read {
            keys: records().iter().map(|record| record.key).collect(),
        },
        CopyBody::ReadReply {
            replies: vec![holds, none],
        },
        CopyBody::CompareHashes {
            branch: None,
            hashes: vec![1, 2, 3],
        },
        CopyBody::CompareHashes {
            branch: Some(9),
            hashes: vec![u64::MAX],
        },
        CopyBody::DifferingNodes { nodes: vec![0, 63] },
        CopyBody::FetchBucket {
            bucket: 4_095,
            after: Some(RecordKey::Session(5)),
        },
        CopyBody::FetchReassigned {
            from_bucket: 12,
            after: None,
        },
        CopyBody::RecordBatch {
            records: records(),
            next: Some((13, Some(RecordKey::EndpointList))),
            low_watermark: 4_000,
        },
        CopyBody::QueryLayouts,
        CopyBody::Layouts {
            layouts: vec![layout()],
        },
        CopyBody::Leaving { echoed_time: 1_000 },
    ];
    for reason in [
        RejectReason::LayoutMismatch,
        RejectReason::LayoutHistoryUnknown,
        RejectReason::Partitioned,
        RejectReason::Overloaded,
        RejectReason::DiskFailed,
        RejectReason::NotAReplica,
    ] {
        bodies.push(CopyBody::Rejected { reason });
    }
    bodies
}

fn replication(body: CopyBody) -> Message {
    let (name, life, storage_id) = ("n1".to_owned(), 8, 300);
    let envelope = CopyEnvelope {
        sender: name,
        incarnation: life,
        storage_id,
        layout_version: 4,
        request_id: 90_000,
        message: body,
    };
    Message::Replication(Box::new(envelope))
}

fn look() -> ReplicationStatus {
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
        counters: CopyCounts {
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

fn line() -> MemberSummary {
    MemberSummary {
        info: card("n2"),
        refutation_count: 3,
        status: MemberStatus::Suspect,
        status_age: 100,
        silent_for: Some(50),
        in_layout: true,
        is_self: false,
    }
}

fn questions_and_answers() -> Vec<Message> {
    let questions = [
        AdminRequest::Members,
        AdminRequest::Remove { name: "n3".into() },
        AdminRequest::Replication,
        AdminRequest::AntiEntropy { restart: true },
    ];
    let answers = [
        AdminResponse::Members {
            status: "in".into(),
            layout_version: 4,
            holders: 2,
            members: vec![line()],
        },
        AdminResponse::Done,
        AdminResponse::Refused {
            reason: "it is here: stop it first".into(),
        },
        AdminResponse::Replication(Box::new(look())),
        AdminResponse::AntiEntropy {
            peers: vec![("n2".into(), 5, 6, 7)],
            remaining: 1,
        },
    ];
    questions
        .into_iter()
        .map(Message::AdminRequest)
        .chain(answers.into_iter().map(Message::AdminResponse))
        .collect()
}

fn keys() -> Keys {
    Keys::new(vec![Key {
        number: 9,
        secret: (0..16).collect(),
    }])
}

fn bodies() -> Vec<Message> {
    let membership = membership_bodies().into_iter().map(envelope);
    let replication = replication_bodies().into_iter().map(replication);
    membership
        .chain(replication)
        .chain(questions_and_answers())
        .collect()
}

#[test]
fn bodies_are_the_bytes_that_the_released_program_writes() {
    let all: Vec<String> = bodies()
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
    let mut way = SecureChannel::new(77, 78, Direction::FromOpener);
    let mut frames = vec![encode_hello(&keys(), &hello).unwrap()];
    let message = encode_message(&Message::AdminRequest(AdminRequest::Members)).unwrap();
    frames.extend((0..2).map(|_| way.encode(&keys(), &message).unwrap()));
    let mut back = SecureChannel::new(77, 78, Direction::FromAcceptor);
    frames.push(back.encode(&keys(), &message).unwrap());
    let all: Vec<String> = frames.iter().map(|frame| hex(frame)).collect();
    insta::assert_snapshot!(all.join("\n"));
}

/// What a released member has written is understood: its bytes stand in the snapshot above.
#[test]
fn bodies_are_read_back_from_the_bytes() {
    for message in bodies() {
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
fn how_a_member_stands_is_written_in_the_same_words() {
    let words = [
        MembershipStatus::Joining,
        MembershipStatus::Active,
        MembershipStatus::Left,
        MembershipStatus::Superseded,
    ]
    .map(status_name);
    assert_eq!(words, ["joining", "in", "left", "ended"]);
}

#[test]
fn a_member_note_is_the_bytes_that_the_released_program_keeps() {
    let voice = AcceptorState {
        promised: ballot(),
        accepted: Some((ballot(), layout())),
    };
    let kept = PersistedState {
        incarnation: incarnation(),
        layout: layout(),
        acceptor: voice,
    };
    insta::assert_snapshot!(hex(
        &leverpoint_peer_transport::membership_runtime::encode_state(&kept)
    ));
}
