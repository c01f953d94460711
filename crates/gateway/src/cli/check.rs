//! `leverpoint check`: reads a configuration and prints the settings derived from it, or the invalid key.
//!
//! The printed text is part of the operators' interface: it keeps the names with which it was first released, even
//! where types and fields have other names since.

use std::fmt::Write as _;

use bpaf::{OptionParser, Parser, construct, long, positional};
use leverpoint_backpressure::Limits;
use leverpoint_config::ConfigError;
use leverpoint_config::node::{self, NodeConfig};
use leverpoint_config::operator::{self, OperatorConfig};
use leverpoint_gateway::{gateway, membership};
use leverpoint_membership::MembershipConfig;
use leverpoint_routing::api::{
    Consistency, DeduplicationScope, EndpointListConfig, Idempotency, Permissions, RequestClass,
    ServerProtection,
};

use crate::cli::{Output, operator_file_option, read_operator_file};

/// The options of `leverpoint check`.
#[derive(Clone, Debug)]
pub(super) enum Options {
    /// Prints the JSON schema of the operator's file.
    Schema,
    /// Reads these files and prints the settings derived from them.
    Files {
        /// Path of the operator's file; `None` for the defaults.
        operator: Option<String>,
        /// Path of the configuration, as `NODE_CONFIG` names it.
        file: String,
    },
}

/// Parses the options of `leverpoint check`.
pub(super) fn options() -> OptionParser<Options> {
    let file = positional::<String>("FILE").help("A configuration as NODE_CONFIG names one");
    let operator = operator_file_option();
    let schema = long("schema")
        .help("Prints the schema of the operator's file")
        .req_flag(Options::Schema);
    let files = construct!(Options::Files { operator, file });
    construct!([schema, files])
        .to_options()
        .descr("Reads a configuration and prints what it comes to, or the faulty key")
}

/// Returns the schema, or a description of the configuration.
///
/// # Errors
///
/// Names the key of the configuration or of the operator's file that is missing or invalid.
pub(super) fn run(options: Options) -> Result<Output, ConfigError> {
    let text = match options {
        Options::Schema => format!("{:#}\n", operator::schema()),
        Options::Files { operator, file } => {
            let node = node::from_file(&file, |_, _| None)?;
            describe(&node, &read_operator_file(operator)?)?
        }
    };
    Ok(Output::success(text))
}

/// Describes a configuration and the operator's file, a line for each part.
fn describe(node: &NodeConfig, operator: &OperatorConfig) -> Result<String, ConfigError> {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = describe_node(&mut out, node);
    let _ = writeln!(
        out,
        "{}",
        format_limits(&gateway::backpressure_limits(node, operator)?)
    );
    if let Some(settings) = membership::membership_settings(node, operator)? {
        let _ = writeln!(
            out,
            "member of {} at {}, zone {}, machine {}",
            settings.fleet, settings.address, settings.zone, settings.machine
        );
        let _ = writeln!(
            out,
            "{}, {} connections",
            format_membership_config(&settings.config),
            settings.max_connections
        );
    }
    if let Some(replication) = gateway::replication_settings(node, operator)? {
        let _ = writeln!(out, "{replication:?}");
    }
    Ok(out)
}

/// Describes what the configuration alone determines.
fn describe_node(out: &mut String, node: &NodeConfig) -> std::fmt::Result {
    let routing = &node.settings.routing;
    writeln!(out, "name {}, listens on {}", node.name, node.listen)?;
    writeln!(
        out,
        "discovery {}, gateway {} of {}",
        node.discovery, routing.gateway_index, routing.gateways
    )?;
    let limits = &node.limits;
    writeln!(
        out,
        "limits {} MiB, {} descriptors",
        limits.memory_bytes >> 20,
        limits.descriptors
    )?;
    for (name, class) in node.settings.class_names.iter().zip(&routing.classes) {
        writeln!(out, "command group {name}: {}", format_request_class(class))?;
    }
    writeln!(out, "customers {}", node.settings.tenant_names.join(", "))?;
    writeln!(out, "zones {}", node.settings.zone_names.join(", "))?;
    writeln!(out, "{}", format_endpoint_list(&routing.endpoint_list))?;
    writeln!(out, "{}", format_permissions(&routing.permissions))?;
    writeln!(out, "{}", format_server_protection(&routing.protection))
}

fn format_request_class(class: &RequestClass) -> String {
    format!(
        "GroupFacts {{ need: {}, effect: {}, target: {}, timeout: {}, benefit: {:?}, late: {:?} }}",
        format_consistency(class.consistency),
        format_idempotency(class.idempotency),
        class.latency_objective,
        class.timeout,
        class.priority_weight,
        class.late_factor
    )
}

fn format_consistency(consistency: Consistency) -> String {
    match consistency {
        Consistency::Any => "Any".to_owned(),
        Consistency::Bounded(staleness) => format!("Bounded({staleness})"),
        Consistency::Session => "Session".to_owned(),
        Consistency::Fresh => "Fresh".to_owned(),
        Consistency::Write => "Write".to_owned(),
    }
}

fn format_idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "Replayable".to_owned(),
        Idempotency::IdempotentByKey { window, scope } => {
            let scope = match scope {
                DeduplicationScope::Everywhere => "Everywhere",
                DeduplicationScope::Zone => "Zone",
                DeduplicationScope::Set => "Set",
            };
            format!("Keyed {{ window: {window}, reach: {scope} }}")
        }
        Idempotency::NonIdempotent => "Mutating".to_owned(),
    }
}

fn format_endpoint_list(config: &EndpointListConfig) -> String {
    format!(
        "ListKeeping {{ pushed: {}, names_primary: {}, ask_every: {} }}",
        config.pushed, config.names_primary, config.poll_interval
    )
}

fn format_permissions(permissions: &Permissions) -> String {
    format!(
        "Allowed {{ dispatches: {}, second_copies: {}, cancel: {}, probes: {}, peers: {}, \
         come_back: {}, longest_come_back: {} }}",
        permissions.max_attempts,
        permissions.hedged_requests,
        permissions.cancel,
        permissions.probes,
        permissions.gossip,
        permissions.retry_after,
        permissions.max_retry_after
    )
}

fn format_server_protection(protection: &ServerProtection) -> String {
    format!(
        "Guard {{ drain_grace: {}, only_draining_bars: {}, cold_share: {:?}, cold_time: {}, \
         fall_multiple: {:?}, fall_time: {} }}",
        protection.drain_grace,
        protection.only_draining_excludes,
        protection.slow_start_capacity,
        protection.slow_start_window,
        protection.overload_multiple,
        protection.overload_window
    )
}

fn format_limits(limits: &Limits) -> String {
    format!(
        "Caps {{ least_rate: {}, grace: {}, stall: {}, small: {}, proof: {}, one_peer: {}, customer: {}, slow: {}, \
         newcomers: {}, all: {}, connections: {}, arrivals: {}, come_back: {}, after_row: {}, kernel: {}, on: {} }}",
        limits.min_rate,
        limits.grace,
        limits.stall_timeout,
        limits.small_message,
        limits.proof_bytes,
        limits.per_connection,
        limits.per_tenant,
        limits.slow_total,
        limits.unproven_total,
        limits.total,
        limits.protected_connections,
        limits.arrivals_per_second,
        limits.retry_after,
        limits.ready_timeout,
        limits.kernel_buffer,
        limits.enabled
    )
}

fn format_membership_config(config: &MembershipConfig) -> String {
    format!(
        "Terms {{ beat: {}, answer: {}, asks: {}, patience: {}, spread: {}, most: {}, keeps: {}, settles: {} }}",
        config.probe_interval,
        config.probe_timeout,
        config.indirect_probes,
        config.suspicion_multiplier,
        config.retransmit_multiplier,
        config.max_members,
        config.dead_retention,
        config.join_delay
    )
}
