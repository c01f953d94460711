//! Owns the command line of the experiments: `leverpoint-loadtest run slow`, `sessions`, `price`, `members`, `copies`.
//!
//! It plays and measures; what a figure is worth is said in docs/. It must never send anything beyond loopback.

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

enum Asked {
    Slow(measurements::Asked),
    Sessions(sessions::Asked),
    Price(sessions::Asked),
    Members(membership::Asked),
    Copies(replication_loss::Asked),
}

fn words() -> OptionParser<Asked> {
    let number = |name: &'static str, help: &'static str, usual: usize| {
        long(name)
            .help(help)
            .argument::<usize>("N")
            .fallback(usual)
            .display_fallback()
    };
    let readers = number("readers", "Clients that read slowly", 100);
    let writers = number("writers", "Clients that write slowly", 50);
    let tricklers = number(
        "tricklers",
        "Servers that trickle their answers, of two replicas more",
        2,
    );
    let memory_mb = number("memory-mb", "The gateway's memory in MiB", 32);
    let sockets = number("sockets", "The gateway's descriptors", 256);
    let pairs = number("pairs", "Clean and slow periods, a pair each", 3);
    let seed = long("seed")
        .help("For all that is left to chance")
        .argument::<u64>("N")
        .fallback(1);
    let short = long("short")
        .help("Four seconds a period instead of ten")
        .switch();
    let out = long("out")
        .help("Where tables and charts are written")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let without = long("without")
        .help("Plays with this off: pace")
        .argument::<String>("WHAT");
    let known = |what: &String| what == "pace";
    let without = without
        .guard(known, "expected pace")
        .map(|_| true)
        .fallback(false);
    let program = long("program")
        .help("The gateway; else the one beside this program")
        .argument("FILE");
    let program = program.optional();
    let plain = long("plain")
        .help("Starts the gateway without an operator's file, as older ones want")
        .switch();
    let slow = construct!(measurements::Asked {
        readers,
        writers,
        tricklers,
        memory_mb,
        sockets,
        pairs,
        seed,
        short,
        out,
        without,
        plain,
        program,
    });
    let slow = slow
        .to_options()
        .descr("Slow readers, writers and servers beside honest clients");
    let slow = slow.command("slow").map(Asked::Slow);
    let sessions = sessions_words().command("sessions").map(Asked::Sessions);
    let price = sessions_words().command("price").map(Asked::Price);
    let members = members_words().command("members").map(Asked::Members);
    let copies = copies_words().command("copies").map(Asked::Copies);
    let run = construct!([slow, sessions, price, members, copies])
        .to_options()
        .descr("Plays an experiment")
        .command("run");
    run.to_options()
        .descr("Loads and experiments for leverpoint")
}

fn copies_words() -> OptionParser<replication_loss::Asked> {
    let tries = long("tries")
        .help("Machines lost, each right after an answer")
        .argument::<usize>("N");
    let tries = tries.fallback(5_000);
    let short = long("short").help("150 tries and short measures").switch();
    let seed = long("seed")
        .help("For all that is left to chance")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Where tables and charts are written")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let without = long("without")
        .help("Plays with this off: copies")
        .argument::<String>("WHAT");
    let without = without
        .guard(|what| what == "copies", "expected copies")
        .map(|_| true)
        .fallback(false);
    let records = long("records").help("Sessions held while one of five is replaced; 0: none");
    let records = records.argument::<usize>("N").fallback(100_000);
    let program = long("program")
        .help("The gateway; else the one beside this program")
        .argument("FILE");
    let program = program.optional();
    let all = construct!(replication_loss::Asked {
        tries,
        short,
        seed,
        out,
        without,
        records,
        program
    });
    all.to_options().descr(
        "Machines are lost with their folders right after answers, and what they held is read elsewhere",
    )
}

fn members_words() -> OptionParser<membership::Asked> {
    let faults = long("faults")
        .help("Faults, one after the other; 0: the cost by size alone")
        .argument::<usize>("N")
        .fallback(200);
    let short = long("short")
        .help("Small fleets and short measures")
        .switch();
    let seed = long("seed")
        .help("For all that is left to chance")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Where tables and charts are written")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let program = long("program")
        .help("The gateway; else the one beside this program")
        .argument("FILE");
    let program = program.optional();
    let all = construct!(membership::Asked {
        faults,
        short,
        seed,
        out,
        program
    });
    all.to_options().descr(
        "Processes of a fleet are killed, burnt, stopped, cut off; who sees it when, and what it costs",
    )
}

fn sessions_words() -> OptionParser<sessions::Asked> {
    let mode = long("mode")
        .help("How gateways know of writes: none, carried, disk")
        .argument::<String>("MODE");
    let mode = mode.parse(|mode| match mode.as_str() {
        "none" => Ok(sessions::Mode::None),
        "carried" => Ok(sessions::Mode::Carried),
        "disk" => Ok(sessions::Mode::Disk),
        _ => Err("expected none, carried or disk"),
    });
    let mode = mode.fallback(sessions::Mode::None);
    let tries = long("tries")
        .help("Writes, each with its gateway's end")
        .argument::<usize>("N")
        .fallback(5_000);
    let short = long("short").help("400 tries").switch();
    let seed = long("seed")
        .help("For all that is left to chance")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Where tables and charts are written")
        .argument::<PathBuf>("DIR");
    let out = out.fallback("target/rig".into());
    let without = long("without")
        .help("Plays with this off: sessions")
        .argument::<String>("WHAT");
    let without = without
        .guard(|what| what == "sessions", "expected sessions")
        .map(|_| true)
        .fallback(false);
    let program = long("program")
        .help("The gateway; else the one beside this program")
        .argument("FILE");
    let program = program.optional();
    let all = construct!(sessions::Asked {
        mode,
        tries,
        short,
        seed,
        out,
        without,
        program
    });
    all.to_options()
        .descr("A gateway is killed right after each write's answer, its session reads elsewhere")
}

fn main() -> ExitCode {
    let line = match words().run() {
        Asked::Slow(asked) => slow_peers::run(&asked).map(|line| {
            (
                serde_json::to_string(&line).unwrap_or_default(),
                line.lost + line.wrong == 0,
            )
        }),
        Asked::Sessions(asked) => sessions::run(&asked).map(|line| {
            (
                serde_json::to_string(&line).unwrap_or_default(),
                line.missing + line.wrong == 0,
            )
        }),
        Asked::Members(asked) => membership::run(&asked).map(|line| {
            let kept = line.forks + line.false_gone + line.old_incarnation_believed == 0;
            (serde_json::to_string(&line).unwrap_or_default(), kept)
        }),
        Asked::Copies(asked) => replication_loss::run(&asked).map(|line| {
            let kept = line.missing + line.promises_broken == 0 && line.keys_applied_twice == 0;
            (serde_json::to_string(&line).unwrap_or_default(), kept)
        }),
        Asked::Price(asked) => session_overhead::run(&asked).map(|line| {
            (
                serde_json::to_string(&line).unwrap_or_default(),
                line.missing == 0,
            )
        }),
    };
    match line {
        Ok((line, kept)) => {
            println!("{line}");
            if kept {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(why) => {
            eprintln!("leverpoint-loadtest: {why}");
            ExitCode::FAILURE
        }
    }
}
