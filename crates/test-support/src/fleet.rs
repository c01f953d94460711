//! Owns a fleet of real processes: each with a folder of its own, between each two a relay, and what a script may do to
//! either.
//!
//! It must never know what a process holds but by its own word: its log lines in JSON and its command line.

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
    pub processes: usize,
    /// So many of them agree on the first layout.
    pub founders: usize,
    pub heartbeat_ms: u64,
    /// How long one is seen before it is proposed; the usual time where it is absent.
    pub join_delay_ms: Option<u64>,
    /// Whether they keep what they hold on a disk.
    pub disk: bool,
    /// Processes stand in so many zones in turn.
    pub zones: usize,
    /// Whether the operator's file makes them members at all, and whether relays stand between them.
    pub members: bool,
    pub relays: bool,
    /// The configuration's settings, and the list of servers that is known.
    pub settings: String,
    pub known_list: String,
    /// What else the operator's file of each says.
    pub extra_hcl: String,
    pub seed: u64,
}

/// What a process has said of itself, line by line.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    pub admitted: bool,
    pub superseded: bool,
    pub name_in_use: bool,
    pub layout_version: u64,
    pub holder_count: u64,
    pub layout_conflicts: u64,
    /// Words of others' lives that had ended before, by its own earlier word.
    pub stale_statuses: u64,
    pub incarnation: u64,
    pub storage_id: String,
    /// By name: life, and how it is seen.
    pub statuses: BTreeMap<String, (u64, String)>,
}

impl ObservedState {
    fn take(&mut self, line: &Value) {
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        match line["msg"].as_str().unwrap_or_default() {
            "member admitted" => self.admitted = true,
            "member started" if line["life"].is_u64() => {
                (self.incarnation, self.storage_id) =
                    (line["life"].as_u64().unwrap_or(0), text("memory"));
                self.layout_version = line["layout"].as_u64().unwrap_or(0);
            }
            "member status changed" => {
                let life = line["life"].as_u64().unwrap_or(0);
                self.stale_statuses += u64::from(
                    self.statuses
                        .get(&text("who"))
                        .is_some_and(|(before, _)| life < *before),
                );
                self.statuses.insert(text("who"), (life, text("seen")));
            }
            "layout changed" => {
                self.layout_version = line["version"].as_u64().unwrap_or(0);
                self.holder_count = line["holders"].as_u64().unwrap_or(0);
            }
            "conflicting layouts of one version" => self.layout_conflicts += 1,
            said if said.starts_with("member name already in use") => self.name_in_use = true,
            said if said.starts_with("superseded by a newer incarnation") => self.superseded = true,
            _ => {}
        }
    }

    pub fn has_status(&self, name: &str, how: &str) -> bool {
        self.statuses.get(name).is_some_and(|(_, seen)| seen == how)
    }

    /// How many it sees so.
    pub fn count_with_status(&self, how: &str) -> usize {
        self.statuses
            .values()
            .filter(|(_, seen)| seen == how)
            .count()
    }
}

/// One process of the fleet, running or not.
struct Place {
    name: String,
    gateway: Option<Gateway>,
    word: ObservedState,
    link: Arc<Mutex<SocketAddr>>,
    folder: PathBuf,
    file: PathBuf,
}

pub struct GatewayFleet {
    program: PathBuf,
    build: FleetConfig,
    root: PathBuf,
    places: Vec<Place>,
    /// From, to; a process that came in later under a name already there has that one's ways.
    ways: Vec<Vec<LinkDirection>>,
    relays: Vec<Vec<Option<SocketAddr>>>,
    pub keys: Vec<String>,
    /// Processes whose file says nothing of `more`, as an older program's.
    pub older_processes: Vec<usize>,
}

pub const FLEET_KEY: &str = "7:00112233445566778899aabbccddeeff";

/// A port that is free just now, on a loopback address that no other stage has.
fn free() -> SocketAddr {
    let address = gateway::free_address();
    address.parse().unwrap()
}

impl GatewayFleet {
    /// Relays stand, no process runs yet.
    pub fn new(program: &Path, build: FleetConfig) -> GatewayFleet {
        let mark = free().to_string().replace([':', '.'], "-");
        let root =
            std::env::temp_dir().join(format!("leverpoint-stage-{}-{mark}", std::process::id()));
        let mut chance = Rng::with_seed(build.seed);
        let n = build.processes;
        let places: Vec<Place> = (0..n)
            .map(|p| Place {
                name: format!("n{p}"),
                gateway: None,
                word: ObservedState::default(),
                link: Arc::new(Mutex::new(free())),
                folder: root.join(format!("p{p}")),
                file: root.join(format!("p{p}.hcl")),
            })
            .collect();
        std::fs::create_dir_all(&root).unwrap();
        let ways: Vec<Vec<LinkDirection>> = (0..n)
            .map(|_| (0..n).map(|_| LinkDirection::default()).collect())
            .collect();
        let mut between = |a: usize, b: usize| {
            let (forth, back) = (ways[a][b].clone(), ways[b][a].clone());
            (a != b && build.relays)
                .then(|| start_relay(places[b].link.clone(), forth, back, chance.u64(..)))
        };
        let relays = (0..n)
            .map(|a| (0..n).map(|b| between(a, b)).collect())
            .collect();
        let keys = vec![FLEET_KEY.into(); n];
        GatewayFleet {
            program: program.to_owned(),
            build,
            root,
            places,
            ways,
            relays,
            keys,
            older_processes: Vec::new(),
        }
    }

    pub fn process_count(&self) -> usize {
        self.places.len()
    }

    pub fn name(&self, p: usize) -> &str {
        &self.places[p].name
    }

    /// Whose relays it uses: its own, or those of the first of its name.
    fn stands_for(&self, p: usize) -> usize {
        self.places
            .iter()
            .position(|place| place.name == self.places[p].name)
            .unwrap_or(p)
    }

    fn text(&self, p: usize) -> String {
        let place = &self.places[p];
        if !self.build.members {
            return String::new();
        }
        let from = self.stands_for(p);
        let reached =
            |to: usize| self.relays[from][to].map(|at| (self.places[to].name.clone(), at));
        let ways: Vec<_> = (0..self.build.processes).filter_map(reached).collect();
        let reach: Vec<_> = ways
            .iter()
            .map(|(name, at)| format!("\"{name}\" = \"{at}\""))
            .collect();
        let direct = || (0..self.places.len().min(3)).map(|s| *self.places[s].link.lock().unwrap());
        let near: Vec<SocketAddr> = if self.build.relays {
            ways.iter().take(3).map(|(_, at)| *at).collect()
        } else {
            direct().collect()
        };
        let seeds: Vec<_> = near.iter().map(|at| format!("\"{at}\"")).collect();
        let founders: Vec<_> = (0..self.build.founders)
            .map(|f| format!("\"n{f}\""))
            .collect();
        let disk = format!("  disk = \"{}\"\n", place.folder.display());
        let settles = self
            .build
            .join_delay_ms
            .map_or(String::new(), |ms| format!("  settles = \"{ms}ms\"\n"));
        format!(
            "members {{\n  listen = \"{}\"\n  fleet = \"stage\"\n  beat = \"{}ms\"\n  zone = \"z{}\"\n  seeds = [{}]\n  \
             reach = {{ {} }}\n  founders = [{}]\n  keys = [{}]\n{}}}\n",
            place.link.lock().unwrap(),
            self.build.heartbeat_ms,
            from % self.build.zones,
            seeds.join(", "),
            reach.join(", "),
            founders.join(", "),
            self.keys[p]
                .split(' ')
                .map(|key| format!("\"{key}\""))
                .collect::<Vec<_>>()
                .join(", "),
            if self.build.disk { disk } else { String::new() } + &settles
        ) + if self.older_processes.contains(&p) {
            ""
        } else {
            &self.build.extra_hcl
        }
    }

    /// Writes the operator's file anew, as its keys and ways are now.
    pub fn write_operator_file(&self, p: usize) {
        std::fs::write(&self.places[p].file, self.text(p)).unwrap();
    }

    /// Starts a process that does not run.
    pub fn start(&mut self, p: usize) {
        assert!(self.places[p].gateway.is_none(), "it runs");
        // Its connections may still hold the old port for a moment; the relays are told of the new one.
        if self.build.relays {
            *self.places[p].link.lock().unwrap() = free();
        }
        self.write_operator_file(p);
        let agent = start_agent();
        let _ = agent.responses.send(http_ok(&self.build.known_list));
        let address = gateway::free_address();
        let name = &self.places[p].name;
        let text = gateway::config(
            &address,
            &agent.address,
            &self.build.known_list,
            &self.build.settings,
        );
        let text = text.replace("\"name\":\"n0\"", &format!("\"name\":\"{name}\""));
        let file = self.places[p].file.display().to_string();
        let words: &[&str] = if self.build.members {
            &["--operator", &file, "--log", "json"]
        } else {
            &["--log", "json"]
        };
        let started = gateway::start(&text, address, agent, &self.program, words);
        let mut word = ObservedState::default();
        started
            .log_lines
            .borrow()
            .iter()
            .for_each(|line| word.take(&parsed(line)));
        self.places[p].word = word;
        self.places[p].gateway = Some(started);
    }

    pub fn start_all(&mut self) {
        (0..self.process_count()).for_each(|p| self.start(p));
        if self.build.members && self.build.founders > 0 {
            self.bootstrap(0);
        }
    }

    /// An operator has a new fleet's founders agree on its first layout.
    pub fn bootstrap(&self, p: usize) {
        let asked = self.run_members_command(p, &["--bootstrap"]);
        assert!(asked.status.success(), "{asked:?}");
    }

    /// A second process under the name of one, with a folder of its own; its place.
    pub fn start_duplicate(&mut self, of: usize) -> usize {
        let p = self.places.len();
        self.places.push(Place {
            name: self.places[of].name.clone(),
            gateway: None,
            word: ObservedState::default(),
            link: Arc::new(Mutex::new(free())),
            folder: self.root.join(format!("p{p}")),
            file: self.root.join(format!("p{p}.hcl")),
        });
        self.keys.push(self.keys[of].clone());
        self.start(p);
        p
    }

    pub fn gateway(&self, p: usize) -> &Gateway {
        self.places[p].gateway.as_ref().expect("it runs")
    }

    pub fn is_running(&self, p: usize) -> bool {
        self.places[p].gateway.is_some()
    }

    /// SIGKILL.
    pub fn kill(&mut self, p: usize) {
        self.places[p].gateway = None;
    }

    /// SIGKILL, and its folder is gone with it; what it had said can still be read.
    pub fn kill_and_erase_keeping_log(&mut self, p: usize) -> Gateway {
        let mut gateway = self.places[p].gateway.take().expect("it runs");
        let _ = gateway.child.kill();
        let _ = gateway.child.wait();
        let _ = std::fs::remove_dir_all(&self.places[p].folder);
        gateway
    }

    /// SIGKILL, and its folder is gone with it.
    pub fn kill_and_erase(&mut self, p: usize) {
        self.kill(p);
        let _ = std::fs::remove_dir_all(&self.places[p].folder);
    }

    /// SIGTERM, until it has ended.
    pub fn shut_down(&mut self, p: usize) {
        if let Some(mut gateway) = self.places[p].gateway.take() {
            gateway.signal("-TERM");
            let _ = gateway.child.wait();
        }
    }

    pub fn signal(&self, p: usize, name: &str) {
        self.gateway(p).signal(name);
    }

    pub fn data_dir(&self, p: usize) -> &Path {
        &self.places[p].folder
    }

    /// What happens to frames from one to the other.
    pub fn link(&self, from: usize, to: usize) -> &LinkDirection {
        &self.ways[from][to]
    }

    /// The same on all ways between these two sides, in both directions.
    pub fn set_faults_between(&self, one: &[usize], other: &[usize], trouble: LinkFaults) {
        for a in one {
            for b in other.iter().filter(|b| a != *b) {
                self.ways[*a][*b].set(trouble);
                self.ways[*b][*a].set(trouble);
            }
        }
    }

    pub fn clear_faults(&self) {
        self.ways
            .iter()
            .flatten()
            .for_each(|way| way.set(LinkFaults::default()));
    }

    /// What a process has said by now.
    pub fn observed(&mut self, p: usize) -> &ObservedState {
        let place = &mut self.places[p];
        if let Some(gateway) = &place.gateway {
            while let Ok(line) = gateway.log.try_recv() {
                place.word.take(&parsed(&line));
            }
        }
        &place.word
    }

    /// Waits, line by line, until a process has said so much; how long that took. None after a long while.
    pub fn wait_for_state(
        &mut self,
        p: usize,
        enough: impl Fn(&ObservedState) -> bool,
    ) -> Option<std::time::Duration> {
        let began = Instant::now();
        self.observed(p);
        let place = &mut self.places[p];
        while !enough(&place.word) {
            let gateway = place.gateway.as_ref()?;
            let line = gateway
                .log
                .recv_timeout(WAIT_LIMIT.checked_sub(began.elapsed())?)
                .ok()?;
            place.word.take(&parsed(&line));
        }
        Some(began.elapsed())
    }

    /// The same; a test ends where it does not come.
    pub fn expect_state(&mut self, p: usize, what: &str, enough: impl Fn(&ObservedState) -> bool) {
        if self.wait_for_state(p, enough).is_none() {
            panic!(
                "{} has not come to: {what}; it says {:?}",
                self.name(p),
                self.places[p].word
            );
        }
    }

    /// Until each of these sees all the others of them, and goes by a layout of at least this version.
    pub fn wait_for_layout(&mut self, who: &[usize], version: u64) {
        let names: Vec<String> = who.iter().map(|p| self.places[*p].name.clone()).collect();
        for p in who {
            let others: Vec<String> = names
                .iter()
                .filter(|name| **name != self.places[*p].name)
                .cloned()
                .collect();
            self.expect_state(*p, &format!("layout {version} and all here"), |word| {
                word.layout_version >= version
                    && others.iter().all(|other| word.has_status(other, "here"))
            });
        }
    }

    /// A figure of the process's own counters as a member.
    pub fn member_counter(&mut self, p: usize, name: &str) -> u64 {
        self.counter(p, "member", name)
    }

    /// A figure of what it counts under that head.
    pub fn counter(&mut self, p: usize, head: &str, name: &str) -> u64 {
        self.signal(p, "-USR1");
        let gateway = self.gateway(p);
        let mut lines = Vec::new();
        let figure = loop {
            let line = gateway.log.recv_timeout(WAIT_LIMIT).expect("its counters");
            let value = parsed(&line);
            if value["msg"] == head && value["all"].is_string() {
                let all = value["all"].as_str().unwrap_or_default().to_owned();
                break gateway::counter_value(&all, name)
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
            }
            lines.push(value);
        };
        lines.iter().for_each(|line| self.places[p].word.take(line));
        figure
    }

    /// The program's own command line against a process.
    pub fn run_members_command(&self, p: usize, words: &[&str]) -> Output {
        let file = self.places[p].file.display().to_string();
        let mut command = Command::new(&self.program);
        gateway::output(
            command
                .arg("members")
                .args(["--operator", &file])
                .args(words),
        )
    }

    /// Any of its sub-commands that ask a running member.
    pub fn run_command(&self, p: usize, words: &[&str]) -> Output {
        let file = self.places[p].file.display().to_string();
        gateway::output(
            Command::new(&self.program)
                .args(words)
                .args(["--operator", &file]),
        )
    }

    /// Until this process's copies go by a layout that counts alone, and all its holders promise what they answer.
    pub fn wait_until_settled(&mut self, p: usize) {
        let began = Instant::now();
        loop {
            let names = [
                "copies.layout",
                "copies.base",
                "copies.whole",
                "copies.unseen",
            ];
            let [version, base, whole, unseen] = names.map(|n| self.counter(p, "copies", n));
            if version > 0 && base == version && whole >= version && unseen == 0 {
                return;
            }
            assert!(
                began.elapsed() < WAIT_LIMIT,
                "{} has layouts {base} to {version}, whole {whole}, unseen {unseen}",
                self.name(p)
            );
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    }
}

fn parsed(line: &str) -> Value {
    serde_json::from_str(line).unwrap_or_default()
}

impl Drop for GatewayFleet {
    fn drop(&mut self) {
        self.places
            .iter_mut()
            .for_each(|place| place.gateway = None);
        let _ = std::fs::remove_dir_all(&self.root);
    }
}
