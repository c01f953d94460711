//! `leverpoint copies` and `leverpoint copies verify`: shows the replicated records that a running member holds, and
//! compares them with the other replica holders.

use std::thread::sleep;
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use leverpoint_peer_transport::{AdminRequest, AdminResponse};
use leverpoint_replication::{QueueSizes, ReplicationStatus, Ticks};

use crate::cli::Output;
use crate::cli::members::{MemberAddress, ask_member, format_table, member_address};

/// The options of `leverpoint copies`.
#[derive(Clone, Debug)]
pub(super) struct Options {
    json: bool,
    member: MemberAddress,
    verify: bool,
}

/// Parses the options of `leverpoint copies` and of its subcommand `verify`.
pub(super) fn options() -> OptionParser<Options> {
    let json = || long("json").help("Prints one JSON object").switch();
    let verify = {
        let (json, member) = (json(), member_address());
        let comparison = construct!(json, member).map(|(json, member)| Options {
            json,
            member,
            verify: true,
        });
        comparison
            .to_options()
            .descr("Compares the records with all other holders, and shows the differences")
            .command("verify")
    };
    let (json, member) = (json(), member_address());
    let show = construct!(json, member).map(|(json, member)| Options {
        json,
        member,
        verify: false,
    });
    construct!([verify, show])
        .to_options()
        .descr("Shows the replicated records and the state of replication of a running member")
}

/// How long `verify` waits for the comparison; comparing a million records takes half a minute.
const VERIFY_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which `verify` polls for the result of the comparison.
const VERIFY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Queries the member and formats its response; the exit status is 1 if a comparison has found differences.
///
/// # Errors
///
/// Returns a line of text: the member cannot be queried, or it refuses the request.
pub(super) fn run(options: &Options) -> Result<Output, String> {
    if options.verify {
        return verify(options);
    }
    match ask_member(&options.member, AdminRequest::Replication)? {
        AdminResponse::Replication(state) if options.json => Ok(Output::success(to_json(&state)?)),
        AdminResponse::Replication(state) => Ok(Output::success(to_table(&state))),
        AdminResponse::Refused { reason: refusal } => Err(refusal),
        _ => Err("unexpected response from the member".to_owned()),
    }
}

/// Formats the state of replication as one JSON object.
fn to_json(status: &ReplicationStatus) -> Result<String, String> {
    serde_json::to_string(status)
        .map(|line| line + "\n")
        .map_err(|e| e.to_string())
}

/// Formats Unix time in ticks as seconds; `-` for 0, which stands for no time.
fn unix_seconds(unix_ticks: Ticks) -> String {
    if unix_ticks == 0 {
        "-".to_owned()
    } else {
        format!("{}.{:04}", unix_ticks / 10_000, unix_ticks % 10_000)
    }
}

/// A row of the table: the name of a value, the value and what it means.
type Row = [String; 3];

fn row(name: &str, value: String, meaning: &str) -> Row {
    [name.to_owned(), value, meaning.to_owned()]
}

fn yes_or_no(yes: bool) -> &'static str {
    if yes { "yes" } else { "no" }
}

/// Formats the state of replication as a table.
fn to_table(status: &ReplicationStatus) -> String {
    let mut rows = layout_rows(status);
    rows.extend(record_rows(status));
    rows.extend(work_rows(status));
    rows.extend(outcome_rows(status));
    format_table(&rows)
}

/// Rows on the layouts in force and this member's part in them.
fn layout_rows(status: &ReplicationStatus) -> Vec<Row> {
    let versions = format!(
        "{} to {}",
        status.oldest_layout_version, status.layout_version
    );
    let layout_state = format!(
        "{}, {}",
        yes_or_no(status.layouts_known),
        yes_or_no(status.has_layout_quorum)
    );
    let replica_state = format!(
        "{}, {}",
        yes_or_no(status.is_replica),
        yes_or_no(status.in_sync)
    );
    vec![
        row(
            "layouts that count",
            versions,
            "more than one: a hand-over is under way",
        ),
        row(
            "known, in touch",
            layout_state,
            "else nothing is promised here",
        ),
        row("holds, whole", replica_state, "has all of its part"),
    ]
}

/// Rows on the records held and on what may be missing.
fn record_rows(status: &ReplicationStatus) -> Vec<Row> {
    let at_risk = !status.in_sync || status.oldest_layout_version < status.layout_version;
    vec![
        row(
            "held: positions",
            status.session_records.to_string(),
            "sessions",
        ),
        row(
            "held: keys",
            status.keyed_requests.to_string(),
            "keyed commands",
        ),
        row(
            "held: others",
            status.other_records.to_string(),
            "roles, the list",
        ),
        row("held: bytes", status.record_bytes.to_string(), ""),
        row(
            "floor",
            unix_seconds(status.low_watermark),
            "Unix seconds: what lies before it may be folded away or lost",
        ),
        row(
            "lost until",
            unix_seconds(status.data_lost_until),
            "Unix seconds: more was lost than may be",
        ),
        row(
            "at risk",
            yes_or_no(at_risk).to_owned(),
            "fewer may be lost than usual until the hand-over is whole",
        ),
    ]
}

/// Rows on the queues.
fn work_rows(status: &ReplicationStatus) -> Vec<Row> {
    let QueueSizes {
        pending: pending_count,
        open_writes: open_count,
        hinted: hint_count,
        queued,
    } = status.queue_sizes;
    vec![
        row(
            "owed: waiting",
            pending_count.to_string(),
            "writes and reads that wait for holders",
        ),
        row(
            "owed: open",
            open_count.to_string(),
            "writes let go and not ended",
        ),
        row(
            "owed: in line, parked",
            format!("{queued}, {hint_count}"),
            "records for holders, for those that are away",
        ),
    ]
}

/// Rows on the outcomes of requests and repairs since the start.
fn outcome_rows(status: &ReplicationStatus) -> Vec<Row> {
    let counters = &status.counters;
    let repair = status.last_repair;
    let repair = repair.map_or("-".into(), |ticks| format!("{:.1}s", ticks as f64 / 1e4));
    let unaccounted = if status.unaccounted_members.is_empty() {
        "-".into()
    } else {
        status.unaccounted_members.join(" ")
    };
    let writes = format!(
        "{}, {}",
        counters.quorum_writes, counters.writes_without_quorum
    );
    let rejections = format!("{}, {}", counters.rejected_writes, counters.unclear_retries);
    let reads = format!("{}, {}", counters.exact_reads, counters.inexact_reads);
    vec![
        row("promises, without", writes, ""),
        row(
            "turned, unclear",
            rejections,
            "throttled unsent; ended at once",
        ),
        row("reads exact, instant", reads, ""),
        row(
            "mended, last took",
            format!("{}, {repair}", counters.records_repaired),
            "records",
        ),
        row(
            "not accounted for",
            unaccounted,
            "may answer without promises",
        ),
    ]
}

/// Has the member compare its records with all other holders, and polls until it has done so or [`VERIFY_TIMEOUT`]
/// ends.
fn verify(options: &Options) -> Result<Output, String> {
    let started = Instant::now();
    let mut start_over = true;
    loop {
        let response = ask_member(
            &options.member,
            AdminRequest::AntiEntropy {
                restart: start_over,
            },
        )?;
        start_over = false;
        match response {
            AdminResponse::AntiEntropy {
                peers: comparisons,
                remaining: uncompared,
            } if uncompared == 0 || started.elapsed() > VERIFY_TIMEOUT => {
                let success = uncompared == 0
                    && comparisons
                        .iter()
                        .all(|(_, _, differing, _)| *differing == 0);
                let text = if options.json {
                    comparison_json(&comparisons, uncompared)
                } else {
                    comparison_table(&comparisons, uncompared)
                };
                return Ok(Output { text, success });
            }
            AdminResponse::AntiEntropy { .. } => sleep(VERIFY_POLL_INTERVAL),
            AdminResponse::Refused { reason: refusal } => return Err(refusal),
            _ => return Err("unexpected response from the member".to_owned()),
        }
    }
}

/// Name of a holder, the time since the comparison, buckets that differed, records that the queried member received.
type Comparison = (String, Ticks, u64, u64);

/// Formats the comparisons as one JSON object.
fn comparison_json(comparisons: &[Comparison], uncompared: u64) -> String {
    let rows: Vec<_> = comparisons
        .iter()
        .map(|(name, age, differing, received)| {
            serde_json::json!({"name": name, "ago_ms": age / 10, "differ": differing, "brought": received})
        })
        .collect();
    format!(
        "{}\n",
        serde_json::json!({"compared": rows, "left": uncompared})
    )
}

/// Formats the comparisons as a table, and how many holders are still to be compared with.
fn comparison_table(comparisons: &[Comparison], uncompared: u64) -> String {
    let header = ["holder", "ago", "buckets that differed", "records new here"];
    let mut rows = vec![header.map(String::from)];
    rows.extend(comparisons.iter().map(|(name, age, differing, received)| {
        [
            name.clone(),
            format!("{:.1}s", *age as f64 / 1e4),
            differing.to_string(),
            received.to_string(),
        ]
    }));
    let mut out = format_table(&rows);
    if uncompared > 0 {
        out += &format!("{uncompared} holders could not be compared with in time\n");
    }
    out
}
