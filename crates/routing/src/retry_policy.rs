//! Retry policy: until when and in which zones a request may be attempted again without the risk of
//! a second effect.

use crate::api::{DeduplicationScope, Idempotency, Ticks};
use crate::request_state::AttemptHistory;

/// Attempts and client retries that the idempotency of a request class permits.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    idempotency: Idempotency,
    /// Safety margin before the end of a deduplication window.
    batch_interval: Ticks,
}

impl RetryPolicy {
    /// The policy for this idempotency, where attempts are handed over once per `batch_interval`.
    #[must_use]
    pub fn new(idempotency: Idempotency, batch_interval: Ticks) -> Self {
        RetryPolicy {
            idempotency,
            batch_interval,
        }
    }

    /// Latest time at which the last byte of another attempt may arrive at its server without the
    /// risk of a second effect.
    ///
    /// The deduplication window runs from the first attempt that may have executed. A server
    /// executes a statement when its last byte arrives, so an attempt that has begun in time is
    /// not yet permitted.
    #[must_use]
    pub fn latest_arrival(&self, attempts: &AttemptHistory, client_deadline: Ticks) -> Ticks {
        match (attempts.possibly_executed, self.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => client_deadline,
            (_, Idempotency::NonIdempotent) => Ticks::MIN,
            (Some(execution), Idempotency::IdempotentByKey { window, .. }) => {
                client_deadline.min(execution.since + window - self.batch_interval)
            }
        }
    }

    /// Whether a server of this zone may get another attempt.
    ///
    /// Where only the zone of the first execution drops duplicates, a keyed request that may have
    /// executed stays there.
    #[must_use]
    pub fn permits_zone(&self, attempts: &AttemptHistory, zone: usize) -> bool {
        let zone_scope = matches!(
            self.idempotency,
            Idempotency::IdempotentByKey {
                scope: DeduplicationScope::Zone,
                ..
            }
        );
        !zone_scope
            || attempts
                .possibly_executed
                .is_none_or(|execution| execution.zone == zone)
    }

    /// Whether the client may send the request again without the risk of a second effect.
    #[must_use]
    pub fn client_retry_is_harmless(&self, attempts: &AttemptHistory) -> bool {
        let never_executed = attempts.possibly_executed.is_none() && attempts.in_flight.is_empty();
        never_executed
            || match self.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::IdempotentByKey { scope, .. } => {
                    scope == DeduplicationScope::Everywhere
                }
                Idempotency::NonIdempotent => false,
            }
    }
}
