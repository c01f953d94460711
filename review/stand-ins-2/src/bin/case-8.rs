//! Case 8: a bounded read that waits for its connection after its replica was chosen.

use std::io;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::*;

/// The bound of the class, and what the page on sockets adds to each limit.
const BOUND_MS: f64 = 3000.0;
const SLACK_MS: f64 = 50.0;
/// A replica applies the log at usual speed, then eight times more slowly, over and over.
const USUAL_MS: f64 = 1500.0;
const SLOW_MS: f64 = 4500.0;
const SLOWDOWN: f64 = 8.0;
const USUAL_LAG_MS: f64 = 15.0;
const RUN_S: u64 = 37;

const SETTINGS: &str = r#"{"balancers":1,"me":0,"tickMs":5.0,"zone":0,"zones":["hall"],"discovery":"pushed",
"contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":9000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.2,"stopSendingWithinMs":500.0},
"familyInfo":{"guards":"none","catchUpWaitMs":0.0,"listRole":"delayed","oldestDataMs":[3000.0,0.0,0.0],"readLevel":["recent","update","loose"],"stamps":true,"tokens":"router","sync":false,"zeroMs":0.0},
"grades":[{"name":"board-view","aimMs":600.0,"deadlineMs":2000.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":1.0,"lateWorth":0.0,"stream":false},
{"name":"report","aimMs":400.0,"deadlineMs":2000.0,"semantics":"token","group":"cell","keyTtlMs":2000.0,"worth":3.0,"lateWorth":0.3,"stream":false},
{"name":"history","aimMs":500.0,"deadlineMs":1200.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":1.0,"lateWorth":0.0,"stream":false}],
"policyLimits":{"cancel":true,"sendCap":8,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"secondCopies":true,"mayProbe":false,"peerMessages":false},
"report":{"how":"none","names":[]},"overShareWorth":0.1,
"tenants":[{"name":"acme","share":1.0,"quotaPerS":1000.0}]}"#;

struct Member {
    record: Record,
    name: &'static str,
    primary: bool,
    trouble: bool,
    started: f64,
    accepted: AtomicU64,
    /// Reads that were answered from data older than the bound: their ids and by how much.
    stale: Arc<Mutex<Vec<(String, f64)>>>,
}

impl Member {
    /// Up to when this server has applied all commits. It never goes back.
    fn position(&self, at: f64) -> f64 {
        if self.primary {
            return at;
        }
        let into = (at - self.started).max(0.0) % (USUAL_MS + SLOW_MS);
        let lag = if into < USUAL_MS { USUAL_LAG_MS } else { USUAL_LAG_MS + (into - USUAL_MS) * (1.0 - 1.0 / SLOWDOWN) };
        at - lag
    }
}

impl Database for Member {
    fn on_accept(&self) {
        // A third of the connections come up late.
        if self.trouble && self.accepted.fetch_add(1, Ordering::Relaxed) % 3 == 2 {
            sleep_ms(225);
        }
    }

    fn run(&self, statement: Statement, connection: &mut ServerConnection) -> io::Result<bool> {
        let id = statement.field("id").to_owned();
        // The state that the read is answered from is that of its arrival or a later one.
        sleep_ms(20);
        let position = self.position(unix_ms());
        let age = statement.last_byte - position;
        if age > BOUND_MS + SLACK_MS && statement.field("c") == "board-view" {
            self.record.line(format!("{} answers id={id} from data {age:.0} ms older than its sending", self.name));
            self.stale.lock().unwrap().push((id, age));
        }
        let mut out = row(format!("{position:.0}").as_bytes(), statement.write);
        out.extend(report(self.primary, position, statement.write));
        connection.stream.write_all(&out)?;
        // A server may close after a statement; this one does.
        Ok(false)
    }
}

fn judge(case: &Case) -> Result<bool, String> {
    let stale = Arc::new(Mutex::new(Vec::new()));
    let started = unix_ms();
    let member = |name, primary| {
        Arc::new(Member { record: case.record.clone(), name, primary, trouble: case.trouble, started, accepted: AtomicU64::new(0), stale: stale.clone() })
    };
    let members = [member("s-1", true), member("s-2", false), member("s-3", false), member("s-4", false)];
    let targets: Vec<Target> = members.iter().map(|m| Target {
        uid: m.name.into(), endpoint: start_server(m.clone()), az: "hall".into(), group: 1, state: "up",
        mode: if m.primary { "read-write" } else { "read-only" }, boot_ms: 0,
    }).collect();
    let discovery = Discovery::start(targets.clone());
    let gateway = Gateway::start(case, &GatewayFiles {
        name: "n1", listen: free_address(), discovery: discovery.address, known: list_json(1, &targets), settings: SETTINGS,
        memory_mb: 128, operator: None,
    })?;
    let until = Instant::now() + Duration::from_secs(RUN_S);
    let threads: Vec<_> = (0..12).map(|n: u64| {
        let (address, record) = (gateway.address, case.record.clone());
        thread::spawn(move || -> Result<Vec<String>, String> {
            let mut client = Client::connect(address).map_err(|e| e.to_string())?;
            let mut served = Vec::new();
            let mut count = 0;
            while Instant::now() < until {
                let id = new_id();
                // Each client reads, of both classes, and writes now and then.
                let text = if count % 3 == 1 {
                    read_text(&format!("k{n}"), &format!("id={id},c=history,t=acme,d=1200,cluster=1"))
                } else if count % 10 == 0 {
                    write_text(&format!("k{n}"), "01", &format!("id={id},c=report,t=acme,d=2000,k={},cluster=1", new_id()))
                } else {
                    read_text(&format!("k{n}"), &format!("id={id},c=board-view,t=acme,d=2000,cluster=1"))
                };
                count += 1;
                let answer = client.query(&text, 3000);
                record.line(format!("client has for id={id}: {}", match &answer {
                    Answer::Row(v) => format!("row {}", String::from_utf8_lossy(v)),
                    other => format!("{other:?}"),
                }));
                if matches!(answer, Answer::Row(_)) { served.push(id); }
                if matches!(answer, Answer::Ended) { client = Client::connect(address).map_err(|e| e.to_string())?; }
                sleep_ms(40);
            }
            Ok(served)
        })
    }).collect();
    let mut served = Vec::new();
    for thread in threads { served.extend(thread.join().map_err(|_| "thread")??); }
    let stale = stale.lock().unwrap();
    // Judged is what a client got.
    let broken: Vec<_> = stale.iter().filter(|(id, _)| served.contains(id)).collect();
    for (id, age) in &broken {
        case.record.line(format!("BROKEN: id={id} was answered from data {age:.0} ms older than its sending; the bound is {BOUND_MS} ms"));
    }
    case.record.line(format!("{} requests answered with a row, {} of them from data older than the bound", served.len(), broken.len()));
    if served.len() < 500 { return Err("too few requests were answered".into()); }
    Ok(broken.is_empty())
}

fn main() {
    review_stand_ins_2::main(8, judge)
}
