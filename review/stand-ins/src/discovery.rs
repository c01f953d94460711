//! Discovery: the list of database servers over HTTP, with watches.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// One line of the list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    pub state: &'static str,
    pub mode: &'static str,
    /// Revision at which the line last changed.
    pub changed: u64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m","pod_group":1,"state":"{}","capacity_hint":1.0,"boot_ms":0,"mode":"{}"}}"#,
            self.uid, self.endpoint, self.state, self.mode
        )
    }
}

/// How discovery answers at the moment.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Pace {
    AtOnce,
    /// Each answer is whole, in pieces over this time.
    Pieces(Duration),
    /// Each call is refused with 503 after this time in a queue.
    Refused(Duration),
}

struct State {
    revision: u64,
    targets: Vec<Target>,
    pace: Pace,
}

pub struct Discovery {
    pub address: String,
    state: Mutex<State>,
    record: Arc<Record>,
}

/// The text of a list.
pub fn list(revision: u64, all: bool, targets: &[Target]) -> String {
    let lines: Vec<String> = targets.iter().map(Target::json).collect();
    format!(
        r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#,
        lines.join(",")
    )
}

impl Discovery {
    pub fn start(revision: u64, targets: Vec<Target>, record: &Arc<Record>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .unwrap_or_else(|e| crate::cannot_run(&format!("no address: {e}")));
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap().to_string(),
            state: Mutex::new(State {
                revision,
                targets,
                pace: Pace::AtOnce,
            }),
            record: record.clone(),
        });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        discovery
    }

    pub fn set_pace(&self, pace: Pace) {
        self.state.lock().unwrap().pace = pace;
        self.record
            .line(&format!("discovery answers from now on: {pace:?}"));
    }

    /// Changes the state of a server, under the next revision.
    pub fn set_state(&self, uid: &str, to: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for target in state.targets.iter_mut().filter(|target| target.uid == uid) {
            (target.state, target.changed) = (to, revision);
        }
        self.record
            .line(&format!("discovery has {uid} as {to}, revision {revision}"));
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request)? == 0 {
                return Ok(());
            }
            let mut header = String::from("-");
            while !header.trim().is_empty() {
                header.clear();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
            }
            let path = request.split(' ').nth(1).unwrap_or_default();
            let number = |name: &str| {
                path.split(['?', '&']).find_map(|pair| {
                    pair.strip_prefix(name)?
                        .strip_prefix('=')?
                        .parse::<u64>()
                        .ok()
                })
            };
            let since = number("index");
            self.record.line(&format!("discovery called: {path}"));
            self.answer(&mut stream, since, number("wait").unwrap_or(0))?;
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        since: Option<u64>,
        wait_ms: u64,
    ) -> std::io::Result<()> {
        let pace = self.state.lock().unwrap().pace;
        if let Pace::Refused(queued) = pace {
            thread::sleep(queued);
            self.record.line("discovery answered 503");
            return stream
                .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let newer = |state: &State| since.is_none_or(|since| state.revision > since);
        while !newer(&self.state.lock().unwrap()) && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let (body, pace) = {
            let state = self.state.lock().unwrap();
            let body = match since {
                Some(since) => {
                    let changed: Vec<Target> = state
                        .targets
                        .iter()
                        .filter(|t| t.changed > since)
                        .cloned()
                        .collect();
                    list(state.revision, false, &changed)
                }
                None => list(state.revision, true, &state.targets),
            };
            (body, state.pace)
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        match pace {
            Pace::Pieces(over) => {
                // The head and a first piece at once, nine more over the time.
                let piece = body.len().div_ceil(10);
                stream.write_all(head.as_bytes())?;
                for (number, part) in body.as_bytes().chunks(piece).enumerate() {
                    if number > 0 {
                        thread::sleep(over / 9);
                    }
                    if let Err(error) = stream.write_all(part) {
                        self.record
                            .line("discovery: the gateway has closed in the middle of an answer");
                        return Err(error);
                    }
                }
            }
            _ => stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?,
        }
        self.record
            .line(&format!("discovery answered whole: {body:.120}"));
        Ok(())
    }
}
