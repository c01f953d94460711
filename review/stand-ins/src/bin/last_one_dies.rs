//! Three gateways that replicate state. Two of them die; the third answers alone and dies as well, before they are back. All
//! come back with their folders. Is a keyed write that its client repeats, marked as a repeat and past the time for which
//! the set remembers its key, run again?

use std::ops::Range;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::client::{Answer, Client, new_id};
use review_stand_ins::discovery::{Discovery, Target, list};
use review_stand_ins::gateway::{Gateway, configuration, folder, free_address, settings};
use review_stand_ins::record::Record;
use review_stand_ins::server::{Behaviour, Log, REMEMBERS_MS, start};
use review_stand_ins::{cannot_run, with_trouble};

const GATEWAYS: usize = 3;
/// The gateway that dies last.
const LAST: usize = 2;
const ROUNDS: usize = 3;
/// The others are dead for so long before it dies.
const ALONE_FOR: Duration = Duration::from_secs(5);
/// Writes that are under way at that gateway as the power goes, and how long they have been.
const UNDER_WAY: usize = 16;
const UNDER_WAY_FOR: Duration = Duration::from_millis(45);
/// A client waits so long for a write, over all its tries; so the settings say as well.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// When a client repeats a write, from its first try: past the set's memory.
const REPEAT_AFTER: Duration = Duration::from_millis(REMEMBERS_MS as u64 + 150);

/// A write that its client has sent.
struct Try {
    number: usize,
    key: String,
    sent: Instant,
    answer: Answer,
}

fn statement(session: &str, value: usize, key: &str, left: Duration, marks: &str) -> String {
    let (id, d) = (new_id(), left.as_millis());
    format!(
        "INSERT INTO records (k, v) VALUES ('{session}', '\\x{value:04x}') RETURNING v /* id={id},c=household-update,t=acme,d={d},k={key}{marks},cluster=1 */"
    )
}

struct Fleet {
    addresses: Vec<String>,
    configurations: Vec<String>,
    operators: Vec<PathBuf>,
    started: usize,
}

impl Fleet {
    /// Writes the files of all gateways.
    fn new(targets: &[Target]) -> Fleet {
        let known = list(41, true, targets);
        let addresses: Vec<String> = (0..GATEWAYS).map(|_| free_address()).collect();
        let members: Vec<String> = (0..GATEWAYS).map(|_| free_address()).collect();
        let (mut configurations, mut operators) = (Vec::new(), Vec::new());
        for n in 0..GATEWAYS {
            let discovery = Discovery::start(41, targets.to_vec());
            let settings = settings("pushed", "none")
                .replace(
                    "\"balancers\":2,\"me\":0",
                    &format!("\"balancers\":3,\"me\":{n}"),
                )
                .replace(
                    r#""aimMs":300.0,"deadlineMs":2000.0,"semantics":"token""#,
                    r#""aimMs":600.0,"deadlineMs":3000.0,"semantics":"token""#,
                )
                .replace("\"name\":\"report\"", "\"name\":\"household-update\"");
            let text = configuration(&addresses[n], &discovery.address, &known, &settings)
                .replace("\"name\":\"n0\"", &format!("\"name\":\"n{n}\""))
                .replace("8c1f30d27a5be964", &format!("8c1f30d27a5be96{n}"));
            configurations.push(text);
            let seeds: Vec<String> = members
                .iter()
                .filter(|other| **other != members[n])
                .map(|other| format!("\"{other}\""))
                .collect();
            let path = folder().join(format!("n{n}.hcl"));
            let text = format!(
                "members {{\n  listen   = \"{}\"\n  fleet    = \"hall\"\n  seeds    = [{}]\n  \
                 founders = [\"n0\", \"n1\", \"n2\"]\n  keys     = [\"7:00112233445566778899aabbccddeeff\"]\n  \
                 disk     = \"{}\"\n}}\nsessions {{\n  follow = true\n  number = \"8c1f30d27a5be964\"\n}}\n\
                 copies {{\n  on = true\n}}\n",
                members[n],
                seeds.join(", "),
                folder().join(format!("member-{n}")).display()
            );
            std::fs::write(&path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
            operators.push(path);
        }
        Fleet {
            addresses,
            configurations,
            operators,
            started: 0,
        }
    }

    /// Starts these gateways and waits until each serves.
    fn start(&mut self, which: Range<usize>) -> Vec<Gateway> {
        self.started += 1;
        let fleet = &*self;
        thread::scope(|scope| {
            let starting: Vec<_> = which
                .map(|n| {
                    scope.spawn(move || {
                        let arguments =
                            format!("--operator {} --log json", fleet.operators[n].display());
                        let log = format!("n{n}-{}", fleet.started);
                        Gateway::start(
                            &fleet.addresses[n],
                            &fleet.configurations[n],
                            &arguments,
                            &log,
                        )
                    })
                })
                .collect();
            starting
                .into_iter()
                .map(|gateway| gateway.join().unwrap())
                .collect()
        })
    }

    /// Founds the fleet, as its operator does once.
    fn found(&self) {
        let repository = PathBuf::from(std::env::var("REPOSITORY").unwrap_or_default());
        let began = Instant::now();
        loop {
            let output = Command::new(repository.join("target/release/leverpoint"))
                .args(["members", "--bootstrap", "--operator"])
                .arg(&self.operators[0])
                .output();
            match output {
                Ok(output) if output.status.success() => return,
                Ok(output) if began.elapsed() > Duration::from_secs(10) => {
                    cannot_run(&String::from_utf8_lossy(&output.stderr));
                }
                Ok(_) => thread::sleep(Duration::from_millis(500)),
                Err(error) => cannot_run(&error.to_string()),
            }
        }
    }
}

/// Has a write answered at each gateway.
fn wait_until_all_answer(fleet: &Fleet, record: &Record) {
    for (n, address) in fleet.addresses.iter().enumerate() {
        let (mut client, began) = (Client::new(address), Instant::now());
        loop {
            let key = new_id();
            let text = statement(&format!("000000000000f00{n}"), 0, &key, CLIENT_TIMEOUT, "");
            let answer = client.query(&text);
            record.line(&format!(
                "client wrote at n{n}, k={key}, answered {answer:?}"
            ));
            if matches!(answer, Answer::Row(_)) {
                break;
            }
            if began.elapsed() > Duration::from_secs(10) {
                cannot_run("a gateway answers no write");
            }
            thread::sleep(Duration::from_millis(300));
        }
    }
}

/// Clients try to write at the gateway that is left; returns how many were answered.
fn write_at_the_last(fleet: &Fleet, round: usize, until: Instant, record: &Record) -> usize {
    let (mut client, mut answered) = (Client::new(&fleet.addresses[LAST]), 0);
    while Instant::now() < until {
        let key = new_id();
        let session = format!("{:016x}", 0xa000 + round * 0x100 + answered);
        let answer = client.query(&statement(&session, answered, &key, CLIENT_TIMEOUT, ""));
        record.line(&format!(
            "client wrote at n{LAST}, k={key}, answered {answer:?}"
        ));
        answered += usize::from(matches!(answer, Answer::Row(_)));
        thread::sleep(Duration::from_millis(100));
    }
    answered
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("a path for the record"));
    let record = Arc::new(Record::create(&path));
    let log = Arc::new(Log::default());
    // TOGETHER=1 has all gateways die in the same instant, as a further control.
    let (dies, together) = (with_trouble(), std::env::var("TOGETHER").is_ok());
    let targets: Vec<Target> = [("s0", true), ("s1", false), ("s2", false)]
        .into_iter()
        .map(|(uid, primary)| Target {
            uid: uid.to_owned(),
            endpoint: start(Behaviour::sound(uid, primary, 60), &log, &record),
            state: "up",
            mode: if primary { "read-write" } else { "read-only" },
            changed: 41,
        })
        .collect();
    let mut fleet = Fleet::new(&targets);
    let mut gateways = fleet.start(0..GATEWAYS);
    thread::sleep(Duration::from_secs(3));
    fleet.found();
    thread::sleep(Duration::from_secs(2));
    let (mut repeated, mut had_run) = (0, 0);
    for round in 0..ROUNDS {
        wait_until_all_answer(&fleet, &record);
        if dies && !together {
            record.line(&format!("all gateways but n{LAST} die"));
            gateways.drain(..LAST);
        }
        let until = Instant::now() + ALONE_FOR;
        let alone = write_at_the_last(&fleet, round, until, &record);
        record.line(&format!(
            "{alone} writes were answered at n{LAST} meanwhile"
        ));
        let tries: Vec<_> = (0..UNDER_WAY)
            .map(|number| {
                let (address, record) = (fleet.addresses[LAST].clone(), record.clone());
                thread::spawn(move || {
                    let mut client = Client::new(&address);
                    let _ = client.query("");
                    let (key, sent) = (format!("b{round:03x}{number:012x}"), Instant::now());
                    let session = format!("{:016x}", 0xb000 + round * 0x100 + number);
                    let answer =
                        client.query(&statement(&session, number, &key, CLIENT_TIMEOUT, ""));
                    record.line(&format!(
                        "client wrote at n{LAST}, k={key}, answered {answer:?}"
                    ));
                    Try {
                        number,
                        key,
                        sent,
                        answer,
                    }
                })
            })
            .collect();
        thread::sleep(UNDER_WAY_FOR);
        if dies {
            record.line(&format!("n{LAST} dies"));
            gateways.clear();
        }
        let tries: Vec<Try> = tries.into_iter().map(|t| t.join().unwrap()).collect();
        if dies {
            gateways = fleet.start(0..GATEWAYS);
            record.line("all gateways serve again");
        }
        // What had no answer is repeated through the other gateways, marked as a repeat.
        let repeats: Vec<_> = tries
            .into_iter()
            .filter(|first| first.answer == Answer::None)
            .map(
                |Try {
                     number, key, sent, ..
                 }| {
                    let address = fleet.addresses[number % LAST].clone();
                    let (record, log) = (record.clone(), log.clone());
                    thread::spawn(move || {
                        let wait = REPEAT_AFTER + Duration::from_millis(40 * number as u64);
                        thread::sleep(wait.saturating_sub(sent.elapsed()));
                        let had_run = log.has_run(&key);
                        let left = CLIENT_TIMEOUT.saturating_sub(sent.elapsed());
                        let session = format!("{:016x}", 0xb000 + round * 0x100 + number);
                        let answer = Client::new(&address)
                            .query(&statement(&session, number, &key, left, ",r=1"));
                        record.line(&format!(
                            "client repeated at n{}, k={key}, answered {answer:?}",
                            number % LAST
                        ));
                        had_run
                    })
                },
            )
            .collect();
        for repeat in repeats {
            repeated += 1;
            had_run += usize::from(repeat.join().unwrap());
        }
        thread::sleep(Duration::from_secs(1));
    }
    let running = gateways.iter_mut().all(Gateway::is_running);
    drop(gateways);
    let twice = log.run_twice();
    let result = format!(
        "{repeated} writes repeated after {} ms, {had_run} of them had run; {twice} writes ran twice",
        REPEAT_AFTER.as_millis()
    );
    record.line(&result);
    println!("{result}");
    if !running || (dies && had_run == 0) {
        cannot_run("a gateway ended, or no repeated write had run");
    }
    std::process::exit(i32::from(twice > 0));
}
