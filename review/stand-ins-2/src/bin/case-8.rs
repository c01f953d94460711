//! Case 8: reads that must be current, after an earlier list has come again.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use review_stand_ins_2::*;

/// How far replicas are behind, with the disruption and without.
const LAG_MS: f64 = 400.0;
const GROUPS: u16 = 6;
/// The quiet time, in which no request needs a primary.
const QUIET_MS: u64 = 12_000;

const SETTINGS: &str = r#"{"balancers":2,"me":ME,"tickMs":5.0,"zone":0,"zones":["ghala"],"discovery":"pushed",
"contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":9000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.2,"stopSendingWithinMs":1000.0},
"familyInfo":{"guards":"none","catchUpWaitMs":0.0,"listRole":"delayed","oldestDataMs":[0.0,0.0,0.0],"readLevel":["latest","update","loose"],"stamps":true,"tokens":"router","sync":false,"zeroMs":0.0},
"grades":[{"name":"live-state","aimMs":150.0,"deadlineMs":600.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":2.0,"lateWorth":0.0,"stream":false},
{"name":"setpoint-write","aimMs":400.0,"deadlineMs":3000.0,"semantics":"token","group":"cell","keyTtlMs":5000.0,"worth":3.0,"lateWorth":0.7,"stream":false},
{"name":"monthly-report","aimMs":1000.0,"deadlineMs":3000.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":4.0,"lateWorth":0.2,"stream":false}],
"policyLimits":{"cancel":true,"sendCap":6,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"secondCopies":true,"mayProbe":false,"peerMessages":false},
"report":{"how":"none","names":[]},"overShareWorth":0.1,
"tenants":[{"name":"acme","share":1.0,"quotaPerS":1000.0}]}"#;

struct Set {
    record: Record,
    log: Mutex<HashMap<String, Vec<(f64, Vec<u8>)>>>,
    /// Whether the hand-over has taken place: the second member is primary from then on.
    handed_over: AtomicBool,
}

struct Member {
    set: Arc<Set>,
    name: String,
    /// 0: primary at first; 1: primary after the hand-over; 2: never.
    number: usize,
}

impl Member {
    fn is_primary(&self) -> bool {
        self.number == usize::from(self.set.handed_over.load(Ordering::SeqCst))
    }
}

impl Database for Member {
    fn run(&self, statement: Statement, connection: &mut ServerConnection) -> io::Result<bool> {
        let (set, primary) = (&self.set, self.is_primary());
        let id = statement.field("id").to_owned();
        let position = if primary {
            unix_ms()
        } else {
            unix_ms() - LAG_MS
        };
        if statement.write && !primary {
            let mut out = error("25006");
            out.extend(report(false, position, false));
            connection.stream.write_all(&out)?;
            set.record.line(format!(
                "{} turns the write id={id} away: no primary",
                self.name
            ));
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
            set.record.line(format!(
                "{} ran the write id={id} of {}, value {value:?}",
                self.name, statement.key
            ));
            let mut out = row(&value, true);
            out.extend(report(true, commit, true));
            connection.stream.write_all(&out)?;
            return Ok(true);
        }
        let value = {
            let log = set.log.lock().unwrap();
            let versions = log.get(&statement.key);
            versions
                .and_then(|v| v.iter().rev().find(|(commit, _)| *commit <= position))
                .map_or(Vec::new(), |(_, v)| v.clone())
        };
        set.record.line(format!(
            "{} ({}) ran the {} read id={id} of {}, value {value:?}",
            self.name,
            if primary { "primary" } else { "replica" },
            statement.field("c"),
            statement.key
        ));
        let mut out = row(&value, false);
        out.extend(report(primary, position, false));
        connection.stream.write_all(&out)?;
        Ok(true)
    }
}

fn judge(case: &Case) -> Result<bool, String> {
    let sets: Vec<Arc<Set>> = (0..GROUPS)
        .map(|_| {
            Arc::new(Set {
                record: case.record.clone(),
                log: Mutex::default(),
                handed_over: AtomicBool::new(false),
            })
        })
        .collect();
    let mut at_first = Vec::new();
    for (group, set) in sets.iter().enumerate() {
        for number in 0..3 {
            let name = format!("s-{group}{number}");
            let endpoint = start_server(Arc::new(Member {
                set: set.clone(),
                name: name.clone(),
                number,
            }));
            at_first.push(Target {
                uid: name,
                endpoint,
                az: "ghala".into(),
                group: group as u16,
                state: "up",
                mode: if number == 0 {
                    "read-write"
                } else {
                    "read-only"
                },
                boot_ms: 0,
            });
        }
    }
    let mut later = at_first.clone();
    for (at, target) in later.iter_mut().enumerate() {
        target.mode = if at % 3 == 1 {
            "read-write"
        } else {
            "read-only"
        };
    }
    let discovery = Discovery::start(at_first.clone());
    let gateway = Gateway::start(
        case,
        &GatewayFiles {
            name: "n1",
            listen: free_address(),
            discovery: discovery.address,
            known: list_json(1, &at_first),
            settings: &SETTINGS.replace("ME", "0"),
            memory_mb: 128,
            operator: None,
        },
    )?;
    // Another gateway of the fleet, with the same lists: operators write there too.
    let other = Gateway::start(
        case,
        &GatewayFiles {
            name: "n2",
            listen: free_address(),
            discovery: discovery.address,
            known: list_json(1, &at_first),
            settings: &SETTINGS.replace("ME", "1"),
            memory_mb: 128,
            operator: None,
        },
    )?;
    let mut client = Client::connect(gateway.address).map_err(|e| e.to_string())?;
    let mut at_other = Client::connect(other.address).map_err(|e| e.to_string())?;
    let ask = |client: &mut Client, group: usize, class: &str, value: Option<u8>| -> Answer {
        let (id, key) = (new_id(), format!("compressor-{group}"));
        let text = match value {
            Some(value) => write_text(
                &key,
                &hex(&[value]),
                &format!("id={id},c={class},t=acme,d=3000,k={id},cluster={group}"),
            ),
            None => read_text(
                &key,
                &format!("id={id},c={class},t=acme,d=600,cluster={group}"),
            ),
        };
        let answer = client.query(&text, 4000);
        case.record.line(format!(
            "client has for {class} id={id} of {key}: {answer:?}"
        ));
        answer
    };
    for group in 0..GROUPS as usize {
        ask(&mut client, group, "setpoint-write", Some(1));
    }
    for (group, set) in sets.iter().enumerate() {
        set.handed_over.store(true, Ordering::SeqCst);
        case.record
            .line(format!("set {group}: s-{group}0 hands over to s-{group}1"));
    }
    for group in 0..GROUPS as usize {
        ask(&mut client, group, "setpoint-write", Some(2));
    }
    sleep_ms(1_500);
    discovery.set(later.clone());
    case.record.line("the list names the new primaries");
    // A quiet time: reports only, which any member may answer.
    let quiet = std::time::Instant::now();
    while quiet.elapsed().as_millis() < u128::from(QUIET_MS) {
        for group in 0..GROUPS as usize {
            ask(&mut client, group, "monthly-report", None);
        }
        sleep_ms(300);
    }
    if case.trouble {
        // For two thirds of the servers: those of the first four sets.
        let mut earlier = later.clone();
        earlier[..12].clone_from_slice(&at_first[..12]);
        discovery.set(earlier);
        case.record
            .line("an earlier list comes again for sets 0 to 3 and stays");
    }
    sleep_ms(300);
    let (mut judged, mut broken) = (0, 0);
    for group in 0..GROUPS as usize {
        // Written and answered through the other gateway, before the read is sent to this one.
        if !matches!(
            ask(&mut at_other, group, "setpoint-write", Some(3)),
            Answer::Row(_)
        ) {
            continue;
        }
        sleep_ms(20);
        if let Answer::Row(value) = ask(&mut client, group, "live-state", None) {
            judged += 1;
            if value != [3] {
                broken += 1;
                case.record.line(format!("BROKEN: the read of compressor-{group} must see all that was written before it came, and does not see [3]"));
            }
        }
    }
    case.record.line(format!(
        "{judged} current reads answered with a row, {broken} of them from older data"
    ));
    if judged == 0 {
        return Err("no read was answered".into());
    }
    Ok(broken == 0)
}

fn main() {
    review_stand_ins_2::main(8, judge)
}
