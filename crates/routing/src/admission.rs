//! Admission: whether a server has capacity for a request, and in which order requests are served.
//!
//! A request is sent to a server only if an answer there is likely well within its latency
//! objective. Requests that find no capacity wait in the gateway and are tried again in the order
//! of their priority.

use crate::api::Ticks;
use crate::cluster_state::ClusterState;
use crate::request_queue::RequestQueue;
use crate::request_state::{Phase, RequestState};

/// Share of the time left that the expected latency of an answer may take. With a share of 1 queues
/// would grow until every answer is just late.
const MAX_OBJECTIVE_SHARE: f64 = 0.6;
/// Reduction of that share in a full shortage, for a request of priority 0.
const SHORTAGE_REDUCTION: f64 = 0.3;
/// Linear function from the priority of a first request to that of a client retry. In a full
/// shortage it leaves less than a tenth of the objective to a retry of the least priority, so retry
/// storms leave capacity to first requests.
const CLIENT_RETRY_SCALE: f64 = 0.3;
const CLIENT_RETRY_OFFSET: f64 = 0.7;

/// Whether a server has capacity for a request.
///
/// A wrong measurement keeps a healthy server idle until it has decayed, which takes seconds.
pub(crate) fn has_capacity(cluster: &ClusterState, request: &RequestState, server: usize) -> bool {
    let class = &cluster.classes[request.class];
    let objective = class.config.latency_objective;
    let objective_left = request.timing.objective_left(objective, cluster.now);
    // Past its objective a request is allowed the fraction of it that a late answer still earns.
    let available = if objective_left > 0 {
        objective_left as f64
    } else {
        objective as f64 * class.config.late_factor
    };
    let priority = if class.primary_only() {
        1.0
    } else {
        priority(cluster, request)
    };
    let shortage = cluster.recent_outcomes.shortage();
    let limit =
        available * (MAX_OBJECTIVE_SHARE - SHORTAGE_REDUCTION * shortage * (1.0 - priority));
    !cluster.servers[server].health.is_overloaded(cluster.now)
        && cluster.expected_latency(request.class, server) as f64 <= limit
        && cluster.warmup_allows(server)
}

/// Priority weight of a request per tick of work, relative to the highest of all classes.
pub(crate) fn priority(cluster: &ClusterState, request: &RequestState) -> f64 {
    let weight = cluster.classes[request.class].weight_per_tick();
    let mut priority = (weight / cluster.max_weight_per_tick).min(1.0);
    if request.over_quota {
        priority *= cluster.config.over_quota_weight;
    }
    if request.client_retry {
        priority * CLIENT_RETRY_SCALE - CLIENT_RETRY_OFFSET
    } else {
        priority
    }
}

/// Queues the waiting requests again, in the order of priority, then of arrival.
pub(crate) fn requeue_waiting(
    queue: &mut RequestQueue,
    cluster: &ClusterState,
    requests: &[RequestState],
) {
    let arrived_at = |request: usize| -> Ticks { requests[request].timing.arrived_at };
    let mut waiting = queue.take_waiting();
    waiting.sort_by(|&a, &b| {
        priority(cluster, &requests[b])
            .total_cmp(&priority(cluster, &requests[a]))
            .then(arrived_at(a).cmp(&arrived_at(b)))
    });
    for request in waiting {
        let state = &requests[request];
        if state.phase != Phase::Waiting {
            continue;
        }
        if state.attempts.retrying {
            queue.push_retry(request);
        } else {
            queue.push_first_attempt(request);
        }
    }
}
