//! Failure detection and the cost of membership: injects faults into the processes and links of a fleet one after the
//! other, measures how long the other members take to detect each, and what membership costs as the fleet grows.
//!
//! # Invariants
//!
//! Which process is alive follows from the injected faults, never from what another process reports.

use std::error::Error;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use leverpoint_membership::{MembershipConfig, Ticks};
use leverpoint_test_support::client::{ResponseOutcome, classify_response};
use leverpoint_test_support::fleet::{FleetConfig, GatewayFleet};
use leverpoint_test_support::relay::LinkFaults;
use leverpoint_test_support::replica_set::{IDEAL_SET, start_replica_set};
use leverpoint_test_support::values::expected_value;
use leverpoint_test_support::wire::endpoint_list;
use plotters::prelude::*;
use serde::Serialize;

use crate::harness::{self, SETTINGS, cpu_seconds};

/// Options of `run members`.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Number of faults; 0 measures only the cost by fleet size.
    pub faults: usize,
    /// Small fleets and short measurements.
    pub short: bool,
    pub seed: u64,
    /// Directory for tables and charts.
    pub out: PathBuf,
    /// The gateway program; by default the one in the directory of this program.
    pub program: Option<PathBuf>,
}

/// Results of a run, printed as JSON.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub processes: usize,
    pub faults: usize,
    /// Conflicts that members have found between layouts of the same version.
    pub forks: u64,
    /// Detections of a fault and of a recovery that took longer than [`convergence_bound`], one per observing member.
    #[serde(rename = "false_gone")]
    pub late_statuses: u64,
    /// Status changes that a member reported for an incarnation older than one that it had reported before.
    pub old_incarnation_believed: u64,
    /// Time until all others have detected a killed, stopped or partitioned member.
    pub detect_ms_p50: f64,
    pub detect_ms_p99: f64,
    /// Bytes a second that a member of the largest measured fleet sends to the others.
    pub bytes_s_member: f64,
    /// Share of one core that a member of the largest measured fleet uses.
    pub cpu_share: f64,
    /// p99 latency of requests through a member, divided by that through a gateway without membership in the same run.
    pub p99_ratio: f64,
}

/// Number of processes in the fleet into which faults are injected.
const PROCESSES: usize = 6;
/// Heartbeat interval of the fleet into which faults are injected.
const HEARTBEAT_MS: u64 = 100;

/// How long the measurement of the cost waits for all members to join the layout: a hundred members join one after the
/// other, at one or two heartbeats each.
const JOIN_TIMEOUT: Duration = Duration::from_secs(180);

/// Cost of membership at one fleet size.
struct Cost {
    members: usize,
    /// Bytes sent per second and member.
    bytes_per_s: f64,
    /// Share of one core per member.
    cpu_share: f64,
}

fn fleet_config(
    processes: usize,
    heartbeat_ms: u64,
    relays: bool,
    members: bool,
    known_list: String,
    seed: u64,
) -> FleetConfig {
    FleetConfig {
        processes,
        founders: processes.min(3),
        heartbeat_ms,
        join_delay_ms: None,
        disk: true,
        zones: 3,
        members,
        relays,
        settings: SETTINGS.into(),
        known_list,
        extra_hcl: String::new(),
        seed,
    }
}

/// Time within which every member has to detect a fault or a recovery: the detection and recovery bounds of the
/// membership protocol.
fn convergence_bound() -> Duration {
    let heartbeat = HEARTBEAT_MS as Ticks * 10;
    let config = MembershipConfig {
        probe_interval: heartbeat,
        ..MembershipConfig::default()
    };
    Duration::from_micros(
        (config.detection_bound(PROCESSES) + config.recovery_bound(PROCESSES)) as u64 * 100,
    )
}

/// Waits until each of `observers` reports `status` for the member `name`. Returns the total time, and the number of
/// observers that did not report it within [`convergence_bound`].
fn wait_for_status(
    fleet: &mut GatewayFleet,
    observers: &[usize],
    name: &str,
    status: &str,
) -> (Duration, u64) {
    let (started_at, mut late) = (Instant::now(), 0);
    for p in observers {
        let reached = fleet
            .wait_for_state(*p, |state| state.has_status(name, status))
            .is_some();
        late += u64::from(!reached || started_at.elapsed() > convergence_bound());
    }
    (started_at.elapsed(), late)
}

/// Waits until each member reports every other as alive. Returns the number of reports later than
/// [`convergence_bound`].
fn wait_until_all_alive(fleet: &mut GatewayFleet) -> u64 {
    let all: Vec<usize> = (0..PROCESSES).collect();
    let names: Vec<String> = all.iter().map(|p| fleet.name(*p).to_owned()).collect();
    names.iter().enumerate().fold(0, |late, (p, name)| {
        let others: Vec<usize> = all.iter().copied().filter(|other| *other != p).collect();
        late + wait_for_status(fleet, &others, name, "here").1
    })
}

/// Injects random faults and waits for detection and recovery after each; writes one row of `members.csv` per fault.
fn inject_faults(options: &Options, program: &Path, figures: &mut Figures) -> Result<(), String> {
    let known_list = endpoint_list(7, true, &[]);
    let mut fleet = GatewayFleet::new(
        program,
        fleet_config(
            PROCESSES,
            HEARTBEAT_MS,
            true,
            true,
            known_list,
            options.seed,
        ),
    );
    fleet.start_all();
    let all: Vec<usize> = (0..PROCESSES).collect();
    fleet.wait_for_layout(&all, 2);
    let mut rng = Rng::with_seed(options.seed);
    let mut detection_times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let partition = LinkFaults {
        partitioned: true,
        ..LinkFaults::default()
    };
    let mut table =
        csv::Writer::from_path(options.out.join("members.csv")).map_err(|e| e.to_string())?;
    table
        .write_record(["fault", "kind", "ms", "late"])
        .map_err(|e| e.to_string())?;
    for fault in 0..options.faults {
        let p = rng.usize(..PROCESSES);
        let others: Vec<usize> = all.iter().copied().filter(|other| *other != p).collect();
        let name = fleet.name(p).to_owned();
        let kind = rng.usize(..7);
        let (elapsed, mut late) = match kind {
            0 | 1 => {
                if kind == 0 {
                    fleet.kill(p);
                } else {
                    fleet.kill_and_erase(p);
                }
                let observation = wait_for_status(&mut fleet, &others, &name, "gone");
                fleet.start(p);
                observation
            }
            2 => {
                fleet.signal(p, "-STOP");
                let observation = wait_for_status(&mut fleet, &others, &name, "gone");
                fleet.signal(p, "-CONT");
                observation
            }
            3 => {
                fleet.set_faults_between(&[p], &others, partition);
                let observation = wait_for_status(&mut fleet, &others, &name, "gone");
                fleet.clear_faults();
                observation
            }
            4 => {
                let (one, other) = all.split_at(PROCESSES / 2);
                fleet.set_faults_between(one, other, partition);
                let last = fleet.name(other[0]).to_owned();
                let observation = wait_for_status(&mut fleet, one, &last, "gone");
                fleet.clear_faults();
                observation
            }
            5 => {
                fleet.shut_down(p);
                let observation = wait_for_status(&mut fleet, &others, &name, "left");
                fleet.start(p);
                (Duration::ZERO, observation.1)
            }
            _ => {
                let lossy = LinkFaults {
                    loss: 0.3,
                    duplication: 0.2,
                    reorder: 0.2,
                    corruption: 0.02,
                    ..LinkFaults::default()
                };
                fleet.set_faults_between(&all, &all, lossy);
                sleep(Duration::from_millis(20 * HEARTBEAT_MS));
                fleet.clear_faults();
                (Duration::ZERO, 0)
            }
        };
        if kind <= 4 {
            let _ = detection_times.record(elapsed.as_millis() as u64);
        }
        late += wait_until_all_alive(&mut fleet);
        figures.late_statuses += late;
        figures.faults += 1;
        let fault_names = [
            "killed", "burnt", "stopped", "cut off", "halved", "ended", "rough",
        ];
        let row = [
            fault.to_string(),
            fault_names[kind].into(),
            elapsed.as_millis().to_string(),
            late.to_string(),
        ];
        table.write_record(row).map_err(|e| e.to_string())?;
        if fault % 20 == 19 {
            eprintln!("{} faults injected", fault + 1);
        }
        // Counters start from zero when a process restarts, so they are read before the next fault.
        let forks: u64 = all
            .iter()
            .map(|p| fleet.observed(*p).layout_conflicts)
            .sum();
        let stale: u64 = all.iter().map(|p| fleet.observed(*p).stale_statuses).sum();
        figures.forks = figures.forks.max(forks);
        figures.old_incarnation_believed = figures.old_incarnation_believed.max(stale);
    }
    table.flush().map_err(|e| e.to_string())?;
    figures.forks += all
        .iter()
        .map(|p| fleet.member_counter(*p, "forks"))
        .sum::<u64>();
    figures.detect_ms_p50 = detection_times.value_at_quantile(0.5) as f64;
    figures.detect_ms_p99 = detection_times.value_at_quantile(0.99) as f64;
    Ok(())
}

/// Measures the cost per member of an idle fleet of `members` processes, at a heartbeat interval of 500 ms.
fn measure_cost(options: &Options, program: &Path, members: usize) -> Cost {
    let known_list = endpoint_list(7, true, &[]);
    let mut fleet = GatewayFleet::new(
        program,
        fleet_config(members, 500, false, true, known_list, options.seed),
    );
    fleet.start_all();
    for p in 0..members {
        fleet.expect_state(p, "all members are known", |state| {
            state.count_with_status("here") >= members - 1
        });
    }
    // Excludes the startup from the measurement: the votes on each new replica holder, the handshakes of first
    // connections and the first spread of statuses.
    let started_at = Instant::now();
    while fleet.observed(0).holder_count < members as u64 && started_at.elapsed() < JOIN_TIMEOUT {
        let _ = fleet.wait_for_state(0, |state| state.holder_count >= members as u64);
    }
    eprintln!(
        "all {members} members are in the layout after {:.1} s",
        started_at.elapsed().as_secs_f64()
    );
    sleep(Duration::from_secs(if options.short { 3 } else { 20 }));
    let sampled: Vec<usize> = (0..members).step_by(members.div_ceil(10)).collect();
    let sample = |fleet: &mut GatewayFleet| -> (f64, f64) {
        let bytes: u64 = sampled
            .iter()
            .map(|p| fleet.member_counter(*p, "link.sent_bytes"))
            .sum();
        let cpu_s: f64 = (0..members)
            .map(|p| cpu_seconds(fleet.gateway(p).child.id()))
            .sum();
        (bytes as f64 / sampled.len() as f64, cpu_s / members as f64)
    };
    let (bytes, cpu_s) = sample(&mut fleet);
    let started_at = Instant::now();
    sleep(Duration::from_secs(if options.short { 5 } else { 20 }));
    let (bytes_after, cpu_s_after) = sample(&mut fleet);
    let elapsed_s = started_at.elapsed().as_secs_f64();
    Cost {
        members,
        bytes_per_s: (bytes_after - bytes) / elapsed_s,
        cpu_share: (cpu_s_after - cpu_s) / elapsed_s,
    }
}

/// Sends requests alternately through a gateway with membership and one without, and returns the ratio of their p99
/// latencies.
fn compare_latency(options: &Options, program: &Path) -> Result<f64, String> {
    let (_set, _members, known_list) = start_replica_set(IDEAL_SET, 3, Duration::from_millis(2));
    let fleets: Vec<GatewayFleet> = [true, false]
        .into_iter()
        .map(|on| {
            let mut fleet = GatewayFleet::new(
                program,
                fleet_config(5, 500, false, on, known_list.clone(), options.seed),
            );
            fleet.start_all();
            if on {
                fleet.wait_for_layout(&[0, 1, 2, 3, 4], 2);
            }
            fleet
        })
        .collect();
    let mut latencies =
        [(); 2].map(|()| Histogram::<u64>::new(3).expect("valid histogram precision"));
    let mut connections: Vec<_> = fleets
        .iter()
        .map(|fleet| harness::connect(&fleet.gateway(0).address))
        .collect::<Option<_>>()
        .ok_or("cannot connect to a gateway")?;
    let rounds = if options.short { 3_000 } else { 20_000 };
    for n in 0..rounds {
        for (index, connection) in connections.iter_mut().enumerate() {
            let id = format!("b{n}x{index}");
            let text = format!(
                "SELECT v FROM records WHERE k = '64-p' /* id={id},c=view,t=honest,d=2000,cluster=2 */"
            );
            let started_at = Instant::now();
            let response =
                harness::send_query(connection, &text).ok_or("the gateway closed a connection")?;
            if classify_response(&response, &expected_value(&id, 64)) != ResponseOutcome::Answered {
                return Err(format!("request {id} was not answered"));
            }
            let _ = latencies[index].record(started_at.elapsed().as_micros() as u64);
        }
    }
    let p99 = |index: usize| latencies[index].value_at_quantile(0.99) as f64;
    eprintln!(
        "request p99: {} us through a member, {} us through a gateway without membership",
        p99(0),
        p99(1)
    );
    Ok(p99(0) / p99(1))
}

/// Draws the cost per member by fleet size.
fn chart(path: &Path, costs: &[Cost]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_bytes_per_s = costs.iter().map(|c| c.bytes_per_s).fold(1.0, f64::max) * 1.2;
    let max_cpu_percent = costs
        .iter()
        .map(|c| c.cpu_share * 100.0)
        .fold(0.01, f64::max)
        * 1.2;
    let last = costs.last().map_or(3.0, |c| c.members as f64);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .right_y_label_area_size(60)
        .build_cartesian_2d((2.0..last).log_scale(), 0.0..max_bytes_per_s)?
        .set_secondary_coord((2.0..last).log_scale(), 0.0..max_cpu_percent);
    chart
        .configure_mesh()
        .x_desc("members")
        .y_desc("bytes/s per member")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("percent of a core per member")
        .draw()?;
    let points = |value: &dyn Fn(&Cost) -> f64| {
        costs
            .iter()
            .map(|c| (c.members as f64, value(c)))
            .collect::<Vec<_>>()
    };
    let key = |colour: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour);
    chart
        .draw_series(LineSeries::new(points(&|c| c.bytes_per_s), &BLUE))?
        .label("bytes")
        .legend(key(BLUE));
    let cpus = LineSeries::new(points(&|c| c.cpu_share * 100.0), &RED);
    chart
        .draw_secondary_series(cpus)?
        .label("CPU")
        .legend(key(RED));
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Injects the faults, compares latencies, measures the cost by fleet size and writes the tables and the chart.
///
/// # Errors
///
/// Returns a message if the gateway program is missing, a request fails or an output file cannot be written.
pub(crate) fn run(options: &Options) -> Result<Figures, String> {
    let program = harness::gateway_binary(&options.program)?;
    std::fs::create_dir_all(&options.out).map_err(|e| e.to_string())?;
    let mut figures = Figures {
        processes: PROCESSES,
        ..Figures::default()
    };
    if options.faults > 0 {
        inject_faults(options, &program, &mut figures)?;
        figures.p99_ratio = compare_latency(options, &program)?;
    }
    let sizes: &[usize] = if options.short {
        &[3, 10]
    } else {
        &[3, 10, 30, 100]
    };
    let costs: Vec<Cost> = sizes
        .iter()
        .map(|members| measure_cost(options, &program, *members))
        .collect();
    let mut table =
        std::fs::File::create(options.out.join("members-cost.csv")).map_err(|e| e.to_string())?;
    let _ = writeln!(table, "members,bytes_s,cpu_share");
    for Cost {
        members,
        bytes_per_s,
        cpu_share,
    } in &costs
    {
        eprintln!(
            "{members} members: {bytes_per_s:.0} bytes/s and {:.3} % of a core per member",
            cpu_share * 100.0
        );
        let _ = writeln!(table, "{members},{bytes_per_s},{cpu_share}");
    }
    chart(&options.out.join("members-cost.svg"), &costs).map_err(|e| e.to_string())?;
    if let Some(last) = costs.last() {
        (figures.bytes_s_member, figures.cpu_share) = (last.bytes_per_s, last.cpu_share);
    }
    Ok(figures)
}
