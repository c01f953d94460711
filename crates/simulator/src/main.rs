//! Owns the command line: `leverpoint-simulator run`, `replay`, `shrink`, `list`.
//!
//! It must never let the number of jobs change what is played.

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use leverpoint_runtime::Instant;
use leverpoint_simulator::outcome::Played;
use leverpoint_simulator::scenarios::{self, AnyScenario};
use leverpoint_simulator::world::{Collisions, MEANINGS, Meaning};
use leverpoint_simulator::{compare, shrink};
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

#[derive(Clone, Debug)]
enum Asked {
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

#[derive(Serialize)]
struct Line {
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

fn words() -> OptionParser<Asked> {
    let scenario = || {
        let name = long("scenario")
            .help("One of `list`, or a file of HCL")
            .argument::<String>("NAME");
        name.fallback("round-close".to_owned())
    };
    let seed = || long("seed").argument::<u64>("N");
    let seeds = long("seeds")
        .help("The first and the one behind the last")
        .argument::<String>("A..B");
    let seeds = seeds.parse(|text| {
        let (first, last) = text.split_once("..").ok_or("expected A..B")?;
        Ok::<_, &str>((
            first.parse().map_err(|_| "expected numbers")?,
            last.parse().map_err(|_| "expected numbers")?,
        ))
    });
    let jobs = long("jobs")
        .help("Threads")
        .argument::<usize>("N")
        .fallback(4);
    let run = {
        let scenario = scenario();
        let each = long("each")
            .help("Writes seed, benefit and commands of each there")
            .argument("FILE");
        let each = each.optional();
        construct!(Asked::Run {
            scenario,
            seeds,
            jobs,
            each
        })
        .to_options()
        .descr("Plays seeds, every rule checked")
    };
    let replay = {
        let (scenario, seed) = (scenario(), seed());
        let trace = long("trace")
            .help("Writes the trace there, else to standard output")
            .argument("FILE");
        let trace = trace.optional();
        construct!(Asked::Replay {
            scenario,
            seed,
            trace
        })
        .to_options()
        .descr("Plays one seed with its trace")
    };
    let shrink = {
        let (scenario, seed) = (scenario(), seed());
        let whole = construct!(Asked::Shrink { scenario, seed });
        whole
            .to_options()
            .descr("Drops faults and commands while the same rule still breaks")
    };
    let compare = {
        let before = positional::<String>("BEFORE");
        let after = positional::<String>("AFTER");
        construct!(Asked::Compare { before, after })
            .to_options()
            .descr("Two files of `run --each`, seed by seed: the mean difference and its spread")
    };
    let compare = compare.command("compare");
    let list = pure(Asked::List).to_options().descr("Lists the scenarios");
    let (run, replay) = (run.command("run"), replay.command("replay"));
    let (shrink, list) = (shrink.command("shrink"), list.command("list"));
    #[cfg(feature = "plants")]
    {
        let seeds = long("seeds")
            .help("Most seeds for each")
            .argument::<u64>("N")
            .fallback(10_000);
        let plants = construct!(Asked::Plants { seeds }).to_options();
        let plants =
            plants.descr("Turns on each deliberate fault and counts the seeds that find it");
        let plants = plants.command("plants");
        construct!([run, replay, shrink, compare, plants, list])
            .to_options()
            .descr("leverpoint's network code on virtual time")
    }
    #[cfg(not(feature = "plants"))]
    construct!([run, replay, shrink, compare, list])
        .to_options()
        .descr("leverpoint's network code on virtual time")
}

fn main() -> ExitCode {
    match words().run() {
        Asked::Run {
            scenario,
            seeds,
            jobs,
            each,
        } => with(&scenario, |s| {
            run(&scenario, s, seeds, jobs.max(1), each.as_deref())
        }),
        Asked::Compare { before, after } => match compare::files(&before, &after) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(why) => {
                eprintln!("leverpoint-simulator: {why}");
                ExitCode::FAILURE
            }
        },
        Asked::Replay {
            scenario,
            seed,
            trace,
        } => with(&scenario, |s| replay(s, seed, trace.as_deref())),
        Asked::Shrink { scenario, seed } => with(&scenario, |s| {
            print!("{}", shrink::shrink(s, seed, Instant::now()));
            ExitCode::SUCCESS
        }),
        #[cfg(feature = "plants")]
        Asked::Plants { seeds } => {
            let mut all = true;
            for (name, scenario, found) in
                leverpoint_simulator::planted_faults::find_all(seeds, Instant::now())
            {
                let seeds = found
                    .as_ref()
                    .map_or("not found".to_owned(), |(n, _)| n.to_string());
                let what = found.map_or(String::new(), |(_, b)| {
                    format!("rule {}: {}", b.rule, b.what)
                });
                println!("| {name} | {scenario} | {seeds} | {what} |");
                all &= !what_is_missing(&seeds);
            }
            if all {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Asked::List => {
            scenarios::built_in().for_each(|(name, scene)| println!("{name:18} {}", scene.about()));
            ExitCode::SUCCESS
        }
    }
}

#[cfg(feature = "plants")]
fn what_is_missing(seeds: &str) -> bool {
    seeds == "not found"
}

fn with(name: &str, then: impl FnOnce(&AnyScenario) -> ExitCode) -> ExitCode {
    match scenarios::load(name) {
        Ok(scene) => then(&scene),
        Err(why) => {
            eprintln!("leverpoint-simulator: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run(
    name: &str,
    scene: &AnyScenario,
    (first, last): (u64, u64),
    jobs: usize,
    each: Option<&str>,
) -> ExitCode {
    let (next, began) = (AtomicU64::new(first), Instant::now());
    let work = || {
        let mut mine = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= last {
                return mine;
            }
            mine.push((seed, scene.play(seed, began, false)));
        }
    };
    let mut played: Vec<(u64, Played)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs).map(|_| scope.spawn(work)).collect();
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
    let sum = |of: &dyn Fn(&Played) -> f64| played.iter().map(|(_, p)| of(p)).sum::<f64>();
    let broken: Vec<_> = played.iter().filter(|(_, p)| p.broken.is_some()).collect();
    for (seed, p) in broken.iter().take(5) {
        if let Some(b) = &p.broken {
            eprintln!(
                "seed {seed}: rule {} at {} ms: {}",
                b.rule,
                b.at / 10,
                b.what
            );
        }
    }
    if let Some((seed, _)) = broken.first() {
        eprintln!("replay it: leverpoint-simulator replay --scenario {name} --seed {seed}");
    }
    if let Some(file) = each
        && let Err(e) = std::fs::write(file, compare::text(&played))
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
        cells.for_each(|(one, all)| *all += one);
    }
    for (first, name) in MEANINGS {
        let with = |(later, other): &(Meaning, &str)| {
            let times = collisions[first as usize][*later as usize];
            (times > 0).then(|| format!("{other} {times}"))
        };
        let met: Vec<_> = MEANINGS.iter().filter_map(with).collect();
        if !met.is_empty() {
            eprintln!("{name} on one instant before: {}", met.join(", "));
        }
    }
    let line = Line {
        scenario: name.to_owned(),
        seeds: played.len() as u64,
        broken: broken.len() as u64,
        steps: sum(&|p| p.steps as f64) as u64,
        commands: sum(&|p| p.commands as f64) as u64,
        collisions: collisions.iter().flatten().sum(),
        benefit: sum(&|p| p.benefit) / sum(&|p| p.asked).max(1.0),
        seconds: began.elapsed().as_secs_f64(),
        digest: format!("{:016x}", digest.digest()),
    };
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn replay(scene: &AnyScenario, seed: u64, file: Option<&str>) -> ExitCode {
    let played = scene.play(seed, Instant::now(), true);
    let text = played.trace.join("\n") + "\n";
    match file {
        Some(file) => {
            if let Err(e) = std::fs::write(file, text) {
                eprintln!("leverpoint-simulator: {file}: {e}");
            }
        }
        None => print!("{text}"),
    }
    match &played.broken {
        Some(b) => {
            eprintln!("rule {} at {} ms: {}", b.rule, b.at / 10, b.what);
            ExitCode::FAILURE
        }
        None => ExitCode::SUCCESS,
    }
}
