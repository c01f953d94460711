//! Owns one run: gateways, machines, agents and clients in a world, a script's faults, the checker after each step.
//!
//! It must never let the code under test see anything but the world.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverpoint_emulator::Tenths;
use leverpoint_emulator::list::{List, Phase};
use leverpoint_emulator::set::{self, Build, Health, Reply, Set};
use leverpoint_facts::node;
use leverpoint_facts::operator::{self, Operator};
use leverpoint_gateway::serve::Gateway;
use leverpoint_ground::{Instant, Listener, Stream, now, set_world, sleep, sleep_until, timeout_at};
use leverpoint_stands::client::Judged;
use leverpoint_stands::client::{judged, noticed};
use leverpoint_stands::member::{named, refusal};
use leverpoint_stands::values::{length_of, made};
use leverpoint_stands::wire::{READ, STARTUP, WRITTEN, put, query, row_of};
use tokio::sync::Notify;

use crate::checker::{Checker, Effects, Final, Outcome};
use crate::outcome::Played;
use crate::script::{Ask, Fault, Group, Scenario, Script};
use crate::talk::Talk;
use crate::world::{Meaning, Process, Role, Sim, UNIX};

/// A keyed repeat is dropped for so long.
const WINDOW: Tenths = 20_000;
const GRACE: Tenths = 5_000;
/// One way between any two machines.
const LATENCY: (Tenths, Tenths) = (2, 12);
const BUILD: Build = Build {
    slots: 6,
    queue: 30,
    lag: 300,
    window: WINDOW,
    election: 8_000,
    cold_share: 0.17,
    cold_time: 20_000,
    fall_multiple: 1.25,
    fall_time: 5_000,
    usual_work: 150,
};

const SETTINGS: &str = r#"{"balancers": GATEWAYS, "me": ME, "tickMs": 5.0, "zone": ZONE, "zones": [ZONES], "discovery": "pushed",
    "contract": {"answerSlackMs": 20.0, "coldMs": 2000.0, "fallMs": 500.0, "fallMultiple": 1.25, "startCapacity": 0.17,
     "stopSendingWithinMs": 500.0},
    "familyInfo": {"guards": "CHECK", "listRole": "delayed", "oldestDataMs": [3000.0, 0.0, 0.0, 0.0, 0.0],
     "readLevel": ["recent", "own_writes", "loose", "update", "update"], "stamps": true, "tokens": "router"},
    "grades": [
     {"name": "board", "aimMs": 600.0, "deadlineMs": 2000.0, "semantics": "pure", "worth": 1.0},
     {"name": "own", "aimMs": 400.0, "deadlineMs": 1500.0, "semantics": "pure", "worth": 2.0},
     {"name": "history", "aimMs": 500.0, "deadlineMs": 1200.0, "semantics": "pure", "worth": 1.0},
     {"name": "report", "aimMs": 300.0, "deadlineMs": 2000.0, "semantics": "token", "group": "cell",
      "keyTtlMs": 2000.0, "worth": 3.0, "lateWorth": 0.3},
     {"name": "order", "aimMs": 400.0, "deadlineMs": 2000.0, "semantics": "side_effect", "worth": 3.0}],
    "policyLimits": {"sendCap": 6, "retryAfter": true, "maxRetryAfterMs": 1000.0, "connectTimeoutMs": 250.0,
     "idleCloseMs": 15000.0},
    "tenants": [{"name": "club", "share": 1.0, "quotaPerS": 1000.0}]}"#;

/// The operator's file where sessions are followed.
const FOLLOWS: &str = r#"sessions {
  follow = true
  keys   = ["7:00112233445566778899aabbccddeeff"]
  number = "8c1f30d27a5be964"
}"#;

struct Facts {
    name: &'static str,
    effects: Effects,
    timeout: Tenths,
    target: Tenths,
    benefit: f64,
    late: f64,
    work: (Tenths, Tenths),
}

fn facts(group: Group) -> Facts {
    let of = |name, effects, timeout, target, benefit, late, work| Facts {
        name,
        effects,
        timeout,
        target,
        benefit,
        late,
        work,
    };
    match group {
        Group::Board => of("board", Effects::Replayable, 20_000, 6_000, 1.0, 0.0, (100, 300)),
        Group::Own => of("own", Effects::Replayable, 15_000, 4_000, 2.0, 0.0, (80, 200)),
        Group::History => of("history", Effects::Replayable, 12_000, 5_000, 1.0, 0.0, (100, 300)),
        Group::Report => of("report", Effects::Keyed, 20_000, 3_000, 3.0, 0.3, (50, 150)),
        Group::Order => of("order", Effects::Mutating, 20_000, 4_000, 3.0, 0.0, (50, 150)),
    }
}

struct Place {
    sets: RefCell<Vec<Set>>,
    a_set: usize,
    list: RefCell<List>,
    published: Notify,
    spoils: RefCell<Vec<bool>>,
    agent_silent: RefCell<Vec<bool>>,
    /// Whose configuration names the agent's second address.
    agent_moved: RefCell<Vec<bool>>,
    /// Machines that have been primary, by when a gateway was last sure to hear that they are no longer.
    was_primary: RefCell<BTreeMap<usize, Tenths>>,
}

struct Play {
    sim: Rc<Sim>,
    scenario: Scenario,
    seed: u64,
    checker: RefCell<Checker>,
    place: Place,
    gateways: RefCell<Vec<Option<Rc<Gateway>>>>,
    lives: RefCell<Vec<u64>>,
    /// By client and set: the position of its last write, and which gateway's life answered it.
    tokens: RefCell<BTreeMap<usize, (Tenths, usize, u64)>>,
    /// By client: the token that came with its last write.
    carried: RefCell<BTreeMap<usize, String>>,
    benefit: Cell<f64>,
    asked: Cell<f64>,
    next_id: Cell<u64>,
}

/// From the start of a machine's process until it serves.
const STARTS: Duration = Duration::from_millis(300);
/// An agent's address that is named no more closes what is open after so long.
const CLOSES: Duration = Duration::from_millis(1_500);
const CLIENTS: Process = 0;
/// A run in which clients still ask after that has gone wrong.
const LONGEST: Tenths = 600_000;
/// Longer than any client timeout, so that all that was begun for clients has ended.
const AFTERWARDS: Tenths = 40_000;

fn address(net: u8, n: usize) -> SocketAddr {
    SocketAddr::from(([10, net, 0, n as u8 + 1], 6432))
}

/// The name of a zone.
fn zone(n: usize) -> char {
    char::from(b'a' + n as u8)
}

impl Play {
    fn gateway_process(&self, n: usize) -> Process {
        1 + n
    }

    fn agent_process(&self, n: usize) -> Process {
        1 + self.scenario.gateways + n
    }

    fn machine_process(&self, n: usize) -> Process {
        1 + 2 * self.scenario.gateways + n
    }

    fn set_of(&self, machine: usize) -> (usize, usize) {
        (machine / self.place.a_set, machine % self.place.a_set)
    }

    fn now(&self) -> Tenths {
        self.sim.time()
    }

    /// The gateway whose address this connection's other side has, and which life of it.
    fn life(&self, gateway: usize) -> u64 {
        self.lives.borrow()[gateway]
    }

    fn publish_role(&self, now: Tenths, machine: usize, phase: Phase) {
        let late = self.sim.chance.borrow_mut().i64(500..5_000);
        self.publish(now + late, machine, phase);
    }

    fn publish(&self, at: Tenths, machine: usize, phase: Phase) {
        let (set, member) = self.set_of(machine);
        let sets = self.place.sets.borrow();
        let started = sets[set].machines[member].started;
        let primary = sets[set].is_primary(member);
        self.place.list.borrow_mut().change(at, machine, set, phase, primary, started);
    }

    fn start_gateway(self: &Rc<Self>, n: usize) {
        let process = self.gateway_process(n);
        self.sim.begin(process, Role::Gateway);
        self.lives.borrow_mut()[n] += 1;
        self.checker.borrow_mut().excuse(n, false);
        let door = self.sim.listen(process, address(0, n));
        let node = self.node(n, self.place.agent_moved.borrow()[n]);
        let play = self.clone();
        let life = self.life(n);
        let task = async move {
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let operator = if play.scenario.sessions {
                operator::from_text("sim", FOLLOWS).expect("a file of our own")
            } else {
                Operator::default()
            };
            let gateway = Gateway::start(node, operator, Listener::World(door), None, log);
            play.gateways.borrow_mut()[n] = gateway.ok().map(Rc::new);
            play.sim.note("gateway", || format!("{n} life {life} serves"));
        };
        self.sim.spawn_in(process, Box::pin(task));
    }

    fn node(&self, n: usize, moved: bool) -> node::Node {
        node::from_text("sim", self.config(n, moved).as_bytes(), |_, _| None)
            .expect("a configuration of our own")
    }

    fn config(&self, n: usize, moved: bool) -> String {
        let zones: Vec<_> = (0..self.scenario.zones).map(|z| format!("\"{}\"", zone(z))).collect();
        let settings = SETTINGS
            .replace("GATEWAYS", &self.scenario.gateways.to_string())
            .replace("ME", &n.to_string())
            .replace("ZONES", &zones.join(","))
            .replace("ZONE", &self.scenario.zone(n).to_string())
            .replace("CHECK", if self.scenario.check == "none" { "none" } else { "reject" });
        let (at, agent) = (address(0, n), address(if moved { 3 } else { 2 }, n));
        let sockets = self.scenario.sockets;
        let known = self.list_text(None);
        let seed = self.seed.wrapping_mul(31).wrapping_add(n as u64 + 97 * self.life(n));
        format!(
            r#"{{"name":"g{n}","listen":"{at}","discovery":"{agent}","seed":"{seed:x}",
            "limits":{{"memory_mb":64,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        )
    }

    fn list_text(&self, since: Option<u64>) -> String {
        let list = self.place.list.borrow();
        let entries: Vec<_> = list
            .since(since)
            .map(|e| {
                let state = match e.phase {
                    Phase::Up => "up",
                    Phase::Draining => "draining",
                    Phase::Removed => "removed",
                };
                let mode = if e.primary { "read-write" } else { "read-only" };
                let boot = if e.started > 0 { UNIX.as_millis() as i64 + e.started / 10 } else { 0 };
                format!(
                    r#"{{"uid":"m{}","endpoint":"{}","az":"{}","pod_group":{},"state":"{state}","mode":"{mode}","boot_ms":{boot}}}"#,
                    e.machine,
                    address(1, e.machine),
                    zone(self.scenario.zone(e.machine % self.place.a_set)),
                    e.set
                )
            })
            .collect();
        format!(
            r#"{{"rev":{},"all":{},"targets":[{}]}}"#,
            list.revision(),
            since.is_none(),
            entries.join(",")
        )
    }

    /// The agent on a gateway's own machine.
    async fn agent(self: Rc<Self>, n: usize, second: bool) {
        let door = self.sim.listen(self.agent_process(n), address(if second { 3 } else { 2 }, n));
        let listener = Listener::World(door);
        while let Ok(stream) = listener.accept().await {
            let play = self.clone();
            let serves = move || play.place.agent_moved.borrow()[n] == second;
            // The address that a configuration no longer names accepts nothing, and soon closes what is open.
            if !serves() {
                continue;
            }
            let play = self.clone();
            leverpoint_ground::spawn(async move {
                let closes = async {
                    while serves() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    sleep(CLOSES).await;
                };
                tokio::select! {
                    biased;
                    _ = play.agent_talks(n, Talk::new(stream)) => {}
                    _ = closes => {}
                }
            });
        }
    }

    async fn agent_talks(&self, n: usize, mut talk: Talk) -> std::io::Result<()> {
        loop {
            let head = talk.up_to("\r\n\r\n").await?;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let number = |name: &str| {
                let (_, rest) = path.split_once(name)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let since = number("index=");
            if let Some(since) = since {
                let until = now() + Duration::from_millis(number("wait=").unwrap_or(0));
                while self.place.list.borrow().revision() <= since {
                    if timeout_at(until, self.place.published.notified()).await.is_err() {
                        break;
                    }
                }
            }
            while self.place.agent_silent.borrow()[n] {
                sleep(Duration::from_millis(50)).await;
            }
            let body = self.list_text(since);
            // Told once it is written.
            for entry in self.place.list.borrow().since(since) {
                let wanted = entry.phase == Phase::Up;
                self.checker.borrow_mut().told(self.now(), n, entry.machine, wanted);
            }
            talk.say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
                .await?;
        }
    }

    async fn machine(self: Rc<Self>, n: usize) {
        let door = self.sim.listen(self.machine_process(n), address(1, n));
        let listener = Listener::World(door);
        while let Ok(stream) = listener.accept().await {
            let play = self.clone();
            leverpoint_ground::spawn(async move {
                let _ = play.machine_talks(n, Talk::new(stream)).await;
            });
        }
    }

    async fn machine_talks(&self, n: usize, mut talk: Talk) -> std::io::Result<()> {
        let (set, member) = self.set_of(n);
        let head = talk.exactly(4).await?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        talk.exactly(length.clamp(4, 4096) - 4).await?;
        talk.say(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").await?;
        loop {
            let (_, body) = talk.message(usize::MAX).await?;
            let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_owned();
            let Some(id) = named(&text, "id").map(str::to_owned) else { return Ok(()) };
            // The first part of an id names the gateway whose front its client chose.
            let gateway = id.split('-').nth(1).and_then(|g| g.parse().ok()).unwrap_or(0);
            self.checker.borrow_mut().came(self.now(), &id, gateway, n);
            self.sim.note("machine", || format!("{n} hears {id}"));
            let wait: Tenths = named(&text, "d").and_then(|d| d.parse::<i64>().ok()).unwrap_or(0) * 10;
            let arrived = self.now();
            let place = self.place.sets.borrow_mut()[set].arrives(arrived, member);
            if self.place.sets.borrow()[set].machines[member].fallen {
                self.checker.borrow_mut().fell(self.now(), n);
            }
            let (reply, position, effect) = match place {
                Err(reply) => (reply, 0, false),
                Ok(begins) => {
                    let mut begins = begins;
                    while !begins && self.now() < arrived + wait {
                        sleep(Duration::from_millis(1)).await;
                        begins = self.place.sets.borrow_mut()[set].turn(self.now(), member);
                    }
                    if !begins {
                        self.place.sets.borrow_mut()[set].gives_up(member);
                        (Reply::Full, 0, false)
                    } else {
                        let group = named(&text, "c").unwrap_or_default().to_owned();
                        let (least, most) = work(&group);
                        let takes = self.sim.chance.borrow_mut().i64(least..=most);
                        sleep(Duration::from_micros(takes as u64 * 100)).await;
                        let write = text.starts_with("INSERT");
                        let checks = self.scenario.check != "none";
                        let owed = self.checker.borrow().owed(&id).filter(|_| checks);
                        let ask = set::Ask { write, key: named(&text, "k"), owed };
                        self.place.sets.borrow_mut()[set].works(self.now(), member, &ask)
                    }
                }
            };
            let never = reply != Reply::Row;
            let outcome = if never { Outcome::Never } else { Outcome::MayHave };
            self.checker.borrow_mut().came_to(self.now(), &id, n, outcome, effect);
            self.sim.note("machine", || format!("{n} answers {id}: {reply:?}"));
            let mut out;
            let primary = self.place.sets.borrow()[set].is_primary(member);
            match reply {
                Reply::Row if text.starts_with("INSERT") => out = row_of(&made(&id, 64), WRITTEN),
                Reply::Row => {
                    let excused = primary || self.place.was_primary.borrow().contains_key(&n);
                    self.checker.borrow_mut().read(self.now(), &id, position, excused);
                    let key = text.split('\'').nth(1).unwrap_or_default();
                    out = row_of(&made(&id, length_of(key)), READ);
                }
                refused => out = refusal(refused),
            }
            if self.place.spoils.borrow()[n] && self.sim.chance.borrow_mut().u8(..2) == 0 {
                // A flaw in the framing, as a value that is only another value can be told by nobody.
                let described = 1 + u32::from_be_bytes([out[1], out[2], out[3], out[4]]) as usize;
                let in_row = out.len() > described + 11 && self.sim.chance.borrow_mut().bool();
                let from = if in_row { described + 7 } else { 0 };
                let at = from + self.sim.chance.borrow_mut().usize(..4);
                out[at] ^= 0x55;
                let _ = talk.say(&out).await;
                // The connection stays open and is of no further use.
                sleep(Duration::from_secs(3)).await;
                return Ok(());
            }
            let mode = if primary { "read-write" } else { "read-only" };
            put(&mut out, b'S', format!("mode\0{mode}\0").as_bytes());
            let at = self.place.sets.borrow()[set].position(self.now(), member).max(position);
            put(
                &mut out,
                b'S',
                format!("wal_time\0{}\0", UNIX.as_millis() as f64 + at as f64 / 10.0).as_bytes(),
            );
            put(&mut out, b'Z', b"I");
            talk.say(&out).await?;
        }
    }

    /// One client: its commands in their order, each on the connection it has.
    async fn client(self: Rc<Self>, n: usize, asks: Vec<Ask>, slow: bool) {
        let mut gateway = n % self.scenario.gateways;
        let mut talk: Option<(Talk, u64)> = None;
        let at_a_time = if slow { 64 } else { usize::MAX };
        for ask in asks {
            sleep_until(self.sim.instant(ask.at)).await;
            let facts = facts(ask.group);
            self.asked.set(self.asked.get() + facts.benefit);
            let ends = self.now() + facts.timeout;
            let began = self.now();
            let key = format!("k{n}x{}", ask.at);
            let hangs_up = ask.hangs_up.map(|after| self.sim.instant(began + after));
            let mut repeats = 0;
            while self.now() < ends {
                if repeats == 0 && self.sim.chance.borrow_mut().f64() < self.scenario.roams {
                    talk = None;
                    gateway = self.sim.chance.borrow_mut().usize(..self.scenario.gateways);
                }
                // A front learns late that a gateway has died, and tries the next.
                if talk.is_none() {
                    talk = self.connect(gateway, ends).await.map(|t| (t, self.life(gateway)));
                    if talk.is_none() {
                        gateway = (gateway + 1) % self.scenario.gateways;
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                }
                let Some((line, life)) = &mut talk else { continue };
                if line.begun() {
                    self.checker.borrow_mut().unasked(self.now(), gateway);
                }
                let id = format!("c{n}-{gateway}-{}", self.next_id.replace(self.next_id.get() + 1));
                let (text, length, owed) =
                    self.statement(&ask, &facts, n, &id, &key, ends, repeats > 0, gateway, *life);
                let bytes = query(&text);
                if line.say(&bytes).await.is_err() {
                    talk = None;
                    continue;
                }
                let sent = self.now();
                self.checker.borrow_mut().sent(sent, &id, gateway, facts.effects, ends, length, owed);
                if self.scenario.sessions && ask.group == Group::Own {
                    let history = self.tokens.borrow().get(&n).map(|(at, ..)| *at);
                    self.checker.borrow_mut().follows(&id, history);
                }
                let waits = sent + 2 * LATENCY.1 + 1_000 + ends - sent;
                let until = hangs_up.unwrap_or(self.sim.instant(waits));
                let mut heard = Vec::new();
                let answer = timeout_at(until, hear(line, &mut heard, at_a_time)).await;
                let whole = match answer {
                    Ok(Ok(())) => true,
                    // It ended with an error, whole, and without being ready for more.
                    Ok(Err(_)) => heard.first() == Some(&b'E') && !line.begun(),
                    Err(_) => {
                        // Its client goes.
                        self.checker.borrow_mut().released(&id);
                        talk = None;
                        break;
                    }
                };
                let ready = matches!(answer, Ok(Ok(())));
                if !whole {
                    let begun = !heard.is_empty() || line.begun();
                    self.checker.borrow_mut().cut(self.now(), &id, begun);
                    talk = None;
                    gateway = (gateway + 1) % self.scenario.gateways;
                    repeats += 1;
                    if facts.effects == Effects::Mutating {
                        // It may have run: whoever sent it does not know.
                        break;
                    }
                    continue;
                }
                let life = *life;
                let value = value_of(&heard);
                let verdict = judged(&heard, &made(&id, length));
                let how = match verdict {
                    Judged::Answered | Judged::Wrong => Final::Answered,
                    Judged::Throttled(_) => Final::Throttled,
                    Judged::Failed => Final::Failed,
                };
                self.sim.note("client", || format!("{n} hears {how:?} to {id}"));
                self.checker.borrow_mut().answered(self.now(), &id, how, &value);
                if !ready {
                    talk = None;
                }
                match verdict {
                    Judged::Answered => {
                        let took = self.now() - began;
                        let worth =
                            if took <= facts.target { facts.benefit } else { facts.benefit * facts.late };
                        self.benefit.set(self.benefit.get() + worth);
                        if let Some(token) = noticed(&heard) {
                            self.carried.borrow_mut().insert(n, token);
                        }
                        if matches!(ask.group, Group::Report | Group::Order) {
                            // What a later read of the session must see through the same gateway's life: no more
                            // than when it was sent, as the commit lies behind.
                            self.tokens.borrow_mut().insert(n, (sent, gateway, life));
                        }
                        break;
                    }
                    Judged::Throttled(ms) => {
                        repeats += 1;
                        sleep(Duration::from_millis(ms.max(50))).await;
                    }
                    Judged::Failed if facts.effects == Effects::Mutating => break,
                    Judged::Failed => {
                        repeats += 1;
                        sleep(Duration::from_millis(100)).await;
                    }
                    Judged::Wrong => break,
                }
            }
        }
    }

    /// The statement of a command, how long its value is to be, and what it owes.
    #[allow(clippy::too_many_arguments)]
    fn statement(
        &self,
        ask: &Ask,
        facts: &Facts,
        client: usize,
        id: &str,
        key: &str,
        ends: Tenths,
        repeat: bool,
        gateway: usize,
        life: u64,
    ) -> (String, usize, Option<Tenths>) {
        let wait = (ends - self.now()) / 10;
        // The quoted key names the session, and how long its values are.
        let length = if client.is_multiple_of(7) { 6_000 } else { 300 };
        let session = format!("{length}-s{client}");
        let mut comment = format!("id={id},c={},t=club,d={wait},cluster={}", facts.name, ask.set);
        if repeat {
            comment += ",r=1";
        }
        if matches!(ask.group, Group::Report | Group::Order) {
            if ask.group == Group::Report {
                comment += &format!(",k={key}");
            }
            let text = format!(
                "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v /* {comment} */"
            );
            return (text, 64, None);
        }
        if ask.group == Group::Own
            && let Some(token) = self.carried.borrow().get(&client)
        {
            // One in three carries its token, one in twelve a forged one; the others none.
            match self.sim.chance.borrow_mut().u8(..12) {
                0..=3 => comment += &format!(",after={token}"),
                4 => comment += &format!(",after={}x{}", &token[..16], &token[17..]),
                _ => {}
            }
        }
        let owed = match ask.group {
            Group::Board => Some(self.now() - 30_000),
            Group::Own => {
                let tokens = self.tokens.borrow();
                let known = tokens.get(&client).filter(|(_, g, l)| (*g, *l) == (gateway, life));
                known.map(|(at, ..)| *at)
            }
            _ => None,
        };
        (format!("SELECT v FROM records WHERE k = '{session}' /* {comment} */"), length, owed)
    }

    async fn connect(&self, gateway: usize, ends: Tenths) -> Option<Talk> {
        let until = self.sim.instant(ends.min(self.now() + 10_000));
        let stream = timeout_at(until, Stream::connect(address(0, gateway), None)).await.ok()?.ok()?;
        let mut talk = Talk::new(stream);
        talk.say(STARTUP).await.ok()?;
        let admitted = timeout_at(until, async {
            loop {
                match talk.message(usize::MAX).await {
                    Ok((b'Z', _)) => return true,
                    Ok(_) => {}
                    Err(_) => return false,
                }
            }
        });
        admitted.await.ok().filter(|admitted| *admitted)?;
        Some(talk)
    }

    fn health(&self, machine: usize, health: Health) {
        let (set, member) = self.set_of(machine);
        if self.place.sets.borrow()[set].is_primary(member) && health != Health::Up {
            self.place.was_primary.borrow_mut().insert(machine, self.now());
        }
        self.place.sets.borrow_mut()[set].set_health(self.now(), member, health);
    }

    fn fault(self: &Rc<Self>, fault: Fault) {
        self.sim.note("fault", || format!("{fault:?}"));
        let now = self.now();
        match fault {
            Fault::GatewayDies(n) => self.kill_gateway(n),
            Fault::GatewayReturns(n) => {
                self.kill_gateway(n);
                self.start_gateway(n);
            }
            Fault::GatewayStops(n) => {
                let gateway = self.gateways.borrow()[n].clone();
                if let Some(gateway) = gateway {
                    let process = self.gateway_process(n);
                    self.sim.spawn_in(process, Box::pin(async move { gateway.end().await }));
                }
            }
            Fault::GatewayRereads(n, second) => {
                self.place.agent_moved.borrow_mut()[n] = second;
                let gateway = self.gateways.borrow()[n].clone();
                gateway.into_iter().for_each(|gateway| gateway.again(Ok(self.node(n, second))));
            }
            Fault::Silent(m, silent) => {
                self.health(m, if silent { Health::Silent } else { Health::Up });
                self.sim.set_silent(self.machine_process(m), silent);
            }
            Fault::MachineDies(m) => {
                self.health(m, Health::Down);
                self.sim.kill(self.machine_process(m));
            }
            Fault::MachineReturns(m) => {
                // A machine is listed as it starts, and serves a moment later.
                self.health(m, Health::Up);
                self.sim.begin(self.machine_process(m), Role::Machine);
                self.publish(now, m, Phase::Up);
                let play = self.clone();
                let starts = async move {
                    sleep(STARTS).await;
                    play.machine(m).await;
                };
                self.sim.spawn_in(self.machine_process(m), Box::pin(starts));
            }
            Fault::Drains(m, on) => {
                let (set, member) = self.set_of(m);
                self.place.sets.borrow_mut()[set].drain(member, on);
                self.publish_role(now, m, if on { Phase::Draining } else { Phase::Up });
            }
            Fault::Lags(m, on) => {
                let (set, member) = self.set_of(m);
                self.place.sets.borrow_mut()[set].hold_up(now, member, on);
            }
            Fault::Spoils(m, on) => self.place.spoils.borrow_mut()[m] = on,
            Fault::Resets(m) => {
                // All its connections break; the machine goes on.
                let process = self.machine_process(m);
                if self.sim.alive(process) {
                    self.sim.kill(process);
                    let (set, member) = self.set_of(m);
                    self.place.sets.borrow_mut()[set].restart(member);
                    self.sim.begin(process, Role::Machine);
                    self.sim.spawn_in(process, Box::pin(self.clone().machine(m)));
                }
            }
            Fault::HandOver(m) => {
                let (set, member) = self.set_of(m);
                let before = self.place.sets.borrow()[set].primary();
                if let Some(before) = before {
                    let machine = set * self.place.a_set + before;
                    self.place.was_primary.borrow_mut().insert(machine, now);
                    self.place.sets.borrow_mut()[set].hand_over(member);
                    self.publish_role(now, machine, Phase::Up);
                }
                self.publish_role(now, m, Phase::Up);
            }
            Fault::AgentSilent(n, on) => self.place.agent_silent.borrow_mut()[n] = on,
            Fault::Lies(m, on) => self.publish_role(now, m, if on { Phase::Removed } else { Phase::Up }),
            Fault::ClockSteps(n, off) => self.sim.set_clock_off(self.gateway_process(n), off),
        }
    }

    /// Which gateway a fault meets as a signal.
    fn meets(&self, fault: &Fault) -> Option<(Process, Meaning)> {
        match fault {
            Fault::GatewayStops(n) => Some((self.gateway_process(*n), Meaning::Stop)),
            Fault::GatewayRereads(n, _) => Some((self.gateway_process(*n), Meaning::Reread)),
            _ => None,
        }
    }

    fn kill_gateway(&self, n: usize) {
        self.checker.borrow_mut().excuse(n, true);
        self.sim.kill(self.gateway_process(n));
        self.gateways.borrow_mut()[n] = None;
    }

    /// Elections that are due, changes that are published; when to look again is the caller's.
    fn tend(&self) {
        let now = self.now();
        for set in 0..self.scenario.sets {
            let elected = self.place.sets.borrow_mut()[set].elect(now);
            if let Some(member) = elected {
                let machine = set * self.place.a_set + member;
                self.sim.note("set", || format!("{set} elects {machine}"));
                self.publish_role(now, machine, Phase::Up);
            }
        }
        if self.place.list.borrow_mut().publish(now) {
            self.place.published.notify_waiters();
        }
    }
}

fn work(group: &str) -> (Tenths, Tenths) {
    let groups = [Group::Board, Group::Own, Group::History, Group::Report, Group::Order];
    groups.into_iter().map(facts).find(|f| f.name == group).map_or((50, 150), |f| f.work)
}

/// Reads messages up to ReadyForQuery, or the end.
async fn hear(talk: &mut Talk, heard: &mut Vec<u8>, at_a_time: usize) -> std::io::Result<()> {
    loop {
        let (tag, body) = talk.message(at_a_time).await?;
        if at_a_time < 1_000 {
            sleep(Duration::from_millis(2)).await;
        }
        put(heard, tag, &body);
        if tag == b'Z' {
            return Ok(());
        }
    }
}

/// The value of the row in an answer, empty where there is none.
fn value_of(heard: &[u8]) -> Vec<u8> {
    let mut rest = heard;
    while let Some((tag, body)) = leverpoint_stands::wire::message(&mut rest) {
        if tag == b'D' {
            let length = body.get(2..6).map(|l| u32::from_be_bytes([l[0], l[1], l[2], l[3]]) as usize);
            let value = body.get(6..).unwrap_or_default().to_vec();
            // A value that is not as long as it says is none.
            return if length == Some(value.len()) { value } else { Vec::new() };
        }
    }
    Vec::new()
}

/// Plays a script to its end, or to the first broken rule.
pub fn play(scenario: &Scenario, script: &Script, seed: u64, base: Instant, traced: bool) -> Played {
    let sim = Sim::new(seed, base, LATENCY, traced);
    set_world(Some(sim.clone()));
    let machines = scenario.sets * scenario.machines_a_set;
    let sets = (0..scenario.sets).map(|_| Set::new(BUILD, scenario.machines_a_set)).collect();
    let play = Rc::new(Play {
        sim: sim.clone(),
        scenario: scenario.clone(),
        seed,
        checker: RefCell::new(Checker::new(WINDOW, GRACE, LATENCY.1)),
        place: Place {
            sets: RefCell::new(sets),
            a_set: scenario.machines_a_set,
            list: RefCell::default(),
            published: Notify::new(),
            spoils: RefCell::new(vec![false; machines]),
            agent_silent: RefCell::new(vec![false; scenario.gateways]),
            agent_moved: RefCell::new(vec![false; scenario.gateways]),
            was_primary: RefCell::default(),
        },
        gateways: RefCell::new(vec![None; scenario.gateways]),
        lives: RefCell::new(vec![0; scenario.gateways]),
        tokens: RefCell::default(),
        carried: RefCell::default(),
        benefit: Cell::new(0.0),
        asked: Cell::new(0.0),
        next_id: Cell::new(0),
    });
    for machine in 0..machines {
        let (set, member) = play.set_of(machine);
        let primary = play.place.sets.borrow()[set].is_primary(member);
        play.place.list.borrow_mut().change(0, machine, set, Phase::Up, primary, 0);
    }
    play.place.list.borrow_mut().publish(0);
    sim.begin(CLIENTS, Role::Client);
    for n in 0..machines {
        sim.begin(play.machine_process(n), Role::Machine);
        sim.spawn_in(play.machine_process(n), Box::pin(play.clone().machine(n)));
    }
    for n in 0..scenario.gateways {
        sim.begin(play.agent_process(n), Role::Agent);
        for second in [false, true] {
            sim.spawn_in(play.agent_process(n), Box::pin(play.clone().agent(n, second)));
        }
        play.start_gateway(n);
    }
    for (n, slow) in script.slow.iter().enumerate() {
        let asks = script.asks.iter().filter(|ask| ask.client == n).copied().collect();
        sim.spawn_in(CLIENTS, Box::pin(play.clone().client(n, asks, *slow)));
    }
    for (n, (at, _)) in script.faults.iter().enumerate() {
        sim.fault_at(*at, n, play.meets(&script.faults[n].1));
    }
    // Clients ask one thing after the other, so the last may begin late; what is open then ends in order.
    let (mut end, mut looked) = (LONGEST, -1);
    while sim.step(end) {
        for fault in sim.faults() {
            play.fault(script.faults[fault].1);
        }
        // The sets and the list change with time, not with steps.
        if sim.time() / 10 != looked {
            looked = sim.time() / 10;
            play.tend();
            if end == LONGEST && sim.tasks_of(CLIENTS) == 0 {
                end = sim.time() + AFTERWARDS;
            }
        }
        play.checker.borrow_mut().step(sim.time());
        if play.checker.borrow().broken.is_some() {
            break;
        }
    }
    play.settle();
    let played = play.come_to();
    // What is left is dropped while the world still stands.
    (0..=play.machine_process(machines)).filter(|p| sim.alive(*p)).for_each(|p| sim.kill(p));
    play.gateways.borrow_mut().clear();
    set_world(None);
    played
}

impl Play {
    /// At the end nothing may be left: tables at their size, no claim held, no command open.
    fn settle(&self) {
        let mut checker = self.checker.borrow_mut();
        let now = self.now();
        if checker.broken.is_some() {
            return;
        }
        if checker.open() > 0 {
            let open = checker.open();
            checker.breaks(now, 1, format!("{open} commands open at the end"));
        }
        if self.sim.panics.get() > 0 {
            checker.breaks(now, 0, format!("{} tasks panicked", self.sim.panics.get()));
        }
        for (n, gateway) in self.gateways.borrow().iter().enumerate() {
            let Some(gateway) = gateway else { continue };
            let tables = gateway.exchange.tables();
            let line = gateway.peers.line();
            let held = |name: &str| !line.contains(&format!("{name}=0"));
            if gateway.exchange.open() > 0 || tables.iter().any(|(t, size)| *t == "open_ids" && *size > 0) {
                checker.breaks(now, 0, format!("gateway {n} still has commands open: {tables:?}"));
            }
            let left = [
                "held.statements",
                "held.answers",
                "held.promised",
                "peers.new",
                "peers.usual",
                "peers.slow",
            ];
            if left.iter().any(|name| held(name)) || gateway.counters.clients.in_use() > 0 {
                checker.breaks(now, 0, format!("gateway {n} still holds: {line}"));
            }
        }
    }

    fn come_to(&self) -> Played {
        let checker = self.checker.borrow();
        let collisions = *self.sim.collisions.borrow();
        Played {
            broken: checker.broken.clone(),
            steps: self.sim.steps.get(),
            commands: checker.taken,
            collisions,
            benefit: self.benefit.get(),
            asked: self.asked.get(),
            digest: self.sim.digest.borrow().digest(),
            trace: self.sim.trace(),
        }
    }
}
