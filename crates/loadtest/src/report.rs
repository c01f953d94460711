//! Output files of the experiment with slow peers: a table of the periods, the slowest requests, a summary and a chart.
//!
//! # Invariants
//!
//! Values in the CSV tables are not rounded.

use std::error::Error;
use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;

use leverpoint_test_support::slow_clients::ClientCounters;
use plotters::prelude::*;

use crate::measurements::{Figures, Measurements, Options};

/// Percentiles of the latency in the table.
const PERCENTILES: [f64; 4] = [50.0, 90.0, 99.0, 99.9];

/// Writes all files into the output directory. `peers` is the gateway's log line with the counters of its peers.
pub(crate) fn write(
    options: &Options,
    periods: &[(bool, Measurements)],
    figures: &Figures,
    counters: &ClientCounters,
    peers: &str,
) -> Result<(), Box<dyn Error>> {
    let name = if options.without_pace {
        "slow-without-pace"
    } else {
        "slow"
    };
    let file = |extension: &str| {
        options.out.join(format!(
            "{name}-{}-{}.{extension}",
            options.readers, options.sockets
        ))
    };
    table(csv::Writer::from_path(file("csv"))?, periods)?;
    std::fs::write(
        file("md"),
        summary(options, periods, figures, counters, peers)?,
    )?;
    tail(csv::Writer::from_path(file("tail.csv"))?, periods)?;
    chart(&file("svg"), periods)?;
    eprintln!(
        "wrote {} and the .tail.csv, .md and .svg files of the same name",
        file("csv").display()
    );
    Ok(())
}

/// Name of a kind of period in the table and the summary.
fn kind(slow: bool) -> &'static str {
    if slow { "slow" } else { "clean" }
}

/// Writes one row of counts, latencies and the lowest number of answers in a second for each period.
fn table(
    mut out: csv::Writer<std::fs::File>,
    periods: &[(bool, Measurements)],
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
        let counts = [
            r.requests,
            r.answered,
            r.throttled,
            r.failed,
            r.lost,
            r.wrong,
        ];
        let mut row = vec![n.to_string(), kind(*slow).to_owned()];
        row.extend(counts.iter().map(u64::to_string));
        row.extend(PERCENTILES.iter().map(|p| r.percentile_ms(*p).to_string()));
        row.push((r.latency_us.max() as f64 / 1e3).to_string());
        row.push(r.answers_by_second.iter().min().unwrap_or(&0).to_string());
        out.write_record(row)?;
    }
    Ok(out.flush()?)
}

/// Writes the individually recorded slow requests of the well-behaved clients, ordered by time within each period.
fn tail(
    mut out: csv::Writer<std::fs::File>,
    periods: &[(bool, Measurements)],
) -> Result<(), Box<dyn Error>> {
    out.write_record(["period", "at_ms", "took_us", "kind"])?;
    for (n, (_, measurements)) in periods.iter().enumerate() {
        let mut tail = measurements.tail.clone();
        tail.sort_unstable();
        for (at, latency_us, kind) in tail {
            out.write_record([n as u64, at, latency_us, kind as u64].map(|n| n.to_string()))?;
        }
    }
    Ok(out.flush()?)
}

/// Formats the Markdown summary: parameters, a table of the periods, counters of the slow clients and the figures.
fn summary(
    options: &Options,
    periods: &[(bool, Measurements)],
    figures: &Figures,
    counters: &ClientCounters,
    peers: &str,
) -> Result<String, std::fmt::Error> {
    let mut out = String::from(
        "# Slow peers beside well-behaved clients\n\nOver sockets, with the simulated servers and clients of this repository. ",
    );
    writeln!(
        out,
        "{} slow readers, {} slow writers, {} slow servers; {} MiB, {} file descriptors; seed {}{}.\n",
        options.readers,
        options.writers,
        options.tricklers,
        options.memory_mb,
        options.sockets,
        options.seed,
        if options.without_pace {
            "; limits on slow peers off"
        } else {
            ""
        }
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
            r.requests,
            r.answered,
            r.throttled,
            r.failed,
            r.percentile_ms(50.0),
            r.percentile_ms(99.0),
            r.latency_us.max() as f64 / 1e3,
            r.answers_by_second.iter().min().unwrap_or(&0)
        )?;
    }
    let count = |c: &std::sync::atomic::AtomicU64| c.load(Relaxed);
    writeln!(
        out,
        "\nSlow clients: {} connections, {} requests, {} answered, {} throttled, {} failed, {} closed after the \
         client timeout, {} closed before a response, {} lost, {} wrong.\n",
        count(&counters.connected),
        count(&counters.requests),
        count(&counters.answered),
        count(&counters.throttled),
        count(&counters.failed),
        count(&counters.ended_after_timeout),
        count(&counters.ended_before_response),
        count(&counters.lost),
        count(&counters.wrong)
    )?;
    writeln!(out, "Peer counters of the gateway: {peers}\n\n{figures:?}")?;
    Ok(out)
}

/// Draws latency by percentile, with one line for the clean and one for the slow periods.
fn chart(path: &std::path::Path, periods: &[(bool, Measurements)]) -> Result<(), Box<dyn Error>> {
    let curve = |slow: bool| {
        let mut all = Measurements::new(0);
        periods
            .iter()
            .filter(|(s, _)| *s == slow)
            .for_each(|(_, r)| all.merge(r));
        (0..=1000)
            .map(|n| f64::from(n) / 10.0)
            .map(|p| (p, all.percentile_ms(p)))
            .collect::<Vec<_>>()
    };
    let curves = [(curve(false), BLUE, "clean"), (curve(true), RED, "slow")];
    let max_ms = curves
        .iter()
        .flat_map(|(c, ..)| c.iter().map(|(_, ms)| *ms))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (0.5..max_ms * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percent of requests of well-behaved clients")
        .y_desc("latency in ms")
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
