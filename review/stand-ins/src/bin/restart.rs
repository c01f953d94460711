//! A session's write, whose server closes the connection right behind the row; then an orderly restart of the only
//! gateway; then the session's read while replicas lag: does it see the write?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

use review_stand_ins::client::{Answer, Client, new_id};
use review_stand_ins::discovery::{Discovery, Target, list};
use review_stand_ins::gateway::{Gateway, configuration, folder, free_address, settings};
use review_stand_ins::record::{Record, unix_ms};
use review_stand_ins::server::{Behaviour, Log, SlowReplay, start};
use review_stand_ins::{cannot_run, with_trouble};

const SESSIONS: usize = 20;
/// Of the three restarts, the replicas apply the log slowly around each one.
const ROUNDS: usize = 3;
const ROUND_MS: f64 = 14_000.0;
const SLOW_FROM_MS: f64 = 1_000.0;
const SLOW_MS: f64 = 11_000.0;
const SLOW_FACTOR: f64 = 10.0;
/// Of each round, when the sessions write.
const WRITE_AT_MS: f64 = 4_000.0;

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("a path for the record"));
    let record = Arc::new(Record::create(&path));
    let log = Arc::new(Log::default());
    let began = unix_ms() + 1_000.0;
    let slow: Vec<SlowReplay> = (0..ROUNDS)
        .map(|round| {
            let from_ms = began + round as f64 * ROUND_MS + SLOW_FROM_MS;
            SlowReplay {
                from_ms,
                until_ms: from_ms + SLOW_MS,
                factor: SLOW_FACTOR,
            }
        })
        .collect();
    let closing = Arc::new(AtomicBool::new(false));
    let mut targets = Vec::new();
    for (uid, primary) in [("s0", true), ("s1", false), ("s2", false)] {
        let mut behaviour = Behaviour::sound(uid, primary, 20);
        behaviour.slow = slow.clone();
        let closing = closing.clone();
        behaviour.closes_behind_row =
            Box::new(move |text| text.starts_with("INSERT") && closing.load(SeqCst));
        targets.push(Target {
            uid: uid.to_owned(),
            endpoint: start(behaviour, &log, &record),
            state: "up",
            mode: if primary { "read-write" } else { "read-only" },
            changed: 41,
        });
    }
    let known = list(41, true, &targets);
    let discovery = Discovery::start(41, targets);
    let address = free_address();
    let text = configuration(
        &address,
        &discovery.address,
        &known,
        &settings("pushed", "none"),
    );
    let operator = folder().join("operator.hcl");
    let disk = folder().join("positions");
    let block = format!(
        "sessions {{\n  follow = true\n  alone  = true\n  moves  = false\n  number = \"8c1f30d27a5be964\"\n  disk   = \"{}\"\n}}\n",
        disk.display()
    );
    std::fs::write(&operator, block).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let arguments = format!("--operator {}", operator.display());
    let sleep_until =
        |unix: f64| thread::sleep(Duration::from_secs_f64((unix - unix_ms()).max(0.0) / 1e3));
    let mut gateway = Gateway::start(&address, &text, &arguments, "gateway-0");
    let (mut written, mut read, mut missing) = (0, 0, 0);
    for round in 0..ROUNDS {
        sleep_until(began + round as f64 * ROUND_MS + WRITE_AT_MS);
        closing.store(with_trouble(), SeqCst);
        let mut client = Client::new(&address);
        let mut sessions = Vec::new();
        for number in 0..SESSIONS {
            let (id, key) = (new_id(), format!("{round:08x}{number:08x}"));
            let value = format!("{round:02x}{number:02x}");
            let text = format!(
                "INSERT INTO records (k, v) VALUES ('{key}', '\\x{value}') RETURNING v /* id={id},c=report,t=acme,d=2000,k={id},cluster=1 */"
            );
            let answer = client.query(&text);
            record.line(&format!(
                "client wrote {value} to session {key}, id={id}, answered {answer:?}"
            ));
            if matches!(answer, Answer::Row(_)) {
                sessions.push((key, value));
            }
        }
        written += sessions.len();
        closing.store(false, SeqCst);
        drop(client);
        record.line("the gateway is told to end");
        if !gateway.terminate(Duration::from_secs(5)) {
            cannot_run("the gateway did not end in order");
        }
        gateway = Gateway::start(
            &address,
            &text,
            &arguments,
            &format!("gateway-{}", round + 1),
        );
        record.line("the gateway serves again");
        let mut client = Client::new(&address);
        // Another session writes, so that the gateway has heard from the primary since its start.
        let id = new_id();
        let text = format!(
            "INSERT INTO records (k, v) VALUES ('00000000ffffffff', '\\x00') RETURNING v /* id={id},c=report,t=acme,d=2000,k={id},cluster=1 */"
        );
        let answer = client.query(&text);
        record.line(&format!(
            "client of another session wrote, id={id}, answered {answer:?}"
        ));
        for (key, value) in sessions {
            let id = new_id();
            let text = format!(
                "SELECT v FROM records WHERE k = '{key}' /* id={id},c=own-result,t=acme,d=1500,cluster=1 */"
            );
            let answer = client.query(&text);
            record.line(&format!(
                "client read session {key}, id={id}, answered {answer:?}, wrote {value}"
            ));
            if let Answer::Row(found) = answer {
                read += 1;
                missing += usize::from(found != value);
            }
        }
    }
    drop(gateway);
    let result = format!(
        "{written} writes answered, {read} reads of them answered after a restart, {missing} without the session's own write"
    );
    record.line(&result);
    println!("{result}");
    if read == 0 {
        cannot_run("no read was answered");
    }
    std::process::exit(i32::from(missing > 0));
}
