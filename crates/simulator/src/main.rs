//! Command line of the simulator: `leverpoint-simulator run`, `replay`, `shrink`, `compare`, `list` and, with the feature
//! `plants`, `plants`.
//!
//! # Invariants
//!
//! - The number of jobs does not change the results of a run.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use leverpoint_runtime::Instant;
use leverpoint_simulator::outcome::RunOutcome;
use leverpoint_simulator::scenarios::{self, AnyScenario};
use leverpoint_simulator::simulation::{Collisions, GATEWAY_EVENTS, GatewayEvent};
use leverpoint_simulator::{compare, shrink};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

#[derive(Clone, Debug)]
enum Subcommand {
    Run {
        scenario: String,
        seeds: (u64, u64),
        jobs: usize,
        each: Option<String>,
    },
    Compare {
        before: String,
        after: String,
    },
    Replay {
        scenario: String,
        seed: u64,
        trace: Option<String>,
    },
    Shrink {
        scenario: String,
        seed: u64,
    },
    #[cfg(feature = "plants")]
    Plants {
        seeds: u64,
    },
    List,
}

/// What `run` prints as one line of JSON.
#[derive(Serialize)]
struct RunSummary {
    scenario: String,
    seeds: u64,
    broken: u64,
    steps: u64,
    commands: u64,
    collisions: u64,
    benefit: f64,
    seconds: f64,
    digest: String,
}

fn cli() -> OptionParser<Subcommand> {
    let scenario = || {
        let name = long("scenario")
            .help("A name that `list` prints, or the path of an HCL file")
            .argument::<String>("NAME");
        name.fallback("round-close".to_owned())
    };
    let seed = || long("seed").argument::<u64>("N");
    let seeds = long("seeds")
        .help("The first seed and the one after the last")
        .argument::<String>("A..B");
    let seeds = seeds.parse(|text| {
        let (first, last) = text.split_once("..").ok_or("expected A..B")?;
        Ok::<_, &str>((
            first.parse().map_err(|_| "expected numbers")?,
            last.parse().map_err(|_| "expected numbers")?,
        ))
    });
    let jobs = long("jobs")
        .help("Number of threads")
        .argument::<usize>("N")
        .fallback(4);
    let run = {
        let scenario = scenario();
        let each = long("each")
            .help("Writes the results of each seed to this file, as CSV")
            .argument("FILE");
        let each = each.optional();
        construct!(Subcommand::Run {
            scenario,
            seeds,
            jobs,
            each
        })
        .to_options()
        .descr("Runs seeds and checks every rule")
    };
    let replay = {
        let (scenario, seed) = (scenario(), seed());
        let trace = long("trace")
            .help("Writes the trace to this file instead of standard output")
            .argument("FILE");
        let trace = trace.optional();
        construct!(Subcommand::Replay {
            scenario,
            seed,
            trace
        })
        .to_options()
        .descr("Runs one seed and prints its trace")
    };
    let shrink = {
        let (scenario, seed) = (scenario(), seed());
        let parser = construct!(Subcommand::Shrink { scenario, seed });
        parser
            .to_options()
            .descr("Removes faults and requests for as long as the same rule still breaks")
    };
    let compare = {
        let before = positional::<String>("BEFORE");
        let after = positional::<String>("AFTER");
        construct!(Subcommand::Compare { before, after })
            .to_options()
            .descr("Compares two files of `run --each` seed by seed: the mean difference and its standard error")
    };
    let compare = compare.command("compare");
    let list = pure(Subcommand::List)
        .to_options()
        .descr("Lists the scenarios");
    let (run, replay) = (run.command("run"), replay.command("replay"));
    let (shrink, list) = (shrink.command("shrink"), list.command("list"));
    #[cfg(feature = "plants")]
    {
        let seeds = long("seeds")
            .help("Maximum number of seeds for each fault")
            .argument::<u64>("N")
            .fallback(10_000);
        let plants = construct!(Subcommand::Plants { seeds }).to_options();
        let plants = plants
            .descr("Activates each planted fault and counts the seeds that it takes to detect it");
        let plants = plants.command("plants");
        construct!([run, replay, shrink, compare, plants, list])
            .to_options()
            .descr("Runs leverpoint's network code on virtual time under injected faults")
    }
    #[cfg(not(feature = "plants"))]
    construct!([run, replay, shrink, compare, list])
        .to_options()
        .descr("Runs leverpoint's network code on virtual time under injected faults")
}

fn main() -> ExitCode {
    match cli().run() {
        Subcommand::Run {
            scenario,
            seeds,
            jobs,
            each,
        } => with_scenario(&scenario, |s| {
            run(&scenario, s, seeds, jobs.max(1), each.as_deref())
        }),
        Subcommand::Compare { before, after } => match compare::compare_files(&before, &after) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("leverpoint-simulator: {error}");
                ExitCode::FAILURE
            }
        },
        Subcommand::Replay {
            scenario,
            seed,
            trace,
        } => with_scenario(&scenario, |s| replay(s, seed, trace.as_deref())),
        Subcommand::Shrink { scenario, seed } => with_scenario(&scenario, |s| {
            print!("{}", shrink::shrink(s, seed, Instant::now()));
            ExitCode::SUCCESS
        }),
        #[cfg(feature = "plants")]
        Subcommand::Plants { seeds } => {
            let mut all_found = true;
            for (fault, scenario, detection) in
                leverpoint_simulator::planted_faults::find_all(seeds, Instant::now())
            {
                let seeds = detection
                    .as_ref()
                    .map_or("not found".to_owned(), |(n, _)| n.to_string());
                let description = detection.map_or(String::new(), |(_, b)| {
                    format!("rule {}: {}", b.rule, b.description)
                });
                println!("| {fault} | {scenario} | {seeds} | {description} |");
                all_found &= !is_not_found(&seeds);
            }
            if all_found {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Subcommand::List => {
            scenarios::built_in()
                .for_each(|(name, scenario)| println!("{name:18} {}", scenario.about()));
            ExitCode::SUCCESS
        }
    }
}

#[cfg(feature = "plants")]
fn is_not_found(seeds: &str) -> bool {
    seeds == "not found"
}

/// Loads a scenario by name and passes it to `action`; prints the error if that fails.
fn with_scenario(name: &str, action: impl FnOnce(&AnyScenario) -> ExitCode) -> ExitCode {
    match scenarios::load(name) {
        Ok(scenario) => action(&scenario),
        Err(error) => {
            eprintln!("leverpoint-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(
    name: &str,
    scenario: &AnyScenario,
    (first, last): (u64, u64),
    jobs: usize,
    each: Option<&str>,
) -> ExitCode {
    let (next_seed, started_at) = (AtomicU64::new(first), Instant::now());
    let worker = || {
        let mut results = Vec::new();
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= last {
                return results;
            }
            results.push((seed, scenario.play(seed, started_at, false)));
        }
    };
    let mut played: Vec<(u64, RunOutcome)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(worker)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    });
    played.sort_by_key(|(seed, _)| *seed);
    let mut digest = Xxh3::new();
    played
        .iter()
        .for_each(|(_, p)| digest.update(&p.digest.to_le_bytes()));
    let sum =
        |value: &dyn Fn(&RunOutcome) -> f64| played.iter().map(|(_, p)| value(p)).sum::<f64>();
    let broken: Vec<_> = played
        .iter()
        .filter(|(_, p)| p.violation.is_some())
        .collect();
    for (seed, p) in broken.iter().take(5) {
        if let Some(b) = &p.violation {
            eprintln!(
                "seed {seed}: rule {} at {} ms: {}",
                b.rule,
                b.at / 10,
                b.description
            );
        }
    }
    if let Some((seed, _)) = broken.first() {
        eprintln!("replay with: leverpoint-simulator replay --scenario {name} --seed {seed}");
    }
    if let Some(file) = each
        && let Err(e) = std::fs::write(file, compare::results_csv(&played))
    {
        eprintln!("leverpoint-simulator: {file}: {e}");
        return ExitCode::FAILURE;
    }
    let mut collisions = Collisions::default();
    for (_, p) in &played {
        let cells = p
            .collisions
            .iter()
            .flatten()
            .zip(collisions.iter_mut().flatten());
        cells.for_each(|(count, total)| *total += count);
    }
    for (first, name) in GATEWAY_EVENTS {
        let describe = |(later, later_name): &(GatewayEvent, &str)| {
            let times = collisions[first as usize][*later as usize];
            (times > 0).then(|| format!("{later_name} {times}"))
        };
        let later_events: Vec<_> = GATEWAY_EVENTS.iter().filter_map(describe).collect();
        if !later_events.is_empty() {
            eprintln!(
                "{name} first, at the same instant as: {}",
                later_events.join(", ")
            );
        }
    }
    let summary = RunSummary {
        scenario: name.to_owned(),
        seeds: played.len() as u64,
        broken: broken.len() as u64,
        steps: sum(&|p| p.steps as f64) as u64,
        commands: sum(&|p| p.requests as f64) as u64,
        collisions: collisions.iter().flatten().sum(),
        benefit: sum(&|p| p.benefit) / sum(&|p| p.possible_benefit).max(1.0),
        seconds: started_at.elapsed().as_secs_f64(),
        digest: format!("{:016x}", digest.digest()),
    };
    println!("{}", serde_json::to_string(&summary).unwrap_or_default());
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn replay(scenario: &AnyScenario, seed: u64, file: Option<&str>) -> ExitCode {
    let played = scenario.play(seed, Instant::now(), true);
    let text = played.trace.join("\n") + "\n";
    match file {
        Some(file) => {
            if let Err(e) = std::fs::write(file, text) {
                eprintln!("leverpoint-simulator: {file}: {e}");
            }
        }
        None => print!("{text}"),
    }
    match &played.violation {
        Some(b) => {
            eprintln!("rule {} at {} ms: {}", b.rule, b.at / 10, b.description);
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}
