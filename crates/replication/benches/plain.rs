//! Placement by the layout against full replication without one: bytes between members and memory of each, from 3 to 50
//! members.

use std::collections::VecDeque;

use leverpoint_membership::layout::{Layout, ReplicaHolder};
use leverpoint_replication::{
    Action, DeduplicationDomain, Envelope, IdempotencyClaim, LocalMember, Record,
    ReplicationConfig, Replicator, Ticks, WriteOutcome,
};

const WRITES: u64 = 4_000;
const BEGAN: Ticks = 17_000_000_000_000;

/// A fleet in one process; messages are delivered at once, in order.
struct Fleet {
    members: Vec<Replicator>,
    line: VecDeque<(usize, Envelope)>,
    bytes: usize,
    messages: usize,
}

impl Fleet {
    fn new(many: usize) -> Fleet {
        let holder = |n: usize| ReplicaHolder {
            name: format!("n{n}"),
            storage_id: n as u64 + 1,
            machine: format!("m{n}"),
            zone: format!("z{}", n % 3),
        };
        let layout = Layout {
            version: 1,
            holders: (0..many).map(holder).collect(),
        };
        let member = |n: usize| {
            let me = LocalMember {
                name: format!("n{n}"),
                incarnation: 1,
                storage_id: n as u64 + 1,
            };
            Replicator::new(BEGAN, me, ReplicationConfig::default(), None)
        };
        let mut fleet = Fleet {
            members: (0..many).map(member).collect(),
            line: VecDeque::new(),
            bytes: 0,
            messages: 0,
        };
        for n in 0..many {
            fleet.members[n].set_participating(true);
            let all = fleet.members[n].on_layout_changed(BEGAN, &layout);
            fleet.carry_out(BEGAN, n, all);
        }
        for round in 0..8 {
            fleet.tick_all(BEGAN + round * 5_000);
        }
        fleet
    }

    fn carry_out(&mut self, now: Ticks, n: usize, all: Vec<Action>) {
        for one in all {
            match one {
                Action::Send { to, envelope } => {
                    let bytes = postcard::to_stdvec(&envelope).map_or(0, |bytes| bytes.len());
                    // With its length, signature and sequence number, as the transport adds them.
                    (self.bytes, self.messages) = (self.bytes + bytes + 36, self.messages + 1);
                    let to: usize = to[1..].parse().expect("a name of our own");
                    self.line.push_back((to, *envelope));
                }
                Action::Persist {
                    sequence: number, ..
                } => {
                    let all = self.members[n].on_persisted(now, number);
                    self.carry_out(now, n, all);
                }
                _ => {}
            }
        }
    }

    fn deliver_all(&mut self, now: Ticks) {
        while let Some((to, envelope)) = self.line.pop_front() {
            let all = self.members[to].on_message(now, &envelope);
            self.carry_out(now, to, all);
        }
    }

    fn tick_all(&mut self, now: Ticks) {
        for n in 0..self.members.len() {
            let all = self.members[n].tick(now);
            self.carry_out(now, n, all);
        }
        self.deliver_all(now);
    }
}

fn main() {
    for many in [3usize, 5, 10, 20, 50] {
        let mut fleet = Fleet::new(many);
        let now = BEGAN + 40_000;
        let quiet = {
            (fleet.bytes, fleet.messages) = (0, 0);
            (0..2).for_each(|round| fleet.tick_all(now + round * 5_000));
            fleet.bytes / many
        };
        (fleet.bytes, fleet.messages) = (0, 0);
        for nth in 0..WRITES {
            let n = nth as usize % many;
            let claim = IdempotencyClaim {
                key: nth,
                attempt_id: nth,
                replica_set: 2,
                deduplication: DeduplicationDomain::ReplicaSet,
                deduplication_window: 30_000,
                is_retry: false,
            };
            let all = fleet.members[n].begin_write(now, nth, nth + 1, Some(claim), 1_000);
            fleet.carry_out(now, n, all);
            fleet.deliver_all(now);
            let all = fleet.members[n].finish_write(now, nth, WriteOutcome::Acknowledged(now));
            fleet.carry_out(now, n, all);
            fleet.deliver_all(now);
        }
        let (bytes, messages) = (
            fleet.bytes as u64 / WRITES,
            fleet.messages as f64 / WRITES as f64,
        );
        let held = |n: usize| fleet.members[n].status(now);
        let records: usize = (0..many)
            .map(|n| held(n).session_records + held(n).keyed_requests)
            .sum();
        let memory = (0..many).map(|n| held(n).record_bytes).sum::<usize>() / many;
        // Full replication: both records to all members before the write and after it, each acknowledged.
        let one = (memory * many)
            .checked_div(records)
            .unwrap_or(size_of::<Record>());
        let (say, answer) = (2 * 36 + 40 + 40, 36 + 24);
        let plain_bytes = 2 * (many - 1) * (say + answer);
        let plain_memory = 2 * WRITES as usize * one;
        println!(
            "{many:2} members: {bytes} bytes in {messages:.1} messages a write, {:.2} copies of a record, {} KiB each; \
             quiet {quiet} bytes a second each; all to all {plain_bytes} bytes, {many} copies, {} KiB each",
            records as f64 / (2 * WRITES) as f64,
            memory >> 10,
            plain_memory >> 10,
        );
    }
}
