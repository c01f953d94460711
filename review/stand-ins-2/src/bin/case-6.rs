//! Case 6: a keyed write whose second sending is completed after the time for which its set drops repeats.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins_2::*;

/// How long the set drops a repeat, from the first one's run on (the page: from its sending on, which is earlier).
const WINDOW_MS: f64 = 800.0;
/// Work of a write.
const WORK_MS: u64 = 180;
/// How long the primary hangs, from the moment at which it has run the write that is judged.
const HANG_MS: u64 = 930;
const ROUNDS: usize = 4;

const SETTINGS: &str = r#"{"balancers":1,"me":0,"tickMs":5.0,"zone":0,"zones":["hall"],"discovery":"pushed",
"contract":{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":9000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.2,"stopSendingWithinMs":500.0},
"familyInfo":{"guards":"reject","catchUpWaitMs":0.0,"listRole":"delayed","oldestDataMs":[3000.0,0.0],"readLevel":["recent","update"],"stamps":true,"tokens":"router","sync":false,"zeroMs":0.0},
"grades":[{"name":"view","aimMs":600.0,"deadlineMs":2000.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"worth":1.0,"lateWorth":0.0,"stream":false},
{"name":"report","aimMs":1500.0,"deadlineMs":3000.0,"semantics":"token","group":"cell","keyTtlMs":800.0,"worth":3.0,"lateWorth":0.3,"stream":false}],
"policyLimits":{"cancel":true,"sendCap":8,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":250.0,"idleCloseMs":15000.0,"secondCopies":true,"mayProbe":false,"peerMessages":false},
"report":{"how":"none","names":[]},"overShareWorth":0.1,
"tenants":[{"name":"acme","share":1.0,"quotaPerS":1000.0}]}"#;

struct Set {
    record: Record,
    /// When each key was first applied, and how often.
    applied: Mutex<HashMap<String, (f64, u32)>>,
    values: Mutex<HashMap<String, Vec<u8>>>,
}

struct Member {
    set: Arc<Set>,
    name: &'static str,
    primary: bool,
    trouble: bool,
    hang_until: Mutex<Option<Instant>>,
    /// Whether the next write that comes whole is the one after whose run the server hangs.
    armed: AtomicBool,
}

impl Database for Member {
    fn gate(&self) -> bool {
        let until = *self.hang_until.lock().unwrap();
        let left = until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        thread::sleep(left);
        !left.is_zero()
    }

    fn run(&self, statement: Statement, connection: &mut ServerConnection) -> io::Result<bool> {
        let set = &self.set;
        let bytes = statement.value.len() / 2;
        let (id, key) = (
            statement.field("id").to_owned(),
            statement.field("k").to_owned(),
        );
        if statement.write && !self.primary {
            let mut out = error("25006");
            out.extend(report(false, unix_ms() - 20.0, false));
            connection.stream.write_all(&out)?;
            return Ok(true);
        }
        if !statement.write {
            sleep_ms(30);
            let value = set
                .values
                .lock()
                .unwrap()
                .get(&statement.key)
                .cloned()
                .unwrap_or_default();
            self.gate();
            let mut out = row(&value, false);
            out.extend(report(
                self.primary,
                unix_ms() - if self.primary { 0.0 } else { 20.0 },
                false,
            ));
            connection.stream.write_all(&out)?;
            return Ok(true);
        }
        // What had come whole to the server's system before the end of a hang counts as come at the beginning of the hang.
        let whole_before = statement
            .come_at_hang_end
            .is_some_and(|come| come >= statement.bytes);
        let arrived = if whole_before {
            statement.last_byte - HANG_MS as f64
        } else {
            statement.last_byte
        };
        set.record.line(format!(
            "{} has the whole write id={id} k={key} of {} bytes{}",
            self.name,
            statement.bytes,
            statement
                .come_at_hang_end
                .map_or(String::new(), |come| format!(
                    ", of which {come} had come when its hang ended"
                ))
        ));
        sleep_ms(WORK_MS);
        self.gate();
        let value: Vec<u8> = statement
            .value
            .as_bytes()
            .chunks(2)
            .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
            .collect();
        let commit = unix_ms();
        {
            let mut applied = set.applied.lock().unwrap();
            let entry = applied.entry(key.clone()).or_insert((commit, 0));
            // The time of the key runs from the first run of its write to the arrival of the repeat.
            if entry.1 > 0 && arrived - entry.0 < WINDOW_MS {
                set.record.line(format!(
                    "{} drops the repeat of k={key}, {:.0} ms after its run",
                    self.name,
                    arrived - entry.0
                ));
            } else {
                entry.1 += 1;
                set.record.line(format!(
                    "{} applies k={key} for the {}. time; its last byte came {:.0} ms after the first run", self.name, entry.1,
                    (arrived - entry.0).max(0.0)
                ));
                set.values
                    .lock()
                    .unwrap()
                    .insert(statement.key.clone(), value.clone());
            }
        }
        if bytes > 1000 && self.armed.swap(false, Ordering::Relaxed) && self.trouble {
            set.record
                .line(format!("{} hangs for {HANG_MS} ms", self.name));
            *self.hang_until.lock().unwrap() =
                Some(Instant::now() + Duration::from_millis(HANG_MS));
        }
        self.gate();
        let mut out = row(&value, true);
        out.extend(report(true, commit, true));
        connection.stream.write_all(&out)?;
        Ok(true)
    }
}

fn comment(class: &str, ms: u64, key: Option<&str>) -> (String, String) {
    let id = new_id();
    let key = key.map_or(String::new(), |k| format!(",k={k}"));
    (
        id.clone(),
        format!("id={id},c={class},t=acme,d={ms}{key},cluster=1"),
    )
}

fn view_comment() -> (String, String) {
    comment("view", 2000, None)
}

fn judge(case: &Case) -> Result<bool, String> {
    let set = Arc::new(Set {
        record: case.record.clone(),
        applied: Mutex::default(),
        values: Mutex::default(),
    });
    let member = |name, primary| {
        Arc::new(Member {
            set: set.clone(),
            name,
            primary,
            trouble: case.trouble,
            hang_until: Mutex::new(None),
            armed: AtomicBool::new(false),
        })
    };
    let members = [
        member("s-1", true),
        member("s-2", false),
        member("s-3", false),
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
    let client = |e: io::Error| format!("client: {e}");
    // Usual traffic: four clients write in turns, so that times are known and connections are open.
    let warm = |count: usize| -> Result<(), String> {
        let threads: Vec<_> = (0..8)
            .map(|n| {
                let (address, record) = (gateway.address, case.record.clone());
                thread::spawn(move || -> Result<u32, String> {
                    let mut client = Client::connect(address).map_err(|e| e.to_string())?;
                    let mut rows = 0;
                    for i in 0..count {
                        let (id, comment) = comment("report", 3000, Some(&new_id()));
                        let answer =
                            client.query(&write_text(&format!("w{n}-{i}"), "00ff", &comment), 4000);
                        rows += u32::from(matches!(answer, Answer::Row(_)));
                        if !matches!(answer, Answer::Row(_)) {
                            record.line(format!("usual write id={id}: {answer:?}"));
                        }
                    }
                    Ok(rows)
                })
            })
            .collect();
        let mut rows = 0;
        for thread in threads {
            rows += thread.join().map_err(|_| "thread")??;
        }
        if rows < 4 * count as u32 {
            return Err(format!("only {rows} of the usual writes were answered"));
        }
        Ok(())
    };
    warm(28)?;
    for round in 0..ROUNDS {
        warm(4)?;
        let mut big = Client::connect(gateway.address).map_err(client)?;
        let key = format!("key-{round}-{}", new_id());
        let (id, comment) = comment("report", 3000, Some(&key));
        members[0].armed.store(true, Ordering::Relaxed);
        case.record
            .line(format!("client sends the write id={id} k={key} of 64 KiB"));
        let text = write_text(
            &format!("big-{round}"),
            &hex(&vec![round as u8; 64 << 10]),
            &comment,
        );
        big.send(&text).map_err(client)?;
        // The same client's next command, on the same connection, behind the write.
        sleep_ms(40);
        let (next_id, next) = view_comment();
        case.record
            .line(format!("client sends the read id={next_id} behind it"));
        big.send(&read_text("w0-0", &next)).map_err(client)?;
        let answer = big.answer(4000);
        case.record.line(format!(
            "client has for id={id}: {}",
            match &answer {
                Answer::Row(v) => format!("a row of {} bytes", v.len()),
                other => format!("{other:?}"),
            }
        ));
        let next_answer = big.answer(4000);
        case.record
            .line(format!("client has for id={next_id}: {next_answer:?}"));
        sleep_ms(1500);
    }
    let applied = set.applied.lock().unwrap();
    let twice: Vec<_> = applied
        .iter()
        .filter(|(_, (_, times))| *times > 1)
        .collect();
    for (key, (_, times)) in &twice {
        case.record
            .line(format!("BROKEN: k={key} was applied {times} times"));
    }
    case.record.line(format!(
        "{} keys applied, {} of them more than once",
        applied.len(),
        twice.len()
    ));
    Ok(twice.is_empty())
}

fn main() {
    review_stand_ins_2::main(6, judge)
}
