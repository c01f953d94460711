//! `leverpoint members`: queries a running gateway for the members it knows, or has it change the layout.

use std::fmt::Write;
use std::net::SocketAddr;

use bpaf::{OptionParser, Parser, construct, long};
use leverpoint_config::operator;
use leverpoint_gateway::membership::{fleet_identity, random_numbers, status_name};
use leverpoint_membership::{MemberSummary, Ticks};
use leverpoint_peer_transport::{AdminRequest, AdminResponse, admin_client};
use serde::Serialize;
use tokio::task::LocalSet;

use crate::cli::Output;

/// The options of `leverpoint members`.
#[derive(Clone, Debug)]
pub(super) struct Options {
    member: MemberAddress,
    json: bool,
    change: Option<LayoutRequest>,
}

/// A change of the layout that an operator requests.
#[derive(Clone, Debug)]
enum LayoutRequest {
    /// Removes the replica holder of this name.
    Remove(String),
    /// Creates the first layout of a new fleet.
    Bootstrap,
}

/// Parses the options of `leverpoint members`.
pub(super) fn options() -> OptionParser<Options> {
    let member = member_address();
    let json = long("json").help("Prints one JSON object").switch();
    let remove = long("remove").help("Removes a holder that will not come back from the layout");
    let remove = remove.argument::<String>("NAME").map(LayoutRequest::Remove);
    let bootstrap = long("bootstrap")
        .help("Has the founders of a new fleet agree on the first layout")
        .req_flag(LayoutRequest::Bootstrap);
    let change = construct!([remove, bootstrap]).optional();
    let all = construct!(Options {
        json,
        change,
        member
    });
    all.to_options()
        .descr("Shows the members that a running gateway knows, and the current layout")
}

/// Where to reach the running member that is queried.
#[derive(Clone, Debug)]
pub(super) struct MemberAddress {
    /// Path of the operator's file, which has the fleet's name and keys.
    pub operator: String,
    /// The member's address; `None` for `members.listen` of the operator's file.
    pub address: Option<SocketAddr>,
}

/// Parses the options `--operator` and `--at`, which name the member to query.
pub(super) fn member_address() -> impl Parser<MemberAddress> {
    let operator =
        long("operator").help("Path of the operator's file: fleet name, keys and address");
    let operator = operator.argument::<String>("FILE");
    let address = long("at").help("Address of the member; default: members.listen of the file");
    let address = address.argument::<SocketAddr>("ADDRESS").optional();
    construct!(MemberAddress { operator, address })
}

/// Sends a request to a running member and returns the response.
///
/// # Errors
///
/// Returns a line of text: the operator's file is invalid or has no `members.listen`, or the member does not respond.
pub(super) fn ask_member(
    member: &MemberAddress,
    request: AdminRequest,
) -> Result<AdminResponse, String> {
    let operator_config =
        operator::from_file(&member.operator).map_err(|error| error.to_string())?;
    let membership = operator_config
        .membership("operator", "", 1 << 16)
        .map_err(|error| error.to_string())?;
    let membership = membership
        .ok_or_else(|| format!("{}: members.listen: expected an address", member.operator))?;
    let address = member.address.unwrap_or(membership.listen);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let response = admin_client::send_admin_request(
        address,
        fleet_identity(&membership),
        request,
        random_numbers(),
    );
    let response = LocalSet::new().block_on(&runtime, response);
    response.map_err(|error| format!("{address}: {error}"))
}

/// Sends the request that the options describe and formats the response.
///
/// # Errors
///
/// Returns a line of text: the member cannot be queried, or it refuses the request.
pub(super) fn run(options: &Options) -> Result<Output, String> {
    let request = match &options.change {
        Some(LayoutRequest::Remove(name)) => AdminRequest::Remove { name: name.clone() },
        Some(LayoutRequest::Bootstrap) => AdminRequest::Bootstrap,
        None => AdminRequest::Members,
    };
    match ask_member(&options.member, request)? {
        AdminResponse::Members {
            status: member_status,
            layout_version: version,
            holders,
            members: summaries,
        } => {
            let text = if options.json {
                members_json(&member_status, version, holders, &summaries)?
            } else {
                members_table(&member_status, version, holders, &summaries)
            };
            Ok(Output::success(text))
        }
        AdminResponse::Done => Ok(Output::success("asked for\n".to_owned())),
        AdminResponse::Refused { reason: refusal } => Err(refusal),
        _ => Err("unexpected response from the member".to_owned()),
    }
}

/// A member as `members --json` prints it; the names in the output are part of the operators' interface.
#[derive(Serialize)]
struct MemberJson<'a> {
    name: &'a str,
    zone: &'a str,
    machine: &'a str,
    address: &'a str,
    #[serde(rename = "life")]
    incarnation_number: u64,
    /// In hexadecimal.
    #[serde(rename = "memory")]
    storage_id: String,
    #[serde(rename = "seen")]
    status: &'a str,
    #[serde(rename = "since_ms")]
    status_age_ms: Ticks,
    #[serde(rename = "heard_ms")]
    silent_for_ms: Option<Ticks>,
    #[serde(rename = "holds")]
    in_layout: bool,
    #[serde(rename = "program")]
    program_version: &'a str,
    #[serde(rename = "me")]
    is_self: bool,
}

/// Formats the response as one JSON object.
fn members_json(
    status: &str,
    version: u64,
    holders: u32,
    summaries: &[MemberSummary],
) -> Result<String, String> {
    let member_json = |summary: &'_ MemberSummary| {
        let info = &summary.info;
        serde_json::to_value(MemberJson {
            name: &info.name,
            zone: &info.zone,
            machine: &info.machine,
            address: &info.address,
            incarnation_number: info.incarnation.number,
            storage_id: format!("{:016x}", info.incarnation.storage_id),
            status: status_name(summary.status),
            status_age_ms: summary.status_age / 10,
            silent_for_ms: summary.silent_for.map(|ticks| ticks / 10),
            in_layout: summary.in_layout,
            program_version: &info.program_version,
            is_self: summary.is_self,
        })
    };
    let members = summaries
        .iter()
        .map(member_json)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| e.to_string())?;
    let all = serde_json::json!({
        "stand": status, "layout": version, "holders": holders, "members": members,
    });
    Ok(format!("{all}\n"))
}

/// Formats the response as a heading and a table; the member that was queried is marked with `*`.
fn members_table(status: &str, version: u64, holders: u32, summaries: &[MemberSummary]) -> String {
    let seconds = |ticks: Ticks| format!("{:.1}s", ticks as f64 / 1e4);
    let mut rows = vec![
        [
            "name", "zone", "machine", "life", "seen", "since", "heard", "holds", "program",
            "address",
        ]
        .map(String::from),
    ];
    rows.extend(summaries.iter().map(|summary| {
        let info = &summary.info;
        [
            if summary.is_self {
                format!("{}*", info.name)
            } else {
                info.name.clone()
            },
            info.zone.clone(),
            info.machine.clone(),
            info.incarnation.number.to_string(),
            status_name(summary.status).to_owned(),
            if summary.is_self {
                "-".to_owned()
            } else {
                seconds(summary.status_age)
            },
            summary.silent_for.map_or("-".to_owned(), seconds),
            if summary.in_layout { "yes" } else { "no" }.to_owned(),
            info.program_version.clone(),
            info.address.clone(),
        ]
    }));
    let mut out =
        format!("stand {status}, layout {version} with {holders} holders; * is who was asked\n");
    out += &format_table(&rows);
    out
}

/// Formats rows as a table whose columns are as wide as their widest cell, without trailing spaces.
pub(super) fn format_table<const N: usize>(rows: &[[String; N]]) -> String {
    let widths: Vec<usize> = (0..N)
        .map(|n| rows.iter().map(|row| row[n].len()).max().unwrap_or(0))
        .collect();
    let mut out = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}
