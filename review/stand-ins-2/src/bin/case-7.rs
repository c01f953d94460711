//! Case 7: a session's read behind a write whose row came whole, and whose connection was then reset.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use review_stand_ins_2::*;

/// How far the replicas are behind, with the disruption and without.
const LAG_MS: f64 = 400.0;
const SESSIONS: usize = 40;

const SETTINGS: &str = r#"{"balancers":1,"me":0,"tickMs":5.0,"zone":0,"zones":["hall"],"discovery":"pushed",
"contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":9000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.2,"stopSendingWithinMs":500.0},
"familyInfo":{"guards":"none","catchUpWaitMs":0.0,"listRole":"delayed","oldestDataMs":[0.0,0.0],"readLevel":["own_writes","update"],"stamps":true,"tokens":"router","sync":false,"zeroMs":0.0},
"grades":[{"name":"own-result","aimMs":400.0,"deadlineMs":1500.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":2.0,"lateWorth":0.0,"stream":false},
{"name":"report","aimMs":400.0,"deadlineMs":2000.0,"semantics":"token","group":"cell","keyTtlMs":2000.0,"worth":3.0,"lateWorth":0.3,"stream":false}],
"policyLimits":{"cancel":true,"sendCap":8,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"secondCopies":true,"mayProbe":false,"peerMessages":false},
"report":{"how":"none","names":[]},"overShareWorth":0.1,
"tenants":[{"name":"acme","share":1.0,"quotaPerS":1000.0}]}"#;

/// The log of the set: each write with its commit.
struct Set {
    record: Record,
    log: Mutex<HashMap<String, Vec<(f64, Vec<u8>)>>>,
    writes: AtomicU64,
}

struct Member {
    set: Arc<Set>,
    name: &'static str,
    primary: bool,
    trouble: bool,
}

impl Database for Member {
    fn run(&self, statement: Statement, connection: &mut ServerConnection) -> io::Result<bool> {
        let set = &self.set;
        let id = statement.field("id").to_owned();
        if statement.write && !self.primary {
            let mut out = error("25006");
            out.extend(report(false, unix_ms() - LAG_MS, false));
            connection.stream.write_all(&out)?;
            return Ok(true);
        }
        sleep_ms(5);
        if statement.write {
            let value = statement
                .value
                .as_bytes()
                .chunks(2)
                .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
                .collect::<Vec<u8>>();
            let commit = unix_ms();
            set.log
                .lock()
                .unwrap()
                .entry(statement.key.clone())
                .or_default()
                .push((commit, value.clone()));
            connection.stream.write_all(&row(&value, true))?;
            // One in five writes, none of them among the first, loses its connection right behind the whole row.
            if self.trouble && set.writes.fetch_add(1, Ordering::Relaxed) % 5 == 4 {
                set.record.line(format!("{} ran the write id={id} of {}, answered the whole row, and its connection ends", self.name, statement.key));
                return Ok(false);
            }
            connection.stream.write_all(&report(true, commit, true))?;
            return Ok(true);
        }
        // A server without a check answers from what it has.
        let position = if self.primary {
            unix_ms()
        } else {
            unix_ms() - LAG_MS
        };
        let value = {
            let log = set.log.lock().unwrap();
            let versions = log.get(&statement.key);
            versions
                .and_then(|v| v.iter().rev().find(|(commit, _)| *commit <= position))
                .map_or(Vec::new(), |(_, v)| v.clone())
        };
        let mut out = row(&value, false);
        out.extend(report(self.primary, position, false));
        connection.stream.write_all(&out)?;
        Ok(true)
    }
}

fn judge(case: &Case) -> Result<bool, String> {
    let set = Arc::new(Set {
        record: case.record.clone(),
        log: Mutex::default(),
        writes: AtomicU64::new(0),
    });
    let member = |name, primary| {
        Arc::new(Member {
            set: set.clone(),
            name,
            primary,
            trouble: case.trouble,
        })
    };
    let members = [
        member("s-1", true),
        member("s-2", false),
        member("s-3", false),
        member("s-4", false),
    ];
    let targets: Vec<Target> = members
        .iter()
        .map(|m| Target {
            uid: m.name.into(),
            endpoint: start_server(m.clone()),
            az: "hall".into(),
            group: 1,
            state: "up",
            mode: if m.primary { "read-write" } else { "read-only" },
            boot_ms: 0,
        })
        .collect();
    let discovery = Discovery::start(targets.clone());
    let gateway = Gateway::start(
        case,
        &GatewayFiles {
            name: "n1",
            listen: free_address(),
            discovery: discovery.address,
            known: list_json(1, &targets),
            settings: SETTINGS,
            memory_mb: 128,
            operator: None,
        },
    )?;
    let mut client = Client::connect(gateway.address).map_err(|e| e.to_string())?;
    let (mut judged, mut broken) = (0, 0);
    for n in 0..SESSIONS {
        let session = format!("session-{n}-{}", new_id());
        for version in 1..=2u8 {
            let (write_id, read_id) = (new_id(), new_id());
            let text = write_text(
                &session,
                &hex(&[version]),
                &format!(
                    "id={write_id},c=report,t=acme,d=2000,k={},cluster=1",
                    new_id()
                ),
            );
            let answer = client.query(&text, 3000);
            case.record.line(format!(
                "client has for the write id={write_id} of {session}, value {version}: {answer:?}"
            ));
            if !matches!(answer, Answer::Row(_)) {
                continue;
            }
            // The read of the same client, on the same connection, behind the answer.
            sleep_ms(20);
            let answer = client.query(
                &read_text(
                    &session,
                    &format!("id={read_id},c=own-result,t=acme,d=1500,cluster=1"),
                ),
                3000,
            );
            case.record.line(format!(
                "client has for the read id={read_id} of {session}: {answer:?}"
            ));
            if let Answer::Row(value) = answer {
                judged += 1;
                if value != [version] {
                    broken += 1;
                    case.record.line(format!("BROKEN: the read id={read_id} does not see the session's write id={write_id}, which was answered before"));
                }
            }
        }
    }
    case.record.line(format!(
        "{judged} reads answered with a row, {broken} of them without the session's last write"
    ));
    if judged < SESSIONS {
        return Err("too few reads were answered".into());
    }
    Ok(broken == 0)
}

fn main() {
    review_stand_ins_2::main(7, judge)
}
