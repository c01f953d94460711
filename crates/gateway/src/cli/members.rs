//! `leverpoint members`: asks a running gateway for the members it knows, or to remove one from the layout.

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

/// The options of the subcommand.
#[derive(Clone, Debug)]
pub(super) struct Options {
    member: MemberAddress,
    json: bool,
    change: Option<LayoutRequest>,
}

/// A change of the layout that an operator asks for.
#[derive(Clone, Debug)]
enum LayoutRequest {
    Remove(String),
    Bootstrap,
}

/// Parses the options.
pub(super) fn options() -> OptionParser<Options> {
    let member = member_address();
    let json = long("json").help("One object of JSON").switch();
    let remove = long("remove").help("Has a holder that does not come back leave the layout");
    let remove = remove.argument::<String>("NAME").map(LayoutRequest::Remove);
    let bootstrap = long("bootstrap")
        .help("Has the founders of a new fleet agree on a layout")
        .req_flag(LayoutRequest::Bootstrap);
    let change = construct!([remove, bootstrap]).optional();
    let all = construct!(Options {
        json,
        change,
        member
    });
    all.to_options()
        .descr("Shows who of the fleet a running gateway sees, and the layout agreed on")
}

/// The running member to ask.
#[derive(Clone, Debug)]
pub(super) struct MemberAddress {
    pub operator: String,
    pub at: Option<SocketAddr>,
}

/// Parses the options that name the member.
pub(super) fn member_address() -> impl Parser<MemberAddress> {
    let operator =
        long("operator").help("The operator's file, for the fleet, its keys and the address");
    let operator = operator.argument::<String>("FILE");
    let at = long("at").help("The link's address; else the file's members.listen");
    let at = at.argument::<SocketAddr>("ADDRESS").optional();
    construct!(MemberAddress { operator, at })
}

/// Asks a running member and returns its answer.
pub(super) fn ask_member(
    member: &MemberAddress,
    question: AdminRequest,
) -> Result<AdminResponse, String> {
    let file = operator::from_file(&member.operator).map_err(|fault| fault.to_string())?;
    let membership = file
        .membership("operator", "", 1 << 16)
        .map_err(|fault| fault.to_string())?;
    let membership = membership
        .ok_or_else(|| format!("{}: members.listen: expected an address", member.operator))?;
    let at = member.at.unwrap_or(membership.listen);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let asking = admin_client::send_admin_request(
        at,
        fleet_identity(&membership),
        question,
        random_numbers(),
    );
    LocalSet::new().block_on(&runtime, asking)
}

/// Asks the member and formats its answer.
pub(super) fn run(options: &Options) -> Result<Output, String> {
    let question = match &options.change {
        Some(LayoutRequest::Remove(name)) => AdminRequest::Remove { name: name.clone() },
        Some(LayoutRequest::Bootstrap) => AdminRequest::Bootstrap,
        None => AdminRequest::Members,
    };
    match ask_member(&options.member, question)? {
        AdminResponse::Members {
            status: stand,
            layout_version: version,
            holders,
            members: lines,
        } => {
            let text = if options.json {
                json(&stand, version, holders, &lines)?
            } else {
                table(&stand, version, holders, &lines)
            };
            Ok(Output::success(text))
        }
        AdminResponse::Done => Ok(Output::success("asked for\n".to_owned())),
        AdminResponse::Refused { reason: why } => Err(why),
        _ => Err("it answers something else".to_owned()),
    }
}

/// A member as it is printed in JSON.
#[derive(Serialize)]
struct MemberJson<'a> {
    name: &'a str,
    zone: &'a str,
    machine: &'a str,
    address: &'a str,
    life: u64,
    memory: String,
    seen: &'a str,
    since_ms: Ticks,
    heard_ms: Option<Ticks>,
    holds: bool,
    program: &'a str,
    me: bool,
}

fn json(
    stand: &str,
    version: u64,
    holders: u32,
    lines: &[MemberSummary],
) -> Result<String, String> {
    let one = |line: &'_ MemberSummary| {
        let card = &line.info;
        serde_json::to_value(MemberJson {
            name: &card.name,
            zone: &card.zone,
            machine: &card.machine,
            address: &card.address,
            life: card.incarnation.number,
            memory: format!("{:016x}", card.incarnation.storage_id),
            seen: status_name(line.status),
            since_ms: line.status_age / 10,
            heard_ms: line.silent_for.map(|ago| ago / 10),
            holds: line.in_layout,
            program: &card.program_version,
            me: line.is_self,
        })
    };
    let members = lines
        .iter()
        .map(one)
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| e.to_string())?;
    let all = serde_json::json!({
        "stand": stand, "layout": version, "holders": holders, "members": members,
    });
    Ok(format!("{all}\n"))
}

fn table(stand: &str, version: u64, holders: u32, lines: &[MemberSummary]) -> String {
    let seconds = |ticks: Ticks| format!("{:.1}s", ticks as f64 / 1e4);
    let mut rows = vec![
        [
            "name", "zone", "machine", "life", "seen", "since", "heard", "holds", "program",
            "address",
        ]
        .map(String::from),
    ];
    rows.extend(lines.iter().map(|line| {
        let card = &line.info;
        [
            if line.is_self {
                format!("{}*", card.name)
            } else {
                card.name.clone()
            },
            card.zone.clone(),
            card.machine.clone(),
            card.incarnation.number.to_string(),
            status_name(line.status).to_owned(),
            if line.is_self {
                "-".to_owned()
            } else {
                seconds(line.status_age)
            },
            line.silent_for.map_or("-".to_owned(), seconds),
            if line.in_layout { "yes" } else { "no" }.to_owned(),
            card.program_version.clone(),
            card.address.clone(),
        ]
    }));
    let mut out =
        format!("stand {stand}, layout {version} with {holders} holders; * is who was asked\n");
    out += &columns(&rows);
    out
}

/// Formats rows as a table whose columns are as wide as their widest cell.
pub(super) fn columns<const N: usize>(rows: &[[String; N]]) -> String {
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
