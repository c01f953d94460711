//! Command line of the load tests: `leverpoint-loadtest run slow`, `sessions`, `price`, `members` and `copies`.
//!
//! Each experiment starts the gateway program with simulated database servers, discovery agents and clients, and prints
//! its figures as one line of JSON. The exit status is a failure if an experiment could not run or found a violation of
//! the guarantees that it checks. docs/ discusses the results.
//!
//! # Invariants
//!
//! All traffic stays on the loopback interface.

mod harness;
mod measurements;
mod membership;
mod open_loop;
mod replication_loss;
mod report;
mod session_overhead;
mod sessions;
mod slow_peers;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};

/// The experiment to run, with its options.
enum Experiment {
    SlowPeers(measurements::Options),
    Sessions(sessions::Options),
    SessionOverhead(sessions::Options),
    Membership(membership::Options),
    ReplicationLoss(replication_loss::Options),
}

fn option_parser() -> OptionParser<Experiment> {
    let number = |name: &'static str, help: &'static str, default: usize| {
        long(name)
            .help(help)
            .argument::<usize>("N")
            .fallback(default)
            .display_fallback()
    };
    let readers = number("readers", "Clients that read slowly", 100);
    let writers = number("writers", "Clients that write slowly", 50);
    let tricklers = number(
        "tricklers",
        "Additional replicas that send their responses one byte at a time",
        2,
    );
    let memory_mb = number("memory-mb", "Memory limit of the gateway in MiB", 32);
    let sockets = number("sockets", "Limit of the gateway's file descriptors", 256);
    let pairs = number("pairs", "Number of pairs of a clean and a slow period", 3);
    let seed = long("seed")
        .help("Seed of the random choices")
        .argument::<u64>("N")
        .fallback(1);
    let short = long("short")
        .help("Periods of 4 s instead of 10 s")
        .switch();
    let out = long("out")
        .help("Directory for tables and charts")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let without_pace = long("without")
        .help("Disables a feature: pace")
        .argument::<String>("WHAT");
    let is_supported = |what: &String| what == "pace";
    let without_pace = without_pace
        .guard(is_supported, "expected pace")
        .map(|_| true)
        .fallback(false);
    let program = long("program")
        .help("Path of the gateway program [default: leverpoint in the directory of this program]")
        .argument("FILE");
    let program = program.optional();
    let no_operator_file = long("plain")
        .help("Starts the gateway without an operator's file, for older versions that do not accept one")
        .switch();
    let slow_peers = construct!(measurements::Options {
        readers,
        writers,
        tricklers,
        memory_mb,
        sockets,
        pairs,
        seed,
        short,
        out,
        without_pace,
        no_operator_file,
        program,
    });
    let slow_peers = slow_peers
        .to_options()
        .descr("Latency of well-behaved clients while other clients and servers are slow");
    let slow_peers = slow_peers.command("slow").map(Experiment::SlowPeers);
    let sessions = sessions_options()
        .command("sessions")
        .map(Experiment::Sessions);
    let session_overhead = sessions_options()
        .command("price")
        .map(Experiment::SessionOverhead);
    let membership = membership_options()
        .command("members")
        .map(Experiment::Membership);
    let replication_loss = replication_loss_options()
        .command("copies")
        .map(Experiment::ReplicationLoss);
    let run = construct!([
        slow_peers,
        sessions,
        session_overhead,
        membership,
        replication_loss
    ])
    .to_options()
    .descr("Runs an experiment")
    .command("run");
    run.to_options()
        .descr("Load tests and experiments for leverpoint")
}

fn replication_loss_options() -> OptionParser<replication_loss::Options> {
    let trials = long("tries")
        .help("Number of trials; each kills a gateway right after a response")
        .argument::<usize>("N");
    let trials = trials.fallback(5_000);
    let short = long("short")
        .help("At most 150 trials, and shorter measurements")
        .switch();
    let seed = long("seed")
        .help("Seed of the random choices")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Directory for tables and charts")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let without_replication = long("without")
        .help("Disables a feature: copies")
        .argument::<String>("WHAT");
    let without_replication = without_replication
        .guard(|what| what == "copies", "expected copies")
        .map(|_| true)
        .fallback(false);
    let records = long("records")
        .help("Session records stored while one of five gateways is replaced; 0 skips this part");
    let records = records.argument::<usize>("N").fallback(100_000);
    let program = long("program")
        .help("Path of the gateway program [default: leverpoint in the directory of this program]")
        .argument("FILE");
    let program = program.optional();
    let all = construct!(replication_loss::Options {
        trials,
        short,
        seed,
        out,
        without_replication,
        records,
        program
    });
    all.to_options().descr(
        "Gateways are killed and their data directories erased right after a response; their sessions read through others",
    )
}

fn membership_options() -> OptionParser<membership::Options> {
    let faults = long("faults")
        .help("Number of faults, injected one after the other; 0 measures only the cost by fleet size")
        .argument::<usize>("N")
        .fallback(200);
    let short = long("short")
        .help("Small fleets and short measurements")
        .switch();
    let seed = long("seed")
        .help("Seed of the random choices")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Directory for tables and charts")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let program = long("program")
        .help("Path of the gateway program [default: leverpoint in the directory of this program]")
        .argument("FILE");
    let program = program.optional();
    let all = construct!(membership::Options {
        faults,
        short,
        seed,
        out,
        program
    });
    all.to_options().descr(
        "Detection time of killed, stopped and partitioned gateways, and the cost of membership",
    )
}

fn sessions_options() -> OptionParser<sessions::Options> {
    let mode = long("mode")
        .help("How gateways learn of writes of sessions: none, carried (client tokens), disk")
        .argument::<String>("MODE");
    let mode = mode.parse(|mode| match mode.as_str() {
        "none" => Ok(sessions::Mode::None),
        "carried" => Ok(sessions::Mode::Carried),
        "disk" => Ok(sessions::Mode::Disk),
        _ => Err("expected none, carried or disk"),
    });
    let mode = mode.fallback(sessions::Mode::None);
    let trials = long("tries")
        .help("Number of writes, each followed by a kill of its gateway")
        .argument::<usize>("N")
        .fallback(5_000);
    let short = long("short").help("At most 400 trials").switch();
    let seed = long("seed")
        .help("Seed of the random choices")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Directory for tables and charts")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let without_sessions = long("without")
        .help("Disables a feature: sessions")
        .argument::<String>("WHAT");
    let without_sessions = without_sessions
        .guard(|what| what == "sessions", "expected sessions")
        .map(|_| true)
        .fallback(false);
    let program = long("program")
        .help("Path of the gateway program [default: leverpoint in the directory of this program]")
        .argument("FILE");
    let program = program.optional();
    let all = construct!(sessions::Options {
        mode,
        trials,
        short,
        seed,
        out,
        without_sessions,
        program
    });
    all.to_options()
        .descr("A gateway is killed right after its response to a write; the session reads through another")
}

fn main() -> ExitCode {
    let outcome = match option_parser().run() {
        Experiment::SlowPeers(options) => slow_peers::run(&options).map(|figures| {
            (
                serde_json::to_string(&figures).unwrap_or_default(),
                figures.lost + figures.wrong == 0,
            )
        }),
        Experiment::Sessions(options) => sessions::run(&options).map(|figures| {
            (
                serde_json::to_string(&figures).unwrap_or_default(),
                figures.missing + figures.wrong == 0,
            )
        }),
        Experiment::Membership(options) => membership::run(&options).map(|figures| {
            let passed =
                figures.forks + figures.late_statuses + figures.old_incarnation_believed == 0;
            (serde_json::to_string(&figures).unwrap_or_default(), passed)
        }),
        Experiment::ReplicationLoss(options) => replication_loss::run(&options).map(|figures| {
            let passed = figures.missing + figures.quorum_writes_lost == 0
                && figures.keys_applied_twice == 0;
            (serde_json::to_string(&figures).unwrap_or_default(), passed)
        }),
        Experiment::SessionOverhead(options) => session_overhead::run(&options).map(|figures| {
            (
                serde_json::to_string(&figures).unwrap_or_default(),
                figures.missing == 0,
            )
        }),
    };
    match outcome {
        Ok((line, passed)) => {
            println!("{line}");
            if passed {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("leverpoint-loadtest: {error}");
            ExitCode::FAILURE
        }
    }
}
