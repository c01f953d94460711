//! Updates latency, health, role and position of servers from the outcomes of attempts and probes,
//! and from announcements of primaries.

use crate::api::{
    Action, AttemptOutcome, FinishedAttempt, PrimaryAnnouncement, ServerReport, Ticks,
};
use crate::cluster_state::ClusterState;
use crate::outlier_detection::EjectionReason;
use crate::primary_tracking::Role;
use crate::request_state::InFlightAttempt;

/// Records how an attempt of a request of this class ended; returns whether a new primary has
/// become known.
#[must_use]
pub(crate) fn on_attempt_finished(
    cluster: &mut ClusterState,
    finished: &FinishedAttempt,
    attempt: &InFlightAttempt,
    class: usize,
    actions: &mut Vec<Action>,
) -> bool {
    let unanswered = cluster.servers[attempt.server].health.last_response() <= attempt.started_at;
    record_measurements(cluster, finished, attempt, class, unanswered);
    let primary_changed = match finished.outcome {
        AttemptOutcome::Answered
        | AttemptOutcome::Error
        | AttemptOutcome::Overloaded
        | AttemptOutcome::NotCaughtUp => {
            on_response(cluster, attempt.server, finished.report, actions)
        }
        AttemptOutcome::TimedOut | AttemptOutcome::NotConnected | AttemptOutcome::Reset => {
            if unanswered {
                on_unanswered(cluster, attempt.server, finished.outcome, actions);
            }
            false
        }
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => false,
    };
    let now = cluster.now;
    let health = &mut cluster.servers[attempt.server].health;
    match finished.outcome {
        AttemptOutcome::Error if health.is_failing() => {
            eject(cluster, attempt.server, EjectionReason::Failing, actions);
        }
        AttemptOutcome::Overloaded => health.on_overload(now),
        _ => {}
    }
    primary_changed
}

/// Records the latency, load and shortage that an attempt shows.
fn record_measurements(
    cluster: &mut ClusterState,
    finished: &FinishedAttempt,
    attempt: &InFlightAttempt,
    class: usize,
    unanswered: bool,
) {
    let (now, hold) = (cluster.now, cluster.replica_hold());
    cluster.servers[attempt.server]
        .latency
        .on_attempt_finished();
    record_shortage(cluster, attempt.server, finished.outcome, unanswered);
    if is_measured(finished.outcome) {
        record_latency(cluster, attempt.server, class, finished.elapsed);
    }
    let class_latency = &cluster.classes[class];
    let server = &mut cluster.servers[attempt.server];
    match finished.outcome {
        AttemptOutcome::Answered => record_answer(cluster, attempt, class, finished.elapsed),
        AttemptOutcome::Overloaded => server.latency.record_overload(
            class_latency.config.latency_objective,
            class_latency.typical(),
        ),
        AttemptOutcome::Error => server.health.on_error(),
        AttemptOutcome::NotCaughtUp if hold > 0 && finished.elapsed >= hold => {
            server.position.on_hold_expired(now);
        }
        _ => {}
    }
}

fn record_shortage(
    cluster: &mut ClusterState,
    server: usize,
    outcome: AttemptOutcome,
    unanswered: bool,
) {
    let role = cluster.set_of(server).role(server);
    if !shows_shortage(outcome, role) {
        return;
    }
    let health = &mut cluster.servers[server].health;
    let weight = health.shortage_weight(outcome, unanswered);
    let late = outcome != AttemptOutcome::Answered;
    cluster.recent_outcomes.record(role, late, weight);
}

fn record_latency(cluster: &mut ClusterState, server: usize, class: usize, elapsed: Ticks) {
    let typical = cluster.classes[class].typical();
    let state = &mut cluster.servers[server];
    let set = &mut cluster.sets[state.endpoint.set];
    let role_latency = set.role_latency_mut(set.role(server));
    state.latency.record(elapsed, typical, role_latency);
}

fn record_answer(
    cluster: &mut ClusterState,
    attempt: &InFlightAttempt,
    class: usize,
    elapsed: Ticks,
) {
    let warm = cluster
        .warming_capacity(&cluster.servers[attempt.server])
        .is_none();
    let class = &mut cluster.classes[class];
    let server = &mut cluster.servers[attempt.server];
    if warm {
        cluster.warm_throughput.record(class.attempt_cost());
    }
    class.record(elapsed);
    server.latency.record_concurrency(attempt.concurrency);
    server.health.on_answer();
}

/// Whether the time of an attempt measures the server's latency; the time of one that timed out is
/// a lower bound.
fn is_measured(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::TimedOut)
}

/// Whether an attempt counts in the shares of late attempts. At a primary one that finds no
/// capacity counts as well: a primary that lacks a connection for a read lacks it for writes, too.
fn shows_shortage(outcome: AttemptOutcome, role: Role) -> bool {
    let no_capacity = matches!(
        outcome,
        AttemptOutcome::NotConnected | AttemptOutcome::Overloaded
    );
    is_measured(outcome) || (role == Role::Primary && no_capacity)
}

fn on_unanswered(
    cluster: &mut ClusterState,
    server: usize,
    outcome: AttemptOutcome,
    actions: &mut Vec<Action>,
) {
    let (now, hold) = (cluster.now, cluster.replica_hold());
    let health = &mut cluster.servers[server].health;
    if health.on_unanswered(outcome, hold, now) {
        eject(cluster, server, EjectionReason::Silent, actions);
    }
}

/// Records a response of a server and its report, if any; returns whether a new primary has become
/// known.
#[must_use]
pub(crate) fn on_response(
    cluster: &mut ClusterState,
    server: usize,
    report: Option<ServerReport>,
    actions: &mut Vec<Action>,
) -> bool {
    let now = cluster.now;
    let Some(state) = cluster.servers.get_mut(server) else {
        return false;
    };
    state.latency.on_response(now);
    let confirmed_timeouts = state.health.on_response(now);
    let role = cluster.sets[state.endpoint.set].role(server);
    cluster
        .recent_outcomes
        .record_late(role, confirmed_timeouts);
    let Some(report) = report else {
        return false;
    };
    state.role.reported_at = Some(now);
    state.position.on_report(report.position);
    on_report(cluster, server, report, actions)
}

/// Records the role that a server reports; returns whether it is a new primary.
#[must_use]
pub(crate) fn on_report(
    cluster: &mut ClusterState,
    server: usize,
    report: ServerReport,
    actions: &mut Vec<Action>,
) -> bool {
    let now = cluster.now;
    let set_index = cluster.servers[server].endpoint.set;
    let set = &mut cluster.sets[set_index];
    if report.primary {
        let changed = set.primary.report(server, now);
        if changed {
            actions.push(Action::Log(format!(
                "replica set {set_index}: primary is server {server}"
            )));
            if cluster.config.permissions.gossip {
                actions.push(Action::AnnouncePrimary(PrimaryAnnouncement {
                    server,
                    at: now,
                }));
            }
        }
        return changed;
    }
    if set.primary.is(server) {
        set.primary.clear();
        actions.push(Action::Log(format!(
            "replica set {set_index}: server {server} is no longer primary"
        )));
    }
    false
}

/// Records a primary announced by another gateway, unless a report to this one is newer; returns
/// whether it is a change.
///
/// Announcements save gateways with few requests a round of rejected attempts; the cost is that a
/// false announcement spreads as well.
#[must_use]
pub(crate) fn on_announcement(
    cluster: &mut ClusterState,
    announcement: &PrimaryAnnouncement,
    actions: &mut Vec<Action>,
) -> bool {
    let at = announcement.at.min(cluster.now);
    let Some(state) = cluster.servers.get(announcement.server) else {
        return false;
    };
    let set_index = state.endpoint.set;
    let primary = &mut cluster.sets[set_index].primary;
    if !primary.is_older_than(at) || state.role.reported_at >= Some(at) {
        return false;
    }
    let changed = primary.report(announcement.server, at);
    if changed {
        actions.push(Action::Log(format!(
            "replica set {set_index}: primary is server {}, announced by another gateway",
            announcement.server
        )));
    }
    changed
}

/// Ejects a server; if it is a primary that is silent, the primary of its set becomes unknown.
pub(crate) fn eject(
    cluster: &mut ClusterState,
    server: usize,
    reason: EjectionReason,
    actions: &mut Vec<Action>,
) {
    let state = &mut cluster.servers[server];
    if state.health.eject(reason, cluster.now) {
        let reason = reason.as_str();
        actions.push(Action::Log(format!("server {server} ejected: {reason}")));
    }
    let set = state.endpoint.set;
    let primary = &mut cluster.sets[set].primary;
    if reason == EjectionReason::Silent && primary.is(server) {
        primary.clear();
        actions.push(Action::Log(format!(
            "replica set {set}: primary unknown, server {server} is silent"
        )));
    }
}
