//! Case 9: followed sessions; a write's answer comes to a gateway long after its client has gone to another gateway.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use review_stand_ins_2::*;

/// How far the replicas are behind, with the disruption and without.
const LAG_MS: f64 = 150.0;
/// The client gives its try up after this part of its time.
const GIVES_UP_MS: u64 = 1_260;
const TRIES: usize = 6;

const SETTINGS: &str = r#"{"balancers":2,"me":ME,"tickMs":5.0,"zone":0,"zones":["north","east"],"discovery":"pushed",
"contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":9000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.2,"stopSendingWithinMs":500.0},
"familyInfo":{"guards":"reject","catchUpWaitMs":0.0,"listRole":"delayed","oldestDataMs":[0.0,0.0],"readLevel":["own_writes","update"],"stamps":true,"tokens":"router","sync":false,"zeroMs":0.0},
"grades":[{"name":"own-result","aimMs":1000.0,"deadlineMs":1500.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":2.0,"lateWorth":0.0,"stream":false},
{"name":"report","aimMs":2800.0,"deadlineMs":3000.0,"semantics":"token","group":"cell","keyTtlMs":5000.0,"worth":3.0,"lateWorth":0.3,"stream":false}],
"policyLimits":{"cancel":true,"sendCap":8,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"secondCopies":true,"mayProbe":false,"peerMessages":false},
"report":{"how":"none","names":[]},"overShareWorth":0.1,
"tenants":[{"name":"acme","share":1.0,"quotaPerS":1000.0}]}"#;

const OPERATOR: &str = r#"sessions {
  follow = true
  stays  = "250ms"
  number = "8c1f30d27a5be964"
}
"#;

struct Set {
    record: Record,
    log: Mutex<HashMap<String, Vec<(f64, Vec<u8>)>>>,
    /// Whether gateway n1 is cut off from the primary.
    cut: Arc<AtomicBool>,
    /// Whether the next write begins such a cut, once it has run.
    armed: AtomicBool,
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
            if set.armed.swap(false, Ordering::SeqCst) {
                set.record.line("n1 is cut off from the primary");
                set.cut.store(true, Ordering::SeqCst);
            }
            let mut out = row(&value, true);
            out.extend(report(true, commit, true));
            connection.stream.write_all(&out)?;
            return Ok(true);
        }
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
        set.record.line(format!(
            "{} ran the read id={id} of {}, value {value:?}",
            self.name, statement.key
        ));
        let mut out = row(&value, false);
        out.extend(report(self.primary, position, false));
        connection.stream.write_all(&out)?;
        Ok(true)
    }
}

/// A link on which nothing passes while it is cut, and all that was sent meanwhile comes once it is back, as TCP sends it again.
fn link(to: SocketAddr, cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(other) = TcpStream::connect(to) else {
                continue;
            };
            for (mut from, mut to) in [
                (stream.try_clone().unwrap(), other.try_clone().unwrap()),
                (other, stream),
            ] {
                let cut = cut.clone();
                let _ = to.set_nodelay(true);
                thread::spawn(move || {
                    let mut part = [0; 4096];
                    while let Ok(n) = from.read(&mut part) {
                        while cut.load(Ordering::SeqCst) {
                            sleep_ms(1);
                        }
                        if n == 0 || to.write_all(&part[..n]).is_err() {
                            break;
                        }
                    }
                    let _ = to.shutdown(std::net::Shutdown::Both);
                });
            }
        }
    });
    address
}

fn judge(case: &Case) -> Result<bool, String> {
    let set = Arc::new(Set {
        record: case.record.clone(),
        log: Mutex::default(),
        cut: Arc::default(),
        armed: AtomicBool::new(false),
    });
    let member = |name, primary| {
        Arc::new(Member {
            set: set.clone(),
            name,
            primary,
        })
    };
    let members = [
        member("s-1", true),
        member("s-2", false),
        member("s-3", false),
    ];
    let direct: Vec<Target> = members
        .iter()
        .map(|m| Target {
            uid: m.name.into(),
            endpoint: start_server(m.clone()),
            az: if m.primary { "east" } else { "north" }.into(),
            group: 1,
            state: "up",
            mode: if m.primary { "read-write" } else { "read-only" },
            boot_ms: 0,
        })
        .collect();
    let mut linked = direct.clone();
    linked[0].endpoint = link(direct[0].endpoint, set.cut.clone());
    let start = |name: &str, me: &str, targets: &[Target]| -> Result<Gateway, String> {
        let discovery = Discovery::start(targets.to_vec());
        Gateway::start(
            case,
            &GatewayFiles {
                name,
                listen: free_address(),
                discovery: discovery.address,
                known: list_json(1, targets),
                settings: &SETTINGS.replace("ME", me),
                memory_mb: 128,
                operator: Some(OPERATOR.into()),
            },
        )
    };
    let (n1, n2) = (start("n1", "0", &linked)?, start("n2", "1", &direct)?);
    let client = |e: io::Error| format!("client: {e}");
    let (mut judged, mut broken) = (0, 0);
    for n in 0..TRIES {
        let session = format!("session-{n}-{}", new_id());
        let write = |value: u8| {
            let id = new_id();
            let text = write_text(
                &session,
                &hex(&[value]),
                &format!("id={id},c=report,t=acme,d=3000,k={},cluster=1", new_id()),
            );
            (id, text)
        };
        // The session writes at n1, whose way to the primary is cut when the write has run.
        set.armed.store(case.trouble, Ordering::SeqCst);
        let (id, text) = write(1);
        let mut at_n1 = Client::connect(n1.address).map_err(client)?;
        let sent = unix_ms();
        let answer = at_n1.query(&text, GIVES_UP_MS);
        case.record.line(format!(
            "client has from n1 for the write id={id} of {session}: {answer:?}"
        ));
        // It gives the try up, and its front takes it to n2.
        sleep_ms(GIVES_UP_MS.saturating_sub((unix_ms() - sent) as u64));
        drop(at_n1);
        case.record
            .line("client closes its connection to n1 and goes to n2");
        sleep_ms(340);
        let (id, text) = write(2);
        let mut at_n2 = Client::connect(n2.address).map_err(client)?;
        let answer = at_n2.query(&text, 3500);
        case.record.line(format!(
            "client has from n2 for the write id={id} of {session}: {answer:?}"
        ));
        if set.cut.swap(false, Ordering::SeqCst) {
            case.record.line("the way from n1 to the primary is back");
        }
        if !matches!(answer, Answer::Row(_)) {
            continue;
        }
        // Its front takes it back to n1, where it was last 0.38 s ago.
        sleep_ms(30);
        let id = new_id();
        let mut at_n1 = Client::connect(n1.address).map_err(client)?;
        let answer = at_n1.query(
            &read_text(
                &session,
                &format!("id={id},c=own-result,t=acme,d=1500,cluster=1"),
            ),
            2500,
        );
        case.record.line(format!(
            "client has from n1 for the read id={id} of {session}: {answer:?}"
        ));
        if let Answer::Row(value) = answer {
            judged += 1;
            if value != [2] {
                broken += 1;
                case.record.line(format!("BROKEN: the read id={id} does not see the session's last write, answered before by n2"));
            }
        }
        sleep_ms(300);
    }
    case.record.line(format!(
        "{judged} reads answered with a row, {broken} of them without the session's last write"
    ));
    if judged == 0 {
        return Err("no read was answered".into());
    }
    Ok(broken == 0)
}

fn main() {
    review_stand_ins_2::main(9, judge)
}
