//! When a request is given up, and how it is rejected.

use crate::api::{Action, MILLISECOND, Ticks};
use crate::cluster_state::ClusterState;
use crate::request_state::RequestState;

/// Time before the gateway's shutdown within which a request may be given up. Half of a usual answer
/// is less, but for a class without answers the usual one is a guess.
const MAX_SHUTDOWN_MARGIN: Ticks = 500 * MILLISECOND;

/// Whether a request can no longer be answered in time, or may not be attempted again.
pub(crate) fn must_give_up(cluster: &ClusterState, request: &RequestState) -> bool {
    let class = &cluster.classes[request.class];
    let half_answer = class.typical() / 2;
    let objective_left = request
        .timing
        .objective_left(class.config.latency_objective, cluster.now);
    let latest_start = cluster
        .retry_policy(request.class)
        .latest_start(&request.attempts, answer_by(cluster, request));
    let least_time = if ends_by_shutdown(cluster, request) {
        half_answer.min(MAX_SHUTDOWN_MARGIN)
    } else {
        half_answer
    };
    time_left(cluster, request) < least_time.max(1)
        || has_waited_enough(cluster, request)
        || request.attempts.started >= cluster.config.permissions.max_attempts
        || (class.config.late_factor <= 0.0 && objective_left < half_answer)
        || cluster.now >= latest_start
}

/// By when a request has to be answered: its client's deadline, or the gateway's shutdown if that is
/// earlier.
pub(crate) fn answer_by(cluster: &ClusterState, request: &RequestState) -> Ticks {
    let deadline = request.timing.deadline;
    cluster.shutdown_at.map_or(deadline, |at| at.min(deadline))
}

/// Whether the gateway's shutdown comes before a request's deadline.
fn ends_by_shutdown(cluster: &ClusterState, request: &RequestState) -> bool {
    answer_by(cluster, request) < request.timing.deadline
}

/// Time until a request has to be answered, less what handing over it and its answer takes.
pub(crate) fn time_left(cluster: &ClusterState, request: &RequestState) -> Ticks {
    answer_by(cluster, request) - cluster.now - 2 * cluster.config.batch_interval
}

/// Whether a request that no server has received is to be given up near half of its time, so its
/// client can send it elsewhere.
///
/// That holds for what comes last in a shortage, and where a set has no primary or only silent,
/// unlisted or warming members. In a trouble that is over soon, such a request is given up though
/// it could have been answered.
fn has_waited_enough(cluster: &ClusterState, request: &RequestState) -> bool {
    let set = &cluster.sets[request.set];
    let unavailable = |&member: &usize| {
        cluster.usable(member).is_none_or(|server| {
            server.health.is_silent() || cluster.warming_capacity(server).is_some()
        })
    };
    let unpromising = request.client_retry
        || request.over_quota
        || set.primary.server().is_none()
        || set.members.iter().all(unavailable);
    // Two intervals earlier: one that wakes the gateway, one for the way back.
    let waited = cluster.now - request.timing.arrived_at + 2 * cluster.retry_interval();
    let patience = request.timing.deadline - request.timing.arrived_at;
    !request.attempts.reached_server && unpromising && waited * 2 >= patience
}

/// The final answer to a request that is given up: shed where a client retry is harmless, else
/// failed.
pub(crate) fn reject(cluster: &ClusterState, index: usize, request: &RequestState) -> Action {
    let policy = cluster.retry_policy(request.class);
    if !policy.client_retry_is_harmless(&request.attempts) {
        return Action::Fail { request: index };
    }
    // What the request waited for may be over after the time of its latency objective.
    let objective = cluster.classes[request.class].config.latency_objective;
    let permissions = &cluster.config.permissions;
    // Where only this gateway's shutdown is in the way, another gateway can take the request at once.
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
