//! Some good answers are followed by a second copy, right after, when nothing else waits on the connection: is any client
//! served the value of another one's request?

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::client::{Answer, Client, new_id};
use review_stand_ins::discovery::{Discovery, Target, list};
use review_stand_ins::gateway::{Gateway, configuration, free_address, settings};
use review_stand_ins::record::{Record, unix_ms};
use review_stand_ins::{cannot_run, wire, with_trouble};

/// Time on the network in one direction; the deployment has 1.4 to 2.6 ms between its data centres.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Time between the last byte of an answer and the first of its second copy.
const RIGHT_AFTER: Duration = Duration::from_micros(300);
/// One answer in so many of a connection has a second copy.
const COPY_EVERY: u64 = 20;
const WORK: Duration = Duration::from_millis(10);
const CLIENTS: u64 = 24;
/// Mean pause of a client between two commands, in microseconds.
const PAUSE_US: u64 = 60_000;
const PLAYED: Duration = Duration::from_secs(30);

/// Forwards bytes after a one-way delay, in order.
fn delayed_pump(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(n) = from.read(&mut buffer) {
            if n == 0
                || sender
                    .send((Instant::now() + ONE_WAY, buffer[..n].to_vec()))
                    .is_err()
            {
                break;
            }
        }
    });
    for (at, bytes) in receiver {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn relay(to: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(&to) else {
                continue;
            };
            let _ = (from.set_nodelay(true), server.set_nodelay(true));
            let (Ok(a), Ok(b)) = (from.try_clone(), server.try_clone()) else {
                continue;
            };
            thread::spawn(move || delayed_pump(a, server));
            thread::spawn(move || delayed_pump(b, from));
        }
    });
    address
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("a path for the record"));
    let record = Arc::new(Record::create(&path));
    let copies = Arc::new(AtomicU64::new(0));
    let mut targets = Vec::new();
    for (uid, primary) in [("s0", true), ("s1", false), ("s2", false)] {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let server = listener.local_addr().unwrap().to_string();
        let (copies, record) = (copies.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (copies, record) = (copies.clone(), record.clone());
                thread::spawn(move || serve(stream, uid, primary, &copies, &record));
            }
        });
        targets.push(Target {
            uid: uid.to_owned(),
            endpoint: relay(server),
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
        &settings("pushed", "reject"),
    );
    let mut gateway = Gateway::start(&address, &text, "", "gateway");
    let stop = Arc::new(AtomicBool::new(false));
    let (answered, foreign) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, stop, record) = (address.clone(), stop.clone(), record.clone());
            let (answered, foreign) = (answered.clone(), foreign.clone());
            thread::spawn(move || {
                let mut client = Client::new(&address);
                let mut random = 0x9e37_79b9 + number * 7_919;
                while !stop.load(SeqCst) {
                    let id = new_id();
                    let text = format!("SELECT v FROM records WHERE k = '7f3a{number:012x}' /* id={id},c=history,t=acme,d=1200,cluster=1 */");
                    let answer = client.query(&text);
                    if let Answer::Row(value) = &answer {
                        answered.fetch_add(1, SeqCst);
                        if *value != id {
                            foreign.fetch_add(1, SeqCst);
                            record.line(&format!("client {number} id={id} was served {value}, the value of another request"));
                        }
                    }
                    record.line(&format!("client {number} id={id} answered {answer:?}"));
                    // Spread between half and one and a half of the mean, so that the clients do not keep step.
                    random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(number * 2 + 1);
                    thread::sleep(Duration::from_micros(PAUSE_US / 2 + (random >> 33) % PAUSE_US));
                }
            })
        })
        .collect();
    thread::sleep(PLAYED);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let running = gateway.is_running();
    drop(gateway);
    let (answered, foreign, copies) = (
        answered.load(SeqCst),
        foreign.load(SeqCst),
        copies.load(SeqCst),
    );
    let result = format!(
        "{answered} commands answered, {copies} second copies sent, {foreign} clients served the value of another one's command"
    );
    record.line(&result);
    println!("{result}");
    if !running || answered == 0 {
        cannot_run("the gateway ended or answered nothing");
    }
    std::process::exit(i32::from(foreign > 0));
}

fn serve(
    mut stream: TcpStream,
    uid: &str,
    primary: bool,
    copies: &AtomicU64,
    record: &Record,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    wire::read_startup(&mut stream).ok()?;
    stream.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").ok()?;
    let mut number = 0u64;
    loop {
        let (tag, body) = wire::read_message(&mut stream).ok()?;
        if tag != b'Q' {
            return None;
        }
        let text = String::from_utf8_lossy(&body)
            .trim_end_matches('\0')
            .to_owned();
        let id = wire::field(&text, "id").unwrap_or_default().to_owned();
        thread::sleep(WORK);
        let mut out = wire::row(id.as_bytes(), text.starts_with("INSERT"));
        out.extend(wire::status(
            primary,
            unix_ms() - if primary { 0.0 } else { 10.0 },
        ));
        record.line(&format!("{uid} answers id={id}"));
        stream.write_all(&out).ok()?;
        number += 1;
        if with_trouble() && number % COPY_EVERY == 0 {
            thread::sleep(RIGHT_AFTER);
            // The copy is sent only where nothing of a further statement has reached the server.
            stream.set_nonblocking(true).ok()?;
            let waits =
                !matches!(stream.peek(&mut [0; 1]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            stream.set_nonblocking(false).ok()?;
            if !waits {
                stream.write_all(&out).ok()?;
                copies.fetch_add(1, SeqCst);
                record.line(&format!("{uid} sends the answer of id={id} a second time"));
            }
        }
    }
}
