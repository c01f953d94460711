//! Selects a server for reads that a replica may answer.
//!
//! The selected replica is the one with the fewest attempts in flight among those known to cover
//! the required position, else the least loaded of those nearest to it. Ties go to this gateway's
//! zone, then at random in proportion to size and speed. A read that no replica can take overflows
//! to the primary.

use crate::admission;
use crate::api::{Consistency, MILLISECOND, ReplicaCheck, Ticks};
use crate::cluster_state::{ClusterState, Server};
use crate::primary_selection;
use crate::request_state::RequestState;

/// Lag above which a replica is preferred for reads without a required position; above the usual
/// lag, and far below the bound of any [`Consistency::Bounded`] class.
const MIN_PREFERRED_LAG: Ticks = 400 * MILLISECOND;
/// Gaps below this count as equal, so load decides between them.
const GAP_STEP: Ticks = 100 * MILLISECOND;
/// Least size that is assumed of a server, also if it is listed with less.
const MIN_SIZE: f64 = 0.01;
/// Exponent of the probability of an overflow, whose base is the share of in-time attempts at
/// primaries.
const OVERFLOW_EXPONENT: i32 = 8;
/// In-time attempts that are added to those at primaries as a prior.
const OVERFLOW_PRIOR: f64 = 4.0;

/// Classes of distance from a required position, in order of preference.
mod gap {
    /// Known to cover it.
    pub(super) const COVERED: i64 = 0;
    /// Believed to cover it by now.
    pub(super) const BELIEVED: i64 = 1;
    /// Not believed to cover it; the class grows with the logarithm of the distance.
    pub(super) const BEHIND: i64 = 2;
}

/// How certain it must be that a replica covers the required position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    Known,
    Believed,
    /// The nearest replica will do, as it checks the position itself.
    Any,
}

impl Certainty {
    fn max_gap(self) -> i64 {
        match self {
            Certainty::Known => gap::COVERED,
            Certainty::Believed => gap::BELIEVED,
            Certainty::Any => i64::MAX,
        }
    }
}

/// Selects a server for a request of any class.
pub(crate) fn select_server(
    cluster: &mut ClusterState,
    request: &RequestState,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let class = &cluster.classes[request.class];
    if class.primary_only() {
        return primary_selection::select_primary(cluster, request, rng);
    }
    let required = match class.config.consistency {
        Consistency::Session => request.required_position,
        Consistency::Bounded(bound) => Some(cluster.now - bound),
        Consistency::Any | Consistency::Fresh | Consistency::Write => None,
    };
    let stale = request.attempts.rejected_as_stale;
    let mut replica = |certainty| select_replica(cluster, request, required, certainty, rng);
    if cluster.now < request.timing.wait_for_replica_until && !stale {
        return replica(Certainty::Believed);
    }
    let unchecked = cluster.config.replica_check == ReplicaCheck::None;
    let certainty = if unchecked || stale {
        Certainty::Known
    } else {
        Certainty::Any
    };
    replica(certainty)
        .or_else(|| overflow_to_primary(cluster, request, required))
        .or_else(|| {
            let last_resort = stale && !unchecked;
            last_resort.then(|| replica(Certainty::Believed)).flatten()
        })
}

fn select_replica(
    cluster: &ClusterState,
    request: &RequestState,
    required: Option<Ticks>,
    certainty: Certainty,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut selected: Option<(_, usize)> = None;
    for &member in &cluster.sets[request.set].members {
        let Some(state) = cluster.usable(member) else {
            continue;
        };
        if !is_candidate(cluster, request, member, required.is_some()) {
            continue;
        }
        let waiting = cluster.now < request.timing.wait_for_replica_until;
        let gap = position_gap(state, required, waiting, cluster.now);
        if gap > certainty.max_gap() {
            continue;
        }
        // A random draw in proportion to size and speed, as the counts of a quiet gateway are
        // mostly zero.
        let mean_time = state.latency.mean_relative() as f64 / state.endpoint.size.max(MIN_SIZE);
        let key = (
            gap,
            state.latency.in_flight,
            state.endpoint.zone != cluster.config.zone,
            (-mean_time * (1.0 - rng.f64()).ln()) as i64,
        );
        if selected.is_none_or(|(selected_key, _)| key < selected_key) {
            selected = Some((key, member));
        }
    }
    selected.map(|(_, member)| member)
}

fn is_candidate(
    cluster: &ClusterState,
    request: &RequestState,
    member: usize,
    position_required: bool,
) -> bool {
    let now = cluster.now;
    let state = &cluster.servers[member];
    let excluded = state.health.is_ejected(now)
        || (state.health.is_on_probation() && state.latency.in_flight > 0)
        || (position_required && state.position.is_stale(now));
    !cluster.sets[request.set].primary.is(member)
        && !excluded
        && !request.attempts.failed_servers.contains(&member)
        && admission::has_capacity(cluster, request, member)
}

/// Distance of a replica from the required position, as one of the classes in [`gap`].
///
/// Reads without a required position prefer the replica that lags most, if it lags at all: reads
/// that require a position cannot go there, and all gateways see the same positions and choose the
/// same one. That replica fills up first.
fn position_gap(state: &Server, required: Option<Ticks>, waiting: bool, now: Ticks) -> i64 {
    let reported = state.position.reported;
    let believed = state.position.believed(state.role.reported_at, now);
    let Some(required) = required else {
        return match reported {
            Some(position) if now - believed > MIN_PREFERRED_LAG => position - now,
            _ => gap::COVERED,
        };
    };
    match reported {
        Some(position) if position >= required => gap::COVERED,
        // A read that waits for a replica is not sent to one that has reported no position.
        None if waiting => gap::BEHIND,
        _ => match required - believed {
            distance if distance <= 0 => gap::BELIEVED,
            distance => gap::BEHIND + i64::from((distance / GAP_STEP).max(1).ilog2()),
        },
    }
}

/// Selects the primary for a read that no replica can take, if it has capacity.
///
/// The probability falls steeply with the share of attempts at primaries that end late, which
/// protects writes from the reads of many gateways. A primary that is slow for another reason gets
/// fewer reads for some seconds.
fn overflow_to_primary(
    cluster: &ClusterState,
    request: &RequestState,
    required: Option<Ticks>,
) -> Option<usize> {
    let primary = cluster.sets[request.set].primary.server()?;
    let state = cluster.usable(primary)?;
    let position_unknown = required.is_some()
        && cluster.config.replica_check == ReplicaCheck::None
        && state.role.reported_at.is_none();
    let in_time = cluster.recent_outcomes.primary_in_time(OVERFLOW_PRIOR);
    let protected = request.overflow_draw > in_time.powi(OVERFLOW_EXPONENT);
    let admitted = !position_unknown
        && !protected
        && !state.health.may_be_gone()
        && admission::has_capacity(cluster, request, primary);
    admitted.then_some(primary)
}
