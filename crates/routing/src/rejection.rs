//! Decides when a request is given up, and how it is rejected.

use crate::api::{Action, MILLISECOND, Ticks};
use crate::cluster_state::ClusterState;
use crate::request_state::RequestState;

/// Longest time before the gateway's shutdown at which a request is given up for lack of time. Half
/// of the typical latency is less, but for a class without answers the typical latency is a guess.
const MAX_SHUTDOWN_MARGIN: Ticks = 500 * MILLISECOND;

/// Whether a request can no longer be answered in time, or may not be attempted again.
pub(crate) fn must_give_up(cluster: &ClusterState, request: &RequestState) -> bool {
    let class = &cluster.classes[request.class];
    let half_typical = class.typical() / 2;
    let objective_left = request
        .timing
        .objective_left(class.config.latency_objective, cluster.now);
    let latest_arrival = cluster
        .retry_policy(request.class)
        .latest_arrival(&request.attempts, answer_by(cluster, request));
    let min_time = if ends_by_shutdown(cluster, request) {
        half_typical.min(MAX_SHUTDOWN_MARGIN)
    } else {
        half_typical
    };
    time_left(cluster, request) < min_time.max(1)
        || has_waited_enough(cluster, request)
        || request.attempts.started >= cluster.config.permissions.max_attempts
        || (class.config.late_factor <= 0.0 && objective_left < half_typical)
        || cluster.now >= latest_arrival
}

/// Time by which a request has to be answered: its client's deadline, or the gateway's shutdown if
/// that is earlier.
pub(crate) fn answer_by(cluster: &ClusterState, request: &RequestState) -> Ticks {
    let deadline = request.timing.deadline;
    cluster.shutdown_at.map_or(deadline, |at| at.min(deadline))
}

/// Whether the gateway's shutdown comes before a request's deadline.
fn ends_by_shutdown(cluster: &ClusterState, request: &RequestState) -> bool {
    answer_by(cluster, request) < request.timing.deadline
}

/// Time until a request has to be answered, less the time to hand over the request and its answer.
pub(crate) fn time_left(cluster: &ClusterState, request: &RequestState) -> Ticks {
    answer_by(cluster, request) - cluster.now - 2 * cluster.config.batch_interval
}

/// Whether a request that no server has received is to be given up near half of its time, so its
/// client can send it elsewhere.
///
/// This applies to the requests of lowest priority in a shortage, which are client retries and
/// requests over their tenant's quota, and to sets that have no primary or only silent, unlisted or
/// warming members. If that condition is short-lived, a request is given up that could have been
/// answered.
fn has_waited_enough(cluster: &ClusterState, request: &RequestState) -> bool {
    let set = &cluster.sets[request.set];
    let unavailable = |&member: &usize| {
        cluster.usable(member).is_none_or(|server| {
            server.health.is_silent() || cluster.warming_capacity(server).is_some()
        })
    };
    let unlikely_to_start = request.client_retry
        || request.over_quota
        || set.primary.server().is_none()
        || set.members.iter().all(unavailable);
    // Two intervals earlier: one until the timer expires, one to hand over the rejection.
    let waited = cluster.now - request.timing.arrived_at + 2 * cluster.retry_interval();
    let client_timeout = request.timing.deadline - request.timing.arrived_at;
    !request.attempts.reached_server && unlikely_to_start && waited * 2 >= client_timeout
}

/// The final answer to a request that is given up: shed where a client retry is harmless, else
/// failed.
pub(crate) fn reject(cluster: &ClusterState, index: usize, request: &RequestState) -> Action {
    let policy = cluster.retry_policy(request.class);
    if !policy.client_retry_is_harmless(&request.attempts) {
        return Action::Fail { request: index };
    }
    // The condition that kept the request waiting may be over after the time of its objective.
    let objective = cluster.classes[request.class].config.latency_objective;
    let permissions = &cluster.config.permissions;
    // Where only this gateway's shutdown prevents an answer, another gateway can take the request
    // at once.
    let retry_after = if permissions.retry_after && !ends_by_shutdown(cluster, request) {
        objective.min(permissions.max_retry_after)
    } else {
        0
    };
    Action::Shed {
        request: index,
        retry_after,
    }
}
