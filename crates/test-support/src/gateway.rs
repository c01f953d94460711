//! Runs the gateway program as a child process: writes its configuration, reads its log and stops it.
//!
//! The program's state is known only from what it prints.

use std::cell::RefCell;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Instant;

pub use crate::addresses::free_address;
use crate::agent::{Agent, start_agent};
pub use crate::child_process::{output, spawn_process};
use crate::client::Client;
use crate::server::Server;
use crate::wire::{STARTUP_MESSAGE, WAIT_LIMIT, endpoint_list, http_ok, target, unix_ms};

/// A running gateway process. Dropping it sends SIGKILL and removes its configuration file.
pub struct Gateway {
    /// The process.
    pub child: Child,
    /// Its JSON configuration file, in the system's temporary directory.
    pub config_path: PathBuf,
    /// The address at which it accepts clients, `IP:port`.
    pub address: String,
    /// Log lines that have not been read yet.
    pub log: Receiver<String>,
    /// Log lines that [`Gateway::wait_for_log`] has read, in order.
    pub log_lines: RefCell<Vec<String>>,
    /// Its discovery agent.
    pub agent: Agent,
}

/// Returns a configuration as JSON for a gateway named `n0`, with limits of one core, 192 MiB and 1024 descriptors.
/// `agent` is the discovery agent's address, `known_list` the endpoint list known at the start and `settings` the settings,
/// both as JSON.
pub fn config(address: &str, agent: &str, known_list: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{agent}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known_list},"settings":{settings}}}"#
    )
}

/// Starts `program` with an endpoint list of these servers, each with its mode (`read-write` or `read-only`). `limits` are
/// the memory in MiB and the number of descriptors; `args` follow the sub-command `serve`.
pub fn start_with_servers(
    program: &Path,
    servers: &[(&Server, &str)],
    settings: &str,
    limits: (usize, usize),
    args: &[&str],
) -> Gateway {
    let servers: Vec<_> = servers
        .iter()
        .map(|(s, mode)| (s.address.as_str(), *mode))
        .collect();
    start_with_addresses(program, &servers, settings, limits, args)
}

/// Like [`start_with_servers`], with the servers given by address.
pub fn start_with_addresses(
    program: &Path,
    servers: &[(&str, &str)],
    settings: &str,
    limits: (usize, usize),
    args: &[&str],
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
        args,
    );
    // The first request is answered with the list that the gateway knows already. Once the second has come, the gateway
    // has read that answer; the second and later requests are left to the test.
    gateway
        .agent
        .responses
        .send(http_ok(&endpoint_list(7, true, &targets)))
        .unwrap();
    gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    gateway.agent.requests.recv_timeout(WAIT_LIMIT).unwrap();
    gateway
}

/// Environment variable that names a directory in which the log of each process is kept, every line after the time in Unix
/// milliseconds at which it was read.
const LOG_DIR_VARIABLE: &str = "LEVERPOINT_TEST_LOGS";

/// Creates the copy of a process's log, where [`LOG_DIR_VARIABLE`] is set.
fn create_log_copy(name: &str, process: u32) -> Option<File> {
    let directory = std::env::var_os(LOG_DIR_VARIABLE).filter(|directory| !directory.is_empty())?;
    let path = Path::new(&directory).join(format!("{name}-{process}.log"));
    Some(File::create(path).unwrap())
}

/// Starts `program` with the configuration `text` and returns once it has logged that it serves. `args` follow the
/// sub-command `serve`.
pub fn start(text: &str, address: String, agent: Agent, program: &Path, args: &[&str]) -> Gateway {
    let name = address.replace([':', '.'], "-");
    let config_path =
        std::env::temp_dir().join(format!("leverpoint-{}-{name}.json", std::process::id()));
    std::fs::write(&config_path, text).unwrap();
    let mut command = Command::new(program);
    command
        .arg("serve")
        .args(args)
        .env("NODE_CONFIG", &config_path)
        .env("NODE_DISCOVERY", &agent.address);
    let mut child = spawn_process(command.stderr(Stdio::piped()));
    let (log_tx, log) = mpsc::channel();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    let mut copy = create_log_copy(&name, child.id());
    thread::spawn(move || {
        for line in stderr.lines().map_while(Result::ok) {
            if let Some(copy) = &mut copy {
                writeln!(copy, "{} {line}", unix_ms()).unwrap();
            }
            drop(log_tx.send(line));
        }
    });
    let gateway = Gateway {
        child,
        config_path,
        address,
        log,
        log_lines: RefCell::default(),
        agent,
    };
    gateway.wait_for_log("\"serving\"");
    gateway
}

/// Returns the value of `name` in a line of `name=value` pairs. A value may be quoted.
pub fn counter_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pieces = line.split([' ', '"']);
    let value = pieces.find_map(|piece| piece.strip_prefix(name)?.strip_prefix('='))?;
    if value.is_empty() {
        pieces.next()
    } else {
        Some(value)
    }
}

impl Gateway {
    /// Reads log lines until one contains `what`, and returns it. Panics where none comes for [`WAIT_LIMIT`].
    pub fn wait_for_log(&self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(WAIT_LIMIT).unwrap_or_else(|error| {
                panic!(
                    "{what}: {error}; log lines read: {:?}",
                    self.log_lines.borrow()
                )
            });
            self.log_lines.borrow_mut().push(line.clone());
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Has the process log its counters (SIGUSR1) and returns that line.
    pub fn counters(&self) -> String {
        self.signal("-USR1");
        self.wait_for_log("event=\"counters\"")
    }

    /// Sends a signal, given as an option of `kill(1)`, e.g. `-TERM`.
    pub fn signal(&self, name: &str) {
        spawn_process(Command::new("kill").args([name, &self.child.id().to_string()]))
            .wait()
            .unwrap();
    }

    /// Suspends the process with SIGSTOP and returns once it is stopped; SIGCONT resumes it.
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

    /// Returns the most memory that the process has had resident, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib: usize = line
            .and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .expect("VmHWM in kB");
        kib << 10
    }

    /// Polls the counters until they contain `what`, a `name=value` pair. Panics after [`WAIT_LIMIT`].
    pub fn wait_for_counter(&self, what: &str) {
        let started_at = Instant::now();
        loop {
            let counters = self.counters();
            if counters.contains(&format!(" {what} ")) {
                return;
            }
            assert!(started_at.elapsed() < WAIT_LIMIT, "{what}: {counters}");
        }
    }

    /// Sends SIGTERM, waits for a successful exit and returns these counters of the last log line as `name=value` pairs,
    /// `?` for a counter that is missing.
    pub fn shut_down(mut self, names: &[&str]) -> String {
        self.signal("-TERM");
        let line = self.wait_for_log("event=\"counters\"");
        assert!(self.child.wait().unwrap().success());
        names
            .iter()
            .map(|name| format!("{name}={} ", counter_value(&line, name).unwrap_or("?")))
            .collect()
    }

    /// Sends SIGTERM, waits for the exit and returns the log line of the peers' counters, or that of the general counters
    /// for an `older` program, which logs no peers.
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

    /// Opens a connection to the gateway without sending anything. Reads time out after [`WAIT_LIMIT`].
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream
    }

    /// Opens a connection and completes the startup.
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
