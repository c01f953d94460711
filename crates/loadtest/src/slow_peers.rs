//! Latency of well-behaved clients while other clients and servers are slow: clean and slow periods alternate within
//! one run of the gateway.
//!
//! # Invariants
//!
//! The requests of slow clients never enter the measurements of the well-behaved ones.

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

use crate::harness::{self, SETTINGS, cpu_seconds};
use crate::measurements::{Figures, Measurements, Options};
use crate::open_loop::{OpenLoopClient, OpenLoopClients};
use crate::report;

/// Number of well-behaved clients.
const OPEN_LOOP_CLIENTS: usize = 32;
/// Time that a server works on a request: far above the timing noise of a busy host, far below any latency target.
const SERVICE_TIME: Duration = Duration::from_millis(4);
/// Length of the value that slow clients request, in bytes.
const VALUE_LENGTH: usize = 64_000;
/// Timeout of the slow clients.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after a slow period, in which its remaining connections and queued requests end before the next clean period.
const RECOVERY_PAUSE: Duration = Duration::from_millis(2_500);

/// Behaviors of the slow clients, assigned in rotation.
const READER_BEHAVIORS: [ClientBehavior; 5] = [
    ClientBehavior::NeverReads,
    ClientBehavior::ReadsAtRate(4 << 10),
    ClientBehavior::ReadsAtRate(9 << 10),
    ClientBehavior::ReadsAtRate(1),
    ClientBehavior::PausesReading(32_000, Duration::from_secs(10)),
];
const WRITER_BEHAVIORS: [ClientBehavior; 2] = [
    ClientBehavior::SendsHalfStatement,
    ClientBehavior::WritesInPieces(1, Duration::from_millis(50)),
];

/// A running gateway with its replica set.
struct Deployment {
    gateway: Gateway,
    set: Arc<ReplicaSet>,
    members: Vec<ReplicaSetMember>,
}

/// Starts the replica set, an agent and the gateway with the configured limits.
///
/// # Errors
///
/// Returns a message if the gateway program is missing or the operator's file cannot be written.
fn deploy(options: &Options) -> Result<Deployment, String> {
    let program = harness::gateway_binary(&options.program)?;
    let (set, members, known_list) =
        start_replica_set(IDEAL_SET, 3 + options.tricklers, SERVICE_TIME);
    let (agent, address) = (start_agent(), gateway::free_address());
    let text = gateway::config(&address, &agent.address, &known_list, SETTINGS)
        .replace(
            "\"memory_mb\":192",
            &format!("\"memory_mb\":{}", options.memory_mb),
        )
        .replace(
            "\"sockets\":1024",
            &format!("\"sockets\":{}", options.sockets),
        );
    std::fs::create_dir_all(&options.out).map_err(|e| e.to_string())?;
    let operator = options.out.join("operator.hcl");
    let operator_settings = if options.without_pace {
        "slow {\n  caps = false\n}\n"
    } else {
        "slow {}\n"
    };
    std::fs::write(&operator, operator_settings).map_err(|e| e.to_string())?;
    let operator = operator.display().to_string();
    agent
        .responses
        .send(http_ok(&known_list))
        .map_err(|e| e.to_string())?;
    let args: &[&str] = if options.no_operator_file {
        &[]
    } else {
        &["--operator", &operator]
    };
    let gateway = gateway::start(&text, address, agent, &program, args);
    Ok(Deployment {
        gateway,
        set,
        members,
    })
}

/// Peak resident memory of a process (`VmHWM`) in MiB, 0 if it cannot be read.
fn peak_rss_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// Value of a counter in a log line, 0 if it is missing or not a number.
fn counter(line: &str, name: &str) -> u64 {
    gateway::counter_value(line, name)
        .and_then(|count| count.parse().ok())
        .unwrap_or(0)
}

/// Runs the clean and the slow periods and writes the output files, the gateway's log among them.
///
/// # Errors
///
/// Returns a message if the gateway program is missing or an output file cannot be written.
pub(crate) fn run(options: &Options) -> Result<Figures, String> {
    let mut deployment = deploy(options)?;
    let address: SocketAddr = deployment
        .gateway
        .address
        .parse()
        .map_err(|_| "the gateway's address is not an IP address and port".to_owned())?;
    let seconds = if options.short { 4 } else { 10 };
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut clients: Vec<_> = (0..OPEN_LOOP_CLIENTS)
        .map(|n| OpenLoopClient::new(address, format!("{:x}", 0xa00 + n), rng.u64(..)))
        .collect();
    let counters = Arc::new(ClientCounters::default());
    let mut periods: Vec<(bool, Measurements)> = Vec::new();
    let run_period = |clients: Vec<OpenLoopClient>, span: Duration| {
        let running = OpenLoopClients::start(clients, Instant::now(), span.as_secs() as usize);
        sleep(span);
        running.end()
    };
    // Warm-up: connections open and the gateway learns response times before the measurement.
    (_, clients) = run_period(clients, Duration::from_secs(2));
    let mut first_id = 0x10_0000;
    for pair in 0..options.pairs {
        let measurements;
        (measurements, clients) = run_period(clients, Duration::from_secs(seconds));
        periods.push((false, measurements));
        eprintln!(
            "pair {} of {}: clean period finished",
            pair + 1,
            options.pairs
        );
        for member in &deployment.members[3..] {
            member.set_pace(Pace::Trickle(1, Duration::from_millis(50)));
        }
        let behaviors = |kinds: &[ClientBehavior], n: usize| {
            (0..n).map(|i| kinds[i % kinds.len()]).collect::<Vec<_>>()
        };
        let request = RequestSpec {
            request_class: "view".into(),
            tenant: "venue".into(),
            replica_set: 2,
            value_length: VALUE_LENGTH,
            timeout: CLIENT_TIMEOUT,
        };
        let readers = SlowClients::start(
            address,
            &behaviors(&READER_BEHAVIORS, options.readers),
            &request,
            &counters,
            first_id,
        );
        first_id += 0x1_0000;
        let writers = SlowClients::start(
            address,
            &behaviors(&WRITER_BEHAVIORS, options.writers),
            &request,
            &counters,
            first_id,
        );
        first_id += 0x1_0000;
        let measurements;
        (measurements, clients) = run_period(clients, Duration::from_secs(seconds));
        periods.push((true, measurements));
        drop((readers, writers));
        deployment
            .members
            .iter()
            .for_each(|member| member.set_pace(Pace::Whole));
        eprintln!(
            "pair {} of {}: slow period finished",
            pair + 1,
            options.pairs
        );
        (_, clients) = run_period(
            clients,
            if options.short {
                RECOVERY_PAUSE / 2
            } else {
                RECOVERY_PAUSE
            },
        );
    }
    drop(clients);
    let rss_mb = peak_rss_mb(deployment.gateway.child.id());
    let cpu_s = cpu_seconds(deployment.gateway.child.id());
    let peers_line = deployment
        .gateway
        .shut_down_for_peers_line(options.no_operator_file);
    let answered = counter(&deployment.gateway.log_lines.borrow().join(" "), "answered").max(1);
    eprintln!(
        "gateway: {cpu_s} s of CPU time, {answered} requests answered, {:.1} us per request",
        cpu_s * 1e6 / answered as f64
    );
    let log = deployment.gateway.log_lines.borrow().join("\n");
    std::fs::write(options.out.join("gateway.log"), log).map_err(|e| e.to_string())?;
    let (duplicate_effects, _) = deployment.set.effect_counts();
    let sum = |slow: bool| {
        let mut all = Measurements::new(0);
        let mut seconds = Vec::new();
        for (_, measurements) in periods.iter().filter(|(s, _)| *s == slow) {
            all.merge(measurements);
            seconds.extend(measurements.answers_by_second.iter().copied());
        }
        (all, seconds.into_iter().min().unwrap_or(0))
    };
    let ((clean, clean_worst), (slow, slow_worst)) = (sum(false), sum(true));
    let figures = Figures {
        pairs: options.pairs,
        answered_ratio: slow.answered_share() / clean.answered_share(),
        p50_ratio: slow.percentile_ms(50.0) / clean.percentile_ms(50.0),
        p99_ratio: slow.percentile_ms(99.0) / clean.percentile_ms(99.0),
        worst_second_ratio: slow_worst as f64 / clean_worst.max(1) as f64,
        peak_rss_mb: rss_mb,
        held_peak_bytes: counter(&peers_line, "held.peak"),
        let_go: counter(&peers_line, "peers.let_go"),
        lost: clean.lost + slow.lost + counters.lost.load(Relaxed),
        wrong: clean.wrong + slow.wrong + counters.wrong.load(Relaxed) + duplicate_effects,
    };
    report::write(
        options,
        &periods,
        &figures,
        &counters,
        &format!("{peers_line}; {cpu_s} s of CPU time"),
    )
    .map_err(|e| e.to_string())?;
    Ok(figures)
}
