//! Owns what the experiments set up alike: the real program, a gateway in front of a set, a connection to one.
//!
//! It must never measure anything.

use std::io::Write;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use leverpoint_test_support::agent::start_agent;
use leverpoint_test_support::gateway::{self, Gateway};
use leverpoint_test_support::wire::{
    STARTUP_MESSAGE, http_ok, put_message, query_message, read_message,
};

/// How long a command of a session is waited for.
pub(crate) const PATIENCE: Duration = Duration::from_millis(2_000);

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

/// The gateway's program: the one that is named, else the one beside this.
pub(crate) fn program(named: &Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = std::env::current_exe()
        .map_err(|e| e.to_string())?
        .with_file_name("leverpoint");
    let program = named.clone().unwrap_or(beside);
    if !program.is_file() {
        return Err(format!(
            "no gateway at {}: build it, or name it with --program",
            program.display()
        ));
    }
    Ok(program)
}

/// A gateway with this operator's file, at an address of its own: one before may still have its old one.
pub(crate) fn start(operator: Option<&String>, program: &Path, known: &str) -> Gateway {
    let agent = start_agent();
    let _ = agent.responses.send(http_ok(known));
    let address = gateway::free_address();
    let text = gateway::config(&address, &agent.address, known, SETTINGS);
    let words = operator.map_or(Vec::new(), |file| vec!["--operator", file]);
    gateway::start(&text, address, agent, program, &words)
}

/// A session's report, or its look at what it has written.
pub(crate) fn of_session(session: &str, id: &str, write: bool) -> String {
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

/// A connection that is admitted.
pub(crate) fn connect(address: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE * 2)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(STARTUP_MESSAGE).ok()?;
    while read_message(&mut stream)?.0 != b'Z' {}
    Some(stream)
}

/// One answer, whole: its messages, up to ready.
pub(crate) fn ask(stream: &mut TcpStream, text: &str) -> Option<Vec<u8>> {
    stream.write_all(&query_message(text)).ok()?;
    let mut heard = Vec::new();
    loop {
        let (tag, body) = read_message(stream)?;
        put_message(&mut heard, tag, &body);
        if tag == b'Z' {
            return Some(heard);
        }
    }
}

/// Processor time of a process so far, in seconds; ticks are hundredths of a second on every usual machine.
pub(crate) fn cpu_s(pid: u32) -> f64 {
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
