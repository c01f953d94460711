//! Case 10: followed sessions on a disk; one start at which the disk cannot be used, between two at which it can.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::{Arc, Mutex};

use review_stand_ins_2::*;

/// How far the replicas are behind, with the disruption and without.
const LAG_MS: f64 = 3_000.0;
const SESSIONS: usize = 8;

const SETTINGS: &str = r#"{"balancers":1,"me":0,"tickMs":5.0,"zone":0,"zones":["hall"],"discovery":"pushed",
"contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":9000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.2,"stopSendingWithinMs":500.0},
"familyInfo":{"guards":"reject","catchUpWaitMs":0.0,"listRole":"delayed","oldestDataMs":[0.0,0.0],"readLevel":["own_writes","update"],"stamps":true,"tokens":"router","sync":false,"zeroMs":0.0},
"grades":[{"name":"own-result","aimMs":400.0,"deadlineMs":1500.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":2.0,"lateWorth":0.0,"stream":false},
{"name":"report","aimMs":400.0,"deadlineMs":2000.0,"semantics":"token","group":"cell","keyTtlMs":2000.0,"worth":3.0,"lateWorth":0.3,"stream":false}],
"policyLimits":{"cancel":true,"sendCap":8,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"secondCopies":true,"mayProbe":false,"peerMessages":false},
"report":{"how":"none","names":[]},"overShareWorth":0.1,
"tenants":[{"name":"acme","share":1.0,"quotaPerS":1000.0}]}"#;

struct Set {
    record: Record,
    log: Mutex<HashMap<String, Vec<(f64, Vec<u8>)>>>,
}

struct Member {
    set: Arc<Set>,
    name: &'static str,
    primary: bool,
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
            let value = statement.value.as_bytes().chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap()).collect::<Vec<u8>>();
            let commit = unix_ms();
            set.log.lock().unwrap().entry(statement.key.clone()).or_default().push((commit, value.clone()));
            set.record.line(format!("{} ran the write id={id} of {}, value {value:?}", self.name, statement.key));
            let mut out = row(&value, true);
            out.extend(report(true, commit, true));
            connection.stream.write_all(&out)?;
            return Ok(true);
        }
        let position = if self.primary { unix_ms() } else { unix_ms() - LAG_MS };
        let value = {
            let log = set.log.lock().unwrap();
            let versions = log.get(&statement.key);
            versions.and_then(|v| v.iter().rev().find(|(commit, _)| *commit <= position)).map_or(Vec::new(), |(_, v)| v.clone())
        };
        set.record.line(format!("{} ran the read id={id} of {}, value {value:?}", self.name, statement.key));
        let mut out = row(&value, false);
        out.extend(report(self.primary, position, false));
        connection.stream.write_all(&out)?;
        Ok(true)
    }
}

fn judge(case: &Case) -> Result<bool, String> {
    let set = Arc::new(Set { record: case.record.clone(), log: Mutex::default() });
    let member = |name, primary| Arc::new(Member { set: set.clone(), name, primary });
    let members = [member("s-1", true), member("s-2", false), member("s-3", false)];
    let targets: Vec<Target> = members.iter().map(|m| Target {
        uid: m.name.into(), endpoint: start_server(m.clone()), az: "hall".into(), group: 1, state: "up",
        mode: if m.primary { "read-write" } else { "read-only" }, boot_ms: 0,
    }).collect();
    let discovery = Discovery::start(targets.clone());
    let (listen, disk, aside) = (free_address(), case.folder.join("disk"), case.folder.join("disk-aside"));
    let operator = format!(
        "sessions {{\n  follow = true\n  moves = false\n  alone = true\n  disk = \"{}\"\n  number = \"8c1f30d27a5be964\"\n}}\n",
        disk.display()
    );
    let start = || Gateway::start(case, &GatewayFiles {
        name: "n1", listen, discovery: discovery.address, known: list_json(1, &targets), settings: SETTINGS,
        memory_mb: 128, operator: Some(operator.clone()),
    });
    let stop = |gateway: &Gateway| -> Result<(), String> {
        gateway.signal("TERM");
        let ended = gateway.wait(8_000);
        case.record.line("gateway n1 ended in order");
        if ended { Ok(()) } else { Err("the gateway did not end".into()) }
    };
    let sessions: Vec<String> = (0..SESSIONS).map(|n| format!("session-{n}-{}", new_id())).collect();
    let write_all = |gateway: &Gateway, value: u8| -> Result<Vec<String>, String> {
        let mut client = Client::connect(gateway.address).map_err(|e| e.to_string())?;
        let mut written = Vec::new();
        for session in &sessions {
            let id = new_id();
            let text = write_text(session, &hex(&[value]), &format!("id={id},c=report,t=acme,d=2000,k={},cluster=1", new_id()));
            let answer = client.query(&text, 3000);
            case.record.line(format!("client has for the write id={id} of {session}: {answer:?}"));
            if matches!(answer, Answer::Row(_)) { written.push(session.clone()); }
        }
        Ok(written)
    };
    std::fs::create_dir_all(&disk).map_err(|e| e.to_string())?;
    let gateway = start()?;
    write_all(&gateway, 1)?;
    stop(&gateway)?;
    // Long enough for the replicas to have these writes.
    sleep_ms(3_300);
    if case.trouble {
        // The folder cannot be opened: what stands in its place is a file.
        std::fs::rename(&disk, &aside).map_err(|e| e.to_string())?;
        std::fs::write(&disk, "no folder").map_err(|e| e.to_string())?;
        case.record.line("the disk cannot be used at the next start");
    }
    let gateway = start()?;
    let written = write_all(&gateway, 2)?;
    stop(&gateway)?;
    if case.trouble {
        std::fs::remove_file(&disk).map_err(|e| e.to_string())?;
        std::fs::rename(&aside, &disk).map_err(|e| e.to_string())?;
        case.record.line("the disk is repaired");
    }
    let gateway = start()?;
    let mut client = Client::connect(gateway.address).map_err(|e| e.to_string())?;
    let (mut judged, mut broken) = (0, 0);
    for session in &written {
        let id = new_id();
        let answer = client.query(&read_text(session, &format!("id={id},c=own-result,t=acme,d=1500,cluster=1")), 2500);
        case.record.line(format!("client has for the read id={id} of {session}: {answer:?}"));
        if let Answer::Row(value) = answer {
            judged += 1;
            if value != [2] {
                broken += 1;
                case.record.line(format!("BROKEN: the read id={id} does not see the session's last write, which was answered"));
            }
        }
    }
    case.record.line(format!("{judged} reads answered with a row, {broken} of them without the session's last write"));
    if judged == 0 { return Err("no read was answered".into()); }
    Ok(broken == 0)
}

fn main() {
    review_stand_ins_2::main(10, judge)
}
