//! Reads with a bound on the age of their data, while replicas apply the log slowly and some connections come up late:
//! is a read sent to a replica whose data is older than the bound at that time?

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

use review_stand_ins::client::{Answer, Client, new_id};
use review_stand_ins::discovery::{Discovery, Target, list};
use review_stand_ins::gateway::{Gateway, configuration, free_address, settings};
use review_stand_ins::record::{Record, unix_ms};
use review_stand_ins::server::{Behaviour, Log, SlowReplay, start};
use review_stand_ins::{cannot_run, relay, wire, with_trouble};

/// The bound of `board-view` in the settings, and 50 ms more as each limit has on sockets.
const BOUND_MS: f64 = 3_050.0;
/// A third of the connections comes up so late; the settings' connect timeout is 250 ms.
const LATE: Duration = Duration::from_millis(200);
const PERIODS: usize = 4;
const PERIOD_MS: f64 = 14_000.0;
/// Of each period, the replicas apply the log slowly from here on for `SLOW_MS`.
const SLOW_FROM_MS: f64 = 3_000.0;
const SLOW_MS: f64 = 10_000.0;
const SLOW_FACTOR: f64 = 10.0;

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("a path for the record"));
    let record = Arc::new(Record::create(&path));
    let log = Arc::new(Log::default());
    let began = unix_ms() + 1_000.0;
    let slow: Vec<SlowReplay> = (0..PERIODS)
        .map(|period| {
            let from_ms = began + period as f64 * PERIOD_MS + SLOW_FROM_MS;
            SlowReplay {
                from_ms,
                until_ms: from_ms + SLOW_MS,
                factor: SLOW_FACTOR,
            }
        })
        .collect();
    let (bounded, stale) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stale_ids = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut targets = Vec::new();
    for (uid, primary) in [("s0", true), ("s1", false), ("s2", false)] {
        let mut behaviour = Behaviour::sound(uid, primary, 40);
        behaviour.slow = slow.clone();
        // Idle connections are closed early.
        behaviour.closes_after_answer = true;
        let (bounded, stale, record_too) = (bounded.clone(), stale.clone(), record.clone());
        let stale_ids = stale_ids.clone();
        behaviour.on_served = Box::new(move |served| {
            if wire::field(served.text, "c") != Some("board-view") || served.primary {
                return;
            }
            bounded.fetch_add(1, SeqCst);
            // By the position at the answer, which is the newest that the read can have seen.
            let age = served.received_unix - served.position;
            if age > BOUND_MS {
                stale.fetch_add(1, SeqCst);
                let id = wire::field(served.text, "id")
                    .unwrap_or_default()
                    .to_owned();
                record_too.line(&format!(
                    "{} answered id={id} from data {age:.0} ms old",
                    served.server
                ));
                stale_ids.lock().unwrap().push(id);
            }
        });
        let server = start(behaviour, &log, &record);
        let late = with_trouble();
        let delay = move |number: u64| {
            if late && number % 3 == 2 {
                LATE
            } else {
                Duration::ZERO
            }
        };
        targets.push(Target {
            uid: uid.to_owned(),
            endpoint: relay::start(server, Arc::new(delay)),
            state: "up",
            mode: if primary { "read-write" } else { "read-only" },
            changed: 41,
        });
    }
    let known = list(41, true, &targets);
    let discovery = Discovery::start(41, targets, &record);
    let address = free_address();
    let text = configuration(
        &address,
        &discovery.address,
        &known,
        &settings("pushed", "none"),
    );
    let mut gateway = Gateway::start(&address, &text, "", "gateway");
    record.line("the gateway serves");
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let served_stale = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..24u64)
        .map(|number| {
            let (address, stop, answered, record) =
                (address.clone(), stop.clone(), answered.clone(), record.clone());
            let (stale_ids, served_stale) = (stale_ids.clone(), served_stale.clone());
            thread::spawn(move || {
                let mut client = Client::new(&address);
                thread::sleep(Duration::from_millis(number * 13));
                while !stop.load(SeqCst) {
                    let id = new_id();
                    let (class, d) = if number % 4 == 0 { ("history", 1200) } else { ("board-view", 2000) };
                    let text = format!(
                        "SELECT v FROM records WHERE k = '7f3a{number:012x}' /* id={id},c={class},t=acme,d={d},cluster=1 */"
                    );
                    let answer = client.query(&text);
                    if matches!(answer, Answer::Row(_)) && stale_ids.lock().unwrap().contains(&id) {
                        served_stale.fetch_add(1, SeqCst);
                    }
                    record.line(&format!("client {number} id={id} c={class} answered {answer:?}"));
                    answered.fetch_add(u64::from(matches!(answer, Answer::Row(_))), SeqCst);
                    thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    let left = began + PERIODS as f64 * PERIOD_MS - unix_ms();
    thread::sleep(Duration::from_secs_f64(left.max(0.0) / 1e3));
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let running = gateway.is_running();
    drop(gateway);
    let (bounded, stale, answered) = (
        bounded.load(SeqCst),
        stale.load(SeqCst),
        answered.load(SeqCst),
    );
    let result = format!(
        "replicas ran {bounded} bounded reads, {stale} of them on data more than {BOUND_MS} ms old when they were received, \
         {} of these answers reached clients; {answered} commands answered",
        served_stale.load(SeqCst)
    );
    record.line(&result);
    println!("{result}");
    if !running || bounded == 0 || answered == 0 {
        cannot_run("the gateway ended, or no bounded read reached a replica");
    }
    std::process::exit(i32::from(stale > 0));
}
