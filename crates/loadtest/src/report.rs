//! Owns what is kept of a run: a table of its periods, a summary to read, a chart.
//!
//! It must never round a figure in the table.

use std::error::Error;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;

use leverpoint_test_support::slow_clients::ClientCounters;
use plotters::prelude::*;

use crate::measurements::{Asked, Figures, Record};

const PERCENTS: [f64; 4] = [50.0, 90.0, 99.0, 99.9];

pub(crate) fn write(
    asked: &Asked,
    periods: &[(bool, Record)],
    figures: &Figures,
    seen: &ClientCounters,
    peers: &str,
) -> Result<(), Box<dyn Error>> {
    let name = if asked.without {
        "slow-without-pace"
    } else {
        "slow"
    };
    let file = |ending: &str| {
        asked.out.join(format!(
            "{name}-{}-{}.{ending}",
            asked.readers, asked.sockets
        ))
    };
    table(csv::Writer::from_path(file("csv"))?, periods)?;
    std::fs::write(file("md"), summary(asked, periods, figures, seen, peers)?)?;
    tail(csv::Writer::from_path(file("tail.csv"))?, periods)?;
    chart(&file("svg"), periods)?;
    eprintln!("written: {}, beside it .md and .svg", file("csv").display());
    Ok(())
}

fn kind(slow: bool) -> &'static str {
    if slow { "slow" } else { "clean" }
}

fn table(
    mut out: csv::Writer<std::fs::File>,
    periods: &[(bool, Record)],
) -> Result<(), Box<dyn Error>> {
    out.write_record([
        "period",
        "kind",
        "asked",
        "answered",
        "throttled",
        "failed",
        "lost",
        "wrong",
        "p50_ms",
        "p90_ms",
        "p99_ms",
        "p99.9_ms",
        "worst_ms",
        "worst_second_answers",
    ])?;
    for (n, (slow, r)) in periods.iter().enumerate() {
        let counts = [r.asked, r.answered, r.throttled, r.failed, r.lost, r.wrong];
        let mut row = vec![n.to_string(), kind(*slow).to_owned()];
        row.extend(counts.iter().map(u64::to_string));
        row.extend(PERCENTS.iter().map(|p| r.ms(*p).to_string()));
        row.push((r.took_us.max() as f64 / 1e3).to_string());
        row.push(r.seconds.iter().min().unwrap_or(&0).to_string());
        out.write_record(row)?;
    }
    Ok(out.flush()?)
}

/// Each honest command that took long, to see when that was.
fn tail(
    mut out: csv::Writer<std::fs::File>,
    periods: &[(bool, Record)],
) -> Result<(), Box<dyn Error>> {
    out.write_record(["period", "at_ms", "took_us", "kind"])?;
    for (n, (_, record)) in periods.iter().enumerate() {
        let mut tail = record.tail.clone();
        tail.sort_unstable();
        for (at, took, kind) in tail {
            out.write_record([n as u64, at, took, kind as u64].map(|n| n.to_string()))?;
        }
    }
    Ok(out.flush()?)
}

fn summary(
    asked: &Asked,
    periods: &[(bool, Record)],
    figures: &Figures,
    seen: &ClientCounters,
    peers: &str,
) -> Result<String, std::fmt::Error> {
    let mut out = String::from(
        "# Slow peers beside honest clients\n\nOn sockets, stand-ins of this repository. ",
    );
    writeln!(
        out,
        "{} slow readers, {} slow writers, {} trickling servers; {} MiB, {} descriptors; seed {}{}.\n",
        asked.readers,
        asked.writers,
        asked.tricklers,
        asked.memory_mb,
        asked.sockets,
        asked.seed,
        if asked.without { "; caps off" } else { "" }
    )?;
    writeln!(
        out,
        "| period | asked | answered | throttled | failed | p50 ms | p99 ms | worst ms | worst second |"
    )?;
    writeln!(
        out,
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )?;
    for (slow, r) in periods {
        writeln!(
            out,
            "| {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.1} | {} |",
            kind(*slow),
            r.asked,
            r.answered,
            r.throttled,
            r.failed,
            r.ms(50.0),
            r.ms(99.0),
            r.took_us.max() as f64 / 1e3,
            r.seconds.iter().min().unwrap_or(&0)
        )?;
    }
    let count = |c: &std::sync::atomic::AtomicU64| c.load(Relaxed);
    writeln!(
        out,
        "\nSlow clients: {} connections, {} commands, {} answered, {} throttled, {} failed, {} let go past their \
         client timeout, {} crossed a connection's end, {} lost, {} wrong.\n",
        count(&seen.connected),
        count(&seen.requests),
        count(&seen.answered),
        count(&seen.throttled),
        count(&seen.failed),
        count(&seen.ended_after_timeout),
        count(&seen.ended_before_response),
        count(&seen.lost),
        count(&seen.wrong)
    )?;
    writeln!(out, "The gateway says: {peers}\n\n{figures:?}")?;
    Ok(out)
}

/// Response times by percentile, a line a kind of period.
fn chart(path: &std::path::Path, periods: &[(bool, Record)]) -> Result<(), Box<dyn Error>> {
    let curve = |slow: bool| {
        let mut all = Record::new(0);
        periods
            .iter()
            .filter(|(s, _)| *s == slow)
            .for_each(|(_, r)| all.join(r));
        (0..=1000)
            .map(|n| f64::from(n) / 10.0)
            .map(|p| (p, all.ms(p)))
            .collect::<Vec<_>>()
    };
    let curves = [(curve(false), BLUE, "clean"), (curve(true), RED, "slow")];
    let top = curves
        .iter()
        .flat_map(|(c, ..)| c.iter().map(|(_, ms)| *ms))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (0.5..top * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percent of honest commands")
        .y_desc("ms")
        .draw()?;
    for (curve, colour, name) in curves {
        let drawn = chart
            .draw_series(LineSeries::new(curve, &colour))?
            .label(name);
        drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
