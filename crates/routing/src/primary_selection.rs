//! Selects the primary for a request that only the primary may answer, and searches for it while it
//! is unknown.

use crate::admission;
use crate::api::{Consistency, MILLISECOND, ReplicaCheck, Ticks};
use crate::cluster_state::ClusterState;
use crate::request_state::RequestState;

/// Time after which a member that is not the primary is tried again; an election takes longer.
const MEMBER_RETRY_INTERVAL: Ticks = 300 * MILLISECOND;
/// Time without an attempt or a report in a set after which a waiting request may use more of its
/// attempts.
const SET_IDLE_PERIOD: Ticks = 500 * MILLISECOND;

/// Selects a server for a request that only the primary may answer: the primary where it has
/// capacity, or a member to try while the primary is unknown.
pub(crate) fn select_primary(
    cluster: &mut ClusterState,
    request: &RequestState,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    if let Some(primary) = cluster.sets[request.set].primary.server() {
        let admitted =
            cluster.usable(primary).is_some() && admission::has_capacity(cluster, request, primary);
        return (admitted && !is_hung_at_shutdown(cluster, primary)).then_some(primary);
    }
    if !may_search(cluster, request) {
        return None;
    }
    let member = select_member(cluster, request, rng)?;
    cluster.servers[member].role.tried_at = Some(cluster.now);
    Some(member)
}

/// Whether the gateway shuts down and the primary has left an attempt without a response since it
/// last responded.
///
/// There is no time left to find out whether it hangs. A request that waits can still be shed at
/// shutdown, while one that was sent may have been executed and can only be failed.
fn is_hung_at_shutdown(cluster: &ClusterState, primary: usize) -> bool {
    cluster.shutdown_at.is_some() && cluster.servers[primary].health.is_unresponsive()
}

/// Whether a request may try members while the primary is unknown.
///
/// A request may use half of its attempts for the search. Once no member of the set has been tried
/// or has reported for [`SET_IDLE_PERIOD`] it may use all but the last, so a set whose primary
/// returns late still gets the writes that wait for it.
fn may_search(cluster: &ClusterState, request: &RequestState) -> bool {
    let consistency = cluster.classes[request.class].config.consistency;
    let unchecked =
        consistency == Consistency::Fresh && cluster.config.replica_check == ReplicaCheck::None;
    let set_idle = cluster.sets[request.set]
        .members
        .iter()
        .filter_map(|&member| cluster.servers[member].role.last_contact())
        .max()
        .is_none_or(|at| cluster.now - at >= SET_IDLE_PERIOD);
    let started = request.attempts.started;
    let used = if set_idle { started + 1 } else { started * 2 };
    !unchecked && used < cluster.config.permissions.max_attempts
}

/// Selects the member to try: one that is not ejected before one that is, then the one that
/// reported longest ago or never. Ties are broken at random, so gateways do not all try the same
/// member.
fn select_member(
    cluster: &ClusterState,
    request: &RequestState,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let now = cluster.now;
    let mut selected: Option<(_, usize)> = None;
    for &member in &cluster.sets[request.set].members {
        let Some(state) = cluster.usable(member) else {
            continue;
        };
        let ejected = state.health.is_ejected(now);
        let excluded = request.attempts.failed_servers.contains(&member)
            || (ejected && state.latency.in_flight > 0)
            || state.health.is_overloaded(now);
        let recently_tried = state
            .role
            .last_contact()
            .is_some_and(|at| now - at < MEMBER_RETRY_INTERVAL);
        if excluded || recently_tried || !cluster.warmup_allows(member) {
            continue;
        }
        let key = (ejected, state.role.reported_at, rng.u32(..));
        if selected.is_none_or(|(selected_key, _)| key < selected_key) {
            selected = Some((key, member));
        }
    }
    selected.map(|(_, member)| member)
}
