//! Owns the experiment with members: a fleet of real processes, faults between and to them one after the other, how long
//! each takes to be seen, and what the fleet costs as it grows.
//!
//! It must never take a process's word for another's state: who lives and who was killed is this experiment's own doing.

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

use crate::harness::{self, SETTINGS, cpu_s};

#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub faults: usize,
    pub short: bool,
    pub seed: u64,
    pub out: PathBuf,
    pub program: Option<PathBuf>,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub processes: usize,
    pub faults: usize,
    pub forks: u64,
    /// Who lived and was still called gone once the bound had passed.
    pub false_gone: u64,
    pub old_incarnation_believed: u64,
    pub detect_ms_p50: f64,
    pub detect_ms_p99: f64,
    pub bytes_s_member: f64,
    /// Of one core, a member of the largest fleet that was measured.
    pub cpu_share: f64,
    /// Commands through a member over those through a gateway that is none, in one run.
    pub p99_ratio: f64,
}

const PROCESSES: usize = 6;
const BEAT_MS: u64 = 100;

/// A hundred are taken in one after the other, a beat or two each.
const TAKEN_IN: Duration = Duration::from_secs(180);

/// One size's cost.
struct Cost {
    members: usize,
    bytes_s: f64,
    cpu: f64,
}

fn build(
    processes: usize,
    beat_ms: u64,
    relays: bool,
    members: bool,
    known: String,
    seed: u64,
) -> FleetConfig {
    FleetConfig {
        processes,
        founders: processes.min(3),
        heartbeat_ms: beat_ms,
        join_delay_ms: None,
        disk: true,
        zones: 3,
        members,
        relays,
        settings: SETTINGS.into(),
        known_list: known,
        extra_hcl: String::new(),
        seed,
    }
}

/// How long all others may take to be seen as they are, by the bounds that the members themselves state.
fn bound() -> Duration {
    let beat = BEAT_MS as Ticks * 10;
    let terms = MembershipConfig {
        probe_interval: beat,
        ..MembershipConfig::default()
    };
    Duration::from_micros(
        (terms.detection_bound(PROCESSES) + terms.recovery_bound(PROCESSES)) as u64 * 100,
    )
}

/// Waits for each of `who` to see `name` so; the longest, and how many did not come to it within the bound.
fn all_see(stage: &mut GatewayFleet, who: &[usize], name: &str, how: &str) -> (Duration, u64) {
    let (began, mut late) = (Instant::now(), 0);
    for p in who {
        let come = stage
            .wait_for_state(*p, |word| word.has_status(name, how))
            .is_some();
        late += u64::from(!come || began.elapsed() > bound());
    }
    (began.elapsed(), late)
}

/// All see all others here, within the bound.
fn all_here(stage: &mut GatewayFleet) -> u64 {
    let all: Vec<usize> = (0..PROCESSES).collect();
    let names: Vec<String> = all.iter().map(|p| stage.name(*p).to_owned()).collect();
    names.iter().enumerate().fold(0, |late, (p, name)| {
        let others: Vec<usize> = all.iter().copied().filter(|other| *other != p).collect();
        late + all_see(stage, &others, name, "here").1
    })
}

fn play(asked: &Asked, program: &Path, figures: &mut Figures) -> Result<(), String> {
    let known = endpoint_list(7, true, &[]);
    let mut stage = GatewayFleet::new(
        program,
        build(PROCESSES, BEAT_MS, true, true, known, asked.seed),
    );
    stage.start_all();
    let all: Vec<usize> = (0..PROCESSES).collect();
    stage.wait_for_layout(&all, 2);
    let mut chance = Rng::with_seed(asked.seed);
    let mut detected = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let cut = LinkFaults {
        partitioned: true,
        ..LinkFaults::default()
    };
    let mut table =
        csv::Writer::from_path(asked.out.join("members.csv")).map_err(|e| e.to_string())?;
    table
        .write_record(["fault", "kind", "ms", "late"])
        .map_err(|e| e.to_string())?;
    for fault in 0..asked.faults {
        let p = chance.usize(..PROCESSES);
        let others: Vec<usize> = all.iter().copied().filter(|other| *other != p).collect();
        let name = stage.name(p).to_owned();
        let kind = chance.usize(..7);
        let (took, mut late) = match kind {
            0 | 1 => {
                if kind == 0 {
                    stage.kill(p);
                } else {
                    stage.kill_and_erase(p);
                }
                let seen = all_see(&mut stage, &others, &name, "gone");
                stage.start(p);
                seen
            }
            2 => {
                stage.signal(p, "-STOP");
                let seen = all_see(&mut stage, &others, &name, "gone");
                stage.signal(p, "-CONT");
                seen
            }
            3 => {
                stage.set_faults_between(&[p], &others, cut);
                let seen = all_see(&mut stage, &others, &name, "gone");
                stage.clear_faults();
                seen
            }
            4 => {
                let (one, other) = all.split_at(PROCESSES / 2);
                stage.set_faults_between(one, other, cut);
                let last = stage.name(other[0]).to_owned();
                let seen = all_see(&mut stage, one, &last, "gone");
                stage.clear_faults();
                seen
            }
            5 => {
                stage.shut_down(p);
                let seen = all_see(&mut stage, &others, &name, "left");
                stage.start(p);
                (Duration::ZERO, seen.1)
            }
            _ => {
                let rough = LinkFaults {
                    loss: 0.3,
                    duplication: 0.2,
                    reorder: 0.2,
                    corruption: 0.02,
                    ..LinkFaults::default()
                };
                stage.set_faults_between(&all, &all, rough);
                sleep(Duration::from_millis(20 * BEAT_MS));
                stage.clear_faults();
                (Duration::ZERO, 0)
            }
        };
        if kind <= 4 {
            let _ = detected.record(took.as_millis() as u64);
        }
        late += all_here(&mut stage);
        figures.false_gone += late;
        figures.faults += 1;
        let kinds = [
            "killed", "burnt", "stopped", "cut off", "halved", "ended", "rough",
        ];
        let row = [
            fault.to_string(),
            kinds[kind].into(),
            took.as_millis().to_string(),
            late.to_string(),
        ];
        table.write_record(row).map_err(|e| e.to_string())?;
        if fault % 20 == 19 {
            eprintln!("{} faults played", fault + 1);
        }
        // A life's own counts end with it, so they are added up before the next fault.
        let forks: u64 = all
            .iter()
            .map(|p| stage.observed(*p).layout_conflicts)
            .sum();
        let old: u64 = all.iter().map(|p| stage.observed(*p).stale_statuses).sum();
        figures.forks = figures.forks.max(forks);
        figures.old_incarnation_believed = figures.old_incarnation_believed.max(old);
    }
    table.flush().map_err(|e| e.to_string())?;
    figures.forks += all
        .iter()
        .map(|p| stage.member_counter(*p, "forks"))
        .sum::<u64>();
    figures.detect_ms_p50 = detected.value_at_quantile(0.5) as f64;
    figures.detect_ms_p99 = detected.value_at_quantile(0.99) as f64;
    Ok(())
}

/// What a quiet fleet of so many costs a member, at the usual beat.
fn cost(asked: &Asked, program: &Path, members: usize) -> Cost {
    let known = endpoint_list(7, true, &[]);
    let mut stage = GatewayFleet::new(program, build(members, 500, false, true, known, asked.seed));
    stage.start_all();
    for p in 0..members {
        stage.expect_state(p, "all are known", |word| {
            word.count_with_status("here") >= members - 1
        });
    }
    // What begins with a fleet is over: the votes on each new holder, greetings of first connections, news.
    let began = Instant::now();
    while stage.observed(0).holder_count < members as u64 && began.elapsed() < TAKEN_IN {
        let _ = stage.wait_for_state(0, |word| word.holder_count >= members as u64);
    }
    eprintln!(
        "{members} members hold a layout after {:.1} s",
        began.elapsed().as_secs_f64()
    );
    sleep(Duration::from_secs(if asked.short { 3 } else { 20 }));
    let some: Vec<usize> = (0..members).step_by(members.div_ceil(10)).collect();
    let look = |stage: &mut GatewayFleet| -> (f64, f64) {
        let bytes: u64 = some
            .iter()
            .map(|p| stage.member_counter(*p, "link.sent_bytes"))
            .sum();
        let cpu: f64 = (0..members)
            .map(|p| cpu_s(stage.gateway(p).child.id()))
            .sum();
        (bytes as f64 / some.len() as f64, cpu / members as f64)
    };
    let (bytes, cpu) = look(&mut stage);
    let began = Instant::now();
    sleep(Duration::from_secs(if asked.short { 5 } else { 20 }));
    let (bytes_after, cpu_after) = look(&mut stage);
    let span = began.elapsed().as_secs_f64();
    Cost {
        members,
        bytes_s: (bytes_after - bytes) / span,
        cpu: (cpu_after - cpu) / span,
    }
}

/// Commands through a gateway that is a member and through one that is none, in turns.
fn beside(asked: &Asked, program: &Path) -> Result<f64, String> {
    let (_set, _members, known) = start_replica_set(IDEAL_SET, 3, Duration::from_millis(2));
    let stages: Vec<GatewayFleet> = [true, false]
        .into_iter()
        .map(|on| {
            let mut stage =
                GatewayFleet::new(program, build(5, 500, false, on, known.clone(), asked.seed));
            stage.start_all();
            if on {
                stage.wait_for_layout(&[0, 1, 2, 3, 4], 2);
            }
            stage
        })
        .collect();
    let mut times = [(); 2].map(|()| Histogram::<u64>::new(3).expect("three digits"));
    let mut lines: Vec<_> = stages
        .iter()
        .map(|stage| harness::connect(&stage.gateway(0).address))
        .collect::<Option<_>>()
        .ok_or("no line")?;
    let rounds = if asked.short { 3_000 } else { 20_000 };
    for n in 0..rounds {
        for (which, line) in lines.iter_mut().enumerate() {
            let id = format!("b{n}x{which}");
            let text = format!(
                "SELECT v FROM records WHERE k = '64-p' /* id={id},c=view,t=honest,d=2000,cluster=2 */"
            );
            let began = Instant::now();
            let heard = harness::ask(line, &text).ok_or("a connection ended")?;
            if classify_response(&heard, &expected_value(&id, 64)) != ResponseOutcome::Answered {
                return Err(format!("{id} was not answered"));
            }
            let _ = times[which].record(began.elapsed().as_micros() as u64);
        }
    }
    let p99 = |which: usize| times[which].value_at_quantile(0.99) as f64;
    eprintln!(
        "commands' p99 through a member {} us, through none {} us",
        p99(0),
        p99(1)
    );
    Ok(p99(0) / p99(1))
}

fn chart(path: &Path, costs: &[Cost]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = costs.iter().map(|c| c.bytes_s).fold(1.0, f64::max) * 1.2;
    let cpu = costs.iter().map(|c| c.cpu * 100.0).fold(0.01, f64::max) * 1.2;
    let last = costs.last().map_or(3.0, |c| c.members as f64);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .right_y_label_area_size(60)
        .build_cartesian_2d((2.0..last).log_scale(), 0.0..most)?
        .set_secondary_coord((2.0..last).log_scale(), 0.0..cpu);
    chart
        .configure_mesh()
        .x_desc("members")
        .y_desc("bytes a second, each")
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("percent of a core, each")
        .draw()?;
    let points = |of: &dyn Fn(&Cost) -> f64| {
        costs
            .iter()
            .map(|c| (c.members as f64, of(c)))
            .collect::<Vec<_>>()
    };
    let key = |colour: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour);
    chart
        .draw_series(LineSeries::new(points(&|c| c.bytes_s), &BLUE))?
        .label("bytes")
        .legend(key(BLUE));
    let cpus = LineSeries::new(points(&|c| c.cpu * 100.0), &RED);
    chart
        .draw_secondary_series(cpus)?
        .label("CPU")
        .legend(key(RED));
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

pub(crate) fn run(asked: &Asked) -> Result<Figures, String> {
    let program = harness::program(&asked.program)?;
    std::fs::create_dir_all(&asked.out).map_err(|e| e.to_string())?;
    let mut figures = Figures {
        processes: PROCESSES,
        ..Figures::default()
    };
    if asked.faults > 0 {
        play(asked, &program, &mut figures)?;
        figures.p99_ratio = beside(asked, &program)?;
    }
    let sizes: &[usize] = if asked.short {
        &[3, 10]
    } else {
        &[3, 10, 30, 100]
    };
    let costs: Vec<Cost> = sizes
        .iter()
        .map(|members| cost(asked, &program, *members))
        .collect();
    let mut table =
        std::fs::File::create(asked.out.join("members-cost.csv")).map_err(|e| e.to_string())?;
    let _ = writeln!(table, "members,bytes_s,cpu_share");
    for Cost {
        members,
        bytes_s,
        cpu,
    } in &costs
    {
        eprintln!(
            "{members} members: {bytes_s:.0} bytes/s and {:.3} % of a core each",
            cpu * 100.0
        );
        let _ = writeln!(table, "{members},{bytes_s},{cpu}");
    }
    chart(&asked.out.join("members-cost.svg"), &costs).map_err(|e| e.to_string())?;
    if let Some(last) = costs.last() {
        (figures.bytes_s_member, figures.cpu_share) = (last.bytes_s, last.cpu);
    }
    Ok(figures)
}
