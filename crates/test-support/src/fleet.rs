//! A fleet of gateway processes, each with a data directory of its own, and a fault-injecting relay between any two of
//! them. Processes are addressed by their index, from 0.
//!
//! The state of a process is known only from its JSON log lines and from the answers of the program's sub-commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use fastrand::Rng;
use serde_json::Value;

use crate::agent::start_agent;
use crate::gateway::{self, Gateway};
use crate::relay::{LinkDirection, LinkFaults, start_relay};
use crate::wire::{WAIT_LIMIT, http_ok};

/// How the fleet is set up.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of processes that [`GatewayFleet::new`] sets up; they are named `n0`, `n1` and so on.
    pub processes: usize,
    /// Number of founders, the first processes by index, which agree on the first layout.
    pub founders: usize,
    /// Interval of the heartbeats.
    pub heartbeat_ms: u64,
    /// How long a member has to be alive before it is proposed for the layout; the program's default where absent.
    pub join_delay_ms: Option<u64>,
    /// Whether the processes store their state on disk.
    pub disk: bool,
    /// Number of zones; process `p` is in zone `p % zones`.
    pub zones: usize,
    /// Whether the operator's file has a `members` block; without one the processes are independent gateways.
    pub members: bool,
    /// Whether the processes reach each other through relays rather than directly.
    pub relays: bool,
    /// The configuration's settings, as JSON.
    pub settings: String,
    /// The endpoint list known at the start, as JSON; discovery's first answer repeats it.
    pub known_list: String,
    /// HCL text appended to each operator's file, other than those of [`GatewayFleet::older_processes`].
    pub extra_hcl: String,
    /// Seed of the relays' random choices.
    pub seed: u64,
}

/// State of a process as its log lines since the start have reported it.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    /// It was admitted as a member.
    pub admitted: bool,
    /// A newer incarnation of the same member has replaced it.
    pub superseded: bool,
    /// Another process already runs under its member name.
    pub name_in_use: bool,
    /// Version of its layout, 0 before the first.
    pub layout_version: u64,
    /// Number of replica holders in that layout.
    pub holder_count: u64,
    /// Number of different layouts of one version that it has found.
    pub layout_conflicts: u64,
    /// Number of status changes that it reported for an incarnation older than one that it had reported before.
    pub stale_statuses: u64,
    /// Its own incarnation.
    pub incarnation: u64,
    /// Id of its storage in hexadecimal digits, logged as `memory`.
    pub storage_id: String,
    /// By member name: the incarnation, and its status as logged (`here` for an alive member).
    pub statuses: BTreeMap<String, (u64, String)>,
}

impl ObservedState {
    /// Updates the state from one log line.
    fn apply(&mut self, line: &Value) {
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        match line["msg"].as_str().unwrap_or_default() {
            "member admitted" => self.admitted = true,
            "member started" if line["life"].is_u64() => {
                (self.incarnation, self.storage_id) =
                    (line["life"].as_u64().unwrap_or(0), text("memory"));
                self.layout_version = line["layout"].as_u64().unwrap_or(0);
            }
            "member status changed" => {
                let incarnation = line["life"].as_u64().unwrap_or(0);
                self.stale_statuses += u64::from(
                    self.statuses
                        .get(&text("who"))
                        .is_some_and(|(before, _)| incarnation < *before),
                );
                self.statuses
                    .insert(text("who"), (incarnation, text("seen")));
            }
            "layout changed" => {
                self.layout_version = line["version"].as_u64().unwrap_or(0);
                self.holder_count = line["holders"].as_u64().unwrap_or(0);
            }
            "conflicting layouts of one version" => self.layout_conflicts += 1,
            message if message.starts_with("member name already in use") => self.name_in_use = true,
            message if message.starts_with("superseded by a newer incarnation") => {
                self.superseded = true
            }
            _ => {}
        }
    }

    /// Returns whether the member `name` has this status; `false` for a member that was not reported.
    pub fn has_status(&self, name: &str, expected: &str) -> bool {
        self.statuses
            .get(name)
            .is_some_and(|(_, status)| status == expected)
    }

    /// Returns the number of members that have this status.
    pub fn count_with_status(&self, expected: &str) -> usize {
        self.statuses
            .values()
            .filter(|(_, status)| status == expected)
            .count()
    }
}

/// One process of the fleet, running or not.
struct Process {
    name: String,
    gateway: Option<Gateway>,
    observed: ObservedState,
    /// Address at which it accepts connections of its peers; a new one at each start where relays are used.
    peer_address: Arc<Mutex<SocketAddr>>,
    data_dir: PathBuf,
    operator_file: PathBuf,
}

/// The fleet. Dropping it kills its processes and removes their files.
pub struct GatewayFleet {
    program: PathBuf,
    config: FleetConfig,
    /// Name in the operator's files; no other fleet has it, so that processes of two fleets never meet as members.
    fleet_name: String,
    root: PathBuf,
    processes: Vec<Process>,
    /// By sender and receiver. A duplicate started later uses the links of the process whose name it has.
    links: Vec<Vec<LinkDirection>>,
    /// Addresses of the relays, by sender and receiver.
    relays: Vec<Vec<Option<SocketAddr>>>,
    /// By process: the fleet keys in its operator's file, separated by spaces.
    pub keys: Vec<String>,
    /// Processes whose operator's file leaves [`FleetConfig::extra_hcl`] out, because an older program would refuse it.
    pub older_processes: Vec<usize>,
}

/// The key that members of a new fleet share, as `number:hexadecimal digits`.
pub const FLEET_KEY: &str = "7:00112233445566778899aabbccddeeff";

/// Returns a free port of a loopback address that no other fleet uses.
fn free_peer_address() -> SocketAddr {
    let address = gateway::free_address();
    address.parse().unwrap()
}

impl GatewayFleet {
    /// Sets the fleet up and starts its relays, but no process yet.
    pub fn new(program: &Path, config: FleetConfig) -> GatewayFleet {
        let suffix = free_peer_address().to_string().replace([':', '.'], "-");
        let fleet_name = format!("stage-{}-{suffix}", std::process::id());
        let root = std::env::temp_dir().join(format!("leverpoint-{fleet_name}"));
        let mut random = Rng::with_seed(config.seed);
        let n = config.processes;
        let processes: Vec<Process> = (0..n)
            .map(|p| Process {
                name: format!("n{p}"),
                gateway: None,
                observed: ObservedState::default(),
                peer_address: Arc::new(Mutex::new(free_peer_address())),
                data_dir: root.join(format!("p{p}")),
                operator_file: root.join(format!("p{p}.hcl")),
            })
            .collect();
        std::fs::create_dir_all(&root).unwrap();
        let links: Vec<Vec<LinkDirection>> = (0..n)
            .map(|_| (0..n).map(|_| LinkDirection::default()).collect())
            .collect();
        let mut start_relay_between = |a: usize, b: usize| {
            let (forward, backward) = (links[a][b].clone(), links[b][a].clone());
            (a != b && config.relays).then(|| {
                start_relay(
                    processes[b].peer_address.clone(),
                    forward,
                    backward,
                    random.u64(..),
                )
            })
        };
        let relays = (0..n)
            .map(|a| (0..n).map(|b| start_relay_between(a, b)).collect())
            .collect();
        let keys = vec![FLEET_KEY.into(); n];
        GatewayFleet {
            program: program.to_owned(),
            config,
            fleet_name,
            root,
            processes,
            links,
            relays,
            keys,
            older_processes: Vec::new(),
        }
    }

    /// Returns the number of processes, duplicates and stopped ones included.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the member name of a process.
    pub fn name(&self, p: usize) -> &str {
        &self.processes[p].name
    }

    /// Returns the index of the process whose relays `p` uses: the first one of the same name.
    fn relay_owner(&self, p: usize) -> usize {
        self.processes
            .iter()
            .position(|process| process.name == self.processes[p].name)
            .unwrap_or(p)
    }

    /// Returns the text of a process's operator's file; empty where the processes are no members.
    fn operator_file_text(&self, p: usize) -> String {
        let process = &self.processes[p];
        if !self.config.members {
            return String::new();
        }
        let owner = self.relay_owner(p);
        let relay_to =
            |to: usize| self.relays[owner][to].map(|at| (self.processes[to].name.clone(), at));
        let relayed: Vec<_> = (0..self.config.processes).filter_map(relay_to).collect();
        let reach: Vec<_> = relayed
            .iter()
            .map(|(name, at)| format!("\"{name}\" = \"{at}\""))
            .collect();
        let direct = || {
            (0..self.processes.len().min(3))
                .map(|s| *self.processes[s].peer_address.lock().unwrap())
        };
        let seed_addresses: Vec<SocketAddr> = if self.config.relays {
            relayed.iter().take(3).map(|(_, at)| *at).collect()
        } else {
            direct().collect()
        };
        let seeds: Vec<_> = seed_addresses
            .iter()
            .map(|at| format!("\"{at}\""))
            .collect();
        let founders: Vec<_> = (0..self.config.founders)
            .map(|f| format!("\"n{f}\""))
            .collect();
        let disk = format!("  disk = \"{}\"\n", process.data_dir.display());
        let join_delay = self
            .config
            .join_delay_ms
            .map_or(String::new(), |ms| format!("  settles = \"{ms}ms\"\n"));
        format!(
            "members {{\n  listen = \"{}\"\n  fleet = \"{}\"\n  beat = \"{}ms\"\n  zone = \"z{}\"\n  seeds = [{}]\n  \
             reach = {{ {} }}\n  founders = [{}]\n  keys = [{}]\n{}}}\n",
            process.peer_address.lock().unwrap(),
            self.fleet_name,
            self.config.heartbeat_ms,
            owner % self.config.zones,
            seeds.join(", "),
            reach.join(", "),
            founders.join(", "),
            self.keys[p]
                .split(' ')
                .map(|key| format!("\"{key}\""))
                .collect::<Vec<_>>()
                .join(", "),
            if self.config.disk {
                disk
            } else {
                String::new()
            } + &join_delay
        ) + if self.older_processes.contains(&p) {
            ""
        } else {
            &self.config.extra_hcl
        }
    }

    /// Writes the operator's file of a process with the keys and addresses of now.
    pub fn write_operator_file(&self, p: usize) {
        std::fs::write(&self.processes[p].operator_file, self.operator_file_text(p)).unwrap();
    }

    /// Starts a process, with an agent that answers the first request with the known list; panics where the process runs.
    pub fn start(&mut self, p: usize) {
        assert!(
            self.processes[p].gateway.is_none(),
            "the process is running"
        );
        // Connections of the previous process may hold its port for a moment, so a new one is taken; the relays read it
        // from here.
        if self.config.relays {
            *self.processes[p].peer_address.lock().unwrap() = free_peer_address();
        }
        self.write_operator_file(p);
        let agent = start_agent();
        let _ = agent.responses.send(http_ok(&self.config.known_list));
        let address = gateway::free_address();
        let name = &self.processes[p].name;
        let text = gateway::config(
            &address,
            &agent.address,
            &self.config.known_list,
            &self.config.settings,
        );
        let text = text.replace("\"name\":\"n0\"", &format!("\"name\":\"{name}\""));
        let file = self.processes[p].operator_file.display().to_string();
        let args: &[&str] = if self.config.members {
            &["--operator", &file, "--log", "json"]
        } else {
            &["--log", "json"]
        };
        let gateway = gateway::start(&text, address, agent, &self.program, args);
        let mut observed = ObservedState::default();
        gateway
            .log_lines
            .borrow()
            .iter()
            .for_each(|line| observed.apply(&parse_line(line)));
        self.processes[p].observed = observed;
        self.processes[p].gateway = Some(gateway);
    }

    /// Starts all processes, and bootstraps the first layout where there are founders.
    pub fn start_all(&mut self) {
        (0..self.process_count()).for_each(|p| self.start(p));
        if self.config.members && self.config.founders > 0 {
            self.bootstrap(0);
        }
    }

    /// Has the founders of a new fleet agree on the first layout, by an operator's command to process `p`.
    pub fn bootstrap(&self, p: usize) {
        let output = self.run_members_command(p, &["--bootstrap"]);
        assert!(output.status.success(), "{output:?}");
    }

    /// Starts another process under the name of `original`, with a data directory of its own; returns its index.
    pub fn start_duplicate(&mut self, original: usize) -> usize {
        let p = self.processes.len();
        self.processes.push(Process {
            name: self.processes[original].name.clone(),
            gateway: None,
            observed: ObservedState::default(),
            peer_address: Arc::new(Mutex::new(free_peer_address())),
            data_dir: self.root.join(format!("p{p}")),
            operator_file: self.root.join(format!("p{p}.hcl")),
        });
        self.keys.push(self.keys[original].clone());
        self.start(p);
        p
    }

    /// Returns a running process; panics where it does not run.
    pub fn gateway(&self, p: usize) -> &Gateway {
        self.processes[p]
            .gateway
            .as_ref()
            .expect("the process is not running")
    }

    /// Returns whether the process was started and not ended since by one of the calls below.
    pub fn is_running(&self, p: usize) -> bool {
        self.processes[p].gateway.is_some()
    }

    /// Kills a process (SIGKILL); its data directory stays.
    pub fn kill(&mut self, p: usize) {
        self.processes[p].gateway = None;
    }

    /// Kills a process (SIGKILL) and removes its data directory; the log of the returned gateway can still be read.
    pub fn kill_and_erase_keeping_log(&mut self, p: usize) -> Gateway {
        let mut gateway = self.processes[p]
            .gateway
            .take()
            .expect("the process is not running");
        let _ = gateway.child.kill();
        let _ = gateway.child.wait();
        let _ = std::fs::remove_dir_all(&self.processes[p].data_dir);
        gateway
    }

    /// Kills a process (SIGKILL) and removes its data directory.
    pub fn kill_and_erase(&mut self, p: usize) {
        self.kill(p);
        let _ = std::fs::remove_dir_all(&self.processes[p].data_dir);
    }

    /// Sends SIGTERM and waits until the process has exited.
    pub fn shut_down(&mut self, p: usize) {
        if let Some(mut gateway) = self.processes[p].gateway.take() {
            gateway.signal("-TERM");
            let _ = gateway.child.wait();
        }
    }

    /// Sends a signal to a process, see [`Gateway::signal`].
    pub fn signal(&self, p: usize, name: &str) {
        self.gateway(p).signal(name);
    }

    /// Returns the directory in which a process stores its state.
    pub fn data_dir(&self, p: usize) -> &Path {
        &self.processes[p].data_dir
    }

    /// Returns the faults of the frames from one process to another.
    pub fn link(&self, from: usize, to: usize) -> &LinkDirection {
        &self.links[from][to]
    }

    /// Sets the faults of all links between two groups of processes, in both directions.
    pub fn set_faults_between(&self, one: &[usize], other: &[usize], faults: LinkFaults) {
        for a in one {
            for b in other.iter().filter(|b| a != *b) {
                self.links[*a][*b].set(faults);
                self.links[*b][*a].set(faults);
            }
        }
    }

    /// Removes the faults of all links.
    pub fn clear_faults(&self) {
        self.links
            .iter()
            .flatten()
            .for_each(|link| link.set(LinkFaults::default()));
    }

    /// Reads the log lines that have come by now, without waiting, and returns the state that they report.
    pub fn observed(&mut self, p: usize) -> &ObservedState {
        let process = &mut self.processes[p];
        if let Some(gateway) = &process.gateway {
            while let Ok(line) = gateway.log.try_recv() {
                process.observed.apply(&parse_line(&line));
            }
        }
        &process.observed
    }

    /// Reads log lines of a process until its state satisfies `condition`, and returns how long that took. Returns `None`
    /// after [`WAIT_LIMIT`], and where the process does not run or its log ends.
    pub fn wait_for_state(
        &mut self,
        p: usize,
        condition: impl Fn(&ObservedState) -> bool,
    ) -> Option<std::time::Duration> {
        let started_at = Instant::now();
        self.observed(p);
        let process = &mut self.processes[p];
        while !condition(&process.observed) {
            let gateway = process.gateway.as_ref()?;
            let line = gateway
                .log
                .recv_timeout(WAIT_LIMIT.checked_sub(started_at.elapsed())?)
                .ok()?;
            process.observed.apply(&parse_line(&line));
        }
        Some(started_at.elapsed())
    }

    /// Like [`GatewayFleet::wait_for_state`], but panics with `what` and the observed state where that returns `None`.
    pub fn expect_state(
        &mut self,
        p: usize,
        what: &str,
        condition: impl Fn(&ObservedState) -> bool,
    ) {
        if self.wait_for_state(p, condition).is_none() {
            panic!(
                "{} did not reach: {what}; observed {:?}",
                self.name(p),
                self.processes[p].observed
            );
        }
    }

    /// Waits until each of these processes has a layout of at least this version and reports all others of them as alive;
    /// panics otherwise.
    pub fn wait_for_layout(&mut self, members: &[usize], version: u64) {
        let names: Vec<String> = members
            .iter()
            .map(|p| self.processes[*p].name.clone())
            .collect();
        for p in members {
            let others: Vec<String> = names
                .iter()
                .filter(|name| **name != self.processes[*p].name)
                .cloned()
                .collect();
            self.expect_state(
                *p,
                &format!("layout {version} and all members alive"),
                |state| {
                    state.layout_version >= version
                        && others.iter().all(|other| state.has_status(other, "here"))
                },
            );
        }
    }

    /// Returns a counter of the log line `member`, see [`GatewayFleet::counter`].
    pub fn member_counter(&mut self, p: usize, name: &str) -> u64 {
        self.counter(p, "member", name)
    }

    /// Has a process log its counters (SIGUSR1) and returns the counter `name` of the log line `message`, 0 where it is
    /// missing.
    pub fn counter(&mut self, p: usize, message: &str, name: &str) -> u64 {
        self.signal(p, "-USR1");
        let gateway = self.gateway(p);
        let mut lines = Vec::new();
        let count = loop {
            let line = gateway
                .log
                .recv_timeout(WAIT_LIMIT)
                .expect("a log line with counters");
            let value = parse_line(&line);
            if value["msg"] == message && value["all"].is_string() {
                let all = value["all"].as_str().unwrap_or_default().to_owned();
                break gateway::counter_value(&all, name)
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
            }
            lines.push(value);
        };
        lines
            .iter()
            .for_each(|line| self.processes[p].observed.apply(line));
        count
    }

    /// Runs the program's sub-command `members` with these arguments and the operator's file of process `p`.
    pub fn run_members_command(&self, p: usize, args: &[&str]) -> Output {
        let file = self.processes[p].operator_file.display().to_string();
        let mut command = Command::new(&self.program);
        gateway::output(
            command
                .arg("members")
                .args(["--operator", &file])
                .args(args),
        )
    }

    /// Runs the program with these arguments, a sub-command first, and the operator's file of process `p`.
    pub fn run_command(&self, p: usize, args: &[&str]) -> Output {
        let file = self.processes[p].operator_file.display().to_string();
        gateway::output(
            Command::new(&self.program)
                .args(args)
                .args(["--operator", &file]),
        )
    }

    /// Waits until the replication of a process is settled: it knows a single layout version, holds all data of that
    /// version, and knows of no member that may be serving without a quorum (`copies.unseen`). Polls the counters every
    /// 20 ms and panics after [`WAIT_LIMIT`].
    pub fn wait_until_settled(&mut self, p: usize) {
        let started_at = Instant::now();
        loop {
            let names = [
                "copies.layout",
                "copies.base",
                "copies.whole",
                "copies.unseen",
            ];
            let [version, oldest, synced, unaccounted] =
                names.map(|n| self.counter(p, "copies", n));
            if version > 0 && oldest == version && synced >= version && unaccounted == 0 {
                return;
            }
            assert!(
                started_at.elapsed() < WAIT_LIMIT,
                "{}: layout versions {oldest} to {version}, synced {synced}, unaccounted members {unaccounted}",
                self.name(p)
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
}

/// Parses a log line as JSON; null where it is none.
fn parse_line(line: &str) -> Value {
    serde_json::from_str(line).unwrap_or_default()
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        self.processes
            .iter_mut()
            .for_each(|process| process.gateway = None);
        let _ = std::fs::remove_dir_all(&self.root);
    }
}
