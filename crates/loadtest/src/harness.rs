//! Setup shared by the experiments: the gateway program, its settings, client connections and queries.

use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use leverpoint_test_support::agent::start_agent;
use leverpoint_test_support::gateway::{self, Gateway};
use leverpoint_test_support::wire::{
    STARTUP_MESSAGE, http_ok, put_message, query_message, read_message,
};

/// Time limit of a session's request, retries included. A connection waits twice as long for data from the gateway.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Settings file of the gateways: request classes `view`, `own` and `report`, tenants `honest` and `venue`.
pub(crate) const SETTINGS: &str = r#"{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5, "startCapacity": 0.2,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0, 0.0],
     "readLevel": ["loose", "own_writes", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "view", "aimMs": 600.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 1.0},
     {"name": "own", "aimMs": 400.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 2.0},
     {"name": "report", "aimMs": 400.0, "deadlineMs": 2000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 3000.0, "worth": 3.0, "lateWorth": 0.5}],
    "policyLimits": {"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "honest", "share": 0.5, "quotaPerS": 1000.0}, {"name": "venue", "share": 0.5, "quotaPerS": 1000.0}]}"#;

/// Path of the gateway program: `explicit`, or else `leverpoint` in the directory of this program.
///
/// # Errors
///
/// Returns a message if there is no such file.
pub(crate) fn gateway_binary(explicit: &Option<PathBuf>) -> Result<PathBuf, String> {
    let sibling = std::env::current_exe()
        .map_err(|e| e.to_string())?
        .with_file_name("leverpoint");
    let path = explicit.clone().unwrap_or(sibling);
    if !path.is_file() {
        return Err(format!(
            "no gateway program at {}: build it, or pass its path with --program",
            path.display()
        ));
    }
    Ok(path)
}

/// Starts a gateway with an operator's file, if one is given, and an agent that serves `known_list` as its endpoint
/// list. Each start takes a new address, since the socket of an earlier gateway may still be open.
pub(crate) fn start_gateway(
    operator: Option<&String>,
    program: &Path,
    known_list: &str,
) -> Gateway {
    let agent = start_agent();
    let _ = agent.responses.send(http_ok(known_list));
    let address = gateway::free_address();
    let text = gateway::config(&address, &agent.address, known_list, SETTINGS);
    let args = operator.map_or(Vec::new(), |file| vec!["--operator", file]);
    gateway::start(&text, address, agent, program, &args)
}

/// SQL text of a write (request class `report`, with `id` as its idempotency key) or a read (`own`) of a session's row.
pub(crate) fn session_statement(session: &str, id: &str, write: bool) -> String {
    if write {
        format!(
            "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v \
             /* id={id},c=report,t=honest,d=2000,k={id},cluster=2 */"
        )
    } else {
        format!(
            "SELECT v FROM records WHERE k = '{session}' /* id={id},c=own,t=honest,d=2000,cluster=2 */"
        )
    }
}

/// Connects to a gateway and completes the startup handshake. Returns `None` on any failure.
pub(crate) fn connect(address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT * 2)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(STARTUP_MESSAGE).ok()?;
    while read_message(&mut stream)?.0 != b'Z' {}
    Some(stream)
}

/// Sends a query and returns the messages of the response up to ReadyForQuery, or `None` if the connection fails first.
pub(crate) fn send_query(stream: &mut TcpStream, text: &str) -> Option<Vec<u8>> {
    stream.write_all(&query_message(text)).ok()?;
    let mut response = Vec::new();
    loop {
        let (tag, body) = read_message(stream)?;
        put_message(&mut response, tag, &body);
        if tag == b'Z' {
            return Some(response);
        }
    }
}

/// CPU time that a process has used so far, in seconds. Assumes the usual 100 clock ticks a second on Linux.
pub(crate) fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    fields
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / 100.0
}
