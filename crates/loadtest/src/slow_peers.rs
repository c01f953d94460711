//! Owns the experiment with slow peers: clean and slow periods in turns within one run of the real program.
//!
//! It must never count a client that is slow among the honest ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::sleep;
use std::time::{Duration, Instant};

use leverpoint_test_support::agent::start_agent;
use leverpoint_test_support::gateway::{self, Gateway};
use leverpoint_test_support::pace::Pace;
use leverpoint_test_support::replica_set::{
    IDEAL_SET, ReplicaSet, ReplicaSetMember, start_replica_set,
};
use leverpoint_test_support::slow_clients::{
    ClientBehavior, ClientCounters, RequestSpec, SlowClients,
};
use leverpoint_test_support::wire::http_ok;

use crate::harness::{self, SETTINGS, cpu_s};
use crate::measurements::{Asked, Figures, Record};
use crate::open_loop::{Honest, Line};
use crate::report;

const HONEST: usize = 32;
/// A server's work for a command: far above the noise of a busy machine, far below any target.
const WORK: Duration = Duration::from_millis(4);
/// What slow clients ask for, and for how long they wait.
const LENGTH: usize = 64_000;
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// After a slow period, what it left behind passes before the next clean one begins.
const SETTLES: Duration = Duration::from_millis(2_500);

/// Habits of slow clients, in turns.
const READERS: [ClientBehavior; 5] = [
    ClientBehavior::NeverReads,
    ClientBehavior::ReadsAtRate(4 << 10),
    ClientBehavior::ReadsAtRate(9 << 10),
    ClientBehavior::ReadsAtRate(1),
    ClientBehavior::PausesReading(32_000, Duration::from_secs(10)),
];
const WRITERS: [ClientBehavior; 2] = [
    ClientBehavior::SendsHalfStatement,
    ClientBehavior::WritesInPieces(1, Duration::from_millis(50)),
];

struct Stage {
    gateway: Gateway,
    set: Arc<ReplicaSet>,
    members: Vec<ReplicaSetMember>,
}

fn set_up(asked: &Asked) -> Result<Stage, String> {
    let program = harness::program(&asked.program)?;
    let (set, members, known) = start_replica_set(IDEAL_SET, 3 + asked.tricklers, WORK);
    let (agent, address) = (start_agent(), gateway::free_address());
    let text = gateway::config(&address, &agent.address, &known, SETTINGS)
        .replace(
            "\"memory_mb\":192",
            &format!("\"memory_mb\":{}", asked.memory_mb),
        )
        .replace(
            "\"sockets\":1024",
            &format!("\"sockets\":{}", asked.sockets),
        );
    std::fs::create_dir_all(&asked.out).map_err(|e| e.to_string())?;
    let operator = asked.out.join("operator.hcl");
    let words = if asked.without {
        "slow {\n  caps = false\n}\n"
    } else {
        "slow {}\n"
    };
    std::fs::write(&operator, words).map_err(|e| e.to_string())?;
    let operator = operator.display().to_string();
    agent
        .responses
        .send(http_ok(&known))
        .map_err(|e| e.to_string())?;
    let words: &[&str] = if asked.plain {
        &[]
    } else {
        &["--operator", &operator]
    };
    let gateway = gateway::start(&text, address, agent, &program, words);
    Ok(Stage {
        gateway,
        set,
        members,
    })
}

/// `VmHWM` of a process, in MiB.
fn peak_rss_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

fn counted(line: &str, name: &str) -> u64 {
    gateway::counter_value(line, name)
        .and_then(|count| count.parse().ok())
        .unwrap_or(0)
}

pub(crate) fn run(asked: &Asked) -> Result<Figures, String> {
    let mut stage = set_up(asked)?;
    let to: SocketAddr = stage
        .gateway
        .address
        .parse()
        .map_err(|_| "an address of its own".to_owned())?;
    let seconds = if asked.short { 4 } else { 10 };
    let mut chance = fastrand::Rng::with_seed(asked.seed);
    let mut lines: Vec<_> = (0..HONEST)
        .map(|n| Line::new(to, format!("{:x}", 0xa00 + n), chance.u64(..)))
        .collect();
    let seen = Arc::new(ClientCounters::default());
    let mut periods: Vec<(bool, Record)> = Vec::new();
    let play = |lines: Vec<Line>, span: Duration| {
        let honest = Honest::start(lines, Instant::now(), span.as_secs() as usize);
        sleep(span);
        honest.end()
    };
    // Connections come up and times are learnt before anything is measured.
    (_, lines) = play(lines, Duration::from_secs(2));
    let mut first = 0x10_0000;
    for pair in 0..asked.pairs {
        let record;
        (record, lines) = play(lines, Duration::from_secs(seconds));
        periods.push((false, record));
        eprintln!("pair {} of {}: clean period played", pair + 1, asked.pairs);
        for member in &stage.members[3..] {
            member.set_pace(Pace::Trickle(1, Duration::from_millis(50)));
        }
        let habits =
            |of: &[ClientBehavior], n: usize| (0..n).map(|i| of[i % of.len()]).collect::<Vec<_>>();
        let asks = RequestSpec {
            request_class: "view".into(),
            tenant: "venue".into(),
            replica_set: 2,
            value_length: LENGTH,
            timeout: TIMEOUT,
        };
        let readers = SlowClients::start(to, &habits(&READERS, asked.readers), &asks, &seen, first);
        first += 0x1_0000;
        let writers = SlowClients::start(to, &habits(&WRITERS, asked.writers), &asks, &seen, first);
        first += 0x1_0000;
        let record;
        (record, lines) = play(lines, Duration::from_secs(seconds));
        periods.push((true, record));
        drop((readers, writers));
        stage
            .members
            .iter()
            .for_each(|member| member.set_pace(Pace::Whole));
        eprintln!("pair {} of {}: slow period played", pair + 1, asked.pairs);
        (_, lines) = play(lines, if asked.short { SETTLES / 2 } else { SETTLES });
    }
    drop(lines);
    let rss = peak_rss_mb(stage.gateway.child.id());
    let cpu = cpu_s(stage.gateway.child.id());
    let line = stage.gateway.shut_down_for_peers_line(asked.plain);
    let commands = counted(&stage.gateway.log_lines.borrow().join(" "), "answered").max(1);
    eprintln!(
        "{cpu} s of CPU, {commands} answered, {:.1} us each",
        cpu * 1e6 / commands as f64
    );
    let log = stage.gateway.log_lines.borrow().join("\n");
    std::fs::write(asked.out.join("gateway.log"), log).map_err(|e| e.to_string())?;
    let (twice, _) = stage.set.effect_counts();
    let sum = |slow: bool| {
        let mut all = Record::new(0);
        let mut seconds = Vec::new();
        for (_, record) in periods.iter().filter(|(s, _)| *s == slow) {
            all.join(record);
            seconds.extend(record.seconds.iter().copied());
        }
        (all, seconds.into_iter().min().unwrap_or(0))
    };
    let ((clean, clean_worst), (slow, slow_worst)) = (sum(false), sum(true));
    let figures = Figures {
        pairs: asked.pairs,
        answered_ratio: slow.answered_share() / clean.answered_share(),
        p50_ratio: slow.ms(50.0) / clean.ms(50.0),
        p99_ratio: slow.ms(99.0) / clean.ms(99.0),
        worst_second_ratio: slow_worst as f64 / clean_worst.max(1) as f64,
        peak_rss_mb: rss,
        held_peak_bytes: counted(&line, "held.peak"),
        let_go: counted(&line, "peers.let_go"),
        lost: clean.lost + slow.lost + seen.lost.load(Relaxed),
        wrong: clean.wrong + slow.wrong + seen.wrong.load(Relaxed) + twice,
    };
    report::write(
        asked,
        &periods,
        &figures,
        &seen,
        &format!("{line}; {cpu} s of CPU"),
    )
    .map_err(|e| e.to_string())?;
    Ok(figures)
}
