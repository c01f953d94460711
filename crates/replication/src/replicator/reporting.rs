//! Status and metrics of a member, as operators see them.

use super::Replicator;
use crate::Ticks;
use crate::record::RecordValue;
use crate::status::ReplicationStatus;

impl Replicator {
    /// The status of this member. Scans all records, to count them by kind.
    #[must_use]
    pub fn status(&self, now: Ticks) -> ReplicationStatus {
        let state = &self.state;
        let count = |predicate: fn(&RecordValue) -> bool| {
            let records = state.store.iter();
            records.filter(|record| predicate(&record.value)).count()
        };
        let session_records = count(|value| matches!(value, RecordValue::Session(_)));
        let keyed_requests = count(|value| matches!(value, RecordValue::KeyedRequest(_)));
        ReplicationStatus {
            layout_version: state.layout_history.version(),
            oldest_layout_version: state.layout_history.oldest_version(),
            layouts_known: state.layout_history.is_known(),
            is_replica: state.is_replica(),
            has_layout_quorum: state.has_layout_quorum(now),
            in_sync: state.sync.layout_version >= state.layout_history.version(),
            session_records,
            keyed_requests,
            other_records: state.store.len() - session_records - keyed_requests,
            record_bytes: state.store.bytes(),
            low_watermark: state.store.low_watermark(),
            data_lost_until: state.sync.data_lost_until,
            queue_sizes: self.coordinator.queue_sizes(),
            serving_without_quorum: state.degraded.open_writes > 0,
            unaccounted_members: state.unaccounted_members(now).map(str::to_owned).collect(),
            last_repair: self.anti_entropy.last_repair(),
            counters: state.counters,
        }
    }

    /// The metrics of this member as one line of space-separated `name=value` pairs.
    #[must_use]
    pub fn metrics_line(&self, now: Ticks) -> String {
        let (state, sizes) = (&self.state, self.coordinator.queue_sizes());
        let queues = format!(
            "copies.waiting={} copies.open={} copies.parked={} copies.queued={}",
            sizes.pending, sizes.open_writes, sizes.hinted, sizes.queued
        );
        format!(
            "copies.layout={} copies.base={} copies.whole={} copies.touch={} copies.records={} copies.bytes={} \
             copies.floor={} {queues} {} copies.unseen={}",
            state.layout_history.version(),
            state.layout_history.oldest_version(),
            state.sync.layout_version,
            state.has_layout_quorum(now),
            state.store.len(),
            state.store.bytes(),
            state.store.low_watermark(),
            state.counters.metrics(),
            state.unaccounted_members(now).count()
        )
    }
}
