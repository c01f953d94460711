//! Cost of placement by a layout compared with full replication to all members: bytes sent between members and memory
//! per member, for 3 to 50 members.
//!
//! The bytes of placement are counted from the encoded messages, those of full replication are computed.

use std::collections::VecDeque;

use leverpoint_membership::layout::{Layout, ReplicaHolder};
use leverpoint_replication::{
    Action, DeduplicationDomain, Envelope, IdempotencyClaim, LocalMember, Record,
    ReplicationConfig, Replicator, Ticks, WriteOutcome,
};

/// Writes per cluster size.
const WRITES: u64 = 4_000;
/// Start of the simulated clock, in ticks since the Unix epoch.
const START: Ticks = 17_000_000_000_000;

/// Members in one process; messages are delivered immediately and in order, and records count as persisted at once.
struct Cluster {
    members: Vec<Replicator>,
    /// Messages in transit, with the index of the receiver.
    in_transit: VecDeque<(usize, Envelope)>,
    /// Bytes sent since the last reset.
    bytes: usize,
    /// Messages sent since the last reset.
    messages: usize,
}

impl Cluster {
    fn new(size: usize) -> Cluster {
        let holder = |n: usize| ReplicaHolder {
            name: format!("n{n}"),
            storage_id: n as u64 + 1,
            machine: format!("m{n}"),
            zone: format!("z{}", n % 3),
        };
        let layout = Layout {
            version: 1,
            holders: (0..size).map(holder).collect(),
        };
        let member = |n: usize| {
            let local = LocalMember {
                name: format!("n{n}"),
                incarnation: 1,
                storage_id: n as u64 + 1,
            };
            Replicator::new(START, local, ReplicationConfig::default(), None)
        };
        let mut cluster = Cluster {
            members: (0..size).map(member).collect(),
            in_transit: VecDeque::new(),
            bytes: 0,
            messages: 0,
        };
        for n in 0..size {
            cluster.members[n].set_participating(true);
            let actions = cluster.members[n].on_layout_changed(START, &layout);
            cluster.execute(START, n, actions);
        }
        for round in 0..8 {
            cluster.tick_all(START + round * 5_000);
        }
        cluster
    }

    /// Carries out the actions of the member with index `n`.
    fn execute(&mut self, now: Ticks, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, envelope } => {
                    let bytes = postcard::to_stdvec(&envelope).map_or(0, |bytes| bytes.len());
                    // The transport adds 36 bytes: length, signature and sequence number.
                    (self.bytes, self.messages) = (self.bytes + bytes + 36, self.messages + 1);
                    let to: usize = to[1..].parse().expect("member names are 'n' and an index");
                    self.in_transit.push_back((to, *envelope));
                }
                Action::Persist {
                    sequence: number, ..
                } => {
                    let actions = self.members[n].on_persisted(now, number);
                    self.execute(now, n, actions);
                }
                _ => {}
            }
        }
    }

    /// Delivers messages until none is in transit.
    fn deliver_all(&mut self, now: Ticks) {
        while let Some((to, envelope)) = self.in_transit.pop_front() {
            let actions = self.members[to].on_message(now, &envelope);
            self.execute(now, to, actions);
        }
    }

    /// Ticks every member once, then delivers all messages.
    fn tick_all(&mut self, now: Ticks) {
        for n in 0..self.members.len() {
            let actions = self.members[n].tick(now);
            self.execute(now, n, actions);
        }
        self.deliver_all(now);
    }
}

fn main() {
    for size in [3usize, 5, 10, 20, 50] {
        let mut cluster = Cluster::new(size);
        let now = START + 40_000;
        let idle_bytes = {
            (cluster.bytes, cluster.messages) = (0, 0);
            (0..2).for_each(|round| cluster.tick_all(now + round * 5_000));
            cluster.bytes / size
        };
        (cluster.bytes, cluster.messages) = (0, 0);
        for write in 0..WRITES {
            let n = write as usize % size;
            let claim = IdempotencyClaim {
                key: write,
                attempt_id: write,
                replica_set: 2,
                deduplication: DeduplicationDomain::ReplicaSet,
                deduplication_window: 30_000,
                is_retry: false,
            };
            let actions = cluster.members[n].begin_write(now, write, write + 1, Some(claim), 1_000);
            cluster.execute(now, n, actions);
            cluster.deliver_all(now);
            let actions =
                cluster.members[n].finish_write(now, write, WriteOutcome::Acknowledged(now));
            cluster.execute(now, n, actions);
            cluster.deliver_all(now);
        }
        let (bytes, messages) = (
            cluster.bytes as u64 / WRITES,
            cluster.messages as f64 / WRITES as f64,
        );
        let status = |n: usize| cluster.members[n].status(now);
        let records: usize = (0..size)
            .map(|n| status(n).session_records + status(n).keyed_requests)
            .sum();
        let memory = (0..size).map(|n| status(n).record_bytes).sum::<usize>() / size;
        // Full replication sends both records to all members before the write and after it, each time acknowledged.
        let record_bytes = (memory * size)
            .checked_div(records)
            .unwrap_or(size_of::<Record>());
        let (request_bytes, reply_bytes) = (2 * 36 + 40 + 40, 36 + 24);
        let full_bytes = 2 * (size - 1) * (request_bytes + reply_bytes);
        let full_memory = 2 * WRITES as usize * record_bytes;
        println!(
            "{size:2} members: {bytes} bytes in {messages:.1} messages a write, {:.2} copies of a record, {} KiB each; \
             quiet {idle_bytes} bytes a second each; all to all {full_bytes} bytes, {size} copies, {} KiB each",
            records as f64 / (2 * WRITES) as f64,
            memory >> 10,
            full_memory >> 10,
        );
    }
}
