//! Discovery: the list of database servers over HTTP, with watches.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

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

struct State {
    revision: u64,
    targets: Vec<Target>,
}

pub struct Discovery {
    pub address: String,
    state: Mutex<State>,
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
    pub fn start(revision: u64, targets: Vec<Target>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .unwrap_or_else(|e| crate::cannot_run(&format!("no address: {e}")));
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap().to_string(),
            state: Mutex::new(State { revision, targets }),
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
            self.answer(&mut stream, since, number("wait").unwrap_or(0))?;
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        since: Option<u64>,
        wait_ms: u64,
    ) -> std::io::Result<()> {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let newer = |state: &State| since.is_none_or(|since| state.revision > since);
        while !newer(&self.state.lock().unwrap()) && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let body = {
            let state = self.state.lock().unwrap();
            match since {
                Some(since) => {
                    let changed = state.targets.iter().filter(|t| t.changed > since);
                    list(state.revision, false, &changed.cloned().collect::<Vec<_>>())
                }
                None => list(state.revision, true, &state.targets),
            }
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())
    }
}
