//! Owns the real program as a test or an experiment starts it: its configuration, its log and its end.
//!
//! It must never read the program's state but by what it prints.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use crate::agent::{Agent, start_agent};
use crate::client::Client;
use crate::server::Server;
use crate::wire::{STARTUP_MESSAGE, WAIT_LIMIT, endpoint_list, http_ok, target, unix_ms};

pub struct Gateway {
    pub child: Child,
    pub config_path: PathBuf,
    pub address: String,
    pub log: Receiver<String>,
    /// Lines of the log that were passed over or found.
    pub log_lines: RefCell<Vec<String>>,
    pub agent: Agent,
}

static STARTED: AtomicU32 = AtomicU32::new(0);

/// Held while a socket is open that nobody else may inherit, and while a process is begun: between fork and exec a child
/// has a copy of each descriptor of all threads, and a port that was tried a moment ago would still be listened on.
static BEGINNING: Mutex<()> = Mutex::new(());

fn beginning() -> MutexGuard<'static, ()> {
    BEGINNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Begins a process; it has become that program once this returns.
pub fn spawn_process(command: &mut Command) -> Child {
    let _held = beginning();
    command.spawn().unwrap()
}

/// An address of its own: a free port of a loopback address that no other test has.
pub fn free_address() -> String {
    let nth = STARTED.fetch_add(1, Ordering::Relaxed);
    let (block, last) = (7 + nth / 250 % 100, nth % 250 + 1);
    let _held = beginning();
    let free = TcpListener::bind(format!("127.{block}.{}.{last}:0", std::process::id() % 250));
    free.unwrap().local_addr().unwrap().to_string()
}

pub fn config(address: &str, agent: &str, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{agent}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// A gateway of this program that has these servers on its list, in this memory (MiB) and with so many
/// descriptors; `words` go behind `serve`.
pub fn start_with_servers(
    program: &Path,
    servers: &[(&Server, &str)],
    settings: &str,
    limits: (usize, usize),
    words: &[&str],
) -> Gateway {
    let servers: Vec<_> = servers
        .iter()
        .map(|(s, mode)| (s.address.as_str(), *mode))
        .collect();
    start_with_addresses(program, &servers, settings, limits, words)
}

/// The same, by the servers' addresses.
pub fn start_with_addresses(
    program: &Path,
    servers: &[(&str, &str)],
    settings: &str,
    limits: (usize, usize),
    words: &[&str],
) -> Gateway {
    let agent = start_agent();
    let targets: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(i, (address, mode))| target(&format!("s{i}"), address, "up", mode))
        .collect();
    let address = free_address();
    let text = config(
        &address,
        &agent.address,
        &endpoint_list(7, true, &targets),
        settings,
    );
    let gateway = start(
        &text
            .replace("192,", &format!("{},", limits.0))
            .replace("1024", &limits.1.to_string()),
        address,
        agent,
        program,
        words,
    );
    // The first ask is answered with the list that is held already; what follows is the test's.
    gateway
        .agent
        .responses
        .send(http_ok(&endpoint_list(7, true, &targets)))
        .unwrap();
    gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    gateway
}

/// Names a folder in which the log of every process is kept, each line with the time at which it came.
const LOG_FOLDER: &str = "LEVERPOINT_TEST_LOGS";

fn log_copy(name: &str, process: u32) -> Option<File> {
    let folder = std::env::var_os(LOG_FOLDER).filter(|folder| !folder.is_empty())?;
    let path = Path::new(&folder).join(format!("{name}-{process}.log"));
    Some(File::create(path).unwrap())
}

/// The program with this configuration, once it serves.
pub fn start(text: &str, address: String, agent: Agent, program: &Path, words: &[&str]) -> Gateway {
    let name = address.replace([':', '.'], "-");
    let file = std::env::temp_dir().join(format!("leverpoint-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(program);
    command
        .arg("serve")
        .args(words)
        .env("NODE_CONFIG", &file)
        .env("NODE_DISCOVERY", &agent.address);
    let mut child = spawn_process(command.stderr(Stdio::piped()));
    let (tell, log) = mpsc::channel();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    let mut copy = log_copy(&name, child.id());
    thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if let Some(copy) = &mut copy {
                writeln!(copy, "{} {line}", unix_ms()).unwrap();
            }
            drop(tell.send(line));
        }
    });
    let gateway = Gateway {
        child,
        config_path: file,
        address,
        log,
        log_lines: RefCell::default(),
        agent,
    };
    gateway.wait_for_log("\"serving\"");
    gateway
}

/// Runs a process to its end, and what it has written.
pub fn output(command: &mut Command) -> Output {
    spawn_process(
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped()),
    )
    .wait_with_output()
    .unwrap()
}

/// What a line of name=count says of a name; a value may stand in quotes.
pub fn counter_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split([' ', '"']);
    let value = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))?;
    if value.is_empty() {
        words.next()
    } else {
        Some(value)
    }
}

impl Gateway {
    pub fn wait_for_log(&self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_LIMIT).unwrap_or_else(|end| {
                panic!(
                    "{what}: {end}; the program has said {:?}",
                    self.log_lines.borrow()
                )
            });
            self.log_lines.borrow_mut().push(line.clone());
            if line.contains(what) {
                return line;
            }
        }
    }

    pub fn counters(&self) -> String {
        self.signal("-USR1");
        self.wait_for_log("event=\"counters\"")
    }

    pub fn signal(&self, name: &str) {
        spawn_process(Command::new("kill").args([name, &self.child.id().to_string()]))
            .wait()
            .unwrap();
    }

    /// Stops it where it stands, until it is told to go on; returns once it has stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let status = format!("/proc/{}/status", self.child.id());
        while !std::fs::read_to_string(&status)
            .unwrap()
            .contains("State:\tT")
        {
            thread::yield_now();
        }
    }

    /// Waits until the counters say so.
    pub fn wait_for_counter(&self, what: &str) {
        let began = Instant::now();
        loop {
            let counters = self.counters();
            if counters.contains(&format!(" {what} ")) {
                return;
            }
            assert!(began.elapsed() < WAIT_LIMIT, "{what}: {counters}");
        }
    }

    /// Ends it in order and returns what its counters say of these names.
    pub fn shut_down(mut self, names: &[&str]) -> String {
        self.signal("-TERM");
        let line = self.wait_for_log("event=\"counters\"");
        assert!(self.child.wait().unwrap().success());
        names
            .iter()
            .map(|name| format!("{name}={} ", counter_value(&line, name).unwrap_or("?")))
            .collect()
    }

    /// Ends it in order and returns what it says of its peers.
    /// An older gateway says nothing of them: then its counters.
    pub fn shut_down_for_peers_line(&mut self, older: bool) -> String {
        self.signal("-TERM");
        let line = self.wait_for_log(if older {
            "event=\"counters\""
        } else {
            "event=\"peers\""
        });
        let _ = self.child.wait();
        line
    }

    /// A connection that has said nothing yet.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream
    }

    pub fn connect_client(&self) -> Client {
        let mut stream = self.connect();
        stream.write_all(STARTUP_MESSAGE).unwrap();
        let mut client = Client { stream };
        client.read_response();
        client
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
